"""Messages to the purge log, from its members and from clients.

The field ``say`` of each message holds its tag.
"""

# Tags and field names on the wire are kept for compatibility. Where they differ from the names here:
#
#     tag        class
#     "send"     PurgeRequest
#     "hello"    MemberHello
#     "ack"      MemberAck
#     "leave"    MemberLeave
#     "status"   StatusQuery
#     "members"  MembersQuery
#     "asks"     QuotaRequests
#     "sights"   HealthReport
#     "views"    HealthQuery
#     "budgets"  QuotaQuery
#
#     field      field here
#     held       MemberHello.applied_up_to
#     life       MemberHello.purge_lifetime
#     held       MemberAck.applied_up_to
#     mark       MemberAck.ack_id
#     away       MemberAck.is_unreachable
#     number     StatusQuery.sequence_number
#     asks       QuotaRequests.requests
#     colds      QuotaRequests.slow_start_requests
#     sights     HealthReport.observations
#     caches     HealthReport.cache_count
#     loads      HealthReport.wants_loads

from typing import Literal

import msgspec

from quartzrouter.fleet_health.messages import CacheObservation
from quartzrouter.purges.purge import PurgeKind
from quartzrouter.quota.messages import QuotaRequest
from quartzrouter.quota.slow_start_messages import SlowStartRequest

MemberKind = Literal["router", "cache", "watcher"]


class PurgeRequest(msgspec.Struct, tag_field="say", tag="send", omit_defaults=True):
    """Requests a purge; the fields are those of a Purge."""

    kind: PurgeKind
    values: tuple[str, ...] = ()
    vhost: str = ""
    store: str = ""
    key: str = ""


class MemberHello(msgspec.Struct, tag_field="say", tag="hello", omit_defaults=True):
    """Joins as a member and requests every purge after ``applied_up_to``.

    :param token: identifies the process: another token with the same name is another process.
    :param applied_up_to: the sequence number up to which every purge is applied at the member.
    :param epoch: the highest epoch of the purge log that the member knows.
    :param purge_lifetime: microseconds for which the member needs a purge; 0 for no limit.
    """

    name: str
    kind: MemberKind
    token: str
    applied_up_to: int = msgspec.field(default=0, name="held")
    epoch: int = 0
    purge_lifetime: int = msgspec.field(default=0, name="life")


class MemberAck(msgspec.Struct, tag_field="say", tag="ack", omit_defaults=True):
    """Acknowledges that every purge up to a sequence number is applied at the member.

    :param ack_id: counts the acknowledgements of a connection; heartbeats echo it.
    :param is_unreachable: True if the member represents a cache that can't be reached, so that purges don't
        wait for it.
    :param settled_up_to: for a member that represents a cache, the sequence number up to which no fill can
        bring copies that the purges make stale; None if it equals ``applied_up_to``. An older purge log
        ignores it.
    """

    applied_up_to: int = msgspec.field(name="held")
    ack_id: int = msgspec.field(name="mark")
    is_unreachable: bool = msgspec.field(default=False, name="away")
    settled_up_to: int | None = msgspec.field(default=None, name="settled")


class MemberLeave(msgspec.Struct, tag_field="say", tag="leave"):
    """Announces that the member stops, so that no purge waits for it any more."""


class StatusQuery(msgspec.Struct, tag_field="say", tag="status", omit_defaults=True):
    """Asks for the progress of a purge.

    :param sequence_number: 0 for the last purge.
    """

    sequence_number: int = msgspec.field(default=0, name="number")


class MembersQuery(msgspec.Struct, tag_field="say", tag="members"):
    """Asks for all members and the purges that each has applied."""


class QuotaRequests(msgspec.Struct, tag_field="say", tag="asks", omit_defaults=True):
    """Requests shares of budgets for a member; sent only if the Welcome offers quota.

    :param slow_start_requests: requests for shares of slow-start budgets; an older purge log ignores them.
    """

    requests: tuple[QuotaRequest, ...] = msgspec.field(name="asks")
    slow_start_requests: tuple[SlowStartRequest, ...] = msgspec.field(default=(), name="colds")


class HealthReport(msgspec.Struct, tag_field="say", tag="sights", omit_defaults=True):
    """Reports a router's observations of its store's caches; sent only if the Welcome offers verdicts.

    :param observations: a cache without an observation is not ejected, and has no new results.
    :param cache_count: how many caches the router knows.
    :param wants_loads: True if the router asks how many requests all routers have in flight at each cache.
    """

    store: str
    observations: tuple[CacheObservation, ...] = msgspec.field(name="sights")
    cache_count: int = msgspec.field(name="caches")
    wants_loads: bool = msgspec.field(default=False, name="loads")


class HealthQuery(msgspec.Struct, tag_field="say", tag="views"):
    """Asks for the health of all caches, as aggregated from the reports of routers."""


class QuotaQuery(msgspec.Struct, tag_field="say", tag="budgets"):
    """Asks for the state of all budgets."""


ToPurgeLog = (
    PurgeRequest
    | MemberHello
    | MemberAck
    | MemberLeave
    | StatusQuery
    | MembersQuery
    | QuotaRequests
    | QuotaQuery
    | HealthReport
    | HealthQuery
)
