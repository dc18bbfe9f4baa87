"""The load that independent routers together put on a cache or parent in slow start, in every window."""

import math
import random
from collections import deque

import hypothesis.strategies as st
import pytest
from conftest import MS, S, listed, traffic_class
from hypothesis import given, settings

from quartzrouter.routing.estimators import MIN_SAMPLES
from quartzrouter.routing.model import (
    AttemptResult,
    AttemptStatus,
    Capabilities,
    FillStatus,
    Forward,
    Request,
    SlowStart,
)
from quartzrouter.routing.router import Router

SENDING_TIME = 25 * MS  # of one request, at full transfer rate
CAPACITIES = {"c1": 6.0, "p1": 20.0}  # concurrent transfers, as the endpoint list rates a cache and a parent
DURATION, BURST = 3 * S, 100 * MS
CAPABILITIES = Capabilities(
    max_attempts=4,
    pass_through=True,
    request_collapsing=True,
    siblings=False,
    health_checks=False,
    cancellation=True,
    max_retry_after=0,
    discovery_on_request=False,
)


def independent_routers(routers, slow_start, endpoint, unmeasured):
    """Creates routers that don't communicate, and have all received the same endpoint list.

    :param endpoint: the endpoint that has just started.
    :param unmeasured: one router in this many has no samples of sending times, as after a start; 0: none.
    """
    created = []
    for number in range(routers):
        router = Router(
            router_number=number,
            seed=7 + number,
            home_location="north",
            capabilities=CAPABILITIES,
            cache_slow_start=slow_start,
            parent_slow_start=slow_start,
            purge_lifetime=6 * S,
            transfer_rate=1000.0,
            has_capacity_ratings=True,
            traffic_classes=[traffic_class("page")],
        )
        router.update_endpoints(listed(dict.fromkeys(["c1", "c2", "c3", "p1", "o"], "up")), True, 10 * S)
        router.update_endpoints(listed({endpoint: "up"}, started=10 * S), False, 10 * S)
        if not unmeasured or number % unmeasured:
            for _ in range(MIN_SAMPLES):
                router.sending_times.by_class["page"].add(SENDING_TIME)
        created.append(router)
    return created


def arrivals(routers, slow_start, demand, burst, rng):
    """Returns the time of each request and the router that receives it.

    One router receives up to four times as many requests as another.

    :param demand: requests per second of all routers.
    :param burst: whether all requests of a window arrive around its start.
    """
    times = [rng.randrange(DURATION) for _ in range(demand * DURATION // S)]
    if burst:
        times = [
            time // slow_start.window * slow_start.window + rng.randrange(BURST) - BURST // 2
            for time in times
        ]
    shares = [1 + 3 * rng.random() for _ in range(routers)]
    return zip(sorted(times), rng.choices(range(routers), shares, k=len(times)), strict=True)


def sent_to_cold(routers, slow_start, endpoint, demand, rng, burst=False, unmeasured=0):
    """Simulates traffic, and returns the times at which the endpoint was sent a request or a fill."""
    fleet, times, in_flight = independent_routers(routers, slow_start, endpoint, unmeasured), [], deque()
    for id, (arrived_at, receiver) in enumerate(arrivals(routers, slow_start, demand, burst, rng)):
        now = 10 * S + max(0, arrived_at)
        while in_flight and in_flight[0][0] <= now:
            _, router, request_id, attempt_number = in_flight.popleft()
            fill_status = FillStatus.HIT if endpoint == "c1" else FillStatus.FROM_PARENT
            router.attempt_finished(
                request_id,
                AttemptResult(attempt_number, AttemptStatus.SUCCEEDED, SENDING_TIME, fill_status, True),
                now,
            )
        request = Request(id, "page", f"{rng.randrange(200)}", 1, 0, SENDING_TIME / MS, 3 * S)
        decision = fleet[receiver].route(request, now)
        if isinstance(decision, Forward):
            in_flight.append((now + SENDING_TIME, fleet[receiver], id, decision.attempt_number))
            if endpoint in (decision.endpoint, decision.fill_source if endpoint == "p1" else None):
                times.append(now)
    return times


def budget(slow_start, endpoint, started_at, now):
    """Returns the requests that the settings allow in the window from ``now``; N of the operators' page."""
    share = (
        slow_start.initial_share
        + (1 - slow_start.initial_share) * max(0, now - started_at) / slow_start.ramp_time
    )
    return CAPACITIES[endpoint] * share * slow_start.overload_factor * slow_start.window / SENDING_TIME


# Hypothesis derives the examples of this test from its source and name: renaming anything in it changes them.
@pytest.mark.parametrize("routers", [1, 7, 20, 30, 200])
@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    floor=st.sampled_from([0.06, 0.25, 0.47]),
    window=st.sampled_from([500 * MS, S, 1_500 * MS]),
    multiple=st.sampled_from([1.5, 2.0]),
    demand=st.sampled_from([60, 240, 600, 1_000]),
    seed=st.integers(0, 1 << 32),
    at=st.sampled_from(["c1", "p1"]),
    burst=st.booleans(),
    fresh=st.sampled_from([0, 1, 2]),
)
def test_all_routers_together_keep_a_cold_server_up(
    routers, floor, window, multiple, demand, seed, at, burst, fresh
):
    cold = SlowStart(
        initial_share=floor, ramp_time=16 * S, overload_factor=multiple, window=window, routers=routers
    )
    times = sent_to_cold(routers, cold, at, demand, random.Random(seed), burst, fresh)
    first = 0
    for last, now in enumerate(times):  # every window that ends with a request
        while times[first] <= now - window:
            first += 1
        n = budget(cold, at, 10 * S, max(10 * S, now - window))
        assert last - first + 1 <= n + 2 * math.sqrt(n) + 2


@pytest.mark.parametrize("routers", [20, 30, 200])
@pytest.mark.parametrize("floor", [0.06, 0.25])
@pytest.mark.parametrize("fresh", [0, 1])
def test_no_cache_in_slow_start_is_left_without_requests(routers, floor, fresh):
    """A part of the budget smaller than one request allowed no requests for seconds.

    A router without samples overestimates sending times, so that its part allows only a few requests.
    """
    slow_start = SlowStart(
        initial_share=floor, ramp_time=16 * S, overload_factor=2.0, window=S, routers=routers
    )
    times = sent_to_cold(routers, slow_start, "c1", 600, random.Random(7), unmeasured=fresh)
    print(f"{routers} routers, floor {floor}, fresh {fresh}: {len(times)} requests in {DURATION // S} s")
    assert len(times) >= (1 if fresh else 10)
