"""What a parsed file consists of.  Nodes know their place; nothing here evaluates or lays out."""

from dataclasses import dataclass, field

from quartzrouter.config.problems import Place
from quartzrouter.config.quantity import Number, Quantity

# how strongly signs bind; comparisons don't stand one after the other
BINDS = {"||": 1, "&&": 2, "==": 3, "!=": 3, "<": 3, "<=": 3, ">": 3, ">=": 3, "+": 4, "-": 4, "*": 5, "/": 5}
COMPARES = 3


@dataclass(slots=True)
class Node:
    place: Place
    depth: int = field(default=0, kw_only=True)  # of what is nested in it
    end: int = field(default=0, kw_only=True)  # the line on which it ends


@dataclass(slots=True)
class Literal(Node):
    value: Number | Quantity | bool | None
    text: str  # as it was written


@dataclass(slots=True)
class Text(Node):
    parts: list["str | Node"]  # what stands there, and what is put in
    text: str


@dataclass(slots=True)
class Name(Node):
    name: str


@dataclass(slots=True)
class Unary(Node):
    sign: str
    of: Node


@dataclass(slots=True)
class Binary(Node):
    sign: str
    left: Node
    right: Node


@dataclass(slots=True)
class If(Node):
    test: Node
    yes: Node
    no: Node


@dataclass(slots=True)
class Member(Node):
    of: Node
    name: str
    name_place: Place


@dataclass(slots=True)
class Index(Node):
    of: Node
    at: Node


@dataclass(slots=True)
class CallOf(Node):
    of: Node
    arguments: list[Node]


@dataclass(slots=True)
class Include(Node):
    path: str


@dataclass(slots=True)
class Items(Node):
    """A list."""

    items: list[Node]
    spread: bool = False  # written over several lines


@dataclass(slots=True)
class For(Node):
    """`for x in xs if c`, behind what is made for each."""

    name: str
    among: Node
    test: Node | None


@dataclass(slots=True)
class ItemsFor(Node):
    item: Node
    loop: For
    spread: bool = False


@dataclass(slots=True)
class Field(Node):
    key: "str | Node"
    merge_mode: str  # ":" says it, "+:" merges into it, "override" replaces it
    value: Node


@dataclass(slots=True)
class Record(Node):
    locals: list["Local"]
    fields: list[Field]
    spread: bool = False


@dataclass(slots=True)
class RecordFor(Node):
    field_: Field
    loop: For
    spread: bool = False


@dataclass(slots=True)
class Function(Node):
    parameters: list[str]
    body: Node


@dataclass(slots=True)
class Local(Node):
    name: str
    value: Node  # a Function where it takes parameters


@dataclass(slots=True)
class Let(Node):
    locals: list[Local]
    body: Node
