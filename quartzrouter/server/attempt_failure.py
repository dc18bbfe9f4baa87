"""Errors as values: how far a dispatch or a probe had come when it ended without an answer."""

from enum import IntEnum
from typing import NamedTuple

import anyio

from quartzrouter.routing.model import AttemptStatus

# what a stream raises once its connection has ended
CONNECTION_LOST = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class Stage(IntEnum):
    CONNECTING = 0
    CONNECTED = 1  # nothing has gone out
    ASKING = 2  # some bytes have, perhaps all
    ANSWERED = 3  # the head of an answer has come


class Cause(IntEnum):
    REFUSED = 0  # or no connection within the told time
    NO_ROOM = 1  # none of our own descriptors left
    RESET = 2
    MALFORMED = 3
    DIED = 4  # the task that served it


class Failure(NamedTuple):
    stage: Stage
    cause: Cause
    detail: str = ""

    def ending(self) -> AttemptStatus:
        if self.stage is Stage.CONNECTING and self.cause is Cause.RESET:
            return AttemptStatus.NOT_CONNECTED
        if self.stage <= Stage.CONNECTED:
            return AttemptStatus.CONNECTION_REFUSED if self.cause is Cause.REFUSED else AttemptStatus.NOT_SENT
        return AttemptStatus.CONNECTION_LOST
