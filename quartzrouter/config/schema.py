"""Kinds of values that a plan may hold, and the check of a value against them.

A kind turns a value into a plain one (whole microseconds, bytes, floats, texts, dicts) or notes one fault.
The same kinds print the reference page.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Any

from quartzrouter.config.problems import Fault, Faults, Place, Weight, meant, names
from quartzrouter.config.quantity import Duration, Rate, Share, Size, plain
from quartzrouter.config.values import POISON, Closure, ListOf, Rec, Slot, kind, shown

Path = tuple[str, ...]
REQUIRED = object()


class Invalid:
    """Where a value would be that its kind doesn't take; a fault has been noted."""

    def __bool__(self) -> bool:
        return False


INVALID = Invalid()


@dataclass
class PlanCheck:
    """One run over a plan: the faults, and the place that gave each value."""

    faults: Faults
    places: dict[Path, Place] = field(default_factory=dict)

    def report(
        self, place: Place, reason: str, remedy: str = "", code: str = "value", also=(), weight=Weight.ERROR
    ) -> Invalid:
        self.faults.add(Fault(place, reason, remedy, weight, code, tuple(also)))
        return INVALID

    def place(self, path: Path) -> Place:
        """Where a value was given, or the nearest around it."""
        while path not in self.places:
            path = path[:-1]
        return self.places[path]


@dataclass(frozen=True, kw_only=True)
class Kind:
    doc: str = ""

    @property
    def says(self) -> str:
        raise NotImplementedError

    def convert(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        value = slot.value
        if value is POISON:
            return INVALID
        if isinstance(value, Closure):
            return check.report(slot.place, f"{said(path)} is a function", "call it", "type")
        return self.make(check, path, slot)

    def make(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        raise NotImplementedError

    def wrong(self, check: PlanCheck, path: Path, slot: Slot, remedy: str = "") -> Invalid:
        reason = f"{said(path)} is {kind(slot.value)} where {self.says} belongs"
        return check.report(slot.place, reason, remedy, "type")


@dataclass(frozen=True, kw_only=True)
class Quantified(Kind):
    """A figure with a unit, or without one, between two bounds of its own kind."""

    least: Any = None
    most: Any = None
    of: type = int
    example: str = "1"
    word: str = "a whole number"

    @property
    def says(self) -> str:
        return self.word

    def make(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        value = slot.value
        number = isinstance(value, int | Fraction) and not isinstance(value, bool)
        if self.of is int and isinstance(value, Fraction):
            return self.wrong(check, path, slot, "without a fraction")
        if not (number if self.of in (int, Fraction) else isinstance(value, self.of)):
            if number and self.of in (Duration, Size, Rate, Share):
                reason = f"'{path[-1]}' is {plain(value)} without a unit"
                return check.report(slot.place, reason, f"{self.word} is written as {self.example}", "unit")
            return self.wrong(check, path, slot, f"as in {self.example}")
        if self.least is not None and value < self.least:
            return check.report(
                slot.place, f"'{path[-1]}' is {shown(value)}, below {shown(self.least)}", code="range"
            )
        if self.most is not None and value > self.most:
            return check.report(
                slot.place, f"'{path[-1]}' is {shown(value)}, above {shown(self.most)}", code="range"
            )
        match value:
            case Duration(us):
                return us
            case Size(bytes_):
                return bytes_
            case Rate(per_s):
                return float(per_s)
            case Share(part):
                return float(part)
        return value if self.of is int else float(value)


def whole(least: int = 0, most: int = 1 << 31, **other: Any) -> Quantified:
    return Quantified(least=least, most=most, of=int, example=str(least + 1), word="a whole number", **other)


def number(least: int = 0, most: int = 1_000_000, **other: Any) -> Quantified:
    return Quantified(least=least, most=most, of=Fraction, example="1.5", word="a number", **other)


def duration(least: str = "0us", most: str = "30d", **other: Any) -> Quantified:
    from quartzrouter.config.quantity import quantity

    return Quantified(
        least=quantity(least), most=quantity(most), of=Duration, example="250ms", word="a duration", **other
    )


def size(least: str = "0B", most: str = "1000GiB", **other: Any) -> Quantified:
    from quartzrouter.config.quantity import quantity

    return Quantified(
        least=quantity(least), most=quantity(most), of=Size, example="64MiB", word="a size", **other
    )


def rate(**other: Any) -> Quantified:
    return Quantified(
        least=Rate(Fraction(1, 3600)),
        most=Rate(Fraction(10**7)),
        of=Rate,
        example="120/s",
        word="a rate",
        **other,
    )


def share(least: int = 0, **other: Any) -> Quantified:
    return Quantified(
        least=Share(Fraction(least, 100)),
        most=Share(Fraction(1)),
        of=Share,
        example="35%",
        word="a share",
        **other,
    )


@dataclass(frozen=True, kw_only=True)
class Text(Kind):
    word: str = "a text"
    test: Callable[[str], str] | None = None  # what is wrong with it, or ""
    most: int = 200

    @property
    def says(self) -> str:
        return self.word

    def make(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        if not isinstance(slot.value, str):
            return self.wrong(check, path, slot, 'texts are written as "..."')
        if len(slot.value) > self.most:
            return check.report(
                slot.place, f"'{path[-1]}' has more than {self.most} characters", code="range"
            )
        fault = self.test(slot.value) if self.test else ""
        if fault:
            return check.report(slot.place, f"'{path[-1]}' is {shown(slot.value)}: {fault}", code="value")
        return slot.value


@dataclass(frozen=True, kw_only=True)
class Ref(Text):
    """The name of something that stands elsewhere in the plan; looked up once the whole is read."""

    to: tuple[str, ...] = ()

    @property
    def says(self) -> str:
        return f"the name of one of {' or '.join(self.to)}"


@dataclass(frozen=True, kw_only=True)
class Truth(Kind):
    @property
    def says(self) -> str:
        return "true or false"

    def make(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        return slot.value if isinstance(slot.value, bool) else self.wrong(check, path, slot)


@dataclass(frozen=True, kw_only=True)
class Choice(Kind):
    of: tuple[str, ...] = ()

    @property
    def says(self) -> str:
        return "one of " + ", ".join(f'"{one}"' for one in self.of)

    def make(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        if not isinstance(slot.value, str):
            return self.wrong(check, path, slot)
        if slot.value not in self.of:
            remedy = meant(slot.value, self.of) or f"those are {', '.join(self.of)}"
            return check.report(slot.place, f"'{path[-1]}' can't be {shown(slot.value)}", remedy, "value")
        return slot.value


@dataclass(frozen=True, kw_only=True)
class Either(Kind):
    """The first of several kinds that fits; the last one says what is wrong."""

    of: tuple[Kind, ...] = ()

    @property
    def says(self) -> str:
        return ", or ".join(one.says for one in self.of)

    def make(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        for one in self.of:
            trial = PlanCheck(Faults())
            made = one.convert(trial, path, slot)
            if made is not INVALID:
                check.places |= trial.places
                return (one.says, made) if isinstance(one, Quantified) and one.of is Share else made
        fits = [one for one in self.of if _sort(one) == _sort_of(slot.value)]
        if fits:
            return fits[0].convert(check, path, slot)
        return self.wrong(check, path, slot)


def _sort(one: Kind) -> str:
    if isinstance(one, Quantified):
        return "number" if one.of in (int, Fraction) else one.word
    return {Text: "text", Ref: "text", Choice: "text", ListOfKind: "list", RecordOf: "record"}.get(
        type(one), ""
    )


def _sort_of(value: Any) -> str:
    said = kind(value)
    return {"a number": "number", "a text": "text", "a list": "list", "a record": "record"}.get(said, said)


@dataclass(frozen=True, kw_only=True)
class ListOfKind(Kind):
    of: Kind
    least: int = 0
    one_too: bool = False  # a single value stands for a list of it

    @property
    def says(self) -> str:
        return f"a list, each {self.of.says}"

    def make(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        if not isinstance(slot.value, ListOf):
            if not self.one_too:
                return self.wrong(check, path, slot)
            made = self.of.convert(check, path, slot)
            return INVALID if made is INVALID else [made]
        if len(slot.value.slots) < self.least:
            return check.report(slot.place, f"'{path[-1]}' is empty", "name at least one", "value")
        found = []
        for at, item in enumerate(slot.value.slots):
            inner = (*path[:-1], f"{path[-1]}[{at}]")
            check.places[inner] = item.place
            found.append(self.of.convert(check, inner, item))
        return INVALID if any(one is INVALID for one in found) else found


@dataclass(frozen=True, kw_only=True)
class MapOf(Kind):
    """Names of the reader's choice, each with a value of one kind; their order stays."""

    of: Kind
    key: Callable[[str], str] | None = None
    what: str = "name"

    @property
    def says(self) -> str:
        return f"a record of {self.what}s, each {self.of.says}"

    def make(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        if not isinstance(slot.value, Rec):
            return self.wrong(check, path, slot)
        found = {}
        for name, inner in slot.value.slots.items():
            place = inner.named or inner.place
            if unmet(check, path, name, inner, slot.value.slots):
                continue
            fault = self.key(name) if self.key else ""
            if fault:
                check.report(place, f"'{name}' is no {self.what}: {fault}", code="value")
                continue
            check.places[(*path, name)] = place
            found[name] = self.of.convert(check, (*path, name), inner)
        return found


def said(path: Path) -> str:
    return f"'{path[-1]}'" if path else "the plan"


def unmet(check: PlanCheck, path: Path, name: str, slot: Slot, among: dict[str, Slot]) -> bool:
    """An override or a merge that met nothing."""
    if slot.how == ":":
        return False
    word = "override" if slot.how == "override" else "merge into"
    others = [other for other, there in among.items() if there.how == ":"]
    remedy = meant(name, others) or (f"there are {names(others)}" if others else "write it with ':'")
    check.report(slot.named or slot.place, f"there is no '{name}' to {word}", remedy, "override")
    return True


@dataclass(frozen=True, kw_only=True)
class Entry:
    of: Kind
    default: Any = None  # REQUIRED: it must be given; None: it may be left out
    doc: str = ""


@dataclass(frozen=True, kw_only=True)
class RecordOf(Kind):
    entries: dict[str, Entry] = field(default_factory=dict)
    word: str = "a record"

    @property
    def says(self) -> str:
        return self.word

    def make(self, check: PlanCheck, path: Path, slot: Slot) -> Any:
        if not isinstance(slot.value, Rec):
            return self.wrong(check, path, slot)
        found: dict[str, Any] = {}
        for name, inner in slot.value.slots.items():
            place = inner.named or inner.place
            entry = self.entries.get(name)
            if entry is None:
                remedy = meant(name, self.entries) or f"there are {names(self.entries, 12)}"
                check.report(place, f"'{name}' is no key of {_of(path)}", remedy, "key")
            elif unmet(check, path, name, inner, slot.value.slots):
                found[name] = INVALID
            elif inner.value is None and entry.default is not REQUIRED:
                found[name] = entry.default
            else:
                check.places[(*path, name)] = inner.place
                found[name] = entry.of.convert(check, (*path, name), inner)
        for name, entry in self.entries.items():
            if name in found:
                continue
            if entry.default is REQUIRED:
                found[name] = check.report(
                    slot.place, f"'{name}' is missing in {_of(path)}", f"it is {entry.of.says}", "missing"
                )
            else:
                found[name] = entry.default
        return found


def _of(path: Path) -> str:
    return f"'{'.'.join(path)}'" if path else "the plan"
