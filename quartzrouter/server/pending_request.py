"""The state machine's state of a request in flight and of its attempt.  Times are whole microseconds."""

from collections.abc import Set
from dataclasses import dataclass

from quartzrouter.routing.model import AttemptResult, AttemptStatus, FillStatus, Forward, LoadReport
from quartzrouter.server.events import ClientRequest, PurgeNotice, ResponseHead


@dataclass(slots=True)
class PendingAttempt:
    """The running attempt of a request, which has one at most.

    :param decision: the routing decision that it carries out.
    :param started_at: when its connection was requested.
    :param times_out_at: later for a long body, once the response's head has told its length.
    :param is_sent: the connection was ready, and the request has been passed on to be written.
    :param is_outdated: since the decision, one of its endpoints has become unusable or a purge has arrived.
        Until the request is sent it can be routed again at no cost.
    """

    decision: Forward
    started_at: int
    times_out_at: int
    is_sent: bool = False
    is_outdated: bool = False
    response_head: ResponseHead | None = None

    @property
    def number(self) -> int:
        """Returns the number of the attempt, counted from 0 for each request."""
        return self.decision.attempt_number

    def uses_any(self, endpoints: Set[str]) -> bool:
        """Returns True if it is sent to one of these endpoints, or one of them is to fill a miss."""
        return self.decision.endpoint in endpoints or self.decision.fill_source in endpoints

    def result(self, status: AttemptStatus, is_final: bool, now: int) -> AttemptResult:
        """Returns the attempt's result for the router.

        :param is_final: True if the request ends with this attempt.
        """
        head = self.response_head
        return AttemptResult(
            attempt_number=self.number,
            status=status,
            elapsed=now - self.started_at,
            fill_status=head.fill_status if head else FillStatus.UNKNOWN,
            final=is_final,
            load_report=head.load_report if head else LoadReport(),
        )


@dataclass(slots=True)
class PendingRequest:
    """A request in flight: its client is owed a response, or its attempt is still running.

    :param was_sent: an attempt has been passed on to be written, so the request may have been executed.
    :param is_response_owed: False once the client has its response or has disconnected; the attempt may
        nevertheless have to run to its end.
    """

    client_request: ClientRequest
    is_response_owed: bool = True
    was_sent: bool = False
    attempt: PendingAttempt | None = None

    @property
    def correlation_id(self) -> str:
        """Returns the correlation id in lower case, as clients may send it in either case."""
        return self.client_request.correlation_id.lower()

    def is_purged_by(self, purge: PurgeNotice) -> bool:
        """Returns True if the requested object is affected by the purge."""
        if purge.object_key:
            return self.client_request.object_key.lower() == purge.object_key
        return self.client_request.tag == purge.tag
