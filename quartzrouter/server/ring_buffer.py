"""A ring buffer of bytes: one per connection and direction."""


class RingBuffer:
    """A first-in, first-out buffer of bytes with a fixed capacity.

    Most connections are idle most of the time, so an empty buffer holds no memory: the storage is
    allocated by the first write and released when the last byte is taken.

    :param capacity: bytes that it can hold.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self._start = 0
        self._length = 0
        self._storage = bytearray()

    def __len__(self) -> int:
        """Bytes that it holds."""
        return self._length

    @property
    def free(self) -> int:
        """Bytes that can be added."""
        return self.capacity - self._length

    def put(self, data: bytes | memoryview) -> None:
        """Appends all of the data.

        :raises ValueError: it doesn't fit; nothing is appended then.
        """
        if len(data) > self.free:
            raise ValueError("no room in the ring")
        if not self._length:
            self._storage = bytearray(self.capacity)
        write_position = (self._start + self._length) % self.capacity
        until_wrap = min(len(data), self.capacity - write_position)
        self._storage[write_position : write_position + until_wrap] = data[:until_wrap]
        self._storage[: len(data) - until_wrap] = data[until_wrap:]
        self._length += len(data)

    def peek(self, count: int) -> bytes:
        """Copies bytes from the front, which stay in the buffer.

        :returns: ``count`` bytes, or all that there are where they are fewer.
        """
        count = min(count, self._length)
        end = self._start + count
        if end <= self.capacity:
            return bytes(self._storage[self._start : end])
        return bytes(self._storage[self._start :]) + bytes(self._storage[: end - self.capacity])

    def drop(self, count: int) -> None:
        """Removes bytes from the front.

        :raises ValueError: it holds fewer; nothing is removed then.
        """
        if count > self._length:
            raise ValueError("more than the ring holds")
        self._length -= count
        self._start = (self._start + count) % self.capacity
        if not self._length:
            self._start = 0
            self._storage = bytearray()

    def take(self, count: int) -> bytes:
        """Removes and returns up to ``count`` bytes from the front."""
        data = self.peek(count)
        self.drop(len(data))
        return data
