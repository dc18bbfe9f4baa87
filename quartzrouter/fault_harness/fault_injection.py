"""Faults that every fleet of a stand knows: lines that are cut, late, spoilt and reset, clocks that jump."""

import anyio

from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_harness.fleet import Fleet
from quartzrouter.fault_harness.processes import FleetProcess
from quartzrouter.fault_harness.proxied_links import LinkDirection, ProxiedLink

S = 1_000_000  # us


class FaultInjectedFleet(Fleet):
    """A fleet to which schedules are played; each kind of fault is a method of its name.

    `line_fault_rate` is the share of lines that are spoilt where no fault says so.
    """

    line_fault_rate = 0.0

    def links_of(self, name: str) -> list[ProxiedLink]:
        """The links that a fault at that name strikes."""
        raise NotImplementedError

    def process_named(self, name: str) -> FleetProcess:
        return next(each for each in self.processes if each.name == name)

    def directions_of(self, name: str) -> list[LinkDirection]:
        return [way for link in self.links_of(name) for way in link.directions]

    async def inject(self, fault: Fault) -> None:
        """Does it, waits, and mends it."""
        self.history.add("fault", fault.target, kind=fault.kind, lasts=fault.duration_ms, much=fault.amount)
        await getattr(self, f"_{fault.kind}")(fault)

    async def _cut(self, fault: Fault) -> None:
        """Nothing passes: both ways, or one (1: to the server, 2: from it)."""
        for link in self.links_of(fault.target):
            link.up.is_blocked, link.down.is_blocked = fault.amount in (0, 1), fault.amount in (0, 2)
        await anyio.sleep(fault.duration_ms / 1000)
        for link in self.links_of(fault.target):
            link.block(False)

    async def _late(self, fault: Fault) -> None:
        for way in self.directions_of(fault.target):
            way.delay = fault.amount
        await anyio.sleep(fault.duration_ms / 1000)
        for way in self.directions_of(fault.target):
            way.delay = 0.0

    async def _spoil(self, fault: Fault) -> None:
        for way in self.directions_of(fault.target):
            way.fault_rate = fault.amount
        await anyio.sleep(fault.duration_ms / 1000)
        for way in self.directions_of(fault.target):
            way.fault_rate = self.line_fault_rate

    async def _reset(self, fault: Fault) -> None:
        for link in self.links_of(fault.target):
            link.reset()

    async def _jump(self, fault: Fault) -> None:
        """The wall clock is set by so many s, and back."""
        page = self.process_named(fault.target).clock_page
        offset = page.offset
        page.set_offset(offset + int(fault.amount * S))
        await anyio.sleep(fault.duration_ms / 1000)
        page.set_offset(offset)
