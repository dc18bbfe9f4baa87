"""Scenario: a task has at most one holder at a time, under faults of all kinds that are drawn from a seed.

Keepers and claimants are processes on loopback. Each claimant acts on a witness as often as its lease allows.
The checkers read which acts the witness accepted and which processes were stopped and killed, never the state
of a process.
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

SECOND = 1_000_000
TASK = "sweep"
HALT_DELAY_SECONDS = 0.15  # a holder checks its lease and acts some fifty times a second
ACT_POLL_SECONDS = 0.02
TERMINATION_TIMEOUT_SECONDS = 2.0  # after SIGTERM
VOTING_TIMEOUT_SECONDS = 30.0  # until all keepers vote
MIN_ACTS_PER_SECOND = 10  # fewer in a play leave the checkers too little to check
MAX_ROUNDS = 3  # plays of the schedule in which even a busy machine must reach that many acts

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
    """The size of a play, and how its processes are set up.

    :param keepers: how many keepers run.
    :param claimants: how many claimants run.
    :param length: the length of a lease, as the plan writes it.
    :param drift: the plan's bound on clock drift in parts per million; drawn drifts stay within it.
    :param keeper_drift: parts per million by which each keeper's clock runs fast; None draws it.
    :param first_claimant_drift: parts per million by which the first claimant's clock runs fast, and those of
        the others slow; None draws them.
    :param seconds: how long one round lasts.
    :param line_fault_rate: the share of lines between claimants and keepers that are spoilt from the start.
    :param line_fault_kinds: the ways in which lines are spoilt.
    :param claimant_names: a name for each claimant; empty gives each a name of its own.
    :param prefer: the preferred claimants of the task, as the plan writes them.
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
    """Keepers with folders, claimants with a link to each keeper, and the witness that they act on.

    :param folder: holds plans, logs and the keepers' folders.
    :param chance: the generator of everything random.
    :param mutations: names of guards that are removed, ``ACCEPT_ANY_TOKEN`` from the witness and the others
        from all processes.
    """

    def __init__(
        self, folder: Path, chance: random.Random, size: ScenarioSize, mutations: Sequence[str] = ()
    ):
        super().__init__(folder, chance)
        self.size, self.line_fault_rate, self.mutations = (
            size,
            size.line_fault_rate,
            [mutation for mutation in mutations if mutation != ACCEPT_ANY_TOKEN],
        )
        self.witness = Witness(self.history, ACCEPT_ANY_TOKEN not in mutations)
        self.keepers, self.claimants = [], []
        self.keeper_ports: list[int] = []
        self.links_by_claimant: dict[str, list[ProxiedLink]] = {}  # one to each keeper
        self.witness_links: dict[str, ProxiedLink] = {}  # by claimant

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the witness, the links and the keepers, and the claimants once all keepers vote."""
        size = self.size
        await self.witness.start(tasks)
        self.keeper_ports = [self._reserve_port() for _ in range(size.keepers)]
        keeper_addresses = [f"127.0.0.1:{port}" for port in self.keeper_ports]
        for n in range(size.keepers):
            clocks = self._clocks(size.keeper_drift)
            self.keepers.append(self.add_keeper(f"k{n}", self.plan(keeper_addresses), clocks, self.mutations))
            self.keepers[-1].start()
        for n in range(size.claimants):
            links = [ProxiedLink(("127.0.0.1", port), self.chance) for port in self.keeper_ports]
            for link in links:
                await link.start(tasks)
                for direction in link.directions:
                    direction.fault_rate, direction.fault_kinds = size.line_fault_rate, size.line_fault_kinds
            self.links_by_claimant[f"c{n}"] = links
            name = size.claimant_names[n] if size.claimant_names else f"c{n}"
            plan = self.plan([f"127.0.0.1:{link.port}" for link in links])
            clocks = self._clocks(
                size.first_claimant_drift
                and (size.first_claimant_drift if n == 0 else -size.first_claimant_drift)
            )
            witness_link = ProxiedLink(
                ("127.0.0.1", self.witness.port), self.chance, tap=partial(self._tap, f"c{n}")
            )
            await witness_link.start(tasks)
            self.witness_links[f"c{n}"] = witness_link
            arguments = (f"c{n}", name, plan, TASK, witness_link.port, clocks, self.mutations)
            self.claimants.append(self.add_claimant(*arguments))
        await self.wait_until_all_vote()
        for party in self.claimants:
            party.start()

    def _tap(self, claimant: str, is_down: bool, line: bytes) -> None:
        """Records a line that passes between a claimant and the witness."""
        message = json.loads(line)
        if is_down:
            self.history.add("back", claimant, answer=message)
        else:
            self.history.add("call", claimant, number=message[2])

    def _clocks(self, drift: int | None) -> Clocks:
        """Returns the clocks of one process: a drawn offset and the given drift, or a drawn one if None."""
        max_drift = self.size.drift
        return Clocks(
            self.chance.randint(-5, 5) * SECOND,
            self.chance.randint(-max_drift, max_drift) if drift is None else drift,
        )

    def plan(self, addresses: Sequence[str]) -> str:
        """Returns the text of a plan that lists the keepers at these addresses."""
        keepers = ", ".join(f'k{n}: "{address}"' for n, address in enumerate(addresses))
        size = self.size
        return PLAN.format(keepers=keepers, length=size.length, drift=size.drift, prefer=size.prefer)

    async def wait_until_all_vote(self) -> None:
        """Waits until all keepers vote.

        :raises TimeoutError: not all of them vote within VOTING_TIMEOUT_SECONDS.
        """
        addresses = {f"k{n}": ("127.0.0.1", port) for n, port in enumerate(self.keeper_ports)}
        with anyio.fail_after(VOTING_TIMEOUT_SECONDS):
            while True:
                statuses = await ask_all(addresses)
                if all(
                    isinstance(status, AcceptorStatus) and not status.time_until_voting
                    for status in statuses.values()
                ):
                    return
                await anyio.sleep(0.05)

    # -- faults, each a method by the name that schedules use ----------------------------------------------

    def links_of(self, name: str) -> list[ProxiedLink]:
        """Returns a claimant's links to keepers: all for `c3`, those to k0 and k1 for `c3/0,1`."""
        claimant, _, keepers = name.partition("/")
        links = self.links_by_claimant[claimant]
        return [links[int(n)] for n in keepers.split(",")] if keepers else links

    async def _behind(self, fault: Fault) -> None:
        """Delays a claimant's acts and their answers on the way to and from the witness."""
        for direction in self.witness_links[fault.target].directions:
            direction.delay = fault.amount
        await anyio.sleep(fault.duration_ms / 1000)
        for direction in self.witness_links[fault.target].directions:
            direction.delay = 0.0

    async def _stop(self, fault: Fault) -> None:
        """Suspends a process with SIGSTOP, wherever it is."""
        party = self.process_named(fault.target)
        party.stop()
        await anyio.sleep(fault.duration_ms / 1000)
        party.resume()

    async def _halt(self, fault: Fault) -> None:
        """Suspends a claimant between its check of the lease and its next act."""
        party = self.process_named(fault.target)
        if party.is_running:
            party.process.send_signal(signal.SIGUSR1)
            await anyio.sleep(HALT_DELAY_SECONDS)
            self.history.add("stop", party.name)
            await anyio.sleep(fault.duration_ms / 1000)
            party.resume()

    async def _kill(self, fault: Fault) -> None:
        """Kills processes together, as `k0 k1`, and restarts them.

        An amount other than 0 deletes their folders.
        """
        parties = [self.process_named(name) for name in fault.target.split()]
        for party in parties:
            party.kill()
            if fault.amount:
                party.delete_folder()
        await anyio.sleep(fault.duration_ms / 1000)
        for party in parties:
            party.start()

    async def _end(self, fault: Fault) -> None:
        """Sends SIGTERM to a claimant, which then releases its lease, and restarts it."""
        party = self.process_named(fault.target)
        if party.is_running:
            party.process.terminate()
            with anyio.move_on_after(TERMINATION_TIMEOUT_SECONDS):  # one that is suspended does not end
                while party.is_running:
                    await anyio.sleep(0.005)
            party.kill()
        await anyio.sleep(fault.duration_ms / 1000)
        party.start()

    async def _holder(self, fault: Fault) -> None:
        """Injects the kind of fault that the target names, at the claimant that acted last.

        If that process is still starting, or none has acted yet, it first waits for an act, for as long as
        the fault would last: a starting process has no handler for SIGUSR1 yet, so the signal would end it.
        """
        with anyio.move_on_after(fault.duration_ms / 1000):
            while not self._last_to_act():
                await anyio.sleep(ACT_POLL_SECONDS)
        holder = self._last_to_act()
        if holder:
            await self.inject(Fault(fault.at_ms, fault.target, holder, fault.duration_ms, fault.amount))

    def _last_to_act(self) -> str:
        """Returns the claimant that acted last; empty if none has, or if it was restarted since."""
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
        """Makes the witness fail the acts of one claimant."""
        self.witness.failing_claimants.add(fault.target)
        await anyio.sleep(fault.duration_ms / 1000)
        self.witness.failing_claimants.discard(fault.target)


def draw_schedule(chance: random.Random, size: ScenarioSize, faults: int) -> list[Fault]:
    """Draws faults, most of them at claimants, and adds four severe ones at drawn times.

    :param faults: how many are drawn beside those four.
    """
    keepers, claimants = [f"k{n}" for n in range(size.keepers)], [f"c{n}" for n in range(size.claimants)]
    end, length = round(size.seconds * 1000) - 2_500, parse_quantity(size.length).us // 1000  # milliseconds
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
    schedule = fault_schedule.draw(chance, kinds, faults, end)
    minority = " ".join(chance.sample(keepers, len(keepers) - len(keepers) // 2 - 1))
    severe_faults = [
        Fault(0, "kill", minority, 500, 1.0),
        Fault(0, "kill", " ".join(keepers), 200),
        Fault(0, "kill", " ".join(keepers), 100, 1.0),
        Fault(0, "holder", "stop", 2 * length),
    ]
    for n, fault in enumerate(severe_faults):
        at_ms = 1_000 + n * (end - 3_000) // len(severe_faults) + chance.randint(0, 1_000)
        schedule.append(Fault(at_ms, fault.kind, fault.target, fault.duration_ms, fault.amount))
    return sorted(schedule, key=lambda fault: fault.at_ms)


@dataclass
class ScenarioResult:
    """What the checkers found in one play.

    :param began: when the first round began, in microseconds.
    :param ended: when the last round ended, in microseconds.
    :param faults: faults of the program itself, as its log shows them.
    """

    fleet: LeaseFleet
    began: int
    ended: int
    faults: tuple[str, ...]

    @property
    def overlapping_actions(self) -> list:
        """Returns pairs of acts of different holders at the same moment."""
        return history_checks.overlapping_actions(
            self.fleet.history, parse_quantity(self.fleet.size.length).us // ACTION_TIME_DIVISOR
        )

    @property
    def decreasing_tokens(self) -> list:
        """Returns pairs of acts of which the later has the lower fencing token."""
        return history_checks.decreasing_tokens(self.fleet.history)

    @property
    def linearizable(self) -> bool | None:
        """Returns True if an order of the acts explains all answers, None if that was not found out."""
        return is_linearizable(operations_from_history(self.fleet.history), fencing_spec, 0)

    @property
    def action_count(self) -> int:
        """Returns how many acts the witness accepted."""
        return len(history_checks.actions(self.fleet.history))

    @property
    def broken(self) -> bool:
        """Returns True if acts of two holders overlapped, or if a fencing token was lower than one before."""
        return bool(self.overlapping_actions or self.decreasing_tokens)


def enough_acts(result: ScenarioResult) -> bool:
    """Returns True if there were enough acts for a fault to show in."""
    return result.action_count > MIN_ACTS_PER_SECOND * result.fleet.size.seconds


def play(
    chance: random.Random,
    size: ScenarioSize,
    faults: Sequence[Fault],
    mutations: Sequence[str] = (),
    enough: Callable[[ScenarioResult], bool] = enough_acts,
) -> ScenarioResult:
    """Plays a schedule in up to MAX_ROUNDS rounds with the same processes, until enough was done.

    How many acts fit into a given time depends on the machine: on a slow one, one round may show nothing.

    :param mutations: names of guards that are removed, see ``LeaseFleet``.
    :param enough: returns True if the results so far suffice.
    """
    return anyio.run(
        partial(_play, chance, size, faults, mutations, enough), backend_options=process.BACKEND_OPTIONS
    )


async def _play(
    chance: random.Random,
    size: ScenarioSize,
    faults: Sequence[Fault],
    mutations: Sequence[str],
    enough: Callable[[ScenarioResult], bool],
) -> ScenarioResult:
    with tempfile.TemporaryDirectory() as name, anyio.fail_after(MAX_ROUNDS * size.seconds + 60):
        fleet = LeaseFleet(Path(name), chance, size, mutations)
        try:
            async with anyio.create_task_group() as tasks:
                await fleet.start(tasks)
                began = process.steady_clock()
                for _ in range(MAX_ROUNDS):
                    async with anyio.create_task_group() as round_tasks:
                        round_tasks.start_soon(fault_schedule.play, faults, fleet.inject)
                        await anyio.sleep(size.seconds)
                    ended = process.steady_clock()
                    if enough(ScenarioResult(fleet, began, ended, ())):
                        break
                tasks.cancel_scope.cancel()
        finally:
            fleet.close()
        return ScenarioResult(fleet, began, ended, tuple(fleet.fault_log_lines()))


# -- mutations, each with a scene that must show it --------------------------------------------------------

# A mutation of the witness; the others are of processes.
ACCEPT_ANY_TOKEN = "whoever is acted on takes any number"
SMALL_SIZE = ScenarioSize(keepers=3, claimants=2, length="1s", drift=200, seconds=8.0, line_fault_rate=0.0)
HOLDER_SUSPENSIONS = [Fault(2_000 + 2_500 * n, "holder", "halt", 2_200) for n in range(2)]

SCENES: dict[str, tuple[ScenarioSize, list[Fault]]] = {
    # c1 restarts, so it remembers no lease whose end it would wait for.
    "a keeper votes right after its start": (
        replace(SMALL_SIZE, length="3s"),
        [
            Fault(0, "cut", "c1", 1_800),
            Fault(2_000, "cut", "c0", 6_000),
            Fault(2_100, "kill", "k0 k1 k2", 0),
            Fault(2_100, "kill", "c1", 200),
        ],
    ),
    "half of the keepers will do": (
        replace(SMALL_SIZE, keepers=4),
        [Fault(0, "cut", "c0/2,3", 8_000), Fault(0, "cut", "c1/0,1", 8_000)],
    ),
    "a keeper votes for all": (SMALL_SIZE, []),
    "leases end by the wall clock": (
        SMALL_SIZE,
        [Fault(2_000, "holder", "jump", 6_000, -10.0), Fault(2_050, "holder", "cut", 5_000)],
    ),
    "a name is enough": (replace(SMALL_SIZE, claimant_names=("c", "c")), []),
    ACCEPT_ANY_TOKEN: (SMALL_SIZE, HOLDER_SUSPENSIONS),
}


def play_with_and_without(seed: int, mutation: str) -> tuple[ScenarioResult, ScenarioResult]:
    """Plays a mutation's scene without the mutation, and with it.

    The witness accepts every fencing token in both plays, as its refusals would hide the mutation; only the
    scene of that mutation itself plays without it first.
    """
    size, faults = SCENES[mutation]
    guarded, mutated = (
        ((), (mutation,))
        if mutation == ACCEPT_ANY_TOKEN
        else ((ACCEPT_ANY_TOKEN,), (ACCEPT_ANY_TOKEN, mutation))
    )
    return (
        play(random.Random(seed), size, faults, guarded),
        play(random.Random(seed), size, faults, mutated, enough=lambda result: result.broken),
    )


# -- scenario ----------------------------------------------------------------------------------------------


def rehearse(seed: int, report: ScenarioReport, size: ScenarioSize = DEFAULT_SIZE) -> None:
    """Plays one schedule, and reports each act that broke the exclusion of holders, and the figures."""
    chance = random.Random(seed)
    faults = draw_schedule(chance, size, 26)
    result = play(chance, size, faults)
    history = result.fleet.history
    for relation, pairs in (("while", result.overlapping_actions), ("after", result.decreasing_tokens)):
        for earlier, act in pairs[:3]:
            report.expect(
                False,
                f"{act.actor} acted with fencing token {act.fencing_token} {relation} "
                f"{earlier.actor} acted with {earlier.fencing_token}",
            )
    report.expect(result.linearizable is not False, "no order of the acts explains their answers")
    report.figures["acts and answers in an order"] = {True: "yes", False: "no", None: "not found out"}[
        result.linearizable
    ]
    report.expect(not result.faults, f"faults: {result.faults[:1]}")
    report.figures["faults, keepers, claimants"] = f"{len(faults)}, {size.keepers}, {size.claimants}"
    actions = history_checks.actions(history)
    report.figures["acts, under numbers, refused"] = (
        f"{len(actions)}, {len({action.fencing_token for action in actions})}, "
        f"{result.fleet.witness.refused_count}"
    )
    length, seconds = parse_quantity(size.length).us, (result.ended - result.began) / SECOND
    gaps = sorted(
        gap for gap in history_checks.idle_times(history, result.began, result.ended) if gap > length // 4
    )
    report.figures["without a holder: times, longest, in all"] = (
        f"{len(gaps)}, {max(gaps, default=0) / SECOND:.2f} s, {sum(gaps) / SECOND:.2f} s of {seconds:.0f}"
    )
    report.expect(enough_acts(result), f"only {len(actions)} acts, too few to show anything")
    report.figures["acts at the same moment, numbers that fell"] = (
        f"{len(result.overlapping_actions)}, {len(result.decreasing_tokens)}"
    )
