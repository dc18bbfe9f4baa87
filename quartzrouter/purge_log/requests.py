"""Answers to clients: purges, which are answered once they are durable, and queries."""

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

MAX_QUEUED_ANSWERS = 1_024  # of one client; beyond, nothing more is read from it
WRITE_TIMEOUT = 5.0  # s: a client that takes nothing for so long is given up


class PendingAnswer:
    """The answer to a purge that is not durable yet.

    :param accepted: the answer once it is durable.
    """

    def __init__(self, accepted: PurgeAccepted):
        self.accepted = accepted
        self.rejection: RequestRejected | None = None
        self.settled = anyio.Event()

    def settle(self, rejection: RequestRejected | None) -> None:
        """Records what became of the purge; None where it is durable."""
        self.rejection = rejection
        self.settled.set()

    async def wait(self) -> PurgeAccepted | RequestRejected:
        """Returns the answer once it is known."""
        await self.settled.wait()
        return self.rejection or self.accepted


Answer = messages.FromPurgeLog | PendingAnswer


class RequestHandler:
    """Answers clients' messages.

    :param now: returns microseconds of the purge log's wall clock.
    :param on_admitted: called after a purge was admitted that is to be made durable.
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
        self.pending: dict[int, list[PendingAnswer]] = {}  # by sequence number

    def answer(self, message: messages.ToPurgeLog) -> Answer:
        """Returns the answer, or one that is pending."""
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

    def _purge(self, request: PurgeRequest) -> Answer:
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
        pending = PendingAnswer(accepted)
        self.pending.setdefault(purge.sequence_number, []).append(pending)
        self.on_admitted()
        return pending

    def settle(self, sequence_number: int, rejection: RequestRejected | None) -> None:
        """Answers those that wait for a purge; without a rejection it is durable."""
        for pending in self.pending.pop(sequence_number, ()):
            pending.settle(rejection)

    async def serve(self, stream: anyio.abc.ByteStream, lines: AsyncIterator[bytes]) -> MemberHello | None:
        """Answers a client's messages in their order until it says hello or its lines end.

        :returns: the hello.
        """
        queue, answers = anyio.create_memory_object_stream[Answer](MAX_QUEUED_ANSWERS)
        async with anyio.create_task_group() as tasks, queue:
            tasks.start_soon(_write_answers, stream, answers)
            try:
                async for line in lines:
                    message = messages.decode_to_purge_log(line)
                    if isinstance(message, MemberHello):
                        return message
                    await queue.send(self.answer(message))
            except messages.MalformedMessageError as error:
                remedy = "write one JSON object a line, see docs/purges.md"
                await queue.send(RequestRejected("line", str(error), remedy))
        return None


async def _write_answers(stream: anyio.abc.ByteStream, answers) -> None:
    """Writes answers in their order, many at once while none has to be waited for."""
    data = b""
    async for answer in answers:
        is_pending = isinstance(answer, PendingAnswer)
        if data and is_pending and not answer.settled.is_set():
            await _send(stream, data)
            data = b""
        known_answer = await answer.wait() if is_pending else answer
        data += messages.encode_line(known_answer)
        has_more = answers.statistics().current_buffer_used
        if not has_more or len(data) >= messages.MAX_LINE_BYTES:
            await _send(stream, data)
            data = b""


async def _send(stream: anyio.abc.ByteStream, data: bytes) -> None:
    with anyio.fail_after(WRITE_TIMEOUT):
        await stream.send(data)
