"""Limits of a store or the fleet: in the plan, at one router, and on the ledger's lines."""

import json
from dataclasses import replace

import anyio
import pytest
from click.testing import CliRunner

from quartzrouter.cli.main import cli
from quartzrouter.config.loader import load
from quartzrouter.config.model import Limit
from quartzrouter.config.platform_json import compiled
from quartzrouter.config.request_sets import Asked
from quartzrouter.configuration import Configuration
from quartzrouter.fakes.faulty_disk import FaultyDisk
from quartzrouter.fleet_health.messages import CacheObservation
from quartzrouter.pool_routing.multi_pool_router import MultiPoolRouter
from quartzrouter.pool_routing.rate_limits import LimitKey, RateLimiter
from quartzrouter.pool_routing.shared_limits import budgets
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
from quartzrouter.quota import client as module
from quartzrouter.quota.allocator import MAX_ACCOUNTS, QuotaAllocator
from quartzrouter.quota.budget import Budget
from quartzrouter.quota.client import QuotaClient
from quartzrouter.quota.messages import QuotaGrant, QuotaRequest
from quartzrouter.server.process import wall_clock
from quartzrouter.server.rate_limited_log import RateLimitedLog

S = 1_000_000
CALLS = Budget("calls", rate=50.0, burst=20.0, guaranteed_share=0.2, routers=4)
CROWD = Budget("crowd", slots=8, max_request_time=S, guaranteed_share=0.5, routers=4)

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


def test_a_plan_names_a_budget_for_the_fleet_and_one_for_each_store():
    plan = load("main", lambda path: PLAN % PURGES).plan
    found = {each.name: each for each in budgets(plan, plan.stores)}
    assert set(found) == {"calls", "crowd@north", "crowd@south"}
    assert found["calls"] == Budget("calls", 60.0, 30.0, guaranteed_share=0.2, routers=6)
    assert found["crowd@north"] == Budget(
        "crowd@north", slots=12, max_request_time=9 * S, guaranteed_share=0.5, routers=2
    )


def test_a_shared_limit_without_a_ledger_is_a_fault_of_the_plan():
    faults = load("main", lambda path: PLAN % "").faults.errors
    assert len(faults) == 2 and "no ledger is named" in faults[0].reason


# -- at one router -------------------------------------------------------------------------------------------


class Router:
    def __init__(self, *of, limits=None):
        self.now = 100 * S
        self.shares = QuotaClient(of, "r", "t", lambda: self.now)
        self.limits = RateLimiter(limits or {}, self.shares, "north")

    def granted(self, granter):
        """Asks, and takes what is granted; gives the asks."""
        asks = self.shares.due_requests()
        self.shares.apply_grants(
            [said for ask in asks if isinstance(said := granter.ask(ask, self.now), QuotaGrant)]
        )
        return asks


def test_a_req_counts_in_shared_limits_or_in_none():
    limits = {
        "crowd": Limit("crowd", "all", concurrent=8, across="fleet"),
        "own": Limit("own", "all", rate=1.0, burst=1),
    }
    router = Router(CROWD, limits=limits)
    keys = [LimitKey("crowd", ""), LimitKey("own", "")]
    router.now += 2 * S
    assert router.limits.admit(1, keys, 1.0, 0) is None  # on the floor's one slot
    assert router.limits.admit(2, keys, 1.0, 0).limit == "own"  # asked first: it is no demand for a slot
    assert router.shares.quotas["crowd"].denied_for_slots == 0
    denied = router.limits.admit(3, keys, 1.0, 5 * S)
    assert denied.limit == "crowd" and denied.come_back == CROWD.request_interval
    router.limits.release(1)
    router.limits.release(1)
    assert router.limits.admit(4, keys, 1.0, 5 * S) is None and router.shares.quotas["crowd"].in_use == 1


def test_tenants_have_a_budget_each_and_are_asked_for_while_they_are_used():
    router, granter = Router(CALLS), QuotaAllocator([CALLS], 0, first_allocator=True)
    name = router.shares.key("calls", "a tenant/" + "x" * 200)
    assert name.startswith("calls/#") and len(name) < 30 and router.shares.key("calls", "") == "calls"
    for tenant in ("anna", "bert"):
        for _ in range(30):
            if not router.shares.time_until_admitted(key := router.shares.key("calls", tenant)):
                router.shares.use(key)
    assert router.shares.has_new_demand  # nothing is held of them: asked for at once
    assert [ask.budget for ask in router.granted(granter)] == ["calls/anna", "calls/bert"]
    assert (
        not router.shares.has_new_demand
        and not router.shares.due_requests()
        and router.shares.time_until_next_request() > 0
    )
    assert all(router.shares.time_until_admitted(f"calls/{tenant}") == 0 for tenant in ("anna", "bert"))
    router.now += 10 * S
    assert (
        not router.shares.due_requests() and router.shares.time_until_next_request() == module.IDLE_INTERVAL
    )  # unused, no more asked for


def test_a_share_that_is_forgotten_counts_its_asks_on_and_gains_no_floor(monkeypatch):
    """Its asks began with 1 again, and the granter took them for late words for good."""
    monkeypatch.setattr(module, "MAX_QUOTAS", 1)
    router, granter = Router(CALLS), QuotaAllocator([CALLS], 0, first_allocator=True)
    router.now += 2 * S

    def floors(tenant):
        used = 0
        while not router.shares.time_until_admitted(f"calls/{tenant}"):
            router.shares.use(f"calls/{tenant}").release()
            used += 1
        return used

    assert floors("anna") == 1 and router.granted(granter)
    for _ in range(3):
        floors("bert")
        assert floors("anna") == 0  # else a floor again and again
    router.now += S // 4
    asks = router.granted(granter)
    assert granter.refused == 0 and asks[0].sequence_number > 1


def test_a_new_plan_keeps_what_stays_and_drops_what_it_had_of_what_changes():
    router, granter = Router(CALLS, CROWD), QuotaAllocator([CALLS, CROWD], 0, first_allocator=True)
    router.now += 2 * S
    for _ in range(20):
        router.shares.time_until_admitted("calls")
    assert router.shares.time_until_admitted("crowd") == 0
    share = router.shares.use("crowd")
    router.shares.time_until_admitted("crowd")
    router.granted(granter)
    assert (
        router.shares.quotas["crowd"].granted_slots
        and router.shares.quotas["calls"].tokens_left(router.now) > 1
    )
    router.shares.replace([CALLS, replace(CROWD, slots=6)])
    assert (
        router.shares.quotas["crowd"].granted_slots == 0
        and router.shares.quotas["calls"].tokens_left(router.now) > 1
    )
    assert router.shares.quotas["crowd"].in_use == 1
    router.shares.replace([CALLS])
    share.release()  # of a budget that is gone
    assert set(router.shares.quotas) == {"calls"}


def test_pots_are_bounded_and_one_made_anew_is_empty():
    granter = QuotaAllocator([CALLS], 0, first_allocator=True)

    def ask(of, number):
        said = QuotaRequest(f"calls/{of}", "r", "t", number, wanted_rate=500.0, figures=CALLS.figures)
        return granter.ask(said, 100 * S)

    assert ask("first", 1).tokens > 15
    for n in range(MAX_ACCOUNTS):
        assert isinstance(ask(n, 1), QuotaGrant)
    assert len(granter.accounts) == MAX_ACCOUNTS and "calls/first" not in granter.accounts
    assert ask("first", 1).tokens == 0


# -- on the ledger's lines -----------------------------------------------------------------------------------


def talk(scene, of=(CALLS,)):
    """A scene with a ledger that grants, if there are budgets, and a member's line to it."""

    async def main():
        ledger = PurgeLogServer(
            FaultyDisk(),
            300_000,
            RateLimitedLog("ledger", wall_clock),
            budgets=None if of is None else list(of),
        )
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ledger.run, [listener])
                async with await connect(("127.0.0.1", port)) as stream:
                    heard = read_lines(stream)

                    async def until(kind):
                        async for data in heard:
                            if isinstance(said := messages.decode_from_purge_log(data), kind):
                                return said

                    async def tell(said):
                        await stream.send(encode_line(said))

                    await scene(ledger, tell, until, port)
                tasks.cancel_scope.cancel()

    anyio.run(main)


GOOD = QuotaRequest("calls", "r", "t", 1, wanted_rate=5.0, figures=CALLS.figures)


@pytest.mark.parametrize(
    "bad, place",
    [
        (GOOD._replace(budget="fills"), "budget"),
        (GOOD._replace(wanted_rate=-1.0), "want"),
        (GOOD._replace(tokens_left=1e12), "left"),
        (GOOD._replace(slots_wanted=-3), "slots"),
        (GOOD._replace(figures=7), "figures"),
        (GOOD._replace(name="s"), "name"),
        (GOOD._replace(process_token="other"), "name"),
    ],
)
def test_an_ask_that_is_not_obeyed_gets_its_reason_and_the_line_goes_on(bad, place):
    async def scene(ledger, tell, until, port):
        await tell(MemberHello("r", "router", "t"))
        assert (await until(Welcome)).grants_quota
        await tell(QuotaRequests((bad,)))
        said = await until(QuotaGrants)
        assert not said.grants and said.refused[bad.budget].place == place
        await tell(QuotaRequests((GOOD,)))
        assert (await until(QuotaGrants)).grants[0].sequence_number == 1
        assert ledger.quota.allocator.refused + ledger.quota.impersonations == 1

    talk(scene)


def test_late_words_are_counted_and_answered_with_nothing():
    async def scene(ledger, tell, until, port):
        await tell(MemberHello("r", "router", "t"))
        await tell(QuotaRequests((GOOD, GOOD)))
        said = await until(QuotaGrants)
        assert len(said.grants) == 1 and not said.refused and ledger.quota.allocator.refused == 1

    talk(scene)


def test_a_ledger_without_budgets_says_so_and_passes_asks_over():
    async def scene(ledger, tell, until, port):
        await tell(MemberHello("r", "router", "t"))
        assert not (await until(Welcome)).grants_quota
        await tell(QuotaRequests((GOOD,)))
        assert (await until(messages.Heartbeat)).epoch == 1

    talk(scene, of=None)


def test_a_plan_that_shares_its_first_limit_later_is_granted_from_then_on():
    """A ledger that began with a plan without shared limits granted none until its next start."""

    async def scene(ledger, tell, until, port):
        await tell(MemberHello("r", "router", "t"))
        assert (await until(Welcome)).grants_quota
        ledger.quota.replace([CALLS], {})
        await tell(QuotaRequests((GOOD,)))
        assert (await until(QuotaGrants)).grants[0].sequence_number == 1

    talk(scene, of=())


def test_a_client_waits_no_longer_than_a_shared_slot_is_reckoned_in_use():
    plan = load("main", lambda path: PLAN % PURGES).plan
    force = MultiPoolRouter(
        plan, Configuration(compiled(plan), {}, needs_discovery=False).settings.router_arguments
    )
    ruling = force.select_route(Asked("north", "", "/a", "GET", {}, {}), "c")
    assert [force.client_timeout(ruling, told) for told in (0, 5 * S, 60 * S)] == [3 * S, 5 * S, 9 * S]


def test_a_welcome_of_an_older_ledger_grants_nothing():
    said = messages.decode_from_purge_log(b'{"say":"welcome","epoch":1,"head":0,"now":5,"lease":9}')
    assert not said.grants_quota


def test_the_fleets_budgets_are_told():
    async def scene(ledger, tell, until, port):
        await tell(MemberHello("r", "router", "t"))
        await tell(QuotaRequests((GOOD,)))
        await until(QuotaGrants)

        def called(*arguments):
            made = CliRunner().invoke(cli, ("fleet", *arguments, "--ledger", f"127.0.0.1:{port}"))
            assert made.exit_code == 0, made.output
            return made.output

        shown = await anyio.to_thread.run_sync(called, "budgets")
        assert "calls: 50/s" in shown and "wants      5.0/s" in shown
        told = json.loads(await anyio.to_thread.run_sync(called, "budgets", "--json"))
        assert told[0]["holders"][0]["name"] == "r" and told[0]["rate"] == 50
        assert "1 budgets, 0 asks not obeyed" in await anyio.to_thread.run_sync(called, "status")
        told = json.loads(await anyio.to_thread.run_sync(called, "status", "--json"))
        assert "no cache is left out" in await anyio.to_thread.run_sync(called, "judgements")
        seen = tuple(CacheObservation(f"n{n}", n == 0, 3, 0, 2, 3) for n in range(3))
        await tell(messages.HealthReport("north", seen, 3))
        await tell(QuotaRequests(()))
        await until(QuotaGrants)  # so it has read what came before
        assert "north: n0" in await anyio.to_thread.run_sync(called, "counts")
        assert json.loads(await anyio.to_thread.run_sync(called, "counts", "--json"))[1]["in_hand"] == 2
        assert told["budgets"] == 1 and told["silent"] == ["r"]  # it never acknowledged anything

    talk(scene)


def test_budgets_can_be_asked_for_before_any_hello():
    async def scene(ledger, tell, until, port):
        await tell(QuotaQuery())
        assert [each.budget for each in (await until(messages.QuotaStatus)).budgets] == ["calls"]

    talk(scene)
