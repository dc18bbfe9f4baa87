"""Quantities with a unit.  Each is exact: whole microseconds, whole bytes, fractions for rates and shares."""

import re
from dataclasses import dataclass
from fractions import Fraction

DURATIONS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000, "d": 86_400_000_000}
SIZES = {"B": 1, "KB": 10**3, "MB": 10**6, "GB": 10**9, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
PER = {"s": 1, "min": 60, "h": 3600}  # s
LITERAL = re.compile(r"(\d+(?:\.\d+)?)(/?[A-Za-z]+|%)")
FIGURE_MOST = 10**24  # of any figure, or of its denominator: far past all that is meant


class QuantityError(ValueError):
    """Something that can't be said of figures; the text says what."""


@dataclass(frozen=True, order=True)
class Duration:
    us: int

    def __str__(self) -> str:
        return _shown(self.us, DURATIONS)


@dataclass(frozen=True, order=True)
class Size:
    bytes: int

    def __str__(self) -> str:
        return _shown(self.bytes, SIZES)


@dataclass(frozen=True, order=True)
class Rate:
    per_s: Fraction

    def __str__(self) -> str:
        for unit, seconds in PER.items():
            if (self.per_s * seconds).denominator == 1:
                return f"{self.per_s * seconds}/{unit}"
        return f"{float(self.per_s):g}/s"


@dataclass(frozen=True, order=True)
class Share:
    part: Fraction

    def __str__(self) -> str:
        return f"{format_number(self.part * 100)}%"


Quantity = Duration | Size | Rate | Share
Number = int | Fraction
KINDS = {Duration: "a duration", Size: "a size", Rate: "a rate", Share: "a share"}


def _shown(count: int, units: dict[str, int]) -> str:
    """In the largest unit that keeps it whole."""
    fits = [unit for unit, worth in units.items() if count % worth == 0] if count else [next(iter(units))]
    unit = max(fits, key=units.__getitem__)
    return f"{count // units[unit]}{unit}"


def format_number(number: Number) -> str:
    """A number as it would be written."""
    if isinstance(number, int) or number.denominator == 1:
        return str(int(number))
    return f"{float(number):.6f}".rstrip("0").rstrip(".")


def figure(number: Number) -> Number:
    """Whole where it is whole; refused where it is past all bounds."""
    if isinstance(number, Fraction):
        if number.denominator > FIGURE_MOST:
            raise QuantityError("a figure with too many places")
        if number.denominator == 1:
            number = number.numerator
    if abs(number) > FIGURE_MOST:
        raise QuantityError("a figure past all bounds")
    return number


def parse_quantity(text: str) -> Quantity:
    """The quantity that a literal names, as `250ms`, `64MiB`, `120/s`, `35%`."""
    found = LITERAL.fullmatch(text)
    if not found:
        raise QuantityError(f"{text} is no quantity")
    amount, unit = Fraction(found[1]), found[2]
    if unit == "%":
        return Share(amount / 100)
    if unit.startswith("/"):
        if unit[1:] not in PER:
            raise QuantityError(
                f"'{unit}' is no unit of a rate; those are {', '.join('/' + per for per in PER)}"
            )
        return Rate(amount / PER[unit[1:]])
    if unit in DURATIONS:
        return Duration(_whole(amount * DURATIONS[unit], text, "microseconds"))
    if unit in SIZES:
        return Size(_whole(amount * SIZES[unit], text, "bytes"))
    raise QuantityError(
        f"'{unit}' is no unit; those are {', '.join([*DURATIONS, *SIZES])}, /s, /min, /h and %"
    )


def _whole(amount: Fraction, text: str, of: str) -> int:
    if amount.denominator != 1:
        raise QuantityError(f"{text} isn't a whole number of {of}")
    return int(figure(amount))


def add(a: object, b: object, sign: int = 1) -> object:
    """a + b or a - b, of two numbers or two quantities of one kind."""
    match a, b:
        case (int() | Fraction(), int() | Fraction()):
            return figure(a + sign * b)
        case Duration(), Duration():
            return Duration(figure(a.us + sign * b.us))
        case Size(), Size():
            return Size(figure(a.bytes + sign * b.bytes))
        case Rate(), Rate():
            return Rate(Fraction(figure(a.per_s + sign * b.per_s)))
        case Share(), Share():
            return Share(Fraction(figure(a.part + sign * b.part)))
    raise TypeError


def times(a: object, b: object) -> object:
    """a * b: a number or a share of anything, or how many come in a time."""
    match a, b:
        case (int() | Fraction(), int() | Fraction()):
            return figure(a * b)
        case (Rate(), Duration()):
            return figure(a.per_s * b.us / 1_000_000)
        case (Duration(), Rate()):
            return times(b, a)
        case (Share(), Share()):
            return Share(a.part * b.part)
        case (Share(), _):
            return times(a.part, b)
        case (_, Share()):
            return times(a, b.part)
        case (int() | Fraction(), Duration()):
            return Duration(round(figure(a * b.us)))
        case (int() | Fraction(), Size()):
            return Size(round(figure(a * b.bytes)))
        case (int() | Fraction(), Rate()):
            return Rate(Fraction(figure(a * b.per_s)))
        case (Duration() | Size() | Rate(), int() | Fraction()):
            return times(b, a)
    raise TypeError


def over(a: object, b: object) -> object:
    """a / b: by a number, by a quantity of its kind, or a number by a time."""
    amounts = {Duration: "us", Size: "bytes", Rate: "per_s", Share: "part"}
    if type(a) is type(b) and type(a) in amounts:
        return figure(Fraction(getattr(a, amounts[type(a)])) / getattr(b, amounts[type(b)]))
    match a, b:
        case (int() | Fraction(), Duration()):
            return Rate(Fraction(a) * 1_000_000 / b.us)
        case (Share(), int() | Fraction()):
            return Share(a.part / b)
        case (_, int() | Fraction()):
            return times(Fraction(1) / b, a)
    raise TypeError
