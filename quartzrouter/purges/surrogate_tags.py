"""Surrogate tags: their parsing from response headers, and the tags of the last response of each object.

The remembered tags are only a hint that saves attempts: another cache may hold a copy with other tags, so
every response is checked by its own tags.
"""

MAX_TAGS = 32  # per response; a response with more is treated as having any tag


class ObjectTags:
    """The tags of the last response of each object; the least recently updated object is dropped first.

    :param max_objects: the maximum number of objects; each takes 100 bytes, and objects with the same tags
        share one tuple.
    """

    def __init__(self, max_objects: int):
        self.max_objects = max_objects
        self.by_object: dict[str, tuple[str, ...] | None] = {}
        self.interned: dict[tuple[str, ...], tuple[str, ...]] = {}  # shared by objects with the same tags

    def learn(self, object_key: str, tags: tuple[str, ...] | None) -> None:
        """Records the tags of a response.

        :param tags: None if the response named no tags, so that the object may have any tag.
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
        """Returns the tags of an object's last response.

        :returns: an empty tuple if the object is not known; None if its response named no tags.
        """
        return self.by_object.get(object_key, ())


def parse_tags(
    cache_tag: str | None, surrogate_key: str | None, cache_groups: str | None
) -> tuple[str, ...] | None:
    """Parses the tags of a response from its header fields, each of which is None if it is absent.

    :param cache_tag: the value of ``Cache-Tag``, separated by commas.
    :param surrogate_key: the value of ``Surrogate-Key``, separated by blanks.
    :param cache_groups: the value of ``Cache-Groups`` (RFC 9875), quoted strings separated by commas.
    :returns: the tags in alphabetical order; None if all fields are absent or there are more than MAX_TAGS
        tags.
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
