"""Sets of reqs: what a route takes, what is left of it behind others, and one req that lies in it.

A box is a product: stores, methods, and a language of hosts, of paths, of each header and parameter named.
"""

from dataclasses import dataclass, field, replace
from functools import lru_cache
from typing import NamedTuple

from quartzrouter.config.patterns import Pattern, witness

BOXES_MOST = 20_000  # that one set may fall into


class RouteQuery(NamedTuple):
    """A req as routes see it; headers by lower-case name, the host in lower case."""

    store: str
    host: str
    path: str
    method: str = "GET"
    headers: dict[str, str] = {}
    params: dict[str, str] = {}

    def describe(self) -> str:
        query = "&".join(f"{name}={value}" for name, value in self.params.items())
        heads = "".join(f" {name}: {value};" for name, value in self.headers.items())
        url = f"{self.host}{self.path}{'?' + query if query else ''}"
        return f"{self.method} {url} at {self.store}{' with' + heads.rstrip(';') if heads else ''}"


@dataclass(frozen=True, slots=True)
class TextSet:
    """Texts that match all of `required` and none of `excluded`; an absent value may be in the set too."""

    required: tuple[Pattern, ...] = ()
    excluded: tuple[Pattern, ...] = ()
    allows_absent: bool = False
    allows_present: bool = True

    @property
    def everything(self) -> bool:
        return not (self.required or self.excluded) and self.allows_present

    def meet(self, other: "TextSet") -> "TextSet":
        return TextSet(
            tuple(dict.fromkeys(self.required + other.required)),
            tuple(dict.fromkeys(self.excluded + other.excluded)),
            self.allows_absent and other.allows_absent,
            self.allows_present and other.allows_present,
        )

    def outside(self, may_be_absent: bool) -> "TextSet":
        """All else, of a language with at most one pattern in yes and none in no."""
        if not self.allows_present:
            return TextSet(allows_absent=False)
        return TextSet((), self.required, may_be_absent and not self.allows_absent, bool(self.required))


ANY = TextSet(allows_absent=True)
HERE = TextSet()
UNSET = object()


@lru_cache(maxsize=1 << 16)
def sample(lang: TextSet) -> str | None | object:
    """A text of the language, None for the absent one, UNSET where the language is empty."""
    if lang.allows_absent:
        return None
    found = witness(lang.required, lang.excluded) if lang.allows_present else None
    return UNSET if found is None else found


@dataclass(frozen=True)
class Box:
    stores: frozenset[str]
    methods: frozenset[str]
    host: TextSet = HERE
    path: TextSet = HERE
    headers: dict[str, TextSet] = field(default_factory=dict)
    params: dict[str, TextSet] = field(default_factory=dict)

    def meet(self, other: "Box") -> "Box | None":
        """What lies in both; None where nothing does."""
        stores, methods = self.stores & other.stores, self.methods & other.methods
        if not (stores and methods) or apart(self.path, other.path) or apart(self.host, other.host):
            return None
        both = Box(
            stores,
            methods,
            self.host.meet(other.host),
            self.path.meet(other.path),
            _meet(self.headers, other.headers),
            _meet(self.params, other.params),
        )
        return both if both.some else None

    @property
    def some(self) -> bool:
        """Whether any req lies in it."""
        if not (self.stores and self.methods):
            return False
        named = (*self.headers.values(), *self.params.values())
        return all(sample(lang) is not UNSET for lang in (self.host, self.path, *named))

    def witness(self) -> RouteQuery | None:
        if not self.some:
            return None
        heads = {name: sample(lang) for name, lang in self.headers.items()}
        params = {name: sample(lang) for name, lang in self.params.items()}
        method = "GET" if "GET" in self.methods else min(self.methods)
        return RouteQuery(
            min(self.stores),
            sample(self.host),
            sample(self.path),
            method,
            {name: value for name, value in heads.items() if value is not None},
            {name: value for name, value in params.items() if value is not None},
        )

    def without(self, other: "Box") -> list["Box"]:
        """What of it doesn't lie in the other, in pieces that don't meet."""
        if self.meet(other) is None:
            return [self]
        pieces, rest = [], self
        if left := self.stores - other.stores:
            pieces.append(replace(rest, stores=left))
        rest = replace(rest, stores=self.stores & other.stores)
        if left := self.methods - other.methods:
            pieces.append(replace(rest, methods=left))
        rest = replace(rest, methods=self.methods & other.methods)
        for side in ("host", "path"):
            told = getattr(other, side)
            if not told.everything:
                pieces.append(replace(rest, **{side: getattr(rest, side).meet(told.outside(False))}))
                rest = replace(rest, **{side: getattr(rest, side).meet(told)})
        for side in ("headers", "params"):
            for name, told in getattr(other, side).items():
                mine = getattr(rest, side)
                lang = mine.get(name, ANY)
                pieces.append(replace(rest, **{side: mine | {name: lang.meet(told.outside(True))}}))
                rest = replace(rest, **{side: mine | {name: lang.meet(told)}})
        return [piece for piece in pieces if piece.some]


def apart(a: TextSet, b: TextSet) -> bool:
    """Seen at once to have no text in common: the texts with which they begin differ."""
    for one in a.required:
        for other in b.required:
            if not (one.prefix.startswith(other.prefix) or other.prefix.startswith(one.prefix)):
                return True
    return False


def _meet(a: dict[str, TextSet], b: dict[str, TextSet]) -> dict[str, TextSet]:
    return {name: a.get(name, ANY).meet(b.get(name, ANY)) for name in {**a, **b}}


class TooMany(Exception):
    """A set falls into more pieces than are kept."""


def rest(boxes: list[Box], others: list[Box]) -> list[Box]:
    """What of the boxes lies in none of the others."""
    for other in others:
        boxes = [piece for box in boxes for piece in box.without(other)]
        if not boxes:
            break
        if len(boxes) > BOXES_MOST:
            raise TooMany
    return boxes
