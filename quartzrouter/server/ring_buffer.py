"""A ring buffer of bytes, one for each connection and direction."""


class RingBuffer:
    """A first-in, first-out buffer of bytes with a fixed capacity.

    Most connections are idle most of the time, and slow clients send little at a time, so the storage is no
    larger than what has been in it since it was last empty, and an empty buffer uses no memory.

    :param capacity: number of bytes that the buffer can hold.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self._start = 0
        self._length = 0
        self._storage = bytearray()

    def __len__(self) -> int:
        """Returns the number of bytes in the buffer."""
        return self._length

    @property
    def free(self) -> int:
        """Returns the number of bytes that can be added."""
        return self.capacity - self._length

    def put(self, data: bytes | memoryview) -> None:
        """Appends all of the data.

        :raises ValueError: if the data doesn't fit; then nothing is appended.
        """
        if len(data) > self.free:
            raise ValueError("the data doesn't fit into the ring buffer")
        if self._length + len(data) > len(self._storage):
            self._grow(self._length + len(data))
        size = len(self._storage)
        write_position = (self._start + self._length) % size
        until_wrap = min(len(data), size - write_position)
        self._storage[write_position : write_position + until_wrap] = data[:until_wrap]
        self._storage[: len(data) - until_wrap] = data[until_wrap:]
        self._length += len(data)

    def _grow(self, needed: int) -> None:
        """Allocates a larger storage, and moves the bytes to its front."""
        size = max(needed, min(self.capacity, 2 * len(self._storage)))
        storage = bytearray(size)
        storage[: self._length] = self.peek(self._length)
        self._storage = storage
        self._start = 0

    def peek(self, count: int) -> bytes:
        """Returns bytes from the front without removing them.

        :returns: ``count`` bytes, or all bytes if there are fewer.
        """
        count = min(count, self._length)
        end = self._start + count
        size = len(self._storage)
        if end <= size:
            return bytes(self._storage[self._start : end])
        return bytes(self._storage[self._start :]) + bytes(self._storage[: end - size])

    def drop(self, count: int) -> None:
        """Removes bytes from the front.

        :raises ValueError: if the buffer holds fewer; then nothing is removed.
        """
        if count > self._length:
            raise ValueError("the ring buffer holds fewer bytes")
        self._length -= count
        if self._length:
            self._start = (self._start + count) % len(self._storage)
        else:
            self._start = 0
            self._storage = bytearray()

    def take(self, count: int) -> bytes:
        """Removes and returns up to ``count`` bytes from the front."""
        data = self.peek(count)
        self.drop(len(data))
        return data
