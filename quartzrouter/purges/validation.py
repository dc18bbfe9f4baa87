"""Validation of the purges that clients request."""

import re

from quartzrouter.purges.client_messages import PurgeRequest
from quartzrouter.purges.server_messages import RequestRejected

MAX_VALUES = 64  # per purge; a client sends several purges for more
MAX_VALUE_CHARACTERS = 512  # longer paths can be purged by a pattern
MAX_TOTAL_CHARACTERS = 4_096  # in all values of a purge: caches accept request heads of 8 KB
MAX_WILDCARDS = 16  # per pattern
MAX_SLASHES = 32  # per pattern
KEY = re.compile(r"[\x21-\x7e]{1,64}")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:-]{0,62}")  # a name of a member, vhost or store, or a token
VALUE = re.compile(rf"[\x21-\x7e]{{1,{MAX_VALUE_CHARACTERS}}}")


def validate_request(request: PurgeRequest) -> RequestRejected | None:
    """Checks a purge that a client requests.

    :returns: why it is rejected; None if it is valid.
    """
    return _check_count(request) or _check_values(request) or _check_scope(request) or _check_key(request)


def _check_count(request: PurgeRequest) -> RequestRejected | None:
    if request.kind == "all":
        if request.values:
            return RequestRejected(
                "values", "a purge of kind 'all' takes no values", "omit the values or use another kind"
            )
    elif not request.values:
        return RequestRejected("values", f"no {request.kind} is named", f"name at least one {request.kind}")
    if len(request.values) > MAX_VALUES:
        return RequestRejected(
            "values", f"{len(request.values)} values in one purge", f"send at most {MAX_VALUES} at once"
        )
    if sum(map(len, request.values)) > MAX_TOTAL_CHARACTERS:
        return RequestRejected(
            "values", f"more than {MAX_TOTAL_CHARACTERS} characters in one purge", "send several purges"
        )
    return None


def _check_values(request: PurgeRequest) -> RequestRejected | None:
    for value in request.values:
        if not VALUE.fullmatch(value):
            return RequestRejected(
                "values",
                f"{value!r:.60} is not a valid {request.kind}",
                f"use 1 to {MAX_VALUE_CHARACTERS} characters without blanks",
            )
        reason = _pattern_error(value) if request.kind == "pattern" else ""
        if reason:
            return RequestRejected("values", f"{value!r:.60}: {reason}", "see 'Patterns' in docs/purges.md")
    return None


def _check_scope(request: PurgeRequest) -> RequestRejected | None:
    for place, name in (("vhost", request.vhost), ("store", request.store)):
        if name and not NAME.fullmatch(name):
            return RequestRejected(
                place, f"{name!r:.60} is not a valid name", "use letters, digits, '_', '-', ':' and '.'"
            )
    return None


def _check_key(request: PurgeRequest) -> RequestRejected | None:
    if request.key and not KEY.fullmatch(request.key):
        return RequestRejected(
            "key", f"{request.key!r:.60} is not a valid key", "use 1 to 64 characters without blanks"
        )
    return None


def _pattern_error(text: str) -> str:
    """Returns why a text is not a valid pattern of a host and a path; an empty string if it is valid."""
    if "/" not in text:
        return "a pattern has a path, which begins with '/'"
    without_subtree = text.removesuffix("/**")
    if "**" in without_subtree:
        return "'**' is allowed only at the end, after a '/'"
    if text.count("*") > MAX_WILDCARDS:
        return f"more than {MAX_WILDCARDS} wildcards"
    if text.count("/") > MAX_SLASHES:
        return f"more than {MAX_SLASHES} path parts"
    return ""
