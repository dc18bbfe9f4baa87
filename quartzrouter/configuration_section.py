"""Reads values out of parsed JSON, and names the key at fault where one can't be used."""

import ipaddress
from typing import Any

LARGEST_NUMBER = 1 << 62  # us, or whatever else a whole number counts
NUMBER_TYPES = (int, float)
LARGEST_PORT = (1 << 16) - 1


class ConfigurationError(ValueError):
    """A configuration that can't be used; its text names the key at fault."""


class ConfigurationSection:
    """An object of a configuration, and where it stands in it.

    A key whose value is null counts as missing.

    :param values: the parsed JSON.
    :param path: dotted keys that lead to it; empty for the whole configuration.
    :raises ConfigurationError: where the values are no object.
    """

    def __init__(self, values: Any, path: str = ""):
        if not isinstance(values, dict):
            raise ConfigurationError(f"{path or 'the whole'} is no object")
        self.values = values
        self.path = path

    def path_of(self, key: str) -> str:
        """The dotted path of a key of this section, for messages."""
        return f"{self.path}.{key}" if self.path else key

    def required(
        self, key: str, *types: type, minimum: float = -LARGEST_NUMBER, maximum: float = LARGEST_NUMBER
    ) -> Any:
        """The value of a key that has to be there.

        :param types: the types that it may have; bool is no number.
        :param minimum: the smallest number that is accepted.
        :param maximum: the largest one.
        :raises ConfigurationError: where it is missing, of another type or out of range.
        """
        value = self.values.get(key)
        if value is None:
            raise ConfigurationError(f"{self.path_of(key)} is missing")
        is_unasked_bool = isinstance(value, bool) and bool not in types
        if not isinstance(value, types) or is_unasked_bool:
            raise ConfigurationError(f"{self.path_of(key)} is {value!r:.60}")
        if isinstance(value, NUMBER_TYPES) and not minimum <= value <= maximum:
            raise ConfigurationError(f"{self.path_of(key)} is {value}, out of range")
        return value

    def optional(
        self,
        key: str,
        default: Any,
        *types: type,
        minimum: float = -LARGEST_NUMBER,
        maximum: float = LARGEST_NUMBER,
    ) -> Any:
        """The value of a key, or the default where it is missing; see ``required``."""
        if self.values.get(key) is None:
            return default
        return self.required(key, *types, minimum=minimum, maximum=maximum)

    def integer(self, key: str, default: int = 0, minimum: int = 0) -> int:
        """A whole number."""
        return self.optional(key, default, int, minimum=minimum)

    def number(self, key: str, default: float = 0.0, maximum: float = LARGEST_NUMBER) -> float:
        """A number that isn't negative."""
        return float(self.optional(key, default, *NUMBER_TYPES, minimum=0, maximum=maximum))

    def boolean(self, key: str, default: bool = False) -> bool:
        """True or false."""
        return self.optional(key, default, bool)

    def text(self, key: str, default: str = "") -> str:
        """A string."""
        return self.optional(key, default, str)

    def items(self, key: str) -> list[Any]:
        """A list of anything; empty where the key is missing."""
        return self.optional(key, [], list)

    def subsection(self, key: str) -> "ConfigurationSection":
        """An object below this one; empty where the key is missing."""
        return ConfigurationSection(self.optional(key, {}, dict), self.path_of(key))

    def subsections(self, key: str) -> list["ConfigurationSection"]:
        """A list of objects; empty where the key is missing."""
        return [
            ConfigurationSection(values, f"{self.path_of(key)}[{index}]")
            for index, values in enumerate(self.items(key))
        ]

    def list_item(self, key: str, index: int, default: Any, *types: type) -> Any:
        """One item of a list that may be too short, and may be missing.

        :returns: the default where there is no such item, or it is null.
        """
        items = self.items(key)
        item = items[index] if index < len(items) else None
        position = str(index)
        section = ConfigurationSection({position: item}, self.path_of(key))
        return section.optional(position, default, *types, minimum=0)


def parse_address(text: Any, key: str) -> tuple[str, int]:
    """Host and port out of ``127.0.0.1:80`` or ``[::1]:80``.

    :param key: where the text stands, for messages.
    :raises ConfigurationError: where it is no text, or has no IP address or no port.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ConfigurationError(f"{key} is {text!r:.60}, no address") from None
    if not port.isdecimal() or not 0 < int(port) <= LARGEST_PORT:
        raise ConfigurationError(f"{key} is {text!r:.60}, no port")
    return host, int(port)
