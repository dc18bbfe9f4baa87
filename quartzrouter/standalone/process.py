"""The process under a plan: the platform's one, with the plan read anew at SIGHUP as one event."""

import sys
from dataclasses import replace
from typing import Any

import anyio

from quartzrouter.config.loader import Loaded, load
from quartzrouter.config.model import Plan
from quartzrouter.config.platform_json import compiled, members
from quartzrouter.configuration import Configuration, ConfigurationError, Section, address
from quartzrouter.fleet_health.reports import REPORT_INTERVAL, URGENT_REPORT_INTERVAL
from quartzrouter.pool_routing.multi_pool_router import MultiPoolRouter
from quartzrouter.pool_routing.shared_limits import budgets, terms
from quartzrouter.purge_log.member_client import CloseConnection, MemberClient, QueueMessage
from quartzrouter.quota.client import QuotaClient, QuotaCounters, describe_changes
from quartzrouter.quota.slow_start_client import SlowStartClient
from quartzrouter.server import process
from quartzrouter.server.endpoint_watch import initial_snapshot
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
        self.path, self.plan, self.log = path, plan, log
        self.again = self.reading = False  # a reload was asked for; one is under way
        super().__init__(configuration(plan), signals=signals)

    def _report(self) -> RateLimitedLog:
        return StructuredLog(self.configuration.name, process.wall_clock, self.log)

    def _reducer(self) -> StandaloneStateMachine:
        self.fleet, follower = purge_membership.joined(self.plan) or (None, None)
        arguments, home = self.configuration.briefing.arguments, self.plan.deployment["home"]
        name, token = (follower.name, follower.token) if follower else (self.configuration.name, "")
        shares = QuotaClient(budgets(self.plan, (home,)), name, token, process.steady_clock)
        parts = SlowStartClient(terms(self.plan), process.steady_clock) if follower else None
        self.force = MultiPoolRouter(self.plan, arguments, self.fleet, shares, parts)
        file = self.plan.purges["file"] if self.fleet else None
        if file and (wrong := purge_membership.resume(file, self.fleet, follower, process.wall_clock())):
            self.report.say("ledger", wrong)
        return StandaloneStateMachine(self.force, follower)

    def _copy_of(self):
        return purge_membership.copy_of if self.fleet else None

    def _start_more(self) -> None:
        if self.fleet is None:
            return
        told = self.plan.purges
        silent = purge_membership.SILENT_LEASES * self.fleet.lease.length
        ledgers = [address(at, "purges.ledgers") for at in told["ledgers"]]
        self.link = MemberClient(ledgers, silent, self.feed, self.report)
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
            await anyio.sleep(purge_membership.TELL_EVERY)
            if self.fleet.old > old:
                self.report.say(
                    "purges", f"{self.fleet.old - old} answers brought old copies, and were asked for again"
                )
            if self.fleet.marks.merged > merged:
                self.report.say(
                    "purges", f"{self.fleet.marks.merged - merged} marks became marks of all: too many"
                )
            old, merged = self.fleet.old, self.fleet.marks.merged

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
                self.feed(ReportHealth(failures=look < looks - 1))

    async def _tell_shares(self) -> None:
        """Says when this router begins and ends to act on its floor, and which asks were not obeyed."""
        before: dict[str, QuotaCounters] = {}
        while True:
            await anyio.sleep(purge_membership.TELL_EVERY)
            told = self.force.shares.counters()
            for name, counts in told.items():
                if said := describe_changes(counts, before.get(name, QuotaCounters())):
                    self.report.say("shares", f"limit {name}: {said}")
            before = told
            for budget, (place, reason, remedy) in self.reducer.refused.items():
                self.report.say("shares", f"limit {budget}: the ledger refuses {place}: {reason}; {remedy}")
            self.reducer.refused.clear()

    async def _save(self, path: str) -> None:
        """Beside the loop: encoding and writing 100,000 purges takes a tenth of a second."""
        saved = self.reducer.follower.held
        while True:
            await anyio.sleep(purge_membership.SAVE_EVERY)
            if (held := self.reducer.follower.held) == saved:
                continue
            memo = purge_membership.memo(self.fleet, held)
            try:
                await anyio.to_thread.run_sync(purge_membership.save, path, memo)
                saved = held
            except OSError as error:
                self.report.say("ledger", f"{path}: {error.strerror or error}; it is written again later")

    def _perform_more(self, effect: QueueMessage | CloseConnection) -> None:
        match effect:
            case QueueMessage(said):
                self.link.tell(said)
            case CloseConnection(reason, come_back):
                self.link.hang(reason, come_back)

    def _reader(self):
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
                self.report.say("process", f"SIGHUP: nothing changes: {type(error).__name__}: {error}")
        self.reading = False

    def _take(self, loaded: Loaded) -> None:
        """The plan as it now reads; a faulty one changes nothing and costs its messages."""
        if loaded.plan is None:
            faults = loaded.faults.errors
            more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
            self.report.say("process", f"SIGHUP: nothing changes: {faults[0].head}{more}")
            return
        home = self.configuration.briefing.arguments["home"]
        if home not in loaded.plan.stores:
            self.report.say(
                "process", f"SIGHUP: nothing changes: the home store '{home}' is gone; restart for that"
            )
            return
        kept = [key for key, was in self.plan.deployment.items() if loaded.plan.deployment[key] != was]
        kept += ["purges"] * (loaded.plan.purges != self.plan.purges)
        lines = None if loaded.plan.deployment["journal"] else self._lines(loaded.plan)
        self.plan = loaded.plan
        change = f"; {', '.join(kept)} kept until the next start" if kept else ""
        self.report.say("process", f"SIGHUP: the plan is in force, {len(self.plan.routes)} routes{change}")
        self.feed(ConfigurationReplaced(self.plan, lines))

    def _lines(self, plan: Plan) -> EndpointUpdate:
        """The caches that a plan lists; those that weren't listed before are taken for just started."""
        hosts = {"hosts": {"complete": True, "members": members(plan)}}
        (lines,) = initial_snapshot([Section(hosts)], self.configuration.briefing)
        listed, now = self.reducer.addresses, self._time()
        fresh = [line if line.name in listed else replace(line, started_at=now) for line in lines.endpoints]
        return lines._replace(endpoints=fresh)


def configuration(plan: Plan) -> Configuration:
    """Where the router stands, by the plan's words in the platform's."""
    return Configuration(compiled(plan), {}, journal_needed=False)


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
