"""A fleet of processes: routers, ledgers, couriers, each with its clocks, and a link from each to each."""

import random
import socket
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import anyio

from quartzrouter.fault_harness.history import History
from quartzrouter.fault_harness.processes import FleetProcess
from quartzrouter.fault_harness.proxied_links import ProxiedLink
from quartzrouter.fault_harness.skewed_clocks import ClockPage
from quartzrouter.purge_log.errors import UnreachableError
from quartzrouter.purge_log.query_client import QueryClient as LedgerClient
from quartzrouter.purges.messages import MembersQuery

UP_WITHIN = 20.0  # s for a process to listen: Python starts in one, many at once on few cores in more
JOINED_WITHIN = 15.0


class Clocks(NamedTuple):
    """Of a party: us by which the wall clock is off, parts in a million by which both run fast."""

    offset: int = 0
    drift: int = 0


TRUE = Clocks()


class Fleet:
    """:param folder: for plans, logs and what parties keep.
    :param grace: us, of purges.
    """

    def __init__(self, folder: Path, chance: random.Random, grace: int = 300_000):
        self.folder, self.chance, self.grace = folder, chance, grace
        self.history = History()
        self.routers: list[FleetProcess] = []
        self.ledgers: list[FleetProcess] = []
        self.others: list[FleetProcess] = []
        self.ports: list[int] = []  # of routers
        self.ledger_ports: list[int] = []
        self.held: list[socket.socket] = []  # for as long as the fleet is there
        self.links: list[list[ProxiedLink]] = []  # of each router, to each ledger
        self.logs = open(folder / "log", "ab")  # noqa: SIM115 - for as long as the children live

    # -- parties -------------------------------------------------------------------------------------------

    async def add_ledger(
        self,
        plan: Path | None = None,
        standby: int | None = None,
        clocks: Clocks = TRUE,
        mutations: Sequence[str] = (),
        folder: str = "ledger",
    ) -> FleetProcess:
        """:param standby: the ledger, by its number, that it takes over from."""
        port = self._reserve_port()
        beside = f"127.0.0.1:{self.ledger_ports[standby]}" if standby is not None else "-"
        at, n = self.folder / folder, len(self.ledgers)
        told = ["ledger", str(at), f"127.0.0.1:{port}", str(self.grace), str(plan or "-"), beside, *mutations]
        self.ledgers.append(self._add_process(f"ledger{n}", told, clocks, at))
        self.ledger_ports.append(port)
        return self.ledgers[-1]

    async def add_links(self, tasks: anyio.abc.TaskGroup) -> int:
        """Links from one more router to all ledgers, and that router's port; gives its number."""
        links = [ProxiedLink(("127.0.0.1", port), self.chance) for port in self.ledger_ports]
        for link in links:
            await link.start(tasks)
        self.links.append(links)
        self.ports.append(self._reserve_port())
        return len(self.links) - 1

    def add_router(
        self, n: int, plan: str, clocks: Clocks = TRUE, mutations: Sequence[str] = ()
    ) -> FleetProcess:
        """:param plan: its text; the file may be written anew for a reload."""
        path = self.plan_path(n)
        path.write_text(plan)
        self.routers.append(self._add_process(f"r{n}", ["router", str(path), *mutations], clocks))
        return self.routers[-1]

    def add_keeper(
        self, name: str, plan: str, clocks: Clocks = TRUE, mutations: Sequence[str] = ()
    ) -> FleetProcess:
        """:param plan: its text, with the address at which it listens."""
        path, folder = self.folder / f"{name}.plan", self.folder / name
        path.write_text(plan)
        told = ["keeper", str(path), name, str(folder), *mutations]
        self.others.append(self._add_process(name, told, clocks, folder))
        return self.others[-1]

    def add_claimant(
        self,
        party: str,
        name: str,
        plan: str,
        task: str,
        witness: int,
        clocks: Clocks = TRUE,
        mutations: Sequence[str] = (),
    ) -> FleetProcess:
        """:param plan: its text, with the addresses at which it reaches keepers.
        :param witness: the port of whoever it acts on.
        """
        path = self.folder / f"{party}.plan"
        path.write_text(plan)
        self.others.append(
            self._add_process(party, ["claimant", str(path), task, name, str(witness), *mutations], clocks)
        )
        return self.others[-1]

    def add_command(self, name: str, *words: str) -> FleetProcess:
        self.others.append(self._add_process(name, ["cli", *words], Clocks()))
        return self.others[-1]

    def _reserve_port(self) -> int:
        """A port that nobody else gets: held by a socket that doesn't listen, beside which its party may."""
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("127.0.0.1", 0))
        self.held.append(held)
        return held.getsockname()[1]

    def plan_path(self, n: int) -> Path:
        return self.folder / f"r{n}.plan"

    def _add_process(
        self, name: str, told: list[str], clocks: Clocks, folder: Path | None = None
    ) -> FleetProcess:
        page = ClockPage(self.folder / f"{name}.clocks", *clocks)
        return FleetProcess(name, told, page, self.logs, self.history, folder)

    @property
    def processes(self) -> list[FleetProcess]:
        return [*self.routers, *self.ledgers, *self.others]

    def close(self) -> None:
        for party in self.processes:
            party.kill()
        for held in self.held:
            held.close()
        self.logs.close()

    def read_log(self) -> str:
        return (self.folder / "log").read_text(errors="replace")

    def fault_log_lines(self) -> list[str]:
        """Lines in which a process tells of a fault of its own."""
        return [
            line for line in self.read_log().splitlines() if '"kind": "fault"' in line or "Traceback" in line
        ]

    # -- waiting -------------------------------------------------------------------------------------------

    async def wait_until_listening(self, port: int) -> None:
        with anyio.fail_after(UP_WITHIN):
            while True:
                try:
                    async with await anyio.connect_tcp("127.0.0.1", port):
                        return
                except OSError:
                    await anyio.sleep(0.02)

    async def wait_until_all_joined(self) -> None:
        for port in self.ports:
            await self.wait_until_listening(port)
        await self.wait_until_joined()

    async def wait_until_joined(self) -> bool:
        """Until all routers are live members of a ledger that answers; False where that takes too long."""
        client = LedgerClient([("127.0.0.1", port) for port in self.ledger_ports], 1.0)
        try:
            with anyio.move_on_after(JOINED_WITHIN):
                while True:
                    if await self._live(client) == len(self.routers):
                        return True
                    await anyio.sleep(0.02)
        finally:
            await client.close()
        return False

    @staticmethod
    async def _live(client: LedgerClient) -> int:
        try:
            members = (await client.ask(MembersQuery())).members
        except UnreachableError:
            return 0
        return sum(member.is_live and member.kind == "router" for member in members)
