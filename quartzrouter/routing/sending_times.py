"""Sending times of responses at full transfer rate, and latency objectives based on them.  No I/O."""

from collections.abc import Iterable

from quartzrouter.routing.estimators import Histogram
from quartzrouter.routing.in_flight import InFlightRequest
from quartzrouter.routing.model import Request, TrafficClass
from quartzrouter.routing.units import MILLISECOND, SECOND

# Lower edge of the histograms, in microseconds.  Shorter sending times are counted in the first bin.
SHORTEST_SENDING_TIME = 4 * MILLISECOND


class SendingTimes:
    """Estimates the sending times of responses, and derives latency objectives from them.

    :ivar transfer_rate: rate of one transfer in KB/s; 0: unknown.
    :ivar by_class: histograms of sending times, by the name of the traffic class.
    """

    def __init__(self, traffic_classes: Iterable[TrafficClass], transfer_rate: float) -> None:
        self.transfer_rate = transfer_rate
        self.by_class: dict[str, Histogram] = {}
        self.add_classes(traffic_class.name for traffic_class in traffic_classes)

    def add_classes(self, names: Iterable[str]) -> None:
        """Adds traffic classes; known ones keep their histograms."""
        for name in names:
            if name not in self.by_class:
                self.by_class[name] = Histogram(SHORTEST_SENDING_TIME)

    def of_size(self, size_kb: float) -> float:
        """Returns the sending time of a size; 0 if the transfer rate is unknown."""
        return size_kb / self.transfer_rate * SECOND if self.transfer_rate else 0.0

    def record_request(self, request: Request) -> None:
        """Counts the sending time of a request whose size is known in advance."""
        if request.size_kb and self.transfer_rate:
            self.by_class[request.traffic_class].add(self.of_size(request.size_kb))

    def expected(self, in_flight: InFlightRequest, default: float = 0.0) -> float:
        """Returns a request's sending time by its size, else its class's mean, else the default."""
        own = self.of_size(in_flight.request.size_kb)
        return own or self.by_class[in_flight.traffic_class.name].mean(default)

    def class_mean(self, traffic_class: TrafficClass) -> int:
        """Returns the mean sending time of a class; all routers charge it to slow-start budgets alike."""
        histogram = self.by_class[traffic_class.name]
        return int(histogram.mean(traffic_class.latency_objective))

    def latency_objective(self, in_flight: InFlightRequest, sending_time: float = 0.0) -> int:
        """Returns the time from a request's arrival within which its response has its full value.

        :param sending_time: the response's sending time; 0: the expected one.
        """
        base = in_flight.traffic_class.latency_objective
        stretch = in_flight.traffic_class.objective_stretch
        return int(base + stretch * (sending_time or self.expected(in_flight, base)))
