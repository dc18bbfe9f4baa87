"""Simulated fleets that share a budget, with seeded faults of processes, messages and clocks."""

import random
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from quartzrouter.quota.allocator import QuotaAllocator
from quartzrouter.quota.budget import MAX_CLOCK_DRIFT, SECOND, Budget
from quartzrouter.quota.local_quota import LocalQuota
from quartzrouter.quota.messages import QuotaGrant

STEP = 10_000  # microseconds of true time
WINDOW_SECONDS = (0, 0.01, 0.25, 1, 2, 5, 10, 20)  # windows in which the use is compared with the bound
USUAL_DELAY = 40_000  # maximum delay of a message without faults, in microseconds
LONG_DELAY = SECOND
MAX_PARTITION_TIME = 3 * SECOND
MAX_SUSPENSION_TIME = 2 * SECOND
DEMAND_CHANGES = 0.012  # probability per router and step, if demand varies


@dataclass(frozen=True)
class Faults:
    """How often each fault occurs.

    :param partitions: partitions of a router from the allocator, per router and ten steps.
    :param message_faults: share of messages that are lost or duplicated, and share that are late.
    :param router_restarts: restarts per router and ten steps.
    :param allocator_restarts: restarts per ten steps.
    :param stops: suspensions of a router in the middle of a step, per router and ten steps.
    :param duplicated_messages: share of messages that arrive once more.
    """

    partitions: float = 0.02
    message_faults: float = 0.1
    router_restarts: float = 0.01
    allocator_restarts: float = 0.01
    stops: float = 0.02
    duplicated_messages: float = 0.0


USUAL_FAULTS = Faults()
NO_FAULTS = Faults(partitions=0, message_faults=0, router_restarts=0, allocator_restarts=0, stops=0)


class SkewedClock:
    """A process's monotonic clock, which starts at any value and may be fast or slow by the maximum drift."""

    def __init__(self, rng: random.Random):
        self.start = rng.randrange(1_000 * SECOND)
        self.drift = rng.choice((-MAX_CLOCK_DRIFT, 0, MAX_CLOCK_DRIFT))

    def at(self, true_time: int) -> int:
        """Returns the reading at a true time, in microseconds."""
        return self.start + true_time + true_time * self.drift // 1_000_000


class RequestInFlight(NamedTuple):
    """A request that a router has admitted.

    :param router: the router's index.
    :param process: number of the router's process, from 1.
    :param ends_at: end in microseconds of true time.
    """

    router: int
    process: int
    ends_at: int


class Message(NamedTuple):
    """A message in transit between a router and the allocator.

    :param arrives_at: arrival in microseconds of true time.
    :param router: index of the router that sends or receives it.
    :param to_allocator: True if the allocator receives it, False if the router does.
    :param content: a request for quota, or a grant.
    """

    arrives_at: int
    router: int
    to_allocator: bool
    content: object


class SimulatedFleet:
    """Routers and an allocator, with a record of all use by true time.

    :param demand: requests per second, by router.
    :param faults: how often each fault occurs.
    :param demand_varies: True if each router has its demand or none in turn, so that grants must follow.
    """

    def __init__(
        self,
        budget: Budget,
        seed: int,
        demand: list[float],
        faults: Faults = USUAL_FAULTS,
        demand_varies: bool = False,
    ):
        self.budget = budget
        self.rng = random.Random(seed)
        self.demand = demand
        self.faults = faults
        self.demand_varies = demand_varies
        self.has_demand = [True] * budget.routers
        self.true_time = 0
        self.clocks = [SkewedClock(self.rng) for _ in range(budget.routers)]
        self.processes = Counter()  # by router
        self.quotas = [self._start_router(router) for router in range(budget.routers)]
        self.allocator_clock = SkewedClock(self.rng)
        self.allocator = QuotaAllocator([budget], self.allocator_clock.at(0), first_allocator=True)
        self.next_request_at = [0] * budget.routers
        self.disconnected_until = [0] * budget.routers
        self.suspended_until = [0] * budget.routers
        self.messages: list[Message] = []
        self.admitted_at: list[int] = []
        self.in_flight: list[RequestInFlight] = []
        self.peak_in_flight = 0
        self.denied = 0

    def run(self, seconds: float) -> "SimulatedFleet":
        """Continues until a number of seconds after the start."""
        while self.true_time < seconds * SECOND:
            self.true_time += STEP
            if self.rng.random() < self.faults.allocator_restarts / 10:
                self._restart_allocator()
            self._end_requests()
            for router in range(len(self.quotas)):
                self._step_router(router)
            self._deliver()
            self.peak_in_flight = max(self.peak_in_flight, len(self.in_flight))
        return self

    def excess(self) -> float:
        """Returns the most requests in any window above its bound; at most 0 if the budget was kept."""
        worst = -self.budget.max_use(0)
        for window in (round(seconds * SECOND) for seconds in WINDOW_SECONDS):
            first = 0
            for last, admitted_at in enumerate(self.admitted_at):
                while self.admitted_at[first] < admitted_at - window:
                    first += 1
                worst = max(worst, last - first + 1 - self.budget.max_use(window))
        return worst

    def allocator_now(self) -> int:
        """Returns the time of the allocator's clock, in microseconds."""
        return self.allocator_clock.at(self.true_time)

    def _start_router(self, router: int) -> LocalQuota:
        self.processes[router] += 1
        token = f"t{router}.{self.processes[router]}"
        return LocalQuota(self.budget, f"r{router}", token, self.clocks[router].at(self.true_time))

    def _restart_allocator(self) -> None:
        self.allocator_clock = SkewedClock(self.rng)
        self.allocator = QuotaAllocator([self.budget], self.allocator_now())

    def _end_requests(self) -> None:
        for request in self.in_flight:
            is_over = request.ends_at <= self.true_time
            if is_over and request.process == self.processes[request.router]:
                self.quotas[request.router].release()
        self.in_flight = [request for request in self.in_flight if request.ends_at > self.true_time]

    def _step_router(self, router: int) -> None:
        rng = self.rng
        if rng.random() < self.faults.router_restarts / 10:
            self.quotas[router] = self._start_router(router)
        if rng.random() < self.faults.partitions / 10:
            self.disconnected_until[router] = self.true_time + rng.randrange(MAX_PARTITION_TIME)
        if self.true_time < self.suspended_until[router]:
            return
        if rng.random() < self.faults.stops / 10:
            self.suspended_until[router] = self.true_time + rng.randrange(MAX_SUSPENSION_TIME)
            return
        now = self.clocks[router].at(self.true_time)
        if self.demand_varies and rng.random() < DEMAND_CHANGES:
            self.has_demand[router] = not self.has_demand[router]
        for _ in range(self._draw_requests(router)):
            self._begin_request(router, now)
        if self.true_time >= self.next_request_at[router]:
            self.next_request_at[router] = self.true_time + self.budget.request_interval
            self._send(router, True, self.quotas[router].next_request(now))

    def _draw_requests(self, router: int) -> int:
        """Draws the number of requests that arrive at a router in a step."""
        percent = 100 * self.demand[router] * STEP / SECOND if self.has_demand[router] else 0
        return int(percent / 100) + (self.rng.random() * 100 < percent % 100)

    def _begin_request(self, router: int, now: int) -> None:
        if self.quotas[router].try_use(now):
            self.denied += 1
            return
        self.admitted_at.append(self.true_time)
        longest = self.budget.max_request_time
        duration = self.rng.randrange(longest * 9 // 10, longest) if longest else 0
        ends_at = self.true_time + duration
        self.in_flight.append(RequestInFlight(router, self.processes[router], ends_at))

    def _send(self, router: int, to_allocator: bool, content: object) -> None:
        if self.true_time < self.disconnected_until[router]:
            return
        rng = self.rng
        is_late = rng.random() <= self.faults.message_faults
        delay = rng.randrange(LONG_DELAY if is_late else USUAL_DELAY)
        is_faulty = rng.random() < self.faults.message_faults
        copies = rng.choice((0, 2)) if is_faulty else 1
        for _ in range(copies + (rng.random() < self.faults.duplicated_messages)):
            self.messages.append(Message(self.true_time + delay, router, to_allocator, content))

    def _deliver(self) -> None:
        arrived = [message for message in self.messages if message.arrives_at <= self.true_time]
        self.messages = [message for message in self.messages if message.arrives_at > self.true_time]
        for _, router, to_allocator, content in arrived:
            if to_allocator:
                answer = self.allocator.handle_request(content, self.allocator_now())
                if isinstance(answer, QuotaGrant):
                    self._send(router, False, answer)
            elif self.true_time >= self.suspended_until[router]:
                self.quotas[router].apply_grant(content, self.clocks[router].at(self.true_time))


class RouterPair:
    """Two routers with a guaranteed slot each and a third slot that is granted; the test passes messages."""

    def __init__(self):
        self.budget = Budget("b", slots=3, max_request_time=SECOND // 2, guaranteed_share=2 / 3, routers=2)
        self.now = SECOND
        self.allocator = QuotaAllocator([self.budget], 0, first_allocator=True)
        self.first = LocalQuota(self.budget, "a", "a", 0)
        self.second = LocalQuota(self.budget, "b", "b", 0)
        self.started_requests: list[tuple[int, LocalQuota]] = []  # start and quota of each request

    def restarted_first(self) -> LocalQuota:
        """Returns the quota of another process under the first router's name."""
        return LocalQuota(self.budget, "a", "another", self.now)

    def request_quota(self, quota: LocalQuota):
        """Sends a request for quota and returns the answer, which is not delivered."""
        return self.allocator.handle_request(quota.next_request(self.now), self.now)

    def begin_all(self, quota: LocalQuota) -> None:
        """Begins all requests that a quota admits now."""
        while not quota.try_use(self.now):
            self.started_requests.append((self.now, quota))

    def in_flight(self) -> int:
        """Returns the number of requests that may be in flight, including those of former processes."""
        return sum(
            self.now - began_at < self.budget.max_request_time for began_at, _ in self.started_requests
        )

    def begin_and_refresh(self, quota: LocalQuota) -> None:
        """Begins all admitted requests, applies a new grant, and begins the requests that it admits."""
        self.begin_all(quota)
        quota.apply_grant(self.request_quota(quota), self.now)
        self.begin_all(quota)

    def drop_demand(self, quota: LocalQuota):
        """Ends a quota's requests, and returns the second of two requests for its guaranteed minimum only."""
        for started in list(self.started_requests):
            if started[1] is quota:
                quota.release()
                self.started_requests.remove(started)
        quota.next_request(self.now)
        return quota.next_request(self.now)
