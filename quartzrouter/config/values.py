"""What an evaluated plan consists of: figures, texts, lists, records and functions, each with its place."""

import re
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Any

from quartzrouter.config import quantity, syntax_tree
from quartzrouter.config.problems import Place

RESERVED_WORDS = {"local", "if", "then", "else", "for", "in", "include", "override", "true", "false", "null"}
BARE_KEY = re.compile(r"[A-Za-z_][A-Za-z0-9_]*(-[A-Za-z0-9_]+)*")


class Poison:
    """Where a value would be, had its evaluation not failed; what depends on it says nothing more."""


POISON = Poison()


@dataclass(slots=True)
class Slot:
    """A value of a record or list, the place that gave it, and how it meets what is there already."""

    value: Any
    place: Place
    merge_mode: str = ":"
    key_place: Place | None = None  # of the key


@dataclass(slots=True)
class ListValue:
    slots: list[Slot]


@dataclass(slots=True)
class RecordValue:
    slots: dict[str, Slot] = field(default_factory=dict)


@dataclass(slots=True)
class Closure:
    name: str
    function: syntax_tree.Function
    scope: Any  # the names that were there before it: so that it can't call itself


def kind_name(value: Any) -> str:
    """What a value is, as a message says it."""
    match value:
        case None:
            return "null"
        case bool():
            return "true or false"
        case int() | Fraction():
            return "a number"
        case str():
            return "a text"
        case ListValue():
            return "a list"
        case RecordValue():
            return "a record"
        case Closure():
            return "a function"
        case Poison():
            return "nothing"
    return "a function" if callable(value) else quantity.KINDS[type(value)]


def format_value(value: Any) -> str:
    """A value on one line, as it would be written."""
    match value:
        case None:
            return "null"
        case bool():
            return str(value).lower()
        case int() | Fraction():
            return quantity.format_number(value)
        case str():
            escaped = value.replace("\\", "\\\\").replace('"', '\\"').replace("$", "\\$")
            return '"' + escaped.replace("\n", "\\n").replace("\t", "\\t") + '"'
        case ListValue(slots):
            return "[" + ", ".join(format_value(slot.value) for slot in slots) + "]"
        case RecordValue(slots):
            inner = ", ".join(
                f"{format_key(name)}: {format_value(slot.value)}" for name, slot in slots.items()
            )
            return "{ " + inner + " }" if inner else "{}"
        case Closure(name):
            return f"{name}(...)"
    return str(value)


def format_key(name: str) -> str:
    """A key as it would be written."""
    return name if BARE_KEY.fullmatch(name) and name not in RESERVED_WORDS else format_value(name)


def to_json_value(value: Any) -> Any:
    """As JSON would hold it: quantities as texts."""
    match value:
        case ListValue(slots):
            return [to_json_value(slot.value) for slot in slots]
        case RecordValue(slots):
            return {name: to_json_value(slot.value) for name, slot in slots.items()}
        case Fraction():
            return float(value)
        case None | bool() | int() | str():
            return value
    return str(value)
