"""Writes responses to one client, records of several in turns, so that none waits for a long one."""

from collections import deque
from collections.abc import Callable

import anyio

from quartzrouter.server.ring_buffer import RingBuffer
from quartzrouter.server.stream import Stream

WRITE_BUFFER_SIZE = 1 << 15  # bytes on their way to a client's socket
# Records that wait on one connection; beyond, the client takes its responses more slowly than it asks,
# and the connection is read slowly until some have gone out.
MAX_QUEUED_RECORDS = 256
NO_REQUEST = 0  # queue of records that belong to no response; request ids start at 1


class ResponseWriter:
    """The records that wait to be written to one client, by request id.

    :param stream: the client's connection.
    :param may_finish: whether nothing more will be queued, so that writing may end.
    """

    def __init__(self, stream: Stream, may_finish: Callable[[], bool]):
        self._stream = stream
        self._may_finish = may_finish
        self.buffer = RingBuffer(WRITE_BUFFER_SIZE)
        self.queues: dict[int, deque[bytes]] = {}  # by request id
        self._turns: deque[int] = deque()  # request ids with queued records
        self._sent_callbacks: dict[int, Callable[[], None]] = {}  # by request id
        self._changed = anyio.Event()  # something was queued, or it may be time to finish
        self._progressed = anyio.Event()  # some bytes have gone out
        self.sending_since = anyio.current_time()  # s: since when the same bytes go out

    @property
    def has_unsent(self) -> bool:
        """Whether anything waits to be written."""
        return bool(self.queues or len(self.buffer))

    @property
    def is_backlogged(self) -> bool:
        """Whether the client takes its responses more slowly than it asks."""
        return sum(map(len, self.queues.values())) > MAX_QUEUED_RECORDS

    @property
    def unsent_responses(self) -> int:
        """Responses of which records are still queued."""
        return sum(request_id != NO_REQUEST for request_id in self.queues)

    def queue(self, request_id: int, records: list[bytes]) -> None:
        """Queues records, behind those of the same request and in turns with others.

        :param records: each is shorter than ``WRITE_BUFFER_SIZE``.
        """
        if request_id not in self.queues:
            self.queues[request_id] = deque()
            self._turns.append(request_id)
        self.queues[request_id] += records
        self._changed.set()

    def call_when_sent(self, request_id: int, callback: Callable[[], None]) -> None:
        """Calls the callback once no record of a response is queued: at once where none is."""
        if request_id in self.queues:
            self._sent_callbacks[request_id] = callback
        else:
            callback()

    def recheck(self) -> None:
        """Looks again whether writing may finish."""
        self._changed.set()

    async def wait_for_progress(self, max_wait: float) -> None:
        """Waits until some bytes have gone out.

        :param max_wait: s, after which it returns in any case.
        """
        self._progressed = anyio.Event()
        with anyio.move_on_after(max_wait):
            await self._progressed.wait()

    async def run(self) -> None:
        """Writes what is queued, and returns once all is written and nothing more will come.

        Raises what ``attempt_failure.CONNECTION_ERRORS`` lists.
        """
        while True:
            self._fill_buffer()
            if len(self.buffer):
                self.sending_since = anyio.current_time()
                data = self.buffer.peek(WRITE_BUFFER_SIZE)
                await self._stream.send(data)
                self.buffer.drop(len(data))
                self._progressed.set()
            elif self._may_finish():
                return
            elif not self._turns:
                self._changed = anyio.Event()
                await self._changed.wait()

    def _fill_buffer(self) -> None:
        """Moves records to the buffer, one of each response in turn, until one doesn't fit."""
        while self._turns:
            request_id = self._turns[0]
            records = self.queues.get(request_id)  # None once the responses were discarded
            if records and len(records[0]) > self.buffer.free:
                return
            self._turns.popleft()
            if records:
                self.buffer.put(records.popleft())
            if records:
                self._turns.append(request_id)
                continue
            self.queues.pop(request_id, None)
            if request_id in self._sent_callbacks:
                self._sent_callbacks.pop(request_id)()

    def discard(self) -> None:
        """Removes what is queued, for a client that has gone; the callbacks are called."""
        self.queues.clear()
        for callback in self._sent_callbacks.values():
            callback()
        self._sent_callbacks.clear()
