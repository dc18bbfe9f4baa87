"""A proposer of one task: decides when to request votes, whether it holds the lease, and when to release it.

A round is one request to all acceptors.  The lease's time to live counts from just before the round was sent,
so a late reply doesn't extend it.  Only replies to the last round count, so a duplicated or reordered reply
isn't counted twice.  Does no I/O.
"""

import zlib
from dataclasses import dataclass, field
from typing import NamedTuple

from quartzrouter.leases.terms import MAX_FENCING_TOKEN, LeaseTerms, VoteRelease, VoteReply, VoteRequest

NEVER = 1 << 62  # microseconds, later than any time of a clock
JITTER_DIVISOR = 4  # a round without a majority is followed by a random delay of up to a quarter of a lease
PREFERENCE_DIVISOR = 2  # other proposers leave a free task to the preferred ones for half a lease
MAX_FAILURES = 6  # failures of the task after which the proposer's pause no longer doubles
REFUSAL_PAUSE = 1_000_000  # microseconds that a proposer without the lease waits after a refusal
NOTIFICATION_DIVISOR = 8  # divides the preference delay once a vote is known to be available


class SendToAcceptors(NamedTuple):
    """An effect: send the message to every acceptor."""

    message: VoteRequest | VoteRelease


class LeaseAcquired(NamedTuple):
    """An effect: the lease was acquired, with that fencing token."""

    fencing_token: int


class LeaseLost(NamedTuple):
    """An effect: the lease was lost or released."""

    reason: str


Effect = SendToAcceptors | LeaseAcquired | LeaseLost


@dataclass
class Proposer:
    """One proposer of one task.

    :param name: the proposer's name, and `process_token` a random token of its process.
    :param now: the current time.  All times are microseconds of the proposer's monotonic clock.

    The other fields are its state.  `highest_token_seen` is the highest fencing token that it has learnt of.
    `granted_by` and `answered_by` are acceptors of the current round, and `denials_by_holder` counts those
    that denied their vote, by the proposer that has it.  `may_repeat_token` is True if the next round may use
    the same fencing token.
    """

    terms: LeaseTerms
    task: str
    name: str
    process_token: str
    now: int
    is_wanted: bool = True
    round: int = 0
    requested_at: int = 0  # when the last round was sent
    fencing_token: int = 0  # of the lease that it holds or requests
    highest_token_seen: int = 0
    lease_ends_at: int = 0
    is_holder: bool = False
    acquired_at: int = 0
    granted_by: set[str] = field(default_factory=set)
    answered_by: set[str] = field(default_factory=set)
    denials_by_holder: dict[str, int] = field(default_factory=dict)
    next_request_at: int = 0
    held_by_other_until: int = 0
    holder: str = ""
    failures: int = 0
    refusal: str = ""  # why an acceptor last refused a request
    draws: int = 0  # random delays drawn so far
    may_repeat_token: bool = False

    def __post_init__(self) -> None:
        self.next_request_at = self.now + self._jitter() + self._preference_delay()

    # -- the lease -----------------------------------------------------------------------------------------

    def may_act(self, now: int) -> bool:
        """Returns True if an action may start now.

        Guards against a holder that was suspended and resumes after the end of its lease.

        :param now: the time, read right before the action.
        """
        return self.is_holder and now + self.terms.max_action_time < self.lease_ends_at

    # -- time ----------------------------------------------------------------------------------------------

    def tick(self, now: int, wall_clock: int) -> list[Effect]:
        """Does what is due: ends a lease that has expired, and starts the next round.

        :param wall_clock: the time of the wall clock, in milliseconds.
        """
        effects: list[Effect] = []
        if self.is_holder and not self.may_act(now):
            effects += self._lose("no majority of keepers has renewed it in time", now)
        if self.is_wanted and now >= self.next_request_at:
            effects += self._request_votes(now, wall_clock)
        return effects

    def time_until_due(self, now: int) -> int:
        """Returns the microseconds until `tick` has something to do."""
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
        self.denials_by_holder = {}
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
        """Chooses a fencing token for the next attempt to acquire the lease.

        Each attempt has its own token, so that a delayed release of an earlier attempt has no effect.  The
        wall clock is a lower bound, in case all acceptors have lost their tokens.

        Later rounds repeat the token until the proposer releases its votes or loses the lease, or an acceptor
        has seen a higher token, or denies its vote and has seen one as high from another proposer.  A new
        token in each round would fail if a disk takes longer to store a token than the time between rounds:
        no reply would come in time.  An acceptor that has stored the token already replies at once.
        """
        candidate = max(self.highest_token_seen + 1, self.fencing_token + 1, wall_clock)
        self.fencing_token = min(MAX_FENCING_TOKEN, candidate)
        self.may_repeat_token = True

    # -- replies -------------------------------------------------------------------------------------------

    def handle_reply(self, reply: VoteReply, now: int) -> list[Effect]:
        """Handles an acceptor's reply.

        :param reply: a reply that came on the connection to the acceptor that it names.
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
            self._count_denial(reply, now)
        return self._end_failed_round(now)

    def _count_denial(self, reply: VoteReply, now: int) -> None:
        self.denials_by_holder[reply.holder] = self.denials_by_holder.get(reply.holder, 0) + 1
        if reply.time_left > 0:
            time_left = min(reply.time_left, self.terms.ttl)
            self.held_by_other_until = max(self.held_by_other_until, now + time_left)
            self.holder = reply.holder

    def _acquire(self, now: int) -> list[Effect]:
        """Starts or renews the lease, as a majority has granted this round."""
        lease_ends_at = self.terms.lease_end(self.requested_at)
        if lease_ends_at <= now + self.terms.max_action_time:
            return []  # the replies came too late: no action could start
        self.lease_ends_at = lease_ends_at
        self.holder = self.name
        self.held_by_other_until = 0
        if self.is_holder:
            if now - self.acquired_at >= self.terms.ttl:
                self.failures = 0  # its work has run for a lease's time
            return []
        self.is_holder = True
        self.acquired_at = now
        return [LeaseAcquired(self.fencing_token)]

    def _end_failed_round(self, now: int) -> list[Effect]:
        """Ends a round that can no longer get a majority, and releases its votes so that others get them."""
        denials = len(self.answered_by) - len(self.granted_by)
        if self.is_holder or denials <= len(self.terms.acceptors) - self.terms.majority:
            return []
        most_denials = max(self.denials_by_holder.values(), default=0)
        is_held_by_other = most_denials >= self.terms.majority  # split votes are soon released
        pause = max(0, self.held_by_other_until - now) if is_held_by_other else 0
        is_token_too_low = self.highest_token_seen > self.fencing_token and not pause
        if is_token_too_low:
            self.next_request_at = now  # with a higher token, at once
        else:
            penalty = self._jitter() + self._preference_delay() + self._failure_penalty()
            self.next_request_at = now + pause + penalty
        self.held_by_other_until = 0
        return self._release_votes() if self.granted_by else []

    def handle_vote_available(self, now: int) -> None:
        """Schedules a request soon: an acceptor's vote is available, and those of the others soon will be."""
        if not self.is_holder and self.is_wanted:
            delay = self._preference_delay() // NOTIFICATION_DIVISOR + self._failure_penalty()
            self.next_request_at = min(self.next_request_at, now + delay)

    def handle_refusal(self, reason: str, now: int) -> None:
        """Records why an acceptor refused a request, and delays the next one."""
        self.refusal = reason
        if not self.is_holder:
            self.next_request_at = max(self.next_request_at, now + REFUSAL_PAUSE)

    # -- ending the lease ----------------------------------------------------------------------------------

    def handle_superseding_token(self, fencing_token: int, now: int) -> list[Effect]:
        """Ends the lease if the target of an action has seen a higher fencing token."""
        self.highest_token_seen = max(self.highest_token_seen, min(fencing_token, MAX_FENCING_TOKEN))
        if not self.is_holder or fencing_token <= self.fencing_token:
            return []
        return self._give_up("the target of an action has seen a higher number", now)

    def handle_task_failure(self, now: int) -> list[Effect]:
        """Gives up the lease after a failure of the task; this proposer's pause doubles each time."""
        self.failures = min(MAX_FAILURES, self.failures + 1)
        return self._give_up("the task failed here", now) if self.is_holder else []

    def release(self, now: int) -> list[Effect]:
        """Stops requesting the lease and releases it, so that a waiting proposer can acquire it at once."""
        self.is_wanted = False
        if self.is_holder:
            return self._give_up("it was released", now)
        return self._release_votes() if self.granted_by else []

    def _give_up(self, reason: str, now: int) -> list[Effect]:
        """Ends the lease, then releases its votes, so that actions end before another proposer starts."""
        effects = self._lose(reason, now)
        return [*effects, *self._release_votes()]

    def _lose(self, reason: str, now: int) -> list[Effect]:
        self.is_holder = False
        self.lease_ends_at = 0
        self.holder = ""
        self.granted_by = set()
        self.may_repeat_token = False
        self.round += 1  # replies to the last round no longer count
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
        """Draws a delay, so that proposers with split votes don't send requests at the same time again."""
        self.draws += 1
        draw = zlib.crc32(f"{self.name}/{self.process_token}/{self.draws}".encode())
        return draw % max(1, self.terms.ttl // JITTER_DIVISOR)
