"""Fencing tokens that an acceptor knows, on its disk: written whole before it votes under a higher one."""

# Field names in the file are kept for compatibility. Where they differ from the names here:
#
#     field    field here
#     keeper   StoredTokens.acceptor
#     sum      StoredTokens.checksum
#     numbers  StoredTokens.tokens

from collections.abc import Callable
from pathlib import Path
from zlib import crc32

import msgspec

from quartzrouter.leases.terms import FencingToken
from quartzrouter.purge_log.disk import write_atomically

FILE_NAME = "numbers"
FORMAT = 1
MAX_FILE_BYTES = 1 << 20  # 256 tasks take 60 KB


class StoredTokens(msgspec.Struct):
    """The file.

    :param acceptor: whose it is.
    :param checksum: CRC-32 of the tokens as they stand in the file.
    """

    format: int
    acceptor: str = msgspec.field(name="keeper")
    checksum: int = msgspec.field(name="sum")
    tokens: msgspec.Raw = msgspec.field(name="numbers")


class ForeignFolderError(ValueError):
    """The folder is another acceptor's."""


class TokenStorage:
    """The file of one acceptor; `found` are the tokens that were there at start, by task.

    :param folder: created if it isn't there.
    :param acceptor: its name.
    :param log: takes a line on what was passed over.
    :raises OSError: where the folder can't be created.
    :raises ForeignFolderError: where it is another acceptor's.
    """

    def __init__(self, folder: str, acceptor: str, log: Callable[[str], None]):
        self.path = Path(folder) / FILE_NAME
        self.acceptor = acceptor
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self.found = self._read(log)

    def _read(self, log: Callable[[str], None]) -> dict[str, FencingToken]:
        """Reads the file.  One that is damaged counts as lost: holders tell their tokens again."""
        try:
            stored = self._decode(self.path.read_bytes())
            tokens = msgspec.json.decode(stored.tokens, type=dict[str, FencingToken])
        except FileNotFoundError:
            return {}
        except (ValueError, msgspec.DecodeError, UnicodeDecodeError) as error:
            log(f"{self.path}: {error}; its numbers are heard anew from holders")
            return {}
        if stored.acceptor != self.acceptor:
            remedy = f"give {self.acceptor} a folder of its own"
            raise ForeignFolderError(f"{self.path} is {stored.acceptor}'s; {remedy}")
        return tokens

    @staticmethod
    def _decode(data: bytes) -> StoredTokens:
        stored = msgspec.json.decode(data[:MAX_FILE_BYTES], type=StoredTokens)
        if stored.checksum != crc32(stored.tokens):
            raise ValueError("its checksum is wrong")
        if stored.format != FORMAT:
            raise ValueError(f"it is of format {stored.format}, this program reads {FORMAT}")
        return stored

    def write(self, tokens: dict[str, FencingToken]) -> None:
        """Writes all tokens.

        :raises OSError: then no vote may be given that needs them.
        """
        encoded = msgspec.json.encode(tokens)
        stored = StoredTokens(FORMAT, self.acceptor, crc32(encoded), msgspec.Raw(encoded))
        write_atomically(self.path, msgspec.json.encode(stored))
