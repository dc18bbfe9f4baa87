"""How much a cache should want to keep an object.  No I/O."""

import zlib

from quartzrouter.routing.model import Request

# Chunks that are remembered.  They take 2 MB and last longer than caches keep copies.
MAX_CHUNKS = 16_384

UNCACHEABLE = 0
SEEN_ONCE = 1
SEEN_AGAIN = 2


class CachePriority:
    """Ranks chunks by whether they were asked for before.

    A first request may be the only one: what is asked for again should stay in the caches.
    """

    def __init__(self) -> None:
        self.seen: dict[int, None] = {}  # hashes of chunks, the first seen first

    def of(self, request: Request) -> int:
        """Ranks the chunk that a request asks for, and remembers it.

        :returns: ``SEEN_ONCE`` or ``SEEN_AGAIN``.
        """
        chunk = zlib.crc32(f"{request.object_key}/{request.chunk}".encode())
        priority = SEEN_AGAIN if chunk in self.seen else SEEN_ONCE
        self.seen[chunk] = None
        if len(self.seen) > MAX_CHUNKS:
            del self.seen[next(iter(self.seen))]
        return priority
