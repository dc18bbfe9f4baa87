"""The process of a standalone router: configured by a plan, which is read again and replaced at SIGHUP."""

import sys
from dataclasses import replace
from typing import Any

import anyio

from quartzrouter.config.loader import LoadResult
from quartzrouter.config.model import Plan
from quartzrouter.config.platform_json import endpoint_list, platform_configuration
from quartzrouter.configuration import Configuration
from quartzrouter.configuration_section import ConfigurationError, ConfigurationSection, parse_address
from quartzrouter.pool_routing.multi_pool_router import MultiPoolRouter
from quartzrouter.pool_routing.shared_limits import shared_budgets, slow_start_terms
from quartzrouter.purge_log.member_client import CloseConnection, MemberClient, QueueMessage
from quartzrouter.quota.client import QuotaClient
from quartzrouter.quota.slow_start_client import SlowStartClient
from quartzrouter.server import process
from quartzrouter.server.cache_responses import CopyReader
from quartzrouter.server.discovery_protocol import initial_events
from quartzrouter.server.events import EndpointUpdate
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.server.request_reader import ParamsParser
from quartzrouter.signals import Signals
from quartzrouter.standalone import purge_membership
from quartzrouter.standalone.fleet_tasks import FleetTasks
from quartzrouter.standalone.plan_reloader import PlanReloader
from quartzrouter.standalone.request_parser import RequestParser
from quartzrouter.standalone.state_machine import ConfigurationReplaced, StandaloneStateMachine
from quartzrouter.standalone.structured_log import StructuredLog

# Keys of the deployment that a reload applies: they are used by health reports and shared limits' budgets.
TAKES_EFFECT_AT_RELOAD = ("counts", "routers", "routers_here")


class StandaloneProcess(process.RouterProcess):
    """A router that is configured by a plan.

    :param path: the plan's file, read again at SIGHUP.
    :param plan: the plan read at startup.
    :param log: a structlog logger.
    :param signals: installed signal handlers.
    """

    state_machine: StandaloneStateMachine
    member_client: MemberClient  # connection to the purge log; set in a running member of a fleet

    def __init__(self, path: str, plan: Plan, log: Any, signals: Signals | None = None):
        self.plan = plan
        self._started_with = plan
        self._logger = log
        super().__init__(router_configuration(plan), signals=signals)
        self._reloader = PlanReloader(path, self._apply, self.log)

    # -- parts that replace the platform router's ----------------------------------------------------

    def _create_log(self) -> RateLimitedLog:
        return StructuredLog(self.configuration.name, process.wall_clock, self._logger)

    def _create_state_machine(self) -> StandaloneStateMachine:
        self.fleet, replica = purge_membership.join_fleet(self.plan) or (None, None)
        home = self.plan.deployment["home"]
        if replica:
            name = replica.name
            token = replica.token
            slow_start = SlowStartClient(slow_start_terms(self.plan), process.steady_clock)
        else:
            name = self.configuration.name
            token = ""
            slow_start = None
        quota = QuotaClient(shared_budgets(self.plan, (home,)), name, token, process.steady_clock)
        router_arguments = self.configuration.settings.router_arguments
        self.multi_pool_router = MultiPoolRouter(self.plan, router_arguments, self.fleet, quota, slow_start)
        self._restore_purges(replica)
        return StandaloneStateMachine(self.multi_pool_router, replica)

    def _restore_purges(self, replica: Any) -> None:
        """Applies the stored purges that were in force when this router last ran."""
        path = self.plan.purges["file"] if self.fleet else None
        if not path:
            return
        problem = purge_membership.restore(path, self.fleet, replica, process.wall_clock())
        if problem:
            self.log.say("ledger", problem)

    def _create_copy_reader(self) -> CopyReader | None:
        return purge_membership.copy_from_headers if self.fleet else None

    def _create_params_parser(self) -> ParamsParser:
        return RequestParser(self.multi_pool_router, self.plan.deployment["home"]).parse

    def _start_background_tasks(self) -> None:
        if self.fleet is None:
            return
        settings = self.plan.purges
        silence_timeout = purge_membership.SILENCE_TIMEOUT_LEASES * self.fleet.lease.length
        addresses = [parse_address(text, "purges.ledgers") for text in settings["ledgers"]]
        self.member_client = MemberClient(addresses, silence_timeout, self.handle_event, self.log)
        self.tasks.start_soon(self.member_client.run)
        fleet_tasks = FleetTasks(
            self.fleet, self.multi_pool_router, self.state_machine, self.handle_event, self.log
        )
        fleet_tasks.start(self.tasks, self.plan.deployment["hearsay"], settings["file"])

    def _perform_extension(self, effect: object) -> None:
        match effect:
            case QueueMessage(message):
                self.member_client.send(message)
            case CloseConnection(reason, reconnect_after):
                self.member_client.reconnect(reason, reconnect_after)

    # -- reloading -----------------------------------------------------------------------------------

    def _reload(self) -> None:
        self._reloader.request(self.tasks)

    def _apply(self, loaded: LoadResult) -> None:
        """Applies a plan; an invalid one changes nothing, and its first error is logged."""
        if loaded.plan is None:
            faults = loaded.faults.errors
            more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
            self.log.say("process", f"SIGHUP: nothing changes: {faults[0].head}{more}")
            return
        home = self.configuration.settings.router_arguments["home_location"]
        if home not in loaded.plan.stores:
            reason = f"the home store '{home}' is missing from the plan; changing it needs a restart"
            self.log.say("process", f"SIGHUP: nothing changes: {reason}")
            return
        kept = self._kept_until_restart(loaded.plan)
        follows_discovery = bool(loaded.plan.deployment["journal"])
        endpoints = None if follows_discovery else self._endpoints_of(loaded.plan)
        self.plan = loaded.plan
        note = f"; {', '.join(kept)} kept until the next start" if kept else ""
        self.log.say("process", f"SIGHUP: the plan is in force, {len(self.plan.routes)} routes{note}")
        self.handle_event(ConfigurationReplaced(self.plan, endpoints))

    def _kept_until_restart(self, plan: Plan) -> list[str]:
        """Returns the keys of the deployment, and `purges`, that differ from the plan at startup.

        The process keeps their values until a restart, so each reload names them again. `journal` is named
        too, although the new plan decides if its list of endpoints is used.
        """
        started_with = self._started_with
        kept = [
            key
            for key, value in started_with.deployment.items()
            if plan.deployment[key] != value and key not in TAKES_EFFECT_AT_RELOAD
        ]
        if plan.purges != started_with.purges:
            kept.append("purges")
        return kept

    def _endpoints_of(self, plan: Plan) -> EndpointUpdate:
        """Returns the endpoints that a plan lists; those not listed before count as just started."""
        hosts = {"hosts": {"complete": True, "members": endpoint_list(plan)}}
        (update,) = initial_events([ConfigurationSection(hosts)], self.configuration.settings)
        assert isinstance(update, EndpointUpdate)  # as for every entry with hosts
        listed = self.state_machine.addresses
        now = self._read_clock()
        endpoints = [
            endpoint if endpoint.name in listed else replace(endpoint, started_at=now)
            for endpoint in update.endpoints
        ]
        return update._replace(endpoints=endpoints)


def router_configuration(plan: Plan) -> Configuration:
    """Converts a plan's settings of the router itself to the platform's configuration."""
    return Configuration(platform_configuration(plan), {}, needs_discovery=False)


def run(path: str, plan: Plan, log: Any, signals: Signals | None = None) -> int:
    """Runs a router until SIGTERM.

    :param path: the plan's file, read again at SIGHUP.
    :param log: a structlog logger.
    :param signals: installed signal handlers.
    :returns: the exit status, 1 if the address to listen on can't be bound.
    """
    try:
        router_process = StandaloneProcess(path, plan, log, signals)
        anyio.run(router_process.run, backend_options=process.BACKEND_OPTIONS)
    except ConfigurationError as error:
        print(f"quartzrouter: {path}: {error}", file=sys.stderr)
        return 1
    return 0
