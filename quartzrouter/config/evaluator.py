"""Evaluates syntax trees.

Evaluation always ends: functions can't recurse, and steps, depth and size are bounded.  A value that can't be
evaluated becomes POISON: it is reported as one fault, and values that depend on it report no further ones.
The caller passes the function that reads files, so that this module does no I/O.
"""

from collections.abc import Callable
from fractions import Fraction
from pathlib import PurePosixPath
from typing import Any

from quartzrouter.config import quantity, syntax_tree
from quartzrouter.config.parser import parse
from quartzrouter.config.problems import Fault, Faults, Place, PlanError, Source, joined_names, suggestion
from quartzrouter.config.recursion_limit import RaisedRecursionLimit
from quartzrouter.config.values import (
    POISON,
    Closure,
    ListValue,
    Poison,
    RecordValue,
    Slot,
    format_value,
    kind_name,
)

MAX_STEPS = 1_000_000  # take two seconds; a plan of 5,000 routes from a template takes 120,000 steps
MAX_LEVELS = 1_000  # of nested evaluations
MAX_SIZE = 1_000_000  # items and fields made in all, and sixteenths of the characters
MAX_FILES = 500
MAX_NESTED_INCLUDES = 40
# frames of the interpreter: up to eight for each of MAX_LEVELS levels
RAISED_RECURSION_LIMIT = RaisedRecursionLimit(20_000)

Loader = Callable[[str], str]  # returns the text of the file at a path; raises Unreadable


class Unreadable(Exception):
    """A file can't be read; the message says why."""


class Exhausted(PlanError):
    """A bound on the whole evaluation is exceeded, which ends it."""


class Scope:
    """The names that an expression can use: those defined before it, and those of the enclosing scopes."""

    __slots__ = ("bindings", "enclosing")

    def __init__(self, enclosing: "Scope | None", bindings: dict[str, Any]):
        self.enclosing, self.bindings = enclosing, bindings

    def find(self, name: str) -> Any:
        """Returns the value of a name; raises KeyError if it isn't defined."""
        scope: Scope | None = self
        while scope is not None:
            if name in scope.bindings:
                return scope.bindings[name]
            scope = scope.enclosing
        raise KeyError(name)

    def names(self) -> set[str]:
        return set(self.bindings) | (self.enclosing.names() if self.enclosing else set())


class Evaluation:
    """One evaluation of a plan and the files that it includes.

    :param load: returns the text of a file.
    :param faults: takes the faults that are found.
    """

    def __init__(self, load: Loader, faults: Faults):
        self.load, self.faults = load, faults
        self.steps = self.levels = self.size = 0
        self.files: dict[str, Any] = {}
        self.open_files: list[tuple[str, Place | None]] = []  # the files being evaluated, outermost first
        self.sources: list[Source] = []

    def file(self, path: str, include_place: Place | None = None) -> Any:
        """Returns the value of a file, which is evaluated once even if it is included several times.

        :param include_place: the place of the include; None for the main file.
        """
        if path in self.files:
            return self.files[path]
        if any(path == open_path for open_path, _ in self.open_files):
            cycle = [
                *[name for name, _ in self.open_files[[name for name, _ in self.open_files].index(path) :]],
                path,
            ]
            self.faults.add(
                Fault(
                    include_place,
                    f"an include cycle: {' -> '.join(cycle)}",
                    "remove one of the includes",
                    code="cycle",
                )
            )
            return POISON
        source = Source(path, "")
        start = include_place or Place(source, 1, 1)
        try:
            if len(self.files) >= MAX_FILES or len(self.open_files) >= MAX_NESTED_INCLUDES:
                raise Unreadable(f"more than {MAX_FILES} files, or {MAX_NESTED_INCLUDES} nested includes")
            text = self.load(path)
        except Unreadable as error:
            self.faults.add(Fault(start, f"{path}: {error}", code="include"))
            return POISON
        source = Source(path, text)
        self.sources.append(source)
        self.open_files.append((path, include_place))
        try:
            parsed = parse(source)
            with RAISED_RECURSION_LIMIT:
                value = self.evaluate(parsed.root, Scope(None, BUILTINS))
        except Exhausted:
            raise
        except PlanError as error:
            self.faults.add(error.fault)
            value = POISON
        finally:
            self.open_files.pop()
        self.files[path] = value
        return value

    # -- bounds --------------------------------------------------------------------------------------

    def count_size(self, added: int, node: syntax_tree.Node) -> None:
        """Adds to the size of what the evaluation made; raises ``Exhausted`` beyond ``MAX_SIZE``."""
        self.size += added
        if self.size > MAX_SIZE:
            raise Exhausted(Fault(node.place, "the plan is too large to evaluate", code="bound"))

    def evaluate(self, node: syntax_tree.Node, scope: Scope) -> Any:
        """Returns the value of a node, by the method named after its class.

        :raises PlanError: if the value can't be evaluated.
        :raises Exhausted: if the evaluation exceeds a bound.
        """
        self.steps += 1
        if self.steps > MAX_STEPS:
            raise Exhausted(Fault(node.place, "the plan takes too long to evaluate", code="bound"))
        self.levels += 1
        if self.levels > MAX_LEVELS:
            raise Exhausted(Fault(node.place, "the plan is nested too deeply", code="bound"))
        try:
            return getattr(self, "_" + type(node).__name__.lower())(node, scope)
        finally:
            self.levels -= 1

    def evaluate_or_poison(self, node: syntax_tree.Node, scope: Scope) -> Any:
        """Returns the value of a node, or keeps its fault and returns POISON."""
        try:
            return self.evaluate(node, scope)
        except Exhausted:
            raise
        except PlanError as error:
            self.faults.add(error.fault)
            return POISON

    # -- nodes -----------------------------------------------------------------------------------------

    def _literal(self, node: syntax_tree.Literal, scope: Scope) -> Any:
        return node.value

    def _text(self, node: syntax_tree.Text, scope: Scope) -> Any:
        pieces = []
        for part in node.parts:
            if isinstance(part, str):
                pieces.append(part)
                continue
            value = self.evaluate(part, scope)
            if value is POISON:
                return POISON
            if isinstance(value, RecordValue | ListValue | Closure) or callable(value) or value is None:
                raise _error(
                    part,
                    f"{kind_name(value)} can't be inserted into a text",
                    "insert a text, a number or a quantity",
                )
            pieces.append(value if isinstance(value, str) else format_value(value))
        text = "".join(pieces)
        self.count_size(len(text) // 16, node)
        return text

    def _name(self, node: syntax_tree.Name, scope: Scope) -> Any:
        try:
            return scope.find(node.name)
        except KeyError:
            remedy = suggestion(node.name, scope.names()) or "a name is defined only after its `local`"
            raise _error(node, f"'{node.name}' isn't defined here", remedy, "name") from None

    def _let(self, node: syntax_tree.Let, scope: Scope) -> Any:
        return self.evaluate(node.body, self._locals(node.locals, scope))

    def _locals(self, locals_: list[syntax_tree.Local], scope: Scope) -> Scope:
        """Returns a scope with the locals; each is defined in those that follow it."""
        for local in locals_:
            if isinstance(local.value, syntax_tree.Function):
                value: Any = Closure(local.name, local.value, scope)
            else:
                value = self.evaluate_or_poison(local.value, scope)
            scope = Scope(scope, {local.name: value})
        return scope

    def _if(self, node: syntax_tree.If, scope: Scope) -> Any:
        condition = self.evaluate(node.condition, scope)
        if condition is POISON:
            return POISON
        if not isinstance(condition, bool):
            raise _error(node.condition, f"{kind_name(condition)} where true or false belongs")
        return self.evaluate(node.then_value if condition else node.else_value, scope)

    def _unary(self, node: syntax_tree.Unary, scope: Scope) -> Any:
        value = self.evaluate(node.operand, scope)
        if value is POISON:
            return POISON
        if node.operator == "!" and isinstance(value, bool):
            return not value
        if node.operator == "-" and isinstance(value, int | Fraction) and not isinstance(value, bool):
            return -value
        raise _error(node, f"'{node.operator}' can't be applied to {kind_name(value)}", code="type")

    def _binary(self, node: syntax_tree.Binary, scope: Scope) -> Any:
        left = self.evaluate(node.left, scope)
        if node.operator in ("&&", "||"):
            if left is POISON:
                return POISON
            if isinstance(left, bool) and left is (node.operator == "||"):
                return left
        right = self.evaluate(node.right, scope)
        if left is POISON or right is POISON:
            return POISON
        try:
            return self._apply_operator(node, left, right)
        except TypeError:
            remedy = (
                "numbers, or quantities of one kind, can be added and subtracted"
                if node.operator in "+-"
                else ""
            )
            reason = f"{kind_name(left)} {node.operator} {kind_name(right)}"
            raise _error(node, f"{reason} isn't defined", remedy, "type") from None
        except ZeroDivisionError:
            raise _error(node, "division by zero", code="range") from None
        except quantity.QuantityError as error:
            raise _error(node, str(error), code="range") from None

    def _apply_operator(self, node: syntax_tree.Binary, left: Any, right: Any) -> Any:
        """Returns the value of an operation; raises TypeError if it isn't defined for the operands' kinds."""
        operator = node.operator
        if operator in ("==", "!="):
            return (equal_values(left, right)) is (operator == "==")
        if operator in ("&&", "||"):
            if isinstance(left, bool) and isinstance(right, bool):
                return right
            raise TypeError
        if isinstance(left, bool) or isinstance(right, bool):
            raise TypeError
        if operator in ("<", "<=", ">", ">="):
            if (
                kind_name(left) != kind_name(right)
                or isinstance(left, RecordValue | ListValue | Closure)
                or left is None
            ):
                raise TypeError
            return {"<": left < right, "<=": left <= right, ">": left > right, ">=": left >= right}[operator]
        if operator == "+":
            if isinstance(left, RecordValue) and isinstance(right, RecordValue):
                return self.merge(left, right, node)
            if isinstance(left, ListValue) and isinstance(right, ListValue):
                self.count_size(len(left.slots) + len(right.slots), node)
                return ListValue(left.slots + right.slots)
            if isinstance(left, str) and isinstance(right, str):
                self.count_size((len(left) + len(right)) // 16, node)
                return left + right
            return quantity.add(left, right)
        if operator == "-":
            return quantity.add(left, right, -1)
        return quantity.multiply(left, right) if operator == "*" else quantity.divide(left, right)

    def merge(self, left: RecordValue, right: RecordValue, node: syntax_tree.Node) -> RecordValue:
        """Returns two records merged: the right one's values count, and a field keeps its first position."""
        self.count_size(len(left.slots) + len(right.slots), node)
        slots = dict(left.slots)
        for name, slot in right.slots.items():
            earlier = slots.get(name)
            if earlier is None:
                slots[name] = slot
            elif earlier.value is POISON or slot.value is POISON:
                slots[name] = Slot(POISON, slot.place)
            elif slot.merge_mode == "+:":
                slots[name] = self._merged_slot(name, earlier, slot, node)
            else:
                value = slot.value if self._keeps_kind(name, earlier, slot) else POISON
                slots[name] = Slot(value, slot.place, earlier.merge_mode, slot.key_place)
        return RecordValue(slots)

    def _merged_slot(self, name: str, earlier: Slot, slot: Slot, node: syntax_tree.Node) -> Slot:
        """Returns the value of `name+:` merged into the earlier value of the field."""
        both = (earlier.value, slot.value)
        if all(isinstance(value, RecordValue) for value in both):
            return Slot(self.merge(*both, node), slot.place, earlier.merge_mode, earlier.key_place)
        if all(isinstance(value, ListValue) for value in both):
            self.count_size(len(both[0].slots) + len(both[1].slots), node)
            return Slot(
                ListValue(both[0].slots + both[1].slots), slot.place, earlier.merge_mode, earlier.key_place
            )
        self.faults.add(
            Fault(
                slot.key_place or slot.place,
                f"'{name}+' merges {kind_name(slot.value)} into {kind_name(earlier.value)}",
                "only records and lists can be merged",
                code="type",
                related_places=((earlier.place, "the earlier value"),),
            )
        )
        return Slot(POISON, slot.place)

    def _keeps_kind(self, name: str, earlier: Slot, slot: Slot) -> bool:
        """Returns True if a new value may replace an earlier one; notes a fault if it changes the kind."""
        if earlier.value is None or slot.value is None or kind_name(earlier.value) == kind_name(slot.value):
            return True
        lacks_unit = kind_name(slot.value) == "a number" and isinstance(earlier.value, quantity.Quantity)
        remedy = (
            f"a unit is missing: it was {format_value(earlier.value)}"
            if lacks_unit
            else f"give {kind_name(earlier.value)}"
        )
        reason = f"'{name}' changes from {kind_name(earlier.value)} to {kind_name(slot.value)}"
        related = ((earlier.place, "before"),)
        self.faults.add(
            Fault(slot.place, reason, remedy, code="unit" if lacks_unit else "type", related_places=related)
        )
        return False

    def _member(self, node: syntax_tree.Member, scope: Scope) -> Any:
        record = self.evaluate(node.operand, scope)
        if record is POISON:
            return POISON
        if not isinstance(record, RecordValue):
            raise PlanError(
                Fault(node.name_place, f"{kind_name(record)} has no field '{node.name}'", code="type")
            )
        if node.name not in record.slots:
            remedy = suggestion(node.name, record.slots) or (
                f"there are {joined_names(record.slots)}" if record.slots else ""
            )
            raise PlanError(Fault(node.name_place, f"there is no field '{node.name}'", remedy, code="name"))
        return record.slots[node.name].value

    def _index(self, node: syntax_tree.Index, scope: Scope) -> Any:
        container, index = self.evaluate(node.container, scope), self.evaluate(node.index, scope)
        if container is POISON or index is POISON:
            return POISON
        if isinstance(container, RecordValue) and isinstance(index, str):
            if index not in container.slots:
                raise _error(
                    node.index, f"there is no field '{index}'", suggestion(index, container.slots), "name"
                )
            return container.slots[index].value
        if isinstance(container, ListValue) and isinstance(index, int) and not isinstance(index, bool):
            if not 0 <= index < len(container.slots):
                raise _error(
                    node.index,
                    f"index {index} is out of range: the list has a length of {len(container.slots)}",
                    code="range",
                )
            return container.slots[index].value
        raise _error(
            node.index, f"{kind_name(index)} can't be an index into {kind_name(container)}", code="type"
        )

    def _call(self, node: syntax_tree.Call, scope: Scope) -> Any:
        callee = self.evaluate(node.function, scope)
        arguments = [self.evaluate(argument, scope) for argument in node.arguments]
        if callee is POISON:
            return POISON
        if callable(callee):
            return self._builtin(node, callee, arguments)
        if not isinstance(callee, Closure):
            raise _error(node.function, f"{kind_name(callee)} can't be called", code="type")
        parameters = callee.function.parameters
        if len(arguments) != len(parameters):
            raise _error(
                node,
                f"{callee.name} takes {len(parameters)} arguments, not {len(arguments)}",
                f"its parameters are {', '.join(parameters)}" if parameters else "",
                "type",
            )
        for argument, value in zip(node.arguments, arguments, strict=True):
            if self.contains_function(value):
                raise _error(
                    argument,
                    "a function can't be passed to a function",
                    "otherwise evaluation might not end",
                    "type",
                )
        return self.evaluate(
            callee.function.body, Scope(callee.scope, dict(zip(parameters, arguments, strict=True)))
        )

    def contains_function(self, value: Any) -> bool:
        """Returns True if a value is a function or contains one."""
        self.steps += 1  # the search counts against MAX_STEPS as well
        match value:
            case ListValue(slots):
                return any(self.contains_function(slot.value) for slot in slots)
            case RecordValue(slots):
                return any(self.contains_function(slot.value) for slot in slots.values())
        return isinstance(value, Closure) or callable(value)

    def _builtin(self, node: syntax_tree.Call, function: Callable, arguments: list[Any]) -> Any:
        if any(argument is POISON for argument in arguments):
            return POISON
        try:
            result = function(*arguments)
        except (TypeError, AttributeError):
            raise _error(node, f"{function.__name__}: {function.__doc__}", code="type") from None
        except quantity.QuantityError as error:
            raise _error(node, f"{function.__name__}: {error}", code="range") from None
        if isinstance(result, ListValue | str):
            self.count_size(len(result.slots) if isinstance(result, ListValue) else len(result) // 16, node)
        if isinstance(result, ListValue):
            for slot in result.slots:
                slot.place = node.place
        return result

    def _include(self, node: syntax_tree.Include, scope: Scope) -> Any:
        here = PurePosixPath(node.place.source.name)
        return self.file(normalized_path(here.parent / node.path), node.place)

    def _list(self, node: syntax_tree.List, scope: Scope) -> Any:
        self.count_size(len(node.items), node)
        return ListValue([Slot(self.evaluate_or_poison(item, scope), item.place) for item in node.items])

    def _loop_scopes(self, loop: syntax_tree.ForClause, scope: Scope):
        """Returns a scope for each item that a `for` clause selects; None if its list is POISON."""
        iterable = self.evaluate(loop.iterable, scope)
        if iterable is POISON:
            return None
        if not isinstance(iterable, ListValue):
            reason = f"{kind_name(iterable)} where a list belongs"
            remedy = "keys(r) lists the names of a record" if isinstance(iterable, RecordValue) else ""
            raise _error(loop.iterable, reason, remedy, "type")
        scopes = []
        for slot in iterable.slots:
            item_scope = Scope(scope, {loop.name: slot.value})
            if loop.condition is not None:
                condition = self.evaluate(loop.condition, item_scope)
                if not isinstance(condition, bool | Poison):
                    raise _error(
                        loop.condition, f"{kind_name(condition)} where true or false belongs", code="type"
                    )
                if condition is not True:
                    continue
            scopes.append(item_scope)
        return scopes

    def _listcomprehension(self, node: syntax_tree.ListComprehension, scope: Scope) -> Any:
        scopes = self._loop_scopes(node.loop, scope)
        if scopes is None:
            return POISON
        self.count_size(len(scopes), node)
        return ListValue(
            [Slot(self.evaluate_or_poison(node.item, item_scope), node.item.place) for item_scope in scopes]
        )

    def _record(self, node: syntax_tree.Record, scope: Scope) -> Any:
        self.count_size(len(node.fields), node)
        scope, slots = self._locals(node.locals, scope), {}
        for field in node.fields:
            self._add_field(slots, field, scope)
        return RecordValue(slots)

    def _recordcomprehension(self, node: syntax_tree.RecordComprehension, scope: Scope) -> Any:
        scopes = self._loop_scopes(node.loop, scope)
        if scopes is None:
            return POISON
        self.count_size(len(scopes), node)
        slots: dict[str, Slot] = {}
        for item_scope in scopes:
            self._add_field(slots, node.entry, item_scope)
        return RecordValue(slots)

    def _add_field(self, slots: dict[str, Slot], field: syntax_tree.Field, scope: Scope) -> None:
        """Evaluates a field and adds it to a record; notes a fault for a key that the record has already."""
        key = field.key if isinstance(field.key, str) else self.evaluate_or_poison(field.key, scope)
        value = self.evaluate_or_poison(field.value, scope)
        if key is POISON:
            return
        if not isinstance(key, str):
            self.faults.add(Fault(field.place, f"{kind_name(key)} where a name belongs", code="type"))
        elif key in slots:
            first = slots[key].key_place
            self.faults.add(
                Fault(
                    field.place,
                    f"'{key}' is defined twice",
                    "remove one, or merge with +",
                    code="duplicate",
                    related_places=((first, "the first"),),
                )
            )
        else:
            slots[key] = Slot(value, field.value.place, field.merge_mode, field.place)


def _error(node: syntax_tree.Node, reason: str, remedy: str = "", code: str = "type") -> PlanError:
    return PlanError(Fault(node.place, reason, remedy, code=code))


def equal_values(left: Any, right: Any) -> bool:
    """Returns True if two values are equal in kind and content, wherever they were defined."""
    if kind_name(left) != kind_name(right):
        return False
    match left, right:
        case ListValue(), ListValue():
            pairs = zip(left.slots, right.slots, strict=False)
            return len(left.slots) == len(right.slots) and all(
                equal_values(a.value, b.value) for a, b in pairs
            )
        case RecordValue(), RecordValue():
            return left.slots.keys() == right.slots.keys() and all(
                equal_values(slot.value, right.slots[name].value) for name, slot in left.slots.items()
            )
    return left == right


def normalized_path(path: PurePosixPath) -> str:
    """Returns a path without `.`, and without `..` where a part before it can be removed."""
    parts: list[str] = []
    for part in path.parts:
        if part == ".." and parts and parts[-1] not in ("..", "/"):
            parts.pop()
        elif part != ".":
            parts.append(part)
    return str(PurePosixPath(*parts))


# -- built-in functions: the docstrings end error messages such as "len: takes a list, a record or a text" ---

NO_PLACE = Place(Source("", ""), 0, 0)


def length(value):
    """takes a list, a record or a text"""
    return len(value) if isinstance(value, str) else len(value.slots)


def integer_range(start, stop):
    """takes two whole numbers: the first, and the one to stop before"""
    if not (isinstance(start, int) and isinstance(stop, int)) or isinstance(start, bool):
        raise TypeError
    if stop - start > MAX_SIZE:
        raise quantity.QuantityError(f"{stop - start} items are too many")
    return ListValue([Slot(n, NO_PLACE) for n in range(start, stop)])


def keys(record):
    """takes a record"""
    if not isinstance(record, RecordValue):
        raise TypeError
    return ListValue([Slot(name, slot.place) for name, slot in record.slots.items()])


def values(record):
    """takes a record"""
    return ListValue([Slot(slot.value, slot.place) for slot in record.slots.values()])


def has(record, name):
    """takes a record and a name"""
    if not (isinstance(record, RecordValue) and isinstance(name, str)):
        raise TypeError
    return name in record.slots


def join(separator, texts):
    """takes a text and a list of texts"""
    if not isinstance(texts, ListValue):
        raise TypeError
    return separator.join(slot.value for slot in texts.slots)


def split(separator, text):
    """takes a separator, which can't be empty, and a text"""
    if not (separator and isinstance(separator, str) and isinstance(text, str)):
        raise TypeError
    return ListValue([Slot(part, NO_PLACE) for part in text.split(separator)])


def lower(text):
    """takes a text"""
    return text.lower()


def upper(text):
    """takes a text"""
    return text.upper()


def minimum(a, b):
    """takes two numbers or quantities of one kind"""
    return a if a < b else b


def maximum(a, b):
    """takes two numbers or quantities of one kind"""
    return b if a < b else a


def round_(number):
    """takes a number"""
    if isinstance(number, bool):
        raise TypeError
    return round(number)


def merge_all(records):
    """takes a list of records"""
    slots: dict[str, Slot] = {}
    for slot in records.slots:
        slots |= slot.value.slots
    return RecordValue(slots)


BUILTINS = {
    "len": length,
    "range": integer_range,
    "keys": keys,
    "values": values,
    "has": has,
    "join": join,
    "split": split,
    "lower": lower,
    "upper": upper,
    "min": minimum,
    "max": maximum,
    "round": round_,
    "merge": merge_all,
}
for _name, _builtin in BUILTINS.items():
    _builtin.__name__ = _name
