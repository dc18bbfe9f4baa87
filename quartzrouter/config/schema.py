"""Types of the values that a plan may hold, and the check of an evaluated value against them.

A type converts a value into a plain one (whole microseconds, bytes, floats, strings, dicts), or reports one
fault.  The reference page is generated from the same types.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Any

from quartzrouter.config.problems import Fault, Faults, Place, Severity, joined_names, suggestion
from quartzrouter.config.quantity import Duration, Rate, Share, Size, format_number, parse_quantity
from quartzrouter.config.values import POISON, Closure, ListValue, RecordValue, Slot, format_value, kind_name

Path = tuple[str, ...]
REQUIRED = object()  # the default of an entry that must be given
MAX_KEYS_IN_REMEDY = 12  # keys that a message about an unknown key lists


class Invalid:
    """Stands for a value that its type rejects; a fault has been reported for it."""

    def __bool__(self) -> bool:
        return False


INVALID = Invalid()


@dataclass
class PlanCheck:
    """One check of a plan: the faults found so far, and the place that gave each value.

    :ivar places: by the path of keys that leads to a value.
    """

    faults: Faults
    places: dict[Path, Place] = field(default_factory=dict)

    def report(
        self,
        place: Place,
        reason: str,
        remedy: str = "",
        code: str = "value",
        also=(),
        severity=Severity.ERROR,
    ) -> Invalid:
        """Adds a fault.

        :param remedy: what to do about it; may be empty.
        :param code: the kind of fault, for editors.
        :param also: further places, each with what stands there.
        :returns: ``INVALID``, for the caller to return in place of a value.
        """
        self.faults.add(Fault(place, reason, remedy, severity, code, tuple(also)))
        return INVALID

    def place(self, path: Path) -> Place:
        """Returns where a value was given, or the nearest value around it that was."""
        while path not in self.places:
            path = path[:-1]
        return self.places[path]


@dataclass(frozen=True, kw_only=True)
class ValueType:
    """What a value of a plan may be."""

    doc: str = ""

    @property
    def description(self) -> str:
        """The type as messages and the reference page name it."""
        raise NotImplementedError

    def convert(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        """Returns the plain value, or ``INVALID`` once a fault has been reported."""
        value = slot.value
        if value is POISON:
            return INVALID
        if isinstance(value, Closure):
            return check.report(slot.place, f"{quoted_key(path)} is a function", "call it", "type")
        return self._convert(check, path, slot)

    def _convert(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        raise NotImplementedError

    def report_type_error(self, check: PlanCheck, path: Path, slot: Slot, remedy: str = "") -> Invalid:
        """Reports that a value is of another type."""
        reason = f"{quoted_key(path)} is {kind_name(slot.value)} where {self.description} belongs"
        return check.report(slot.place, reason, remedy, "type")


@dataclass(frozen=True, kw_only=True)
class QuantityType(ValueType):
    """A number, with or without a unit, within bounds.

    :ivar minimum: the smallest value allowed, a ``quantity_class``; None: any.
    :ivar maximum: the largest value allowed, a ``quantity_class``; None: any.
    :ivar quantity_class: int or Fraction without a unit, else the class of the quantity.
    """

    minimum: Any = None
    maximum: Any = None
    quantity_class: type = int
    example: str = "1"
    word: str = "a whole number"

    @property
    def description(self) -> str:
        """The word for it, without the bounds."""
        return self.word

    def _convert(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        value = slot.value
        is_number = isinstance(value, int | Fraction) and not isinstance(value, bool)
        if self.quantity_class is int and isinstance(value, Fraction):
            return self.report_type_error(check, path, slot, "without a fraction")
        if not (
            is_number if self.quantity_class in (int, Fraction) else isinstance(value, self.quantity_class)
        ):
            if is_number and self.quantity_class in (Duration, Size, Rate, Share):
                reason = f"'{path[-1]}' is {format_number(value)} without a unit"
                return check.report(slot.place, reason, f"{self.word} is written as {self.example}", "unit")
            return self.report_type_error(check, path, slot, f"as in {self.example}")
        if self.minimum is not None and value < self.minimum:
            return check.report(
                slot.place,
                f"'{path[-1]}' is {format_value(value)}, below {format_value(self.minimum)}",
                code="range",
            )
        if self.maximum is not None and value > self.maximum:
            return check.report(
                slot.place,
                f"'{path[-1]}' is {format_value(value)}, above {format_value(self.maximum)}",
                code="range",
            )
        match value:
            case Duration(microseconds):
                return microseconds
            case Size(bytes_):
                return bytes_
            case Rate(per_s):
                return float(per_s)
            case Share(part):
                return float(part)
        return value if self.quantity_class is int else float(value)


def whole_number(minimum: int = 0, maximum: int = 1 << 31, **other: Any) -> QuantityType:
    """Returns the type of whole numbers between two bounds."""
    return QuantityType(
        minimum=minimum,
        maximum=maximum,
        quantity_class=int,
        example=str(minimum + 1),
        word="a whole number",
        **other,
    )


def number(minimum: int = 0, maximum: int = 1_000_000, **other: Any) -> QuantityType:
    """Returns the type of numbers between two bounds."""
    return QuantityType(
        minimum=minimum, maximum=maximum, quantity_class=Fraction, example="1.5", word="a number", **other
    )


def duration(minimum: str = "0us", maximum: str = "30d", **other: Any) -> QuantityType:
    """Returns the type of durations between two bounds, which are written as in plans."""
    return QuantityType(
        minimum=parse_quantity(minimum),
        maximum=parse_quantity(maximum),
        quantity_class=Duration,
        example="250ms",
        word="a duration",
        **other,
    )


def size(minimum: str = "0B", maximum: str = "1000GiB", **other: Any) -> QuantityType:
    """Returns the type of sizes between two bounds, which are written as in plans."""
    return QuantityType(
        minimum=parse_quantity(minimum),
        maximum=parse_quantity(maximum),
        quantity_class=Size,
        example="64MiB",
        word="a size",
        **other,
    )


def rate(**other: Any) -> QuantityType:
    """Returns the type of rates, from one an hour to ten million a second."""
    return QuantityType(
        minimum=Rate(Fraction(1, 3600)),
        maximum=Rate(Fraction(10**7)),
        quantity_class=Rate,
        example="120/s",
        word="a rate",
        **other,
    )


def share(minimum: int = 0, **other: Any) -> QuantityType:
    """Returns the type of shares up to 100%.

    :param minimum: in percent.
    """
    return QuantityType(
        minimum=Share(Fraction(minimum, 100)),
        maximum=Share(Fraction(1)),
        quantity_class=Share,
        example="35%",
        word="a share",
        **other,
    )


@dataclass(frozen=True, kw_only=True)
class TextType(ValueType):
    """A string.

    :ivar find_problem: returns what is wrong with a string, or "".
    :ivar max_length: in characters.
    """

    word: str = "a text"
    find_problem: Callable[[str], str] | None = None
    max_length: int = 200

    @property
    def description(self) -> str:
        """The word for it."""
        return self.word

    def _convert(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        if not isinstance(slot.value, str):
            return self.report_type_error(check, path, slot, 'texts are written as "..."')
        if len(slot.value) > self.max_length:
            return check.report(
                slot.place, f"'{path[-1]}' has more than {self.max_length} characters", code="range"
            )
        problem = self.find_problem(slot.value) if self.find_problem else ""
        if problem:
            return check.report(
                slot.place, f"'{path[-1]}' is {format_value(slot.value)}: {problem}", code="value"
            )
        return slot.value


@dataclass(frozen=True, kw_only=True)
class ReferenceType(TextType):
    """The name of an entry elsewhere in the plan; it is looked up once the whole plan has been read.

    :ivar parts: the parts of the plan that may have the entry.
    """

    parts: tuple[str, ...] = ()

    @property
    def description(self) -> str:
        """The parts that may have the entry."""
        return f"the name of one of {' or '.join(self.parts)}"


@dataclass(frozen=True, kw_only=True)
class BooleanType(ValueType):
    """True or false."""

    @property
    def description(self) -> str:
        """Both values."""
        return "true or false"

    def _convert(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        return slot.value if isinstance(slot.value, bool) else self.report_type_error(check, path, slot)


@dataclass(frozen=True, kw_only=True)
class ChoiceType(ValueType):
    """One of several strings."""

    options: tuple[str, ...] = ()

    @property
    def description(self) -> str:
        """All options."""
        return "one of " + ", ".join(f'"{option}"' for option in self.options)

    def _convert(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        if not isinstance(slot.value, str):
            return self.report_type_error(check, path, slot)
        if slot.value not in self.options:
            remedy = suggestion(slot.value, self.options) or f"use one of {', '.join(self.options)}"
            return check.report(
                slot.place, f"'{path[-1]}' can't be {format_value(slot.value)}", remedy, "value"
            )
        return slot.value


@dataclass(frozen=True, kw_only=True)
class UnionType(ValueType):
    """Any of several types: the first that accepts a value converts it.

    If none does, the first one of the value's category reports the fault: it knows best what is wrong.
    """

    alternatives: tuple[ValueType, ...] = ()

    @property
    def description(self) -> str:
        """All alternatives."""
        return ", or ".join(alternative.description for alternative in self.alternatives)

    def _convert(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        for alternative in self.alternatives:
            trial = PlanCheck(Faults())
            converted = alternative.convert(trial, path, slot)
            if converted is not INVALID:
                check.places |= trial.places
                return (
                    (alternative.description, converted)
                    if isinstance(alternative, QuantityType) and alternative.quantity_class is Share
                    else converted
                )
        same_category = [
            alternative
            for alternative in self.alternatives
            if _category(alternative) == _category_of_value(slot.value)
        ]
        if same_category:
            return same_category[0].convert(check, path, slot)
        return self.report_type_error(check, path, slot)


def _category(value_type: ValueType) -> str:
    if isinstance(value_type, QuantityType):
        return "number" if value_type.quantity_class in (int, Fraction) else value_type.word
    return {
        TextType: "text",
        ReferenceType: "text",
        ChoiceType: "text",
        ListType: "list",
        RecordType: "record",
    }.get(type(value_type), "")


def _category_of_value(value: Any) -> str:
    name = kind_name(value)
    return {"a number": "number", "a text": "text", "a list": "list", "a record": "record"}.get(name, name)


@dataclass(frozen=True, kw_only=True)
class ListType(ValueType):
    """A list of values of one type.

    :ivar min_length: in items.
    :ivar accepts_single: whether a value that is no list stands for a list of it alone.
    """

    item: ValueType
    min_length: int = 0
    accepts_single: bool = False

    @property
    def description(self) -> str:
        """What each item is."""
        return f"a list, each {self.item.description}"

    def _convert(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        if not isinstance(slot.value, ListValue):
            if not self.accepts_single:
                return self.report_type_error(check, path, slot)
            converted = self.item.convert(check, path, slot)
            return INVALID if converted is INVALID else [converted]
        if len(slot.value.slots) < self.min_length:
            return check.report(slot.place, f"'{path[-1]}' is empty", "name at least one", "value")
        items = []
        for index, item in enumerate(slot.value.slots):
            item_path = (*path[:-1], f"{path[-1]}[{index}]")
            check.places[item_path] = item.place
            items.append(self.item.convert(check, item_path, item))
        return INVALID if any(item is INVALID for item in items) else items


@dataclass(frozen=True, kw_only=True)
class MapType(ValueType):
    """A record whose keys the plan's author chooses, with values of one type; their order is kept.

    :ivar find_key_problem: returns what is wrong with a key, or "".
    :ivar key_word: what a key names, for messages.
    """

    value: ValueType
    find_key_problem: Callable[[str], str] | None = None
    key_word: str = "name"

    @property
    def description(self) -> str:
        """What each key names, and what each value is."""
        return f"a record of {self.key_word}s, each {self.value.description}"

    def _convert(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        if not isinstance(slot.value, RecordValue):
            return self.report_type_error(check, path, slot)
        converted = {}
        for name, inner in slot.value.slots.items():
            place = inner.key_place or inner.place
            if report_missing_target(check, name, inner, slot.value.slots):
                continue
            problem = self.find_key_problem(name) if self.find_key_problem else ""
            if problem:
                check.report(place, f"'{name}' is not a valid {self.key_word} name: {problem}", code="value")
                continue
            check.places[(*path, name)] = place
            converted[name] = self.value.convert(check, (*path, name), inner)
        return converted


def quoted_key(path: Path) -> str:
    """Returns the last key of a path in quotes, or "the plan" for the empty path."""
    return f"'{path[-1]}'" if path else "the plan"


def report_missing_target(check: PlanCheck, name: str, slot: Slot, among: dict[str, Slot]) -> bool:
    """Reports an override or a merge if there is no entry of that name to apply it to.

    :param among: all entries of the record.
    :returns: whether it was reported.
    """
    if slot.merge_mode == ":":
        return False
    word = "override" if slot.merge_mode == "override" else "merge into"
    others = [other for other, there in among.items() if there.merge_mode == ":"]
    remedy = suggestion(name, others) or (
        f"there are {joined_names(others)}" if others else "write it with ':'"
    )
    check.report(slot.key_place or slot.place, f"there is no '{name}' to {word}", remedy, "override")
    return True


@dataclass(frozen=True, kw_only=True)
class Entry:
    """A key of a record.

    :ivar default: the plain value if the key isn't given; ``REQUIRED``: it must be given.
    :ivar doc: its meaning, for the reference page.
    """

    type: ValueType
    default: Any = None
    doc: str = ""


@dataclass(frozen=True, kw_only=True)
class RecordType(ValueType):
    """A record with a fixed set of keys."""

    entries: dict[str, Entry] = field(default_factory=dict)
    word: str = "a record"

    @property
    def description(self) -> str:
        """The word for it."""
        return self.word

    def _convert(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        if not isinstance(slot.value, RecordValue):
            return self.report_type_error(check, path, slot)
        converted: dict[str, Any] = {}
        for name, inner in slot.value.slots.items():
            place = inner.key_place or inner.place
            entry = self.entries.get(name)
            if entry is None:
                remedy = (
                    suggestion(name, self.entries)
                    or f"there are {joined_names(self.entries, MAX_KEYS_IN_REMEDY)}"
                )
                check.report(place, f"'{name}' is no key of {_quoted_path(path)}", remedy, "key")
            elif report_missing_target(check, name, inner, slot.value.slots):
                converted[name] = INVALID
            elif inner.value is None and entry.default is not REQUIRED:
                converted[name] = entry.default
            else:
                check.places[(*path, name)] = inner.place
                converted[name] = entry.type.convert(check, (*path, name), inner)
        for name, entry in self.entries.items():
            if name in converted:
                continue
            if entry.default is REQUIRED:
                converted[name] = check.report(
                    slot.place,
                    f"'{name}' is missing in {_quoted_path(path)}",
                    f"it is {entry.type.description}",
                    "missing",
                )
            else:
                converted[name] = entry.default
        return converted


def _quoted_path(path: Path) -> str:
    return f"'{'.'.join(path)}'" if path else "the plan"
