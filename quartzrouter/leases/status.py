"""Derives from the status of all acceptors who holds each task, and why nobody does.  Does no I/O."""

from collections import Counter
from typing import NamedTuple

from quartzrouter.leases.terms import MICROSECONDS_PER_SECOND, AcceptorStatus, LeaseTerms, VoteStatus

MICROSECONDS_PER_MILLISECOND = 1_000

# By acceptor, its status, or the reason why it is unknown.
AcceptorAnswers = dict[str, AcceptorStatus | str]
# By acceptor that answered, its vote for one task.
VotesByAcceptor = dict[str, VoteStatus | None]


class TaskStatus(NamedTuple):
    """The status of one task.

    :param holder: the proposer that holds the lease; empty if no proposer has the votes of a majority.
    :param votes: the number of the holder's votes; without a holder, the most that any proposer has.
    :param held_for: microseconds since the last of the holder's acceptors first voted for this lease.
    :param time_left: microseconds until the lease's votes expire, unless it is renewed.
    :param waiting: proposers whose requests were denied recently.
    """

    task: str
    holder: str
    fencing_token: int
    votes: int
    held_for: int
    time_left: int
    waiting: tuple[str, ...]


def task_statuses(terms: LeaseTerms, answers: AcceptorAnswers) -> list[TaskStatus]:
    """Returns the status of each task."""
    return [_task_status(terms, task, _votes(answers, task)) for task, _ in terms.tasks]


def _votes(answers: AcceptorAnswers, task: str) -> VotesByAcceptor:
    statuses = {name: status for name, status in answers.items() if not isinstance(status, str)}
    return {
        name: next((vote for vote in status.votes if vote.task == task), None)
        for name, status in statuses.items()
    }


def _task_status(terms: LeaseTerms, task: str, votes: VotesByAcceptor) -> TaskStatus:
    known = [vote for vote in votes.values() if vote]
    given = [vote for vote in known if vote.holder]
    waiting = tuple(sorted({name for vote in known for name in vote.waiting}))
    most_common = Counter((vote.holder, vote.process_token) for vote in given).most_common(1)
    holder, count = most_common[0] if most_common else (("", ""), 0)
    if count < terms.majority:
        highest_token = max((vote.fencing_token for vote in known), default=0)
        return TaskStatus(task, "", highest_token, count, 0, 0, waiting)
    of_holder = [vote for vote in given if (vote.holder, vote.process_token) == holder]
    # the lease lasts until fewer votes than a majority remain
    time_left = sorted(vote.time_left for vote in of_holder)[-terms.majority]
    return TaskStatus(
        task,
        holder[0],
        max(vote.fencing_token for vote in of_holder),
        count,
        min(vote.held_for for vote in of_holder),
        time_left,
        tuple(name for name in waiting if name != holder[0]),
    )


def describe(status: TaskStatus) -> str:
    """Returns a line for the terminal."""
    waiting = f", {len(status.waiting)} wait" if status.waiting else ""
    if not status.holder:
        return f"{status.task:20} nobody{waiting}"
    held_for = f"for {status.held_for / MICROSECONDS_PER_SECOND:.1f} s"
    lease = f"{status.holder}, number {status.fencing_token}, {held_for}, {status.votes} votes"
    return f"{status.task:20} {lease}{waiting}"


def explain(terms: LeaseTerms, answers: AcceptorAnswers, task: str) -> list[str]:
    """Returns lines for the terminal: the status, each acceptor's vote, and why nobody holds the task."""
    votes = _votes(answers, task)
    status = _task_status(terms, task, votes)
    lines = [describe(status)]
    for name in terms.acceptors:
        answer = answers.get(name, "not asked")
        if isinstance(answer, str):
            lines.append(f"  keeper {name}: no answer: {answer}")
        else:
            lines.append(f"  keeper {name}: {_describe_vote(terms, answer, votes.get(name))}")
    if not status.holder:
        lines.append(f"  nobody holds it: {_cause_without_holder(terms, answers, votes, status)}")
    return lines


def _describe_vote(terms: LeaseTerms, answer: AcceptorStatus, vote: VoteStatus | None) -> str:
    text = "free"
    if vote and vote.holder:
        time_left = vote.time_left / MICROSECONDS_PER_MILLISECOND
        text = f"voted for {vote.holder}, {time_left:.0f} ms left"
    if answer.terms_checksum != terms.checksum:
        text += f"; has version {answer.version}, this plan has version {terms.version}"
    if answer.time_until_voting:
        text += f"; has just started, votes in {answer.time_until_voting / MICROSECONDS_PER_SECOND:.1f} s"
    return text


def _cause_without_holder(
    terms: LeaseTerms, answers: AcceptorAnswers, votes: VotesByAcceptor, status: TaskStatus
) -> str:
    """Returns why nobody holds a task, and what to do."""
    answered = [answer for answer in answers.values() if not isinstance(answer, str)]
    if len(answered) < terms.majority:
        count = f"{len(answered)} of {len(terms.acceptors)} keepers answer"
        return f"{count}, {terms.majority} are needed: start them"
    of_same_terms = [answer for answer in answered if answer.terms_checksum == terms.checksum]
    if len(of_same_terms) < terms.majority:
        return "keepers have other plans than this one: give them this plan and send SIGHUP"
    if sum(not answer.time_until_voting for answer in of_same_terms) < terms.majority:
        return "keepers have just started and vote only after earlier votes must have expired: wait"
    if any(vote and vote.holder for vote in votes.values()):
        return "votes are split, or a holder has ended: wait for the time of a lease"
    if status.waiting:
        return "claimants are waiting: wait for the time of a lease"
    return "nobody asks for it: make sure that a claimant runs and can connect to the keepers"
