"""The process under a plan: the platform's one, with the plan read anew at SIGHUP as one event."""

import sys
from dataclasses import replace
from typing import Any

import anyio

from quartzrouter.config.loader import Loaded, load
from quartzrouter.config.model import Plan
from quartzrouter.config.platform_json import compiled, members
from quartzrouter.configuration import Configuration
from quartzrouter.configuration_section import ConfigurationError, ConfigurationSection, parse_address
from quartzrouter.fleet_health.reports import REPORT_INTERVAL, URGENT_REPORT_INTERVAL
from quartzrouter.pool_routing.multi_pool_router import MultiPoolRouter
from quartzrouter.pool_routing.shared_limits import budgets, terms
from quartzrouter.purge_log.member_client import CloseConnection, MemberClient, QueueMessage
from quartzrouter.quota.client import QuotaClient, QuotaCounters, describe_changes
from quartzrouter.quota.slow_start_client import SlowStartClient
from quartzrouter.server import process
from quartzrouter.server.discovery_protocol import initial_events
from quartzrouter.server.events import EndpointUpdate
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.signals import Signals
from quartzrouter.standalone import purge_membership
from quartzrouter.standalone.request_parser import RequestParser
from quartzrouter.standalone.state_machine import (
    ConfigurationReplaced,
    ReportHealth,
    RequestQuota,
    StandaloneStateMachine,
)
from quartzrouter.standalone.structured_log import StructuredLog


class StandaloneProcess(process.RouterProcess):
    """A router under a plan.

    :param path: the plan's file, read again at SIGHUP.
    :param log: a structured log.
    """

    def __init__(self, path: str, plan: Plan, log: Any, signals: Signals | None = None):
        self.path, self.plan, self._logger = path, plan, log
        self.again = self.reading = False  # a reload was asked for; one is under way
        super().__init__(configuration(plan), signals=signals)

    def _create_log(self) -> RateLimitedLog:
        return StructuredLog(self.configuration.name, process.wall_clock, self._logger)

    def _create_state_machine(self) -> StandaloneStateMachine:
        self.fleet, follower = purge_membership.join_fleet(self.plan) or (None, None)
        arguments, home = self.configuration.settings.router_arguments, self.plan.deployment["home"]
        name, token = (follower.name, follower.token) if follower else (self.configuration.name, "")
        shares = QuotaClient(budgets(self.plan, (home,)), name, token, process.steady_clock)
        parts = SlowStartClient(terms(self.plan), process.steady_clock) if follower else None
        self.force = MultiPoolRouter(self.plan, arguments, self.fleet, shares, parts)
        file = self.plan.purges["file"] if self.fleet else None
        if file and (wrong := purge_membership.restore(file, self.fleet, follower, process.wall_clock())):
            self.log.say("ledger", wrong)
        return StandaloneStateMachine(self.force, follower)

    def _create_copy_reader(self):
        return purge_membership.copy_from_headers if self.fleet else None

    def _start_background_tasks(self) -> None:
        if self.fleet is None:
            return
        told = self.plan.purges
        silent = purge_membership.SILENCE_TIMEOUT_LEASES * self.fleet.lease.length
        ledgers = [parse_address(at, "purges.ledgers") for at in told["ledgers"]]
        self.link = MemberClient(ledgers, silent, self.feed, self.log)
        self.tasks.start_soon(self.link.run)
        self.tasks.start_soon(self._tell)
        self.tasks.start_soon(self._ask_shares)
        self.tasks.start_soon(self._tell_shares)
        if self.plan.deployment["hearsay"]:
            self.tasks.start_soon(self._tell_sights)
        if told["file"]:
            self.tasks.start_soon(self._save, told["file"])

    async def _tell(self) -> None:
        """Says what purges cost here, where they did."""
        old = merged = 0
        while True:
            await anyio.sleep(purge_membership.REPORT_INTERVAL)
            if self.fleet.stale_copies > old:
                self.log.say(
                    "purges",
                    f"{self.fleet.stale_copies - old} answers brought old copies, and were asked for again",
                )
            if self.fleet.index.merged > merged:
                self.log.say(
                    "purges", f"{self.fleet.index.merged - merged} marks became marks of all: too many"
                )
            old, merged = self.fleet.stale_copies, self.fleet.index.merged

    async def _ask_shares(self) -> None:
        while True:
            due = self.force.shares.time_until_next_request()
            if colds := self.force.parts.request_interval():
                due = min(due, colds)
            await anyio.sleep(due / 1e6)
            self.feed(RequestQuota())

    async def _tell_sights(self) -> None:
        looks = REPORT_INTERVAL // URGENT_REPORT_INTERVAL
        while True:
            for look in range(looks):
                await anyio.sleep(URGENT_REPORT_INTERVAL / 1e6)
                self.feed(ReportHealth(only_failures=look < looks - 1))

    async def _tell_shares(self) -> None:
        """Says when this router begins and ends to act on its floor, and which asks were not obeyed."""
        before: dict[str, QuotaCounters] = {}
        while True:
            await anyio.sleep(purge_membership.REPORT_INTERVAL)
            told = self.force.shares.counters()
            for name, counts in told.items():
                if said := describe_changes(counts, before.get(name, QuotaCounters())):
                    self.log.say("shares", f"limit {name}: {said}")
            before = told
            for budget, (place, reason, remedy) in self.state_machine.quota_refusals.items():
                self.log.say("shares", f"limit {budget}: the ledger refuses {place}: {reason}; {remedy}")
            self.state_machine.quota_refusals.clear()

    async def _save(self, path: str) -> None:
        """Beside the loop: encoding and writing 100,000 purges takes a tenth of a second."""
        saved = self.state_machine.replica.applied_up_to
        while True:
            await anyio.sleep(purge_membership.SAVE_INTERVAL)
            if (held := self.state_machine.replica.applied_up_to) == saved:
                continue
            memo = purge_membership.stored_purges(self.fleet, held)
            try:
                await anyio.to_thread.run_sync(purge_membership.save, path, memo)
                saved = held
            except OSError as error:
                self.log.say("ledger", f"{path}: {error.strerror or error}; it is written again later")

    def _perform_extension(self, effect: QueueMessage | CloseConnection) -> None:
        match effect:
            case QueueMessage(said):
                self.link.send(said)
            case CloseConnection(reason, come_back):
                self.link.reconnect(reason, come_back)

    def _create_params_parser(self):
        return RequestParser(self.force, self.plan.deployment["home"]).call

    def _reload(self) -> None:
        """Reads the plan beside the loop, one reading at a time: thousands of routes take seconds."""
        self.again = True
        if not self.reading:
            self.reading = True
            self.tasks.start_soon(self._read)

    async def _read(self) -> None:
        while self.again:
            self.again = False
            try:
                self._take(await anyio.to_thread.run_sync(load, self.path))
            except Exception as error:  # a fault of ours may not end the service
                self.log.say("process", f"SIGHUP: nothing changes: {type(error).__name__}: {error}")
        self.reading = False

    def _take(self, loaded: Loaded) -> None:
        """The plan as it now reads; a faulty one changes nothing and costs its messages."""
        if loaded.plan is None:
            faults = loaded.faults.errors
            more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
            self.log.say("process", f"SIGHUP: nothing changes: {faults[0].head}{more}")
            return
        home = self.configuration.settings.router_arguments["home_location"]
        if home not in loaded.plan.stores:
            self.log.say(
                "process", f"SIGHUP: nothing changes: the home store '{home}' is gone; restart for that"
            )
            return
        kept = [key for key, was in self.plan.deployment.items() if loaded.plan.deployment[key] != was]
        kept += ["purges"] * (loaded.plan.purges != self.plan.purges)
        lines = None if loaded.plan.deployment["journal"] else self._lines(loaded.plan)
        self.plan = loaded.plan
        change = f"; {', '.join(kept)} kept until the next start" if kept else ""
        self.log.say("process", f"SIGHUP: the plan is in force, {len(self.plan.routes)} routes{change}")
        self.feed(ConfigurationReplaced(self.plan, lines))

    def _lines(self, plan: Plan) -> EndpointUpdate:
        """The caches that a plan lists; those that weren't listed before are taken for just started."""
        hosts = {"hosts": {"complete": True, "members": members(plan)}}
        (lines,) = initial_events([ConfigurationSection(hosts)], self.configuration.settings)
        listed, now = self.state_machine.addresses, self._read_clock()
        fresh = [line if line.name in listed else replace(line, started_at=now) for line in lines.endpoints]
        return lines._replace(endpoints=fresh)


def configuration(plan: Plan) -> Configuration:
    """Where the router stands, by the plan's words in the platform's."""
    return Configuration(compiled(plan), {}, needs_discovery=False)


def run(path: str, plan: Plan, log: Any, signals: Signals | None = None) -> int:
    """Serves until SIGTERM; gives the exit status.

    :param signals: those that listen already.
    """
    try:
        anyio.run(StandaloneProcess(path, plan, log, signals).run, backend_options=process.BACKEND_OPTIONS)
    except ConfigurationError as error:
        print(f"quartzrouter: {path}: {error}", file=sys.stderr)
        return 1
    return 0
