"""A purge, as it is stored in the log and sent to members."""

from typing import Literal

import msgspec

PurgeKind = Literal["object", "tag", "pattern", "all"]


class Purge(msgspec.Struct, frozen=True, omit_defaults=True):
    """One purge: copies made before ``purged_at`` are stale if one of the values matches them.

    :param sequence_number: its position in the order of all purges, from 1.
    :param purged_at: microseconds of the purge log's wall clock.
    :param values: objects, tags or patterns; empty if the kind is ``all``.
    :param vhost: limits the purge to a vhost; empty for all.
    :param store: limits the purge to copies in caches of a store; empty for all.
    :param key: the idempotency key: a purge that is sent twice with the same key is accepted once.
    """

    sequence_number: int = msgspec.field(name="number")
    purged_at: int = msgspec.field(name="when")
    kind: PurgeKind
    values: tuple[str, ...] = ()
    vhost: str = ""
    store: str = ""
    key: str = ""

    def description(self) -> str:
        """Returns a readable description of the purge."""
        text = f"{self.kind} {' '.join(self.values)}".strip()
        if self.vhost:
            text += f" of {self.vhost}"
        if self.store:
            text += f" at {self.store}"
        return text
