"""Ids of requests that were sent to a cache and may come again although they must not run again."""

MAX_IDS = 4_096  # the oldest are forgotten first
REMEMBERED_FOR = 60 * 1_000_000  # microseconds; a front server that sends a request again does so much sooner


class SentIds:
    """The ids of requests whose clients have left, or that may run once only, for a limited time.

    A client gives each request a new id, also if it tries again.  An id that comes a second time is the same
    request, sent again by a front server that saw its connection end, and may have run already.
    """

    def __init__(self) -> None:
        self._expires_at: dict[str, int] = {}  # by id, in the order in which they were added

    def add(self, correlation_id: str, now: int) -> None:
        """Remembers an id.

        :param now: microseconds.
        """
        self._expires_at.pop(correlation_id, None)
        self._expires_at[correlation_id] = now + REMEMBERED_FOR
        if len(self._expires_at) > MAX_IDS:
            del self._expires_at[next(iter(self._expires_at))]

    def contains(self, correlation_id: str, now: int) -> bool:
        """Returns True if an id was added less than ``REMEMBERED_FOR`` ago."""
        return self._expires_at.get(correlation_id, 0) > now
