"""The values of an evaluated plan: numbers, quantities, texts, lists, records and functions."""

import re
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Any

from quartzrouter.config import quantity, syntax_tree
from quartzrouter.config.problems import Place

RESERVED_WORDS = {"local", "if", "then", "else", "for", "in", "include", "override", "true", "false", "null"}
BARE_KEY = re.compile(r"[A-Za-z_][A-Za-z0-9_]*(-[A-Za-z0-9_]+)*")


class Poison:
    """Stands for a value whose evaluation failed; values that depend on it report no further faults."""


POISON = Poison()


@dataclass(slots=True)
class Slot:
    """A value in a record or list, with the place that gave it.

    :param merge_mode: how the value combines with an earlier one of the same key, see ``syntax_tree.Field``.
    :param key_place: the place of the key; None in a list.
    """

    value: Any
    place: Place
    merge_mode: str = ":"
    key_place: Place | None = None


@dataclass(slots=True)
class ListValue:
    """A list of a plan."""

    slots: list[Slot]


@dataclass(slots=True)
class RecordValue:
    """A record of a plan: its values by key, in the order of the plan."""

    slots: dict[str, Slot] = field(default_factory=dict)


@dataclass(slots=True)
class Closure:
    """A function that a plan defines.

    :param scope: the names defined before the function; it isn't among them, so it can't call itself.
    """

    name: str
    function: syntax_tree.Function
    scope: Any


def kind_name(value: Any) -> str:
    """Returns the name of a value's kind, as messages give it."""
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
    return "a function" if callable(value) else quantity.KIND_NAMES[type(value)]


def format_value(value: Any) -> str:
    """Returns a value on one line, as a plan would write it."""
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
            fields = ", ".join(
                f"{format_key(name)}: {format_value(slot.value)}" for name, slot in slots.items()
            )
            return "{ " + fields + " }" if fields else "{}"
        case Closure(name):
            return f"{name}(...)"
    return str(value)


def format_key(name: str) -> str:
    """Returns a key as a plan would write it."""
    return name if BARE_KEY.fullmatch(name) and name not in RESERVED_WORDS else format_value(name)


def to_json_value(value: Any) -> Any:
    """Returns a value as JSON holds it, with quantities as texts."""
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
