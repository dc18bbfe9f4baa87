"""What may fail about the purge log; each message says what went wrong, and the remedy where there is one."""

from quartzrouter.purges.errors import PurgeError


class PurgeLogError(PurgeError):
    """The base of all errors of this package."""


class LogDamagedError(PurgeLogError):
    """A folder that can't be read whole.

    :param place: the file, and the byte where that is known.
    """

    def __init__(self, place: str, reason: str, remedy: str):
        super().__init__(f"{place}: {reason}; {remedy}")
        self.place = place
        self.reason = reason
        self.remedy = remedy


class DiskUnavailableError(PurgeLogError):
    """The disk takes nothing at the moment; nothing of what was to be written was promised."""


class FencedError(PurgeLogError):
    """Another writer has begun a higher epoch, so that this one may promise nothing more."""


class UnreachableError(PurgeLogError):
    """No purge log answers at any address."""
