"""A purge, as it stands in the log and travels to members."""

from typing import Literal

import msgspec

PurgeKind = Literal["object", "tag", "pattern", "all"]


class Purge(msgspec.Struct, frozen=True, omit_defaults=True):
    """One purge: copies made before ``purged_at`` are stale where one of the values names them.

    :param sequence_number: its place in the order of all purges, from 1.
    :param purged_at: microseconds of the purge log's wall clock.
    :param values: objects, tags or patterns; none where the kind is ``all``.
    :param vhost: limits it to a vhost; empty for all.
    :param store: limits it to copies in caches of a store; empty for all.
    :param key: idempotency key: the same purge sent twice with it counts once.
    """

    sequence_number: int = msgspec.field(name="number")
    purged_at: int = msgspec.field(name="when")
    kind: PurgeKind
    values: tuple[str, ...] = ()
    vhost: str = ""
    store: str = ""
    key: str = ""

    def description(self) -> str:
        """Returns the purge in words, for people."""
        text = f"{self.kind} {' '.join(self.values)}".strip()
        if self.vhost:
            text += f" of {self.vhost}"
        if self.store:
            text += f" at {self.store}"
        return text
