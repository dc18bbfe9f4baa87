"""Reproducible random delays.  No I/O."""

import zlib


class Jitter:
    """Draws pseudorandom numbers that differ between routers, and are reproducible with the same seed."""

    def __init__(self, router_number: int, seed: int) -> None:
        self.router_number = router_number
        self.seed = seed
        self.draws = 0

    def below(self, limit: int) -> int:
        """Returns a number from 0 to ``limit - 1``; 0 if the limit is 0."""
        self.draws += 1
        text = f"{self.router_number}/{self.seed}/{self.draws}"
        return zlib.crc32(text.encode()) % max(1, limit)

    def fixed_for(self, name: str, limit: int) -> int:
        """Returns a number from 0 to ``limit - 1`` that is always the same for a name at this router."""
        return zlib.crc32(f"{name}/{self.router_number}/{self.seed}".encode()) % limit
