"""A router under a plan as a member of the fleet: what answers tell of copies, and the file of marks."""

import contextlib
import os
import re
import secrets
from typing import Any

import msgspec

from quartzrouter.force.ruling import digits
from quartzrouter.plan.model import Plan
from quartzrouter.purges import tags
from quartzrouter.purges.fleet import Copy, Fleet
from quartzrouter.purges.follower import Follower
from quartzrouter.purges.words import Purge

AGE = re.compile(r"-?\d{1,12}")
SAVE_EVERY = 2.0  # s between writings of the file: so much is heard again after a restart
SILENT_LEASES = 4  # without a word, until a connection is taken for broken


class Memo(msgspec.Struct):
    """What is marked, by this machine's clock."""

    held: int
    floor: int
    recent: tuple[tuple[int, Purge], ...]


_encode, _decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Memo).decode


def joined(plan: Plan) -> tuple[Fleet, Follower] | None:
    """The fleet's purges at this router, and its way to hear of them; None where the plan names no ledger."""
    told = plan.purges
    if not told:
        return None
    fleet = Fleet(told["grace"], told["life"], told["marks"], told["objects"], told["clock_skew"], digits)
    name = told["name"] or f"{plan.deployment['name']}-{plan.deployment['number']}"
    return fleet, Follower(name, "router", secrets.token_hex(8), fleet.lease, life=told["life"])


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def copy_of(fields: dict[str, str]) -> Copy:
    """What an answer's fields tell of its copy, which has X-Minted."""
    age = fields.get("x-age-ms", "")
    return Copy(
        int(fields["x-minted"]) * 1000,
        int(age) * 1000 + 999 if AGE.fullmatch(age) else None,
        tags.read(fields.get("cache-tag"), fields.get("surrogate-key"), fields.get("cache-groups")),
    )


def save(path: str, fleet: Fleet) -> None:
    """Writes the file anew; either the old one or the new one is found after a crash.  Raises OSError."""
    data = _encode(Memo(fleet.held, fleet.known_from, tuple(fleet.recent)))
    with open(f"{path}.new", "wb") as file:
        file.write(data)
        file.flush()
        os.fdatasync(file.fileno())
    os.replace(f"{path}.new", path)


def resume(path: str, fleet: Fleet, follower: Follower, now: int) -> str:
    """Reads the file; gives what was wrong with it, if anything: then all is heard from the ledger."""
    with contextlib.suppress(FileNotFoundError):
        try:
            with open(path, "rb") as file:
                memo: Any = _decode(file.read())
        except (msgspec.DecodeError, OSError) as error:
            if isinstance(error, FileNotFoundError):
                raise
            return f"{path}: {error}; the ledger is asked for all that matters"
        fleet.resume(memo.recent, memo.held, memo.floor, now)
        follower.held = memo.held
    return ""
