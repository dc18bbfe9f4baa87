"""Messages from the purge log, to its members and to clients.

The field ``say`` of each message holds its tag.
"""

# Tags and field names on the wire are kept for compatibility. Where they differ from the names here:
#
#     tag         class
#     "taken"     PurgeAccepted
#     "refused"   RequestRejected
#     "welcome"   Welcome
#     "purges"    PurgeBatch
#     "snapshot"  Snapshot
#     "beat"      Heartbeat
#     "caught"    CaughtUp
#     "status"    PurgeStatus
#     "members"   MembersReply
#     "grants"    QuotaGrants
#     "budgets"   QuotaStatus
#     "judged"    EjectionVerdicts
#     "views"     HealthReply
#
#     field       field here
#     number      PurgeAccepted.sequence_number
#     when        PurgeAccepted.purged_at
#     promise     PurgeAccepted.promised_within
#     again       PurgeAccepted.is_duplicate
#     come_back   RequestRejected.retry_after
#     now         Welcome.server_time
#     lease       Welcome.lease_length
#     grants      Welcome.grants_quota
#     judges      Welcome.aggregates_health
#     floor       Snapshot.low_watermark
#     last        Snapshot.is_last_page
#     echo        Heartbeat.echoed_ack
#     now         Heartbeat.server_time
#     number      PurgeStatus.sequence_number
#     what        PurgeStatus.description
#     when        PurgeStatus.purged_at
#     complete    PurgeStatus.is_complete
#     took        PurgeStatus.completed_after
#     promise     PurgeStatus.promised_within
#     missing     PurgeStatus.waiting_for
#     held        MemberStatus.applied_up_to
#     live        MemberStatus.is_live
#     away        MemberStatus.is_unreachable
#     heard       MemberStatus.silent_for
#     colds       QuotaGrants.slow_start_grants
#     colds       QuotaStatus.slow_starts
#     judgements  EjectionVerdicts.verdicts
#     judgements  StoreHealth.verdicts
#     counts      StoreHealth.loads
#     views       HealthReply.stores

import msgspec

from quartzrouter.fleet_health.messages import CacheLoad, EjectionVerdict
from quartzrouter.purges.client_messages import MemberKind
from quartzrouter.purges.purge import Purge
from quartzrouter.quota.messages import BudgetState, QuotaGrant, QuotaRefusal
from quartzrouter.quota.slow_start_messages import SlowStartGrant, SlowStartState


class PurgeAccepted(msgspec.Struct, tag_field="say", tag="taken", omit_defaults=True):
    """Confirms that a purge is durable.

    :param purged_at: microseconds of the purge log's wall clock.
    :param promised_within: microseconds within which every live member is expected to apply it.
    :param is_duplicate: True if it had been accepted before under its idempotency key.
    """

    sequence_number: int = msgspec.field(name="number")
    purged_at: int = msgspec.field(name="when")
    promised_within: int = msgspec.field(name="promise")
    is_duplicate: bool = msgspec.field(default=False, name="again")


class RequestRejected(msgspec.Struct, tag_field="say", tag="refused", omit_defaults=True):
    """Rejects a request, which had no effect.

    :param place: the field or part that is wrong.
    :param retry_after: microseconds after which to retry; 0 if the request can't succeed unchanged.
    """

    place: str
    reason: str
    remedy: str
    retry_after: int = msgspec.field(default=0, name="come_back")


class Welcome(msgspec.Struct, tag_field="say", tag="welcome"):
    """Accepts a member.

    :param head: the sequence number of the last durable purge.
    :param server_time: microseconds of the purge log's wall clock.
    :param lease_length: microseconds, counted from when an echoed acknowledgement was sent.
    :param grants_quota: True if the purge log grants shares of budgets; an older one omits the field.
    :param aggregates_health: True if the purge log aggregates health reports into verdicts; an older one
        omits the field.
    """

    epoch: int
    head: int
    server_time: int = msgspec.field(name="now")
    lease_length: int = msgspec.field(name="lease")
    grants_quota: bool = msgspec.field(default=False, name="grants")
    aggregates_health: bool = msgspec.field(default=False, name="judges")


class PurgeBatch(msgspec.Struct, tag_field="say", tag="purges"):
    """Consecutive purges in the order of their sequence numbers."""

    purges: tuple[Purge, ...]


class Snapshot(msgspec.Struct, tag_field="say", tag="snapshot"):
    """One page of the purges that a member still needs, in place of all purges up to ``head``.

    :param low_watermark: microseconds of the purge log's wall clock; some purges accepted before it are
        no longer sent.
    :param is_last_page: True if no further page of this snapshot follows.
    """

    head: int
    low_watermark: int = msgspec.field(name="floor")
    purges: tuple[Purge, ...]
    is_last_page: bool = msgspec.field(name="last")


class Heartbeat(msgspec.Struct, tag_field="say", tag="beat"):
    """Shows that the purge log is alive and has sent every purge up to ``head`` on this connection.

    :param echoed_ack: the id of the last acknowledgement that was read before the head was read.
    :param server_time: microseconds of the purge log's wall clock.
    """

    epoch: int
    head: int
    echoed_ack: int = msgspec.field(name="echo")
    server_time: int = msgspec.field(name="now")


class CaughtUp(msgspec.Struct, tag_field="say", tag="caught"):
    """The progress of each cache.

    :param caches: the sequence number up to which each cache has purged; unreachable ones are omitted.
    """

    caches: dict[str, int]


class PurgeStatus(msgspec.Struct, tag_field="say", tag="status"):
    """The progress of a purge.

    :param purged_at: microseconds of the purge log's wall clock.
    :param is_complete: True if every live member has applied it.
    :param completed_after: microseconds until the last acknowledgement; 0 if it is not complete.
    :param promised_within: microseconds, as promised when it was accepted.
    :param waiting_for: names of the live members that haven't acknowledged it.
    :param head: the sequence number of the last durable purge.
    :param delays: microseconds by percentile since the start, and the counts ``purges`` and ``missed``.
    """

    sequence_number: int = msgspec.field(name="number")
    description: str = msgspec.field(name="what")
    purged_at: int = msgspec.field(name="when")
    is_complete: bool = msgspec.field(name="complete")
    completed_after: int = msgspec.field(name="took")
    promised_within: int = msgspec.field(name="promise")
    waiting_for: tuple[str, ...] = msgspec.field(name="missing")
    head: int
    delays: dict[str, int]


class MemberStatus(msgspec.Struct):
    """The status of one member.

    :param applied_up_to: the sequence number that it acknowledged last.
    :param is_live: True if its lease may still be valid, so that purges wait for it.
    :param is_unreachable: True if it represents a cache that can't be reached.
    :param silent_for: microseconds since its last message.
    """

    name: str
    kind: MemberKind
    applied_up_to: int = msgspec.field(name="held")
    is_live: bool = msgspec.field(name="live")
    is_unreachable: bool = msgspec.field(name="away")
    silent_for: int = msgspec.field(name="heard")


class MembersReply(msgspec.Struct, tag_field="say", tag="members"):
    """All members and the head of the purge log."""

    epoch: int
    head: int
    members: tuple[MemberStatus, ...]


class QuotaGrants(msgspec.Struct, tag_field="say", tag="grants", omit_defaults=True):
    """Answers QuotaRequests.

    :param refused: refusals, by the budget or endpoint of the request.
    :param slow_start_grants: shares of slow-start budgets.
    """

    grants: tuple[QuotaGrant, ...]
    refused: dict[str, QuotaRefusal] = {}
    slow_start_grants: tuple[SlowStartGrant, ...] = msgspec.field(default=(), name="colds")


class QuotaStatus(msgspec.Struct, tag_field="say", tag="budgets"):
    """The state of the most recently requested budgets, limited to one page.

    :param refused: the number of requests that were refused since the start.
    :param slow_starts: recently started endpoints and their grants; also limited to one page.
    """

    epoch: int
    budgets: tuple[BudgetState, ...]
    refused: int
    slow_starts: tuple[SlowStartState, ...] = msgspec.field(default=(), name="colds")


class EjectionVerdicts(msgspec.Struct, tag_field="say", tag="judged", omit_defaults=True):
    """The caches to eject at present; caches that are not named are not ejected.

    :param loads: how many requests all routers have in flight at each cache, or -1 if that is not known; a
        cache that is not named has none. None if the loads were not requested.
    """

    verdicts: tuple[EjectionVerdict, ...] = msgspec.field(name="judgements")
    loads: dict[str, int] | None = None


class StoreHealth(msgspec.Struct):
    """The health of the caches of one store."""

    store: str
    verdicts: tuple[EjectionVerdict, ...] = msgspec.field(name="judgements")
    loads: tuple[CacheLoad, ...] = msgspec.field(name="counts")


class HealthReply(msgspec.Struct, tag_field="say", tag="views"):
    """The health of all caches by store."""

    epoch: int
    stores: tuple[StoreHealth, ...] = msgspec.field(name="views")


FromPurgeLog = (
    PurgeAccepted
    | RequestRejected
    | Welcome
    | PurgeBatch
    | Snapshot
    | Heartbeat
    | CaughtUp
    | PurgeStatus
    | MembersReply
    | QuotaGrants
    | QuotaStatus
    | EjectionVerdicts
    | HealthReply
)
