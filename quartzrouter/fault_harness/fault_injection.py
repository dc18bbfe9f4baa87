"""Faults that every fleet supports: links that are cut, slow, lossy and reset, and wall clocks that jump."""

import anyio

from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_harness.fleet import Fleet
from quartzrouter.fault_harness.processes import FleetProcess
from quartzrouter.fault_harness.proxied_links import LinkDirection, ProxiedLink

MICROSECONDS_PER_SECOND = 1_000_000


class FaultInjectedFleet(Fleet):
    """A fleet to which schedules of faults are played.

    Each kind of fault is a method of that name with a leading underscore. `line_fault_rate` is the share of
    lines that are lost, doubled or swapped while no fault sets another one.
    """

    line_fault_rate = 0.0

    def links_of(self, name: str) -> list[ProxiedLink]:
        """Returns the links that a fault with this target affects."""
        raise NotImplementedError

    def process_named(self, name: str) -> FleetProcess:
        """Returns the process of that name."""
        return next(each for each in self.processes if each.name == name)

    def directions_of(self, name: str) -> list[LinkDirection]:
        """Returns both directions of each link that a fault with this target affects."""
        return [direction for link in self.links_of(name) for direction in link.directions]

    async def inject(self, fault: Fault) -> None:
        """Starts a fault, waits for its duration and ends it."""
        self.history.add("fault", fault.target, kind=fault.kind, lasts=fault.duration_ms, much=fault.amount)
        await getattr(self, f"_{fault.kind}")(fault)

    async def _cut(self, fault: Fault) -> None:
        """Blocks links: both directions (amount 0), only to the server (1) or only from it (2)."""
        for link in self.links_of(fault.target):
            link.up.is_blocked, link.down.is_blocked = fault.amount in (0, 1), fault.amount in (0, 2)
        await anyio.sleep(fault.duration_ms / 1000)
        for link in self.links_of(fault.target):
            link.block(False)

    async def _late(self, fault: Fault) -> None:
        """Delays each line by `amount` seconds."""
        for direction in self.directions_of(fault.target):
            direction.delay = fault.amount
        await anyio.sleep(fault.duration_ms / 1000)
        for direction in self.directions_of(fault.target):
            direction.delay = 0.0

    async def _spoil(self, fault: Fault) -> None:
        """Loses, doubles or swaps the share of lines that `amount` says."""
        for direction in self.directions_of(fault.target):
            direction.fault_rate = fault.amount
        await anyio.sleep(fault.duration_ms / 1000)
        for direction in self.directions_of(fault.target):
            direction.fault_rate = self.line_fault_rate

    async def _reset(self, fault: Fault) -> None:
        """Closes all connections of the links."""
        for link in self.links_of(fault.target):
            link.reset()

    async def _jump(self, fault: Fault) -> None:
        """Sets a process's wall clock ahead by `amount` seconds, and back again."""
        clock_page = self.process_named(fault.target).clock_page
        offset = clock_page.offset
        clock_page.set_offset(offset + int(fault.amount * MICROSECONDS_PER_SECOND))
        await anyio.sleep(fault.duration_ms / 1000)
        clock_page.set_offset(offset)
