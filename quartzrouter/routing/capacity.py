"""The number of concurrent transfers that an endpoint's link carries at full transfer rate.  No I/O."""

from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.estimators import Histogram

# Lower edge of the histograms, in transfers.
SMALLEST_CAPACITY = 1.0
# Capacity, in transfers, of a link that nothing is known of; that of a small machine.
DEFAULT_CAPACITY = 3.0
# Quantile, from 0 to 1, of the observed transfers on a link that is used as its capacity.  It is high as most
# observations are made while the link is below its capacity.
CAPACITY_QUANTILE = 0.8


class TransferCapacity:
    """Provides the number of concurrent transfers that an endpoint's link carries.

    It comes from the ratings of the endpoint list, if there are any; otherwise it is estimated for each
    machine type from the transfer rate of responses.
    """

    def __init__(self, endpoints: EndpointList, has_ratings: bool) -> None:
        self.endpoints = endpoints
        self.has_ratings = has_ratings
        self.by_machine_type: dict[str, Histogram] = {}

    def of(self, index: int) -> float:
        """Returns the capacity of an endpoint's link in transfers at full rate."""
        endpoint = self.endpoints.by_index[index]
        if self.has_ratings:
            return endpoint.capacity_rating
        return self._histogram(endpoint.machine_type).quantile(CAPACITY_QUANTILE, DEFAULT_CAPACITY)

    def learn(self, index: int, contention: float, sending_time: float, elapsed: int) -> None:
        """Updates the estimate by a hit of known size: the longer it took, the lower is the capacity.

        :param contention: the contention of the link when the attempt was sent.
        :param sending_time: time in which the response is sent at full rate.
        :param elapsed: time that the attempt took.
        """
        rate_share = min(1.0, sending_time / max(1, elapsed))
        histogram = self._histogram(self.endpoints.by_index[index].machine_type)
        histogram.add(contention * self.of(index) * rate_share)

    def _histogram(self, machine_type: str) -> Histogram:
        histogram = self.by_machine_type.get(machine_type)
        if histogram is None:
            histogram = self.by_machine_type[machine_type] = Histogram(SMALLEST_CAPACITY)
        return histogram
