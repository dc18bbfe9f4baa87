"""Numbers that a keeper has heard of, on its disk: written whole before it votes for a higher one."""

from collections.abc import Callable
from pathlib import Path
from zlib import crc32

import msgspec

from quartzrouter.leases.terms import FencingToken
from quartzrouter.purge_log.disk import write_whole

FILE = "numbers"
FORMAT = 1
SIZE_MOST = 1 << 20  # bytes: 256 tasks take 60 KB


class StoredTokens(msgspec.Struct):
    """:param keeper: whose it is.
    :param sum: of the numbers as they stand in the file.
    """

    format: int
    keeper: str
    sum: int
    numbers: msgspec.Raw


class ForeignFolder(ValueError):
    """The folder is another keeper's."""


class TokenStorage:
    """:param folder: made if it isn't there; raises OSError where it can't be.
    :param say: takes a line on what was passed over.
    """

    def __init__(self, folder: str, keeper: str, say: Callable[[str], None]):
        self.path, self.keeper = Path(folder) / FILE, keeper
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self.found = self._read(say)

    def _read(self, say: Callable[[str], None]) -> dict[str, FencingToken]:
        """Raises Foreign.  What is damaged counts as lost: holders tell their numbers again."""
        try:
            data = self.path.read_bytes()
            page = msgspec.json.decode(data[:SIZE_MOST], type=StoredTokens)
            if page.sum != crc32(page.numbers):
                raise ValueError("its checksum is wrong")
            if page.format != FORMAT:
                raise ValueError(f"it is of format {page.format}, this program reads {FORMAT}")
            numbers = msgspec.json.decode(page.numbers, type=dict[str, FencingToken])
        except FileNotFoundError:
            return {}
        except (ValueError, msgspec.DecodeError, UnicodeDecodeError) as error:
            say(f"{self.path}: {error}; its numbers are heard anew from holders")
            return {}
        if page.keeper != self.keeper:
            raise ForeignFolder(f"{self.path} is {page.keeper}'s; give {self.keeper} a folder of its own")
        return numbers

    def write(self, numbers: dict[str, FencingToken]) -> None:
        """Raises OSError; then no vote may be given that needs it."""
        raw = msgspec.json.encode(numbers)
        page = StoredTokens(FORMAT, self.keeper, crc32(raw), msgspec.Raw(raw))
        write_whole(self.path, msgspec.json.encode(page))
