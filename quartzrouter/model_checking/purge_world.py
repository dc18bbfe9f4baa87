"""The state of the purge model: purge logs, routers, their connections, and the disk."""

from dataclasses import dataclass, field

from quartzrouter.purges.fleet_purges import FleetPurges
from quartzrouter.purges.freshness_lease import lease_length
from quartzrouter.purges.messages import FromPurgeLog, Purge, ToPurgeLog
from quartzrouter.purges.propagation_delays import PropagationDelays
from quartzrouter.purges.registry import PurgeRegistry
from quartzrouter.purges.replica import PurgeReplica

GRACE = 80  # microseconds within which a purge must hold
STEP = lease_length(GRACE)  # microseconds by which the clock advances at a time
START = 1_000  # microseconds, the time at which the copy was made
INDEX_LIFETIME = 1_000_000  # microseconds, longer than any history
OBJECT = "rose"


class NoDelays(PropagationDelays):
    """Records nothing, so that states can be copied fast: no decision depends on delays in the model."""

    def __init__(self) -> None:
        self.count = 0

    def add(self, delay: int) -> None:
        """Ignores a delay."""

    def percentile(self, percent: float) -> int:  # noqa: ARG002 - as in its base class
        """Returns 0, as if nothing was recorded."""
        return 0


@dataclass
class PurgeLogProcess:
    """A purge log.

    :param checked_echoes: by router, the echo of a heartbeat whose epoch was checked, until it is sent.
    """

    registry: PurgeRegistry
    is_alive: bool = True
    checked_echoes: dict[int, int] = field(default_factory=dict)


@dataclass
class Connection:
    """A router's connection.

    :param purge_log: the index of the purge log that it leads to.
    :param sent_up_to: the sequence number up to which purges were sent.
    :param may_beat: no heartbeat has begun in this step of time yet.
    :param to_router: messages in transit, the next to arrive first.
    :param to_purge_log: the last acknowledgement in transit, if any.
    """

    purge_log: int
    sent_up_to: int
    may_beat: bool = True
    to_router: list[FromPurgeLog] = field(default_factory=list)
    to_purge_log: list[ToPurgeLog] = field(default_factory=list)


@dataclass
class RouterProcess:
    """A router.

    :param may_connect: it has not connected in this step of time yet.
    """

    replica: PurgeReplica
    fleet_purges: FleetPurges
    connection: Connection | None = None
    may_connect: bool = True


@dataclass
class World:
    """One state of the model.

    :param now: microseconds; all clocks agree.
    :param disk: the purges that are on the disk that all purge logs share.
    :param promised: purges that were confirmed as durable.
    :param remaining: how often each thing may still happen.
    """

    now: int
    purge_logs: list[PurgeLogProcess]
    routers: list[RouterProcess]
    disk: list[Purge] = field(default_factory=list)
    promised: list[Purge] = field(default_factory=list)
    remaining: dict[str, int] = field(default_factory=dict)

    @property
    def newest_epoch(self) -> int:
        """The epoch of the purge log that started last."""
        return len(self.purge_logs)
