"""All state changes of the real router: step(event, now) gives the effects, and touches nothing outside.

It owns the Router, the reqs in hand, their hops, the timers and the probes in flight.  Reading and writing
are effects that it asks for; what became of them comes back as events.
"""

import heapq
from dataclasses import dataclass

from quartzrouter.configuration import KB
from quartzrouter.routing.driver import MAINTENANCE_TIMER, RouterDriver
from quartzrouter.routing.model import (
    AttemptResult,
    AttemptStatus,
    EndpointState,
    FillStatus,
    Forward,
    LoadReport,
    Request,
)
from quartzrouter.routing.router import Router
from quartzrouter.server import responses
from quartzrouter.server.effects import (
    CancelAttempt,
    CloseIdleConnections,
    Effect,
    ExitProcess,
    FollowDiscovery,
    OpenConnection,
    SendRequest,
    SendResponse,
    StartHealthCheck,
)
from quartzrouter.server.events import (
    AttemptEnded,
    ClientGone,
    ClientRequest,
    ConfigurationReloaded,
    ConnectionReady,
    EndpointUpdate,
    Event,
    HealthCheckDone,
    PurgeNotice,
    RequestReceived,
    ResponseHead,
    ShutdownRequested,
    StatusQueried,
    TimerFired,
)

MS = 1_000

STOP_AFTER = 1_000 * MS  # us from SIGTERM: reqs keep arriving for 0.7 s, and a little for a busy machine
NEVER = 1 << 62  # us
DONE, SAME, LACKING, FULL, OVER = 200, 304, 404, 503, 504  # what a cache answers; others are errors


@dataclass(slots=True)
class PendingAttempt:
    """The one dispatch of a req that is out."""

    answer: Forward
    since: int
    until: int
    ready: bool = False
    stale: bool = False  # a drain or a purge came after it was decided
    head: ResponseHead | None = None


@dataclass(slots=True)
class PendingRequest:
    call: ClientRequest
    gone: bool = False  # the client has; what is out may have to run on
    going: PendingAttempt | None = None


class RouterStateMachine(RouterDriver):
    def __init__(self, router: Router):
        super().__init__(router)
        self.hands: dict[int, PendingRequest] = {}
        self.ids: set[str] = set()  # of the reqs that are owed an answer
        self.timers: list[tuple[int, int, tuple]] = []  # when due, a number that keeps the order, for what
        self.numbers = 0
        self.addresses: dict[str, tuple[str, int]] = {}  # of what is listed
        self.listed = False  # once there has been a line of the list
        self.probing: set[str] = set()
        self.stopping = self.closed = False  # after SIGTERM; once nothing more is taken
        self.effects: list[Effect] = []
        self.now = 0  # of the step under way

    def step(self, event: Event, now: int) -> list[Effect]:
        self.effects, self.now = [], now
        match event:
            case RequestReceived(ticket, call):
                self._came(ticket, call, now)
            case ClientGone(ticket):
                self._left(ticket, now)
            case ConnectionReady(ticket, hop):
                if going := self._going(ticket, hop):
                    self._ready(ticket, going, now)
            case ResponseHead(ticket, hop):
                if going := self._going(ticket, hop):
                    self._head(ticket, going, event, now)
            case AttemptEnded(ticket, hop):
                if going := self._going(ticket, hop):
                    self._over(ticket, going, event, now)
            case EndpointUpdate():
                self._heard(event, now)
            case PurgeNotice(group, obj, when):
                self.router.record_purge(group, obj, max(0, now - when), now)
                for hand in self.hands.values():
                    if hand.going and (
                        hand.call.object_key.lower() == obj if obj else hand.call.tag == group
                    ):
                        hand.going.stale = True
            case HealthCheckDone(name, ending):
                self.probing.discard(name)
                if (
                    ending is not AttemptStatus.NOT_SENT
                ):  # for want of room here, which says nothing of the cache
                    self.router.record_health_check(name, ending, {}, now)
            case StatusQueried(ticket):
                self.effects.append(SendResponse(ticket, responses.health(self.listed and not self.stopping)))
            case ConfigurationReloaded(address):
                self.effects.append(FollowDiscovery(address))
            case ShutdownRequested():
                self.stopping = True
                self._timer(now + STOP_AFTER, "stop")
            case TimerFired():
                # and nothing else: after a stop, answers that have come go ahead of their time-outs
                last = self.numbers  # what one sets for now waits for the next: a decision may always say now
                while self.timers and self.timers[0][0] <= now and self.timers[0][1] <= last:
                    self._fire(heapq.heappop(self.timers)[2], now)
        if self.effects or not isinstance(event, ResponseHead):  # which mostly tells the decisions nothing
            self.ask_wait(now)
        return self.effects

    @property
    def due(self) -> int:
        """When the next timer fires; those of what is over are passed over, so that nobody wakes for them."""
        while self.timers and self._idle(self.timers[0][2]):
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else NEVER

    @property
    def due_for(self) -> str:
        """What the next timer is for."""
        return " ".join(map(str, self.timers[0][2])) if self.timers else "nothing"

    def _idle(self, what: tuple) -> bool:
        match what:
            case ("hop", ticket, hop):
                return self._going(ticket, hop) is None
            case ("req", ticket):
                return ticket not in self.hands
        return False

    # -- what the decisions ask for ----------------------------------------------------------------

    def dispatch(self, req_id: int, given: Forward, now: int) -> None:
        self.hands[req_id].going = PendingAttempt(given, now, now + given.timeout)
        self._timer(now + given.timeout, "hop", req_id, given.attempt_number)
        self.effects.append(
            OpenConnection(req_id, given.attempt_number, given.endpoint, self.addresses[given.endpoint])
        )

    def call_off(self, req_id: int, hop: int, now: int) -> None:
        self._end(req_id, self.hands[req_id].going, AttemptStatus.CANCELLED, now)

    def deny(self, req_id: int, come_back: int) -> None:
        self._reply(req_id, responses.overloaded(come_back))

    def abort(self, req_id: int) -> None:
        self._reply(req_id, responses.failed())

    def probe(self, name: str, timeout: int) -> None:
        if name not in self.probing:
            self.probing.add(name)
            self.effects.append(StartHealthCheck(name, self.addresses[name], timeout))

    def subscribe(self) -> None:
        """The journal service tells without being asked."""

    def timer(self, due: int, now: int, tag: int) -> None:
        self._timer(due, "tag", tag)

    # -- events --------------------------------------------------------------------------------------

    def _came(self, ticket: int, call: ClientRequest, now: int) -> None:
        if call.correlation_id.lower() in self.ids:
            self.effects.append(SendResponse(ticket, responses.invalid(409, "X-Correlation-Id is in use")))
            return
        self.hands[ticket] = PendingRequest(call)
        self.ids.add(call.correlation_id.lower())
        if self.closed:
            self._reply(ticket, responses.overloaded(0))
            return
        self._timer(now + call.timeout - call.queueing_time, "req", ticket)
        self.take(self._req(ticket, call), now)

    def _req(self, ticket: int, call: ClientRequest) -> Request:
        return Request(
            ticket,
            call.traffic_class,
            call.object_key.lower(),
            call.tag,
            call.chunk,
            size_kb=0.0,
            timeout=call.timeout,
            queueing_time=call.queueing_time,
        )

    def _kept(self, call: ClientRequest) -> bool:
        """Whether caches keep copies of it, so that an answer has a tag and a time."""
        return not self.router.vhosts[call.traffic_class].uncacheable

    def _fields(self, call: ClientRequest) -> list[tuple[str, str]]:
        """What is passed on beside what the platform's page names."""
        return []

    def _left(self, ticket: int, now: int) -> None:
        if (hand := self.hands.get(ticket)) and not hand.gone:
            hand.gone = True
            self.ids.discard(hand.call.correlation_id.lower())
            self.left(ticket, now)
            if hand.going and not hand.going.ready:  # nothing of it has gone out, and nothing will
                self._end(ticket, hand.going, AttemptStatus.NOT_SENT, now)
            if not hand.going:
                self.hands.pop(ticket, None)

    def _ready(self, ticket: int, going: PendingAttempt, now: int) -> None:
        given, call = going.answer, self.hands[ticket].call
        if going.stale or now >= min(going.until, given.send_by):
            self._end(ticket, going, AttemptStatus.NOT_SENT, now)
            return
        going.ready = True
        fields = [("X-Hop-Id", call.correlation_id), ("X-Budget", str(max(1, (going.until - now) // MS)))]
        if call.idempotency_key:
            fields.append(("X-Replay-Key", call.idempotency_key))
        if given.fill_source != given.endpoint:
            fields.append(("X-Parent", given.fill_source))
        if given.cache_priority:
            fields.append(("X-Rank", str(given.cache_priority)))
        if given.max_age:
            fields.append(("X-Fresh-Ms", str(max(1, given.max_age // MS))))
        if opts := [
            word
            for word, on in (("ride", given.allow_collapsing), ("update", given.revalidate_in_background))
            if on
        ]:
            fields.append(("X-Opts", "+".join(opts)))
        if call.if_none_match:
            fields.append(("X-Have", call.if_none_match))
        fields += self._fields(call)
        target = f"/x/{call.traffic_class}/{call.object_key}/{call.chunk}"
        self.effects.append(SendRequest(ticket, given.attempt_number, target, fields, call.body))

    def _head(self, ticket: int, going: PendingAttempt, head: ResponseHead, now: int) -> None:
        call = self.hands[ticket].call
        going.head = head
        unmarked = head.status in (DONE, SAME) and self._kept(call) and not head.has_copy_headers
        if unmarked or (head.status == SAME and not call.if_none_match):
            self._end(
                ticket, going, AttemptStatus.CONNECTION_LOST, now
            )  # nothing that may be passed on; it may have run
        elif (
            head.content_length
            and (until := self.router.response_deadline(ticket, head.content_length / KB)) > going.until
        ):
            going.until = until
            self._timer(until, "hop", ticket, going.answer.attempt_number)

    def _over(self, ticket: int, going: PendingAttempt, event: AttemptEnded, now: int) -> None:
        head = going.head
        if event.failure is not None:
            ending = event.failure.ending()
        elif head.status in (DONE, SAME):
            ending = AttemptStatus.SUCCEEDED
        elif head.status == LACKING:
            ending = AttemptStatus.NOT_FOUND
        elif head.status in (FULL, OVER) and head.never_ran:
            ending = AttemptStatus.OVERLOADED if head.status == FULL else AttemptStatus.NOT_SENT
        else:
            ending = AttemptStatus.ERROR
        if ending is AttemptStatus.SUCCEEDED:
            self._reply(ticket, responses.not_modified() if head.status == SAME else responses.ok(event.body))
        self._end(ticket, going, ending, now, drop=False)

    def _heard(self, event: EndpointUpdate, now: int) -> None:
        for name, where in event.addresses.items():
            if self.addresses.get(name, where) != where:
                self.effects.append(CloseIdleConnections(name))
            self.addresses[name] = where
        told = {line.name: line.state for line in event.endpoints}
        if event.is_snapshot:
            told |= {name: EndpointState.GONE for name in self.addresses if name not in told}
        self.listed |= bool(told)
        self.router.update_endpoints(event.endpoints, event.is_snapshot, now)
        down = {name for name, state in told.items() if state is not EndpointState.UP}
        self.effects += [CloseIdleConnections(name) for name in sorted(down)]
        for name, state in told.items():
            if state is EndpointState.GONE:
                self.addresses.pop(name, None)
        for hand in self.hands.values():
            if hand.going and not down.isdisjoint(
                (hand.going.answer.endpoint, hand.going.answer.fill_source)
            ):
                hand.going.stale = True

    def _fire(self, what: tuple, now: int) -> None:
        match what:
            case ("tag", tag):
                if tag != MAINTENANCE_TIMER:
                    self.fired(tag, now)
            case ("hop", ticket, hop):
                going = self._going(ticket, hop)
                if going and now >= going.until:
                    self._end(
                        ticket,
                        going,
                        AttemptStatus.TIMED_OUT if going.ready else AttemptStatus.NOT_CONNECTED,
                        now,
                    )
            case ("req", ticket):
                hand = self.hands.get(ticket)
                if hand and not hand.gone:  # the decisions end it sooner; should they not, here it ends
                    self.effects.append(SendResponse(ticket, responses.failed()))
                    self._left(ticket, now)
            case ("stop",):
                self.closed = True
                if self.hands:
                    self._timer(now + 10 * MS, "stop")
                else:
                    self.effects.append(ExitProcess())

    # -- parts of them -------------------------------------------------------------------------------

    def _going(self, ticket: int, hop: int) -> PendingAttempt | None:
        """The dispatch that an event speaks of, unless it has been given up meanwhile."""
        hand = self.hands.get(ticket)
        going = hand.going if hand else None
        return going if going and going.answer.attempt_number == hop else None

    def _end(
        self, ticket: int, going: PendingAttempt, ending: AttemptStatus, now: int, drop: bool = True
    ) -> None:
        if drop:
            self.effects.append(CancelAttempt(ticket, going.answer.attempt_number))
        hand = self.hands[ticket]
        hand.going = None
        told, report = (
            (going.head.fill_status, going.head.load_report)
            if going.head
            else (FillStatus.UNKNOWN, LoadReport())
        )
        over = hand.gone or ending is AttemptStatus.SUCCEEDED
        if over:
            self.hands.pop(ticket, None)
        self.ended(
            ticket,
            AttemptResult(going.answer.attempt_number, ending, now - going.since, told, over, report),
            now,
        )

    def _reply(self, ticket: int, data: bytes) -> None:
        """The end of a req, unless its client has gone."""
        hand = self.hands[ticket]
        if not hand.gone:
            self.effects.append(SendResponse(ticket, data))
            self.ids.discard(hand.call.correlation_id.lower())
        hand.gone = True
        if not hand.going:
            del self.hands[ticket]

    def _timer(self, due: int, *what: object) -> None:
        due = max(due, self.now)  # those set for before now would go ahead of what is due already
        self.numbers += 1
        heapq.heappush(self.timers, (due, self.numbers, what))
