"""A router under a plan as a member of the fleet: what answers tell of copies, and the file of marks."""

import re
import secrets
from pathlib import Path

import msgspec

from quartzrouter.config.model import Plan
from quartzrouter.purge_log.disk import write_whole
from quartzrouter.purges import tags
from quartzrouter.purges.fleet_purges import CachedCopy, FleetPurges
from quartzrouter.purges.messages import Purge
from quartzrouter.purges.replica import PurgeReplica

AGE = re.compile(r"-?\d{1,12}")
TELL_EVERY = 10.0  # s between lines about what was asked for again and merged
SAVE_EVERY = 2.0  # s between writings of the file: so much is heard again after a restart
SILENT_LEASES = 4  # without a word, until a connection is taken for broken


class StoredPurges(msgspec.Struct):
    """What is marked, by this machine's clock."""

    held: int
    floor: int
    recent: tuple[tuple[int, Purge], ...]


_encode, _decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(StoredPurges).decode


def joined(plan: Plan) -> tuple[FleetPurges, PurgeReplica] | None:
    """The fleet's purges at this router, and its way to hear of them; None where the plan names no ledger."""
    told = plan.purges
    if not told:
        return None
    fleet = FleetPurges(
        told["grace"],
        told["life"],
        told["marks"],
        told["objects"],
        told["clock_skew"],
        remembers=bool(told["file"]),
    )
    name = told["name"] or f"{plan.deployment['name']}-{plan.deployment['number']}"
    return fleet, PurgeReplica(name, "router", secrets.token_hex(8), fleet.lease, life=told["life"])


def copy_of(fields: dict[str, str]) -> CachedCopy:
    """What an answer's fields tell of its copy, which has X-Minted."""
    age = fields.get("x-age-ms", "")
    return CachedCopy(
        int(fields["x-minted"]) * 1000,
        int(age) * 1000 + 999 if AGE.fullmatch(age) else None,
        tags.read(fields.get("cache-tag"), fields.get("surrogate-key"), fields.get("cache-groups")),
    )


def memo(fleet: FleetPurges, held: int) -> StoredPurges:
    return StoredPurges(held, fleet.known_from, tuple(fleet.recent))


def save(path: str, memo: StoredPurges) -> None:
    """Writes the file anew, whole or not at all.  Raises OSError."""
    write_whole(path, _encode(memo))


def resume(path: str, fleet: FleetPurges, follower: PurgeReplica, now: int) -> str:
    """Reads the file; gives what was wrong with it, if anything: then all is heard from the ledger."""
    try:
        memo = _decode(Path(path).read_bytes())
    except FileNotFoundError:
        return ""
    except (msgspec.DecodeError, OSError) as error:
        return f"{path}: {error}; the ledger is asked for all that matters"
    fleet.resume(memo.recent, memo.held, memo.floor, now)
    follower.held = memo.held
    return ""
