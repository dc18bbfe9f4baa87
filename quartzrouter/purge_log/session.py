"""The state of one member's connection: what the member was sent, and what is queued for it."""

from collections import deque

import anyio

from quartzrouter.purges.members import Member
from quartzrouter.purges.messages import EjectionVerdicts, QuotaGrants

MAX_QUEUED_MESSAGES = 16  # grants and verdicts for one member; older ones have expired


class Session:
    """The state of one member's connection.

    :param sent_up_to: the sequence number up to which the member was sent every purge.
    """

    def __init__(self, member: Member, sent_up_to: int):
        self.member = member
        self.sent_up_to = sent_up_to
        self.scope = anyio.CancelScope()
        self.sent_caches_caught_up: dict[str, int] | None = None
        self.changed = anyio.Event()  # set when there is something to send
        self.queued: deque[QuotaGrants | EjectionVerdicts] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.reported_store = ""  # the store whose caches the member reports on; empty if it sent no report
        self.was_sent_verdicts = False  # True if the last verdicts ejected a cache
        self.wants_loads = False  # True if the member asked for the requests in flight at caches

    def wake(self) -> None:
        """Wakes the writer task of this connection."""
        self.changed.set()
        self.changed = anyio.Event()

    def queue(self, message: QuotaGrants | EjectionVerdicts) -> None:
        """Queues a message that is not a purge."""
        self.queued.append(message)
        self.wake()
