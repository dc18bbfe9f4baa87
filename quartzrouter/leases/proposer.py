"""What one proposer of one task decides: when to request votes, whether it holds the lease, when to let go.

A round is one request to all acceptors.  The lease counts from the moment before the round was requested, so
no late reply lengthens it; only replies to the last round count, so none that was duplicated or reordered
counts twice.  No I/O.
"""

import zlib
from dataclasses import dataclass, field
from typing import NamedTuple

from quartzrouter.leases.terms import MAX_FENCING_TOKEN, LeaseTerms, VoteRelease, VoteReply, VoteRequest

NEVER = 1 << 62  # us
JITTER_DIVISOR = 4  # rounds without a majority are followed by a draw of up to a quarter of a lease
PREFERENCE_DIVISOR = 2  # half a lease, for which others leave a free task to those that are preferred
MAX_FAILURES = 6  # doublings of the pause of a proposer whose task fails
REFUSAL_PAUSE = 1_000_000  # us until an acceptor that refused a request is asked again
NOTIFICATION_DIVISOR = 8  # of that half a lease, after which those not preferred ask for a released vote


class SendToAcceptors(NamedTuple):
    """Effect: send this to every acceptor."""

    message: VoteRequest | VoteRelease


class LeaseAcquired(NamedTuple):
    """Effect: the task is held, under that fencing token."""

    fencing_token: int


class LeaseLost(NamedTuple):
    """Effect: the task is held no more."""

    reason: str


Effect = SendToAcceptors | LeaseAcquired | LeaseLost


@dataclass
class Proposer:
    """One proposer of one task.

    :param name: of the proposer, and `process_token` of its process.
    :param now: microseconds of its monotonic clock; so are all times.

    The other fields are its state: `highest_token_seen` is the highest fencing token that it has heard of,
    `granted_by` and `answered_by` are acceptors of the current round, `refusals_by_holder` counts those that
    have voted for another proposer.  `may_repeat_token` tells whether the next round may ask under the same
    fencing token.
    """

    terms: LeaseTerms
    task: str
    name: str
    process_token: str
    now: int
    is_wanted: bool = True
    round: int = 0
    requested_at: int = 0  # the last round
    fencing_token: int = 0  # under which it asks
    highest_token_seen: int = 0
    lease_ends_at: int = 0
    is_holder: bool = False
    acquired_at: int = 0
    granted_by: set[str] = field(default_factory=set)
    answered_by: set[str] = field(default_factory=set)
    refusals_by_holder: dict[str, int] = field(default_factory=dict)
    next_request_at: int = 0
    held_by_other_until: int = 0
    holder: str = ""
    failures: int = 0
    refusal: str = ""  # why a request was not obeyed
    draws: int = 0  # chance draws so far
    may_repeat_token: bool = False

    def __post_init__(self) -> None:
        self.next_request_at = self.now + self._jitter() + self._preference_delay()

    # -- holding -------------------------------------------------------------------------------------------

    def may_act(self, now: int) -> bool:
        """Whether an action may start now.

        Guards against a holder that was stopped and wakes behind the end of its lease.

        :param now: microseconds, read right before the action.
        """
        return self.is_holder and now + self.terms.max_action_time < self.lease_ends_at

    # -- time ----------------------------------------------------------------------------------------------

    def tick(self, now: int, wall_clock: int) -> list[Effect]:
        """Does what is due: the end of the lease, the next round.

        :param wall_clock: milliseconds.
        """
        effects: list[Effect] = []
        if self.is_holder and not self.may_act(now):
            effects += self._lose("no majority of keepers has answered in time", now)
        if self.is_wanted and now >= self.next_request_at:
            effects += self._request_votes(now, wall_clock)
        return effects

    def time_until_due(self, now: int) -> int:
        """Microseconds until `tick` has something to do."""
        last_action_at = self.lease_ends_at - self.terms.max_action_time if self.is_holder else NEVER
        next_request_at = self.next_request_at if self.is_wanted else NEVER
        return max(0, min(next_request_at, last_action_at) - now)

    def _request_votes(self, now: int, wall_clock: int) -> list[Effect]:
        if not self.is_holder and not self.may_repeat_token:
            self._raise_token(wall_clock)
        self.round += 1
        self.requested_at = now
        self.granted_by = set()
        self.answered_by = set()
        self.refusals_by_holder = {}
        self.next_request_at = now + self.terms.renewal_interval
        request = VoteRequest(
            self.task,
            self.name,
            self.process_token,
            self.round,
            self.fencing_token,
            self.terms.checksum,
            self.is_holder,
        )
        return [SendToAcceptors(request)]

    def _raise_token(self, wall_clock: int) -> None:
        """Chooses a fencing token for the next attempt.

        Each attempt has one of its own, so that a late release of an earlier one undoes nothing.  The wall
        clock is a floor for the case that all acceptors have forgotten theirs.  An attempt goes on under its
        token for as long as nothing was released and no acceptor has seen another's as high.  Guards against
        disks that make a token durable more slowly than rounds follow each other: under a token that they
        have written acceptors reply at once, under ever new ones never in time.
        """
        candidate = max(self.highest_token_seen + 1, self.fencing_token + 1, wall_clock)
        self.fencing_token = min(MAX_FENCING_TOKEN, candidate)
        self.may_repeat_token = True

    # -- replies -------------------------------------------------------------------------------------------

    def handle_reply(self, reply: VoteReply, now: int) -> list[Effect]:
        """Handles an acceptor's reply.

        :param reply: from the acceptor whose connection it came on.
        """
        is_ours = reply.process_token == self.process_token and reply.task == self.task
        if not is_ours or reply.acceptor not in self.terms.acceptors:
            return []
        if not 0 <= reply.highest_token <= MAX_FENCING_TOKEN:
            return []
        self.highest_token_seen = max(self.highest_token_seen, reply.highest_token)
        is_token_taken = not reply.granted and reply.highest_token >= self.fencing_token
        if is_token_taken or reply.highest_token > self.fencing_token:
            self.may_repeat_token = False
        if reply.round != self.round or reply.acceptor in self.answered_by:
            return []
        self.answered_by.add(reply.acceptor)
        if reply.granted:
            self.granted_by.add(reply.acceptor)
            if len(self.granted_by) >= self.terms.majority:
                return self._acquire(now)
        else:
            self._count_refusal(reply, now)
        return self._end_hopeless_round(now)

    def _count_refusal(self, reply: VoteReply, now: int) -> None:
        self.refusals_by_holder[reply.holder] = self.refusals_by_holder.get(reply.holder, 0) + 1
        if reply.time_left > 0:
            time_left = min(reply.time_left, self.terms.ttl)
            self.held_by_other_until = max(self.held_by_other_until, now + time_left)
            self.holder = reply.holder

    def _acquire(self, now: int) -> list[Effect]:
        """A majority has granted this round: the lease begins, or goes on."""
        lease_ends_at = self.terms.lease_end(self.requested_at)
        if lease_ends_at <= now + self.terms.max_action_time:
            return []  # the replies came too late to be of use
        self.lease_ends_at = lease_ends_at
        self.holder = self.name
        self.held_by_other_until = 0
        if self.is_holder:
            if now - self.acquired_at >= self.terms.ttl:
                self.failures = 0  # its work has gone well for a while
            return []
        self.is_holder = True
        self.acquired_at = now
        return [LeaseAcquired(self.fencing_token)]

    def _end_hopeless_round(self, now: int) -> list[Effect]:
        """Where no majority can come any more, gives votes back: others may have them."""
        refused = len(self.answered_by) - len(self.granted_by)
        if self.is_holder or refused <= len(self.terms.acceptors) - self.terms.majority:
            return []
        most_refusals = max(self.refusals_by_holder.values(), default=0)
        one_holds_it = most_refusals >= self.terms.majority  # split votes are soon given back
        pause = max(0, self.held_by_other_until - now) if one_holds_it else 0
        is_token_too_low = self.highest_token_seen > self.fencing_token and not pause
        if is_token_too_low:
            self.next_request_at = now  # under a higher one, at once
        else:
            penalty = self._jitter() + self._preference_delay() + self._failure_penalty()
            self.next_request_at = now + pause + penalty
        self.held_by_other_until = 0
        return self._release_votes() if self.granted_by else []

    def handle_vote_available(self, now: int) -> None:
        """An acceptor tells that its vote is free: those of the others soon are, too."""
        if not self.is_holder and self.is_wanted:
            delay = self._preference_delay() // NOTIFICATION_DIVISOR + self._failure_penalty()
            self.next_request_at = min(self.next_request_at, now + delay)

    def handle_refusal(self, reason: str, now: int) -> None:
        """An acceptor didn't obey a request."""
        self.refusal = reason
        if not self.is_holder:
            self.next_request_at = max(self.next_request_at, now + REFUSAL_PAUSE)

    # -- letting go ----------------------------------------------------------------------------------------

    def handle_superseding_token(self, fencing_token: int, now: int) -> list[Effect]:
        """Whoever was acted on has seen a higher fencing token: this lease is over."""
        self.highest_token_seen = max(self.highest_token_seen, min(fencing_token, MAX_FENCING_TOKEN))
        if not self.is_holder or fencing_token <= self.fencing_token:
            return []
        return self._give_up("a higher number has acted", now)

    def handle_task_failure(self, now: int) -> list[Effect]:
        """The task fails here: another proposer may have it, and this one waits longer each time."""
        self.failures = min(MAX_FAILURES, self.failures + 1)
        return self._give_up("the task failed here", now) if self.is_holder else []

    def release(self, now: int) -> list[Effect]:
        """Wants the task no more: whoever waits may have it at once."""
        self.is_wanted = False
        if self.is_holder:
            return self._give_up("it was given up", now)
        return self._release_votes() if self.granted_by else []

    def _give_up(self, reason: str, now: int) -> list[Effect]:
        """Ends the lease first, then says so: actions end before another proposer can start."""
        effects = self._lose(reason, now)
        return [*effects, *self._release_votes()]

    def _lose(self, reason: str, now: int) -> list[Effect]:
        self.is_holder = False
        self.lease_ends_at = 0
        self.holder = ""
        self.granted_by = set()
        self.may_repeat_token = False
        self.round += 1  # replies to the last round count no more
        penalty = self._jitter() + self._preference_delay() + self._failure_penalty()
        self.next_request_at = now + penalty
        return [LeaseLost(reason)]

    def _release_votes(self) -> list[Effect]:
        self.may_repeat_token = False
        return [SendToAcceptors(VoteRelease(self.task, self.name, self.process_token, self.fencing_token))]

    # -- delays --------------------------------------------------------------------------------------------

    def _preference_delay(self) -> int:
        preferred = dict(self.terms.tasks).get(self.task, ())
        return self.terms.ttl // PREFERENCE_DIVISOR if preferred and self.name not in preferred else 0

    def _failure_penalty(self) -> int:
        return self.terms.ttl << (self.failures - 1) if self.failures else 0

    def _jitter(self) -> int:
        """A draw, so that proposers whose votes were split don't ask at the same time again."""
        self.draws += 1
        draw = zlib.crc32(f"{self.name}/{self.process_token}/{self.draws}".encode())
        return draw % max(1, self.terms.ttl // JITTER_DIVISOR)
