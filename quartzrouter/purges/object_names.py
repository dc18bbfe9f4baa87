"""Object names: routers and caches use a fixed-length id, operators use the name that a route defines."""

import hashlib


def object_id(name: str) -> str:
    """Returns the id of an object: 16 hexadecimal digits for a name of any length."""
    return hashlib.blake2b(name.encode(), digest_size=8).hexdigest()


def object_keys(name: str) -> tuple[str, str]:
    """Returns the cache keys that a purged object may have.

    :param name: the object as named in the purge.
    :returns: the name in lower case, because it may already be an id, and the id of the name.
    """
    return name.lower(), object_id(name)
