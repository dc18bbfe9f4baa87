"""What many routers, which don't talk to each other, send one cold cache or hub together, in every window."""

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

SENDING = 25 * MS  # of a req, at full pace
LINKS = {"c1": 6.0, "p1": 20.0}  # transfers at once, as the list rates a cache and a hub
LENGTH, BURST = 3 * S, 100 * MS
PERMITS = Capabilities(
    max_attempts=4,
    pass_through=True,
    request_collapsing=True,
    siblings=False,
    health_checks=False,
    cancellation=True,
    max_retry_after=0,
    discovery_on_request=False,
)


def fleet(routers, cold, at, fresh):
    """Independent routers; a server has started when they hear of it.

    :param fresh: one in so many has just started itself, and has not measured any req; 0: none.
    """
    found = []
    for me in range(routers):
        router = Router(
            router_number=me,
            seed=7 + me,
            home_location="north",
            capabilities=PERMITS,
            cache_slow_start=cold,
            parent_slow_start=cold,
            purge_lifetime=6 * S,
            transfer_rate=1000.0,
            has_capacity_ratings=True,
            traffic_classes=[traffic_class("page")],
        )
        router.update_endpoints(listed(dict.fromkeys(["c1", "c2", "c3", "p1", "o"], "up")), True, 10 * S)
        router.update_endpoints(listed({at: "up"}, started=10 * S), False, 10 * S)
        if not fresh or me % fresh:
            for _ in range(MIN_SAMPLES):
                router.sending_times.by_class["page"].add(SENDING)
        found.append(router)
    return found


def arrivals(routers, cold, demand, burst, draw):
    """When a req comes, and to which router: of two, one sees up to four times the other's.

    :param demand: reqs a second of all routers; in bursts all of a window's come about its edge.
    """
    times = [draw.randrange(LENGTH) for _ in range(demand * LENGTH // S)]
    if burst:
        times = [at // cold.window * cold.window + draw.randrange(BURST) - BURST // 2 for at in times]
    shares = [1 + 3 * draw.random() for _ in range(routers)]
    return zip(sorted(times), draw.choices(range(routers), shares, k=len(times)), strict=True)


def sent_to_cold(routers, cold, at, demand, draw, burst=False, fresh=0):
    """Plays seconds of traffic; gives the times at which the cold server was sent a req, or a fill."""
    several, times, over = fleet(routers, cold, at, fresh), [], deque()
    for id, (due, mine) in enumerate(arrivals(routers, cold, demand, burst, draw)):
        now = 10 * S + max(0, due)
        while over and over[0][0] <= now:
            _, router, req, hop = over.popleft()
            told = FillStatus.HIT if at == "c1" else FillStatus.FROM_PARENT
            router.attempt_finished(
                req, AttemptResult(hop, AttemptStatus.SUCCEEDED, SENDING, told, True), now
            )
        req = Request(id, "page", f"{draw.randrange(200)}", 1, 0, SENDING / MS, 3 * S)
        answer = several[mine].route(req, now)
        if isinstance(answer, Forward):
            over.append((now + SENDING, several[mine], id, answer.attempt_number))
            if at in (answer.endpoint, answer.fill_source if at == "p1" else None):
                times.append(now)
    return times


def budget(cold, at, began, now):
    """Reqs that the settings allow in the window from there on, N of the operators' page."""
    can = cold.initial_share + (1 - cold.initial_share) * max(0, now - began) / cold.ramp_time
    return LINKS[at] * can * cold.overload_factor * cold.window / SENDING


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
    for last, now in enumerate(times):  # windows that end with a req, wherever they begin
        while times[first] <= now - window:
            first += 1
        n = budget(cold, at, 10 * S, max(10 * S, now - window))
        assert last - first + 1 <= n + 2 * math.sqrt(n) + 2


@pytest.mark.parametrize("routers", [20, 30, 200])
@pytest.mark.parametrize("floor", [0.06, 0.25])
@pytest.mark.parametrize("fresh", [0, 1])
def test_no_cold_cache_is_left_without_any_req(routers, floor, fresh):
    """Parts of less than one req were none, for seconds; a router that has measured nothing takes reqs for
    longer than they are, so that its part is small: then some come, not many."""
    cold = SlowStart(initial_share=floor, ramp_time=16 * S, overload_factor=2.0, window=S, routers=routers)
    times = sent_to_cold(routers, cold, "c1", 600, random.Random(7), fresh=fresh)
    print(f"{routers} routers, floor {floor}, fresh {fresh}: {len(times)} reqs in {LENGTH // S} s")
    assert len(times) >= (1 if fresh else 10)
