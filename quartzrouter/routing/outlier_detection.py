"""Ejection of endpoints that fail, and their return.  No I/O."""

import logging
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from quartzrouter.routing.endpoints import EndpointList
from quartzrouter.routing.jitter import Jitter
from quartzrouter.routing.model import AttemptStatus, HealthObservation, Tier
from quartzrouter.routing.units import MILLISECOND, NEVER, SECOND

log = logging.getLogger(__name__)

# Number of recent failures from which an endpoint without recent ejections may be an outlier.  Fewer may be
# chance.
MIN_FAILURES = 3
# Share of an endpoint's recent responses, from 0 to 1, that failures must exceed for it to be an outlier.
MIN_FAILURE_SHARE = 0.25
# An outlier's failure share is also more than this multiple of its peers' share.  A smaller difference may be
# caused by something that all of them share.
PEER_FAILURE_RATIO = 2
# Number of an endpoint's recent responses at which its counts of recent successes and failures are both
# halved, so that only the last few seconds count.
MAX_RECENT_RESPONSES = 24
# Length of an endpoint's first ejection, in microseconds.  Each consecutive ejection lasts twice as long.
FIRST_EJECTION = 1 * SECOND
# Longest ejection, in microseconds, before jitter.  An endpoint that keeps failing needn't be tried often.
MAX_EJECTION = 8 * SECOND
# Highest number of doublings of the first ejection.  It gives far more than ``MAX_EJECTION`` and only keeps
# the numbers small.
MAX_DOUBLINGS = 6
# Recent successes that an endpoint needs after an ejection to reset its consecutive ejections.
MIN_SUCCESSES = 4
# For the same, it also needs more than this many recent successes for each recent failure.
SUCCESSES_PER_FAILURE = 3
# Time between health checks of an ejected or suspected endpoint, in microseconds.  A check is cheap
# compared with the requests that it saves.
HEALTH_CHECK_INTERVAL = 500 * MILLISECOND
# Time, in microseconds, for which a success of this router's own requests outweighs reports of other routers.
OWN_OBSERVATION_TIME = 500 * MILLISECOND
# Time, in microseconds, over which the routers spread their first requests to an endpoint after its ejection
# by others has ended.  The first few routers find out for all whether it still fails.
PEER_RETURN_SPREAD = 1 * SECOND
# Share of the listed endpoints, from 0 to 1, that may be ejected by other routers or wait for this router's
# turn to try them.  If there are more, the waiting ones may be used at once, so that enough endpoints are
# left.
MAX_PEER_EJECTED_SHARE = 1 / 3

FAILED_HEALTH_CHECK = frozenset(
    {
        AttemptStatus.CONNECTION_REFUSED,
        AttemptStatus.TIMED_OUT,
        AttemptStatus.ERROR,
        AttemptStatus.CONNECTION_LOST,
    }
)


@dataclass(slots=True)
class EndpointHealth:
    """The health of one endpoint.

    :ivar successes: decaying count of its recent successes.
    :ivar failures: decaying count of its recent failures.
    :ivar consecutive_ejections: ejections since it last had enough successes; see ``MIN_SUCCESSES``.
    :ivar ejected_until: time at which its ejection by this router ends; see ``OutlierDetector``.
    :ivar saturated_until: time until which it counts as saturated, as it has rejected a request for lack of
        capacity.
    :ivar connection_failed_at: time at which a connection to it failed, if it hasn't responded since.
    :ivar ejected_by_peers_until: time at which its ejection by other routers has ended and it is this
        router's turn to try it again.
    :ivar last_success_at: time of its last success.
    :ivar last_failure_at: time of its last failure.
    :ivar total_successes: successes since it was listed.
    :ivar total_failures: failures since it was listed.
    :ivar next_health_check_at: time at which its next health check is due.
    :ivar last_health_check_at: time at which its last health check was due.
    """

    successes: int = 0
    failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: int = 0
    saturated_until: int = 0
    connection_failed_at: int | None = None
    ejected_by_peers_until: int = 0
    last_success_at: int = -NEVER
    last_failure_at: int = -NEVER
    total_successes: int = 0
    total_failures: int = 0
    next_health_check_at: int = NEVER
    last_health_check_at: int = -HEALTH_CHECK_INTERVAL

    def is_ejected(self, now: int) -> bool:
        """Returns True if this router or other routers have ejected it."""
        return max(self.ejected_until, self.ejected_by_peers_until) > now

    def succeeded_recently(self, now: int) -> bool:
        """Returns True if this router's own recent requests show it to be healthy."""
        has_recent_success = self.last_success_at > now - OWN_OBSERVATION_TIME
        return has_recent_success and self.last_failure_at <= now - 2 * OWN_OBSERVATION_TIME


class OutlierDetector:
    """Ejects endpoints that fail more than their peers, and lets them return.

    This limits the damage by endpoints that respond quickly, but with errors, and so attract the most
    requests, and by dead endpoints that are still listed.  An ejected cache is avoided while any other cache
    is usable; if none is, it receives requests nevertheless (``EndpointSelector.eligible_caches()``).  An
    ejected parent or origin is not selected as a fill source.

    A late response to a request is not a failure: if many routers share few parents, the most loaded one is
    late for all of them, and ejecting it would send its objects to parents that must fetch them again from
    the origin.  There are two exceptions.  A health check that times out counts as a failure.  If responses
    report load and nothing may be health-checked, a request that times out may count as a failure of its
    cache; see ``FailureAttribution``.

    If all endpoints fail, none is an outlier.  At most half of a tier is ejected for errors.  Endpoints that
    refuse connections are ejected regardless of how many already are.

    :ivar by_index: the health of each endpoint that was used.  Health checks become due in the order in which
        the endpoints were first used.
    """

    def __init__(self, endpoints: EndpointList, jitter: Jitter) -> None:
        self.endpoints = endpoints
        self.jitter = jitter
        self.by_index: dict[int, EndpointHealth] = defaultdict(EndpointHealth)

    def record_success(self, index: int, now: int) -> None:
        """Records that an endpoint has served a request, which may reset its consecutive ejections."""
        health = self.by_index[index]
        health.successes += 1
        health.total_successes += 1
        health.last_success_at = now
        outweighs_failures = health.successes > SUCCESSES_PER_FAILURE * health.failures
        if health.successes >= MIN_SUCCESSES and outweighs_failures:
            health.consecutive_ejections = 0
        if health.successes + health.failures >= MAX_RECENT_RESPONSES:
            health.successes //= 2
            health.failures //= 2

    def record_failure(self, index: int, now: int, connection_failed: bool) -> None:
        """Records a failure of an endpoint, and ejects it if it is an outlier.

        :param connection_failed: whether it could not be reached: it is ejected at once, and is in slow start
            when it responds again, as it has probably restarted.
        """
        peers = self.endpoints.by_tier[self.endpoints.by_index[index].tier]
        health = self.by_index[index]
        others = [self.by_index[peer] for peer in peers if peer != index]
        health.failures += 1
        health.total_failures += 1
        health.last_failure_at = now
        if connection_failed:
            health.connection_failed_at = now
            self._eject(index, health, now)
        elif self._is_outlier(health, others) and self._may_eject_one_more(peers, now):
            self._eject(index, health, now)

    @staticmethod
    def _is_outlier(health: EndpointHealth, others: list[EndpointHealth]) -> bool:
        responses_of_others = sum(other.successes + other.failures for other in others)
        share_of_others = sum(other.failures for other in others) / max(1, responses_of_others)
        share = health.failures / (health.successes + health.failures)
        min_failures = 1 if health.consecutive_ejections else MIN_FAILURES
        is_above_peers = share > max(MIN_FAILURE_SHARE, PEER_FAILURE_RATIO * share_of_others)
        return is_above_peers and health.failures >= min_failures

    def _may_eject_one_more(self, peers: list[int], now: int) -> bool:
        """Returns True if after one more ejection this router would have ejected at most half of the tier."""
        ejected = sum(self.by_index[peer].ejected_until > now for peer in peers)
        return 2 * (ejected + 1) <= len(peers)

    def _eject(self, index: int, health: EndpointHealth, now: int) -> None:
        if health.ejected_until > now:
            return
        health.consecutive_ejections += 1
        doublings = min(health.consecutive_ejections - 1, MAX_DOUBLINGS)
        duration = min(MAX_EJECTION, FIRST_EJECTION << doublings)
        health.ejected_until = now + duration + self.jitter.below(duration // 4)
        health.next_health_check_at = now + HEALTH_CHECK_INTERVAL
        health.successes = 0
        health.failures = 0
        name = self.endpoints.by_index[index].name
        log.info("endpoint %s ejected (consecutive ejection %d)", name, health.consecutive_ejections)

    def is_usable(self, index: int, in_flight: int, now: int) -> bool:
        """Returns True if an endpoint is healthy enough for one more request.

        After an ejection it is half-open: it receives one request at a time until one has succeeded.

        :param in_flight: this router's requests that are in flight at it.
        """
        health = self.by_index[index]
        if health.is_ejected(now):
            return False
        is_half_open = health.consecutive_ejections > 0 and health.successes == 0
        return in_flight == 0 or not is_half_open

    def suspect(self, index: int, now: int) -> None:
        """Schedules a health check of an endpoint that may or may not have caused a failure."""
        health = self.by_index[index]
        health.next_health_check_at = max(now, health.last_health_check_at + HEALTH_CHECK_INTERVAL)

    def record_health_check(self, index: int, status: AttemptStatus, now: int) -> None:
        """Records the result of a health check: a failure counts, a success may end an ejection."""
        if status in FAILED_HEALTH_CHECK:
            self.record_failure(index, now, status is AttemptStatus.CONNECTION_REFUSED)
        elif status is AttemptStatus.SUCCEEDED:
            health = self.by_index[index]
            if health.ejected_until > now and health.connection_failed_at:
                self.endpoint_recovered(index, health.connection_failed_at)

    def health_checks_due(self, now: int) -> list[int]:
        """Returns the endpoints to check now, each once, and schedules the next check of ejected ones."""
        due = [index for index, health in self.by_index.items() if health.next_health_check_at <= now]
        for index in due:
            health = self.by_index[index]
            health.last_health_check_at = health.next_health_check_at
            is_ejected = health.ejected_until > now
            health.next_health_check_at = now + HEALTH_CHECK_INTERVAL if is_ejected else NEVER
        return due

    def endpoint_restarted(self, index: int) -> None:
        """Ends an ejection, as the endpoint list reports a new start."""
        health = self.by_index[index]
        health.consecutive_ejections = 0
        health.ejected_until = 0

    def endpoint_recovered(self, index: int, since: int) -> None:
        """Ends the ejection of an endpoint that could not be reached, and begins its slow start.

        This prevents overload of a restarted endpoint before the endpoint list reports the restart.

        :param since: the time at which it may have started.
        """
        self.endpoints.started_at[index] = max(self.endpoints.started_at[index], since)
        health = self.by_index[index]
        health.ejected_until = 0
        health.connection_failed_at = None
        log.info("endpoint %s recovered, slow start begins", self.endpoints.by_index[index].name)

    def set_ejected_by_peers(self, ejected_until: Mapping[str, int], now: int) -> None:
        """Records which endpoints other routers have ejected, so that this router avoids them too.

        This saves the requests that this router would lose to find out by itself.  If only others can't reach
        an endpoint, this router's own recent successes take precedence.  When an ejection ends, the
        routers return to the endpoint one after the other, so that they don't all send to it at once and only
        a few find out whether it still fails.

        :param ejected_until: end of the ejection by endpoint name; other routers have ejected no others.
        """
        waiting = []
        for index, endpoint in self.endpoints.by_index.items():
            health = self.by_index[index]
            is_waiting = now < health.ejected_by_peers_until <= now + PEER_RETURN_SPREAD
            if health.succeeded_recently(now):
                health.ejected_by_peers_until = 0
            elif endpoint.name in ejected_until:
                turn = self.jitter.fixed_for(endpoint.name, PEER_RETURN_SPREAD)
                health.ejected_by_peers_until = ejected_until[endpoint.name] + turn
            elif is_waiting:
                waiting.append(health)
            else:
                health.ejected_by_peers_until = 0
        if len(ejected_until) + len(waiting) > MAX_PEER_EJECTED_SHARE * len(self.endpoints.by_index):
            for health in waiting:
                health.ejected_by_peers_until = 0

    def observations(self, in_flight: Mapping[int, int], now: int) -> list[HealthObservation]:
        """Returns what this router's own requests show about each cache.

        :param in_flight: this router's requests in flight, by endpoint.
        """
        observations = []
        for index in self.endpoints.by_tier[Tier.CACHE]:
            health = self.by_index[index]
            observations.append(
                HealthObservation(
                    cache=self.endpoints.by_index[index].name,
                    ejected=health.ejected_until > now,
                    completed=health.total_successes,
                    failed=health.total_failures,
                    in_flight=in_flight[index],
                )
            )
        return observations

    def forget(self, index: int) -> None:
        """Removes the health state of an endpoint that is no longer listed."""
        self.by_index.pop(index, None)
