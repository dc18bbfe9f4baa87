"""Max-min fairness: how a capacity is divided among demands of different size. No I/O."""

from collections.abc import Sequence


def max_min_fair_share(demands: Sequence[float], capacity: float) -> float:
    """The most that any one demand is granted, so that together they use the whole capacity.

    Demands below the result are met in full, those above it are granted the result (max-min fairness).

    :param demands: in the unit of the capacity.
    :returns: the share; the largest demand where the capacity meets all of them, 0 without any demand.
    """
    remaining = capacity
    for met, demand in enumerate(sorted(demands)):
        equal_share = remaining / (len(demands) - met)
        if demand > equal_share:
            return equal_share
        remaining -= demand
    return max(demands, default=0.0)
