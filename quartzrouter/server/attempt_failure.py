"""How an attempt or a health check failed, and what that proves about whether the request has run.

Failures are values, not exceptions: they travel in events to the state machine, which asks one thing of
them, whether the request may be sent again.
"""

from enum import IntEnum
from typing import NamedTuple

import anyio

from quartzrouter.routing.model import AttemptStatus

# what a stream raises once its connection has ended
CONNECTION_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class AttemptStage(IntEnum):
    """How far an attempt had come; a later stage is a greater number."""

    CONNECTING = 0
    CONNECTED = 1  # nothing of the request has gone out
    SENDING = 2  # some bytes of the request have gone out, perhaps all
    RECEIVING = 3  # the head of the response has come


class FailureCause(IntEnum):
    """What ended an attempt."""

    REFUSED = 0  # connection refused, or not up within the connect timeout
    OUT_OF_DESCRIPTORS = 1  # this process has no descriptor left for a connection
    RESET = 2  # the connection ended
    MALFORMED = 3  # the response breaks HTTP or the platform's protocol
    INTERNAL_ERROR = 4  # a fault of this program


class AttemptFailure(NamedTuple):
    """The end of an attempt without a complete response.

    :param detail: for the log.
    """

    stage: AttemptStage
    cause: FailureCause
    detail: str = ""

    def attempt_status(self) -> AttemptStatus:
        """What the failure says of the attempt.

        Guards against effects that run twice: once a byte of the request may have reached the endpoint, only
        ``CONNECTION_LOST`` is said, which proves nothing; the statuses before that prove that it never ran.

        :returns: ``NOT_CONNECTED`` for a connection that broke off at once, which says less of the endpoint
            than one that was refused; ``NOT_SENT`` where the cause is this process's own.
        """
        if self.stage >= AttemptStage.SENDING:
            return AttemptStatus.CONNECTION_LOST
        if self.stage is AttemptStage.CONNECTING and self.cause is FailureCause.RESET:
            return AttemptStatus.NOT_CONNECTED
        if self.cause is FailureCause.REFUSED:
            return AttemptStatus.CONNECTION_REFUSED
        return AttemptStatus.NOT_SENT
