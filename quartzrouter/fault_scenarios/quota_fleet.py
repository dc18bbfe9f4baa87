"""A fleet of processes on loopback that share limits, the load on it, and the faults injected into it."""

import random
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path

import anyio

from quartzrouter.config.loader import load
from quartzrouter.config.quantity import parse_quantity
from quartzrouter.configuration_section import parse_address
from quartzrouter.fault_harness.counting_cache import CountingCache
from quartzrouter.fault_harness.fault_injection import FaultInjectedFleet
from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_harness.fleet import Clocks
from quartzrouter.fault_harness.load_generator import LoadGenerator
from quartzrouter.fault_harness.processes import FleetProcess
from quartzrouter.fault_harness.proxied_links import ProxiedLink
from quartzrouter.pool_routing.shared_limits import shared_budgets
from quartzrouter.quota.budget import SECOND, Budget

RATE_PATH = "/calls/"  # requests that count in the shared rate
SLOTS_PATH = "/crowd/"  # requests that count in the shared concurrency
RATE_LIMIT = "calls"  # names of the limits in the plan
SLOTS_LIMIT = "crowd"
RATE_RESPONSE_SECONDS = (0.002, 0.01)  # at a cache, least and most
SLOT_CLIENT_PAUSE_SECONDS = (0.05, 0.2)  # from a response to the client's next request, least and most
REQUESTS_PER_CLIENT = 20  # per second: a client sends its next request only after the response to the last
MAX_WALL_CLOCK_ERROR_SECONDS = 5
STANDBY_ARGUMENT = 5  # index in a purge log's arguments of the address of the log that it is a standby for
TAKEOVER_NOTICE_SECONDS = 1.0  # in which a resumed purge log notices its successor and ends

PLAN = """{{
  deployment: {{
    name: "s", home: "north", listen: "127.0.0.1:{port}", number: {number}, routers: {routers},
    descriptors: 256, dispatches: {max_attempts}, hearsay: {peer_ejection}, {deployment_keys}
  }},
  stores: {{ north: {{ hub: "h" }} }}, hubs: {{ h: {{}} }},
  caches: {{ {listed} }},
  vhosts: {{
    page: {{ effect: "replayable", client_timeout: {timeout}, kept: false, {traffic_class_keys} }},
  }},
  purges: {{ ledgers: [{ledgers}], life: 10s, grace: {purge_grace} }},
  pools: {{ near: {{}} }},
  limits: {{
    calls: {{
      rate: {rate}/s, burst: {burst}, across: "fleet", floors: {rate_guarantee}, share_life: {grant_ttl}
    }},
    crowd: {{ concurrent: {slots}, across: "fleet", floors: {slots_guarantee}, share_life: {grant_ttl} }},
    again: {{
      rate: {retry_rate}/s, burst: {retry_rate}, counts: "repeats", across: "fleet", share_life: {grant_ttl}
    }},
  }},
  routes: {{
    calls: {{ match: {{ path: "/calls/**" }}, vhost: "page", pool: "near", limits: ["calls", "again"] }},
    crowd: {{ match: {{ path: "/crowd/**" }}, vhost: "page", pool: "near", limits: "crowd" }},
    all: {{ match: {{}}, vhost: "page", pool: "near" }},
  }},
}}"""


@dataclass(frozen=True)
class ScenarioSize:
    """The size of a play, and the settings of its fleet and its load.

    :param routers: how many routers run.
    :param caches: how many caches the store has.
    :param rate: requests per second of the shared rate.
    :param burst: the burst of the shared rate.
    :param rate_guarantee: the share of the rate that is guaranteed, as the plan writes it.
    :param slots: the slots of the shared concurrency.
    :param slots_guarantee: the share of the slots that is guaranteed, as the plan writes it.
    :param grant_ttl: the time to live of grants, as the plan writes it.
    :param response_time: least and most seconds that a request counted in slots is at a cache.
    :param timeout: the client timeout, as the plan writes it.
    :param cancels_abandoned: True if caches abandon requests whose router has closed its connection.
    :param purge_grace: the grace of purges, as the plan writes it. A connection to a purge log ends after
        four fifths of it without a message.
    :param first_router_share: the share of the demand for the rate that arrives at router 0.
    :param demand: requests per second for the rate at all routers together.
    :param slot_clients: clients at each router that request slots.
    :param seconds: how long the load lasts.
    :param line_fault_rate: the share of messages that are spoilt from the start.
    :param line_fault_kinds: the ways in which messages are spoilt.
    :param slots_checked_from: milliseconds after the start from which the bound on slots must hold.
    :param peer_ejection: whether routers eject caches by each other's reports, as the plan writes it.
    :param cache_links: True if each router has a link to each cache that can be cut.
    :param max_clock_drift: parts per million by which clocks run fast or slow at most.
    :param fault_free_time: milliseconds at the start in which the use of the budgets is measured.
    :param max_attempts: attempts per request at most.
    :param retry_rate: retries per second, a shared limit.
    :param cache_weight: the weight of each cache: the transfers that its link carries.
    :param traffic_class_keys: more keys of the traffic class, as the plan writes them.
    :param deployment_keys: more keys of the deployment, as the plan writes them.
    :param unlisted_caches: how many of the first caches no plan lists until a fault ``list``.
    """

    routers: int = 12
    caches: int = 4
    rate: int = 80
    burst: int = 16
    rate_guarantee: str = "20%"
    slots: int = 24
    slots_guarantee: str = "50%"
    grant_ttl: str = "500ms"
    response_time: tuple[float, float] = (0.15, 0.35)
    timeout: str = "1s"
    cancels_abandoned: bool = True
    purge_grace: str = "300ms"
    first_router_share: float = 0.8
    demand: float = 96.0
    slot_clients: int = 3
    seconds: float = 30.0
    line_fault_rate: float = 0.02
    line_fault_kinds: tuple[str, ...] = ("lose", "double", "swap")
    slots_checked_from: int = 0
    peer_ejection: str = "false"
    cache_links: bool = False
    max_clock_drift: int = 150
    fault_free_time: int = 5_000
    max_attempts: int = 2
    retry_rate: int = 10_000
    cache_weight: float = 400
    traffic_class_keys: str = ""
    deployment_keys: str = ""
    unlisted_caches: int = 0

    @property
    def other_router_demand(self) -> float:
        """Returns the requests per second for the rate at each router except the first."""
        return (1 - self.first_router_share) * self.demand / max(1, self.routers - 1)


class QuotaFleet(FaultInjectedFleet):
    """Two purge logs on one folder, the second as standby; routers with a link to each; counting caches.

    :param folder: holds plans, logs and the purge logs' folder.
    :param chance: the generator of everything random.
    :param size: the size of the play.
    :param mutations: names of guards that are removed from all processes.
    """

    def __init__(
        self, folder: Path, chance: random.Random, size: ScenarioSize, mutations: Sequence[str] = ()
    ):
        super().__init__(folder, chance, parse_quantity(size.purge_grace).us)
        self.size = size
        self.line_fault_rate = size.line_fault_rate
        self.mutations = mutations
        self.caches: list[CountingCache] = []
        self.cache_addresses: list[str] = []
        self.clients: list[LoadGenerator] = []
        self.budgets: dict[str, Budget] = {}
        self.cache_links: list[list[ProxiedLink]] = []  # by router, then by cache
        self.routers_with_slot_demand = set(range(size.routers))
        self.unlisted_caches = size.unlisted_caches

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts caches, links and processes; returns before the processes listen."""
        self.tasks = tasks
        await self._start_caches(tasks)
        shared_plan = self.folder / "shared.plan"
        for standby in (None, 0):
            await self.add_ledger(shared_plan, standby, self._draw_clocks(), self.mutations)
        for _ in range(self.size.routers):
            await self._add_router_with_links(tasks)
        shared_plan.write_text(self.plan(0))
        plan = load(str(shared_plan)).plan
        self.budgets = {budget.name: budget for budget in shared_budgets(plan, plan.stores)}
        for party in self.processes:
            party.start()
            if party is self.ledgers[0]:
                await self.wait_until_listening(self.ledger_ports[0])

    async def _start_caches(self, tasks: anyio.abc.TaskGroup) -> None:
        for index in range(self.size.caches):
            cache = CountingCache(f"n{index}", self.history, self.chance, self._response_time)
            cache.cancels_abandoned = self.size.cancels_abandoned
            self.caches.append(cache)
            self.cache_addresses.append(await cache.start(tasks))

    async def _add_router_with_links(self, tasks: anyio.abc.TaskGroup) -> None:
        index = await self.add_links(tasks)
        cache_links = [
            ProxiedLink(parse_address(cache, "cache"), self.chance, is_line_based=False)
            for cache in self.cache_addresses
        ]
        if self.size.cache_links:
            for link in cache_links:
                await link.start(tasks)
        self.cache_links.append(cache_links)
        self.add_router(index, self.plan(index), self._draw_clocks(), self.mutations)
        for link in self.links[index]:
            for direction in link.directions:
                direction.fault_rate = self.size.line_fault_rate
                direction.fault_kinds = self.size.line_fault_kinds

    def _draw_clocks(self) -> Clocks:
        error = self.chance.randint(-MAX_WALL_CLOCK_ERROR_SECONDS, MAX_WALL_CLOCK_ERROR_SECONDS) * SECOND
        drift = self.chance.randint(-self.size.max_clock_drift, self.size.max_clock_drift)
        return Clocks(error, drift)

    def plan(self, index: int, **changes) -> str:
        """Returns the text of a router's plan.

        :param changes: values of ``PLAN`` that replace those of the size.
        """
        ledgers = ", ".join(f'"127.0.0.1:{link.port}"' for link in self.links[index])
        weight = self.size.cache_weight
        caches = [
            f'n{cache}: {{ address: "{cache_address}", at: "north", weight: {weight} }}'
            for cache, cache_address in enumerate(self._cache_addresses_of(index))
            if cache >= self.unlisted_caches
        ]
        origin = 'o: { address: "127.0.0.1:1", at: "h", tier: "origin", weight: 400 }'
        listed = ", ".join([*caches, origin])
        values = asdict(self.size) | changes
        return PLAN.format(port=self.ports[index], number=index, listed=listed, ledgers=ledgers, **values)

    def _cache_addresses_of(self, router: int) -> list[str]:
        """Returns the addresses at which a router reaches the caches."""
        if not self.size.cache_links:
            return self.cache_addresses
        return [f"127.0.0.1:{link.port}" for link in self.cache_links[router]]

    def _response_time(self, path: str) -> float:
        """Draws the seconds that a cache takes for a request."""
        bounds = self.size.response_time if path.startswith(SLOTS_PATH) else RATE_RESPONSE_SECONDS
        return self.chance.uniform(*bounds)

    # -- load ----------------------------------------------------------------------------------------------

    def start_load(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the clients of all routers."""
        for router in range(self.size.routers):
            self._add_rate_clients(router)
            self._add_slot_clients(router)
        for client in self.clients:
            tasks.start_soon(client.run)

    def _add_rate_clients(self, router: int) -> None:
        is_first = router == 0
        size = self.size
        demand = size.first_router_share * size.demand if is_first else size.other_router_demand
        clients = max(1, round(demand / REQUESTS_PER_CLIENT))
        for client in range(clients):
            next_pause = partial(self._draw_interval, clients / demand)
            path = f"{RATE_PATH}r{router}.{client}"
            self.clients.append(LoadGenerator(path, self.history, self.ports[router], next_pause))

    def _add_slot_clients(self, router: int) -> None:
        for client in range(self.size.slot_clients):
            next_pause = partial(self.chance.uniform, *SLOT_CLIENT_PAUSE_SECONDS)
            has_demand = partial(self._has_slot_demand, router)
            path = f"{SLOTS_PATH}r{router}.{client}"
            self.clients.append(LoadGenerator(path, self.history, self.ports[router], next_pause, has_demand))

    def _has_slot_demand(self, router: int) -> bool:
        return router in self.routers_with_slot_demand

    def _draw_interval(self, interval: float) -> float:
        """Draws seconds around an average interval, so that the load is uneven."""
        return self.chance.uniform(0.6, 1.4) * interval

    def end_load(self) -> None:
        """Makes all clients end after their current request."""
        for client in self.clients:
            client.is_stopping = True

    # -- faults, each a method by the name that schedules use ------------------------------------------------

    def links_of(self, name: str) -> list[ProxiedLink]:
        """Returns a router's links to the purge logs: both for `r3`, that to the second for `r3/1`."""
        router, _, ledger = name[1:].partition("/")
        links = self.links[int(router)]
        return [links[int(ledger)]] if ledger else links

    async def _only(self, fault: Fault) -> None:
        """Limits the demand for slots to these routers from now on; ``all`` restores it at all of them."""
        if fault.target == "all":
            self.routers_with_slot_demand = set(range(self.size.routers))
        else:
            self.routers_with_slot_demand = {int(name[1:]) for name in fault.target.split()}

    async def _part(self, fault: Fault) -> None:
        """Cuts a router off from the second cache for `r3/1`, and from all caches for `r3`."""
        router, _, cache = fault.target[1:].partition("/")
        links = self.cache_links[int(router)]
        links = [links[int(cache)]] if cache else links
        for link in links:
            link.block()
        await anyio.sleep(fault.duration_ms / 1000)
        for link in links:
            link.block(False)

    async def _bad(self, fault: Fault) -> None:
        """Makes a cache answer a share of its requests with an error."""
        cache = self.caches[int(fault.target[1:])]
        cache.error_rate = fault.amount
        await anyio.sleep(fault.duration_ms / 1000)
        cache.error_rate = 0.0

    async def _lost(self, fault: Fault) -> None:
        """Stops a cache, and starts it again at the same port."""
        cache = self.caches[int(fault.target[1:])]
        cache.stop()
        await anyio.sleep(fault.duration_ms / 1000)
        await cache.start(self.tasks)

    async def _stop(self, fault: Fault) -> None:
        """Suspends a process with SIGSTOP; a purge log that resumes notices its successor and ends."""
        party = self.process_named(fault.target)
        party.stop()
        await anyio.sleep(fault.duration_ms / 1000)
        party.resume()
        if party in self.ledgers:
            await anyio.sleep(TAKEOVER_NOTICE_SECONDS)
            if not party.is_running:
                self._restart(party)

    async def _kill(self, fault: Fault) -> None:
        """Kills a process and restarts it; an amount other than 0 deletes its folder."""
        party = self.process_named(fault.target)
        party.kill()
        if fault.amount:
            party.delete_folder()
        await anyio.sleep(fault.duration_ms / 1000)
        self._restart(party)

    def _restart(self, party: FleetProcess) -> None:
        """Restarts a process; a purge log becomes the standby of the other one if that runs."""
        if party in self.ledgers:
            other = 1 - self.ledgers.index(party)
            other_address = f"127.0.0.1:{self.ledger_ports[other]}"
            party.arguments[STANDBY_ARGUMENT] = other_address if self.ledgers[other].is_running else "-"
        party.start()

    async def _list(self, _fault: Fault) -> None:
        """Makes all routers read a plan that lists all caches; routers take the new ones for just started."""
        self.unlisted_caches = 0
        for index, router in enumerate(self.routers):
            self.plan_path(index).write_text(self.plan(index))
            router.reload()

    async def _reload(self, fault: Fault) -> None:
        """Makes a purge log or a router read a plan with as many slots as the amount says."""
        slots = int(fault.amount)
        if fault.target.startswith("ledger"):
            (self.folder / "shared.plan").write_text(self.plan(0, slots=slots))
        else:
            index = int(fault.target[1:])
            self.plan_path(index).write_text(self.plan(index, slots=slots))
        self.process_named(fault.target).reload()
