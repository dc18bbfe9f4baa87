"""A router's part in slow start: requests and uses sending time at starting endpoints. No I/O."""

from bisect import insort
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from quartzrouter.quota.slow_start_messages import (
    MAX_REQUESTS_PER_MESSAGE,
    MAX_SENDING_TIME,
    SlowStartGrant,
    SlowStartRequest,
    SlowStartTerms,
)
from quartzrouter.routing.model import GrantCharge, SlowStartDemand

# Unanswered requests that are kept per endpoint; the grant of an older one has expired.
MAX_PENDING_REQUESTS = 64
# Requests per window; a lower demand is left to the guaranteed share.
MIN_WANTED_REQUESTS = 0.25
# Weight of the latest measurement in the demand, an exponential moving average.
SMOOTHING = 0.5


class SendingTimeGrant(NamedTuple):
    """The unused sending time of one grant.

    :param expires_at: expiry in microseconds of this router's clock.
    :param sending_time: unused time in microseconds.
    """

    expires_at: int
    sending_time: int


@dataclass(slots=True)
class EndpointAllowance:
    """One router's granted and wanted sending time at a starting endpoint.

    :param tier: tier whose terms apply.
    :param measured_at: time of the last measurement of demand, in microseconds.
    :param grants: grants ordered by expiry, earliest first.
    :param pending_requests: time of each unanswered request in microseconds, by sequence number.
    :param wanted: smoothed demand, in microseconds of sending time per window.
    :param expired_unused: microseconds that expired unused, to be returned with the next request.
    :param request_time: sending time of one request to the endpoint, in microseconds.
    """

    tier: str
    measured_at: int
    grants: deque[SendingTimeGrant] = field(default_factory=deque)
    pending_requests: dict[int, int] = field(default_factory=dict)
    wanted: float = 0.0
    expired_unused: int = 0
    request_time: int = 1

    def measure(self, demand: SlowStartDemand, window: int, now: int) -> None:
        """Records the sending time that the routing decisions would have used since the last measurement.

        :param window: length of the window in microseconds.
        """
        per_window = demand.demand * window / max(1, now - self.measured_at)
        smoothed = self.wanted + SMOOTHING * (per_window - self.wanted)
        self.wanted = max(float(demand.demand), smoothed)
        self.measured_at = now
        self.request_time = min(MAX_SENDING_TIME, demand.largest_request or self.request_time)

    @property
    def needs_request(self) -> bool:
        """Returns True if the demand is large enough, or unused sending time is to be returned."""
        return self.wanted >= self.request_time * MIN_WANTED_REQUESTS or self.expired_unused > 0

    def spend(self, sending_time: int) -> None:
        """Subtracts microseconds of sending time, first from the grants that expire first."""
        while sending_time > 0 and self.grants:
            first = self.grants.popleft()
            if first.sending_time > sending_time:
                rest = first.sending_time - sending_time
                self.grants.appendleft(SendingTimeGrant(first.expires_at, rest))
            sending_time -= first.sending_time

    def drop_expired(self, now: int) -> None:
        """Removes expired grants and adds them to the time to be returned."""
        while self.grants and self.grants[0].expires_at <= now:
            self.expired_unused += self.grants.popleft().sending_time


class SlowStartClient:
    """A router's sending time at all starting endpoints; the only owner of its grants.

    :param terms: terms by tier.
    :param steady_clock: returns the time of this machine's monotonic clock in microseconds. It is read for
        each decision, as a process that is suspended may resume after a grant has expired.
    """

    def __init__(self, terms: dict[str, SlowStartTerms], steady_clock: Callable[[], int]):
        self.terms = dict(terms)
        self.steady_clock = steady_clock
        self.allowances: dict[str, EndpointAllowance] = {}
        self.last_sequence_number = 0
        self.invalid_grants = 0

    def sending_time_left(self) -> dict[str, int]:
        """Returns the unused sending time of grants that have not expired.

        :returns: a new dictionary of microseconds by endpoint; endpoints without any are missing.
        """
        if not self.allowances:
            return {}
        now = self.steady_clock()
        left = {}
        for endpoint, allowance in self.allowances.items():
            allowance.drop_expired(now)
            if allowance.grants:
                left[endpoint] = sum(grant.sending_time for grant in allowance.grants)
        return left

    def spend(self, charges: Iterable[GrantCharge]) -> None:
        """Subtracts the sending time that requests have used from the grants."""
        for charge in charges:
            allowance = self.allowances.get(charge.endpoint)
            if allowance:
                allowance.spend(charge.sending_time)

    def due_requests(self, demands: Sequence[SlowStartDemand]) -> tuple[SlowStartRequest, ...]:
        """Returns the requests to send now.

        :param demands: demand at recently started endpoints, as measured by the routing decisions.
        """
        now = self.steady_clock()
        demand_by_endpoint = {demand.endpoint: demand for demand in demands}
        self._keep_only(demand_by_endpoint)
        left = self.sending_time_left()
        requests = []
        for endpoint, demand in demand_by_endpoint.items():
            terms = self.terms.get(demand.tier.value)
            is_wanted = endpoint in self.allowances or demand.demand
            if terms is None or not is_wanted:
                continue
            allowance = self.allowances.get(endpoint)
            if allowance is None:
                allowance = EndpointAllowance(demand.tier.value, now - terms.request_interval)
                self.allowances[endpoint] = allowance
            allowance.measure(demand, terms.window, now)
            if allowance.needs_request:
                requests.append(self._request(allowance, demand, terms, left.get(endpoint, 0), now))
        return tuple(requests[:MAX_REQUESTS_PER_MESSAGE])

    def _keep_only(self, endpoints: dict[str, SlowStartDemand]) -> None:
        """Removes the allowances of endpoints that have warmed up or are gone."""
        for endpoint in [endpoint for endpoint in self.allowances if endpoint not in endpoints]:
            del self.allowances[endpoint]

    def _request(
        self,
        allowance: EndpointAllowance,
        demand: SlowStartDemand,
        terms: SlowStartTerms,
        sending_time_left: int,
        now: int,
    ) -> SlowStartRequest:
        self.last_sequence_number += 1
        pending = allowance.pending_requests
        pending[self.last_sequence_number] = now
        while len(pending) > MAX_PENDING_REQUESTS:
            del pending[next(iter(pending))]
        returned = min(MAX_SENDING_TIME, allowance.expired_unused)
        allowance.expired_unused = 0
        return SlowStartRequest(
            endpoint=demand.endpoint,
            tier=allowance.tier,
            sequence_number=self.last_sequence_number,
            limit=min(MAX_SENDING_TIME, demand.limit),
            wanted=min(MAX_SENDING_TIME, max(allowance.request_time, int(allowance.wanted))),
            sending_time_left=sending_time_left,
            request_time=allowance.request_time,
            terms_checksum=terms.terms_checksum,
            returned=returned,
        )

    def apply_grants(self, grants: Sequence[SlowStartGrant]) -> None:
        """Applies the allocator's grants, each once.

        Duplicated and foreign grants are ignored: a grant counts only if its request is pending.
        """
        now = self.steady_clock()
        for grant in grants:
            allowance = self.allowances.get(grant.endpoint)
            requested_at = None
            if allowance:
                requested_at = allowance.pending_requests.pop(grant.sequence_number, None)
            is_valid = 0 <= grant.sending_time <= MAX_SENDING_TIME
            if allowance is None or requested_at is None or not is_valid:
                self.invalid_grants += 1
                continue
            expires_at = self.terms[allowance.tier].grant_expiry(requested_at)
            if grant.sending_time and expires_at > now:
                # Guards against use after expiry: a late grant may expire before one that has arrived.
                insort(allowance.grants, SendingTimeGrant(expires_at, grant.sending_time))

    def request_interval(self) -> int | None:
        """Returns the microseconds until the next check for demand, or None if no slow start is shared."""
        return min((terms.request_interval for terms in self.terms.values()), default=None)
