"""What all keepers tell together: who holds which task, and why nobody does."""

from collections import Counter
from typing import NamedTuple

from quartzrouter.leases.terms import AcceptorStatus, LeaseTerms, S, VoteStatus


class TaskStatus(NamedTuple):
    """One task.

    :param holder: nothing: no majority has voted for anybody.
    :param since: us since it was first voted for.
    :param left: us until its votes end, if it is heard no more.
    """

    task: str
    holder: str
    number: int
    votes: int
    since: int
    left: int
    waiting: tuple[str, ...]


def held(terms: LeaseTerms, found: dict[str, AcceptorStatus | str]) -> list[TaskStatus]:
    """:param found: what each keeper told, or why it didn't."""
    return [_held(terms, task, _votes(found, task)) for task, _ in terms.tasks]


def _votes(found: dict[str, AcceptorStatus | str], task: str) -> dict[str, VoteStatus | None]:
    heard = {name: keeps for name, keeps in found.items() if not isinstance(keeps, str)}
    return {
        name: next((each for each in keeps.votes if each.task == task), None) for name, keeps in heard.items()
    }


def _held(terms: LeaseTerms, task: str, votes: dict[str, VoteStatus | None]) -> TaskStatus:
    given = [each for each in votes.values() if each and each.holder]
    waiting = tuple(sorted({name for each in votes.values() if each for name in each.waiting}))
    number = max((each.number for each in votes.values() if each), default=0)
    most = Counter((each.holder, each.token) for each in given).most_common(1)
    if not most or most[0][1] < terms.majority:
        return TaskStatus(task, "", number, most[0][1] if most else 0, 0, 0, waiting)
    who, count = most[0]
    of = [each for each in given if (each.holder, each.token) == who]
    since, left = min(each.since for each in of), sorted(each.left for each in of)[-terms.majority]
    number = max(each.number for each in of)
    return TaskStatus(task, who[0], number, count, since, left, tuple(n for n in waiting if n != who[0]))


def shown(view: TaskStatus) -> str:
    waiting = f", {len(view.waiting)} wait" if view.waiting else ""
    if not view.holder:
        return f"{view.task:20} nobody{waiting}"
    since = f"for {view.since / S:.1f} s"
    return f"{view.task:20} {view.holder}, number {view.number}, {since}, {view.votes} votes{waiting}"


def why(terms: LeaseTerms, found: dict[str, AcceptorStatus | str], task: str) -> list[str]:
    """Who voted for whom, and what that means."""
    votes = _votes(found, task)
    view = _held(terms, task, votes)
    lines = [shown(view)]
    for name in terms.keepers:
        said = found.get(name, "it was not asked")
        if isinstance(said, str):
            lines.append(f"  keeper {name}: no answer: {said}")
            continue
        vote = votes.get(name)
        what = f"voted for {vote.holder}, {vote.left / 1000:.0f} ms left" if vote and vote.holder else "free"
        if said.figures != terms.figures:
            what += f"; goes by version {said.version}, this plan is {terms.version}"
        if said.silent:
            what += f"; has just begun, votes in {said.silent / S:.1f} s"
        lines.append(f"  keeper {name}: {what}")
    if not view.holder:
        lines.append(f"  nobody holds it: {_cause(terms, found, votes, view)}")
    return lines


def _cause(
    terms: LeaseTerms,
    found: dict[str, AcceptorStatus | str],
    votes: dict[str, VoteStatus | None],
    view: TaskStatus,
) -> str:
    heard = [each for each in found.values() if not isinstance(each, str)]
    if len(heard) < terms.majority:
        return f"{len(heard)} of {len(terms.keepers)} keepers answer, {terms.majority} are needed: start them"
    able = [each for each in heard if each.figures == terms.figures]
    if len(able) < terms.majority:
        return "keepers go by other plans than this: send them SIGHUP with it"
    if sum(not each.silent for each in able) < terms.majority:
        return "keepers have just begun and vote once earlier votes must be over: wait"
    if any(vote and vote.holder for vote in votes.values()):
        return "votes are split, or a holder has gone: wait for a lease"
    if view.waiting:
        return "claimants wait: wait for a lease"
    return "nobody asks for it: see that a claimant runs and reaches the keepers"
