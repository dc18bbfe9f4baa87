"""A claimant's side: a line to each keeper, the claims of its tasks on them, and work while one is held.

    claims = Claims(terms, addresses, "deliver-a", report)
    tasks.start_soon(claims.run)
    await claims.perform("deliver", work)

`work` is called with a Hold whenever the task is gained, and is cancelled when it is lost.
"""

import secrets
from collections.abc import Awaitable, Callable, Iterable

import anyio

from quartzrouter.leases import messages
from quartzrouter.leases.proposer import Effect, LeaseAcquired, LeaseLost, Proposer, SendToAcceptors
from quartzrouter.leases.terms import NAME_MOST, LeaseTerms, VoteRelease
from quartzrouter.purge_log.line_connection import connect, read_lines
from quartzrouter.purges.messages import encode_line
from quartzrouter.purges.reconnect_backoff import ReconnectBackoff
from quartzrouter.server.clock import steady_clock, wall_clock
from quartzrouter.server.rate_limited_log import RateLimitedLog

SILENT_LEASES = 2  # without an answer to what was asked, until a connection is taken for broken
LAST_WORDS = 0.2  # s for what is given up to be said at the end
OUT_MOST = 64  # lines to a keeper that takes nothing; older ones count for nothing any more


class AcceptorConnection:
    """A line to one keeper: connects anew whenever it ends."""

    def __init__(self, name: str, address: tuple[str, int], claims: "ClusterLeaseClient"):
        self.name, self.address, self.claims = name, address, claims
        self.attempts = ReconnectBackoff([address], f"{claims.name} {name}")
        self.out: list[bytes] | None = None
        self.wake = anyio.Event()
        self.unanswered = 0  # lines of asks since the last word

    def tell(self, data: bytes, ask: bool) -> None:
        if self.out is not None:
            self.out.append(data)
            del self.out[:-OUT_MOST]
            self.unanswered += ask
            self.wake.set()

    async def run(self) -> None:
        while True:
            try:
                await self._follow()
            except* Exception as group:
                error = group.exceptions[0]
                while isinstance(error, BaseExceptionGroup):
                    error = error.exceptions[0]
                why = str(error) or type(error).__name__
                self.claims.report.say("lease", f"keeper {self.name}: {why}; connecting anew")
            self.out = None
            await anyio.sleep(self.attempts.next_delay() / 1e6)

    async def _follow(self) -> None:
        stream = await connect(self.address)
        async with stream, anyio.create_task_group() as tasks:
            self.out, self.unanswered = [], 0
            tasks.start_soon(self._write, stream)
            tasks.start_soon(self._watch)
            self.claims.linked()
            async for heard in read_lines(stream):
                self.unanswered = 0
                self.attempts.succeeded()
                self.claims.heard(self.name, messages.decode_from_acceptor(heard))
            raise anyio.EndOfStream("it has closed the connection")

    async def _write(self, stream: anyio.abc.ByteStream) -> None:
        while True:
            while self.out:
                data, self.out = b"".join(self.out), []
                await stream.send(data)
            self.wake = anyio.Event()
            await self.wake.wait()

    async def _watch(self) -> None:
        """Nothing tells of a line that is cut: what is asked has no answer."""
        within = SILENT_LEASES * self.claims.terms.length / 1e6
        while True:
            before = self.unanswered
            await anyio.sleep(within)
            if before and self.unanswered >= before:
                raise TimeoutError(f"no answer for {within:.1f} s")


class HeldLease:
    """A task that is held, as its work sees it."""

    def __init__(self, claims: "ClusterLeaseClient", claim: Proposer):
        self.claims, self.claim, self.number = claims, claim, claim.number

    def held(self) -> bool:
        """Whether an act may begin; read right before each."""
        return self.claim.number == self.number and self.claim.held(self.claims.steady())

    def passed(self, number: int) -> None:
        """Whoever was acted on has seen a higher number."""
        self.claims.perform_all(self.claim, self.claim.passed(number, self.claims.steady()))


class ClusterLeaseClient:
    """:param name: of the claimant, one a process.
    :param steady: reads the monotonic clock, us; and `clock` the wall clock.
    """

    def __init__(
        self,
        terms: LeaseTerms,
        addresses: dict[str, tuple[str, int]],
        name: str,
        report: RateLimitedLog,
        steady: Callable[[], int] = steady_clock,
        clock: Callable[[], int] = wall_clock,
    ):
        self.terms, self.name, self.report = terms, name[:NAME_MOST], report
        self.steady, self.clock, self.token = steady, clock, secrets.token_hex(8)
        self.claims: dict[str, Proposer] = {}
        self.changed: dict[str, anyio.Event] = {}
        self.working: set[str] = set()  # tasks whose work is under way
        self.lines = [AcceptorConnection(keeper, at, self) for keeper, at in addresses.items()]
        self.due = anyio.Event()  # a claim wants to be looked at sooner

    def claim(self, task: str) -> Proposer:
        """Wants a task from now on; raises KeyError for one that the terms don't name."""
        dict(self.terms.tasks)[task]
        if task not in self.claims:
            self.claims[task] = Proposer(self.terms, task, self.name, self.token, self.steady())
            self.changed[task] = anyio.Event()
            self.due.set()
        return self.claims[task]

    async def run(self) -> None:
        """Until it is cancelled; what is held is given up then."""
        async with anyio.create_task_group() as tasks:
            for each in self.lines:
                tasks.start_soon(each.run)
            while True:
                now = self.steady()
                asks: list[SendToAcceptors] = []
                for claim in list(self.claims.values()):
                    asks += self._settle(claim, claim.tick(now, self.clock() // 1000))
                self._say(asks)
                wait = min((claim.wait(now) for claim in self.claims.values()), default=self.terms.every)
                self.due = anyio.Event()
                with anyio.move_on_after(max(0.001, wait / 1e6)):
                    await self.due.wait()

    async def perform(self, task: str, work: Callable[[HeldLease], Awaitable[None]]) -> None:
        """Does the work whenever the task is held; one that fails lets another claimant have it."""
        claim = self.claim(task)
        while True:
            while not claim.holding:
                await self.changed[task].wait()
            hold, failed = HeldLease(self, claim), ""
            self.report.say("lease", f"{task}: held here, number {hold.number}")
            self.working.add(task)
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._watch, hold, task, scope)
                    try:
                        await work(hold)
                    except* Exception as group:
                        error = group.exceptions[0]
                        failed = f"{type(error).__name__}: {error}"
                    tasks.cancel_scope.cancel()
            self.working.discard(task)
            if not failed and not hold.held():  # the end of a lease ended it, which may yet be renewed
                await anyio.sleep(self.terms.act / 1e6)
            elif claim.holding and claim.number == hold.number:
                self.report.say("lease", f"{task}: {failed or 'done here'}; given up")
                self.perform_all(claim, claim.failed(self.steady()))

    async def _watch(self, hold: HeldLease, task: str, scope: anyio.CancelScope) -> None:
        while hold.claim.holding and hold.claim.number == hold.number:
            await self.changed[task].wait()
        scope.cancel()

    async def release(self, tasks: Iterable[str] = ()) -> None:
        """Gives up tasks, all where none is named, and sees that it is said: once what is done has ended."""
        asks, tasks = [], list(tasks or self.claims)
        for task in tasks:
            claim = self.claims[task]
            asks += self._settle(claim, claim.release(self.steady()))
        with anyio.move_on_after(self.terms.length / 1e6, shield=True) as waited:  # then it is over anyway
            while self.working.intersection(tasks):
                await anyio.sleep(0.001)
        if not waited.cancelled_caught:
            self._say(asks)
        with anyio.move_on_after(LAST_WORDS, shield=True):
            while any(each.out for each in self.lines):
                await anyio.sleep(0.005)

    # -- words ---------------------------------------------------------------------------------------------

    def linked(self) -> None:
        """A keeper can be asked: one that holds nothing asks at once."""
        now = self.steady()
        for claim in self.claims.values():
            if not claim.holding and claim.round and not claim.answered:
                claim.due = min(claim.due, now + self.terms.every // 4)
        self.due.set()

    def heard(self, keeper: str, said: messages.FromAcceptor) -> None:
        now = self.steady()
        match said:
            case messages.VoteReplies(answers, refused):
                for answer in answers:
                    claim = self.claims.get(answer.task)
                    if claim and answer.keeper == keeper:
                        self.perform_all(claim, claim.answer(answer, now))
                for task, refusal in refused.items():
                    if claim := self.claims.get(task):
                        claim.refuse(f"{keeper}: {refusal.place}: {refusal.reason}; {refusal.remedy}", now)
                        self.report.say("lease", f"{task}: {claim.refused}")
            case messages.VoteAvailable(task):
                if claim := self.claims.get(task):
                    claim.freed(now)
            case messages.MessageRejected(reason, remedy):
                self.report.say("lease", f"keeper {keeper} can't read this: {reason}; {remedy}")
        self.due.set()

    def perform_all(self, claim: Proposer, effects: list[Effect]) -> None:
        self._say(self._settle(claim, effects))

    def _settle(self, claim: Proposer, effects: list[Effect]) -> list[SendToAcceptors]:
        """What is held has changed, where it has: whoever works is told before any word goes out."""
        asks = []
        for effect in effects:
            match effect:
                case SendToAcceptors():
                    asks.append(effect)
                case LeaseAcquired() | LeaseLost():
                    if isinstance(effect, LeaseLost):
                        self.report.say("lease", f"{claim.task}: held no more: {effect.why}")
                    self.changed[claim.task].set()
                    self.changed[claim.task] = anyio.Event()
        self.due.set()
        return asks

    def _say(self, asks: list[SendToAcceptors]) -> None:
        frees = tuple(each.said for each in asks if isinstance(each.said, VoteRelease))
        votes = tuple(each.said for each in asks if not isinstance(each.said, VoteRelease))
        for each in self.lines:
            if frees:
                each.tell(encode_line(messages.VoteReleases(frees)), False)
            if votes:
                each.tell(encode_line(messages.VoteRequests(votes)), True)
