"""How long an attempt may take.  No I/O."""

from quartzrouter.routing.in_flight import InFlightRequest
from quartzrouter.routing.model import Idempotency
from quartzrouter.routing.sending_times import SendingTimes

# Multiple of the latency objective after which an answer is given up.  A later one earns little and holds up
# others.
OBJECTIVE_MULTIPLE = 1.5
# Quantile, from 0 to 1, of a traffic class's sending times that an answer of unknown size is expected to
# take.
LARGE_QUANTILE = 0.95


class Timeouts:
    """Times by which an attempt is given up, so that another endpoint can still serve the request.

    Guards against endpoints that hang.  What takes its time because it is large must not be taken for a hang:
    it would be sent again for ever.
    """

    def __init__(self, sending_times: SendingTimes, load_in_responses: bool) -> None:
        """:param load_in_responses: whether responses tell of load: then unknown sizes have their time."""
        self.sending_times = sending_times
        self.load_in_responses = load_in_responses

    def attempt_deadline(self, in_flight: InFlightRequest) -> int:
        """The time by which an attempt is given up; the client's where it may not run twice."""
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
        """The time by which an answer that has begun is given up.

        :param size_kb: its size, which is known once it has begun.
        """
        return self._deadline(in_flight, self.sending_times.of_size(size_kb))

    def _deadline(self, in_flight: InFlightRequest, sending_time: float) -> int:
        objective = self.sending_times.latency_objective(in_flight, sending_time)
        return min(in_flight.deadline, in_flight.arrived_at + int(OBJECTIVE_MULTIPLE * objective))
