"""A standalone router's membership in the purge log: ages of copies in responses, and stored purges."""

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
from quartzrouter.server.header_fields import HeaderFields

AGE = re.compile(r"-?\d{1,12}")  # value of X-Age-Ms
MICROSECONDS_PER_MILLISECOND = 1_000
# Microseconds by which an age in milliseconds may be too short.
AGE_ROUNDING = MICROSECONDS_PER_MILLISECOND - 1
REPORT_INTERVAL = 10.0  # seconds between log lines about stale copies, merged index entries and quota
SAVE_INTERVAL = 2.0  # seconds between writes of the file; after a restart, later purges are received again
# Lengths of a lease without a message after which the connection to the purge log counts as broken.
SILENCE_TIMEOUT_LEASES = 4


class StoredPurges(msgspec.Struct):
    """The content of the file of purges in force, with times of this machine's clock in microseconds.

    :param applied_up_to: the sequence number up to which every purge was in force.
    :param low_watermark: some purges accepted before this time are missing.
    :param recent: purges in force, each preceded by its time.
    """

    applied_up_to: int = msgspec.field(name="held")
    low_watermark: int = msgspec.field(name="floor")
    recent: tuple[AppliedPurge, ...]


class Membership(NamedTuple):
    """A router's purges of the fleet, and the replica that receives them."""

    fleet_purges: FleetPurges
    replica: PurgeReplica


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(StoredPurges).decode


def join_fleet(plan: Plan) -> Membership | None:
    """Returns this router's membership, or None if the plan names no purge log."""
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


def copy_from_headers(fields: HeaderFields) -> CachedCopy:
    """Returns the copy's age and tags from a response.

    :param fields: the response's header fields; ``x-minted`` has to be a decimal number.
    """
    age_ms = fields.get("x-age-ms") or ""
    age = int(age_ms) * MICROSECONDS_PER_MILLISECOND + AGE_ROUNDING if AGE.fullmatch(age_ms) else None
    surrogate_key = fields.get("surrogate-key", separator=" ")
    tags = parse_tags(fields.get("cache-tag"), surrogate_key, fields.get("cache-groups"))
    return CachedCopy(int(fields.get("x-minted") or "") * MICROSECONDS_PER_MILLISECOND, age, tags)


def stored_purges(fleet_purges: FleetPurges, applied_up_to: int) -> StoredPurges:
    """Returns the content for the file of purges in force."""
    return StoredPurges(applied_up_to, fleet_purges.recent_low_watermark, tuple(fleet_purges.recent))


def save(path: str, stored: StoredPurges) -> None:
    """Replaces the file atomically.

    :raises OSError: if it can't be written.
    """
    write_atomically(path, _encode(stored))


def restore(path: str, fleet_purges: FleetPurges, replica: PurgeReplica, now: int) -> str:
    """Applies the purges in the file, if it exists.

    :param now: microseconds of this machine's wall clock.
    :returns: empty, or what is wrong with the file; then all purges are received from the purge log.
    """
    try:
        stored = _decode(Path(path).read_bytes())
    except FileNotFoundError:
        return ""
    except (msgspec.DecodeError, OSError) as error:
        return f"{path}: {error}; purges are received from the ledger instead"
    fleet_purges.restore(stored.recent, stored.applied_up_to, stored.low_watermark, now)
    replica.applied_up_to = stored.applied_up_to
    return ""
