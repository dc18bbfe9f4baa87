"""Large objects take longer, and are answered as often: what bounds time and room knows their size."""

import heapq
import random

import anyio
import pytest
from conftest import MS, SETUP, S, listed
from standins import OK_RESPONSE

from quartzrouter.deployment_settings import DeploymentSettings
from quartzrouter.routing import router, timeouts
from quartzrouter.routing.model import FillStatus
from quartzrouter.server import cache_responses, effects, events, responses, state_machine

PACE = 300  # KB a second
LARGE, SMALL = 240_000, 5_000  # bytes
FLOOR = 2 / 3  # of its class's answered share that the largest reqs get on a quiet day


def told(**page):
    category = SETUP["categories"][0] | {"aim_us": 400 * MS, "aim_stretch": 2.0, "deadline_us": 5 * S} | page
    family = SETUP["family_info"] | {"flow_kb_per_s": PACE, "never_kept": [False]}
    return SETUP | {"categories": [category], "family_info": family}


class Paced:
    """A reducer, and caches that send at a pace; which reqs are answered, by size."""

    def __init__(self, head_first=True, **page):
        self.head_first = head_first  # else caches say nothing until they have all of an answer
        self.reducer = state_machine.RouterStateMachine(
            router.Router(**DeploymentSettings(told(**page), 7).router_arguments)
        )
        self.now, self.events, self.numbers = 10 * S, [], 0
        self.sizes, self.done, self.ends = {}, set(), {}
        self.sending, self.stuck = {}, set()
        names = dict.fromkeys(["c1", "c2", "c3", "p1", "o"], "up")
        addresses = {name: (f"127.0.0.{n}", 80) for n, name in enumerate(names, 1)}
        self.step(events.EndpointUpdate(listed(names), addresses, True))

    def at(self, when, event):
        self.numbers += 1
        heapq.heappush(self.events, (when, self.numbers, event))

    def step(self, event):
        for effect in self.reducer.step(event, self.now):
            match effect:
                case effects.OpenConnection(ticket, hop):
                    self.at(self.now + MS, events.ConnectionReady(ticket, hop))
                case effects.SendRequest(ticket, hop):
                    self.sending[ticket, hop] = True
                    head = events.ResponseHead(
                        ticket, hop, 200, self.sizes[ticket], False, True, FillStatus.HIT
                    )
                    took = self.sizes[ticket] / 1000 / PACE * S * 1.5  # the link is shared
                    self.at(self.now + 30 * MS + (0 if self.head_first else int(took)), head)
                    if ticket not in self.stuck:
                        self.at(self.now + 30 * MS + int(took), events.AttemptEnded(ticket, hop, None, b""))
                case effects.CancelAttempt(ticket, hop):
                    self.sending.pop((ticket, hop), None)
                case effects.SendResponse(ticket, data):
                    self.ends[ticket] = self.now
                    if data == responses.ok(b""):
                        self.done.add(ticket)

    def came(self, when, ticket, size):
        self.sizes[ticket] = size
        call = events.ClientRequest(f"{ticket:016x}", "page", f"{ticket % 50:016x}", 0, 1, 5 * S)
        self.at(when, events.RequestReceived(ticket, call))

    def play(self, until):
        while True:
            due = min(self.reducer.due, self.events[0][0] if self.events else until)
            if due >= until:
                return
            self.now = max(self.now, due)
            if self.events and self.events[0][0] <= self.now:
                event = heapq.heappop(self.events)[2]
                over = isinstance(event, (events.ResponseHead, events.AttemptEnded))
                if not over or (event.request_id, event.attempt_number) in self.sending:
                    self.step(event)
            else:
                self.step(events.TimerFired())

    def share(self, size):
        these = [ticket for ticket, each in self.sizes.items() if each == size]
        return sum(ticket in self.done for ticket in these) / len(these)


def test_large_responses_that_have_begun_are_not_taken_for_hangs():
    """Timeouts went by the mean size: the largest tenth was given up in the middle, each time."""
    paced, draw = Paced(), random.Random(5)
    for ticket in range(400):
        paced.came(10 * S + ticket * 100 * MS, ticket, LARGE if draw.random() < 0.1 else SMALL)
    paced.play(60 * S)
    print(f"answered: {paced.share(LARGE):.2f} of the large reqs, {paced.share(SMALL):.2f} of the others")
    assert set(paced.ends) == set(paced.sizes)
    assert paced.share(LARGE) >= FLOOR * len(paced.done) / len(paced.sizes)


def test_large_responses_announced_at_their_end_are_not_taken_for_hangs():
    """Caches say nothing until they have all of a response.

    Timeouts went by the mean size; now by what was seen of the class.
    """
    paced, draw = Paced(head_first=False, aim_us=100 * MS), random.Random(5)
    for ticket in range(400):
        paced.came(10 * S + ticket * 100 * MS, ticket, int(SMALL * (LARGE / SMALL) ** draw.random()))
    paced.play(60 * S)
    largest = sorted(paced.sizes, key=paced.sizes.get)[-40:]
    share = sum(ticket in paced.done for ticket in largest) / 40
    print(f"answered: {share:.2f} of the largest tenth, {len(paced.done) / 400:.2f} of all")
    assert set(paced.ends) == set(paced.sizes)
    assert share >= FLOOR * len(paced.done) / 400


def test_a_large_response_that_stops_in_the_middle_is_given_up_in_time():
    """A cache stops in the middle of a large response: it is given up before its client gives up."""
    paced = Paced()
    for ticket in range(40):
        paced.came(10 * S + ticket * 100 * MS, ticket, SMALL)
    paced.stuck.add(41)
    paced.came(15 * S, 41, LARGE)
    paced.play(30 * S)
    own = LARGE / 1_000 / PACE * S
    patience = timeouts.OBJECTIVE_MULTIPLE * (
        400 * MS + 2.0 * own
    )  # of its target, 3 s, where its client waits for 5
    assert 15 * S + patience <= paced.ends[41] <= 15 * S + patience + 10 * MS
    assert (41, 0) not in paced.sending


@pytest.mark.parametrize("memory", [1, 4])
def test_large_responses_are_sent_where_response_memory_is_small(world, memory):
    """At most one large response fits at once: small ones that come all the while don't pass it by."""
    ends, sizes = [], {}

    async def scene(connect):
        async def ask(client, ids):
            for id in ids:
                await client.send_request(id, HTTP_X_DEADLINE_MS="3000")
                said = await client.receive_response()
                ends.append((id, "200 OK" in said))

        for id in range(1, 97):
            sizes[id] = LARGE if id % 8 == 0 else SMALL
            head = OK_RESPONSE.replace(b"5\r\n\r\nabcde", b"%d\r\n\r\n" % sizes[id])
            world.responses[id] = [head + bytes(sizes[id])]
        clients = [await connect() for _ in range(12)]
        async with anyio.create_task_group() as tasks:
            for n, client in enumerate(clients, 1):
                tasks.start_soon(ask, client, range(n, 97, 12))
        assert world.router_process.cache_connections.response_memory.free == max(
            (memory << 20) // 8, cache_responses.MAX_BODY_SIZE
        )  # all of it was given back

    world.run_scene(scene, limits={"sockets": 128, "memory_mb": memory})
    share = {size: sum(good for id, good in ends if sizes[id] == size) for size in (LARGE, SMALL)}
    print(f"answered: {share[LARGE]} of 12 large reqs, {share[SMALL]} of 84 others")
    assert len(ends) == 96
    assert share[LARGE] / 12 >= FLOOR * sum(share.values()) / 96
