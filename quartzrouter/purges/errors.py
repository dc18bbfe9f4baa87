"""The base of the errors of this package and of the purge log."""


class PurgeError(Exception):
    """Something about purges failed; the message says what, where, and what to do."""
