"""The terms that acceptors and proposers agree on, and the values that they exchange.  Does no I/O.

A lease is held by the proposer that has the votes of a majority of acceptors.  A vote expires by itself, on
the acceptor's clock.  The lease ends earlier, on the holder's clock, because its time to live counts from
before the votes were requested.  The only assumption about clocks is the bound on their drift.

The values are encoded as arrays, so the order of their fields is part of the protocol.
"""

from dataclasses import dataclass
from typing import NamedTuple
from zlib import crc32

MICROSECONDS_PER_SECOND = 1_000_000
PARTS_PER_MILLION = 1_000_000

DEFAULT_MAX_CLOCK_DRIFT = 200  # in parts per million; quartz clocks drift by less than 100
DEFAULT_TTL = (
    3 * MICROSECONDS_PER_SECOND
)  # in microseconds; after its holder is killed, a task has no holder for about as long
RENEWALS_PER_LEASE = 3  # so two requests may be lost or late
ACTION_TIME_DIVISOR = (
    8  # a holder starts no action in the last eighth of its lease, as an action takes less time
)
MAX_TASKS = 256  # in a configuration
MAX_NAME_LENGTH = 64  # characters in the name of a task, proposer or acceptor
MAX_FENCING_TOKEN = 1 << 53  # every JSON parser reads integers up to this exactly


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The lease terms that all acceptors and proposers of a fleet use.

    :param acceptors: the names of all acceptors; a majority of them grants a lease.
    :param version: the version of that list, which changes by one acceptor at a time; each change raises it
        by one.
    :param ttl: the time to live: microseconds from the request for votes to the end of the lease.
    :param max_clock_drift: parts per million by which any clock may run fast or slow.
    :param tasks: the names of tasks, each with the proposers that are preferred as its holder.
    """

    acceptors: tuple[str, ...]
    version: int = 1
    ttl: int = DEFAULT_TTL
    max_clock_drift: int = DEFAULT_MAX_CLOCK_DRIFT
    tasks: tuple[tuple[str, tuple[str, ...]], ...] = ()

    @property
    def majority(self) -> int:
        """The number of votes that grant a lease.

        Guards against split brain: any two majorities share an acceptor, and an acceptor votes for only one
        proposer at a time.
        """
        return len(self.acceptors) // 2 + 1

    @property
    def checksum(self) -> int:
        """The CRC-32 by which two processes detect different terms; ignores tasks and preferences."""
        return crc32(repr((self.acceptors, self.version, self.ttl, self.max_clock_drift)).encode())

    @property
    def renewal_interval(self) -> int:
        """Microseconds between two vote requests of a holder."""
        return self.ttl // RENEWALS_PER_LEASE

    @property
    def max_action_time(self) -> int:
        """Microseconds that an action may take; no action starts if less of the lease is left."""
        return self.ttl // ACTION_TIME_DIVISOR

    def lease_end(self, requested_at: int) -> int:
        """Returns when a lease ends, on the holder's clock, if its votes were requested at the given time.

        Guards against two holders: the votes expire later, even on clocks that run fast by the maximum drift,
        and only then can another proposer get them.
        """
        return requested_at + self.ttl - self.clock_slack(self.ttl)

    def voting_starts_at(self, started_at: int) -> int:
        """Returns when an acceptor that has just started may vote, on its own clock.

        Guards against two holders: the acceptor may have voted before its restart, and has lost that vote.
        """
        return started_at + self.ttl + self.clock_slack(self.ttl)

    def clock_slack(self, duration: int) -> int:
        """Returns the microseconds by which two clocks may diverge during a duration, rounded up."""
        return -(-2 * duration * self.max_clock_drift // PARTS_PER_MILLION)


class VoteRequest(NamedTuple):
    """A proposer's request for an acceptor's vote, or for its renewal.

    :param process_token: a random token of the process; two processes of one name are different proposers.
    :param round: counts the requests of that process for that task; replies to earlier rounds are ignored.
    :param fencing_token: the token of the lease that the proposer holds or wants.
    :param is_holder: True if it holds the lease; an acceptor that has lost its fencing tokens learns this
        one.
    """

    task: str
    proposer: str
    process_token: str
    round: int
    fencing_token: int
    terms_checksum: int
    is_holder: bool = False


class VoteRelease(NamedTuple):
    """A proposer's release of an acceptor's vote: it no longer acts under that fencing token."""

    task: str
    proposer: str
    process_token: str
    fencing_token: int


class VoteReply(NamedTuple):
    """An acceptor's reply to one vote request.

    :param highest_token: the highest fencing token that the acceptor knows.
    :param time_left: if the vote was denied, microseconds until the vote for another proposer expires, or
        until the acceptor may vote for this one, after the acceptor's start or a revocation.
    :param holder: the proposer that has the vote instead; empty if none has.
    """

    task: str
    acceptor: str
    process_token: str
    round: int
    granted: bool
    highest_token: int
    time_left: int = 0
    holder: str = ""


class FencingToken(NamedTuple):
    """The highest fencing token of a task that an acceptor knows, and the proposer that used it."""

    number: int
    proposer: str
    process_token: str


class VoteRefusal(NamedTuple):
    """An invalid request: the field that is at fault, the reason, and the remedy."""

    field: str
    reason: str
    remedy: str


class VoteStatus(NamedTuple):
    """An acceptor's vote for one task, as reported to operators.

    :param holder: the proposer that has the vote; empty if none has.
    :param held_for: microseconds since the acceptor first voted for that holder under that fencing token.
    :param time_left: microseconds until the vote expires.
    :param waiting: proposers whose requests were denied recently.
    """

    task: str
    holder: str
    process_token: str
    fencing_token: int
    held_for: int
    time_left: int
    waiting: tuple[str, ...]


class AcceptorStatus(NamedTuple):
    """The state of an acceptor, as reported to operators.

    :param time_until_voting: microseconds until the acceptor may vote.
    :param refused_requests: the number of invalid requests.
    """

    acceptor: str
    version: int
    terms_checksum: int
    time_until_voting: int
    refused_requests: int
    votes: tuple[VoteStatus, ...]
