"""The reducer under a plan: limits before the decisions, their pool behind them, a new plan as one event.

Where the plan names a ledger of purges, what it says are events as well, and every copy that comes is judged.
"""

import logging
from dataclasses import replace
from typing import NamedTuple

from quartzrouter.config.model import Plan
from quartzrouter.fleet_health.ejection import accepted_ejections
from quartzrouter.fleet_health.reports import MAX_OBSERVATIONS
from quartzrouter.pool_routing.multi_pool_router import MultiPoolRouter
from quartzrouter.pool_routing.route_selection import vhost_name
from quartzrouter.purge_log.member_client import (
    CloseConnection,
    ConnectionOpened,
    MessageReceived,
    QueueMessage,
)
from quartzrouter.purges import messages
from quartzrouter.purges.messages import CaughtUp, EjectionVerdicts, HealthReport, QuotaGrants, QuotaRequests
from quartzrouter.purges.replica import ApplyPurges, EndConnection, PurgeReplica, SendMessage
from quartzrouter.quota.messages import QuotaRefusal
from quartzrouter.routing.model import AttemptStatus, HealthObservation, Request
from quartzrouter.routing.model import Idempotency as Repeats
from quartzrouter.server import responses
from quartzrouter.server.effects import Effect, SendResponse
from quartzrouter.server.events import AttemptEnded, ClientRequest, EndpointUpdate, Event
from quartzrouter.server.state_machine import DONE, SAME, PendingAttempt, PendingRequest, RouterStateMachine

log = logging.getLogger("quartzrouter.routing.router")  # what changes the decisions is told where they are

NAMED = 5  # witnesses in a line
REFUSED_MOST = 64  # kept until they are told of


class ConfigurationReplaced(NamedTuple):
    """SIGHUP, and a plan that can be used; with the caches that it lists, where no journal tells of them."""

    plan: Plan
    lines: EndpointUpdate | None


class ReportHealth(NamedTuple):
    """Time to tell others what has been seen of caches.

    :param failures: only where one has failed since the last word.
    """

    failures: bool = False


class RequestQuota(NamedTuple):
    """Time to see which shares are to be asked for."""


class StandaloneStateMachine(RouterStateMachine):
    """:param follower: reads what a ledger of purges says, where there is one."""

    def __init__(self, force: MultiPoolRouter, follower: PurgeReplica | None = None):
        super().__init__(force)
        self.force, self.follower = force, follower
        self.denied: dict[str, int] = {}  # reqs turned away before a dispatch, by limit
        self.seen: dict[str, HealthObservation] = {}  # as last told to others
        self.hearsay: dict[str, int] = {}  # caches that are left out by others' word, and until when
        self.refused: dict[str, QuotaRefusal] = {}  # asks for shares that were not obeyed, until told

    def step(
        self,
        event: Event
        | ConfigurationReplaced
        | ConnectionOpened
        | MessageReceived
        | RequestQuota
        | ReportHealth,
        now: int,
    ) -> list[Effect | QueueMessage | CloseConnection]:
        match event:
            case RequestQuota():
                return self._asks(now)
            case ReportHealth(failures):
                return self._sights(now, failures)
            case ConnectionOpened():
                return [QueueMessage(self.follower.begin(now))]
            case MessageReceived(said):
                return self._said(said, now)
            case ConfigurationReplaced(plan, lines):
                self.force.replace(plan, now)
                self.denied = {name: n for name, n in self.denied.items() if name in plan.limits}
                return super().step(lines or event, now)
        return super().step(event, now)

    def _said(self, said, now: int) -> list[QueueMessage | CloseConnection]:
        effects, fleet = [], self.force.fleet
        for given in self.follower.take(said, now):
            match given:
                case ApplyPurges():
                    fleet.apply(given, self.follower.held, now)
                    self._outdated(given, now)
                case CaughtUp(caches):
                    fleet.caught = caches
                case QuotaGrants():
                    self._granted(given)
                case EjectionVerdicts(judgements, loads):
                    self._judged(judgements, now)
                    if loads is not None:
                        own = {name: sight.in_flight for name, sight in self.seen.items()}
                        self.force.set_fleet_load(loads, own, now)
                case SendMessage(told):
                    effects.append(QueueMessage(told))
                case EndConnection(reason, come_back):
                    effects.append(CloseConnection(reason, come_back))
        return effects

    def _asks(self, now: int) -> list[QueueMessage]:
        if not (self.follower and self.follower.grants):
            return []
        asks, parts = self.force.shares.due_requests(), self.force.parts
        colds = parts.due_requests(self.force.slow_start_demand(now)) if parts and parts.terms else ()
        return [QueueMessage(QuotaRequests(asks, colds))] if asks or colds else []

    def _sights(self, now: int, failures: bool) -> list[QueueMessage]:
        """What this router has seen itself since it last told."""
        if not (self.follower and self.follower.judges):
            return []
        seen = self.force.health_observations(now)
        if failures and not any(new.failed > self.seen.get(name, new).failed for name, new in seen.items()):
            return []
        before, self.seen = self.seen, seen
        said = []
        for name, new in self.seen.items():
            old = before.get(name) or replace(new, completed=0, failed=0, in_flight=0)
            good, bad = max(0, new.completed - old.completed), max(0, new.failed - old.failed)
            begun = max(0, good + bad + new.in_flight - old.in_flight)
            if new.ejected or good or bad or new.in_flight:
                said.append(messages.CacheObservation(name, new.ejected, good, bad, new.in_flight, begun))
        told = (self.force.arguments["home"], tuple(said[:MAX_OBSERVATIONS]), len(self.seen))
        return [QueueMessage(HealthReport(*told, self.force.plan.deployment["counts"]))]

    def _judged(self, judgements: tuple[messages.EjectionVerdict, ...], now: int) -> None:
        """Leaves caches out for as long as others say, as few as may be; each ends by itself."""
        until = accepted_ejections(judgements, len(self.force.health_observations(now)), now)
        for cache in until.keys() - self.hearsay.keys():
            by = next(each.reported_by for each in judgements if each.cache == cache)
            log.info("%s is left out by the word of %s", cache, ", ".join(by[:NAMED]))
        self.hearsay = until
        self.force.set_ejected_by_peers(until, now)

    def _granted(self, said: QuotaGrants) -> None:
        self.force.shares.apply_grants(said.grants)
        if self.force.parts:
            self.force.parts.apply_grants(said.colds)
        for budget, refusal in said.refused.items():
            self.refused[budget] = refusal
            while len(self.refused) > REFUSED_MOST:
                del self.refused[next(iter(self.refused))]

    def _outdated(self, news: ApplyPurges, now: int) -> None:
        """Dispatches decided before a purge that are not written yet are decided anew; the rest is judged."""
        for hand in self.hands.values() if news.purges else ():
            if hand.going and not hand.going.ready and not hand.call.route_selection.vhost.uncacheable:
                hand.going.stale |= self.force.bound_now(hand.call.route_selection, hand.going.answer, now)

    def _over(self, ticket: int, going: PendingAttempt, event: AttemptEnded, now: int) -> None:
        call, head = self.hands[ticket].call, going.head
        brings = event.failure is None and head.status in (DONE, SAME)
        if brings and not self.force.good(call.route_selection, going.answer, head.cached_copy, going.since):
            again = call.route_selection.vhost.idempotency is Repeats.IDEMPOTENT
            self._end(
                ticket,
                going,
                AttemptStatus.NOT_SENT if again else AttemptStatus.CONNECTION_LOST,
                now,
                drop=False,
            )
        else:
            super()._over(ticket, going, event, now)

    def _came(self, ticket: int, call: ClientRequest, now: int) -> None:
        denied = self.force.admit(ticket, call.route_selection, now)
        if self.force.shares and self.force.shares.has_new_demand:
            self.effects += self._asks(now)  # a budget that nothing is held of waits for no timer
        if denied is not None:
            self.denied[denied.limit] = self.denied.get(denied.limit, 0) + 1
            self.effects.append(SendResponse(ticket, responses.overloaded(denied.come_back)))
            return
        super()._came(ticket, call, now)
        if ticket not in self.hands:  # its id is in use, or nothing is taken any more
            self.force.forget(ticket)

    def _req(self, ticket: int, call: ClientRequest) -> Request:
        return Request(
            ticket,
            vhost_name(call.route_selection.route),
            call.object_key.lower(),
            call.tag,
            call.chunk,
            size_kb=0.0,
            timeout=call.timeout,
            tenant=call.route_selection.tenant or None,
            max_attempts=self.force.dispatches(call.route_selection),
            queueing_time=call.queueing_time,
        )

    def _kept(self, call: ClientRequest) -> bool:
        return not call.route_selection.vhost.uncacheable  # of the plan it came with

    def _fields(self, call: ClientRequest) -> list[tuple[str, str]]:
        return [("X-Path", call.route_selection.path)]

    def _left(self, ticket: int, now: int) -> None:
        self.force.release(ticket)
        super()._left(ticket, now)

    def _reply(self, ticket: int, data: bytes) -> None:
        hand: PendingRequest = self.hands[ticket]
        if not hand.gone:
            self.force.release(ticket)
        super()._reply(ticket, data)
