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

        A query is answered once all earlier replies are written.  Its reply may have a line for each member,
        so replies that wait for a client that reads nothing would otherwise take up much memory.

        :returns: the hello message; None if the lines ended.
        """
        writer = ReplyWriter(stream)
        async with anyio.create_task_group() as tasks, writer:
            tasks.start_soon(writer.run)
            try:
                async for line in lines:
                    message = messages.decode_to_purge_log(line)
                    if isinstance(message, MemberHello):
                        return message
                    if not isinstance(message, PurgeRequest):
                        await writer.wait_until_written()
                    await writer.put(self.handle(message))
            except messages.MalformedMessageError as error:
                remedy = "write one JSON object a line, see docs/purges.md"
                await writer.put(RequestRejected("line", str(error), remedy))
        return None


class ReplyWriter:
    """Writes the replies to one client in order; as a context manager, accepts no more on exit."""

    def __init__(self, stream: anyio.abc.ByteStream):
        self._stream = stream
        self._queue, self._replies = anyio.create_memory_object_stream[Reply](MAX_QUEUED_REPLIES)
        self._unwritten = 0  # replies that were put and are not written yet
        self._encoded = bytearray()  # replies that are written next
        self._encoded_count = 0  # number of those replies
        self._changed = anyio.Event()  # set when replies were written

    async def __aenter__(self) -> "ReplyWriter":
        """Returns the writer."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Lets ``run`` end once all replies are written."""
        await self._queue.aclose()

    async def put(self, reply: Reply) -> None:
        """Adds a reply; waits while too many are unwritten."""
        self._unwritten += 1
        await self._queue.send(reply)

    async def wait_until_written(self) -> None:
        """Waits until every reply is written."""
        while self._unwritten:
            await self._changed.wait()

    async def run(self) -> None:
        """Writes replies, many in one write unless the next one is still pending."""
        async for reply in self._replies:
            is_pending = isinstance(reply, PendingReply)
            if is_pending and not reply.resolved.is_set():
                await self._write()
            known_reply = await reply.wait() if is_pending else reply
            self._encoded += messages.encode_line(known_reply)
            self._encoded_count += 1
            has_more = self._replies.statistics().current_buffer_used
            if not has_more or len(self._encoded) >= messages.MAX_LINE_BYTES:
                await self._write()

    async def _write(self) -> None:
        """Writes the replies that are encoded."""
        if not self._encoded:
            return
        data = bytes(self._encoded)
        self._encoded.clear()
        with anyio.fail_after(WRITE_TIMEOUT_SECONDS):
            await self._stream.send(data)
        self._unwritten -= self._encoded_count
        self._encoded_count = 0
        self._changed.set()
        self._changed = anyio.Event()
