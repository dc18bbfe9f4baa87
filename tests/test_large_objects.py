"""Requests for large objects succeed as often as others: timeouts and memory limits allow for their size."""

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

TRANSFER_RATE = 300  # KB/s
LARGE_BYTES, SMALL_BYTES = 240_000, 5_000
MIN_RELATIVE_SHARE = 2 / 3  # answered share of the largest requests, divided by that of all in their class


FIRST_BYTE_DELAY = 30 * MS
SHARED_LINK_SLOWDOWN = 1.5  # factor on the sending time, as responses share the link


def settings_with(**page):
    """Returns settings with one traffic class, changed by ``page``, and with ``TRANSFER_RATE``."""
    category = SETUP["categories"][0] | {"aim_us": 400 * MS, "aim_stretch": 2.0, "deadline_us": 5 * S} | page
    family = SETUP["family_info"] | {"flow_kb_per_s": TRANSFER_RATE, "never_kept": [False]}
    return SETUP | {"categories": [category], "family_info": family}


class PacedCaches:
    """Simulates one state machine and caches with a limited transfer rate; records the answered requests.

    :param head_first: False if caches send nothing until they have the whole response.
    """

    def __init__(self, head_first=True, **page):
        self.head_first = head_first
        settings = DeploymentSettings(settings_with(**page), 7)
        self.state_machine = state_machine.RouterStateMachine(router.Router(**settings.router_arguments))
        self.now = 10 * S
        self.events = []  # heap of (time, sequence number that keeps the order, event)
        self.scheduled = 0
        self.sizes = {}  # by request id
        self.answered = set()  # request ids
        self.responded_at = {}  # by request id
        self.sending = set()  # attempts, as (request id, attempt number)
        self.stuck = set()  # ids of requests whose responses stop halfway
        names = dict.fromkeys(["c1", "c2", "c3", "p1", "o"], "up")
        addresses = {name: (f"127.0.0.{number}", 80) for number, name in enumerate(names, 1)}
        self.step(events.EndpointUpdate(listed(names), addresses, True))

    def schedule(self, when, event):
        """Schedules an event."""
        self.scheduled += 1
        heapq.heappush(self.events, (when, self.scheduled, event))

    def step(self, event):
        """Passes an event to the state machine, and applies its effects to the caches."""
        for effect in self.state_machine.step(event, self.now):
            match effect:
                case effects.OpenConnection(request_id, attempt_number):
                    self.schedule(self.now + MS, events.ConnectionReady(request_id, attempt_number))
                case effects.SendRequest(request_id, attempt_number):
                    self.respond(request_id, attempt_number)
                case effects.CancelAttempt(request_id, attempt_number):
                    self.sending.discard((request_id, attempt_number))
                case effects.SendResponse(request_id, data):
                    self.responded_at[request_id] = self.now
                    if data == responses.ok(b""):
                        self.answered.add(request_id)

    def respond(self, request_id, attempt_number):
        """Schedules the events of a cache's response."""
        self.sending.add((request_id, attempt_number))
        size = self.sizes[request_id]
        duration = int(size / 1000 / TRANSFER_RATE * S * SHARED_LINK_SLOWDOWN)
        first_byte_at = self.now + FIRST_BYTE_DELAY
        end_at = first_byte_at + duration
        head = events.ResponseHead(request_id, attempt_number, 200, size, False, True, FillStatus.HIT)
        self.schedule(first_byte_at if self.head_first else end_at, head)
        if request_id not in self.stuck:
            self.schedule(end_at, events.AttemptEnded(request_id, attempt_number, None, b""))

    def schedule_request(self, when, request_id, size):
        """Schedules the arrival of a request."""
        self.sizes[request_id] = size
        request = events.ClientRequest(f"{request_id:016x}", "page", f"{request_id % 50:016x}", 0, 1, 5 * S)
        self.schedule(when, events.RequestReceived(request_id, request))

    def run_until(self, end):
        """Processes all events and timers that are due before a time."""
        while True:
            next_event_at = self.events[0][0] if self.events else end
            due = min(self.state_machine.due, next_event_at)
            if due >= end:
                return
            self.now = max(self.now, due)
            if self.events and self.events[0][0] <= self.now:
                event = heapq.heappop(self.events)[2]
                of_attempt = isinstance(event, (events.ResponseHead, events.AttemptEnded))
                if not of_attempt or (event.request_id, event.attempt_number) in self.sending:
                    self.step(event)
            else:
                self.step(events.TimerFired())

    def answered_share(self, size):
        """Returns the share of requests for this size that were answered."""
        of_size = [request_id for request_id, each in self.sizes.items() if each == size]
        return sum(request_id in self.answered for request_id in of_size) / len(of_size)


def test_large_responses_that_have_begun_are_not_taken_for_hangs():
    """With timeouts based on the mean size, the largest tenth of responses was always given up halfway."""
    caches, draw = PacedCaches(), random.Random(5)
    for request_id in range(400):
        caches.schedule_request(
            10 * S + request_id * 100 * MS, request_id, LARGE_BYTES if draw.random() < 0.1 else SMALL_BYTES
        )
    caches.run_until(60 * S)
    large_share = caches.answered_share(LARGE_BYTES)
    small_share = caches.answered_share(SMALL_BYTES)
    print(f"answered: {large_share:.2f} of the large requests, {small_share:.2f} of the others")
    assert set(caches.responded_at) == set(caches.sizes)
    assert large_share >= MIN_RELATIVE_SHARE * len(caches.answered) / len(caches.sizes)


def test_large_responses_announced_at_their_end_are_not_taken_for_hangs():
    """Caches send nothing until they have the whole response, so its size is unknown meanwhile.

    Timeouts were based on the mean size; now they are based on the sending times of the traffic class.
    """
    caches, draw = PacedCaches(head_first=False, aim_us=100 * MS), random.Random(5)
    for request_id in range(400):
        caches.schedule_request(
            10 * S + request_id * 100 * MS,
            request_id,
            int(SMALL_BYTES * (LARGE_BYTES / SMALL_BYTES) ** draw.random()),
        )
    caches.run_until(60 * S)
    largest = sorted(caches.sizes, key=caches.sizes.get)[-40:]
    share = sum(request_id in caches.answered for request_id in largest) / 40
    print(f"answered: {share:.2f} of the largest tenth, {len(caches.answered) / 400:.2f} of all")
    assert set(caches.responded_at) == set(caches.sizes)
    assert share >= MIN_RELATIVE_SHARE * len(caches.answered) / 400


def test_a_large_response_that_stops_in_the_middle_is_given_up_in_time():
    """A large response that stops halfway is given up before its client's timeout."""
    caches = PacedCaches()
    for request_id in range(40):
        caches.schedule_request(10 * S + request_id * 100 * MS, request_id, SMALL_BYTES)
    caches.stuck.add(41)
    caches.schedule_request(15 * S, 41, LARGE_BYTES)
    caches.run_until(30 * S)
    sending_time = LARGE_BYTES / 1_000 / TRANSFER_RATE * S
    objective = 400 * MS + 2.0 * sending_time
    timeout = timeouts.OBJECTIVE_MULTIPLE * objective  # 3 s; the client waits for 5 s
    assert 15 * S + timeout <= caches.responded_at[41] <= 15 * S + timeout + 10 * MS
    assert (41, 0) not in caches.sending


@pytest.mark.parametrize("memory", [1, 4])
def test_large_responses_are_sent_where_response_memory_is_small(harness, memory):
    """At most one large response fits in memory, and a steady stream of small ones must not starve it."""
    answered, sizes = {}, {}

    async def run_clients(connect):
        async def send_all(client, ids):
            for id in ids:
                await client.send_request(id, HTTP_X_DEADLINE_MS="3000")
                answered[id] = "200 OK" in await client.receive_response()

        for id in range(1, 97):
            sizes[id] = LARGE_BYTES if id % 8 == 0 else SMALL_BYTES
            head = OK_RESPONSE.replace(b"5\r\n\r\nabcde", b"%d\r\n\r\n" % sizes[id])
            harness.responses[id] = [head + bytes(sizes[id])]
        clients = [await connect() for _ in range(12)]
        async with anyio.create_task_group() as tasks:
            for number, client in enumerate(clients, 1):
                tasks.start_soon(send_all, client, range(number, 97, 12))
        response_memory = harness.router_process.cache_connections.response_memory
        size = max((memory << 20) // 8, cache_responses.MAX_BODY_SIZE)
        assert response_memory.free == size  # all memory was released

    harness.run_steps(run_clients, limits={"sockets": 128, "memory_mb": memory})
    counts = {
        size: sum(good for id, good in answered.items() if sizes[id] == size)
        for size in (LARGE_BYTES, SMALL_BYTES)
    }
    print(f"answered: {counts[LARGE_BYTES]} of 12 large requests, {counts[SMALL_BYTES]} of 84 others")
    assert len(answered) == 96
    assert counts[LARGE_BYTES] / 12 >= MIN_RELATIVE_SHARE * sum(counts.values()) / 96
