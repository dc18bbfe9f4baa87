"""The vocabulary of plans: every key with its type, default and meaning.

The reference page is generated from it: each `doc` is a cell of that page, each `word` names a type there.
"""

import ipaddress
import re
from collections.abc import Callable

from quartzrouter.config import patterns
from quartzrouter.config.schema import (
    REQUIRED,
    BooleanType,
    ChoiceType,
    Entry,
    ListType,
    MapType,
    RecordType,
    ReferenceType,
    TextType,
    UnionType,
    ValueType,
    duration,
    number,
    rate,
    share,
    size,
    whole_number,
)

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")


def _address_problem(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return "not an address and a port, such as 127.0.0.1:8443"
    return "" if port.isdecimal() and 0 < int(port) < 1 << 16 else "the port is not a number from 1 to 65535"


def _name_problem(text: str) -> str:
    if NAME.fullmatch(text):
        return ""
    return "use letters, digits, '_', '-' and '.', at most 63; the first one is a letter or a digit"


def _pattern_checker(sep: str) -> Callable[[str], str]:
    def find_problem(text: str) -> str:
        try:
            patterns.pattern(text, sep)
        except patterns.InvalidPattern as error:
            return str(error)
        if sep == "/" and not text.startswith("/"):
            return "a path begins with '/'"
        return ""

    return find_problem


def _seed_problem(text: str) -> str:
    return "" if re.fullmatch(r"[0-9a-fA-F]{1,32}", text) else "use hexadecimal digits, at most 32"


def reference_to(*parts: str) -> ReferenceType:
    """Returns the type of names of entries of these parts of the plan."""
    return ReferenceType(parts=parts)


def named_map(value: ValueType, key_word: str) -> MapType:
    """Returns the type of records whose keys are names that the plan's author chooses.

    :param value: the type of each value.
    :param key_word: what a key names, for messages.
    """
    return MapType(value=value, find_key_problem=_name_problem, key_word=key_word)


ADDRESS = TextType(word="an address", find_problem=_address_problem)
GLOB = TextType(word="a pattern", find_problem=_pattern_checker(""))
CONDITION = UnionType(alternatives=(GLOB, BooleanType()))

COLD = RecordType(
    word="a record of slow-start settings",
    entries={
        "floor": Entry(
            type=share(), default=0.25, doc="the share of its capacity that it gets right after its start"
        ),
        "ramp": Entry(
            type=duration(maximum="1h"),
            default=16_000_000,
            doc="the time after which it gets all of its capacity",
        ),
        "multiple": Entry(
            type=number(1, 100), default=2.0, doc="the load at which it fails, as a multiple of its capacity"
        ),
        "window": Entry(
            type=duration("1ms", "1min"), default=1_000_000, doc="the time over which that load is measured"
        ),
        "across": Entry(
            type=ChoiceType(options=("router", "all")),
            default="router",
            doc="router: each router gets an equal part of that capacity; all: routers share it by demand",
        ),
        "floors": Entry(
            type=share(1),
            default=0.2,
            doc="the share of it that routers have without a grant, in equal parts",
        ),
        "share_life": Entry(
            type=duration("50ms", "10s"), default=500_000, doc="a granted part expires after this time"
        ),
    },
)
DEPLOYMENT = RecordType(
    word="a record of deployment settings",
    entries={
        "name": Entry(
            type=TextType(find_problem=_name_problem), default=REQUIRED, doc="the deployment's name"
        ),
        "home": Entry(
            type=reference_to("stores"), default=REQUIRED, doc="the store whose caches this router uses"
        ),
        "listen": Entry(type=ADDRESS, default="127.0.0.1:8443", doc="the address on which clients connect"),
        "journal": Entry(
            type=ADDRESS,
            doc="the service that lists caches and purges; if left out, the caches are those listed here",
        ),
        "seed": Entry(
            type=TextType(find_problem=_seed_problem),
            default="7",
            doc="the seed of all random choices, hexadecimal",
        ),
        "number": Entry(
            type=whole_number(), default=0, doc="the number of this router among its peers, from 0"
        ),
        "routers": Entry(
            type=whole_number(1, 100_000), default=1, doc="the number of routers in the whole deployment"
        ),
        "routers_here": Entry(
            type=whole_number(1, 100_000), doc="the number of routers of the home store; if left out, all"
        ),
        "memory": Entry(
            type=size("16MiB", "64GiB"), default=192 << 20, doc="the memory that the process may use"
        ),
        "descriptors": Entry(
            type=whole_number(64, 1 << 20),
            default=1024,
            doc="the file descriptors that the process may hold open",
        ),
        "purge_life": Entry(
            type=duration(maximum="1d"),
            default=6_000_000,
            doc="the time after which no purged copy is left anywhere",
        ),
        "flow": Entry(type=size("1KB", "100GB"), doc="the bytes per second of one transfer"),
        "connect_within": Entry(
            type=duration("1ms", "1min"),
            default=400_000,
            doc="the time to connect to a cache; if it takes longer, the cache is suspected to be down",
        ),
        "idle_most": Entry(
            type=duration("10ms", "1h"),
            default=15_000_000,
            doc="the time for which a connection to a cache may be idle",
        ),
        "longest_wait": Entry(
            type=duration(maximum="1h"),
            default=2_000_000,
            doc="the longest time that clients are told to wait before a retry; 0s: they are told none",
        ),
        "dispatches": Entry(
            type=whole_number(1, 16), default=3, doc="the dispatches of one request, the first included"
        ),
        "call_off": Entry(
            type=BooleanType(),
            default=True,
            doc="whether dispatches that no client waits for any more are canceled",
        ),
        "probes": Entry(
            type=BooleanType(), default=True, doc="whether caches that are suspected to be down are probed"
        ),
        "joins": Entry(
            type=BooleanType(), default=True, doc="whether requests may join a fill that is under way"
        ),
        "pass_through": Entry(
            type=BooleanType(),
            default=False,
            doc="whether requests for what is never cached may go straight to the origin",
        ),
        "hearsay": Entry(
            type=BooleanType(),
            default=False,
            doc="whether routers report bad caches to each other, and avoid those that others report",
        ),
        "counts": Entry(
            type=BooleanType(),
            default=False,
            doc="whether to count the requests of all routers in flight at each cache; needs `hearsay`",
        ),
        "cold": Entry(type=COLD, default={}, doc="the slow start of caches"),
        "cold_parent": Entry(type=COLD, default={}, doc="the slow start of parents"),
    },
)
STORE = RecordType(
    word="a store",
    entries={
        "hub": Entry(
            type=reference_to("hubs"), default=REQUIRED, doc="the hub from which its misses are filled"
        )
    },
)
HUB = RecordType(
    word="a hub",
    entries={
        "over": Entry(
            type=reference_to("hubs"), doc="the hub above it; if left out, its parents fill from the origin"
        )
    },
)
CACHE = RecordType(
    word="a cache, a parent or an origin",
    entries={
        "address": Entry(type=ADDRESS, default=REQUIRED, doc="the address on which it listens"),
        "tier": Entry(
            type=ChoiceType(options=("cache", "parent", "origin")), default="cache", doc="its tier"
        ),
        "at": Entry(type=reference_to("stores", "hubs"), default=REQUIRED, doc="its store or hub"),
        "kind": Entry(type=TextType(find_problem=_name_problem), default="box", doc="its machine type"),
        "cell": Entry(type=whole_number(0, 65_535), default=0, doc="its cell"),
        "weight": Entry(type=number(0, 1_000), default=1.0, doc="its capacity relative to others"),
    },
)
VHOST = RecordType(
    word="a vhost",
    entries={
        "effect": Entry(
            type=ChoiceType(options=("replayable", "uniqued", "non-replayable")),
            default="non-replayable",
            doc="whether a request may run more than once: yes; yes, as a key tells repeats; or no",
        ),
        "value": Entry(
            type=number(0, 1_000_000), default=1.0, doc="the value of a request that is done in time"
        ),
        "client_timeout": Entry(
            type=duration("1ms", "1h"), default=REQUIRED, doc="the time after which the client gives up"
        ),
        "first_byte_target": Entry(
            type=duration("1ms", "1h"),
            doc="the latency up to which a request is done in time; if left out, the client timeout",
        ),
        "target_stretch": Entry(
            type=number(0, 100),
            default=0.0,
            doc="the target grows by this many times the response's own sending time",
        ),
        "late_share": Entry(
            type=share(), default=0.0, doc="the share of the value that a late response keeps"
        ),
        "repeats_within": Entry(
            type=ChoiceType(options=("all", "zone", "cell")),
            default="cell",
            doc="uniqued: the scope within which a repeat is recognized",
        ),
        "repeats_for": Entry(
            type=duration(), default=0, doc="uniqued: the time for which a repeat is recognized"
        ),
        "fresh_for": Entry(
            type=duration(), default=0, doc="the age up to which a copy is fresh; 0s: until it is purged"
        ),
        "grace_for": Entry(
            type=duration(),
            default=0,
            doc="how much older a stale copy may be that is served if no fresh one can be had",
        ),
        "old_share": Entry(type=share(), default=0.0, doc="the share of the value that a stale copy keeps"),
        "kept": Entry(type=BooleanType(), default=True, doc="whether caches keep copies"),
    },
)
POLICY = RecordType(
    word="a policy",
    entries={
        "inherits": Entry(type=reference_to("policies"), doc="the policy that gives what is left out here"),
        "fresh_for": Entry(type=duration(), doc="replaces the vhost's"),
        "grace_for": Entry(type=duration(), doc="replaces the vhost's"),
        "old_share": Entry(type=share(), doc="replaces the vhost's"),
        "first_byte_target": Entry(type=duration("1ms", "1h"), doc="replaces the vhost's"),
        "value": Entry(type=number(0, 1_000_000), doc="replaces the vhost's"),
        "rank": Entry(
            type=whole_number(0, 3),
            doc="the highest priority with which caches keep copies; 0: they keep none",
        ),
        "dispatches": Entry(type=whole_number(1, 16), doc="the most dispatches of one request"),
        "budget": Entry(type=share(), doc="the further dispatches for each request, on average"),
        "deny": Entry(type=BooleanType(), doc="whether to reject all requests, for emergencies"),
        "come_back": Entry(
            type=duration(maximum="1h"), doc="the time that a rejected client is told to wait before a retry"
        ),
    },
)
AMOUNT = UnionType(alternatives=(share(1), whole_number(1, 100_000)))
POOL = RecordType(
    word="a pool",
    entries={
        "stores": Entry(
            type=ListType(item=reference_to("stores"), accepts_single=True),
            doc="the stores whose caches are used; if `caches` is left out too, the home store",
        ),
        "kinds": Entry(
            type=ListType(item=TextType(), accepts_single=True), doc="only caches of these machine types"
        ),
        "cells": Entry(
            type=ListType(item=whole_number(0, 65_535), accepts_single=True), doc="only caches of these cells"
        ),
        "caches": Entry(
            type=ListType(item=reference_to("caches"), accepts_single=True),
            doc="only the caches of these names",
        ),
        "fallback": Entry(type=reference_to("pools"), doc="the pool that is used in its place"),
        "at_least": Entry(
            type=AMOUNT, doc="if fewer caches are up, or a smaller share of them, the fallback is used"
        ),
        "back_at": Entry(
            type=AMOUNT, doc="once so many are up again, the pool is used again; if left out, `at_least`"
        ),
        "back_after": Entry(
            type=duration(maximum="1h"),
            default=5_000_000,
            doc="the time for which `back_at` has to hold without a break",
        ),
    },
)
SPLIT = RecordType(
    word="a split",
    entries={
        "by": Entry(
            type=ChoiceType(options=("object", "client")),
            default="object",
            doc="what always goes to the same pool",
        ),
        "parts": Entry(
            type=MapType(value=share(), key_word="pool"),
            default=REQUIRED,
            doc="pools with their shares, which add up to 100%",
        ),
    },
)
LIMIT = RecordType(
    word="a limit",
    entries={
        "per": Entry(
            type=ChoiceType(options=("route", "pool", "tenant", "client", "all")),
            default="all",
            doc="what is counted separately",
        ),
        "counts": Entry(
            type=ChoiceType(options=("reqs", "repeats")),
            default="reqs",
            doc="what it counts: requests, or their further dispatches after a failure",
        ),
        "rate": Entry(type=rate(), doc="the rate of requests"),
        "burst": Entry(
            type=whole_number(1, 1_000_000),
            doc="the requests that may come at once; if left out, those of one second at that rate",
        ),
        "concurrent": Entry(type=whole_number(1, 1_000_000), doc="the requests in flight at once"),
        "keep_free": Entry(
            type=share(1), doc="the share of `concurrent` that is reserved for requests of more value"
        ),
        "below": Entry(
            type=number(0, 1_000_000),
            doc="requests of less value than this may not use what is reserved by `keep_free`",
        ),
        "across": Entry(
            type=ChoiceType(options=("router", "store", "fleet")),
            default="router",
            doc="router: each router has the limit for itself; store or fleet: its routers share the limit",
        ),
        "floors": Entry(
            type=share(),
            default=0.2,
            doc="the share of it that routers have without a grant, in equal parts",
        ),
        "share_life": Entry(
            type=duration("100ms", "1min"), default=1_000_000, doc="a granted share expires after this time"
        ),
    },
)
MATCH = RecordType(
    word="a record of conditions on requests",
    entries={
        "store": Entry(
            type=ListType(item=reference_to("stores"), min_length=1, accepts_single=True),
            doc="the store at which the request arrives",
        ),
        "host": Entry(
            type=ListType(
                item=TextType(word="a host", find_problem=_pattern_checker(".")),
                min_length=1,
                accepts_single=True,
            ),
            doc="`*` stands for part of a label, `**` for anything",
        ),
        "path": Entry(
            type=TextType(word="a path", find_problem=_pattern_checker("/")),
            doc="`{name}`: one or more characters but '/'; `*`: any number; `{name**}`, `**`: anything",
        ),
        "method": Entry(
            type=ListType(item=ChoiceType(options=patterns.METHODS), min_length=1, accepts_single=True),
            doc="the methods",
        ),
        "header": Entry(
            type=MapType(value=CONDITION, key_word="header"),
            default={},
            doc="true: it is present; false: it is absent",
        ),
        "param": Entry(
            type=MapType(value=CONDITION, key_word="parameter"),
            default={},
            doc="the same for parameters of the query",
        ),
    },
)
ROUTE = RecordType(
    word="a route",
    entries={
        "match": Entry(
            type=MATCH, default=REQUIRED, doc="the conditions; one that is left out is always met"
        ),
        "vhost": Entry(type=reference_to("vhosts"), default=REQUIRED, doc="the class of the requests"),
        "pool": Entry(
            type=reference_to("pools", "splits"), default=REQUIRED, doc="the caches that serve them"
        ),
        "policy": Entry(type=reference_to("policies"), doc="what differs from the vhost"),
        "limits": Entry(
            type=ListType(item=reference_to("limits"), accepts_single=True),
            default=[],
            doc="the limits, all of which apply",
        ),
        "tenant": Entry(
            type=TextType(find_problem=_name_problem), doc="the capture or header that names the tenant"
        ),
        "object": Entry(
            type=TextType(),
            doc="the object's name, made of captures such as `{name}`; if left out, the whole path",
        ),
        "group": Entry(
            type=TextType(), doc="the group of objects that are purged together, written likewise"
        ),
    },
)
PURGES = RecordType(
    word="a record of purge settings",
    entries={
        "ledgers": Entry(
            type=ListType(item=ADDRESS, min_length=1, accepts_single=True),
            default=REQUIRED,
            doc="the addresses of ledgers, which are tried in turn",
        ),
        "name": Entry(
            type=TextType(find_problem=_name_problem),
            doc="the router's name as a member; if left out, the deployment's name and the router's number",
        ),
        "grace": Entry(
            type=duration("20ms", "1min"),
            default=300_000,
            doc="the time within which an accepted purge takes effect at every router",
        ),
        "life": Entry(
            type=duration("1s", "30d"),
            default=3_600_000_000,
            doc="the time for which a router remembers a purge",
        ),
        "marks": Entry(
            type=whole_number(1_000, 10_000_000),
            default=100_000,
            doc="the most purges that a router remembers",
        ),
        "objects": Entry(
            type=whole_number(1, 10_000_000),
            default=65_536,
            doc="the most objects whose tags a router remembers",
        ),
        "clock_skew": Entry(
            type=duration(maximum="1h"),
            default=1_000_000,
            doc="the most by which an origin's clock may be ahead; used if a response names no age",
        ),
        "file": Entry(
            type=TextType(),
            doc="keeps remembered purges through a restart; if left out, the ledger sends them again",
        ),
    },
)
TASK = RecordType(
    word="a task that one process does for the fleet",
    entries={
        "prefer": Entry(
            type=ListType(item=TextType(find_problem=_name_problem), accepts_single=True),
            default=[],
            doc="the names of claimants that have priority: others wait for half a lease",
        ),
    },
)
LEASES = RecordType(
    word="a record of lease settings",
    entries={
        "keepers": Entry(
            type=named_map(ADDRESS, "keeper"),
            default=REQUIRED,
            doc="three or five keepers; a majority grants a lease",
        ),
        "version": Entry(
            type=whole_number(1, 1_000_000),
            default=1,
            doc="the version of the list of keepers; one higher with each change",
        ),
        "length": Entry(
            type=duration("100ms", "10min"), default=3_000_000, doc="the time after which a lease expires"
        ),
        "drift": Entry(
            type=whole_number(1, 200_000),
            default=200,
            doc="the parts in a million by which a clock may be fast or slow",
        ),
        "tasks": Entry(
            type=named_map(TASK, "task"),
            default=REQUIRED,
            doc="the tasks, each held by one process at a time",
        ),
    },
)
PLAN = RecordType(
    word="a plan",
    entries={
        "deployment": Entry(type=DEPLOYMENT, default=REQUIRED, doc="the router and its deployment"),
        "stores": Entry(type=named_map(STORE, "store"), default=REQUIRED, doc="locations with caches"),
        "hubs": Entry(type=named_map(HUB, "hub"), default={}, doc="locations with parents"),
        "caches": Entry(
            type=named_map(CACHE, "cache"),
            default={},
            doc="the servers, if there is no journal that lists them",
        ),
        "purges": Entry(type=PURGES, doc="the ledger of purges that the router follows; if left out, none"),
        "leases": Entry(
            type=LEASES,
            doc="leases for fleet-wide tasks; if left out, each process that is started for a task does it",
        ),
        "vhosts": Entry(type=named_map(VHOST, "vhost"), default=REQUIRED, doc="classes of requests"),
        "policies": Entry(
            type=named_map(POLICY, "policy"), default={}, doc="settings that may differ by route"
        ),
        "pools": Entry(
            type=named_map(POOL, "pool"), default=REQUIRED, doc="sets of caches that serve routes"
        ),
        "splits": Entry(type=named_map(SPLIT, "split"), default={}, doc="pools that share requests"),
        "limits": Entry(
            type=named_map(LIMIT, "limit"),
            default={},
            doc="limits on requests; what exceeds them is rejected before any dispatch",
        ),
        "routes": Entry(
            type=named_map(ROUTE, "route"),
            default=REQUIRED,
            doc="the routes, in order: the first that matches is used",
        ),
    },
)
