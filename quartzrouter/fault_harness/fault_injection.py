"""Faults that every fleet of a stand knows: lines that are cut, late, spoilt and reset, clocks that jump."""

import anyio

from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_harness.fleet import Fleet
from quartzrouter.fault_harness.processes import FleetProcess
from quartzrouter.fault_harness.proxied_links import LinkDirection, ProxiedLink

S = 1_000_000  # us


class FaultInjectedFleet(Fleet):
    """A fleet to which schedules are played; each kind of fault is a method of its name.

    `spoil` is the share of lines that are spoilt where no fault says so.
    """

    spoil = 0.0

    def links_of(self, name: str) -> list[ProxiedLink]:
        """The links that a fault at that name strikes."""
        raise NotImplementedError

    def party(self, name: str) -> FleetProcess:
        return next(each for each in self.parties if each.name == name)

    def ways(self, name: str) -> list[LinkDirection]:
        return [way for link in self.links_of(name) for way in link.ways]

    async def strike(self, fault: Fault) -> None:
        """Does it, waits, and mends it."""
        self.history.add("fault", fault.who, kind=fault.what, lasts=fault.lasts, much=fault.much)
        await getattr(self, f"_{fault.what}")(fault)

    async def _cut(self, fault: Fault) -> None:
        """Nothing passes: both ways, or one (1: to the server, 2: from it)."""
        for link in self.links_of(fault.who):
            link.up.held, link.down.held = fault.much in (0, 1), fault.much in (0, 2)
        await anyio.sleep(fault.lasts / 1000)
        for link in self.links_of(fault.who):
            link.hold(False)

    async def _late(self, fault: Fault) -> None:
        for way in self.ways(fault.who):
            way.late = fault.much
        await anyio.sleep(fault.lasts / 1000)
        for way in self.ways(fault.who):
            way.late = 0.0

    async def _spoil(self, fault: Fault) -> None:
        for way in self.ways(fault.who):
            way.spoil = fault.much
        await anyio.sleep(fault.lasts / 1000)
        for way in self.ways(fault.who):
            way.spoil = self.spoil

    async def _reset(self, fault: Fault) -> None:
        for link in self.links_of(fault.who):
            link.reset()

    async def _jump(self, fault: Fault) -> None:
        """The wall clock is set by so many s, and back."""
        page = self.party(fault.who).page
        off = page.off
        page.jump(off + int(fault.much * S))
        await anyio.sleep(fault.lasts / 1000)
        page.jump(off)
