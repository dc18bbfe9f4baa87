"""Timeouts of attempts.  No I/O."""

from quartzrouter.routing.in_flight import InFlightRequest
from quartzrouter.routing.model import Idempotency
from quartzrouter.routing.sending_times import SendingTimes

# Multiple of the latency objective after which a response is given up.  A later one has little value and
# delays others.
OBJECTIVE_MULTIPLE = 1.5
# Quantile, from 0 to 1, of a traffic class's sending times that is allowed for a response of unknown size.
LARGE_QUANTILE = 0.95


class Timeouts:
    """Calculates when attempts are given up, so that another endpoint can serve the request.

    This protects against endpoints that hang.  A response that takes long because it is large must not be
    treated as a hang, as the request would be sent again without end.
    """

    def __init__(self, sending_times: SendingTimes, load_in_responses: bool) -> None:
        """:param load_in_responses: whether responses report load; if so, responses of unknown size may take
        until the client's timeout.
        """
        self.sending_times = sending_times
        self.load_in_responses = load_in_responses

    def attempt_deadline(self, in_flight: InFlightRequest) -> int:
        """Returns the time at which an attempt is given up.

        It is the client's deadline if the request may not be executed twice.
        """
        has_size = bool(in_flight.request.size_kb)
        is_idempotent = in_flight.traffic_class.idempotency is Idempotency.IDEMPOTENT
        if not is_idempotent or (self.load_in_responses and not has_size):
            return in_flight.deadline
        large = 0.0
        if not has_size:
            histogram = self.sending_times.by_class[in_flight.traffic_class.name]
            large = histogram.quantile(LARGE_QUANTILE, 0.0)
        return self._deadline(in_flight, large)

    def response_deadline(self, in_flight: InFlightRequest, size_kb: float) -> int:
        """Returns the time at which a response that has started is given up.

        :param size_kb: its size, which is known from its start.
        """
        return self._deadline(in_flight, self.sending_times.of_size(size_kb))

    def _deadline(self, in_flight: InFlightRequest, sending_time: float) -> int:
        objective = self.sending_times.latency_objective(in_flight, sending_time)
        return min(in_flight.deadline, in_flight.arrived_at + int(OBJECTIVE_MULTIPLE * objective))
