"""The key that identifies a state of the purge model.

Times are replaced by ages, capped where greater ones make no difference, and ids of acknowledgements by the
ages of the acknowledgements. So states from which the same can follow have the same key.
"""

from collections.abc import Hashable, Iterable

from quartzrouter.model_checking.purge_world import (
    GRACE,
    START,
    STEP,
    Connection,
    PurgeLogProcess,
    RouterProcess,
    World,
)
from quartzrouter.purges.freshness_lease import lease_length
from quartzrouter.purges.messages import Heartbeat, MemberAck, Purge, PurgeBatch


class StateKey:
    """The key of one state."""

    def __init__(self, world: World):
        self.world = world

    def key(self) -> Hashable:
        """Returns the key."""
        world = self.world
        max_age = GRACE + 1 + world.remaining["steps"] * STEP
        return (
            tuple(world.remaining.values()),
            tuple(self._purge_log(number, purge_log) for number, purge_log in enumerate(world.purge_logs)),
            tuple(self._router(number, router) for number, router in enumerate(world.routers)),
            self._purges(world.disk),
            self._purges(world.promised),
            min(world.now - START, max_age),
        )

    def _age(self, time: int | None, longest: int = GRACE) -> int:
        if time is None:
            return longest + 1
        return min(self.world.now - time, longest + 1)

    def _lease_age(self, time: int | None) -> int:
        return self._age(time, lease_length(GRACE))

    def _purges(self, purges: Iterable[Purge]) -> tuple:
        return tuple((purge.sequence_number, self._age(purge.purged_at)) for purge in purges)

    def _echo_age(self, number: int, ack_id: int) -> int:
        """Returns the age of the acknowledgement with this id: nothing else about the id matters."""
        return self._lease_age(self.world.routers[number].replica.unechoed_acks.get(ack_id))

    def _purge_log(self, number: int, purge_log: PurgeLogProcess) -> tuple:
        if not purge_log.is_alive:
            return (False,)
        registry = purge_log.registry
        members = []
        for router_number, router in enumerate(self.world.routers):
            member = registry.members.by_name.get(f"r{router_number}")
            if member:
                is_connected = router.connection and router.connection.purge_log == number
                sent_acks = router.replica.unechoed_acks if is_connected else {}
                acks = tuple(
                    (sent_acks[ack.ack_id], self._age(ack.received_at))
                    for ack in member.acks
                    if ack.ack_id in sent_acks
                )
                liveness = (
                    self._lease_age(member.last_heard_at),
                    member.has_acknowledged,
                    member.has_left,
                )
                members.append((router_number, member.applied_up_to, liveness, acks))
        checked_echoes = sorted(
            (router_number, self._echo_age(router_number, ack_id))
            for router_number, ack_id in purge_log.checked_echoes.items()
        )
        until_older_leases_end = max(0, registry.older_leases_end - self.world.now)
        return (
            registry.head,
            registry.complete_up_to,
            (self._age(registry.last_purged_at), until_older_leases_end),
            self._purges(registry.purges),
            tuple(members),
            tuple(checked_echoes),
        )

    def _router(self, number: int, router: RouterProcess) -> tuple:
        replica = router.replica
        fleet_purges = router.fleet_purges
        received = (
            replica.applied_up_to,
            replica.epoch,
            replica.is_welcomed,
            replica.clock_offset if replica.clock_offsets else None,
        )
        in_force = (
            self._lease_age(fleet_purges.lease.started_at),
            tuple((purge.sequence_number, self._age(time)) for time, purge in fleet_purges.recent),
            fleet_purges.low_watermark,
            fleet_purges.index.expired_up_to,
            router.may_connect,
        )
        connection = self._connection(number, router.connection) if router.connection else None
        return (received, in_force, connection)

    def _connection(self, number: int, connection: Connection) -> tuple:
        to_router = tuple(self._message(number, message) for message in connection.to_router)
        to_purge_log = tuple(
            (ack.applied_up_to, self._echo_age(number, ack.ack_id))
            for ack in connection.to_purge_log
            if isinstance(ack, MemberAck)
        )
        return (connection.purge_log, connection.sent_up_to, connection.may_beat, to_router, to_purge_log)

    def _message(self, number: int, message) -> tuple:
        if isinstance(message, Heartbeat):
            echo_age = self._echo_age(number, message.echoed_ack)
            clock_offset = self.world.now - message.server_time
            return ("beat", message.epoch, message.head, echo_age, clock_offset)
        purges = self._purges(message.purges) if isinstance(message, PurgeBatch) else ()
        return (type(message).__name__, *purges)
