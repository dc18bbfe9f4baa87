"""Quantities with a unit, all exact: whole microseconds, whole bytes, fractions for rates and shares."""

import re
from dataclasses import dataclass
from fractions import Fraction

DURATION_UNITS = {
    "us": 1,
    "ms": 1_000,
    "s": 1_000_000,
    "min": 60_000_000,
    "h": 3_600_000_000,
    "d": 86_400_000_000,
}
SIZE_UNITS = {"B": 1, "KB": 10**3, "MB": 10**6, "GB": 10**9, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
RATE_UNITS = {"s": 1, "min": 60, "h": 3600}  # seconds of each
LITERAL = re.compile(r"(\d+(?:\.\d+)?)(/?[A-Za-z]+|%)")
MAX_MAGNITUDE = 10**24  # of a number and of its denominator; far above any useful value


class QuantityError(ValueError):
    """A text isn't a quantity, or a number is out of bounds; the message says why."""


@dataclass(frozen=True, order=True)
class Duration:
    """A time in microseconds."""

    us: int

    def __str__(self) -> str:
        return _format_in_largest_unit(self.us, DURATION_UNITS)


@dataclass(frozen=True, order=True)
class Size:
    """A number of bytes."""

    bytes: int

    def __str__(self) -> str:
        return _format_in_largest_unit(self.bytes, SIZE_UNITS)


@dataclass(frozen=True, order=True)
class Rate:
    """A number of events a second."""

    per_s: Fraction

    def __str__(self) -> str:
        for unit, seconds in RATE_UNITS.items():
            if (self.per_s * seconds).denominator == 1:
                return f"{self.per_s * seconds}/{unit}"
        return f"{float(self.per_s):g}/s"


@dataclass(frozen=True, order=True)
class Share:
    """A part of a whole; 1 is all of it."""

    part: Fraction

    def __str__(self) -> str:
        return f"{format_number(self.part * 100)}%"


Quantity = Duration | Size | Rate | Share
Number = int | Fraction
KIND_NAMES = {Duration: "a duration", Size: "a size", Rate: "a rate", Share: "a share"}


def _format_in_largest_unit(count: int, units: dict[str, int]) -> str:
    """Returns an amount in the largest unit that keeps it a whole number."""
    fitting = (
        [unit for unit, factor in units.items() if count % factor == 0] if count else [next(iter(units))]
    )
    unit = max(fitting, key=units.__getitem__)
    return f"{count // units[unit]}{unit}"


def format_number(number: Number) -> str:
    """Returns a number as a plan would write it, with at most six decimal places."""
    if isinstance(number, int) or number.denominator == 1:
        return str(int(number))
    return f"{float(number):.6f}".rstrip("0").rstrip(".")


def bounded_number(number: Number) -> Number:
    """Returns a number as an int if it is whole; raises ``QuantityError`` if it is out of bounds."""
    if isinstance(number, Fraction):
        if number.denominator > MAX_MAGNITUDE:
            raise QuantityError("a number whose denominator exceeds 10^24")
        if number.denominator == 1:
            number = number.numerator
    if abs(number) > MAX_MAGNITUDE:
        raise QuantityError("a number whose magnitude exceeds 10^24")
    return number


def parse_quantity(text: str) -> Quantity:
    """Returns the quantity that a text such as `250ms`, `64MiB`, `120/s` or `35%` stands for."""
    match = LITERAL.fullmatch(text)
    if not match:
        raise QuantityError(f"{text} isn't a quantity")
    amount, unit = Fraction(match[1]), match[2]
    if unit == "%":
        return Share(amount / 100)
    if unit.startswith("/"):
        if unit[1:] not in RATE_UNITS:
            raise QuantityError(
                f"'{unit}' isn't a unit of a rate; the units are "
                f"{', '.join('/' + name for name in RATE_UNITS)}"
            )
        return Rate(amount / RATE_UNITS[unit[1:]])
    if unit in DURATION_UNITS:
        return Duration(_whole(amount * DURATION_UNITS[unit], text, "microseconds"))
    if unit in SIZE_UNITS:
        return Size(_whole(amount * SIZE_UNITS[unit], text, "bytes"))
    raise QuantityError(
        f"'{unit}' isn't a unit; the units are "
        f"{', '.join([*DURATION_UNITS, *SIZE_UNITS])}, /s, /min, /h and %"
    )


def _whole(amount: Fraction, text: str, of: str) -> int:
    if amount.denominator != 1:
        raise QuantityError(f"{text} isn't a whole number of {of}")
    return int(bounded_number(amount))


def add(a: object, b: object, sign: int = 1) -> object:
    """Returns a + b, or a - b if the sign is -1, for two numbers or two quantities of one kind."""
    match a, b:
        case (int() | Fraction(), int() | Fraction()):
            return bounded_number(a + sign * b)
        case Duration(), Duration():
            return Duration(bounded_number(a.us + sign * b.us))
        case Size(), Size():
            return Size(bounded_number(a.bytes + sign * b.bytes))
        case Rate(), Rate():
            return Rate(Fraction(bounded_number(a.per_s + sign * b.per_s)))
        case Share(), Share():
            return Share(Fraction(bounded_number(a.part + sign * b.part)))
    raise TypeError


def multiply(a: object, b: object) -> object:
    """Returns a * b if one is a number or a share, or the number of events of a rate in a duration."""
    match a, b:
        case (int() | Fraction(), int() | Fraction()):
            return bounded_number(a * b)
        case (Rate(), Duration()):
            return bounded_number(a.per_s * b.us / 1_000_000)
        case (Duration(), Rate()):
            return multiply(b, a)
        case (Share(), Share()):
            return Share(a.part * b.part)
        case (Share(), _):
            return multiply(a.part, b)
        case (_, Share()):
            return multiply(a, b.part)
        case (int() | Fraction(), Duration()):
            return Duration(round(bounded_number(a * b.us)))
        case (int() | Fraction(), Size()):
            return Size(round(bounded_number(a * b.bytes)))
        case (int() | Fraction(), Rate()):
            return Rate(Fraction(bounded_number(a * b.per_s)))
        case (Duration() | Size() | Rate(), int() | Fraction()):
            return multiply(b, a)
    raise TypeError


def divide(a: object, b: object) -> object:
    """Returns a / b for a quantity and a number, two quantities of one kind, or a number and a duration."""
    amount_fields = {Duration: "us", Size: "bytes", Rate: "per_s", Share: "part"}
    if type(a) is type(b) and type(a) in amount_fields:
        return bounded_number(
            Fraction(getattr(a, amount_fields[type(a)])) / getattr(b, amount_fields[type(b)])
        )
    match a, b:
        case (int() | Fraction(), Duration()):
            return Rate(Fraction(a) * 1_000_000 / b.us)
        case (Share(), int() | Fraction()):
            return Share(a.part / b)
        case (_, int() | Fraction()):
            return multiply(Fraction(1) / b, a)
    raise TypeError
