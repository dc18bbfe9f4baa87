"""The syntax tree of a parsed file.  Each node knows its place; evaluation and layout are elsewhere.

The evaluator has a method for each class that may stand in an expression, named after the class.
"""

from dataclasses import dataclass, field

from quartzrouter.config.problems import Place
from quartzrouter.config.quantity import Number, Quantity

# a greater number binds more strongly; comparisons can't be chained
PRECEDENCE = {
    "||": 1,
    "&&": 2,
    "==": 3,
    "!=": 3,
    "<": 3,
    "<=": 3,
    ">": 3,
    ">=": 3,
    "+": 4,
    "-": 4,
    "*": 5,
    "/": 5,
}
COMPARISON_PRECEDENCE = 3


@dataclass(slots=True)
class Node:
    """A node of the tree.

    :param place: where it begins.
    :param depth: the number of levels of nodes in it, itself included.
    :param end_line: the line on which it ends.
    """

    place: Place
    depth: int = field(default=0, kw_only=True)
    end_line: int = field(default=0, kw_only=True)


@dataclass(slots=True)
class Literal(Node):
    """A number, a quantity, true, false or null, and its source text."""

    value: Number | Quantity | bool | None
    text: str


@dataclass(slots=True)
class Text(Node):
    """A quoted text: its literal parts, the expressions of its insertions `${...}`, and its source text."""

    parts: list["str | Node"]
    text: str


@dataclass(slots=True)
class Name(Node):
    """A reference to a local, a parameter, a loop's variable or a built-in function."""

    name: str


@dataclass(slots=True)
class Unary(Node):
    """`!x` or `-x`."""

    operator: str
    operand: Node


@dataclass(slots=True)
class Binary(Node):
    """Two operands with an operator between them; `x { ... }` has the operator `+`."""

    operator: str
    left: Node
    right: Node


@dataclass(slots=True)
class If(Node):
    """`if condition then a else b`."""

    condition: Node
    then_value: Node
    else_value: Node


@dataclass(slots=True)
class Member(Node):
    """`operand.name`: a field of a record."""

    operand: Node
    name: str
    name_place: Place


@dataclass(slots=True)
class Index(Node):
    """`container[index]`: a field of a record or an item of a list."""

    container: Node
    index: Node


@dataclass(slots=True)
class Call(Node):
    """`function(arguments)`."""

    function: Node
    arguments: list[Node]


@dataclass(slots=True)
class Include(Node):
    """`include "path"`."""

    path: str


@dataclass(slots=True)
class List(Node):
    """`[a, b]`; multiline if its first item stands on a line below the bracket."""

    items: list[Node]
    multiline: bool = False


@dataclass(slots=True)
class ForClause(Node):
    """`for x in xs if c`, which follows the item or the field that is made for each x."""

    name: str
    iterable: Node
    condition: Node | None


@dataclass(slots=True)
class ListComprehension(Node):
    """`[item for x in xs]`."""

    item: Node
    loop: ForClause
    multiline: bool = False


@dataclass(slots=True)
class Field(Node):
    """A key and its value.

    :param merge_mode: what happens when the record is merged over another: ":" sets the value, "+:" merges it
        into the earlier one, "override" replaces an earlier one, which must exist.
    """

    key: "str | Node"
    merge_mode: str
    value: Node


@dataclass(slots=True)
class Record(Node):
    """`{ local x = 1, key: value }`; multiline if its first entry stands on a line below the brace."""

    locals: list["Local"]
    fields: list[Field]
    multiline: bool = False


@dataclass(slots=True)
class RecordComprehension(Node):
    """`{ [key]: value for x in xs }`."""

    entry: Field
    loop: ForClause
    multiline: bool = False


@dataclass(slots=True)
class Function(Node):
    """The parameters and the body of a local that takes arguments."""

    parameters: list[str]
    body: Node


@dataclass(slots=True)
class Local(Node):
    """`local name = value`; the value is a ``Function`` if the local takes parameters."""

    name: str
    value: Node


@dataclass(slots=True)
class Let(Node):
    """Locals, and the expression in which they are defined."""

    locals: list[Local]
    body: Node
