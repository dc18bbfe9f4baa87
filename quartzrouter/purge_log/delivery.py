"""The delivery process: joins the purge log as one member per cache, and sends purges by HTTP PURGE.

Its log and the documentation call it the courier. It uses two kinds of lease:

- the freshness lease of a member (``purges/freshness_lease.py``): while it is held, the member has received
  every purge that must hold;
- the task lease (``leases/``) of the delivery task: the right to deliver, which one delivery process holds at
  a time.
"""

import secrets
import signal
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import anyio

from quartzrouter.leases.handle import LeaseClient, LeaseHandle
from quartzrouter.purge_log.cache_connection import (
    CacheConnection,
    DeliveryError,
    DeliveryFencedError,
    DeliveryRefusedError,
)
from quartzrouter.purge_log.member_client import ConnectionOpened, MemberClient, MessageReceived
from quartzrouter.purges.delivery_plan import POLL_INTERVAL, Delivery, DeliveryQueue
from quartzrouter.purges.freshness_lease import FreshnessLease, lease_length
from quartzrouter.purges.messages import Heartbeat
from quartzrouter.purges.object_names import object_keys
from quartzrouter.purges.replica import ApplyPurges, EndConnection, PurgeReplica, SendMessage
from quartzrouter.server.clock import wall_clock
from quartzrouter.server.rate_limited_log import RateLimitedLog

CONNECTIONS_PER_CACHE = 2  # shared by the purges in flight
SILENCE_TIMEOUT_LEASES = 4  # leases without a message after which a connection counts as broken
UNCOUNTED_NUMBER = 0  # sent in place of a purge's number if the cache gets the purge again and counts it then
MICROSECONDS_PER_SECOND = 1e6
MICROSECONDS_PER_MILLISECOND = 1_000


class DeliveryWorker:
    """Delivers purges to one cache, and acknowledges them to the purge log as the cache confirms them.

    :param name: the name of the cache and of the member that represents it.
    :param address: the cache's address.
    :param purge_logs: the addresses of the purge logs.
    :param grace: microseconds within which a purge must hold at every router.
    :param rate: purges a second.
    :param lease_handle: the task lease; None if a single process delivers, without a lease.
    :param settle_time: microseconds between the two deliveries of a purge; 0 to deliver it once.
    :param parents: the workers of the parents that the cache fills from.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        purge_logs: Sequence[tuple[str, int]],
        grace: int,
        report: RateLimitedLog,
        rate: float,
        lease_handle: LeaseHandle | None = None,
        settle_time: int = 0,
        parents: "Sequence[DeliveryWorker]" = (),
    ):
        self.name = name
        self.report = report
        self.lease_handle = lease_handle
        parent_queues = [parent.queue for parent in parents]
        self.queue = DeliveryQueue(name, rate, settle_time=settle_time, parents=parent_queues)
        self.connections = [CacheConnection(address) for _ in range(CONNECTIONS_PER_CACHE)]
        freshness_lease_length = lease_length(grace)
        self.replica = PurgeReplica(
            name, "cache", secrets.token_hex(8), FreshnessLease(freshness_lease_length), acks_on_receipt=False
        )
        self.client = MemberClient(
            purge_logs, SILENCE_TIMEOUT_LEASES * freshness_lease_length, self._on_event, report
        )
        self.queue_changed = anyio.Event()
        self.deliveries_started = 0

    async def run(self) -> None:
        """Delivers until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            await self._poll_cache()
            tasks.start_soon(self.client.run)
            tasks.start_soon(self._poll_cache_at_intervals)
            while True:
                now = wall_clock()
                for delivery in self.queue.next_deliveries(now):
                    tasks.start_soon(self._deliver, delivery)
                self.queue_changed = anyio.Event()
                with anyio.move_on_after((self.queue.next_due_at(now) - now) / MICROSECONDS_PER_SECOND):
                    await self.queue_changed.wait()

    # -- the purge log -------------------------------------------------------------------------------------

    def _on_event(self, event: ConnectionOpened | MessageReceived) -> None:
        now = wall_clock()
        if isinstance(event, ConnectionOpened):
            self.client.send(self.replica.start_connection())
            return
        for effect in self.replica.receive(event.message, now):
            match effect:
                case ApplyPurges():
                    self._queue_purges(effect)
                case EndConnection(reason, reconnect_after):
                    self.client.reconnect(f"{self.name}: {reason}", reconnect_after)
                case SendMessage(message):
                    self.client.send(message)
        if isinstance(event.message, Heartbeat):
            self.queue.record_head(event.message.head)
        self._acknowledge(now)

    def _queue_purges(self, update: ApplyPurges) -> None:
        if update.is_snapshot and update.low_watermark:
            first_number = (
                update.purges[0].sequence_number if update.purges else self.replica.applied_up_to + 1
            )
            self.queue.add_full_purge(first_number - 1, update.low_watermark)
        unconfirmed = [purge for purge in update.purges if purge.sequence_number > self.queue.purged_up_to]
        self.queue.add(unconfirmed, update.clock_offset)
        self.queue_changed.set()

    def _acknowledge(self, now: int) -> None:
        """Tells the purge log which purges the cache has received, and which of those have settled.

        A cache that doesn't answer or is catching up counts as unreachable: no purge waits for it, and no
        router trusts its old copies.
        """
        if self.replica.is_welcomed:
            acknowledgement = self.replica.acknowledge(
                self.queue.delivered_up_to,
                now,
                is_unreachable=not self.queue.is_caught_up,
                settled_up_to=self.queue.purged_up_to,
            )
            self.client.send(acknowledgement.message)

    # -- the cache -----------------------------------------------------------------------------------------

    async def _poll_cache_at_intervals(self) -> None:
        while True:
            await anyio.sleep(POLL_INTERVAL / MICROSECONDS_PER_SECOND)
            if not self.queue.in_flight and wall_clock() >= self.queue.not_before:
                await self._poll_cache()

    async def _poll_cache(self) -> None:
        """Asks the cache up to which number it has purged; receives purges again that the cache has lost.

        If a delivery starts while the answer is on its way, the answer may lack what the cache has purged
        since. It is ignored; otherwise the purge just delivered would count as lost.
        """
        was_up = self.queue.is_up
        deliveries_before = self.deliveries_started
        try:
            purged_up_to = await self.connections[0].request("GET", "/purged", ())
        except DeliveryError as error:
            if was_up:
                self.report.say("cache", f"{self.name}: {error}; unreachable until it answers")
            self.queue.record_unreachable(wall_clock())
        else:
            if not was_up:
                self.report.say("cache", f"{self.name} answers, and has purged up to {purged_up_to}")
            if was_up and self.deliveries_started != deliveries_before:
                return
            lacks_nothing = self.queue.record_purged_up_to(
                purged_up_to, self.replica.applied_up_to, wall_clock()
            )
            if not lacks_nothing:
                self.replica.applied_up_to = purged_up_to
                self.client.reconnect(
                    f"{self.name}: the cache has lost purges; receiving again those after {purged_up_to}", 0
                )
        self._acknowledge(wall_clock())
        self.queue_changed.set()

    async def _deliver(self, delivery: Delivery) -> None:
        """Delivers one purge, unless the task lease is over.

        A process that continued after its lease, for example after a stall, would not know what its successor
        has delivered. The next holder of the lease asks the cache up to which number it has purged.
        """
        if self.lease_handle and not self.lease_handle.may_act():
            return
        sequence_number = delivery.purge.sequence_number
        self.deliveries_started += 1
        connection = self.connections[self.deliveries_started % CONNECTIONS_PER_CACHE]
        try:
            await connection.request("PURGE", "/", self._headers(delivery))
        except DeliveryError as error:
            self.report.say("cache", f"{self.name}: purge {sequence_number}: {error}")
            if isinstance(error, DeliveryRefusedError):
                self.queue.record_refusal(sequence_number, wall_clock())
            else:
                self.queue.record_unreachable(wall_clock())
            if isinstance(error, DeliveryFencedError) and self.lease_handle:
                self.lease_handle.handle_superseding_token(error.highest_token)
        else:
            self.queue.record_confirmation(sequence_number)
        self._acknowledge(wall_clock())
        self.queue_changed.set()

    def _headers(self, delivery: Delivery) -> list[tuple[str, str]]:
        purge = delivery.purge
        values = purge.values
        if purge.kind == "object":  # caches identify objects by the keys in request targets
            values = tuple(key for name in values for key in object_keys(name))
        headers = [
            ("X-Purge-Number", str(purge.sequence_number if delivery.is_final else UNCOUNTED_NUMBER)),
            ("X-Purge-Kind", purge.kind),
            ("X-Purge-Values", " ".join(values)),
            ("X-Purge-Older-Ms", str(delivery.age // MICROSECONDS_PER_MILLISECOND)),
            ("X-Purge-Done", str(self.queue.purged_up_to)),
        ]
        if self.lease_handle:
            headers.append(("X-Purge-Lease", str(self.lease_handle.fencing_token)))
        if purge.vhost:
            headers.append(("X-Purge-Vhost", purge.vhost))
        if purge.store:
            headers.append(("X-Purge-Store", purge.store))
        return headers


class DeliveryTarget(NamedTuple):
    """A cache that purges are delivered to.

    :param is_parent: True if other caches fill from it, and it fills from the origin.
    """

    address: tuple[str, int]
    is_parent: bool


class DeliverySettings(NamedTuple):
    """Settings of the delivery of purges.

    :param grace: microseconds within which a purge must hold at every router.
    :param rate: purges a second to each cache.
    :param settle_time: microseconds between the two deliveries of a purge to a cache that fills from parents.
    """

    grace: int
    rate: float
    settle_time: int


def delivery_workers(
    targets: Mapping[str, DeliveryTarget],
    purge_logs: Sequence[tuple[str, int]],
    settings: DeliverySettings,
    report: RateLimitedLog,
    lease_handle: LeaseHandle | None = None,
) -> list[DeliveryWorker]:
    """Returns a worker for each cache.

    :param targets: the caches by name.
    :param purge_logs: the addresses of the purge logs.
    :param lease_handle: the task lease; None if a single process delivers.
    """
    grace, rate, settle_time = settings
    parents = [
        DeliveryWorker(name, target.address, purge_logs, grace, report, rate, lease_handle)
        for name, target in targets.items()
        if target.is_parent
    ]
    caches = [
        DeliveryWorker(
            name, target.address, purge_logs, grace, report, rate, lease_handle, settle_time, parents
        )
        for name, target in targets.items()
        if not target.is_parent
    ]
    return parents + caches


async def deliver(
    targets: Mapping[str, DeliveryTarget],
    purge_logs: Sequence[tuple[str, int]],
    settings: DeliverySettings,
    report: RateLimitedLog,
    lease_client: LeaseClient | None = None,
    task: str = "",
) -> None:
    """Delivers purges to all caches until SIGTERM.

    :param targets: the caches by name.
    :param purge_logs: the addresses of the purge logs.
    :param lease_client: given if several processes may deliver; only the holder of the task's lease does.
    :param task: the task of delivering.
    """

    async def deliver_to_all(lease_handle: LeaseHandle | None = None) -> None:
        async with anyio.create_task_group() as workers:
            for worker in delivery_workers(targets, purge_logs, settings, report, lease_handle):
                workers.start_soon(worker.run)

    async with anyio.create_task_group() as tasks:
        if lease_client:
            tasks.start_soon(lease_client.run)
            tasks.start_soon(lease_client.perform, task, deliver_to_all)
        else:
            tasks.start_soon(deliver_to_all)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            async for number in received:
                report.say("process", f"{number.name}: stopping")
                if lease_client:
                    await lease_client.release()
                tasks.cancel_scope.cancel()
                return
