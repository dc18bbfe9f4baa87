"""Messages to the purge log, from its members and from clients.

Each has the name of its type in the field ``say``.
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
    """Asks for a purge; the fields are those of a Purge."""

    kind: PurgeKind
    values: tuple[str, ...] = ()
    vhost: str = ""
    store: str = ""
    key: str = ""


class MemberHello(msgspec.Struct, tag_field="say", tag="hello", omit_defaults=True):
    """Joins as a member and asks for every purge after ``applied_up_to``.

    :param token: of the process: another token under the same name is another process.
    :param applied_up_to: the sequence number up to which every purge is applied at the member.
    :param epoch: the highest epoch of the purge log that the member knows of.
    :param purge_lifetime: microseconds for which a purge matters to the member; 0 for ever.
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
    :param is_unreachable: the member stands for a cache that can't be reached, so purges don't wait for it.
    :param settled_up_to: of a member that stands for a cache: no fill can bring what these purges make stale;
        None: as far as they are applied. An older purge log ignores it.
    """

    applied_up_to: int = msgspec.field(name="held")
    ack_id: int = msgspec.field(name="mark")
    is_unreachable: bool = msgspec.field(default=False, name="away")
    settled_up_to: int | None = msgspec.field(default=None, name="settled")


class MemberLeave(msgspec.Struct, tag_field="say", tag="leave"):
    """The member stops on purpose: no purge waits for it any more."""


class StatusQuery(msgspec.Struct, tag_field="say", tag="status", omit_defaults=True):
    """Asks how far a purge has come.

    :param sequence_number: 0 for the last purge.
    """

    sequence_number: int = msgspec.field(default=0, name="number")


class MembersQuery(msgspec.Struct, tag_field="say", tag="members"):
    """Asks which members there are, and what each has applied."""


class QuotaRequests(msgspec.Struct, tag_field="say", tag="asks", omit_defaults=True):
    """A member asks for shares of budgets; sent only where the Welcome offers quota.

    :param slow_start_requests: requests for shares of slow-start budgets; an older purge log ignores them.
    """

    requests: tuple[QuotaRequest, ...] = msgspec.field(name="asks")
    slow_start_requests: tuple[SlowStartRequest, ...] = msgspec.field(default=(), name="colds")


class HealthReport(msgspec.Struct, tag_field="say", tag="sights", omit_defaults=True):
    """A router reports its observations of its store's caches; sent only where the Welcome offers verdicts.

    :param observations: a cache without one is not ejected, and nothing new is known of it.
    :param cache_count: how many caches the router knows.
    :param wants_loads: whether it wants to know how many requests all routers have in flight at each cache.
    """

    store: str
    observations: tuple[CacheObservation, ...] = msgspec.field(name="sights")
    cache_count: int = msgspec.field(name="caches")
    wants_loads: bool = msgspec.field(default=False, name="loads")


class HealthQuery(msgspec.Struct, tag_field="say", tag="views"):
    """Asks for the health of all caches, as aggregated from routers' reports."""


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
