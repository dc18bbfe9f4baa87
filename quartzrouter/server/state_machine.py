"""The state machine of the router process: ``step(event, now)`` returns effects, and does no I/O.

It owns the Router, the requests in flight with their attempts, the timers and the running health checks.
It requests I/O by effects, and the outcome comes back as events.  Each event is handled completely before
the next one, so events never interleave.

Times are whole microseconds.
"""

from dataclasses import replace

from quartzrouter.deployment_settings import BYTES_PER_KB
from quartzrouter.routing.driver import MAINTENANCE_TIMER, RouterDriver
from quartzrouter.routing.model import (
    AttemptStatus,
    Endpoint,
    EndpointState,
    Forward,
    Idempotency,
    Request,
    TrafficClass,
)
from quartzrouter.routing.router import Router
from quartzrouter.server import cache_protocol, responses
from quartzrouter.server.cache_protocol import HTTP_NOT_MODIFIED, HTTP_OK
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
from quartzrouter.server.pending_request import PendingAttempt, PendingRequest
from quartzrouter.server.sent_ids import SentIds
from quartzrouter.server.timers import (
    AttemptTimeout,
    ClientDeadline,
    DeferredRequest,
    MaintenanceTimer,
    ShutdownGracePeriod,
    Timer,
    TimerQueue,
)

MICROSECONDS_PER_MS = 1_000

# Time from SIGTERM: requests keep arriving for 0.7 s, and a busy machine reads them late.
SHUTDOWN_GRACE = 1_000 * MICROSECONDS_PER_MS
EXIT_CHECK_INTERVAL = 10 * MICROSECONDS_PER_MS  # between checks whether the last request has its response


class RouterStateMachine(RouterDriver):
    """The router process without its I/O; see the module docstring.

    :param router: makes the routing decisions.
    """

    def __init__(self, router: Router):
        super().__init__(router)
        self.in_flight: dict[int, PendingRequest] = {}  # by request id
        self.open_correlation_ids: set[str] = set()  # of requests without a response, in lower case
        self.sent_ids = SentIds()  # in lower case
        self.timers = TimerQueue()
        self.addresses: dict[str, tuple[str, int]] = {}  # host and port by the name of a listed endpoint
        self.listed_endpoints: dict[str, Endpoint] = {}  # by name, as listed last
        self.has_endpoint_list = False  # True once any endpoint was listed
        self.health_checks: set[str] = set()  # endpoints whose health check is running
        self.is_shutting_down = False  # True from SIGTERM on
        self.is_closed = False  # True once the grace period is over; new requests are rejected
        self.effects: list[Effect] = []  # of the current step
        self.now = 0  # time of the current step

    def step(self, event: Event, now: int) -> list[Effect]:
        """Handles one event.

        :param now: the time, not earlier than that of the previous step.
        :returns: the effects to carry out, in order.
        """
        self.effects = []
        self.now = now
        self._handle(event, now)
        if self.effects or not isinstance(event, ResponseHead):  # most heads change nothing for the router
            self.run_maintenance(now)
        return self.effects

    def _handle(self, event: Event, now: int) -> None:
        match event:
            case RequestReceived(request_id, client_request):
                self._request_received(request_id, client_request, now)
            case ClientGone(request_id):
                self._client_gone(request_id, now)
            case ConnectionReady(request_id, attempt_number):
                if attempt := self._attempt_under_way(request_id, attempt_number):
                    self._connection_ready(request_id, attempt, now)
            case ResponseHead(request_id, attempt_number):
                if attempt := self._attempt_under_way(request_id, attempt_number):
                    self._response_head(request_id, attempt, event, now)
            case AttemptEnded(request_id, attempt_number):
                if attempt := self._attempt_under_way(request_id, attempt_number):
                    self._attempt_ended(request_id, attempt, event, now)
            case EndpointUpdate():
                self._endpoints_updated(event, now)
            case PurgeNotice():
                self._purged(event, now)
            case HealthCheckDone(endpoint, status):
                self._health_check_done(endpoint, status, now)
            case StatusQueried(request_id):
                is_ready = self.has_endpoint_list and not self.is_shutting_down
                self.effects.append(SendResponse(request_id, responses.health(is_ready)))
            case ConfigurationReloaded(discovery_address):
                self.effects.append(FollowDiscovery(discovery_address))
            case ShutdownRequested():
                self.is_shutting_down = True
                self._add_timer(now + SHUTDOWN_GRACE, ShutdownGracePeriod())
            case TimerFired():
                self._timers_due(now)

    # -- timers ------------------------------------------------------------------------------------

    @property
    def due(self) -> int:
        """Returns the time at which the process has to send ``TimerFired`` for the next timer."""
        return self.timers.next_due(self._is_obsolete)

    @property
    def next_timer_description(self) -> str:
        """Describes the next timer, for the log."""
        return self.timers.describe_next()

    def _is_obsolete(self, timer: Timer) -> bool:
        match timer:
            case AttemptTimeout(request_id, attempt_number):
                return self._attempt_under_way(request_id, attempt_number) is None
            case ClientDeadline(request_id):
                return request_id not in self.in_flight
        return False

    def _add_timer(self, due: int, timer: Timer) -> None:
        """Sets a timer, at the earliest for now: a time in the past would put it before those already due."""
        self.timers.set(max(due, self.now), timer)

    def _timers_due(self, now: int) -> None:
        """Fires all timers that are due; only the ``TimerFired`` event does this.

        Guards against a process that was stopped or got no CPU: if every event fired the timers, attempts
        would time out before the responses that have arrived meanwhile are read.

        A timer that is set for now while others fire waits for the next step. Otherwise a router that always
        defers by 0 would keep this step running forever.
        """
        last_number = self.timers.last_number
        while (timer := self.timers.pop_due(now, last_number)) is not None:
            self._timer_fired(timer, now)

    def _timer_fired(self, timer: Timer, now: int) -> None:
        match timer:
            case MaintenanceTimer():
                pass  # each step ends with maintenance
            case DeferredRequest(number):
                self.resume_deferred(number, now)
            case AttemptTimeout(request_id, attempt_number):
                self._attempt_timed_out(request_id, attempt_number, now)
            case ClientDeadline(request_id):
                self._client_deadline_passed(request_id, now)
            case ShutdownGracePeriod():
                self._close(now)

    def _attempt_timed_out(self, request_id: int, attempt_number: int, now: int) -> None:
        attempt = self._attempt_under_way(request_id, attempt_number)
        if attempt is None or now < attempt.times_out_at:  # it has ended, or was given more time
            return
        status = AttemptStatus.TIMED_OUT if attempt.is_sent else AttemptStatus.NOT_CONNECTED
        self._abandon_attempt(request_id, attempt, status, now)

    def _client_deadline_passed(self, request_id: int, now: int) -> None:
        """Fails a request that the router should have ended before its client stops waiting."""
        pending = self.in_flight.get(request_id)
        if pending and pending.is_response_owed:
            self.effects.append(SendResponse(request_id, responses.failed()))
            self._client_gone(request_id, now)

    def _close(self, now: int) -> None:
        """Starts to reject new requests, and exits once no request is in flight."""
        self.is_closed = True
        if self.in_flight:
            self._add_timer(now + EXIT_CHECK_INTERVAL, ShutdownGracePeriod())
        else:
            self.effects.append(ExitProcess())

    # -- decisions of the router -------------------------------------------------------------------

    def forward(self, request_id: int, decision: Forward, now: int) -> None:
        """Starts an attempt: opens a connection and sets the timeout."""
        times_out_at = now + decision.timeout
        self.in_flight[request_id].attempt = PendingAttempt(decision, now, times_out_at)
        self._add_timer(times_out_at, AttemptTimeout(request_id, decision.attempt_number))
        address = self.addresses[decision.endpoint]
        self.effects.append(OpenConnection(request_id, decision.attempt_number, decision.endpoint, address))

    def cancel_attempt(self, request_id: int, attempt_number: int, now: int) -> None:
        """Abandons the attempt."""
        attempt = self.in_flight[request_id].attempt
        self._abandon_attempt(request_id, attempt, AttemptStatus.CANCELLED, now)

    def reject(self, request_id: int, retry_after: int) -> None:
        """Responds with 503."""
        self._respond(request_id, responses.overloaded(retry_after))

    def fail(self, request_id: int) -> None:
        """Responds with 502."""
        self._respond(request_id, responses.failed())

    def start_health_check(self, endpoint: str, timeout: int) -> None:
        """Starts a health check, unless one of this endpoint is running."""
        if endpoint not in self.health_checks:
            self.health_checks.add(endpoint)
            self.effects.append(StartHealthCheck(endpoint, self.addresses[endpoint], timeout))

    def subscribe_to_endpoints(self) -> None:
        """Does nothing: the discovery service sends the endpoint list unasked."""

    def set_timer(self, due: int, now: int, number: int) -> None:
        """Sets a timer of the driver."""
        timer = MaintenanceTimer() if number == MAINTENANCE_TIMER else DeferredRequest(number)
        self._add_timer(due, timer)

    # -- events of requests ------------------------------------------------------------------------

    def _request_received(self, request_id: int, client_request: ClientRequest, now: int) -> None:
        pending = PendingRequest(client_request)
        if pending.correlation_id in self.open_correlation_ids:
            response = responses.invalid(409, "X-Correlation-Id is in use")
            self.effects.append(SendResponse(request_id, response))
            return
        if self.sent_ids.contains(pending.correlation_id, now):
            response = responses.invalid(409, "X-Correlation-Id has been used")
            self.effects.append(SendResponse(request_id, response))
            return
        self.in_flight[request_id] = pending
        self.open_correlation_ids.add(pending.correlation_id)
        if self.is_closed:
            self._respond(request_id, responses.overloaded(0))
            return
        time_left = client_request.timeout - client_request.queueing_time
        self._add_timer(now + time_left, ClientDeadline(request_id))
        self.accept_request(self._to_request(request_id, client_request), now)

    def _to_request(self, request_id: int, client_request: ClientRequest) -> Request:
        """Converts a client's request to the router's form."""
        return Request(
            id=request_id,
            traffic_class=client_request.traffic_class,
            object_key=client_request.object_key.lower(),
            tag=client_request.tag,
            chunk=client_request.chunk,
            size_kb=0.0,
            timeout=client_request.timeout,
            queueing_time=client_request.queueing_time,
        )

    def _traffic_class(self, client_request: ClientRequest) -> TrafficClass:
        """Returns the traffic class of a request."""
        return self.router.traffic_classes[client_request.traffic_class]

    def _is_cacheable(self, client_request: ClientRequest) -> bool:
        """Returns True if caches keep copies of the object, so that responses tell the copy and its age."""
        return not self._traffic_class(client_request).uncacheable

    def _may_run_again(self, client_request: ClientRequest) -> bool:
        """Returns True if a second execution of the request has no effect."""
        return self._traffic_class(client_request).idempotency is Idempotency.IDEMPOTENT

    def _extra_headers(self, client_request: ClientRequest) -> list[tuple[str, str]]:
        """Returns headers that are sent in addition to those of the platform's protocol."""
        return []

    def _client_gone(self, request_id: int, now: int) -> None:
        pending = self.in_flight.get(request_id)
        if pending is None or not pending.is_response_owed:
            return
        pending.is_response_owed = False
        self.open_correlation_ids.discard(pending.correlation_id)
        if pending.was_sent:
            self.sent_ids.add(pending.correlation_id, now)
        self.cancel_request(request_id, now)
        if pending.attempt and not pending.attempt.is_sent:  # nothing was sent, and nothing will be
            self._abandon_attempt(request_id, pending.attempt, AttemptStatus.NOT_SENT, now)
        if not pending.attempt:
            self.in_flight.pop(request_id, None)

    def _respond(self, request_id: int, data: bytes) -> None:
        """Sends the final response to a request, unless its client has gone."""
        pending = self.in_flight[request_id]
        if pending.is_response_owed:
            self.effects.append(SendResponse(request_id, data))
            self.open_correlation_ids.discard(pending.correlation_id)
            # Whether the client is still there to receive the response is not known.
            if pending.was_sent and not self._may_run_again(pending.client_request):
                self.sent_ids.add(pending.correlation_id, self.now)
        pending.is_response_owed = False
        if not pending.attempt:
            del self.in_flight[request_id]

    # -- events of attempts ------------------------------------------------------------------------

    def _attempt_under_way(self, request_id: int, attempt_number: int) -> PendingAttempt | None:
        """Returns the attempt of an event or a timer, or None if it has ended or was cancelled meanwhile."""
        pending = self.in_flight.get(request_id)
        attempt = pending.attempt if pending else None
        return attempt if attempt and attempt.number == attempt_number else None

    def _connection_ready(self, request_id: int, attempt: PendingAttempt, now: int) -> None:
        """Sends the request, or ends the attempt without sending if its decision is no longer valid."""
        client_request, decision = self.in_flight[request_id].client_request, attempt.decision
        is_too_late = now >= min(attempt.times_out_at, decision.send_by)
        if attempt.is_outdated or is_too_late:
            self._abandon_attempt(request_id, attempt, AttemptStatus.NOT_SENT, now)
            return
        attempt.is_sent = True
        self.in_flight[request_id].was_sent = True
        target = cache_protocol.request_target(client_request)
        headers = cache_protocol.request_headers(client_request, decision, attempt.times_out_at - now)
        headers += self._extra_headers(client_request)
        self.effects.append(
            SendRequest(request_id, decision.attempt_number, target, headers, client_request.body)
        )

    def _response_head(self, request_id: int, attempt: PendingAttempt, head: ResponseHead, now: int) -> None:
        """Abandons a response that can't be passed on; extends the timeout of any other by its length."""
        attempt.response_head = head
        if not self._is_usable(self.in_flight[request_id].client_request, head):
            # The request may have been executed.
            self._abandon_attempt(request_id, attempt, AttemptStatus.CONNECTION_LOST, now)
        elif head.content_length:
            deadline = self.router.response_deadline(request_id, head.content_length / BYTES_PER_KB)
            if deadline > attempt.times_out_at:
                attempt.times_out_at = deadline
                self._add_timer(deadline, AttemptTimeout(request_id, attempt.number))

    def _is_usable(self, client_request: ClientRequest, head: ResponseHead) -> bool:
        """Returns True if a response may be passed on: a cacheable copy is named, a 304 requested."""
        if head.status not in (HTTP_OK, HTTP_NOT_MODIFIED):
            return True
        if self._is_cacheable(client_request) and not head.has_copy_headers:
            return False
        return head.status == HTTP_OK or bool(client_request.if_none_match)

    def _attempt_ended(self, request_id: int, attempt: PendingAttempt, event: AttemptEnded, now: int) -> None:
        """Passes on a complete response, and tells the router how the attempt ended."""
        head = attempt.response_head
        status = event.failure.attempt_status() if event.failure else cache_protocol.attempt_status(head)
        if status is AttemptStatus.SUCCEEDED:
            not_modified = head.status == HTTP_NOT_MODIFIED
            self._respond(request_id, responses.not_modified() if not_modified else responses.ok(event.body))
        self._finish_attempt(request_id, attempt, status, now)

    def _abandon_attempt(
        self, request_id: int, attempt: PendingAttempt, status: AttemptStatus, now: int
    ) -> None:
        """Closes the attempt's connection and ends the attempt."""
        self.effects.append(CancelAttempt(request_id, attempt.number))
        self._finish_attempt(request_id, attempt, status, now)

    def _finish_attempt(
        self, request_id: int, attempt: PendingAttempt, status: AttemptStatus, now: int
    ) -> None:
        """Removes an attempt, of which no more events count, and tells the router."""
        pending = self.in_flight[request_id]
        pending.attempt = None
        is_final = not pending.is_response_owed or status is AttemptStatus.SUCCEEDED
        if is_final:
            self.in_flight.pop(request_id, None)
        self.record_result(request_id, attempt.result(status, is_final, now), now)

    # -- events of endpoints -----------------------------------------------------------------------

    def _endpoints_updated(self, update: EndpointUpdate, now: int) -> None:
        update = update._replace(endpoints=[*update.endpoints, *self._displaced_endpoints(update)])
        self.listed_endpoints |= {endpoint.name: endpoint for endpoint in update.endpoints}
        self._update_addresses(update.addresses)
        states = {endpoint.name: endpoint.state for endpoint in update.endpoints}
        if update.is_snapshot:
            states |= {name: EndpointState.GONE for name in self.addresses if name not in states}
        if states:
            self.has_endpoint_list = True
        self.router.update_endpoints(update.endpoints, update.is_snapshot, now)
        unusable = {name for name, state in states.items() if state is not EndpointState.UP}
        self.effects += [CloseIdleConnections(name) for name in sorted(unusable)]
        for name, state in states.items():
            if state is EndpointState.GONE:
                self.addresses.pop(name, None)
                self.listed_endpoints.pop(name, None)
        for pending in self.in_flight.values():
            if pending.attempt and pending.attempt.uses_any(unusable):
                pending.attempt.is_outdated = True

    def _displaced_endpoints(self, update: EndpointUpdate) -> list[Endpoint]:
        """Returns, as gone, the endpoints at whose addresses an update lists new ones.

        Guards against a new process that is taken for the one before it at its address: the end of that one
        may be told later, or never, and its share of the requests would reach the new process meanwhile,
        however cold it is.
        """
        states = {endpoint.name: endpoint.state for endpoint in update.endpoints}
        taken = {
            address
            for name, address in update.addresses.items()
            if name not in self.addresses and states.get(name) is not EndpointState.GONE
        }
        return [
            replace(self.listed_endpoints[name], state=EndpointState.GONE)
            for name, address in self.addresses.items()
            if address in taken and name not in states
        ]

    def _update_addresses(self, addresses: dict[str, tuple[str, int]]) -> None:
        """Records the endpoints' addresses, and closes connections to former addresses."""
        for name, address in addresses.items():
            if self.addresses.get(name, address) != address:
                self.effects.append(CloseIdleConnections(name))
            self.addresses[name] = address

    def _purged(self, purge: PurgeNotice, now: int) -> None:
        age = max(0, now - purge.purged_at)
        self.router.record_purge(purge.tag, purge.object_key, age, now)
        for pending in self.in_flight.values():
            if pending.attempt and pending.is_purged_by(purge):
                pending.attempt.is_outdated = True

    def _health_check_done(self, endpoint: str, status: AttemptStatus, now: int) -> None:
        self.health_checks.discard(endpoint)
        if status is not AttemptStatus.NOT_SENT:  # no descriptor was free: nothing was learned
            self.router.record_health_check(endpoint, status, now)
