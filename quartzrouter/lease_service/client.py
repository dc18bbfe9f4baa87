"""The lease client of one process: connects its proposers to the acceptors, and runs work under leases.

    client = ClusterLeaseClient(terms, addresses, "deliver-a", report)
    tasks.start_soon(client.run)
    await client.perform("deliver", work)

`work` is called with a lease handle whenever the lease is acquired, and is cancelled when it is lost.
"""

import secrets
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import NoReturn

import anyio

from quartzrouter.lease_service.plan_terms import Addresses
from quartzrouter.leases import messages
from quartzrouter.leases.proposer import Effect, LeaseAcquired, LeaseLost, Proposer, SendToAcceptors
from quartzrouter.leases.terms import MAX_NAME_LENGTH, LeaseTerms, VoteRelease, VoteRequest
from quartzrouter.purge_log.line_connection import (
    LineQueue,
    connect,
    describe_error,
    first_error,
    read_lines,
)
from quartzrouter.purges.messages import encode_line
from quartzrouter.purges.reconnect_backoff import ReconnectBackoff
from quartzrouter.server.clock import steady_clock, wall_clock
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.server.turns import TurnQueue

MICROSECONDS_PER_SECOND = 1e6
MICROSECONDS_PER_MILLISECOND = 1_000
# Lease times without a reply to requests after which a connection is treated as broken.
SILENCE_TIMEOUT_LEASES = 2
RELEASE_SEND_TIMEOUT = 0.2  # seconds for the last releases to be sent
RELEASE_SEND_POLL_INTERVAL = 0.005  # seconds
WORK_END_POLL_INTERVAL = 0.001  # seconds
MIN_TICK_INTERVAL = 0.001  # seconds
MAX_QUEUED_LINES = 64  # to an acceptor that reads nothing; older ones are obsolete
# A proposer without a lease sends a request within a quarter of the renewal interval of a new connection.
FIRST_REQUEST_DIVISOR = 4
TOKEN_BYTES = 8


class AcceptorConnection:
    """The connection to one acceptor, which is re-established whenever it ends."""

    def __init__(self, name: str, address: tuple[str, int], client: "ClusterLeaseClient"):
        self.name = name
        self.outgoing = LineQueue(MAX_QUEUED_LINES)
        self._address = address
        self._client = client
        self._backoff = ReconnectBackoff([address], f"{client.name} {name}")
        self._unanswered_requests = 0  # lines sent since the last reply

    def send(self, line: bytes, expects_reply: bool) -> None:
        """Queues a line for the current connection, or drops it if there is none."""
        if self.outgoing.put(line):
            self._unanswered_requests += expects_reply

    async def run(self) -> None:
        """Connects, and reconnects whenever the connection ends, until it is cancelled."""
        while True:
            try:
                await self._follow()
            except* Exception as group:
                reason = describe_error(first_error(group))
                self._client.report.say("lease", f"keeper {self.name}: {reason}; reconnecting")
            self.outgoing.close()
            await anyio.sleep(self._backoff.next_delay() / MICROSECONDS_PER_SECOND)

    async def _follow(self) -> None:
        stream = await connect(self._address)
        async with stream, anyio.create_task_group() as tasks:
            self.outgoing.open()
            self._unanswered_requests = 0
            tasks.start_soon(self.outgoing.write_to, stream)
            tasks.start_soon(self._watch_silence)
            self._client.connected()
            async for line in read_lines(stream, self._client.turns):
                self._unanswered_requests = 0
                self._backoff.record_success()
                self._client.handle(self.name, messages.decode_from_acceptor(line))
            raise anyio.EndOfStream("it closed the connection")

    async def _watch_silence(self) -> NoReturn:
        """Ends the connection if requests get no reply for some lease times.

        Guards against a network path that is cut without a reset, which isn't reported in any other way: the
        proposer would wait for votes that a new connection could get.
        """
        timeout = SILENCE_TIMEOUT_LEASES * self._client.terms.ttl / MICROSECONDS_PER_SECOND
        while True:
            unanswered_before = self._unanswered_requests
            await anyio.sleep(timeout)
            if unanswered_before and self._unanswered_requests >= unanswered_before:
                raise TimeoutError(f"no answer for {timeout:.1f} s")


class HeldLease:
    """The handle of a lease that is held, for the work under it."""

    def __init__(self, client: "ClusterLeaseClient", proposer: Proposer):
        self.fencing_token = proposer.fencing_token
        self._client = client
        self._proposer = proposer

    @property
    def is_current(self) -> bool:
        """True if the proposer still holds this lease, and not a later one."""
        return self._proposer.is_holder and self._proposer.fencing_token == self.fencing_token

    def may_act(self) -> bool:
        """Returns True if an action may start; call it right before each action."""
        is_same_lease = self._proposer.fencing_token == self.fencing_token
        return is_same_lease and self._proposer.may_act(self._client.steady())

    def handle_superseding_token(self, fencing_token: int) -> None:
        """Ends the lease if the target of an action has seen a higher fencing token."""
        effects = self._proposer.handle_superseding_token(fencing_token, self._client.steady())
        self._client.carry_out(self._proposer, effects)


class ClusterLeaseClient:
    """The proposers of one process, one for each task whose lease it wants.

    :param addresses: the addresses of the acceptors, by name.
    :param name: the name of the process's proposers.
    :param steady: returns the time of the monotonic clock, in microseconds.
    :param wall: returns the time of the wall clock, in microseconds.
    """

    def __init__(
        self,
        terms: LeaseTerms,
        addresses: Addresses,
        name: str,
        report: RateLimitedLog,
        steady: Callable[[], int] = steady_clock,
        wall: Callable[[], int] = wall_clock,
    ):
        self.terms = terms
        self.name = name[:MAX_NAME_LENGTH]
        self.report = report
        self.steady = steady
        self.turns = TurnQueue()  # of the connections to all acceptors
        self.process_token = secrets.token_hex(TOKEN_BYTES)
        self.proposers: dict[str, Proposer] = {}  # by task
        self._wall = wall
        self._holder_changed: dict[str, anyio.Event] = {}  # by task
        self._working: set[str] = set()  # tasks whose work is running
        self._acceptors = [AcceptorConnection(acceptor, at, self) for acceptor, at in addresses.items()]
        self._wake = anyio.Event()  # set if a proposer may be due sooner than expected

    def propose(self, task: str) -> Proposer:
        """Starts to request the lease of a task.

        :raises KeyError: if the terms don't contain the task.
        """
        dict(self.terms.tasks)[task]
        if task not in self.proposers:
            self.proposers[task] = Proposer(self.terms, task, self.name, self.process_token, self.steady())
            self._holder_changed[task] = anyio.Event()
            self._wake.set()
        return self.proposers[task]

    async def run(self) -> None:
        """Requests votes until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            for acceptor in self._acceptors:
                tasks.start_soon(acceptor.run)
            while True:
                self._tick()
                wait = min(
                    (proposer.time_until_due(self.steady()) for proposer in self.proposers.values()),
                    default=self.terms.renewal_interval,
                )
                self._wake = anyio.Event()
                with anyio.move_on_after(max(MIN_TICK_INTERVAL, wait / MICROSECONDS_PER_SECOND)):
                    await self._wake.wait()

    def _tick(self) -> None:
        """Lets each proposer do what is due, and sends all their messages together."""
        now = self.steady()
        wall_clock_ms = self._wall() // MICROSECONDS_PER_MILLISECOND
        to_send: list[SendToAcceptors] = []
        for proposer in list(self.proposers.values()):
            to_send += self._apply(proposer, proposer.tick(now, wall_clock_ms))
        self._send(to_send)

    # -- work ----------------------------------------------------------------------------------------------

    async def perform(self, task: str, work: Callable[[HeldLease], Awaitable[None]]) -> None:
        """Runs the work whenever the task's lease is held; releases the lease if the work fails or ends."""
        proposer = self.propose(task)
        while True:
            while not proposer.is_holder:
                await self._holder_changed[task].wait()
            lease = HeldLease(self, proposer)
            self.report.say("lease", f"{task}: held here, number {lease.fencing_token}")
            self._working.add(task)
            failure = await self._run_work(task, lease, work)
            self._working.discard(task)
            if not failure and not lease.may_act():
                # The work ended because of its lease, which may still be renewed.  Counting that as a failure
                # doubled the pause each time, and left the task without a holder for several leases.
                await anyio.sleep(self.terms.max_action_time / MICROSECONDS_PER_SECOND)
            elif lease.is_current:
                self.report.say("lease", f"{task}: {failure or 'done here'}; released")
                self.carry_out(proposer, proposer.handle_task_failure(self.steady()))

    async def _run_work(
        self, task: str, lease: HeldLease, work: Callable[[HeldLease], Awaitable[None]]
    ) -> str:
        """Runs the work until it ends or the lease is lost; returns why it failed, or an empty string."""
        failure = ""
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._cancel_once_lost, task, lease, scope)
                try:
                    await work(lease)
                except* Exception as group:
                    error = group.exceptions[0]
                    failure = f"{type(error).__name__}: {error}"
                tasks.cancel_scope.cancel()
        return failure

    async def _cancel_once_lost(self, task: str, lease: HeldLease, scope: anyio.CancelScope) -> None:
        while lease.is_current:
            await self._holder_changed[task].wait()
        scope.cancel()

    async def release(self, tasks: Iterable[str] = ()) -> None:
        """Releases leases: ends them at once, and tells the acceptors when the work under them has ended.

        :param tasks: the tasks whose leases to release; empty: all.
        """
        released = list(tasks or self.proposers)
        to_send: list[SendToAcceptors] = []
        for task in released:
            proposer = self.proposers[task]
            to_send += self._apply(proposer, proposer.release(self.steady()))
        # after that time the leases have expired anyway
        lease_time = self.terms.ttl / MICROSECONDS_PER_SECOND
        with anyio.move_on_after(lease_time, shield=True) as wait_for_work:
            while self._working.intersection(released):
                await anyio.sleep(WORK_END_POLL_INTERVAL)
        if not wait_for_work.cancelled_caught:
            self._send(to_send)
        with anyio.move_on_after(RELEASE_SEND_TIMEOUT, shield=True):
            while any(acceptor.outgoing.lines for acceptor in self._acceptors):
                await anyio.sleep(RELEASE_SEND_POLL_INTERVAL)

    # -- messages ------------------------------------------------------------------------------------------

    def connected(self) -> None:
        """Lets proposers that have neither a lease nor a reply send a request soon after a connection."""
        now = self.steady()
        for proposer in self.proposers.values():
            if not proposer.is_holder and proposer.round and not proposer.answered_by:
                soon = now + self.terms.renewal_interval // FIRST_REQUEST_DIVISOR
                proposer.next_request_at = min(proposer.next_request_at, soon)
        self._wake.set()

    def handle(self, acceptor: str, message: messages.FromAcceptor) -> None:
        """Handles a message from an acceptor."""
        now = self.steady()
        match message:
            case messages.VoteReplies():
                self._handle_replies(acceptor, message, now)
            case messages.VoteAvailable(task):
                if proposer := self.proposers.get(task):
                    proposer.handle_vote_available(now)
            case messages.MessageRejected(reason, remedy):
                self.report.say("lease", f"keeper {acceptor} can't read a message: {reason}; {remedy}")
        self._wake.set()

    def _handle_replies(self, acceptor: str, message: messages.VoteReplies, now: int) -> None:
        for reply in message.replies:
            proposer = self.proposers.get(reply.task)
            if proposer and reply.acceptor == acceptor:
                self.carry_out(proposer, proposer.handle_reply(reply, now))
        for task, refusal in message.refused.items():
            if proposer := self.proposers.get(task):
                reason = f"{acceptor}: {refusal.field}: {refusal.reason}; {refusal.remedy}"
                proposer.handle_refusal(reason, now)
                self.report.say("lease", f"{task}: {reason}")

    def carry_out(self, proposer: Proposer, effects: Sequence[Effect]) -> None:
        """Carries out the effects of a proposer's decision."""
        self._send(self._apply(proposer, effects))

    def _apply(self, proposer: Proposer, effects: Sequence[Effect]) -> list[SendToAcceptors]:
        """Notifies the work that a lease was acquired or lost, before any message about it is sent.

        :returns: the messages to send.
        """
        to_send = []
        for effect in effects:
            match effect:
                case SendToAcceptors():
                    to_send.append(effect)
                case LeaseAcquired():
                    self._notify_work(proposer.task)
                case LeaseLost(reason):
                    self.report.say("lease", f"{proposer.task}: no longer held: {reason}")
                    self._notify_work(proposer.task)
        self._wake.set()
        return to_send

    def _notify_work(self, task: str) -> None:
        self._holder_changed[task].set()
        self._holder_changed[task] = anyio.Event()

    def _send(self, to_send: Sequence[SendToAcceptors]) -> None:
        """Sends releases, then requests, each in one line to every acceptor."""
        sent = [effect.message for effect in to_send]
        releases = tuple(message for message in sent if isinstance(message, VoteRelease))
        requests = tuple(message for message in sent if isinstance(message, VoteRequest))
        for acceptor in self._acceptors:
            if releases:
                acceptor.send(encode_line(messages.VoteReleases(releases)), expects_reply=False)
            if requests:
                acceptor.send(encode_line(messages.VoteRequests(requests)), expects_reply=True)
