"""Names of objects: routers and caches use a fixed-length id, operators the name that a route gives."""

import hashlib


def object_id(name: str) -> str:
    """Returns the id of an object: 16 hexadecimal digits, whatever the length of its name."""
    return hashlib.blake2b(name.encode(), digest_size=8).hexdigest()


def object_keys(name: str) -> tuple[str, str]:
    """Returns the cache keys that a purged object may have.

    :param name: the object as named in the purge.
    :returns: the name itself in lower case, as a client may have sent an id, and the id of the name.
    """
    return name.lower(), object_id(name)
