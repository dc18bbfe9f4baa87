"""Surrogate tags: how responses carry them, and which tags the last response of each object carried.

The remembered tags are a hint that saves attempts, and never a proof: another cache may hold a copy with
other tags, so every response is judged by its own.
"""

MAX_TAGS = 32  # of one response; one with more is taken to carry any tag


class ObjectTags:
    """The tags of the last response of each object; the least recently answered object is dropped first.

    :param max_objects: objects held; 100 bytes each, and every set of tags once for all its objects.
    """

    def __init__(self, max_objects: int):
        self.max_objects = max_objects
        self.by_object: dict[str, tuple[str, ...] | None] = {}
        self.interned: dict[tuple[str, ...], tuple[str, ...]] = {}  # one tuple for all with the same tags

    def learn(self, object_key: str, tags: tuple[str, ...] | None) -> None:
        """Records the tags of a response.

        :param tags: None where it named none, so that the object may carry any.
        """
        self.by_object.pop(object_key, None)
        if tags is not None:
            if len(self.interned) > self.max_objects:
                self.interned.clear()
            tags = self.interned.setdefault(tags, tags)
        self.by_object[object_key] = tags
        if len(self.by_object) > self.max_objects:
            del self.by_object[next(iter(self.by_object))]

    def known(self, object_key: str) -> tuple[str, ...] | None:
        """Returns the tags of the last response.

        :returns: no tags where the object was never seen; None where its response named none.
        """
        return self.by_object.get(object_key, ())


def parse_tags(
    cache_tag: str | None, surrogate_key: str | None, cache_groups: str | None
) -> tuple[str, ...] | None:
    """Reads the tags of a response.

    :param cache_tag: value of ``Cache-Tag``, separated by commas; None where there is no such field.
    :param surrogate_key: value of ``Surrogate-Key``, separated by blanks.
    :param cache_groups: value of ``Cache-Groups`` (RFC 9875), quoted strings separated by commas.
    :returns: the tags in alphabetical order; None where there is no such field, or more than MAX_TAGS tags.
    """
    if cache_tag is None and surrogate_key is None and cache_groups is None:
        return None
    tags: set[str] = set()
    if cache_tag is not None:
        tags.update(word.strip() for word in cache_tag.split(","))
    if surrogate_key is not None:
        tags.update(surrogate_key.split())
    if cache_groups is not None:
        tags.update(word.strip().partition(";")[0].strip('"') for word in cache_groups.split(","))
    tags.discard("")
    if len(tags) > MAX_TAGS:
        return None
    return tuple(sorted(tags))
