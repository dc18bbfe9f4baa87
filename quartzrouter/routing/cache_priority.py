"""The priority with which caches retain an object.  No I/O."""

import zlib

from quartzrouter.routing.model import Request

# Number of chunks that are remembered.  They take 2 MB, and are remembered longer than caches keep copies.
MAX_CHUNKS = 16_384

UNCACHEABLE = 0
SEEN_ONCE = 1
SEEN_AGAIN = 2


class CachePriority:
    """Ranks chunks by whether they have been requested before.

    The first request for a chunk may be the only one, so caches should prefer chunks requested repeatedly.
    """

    def __init__(self) -> None:
        self.seen: dict[int, None] = {}  # hashes of chunks, in the order in which they were first seen

    def of(self, request: Request) -> int:
        """Returns the priority of the requested chunk, and remembers the chunk.

        :returns: ``SEEN_ONCE`` or ``SEEN_AGAIN``.
        """
        chunk = zlib.crc32(f"{request.object_key}/{request.chunk}".encode())
        priority = SEEN_AGAIN if chunk in self.seen else SEEN_ONCE
        self.seen[chunk] = None
        if len(self.seen) > MAX_CHUNKS:
            del self.seen[next(iter(self.seen))]
        return priority
