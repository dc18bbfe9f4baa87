"""What one acceptor decides: for whom it votes, and for how long.  No I/O; alone it decides nothing.

Votes are kept in memory.  An acceptor that has just started may have voted before, so it votes for nobody
until that vote must have expired (PaxosLease: Trencseni, Gazso and Reinhardt).  Fencing tokens are kept on
its disk, if it has one, and learnt again from holders meanwhile.
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

MAX_WAITING = 64  # proposers of a task that were turned away and hear when its vote is free, oldest first
WAITING_EXPIRES_AFTER = (
    30 * MICROSECONDS_PER_SECOND
)  # us for which one that was turned away counts as waiting
REVOCATION_LEASES = 3  # for which a holder gets no vote after an operator has revoked its lease
MAX_NOTIFIED = 2  # of those that wait, when a vote is released: more would all ask, and one gets it
MAX_REFUSAL_FIELDS = 8  # fields by which refused requests are counted


@dataclass(slots=True)
class TaskVote:
    """An acceptor's vote for one task.

    :param highest_token: the highest fencing token that it has voted for, or that a holder has told.
    :param highest_token_owner: whose that was: proposer and process token.
    :param revoked_holder: a holder that an operator wants gone, until `revoked_until`.
    :param waiting: by proposer, when it was last turned away.
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
        """Proposer and process token that the vote is for."""
        return self.proposer, self.process_token


class Acceptor:
    """One acceptor.

    :param name: its own, of the list in the terms.
    :param now: microseconds of its monotonic clock at which it starts; so are all times.
    :param highest_tokens: by task, fencing tokens found on its disk.
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
        """Votes for the proposer that asks, unless it has voted for another.

        :returns: a refusal where the request can't be obeyed whatever the votes are.
        """
        refusal = self._refusal(request)
        if refusal is not None:
            self._count(refusal)
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
            return self._turn_away(vote, request, is_taken, free_at, now)
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

    def _turn_away(
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
                f"{self.name} goes by version {self.terms.version} of the keepers",
                "give keepers and claimants the same plan",
            )
        names = (("task", request.task), ("name", request.proposer), ("token", request.process_token))
        for name_of_field, name in names:
            if not 0 < len(name) <= MAX_NAME_LENGTH:
                return VoteRefusal(name_of_field, f"{name!r:.60} is no name", "mend the sender")
        if request.task not in dict(self.terms.tasks):
            return VoteRefusal(
                "task", f"there is no task {request.task!r:.60}", "name it in the plan's `leases`"
            )
        numbers_fit = (
            0 < request.fencing_token <= MAX_FENCING_TOKEN and 0 < request.round <= MAX_FENCING_TOKEN
        )
        if not numbers_fit:
            return VoteRefusal("number", f"{request.fencing_token} is out of range", "mend the sender")
        return None

    def _count(self, refusal: VoteRefusal) -> None:
        if refusal.field in self.refusals_by_field or len(self.refusals_by_field) < MAX_REFUSAL_FIELDS:
            self.refusals_by_field[refusal.field] = self.refusals_by_field.get(refusal.field, 0) + 1

    # -- giving votes back ---------------------------------------------------------------------------------

    def release(self, request: VoteRelease, now: int) -> tuple[str, ...]:
        """Frees the vote that a proposer gives up.

        Guards against a delayed release that undoes a later lease of the same process: it names an older
        fencing token.

        :returns: proposers to be told, those that were turned away first; none where nothing was released.
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
        """Votes for other proposers first, for some leases.

        :returns: the holder whose votes run out now; empty where there is none.
        """
        vote = self.votes.get(task)
        if vote is None or vote.expires_at <= now:
            return ""
        vote.revoked_holder = vote.proposer
        vote.revoked_until = now + REVOCATION_LEASES * self.terms.ttl
        return vote.proposer

    # -- membership ----------------------------------------------------------------------------------------

    def change_terms(self, terms: LeaseTerms, versions: dict[str, int]) -> VoteRefusal | None:
        """Replaces the list of acceptors by another, if that is safe.

        Guards against two majorities that share no acceptor: lists one acceptor apart always do, lists two
        apart needn't, so no acceptor goes on to the next list before all others have the one before.

        :param versions: by name, the version that each other acceptor of the current list says it goes by.
        :returns: why the terms stay as they are; None where they have changed.
        """
        current, proposed = set(self.terms.acceptors), set(terms.acceptors)
        removed, added = current - proposed, proposed - current
        changes = len(removed) + len(added)
        if self.name not in terms.acceptors:
            return VoteRefusal("keepers", f"{self.name} is not among them", "stop it: its votes run out")
        if (terms.ttl, terms.max_clock_drift) != (self.terms.ttl, self.terms.max_clock_drift):
            remedy = "stop all keepers and claimants, then start them with it"
            return VoteRefusal("length", "length and drift can't change in service", remedy)
        if changes == 0 and terms.version == self.terms.version:
            self.terms = terms
            return None
        if terms.version != self.terms.version + 1 or changes > 1:
            return VoteRefusal(
                "keepers",
                f"version {terms.version} with {changes} changes after {self.terms.version}",
                "change one keeper at a time, and count the version up by one",
            )
        behind = self._acceptors_behind(removed, versions)
        if behind:
            return VoteRefusal(
                "keepers",
                f"{', '.join(behind)} may not have version {self.terms.version} yet",
                "see that each keeper runs and has read it, then send SIGHUP again",
            )
        self.terms = terms
        return None

    def _acceptors_behind(self, removed: set[str], versions: dict[str, int]) -> list[str]:
        """Acceptors that stay and may not have the current list yet."""
        others = [name for name in self.terms.acceptors if name != self.name and name not in removed]
        return [name for name in others if versions.get(name, 0) < self.terms.version]

    # -- what it tells -------------------------------------------------------------------------------------

    def highest_tokens(self) -> dict[str, FencingToken]:
        """By task: what has to be on the disk before a reply goes out that has raised it."""
        return {
            task: FencingToken(vote.highest_token, *vote.highest_token_owner)
            for task, vote in self.votes.items()
            if vote.highest_token
        }

    def status(self, now: int) -> AcceptorStatus:
        """What operators and other acceptors are told."""
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
    """Whether a request is under a fencing token at or below one that was another proposer's.

    Guards against an action that falls behind: whoever is acted on has seen the higher token.
    """
    if request.fencing_token == vote.highest_token:
        return vote.highest_token_owner != (request.proposer, request.process_token)
    return request.fencing_token < vote.highest_token
