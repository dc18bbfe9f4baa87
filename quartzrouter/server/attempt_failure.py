"""How an attempt or a health check failed, and whether that proves that the request was not executed.

Failures are values, not exceptions: events carry them to the state machine, which only needs to know from
them if the request may be sent again.
"""

from enum import IntEnum
from typing import NamedTuple

import anyio

from quartzrouter.routing.model import AttemptStatus

# Exceptions that a stream raises once its connection has ended.
CONNECTION_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class AttemptStage(IntEnum):
    """How far an attempt got; later stages have greater numbers."""

    CONNECTING = 0
    CONNECTED = 1  # nothing of the request has been sent
    SENDING = 2  # some bytes of the request have been sent, perhaps all
    RECEIVING = 3  # the head of the response has arrived


class FailureCause(IntEnum):
    """What ended an attempt."""

    REFUSED = 0  # the connection was refused, or not open within the connect timeout
    OUT_OF_DESCRIPTORS = 1  # this process has no free descriptor for a connection
    RESET = 2  # the connection ended
    MALFORMED = 3  # the response violates HTTP or the platform's protocol
    INTERNAL_ERROR = 4  # a bug in this program
    CLIENT_UNREAD = 5  # unread data of the client may hide that it has gone


class AttemptFailure(NamedTuple):
    """The end of an attempt without a complete response.

    :param detail: for the log.
    """

    stage: AttemptStage
    cause: FailureCause
    detail: str = ""

    def attempt_status(self) -> AttemptStatus:
        """Returns the attempt's status that follows from the failure.

        Guards against operations that are executed twice: once a byte of the request may have reached the
        endpoint, the status is ``CONNECTION_LOST``, which proves nothing; the statuses before that prove that
        the request was never executed.

        :returns: ``NOT_CONNECTED`` for a connection that ended while it was opened, which tells less about
            the endpoint than a refused one; ``NOT_SENT`` if the cause lies in this process.
        """
        if self.stage >= AttemptStage.SENDING:
            return AttemptStatus.CONNECTION_LOST
        if self.stage is AttemptStage.CONNECTING and self.cause is FailureCause.RESET:
            return AttemptStatus.NOT_CONNECTED
        if self.cause is FailureCause.REFUSED:
            return AttemptStatus.CONNECTION_REFUSED
        return AttemptStatus.NOT_SENT
