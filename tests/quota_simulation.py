"""Simulated fleets that share a budget; processes, messages and clocks misbehave by a seed."""

import random
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from quartzrouter.quota.allocator import QuotaAllocator
from quartzrouter.quota.budget import MAX_CLOCK_DRIFT, SECOND, Budget
from quartzrouter.quota.local_quota import LocalQuota
from quartzrouter.quota.messages import QuotaGrant

STEP = 10_000  # microseconds of true time
WINDOW_SECONDS = (0, 0.01, 0.25, 1, 2, 5, 10, 20)  # in which the use is compared with the bound
USUAL_DELAY = 40_000  # microseconds, the most that a message takes when nothing is wrong
LONG_DELAY = SECOND
MAX_DEAF_TIME = 3 * SECOND
MAX_STOP_TIME = 2 * SECOND
DEMAND_CHANGES = 0.012  # per router and step, where demand moves


@dataclass(frozen=True)
class Faults:
    """How often each thing goes wrong.

    :param partitions: of a router from the allocator; per router and ten steps.
    :param message_faults: share of messages that are lost or doubled, and share that are late.
    :param router_restarts: per router and ten steps.
    :param allocator_restarts: per ten steps.
    :param stops: a router is stopped in the middle of what it does; per router and ten steps.
    :param doubled_messages: share of messages that arrive once more.
    """

    partitions: float = 0.02
    message_faults: float = 0.1
    router_restarts: float = 0.01
    allocator_restarts: float = 0.01
    stops: float = 0.02
    doubled_messages: float = 0.0


USUAL_FAULTS = Faults()
NO_FAULTS = Faults(partitions=0, message_faults=0, router_restarts=0, allocator_restarts=0, stops=0)


class SkewedClock:
    """A process's monotonic clock: it starts anywhere, and runs fast or slow by up to the bound."""

    def __init__(self, chance: random.Random):
        self.start = chance.randrange(1_000 * SECOND)
        self.drift = chance.choice((-MAX_CLOCK_DRIFT, 0, MAX_CLOCK_DRIFT))

    def at(self, true_time: int) -> int:
        """What it reads, microseconds."""
        return self.start + true_time + true_time * self.drift // 1_000_000


class RequestInFlight(NamedTuple):
    """A request that a router let through.

    :param router: its index.
    :param process: which of the router's processes, counted from 1.
    :param ends_at: microseconds of true time.
    """

    router: int
    process: int
    ends_at: int


class Message(NamedTuple):
    """A message on its way between a router and the allocator.

    :param arrives_at: microseconds of true time.
    :param router: index of the one that sends or receives it.
    :param to_allocator: else to the router.
    :param content: a request for quota, or a grant.
    """

    arrives_at: int
    router: int
    to_allocator: bool
    content: object


class SimulatedFleet:
    """Routers and an allocator; keeps what was used when, by true time.

    :param demand: requests per second, by router.
    :param faults: how often each thing goes wrong.
    :param demand_moves: each router has much demand or none in turn, so that grants must follow.
    """

    def __init__(
        self,
        budget: Budget,
        seed: int,
        demand: list[float],
        faults: Faults = USUAL_FAULTS,
        demand_moves: bool = False,
    ):
        self.budget = budget
        self.chance = random.Random(seed)
        self.demand = demand
        self.faults = faults
        self.demand_moves = demand_moves
        self.has_demand = [True] * budget.routers
        self.true_time = 0
        self.clocks = [SkewedClock(self.chance) for _ in range(budget.routers)]
        self.processes = Counter()  # by router
        self.quotas = [self._start_router(router) for router in range(budget.routers)]
        self.allocator_clock = SkewedClock(self.chance)
        self.allocator = QuotaAllocator([budget], self.allocator_clock.at(0), first_allocator=True)
        self.next_request_at = [0] * budget.routers
        self.deaf_until = [0] * budget.routers
        self.stopped_until = [0] * budget.routers
        self.messages: list[Message] = []
        self.admitted_at: list[int] = []
        self.in_flight: list[RequestInFlight] = []
        self.peak_in_flight = 0
        self.denied = 0

    def play(self, seconds: float) -> "SimulatedFleet":
        """Goes on until a time after the start."""
        while self.true_time < seconds * SECOND:
            self.true_time += STEP
            if self.chance.random() < self.faults.allocator_restarts / 10:
                self._restart_allocator()
            self._end_requests()
            for router in range(len(self.quotas)):
                self._step_router(router)
            self._deliver()
            self.peak_in_flight = max(self.peak_in_flight, len(self.in_flight))
        return self

    def excess(self) -> float:
        """The most requests in any window above what it may have; at most 0 where the budget was kept."""
        worst = -self.budget.max_use(0)
        for window in (round(seconds * SECOND) for seconds in WINDOW_SECONDS):
            first = 0
            for last, admitted_at in enumerate(self.admitted_at):
                while self.admitted_at[first] < admitted_at - window:
                    first += 1
                worst = max(worst, last - first + 1 - self.budget.max_use(window))
        return worst

    def allocator_now(self) -> int:
        """The allocator's clock, microseconds."""
        return self.allocator_clock.at(self.true_time)

    def _start_router(self, router: int) -> LocalQuota:
        self.processes[router] += 1
        token = f"t{router}.{self.processes[router]}"
        return LocalQuota(self.budget, f"r{router}", token, self.clocks[router].at(self.true_time))

    def _restart_allocator(self) -> None:
        self.allocator_clock = SkewedClock(self.chance)
        self.allocator = QuotaAllocator([self.budget], self.allocator_now())

    def _end_requests(self) -> None:
        for request in self.in_flight:
            is_over = request.ends_at <= self.true_time
            if is_over and request.process == self.processes[request.router]:
                self.quotas[request.router].release()
        self.in_flight = [request for request in self.in_flight if request.ends_at > self.true_time]

    def _step_router(self, router: int) -> None:
        chance = self.chance
        if chance.random() < self.faults.router_restarts / 10:
            self.quotas[router] = self._start_router(router)
        if chance.random() < self.faults.partitions / 10:
            self.deaf_until[router] = self.true_time + chance.randrange(MAX_DEAF_TIME)
        if self.true_time < self.stopped_until[router]:
            return
        if chance.random() < self.faults.stops / 10:
            self.stopped_until[router] = self.true_time + chance.randrange(MAX_STOP_TIME)
            return
        now = self.clocks[router].at(self.true_time)
        if self.demand_moves and chance.random() < DEMAND_CHANGES:
            self.has_demand[router] = not self.has_demand[router]
        for _ in range(self._draw_requests(router)):
            self._begin_request(router, now)
        if self.true_time >= self.next_request_at[router]:
            self.next_request_at[router] = self.true_time + self.budget.request_interval
            self._send(router, True, self.quotas[router].next_request(now))

    def _draw_requests(self, router: int) -> int:
        """How many requests come to a router in a step."""
        percent = 100 * self.demand[router] * STEP / SECOND if self.has_demand[router] else 0
        return int(percent / 100) + (self.chance.random() * 100 < percent % 100)

    def _begin_request(self, router: int, now: int) -> None:
        if self.quotas[router].try_use(now):
            self.denied += 1
            return
        self.admitted_at.append(self.true_time)
        longest = self.budget.max_request_time
        duration = self.chance.randrange(longest * 9 // 10, longest) if longest else 0
        ends_at = self.true_time + duration
        self.in_flight.append(RequestInFlight(router, self.processes[router], ends_at))

    def _send(self, router: int, to_allocator: bool, content: object) -> None:
        if self.true_time < self.deaf_until[router]:
            return
        chance = self.chance
        is_late = chance.random() <= self.faults.message_faults
        delay = chance.randrange(LONG_DELAY if is_late else USUAL_DELAY)
        is_faulty = chance.random() < self.faults.message_faults
        copies = chance.choice((0, 2)) if is_faulty else 1
        for _ in range(copies + (chance.random() < self.faults.doubled_messages)):
            self.messages.append(Message(self.true_time + delay, router, to_allocator, content))

    def _deliver(self) -> None:
        arrived = [message for message in self.messages if message.arrives_at <= self.true_time]
        self.messages = [message for message in self.messages if message.arrives_at > self.true_time]
        for _, router, to_allocator, content in arrived:
            if to_allocator:
                answer = self.allocator.handle_request(content, self.allocator_now())
                if isinstance(answer, QuotaGrant):
                    self._send(router, False, answer)
            elif self.true_time >= self.stopped_until[router]:
                self.quotas[router].apply_grant(content, self.clocks[router].at(self.true_time))


class RouterPair:
    """Two routers with a guaranteed slot each, and a third slot that is granted; messages go by hand."""

    def __init__(self):
        self.budget = Budget("b", slots=3, max_request_time=SECOND // 2, guaranteed_share=2 / 3, routers=2)
        self.now = SECOND
        self.allocator = QuotaAllocator([self.budget], 0, first_allocator=True)
        self.first = LocalQuota(self.budget, "a", "a", 0)
        self.second = LocalQuota(self.budget, "b", "b", 0)
        self.began: list[tuple[int, LocalQuota]] = []  # when, and in which quota each request began

    def restarted_first(self) -> LocalQuota:
        """Another process under the first router's name."""
        return LocalQuota(self.budget, "a", "another", self.now)

    def ask(self, quota: LocalQuota):
        """Asks for quota; gives the answer, which isn't delivered."""
        return self.allocator.handle_request(quota.next_request(self.now), self.now)

    def begin_all(self, quota: LocalQuota) -> None:
        """Begins all requests that it admits now."""
        while not quota.try_use(self.now):
            self.began.append((self.now, quota))

    def in_flight(self) -> int:
        """Requests that may be in flight, whatever became of the process that began them."""
        return sum(self.now - began_at < self.budget.max_request_time for began_at, _ in self.began)

    def serve(self, quota: LocalQuota) -> None:
        """It begins what it may, asks, takes the answer in, and begins what it may by then."""
        self.begin_all(quota)
        quota.apply_grant(self.ask(quota), self.now)
        self.begin_all(quota)

    def rest(self, quota: LocalQuota):
        """Its requests end, and it asks twice for no more than its guarantee; gives the second request."""
        for began in list(self.began):
            if began[1] is quota:
                quota.release()
                self.began.remove(began)
        quota.next_request(self.now)
        return quota.next_request(self.now)
