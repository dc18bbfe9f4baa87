"""What an endpoint that has started lately may be sent.  No I/O.

Guards against overload of endpoints that are warming up: one that has just started does a fraction of what
it does later, and falls over if it is sent more than a multiple of that for a while.  Routers that don't talk
to each other each keep to their part of a budget, so that the sum of all stays below it in every window.

The currency of this module is sending time (``sending_time``): the microseconds for which an answer takes up
one of the transfers that a link carries, at full transfer rate.
"""

import math
import zlib
from collections import deque
from dataclasses import replace

from quartzrouter.routing.capacity import TransferCapacity
from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.model import SlowStart, SlowStartDemand, Tier
from quartzrouter.routing.units import NEVER

# Share of an endpoint's budget, from 0 to 1, that all routers together spend at most.  The rest is a margin,
# as answers vary in size and several routers may spend at the same moment.
BUDGET_SHARE = 0.6
# Factor of the odds in the lottery of ``SlowStartBudget.has_room()``.  A sliding window of time can overlap
# two windows of the clock, each with a draw of its own, so each draw gets half the odds.
LOTTERY_ODDS = 0.5


class Charge:
    """Sending time that was spent on one endpoint.

    :ivar charged_at: when.
    :ivar sending_time: how much; 0 once it has turned out that the endpoint was not used.
    """

    __slots__ = ("charged_at", "sending_time")

    def __init__(self, charged_at: int, sending_time: int) -> None:
        self.charged_at = charged_at
        self.sending_time = sending_time

    def refund(self) -> None:
        """Sets the charge to 0, as the endpoint was not used."""
        self.sending_time = 0


class Demand:
    """Sending time that this router spent on an endpoint, or would have spent.

    :ivar total: all of it.
    :ivar largest: of one request.
    """

    def __init__(self) -> None:
        self.total = 0
        self.largest = 0


class SlowStartBudget:
    """This router's part of what the endpoints of one tier may be sent while they are warming up.

    :ivar terms: how an endpoint of the tier warms up, and how many routers share its budget.
    :ivar guaranteed_share: share of the budget that is divided evenly among the routers, from 0 to 1.  Below
        1, the routers of a fleet are granted the rest as they need it.
    :ivar charges: what was spent within the last window, by endpoint, oldest first.
    :ivar demand: by endpoint, since it was last asked for.
    """

    def __init__(self, terms: SlowStart, router_number: int) -> None:
        self.terms = terms
        self.router_number = router_number
        self.guaranteed_share = 1.0
        self.charges: dict[int, deque[Charge]] = {}
        self.demand: dict[int, Demand] = {}

    def share(self, routers: int, guaranteed_share: float) -> None:
        """Sets how many routers share a budget, and which share of it is divided evenly among them."""
        self.terms = replace(self.terms, routers=routers)
        self.guaranteed_share = guaranteed_share

    def limit(self, capacity: float, started_at: int, now: int) -> float:
        """What all routers together may spend on an endpoint in a window.

        :param capacity: the transfers that its link carries.
        :param started_at: clock time of its last start; 0: long ago.
        :returns: sending time; infinite for an endpoint that is warm.
        """
        terms = self.terms
        age_at_window_start = now - started_at - terms.window
        has_slow_start = started_at and terms.ramp_time
        if not has_slow_start or age_at_window_start >= terms.ramp_time:
            return math.inf
        ramped_share = (1 - terms.initial_share) * max(0, age_at_window_start) / terms.ramp_time
        warm_share = terms.initial_share + ramped_share
        return capacity * warm_share * terms.overload_factor * terms.window * BUDGET_SHARE

    def has_room(self, index: int, sending_time: int, limit: float, now: int) -> bool:
        """Whether this router's part allows one more request.

        Where the part is smaller than one request, a lottery decides.  Time is cut into windows of the clock,
        and in each of them this router draws once for the endpoint.  If it wins, it may send one request,
        although that costs more than its part; so the odds are the part over the request's sending time.

        The budget holds for every sliding window, though, and such a window can overlap two windows of the
        clock, each with a draw of its own.  So each draw gets only half the odds (``LOTTERY_ODDS``), and on
        average the two together spend no more than the part.

        :param sending_time: of the request, in microseconds of a link at full transfer rate.
        :param limit: see ``limit()``.
        """
        if limit == math.inf:
            return True
        part = limit * self.guaranteed_share / self.terms.routers
        spent = sum(charge.sending_time for charge in self._recent_charges(index, now))
        if spent or part >= sending_time:
            return spent + sending_time <= part
        draw = zlib.crc32(b"%d/%d/%d" % (self.router_number, index, now // self.terms.window)) / 2**32
        return draw < LOTTERY_ODDS * part / sending_time

    def charge(self, index: int, sending_time: int, now: int) -> Charge:
        """Spends sending time on an endpoint.

        :returns: the charge, which may be refunded.
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

    def note_demand(self, index: int, sending_time: int) -> None:
        """Notes what a request spent, or would have spent, for those who grant parts of the budget."""
        demand = self.demand.setdefault(index, Demand())
        demand.total += sending_time
        demand.largest = max(demand.largest, sending_time)

    def take_demand(self, index: int) -> Demand:
        """:returns: the demand for an endpoint since the last call."""
        return self.demand.pop(index, None) or Demand()

    def forget(self, index: int) -> None:
        """Removes the charges and the demand of an endpoint that is no longer listed."""
        self.charges.pop(index, None)
        self.demand.pop(index, None)


class SlowStartLimiter:
    """Applies the budgets of caches and parents to endpoints; origins have none.

    :ivar granted: by endpoint name, sending time that was granted to this router beyond its own part.
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

    def allows(self, index: int, sending_time: int, now: int) -> bool:
        """Whether an endpoint may be sent one more request of this sending time."""
        budget = self.budgets.get(self.endpoints.by_index[index].tier)
        if budget is None or self._has_room(budget, index, sending_time, now):
            return True
        return self.granted.get(self.endpoints.by_index[index].name, 0) >= sending_time

    def charge(self, index: int, sending_time: int, now: int) -> Charge:
        """Charges a request to an endpoint of a tier with a budget: to the own part first, then to grants."""
        endpoint = self.endpoints.by_index[index]
        budget = self.budgets[endpoint.tier]
        if budget.guaranteed_share >= 1:
            return budget.charge(index, sending_time, now)
        budget.note_demand(index, sending_time)
        if self._has_room(budget, index, sending_time, now):
            return budget.charge(index, sending_time, now)
        self.granted[endpoint.name] = self.granted.get(endpoint.name, 0) - sending_time
        return Charge(now, sending_time)

    def note_unmet_demand(self, tier: Tier, order: list[int], sending_time: int, now: int) -> None:
        """Notes a request that the first endpoint of an order may not be sent, so that more is granted."""
        budget = self.budgets[tier]
        if budget.guaranteed_share < 1 and order and not self.allows(order[0], sending_time, now):
            budget.note_demand(order[0], sending_time)

    def take_demand(self, now: int) -> list[SlowStartDemand]:
        """:returns: the endpoints that are warming up, with this router's demand since the last call."""
        found = []
        for tier, budget in self.budgets.items():
            for index in self.endpoints.by_tier[tier]:
                limit = self._limit(budget, index, now)
                demand = budget.take_demand(index)
                if limit < math.inf:
                    name = self.endpoints.by_index[index].name
                    found.append(SlowStartDemand(name, tier, int(limit), demand.total, demand.largest))
        return found

    def exhaust(self, now: int) -> None:
        """Treats all budgets as spent for one window.

        Guards against a second use of a budget: a router for a new pool doesn't know what others of the same
        process have sent lately.
        """
        for index, started_at in self.endpoints.started_at.items():
            budget = self.budgets.get(self.endpoints.by_index[index].tier)
            if started_at and budget:
                budget.charge(index, NEVER, now)

    def forget(self, index: int) -> None:
        """Removes the charges and the demand of an endpoint that is no longer listed."""
        for budget in self.budgets.values():
            budget.forget(index)

    def _has_room(self, budget: SlowStartBudget, index: int, sending_time: int, now: int) -> bool:
        return budget.has_room(index, sending_time, self._limit(budget, index, now), now)

    def _limit(self, budget: SlowStartBudget, index: int, now: int) -> float:
        return budget.limit(self.capacity.of(index), self.endpoints.started_at[index], now)
