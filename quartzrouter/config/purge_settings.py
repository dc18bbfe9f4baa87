"""Computes how long a purge takes to settle under a plan, and checks that routers keep purges that long."""

from collections.abc import Mapping
from typing import Any

from quartzrouter.config.quantity import Duration
from quartzrouter.config.schema import INVALID, PlanCheck
from quartzrouter.purges.settle_time import settle_time
from quartzrouter.routing.model import TrafficClass


def settle_time_of(purges: Mapping[str, Any], vhosts: Mapping[str, TrafficClass]) -> int:
    """Returns how long a purge takes to settle under a plan, in microseconds; see ``settle_time.py``.

    :param purges: the plan's `purges`.
    :param vhosts: the plan's traffic classes, by name.
    """
    client_timeouts = [vhost.client_timeout for vhost in vhosts.values() if not vhost.uncacheable]
    return settle_time(purges["grace"], client_timeouts)


def check_purge_life(purges: Any, vhosts: Mapping[str, TrafficClass], check: PlanCheck) -> None:
    """Notes a fault if `life` ends before purges settle: caches would never count as caught up under purges.

    :param purges: the plan's `purges` as they were read; None if there are none.
    :param vhosts: the traffic classes that could be read, by name.
    :param check: takes the fault.
    """
    if not isinstance(purges, dict) or INVALID in (purges["life"], purges["grace"]):
        return
    needed = settle_time_of(purges, vhosts)
    if purges["life"] < needed:
        check.report(
            check.place(("purges", "life")),
            f"'life' is {Duration(purges['life'])}, and a purge takes {Duration(needed)} to settle",
            "give a longer `life`, or the vhosts a shorter client timeout",
            "range",
        )
