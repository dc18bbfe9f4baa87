"""The base class of drivers, which carry out the decisions of a Router.

A Router only returns decisions: to forward, defer, reject or fail a request.  A RouterDriver tracks the
requests without a final response, the deferred requests, and the time at which the router's maintenance is
due.  Its subclasses define how a request is forwarded and a timer is set: the state machine of the router
process and the simulator's adapter.

All times are whole microseconds on one clock, whose time the caller passes in.
"""

from abc import ABC, abstractmethod

from quartzrouter.routing.model import AttemptResult, Decision, Defer, Fail, Forward, Reject, Request
from quartzrouter.routing.router import Router

MAINTENANCE_TIMER = 0  # number of the maintenance timer; timers of deferred requests count from 1


class RouterDriver(ABC):
    """Carries out the decisions of one router.

    :param router: a Router, or a MultiPoolRouter, which has the same methods.
    """

    def __init__(self, router: Router):
        self.router = router
        self.requests: dict[int, Request] = {}  # those without a final response, by request id
        self.deferred: dict[int, int] = {}  # request id by the number of its timer
        self.last_timer_number = MAINTENANCE_TIMER
        self.maintenance_due: int | None = None  # None: its timer was never set

    # -- to be implemented -------------------------------------------------------------------------

    @abstractmethod
    def forward(self, request_id: int, decision: Forward, now: int) -> None:
        """Starts an attempt: sends the request to the endpoint that the decision names."""

    @abstractmethod
    def cancel_attempt(self, request_id: int, attempt_number: int, now: int) -> None:
        """Cancels an attempt whose client has left."""

    @abstractmethod
    def reject(self, request_id: int, retry_after: int) -> None:
        """Responds that there is no capacity for the request.

        :param retry_after: microseconds after which the client may retry; 0: no time is sent.
        """

    @abstractmethod
    def fail(self, request_id: int) -> None:
        """Responds that the request has failed."""

    @abstractmethod
    def start_health_check(self, endpoint: str, timeout: int) -> None:
        """Starts a health check, which times out if the endpoint has not responded within the timeout."""

    @abstractmethod
    def subscribe_to_endpoints(self) -> None:
        """Requests the endpoint list from the discovery service, if the list is not pushed."""

    @abstractmethod
    def set_timer(self, due: int, now: int, number: int) -> None:
        """Sets a timer.

        :param due: the time at which it fires.
        :param number: ``MAINTENANCE_TIMER``, or the number of a deferred request, for ``resume_deferred()``.
        """

    # -- shared ------------------------------------------------------------------------------------

    def accept_request(self, request: Request, now: int) -> None:
        """Passes a new request to the router and carries out its decision."""
        self.requests[request.id] = request
        self._carry_out(request.id, self.router.route(request, now), now)

    def record_result(self, request_id: int, result: AttemptResult, now: int) -> None:
        """Reports the result of an attempt to the router, and carries out its next decision."""
        decision = self.router.attempt_finished(request_id, result, now)
        if result.final:
            self.requests.pop(request_id, None)
        self._carry_out(request_id, decision, now)

    def cancel_request(self, request_id: int, now: int) -> None:
        """Ends a request whose client has left, and cancels its attempt if that is possible."""
        self.requests.pop(request_id, None)
        attempt_number = self.router.cancel_request(request_id)
        if attempt_number is not None:
            self.cancel_attempt(request_id, attempt_number, now)

    def resume_deferred(self, number: int, now: int) -> None:
        """Asks the router again about the deferred request whose timer has fired, unless it has ended."""
        request = self.requests.get(self.deferred.pop(number, -1))
        if request is not None:
            self._carry_out(request.id, self.router.route(request, now), now)

    def run_maintenance(self, now: int) -> None:
        """Carries out the router's maintenance actions, and keeps a timer set for the next ones."""
        actions = self.router.maintenance(now)
        for endpoint in actions.health_checks:
            self.start_health_check(endpoint, actions.health_check_timeout)
        if actions.needs_discovery:
            self.subscribe_to_endpoints()
        next_due = now + actions.delay
        has_timer = self.maintenance_due is not None and now < self.maintenance_due <= next_due
        if not has_timer:
            self.maintenance_due = next_due
            self.set_timer(next_due, now, MAINTENANCE_TIMER)

    def _carry_out(self, request_id: int, decision: Decision | None, now: int) -> None:
        match decision:
            case Forward():
                self.forward(request_id, decision, now)
            case Defer(delay=delay):
                self.last_timer_number += 1
                self.deferred[self.last_timer_number] = request_id
                self.set_timer(now + delay, now, self.last_timer_number)
            case Reject(retry_after=retry_after):
                self.requests.pop(request_id, None)
                self.reject(request_id, retry_after)
            case Fail():
                self.requests.pop(request_id, None)
                self.fail(request_id)
