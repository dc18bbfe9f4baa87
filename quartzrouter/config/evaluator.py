"""Nodes to values.  Evaluation always ends: no function can call itself; steps, depth and size are bounded.

A value that fails is POISON: it costs one fault, and what depends on it is silent.  Files come from a
loader that the caller hands in, so that nothing here touches a disk.
"""

import sys
from collections.abc import Callable
from contextlib import contextmanager
from fractions import Fraction
from pathlib import PurePosixPath
from typing import Any

from quartzrouter.config import quantity, syntax_tree
from quartzrouter.config.parser import parse
from quartzrouter.config.problems import Fault, Faults, Place, PlanError, Source, joined_names, suggestion
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

STEPS_MOST = 1_000_000  # two seconds; a plan of 5,000 routes from a template takes 120,000
LEVELS_MOST = 1_000  # of evaluations within evaluations
SIZE_MOST = 1_000_000  # items, fields and characters/16 made in all
FILES_MOST = 500
INCLUDES_MOST = 40  # one within another
FRAMES = 20_000  # of the interpreter, for LEVELS_MOST at up to eight a level

Loader = Callable[[str], str]  # the text of a file, by its path; raises Unreadable


class Unreadable(Exception):
    """A file can't be had; the text says why."""


class Exhausted(PlanError):
    """A bound on the whole evaluation is reached: it ends here."""


class Scope:
    """Names, each seen by what stands behind it only."""

    __slots__ = ("above", "known")

    def __init__(self, above: "Scope | None", known: dict[str, Any]):
        self.above, self.known = above, known

    def find(self, name: str) -> Any:
        scope: Scope | None = self
        while scope is not None:
            if name in scope.known:
                return scope.known[name]
            scope = scope.above
        raise KeyError(name)

    def names(self) -> set[str]:
        return set(self.known) | (self.above.names() if self.above else set())


class Evaluation:
    def __init__(self, load: Loader, faults: Faults):
        self.load, self.faults = load, faults
        self.steps = self.levels = self.size = 0
        self.files: dict[str, Any] = {}
        self.chain: list[tuple[str, Place | None]] = []
        self.sources: list[Source] = []

    def file(self, path: str, at: Place | None = None) -> Any:
        """The value of a file, evaluated once however often it is included."""
        if path in self.files:
            return self.files[path]
        if any(path == open_ for open_, _ in self.chain):
            steps = [*[name for name, _ in self.chain[[n for n, _ in self.chain].index(path) :]], path]
            self.faults.add(
                Fault(at, f"an include cycle: {' -> '.join(steps)}", "take one include out", code="cycle")
            )
            return POISON
        source = Source(path, "")
        start = at or Place(source, 1, 1)
        try:
            if len(self.files) >= FILES_MOST or len(self.chain) >= INCLUDES_MOST:
                raise Unreadable(f"more than {FILES_MOST} files, or {INCLUDES_MOST} one within another")
            text = self.load(path)
        except Unreadable as error:
            self.faults.add(Fault(start, f"{path}: {error}", code="include"))
            return POISON
        source = Source(path, text)
        self.sources.append(source)
        self.chain.append((path, at))
        try:
            parsed = parse(source)
            with _deep():
                value = self.eval(parsed.root, Scope(None, BUILTINS))
        except Exhausted:
            raise
        except PlanError as error:
            self.faults.add(error.fault)
            value = POISON
        finally:
            self.chain.pop()
        self.files[path] = value
        return value

    # -- bounds --------------------------------------------------------------------------------------

    def grow(self, by: int, node: syntax_tree.Node) -> None:
        self.size += by
        if self.size > SIZE_MOST:
            raise Exhausted(Fault(node.place, "the plan grows past all bounds", code="bound"))

    def eval(self, node: syntax_tree.Node, scope: Scope) -> Any:
        self.steps += 1
        if self.steps > STEPS_MOST:
            raise Exhausted(Fault(node.place, "the plan takes too long to evaluate", code="bound"))
        self.levels += 1
        if self.levels > LEVELS_MOST:
            raise Exhausted(Fault(node.place, "the plan is nested too deep", code="bound"))
        try:
            return getattr(self, "_" + type(node).__name__.lower())(node, scope)
        finally:
            self.levels -= 1

    def safe(self, node: syntax_tree.Node, scope: Scope) -> Any:
        """The value, or POISON and a fault that is kept."""
        try:
            return self.eval(node, scope)
        except Exhausted:
            raise
        except PlanError as error:
            self.faults.add(error.fault)
            return POISON

    # -- nodes -----------------------------------------------------------------------------------------

    def _literal(self, node: syntax_tree.Literal, scope: Scope) -> Any:
        return node.value

    def _text(self, node: syntax_tree.Text, scope: Scope) -> Any:
        said = []
        for part in node.parts:
            if isinstance(part, str):
                said.append(part)
                continue
            value = self.eval(part, scope)
            if value is POISON:
                return POISON
            if isinstance(value, RecordValue | ListValue | Closure) or callable(value) or value is None:
                raise _broken(part, f"{kind_name(value)} can't be put into a text", "put in one of its parts")
            said.append(value if isinstance(value, str) else format_value(value))
        text = "".join(said)
        self.grow(len(text) // 16, node)
        return text

    def _name(self, node: syntax_tree.Name, scope: Scope) -> Any:
        try:
            return scope.find(node.name)
        except KeyError:
            remedy = suggestion(node.name, scope.names()) or "names are seen only behind their `local`"
            raise _broken(node, f"'{node.name}' isn't known here", remedy, "name") from None

    def _let(self, node: syntax_tree.Let, scope: Scope) -> Any:
        return self.eval(node.body, self._locals(node.locals, scope))

    def _locals(self, locals_: list[syntax_tree.Local], scope: Scope) -> Scope:
        for local in locals_:
            if isinstance(local.value, syntax_tree.Function):
                value: Any = Closure(local.name, local.value, scope)
            else:
                value = self.safe(local.value, scope)
            scope = Scope(scope, {local.name: value})
        return scope

    def _if(self, node: syntax_tree.If, scope: Scope) -> Any:
        test = self.eval(node.test, scope)
        if test is POISON:
            return POISON
        if not isinstance(test, bool):
            raise _broken(node.test, f"{kind_name(test)} where true or false belongs")
        return self.eval(node.yes if test else node.no, scope)

    def _unary(self, node: syntax_tree.Unary, scope: Scope) -> Any:
        value = self.eval(node.of, scope)
        if value is POISON:
            return POISON
        if node.sign == "!" and isinstance(value, bool):
            return not value
        if node.sign == "-" and isinstance(value, int | Fraction) and not isinstance(value, bool):
            return -value
        raise _broken(node, f"'{node.sign}' of {kind_name(value)}", code="type")

    def _binary(self, node: syntax_tree.Binary, scope: Scope) -> Any:
        left = self.eval(node.left, scope)
        if node.sign in ("&&", "||"):
            if left is POISON:
                return POISON
            if isinstance(left, bool) and left is (node.sign == "||"):
                return left
        right = self.eval(node.right, scope)
        if left is POISON or right is POISON:
            return POISON
        try:
            return self._signed(node, left, right)
        except TypeError:
            remedy = "say of which kind both are" if node.sign in "+-" else ""
            reason = f"{kind_name(left)} {node.sign} {kind_name(right)}"
            raise _broken(node, f"{reason} has no meaning", remedy, "type") from None
        except ZeroDivisionError:
            raise _broken(node, "a division by zero", code="range") from None
        except quantity.QuantityError as error:
            raise _broken(node, str(error), code="range") from None

    def _signed(self, node: syntax_tree.Binary, left: Any, right: Any) -> Any:
        sign = node.sign
        if sign in ("==", "!="):
            return (equal_values(left, right)) is (sign == "==")
        if sign in ("&&", "||"):
            if isinstance(left, bool) and isinstance(right, bool):
                return right
            raise TypeError
        if isinstance(left, bool) or isinstance(right, bool):
            raise TypeError
        if sign in ("<", "<=", ">", ">="):
            if (
                kind_name(left) != kind_name(right)
                or isinstance(left, RecordValue | ListValue | Closure)
                or left is None
            ):
                raise TypeError
            return {"<": left < right, "<=": left <= right, ">": left > right, ">=": left >= right}[sign]
        if sign == "+":
            if isinstance(left, RecordValue) and isinstance(right, RecordValue):
                return self.merge(left, right, node)
            if isinstance(left, ListValue) and isinstance(right, ListValue):
                self.grow(len(left.slots) + len(right.slots), node)
                return ListValue(left.slots + right.slots)
            if isinstance(left, str) and isinstance(right, str):
                self.grow((len(left) + len(right)) // 16, node)
                return left + right
            return quantity.add(left, right)
        if sign == "-":
            return quantity.add(left, right, -1)
        return quantity.times(left, right) if sign == "*" else quantity.over(left, right)

    def merge(self, left: RecordValue, right: RecordValue, node: syntax_tree.Node) -> RecordValue:
        """What is said on the right comes over what is there; a field stays where it first stood."""
        self.grow(len(left.slots) + len(right.slots), node)
        slots = dict(left.slots)
        for name, slot in right.slots.items():
            there = slots.get(name)
            if there is None:
                slots[name] = slot
            elif there.value is POISON or slot.value is POISON:
                slots[name] = Slot(POISON, slot.place)
            elif slot.merge_mode == "+:":
                slots[name] = self._into(name, there, slot, node)
            else:
                value = slot.value if self._same_kind(name, there, slot) else POISON
                slots[name] = Slot(value, slot.place, there.merge_mode, slot.key_place)
        return RecordValue(slots)

    def _into(self, name: str, there: Slot, slot: Slot, node: syntax_tree.Node) -> Slot:
        both = (there.value, slot.value)
        if all(isinstance(value, RecordValue) for value in both):
            return Slot(self.merge(*both, node), slot.place, there.merge_mode, there.key_place)
        if all(isinstance(value, ListValue) for value in both):
            self.grow(len(both[0].slots) + len(both[1].slots), node)
            return Slot(
                ListValue(both[0].slots + both[1].slots), slot.place, there.merge_mode, there.key_place
            )
        self.faults.add(
            Fault(
                slot.key_place or slot.place,
                f"'{name}+' merges {kind_name(slot.value)} into {kind_name(there.value)}",
                "only records and lists can be merged",
                code="type",
                also=((there.place, "what is there"),),
            )
        )
        return Slot(POISON, slot.place)

    def _same_kind(self, name: str, there: Slot, slot: Slot) -> bool:
        if there.value is None or slot.value is None or kind_name(there.value) == kind_name(slot.value):
            return True
        bare = kind_name(slot.value) == "a number" and isinstance(there.value, quantity.Quantity)
        remedy = (
            f"a unit is missing: it was {format_value(there.value)}"
            if bare
            else f"give {kind_name(there.value)}"
        )
        reason = f"'{name}' changes from {kind_name(there.value)} to {kind_name(slot.value)}"
        also = ((there.place, "before"),)
        self.faults.add(Fault(slot.place, reason, remedy, code="unit" if bare else "type", also=also))
        return False

    def _member(self, node: syntax_tree.Member, scope: Scope) -> Any:
        of = self.eval(node.of, scope)
        if of is POISON:
            return POISON
        if not isinstance(of, RecordValue):
            raise PlanError(
                Fault(node.name_place, f"{kind_name(of)} has no field '{node.name}'", code="type")
            )
        if node.name not in of.slots:
            known = suggestion(node.name, of.slots) or (
                f"there are {joined_names(of.slots)}" if of.slots else ""
            )
            raise PlanError(Fault(node.name_place, f"there is no field '{node.name}'", known, code="name"))
        return of.slots[node.name].value

    def _index(self, node: syntax_tree.Index, scope: Scope) -> Any:
        of, at = self.eval(node.of, scope), self.eval(node.at, scope)
        if of is POISON or at is POISON:
            return POISON
        if isinstance(of, RecordValue) and isinstance(at, str):
            if at not in of.slots:
                raise _broken(node.at, f"there is no field '{at}'", suggestion(at, of.slots), "name")
            return of.slots[at].value
        if isinstance(of, ListValue) and isinstance(at, int) and not isinstance(at, bool):
            if not 0 <= at < len(of.slots):
                raise _broken(node.at, f"item {at} of a list of {len(of.slots)}", code="range")
            return of.slots[at].value
        raise _broken(node.at, f"{kind_name(at)} picks nothing out of {kind_name(of)}", code="type")

    def _callof(self, node: syntax_tree.CallOf, scope: Scope) -> Any:
        of = self.eval(node.of, scope)
        arguments = [self.eval(argument, scope) for argument in node.arguments]
        if of is POISON:
            return POISON
        if callable(of):
            return self._builtin(node, of, arguments)
        if not isinstance(of, Closure):
            raise _broken(node.of, f"{kind_name(of)} can't be called", code="type")
        wanted = of.function.parameters
        if len(arguments) != len(wanted):
            raise _broken(
                node,
                f"{of.name} takes {len(wanted)} arguments, not {len(arguments)}",
                f"those are {', '.join(wanted)}" if wanted else "",
                "type",
            )
        for argument, made in zip(node.arguments, arguments, strict=True):
            if self.holds_function(made):
                raise _broken(
                    argument, "a function can't be handed to a function", "so that all ends", "type"
                )
        return self.eval(of.function.body, Scope(of.scope, dict(zip(wanted, arguments, strict=True))))

    def holds_function(self, value: Any) -> bool:
        self.steps += 1  # what is looked through is paid for as well
        match value:
            case ListValue(slots):
                return any(self.holds_function(slot.value) for slot in slots)
            case RecordValue(slots):
                return any(self.holds_function(slot.value) for slot in slots.values())
        return isinstance(value, Closure) or callable(value)

    def _builtin(self, node: syntax_tree.CallOf, of: Callable, arguments: list[Any]) -> Any:
        if any(argument is POISON for argument in arguments):
            return POISON
        try:
            made = of(*arguments)
        except (TypeError, AttributeError):
            raise _broken(node, f"{of.__name__}: {of.__doc__}", code="type") from None
        except quantity.QuantityError as error:
            raise _broken(node, f"{of.__name__}: {error}", code="range") from None
        if isinstance(made, ListValue | str):
            self.grow(len(made.slots) if isinstance(made, ListValue) else len(made) // 16, node)
        if isinstance(made, ListValue):
            for slot in made.slots:
                slot.place = node.place
        return made

    def _include(self, node: syntax_tree.Include, scope: Scope) -> Any:
        here = PurePosixPath(node.place.source.name)
        return self.file(normal(here.parent / node.path), node.place)

    def _items(self, node: syntax_tree.Items, scope: Scope) -> Any:
        self.grow(len(node.items), node)
        return ListValue([Slot(self.safe(item, scope), item.place) for item in node.items])

    def _each(self, loop: syntax_tree.For, scope: Scope):
        among = self.eval(loop.among, scope)
        if among is POISON:
            return None
        if not isinstance(among, ListValue):
            reason = f"{kind_name(among)} where a list belongs"
            remedy = "keys(r) lists the names of a record" if isinstance(among, RecordValue) else ""
            raise _broken(loop.among, reason, remedy, "type")
        found = []
        for slot in among.slots:
            inner = Scope(scope, {loop.name: slot.value})
            if loop.test is not None:
                test = self.eval(loop.test, inner)
                if not isinstance(test, bool | Poison):
                    raise _broken(loop.test, f"{kind_name(test)} where true or false belongs", code="type")
                if test is not True:
                    continue
            found.append(inner)
        return found

    def _itemsfor(self, node: syntax_tree.ItemsFor, scope: Scope) -> Any:
        scopes = self._each(node.loop, scope)
        if scopes is None:
            return POISON
        self.grow(len(scopes), node)
        return ListValue([Slot(self.safe(node.item, inner), node.item.place) for inner in scopes])

    def _record(self, node: syntax_tree.Record, scope: Scope) -> Any:
        self.grow(len(node.fields), node)
        scope, slots = self._locals(node.locals, scope), {}
        for field in node.fields:
            self._put(slots, field, scope)
        return RecordValue(slots)

    def _recordfor(self, node: syntax_tree.RecordFor, scope: Scope) -> Any:
        scopes = self._each(node.loop, scope)
        if scopes is None:
            return POISON
        self.grow(len(scopes), node)
        slots: dict[str, Slot] = {}
        for inner in scopes:
            self._put(slots, node.field_, inner)
        return RecordValue(slots)

    def _put(self, slots: dict[str, Slot], field: syntax_tree.Field, scope: Scope) -> None:
        key = field.key if isinstance(field.key, str) else self.safe(field.key, scope)
        value = self.safe(field.value, scope)
        if key is POISON:
            return
        if not isinstance(key, str):
            self.faults.add(Fault(field.place, f"{kind_name(key)} where a name belongs", code="type"))
        elif key in slots:
            there = slots[key].key_place
            self.faults.add(
                Fault(
                    field.place,
                    f"'{key}' stands twice",
                    "take one out, or merge with +",
                    code="duplicate",
                    also=((there, "the first"),),
                )
            )
        else:
            slots[key] = Slot(value, field.value.place, field.merge_mode, field.place)


def _broken(node: syntax_tree.Node, reason: str, remedy: str = "", code: str = "type") -> PlanError:
    return PlanError(Fault(node.place, reason, remedy, code=code))


def equal_values(left: Any, right: Any) -> bool:
    """Equal in kind and content; places don't count."""
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


def normal(path: PurePosixPath) -> str:
    """The path without `.` and `..`, as far as they can be taken out."""
    parts: list[str] = []
    for part in path.parts:
        if part == ".." and parts and parts[-1] not in ("..", "/"):
            parts.pop()
        elif part != ".":
            parts.append(part)
    return str(PurePosixPath(*parts))


@contextmanager
def _deep():
    before = sys.getrecursionlimit()
    sys.setrecursionlimit(max(before, FRAMES))
    try:
        yield
    finally:
        sys.setrecursionlimit(before)


# -- what is known everywhere --------------------------------------------------------------------------

NOWHERE = Place(Source("", ""), 0, 0)


def length(of):
    """takes a list, a record or a text"""
    return len(of) if isinstance(of, str) else len(of.slots)


def count(start, stop):
    """takes two whole numbers: the first, and the one to stop before"""
    if not (isinstance(start, int) and isinstance(stop, int)) or isinstance(start, bool):
        raise TypeError
    if stop - start > SIZE_MOST:
        raise quantity.QuantityError(f"{stop - start} items")
    return ListValue([Slot(n, NOWHERE) for n in range(start, stop)])


def keys(of):
    """takes a record"""
    if not isinstance(of, RecordValue):
        raise TypeError
    return ListValue([Slot(name, slot.place) for name, slot in of.slots.items()])


def values(of):
    """takes a record"""
    return ListValue([Slot(slot.value, slot.place) for slot in of.slots.values()])


def has(of, name):
    """takes a record and a name"""
    if not (isinstance(of, RecordValue) and isinstance(name, str)):
        raise TypeError
    return name in of.slots


def join(by, texts):
    """takes a text and a list of texts"""
    if not isinstance(texts, ListValue):
        raise TypeError
    return by.join(slot.value for slot in texts.slots)


def split(by, text):
    """takes a text to cut at, and a text"""
    if not (by and isinstance(by, str) and isinstance(text, str)):
        raise TypeError
    return ListValue([Slot(part, NOWHERE) for part in text.split(by)])


def lower(text):
    """takes a text"""
    return text.lower()


def upper(text):
    """takes a text"""
    return text.upper()


def least(a, b):
    """takes two figures of one kind"""
    return a if a < b else b


def most(a, b):
    """takes two figures of one kind"""
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
    "range": count,
    "keys": keys,
    "values": values,
    "has": has,
    "join": join,
    "split": split,
    "lower": lower,
    "upper": upper,
    "min": least,
    "max": most,
    "round": round_,
    "merge": merge_all,
}
for _name, _builtin in BUILTINS.items():
    _builtin.__name__ = _name
