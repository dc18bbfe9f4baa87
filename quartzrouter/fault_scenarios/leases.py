"""One holder of a task at a time, on loopback: keepers and claimants as processes, faults drawn from a seed.

Each claimant acts on a witness as often as it may.  The checkers read what the witness took, and which
processes were stopped and killed, never what a process believes.
"""

import json
import random
import signal
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path

import anyio

from quartzrouter.config.quantity import parse_quantity
from quartzrouter.fault_harness import fault_schedule, history_checks
from quartzrouter.fault_harness.fault_injection import FaultInjectedFleet
from quartzrouter.fault_harness.fault_schedule import Fault
from quartzrouter.fault_harness.fleet import Clocks
from quartzrouter.fault_harness.linearizability import fencing_spec, is_linearizable, operations_from_history
from quartzrouter.fault_harness.proxied_links import ProxiedLink
from quartzrouter.fault_harness.witness import Witness
from quartzrouter.fault_scenarios import ScenarioReport
from quartzrouter.lease_service.queries import ask_all
from quartzrouter.leases.terms import ACTION_TIME_DIVISOR, AcceptorStatus
from quartzrouter.server import process

S = 1_000_000
TASK = "sweep"
HALTS_WITHIN = 0.15  # s: a holder looks and acts some fifty times a second
ACT_POLL_INTERVAL = 0.02  # s
ENDS_WITHIN = 2.0  # s at SIGTERM
VOTES_WITHIN = 30.0  # s until all keepers vote
ACTS_PER_SECOND = 10  # of a play that are wanted: with fewer, too little was looked at
ROUNDS_MOST = 3  # plays of the schedule within which a busy machine has to get as many done

PLAN = """{{
  deployment: {{ name: "l", home: "north", listen: "127.0.0.1:8443" }},
  stores: {{ north: {{ hub: "h" }} }}, hubs: {{ h: {{}} }},
  caches: {{ n: {{ address: "127.0.0.1:1", at: "north" }} }},
  vhosts: {{ page: {{ effect: "replayable", client_timeout: 1s }} }},
  pools: {{ near: {{}} }}, routes: {{ all: {{ match: {{}}, vhost: "page", pool: "near" }} }},
  leases: {{
    keepers: {{ {keepers} }}, length: {length}, drift: {drift}, tasks: {{ sweep: {{ prefer: [{prefer}] }} }},
  }},
}}"""


@dataclass(frozen=True)
class ScenarioSize:
    """What is played.

    :param drift: parts in a million, of the plan; clocks are off by as much at most.
    :param keeper_drift: parts in a million by which each keeper's clock is fast.  None: drawn.
    :param first_claimant_drift: likewise for the first claimant's clock; the others' are slow by as much.
        None: drawn.
    :param claimant_names: of claimants, where not all have one of their own.
    """

    keepers: int = 5
    claimants: int = 6
    length: str = "600ms"
    drift: int = 2_000
    keeper_drift: int | None = None
    first_claimant_drift: int | None = None
    seconds: float = 22.0
    line_fault_rate: float = 0.02
    line_fault_kinds: tuple[str, ...] = ("lose", "double", "swap")
    claimant_names: tuple[str, ...] = ()
    prefer: str = ""


DEFAULT_SIZE = ScenarioSize()


class LeaseFleet(FaultInjectedFleet):
    """Keepers with folders, claimants with a link to each keeper, and a witness of what they do."""

    def __init__(self, folder: Path, chance: random.Random, shape: ScenarioSize, guards: Sequence[str] = ()):
        super().__init__(folder, chance)
        self.shape, self.line_fault_rate, self.out = (
            shape,
            shape.line_fault_rate,
            [each for each in guards if each != ACCEPT_ANY_TOKEN],
        )
        self.witness = Witness(self.history, ACCEPT_ANY_TOKEN not in guards)
        self.keepers, self.claimants = [], []
        self.keeper_ports: list[int] = []
        self.ways_of: dict[str, list[ProxiedLink]] = {}  # of a claimant, to each keeper
        self.acting: dict[str, ProxiedLink] = {}  # of a claimant, to the witness

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        shape = self.shape
        await self.witness.start(tasks)
        self.keeper_ports = [self._reserve_port() for _ in range(shape.keepers)]
        own = [f"127.0.0.1:{port}" for port in self.keeper_ports]
        for n in range(shape.keepers):
            clocks = self._clocks(shape.keeper_drift)
            self.keepers.append(self.add_keeper(f"k{n}", self.plan(own), clocks, self.out))
            self.keepers[-1].start()
        for n in range(shape.claimants):
            links = [ProxiedLink(("127.0.0.1", port), self.chance) for port in self.keeper_ports]
            for link in links:
                await link.start(tasks)
                for way in link.directions:
                    way.fault_rate, way.fault_kinds = shape.line_fault_rate, shape.line_fault_kinds
            self.ways_of[f"c{n}"] = links
            name = shape.claimant_names[n] if shape.claimant_names else f"c{n}"
            plan = self.plan([f"127.0.0.1:{link.port}" for link in links])
            clocks = self._clocks(
                shape.first_claimant_drift
                and (shape.first_claimant_drift if n == 0 else -shape.first_claimant_drift)
            )
            acting = ProxiedLink(
                ("127.0.0.1", self.witness.port), self.chance, tap=partial(self._tap, f"c{n}")
            )
            await acting.start(tasks)
            self.acting[f"c{n}"] = acting
            told = (f"c{n}", name, plan, TASK, acting.port, clocks, self.out)
            self.claimants.append(self.add_claimant(*told))
        await self.vote()
        for party in self.claimants:
            party.start()

    def _tap(self, who: str, down: bool, line: bytes) -> None:
        """What passes between a claimant and the witness."""
        said = json.loads(line)
        if down:
            self.history.add("back", who, answer=said)
        else:
            self.history.add("call", who, number=said[2])

    def _clocks(self, fast: int | None) -> Clocks:
        drift = self.shape.drift
        return Clocks(
            self.chance.randint(-5, 5) * S, self.chance.randint(-drift, drift) if fast is None else fast
        )

    def plan(self, addresses: Sequence[str]) -> str:
        keepers = ", ".join(f'k{n}: "{at}"' for n, at in enumerate(addresses))
        shape = self.shape
        return PLAN.format(keepers=keepers, length=shape.length, drift=shape.drift, prefer=shape.prefer)

    async def vote(self) -> None:
        """Until all keepers vote."""
        at = {f"k{n}": ("127.0.0.1", port) for n, port in enumerate(self.keeper_ports)}
        with anyio.fail_after(VOTES_WITHIN):
            while True:
                found = await ask_all(at)
                if all(
                    isinstance(each, AcceptorStatus) and not each.time_until_voting for each in found.values()
                ):
                    return
                await anyio.sleep(0.05)

    # -- faults --------------------------------------------------------------------------------------------

    def links_of(self, name: str) -> list[ProxiedLink]:
        """Of a claimant, as c3, or some of its links, as c3/0,1."""
        claimant, _, keepers = name.partition("/")
        links = self.ways_of[claimant]
        return [links[int(n)] for n in keepers.split(",")] if keepers else links

    async def _behind(self, fault: Fault) -> None:
        """Acts of one claimant and their answers are late on their way."""
        for way in self.acting[fault.target].directions:
            way.delay = fault.amount
        await anyio.sleep(fault.duration_ms / 1000)
        for way in self.acting[fault.target].directions:
            way.delay = 0.0

    async def _stop(self, fault: Fault) -> None:
        party = self.process_named(fault.target)
        party.stop()
        await anyio.sleep(fault.duration_ms / 1000)
        party.resume()

    async def _halt(self, fault: Fault) -> None:
        """Stopped right between a look at the clock and the act."""
        party = self.process_named(fault.target)
        if party.is_running:
            party.process.send_signal(signal.SIGUSR1)
            await anyio.sleep(HALTS_WITHIN)
            self.history.add("stop", party.name)
            await anyio.sleep(fault.duration_ms / 1000)
            party.resume()

    async def _kill(self, fault: Fault) -> None:
        """Some processes at once, as `k0 k1`; with `much` their folders are lost."""
        parties = [self.process_named(name) for name in fault.target.split()]
        for party in parties:
            party.kill()
            if fault.amount:
                party.delete_folder()
        await anyio.sleep(fault.duration_ms / 1000)
        for party in parties:
            party.start()

    async def _end(self, fault: Fault) -> None:
        """SIGTERM to a claimant: it hands over."""
        party = self.process_named(fault.target)
        if party.is_running:
            party.process.terminate()
            with anyio.move_on_after(ENDS_WITHIN):  # one that is stopped doesn't
                while party.is_running:
                    await anyio.sleep(0.005)
            party.kill()
        await anyio.sleep(fault.duration_ms / 1000)
        party.start()

    async def _holder(self, fault: Fault) -> None:
        """As the kind that `who` names, at whoever has acted last.

        Where that process is still starting, or nobody has acted yet, it waits for an act, for as long as
        the fault would last: a process that starts has no handler for SIGUSR1 yet, which would end it.
        """
        with anyio.move_on_after(fault.duration_ms / 1000):
            while not self._last_to_act():
                await anyio.sleep(ACT_POLL_INTERVAL)
        holder = self._last_to_act()
        if holder:
            await self.inject(Fault(fault.at_ms, fault.target, holder, fault.duration_ms, fault.amount))

    def _last_to_act(self) -> str:
        """The claimant that has acted last; empty where none has, or where it was started again since."""
        acts = history_checks.actions(self.history)
        if not acts:
            return ""
        last = acts[-1]
        is_starting = any(
            event.actor == last.actor and event.time > last.began_at
            for event in self.history.events_of("start")
        )
        return "" if is_starting else last.actor

    async def _fail(self, fault: Fault) -> None:
        """Acts of one claimant go wrong."""
        self.witness.failing_claimants.add(fault.target)
        await anyio.sleep(fault.duration_ms / 1000)
        self.witness.failing_claimants.discard(fault.target)


def draw_schedule(chance: random.Random, shape: ScenarioSize, faults: int) -> list[Fault]:
    """So many faults, most of them at claimants, and each of the hard ones once."""
    keepers, claimants = [f"k{n}" for n in range(shape.keepers)], [f"c{n}" for n in range(shape.claimants)]
    until, length = round(shape.seconds * 1000) - 2_500, parse_quantity(shape.length).us // 1000
    kinds = {
        "cut": (claimants, (200, 3 * length), (0, 0, 1, 2)),
        "late": (claimants, (500, 3_000), (0.02, length / 4_000, length / 1_500)),
        "spoil": (claimants, (500, 3_000), (0.3, 0.6)),
        "reset": (claimants, (0, 0), (0,)),
        "behind": (claimants, (500, 3_000), (0.01, 0.2)),
        "stop": ([*claimants, *keepers], (100, 2 * length), (0,)),
        "kill": (keepers, (50, 800), (0, 0, 1)),
        "jump": ([*claimants, *keepers], (500, 3_000), (-10, -1, 1, 10)),
        "holder": (["cut", "stop", "kill", "end", "late", "halt"], (100, 2 * length), (0,)),
        "fail": (claimants, (200, 1_500), (0,)),
    }
    found = fault_schedule.draw(chance, kinds, faults, until)
    minority = " ".join(chance.sample(keepers, len(keepers) - len(keepers) // 2 - 1))
    hard = [
        Fault(0, "kill", minority, 500, 1.0),
        Fault(0, "kill", " ".join(keepers), 200),
        Fault(0, "kill", " ".join(keepers), 100, 1.0),
        Fault(0, "holder", "stop", 2 * length),
    ]
    for n, fault in enumerate(hard):
        at = 1_000 + n * (until - 3_000) // len(hard) + chance.randint(0, 1_000)
        found.append(Fault(at, fault.kind, fault.target, fault.duration_ms, fault.amount))
    return sorted(found, key=lambda fault: fault.at_ms)


@dataclass
class ScenarioResult:
    """What checkers found in one play."""

    fleet: LeaseFleet
    began: int  # us
    ended: int
    faults: tuple[str, ...]  # of the program itself

    @property
    def overlapping_actions(self) -> list:
        return history_checks.overlapping_actions(
            self.fleet.history, parse_quantity(self.fleet.shape.length).us // ACTION_TIME_DIVISOR
        )

    @property
    def decreasing_tokens(self) -> list:
        return history_checks.decreasing_tokens(self.fleet.history)

    @property
    def linearizable(self) -> bool | None:
        return is_linearizable(operations_from_history(self.fleet.history), fencing_spec, 0)

    @property
    def action_count(self) -> int:
        return len(history_checks.actions(self.fleet.history))

    @property
    def broken(self) -> bool:
        return bool(self.overlapping_actions or self.decreasing_tokens)


def enough_acts(result: ScenarioResult) -> bool:
    """Whether so much was done that a fault would have had its chance to show."""
    return result.action_count > ACTS_PER_SECOND * result.fleet.shape.seconds


def play(
    chance: random.Random,
    shape: ScenarioSize,
    faults: Sequence[Fault],
    guards: Sequence[str] = (),
    enough: Callable[[ScenarioResult], bool] = enough_acts,
) -> ScenarioResult:
    """Plays a schedule, and again with the same processes until enough was done, up to `ROUNDS_MOST` times.

    How many acts fit into a time is the machine's matter: on a slow one a single play may show nothing.

    :param enough: looks at what was found so far.
    """
    return anyio.run(
        partial(_play, chance, shape, faults, guards, enough), backend_options=process.BACKEND_OPTIONS
    )


async def _play(
    chance: random.Random,
    shape: ScenarioSize,
    faults: Sequence[Fault],
    guards: Sequence[str],
    enough: Callable[[ScenarioResult], bool],
) -> ScenarioResult:
    with tempfile.TemporaryDirectory() as name, anyio.fail_after(ROUNDS_MOST * shape.seconds + 60):
        fleet = LeaseFleet(Path(name), chance, shape, guards)
        try:
            async with anyio.create_task_group() as tasks:
                await fleet.start(tasks)
                began = process.steady_clock()
                for _ in range(ROUNDS_MOST):
                    async with anyio.create_task_group() as played:
                        played.start_soon(fault_schedule.play, faults, fleet.inject)
                        await anyio.sleep(shape.seconds)
                    ended = process.steady_clock()
                    if enough(ScenarioResult(fleet, began, ended, ())):
                        break
                tasks.cancel_scope.cancel()
        finally:
            fleet.close()
        return ScenarioResult(fleet, began, ended, tuple(fleet.fault_log_lines()))


# -- guards, each taken out once ---------------------------------------------------------------------------

ACCEPT_ANY_TOKEN = "whoever is acted on takes any number"  # a guard of the witness, not of a process
FEW = ScenarioSize(keepers=3, claimants=2, length="1s", drift=200, seconds=8.0, line_fault_rate=0.0)
STOPS = [Fault(2_000 + 2_500 * n, "holder", "halt", 2_200) for n in range(2)]

SCENES: dict[str, tuple[ScenarioSize, list[Fault]]] = {
    "a keeper votes right after its start": (  # c1 is new, and waits for nothing that it was told
        replace(FEW, length="3s"),
        [
            Fault(0, "cut", "c1", 1_800),
            Fault(2_000, "cut", "c0", 6_000),
            Fault(2_100, "kill", "k0 k1 k2", 0),
            Fault(2_100, "kill", "c1", 200),
        ],
    ),
    "half of the keepers will do": (
        replace(FEW, keepers=4),
        [Fault(0, "cut", "c0/2,3", 8_000), Fault(0, "cut", "c1/0,1", 8_000)],
    ),
    "a keeper votes for all": (FEW, []),
    "leases end by the wall clock": (
        FEW,
        [Fault(2_000, "holder", "jump", 6_000, -10.0), Fault(2_050, "holder", "cut", 5_000)],
    ),
    "a name is enough": (replace(FEW, claimant_names=("c", "c")), []),
    ACCEPT_ANY_TOKEN: (FEW, STOPS),
}


def play_with_and_without(seed: int, guard: str) -> tuple[ScenarioResult, ScenarioResult]:
    """A guard's scene with it and without it.  The witness takes all numbers in both, or it would hide the
    guard's lack, but where that is the guard."""
    shape, faults = SCENES[guard]
    with_guard, without_guard = (
        ((), (guard,)) if guard == ACCEPT_ANY_TOKEN else ((ACCEPT_ANY_TOKEN,), (ACCEPT_ANY_TOKEN, guard))
    )
    return (
        play(random.Random(seed), shape, faults, with_guard),
        play(random.Random(seed), shape, faults, without_guard, enough=lambda result: result.broken),
    )


# -- the rehearsal -----------------------------------------------------------------------------------------


def rehearse(seed: int, tally: ScenarioReport, shape: ScenarioSize = DEFAULT_SIZE) -> None:
    chance = random.Random(seed)
    faults = draw_schedule(chance, shape, 26)
    seen = play(chance, shape, faults)
    history = seen.fleet.history
    for word, pairs in (("while", seen.overlapping_actions), ("after", seen.decreasing_tokens)):
        for one, act in pairs[:3]:
            tally.expect(
                False,
                f"{act.actor} acts under {act.fencing_token} {word} {one.actor} under {one.fencing_token}",
            )
    tally.expect(seen.linearizable is not False, "answers that no order of acts explains")
    tally.figures["acts and answers in an order"] = {True: "yes", False: "no", None: "not found out"}[
        seen.linearizable
    ]
    tally.expect(not seen.faults, f"faults: {seen.faults[:1]}")
    tally.figures["faults, keepers, claimants"] = f"{len(faults)}, {shape.keepers}, {shape.claimants}"
    found = history_checks.actions(history)
    tally.figures["acts, under numbers, refused"] = (
        f"{len(found)}, {len({each.fencing_token for each in found})}, {seen.fleet.witness.refused_count}"
    )
    length, seconds = parse_quantity(shape.length).us, (seen.ended - seen.began) / S
    gaps = sorted(
        each for each in history_checks.idle_times(history, seen.began, seen.ended) if each > length // 4
    )
    tally.figures["without a holder: times, longest, in all"] = (
        f"{len(gaps)}, {max(gaps, default=0) / S:.2f} s, {sum(gaps) / S:.2f} s of {seconds:.0f}"
    )
    tally.expect(enough_acts(seen), f"only {len(found)} acts: nothing is shown")
    tally.figures["acts at the same moment, numbers that fell"] = (
        f"{len(seen.overlapping_actions)}, {len(seen.decreasing_tokens)}"
    )
