"""What a plan may say: every key, its kind, its default and its meaning; the reference page is made of it."""

import ipaddress
import re

from quartzrouter.config import patterns
from quartzrouter.config.schema import (
    REQUIRED,
    Choice,
    Either,
    Entry,
    ListOfKind,
    MapOf,
    RecordOf,
    Ref,
    Text,
    Truth,
    duration,
    number,
    rate,
    share,
    size,
    whole,
)

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")
MINUTE = 60_000_000  # us


def _address(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return "no address and port, as 127.0.0.1:8443"
    return "" if port.isdecimal() and 0 < int(port) < 1 << 16 else "no port between 1 and 65535"


def _name(text: str) -> str:
    return "" if NAME.fullmatch(text) else "letters, digits, '_', '-' and '.', at most 63"


def _pattern(sep: str):
    def test(text: str) -> str:
        try:
            patterns.pattern(text, sep)
        except patterns.InvalidPattern as error:
            return str(error)
        if sep == "/" and not text.startswith("/"):
            return "a path begins with '/'"
        return ""

    return test


def _hex(text: str) -> str:
    return "" if re.fullmatch(r"[0-9a-fA-F]{1,32}", text) else "hexadecimal digits, at most 32"


def ref(*to: str) -> Ref:
    return Ref(to=to)


def named(of, what: str) -> MapOf:
    return MapOf(of=of, key=_name, what=what)


ADDRESS = Text(word="an address", test=_address)
GLOB = Text(word="a pattern", test=_pattern(""))
CONDITION = Either(of=(GLOB, Truth()))

COLD = RecordOf(
    word="how a cold server warms up",
    entries={
        "floor": Entry(of=share(), default=0.25, doc="the share of its capacity at the start"),
        "ramp": Entry(of=duration(most="1h"), default=16_000_000, doc="all of its capacity after this time"),
        "multiple": Entry(
            of=number(1, 100), default=2.0, doc="it falls over at this multiple of its capacity"
        ),
        "window": Entry(of=duration("1ms", "1min"), default=1_000_000, doc="... sent over this time"),
        "across": Entry(
            of=Choice(of=("router", "all")),
            default="router",
            doc="who has a part of that: each router an equal one, or all together as they want it",
        ),
        "floors": Entry(
            of=share(1), default=0.2, doc="of it, for routers that hear nothing: each an equal part"
        ),
        "share_life": Entry(
            of=duration("50ms", "10s"), default=500_000, doc="a granted part is worth nothing after it"
        ),
    },
)
DEPLOYMENT = RecordOf(
    word="where the router stands",
    entries={
        "name": Entry(of=Text(test=_name), default=REQUIRED, doc="the deployment's name"),
        "home": Entry(of=ref("stores"), default=REQUIRED, doc="the store whose caches this router uses"),
        "listen": Entry(of=ADDRESS, default="127.0.0.1:8443", doc="where clients connect"),
        "journal": Entry(
            of=ADDRESS,
            doc="the service that tells of caches and purges; without it the caches are those listed here",
        ),
        "seed": Entry(of=Text(test=_hex), default="7", doc="for all that is left to chance"),
        "number": Entry(of=whole(), default=0, doc="this router among its peers, from 0"),
        "routers": Entry(of=whole(1, 100_000), default=1, doc="of the whole deployment"),
        "routers_here": Entry(of=whole(1, 100_000), doc="of the home store; all of them, where not given"),
        "memory": Entry(of=size("16MiB", "64GiB"), default=192 << 20, doc="what the process may use"),
        "descriptors": Entry(of=whole(64, 1 << 20), default=1024, doc="what it may hold open"),
        "purge_life": Entry(
            of=duration(most="1d"), default=6_000_000, doc="copies are gone everywhere after it"
        ),
        "flow": Entry(of=size("1KB", "100GB"), doc="bytes that one transfer brings in a second"),
        "connect_within": Entry(of=duration("1ms", "1min"), default=400_000, doc="else the cache is doubted"),
        "idle_most": Entry(of=duration("10ms", "1h"), default=15_000_000, doc="for a connection to a cache"),
        "longest_wait": Entry(
            of=duration(most="1h"),
            default=2_000_000,
            doc="the longest time to come back that is named; 0s: none is",
        ),
        "dispatches": Entry(of=whole(1, 16), default=3, doc="of one req, the first included"),
        "call_off": Entry(of=Truth(), default=True, doc="what no client waits for any more is called off"),
        "probes": Entry(of=Truth(), default=True, doc="caches in doubt are probed"),
        "joins": Entry(of=Truth(), default=True, doc="reqs may join a fill that is under way"),
        "pass_through": Entry(
            of=Truth(), default=False, doc="what is never kept may go straight to the origin"
        ),
        "hearsay": Entry(
            of=Truth(),
            default=False,
            doc="tells others of bad caches, and leaves out what they have found bad",
        ),
        "counts": Entry(
            of=Truth(),
            default=False,
            doc="with `hearsay`: goes by how many reqs all routers have out at each cache",
        ),
        "cold": Entry(of=COLD, default={}, doc="caches that have just started"),
        "cold_parent": Entry(of=COLD, default={}, doc="parents that have just started"),
    },
)
STORE = RecordOf(
    word="a store",
    entries={"hub": Entry(of=ref("hubs"), default=REQUIRED, doc="where its misses are filled from")},
)
HUB = RecordOf(
    word="a hub", entries={"over": Entry(of=ref("hubs"), doc="the hub above it; none: the main catalogue")}
)
CACHE = RecordOf(
    word="a cache, a parent or an origin",
    entries={
        "address": Entry(of=ADDRESS, default=REQUIRED, doc="where it listens"),
        "tier": Entry(of=Choice(of=("cache", "parent", "origin")), default="cache", doc="what it is"),
        "at": Entry(of=ref("stores", "hubs"), default=REQUIRED, doc="its store or hub"),
        "kind": Entry(of=Text(test=_name), default="box", doc="the kind of its machine"),
        "cell": Entry(of=whole(0, 65_535), default=0, doc="its cell"),
        "weight": Entry(of=number(0, 1_000), default=1.0, doc="its rating against others"),
    },
)
VHOST = RecordOf(
    word="a vhost",
    entries={
        "effect": Entry(
            of=Choice(of=("replayable", "uniqued", "non-replayable")),
            default="non-replayable",
            doc="whether a req may run again",
        ),
        "value": Entry(of=number(0, 1_000_000), default=1.0, doc="of a req done in time"),
        "client_timeout": Entry(
            of=duration("1ms", "1h"), default=REQUIRED, doc="the client is gone after it"
        ),
        "first_byte_target": Entry(of=duration("1ms", "1h"), doc="done in time; else the client timeout"),
        "target_stretch": Entry(of=number(0, 100), default=0.0, doc="it grows by so many sending times"),
        "late_share": Entry(of=share(), default=0.0, doc="of the value that a late answer keeps"),
        "repeats_within": Entry(
            of=Choice(of=("all", "zone", "cell")), default="cell", doc="uniqued: who knows a repeat"
        ),
        "repeats_for": Entry(of=duration(), default=0, doc="uniqued: for how long"),
        "fresh_for": Entry(of=duration(), default=0, doc="how old a copy may be; 0s: until purged"),
        "grace_for": Entry(of=duration(), default=0, doc="and how much older in need"),
        "old_share": Entry(of=share(), default=0.0, doc="of the value that an old copy keeps"),
        "kept": Entry(of=Truth(), default=True, doc="caches keep copies"),
    },
)
POLICY = RecordOf(
    word="a policy",
    entries={
        "inherits": Entry(of=ref("policies"), doc="whatever is not given here comes from it"),
        "fresh_for": Entry(of=duration(), doc="in place of the vhost's"),
        "grace_for": Entry(of=duration(), doc="in place of the vhost's"),
        "old_share": Entry(of=share(), doc="in place of the vhost's"),
        "first_byte_target": Entry(of=duration("1ms", "1h"), doc="in place of the vhost's"),
        "value": Entry(of=number(0, 1_000_000), doc="in place of the vhost's"),
        "rank": Entry(of=whole(0, 3), doc="the highest rank at which copies are kept"),
        "dispatches": Entry(of=whole(1, 16), doc="of one req, at most"),
        "budget": Entry(of=share(), doc="further dispatches for each req, over time"),
        "deny": Entry(of=Truth(), doc="turn everything away: a switch for the worst day"),
        "come_back": Entry(of=duration(most="1h"), doc="the time that a denial names"),
    },
)
AMOUNT = Either(of=(share(1), whole(1, 100_000)))
POOL = RecordOf(
    word="a pool",
    entries={
        "stores": Entry(
            of=ListOfKind(of=ref("stores"), one_too=True), doc="caches of these; home, where not given"
        ),
        "kinds": Entry(of=ListOfKind(of=Text(), one_too=True), doc="of these kinds only"),
        "cells": Entry(of=ListOfKind(of=whole(0, 65_535), one_too=True), doc="of these cells only"),
        "caches": Entry(of=ListOfKind(of=ref("caches"), one_too=True), doc="these only, by name"),
        "fallback": Entry(of=ref("pools"), doc="the pool that stands in"),
        "at_least": Entry(of=AMOUNT, doc="fewer up, or a smaller share: the fallback stands in"),
        "back_at": Entry(of=AMOUNT, doc="so many up again: back; at_least, where not given"),
        "back_after": Entry(
            of=duration(most="1h"), default=5_000_000, doc="... for this long without a break"
        ),
    },
)
SPLIT = RecordOf(
    word="a split",
    entries={
        "by": Entry(of=Choice(of=("object", "client")), default="object", doc="what stays with one pool"),
        "parts": Entry(
            of=MapOf(of=share(), what="pool"), default=REQUIRED, doc="pools and shares; together 100%"
        ),
    },
)
LIMIT = RecordOf(
    word="a limit",
    entries={
        "per": Entry(
            of=Choice(of=("route", "pool", "tenant", "client", "all")),
            default="all",
            doc="what is counted by itself",
        ),
        "counts": Entry(
            of=Choice(of=("reqs", "repeats")),
            default="reqs",
            doc="what it counts: reqs, or their further dispatches after a failure",
        ),
        "rate": Entry(of=rate(), doc="reqs over time"),
        "burst": Entry(
            of=whole(1, 1_000_000), doc="reqs at once; a second's worth of the rate, where not given"
        ),
        "concurrent": Entry(of=whole(1, 1_000_000), doc="reqs in hand at once"),
        "keep_free": Entry(of=share(1), doc="of `concurrent`, for reqs of more value"),
        "below": Entry(of=number(0, 1_000_000), doc="reqs of less value than this leave keep_free alone"),
        "across": Entry(
            of=Choice(of=("router", "store", "fleet")),
            default="router",
            doc="who shares it: each router has it for itself, or all of the store or fleet together",
        ),
        "floors": Entry(
            of=share(), default=0.2, doc="of it, for routers that hear nothing: each an equal part"
        ),
        "share_life": Entry(
            of=duration("100ms", "1min"), default=1_000_000, doc="a granted share is worth nothing after it"
        ),
    },
)
MATCH = RecordOf(
    word="what a req must be like",
    entries={
        "store": Entry(of=ListOfKind(of=ref("stores"), least=1, one_too=True), doc="the store it comes to"),
        "host": Entry(
            of=ListOfKind(of=Text(word="a host", test=_pattern(".")), least=1, one_too=True),
            doc="`*` is part of a label, `**` is anything",
        ),
        "path": Entry(
            of=Text(word="a path", test=_pattern("/")),
            doc="`{name}`: one or more characters but '/'; `*`: any number; `{name**}`, `**`: anything",
        ),
        "method": Entry(
            of=ListOfKind(of=Choice(of=patterns.METHODS), least=1, one_too=True), doc="one of these"
        ),
        "header": Entry(
            of=MapOf(of=CONDITION, what="header"), default={}, doc="true: there; false: not there"
        ),
        "param": Entry(of=MapOf(of=CONDITION, what="parameter"), default={}, doc="of the query, likewise"),
    },
)
ROUTE = RecordOf(
    word="a route",
    entries={
        "match": Entry(of=MATCH, default=REQUIRED, doc="left out: anything"),
        "vhost": Entry(of=ref("vhosts"), default=REQUIRED, doc="what the req is"),
        "pool": Entry(of=ref("pools", "splits"), default=REQUIRED, doc="which caches"),
        "policy": Entry(of=ref("policies"), doc="what differs from the vhost"),
        "limits": Entry(of=ListOfKind(of=ref("limits"), one_too=True), default=[], doc="all of these"),
        "tenant": Entry(of=Text(test=_name), doc="the capture or header that names the tenant"),
        "object": Entry(
            of=Text(), doc="the object, of captures as `{name}`; the whole path, where not given"
        ),
        "group": Entry(of=Text(), doc="likewise, what is purged together"),
    },
)
PURGES = RecordOf(
    word="purges of the whole fleet",
    entries={
        "ledgers": Entry(
            of=ListOfKind(of=ADDRESS, least=1, one_too=True), default=REQUIRED, doc="tried in turn"
        ),
        "name": Entry(of=Text(test=_name), doc="the router's as a member; else its deployment's and number"),
        "grace": Entry(
            of=duration("20ms", "1min"), default=300_000, doc="a purge holds this long after it is taken"
        ),
        "life": Entry(of=duration("1s", "30d"), default=3_600_000_000, doc="a purge is marked here for it"),
        "marks": Entry(of=whole(1_000, 10_000_000), default=100_000, doc="purges marked at most"),
        "objects": Entry(of=whole(1, 10_000_000), default=65_536, doc="whose tags are remembered"),
        "clock_skew": Entry(
            of=duration(most="1h"),
            default=1_000_000,
            doc="origins' clocks are ahead by less, where no age is told",
        ),
        "file": Entry(
            of=Text(), doc="keeps what is marked through a restart; none: the ledger tells it again"
        ),
    },
)
TASK = RecordOf(
    word="a task that one process does for the fleet",
    entries={
        "prefer": Entry(
            of=ListOfKind(of=Text(test=_name), one_too=True),
            default=[],
            doc="claimants by name: others leave it to them for half a lease",
        ),
    },
)
LEASES = RecordOf(
    word="leases of fleet-wide tasks",
    entries={
        "keepers": Entry(
            of=named(ADDRESS, "keeper"), default=REQUIRED, doc="three or five; a majority grants"
        ),
        "version": Entry(
            of=whole(1, 1_000_000), default=1, doc="of the keepers' list: one higher with each change"
        ),
        "length": Entry(
            of=duration("100ms", "10min"), default=3_000_000, doc="a lease ends by itself after it"
        ),
        "drift": Entry(
            of=whole(1, 200_000), default=200, doc="parts in a million by which any clock may be off its pace"
        ),
        "tasks": Entry(of=named(TASK, "task"), default=REQUIRED, doc="what is held by one at a time"),
    },
)
PLAN = RecordOf(
    word="a plan",
    entries={
        "deployment": Entry(of=DEPLOYMENT, default=REQUIRED, doc="where the router stands"),
        "stores": Entry(of=named(STORE, "store"), default=REQUIRED, doc="locations with caches"),
        "hubs": Entry(of=named(HUB, "hub"), default={}, doc="locations with parents"),
        "caches": Entry(of=named(CACHE, "cache"), default={}, doc="servers, where no journal tells of them"),
        "purges": Entry(of=PURGES, doc="follows a ledger of purges; left out: no"),
        "leases": Entry(of=LEASES, doc="who does fleet-wide tasks; left out: whoever is started"),
        "vhosts": Entry(of=named(VHOST, "vhost"), default=REQUIRED, doc="classes of reqs"),
        "policies": Entry(of=named(POLICY, "policy"), default={}, doc="what may differ by route"),
        "pools": Entry(of=named(POOL, "pool"), default=REQUIRED, doc="caches that serve a route"),
        "splits": Entry(of=named(SPLIT, "split"), default={}, doc="pools by share"),
        "limits": Entry(of=named(LIMIT, "limit"), default={}, doc="what is turned away before a dispatch"),
        "routes": Entry(
            of=named(ROUTE, "route"), default=REQUIRED, doc="in their order: the first that matches holds"
        ),
    },
)
