"""Slow start: budgets for the load on endpoints that have started recently.  No I/O.

The budgets prevent overload of such endpoints: right after its start an endpoint has a fraction of its later
capacity, and it fails if its load exceeds a multiple of that for some time.  Routers that don't communicate
each stay within their part of a budget, so that the sum of all parts stays below it in every window.

Budgets are measured in sending time (``sending_time``): the microseconds for which a response occupies one of
the transfers that a link carries, at full transfer rate.
"""

import math
import zlib
from collections import deque
from collections.abc import Mapping
from dataclasses import replace

from quartzrouter.routing.capacity import TransferCapacity
from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.model import GrantCharge, SlowStart, SlowStartDemand, Tier
from quartzrouter.routing.units import NEVER

# Share of an endpoint's budget, from 0 to 1, that all routers together spend at most.  The rest is a margin,
# as responses vary in size and several routers may spend at the same moment.
BUDGET_SHARE = 0.6
# Factor on the probability of the random draws in ``SlowStartBudget.allows_request()``.  A sliding window can
# overlap two fixed windows, each with a draw of its own, so each draw gets half the probability.
DRAW_PROBABILITY_FACTOR = 0.5


class Charge:
    """A charge to the budget of one endpoint.

    :ivar charged_at: time of the charge.
    :ivar sending_time: the sending time charged; 0 after a refund, as the endpoint was not used.
    """

    __slots__ = ("charged_at", "sending_time")

    def __init__(self, charged_at: int, sending_time: int) -> None:
        self.charged_at = charged_at
        self.sending_time = sending_time

    def refund(self) -> None:
        """Sets the charge to 0 after it has turned out that the endpoint was not used."""
        self.sending_time = 0


class Demand:
    """The sending time that this router spent on an endpoint, or would have spent.

    :ivar total: sum over all requests.
    :ivar largest: the longest sending time of one request.
    """

    def __init__(self) -> None:
        self.total = 0
        self.largest = 0


class SlowStartBudget:
    """This router's part of the budgets of one tier's endpoints.

    :ivar terms: the slow start of the tier's endpoints, and how many routers share each budget.
    :ivar guaranteed_share: share of the budget that is divided evenly among the routers, from 0 to 1.  Below
        1, the routers of a fleet are granted the rest as they need it.
    :ivar charges: the charges within the last window, by endpoint, oldest first.
    :ivar demand: the demand since the last call of ``take_demand()``, by endpoint.
    """

    def __init__(self, terms: SlowStart, router_number: int) -> None:
        self.terms = terms
        self.router_number = router_number
        self.guaranteed_share = 1.0
        self.charges: dict[int, deque[Charge]] = {}
        self.demand: dict[int, Demand] = {}

    def share(self, routers: int, guaranteed_share: float) -> None:
        """Sets how many routers share each budget, and which share of it is divided evenly among them."""
        self.terms = replace(self.terms, routers=routers)
        self.guaranteed_share = guaranteed_share

    def limit(self, capacity: float, started_at: int, now: int) -> float:
        """Returns how much all routers together may spend on an endpoint in a window.

        :param capacity: the transfers that its link carries.
        :param started_at: clock time of its last start; 0: long ago.
        :returns: sending time; infinite for an endpoint that is not in slow start.
        """
        terms = self.terms
        age_at_window_start = now - started_at - terms.window
        has_slow_start = started_at and terms.ramp_time
        if not has_slow_start or age_at_window_start >= terms.ramp_time:
            return math.inf
        ramped_share = (1 - terms.initial_share) * max(0, age_at_window_start) / terms.ramp_time
        capacity_share = terms.initial_share + ramped_share
        return capacity * capacity_share * terms.overload_factor * terms.window * BUDGET_SHARE

    def allows_request(self, index: int, sending_time: int, limit: float, now: int) -> bool:
        """Returns True if this router's part of the budget allows one more request.

        If the part is smaller than one request, a pseudorandom draw decides.  Time is divided into fixed
        windows, with one draw in each of them for this router and endpoint.  If the draw succeeds, the router
        may send one request, although that costs more than its part.  The probability is therefore the part
        divided by the request's sending time.

        The budget applies to every sliding window, though, and such a window can overlap two fixed ones, each
        with a draw of its own.  So each draw gets only half the probability (``DRAW_PROBABILITY_FACTOR``),
        and on average the two together spend no more than the part.

        :param sending_time: sending time of the request in microseconds.
        :param limit: the result of ``limit()`` for the endpoint.
        """
        if limit == math.inf:
            return True
        part = limit * self.guaranteed_share / self.terms.routers
        spent = sum(charge.sending_time for charge in self._recent_charges(index, now))
        if spent or part >= sending_time:
            return spent + sending_time <= part
        draw = zlib.crc32(b"%d/%d/%d" % (self.router_number, index, now // self.terms.window)) / 2**32
        return draw < DRAW_PROBABILITY_FACTOR * part / sending_time

    def charge(self, index: int, sending_time: int, now: int) -> Charge:
        """Charges sending time to the budget of an endpoint.

        :returns: the charge, which can be refunded.
        """
        charge = Charge(now, sending_time)
        self._recent_charges(index, now).append(charge)
        return charge

    def _recent_charges(self, index: int, now: int) -> deque[Charge]:
        charges = self.charges.get(index)
        if charges is None:
            charges = self.charges[index] = deque()
        while charges and charges[0].charged_at <= now - self.terms.window:
            charges.popleft()
        return charges

    def record_demand(self, index: int, sending_time: int) -> None:
        """Adds the sending time of a request, sent or not, to the demand that grants are based on."""
        demand = self.demand.setdefault(index, Demand())
        demand.total += sending_time
        demand.largest = max(demand.largest, sending_time)

    def take_demand(self, index: int) -> Demand:
        """Returns the demand for an endpoint since the last call, and resets it."""
        return self.demand.pop(index, None) or Demand()

    def forget(self, index: int) -> None:
        """Removes the charges and the demand of an endpoint that is no longer listed."""
        self.charges.pop(index, None)
        self.demand.pop(index, None)


class SlowStartLimiter:
    """Applies the budgets of caches and parents; origins have none.

    :ivar granted: sending time that requests may use beyond this router's own part, by endpoint name; below 0
        where more was used than granted.
    :ivar grant_charges: what requests have used of it since it was set.
    """

    def __init__(
        self,
        endpoints: EndpointList,
        capacity: TransferCapacity,
        cache_budget: SlowStartBudget,
        parent_budget: SlowStartBudget,
    ) -> None:
        self.endpoints = endpoints
        self.capacity = capacity
        self.budgets = {Tier.CACHE: cache_budget, Tier.PARENT: parent_budget}
        self.granted: dict[str, int] = {}
        self.grant_charges: list[GrantCharge] = []

    def set_grants(self, granted: Mapping[str, int]) -> None:
        """Replaces the granted sending time by a copy of the given one, in microseconds by endpoint name."""
        self.granted = dict(granted)

    def return_grants(self) -> tuple[GrantCharge, ...]:
        """Gives up the granted sending time, and returns what requests have used of it."""
        charges = tuple(self.grant_charges)
        self.granted.clear()
        self.grant_charges.clear()
        return charges

    def allows(self, index: int, sending_time: int, now: int) -> bool:
        """Returns True if an endpoint may receive one more request of this sending time."""
        budget = self.budgets.get(self.endpoints.by_index[index].tier)
        if budget is None or self._allows_without_grant(budget, index, sending_time, now):
            return True
        return self.granted.get(self.endpoints.by_index[index].name, 0) >= sending_time

    def charge(self, index: int, sending_time: int, now: int) -> Charge:
        """Charges a request to an endpoint's budget: to this router's own part first, otherwise to its grant.

        :param index: an endpoint of a tier with a budget.
        """
        endpoint = self.endpoints.by_index[index]
        budget = self.budgets[endpoint.tier]
        if budget.guaranteed_share >= 1:
            return budget.charge(index, sending_time, now)
        budget.record_demand(index, sending_time)
        if self._allows_without_grant(budget, index, sending_time, now):
            return budget.charge(index, sending_time, now)
        if endpoint.name in self.granted:
            self.granted[endpoint.name] -= sending_time
            self.grant_charges.append(GrantCharge(endpoint.name, sending_time))
        return Charge(now, sending_time)

    def record_unmet_demand(self, tier: Tier, order: list[int], sending_time: int, now: int) -> None:
        """Adds a request to the demand for an order's first endpoint if that may not receive it.

        The higher demand makes a larger grant possible.
        """
        budget = self.budgets[tier]
        if budget.guaranteed_share < 1 and order and not self.allows(order[0], sending_time, now):
            budget.record_demand(order[0], sending_time)

    def take_demand(self, now: int) -> list[SlowStartDemand]:
        """Returns the endpoints in slow start, with this router's demand for each since the last call."""
        demands = []
        for tier, budget in self.budgets.items():
            for index in self.endpoints.by_tier[tier]:
                limit = self._limit(budget, index, now)
                demand = budget.take_demand(index)
                if limit < math.inf:
                    name = self.endpoints.by_index[index].name
                    demands.append(SlowStartDemand(name, tier, int(limit), demand.total, demand.largest))
        return demands

    def exhaust(self, now: int) -> None:
        """Treats all budgets as spent for one window.

        This prevents a budget from being used twice: the router of a new pool doesn't know what other routers
        of the same process have sent recently.
        """
        for index, started_at in self.endpoints.started_at.items():
            budget = self.budgets.get(self.endpoints.by_index[index].tier)
            if started_at and budget:
                budget.charge(index, NEVER, now)

    def forget(self, index: int) -> None:
        """Removes the charges and the demand of an endpoint that is no longer listed."""
        for budget in self.budgets.values():
            budget.forget(index)

    def _allows_without_grant(self, budget: SlowStartBudget, index: int, sending_time: int, now: int) -> bool:
        return budget.allows_request(index, sending_time, self._limit(budget, index, now), now)

    def _limit(self, budget: SlowStartBudget, index: int, now: int) -> float:
        return budget.limit(self.capacity.of(index), self.endpoints.started_at[index], now)
