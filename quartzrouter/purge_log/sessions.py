"""Serves members' connections: sends purges and heartbeats, and handles acknowledgements and reports."""

from collections.abc import AsyncIterator, Callable

import anyio

from quartzrouter.purge_log.health_service import HealthService
from quartzrouter.purge_log.leadership import Leadership
from quartzrouter.purge_log.quota_service import QuotaService
from quartzrouter.purge_log.session import Session
from quartzrouter.purges import messages
from quartzrouter.purges.freshness_lease import heartbeat_interval
from quartzrouter.purges.messages import (
    CaughtUp,
    HealthReport,
    Heartbeat,
    MemberAck,
    MemberHello,
    MemberLeave,
    PurgeBatch,
    QuotaRequests,
    RequestRejected,
    Welcome,
)
from quartzrouter.purges.registry import PurgeRegistry
from quartzrouter.server.rate_limited_log import RateLimitedLog

WRITE_TIMEOUT_SECONDS = 5.0  # a member that accepts no data for this long is disconnected
MICROSECONDS_PER_SECOND = 1e6


class Sessions:
    """The connections of all members, at most one for each name.

    :param now: returns microseconds of the purge log's wall clock.
    """

    def __init__(
        self,
        registry: PurgeRegistry,
        leadership: Leadership,
        quota: QuotaService,
        health: HealthService,
        now: Callable[[], int],
        report: RateLimitedLog,
    ):
        self.registry = registry
        self.leadership = leadership
        self.quota = quota
        self.health = health
        self.now = now
        self.report = report
        self.heartbeat_interval = heartbeat_interval(registry.grace) / MICROSECONDS_PER_SECOND
        self.by_name: dict[str, Session] = {}
        self.caches_caught_up: dict[str, int] = {}  # sequence numbers by cache, as sent to routers

    def wake_all(self) -> None:
        """Wakes the writer tasks of all connections."""
        for session in self.by_name.values():
            session.wake()

    def update_caches_caught_up(self) -> None:
        """Recomputes up to where each cache has caught up; routers receive it before their next heartbeat."""
        caches_caught_up = self.registry.caches_caught_up(self.now())
        if caches_caught_up != self.caches_caught_up:
            self.caches_caught_up = caches_caught_up

    async def serve(
        self, stream: anyio.abc.ByteStream, lines: AsyncIterator[bytes], hello: MemberHello
    ) -> None:
        """Serves one member until its connection ends; closes an older connection of the same name."""
        member = self.registry.join(hello, self.now())
        if isinstance(member, RequestRejected):
            await stream.send(messages.encode_line(member))
            return
        session = Session(member, hello.applied_up_to)
        older_session = self.by_name.get(hello.name)
        if older_session:
            older_session.scope.cancel()
        self.by_name[hello.name] = session
        try:
            with session.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write_messages, stream, session, hello)
                    await self._read_messages(lines, session)
                    tasks.cancel_scope.cancel()
        finally:
            if self.by_name.get(hello.name) is session:
                del self.by_name[hello.name]

    # -- from the member -----------------------------------------------------------------------------------

    async def _read_messages(self, lines: AsyncIterator[bytes], session: Session) -> None:
        try:
            async for line in lines:
                self._handle(session, messages.decode_to_purge_log(line))
        except messages.MalformedMessageError as error:
            self.report.say("member", f"{session.member.name}: {error}")

    def _handle(self, session: Session, message: messages.ToPurgeLog) -> None:
        now = self.now()
        member = session.member
        match message:
            case MemberAck(applied_up_to, ack_id, is_unreachable, settled_up_to):
                self.registry.acknowledge(member, applied_up_to, ack_id, is_unreachable, now, settled_up_to)
            case MemberLeave():
                self.registry.leave(member, now)
                self.health.remove_router(member.name)
            case HealthReport():
                session.reported_store = message.store
                session.wants_loads = message.wants_loads
                self.health.record_report(member, message)
            case QuotaRequests() if self.quota.is_enabled and self.leadership.check_is_leader():
                # Every grant expires. If this process is stopped between the check of the epoch and the
                # sending, the grant arrives late. But its lifetime counts from the request, which precedes
                # the check, and a process that took over waits for that lifetime before it grants slots.
                grants = self.quota.grant(message, member)
                if grants:
                    session.queue(grants)

    # -- to the member -------------------------------------------------------------------------------------

    async def _write_messages(
        self, stream: anyio.abc.ByteStream, session: Session, hello: MemberHello
    ) -> None:
        await self._send_welcome(stream, session, hello)
        heartbeat_due_at = 0.0
        while True:
            changed = session.changed
            while session.queued:
                await _send(stream, session.queued.popleft())
            await self._send_purges(stream, session)
            if hello.kind == "router" and session.sent_caches_caught_up is not self.caches_caught_up:
                session.sent_caches_caught_up = self.caches_caught_up
                await _send(stream, CaughtUp(self.caches_caught_up))
            now = anyio.current_time()
            if now >= heartbeat_due_at and session.sent_up_to == self.registry.head:
                # The acknowledgement to echo is read first: the echo states that the member has every purge
                # accepted before it. The epoch is checked afterwards, so a process that wakes after a
                # takeover can only state this for what it knew before.
                echoed_ack = self.registry.ack_to_echo(session.member)
                if not self.leadership.check_is_leader():
                    return
                if session.sent_up_to == self.registry.head:
                    await self._send_heartbeat(stream, echoed_ack)
                    heartbeat_due_at = now + self.heartbeat_interval
            with anyio.move_on_after(max(0.0, heartbeat_due_at - anyio.current_time())):
                await changed.wait()

    async def _send_welcome(self, stream: anyio.abc.ByteStream, session: Session, hello: MemberHello) -> None:
        registry = self.registry
        welcome = Welcome(
            registry.epoch,
            registry.head,
            self.now(),
            registry.lease_length,
            self.quota.is_enabled,
            aggregates_health=True,
        )
        await _send(stream, welcome)
        if registry.needs_snapshot(session.sent_up_to, hello.purge_lifetime, self.now()):
            pages = registry.snapshot_pages(hello.purge_lifetime, self.now())
            session.sent_up_to = pages[-1].head
            for page in pages:
                await _send(stream, page)

    async def _send_purges(self, stream: anyio.abc.ByteStream, session: Session) -> None:
        while session.sent_up_to < self.registry.head:
            batch = self.registry.next_batch(session.sent_up_to)
            session.sent_up_to += len(batch)
            await _send(stream, PurgeBatch(tuple(batch)))

    async def _send_heartbeat(self, stream: anyio.abc.ByteStream, echoed_ack: int) -> None:
        registry = self.registry
        await _send(stream, Heartbeat(registry.epoch, registry.head, echoed_ack, self.now()))


async def _send(stream: anyio.abc.ByteStream, message: messages.FromPurgeLog) -> None:
    with anyio.fail_after(WRITE_TIMEOUT_SECONDS):
        await stream.send(messages.encode_line(message))
