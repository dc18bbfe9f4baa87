"""What keepers and claimants agree on, and what they say to each other.

A lease is held by whoever has the votes of a majority of keepers.  A vote runs out by itself, on the keeper's
clock; a lease ends before it, on the holder's, counted from before the votes were asked for.  Nothing else is
taken for granted of time than the drift.
"""

from dataclasses import dataclass
from typing import NamedTuple
from zlib import crc32

S = 1_000_000  # us
DRIFT = 200  # parts in a million by which a clock may be fast or slow: crystals stay under 100
LENGTH = 3 * S  # us of a lease: a task has no holder for about as long after a kill
RENEWALS = 3  # in a lease: two may be lost or late
ACT_MOST = 8  # a holder begins nothing in the last eighth of a lease: an act takes less
TASKS_MOST = 256  # of a plan
NAME_MOST = 64  # characters of a task's, claimant's or keeper's name
NUMBER_MOST = 1 << 53  # whole in JSON wherever it is read


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """:param keepers: by name; a majority of them grants.
    :param version: of that list: it changes by one keeper at a time, each time one higher.
    :param length: us of a lease.
    :param drift: parts in a million by which any clock may be fast or slow.
    :param tasks: by name, those who are preferred as holders.
    """

    keepers: tuple[str, ...]
    version: int = 1
    length: int = LENGTH
    drift: int = DRIFT
    tasks: tuple[tuple[str, tuple[str, ...]], ...] = ()

    @property
    def majority(self) -> int:
        return len(self.keepers) // 2 + 1

    @property
    def figures(self) -> int:
        """By which two parties see that they go by the same terms, whoever is preferred."""
        return crc32(repr((self.keepers, self.version, self.length, self.drift)).encode())

    @property
    def every(self) -> int:
        """us between two asks of a holder."""
        return self.length // RENEWALS

    @property
    def act(self) -> int:
        """us that an act may take: none begins when less of the lease is left."""
        return self.length // ACT_MOST

    def ends(self, asked: int) -> int:
        """us of the holder's clock at which a lease ends whose votes were asked for then."""
        return asked + self.length - self.slack(self.length)

    def silent(self, began: int) -> int:
        """us of a keeper's clock until which it votes for nobody, as it may have voted before it began."""
        return began + self.length + self.slack(self.length)

    def slack(self, time: int) -> int:
        """us by which two clocks may differ after that time, rounded up."""
        return -(-2 * time * self.drift // 1_000_000)


class VoteRequest(NamedTuple):
    """A claimant asks a keeper for its vote, or to go on with it.

    :param token: of the process: another one under the same name is another claimant.
    :param round: counts the asks of that process for that task; only answers to the last one count.
    :param number: under which it would act, or acts.
    :param holds: it acts: a keeper that has forgotten numbers hears of this one.
    """

    task: str
    name: str
    token: str
    round: int
    number: int
    figures: int
    holds: bool = False


class VoteRelease(NamedTuple):
    """A claimant gives its vote back: it acts no more under that number."""

    task: str
    name: str
    token: str
    number: int


class VoteReply(NamedTuple):
    """A keeper's answer to one ask.

    :param given: it has voted for the asker.
    :param highest: number that it knows of.
    :param left: us until the vote for somebody else ends, or until a keeper that has just begun votes.
    :param holder: for whom it has voted instead; nothing: for nobody.
    """

    task: str
    keeper: str
    token: str
    round: int
    given: bool
    highest: int
    left: int = 0
    holder: str = ""


class FencingToken(NamedTuple):
    """The highest number of a task that a keeper knows of, and whose it was."""

    number: int
    name: str
    token: str


class VoteRefusal(NamedTuple):
    """A word that was not obeyed: which field, why, and what to do."""

    place: str
    reason: str
    remedy: str


class VoteStatus(NamedTuple):
    """For whom a keeper has voted, as it tells operators.

    :param holder: nothing: for nobody.
    :param since: us since it first voted for that holder under that number.
    :param left: us until the vote ends.
    :param waiting: claimants that it turned away lately.
    """

    task: str
    holder: str
    token: str
    number: int
    since: int
    left: int
    waiting: tuple[str, ...]


class AcceptorStatus(NamedTuple):
    """A keeper, as it tells operators.

    :param silent: us until it votes.
    :param refused: words that were not obeyed.
    """

    keeper: str
    version: int
    figures: int
    silent: int
    refused: int
    votes: tuple[VoteStatus, ...]
