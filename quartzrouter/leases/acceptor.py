"""An acceptor: decides for which proposer it votes, and for how long.  Does no I/O.

One acceptor's vote grants no lease: that takes a majority.  Votes are kept in memory.  An acceptor that has
just started may have voted before, so it votes for no proposer until that vote must have expired (PaxosLease:
Trencseni, Gazso and Reinhardt).  Fencing tokens are stored on its disk, if it has one; meanwhile, or without
a disk, it learns them again from holders.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from quartzrouter.leases.terms import (
    MAX_FENCING_TOKEN,
    MAX_NAME_LENGTH,
    MAX_TASKS,
    MICROSECONDS_PER_SECOND,
    AcceptorStatus,
    FencingToken,
    LeaseTerms,
    VoteRefusal,
    VoteRelease,
    VoteReply,
    VoteRequest,
    VoteStatus,
)

# Denied proposers of a task that wait for its vote; they are notified once it is available, oldest first.
MAX_WAITING = 64
# Microseconds for which a proposer whose request was denied counts as waiting.
WAITING_EXPIRES_AFTER = 30 * MICROSECONDS_PER_SECOND
REVOCATION_LEASES = 3  # lease times for which a holder gets no vote after an operator has revoked its lease
# Waiting proposers that are notified of a released vote.  More would all request it, and only one can get it.
MAX_NOTIFIED = 2
MAX_REFUSAL_FIELDS = 8  # distinct fields for which refusals are counted


@dataclass(slots=True)
class TaskVote:
    """An acceptor's vote for one task.

    :param highest_token: the highest fencing token that it has voted for, or that a holder has reported.
    :param highest_token_owner: the proposer and process token that used it.
    :param revoked_holder: a holder whose lease was revoked by an operator; it gets no vote until
        `revoked_until`.
    :param waiting: by proposer, when its request was last denied.
    """

    proposer: str = ""
    process_token: str = ""
    fencing_token: int = 0
    expires_at: int = 0
    granted_at: int = 0
    highest_token: int = 0
    highest_token_owner: tuple[str, str] = ("", "")
    revoked_holder: str = ""
    revoked_until: int = 0
    waiting: OrderedDict[str, int] = field(default_factory=OrderedDict)

    @property
    def owner(self) -> tuple[str, str]:
        """The proposer and process token that the vote is for."""
        return self.proposer, self.process_token


class Acceptor:
    """One acceptor and its votes.

    :param name: the acceptor's name in the terms.
    :param now: the time at which it starts.  All times are microseconds of its monotonic clock.
    :param highest_tokens: by task, the fencing tokens that were read from its disk.
    """

    def __init__(
        self, terms: LeaseTerms, name: str, now: int, highest_tokens: dict[str, FencingToken] | None = None
    ):
        self.terms = terms
        self.name = name
        self.voting_starts_at = terms.voting_starts_at(now)
        self.votes: dict[str, TaskVote] = {}
        self.refusals_by_field: dict[str, int] = {}
        for task, token in (highest_tokens or {}).items():
            owner = (token.proposer, token.process_token)
            self.votes[task] = TaskVote(highest_token=token.number, highest_token_owner=owner)

    # -- voting --------------------------------------------------------------------------------------------

    def vote(self, request: VoteRequest, now: int) -> VoteReply | VoteRefusal:
        """Votes for the proposer that requests it, unless the vote is another's.

        :returns: the reply, granted or denied; a refusal if the request is invalid.
        """
        refusal = self._refusal(request)
        if refusal is not None:
            self._count_refusal(refusal)
            return refusal
        vote = self.votes.setdefault(request.task, TaskVote())
        proposer = (request.proposer, request.process_token)
        is_taken = vote.expires_at > now and vote.owner != proposer
        is_outdated = _is_outdated(vote, request)
        is_revoked = vote.revoked_holder == request.proposer and now < vote.revoked_until
        is_denied = is_taken or is_outdated or is_revoked or now < self.voting_starts_at
        if not is_outdated and (request.is_holder or not is_denied):
            vote.highest_token = request.fencing_token
            vote.highest_token_owner = proposer
        if is_denied:
            free_at = vote.revoked_until if is_revoked else self.voting_starts_at
            return self._deny(vote, request, is_taken, free_at, now)
        self._grant(vote, request, now)
        return VoteReply(
            request.task, self.name, request.process_token, request.round, True, vote.highest_token
        )

    def _grant(self, vote: TaskVote, request: VoteRequest, now: int) -> None:
        proposer = (request.proposer, request.process_token)
        is_renewal = (*vote.owner, vote.fencing_token) == (*proposer, request.fencing_token)
        if not is_renewal or vote.expires_at <= now:
            vote.granted_at = now
        vote.proposer, vote.process_token = proposer
        vote.fencing_token = request.fencing_token
        vote.expires_at = now + self.terms.ttl
        vote.waiting.pop(request.proposer, None)

    def _deny(
        self, vote: TaskVote, request: VoteRequest, is_taken: bool, free_at: int, now: int
    ) -> VoteReply:
        time_left = vote.expires_at - now if is_taken else max(0, free_at - now)
        if is_taken:
            vote.waiting[request.proposer] = now
            while len(vote.waiting) > MAX_WAITING:
                vote.waiting.popitem(last=False)
        return VoteReply(
            request.task,
            self.name,
            request.process_token,
            request.round,
            False,
            vote.highest_token,
            time_left,
            vote.proposer if is_taken else "",
        )

    def _refusal(self, request: VoteRequest) -> VoteRefusal | None:
        if request.terms_checksum != self.terms.checksum:
            return VoteRefusal(
                "figures",
                f"{self.name} has version {self.terms.version} of the keepers",
                "give keepers and claimants the same plan",
            )
        names = (("task", request.task), ("name", request.proposer), ("token", request.process_token))
        for field_name, name in names:
            if not 0 < len(name) <= MAX_NAME_LENGTH:
                return VoteRefusal(field_name, f"{name!r:.60} is not a valid name", "fix the sender")
        if request.task not in dict(self.terms.tasks):
            return VoteRefusal(
                "task", f"there is no task {request.task!r:.60}", "add it to the plan's `leases`"
            )
        numbers_fit = (
            0 < request.fencing_token <= MAX_FENCING_TOKEN and 0 < request.round <= MAX_FENCING_TOKEN
        )
        if not numbers_fit:
            return VoteRefusal("number", f"{request.fencing_token} is out of range", "fix the sender")
        return None

    def _count_refusal(self, refusal: VoteRefusal) -> None:
        if refusal.field in self.refusals_by_field or len(self.refusals_by_field) < MAX_REFUSAL_FIELDS:
            self.refusals_by_field[refusal.field] = self.refusals_by_field.get(refusal.field, 0) + 1

    # -- releasing votes -----------------------------------------------------------------------------------

    def release(self, request: VoteRelease, now: int) -> tuple[str, ...]:
        """Releases the vote that a proposer gives up.

        Guards against a delayed release that would end a later lease of the same process: it carries an older
        fencing token, and is ignored.

        :returns: the waiting proposers to notify, those that were denied first; none if nothing was released.
        """
        vote = self.votes.get(request.task)
        if vote is None or vote.owner != (request.proposer, request.process_token):
            return ()
        if request.fencing_token < vote.fencing_token or vote.expires_at <= now:
            return ()
        vote.expires_at = now
        expired = [name for name, since in vote.waiting.items() if now - since > WAITING_EXPIRES_AFTER]
        for name in expired:
            del vote.waiting[name]
        notified = tuple(vote.waiting)[:MAX_NOTIFIED]
        for name in notified:
            del vote.waiting[name]
        return notified

    def revoke(self, task: str, now: int) -> str:
        """Denies the holder any new vote for ``REVOCATION_LEASES`` lease times, so that others get the task.

        :returns: the holder, whose current vote is left to expire; empty if there is none.
        """
        vote = self.votes.get(task)
        if vote is None or vote.expires_at <= now:
            return ""
        vote.revoked_holder = vote.proposer
        vote.revoked_until = now + REVOCATION_LEASES * self.terms.ttl
        return vote.proposer

    # -- membership ----------------------------------------------------------------------------------------

    def change_terms(self, terms: LeaseTerms, versions: dict[str, int]) -> VoteRefusal | None:
        """Replaces the list of acceptors with another one, if that is safe.

        Guards against two majorities that share no acceptor.  Majorities of lists that differ by one acceptor
        always share one; those of lists that differ by two may not.  So no acceptor changes to the next list
        before all others have the current one.

        :param versions: by name, the version of the list that each other current acceptor reports.
        :returns: the reason why the terms are unchanged; None if they have changed.
        """
        current, proposed = set(self.terms.acceptors), set(terms.acceptors)
        removed, added = current - proposed, proposed - current
        changes = len(removed) + len(added)
        if self.name not in terms.acceptors:
            return VoteRefusal("keepers", f"{self.name} is not among them", "stop it: its votes expire")
        if (terms.ttl, terms.max_clock_drift) != (self.terms.ttl, self.terms.max_clock_drift):
            remedy = "stop all keepers and claimants, then start them with the new plan"
            return VoteRefusal("length", "length and drift can't be changed while keepers run", remedy)
        if changes == 0 and terms.version == self.terms.version:
            self.terms = terms
            return None
        if terms.version != self.terms.version + 1 or changes > 1:
            return VoteRefusal(
                "keepers",
                f"version {terms.version} with {changes} changes after {self.terms.version}",
                "change one keeper at a time, and increase the version by one",
            )
        behind = self._acceptors_behind(removed, versions)
        if behind:
            return VoteRefusal(
                "keepers",
                f"{', '.join(behind)} may not have version {self.terms.version} yet",
                "make sure that each keeper runs and has read it, then send SIGHUP again",
            )
        self.terms = terms
        return None

    def _acceptors_behind(self, removed: set[str], versions: dict[str, int]) -> list[str]:
        """Returns the remaining acceptors that may not have the current list yet."""
        others = [name for name in self.terms.acceptors if name != self.name and name not in removed]
        return [name for name in others if versions.get(name, 0) < self.terms.version]

    # -- reporting -----------------------------------------------------------------------------------------

    def highest_tokens(self) -> dict[str, FencingToken]:
        """Returns the highest token of each task; a reply that raised it is sent once it is on the disk."""
        return {
            task: FencingToken(vote.highest_token, *vote.highest_token_owner)
            for task, vote in self.votes.items()
            if vote.highest_token
        }

    def status(self, now: int) -> AcceptorStatus:
        """Returns the status that operators and other acceptors see."""
        votes = tuple(
            self._vote_status(task, vote, now) for task, vote in list(self.votes.items())[:MAX_TASKS]
        )
        refused = sum(self.refusals_by_field.values())
        time_until_voting = max(0, self.voting_starts_at - now)
        return AcceptorStatus(
            self.name, self.terms.version, self.terms.checksum, time_until_voting, refused, votes
        )

    @staticmethod
    def _vote_status(task: str, vote: TaskVote, now: int) -> VoteStatus:
        is_held = vote.expires_at > now
        waiting = tuple(name for name, since in vote.waiting.items() if now - since <= WAITING_EXPIRES_AFTER)
        return VoteStatus(
            task,
            vote.proposer if is_held else "",
            vote.process_token if is_held else "",
            vote.highest_token,
            now - vote.granted_at if is_held else 0,
            vote.expires_at - now if is_held else 0,
            waiting,
        )


def _is_outdated(vote: TaskVote, request: VoteRequest) -> bool:
    """Returns True if a request's fencing token is below the highest one, or equal to another proposer's.

    Guards against actions that come too late: their target has seen the higher token.
    """
    if request.fencing_token == vote.highest_token:
        return vote.highest_token_owner != (request.proposer, request.process_token)
    return request.fencing_token < vote.highest_token
