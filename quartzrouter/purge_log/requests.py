"""Replies to clients: to a purge once it is durable, and to queries."""

from collections.abc import AsyncIterator, Callable

import anyio

from quartzrouter.purge_log.health_service import HealthService
from quartzrouter.purge_log.quota_service import QuotaService
from quartzrouter.purges import messages
from quartzrouter.purges.messages import (
    HealthQuery,
    MemberHello,
    MembersQuery,
    PurgeAccepted,
    PurgeRequest,
    QuotaQuery,
    RequestRejected,
    StatusQuery,
)
from quartzrouter.purges.registry import PurgeRegistry

MAX_QUEUED_REPLIES = 1_024  # for one client; while so many are queued, nothing more is read from it
WRITE_TIMEOUT_SECONDS = 5.0  # a client that accepts no data for this long is disconnected


class PendingReply:
    """The reply to a purge that is not durable yet.

    :param accepted: the reply if the purge becomes durable.
    """

    def __init__(self, accepted: PurgeAccepted):
        self.accepted = accepted
        self.rejection: RequestRejected | None = None
        self.resolved = anyio.Event()

    def resolve(self, rejection: RequestRejected | None) -> None:
        """Records the outcome of the purge: a rejection, or None if the purge is durable."""
        self.rejection = rejection
        self.resolved.set()

    async def wait(self) -> PurgeAccepted | RequestRejected:
        """Waits for the outcome and returns the reply."""
        await self.resolved.wait()
        return self.rejection or self.accepted


Reply = messages.FromPurgeLog | PendingReply


class RequestHandler:
    """Handles clients' messages.

    :param now: returns microseconds of the purge log's wall clock.
    :param on_admitted: called after a purge was admitted and has to be made durable.
    """

    def __init__(
        self,
        registry: PurgeRegistry,
        quota: QuotaService,
        health: HealthService,
        now: Callable[[], int],
        on_admitted: Callable[[], None],
    ):
        self.registry = registry
        self.quota = quota
        self.health = health
        self.now = now
        self.on_admitted = on_admitted
        self.pending: dict[int, list[PendingReply]] = {}  # by sequence number

    def handle(self, message: messages.ToPurgeLog) -> Reply:
        """Handles a message, and returns the reply or a pending reply."""
        match message:
            case PurgeRequest():
                return self._purge(message)
            case StatusQuery(sequence_number):
                return self.registry.status(sequence_number, self.now())
            case MembersQuery():
                return self.registry.members_reply(self.now())
            case QuotaQuery():
                return self.quota.status(self.registry.epoch)
            case HealthQuery():
                return self.health.status(self.registry.epoch)
        tag = message.__struct_config__.tag
        return RequestRejected("line", f"{tag} before any hello", "say hello first")

    def _purge(self, request: PurgeRequest) -> Reply:
        admitted = self.registry.admit(request, self.now())
        if isinstance(admitted, RequestRejected):
            return admitted
        purge = admitted.purge
        promised_within = self.registry.promises.get(purge.sequence_number, self.registry.current_promise)
        accepted = PurgeAccepted(
            purge.sequence_number, purge.purged_at, promised_within, admitted.is_duplicate
        )
        if purge.sequence_number <= self.registry.head:
            return accepted
        pending = PendingReply(accepted)
        self.pending.setdefault(purge.sequence_number, []).append(pending)
        self.on_admitted()
        return pending

    def resolve(self, sequence_number: int, rejection: RequestRejected | None) -> None:
        """Resolves the pending replies to a purge; without a rejection, the purge is durable."""
        for pending in self.pending.pop(sequence_number, ()):
            pending.resolve(rejection)

    async def serve(self, stream: anyio.abc.ByteStream, lines: AsyncIterator[bytes]) -> MemberHello | None:
        """Replies to a client's messages in order, until it sends a hello message or its lines end.

        :returns: the hello message; None if the lines ended.
        """
        queue, replies = anyio.create_memory_object_stream[Reply](MAX_QUEUED_REPLIES)
        async with anyio.create_task_group() as tasks, queue:
            tasks.start_soon(_write_replies, stream, replies)
            try:
                async for line in lines:
                    message = messages.decode_to_purge_log(line)
                    if isinstance(message, MemberHello):
                        return message
                    await queue.send(self.handle(message))
            except messages.MalformedMessageError as error:
                remedy = "write one JSON object a line, see docs/purges.md"
                await queue.send(RequestRejected("line", str(error), remedy))
        return None


async def _write_replies(stream: anyio.abc.ByteStream, replies) -> None:
    """Writes replies in order, many in one write unless the next one is still pending."""
    data = b""
    async for reply in replies:
        is_pending = isinstance(reply, PendingReply)
        if data and is_pending and not reply.resolved.is_set():
            await _send(stream, data)
            data = b""
        known_reply = await reply.wait() if is_pending else reply
        data += messages.encode_line(known_reply)
        has_more = replies.statistics().current_buffer_used
        if not has_more or len(data) >= messages.MAX_LINE_BYTES:
            await _send(stream, data)
            data = b""


async def _send(stream: anyio.abc.ByteStream, data: bytes) -> None:
    with anyio.fail_after(WRITE_TIMEOUT_SECONDS):
        await stream.send(data)
