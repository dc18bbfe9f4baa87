"""Sets of requests: what a route matches, what of it earlier routes leave, and one request of a set.

A set is a list of boxes.  A box is a product of sets: of stores, of methods, and of texts for the host, for
the path, and for each header and parameter that is named.
"""

from dataclasses import dataclass, field, replace
from functools import lru_cache
from typing import NamedTuple

from quartzrouter.config.patterns import Pattern, witness

MAX_BOXES = 20_000  # of one set
MAX_CACHED_EXAMPLES = 1 << 16


class RouteQuery(NamedTuple):
    """A request as routes see it.

    :param host: in lower case.
    :param headers: by name in lower case.
    """

    store: str
    host: str
    path: str
    method: str = "GET"
    headers: dict[str, str] = {}
    params: dict[str, str] = {}

    def describe(self) -> str:
        """Returns the request on one line, for messages."""
        query = "&".join(f"{name}={value}" for name, value in self.params.items())
        headers = "".join(f" {name}: {value};" for name, value in self.headers.items())
        url = f"{self.host}{self.path}{'?' + query if query else ''}"
        return f"{self.method} {url} at {self.store}{' with' + headers.rstrip(';') if headers else ''}"


@dataclass(frozen=True, slots=True)
class TextSet:
    """The texts that match all of ``required`` and none of ``excluded``, and perhaps the absent value.

    :ivar allows_absent: whether a header or parameter that is absent is in the set.
    :ivar allows_present: whether any text is in the set.
    """

    required: tuple[Pattern, ...] = ()
    excluded: tuple[Pattern, ...] = ()
    allows_absent: bool = False
    allows_present: bool = True

    @property
    def has_all_texts(self) -> bool:
        """Whether each text is in the set."""
        return not (self.required or self.excluded) and self.allows_present

    def intersect(self, other: "TextSet") -> "TextSet":
        """Returns what is in both sets."""
        return TextSet(
            tuple(dict.fromkeys(self.required + other.required)),
            tuple(dict.fromkeys(self.excluded + other.excluded)),
            self.allows_absent and other.allows_absent,
            self.allows_present and other.allows_present,
        )

    def complement(self, may_be_absent: bool) -> "TextSet":
        """Returns what is not in a set that has at most one required pattern and no excluded one.

        :param may_be_absent: whether the value may be absent at all.
        """
        if not self.allows_present:
            return TextSet(allows_absent=False)
        return TextSet((), self.required, may_be_absent and not self.allows_absent, bool(self.required))


ANY_OR_ABSENT = TextSet(allows_absent=True)
ANY_TEXT = TextSet()
EMPTY = object()


@lru_cache(maxsize=MAX_CACHED_EXAMPLES)
def example(texts: TextSet) -> str | None | object:
    """Returns a text of the set, None for the absent value, or ``EMPTY`` if the set is empty."""
    if texts.allows_absent:
        return None
    text = witness(texts.required, texts.excluded) if texts.allows_present else None
    return EMPTY if text is None else text


@dataclass(frozen=True)
class Box:
    """The requests whose store, method, host, path, headers and parameters are each in a set of its own.

    :ivar headers: by name in lower case; headers that aren't named may be anything.
    :ivar params: by name, likewise.
    """

    stores: frozenset[str]
    methods: frozenset[str]
    host: TextSet = ANY_TEXT
    path: TextSet = ANY_TEXT
    headers: dict[str, TextSet] = field(default_factory=dict)
    params: dict[str, TextSet] = field(default_factory=dict)

    def intersect(self, other: "Box") -> "Box | None":
        """Returns the requests that are in both, or None if there are none."""
        stores, methods = self.stores & other.stores, self.methods & other.methods
        if (
            not (stores and methods)
            or differ_in_prefix(self.path, other.path)
            or differ_in_prefix(self.host, other.host)
        ):
            return None
        both = Box(
            stores,
            methods,
            self.host.intersect(other.host),
            self.path.intersect(other.path),
            _intersect_by_name(self.headers, other.headers),
            _intersect_by_name(self.params, other.params),
        )
        return both if both.is_not_empty else None

    @property
    def is_not_empty(self) -> bool:
        """Whether there is a request in it."""
        if not (self.stores and self.methods):
            return False
        named = (*self.headers.values(), *self.params.values())
        return all(example(texts) is not EMPTY for texts in (self.host, self.path, *named))

    def witness(self) -> RouteQuery | None:
        """Returns a request that is in the box, or None if there is none."""
        if not self.is_not_empty:
            return None
        headers = {name: example(texts) for name, texts in self.headers.items()}
        params = {name: example(texts) for name, texts in self.params.items()}
        method = "GET" if "GET" in self.methods else min(self.methods)
        return RouteQuery(
            min(self.stores),
            example(self.host),
            example(self.path),
            method,
            {name: value for name, value in headers.items() if value is not None},
            {name: value for name, value in params.items() if value is not None},
        )

    def without(self, other: "Box") -> list["Box"]:
        """Returns the requests that are not in the other box, as disjoint boxes.

        Splits off, one component after the other, what the other box doesn't have in that component.
        """
        if self.intersect(other) is None:
            return [self]
        pieces, rest = [], self
        if outside := self.stores - other.stores:
            pieces.append(replace(rest, stores=outside))
        rest = replace(rest, stores=self.stores & other.stores)
        if outside := self.methods - other.methods:
            pieces.append(replace(rest, methods=outside))
        rest = replace(rest, methods=self.methods & other.methods)
        for component in ("host", "path"):
            theirs = getattr(other, component)
            if not theirs.has_all_texts:
                pieces.append(
                    replace(rest, **{component: getattr(rest, component).intersect(theirs.complement(False))})
                )
                rest = replace(rest, **{component: getattr(rest, component).intersect(theirs)})
        for component in ("headers", "params"):
            for name, theirs in getattr(other, component).items():
                by_name = getattr(rest, component)
                mine = by_name.get(name, ANY_OR_ABSENT)
                pieces.append(
                    replace(rest, **{component: by_name | {name: mine.intersect(theirs.complement(True))}})
                )
                rest = replace(rest, **{component: by_name | {name: mine.intersect(theirs)}})
        return [piece for piece in pieces if piece.is_not_empty]


def differ_in_prefix(a: TextSet, b: TextSet) -> bool:
    """Returns whether two sets are disjoint because their patterns begin with different literal texts."""
    for one in a.required:
        for other in b.required:
            if not (one.prefix.startswith(other.prefix) or other.prefix.startswith(one.prefix)):
                return True
    return False


def _intersect_by_name(a: dict[str, TextSet], b: dict[str, TextSet]) -> dict[str, TextSet]:
    return {name: a.get(name, ANY_OR_ABSENT).intersect(b.get(name, ANY_OR_ABSENT)) for name in {**a, **b}}


class TooManyBoxesError(Exception):
    """A set needs more boxes than ``MAX_BOXES``."""


def subtract(boxes: list[Box], others: list[Box]) -> list[Box]:
    """Returns the requests of the boxes that are in none of the others.

    :raises TooManyBoxesError: if that takes more than ``MAX_BOXES`` boxes.
    """
    for other in others:
        boxes = [piece for box in boxes for piece in box.without(other)]
        if not boxes:
            break
        if len(boxes) > MAX_BOXES:
            raise TooManyBoxesError
    return boxes
