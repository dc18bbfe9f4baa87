"""The fleet of the purge scenario.

Routers, the purge log and the courier are processes; caches and clients run in this process.
"""

import random
import re
from functools import partial
from pathlib import Path

import anyio

from quartzrouter.fakes.caches import PurgeableCache
from quartzrouter.fakes.loopback import Client
from quartzrouter.fault_harness.fleet import Clocks, Fleet
from quartzrouter.fault_scenarios.purge_checker import (
    GRACE,
    SECOND,
    TAGS,
    CutOff,
    PurgeChecker,
    Response,
    tags_of,
)
from quartzrouter.purge_log.errors import UnreachableError
from quartzrouter.purge_log.query_client import QueryClient
from quartzrouter.purges.messages import PurgeAccepted, PurgeRequest, RequestRejected
from quartzrouter.server import process

CLIENT_TIMEOUT = "3s"  # so that a purge settles within INDEX_LIFETIME
INDEX_LIFETIME = "7s"  # of purges at routers: short, so that a cache can be unreachable for longer
STORES = ("north", "south")
PLANT_COUNT = 8
PAGES_PER_PLANT = 6
ORIGIN_SKEW_US = 3 * SECOND  # by which the origin's clock is ahead
PURGE_LOG_SKEWS_US = (-3 * SECOND, 2 * SECOND)  # by which the purge log's clock may be ahead
SLOW_FILL_SHARE = 0.05  # of copies: the origin takes far longer than the grace to make them
LAG_INTERVAL_US = 10_000  # between two measurements of how late this process wakes
REQUEST_TIMEOUT_SECONDS = 4.0  # routers answer within three
QUERY_TIMEOUT_SECONDS = 1.0
PURGE_TIMEOUT_US = 5 * SECOND  # a purge that no purge log accepts for that long is a failure
BODY_PATTERN = re.compile(rb"(\S+) (\d{16})")  # a copy: its path, and when it was made
RESPONSE_PATTERN = re.compile(r"\d+: Status: (\d+) .*? b'(.*)' end")
BODILESS_RESPONSE_PATTERN = re.compile(r"\d+: Status: (\d+)()")
NO_RESPONSE = "without an answer"
CUT_SHORT = "cut with its router"

PLAN = """{{
  deployment: {{
    name: "p", home: "{store}", listen: "127.0.0.1:{port}", number: {number}, routers: 6, descriptors: 256,
    dispatches: 4,
  }},
  stores: {{ north: {{ hub: "h" }}, south: {{ hub: "h" }} }}, hubs: {{ h: {{}} }},
  caches: {{ {caches} }},
  vhosts: {{
    page: {{
      effect: "replayable", client_timeout: {client_timeout}, first_byte_target: 2s, fresh_for: 0s
    }},
    photo: {{
      effect: "replayable", client_timeout: {client_timeout}, first_byte_target: 2s, fresh_for: 0s
    }},
  }},
  purges: {{ ledgers: ["127.0.0.1:{purge_log}"], life: {lifetime}, clock_skew: 4s, marks: 5000, {file} }},
  pools: {{ near: {{}} }},
  routes: {{
    photos: {{ match: {{ path: "/photos/**" }}, vhost: "photo", pool: "near" }},
    all: {{ match: {{}}, vhost: "page", pool: "near" }},
  }},
}}"""


class PurgedFleet(Fleet):
    """The routers, the purge log, the courier, the caches and the clients.

    :param chance: the generator of everything random.
    :param folder: holds plans, logs and stored files.
    :param router_count: how many routers run.
    :param cache_count: how many caches run, in equal parts in each store.
    :param mutations: names of guards that are removed from the routers.
    """

    def __init__(
        self,
        chance: random.Random,
        folder: Path,
        router_count: int,
        cache_count: int,
        mutations: tuple[str, ...],
    ):
        super().__init__(folder, chance, GRACE)
        self.mutations = mutations
        self.router_count = router_count
        self.cache_count = cache_count
        self.purge_log_skew = chance.choice(PURGE_LOG_SKEWS_US)
        self.checker = PurgeChecker(self.purge_log_skew)
        self.caches: dict[str, PurgeableCache] = {}
        self.stopping = anyio.Event()
        self.max_lag = 0  # largest delay of this process's own wake-ups, in microseconds
        self.is_purge_log_down = False  # killed by the scenario and not listening again yet

    # -- start ---------------------------------------------------------------------------------------------

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts caches, links and processes; returns before the processes listen."""
        self.cache_lines = ", ".join(await self._start_caches(tasks))
        await self.add_ledger(clocks=Clocks(self.purge_log_skew))
        for _ in range(self.router_count):
            number = await self.add_links(tasks)
            file = f'file: "{self.folder}/marks-{number}",' if number % 2 else ""
            plan = self._plan(number, self.links[number][0].port, file)
            self.add_router(number, plan, mutations=self.mutations)
        courier_plan = self.folder / "deliver.plan"
        courier_plan.write_text(self._plan(0, self.purge_log_port, ""))
        self.add_command("courier", "purge", "deliver", str(courier_plan))
        for party in self.processes:
            party.start()

    async def _start_caches(self, tasks: anyio.abc.TaskGroup) -> list[str]:
        """Starts caches, parents and the origin; returns their entries for a plan."""
        caches_per_store = self.cache_count // len(STORES)
        names = [(f"{store[0]}{n}", "cache", store) for store in STORES for n in range(caches_per_store)]
        names += [("h1", "parent", "h"), ("h2", "parent", "h"), ("o", "origin", "h")]
        addresses: dict[str, str] = {}
        lines = []
        for name, tier, location in names:
            is_origin = tier == "origin"
            cache = PurgeableCache(
                name,
                addresses,
                self.chance,
                is_origin,
                ORIGIN_SKEW_US,
                tags_of,
                self._draw_making_time if is_origin else partial(self.chance.uniform, 0.005, 0.06),
                fill_source="o",
            )
            await cache.start(tasks)
            addresses[name] = cache.address
            self.caches[name] = cache
            lines.append(
                f'{name}: {{ address: "{cache.address}", at: "{location}", tier: "{tier}", weight: 40 }}'
            )
        return lines

    @property
    def purge_log_port(self) -> int:
        """The port at which the purge log listens."""
        return self.ledger_ports[0]

    def _draw_making_time(self) -> float:
        """Draws the seconds that the origin takes to make a copy; a few take far longer than the grace."""
        if self.chance.random() < SLOW_FILL_SHARE:
            return self.chance.uniform(0.5, 1.0)
        return self.chance.uniform(0.01, 0.2)

    def _plan(self, number: int, purge_log_port: int, file: str) -> str:
        """Returns the text of a router's plan.

        :param file: the key for the file in which the router stores purges; empty for none.
        """
        return PLAN.format(
            store=STORES[number % len(STORES)],
            port=self.ports[number],
            number=number,
            caches=self.cache_lines,
            purge_log=purge_log_port,
            file=file,
            lifetime=INDEX_LIFETIME,
            client_timeout=CLIENT_TIMEOUT,
        )

    # -- load ----------------------------------------------------------------------------------------------

    async def run_client(self, router: int, seed: int) -> None:
        """Sends requests to one router, one after the other, until the fleet is stopping."""
        chance = random.Random(seed)
        client: Client | None = None
        request_id = seed << 20
        while not self.stopping.is_set():
            plant = min(int(chance.expovariate(0.4)), PLANT_COUNT - 1)
            page = chance.randrange(PAGES_PER_PLANT)
            path = f"/{chance.choice(('photos', 'pages'))}/p{plant}/{page}"
            request_id += 1
            try:
                if client is None:
                    client = Client(await anyio.connect_tcp("127.0.0.1", self.ports[router]))
                is_answered = await self._request(client, router, path, request_id)
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError) as error:
                client = None
                if isinstance(error, TimeoutError):
                    self.checker.outcomes[NO_RESPONSE] += 1
                else:
                    await anyio.sleep(0.05)
                continue
            if not is_answered:
                client = None
                continue
            await anyio.sleep(chance.uniform(0.005, 0.04))

    async def _request(self, client: Client, router: int, path: str, request_id: int) -> bool:
        """Sends one request; returns False if its router was killed meanwhile."""
        sent_at = process.wall_clock()
        fields = {"HTTP_X_SUBJECT": None, "HTTP_X_CHUNK": None, "HTTP_X_DEADLINE_MS": "3000"}
        fields["HTTP_X_CORRELATION_ID"] = f"{request_id:016x}"
        await client.send_request(1, path=path, **fields)
        with anyio.fail_after(REQUEST_TIMEOUT_SECONDS):
            text = await client.receive_response()
        matched = RESPONSE_PATTERN.match(text) or BODILESS_RESPONSE_PATTERN.match(text)
        if not matched:
            self.checker.outcomes[CUT_SHORT] += 1
            return False
        self.checker.outcomes[matched[1]] += 1
        body = BODY_PATTERN.search(matched[2].encode())
        if body:
            response = Response(sent_at, process.wall_clock(), path, int(body[2]), router)
            self.checker.responses.append(response)
        return True

    async def measure_lag(self) -> None:
        """Measures how late this process wakes.

        It plays the network, so that its own delays must not count as delays of routers.
        """
        while not self.stopping.is_set():
            due_at = process.wall_clock() + LAG_INTERVAL_US
            await anyio.sleep(LAG_INTERVAL_US / SECOND)
            self.max_lag = max(self.max_lag, process.wall_clock() - due_at)

    # -- purges --------------------------------------------------------------------------------------------

    def random_purge(self) -> PurgeRequest:
        """Draws a purge of an object, a tag or a pattern."""
        chance = self.chance
        plant = chance.randrange(PLANT_COUNT)
        kind = chance.choice(("object", "tag", "tag", "pattern"))
        values = {
            "object": f"/{chance.choice(('photos', 'pages'))}/p{plant}/{chance.randrange(PAGES_PER_PLANT)}",
            "tag": chance.choice((*TAGS, f"plant{plant}", f"plant{plant}")),
            "pattern": chance.choice((f"/*/p{plant}/**", f"/photos/p{plant}/*", f"/pages/*{plant}/1")),
        }
        return PurgeRequest(kind, (values[kind],), key=f"{chance.random()}")

    async def purge(self, requests: list[PurgeRequest]) -> None:
        """Sends purges, and repeats that until a purge log answers.

        :raises UnreachableError: none answers for PURGE_TIMEOUT_US. The time in which the scenario itself has
            stopped the purge log does not count; it is long if a process starts slowly.
        """
        client = QueryClient([("127.0.0.1", self.purge_log_port)], QUERY_TIMEOUT_SECONDS)
        give_up_at = process.wall_clock() + PURGE_TIMEOUT_US
        while True:
            try:
                answers = await client.ask_all(requests)
                break
            except UnreachableError:
                if self.is_purge_log_down:
                    give_up_at = process.wall_clock() + PURGE_TIMEOUT_US
                if process.wall_clock() > give_up_at:
                    raise
                await anyio.sleep(0.05)
        for request, answer in zip(requests, answers, strict=True):
            if isinstance(answer, PurgeAccepted):
                self.checker.purge_accepted(request, answer)
            elif isinstance(answer, RequestRejected):
                self.checker.outcomes[f"purge refused: {answer.reason}"] += 1
        await client.close()

    async def run_purges(self) -> None:
        """Sends drawn purges, with a drawn pause after each, until the fleet is stopping."""
        while not self.stopping.is_set():
            await self.purge([self.random_purge()])
            await anyio.sleep(self.chance.uniform(0.05, 0.2))

    # -- faults --------------------------------------------------------------------------------------------

    async def restart_purge_log(self, downtime: float) -> None:
        """Kills the purge log and restarts it.

        :param downtime: seconds between the two.
        """
        since = process.wall_clock()
        self.is_purge_log_down = True
        self.ledgers[0].kill()
        await anyio.sleep(downtime)
        self.ledgers[0].start()
        await self.wait_until_listening(self.purge_log_port)
        self.is_purge_log_down = False
        await self.wait_until_joined()
        self.checker.cut_offs.append(CutOff(None, since, process.wall_clock()))

    async def restart_router(self, number: int, downtime: float) -> None:
        """Kills a router and restarts it.

        :param downtime: seconds between the two.
        """
        since = process.wall_clock()
        self.routers[number].kill()
        await anyio.sleep(downtime)
        self.routers[number].start()
        await self.wait_until_joined()
        self.checker.cut_offs.append(CutOff(number, since, process.wall_clock()))
