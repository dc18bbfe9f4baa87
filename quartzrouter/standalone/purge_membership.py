"""A standalone router as a member of the purge log: what responses tell of copies, and its stored purges."""

import re
import secrets
from pathlib import Path
from typing import NamedTuple

import msgspec

from quartzrouter.config.model import Plan
from quartzrouter.purge_log.disk import write_atomically
from quartzrouter.purges.fleet_purges import AppliedPurge, CachedCopy, FleetPurges
from quartzrouter.purges.replica import PurgeReplica
from quartzrouter.purges.surrogate_tags import parse_tags

AGE = re.compile(r"-?\d{1,12}")  # value of X-Age-Ms
MICROSECONDS_PER_MILLISECOND = 1_000
AGE_ROUNDING = MICROSECONDS_PER_MILLISECOND - 1  # us that an age in milliseconds may be too short
REPORT_INTERVAL = 10.0  # s between log lines about stale copies and merged index entries
SAVE_INTERVAL = 2.0  # s between writings of the file: so much is received again after a restart
SILENCE_TIMEOUT_LEASES = 4  # without a message, until the connection to the purge log counts as broken


class StoredPurges(msgspec.Struct):
    """The file of purges in force, by this machine's clock.

    :param applied_up_to: the sequence number up to which every purge was in force.
    :param low_watermark: microseconds; some purges accepted before it are missing.
    :param recent: purges in force, each behind its time in microseconds of this machine's clock.
    """

    applied_up_to: int = msgspec.field(name="held")
    low_watermark: int = msgspec.field(name="floor")
    recent: tuple[AppliedPurge, ...]


class Membership(NamedTuple):
    """The fleet's purges at this router, and the replica that receives them."""

    fleet_purges: FleetPurges
    replica: PurgeReplica


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(StoredPurges).decode


def join_fleet(plan: Plan) -> Membership | None:
    """Returns this router's membership; None where the plan names no purge log."""
    settings = plan.purges
    if not settings:
        return None
    fleet_purges = FleetPurges(
        settings["grace"],
        settings["life"],
        settings["marks"],
        settings["objects"],
        settings["clock_skew"],
        keeps_recent=bool(settings["file"]),
    )
    name = settings["name"] or f"{plan.deployment['name']}-{plan.deployment['number']}"
    replica = PurgeReplica(
        name, "router", secrets.token_hex(8), fleet_purges.lease, purge_lifetime=settings["life"]
    )
    return Membership(fleet_purges, replica)


def copy_from_headers(headers: dict[str, str]) -> CachedCopy:
    """Returns what a response tells of its copy.

    :param headers: by names in lower case; ``x-minted`` is among them.
    """
    age_ms = headers.get("x-age-ms", "")
    age = int(age_ms) * MICROSECONDS_PER_MILLISECOND + AGE_ROUNDING if AGE.fullmatch(age_ms) else None
    tags = parse_tags(headers.get("cache-tag"), headers.get("surrogate-key"), headers.get("cache-groups"))
    return CachedCopy(int(headers["x-minted"]) * MICROSECONDS_PER_MILLISECOND, age, tags)


def stored_purges(fleet_purges: FleetPurges, applied_up_to: int) -> StoredPurges:
    """Returns what is to be stored of the purges in force."""
    return StoredPurges(applied_up_to, fleet_purges.recent_low_watermark, tuple(fleet_purges.recent))


def save(path: str, stored: StoredPurges) -> None:
    """Replaces the file, whole or not at all.

    :raises OSError: where it can't be written.
    """
    write_atomically(path, _encode(stored))


def restore(path: str, fleet_purges: FleetPurges, replica: PurgeReplica, now: int) -> str:
    """Puts the purges of the file in force, where there is one.

    :param now: microseconds of this machine's wall clock.
    :returns: what is wrong with the file, in which case all is received from the purge log; otherwise empty.
    """
    try:
        stored = _decode(Path(path).read_bytes())
    except FileNotFoundError:
        return ""
    except (msgspec.DecodeError, OSError) as error:
        return f"{path}: {error}; the ledger is asked for all that matters"
    fleet_purges.restore(stored.recent, stored.applied_up_to, stored.low_watermark, now)
    replica.applied_up_to = stored.applied_up_to
    return ""
