"""How many transfers an endpoint's link carries at once, at full transfer rate.  No I/O."""

from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.estimators import Histogram

# Lower edge of the histograms, in transfers.
SMALLEST_CAPACITY = 1.0
# Transfers on a link that nothing is known of, as on that of a small machine.
DEFAULT_CAPACITY = 3.0
# Quantile, from 0 to 1, of the transfers that a link was seen to carry that is taken for its capacity.  It is
# high as most are seen while the link is below its limit.
CAPACITY_QUANTILE = 0.8


class TransferCapacity:
    """How many transfers an endpoint's link carries at once.

    Taken from ratings where the endpoint list has them, else learnt per machine type from the pace of
    answers.
    """

    def __init__(self, endpoints: EndpointList, has_ratings: bool) -> None:
        self.endpoints = endpoints
        self.has_ratings = has_ratings
        self.by_machine_type: dict[str, Histogram] = {}

    def of(self, index: int) -> float:
        """:returns: transfers at full rate."""
        endpoint = self.endpoints.by_index[index]
        if self.has_ratings:
            return endpoint.capacity_rating
        return self._histogram(endpoint.machine_type).quantile(CAPACITY_QUANTILE, DEFAULT_CAPACITY)

    def learn(self, index: int, contention: float, sending_time: float, elapsed: int) -> None:
        """Learns from a hit whose size is known: what it took beyond its sending time, the link lacked.

        :param contention: the expected transfers over the capacity, when the attempt was sent.
        :param sending_time: of the answer, at full rate.
        :param elapsed: the time that it took.
        """
        pace = min(1.0, sending_time / max(1, elapsed))
        histogram = self._histogram(self.endpoints.by_index[index].machine_type)
        histogram.add(contention * self.of(index) * pace)

    def _histogram(self, machine_type: str) -> Histogram:
        histogram = self.by_machine_type.get(machine_type)
        if histogram is None:
            histogram = self.by_machine_type[machine_type] = Histogram(SMALLEST_CAPACITY)
        return histogram
