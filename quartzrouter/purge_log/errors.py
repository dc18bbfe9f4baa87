"""Errors of the purge log. Each message says what went wrong, and the remedy if there is one."""

from quartzrouter.purges.errors import PurgeError


class PurgeLogError(PurgeError):
    """Base class of all errors of this package."""


class LogDamagedError(PurgeLogError):
    """Raised if a folder can't be read completely.

    :param place: the file, and the byte if it is known.
    """

    def __init__(self, place: str, reason: str, remedy: str):
        super().__init__(f"{place}: {reason}; {remedy}")
        self.place = place
        self.reason = reason
        self.remedy = remedy


class DiskUnavailableError(PurgeLogError):
    """Raised if a disk operation fails; nothing that was to be written has been confirmed."""


class FencedError(PurgeLogError):
    """Raised if another writer has started a higher epoch, so this one may confirm no more purges."""


class UnreachableError(PurgeLogError):
    """Raised if no purge log answers at any address."""
