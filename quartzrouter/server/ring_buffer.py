"""A ring buffer of bytes: one per connection and direction; an empty one takes up nothing."""


class RingBuffer:
    def __init__(self, size: int):
        self.size, self.start, self.used = size, 0, 0
        self.store = bytearray()

    def __len__(self) -> int:
        return self.used

    @property
    def free(self) -> int:
        return self.size - self.used

    def put(self, data: bytes | memoryview) -> None:
        if len(data) > self.free:
            raise ValueError("no room in the ring")
        if not self.used:
            self.store = bytearray(self.size)
        at = (self.start + self.used) % self.size
        first = min(len(data), self.size - at)
        self.store[at : at + first] = data[:first]
        self.store[: len(data) - first] = data[first:]
        self.used += len(data)

    def peek(self, count: int) -> bytes:
        """Up to so many bytes from the front, which stay."""
        count = min(count, self.used)
        end = self.start + count
        if end <= self.size:
            return bytes(self.store[self.start : end])
        return bytes(self.store[self.start :]) + bytes(self.store[: end - self.size])

    def drop(self, count: int) -> None:
        if count > self.used:
            raise ValueError("more than the ring holds")
        self.used -= count
        self.start = (self.start + count) % self.size
        if not self.used:
            self.start, self.store = 0, bytearray()

    def take(self, count: int) -> bytes:
        data = self.peek(count)
        self.drop(len(data))
        return data
