"""One member's connection to the purge log: what it has been sent, and what waits to be sent."""

from collections import deque

import anyio

from quartzrouter.purges.members import Member
from quartzrouter.purges.messages import EjectionVerdicts, QuotaGrants

MAX_QUEUED_MESSAGES = 16  # grants and verdicts for one member; older ones have run out


class Session:
    """One member's connection.

    :param sent_up_to: the sequence number up to which it has every purge.
    """

    def __init__(self, member: Member, sent_up_to: int):
        self.member = member
        self.sent_up_to = sent_up_to
        self.scope = anyio.CancelScope()
        self.sent_caches_caught_up: dict[str, int] | None = None
        self.changed = anyio.Event()  # there is something to send
        self.queued: deque[QuotaGrants | EjectionVerdicts] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.reported_store = ""  # the store whose caches it reports, if any
        self.was_sent_verdicts = False  # it was last told to eject a cache
        self.wants_loads = False  # it wants to know how many requests are in flight at caches

    def wake(self) -> None:
        """Lets the writer look for something to send."""
        self.changed.set()
        self.changed = anyio.Event()

    def queue(self, message: QuotaGrants | EjectionVerdicts) -> None:
        """Queues a message beside the purges."""
        self.queued.append(message)
        self.wake()
