"""What one claimant of one task decides: when to ask, whether it holds the lease, when to let go.

A round is one ask to all keepers.  The lease runs from the moment before the round was asked, so no late
answer lengthens it; only answers to the last round count, so none that was doubled or swapped counts twice.
"""

import zlib
from dataclasses import dataclass, field
from typing import NamedTuple

from quartzrouter.leases.terms import NUMBER_MOST, LeaseTerms, VoteRelease, VoteReply, VoteRequest

SPREAD = 4  # rounds that found no majority are followed by a draw of up to a quarter of a lease
YIELD = 2  # of a lease, for which one that isn't preferred leaves a free task to those that are
FAILED_MOST = 6  # doublings of the pause of one that fails at its task
REFUSED_PAUSE = 1_000_000  # us until a keeper that refused a word is asked again


class SendToAcceptors(NamedTuple):
    """Effect: say this to every keeper."""

    said: VoteRequest | VoteRelease


class LeaseAcquired(NamedTuple):
    """Effect: the task is held, under that number."""

    number: int


class LeaseLost(NamedTuple):
    """Effect: the task is held no more."""

    why: str


Effect = SendToAcceptors | LeaseAcquired | LeaseLost


@dataclass
class Proposer:
    """:param name: of the claimant, and `token` of its process.
    :param now: us of its monotonic clock; so are all times.
    """

    terms: LeaseTerms
    task: str
    name: str
    token: str
    now: int
    wanted: bool = True
    round: int = 0
    asked: int = 0  # when the last round was
    number: int = 0  # under which it asks
    floor: int = 0  # the highest that it has heard of
    until: int = 0  # of the lease
    holding: bool = False
    since: int = 0  # when it was gained
    given: set[str] = field(default_factory=set)  # keepers that said yes in this round
    answered: set[str] = field(default_factory=set)
    against: dict[str, int] = field(default_factory=dict)  # keepers that said no, by holder
    due: int = 0  # when to ask next
    left: int = 0  # until when somebody else is said to hold it
    holder: str = ""
    failures: int = 0
    refused: str = ""  # why words were not obeyed
    draws: int = 0

    def __post_init__(self) -> None:
        self.due = self.now + self._draw(self.terms.length // SPREAD) + self._yields()

    # -- holding -------------------------------------------------------------------------------------------

    def held(self, now: int) -> bool:
        """Whether an act may begin now.

        :param now: us, read right before the act: whoever was stopped may wake behind the lease's end.
        """
        return self.holding and now + self.terms.act < self.until

    # -- time ----------------------------------------------------------------------------------------------

    def tick(self, now: int, wall: int) -> list[Effect]:
        """What is due: an end that has come, the next round.

        :param wall: ms of the wall clock.
        """
        effects: list[Effect] = []
        if self.holding and now + self.terms.act >= self.until:
            effects += self._lost("no majority of keepers has answered in time", now)
        if self.wanted and now >= self.due:
            effects += self._ask(now, wall)
        return effects

    def wait(self, now: int) -> int:
        """us until something is due."""
        ends = self.until - self.terms.act if self.holding else 1 << 62
        return max(0, min(self.due if self.wanted else 1 << 62, ends) - now)

    def _ask(self, now: int, wall: int) -> list[Effect]:
        if not self.holding:  # a number of its own each time: a late word on an earlier one undoes nothing
            self.number = min(NUMBER_MOST, max(self.floor + 1, self.number + 1, wall))
        self.round, self.asked = self.round + 1, now
        self.given, self.answered, self.against = set(), set(), {}
        self.due = now + self.terms.every
        told = (self.name, self.token, self.round, self.number, self.terms.figures, self.holding)
        return [SendToAcceptors(VoteRequest(self.task, *told))]

    # -- hearing -------------------------------------------------------------------------------------------

    def answer(self, said: VoteReply, now: int) -> list[Effect]:
        """Takes a keeper's answer in.

        :param said: from the keeper whose connection it came on.
        """
        if said.token != self.token or said.task != self.task or said.keeper not in self.terms.keepers:
            return []
        if not 0 <= said.highest <= NUMBER_MOST:
            return []
        self.floor = max(self.floor, said.highest)
        if said.round != self.round or said.keeper in self.answered:
            return []
        self.answered.add(said.keeper)
        if said.given:
            self.given.add(said.keeper)
            if len(self.given) >= self.terms.majority:
                return self._gained(now)
        else:
            self.against[said.holder] = self.against.get(said.holder, 0) + 1
        if said.left > 0 and not said.given:
            self.left, self.holder = max(self.left, now + min(said.left, self.terms.length)), said.holder
        return self._settled(now)

    def _gained(self, now: int) -> list[Effect]:
        until = self.terms.ends(self.asked)
        if until <= now + self.terms.act:
            return []  # all came too late to be of use
        self.until, self.holder, self.left = until, self.name, 0
        if self.holding:
            if now - self.since >= self.terms.length:
                self.failures = 0  # it has worked for a while
            return []
        self.holding, self.since = True, now
        return [LeaseAcquired(self.number)]

    def _settled(self, now: int) -> list[Effect]:
        """Where no majority can come any more, votes that came are given back: others may have them."""
        no = len(self.answered) - len(self.given)
        if self.holding or no <= len(self.terms.keepers) - self.terms.majority:
            return []
        one = max(self.against.values(), default=0) >= self.terms.majority
        pause = max(0, self.left - now) if one else 0  # split votes are soon given back
        low = self.floor > self.number and not pause  # only the number was: the next is higher, at once
        self.due = now if low else now + pause + self._pause()
        self.left = 0
        return (
            [SendToAcceptors(VoteRelease(self.task, self.name, self.token, self.number))]
            if self.given
            else []
        )

    def _pause(self) -> int:
        return self._draw(self.terms.length // SPREAD) + self._yields() + self._penalty()

    def freed(self, now: int) -> None:
        """A keeper tells that its vote is free: the others' soon are, too."""
        if not self.holding and self.wanted:
            self.due = min(self.due, now + self._yields() // 8 + self._penalty())

    def refuse(self, why: str, now: int) -> None:
        """A keeper didn't obey."""
        self.refused = why
        if not self.holding:
            self.due = max(self.due, now + REFUSED_PAUSE)

    # -- letting go ----------------------------------------------------------------------------------------

    def passed(self, number: int, now: int) -> list[Effect]:
        """Somebody that was acted on has seen a higher number: this one is over."""
        self.floor = max(self.floor, min(number, NUMBER_MOST))
        if not self.holding or number <= self.number:
            return []
        return self._release("a higher number has acted", now)

    def failed(self, now: int) -> list[Effect]:
        """The task goes wrong here: another may have it, and this one waits longer each time."""
        self.failures = min(FAILED_MOST, self.failures + 1)
        return self._release("the task failed here", now) if self.holding else []

    def release(self, now: int) -> list[Effect]:
        """The claimant is told to stop: whoever waits may have it at once."""
        self.wanted = False
        if self.holding:
            return self._release("it was given up", now)
        return (
            [SendToAcceptors(VoteRelease(self.task, self.name, self.token, self.number))]
            if self.given
            else []
        )

    def _release(self, why: str, now: int) -> list[Effect]:
        """Acts end before the word that says so."""
        effects = self._lost(why, now)
        return [*effects, SendToAcceptors(VoteRelease(self.task, self.name, self.token, self.number))]

    def _lost(self, why: str, now: int) -> list[Effect]:
        self.holding, self.until, self.holder, self.given = False, 0, "", set()
        self.round += 1  # what still comes of the last round counts no more
        self.due = now + self._draw(self.terms.length // SPREAD) + self._yields() + self._penalty()
        return [LeaseLost(why)]

    # -- chance --------------------------------------------------------------------------------------------

    def _yields(self) -> int:
        prefer = dict(self.terms.tasks).get(self.task, ())
        return self.terms.length // YIELD if prefer and self.name not in prefer else 0

    def _penalty(self) -> int:
        return self.terms.length << (self.failures - 1) if self.failures else 0

    def _draw(self, below: int) -> int:
        self.draws += 1
        return zlib.crc32(f"{self.name}/{self.token}/{self.draws}".encode()) % max(1, below)
