"""The ledger's process: takes purges, makes them durable, and hands them to its members in their order."""

import signal
from collections import deque
from collections.abc import Callable

import anyio

from quartzrouter.fleet_health.aggregator import HealthAggregator
from quartzrouter.fleet_health.reports import REPORT_INTERVAL, URGENT_REPORT_INTERVAL
from quartzrouter.leases.handle import LeaseClient
from quartzrouter.purge_log.disk import Disk, RealDisk
from quartzrouter.purge_log.line_connection import QueryClient, Unreachable, lines
from quartzrouter.purge_log.log import Fenced, PurgeLog
from quartzrouter.purge_log.segments import DiskUnavailable, LogDamaged
from quartzrouter.purges import messages
from quartzrouter.purges.freshness_lease import beat_every, lease
from quartzrouter.purges.messages import (
    CaughtUp,
    EjectionVerdicts,
    HealthQuery,
    HealthReply,
    HealthReport,
    Heartbeat,
    MemberHello,
    MembersQuery,
    PurgeAccepted,
    PurgeRequest,
    QuotaGrants,
    QuotaQuery,
    QuotaRequests,
    QuotaStatus,
    RequestRejected,
    StatusQuery,
    StoreHealth,
)
from quartzrouter.purges.reconnect_backoff import Watch
from quartzrouter.purges.registry import AdmittedPurge, Member, PurgeRegistry
from quartzrouter.quota.allocator import QuotaAllocator
from quartzrouter.quota.budget import Budget
from quartzrouter.quota.messages import QuotaRefusal, QuotaRequest
from quartzrouter.quota.slow_start_allocator import SlowStartAllocator
from quartzrouter.quota.slow_start_messages import MAX_REQUESTS_PER_MESSAGE, SlowStartTerms
from quartzrouter.server.attempt_failure import CONNECTION_LOST
from quartzrouter.server.clock import steady_clock, wall_clock
from quartzrouter.server.rate_limited_log import RateLimitedLog

BATCH = 4_096  # purges made durable at once: 1 MB
COMPACT_AFTER = 50_000  # purges since the last snapshot, 10 MB
ANSWERS_MOST = 1_024  # of one client on their way; beyond, nothing more is read from it
WRITE_WITHIN = 5.0  # s: a member that takes nothing for so long is given up
CONNECTIONS_MOST = 8_192  # routers, caches and clients
COME_BACK = 1_000_000  # us, where the disk takes nothing
FENCED = 3  # exit status
UNLEASED = 1  # in place of a lease's number, where one ledger grants
SAID_WAIT = 16  # words to one member that takes nothing: older ones have run out


class Session:
    """A member's connection."""

    def __init__(self, member: Member, sent: int):
        self.member, self.sent = member, sent
        self.scope = anyio.CancelScope()
        self.caught: dict[str, int] | None = None  # as last told
        self.news = anyio.Event()  # something to tell
        self.said: deque[QuotaGrants | EjectionVerdicts] = deque(maxlen=SAID_WAIT)
        self.store = ""  # whose caches it tells of, if any
        self.judged = False  # it was last told to leave out a cache
        self.loads = False  # it wants to be told what is out at caches

    def wake(self) -> None:
        self.news.set()
        self.news = anyio.Event()


class Waiter:
    """Somebody who is told what became of a purge."""

    def __init__(self) -> None:
        self.done, self.refused = anyio.Event(), None


class PurgeLogServer:
    """:param grace: us within which a purge must hold at every router.
    :param clock: us.
    :param budgets: of which it grants shares to routers; None: it has no plan, and grants none.
    :param terms: by tier, on which it grants parts of what cold servers may be sent.
    :param may_grant: the number of the lease under which it grants, asked right before; 0: it is not the one.
    :param steady: reads the monotonic clock, us.
    """

    def __init__(
        self,
        disk: Disk,
        grace: int,
        report: RateLimitedLog,
        clock: Callable[[], int] = wall_clock,
        compact_after: int = COMPACT_AFTER,
        budgets: list[Budget] | None = None,
        steady: Callable[[], int] = steady_clock,
        terms: dict[str, SlowStartTerms] | None = None,
        may_grant: Callable[[], int] = lambda: UNLEASED,
    ):
        self.clock, self.now, self.report, self.compact_after = clock, 0, report, compact_after
        self.log = PurgeLog(disk)
        found = self.log.found
        self.book = PurgeRegistry(self.log.epoch, grace, self._time())
        self.book.recover(found.purges, found.before, found.floor)
        if found.cut:
            report.say(
                "log", f"{found.last_file}: {found.cut} bytes of a write that was cut short are passed over"
            )
        self.every = beat_every(grace) / 1e6
        self.sessions: dict[str, Session] = {}
        self.waiting: dict[int, list[Waiter]] = {}
        self.wanted = anyio.Event()
        self.steady = steady
        self.granter = QuotaAllocator(budgets, steady()) if budgets is not None else None
        self.warming = SlowStartAllocator(terms or {}, steady())
        self.may_grant, self.granting = may_grant, UNLEASED  # the number under which it last granted
        self.council = HealthAggregator()
        self.failed = anyio.Event()  # a router has told of failures since the last judgements
        self.strangers = 0  # asks in a name that is not the member's
        self.connections = 0
        self.caught: dict[str, int] = {}  # as members are told: where caches stand
        self.fenced = False
        self.scope = anyio.CancelScope()

    def _time(self) -> int:
        self.now = max(self.now, self.clock())  # which may be set back
        return self.now

    async def run(self, listeners: list[anyio.abc.Listener]) -> bool:
        """Serves until it is cancelled; False where another writer has begun."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._commit)
                tasks.start_soon(self._tick)
                tasks.start_soon(self._judge)
                for listener in listeners:
                    tasks.start_soon(listener.serve, self.serve)
        self.log.close()
        return not self.fenced

    # -- the disk ----------------------------------------------------------------------------------------

    async def _commit(self) -> None:
        """Makes durable what was admitted, as many at once as there are."""
        while True:
            await self.wanted.wait()
            self.wanted = anyio.Event()
            while batch := self.book.after(self.book.head, BATCH):
                try:
                    await anyio.to_thread.run_sync(self.log.append, batch)
                except DiskUnavailable as error:
                    self._refuse(str(error))
                except Fenced as error:
                    self._fence(error)
                    return
                else:
                    self.book.durable(batch[-1].number, self._time())
                    for purge in batch:
                        self._answer(purge.number, None)
                    self._wake()
            if self.log.since >= self.compact_after:
                await self._compact()

    async def _compact(self) -> None:
        book = self.book
        book.trim(self._time())
        durable = book.after(book.before, book.head - book.before)
        try:
            await anyio.to_thread.run_sync(self.log.compact, durable, book.before, book.floor)
        except DiskUnavailable as error:
            self.log.since = 0  # the next try after as many more
            self.report.say("log", f"no snapshot: {error}")
        except Fenced as error:
            self._fence(error)

    def _refuse(self, reason: str) -> None:
        self.report.say("log", f"purges are refused: {reason}")
        refused = RequestRejected("disk", reason, "make room on the ledger's disk", COME_BACK)
        for purge in self.book.lost():
            self._answer(purge.number, refused)

    def _answer(self, number: int, refused: RequestRejected | None) -> None:
        for waiter in self.waiting.pop(number, ()):
            waiter.refused = refused
            waiter.done.set()

    def _fence(self, error: Fenced) -> None:
        self.fenced = True
        self.report.say("log", f"{error}; this process ends")
        self.scope.cancel()

    def _wake(self) -> None:
        for session in self.sessions.values():
            session.wake()

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(self.every / 2)
            now = self._time()
            self.book.tick(now)
            if (caught := self.book.caught(now)) != self.caught:
                self.caught = caught

    async def _judge(self) -> None:
        """Tells routers which caches to leave out, while there are any, and once that there are none; at once
        where failures that were told of have changed that."""
        beat_at, before = 0, {}
        while True:
            self.failed = anyio.Event()
            await anyio.sleep(URGENT_REPORT_INTERVAL / 1e6)
            with anyio.move_on_after(max(0, beat_at - self.steady()) / 1e6):
                await self.failed.wait()
            now = self.steady()
            beat = now >= beat_at
            self.council.expire(now)
            told = [session for session in self.sessions.values() if session.store]
            found = {store: self.council.verdicts(store, now) for store in {each.store for each in told}}
            names = {store: {each.cache for each in judged} for store, judged in found.items()}
            news = {store for store in found if beat or names[store] != before.get(store)}
            before = names
            beat_at = now + REPORT_INTERVAL - URGENT_REPORT_INTERVAL if beat else beat_at
            stores = {each.store for each in told if each.loads and each.store in news}
            loads = {
                at: {each.cache: each.in_flight for each in self.council.loads(at, now)} for at in stores
            }
            for session in (each for each in told if each.store in news):
                if found[session.store] or session.judged or session.loads:
                    session.judged = bool(found[session.store])
                    wanted = loads[session.store] if session.loads else None
                    session.said.append(EjectionVerdicts(found[session.store], wanted))
                    session.wake()

    # -- connections -------------------------------------------------------------------------------------

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        if self.connections >= CONNECTIONS_MOST:
            await anyio.aclose_forcefully(stream)
            return
        self.connections += 1
        try:
            async with stream:
                await self._serve(stream)
        except* (*CONNECTION_LOST, TimeoutError):
            pass
        except* Exception as group:  # a fault of ours ends at its connection
            self.report.say("fault", "; ".join(f"{type(e).__name__}: {e}" for e in group.exceptions))
        finally:
            self.connections -= 1

    async def _serve(self, stream: anyio.abc.ByteStream) -> None:
        give, take = anyio.create_memory_object_stream(ANSWERS_MOST)

        async def write() -> None:
            data = b""
            async for answer in take:
                if data and not self._ready(answer):
                    await send(data)
                    data = b""
                data += messages.encode_line(await self._awaited(answer))
                if not take.statistics().current_buffer_used or len(data) >= messages.LINE_MOST:
                    await send(data)
                    data = b""

        async def send(data: bytes) -> None:
            with anyio.fail_after(WRITE_WITHIN):
                await stream.send(data)

        heard, hello = lines(stream), None
        async with anyio.create_task_group() as tasks, give:
            tasks.start_soon(write)
            try:
                async for line in heard:
                    said = messages.decode_to_purge_log(line)
                    if isinstance(said, MemberHello):
                        hello = said
                        break
                    await give.send(self._ask(said))
            except messages.MalformedMessage as error:
                remedy = "write one JSON object a line, see docs/purges.md"
                await give.send(RequestRejected("line", str(error), remedy))
        if hello:
            await self._member(stream, heard, hello)

    def _ask(self, said: messages.ToPurgeLog):
        """The answer, or a waiter for it."""
        match said:
            case PurgeRequest():
                given = self.book.admit(said, self._time())
                if not isinstance(given, AdmittedPurge):
                    return given
                promise = self.book.promised.get(given.purge.number, self.book.promise)
                taken = PurgeAccepted(given.purge.number, given.purge.when, promise, given.again)
                if given.purge.number <= self.book.head:
                    return taken
                waiter = Waiter()
                self.waiting.setdefault(given.purge.number, []).append(waiter)
                self.wanted.set()
                return waiter, taken
            case StatusQuery(number):
                return self.book.status(number, self._time())
            case MembersQuery():
                return self.book.told_members(self._time())
            case QuotaQuery():
                return self._budgets()
            case HealthQuery():
                return self._views()
        return RequestRejected("line", f"{said.__struct_config__.tag} before any hello", "say hello first")

    @staticmethod
    def _ready(said) -> bool:
        return not isinstance(said, tuple) or said[0].done.is_set()

    @staticmethod
    async def _awaited(said) -> messages.FromPurgeLog:
        if not isinstance(said, tuple):
            return said
        waiter, taken = said
        await waiter.done.wait()
        return waiter.refused or taken

    # -- members -----------------------------------------------------------------------------------------

    async def _member(self, stream: anyio.abc.ByteStream, heard, hello: MemberHello) -> None:
        now = self._time()
        member = self.book.hello(hello, now)
        if isinstance(member, RequestRejected):
            await stream.send(messages.encode_line(member))
            return
        session = Session(member, hello.held)
        if before := self.sessions.get(hello.name):
            before.scope.cancel()
        self.sessions[hello.name] = session
        try:
            with session.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write, stream, session, hello)
                    try:
                        async for line in heard:
                            self._heard(session, messages.decode_to_purge_log(line))
                    except messages.MalformedMessage as error:
                        self.report.say("member", f"{hello.name}: {error}")
                    tasks.cancel_scope.cancel()
        finally:
            if self.sessions.get(hello.name) is session:
                del self.sessions[hello.name]

    def _heard(self, session: Session, said: messages.ToPurgeLog) -> None:
        now = self._time()
        if isinstance(said, messages.MemberAck):
            self.book.ack(session.member, said.held, said.mark, said.away, now)
        elif isinstance(said, messages.MemberLeave):
            self.book.leave(session.member, now)
            self.council.remove_router(session.member.name)
        elif isinstance(said, HealthReport):
            member, session.store, session.loads = session.member, said.store, said.loads
            self.council.record_report(
                member.name, member.token, said.store, said.sights, self.steady(), said.caches
            )
            if any(each.failed for each in said.sights):
                self.failed.set()
        elif isinstance(said, QuotaRequests) and self.granter:
            self._grant(session, said)

    def _grant(self, session: Session, said: QuotaRequests) -> None:
        """Grants what is asked for, unless another writer has begun: what it grants ends by itself.

        Where this process is stopped between the look and the sending, a grant comes late; its end counts
        from the asking, which was before the look, and whoever took over waits for as long with slots.
        """
        try:
            self.log.check()
        except Fenced as error:
            self._fence(error)
            return
        if not self._grants():
            return
        grants, refused, member = [], {}, session.member
        for ask in said.asks[: messages.ASKS_MOST]:
            given = self._granted(ask, member)
            if isinstance(given, QuotaRefusal) and given.place == "number":
                continue  # a late word: counted, nothing is wrong
            if isinstance(given, QuotaRefusal):
                refused[ask.budget] = given
                self.report.say("shares", f"{member.name}: {ask.budget:.60}: {given.place}: {given.reason}")
            else:
                grants.append(given)
        colds = []
        for ask in said.colds[:MAX_REQUESTS_PER_MESSAGE]:
            given = self.warming.ask(ask, member.name, member.token, self.steady())
            if not isinstance(given, QuotaRefusal):
                colds.append(given)
            elif given.place != "number":
                refused[ask.endpoint[:60]] = given
                self.report.say("shares", f"{member.name}: {ask.endpoint:.60}: {given.place}: {given.reason}")
        session.said.append(QuotaGrants(tuple(grants), refused, tuple(colds)))
        session.wake()

    def _grants(self) -> bool:
        """Whether this process grants now.  Under another lease than before it starts as after a takeover: it
        knows nothing of what others have granted meanwhile."""
        number = self.may_grant()
        if number and number != self.granting:
            now, budgets = self.steady(), list(self.granter.budgets.values())
            self.granter, self.warming = (
                QuotaAllocator(budgets, now),
                SlowStartAllocator(self.warming.terms, now),
            )
            self.granting = number
        return bool(number)

    def _granted(self, ask: QuotaRequest, member: Member):
        if (ask.name, ask.process_token) != (member.name, member.token):
            self.strangers += 1
            return QuotaRefusal("name", f"{ask.name!r:.40} asks on another's line", "mend the sender")
        return self.granter.ask(ask, self.steady())

    def _budgets(self) -> QuotaStatus:
        if self.granter is None:
            return QuotaStatus(self.book.epoch, (), 0)
        states = self.granter.states(self.steady())[-messages.PAGE :]
        colds = self.warming.states(self.steady())[-messages.PAGE :]
        refused = self.granter.refused + self.warming.refused + self.strangers
        return QuotaStatus(self.book.epoch, tuple(states), refused, tuple(colds))

    def _views(self) -> HealthReply:
        now, council = self.steady(), self.council
        stores = council.stores()
        views = (StoreHealth(each, council.verdicts(each, now), council.loads(each, now)) for each in stores)
        return HealthReply(self.book.epoch, tuple(views))

    def replace(self, budgets: list[Budget], terms: dict[str, SlowStartTerms]) -> None:
        """The plan was read anew."""
        if self.granter:
            self.granter.replace(budgets, self.steady())
            self.warming.replace(terms, self.steady())

    async def _write(self, stream: anyio.abc.ByteStream, session: Session, hello: MemberHello) -> None:
        async def send(*said: messages.FromPurgeLog) -> None:
            with anyio.fail_after(WRITE_WITHIN):
                await stream.send(b"".join(map(messages.encode_line, said)))

        book, beat_at = self.book, 0.0
        grants = self.granter is not None
        welcome = messages.Welcome(book.epoch, book.head, self._time(), book.lease, grants, judges=True)
        await send(welcome)
        if book.too_far(session.sent, hello.life, self._time()):
            pages = book.snapshot(hello.life, self._time())
            session.sent = pages[-1].head
            for page in pages:
                await send(page)
        while True:
            news = session.news
            while session.said:
                await send(session.said.popleft())
            while session.sent < book.head:
                news_of = book.news(session.sent)
                session.sent += len(news_of)
                await send(messages.PurgeBatch(tuple(news_of)))
            if hello.kind == "router" and session.caught is not self.caught:
                session.caught = self.caught
                await send(CaughtUp(self.caught))
            now = anyio.current_time()
            if now >= beat_at and session.sent == book.head:
                echo = book.echo(session.member)  # first: it vouches for all that was taken before it
                try:
                    self.log.check()
                except Fenced as error:
                    self._fence(error)
                    return
                if session.sent == book.head:
                    await send(Heartbeat(book.epoch, book.head, echo, self._time()))
                    beat_at = now + self.every
            with anyio.move_on_after(max(0.0, beat_at - anyio.current_time())):
                await news.wait()


async def _listeners(address: tuple[str, int]) -> list[anyio.abc.Listener]:
    listeners = await anyio.create_tcp_listener(local_host=address[0], local_port=address[1])
    return list(listeners.listeners)


async def _watch(primary: tuple[str, int], grace: int, report: RateLimitedLog) -> None:
    """Returns once the ledger there has not answered for so long that its leases are over."""
    client, watch, within = QueryClient([primary], lease(grace) / 1e6), Watch(), lease(grace) / 1e6
    report.say("process", f"standing by for {primary[0]}:{primary[1]}")
    while True:
        try:
            await client.ask(MembersQuery())
            gone = watch.asked(True)
        except Unreachable:
            gone = watch.asked(False)
        if gone:
            break
        await anyio.sleep(within)
    await client.close()
    report.say("process", f"{primary[0]}:{primary[1]} has not answered {watch.misses} times: taking over")


async def serve(
    folder: str,
    address: tuple[str, int],
    grace: int,
    report: RateLimitedLog,
    standby: tuple[str, int] | None = None,
    clock: Callable[[], int] = wall_clock,
    budgets: Callable[[], tuple[list[Budget], dict[str, SlowStartTerms]]] | None = None,
    steady: Callable[[], int] = steady_clock,
    claims: LeaseClient | None = None,
    task: str = "",
) -> int:
    """The exit status: 0 at SIGTERM, 3 where another ledger has taken over.

    :param budgets: reads those of which it grants shares, and the terms of cold servers, at the start and at
        SIGHUP; raises ValueError.
    :param claims: of this process, where ledgers with folders of their own may grant: whoever holds the task.

    Raises OSError, ValueError, Damaged and Refusing before anything is served.
    """
    status, ledger = 0, None

    async def stop(scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    await reread()
                    continue
                report.say("process", f"{number.name}: stopping")
                if claims:
                    await claims.release()
                scope.cancel()
                return

    async def reread() -> None:
        if budgets is None or ledger is None:
            return
        try:
            ledger.replace(*(found := await anyio.to_thread.run_sync(budgets)))
            report.say("shares", f"SIGHUP: {len(found[0])} budgets")
        except (ValueError, OSError) as error:
            report.say("shares", f"SIGHUP: nothing changes: {error}")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stop, tasks.cancel_scope)
        listeners = await _listeners(address)
        if standby:  # nobody is to wait for it meanwhile
            for listener in listeners:
                await listener.aclose()
            await _watch(standby, grace, report)
            listeners = await _listeners(address)
        found, terms = budgets() if budgets else (None, None)
        disk = RealDisk(folder)
        claim = claims.claim(task) if claims else None
        may_grant = (lambda: claim.number * claim.held(claims.steady())) if claim else lambda: UNLEASED
        ledger = PurgeLogServer(
            disk, grace, report, clock, budgets=found, steady=steady, terms=terms, may_grant=may_grant
        )
        if claims:
            tasks.start_soon(claims.run)
        report.say(
            "process",
            f"epoch {ledger.book.epoch}, purges up to {ledger.book.head}, at {address[0]}:{address[1]}",
        )
        if not await ledger.run(listeners):
            status = FENCED
        tasks.cancel_scope.cancel()
    return status


FAULTS = (LogDamaged, DiskUnavailable, OSError)
