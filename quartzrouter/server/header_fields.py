"""Header fields of an HTTP message, of which a name may stand in several lines.

By RFC 9110, sections 5.2 and 5.3, the lines of one name are one field: a list that is sent in two lines is
the same as the whole list in one.  A mapping from names to values would keep the last line only.
"""

from collections.abc import Iterable

LIST_SEPARATOR = ", "  # of most fields that may have several lines


class HeaderFields:
    """The header fields of a response, by name in lower case.

    :param lines: names and values in the order in which they arrived, as h11 reports them.
    """

    def __init__(self, lines: Iterable[tuple[bytes, bytes]]):
        self._lines: dict[str, list[str]] = {}
        for name, value in lines:
            self._lines.setdefault(name.decode("latin-1").lower(), []).append(value.decode("latin-1"))

    def get(self, name: str, separator: str = LIST_SEPARATOR) -> str | None:
        """Returns the value of a field, or None; lines with different values are combined into one list.

        A field that may have one value only is not a valid value then, so a response that contradicts itself
        is not read by whichever line came last.

        :param separator: stands between the items of the field's list.
        """
        values = dict.fromkeys(self._lines.get(name, ()))
        return separator.join(values) if values else None
