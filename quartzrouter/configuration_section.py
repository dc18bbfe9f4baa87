"""Reads values from parsed JSON, and reports the key of an invalid value."""

import ipaddress
from typing import Any

MAX_NUMBER = 1 << 62  # in any unit; most numbers are microseconds
NUMBER_TYPES = (int, float)
MAX_PORT = (1 << 16) - 1


class ConfigurationError(ValueError):
    """The configuration is invalid; the text names the key."""


class ConfigurationSection:
    """An object in a configuration, with its path.

    A key whose value is null counts as missing.

    :param values: the parsed JSON.
    :param path: the dotted keys that lead to the object; empty for the whole configuration.
    :raises ConfigurationError: if the values are not an object.
    """

    def __init__(self, values: Any, path: str = ""):
        if not isinstance(values, dict):
            raise ConfigurationError(f"{path or 'the configuration'} is not an object")
        self.values = values
        self.path = path

    def path_of(self, key: str) -> str:
        """Returns the dotted path of a key in this section, for messages."""
        return f"{self.path}.{key}" if self.path else key

    def required(
        self, key: str, *types: type, minimum: float = -MAX_NUMBER, maximum: float = MAX_NUMBER
    ) -> Any:
        """Returns the value of a required key.

        :param types: the types that it may have; a bool doesn't count as a number.
        :param minimum: the smallest number that is accepted.
        :param maximum: the largest number that is accepted.
        :raises ConfigurationError: if the value is missing, of another type or out of range.
        """
        value = self.values.get(key)
        if value is None:
            raise ConfigurationError(f"{self.path_of(key)} is missing")
        is_unexpected_bool = isinstance(value, bool) and bool not in types
        if not isinstance(value, types) or is_unexpected_bool:
            raise ConfigurationError(f"{self.path_of(key)} is {value!r:.60}")
        if isinstance(value, NUMBER_TYPES) and not minimum <= value <= maximum:
            raise ConfigurationError(f"{self.path_of(key)} is {value}, out of range")
        return value

    def optional(
        self,
        key: str,
        default: Any,
        *types: type,
        minimum: float = -MAX_NUMBER,
        maximum: float = MAX_NUMBER,
    ) -> Any:
        """Returns the value of a key, or the default if the key is missing; see ``required``."""
        if self.values.get(key) is None:
            return default
        return self.required(key, *types, minimum=minimum, maximum=maximum)

    def integer(self, key: str, default: int = 0, minimum: int = 0) -> int:
        """Returns an integer."""
        return self.optional(key, default, int, minimum=minimum)

    def number(self, key: str, default: float = 0.0, maximum: float = MAX_NUMBER) -> float:
        """Returns a number that isn't negative."""
        return float(self.optional(key, default, *NUMBER_TYPES, minimum=0, maximum=maximum))

    def boolean(self, key: str, default: bool = False) -> bool:
        """Returns a boolean."""
        return self.optional(key, default, bool)

    def text(self, key: str, default: str = "") -> str:
        """Returns a string."""
        return self.optional(key, default, str)

    def items(self, key: str) -> list[Any]:
        """Returns a list with items of any type; an empty one if the key is missing."""
        return self.optional(key, [], list)

    def subsection(self, key: str) -> "ConfigurationSection":
        """Returns a nested object; an empty one if the key is missing."""
        return ConfigurationSection(self.optional(key, {}, dict), self.path_of(key))

    def subsections(self, key: str) -> list["ConfigurationSection"]:
        """Returns a list of objects; an empty one if the key is missing."""
        return [
            ConfigurationSection(values, f"{self.path_of(key)}[{index}]")
            for index, values in enumerate(self.items(key))
        ]

    def list_item(self, key: str, index: int, default: Any, *types: type) -> Any:
        """Returns one item of a list, which may be too short or missing.

        :returns: the default if there is no such item, or it is null.
        """
        items = self.items(key)
        item = items[index] if index < len(items) else None
        position = str(index)
        section = ConfigurationSection({position: item}, self.path_of(key))
        return section.optional(position, default, *types, minimum=0)


def parse_address(text: Any, key: str) -> tuple[str, int]:
    """Parses an address such as ``127.0.0.1:80`` or ``[::1]:80``.

    :param key: the key of the address, for messages.
    :returns: the host and the port.
    :raises ConfigurationError: if it isn't a string, or lacks a valid IP address or port.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ConfigurationError(f"{key} is {text!r:.60}, which has no valid IP address") from None
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ConfigurationError(f"{key} is {text!r:.60}, which has no valid port")
    return host, int(port)
