"""What acceptors and proposers agree on, and the values that they send each other.  No I/O.

A lease is held by the proposer that has the votes of a majority of acceptors.  A vote expires by itself, on
the acceptor's clock; a lease ends before that, on the holder's clock, counted from before the votes were
requested.  Of time nothing else is taken for granted than the bound on clock drift.

The values travel as arrays: the order of their fields is part of the protocol.
"""

from dataclasses import dataclass
from typing import NamedTuple
from zlib import crc32

MICROSECONDS_PER_SECOND = 1_000_000
PARTS_PER_MILLION = 1_000_000

DEFAULT_MAX_CLOCK_DRIFT = 200  # parts per million: crystals stay under 100
DEFAULT_TTL = 3 * MICROSECONDS_PER_SECOND  # us: for about as long a task has no holder after a kill
RENEWALS_PER_LEASE = 3  # two may be lost or late
ACTION_TIME_DIVISOR = 8  # a holder starts nothing in the last eighth of its lease: an action takes less
MAX_TASKS = 256  # of a configuration
MAX_NAME_LENGTH = 64  # characters of a task's, proposer's or acceptor's name
MAX_FENCING_TOKEN = 1 << 53  # a whole number in JSON wherever it is read


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The terms that all acceptors and proposers of a fleet go by.

    :param acceptors: their names; a majority of them grants a lease.
    :param version: of that list, which changes by one acceptor at a time and is counted up by one each time.
    :param ttl: microseconds from the request for votes to the end of the lease.
    :param max_clock_drift: parts per million by which any clock may be fast or slow.
    :param tasks: names of tasks, each with the proposers that are preferred as its holder.
    """

    acceptors: tuple[str, ...]
    version: int = 1
    ttl: int = DEFAULT_TTL
    max_clock_drift: int = DEFAULT_MAX_CLOCK_DRIFT
    tasks: tuple[tuple[str, tuple[str, ...]], ...] = ()

    @property
    def majority(self) -> int:
        """How many votes make a lease.

        Guards against split brain: any two majorities share an acceptor, which votes for one proposer at a
        time.
        """
        return len(self.acceptors) // 2 + 1

    @property
    def checksum(self) -> int:
        """By which two processes see that they go by the same terms, whoever is preferred."""
        return crc32(repr((self.acceptors, self.version, self.ttl, self.max_clock_drift)).encode())

    @property
    def renewal_interval(self) -> int:
        """Microseconds between two requests of a holder."""
        return self.ttl // RENEWALS_PER_LEASE

    @property
    def max_action_time(self) -> int:
        """Microseconds that an action may take: none starts when less of the lease is left."""
        return self.ttl // ACTION_TIME_DIVISOR

    def lease_end(self, requested_at: int) -> int:
        """When a lease ends, on the holder's clock, whose votes were requested then.

        Guards against two holders: the votes expire later, on clocks that may be fast by the drift, and only
        then does another proposer get them.
        """
        return requested_at + self.ttl - self.clock_slack(self.ttl)

    def voting_starts_at(self, started_at: int) -> int:
        """Until when an acceptor that has just started votes for nobody, on its own clock.

        Guards against two holders: before its restart it may have voted, and it has forgotten for whom.
        """
        return started_at + self.ttl + self.clock_slack(self.ttl)

    def clock_slack(self, duration: int) -> int:
        """Microseconds by which two clocks may differ after that duration, rounded up."""
        return -(-2 * duration * self.max_clock_drift // PARTS_PER_MILLION)


class VoteRequest(NamedTuple):
    """A proposer asks an acceptor for its vote, or to renew it.

    :param process_token: drawn by each process: another one under the same name is another proposer.
    :param round: counts the requests of that process for that task; only replies to the last one count.
    :param fencing_token: under which it would act, or acts.
    :param is_holder: it holds the lease: an acceptor that has forgotten fencing tokens learns this one.
    """

    task: str
    proposer: str
    process_token: str
    round: int
    fencing_token: int
    terms_checksum: int
    is_holder: bool = False


class VoteRelease(NamedTuple):
    """A proposer gives its vote back: it acts no more under that fencing token."""

    task: str
    proposer: str
    process_token: str
    fencing_token: int


class VoteReply(NamedTuple):
    """An acceptor's reply to one request.

    :param highest_token: the highest fencing token that it knows of.
    :param time_left: microseconds until the vote for another proposer expires, or until an acceptor that has
        just started votes.
    :param holder: for whom it has voted instead; empty where for nobody.
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
    """The highest fencing token of a task that an acceptor knows of, and whose it was."""

    number: int
    proposer: str
    process_token: str


class VoteRefusal(NamedTuple):
    """A request that was not obeyed: which field, why, and the remedy."""

    field: str
    reason: str
    remedy: str


class VoteStatus(NamedTuple):
    """For whom an acceptor has voted, as it tells operators.

    :param holder: empty where for nobody.
    :param held_for: microseconds since it first voted for that holder under that fencing token.
    :param time_left: microseconds until the vote expires.
    :param waiting: proposers that it turned away lately.
    """

    task: str
    holder: str
    process_token: str
    fencing_token: int
    held_for: int
    time_left: int
    waiting: tuple[str, ...]


class AcceptorStatus(NamedTuple):
    """An acceptor, as it tells operators.

    :param time_until_voting: microseconds until it votes.
    :param refused_requests: how many were not obeyed.
    """

    acceptor: str
    version: int
    terms_checksum: int
    time_until_voting: int
    refused_requests: int
    votes: tuple[VoteStatus, ...]
