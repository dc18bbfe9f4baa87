"""Limits shared by a store or the fleet: in the plan, at one router, and between processes."""

import json
from dataclasses import replace

import anyio
import pytest
from click.testing import CliRunner

from quartzrouter.cli.main import cli
from quartzrouter.config.loader import load
from quartzrouter.config.model import Limit
from quartzrouter.config.platform_json import platform_configuration
from quartzrouter.config.request_sets import RouteQuery
from quartzrouter.configuration import Configuration
from quartzrouter.fakes.faulty_disk import FaultyDisk
from quartzrouter.fleet_health.messages import CacheObservation
from quartzrouter.pool_routing.multi_pool_router import MultiPoolRouter
from quartzrouter.pool_routing.rate_limits import LimitKey, RateLimiter
from quartzrouter.pool_routing.shared_limits import shared_budgets
from quartzrouter.purge_log.line_connection import connect, read_lines
from quartzrouter.purge_log.server import PurgeLogServer
from quartzrouter.purges import messages
from quartzrouter.purges.messages import (
    MemberHello,
    QuotaGrants,
    QuotaQuery,
    QuotaRequests,
    Welcome,
    encode_line,
)
from quartzrouter.quota import client as quota_client
from quartzrouter.quota.allocator import MAX_ACCOUNTS, QuotaAllocator
from quartzrouter.quota.budget import SECOND, Budget
from quartzrouter.quota.client import QuotaClient
from quartzrouter.quota.messages import QuotaGrant, QuotaRequest
from quartzrouter.server.process import wall_clock
from quartzrouter.server.rate_limited_log import RateLimitedLog

CALLS = Budget("calls", rate=50.0, burst=20.0, guaranteed_share=0.2, routers=4)
CROWD = Budget("crowd", slots=8, max_request_time=SECOND, guaranteed_share=0.5, routers=4)

PLAN = """{
  deployment: { name: "t", home: "north", routers: 6, routers_here: 2 },
  stores: { north: { hub: "h" }, south: { hub: "h" } }, hubs: { h: {} },
  caches: { n: { address: "127.0.0.1:1", at: "north" }, s: { address: "127.0.0.1:2", at: "south" } },
  vhosts: {
    page: { effect: "replayable", client_timeout: 3s }, slow: { effect: "replayable", client_timeout: 9s },
  },
  %s
  pools: { near: {} },
  limits: {
    calls: { rate: 60/s, burst: 30, across: "fleet" },
    crowd: { concurrent: 12, across: "store", floors: 50%% },
    own: { rate: 5/s },
  },
  routes: {
    slow: { match: { path: "/slow/**" }, vhost: "slow", pool: "near", limits: ["crowd"] },
    all: { match: {}, vhost: "page", pool: "near", limits: ["calls", "crowd", "own"] },
  },
}"""
PURGES = 'purges: { ledgers: "127.0.0.1:7700" },'


def test_a_plan_defines_a_budget_for_the_fleet_and_one_for_each_store():
    plan = load("main", lambda path: PLAN % PURGES).plan
    budgets = {each.name: each for each in shared_budgets(plan, plan.stores)}
    assert set(budgets) == {"calls", "crowd@north", "crowd@south"}
    assert budgets["calls"] == Budget("calls", 60.0, 30.0, guaranteed_share=0.2, routers=6)
    assert budgets["crowd@north"] == Budget(
        "crowd@north", slots=12, max_request_time=9 * SECOND, guaranteed_share=0.5, routers=2
    )


def test_a_shared_limit_without_a_ledger_is_an_error_in_the_plan():
    faults = load("main", lambda path: PLAN % "").faults.errors
    assert len(faults) == 2 and "no ledger is named" in faults[0].reason


# -- at one router -------------------------------------------------------------------------------------------


class RouterLimits:
    """The limits at one router, with a clock that the test sets."""

    def __init__(self, *budgets, limits=None):
        self.now = 100 * SECOND
        self.quota_client = QuotaClient(budgets, "r", "t", lambda: self.now)
        self.rate_limiter = RateLimiter(limits or {}, self.quota_client, "north")

    def request_grants(self, allocator):
        """Sends the due requests, applies the grants, and returns the requests."""
        requests = self.quota_client.due_requests()
        answers = [allocator.handle_request(request, self.now) for request in requests]
        self.quota_client.apply_grants([answer for answer in answers if isinstance(answer, QuotaGrant)])
        return requests

    def is_admitted(self, key):
        return self.quota_client.time_until_admitted(key) == 0


def test_a_request_counts_in_shared_limits_or_in_none():
    """A request that is denied by a limit of this router alone must not count as demand for a shared slot."""
    limits = {
        "crowd": Limit("crowd", "all", concurrent=8, across="fleet"),
        "own": Limit("own", "all", rate=1.0, burst=1),
    }
    router = RouterLimits(CROWD, limits=limits)
    rate_limiter = router.rate_limiter
    crowd = router.quota_client.quotas
    keys = [LimitKey("crowd", ""), LimitKey("own", "")]
    router.now += 2 * SECOND
    assert rate_limiter.admit(1, keys, 1.0, 0) is None  # in the one guaranteed slot
    assert rate_limiter.admit(2, keys, 1.0, 0).limit == "own"
    assert crowd["crowd"].denied_for_slots == 0
    exceeded = rate_limiter.admit(3, keys, 1.0, 5 * SECOND)
    assert exceeded.limit == "crowd" and exceeded.retry_after == CROWD.request_interval
    rate_limiter.release(1)
    rate_limiter.release(1)
    assert rate_limiter.admit(4, keys, 1.0, 5 * SECOND) is None and crowd["crowd"].in_use == 1


def test_each_tenant_has_a_budget_for_which_quota_is_requested_while_it_is_used():
    """Without grants, quota for two tenants is requested at once, and no more ten seconds after their use."""
    router = RouterLimits(CALLS)
    client = router.quota_client
    allocator = QuotaAllocator([CALLS], 0, first_allocator=True)
    hashed = client.key("calls", "a tenant/" + "x" * 200)
    assert hashed.startswith("calls/#") and len(hashed) < 30 and client.key("calls", "") == "calls"
    for tenant in ("anna", "bert"):
        key = client.key("calls", tenant)
        for _ in range(30):
            if router.is_admitted(key):
                client.use(key)
    assert client.has_new_demand
    requests = router.request_grants(allocator)
    assert [request.budget for request in requests] == ["calls/anna", "calls/bert"]
    assert not client.has_new_demand and not client.due_requests() and client.time_until_next_request() > 0
    assert router.is_admitted("calls/anna") and router.is_admitted("calls/bert")
    router.now += 10 * SECOND
    assert not client.due_requests() and client.time_until_next_request() == quota_client.IDLE_INTERVAL


def test_an_evicted_quota_keeps_its_sequence_numbers_and_gains_no_guaranteed_tokens(monkeypatch):
    """Guards against sequence numbers that start from 1 again when a quota is evicted and created anew.

    The allocator then refused all further requests as late.  Two tenants evict each other here, and neither
    may gain its guaranteed burst again by that.
    """
    monkeypatch.setattr(quota_client, "MAX_QUOTAS", 1)
    router = RouterLimits(CALLS)
    allocator = QuotaAllocator([CALLS], 0, first_allocator=True)
    router.now += 2 * SECOND

    def guaranteed_requests(tenant):
        used = 0
        while router.is_admitted(f"calls/{tenant}"):
            router.quota_client.use(f"calls/{tenant}").release()
            used += 1
        return used

    assert guaranteed_requests("anna") == 1 and router.request_grants(allocator)
    for _ in range(3):
        guaranteed_requests("bert")
        assert guaranteed_requests("anna") == 0
    router.now += SECOND // 4
    requests = router.request_grants(allocator)
    assert allocator.refused == 0 and requests[0].sequence_number > 1


def test_a_new_plan_keeps_grants_of_unchanged_budgets_and_drops_those_of_changed_ones():
    """One budget gets fewer slots and is removed while a request holds a slot; the other is unchanged."""
    router = RouterLimits(CALLS, CROWD)
    client = router.quota_client
    quotas = client.quotas
    router.now += 2 * SECOND
    for _ in range(20):
        client.time_until_admitted("calls")
    assert router.is_admitted("crowd")
    crowd = client.use("crowd")
    client.time_until_admitted("crowd")
    router.request_grants(QuotaAllocator([CALLS, CROWD], 0, first_allocator=True))
    assert quotas["crowd"].granted_slots and quotas["calls"].tokens_left(router.now) > 1
    client.replace([CALLS, replace(CROWD, slots=6)])
    assert quotas["crowd"].granted_slots == 0 and quotas["calls"].tokens_left(router.now) > 1
    assert quotas["crowd"].in_use == 1
    client.replace([CALLS])
    crowd.release()
    assert set(quotas) == {"calls"}


def test_accounts_are_bounded_and_start_empty_when_created_again():
    """If many tenants' requests evict the first one's account, it must not have its burst again."""
    allocator = QuotaAllocator([CALLS], 0, first_allocator=True)

    def request_quota(tenant):
        request = QuotaRequest(
            f"calls/{tenant}", "r", "t", 1, wanted_rate=500.0, terms_checksum=CALLS.terms_checksum
        )
        return allocator.handle_request(request, 100 * SECOND)

    assert request_quota("first").tokens > 15
    for tenant in range(MAX_ACCOUNTS):
        assert isinstance(request_quota(tenant), QuotaGrant)
    assert len(allocator.accounts) == MAX_ACCOUNTS and "calls/first" not in allocator.accounts
    assert request_quota("first").tokens == 0


# -- between processes ---------------------------------------------------------------------------------------


class Member:
    """A member's connection to a purge log.

    :param stream: the connection.
    :param port: port at which the purge log listens.
    """

    def __init__(self, stream, port):
        self.stream = stream
        self.received = read_lines(stream)
        self.port = port

    async def send(self, message):
        await self.stream.send(encode_line(message))

    async def receive(self, kind):
        """Returns the next message of a type and skips others."""
        async for line in self.received:
            message = messages.decode_from_purge_log(line)
            if isinstance(message, kind):
                return message

    async def greet(self):
        """Registers as the member r."""
        await self.send(MemberHello("r", "router", "t"))

    def run_command(self, *arguments):
        """Returns the output of `quartzrouter fleet ...`."""
        result = CliRunner().invoke(cli, ("fleet", *arguments, "--ledger", f"127.0.0.1:{self.port}"))
        assert result.exit_code == 0, result.output
        return result.output

    async def command(self, *arguments):
        return await anyio.to_thread.run_sync(self.run_command, *arguments)


def run_scenario(scenario, budgets=(CALLS,)):
    """Runs a scenario with a purge log and a member.

    :param budgets: budgets that the purge log grants; None if it grants no quota.
    """

    async def main():
        log = RateLimitedLog("ledger", wall_clock)
        granted = None if budgets is None else list(budgets)
        purge_log = PurgeLogServer(FaultyDisk(), 300_000, log, budgets=granted)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(purge_log.run, [listener])
                async with await connect(("127.0.0.1", port)) as stream:
                    await scenario(purge_log, Member(stream, port))
                tasks.cancel_scope.cancel()

    anyio.run(main)


VALID = QuotaRequest("calls", "r", "t", 1, wanted_rate=5.0, terms_checksum=CALLS.terms_checksum)


@pytest.mark.parametrize(
    "invalid, place",
    [
        (VALID._replace(budget="fills"), "budget"),
        (VALID._replace(wanted_rate=-1.0), "want"),
        (VALID._replace(tokens_left=1e12), "left"),
        (VALID._replace(slots_wanted=-3), "slots"),
        (VALID._replace(terms_checksum=7), "figures"),
        (VALID._replace(name="s"), "name"),
        (VALID._replace(process_token="other"), "name"),
    ],
)
def test_a_refused_request_is_answered_with_the_reason_and_the_connection_stays_open(invalid, place):
    async def scenario(purge_log, member):
        await member.greet()
        assert (await member.receive(Welcome)).grants_quota
        await member.send(QuotaRequests((invalid,)))
        answer = await member.receive(QuotaGrants)
        assert not answer.grants and answer.refused[invalid.budget].place == place
        await member.send(QuotaRequests((VALID,)))
        assert (await member.receive(QuotaGrants)).grants[0].sequence_number == 1
        assert purge_log.quota.allocator.refused + purge_log.quota.impersonations == 1

    run_scenario(scenario)


def test_late_requests_are_counted_and_not_answered():
    """A request is duplicated in transit."""

    async def scenario(purge_log, member):
        await member.greet()
        await member.send(QuotaRequests((VALID, VALID)))
        answer = await member.receive(QuotaGrants)
        assert len(answer.grants) == 1 and not answer.refused
        assert purge_log.quota.allocator.refused == 1

    run_scenario(scenario)


def test_a_purge_log_without_budgets_says_so_and_ignores_requests():
    async def scenario(_purge_log, member):
        await member.greet()
        assert not (await member.receive(Welcome)).grants_quota
        await member.send(QuotaRequests((VALID,)))
        assert (await member.receive(messages.Heartbeat)).epoch == 1

    run_scenario(scenario, budgets=None)


def test_a_plan_that_adds_its_first_shared_limit_is_granted_from_then_on():
    """Guards against a purge log that starts without shared limits and grants none until it restarts."""

    async def scenario(purge_log, member):
        await member.greet()
        assert (await member.receive(Welcome)).grants_quota
        purge_log.quota.replace([CALLS], {})
        await member.send(QuotaRequests((VALID,)))
        assert (await member.receive(QuotaGrants)).grants[0].sequence_number == 1

    run_scenario(scenario, budgets=())


def test_a_client_waits_no_longer_than_a_shared_slot_counts_as_in_use():
    """The allocator considers a slot free once the plan's timeouts must have ended the request in it."""
    plan = load("main", lambda path: PLAN % PURGES).plan
    settings = Configuration(platform_configuration(plan), {}, needs_discovery=False).settings
    multi_pool_router = MultiPoolRouter(plan, settings.router_arguments)
    selection = multi_pool_router.select_route(RouteQuery("north", "", "/a", "GET", {}, {}), "c")
    timeouts = [
        multi_pool_router.client_timeout(selection, requested) for requested in (0, 5 * SECOND, 60 * SECOND)
    ]
    assert timeouts == [3 * SECOND, 5 * SECOND, 9 * SECOND]


def test_a_welcome_of_an_older_purge_log_grants_nothing():
    welcome = messages.decode_from_purge_log(b'{"say":"welcome","epoch":1,"head":0,"now":5,"lease":9}')
    assert not welcome.grants_quota


def test_operators_commands_show_budgets_status_and_loads():
    async def scenario(_purge_log, member):
        await member.greet()
        await member.send(QuotaRequests((VALID,)))
        await member.receive(QuotaGrants)
        budgets_shown = await member.command("budgets")
        assert "calls: 50/s" in budgets_shown and "wants      5.0/s" in budgets_shown
        budget = json.loads(await member.command("budgets", "--json"))[0]
        assert budget["holders"][0]["name"] == "r" and budget["rate"] == 50
        assert "1 budgets, 0 quota requests refused" in await member.command("status")
        status = json.loads(await member.command("status", "--json"))
        assert status["budgets"] == 1 and status["silent"] == ["r"]  # it has acknowledged nothing
        assert "no cache is ejected" in await member.command("judgements")
        observations = tuple(CacheObservation(f"n{index}", index == 0, 3, 0, 2, 3) for index in range(3))
        await member.send(messages.HealthReport("north", observations, 3))
        await member.send(QuotaRequests(()))
        await member.receive(QuotaGrants)  # by then the report has been read
        assert "north: n0" in await member.command("counts")
        assert json.loads(await member.command("counts", "--json"))[1]["in_hand"] == 2

    run_scenario(scenario)


def test_budgets_can_be_queried_before_any_hello():
    async def scenario(_purge_log, member):
        await member.send(QuotaQuery())
        status = await member.receive(messages.QuotaStatus)
        assert [budget.budget for budget in status.budgets] == ["calls"]

    run_scenario(scenario)
