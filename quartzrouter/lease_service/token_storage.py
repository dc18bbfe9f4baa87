"""Stores an acceptor's fencing tokens on its disk, before the acceptor reports a vote with a higher one."""

# Field names in the file are kept for compatibility. These differ from the attributes:
#
#     field    attribute
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
MAX_FILE_BYTES = 1 << 20  # the largest number of tasks, 256, takes 60 KB


class StoredTokens(msgspec.Struct):
    """The content of the file.

    :param acceptor: the name of the acceptor that the file belongs to.
    :param checksum: the CRC-32 of the tokens' bytes in the file.
    """

    format: int
    acceptor: str = msgspec.field(name="keeper")
    checksum: int = msgspec.field(name="sum")
    tokens: msgspec.Raw = msgspec.field(name="numbers")


class ForeignFolderError(ValueError):
    """The folder belongs to another acceptor."""


class TokenStorage:
    """The file of one acceptor; `found` holds the tokens that were read from it at the start, by task.

    :param folder: the folder of the file; created if it doesn't exist.
    :param acceptor: the acceptor's name.
    :param log: logs a line about a file that can't be used.
    :raises OSError: if the folder can't be created or the file can't be read.
    :raises ForeignFolderError: if the folder belongs to another acceptor.
    """

    def __init__(self, folder: str, acceptor: str, log: Callable[[str], None]):
        self.path = Path(folder) / FILE_NAME
        self.acceptor = acceptor
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self.found = self._read(log)

    def _read(self, log: Callable[[str], None]) -> dict[str, FencingToken]:
        """Reads the file.  A damaged one is ignored, as holders report their tokens again."""
        try:
            stored = self._decode(self.path.read_bytes())
            tokens = msgspec.json.decode(stored.tokens, type=dict[str, FencingToken])
        except FileNotFoundError:
            return {}
        except (ValueError, msgspec.DecodeError, UnicodeDecodeError) as error:
            log(f"{self.path}: {error}; the numbers will be learnt again from holders")
            return {}
        if stored.acceptor != self.acceptor:
            remedy = f"give {self.acceptor} a folder of its own"
            raise ForeignFolderError(f"{self.path} is {stored.acceptor}'s; {remedy}")
        return tokens

    @staticmethod
    def _decode(data: bytes) -> StoredTokens:
        stored = msgspec.json.decode(data[:MAX_FILE_BYTES], type=StoredTokens)
        if stored.checksum != crc32(stored.tokens):
            raise ValueError("checksum mismatch")
        if stored.format != FORMAT:
            raise ValueError(f"it is of format {stored.format}, this program reads {FORMAT}")
        return stored

    def write(self, tokens: dict[str, FencingToken]) -> None:
        """Replaces the file with all tokens.

        :raises OSError: if they can't be written; votes with these tokens must not be reported then.
        """
        encoded = msgspec.json.encode(tokens)
        stored = StoredTokens(FORMAT, self.acceptor, crc32(encoded), msgspec.Raw(encoded))
        write_atomically(self.path, msgspec.json.encode(stored))
