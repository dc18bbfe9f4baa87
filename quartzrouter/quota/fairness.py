"""Max-min fairness, which divides a capacity among demands of different size. No I/O."""

from collections.abc import Sequence


def max_min_fair_share(demands: Sequence[float], capacity: float) -> float:
    """Returns the max-min fair share: the most that any one demand is granted.

    Demands below the share are met in full, those above it are granted the share, so that all demands
    together use the whole capacity.

    :param demands: demands in the unit of the capacity.
    :returns: the share; the largest demand if the capacity meets all of them, 0 if there is no demand.
    """
    remaining = capacity
    for met, demand in enumerate(sorted(demands)):
        equal_share = remaining / (len(demands) - met)
        if demand > equal_share:
            return equal_share
        remaining -= demand
    return max(demands, default=0.0)
