"""A fleet of processes: routers, purge logs and others, each with its own clocks, and links between them."""

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
from quartzrouter.purge_log.query_client import QueryClient
from quartzrouter.purges.messages import MembersQuery

# s until a process listens: Python starts in one, and takes longer if many start at once on few cores
LISTEN_TIMEOUT = 20.0
JOIN_TIMEOUT = 15.0  # s until all routers are live members of a purge log


class Clocks(NamedTuple):
    """How the clocks of a process are wrong.

    :param offset: us by which the wall clock is ahead.
    :param drift: parts per million by which both clocks run fast.
    """

    offset: int = 0
    drift: int = 0


ACCURATE_CLOCKS = Clocks()


class Fleet:
    """The processes of one run.

    :param folder: for plans, logs and the files that processes store.
    :param grace: us within which a purge must hold.
    """

    def __init__(self, folder: Path, chance: random.Random, grace: int = 300_000):
        self.folder, self.chance, self.grace = folder, chance, grace
        self.history = History()
        self.routers: list[FleetProcess] = []
        self.ledgers: list[FleetProcess] = []
        self.others: list[FleetProcess] = []
        self.ports: list[int] = []  # of routers
        self.ledger_ports: list[int] = []
        self.reserved_sockets: list[socket.socket] = []  # open until the fleet is closed
        self.links: list[list[ProxiedLink]] = []  # by router, to each purge log
        self.log_file = open(folder / "log", "ab")  # noqa: SIM115 - open until the fleet is closed

    # -- processes -----------------------------------------------------------------------------------------

    async def add_ledger(
        self,
        plan: Path | None = None,
        standby: int | None = None,
        clocks: Clocks = ACCURATE_CLOCKS,
        mutations: Sequence[str] = (),
        folder: str = "ledger",
    ) -> FleetProcess:
        """Adds a purge log, without starting it.

        :param standby: the index of the purge log that it stands by for, and takes over from.
        """
        port = self._reserve_port()
        standby_of = f"127.0.0.1:{self.ledger_ports[standby]}" if standby is not None else "-"
        path, index = self.folder / folder, len(self.ledgers)
        arguments = [
            "ledger",
            str(path),
            f"127.0.0.1:{port}",
            str(self.grace),
            str(plan or "-"),
            standby_of,
            *mutations,
        ]
        self.ledgers.append(self._add_process(f"ledger{index}", arguments, clocks, path))
        self.ledger_ports.append(port)
        return self.ledgers[-1]

    async def add_links(self, tasks: anyio.abc.TaskGroup) -> int:
        """Starts links from one more router to all purge logs, and reserves that router's port.

        :returns: the router's index.
        """
        links = [ProxiedLink(("127.0.0.1", port), self.chance) for port in self.ledger_ports]
        for link in links:
            await link.start(tasks)
        self.links.append(links)
        self.ports.append(self._reserve_port())
        return len(self.links) - 1

    def add_router(
        self, index: int, plan: str, clocks: Clocks = ACCURATE_CLOCKS, mutations: Sequence[str] = ()
    ) -> FleetProcess:
        """Adds a router, without starting it.

        :param plan: its text; the file may be rewritten for a reload.
        """
        path = self.plan_path(index)
        path.write_text(plan)
        self.routers.append(self._add_process(f"r{index}", ["router", str(path), *mutations], clocks))
        return self.routers[-1]

    def add_keeper(
        self, name: str, plan: str, clocks: Clocks = ACCURATE_CLOCKS, mutations: Sequence[str] = ()
    ) -> FleetProcess:
        """Adds a keeper, without starting it.

        :param plan: its text, with the address at which the keeper listens.
        """
        path, folder = self.folder / f"{name}.plan", self.folder / name
        path.write_text(plan)
        arguments = ["keeper", str(path), name, str(folder), *mutations]
        self.others.append(self._add_process(name, arguments, clocks, folder))
        return self.others[-1]

    def add_claimant(
        self,
        process_name: str,
        name: str,
        plan: str,
        task: str,
        witness: int,
        clocks: Clocks = ACCURATE_CLOCKS,
        mutations: Sequence[str] = (),
    ) -> FleetProcess:
        """Adds a claimant, without starting it.

        :param name: the name under which it asks for the lease; several processes may use the same.
        :param plan: its text, with the addresses at which it reaches keepers.
        :param witness: the port of the witness that it acts on.
        """
        path = self.folder / f"{process_name}.plan"
        path.write_text(plan)
        self.others.append(
            self._add_process(
                process_name, ["claimant", str(path), task, name, str(witness), *mutations], clocks
            )
        )
        return self.others[-1]

    def add_command(self, name: str, *words: str) -> FleetProcess:
        """Adds a process that runs a command of the command line, without starting it."""
        self.others.append(self._add_process(name, ["cli", *words], Clocks()))
        return self.others[-1]

    def _reserve_port(self) -> int:
        """Returns a free port that no other process gets.

        A bound socket that doesn't listen reserves it; the fleet's own process may still listen at it.
        """
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        self.reserved_sockets.append(reserved)
        return reserved.getsockname()[1]

    def plan_path(self, index: int) -> Path:
        """Returns the path of a router's plan."""
        return self.folder / f"r{index}.plan"

    def _add_process(
        self, name: str, arguments: list[str], clocks: Clocks, folder: Path | None = None
    ) -> FleetProcess:
        clock_page = ClockPage(self.folder / f"{name}.clocks", *clocks)
        return FleetProcess(name, arguments, clock_page, self.log_file, self.history, folder)

    @property
    def processes(self) -> list[FleetProcess]:
        """All processes: routers, purge logs and others."""
        return [*self.routers, *self.ledgers, *self.others]

    def close(self) -> None:
        """Kills all processes, and releases the ports and the log file."""
        for process in self.processes:
            process.kill()
        for reserved in self.reserved_sockets:
            reserved.close()
        self.log_file.close()

    def read_log(self) -> str:
        """Returns what all processes have logged."""
        return (self.folder / "log").read_text(errors="replace")

    def fault_log_lines(self) -> list[str]:
        """Returns the log lines in which a process reports an internal fault."""
        return [
            line for line in self.read_log().splitlines() if '"kind": "fault"' in line or "Traceback" in line
        ]

    # -- waiting -------------------------------------------------------------------------------------------

    async def wait_until_listening(self, port: int) -> None:
        """Waits until a process listens at a port.

        :raises TimeoutError: if none does within LISTEN_TIMEOUT.
        """
        with anyio.fail_after(LISTEN_TIMEOUT):
            while True:
                try:
                    async with await anyio.connect_tcp("127.0.0.1", port):
                        return
                except OSError:
                    await anyio.sleep(0.02)

    async def wait_until_all_joined(self) -> None:
        """Waits until all routers listen and have joined a purge log."""
        for port in self.ports:
            await self.wait_until_listening(port)
        await self.wait_until_joined()

    async def wait_until_joined(self) -> bool:
        """Waits until all routers are live members of a purge log that answers.

        :returns: False if they aren't within JOIN_TIMEOUT.
        """
        client = QueryClient([("127.0.0.1", port) for port in self.ledger_ports], 1.0)
        try:
            with anyio.move_on_after(JOIN_TIMEOUT):
                while True:
                    if await self._live_router_count(client) == len(self.routers):
                        return True
                    await anyio.sleep(0.02)
        finally:
            await client.close()
        return False

    @staticmethod
    async def _live_router_count(client: QueryClient) -> int:
        try:
            members = (await client.ask(MembersQuery())).members
        except UnreachableError:
            return 0
        return sum(member.is_live and member.kind == "router" for member in members)
