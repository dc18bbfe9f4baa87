"""What the state machine holds of a request in flight and of its attempt.  Times are whole microseconds."""

from collections.abc import Set
from dataclasses import dataclass

from quartzrouter.routing.model import AttemptResult, AttemptStatus, FillStatus, Forward, LoadReport
from quartzrouter.server.events import ClientRequest, PurgeNotice, ResponseHead


@dataclass(slots=True)
class PendingAttempt:
    """The attempt of a request that is under way; a request has one at most.

    :param decision: what the router decided.
    :param started_at: when the connection for it was asked for.
    :param times_out_at: grows once the response's head has told how long the body is.
    :param is_sent: the connection was ready, and the request has been handed over to be written.
    :param is_outdated: an endpoint of the decision has become unusable, or a purge has come, since it was
        made.  Until it is sent it can be decided anew at no cost.
    """

    decision: Forward
    started_at: int
    times_out_at: int
    is_sent: bool = False
    is_outdated: bool = False
    response_head: ResponseHead | None = None

    @property
    def number(self) -> int:
        """Counts the attempts of the request from 0."""
        return self.decision.attempt_number

    def uses_any(self, endpoints: Set[str]) -> bool:
        """Whether it goes to one of these endpoints, or has one of them fill its miss."""
        return self.decision.endpoint in endpoints or self.decision.fill_source in endpoints

    def result(self, status: AttemptStatus, is_final: bool, now: int) -> AttemptResult:
        """What the router is told at its end.

        :param is_final: the request ends with it.
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
    """A request in flight: its client is owed a response, or its attempt is still under way.

    :param is_response_owed: False once the client has its response or has gone; the attempt may have to
        run to its end all the same.
    """

    client_request: ClientRequest
    is_response_owed: bool = True
    attempt: PendingAttempt | None = None

    @property
    def correlation_id(self) -> str:
        """In lower case, as clients may spell it either way."""
        return self.client_request.correlation_id.lower()

    def is_purged_by(self, purge: PurgeNotice) -> bool:
        """Whether it asks for an object that the purge names."""
        if purge.object_key:
            return self.client_request.object_key.lower() == purge.object_key
        return self.client_request.tag == purge.tag
