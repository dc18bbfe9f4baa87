"""Divides the memory that the process may use among what its clients can make it hold."""

import os
from dataclasses import dataclass
from pathlib import Path

STATM = Path("/proc/self/statm")  # sizes of this process in pages; the second one is its resident memory
RESPONSES_DIVISOR = 8  # an eighth is for responses that their clients haven't received yet
REQUESTS_DIVISOR = 8  # at most an eighth is for requests, with their parameters and bodies
# An eighth is for the decisions' tables, connections to caches, and gaps of the allocator.
RESERVE_DIVISOR = 8
MIN_SHARE_DIVISOR = 32  # requests and connections get this part each, however little is left
CONNECTION_MEMORY = 12 << 10  # bytes: a client's connection with its tasks; its data counts as requests


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """What clients may make the process hold.

    :param requests: bytes of requests that have arrived and are not answered.
    :param responses: bytes of responses that their clients haven't received.
    :param client_connections: the number of clients' connections.
    """

    requests: int
    responses: int
    client_connections: int


def divide_memory(limit: int, resident: int) -> MemoryBudget:
    """Divides what the program itself doesn't need.

    Guards against a process that is killed for its memory: the program takes up most of a small limit, so
    fixed parts of the limit add up to more than is left.

    :param limit: bytes that the process may use.
    :param resident: bytes that it uses before its first client; 0 if that isn't known.  If they exceed the
        limit, it can't be kept, and the program's own size is left out of account.
    """
    own_size = resident if resident < limit else 0
    left = limit - own_size - limit // RESPONSES_DIVISOR - limit // RESERVE_DIVISOR
    share = max(left // 2, limit // MIN_SHARE_DIVISOR)
    return MemoryBudget(
        requests=min(share, limit // REQUESTS_DIVISOR),
        responses=limit // RESPONSES_DIVISOR,
        client_connections=max(1, share // CONNECTION_MEMORY),
    )


def resident_memory() -> int:
    """Returns the bytes of memory that this process uses; 0 if the system doesn't tell."""
    try:
        pages = int(STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
