"""Which tags an object's last answer carried: a hint that saves dispatches, never a proof.

Another cache may hold a copy with other tags, so every answer is judged by its own.
"""

TAGS_MOST = 32  # of one answer; one with more is taken to carry any


class Tags:
    """Objects and their tags; the least lately answered goes first.

    :param most: objects held; 100 bytes each, and their tags once for all.
    """

    def __init__(self, most: int):
        self.most = most
        self.of: dict[str, tuple[str, ...] | None] = {}
        self.sets: dict[tuple[str, ...], tuple[str, ...]] = {}  # one for all objects that carry the same

    def learn(self, obj: str, tags: tuple[str, ...] | None) -> None:
        """:param tags: None: the answer named none, so that the object may carry any."""
        self.of.pop(obj, None)
        if tags is not None:
            if len(self.sets) > self.most:
                self.sets.clear()
            tags = self.sets.setdefault(tags, tags)
        self.of[obj] = tags
        if len(self.of) > self.most:
            del self.of[next(iter(self.of))]

    def known(self, obj: str) -> tuple[str, ...] | None:
        """The tags of its last answer; none where it was never seen; None where that named none."""
        return self.of.get(obj, ())


def read(cache_tag: str | None, surrogate_key: str | None, groups: str | None) -> tuple[str, ...] | None:
    """Tags as caches name them: Cache-Tag with commas, Surrogate-Key with blanks, Cache-Groups (RFC 9875).

    None where there are no such fields, or more tags than are looked at.
    """
    found: dict[str, None] = {}
    if cache_tag is not None:
        found |= dict.fromkeys(word.strip() for word in cache_tag.split(","))
    if surrogate_key is not None:
        found |= dict.fromkeys(surrogate_key.split())
    if groups is not None:
        found |= dict.fromkeys(word.strip().partition(";")[0].strip('"') for word in groups.split(","))
    found.pop("", None)
    if (cache_tag is None and surrogate_key is None and groups is None) or len(found) > TAGS_MOST:
        return None
    return tuple(sorted(found))
