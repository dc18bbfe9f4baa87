"""By which names objects are known: routers and caches key them by an id, people by what routes fill in."""

import hashlib


def digits(text: str) -> str:
    """A name of any length as an id of 16 hex digits."""
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def of_object(value: str) -> tuple[str, str]:
    """The keys that a purged object may have: the name itself, as a client may have told it, and its id."""
    return value.lower(), digits(value)
