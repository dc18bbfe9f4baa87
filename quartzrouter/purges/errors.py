"""The base class of the errors of this package and of the purge log."""


class PurgeError(Exception):
    """An operation on purges failed; the message says what failed, where, and what to do."""
