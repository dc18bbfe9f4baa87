"""The state machine of a standalone router.

It adds to ``RouterStateMachine``: rate limits before the routing decisions, pools in which these choose
endpoints, and replacement of the configuration as one event.  If the configuration names a purge log, the
log's messages are events too: purges, grants of shared quota, and other routers' observations of endpoints.
Then every copy in a response is checked against the purges before it is passed on.

Times are whole microseconds.
"""

import logging
from dataclasses import replace
from typing import NamedTuple

from quartzrouter.config.model import Plan
from quartzrouter.fleet_health.ejection import accepted_ejections
from quartzrouter.fleet_health.reports import MAX_OBSERVATIONS
from quartzrouter.pool_routing.multi_pool_router import MultiPoolRouter
from quartzrouter.pool_routing.route_selection import traffic_class_name
from quartzrouter.purge_log.member_client import (
    CloseConnection,
    ConnectionOpened,
    MessageReceived,
    QueueMessage,
)
from quartzrouter.purges import messages
from quartzrouter.purges.messages import (
    CacheObservation,
    CaughtUp,
    EjectionVerdict,
    EjectionVerdicts,
    HealthReport,
    QuotaGrants,
    QuotaRequests,
)
from quartzrouter.purges.replica import ApplyPurges, EndConnection, PurgeReplica, SendMessage
from quartzrouter.quota.messages import QuotaRefusal
from quartzrouter.routing import LOGGER_NAME
from quartzrouter.routing.model import AttemptStatus, HealthObservation, Idempotency, Request, TrafficClass
from quartzrouter.server import responses
from quartzrouter.server.cache_protocol import HTTP_NOT_MODIFIED, HTTP_OK
from quartzrouter.server.effects import Effect, SendResponse
from quartzrouter.server.events import AttemptEnded, ClientRequest, EndpointUpdate, Event
from quartzrouter.server.pending_request import PendingAttempt
from quartzrouter.server.state_machine import RouterStateMachine

log = logging.getLogger(f"{LOGGER_NAME}.router")  # ejections change the decisions and are logged with them

MAX_PEERS_LOGGED = 5  # names of peers in the log line of an ejection
MAX_REFUSALS_KEPT = 64  # refusals that wait to be logged; beyond that the oldest are dropped


class ConfigurationReplaced(NamedTuple):
    """SIGHUP was received, and the new configuration is valid.

    :param endpoints: the endpoints that it lists; None if they come from the discovery service.
    """

    plan: Plan
    endpoints: EndpointUpdate | None


class ReportHealth(NamedTuple):
    """It is time to report this router's observations of endpoints to the other routers.

    :param only_failures: report only if an endpoint has failed since the last report.
    """

    only_failures: bool = False


class RequestQuota(NamedTuple):
    """It is time to request the shares of quota that are due."""


StandaloneEvent = (
    Event | ConfigurationReplaced | ConnectionOpened | MessageReceived | RequestQuota | ReportHealth
)
StandaloneEffect = Effect | QueueMessage | CloseConnection


class StandaloneStateMachine(RouterStateMachine):
    """A standalone router's process without its I/O; see the module docstring.

    :param replica: follows the purge log; None if there is none.
    """

    def __init__(self, multi_pool_router: MultiPoolRouter, replica: PurgeReplica | None = None):
        super().__init__(multi_pool_router)
        self.multi_pool_router = multi_pool_router
        self.replica = replica
        self.rejected_by_limit: dict[str, int] = {}  # number of requests rejected before an attempt, by limit
        self.reported: dict[str, HealthObservation] = {}  # by endpoint, as of the last report
        self.ejected_by_peers: dict[str, int] = {}  # end of the ejection by endpoint
        self.quota_refusals: dict[str, QuotaRefusal] = {}  # by budget, until they are logged

    def step(self, event: StandaloneEvent, now: int) -> list[StandaloneEffect]:
        """Handles one event; those of the purge log don't concern requests and run no maintenance."""
        match event:
            case RequestQuota():
                return self._request_quota(now)
            case ReportHealth(only_failures):
                return self._report_health(only_failures, now)
            case ConnectionOpened():
                return [QueueMessage(self.replica.start_connection())]
            case MessageReceived(message):
                return self._message_received(message, now)
            case ConfigurationReplaced(plan, endpoints):
                self._replace_configuration(plan, now)
                return super().step(endpoints or event, now)
        return super().step(event, now)

    def _replace_configuration(self, plan: Plan, now: int) -> None:
        self.multi_pool_router.replace(plan, now)
        self.rejected_by_limit = {
            limit: count for limit, count in self.rejected_by_limit.items() if limit in plan.limits
        }

    # -- messages from the purge log ---------------------------------------------------------------

    def _message_received(
        self, message: messages.FromPurgeLog, now: int
    ) -> list[QueueMessage | CloseConnection]:
        effects: list[QueueMessage | CloseConnection] = []
        for effect in self.replica.receive(message, now):
            match effect:
                case ApplyPurges():
                    self._apply_purges(effect, now)
                case CaughtUp(caches):
                    self.multi_pool_router.fleet_purges.caches_caught_up = caches
                case QuotaGrants():
                    self._apply_grants(effect)
                case EjectionVerdicts(verdicts, loads):
                    self._eject_by_peers(verdicts, now)
                    self._update_fleet_load(loads, now)
                case SendMessage(reply):
                    effects.append(QueueMessage(reply))
                case EndConnection(reason, reconnect_after):
                    effects.append(CloseConnection(reason, reconnect_after))
        return effects

    def _apply_purges(self, purges: ApplyPurges, now: int) -> None:
        """Applies purges.

        Attempts that are not sent yet, and whose decision allows a copy that is now too old, are routed
        again.  For those that are sent, the copy is checked when it arrives.
        """
        self.multi_pool_router.fleet_purges.apply(purges, self.replica.applied_up_to, now)
        if not purges.purges:
            return
        for pending in self.in_flight.values():
            attempt = pending.attempt
            selection = pending.client_request.route_selection
            if attempt and not attempt.is_sent and not selection.traffic_class.uncacheable:
                attempt.is_outdated |= self.multi_pool_router.is_outdated(selection, attempt.decision, now)

    def _apply_grants(self, grants: QuotaGrants) -> None:
        self.multi_pool_router.quota_client.apply_grants(grants.grants)
        if self.multi_pool_router.slow_start_client:
            self.multi_pool_router.slow_start_client.apply_grants(grants.slow_start_grants)
        for budget, refusal in grants.refused.items():
            self.quota_refusals[budget] = refusal
            while len(self.quota_refusals) > MAX_REFUSALS_KEPT:
                del self.quota_refusals[next(iter(self.quota_refusals))]

    def _update_fleet_load(self, loads: dict[str, int] | None, now: int) -> None:
        """Applies the number of requests that all routers have in flight at each endpoint, if requested."""
        if loads is None:
            return
        own_load = {name: observation.in_flight for name, observation in self.reported.items()}
        self.multi_pool_router.pool_routers.set_fleet_load(loads, own_load, now)

    def _eject_by_peers(self, verdicts: tuple[EjectionVerdict, ...], now: int) -> None:
        """Ejects endpoints that other routers report, few at a time; each ejection expires by itself."""
        known_endpoints = len(self.multi_pool_router.pool_routers.health_observations(now))
        until = accepted_ejections(verdicts, known_endpoints, now)
        for endpoint in until.keys() - self.ejected_by_peers.keys():
            peers = next(verdict.reported_by for verdict in verdicts if verdict.cache == endpoint)
            log.info("%s is ejected on the reports of %s", endpoint, ", ".join(peers[:MAX_PEERS_LOGGED]))
        self.ejected_by_peers = until
        self.multi_pool_router.pool_routers.set_ejected_by_peers(until, now)

    # -- messages to the purge log -----------------------------------------------------------------

    def _request_quota(self, now: int) -> list[QueueMessage]:
        """Requests shares of quota that are due, if the purge log grants any."""
        if not (self.replica and self.replica.grants_quota):
            return []
        requests = self.multi_pool_router.quota_client.due_requests()
        slow_start_requests = ()
        slow_start = self.multi_pool_router.slow_start_client
        if slow_start and slow_start.terms:
            slow_start_requests = slow_start.due_requests(
                self.multi_pool_router.pool_routers.slow_start_demand(now)
            )
        if not (requests or slow_start_requests):
            return []
        return [QueueMessage(QuotaRequests(requests, slow_start_requests))]

    def _report_health(self, only_failures: bool, now: int) -> list[QueueMessage]:
        """Reports this router's observations of endpoints since its last report to the other routers."""
        if not (self.replica and self.replica.aggregates_health):
            return []
        observations = self.multi_pool_router.pool_routers.health_observations(now)
        if only_failures and not self._has_new_failure(observations):
            return []
        last_report = self.reported
        self.reported = observations
        entries = []
        for name, observation in observations.items():
            entry = _change_since(last_report.get(name), observation)
            if entry.ejected or entry.succeeded or entry.failed or entry.in_flight:
                entries.append(entry)
        home = self.multi_pool_router.router_arguments["home_location"]
        wants_load = self.multi_pool_router.plan.deployment["counts"]
        report = HealthReport(home, tuple(entries[:MAX_OBSERVATIONS]), len(observations), wants_load)
        return [QueueMessage(report)]

    def _has_new_failure(self, observations: dict[str, HealthObservation]) -> bool:
        """Returns True if an endpoint of the last report has failed since."""
        return any(
            observation.failed > self.reported.get(name, observation).failed
            for name, observation in observations.items()
        )

    # -- requests ----------------------------------------------------------------------------------

    def _request_received(self, request_id: int, client_request: ClientRequest, now: int) -> None:
        exceeded = self.multi_pool_router.admit(request_id, client_request.route_selection, now)
        if self.multi_pool_router.quota_client and self.multi_pool_router.quota_client.has_new_demand:
            self.effects += self._request_quota(now)  # a budget without a share is requested at once
        if exceeded is not None:
            self.rejected_by_limit[exceeded.limit] = self.rejected_by_limit.get(exceeded.limit, 0) + 1
            self.effects.append(SendResponse(request_id, responses.overloaded(exceeded.retry_after)))
            return
        super()._request_received(request_id, client_request, now)
        if request_id not in self.in_flight:  # its correlation id is in use, or the process is closed
            self.multi_pool_router.forget(request_id)

    def _to_request(self, request_id: int, client_request: ClientRequest) -> Request:
        selection = client_request.route_selection
        return Request(
            id=request_id,
            traffic_class=traffic_class_name(selection.route),
            object_key=client_request.object_key.lower(),
            tag=client_request.tag,
            chunk=client_request.chunk,
            size_kb=0.0,
            timeout=client_request.timeout,
            tenant=selection.tenant or None,
            max_attempts=self.multi_pool_router.max_attempts(selection),
            queueing_time=client_request.queueing_time,
        )

    def _traffic_class(self, client_request: ClientRequest) -> TrafficClass:
        """Returns the traffic class by the configuration under which the request was routed.

        The configuration may have been replaced since.
        """
        return client_request.route_selection.traffic_class

    def _extra_headers(self, client_request: ClientRequest) -> list[tuple[str, str]]:
        return [("X-Path", client_request.route_selection.path)]

    def _client_gone(self, request_id: int, now: int) -> None:
        self.multi_pool_router.release(request_id)
        super()._client_gone(request_id, now)

    def _respond(self, request_id: int, data: bytes) -> None:
        if self.in_flight[request_id].is_response_owed:
            self.multi_pool_router.release(request_id)
        super()._respond(request_id, data)

    def _attempt_ended(self, request_id: int, attempt: PendingAttempt, event: AttemptEnded, now: int) -> None:
        if self._is_copy_too_old(request_id, attempt, event):
            selection = self.in_flight[request_id].client_request.route_selection
            # An idempotent request is retried as if nothing had been sent. Any other may have been executed,
            # so its connection counts as lost.
            is_idempotent = selection.traffic_class.idempotency is Idempotency.IDEMPOTENT
            status = AttemptStatus.NOT_SENT if is_idempotent else AttemptStatus.CONNECTION_LOST
            self._finish_attempt(request_id, attempt, status, now)
        else:
            super()._attempt_ended(request_id, attempt, event, now)

    def _is_copy_too_old(self, request_id: int, attempt: PendingAttempt, event: AttemptEnded) -> bool:
        """Returns True if a response contains a copy that the fleet's purges no longer allow."""
        head = attempt.response_head
        if event.failure is not None or head.status not in (HTTP_OK, HTTP_NOT_MODIFIED):
            return False
        selection = self.in_flight[request_id].client_request.route_selection
        return not self.multi_pool_router.may_serve(
            selection, attempt.decision, head.cached_copy, attempt.started_at
        )


def _change_since(previous: HealthObservation | None, observation: HealthObservation) -> CacheObservation:
    """Returns what was observed of an endpoint since its last report; counters that decreased count as 0."""
    last = previous or replace(observation, completed=0, failed=0, in_flight=0)
    succeeded = max(0, observation.completed - last.completed)
    failed = max(0, observation.failed - last.failed)
    started = max(0, succeeded + failed + observation.in_flight - last.in_flight)
    return CacheObservation(
        observation.cache, observation.ejected, succeeded, failed, observation.in_flight, started
    )
