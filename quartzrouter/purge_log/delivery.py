"""The process that brings purges to caches: a member of the ledger for each, and HTTP PURGE to it."""

import secrets
import signal
from collections.abc import Mapping, Sequence

import anyio
import h11

from quartzrouter.leases.handle import LeaseClient, LeaseHandle
from quartzrouter.purge_log.line_connection import connect
from quartzrouter.purge_log.member_client import ConnectionOpened, MemberClient, MessageReceived
from quartzrouter.purges.delivery_plan import ASK_EVERY, TIMEOUT, Delivery, DeliveryQueue
from quartzrouter.purges.freshness_lease import FreshnessLease, lease
from quartzrouter.purges.messages import Heartbeat
from quartzrouter.purges.object_names import of_object
from quartzrouter.purges.replica import ApplyPurges, EndConnection, PurgeReplica, SendMessage
from quartzrouter.server.attempt_failure import CONNECTION_LOST
from quartzrouter.server.clock import wall_clock
from quartzrouter.server.rate_limited_log import RateLimitedLog

CONNECTIONS = 2  # to one cache: purges on their way share them
PURGED_TO = b"x-purged-to"
LEASE_SEEN = b"x-purge-lease-seen"  # with 409: the number of a later lease
READ = 1 << 14  # bytes


class DeliveryFailed(Exception):
    """The cache did not answer."""


class DeliveryRefused(DeliveryFailed):
    """The cache answered, and did not take it."""


class FencedOff(DeliveryRefused):
    """The cache has heard of a later lease."""

    def __init__(self, seen: int):
        super().__init__(f"a later lease has delivered, number {seen}")
        self.seen = seen


class DeliveryConnection:
    """One connection to a cache, one req at a time."""

    def __init__(self, address: tuple[str, int]):
        self.address = address
        self.stream: anyio.abc.ByteStream | None = None
        self.lock = anyio.Lock()

    async def ask(self, method: str, target: str, fields: Sequence[tuple[str, str]]) -> int:
        """What the cache says it holds up to; raises Failed."""
        async with self.lock:
            good = False
            try:
                with anyio.fail_after(TIMEOUT / 1e6):
                    held = await self._ask(method, target, fields)
                good = True
                return held
            except DeliveryRefused:
                good = True
                raise
            except (*CONNECTION_LOST, TimeoutError, h11.ProtocolError, ValueError) as error:
                raise DeliveryFailed(
                    f"{self.address[0]}:{self.address[1]}: {error or type(error).__name__}"
                ) from None
            finally:
                if not good:  # nothing is known of what stands on it
                    await self.close()

    async def _ask(self, method: str, target: str, fields: Sequence[tuple[str, str]]) -> int:
        if self.stream is None:
            self.stream = await connect(self.address)
            self.http = h11.Connection(h11.CLIENT)
        head = [("Host", f"{self.address[0]}:{self.address[1]}"), *fields]
        await self.stream.send(self.http.send(h11.Request(method=method, target=target, headers=head)))
        await self.stream.send(self.http.send(h11.EndOfMessage()) or b"")
        held, status, seen = 0, 0, 0
        while not isinstance(event := self.http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                try:
                    self.http.receive_data(await self.stream.receive(READ))
                except anyio.EndOfStream:
                    self.http.receive_data(b"")
            elif isinstance(event, h11.Response):
                status = event.status_code
                told = dict(event.headers)
                held, seen = int(told.get(PURGED_TO, b"0")), int(told.get(LEASE_SEEN, b"0"))
            elif isinstance(event, h11.ConnectionClosed):
                raise ValueError("closed without an answer")
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            await self.close()
        if status == 409 and seen:
            raise FencedOff(seen)
        if status != 200:
            raise DeliveryRefused(f"it answered {status}")
        return held

    async def close(self) -> None:
        if self.stream is not None:
            stream, self.stream = self.stream, None
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)


class DeliveryWorker:
    """Brings purges to one cache, and tells the ledger how far that has come.

    :param rate: purges a second.
    :param hold: the task of delivering, where one of several processes does it.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        ledgers: Sequence[tuple[str, int]],
        grace: int,
        report: RateLimitedLog,
        rate: float,
        hold: LeaseHandle | None = None,
    ):
        self.name, self.report, self.hold = name, report, hold
        self.box = DeliveryQueue(name, rate)
        self.lines = [DeliveryConnection(address) for _ in range(CONNECTIONS)]
        self.follower = PurgeReplica(
            name, "cache", secrets.token_hex(8), FreshnessLease(lease(grace)), acks=False
        )
        self.link = MemberClient(ledgers, 4 * lease(grace), self._feed, report)
        self.wake = anyio.Event()
        self.turn = 0

    async def run(self) -> None:
        async with anyio.create_task_group() as self.tasks:
            await self._ask()
            self.tasks.start_soon(self.link.run)
            self.tasks.start_soon(self._look)
            while True:
                now = wall_clock()
                for delivery in self.box.next(now):
                    self.tasks.start_soon(self._deliver, delivery)
                self.wake = anyio.Event()
                with anyio.move_on_after((self.box.due(now) - now) / 1e6):
                    await self.wake.wait()

    def _feed(self, event: ConnectionOpened | MessageReceived) -> None:
        now = wall_clock()
        if isinstance(event, ConnectionOpened):
            self.link.tell(self.follower.begin(now))
            return
        for given in self.follower.take(event.said, now):
            match given:
                case ApplyPurges(purges, offset, floor, whole):
                    if whole and floor:
                        self.box.floor(purges[0].number - 1 if purges else self.follower.held, floor)
                    self.box.heard([purge for purge in purges if purge.number > self.box.reached], offset)
                    self.wake.set()
                case EndConnection(reason, come_back):
                    self.link.hang(f"{self.name}: {reason}", come_back)
                case SendMessage(said):
                    self.link.tell(said)
        if isinstance(event.said, Heartbeat):
            self.box.level(event.said.head)
        if self.follower.welcomed:
            self._tell(now)

    def _tell(self, now: int) -> None:
        """A cache that doesn't answer or catches up is away: nobody waits for it, and nobody trusts it."""
        self.link.tell(self.follower.ack(self.box.reached, now, away=not self.box.caught).said)

    async def _look(self) -> None:
        while True:
            await anyio.sleep(ASK_EVERY / 1e6)
            if not self.box.out and wall_clock() >= self.box.next_at:
                await self._ask()

    async def _ask(self) -> None:
        was = self.box.up
        try:
            held = await self.lines[0].ask("GET", "/purged", ())
        except DeliveryFailed as error:
            if was:
                self.report.say("cache", f"{self.name}: {error}; away until it answers")
            self.box.lost(wall_clock())
        else:
            if not was:
                self.report.say("cache", f"{self.name} answers, and has purged up to {held}")
            if not self.box.stands(held, self.follower.held, wall_clock()):
                self.follower.held = held
                self.link.hang(f"{self.name}: heard anew from {held}", 0)
        if self.follower.welcomed:
            self._tell(wall_clock())
        self.wake.set()

    async def _deliver(self, delivery: Delivery) -> None:
        if self.hold and not self.hold.held():
            return  # the lease ends, or has ended: whoever has it next asks the cache where it stands
        purge = delivery.purge
        values = purge.values
        if purge.kind == "object":  # caches know objects by the keys in their targets
            values = tuple(name for value in values for name in of_object(value))
        self.turn += 1
        fields = [
            ("X-Purge-Number", str(purge.number)),
            ("X-Purge-Kind", purge.kind),
            ("X-Purge-Values", " ".join(values)),
            ("X-Purge-Older-Ms", str(delivery.age // 1000)),
            ("X-Purge-Done", str(self.box.reached)),
        ]
        fields += [("X-Purge-Lease", str(self.hold.number))] if self.hold else []
        fields += [("X-Purge-Vhost", purge.vhost)] if purge.vhost else []
        fields += [("X-Purge-Store", purge.store)] if purge.store else []
        try:
            await self.lines[self.turn % CONNECTIONS].ask("PURGE", "/", fields)
        except FencedOff as error:
            self.report.say("cache", f"{self.name}: purge {purge.number}: {error}")
            self.box.refused(purge.number, wall_clock())
            if self.hold:
                self.hold.passed(error.seen)
        except DeliveryRefused as error:
            self.report.say("cache", f"{self.name}: purge {purge.number}: {error}")
            self.box.refused(purge.number, wall_clock())
        except DeliveryFailed as error:
            self.report.say("cache", f"{self.name}: purge {purge.number}: {error}")
            self.box.lost(wall_clock())
        else:
            self.box.taken(purge.number)
        if self.follower.welcomed:
            self._tell(wall_clock())
        self.wake.set()


async def deliver(
    caches: Mapping[str, tuple[str, int]],
    ledgers: Sequence[tuple[str, int]],
    grace: int,
    report: RateLimitedLog,
    rate: float,
    claims: LeaseClient | None = None,
    task: str = "",
) -> None:
    """Brings purges to all caches until SIGTERM.

    :param claims: of this process, where several may deliver and one does: whoever holds the task.
    """

    async def run(hold: LeaseHandle | None = None) -> None:
        async with anyio.create_task_group() as couriers:
            for name, address in caches.items():
                couriers.start_soon(DeliveryWorker(name, address, ledgers, grace, report, rate, hold).run)

    async with anyio.create_task_group() as tasks:
        if claims:
            tasks.start_soon(claims.run)
            tasks.start_soon(claims.perform, task, run)
        else:
            tasks.start_soon(run)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            async for number in received:
                report.say("process", f"{number.name}: stopping")
                if claims:
                    await claims.release()
                tasks.cancel_scope.cancel()
                return
