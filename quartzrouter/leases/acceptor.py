"""What one keeper decides: for whom it votes, and for how long.  Alone it decides nothing.

Votes are kept in memory.  A keeper that has just begun may have voted before, so it votes for nobody until
that must be over (PaxosLease: Trencseni, Gazso and Reinhardt); numbers that it had heard of are kept on its
disk, if it has one, and heard again from holders meanwhile.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from quartzrouter.leases.terms import (
    NAME_MOST,
    NUMBER_MOST,
    TASKS_MOST,
    AcceptorStatus,
    FencingToken,
    LeaseTerms,
    S,
    VoteRefusal,
    VoteRelease,
    VoteReply,
    VoteRequest,
    VoteStatus,
)

WAITING_MOST = 64  # claimants of a task that were turned away and are told when it is free, oldest first
WAITS_FOR = 30 * S  # us for which one that was turned away counts as waiting
SHUNNED_LEASES = 3  # for which a holder is left out that an operator has taken a task from
TOLD_AT_ONCE = 2  # of them, when it gets free: more would all ask, and one gets it
REFUSED_KINDS = 8  # fields by which words that are not obeyed are counted


@dataclass(slots=True)
class TaskVote:
    """A keeper's vote for one task.

    :param highest: number that it has voted for, or that a holder has told, and `by` whose it was.
    """

    name: str = ""
    token: str = ""
    number: int = 0
    until: int = 0
    since: int = 0
    highest: int = 0
    by: tuple[str, str] = ("", "")
    shunned: str = ""  # a holder that an operator wants gone, until a time
    shunned_until: int = 0
    waiting: OrderedDict[str, int] = field(default_factory=OrderedDict)  # when last turned away, by name


class Acceptor:
    """:param name: its own, of the list.
    :param now: us of its monotonic clock, at which it begins; so are all times.
    :param highest: by task, numbers found on its disk, and whose they were: name and token.
    """

    def __init__(
        self, terms: LeaseTerms, name: str, now: int, highest: dict[str, FencingToken] | None = None
    ):
        self.terms, self.name = terms, name
        self.from_ = terms.silent(now)
        self.ballots: dict[str, TaskVote] = {}
        self.refused: dict[str, int] = {}
        for task, found in (highest or {}).items():
            self.ballots[task] = TaskVote(highest=found.number, by=(found.name, found.token))

    def vote(self, said: VoteRequest, now: int) -> VoteReply | VoteRefusal:
        """Votes for whoever asks, unless it has voted for somebody else."""
        if found := self._refusal(said):
            self._count(found)
            return found
        ballot = self.ballots.setdefault(said.task, TaskVote())
        asker = (said.name, said.token)
        taken = ballot.until > now and (ballot.name, ballot.token) != asker
        low = said.number < ballot.highest or (said.number == ballot.highest and ballot.by != asker)
        shunned = ballot.shunned == said.name and now < ballot.shunned_until
        no = taken or low or shunned or now < self.from_
        if not low and (said.holds or not no):
            ballot.highest, ballot.by = said.number, asker
        if no:
            until = ballot.shunned_until if shunned else self.from_
            return self._turned_away(ballot, said, taken, until, now)
        if (ballot.name, ballot.token, ballot.number) != (*asker, said.number) or ballot.until <= now:
            ballot.since = now
        (ballot.name, ballot.token), ballot.number = asker, said.number
        ballot.until = now + self.terms.length
        ballot.waiting.pop(said.name, None)
        return VoteReply(said.task, self.name, said.token, said.round, True, ballot.highest)

    def _turned_away(
        self, ballot: TaskVote, said: VoteRequest, taken: bool, until: int, now: int
    ) -> VoteReply:
        left = ballot.until - now if taken else max(0, until - now)
        if taken:
            ballot.waiting[said.name] = now
            while len(ballot.waiting) > WAITING_MOST:
                ballot.waiting.popitem(last=False)
        holder = ballot.name if taken else ""
        return VoteReply(said.task, self.name, said.token, said.round, False, ballot.highest, left, holder)

    def _refusal(self, said: VoteRequest) -> VoteRefusal | None:
        if said.figures != self.terms.figures:
            return VoteRefusal(
                "figures",
                f"{self.name} goes by version {self.terms.version} of the keepers",
                "give keepers and claimants the same plan",
            )
        for place, word in (("task", said.task), ("name", said.name), ("token", said.token)):
            if not 0 < len(word) <= NAME_MOST:
                return VoteRefusal(place, f"{word!r:.60} is no name", "mend the sender")
        if said.task not in dict(self.terms.tasks):
            return VoteRefusal(
                "task", f"there is no task {said.task!r:.60}", "name it in the plan's `leases`"
            )
        if not 0 < said.number <= NUMBER_MOST or not 0 < said.round <= NUMBER_MOST:
            return VoteRefusal("number", f"{said.number} is out of range", "mend the sender")
        return None

    def _count(self, refusal: VoteRefusal) -> None:
        if refusal.place in self.refused or len(self.refused) < REFUSED_KINDS:
            self.refused[refusal.place] = self.refused.get(refusal.place, 0) + 1

    def free(self, said: VoteRelease, now: int) -> tuple[str, ...]:
        """Takes a vote back from whoever gives it up; names those to be told, who were turned away first."""
        ballot = self.ballots.get(said.task)
        if ballot is None or (ballot.name, ballot.token) != (said.name, said.token):
            return ()
        if said.number < ballot.number or ballot.until <= now:  # a late word on an earlier lease
            return ()
        ballot.until = now
        for name in [name for name, at in ballot.waiting.items() if now - at > WAITS_FOR]:
            del ballot.waiting[name]
        told = tuple(ballot.waiting)[:TOLD_AT_ONCE]
        for name in told:
            del ballot.waiting[name]
        return told

    def shun(self, task: str, now: int) -> str:
        """Votes for others first; names the holder whose votes run out now."""
        ballot = self.ballots.get(task)
        if ballot is None or ballot.until <= now:
            return ""
        ballot.shunned, ballot.shunned_until = ballot.name, now + SHUNNED_LEASES * self.terms.length
        return ballot.name

    def next(self, terms: LeaseTerms, others: dict[str, int], now: int) -> VoteRefusal | None:
        """Goes by another list of keepers, or says why it doesn't.

        :param others: by name, the version that each keeper of the list until now says it goes by.
        """
        before, after = set(self.terms.keepers), set(terms.keepers)
        gone, come = before - after, after - before
        if self.name not in terms.keepers:
            return VoteRefusal("keepers", f"{self.name} is not among them", "stop it: its votes run out")
        if (terms.length, terms.drift) != (self.terms.length, self.terms.drift):
            remedy = "stop all keepers and claimants, then start them with it"
            return VoteRefusal("length", "length and drift can't change in service", remedy)
        if not gone and not come and terms.version == self.terms.version:
            self.terms = terms
            return None
        if terms.version != self.terms.version + 1 or len(gone) + len(come) > 1:
            return VoteRefusal(
                "keepers",
                f"version {terms.version} with {len(gone) + len(come)} changes after {self.terms.version}",
                "change one keeper at a time, and count the version up by one",
            )
        late = [name for name in self.terms.keepers if name != self.name and name not in gone]
        late = [name for name in late if others.get(name, 0) < self.terms.version]
        if late:
            return VoteRefusal(
                "keepers",
                f"{', '.join(late)} may not have version {self.terms.version} yet",
                "see that each keeper runs and has read it, then send SIGHUP again",
            )
        self.terms = terms
        return None

    def highest(self) -> dict[str, FencingToken]:
        """By task: what is to be on the disk before an answer is given that has raised it."""
        return {
            task: FencingToken(each.highest, *each.by) for task, each in self.ballots.items() if each.highest
        }

    def told(self, now: int) -> AcceptorStatus:
        votes = []
        for task, ballot in list(self.ballots.items())[:TASKS_MOST]:
            held = ballot.until > now
            waiting = tuple(name for name, at in ballot.waiting.items() if now - at <= WAITS_FOR)
            votes.append(
                VoteStatus(
                    task,
                    ballot.name if held else "",
                    ballot.token if held else "",
                    ballot.highest,
                    now - ballot.since if held else 0,
                    ballot.until - now if held else 0,
                    waiting,
                )
            )
        refused = sum(self.refused.values())
        silent = max(0, self.from_ - now)
        terms = self.terms
        return AcceptorStatus(self.name, terms.version, terms.figures, silent, refused, tuple(votes))
