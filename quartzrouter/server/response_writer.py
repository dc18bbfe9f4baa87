"""Writes responses to one client, a record of each in turn, so that none waits for a long one."""

from collections import deque
from collections.abc import Callable

import anyio

from quartzrouter.server.ring_buffer import RingBuffer
from quartzrouter.server.stream import Stream

WRITE_BUFFER_SIZE = 1 << 15  # bytes that are being written to a client's socket
# The number of queued records on one connection above which it is backlogged: its client reads responses more
# slowly than it sends requests, so the connection is read slowly until some records have been sent.
MAX_QUEUED_RECORDS = 256
NO_REQUEST = 0  # key of the queue for records that belong to no response; request ids start at 1


class ResponseWriter:
    """Queues records for one client by request id, and writes them.

    :param stream: the client's connection.
    :param may_finish: returns True if no more records will be queued, so that writing may end.
    """

    def __init__(self, stream: Stream, may_finish: Callable[[], bool]):
        self._stream = stream
        self._may_finish = may_finish
        self.buffer = RingBuffer(WRITE_BUFFER_SIZE)
        self.queues: dict[int, deque[bytes]] = {}  # by request id
        self._turns: deque[int] = deque()  # request ids with queued records
        self._sent_callbacks: dict[int, Callable[[], None]] = {}  # by request id
        self._changed = anyio.Event()  # set when records were queued, or writing may have to end
        self._progressed = anyio.Event()  # set when a write has completed
        self.sending_since = anyio.current_time()  # when the current write began, in s of the loop's clock

    @property
    def has_unsent(self) -> bool:
        """Returns True if there are records or bytes to be written."""
        return bool(self.queues or len(self.buffer))

    @property
    def is_backlogged(self) -> bool:
        """Returns True if the client reads its responses more slowly than it sends requests."""
        return sum(map(len, self.queues.values())) > MAX_QUEUED_RECORDS

    @property
    def unsent_responses(self) -> int:
        """The number of responses that still have queued records."""
        return sum(request_id != NO_REQUEST for request_id in self.queues)

    def queue(self, request_id: int, records: list[bytes]) -> None:
        """Queues records after those of the same request; the requests' records are written in turn.

        :param records: each is shorter than ``WRITE_BUFFER_SIZE``.
        """
        if request_id not in self.queues:
            self.queues[request_id] = deque()
            self._turns.append(request_id)
        self.queues[request_id] += records
        self._changed.set()

    def call_when_sent(self, request_id: int, callback: Callable[[], None]) -> None:
        """Calls the callback once no record of a response is queued, or at once if none is."""
        if request_id in self.queues:
            self._sent_callbacks[request_id] = callback
        else:
            callback()

    def recheck(self) -> None:
        """Makes ``run`` check again whether writing may end."""
        self._changed.set()

    async def wait_for_progress(self, max_wait: float) -> None:
        """Waits until a write has completed.

        :param max_wait: seconds after which it returns in any case.
        """
        self._progressed = anyio.Event()
        with anyio.move_on_after(max_wait):
            await self._progressed.wait()

    async def run(self) -> None:
        """Writes queued records; returns once all are written and ``may_finish`` returns True.

        Raises the exceptions that ``attempt_failure.CONNECTION_ERRORS`` lists.
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
        """Moves records to the buffer, one of each response in turn, until a record doesn't fit."""
        while self._turns:
            request_id = self._turns[0]
            records = self.queues.get(request_id)  # None after ``discard``
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
        """Removes all queued records of a client that has gone, and calls the callbacks."""
        self.queues.clear()
        for callback in self._sent_callbacks.values():
            callback()
        self._sent_callbacks.clear()
