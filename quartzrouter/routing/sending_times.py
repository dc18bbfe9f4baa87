"""How long answers take to send at full transfer rate, and the latency objectives that follow.  No I/O."""

from collections.abc import Iterable

from quartzrouter.routing.estimators import Histogram
from quartzrouter.routing.in_flight import InFlightRequest
from quartzrouter.routing.model import Request, TrafficClass
from quartzrouter.routing.units import MILLISECOND, SECOND

# Lower edge of the histograms, in microseconds.  Shorter sending times are counted as this one.
SHORTEST_SENDING_TIME = 4 * MILLISECOND


class SendingTimes:
    """How long answers take to send, and by when a request should have its answer.

    :ivar transfer_rate: KB/s of one transfer; 0: not known.
    :ivar by_class: sending times of each traffic class.
    """

    def __init__(self, traffic_classes: Iterable[TrafficClass], transfer_rate: float) -> None:
        self.transfer_rate = transfer_rate
        self.by_class: dict[str, Histogram] = {}
        self.add_classes(traffic_class.name for traffic_class in traffic_classes)

    def add_classes(self, names: Iterable[str]) -> None:
        """Adds traffic classes; what has been learnt of those that are known stays."""
        for name in names:
            if name not in self.by_class:
                self.by_class[name] = Histogram(SHORTEST_SENDING_TIME)

    def of_size(self, size_kb: float) -> float:
        """:returns: the sending time of a size; 0 where the transfer rate is not known."""
        return size_kb / self.transfer_rate * SECOND if self.transfer_rate else 0.0

    def note_request(self, request: Request) -> None:
        """Learns the sending time of a request whose size is known in advance."""
        if request.size_kb and self.transfer_rate:
            self.by_class[request.traffic_class].add(self.of_size(request.size_kb))

    def expected(self, in_flight: InFlightRequest, default: float = 0.0) -> float:
        """:returns: a request's sending time by its size, else its class's mean, else the default."""
        own = self.of_size(in_flight.request.size_kb)
        return own or self.by_class[in_flight.traffic_class.name].mean(default)

    def class_mean(self, traffic_class: TrafficClass) -> int:
        """:returns: the mean sending time of a class: all routers charge slow-start budgets with it alike."""
        histogram = self.by_class[traffic_class.name]
        return int(histogram.mean(traffic_class.latency_objective))

    def latency_objective(self, in_flight: InFlightRequest, sending_time: float = 0.0) -> int:
        """The time from a request's arrival within which its answer is worth its full value.

        :param sending_time: of its answer; 0: as expected.
        """
        base = in_flight.traffic_class.latency_objective
        stretch = in_flight.traffic_class.objective_stretch
        return int(base + stretch * (sending_time or self.expected(in_flight, base)))
