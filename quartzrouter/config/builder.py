"""A checked record to a Plan: what it names must be there, and what it says must be able to act."""

from typing import Any

from quartzrouter.config import patterns, request_sets
from quartzrouter.config.keys import COLD
from quartzrouter.config.model import Amount, Limit, Plan, Policy, Pool, Route, Split, is_pool_member
from quartzrouter.config.problems import Place, meant, names
from quartzrouter.config.purge_settings import check_life
from quartzrouter.config.schema import INVALID, Path, PlanCheck
from quartzrouter.routing.model import Idempotency, TrafficClass

DEFAULT_COLD = {name: entry.default for name, entry in COLD.entries.items()}
POLICY_KEYS = tuple(Policy.__slots__)


class PlanBuilder:
    """One plan: each part is checked by itself, so that one fault hides no other."""

    def __init__(self, told: dict[str, Any], check: PlanCheck):
        self.told, self.check = told, check
        self.parts = {
            name: self._part(name)
            for name in (
                "stores",
                "hubs",
                "caches",
                "vhosts",
                "policies",
                "pools",
                "splits",
                "limits",
                "routes",
            )
        }

    def _part(self, name: str) -> dict[str, dict[str, Any]]:
        """Entries that could be read; those that could not have their fault already."""
        part = self.told.get(name)
        return {k: v for k, v in part.items() if v is not INVALID} if isinstance(part, dict) else {}

    def known(self, *parts: str) -> set[str]:
        """Names that stand there, usable or not: one that is broken is no dangling reference."""
        return {name for part in parts for name in (self.told.get(part) or {})}

    def place(self, *path: str) -> Place:
        return self.check.place(path)

    def refer(self, name: Any, path: Path, *parts: str) -> str | None:
        """The name, if it stands in one of the parts."""
        if name is INVALID or name is None or any(self.told.get(part) is INVALID for part in parts):
            return None
        known = self.known(*parts)
        if name in known:
            return name
        remedy = meant(name, known) or (f"there are {names(known)}" if known else "none is there")
        self.check.report(
            self.place(*path),
            f"there is no {' or '.join(_one(part) for part in parts)} '{name}'",
            remedy,
            "reference",
        )
        return None

    def refer_all(self, found: Any, path: Path, *parts: str) -> tuple[str, ...]:
        if found is INVALID or not found:
            return ()
        kept = []
        for at, name in enumerate(found):
            inner = (*path[:-1], f"{path[-1]}[{at}]")
            if self.refer(name, inner if inner in self.check.places else path, *parts):
                kept.append(name)
        return tuple(kept)

    def build(self) -> Plan | None:
        """The plan, or None where faults were found."""
        deployment, leases = self._deployment(), self._leases()
        stores = {
            name: self.refer(store["hub"], ("stores", name, "hub"), "hubs")
            for name, store in self.parts["stores"].items()
        }
        hubs = {
            name: self.refer(hub["over"], ("hubs", name, "over"), "hubs")
            for name, hub in self.parts["hubs"].items()
        }
        self._no_loop(hubs, "hubs", "over", "the hubs")
        for name, cache in self.parts["caches"].items():
            self.refer(cache["at"], ("caches", name, "at"), "stores", "hubs")
            self._cache(name, cache)
        vhosts = {name: self._vhost(name, told) for name, told in self.parts["vhosts"].items()}
        readable_vhosts = {name: vhost for name, vhost in vhosts.items() if vhost}
        check_life(self.told.get("purges"), readable_vhosts, self.check)
        policies = self._policies()
        limits = {name: self._limit(name, told) for name, told in self.parts["limits"].items()}
        pools = {name: self._pool(name, told) for name, told in self.parts["pools"].items()}
        pools = {name: pool for name, pool in pools.items() if pool}
        self._no_loop({n: p.fallback for n, p in pools.items()}, "pools", "fallback", "the fallbacks")
        splits = {name: self._split(name, told) for name, told in self.parts["splits"].items()}
        for name in self.known("pools") & self.known("splits"):
            self.check.report(
                self.place("splits", name),
                f"'{name}' is a pool as well",
                "give it another name",
                "duplicate",
                ((self.place("pools", name), "the pool"),),
            )
        routes = [self._route(n, name, told) for n, (name, told) in enumerate(self.parts["routes"].items())]
        if (
            not self.parts["routes"]
            and self.told.get("routes") is not INVALID
            and not self.check.faults.errors
        ):
            self.check.report(
                self.place("routes"), "no route is there", "all reqs would be turned away", "value"
            )
        if self.check.faults.errors:
            return None
        return Plan(
            deployment,
            stores,
            hubs,
            self.parts["caches"],
            vhosts,
            policies,
            pools,
            {n: s for n, s in splits.items() if s},
            limits,
            tuple(r for r in routes if r),
            self.told.get("purges"),
            leases,
            self.check.places,
        )

    # -- parts ---------------------------------------------------------------------------------------

    def _deployment(self) -> dict[str, Any]:
        told = self.told.get("deployment")
        if not isinstance(told, dict):
            return {}
        told = dict(told)
        self.refer(told["home"], ("deployment", "home"), "stores")
        for key in ("cold", "cold_parent"):
            told[key] = DEFAULT_COLD | told[key] if isinstance(told[key], dict) else DEFAULT_COLD
        here, all_ = told["routers_here"], told["routers"]
        if isinstance(here, int) and isinstance(all_, int) and here > all_:
            self.check.report(
                self.place("deployment", "routers_here"),
                f"{here} routers here of {all_} in all",
                code="range",
            )
        told["routers_here"] = here or all_
        self._shared(told)
        if not told["journal"] and not self.told.get("caches"):
            self.check.report(
                self.place("deployment"),
                "no caches are listed, and no journal tells of any",
                "give `caches`, or `journal`",
                "missing",
            )
        return told

    def _leases(self) -> dict[str, Any] | None:
        told = self.told.get("leases")
        if not isinstance(told, dict):
            return None
        keepers = told["keepers"] if isinstance(told["keepers"], dict) else {}
        at: dict[str, str] = {}
        for name, address in keepers.items():
            if address is not INVALID and address in at:
                self.check.report(
                    self.place("leases", "keepers", name),
                    f"keeper '{name}' listens where keeper '{at[address]}' does",
                    "one keeper has one vote: give it an address of its own",
                    "duplicate",
                )
            elif address is not INVALID:
                at[address] = name
        if told["keepers"] == {} or told["tasks"] == {}:
            missing = "keepers" if told["keepers"] == {} else "tasks"
            self.check.report(
                self.place("leases", missing), f"there are no {missing}", f"name {missing}", "missing"
            )
        return told

    def _shared(self, told: dict[str, Any]) -> None:
        """What routers share goes over a ledger's lines."""
        colds = [key for key in ("cold", "cold_parent") if told[key]["across"] == "all"]
        for key in colds if not self.told.get("purges") else ():
            self.check.report(
                self.place("deployment", key),
                f"'{key}' is shared by all routers, and no ledger is named that grants parts of it",
                "give the plan `purges` with its `ledgers`",
                "never",
            )
        if told["counts"] is True and told["hearsay"] is False:
            self.check.report(
                self.place("deployment", "counts"),
                "'counts' goes by what routers tell, and none tells",
                "set `hearsay` too",
                "never",
            )

    def _cache(self, name: str, cache: dict[str, Any]) -> None:
        at, tier = cache["at"], cache["tier"]
        if at in self.known("hubs") and at not in self.known("stores") and tier == "cache":
            self.check.report(
                self.place("caches", name, "at"),
                f"cache '{name}' stands at a hub",
                'say tier: "parent", or name a store',
                "value",
            )
        addresses = [n for n, other in self.parts["caches"].items() if other["address"] == cache["address"]]
        if cache["address"] is not INVALID and addresses[0] != name:
            self.check.report(
                self.place("caches", name, "address"),
                f"cache '{name}' has the address of '{addresses[0]}'",
                code="duplicate",
                also=((self.place("caches", addresses[0], "address"), "the first"),),
            )

    def _vhost(self, name: str, told: dict[str, Any]) -> TrafficClass | None:
        if any(value is INVALID for value in told.values()):
            return None
        target = told["first_byte_target"] or told["client_timeout"]
        if target > told["client_timeout"]:
            self.check.report(
                self.place("vhosts", name, "first_byte_target"),
                f"vhost '{name}' has its target after its client timeout",
                "done in time would be never late",
                "range",
                ((self.place("vhosts", name, "client_timeout"), "the client timeout"),),
            )
        return TrafficClass(
            name,
            Idempotency(told["effect"]),
            told["value"],
            target,
            told["target_stretch"],
            told["client_timeout"],
            told["late_share"],
            told["repeats_within"],
            told["repeats_for"],
            told["fresh_for"],
            told["grace_for"],
            told["old_share"],
            not told["kept"],
        )

    def _policies(self) -> dict[str, Policy]:
        told = self.parts["policies"]
        above = {
            name: self.refer(policy["inherits"], ("policies", name, "inherits"), "policies")
            for name, policy in told.items()
        }
        if self._no_loop(above, "policies", "inherits", "the policies"):
            return {}
        found: dict[str, Policy] = {}
        for name in told:
            values, at = {}, name
            while at in told:
                for key in POLICY_KEYS:
                    if told[at][key] is not None and key not in values:
                        values[key] = told[at][key]
                        place = self.check.places.get(("policies", at, key))
                        self.check.places.setdefault(
                            ("policies", name, key), place or self.place("policies", at)
                        )
                at = above.get(at)
            if not any(value is INVALID for value in values.values()):
                found[name] = Policy(**values)
        return found

    def _limit(self, name: str, told: dict[str, Any]) -> Limit | None:
        if any(value is INVALID for value in told.values()):
            return None
        place = self.place("limits", name)
        if not (told["rate"] or told["concurrent"]):
            self.check.report(
                place, f"limit '{name}' limits nothing", "give it `rate` or `concurrent`", "never"
            )
            return None
        if told["burst"] and not told["rate"]:
            self.check.report(
                self.place("limits", name, "burst"),
                f"limit '{name}' has a burst without a rate",
                "give it `rate`",
                "never",
            )
        if told["keep_free"] and not told["concurrent"]:
            self.check.report(
                self.place("limits", name, "keep_free"),
                f"limit '{name}' keeps a share free of no number",
                "give it `concurrent`",
                "never",
            )
        elif told["keep_free"] and not told["below"]:
            self.check.report(
                self.place("limits", name, "keep_free"),
                f"limit '{name}' keeps a share free for nobody",
                "give it `below`",
                "never",
            )
        elif told["below"] and not told["keep_free"]:
            self.check.report(
                self.place("limits", name, "below"),
                f"limit '{name}': 'below' without 'keep_free'",
                "give it `keep_free`",
                "never",
            )
        if told["across"] != "router" and not self.told.get("purges"):
            self.check.report(
                self.place("limits", name, "across"),
                f"limit '{name}' is shared by a {told['across']}, and no ledger is named that grants shares",
                "give the plan `purges` with its `ledgers`",
                "never",
            )
        if told["counts"] == "repeats" and (told["concurrent"] or not told["rate"]):
            self.check.report(
                self.place("limits", name, "counts"),
                f"limit '{name}' counts repeats, which are over time",
                "give it `rate`, and `concurrent` to a limit of reqs",
                "never",
            )
        burst = told["burst"] or max(1, round(told["rate"] or 0))
        return Limit(
            name,
            told["per"],
            told["rate"] or 0.0,
            burst if told["rate"] else 0,
            told["concurrent"] or 0,
            told["keep_free"] or 0.0,
            told["below"] or 0.0,
            told["across"],
            told["floors"],
            told["share_life"],
            told["counts"],
        )

    def _pool(self, name: str, told: dict[str, Any]) -> Pool | None:
        if any(value is INVALID for value in told.values()):
            return None
        path = ("pools", name)
        home = self.told["deployment"]["home"] if isinstance(self.told.get("deployment"), dict) else None
        stores = self.refer_all(told["stores"], (*path, "stores"), "stores")
        caches = self.refer_all(told["caches"], (*path, "caches"), "caches")
        broken = len(stores) < len(told["stores"] or ()) or len(caches) < len(told["caches"] or ())
        if not told["stores"] and not told["caches"]:
            broken |= home not in self.known("stores")
            stores = (home,) if isinstance(home, str) else ()
        pool = Pool(
            name,
            stores,
            tuple(told["kinds"] or ()),
            tuple(told["cells"] or ()),
            caches,
            self.refer(told["fallback"], (*path, "fallback"), "pools"),
            _amount(told["at_least"]),
            _amount(told["back_at"]) or _amount(told["at_least"]),
            told["back_after"],
        )
        listed = self.parts["caches"]
        usable = not broken and all(
            value is not INVALID for cache in listed.values() for value in cache.values()
        )
        members = [n for n, cache in listed.items() if is_pool_member(pool, n, cache)] if usable else []
        if listed and usable and not members and self.told.get("caches") is not INVALID:
            self.check.report(
                self.place(*path), f"pool '{name}' has no members", _why_empty(pool, listed), "empty"
            )
        self._falls(name, told, pool, len(members) if listed and usable else None)
        return pool

    def _falls(self, name: str, told: dict[str, Any], pool: Pool, members: int | None) -> None:
        path = ("pools", name)
        if pool.fallback and not pool.at_least:
            self.check.report(
                self.place(*path, "fallback"),
                f"the fallback of pool '{name}' is never reached",
                "give `at_least`",
                "never",
            )
        elif pool.at_least and not told["fallback"]:
            self.check.report(
                self.place(*path, "at_least"),
                f"pool '{name}' has 'at_least' and no fallback",
                "give `fallback`",
                "never",
            )
        elif pool.at_least and members and pool.at_least.to_count(members) > members:
            self.check.report(
                self.place(*path, "at_least"),
                f"pool '{name}' has {members} members: its fallback always stands in",
                "ask for fewer",
                "range",
            )
        elif pool.at_least and members and pool.back_at.to_count(members) < pool.at_least.to_count(members):
            self.check.report(
                self.place(*path, "back_at"),
                f"pool '{name}' comes back below 'at_least'",
                "it would flap: ask for as many or more",
                "range",
            )

    def _split(self, name: str, told: dict[str, Any]) -> Split | None:
        parts = told["parts"]
        if parts is INVALID or told["by"] is INVALID or any(share is INVALID for share in parts.values()):
            return None
        for pool in parts:
            self.refer(pool, ("splits", name, "parts", pool), "pools")
        total = sum(parts.values())
        if abs(total - 1) > 1e-9:
            self.check.report(
                self.place("splits", name, "parts"),
                f"the parts of split '{name}' add up to {total * 100:g}%",
                "make them 100%",
                "sum",
            )
        return Split(name, told["by"], tuple(parts.items()))

    def _route(self, order: int, name: str, told: dict[str, Any]) -> Route | None:
        path = ("routes", name)
        vhost = self.refer(told["vhost"], (*path, "vhost"), "vhosts")
        pool = self.refer(told["pool"], (*path, "pool"), "pools", "splits")
        policy = self.refer(told["policy"], (*path, "policy"), "policies")
        limits = self.refer_all(told["limits"], (*path, "limits"), "limits")
        match = told["match"]
        if match is INVALID or any(value is INVALID for value in (*told.values(), *match.values())):
            return None
        conditions = (*match["header"].values(), *match["param"].values())
        if any(value is INVALID for value in conditions):
            return None
        self._captures(name, told, match)
        stores = self.refer_all(match["store"], (*path, "match", "store"), "stores")
        if match["store"] and not stores:
            return None
        methods = frozenset(match["method"] or patterns.METHODS)
        heads = {key.lower(): _condition(value) for key, value in match["header"].items()}
        params = {key: _condition(value) for key, value in match["param"].items()}
        path_lang = _language(match["path"], "/") if match["path"] else request_sets.HERE
        hosts = [_language(host.lower(), ".") for host in match["host"] or ()] or [request_sets.HERE]
        boxes = tuple(
            request_sets.Box(
                frozenset(stores or self.known("stores")), methods, host, path_lang, heads, params
            )
            for host in hosts
        )
        tenant_limits = [n for n in limits if (self.parts["limits"].get(n) or {}).get("per") == "tenant"]
        if tenant_limits and not told["tenant"]:
            self.check.report(
                self.place(*path, "limits"),
                f"limit '{tenant_limits[0]}' is per tenant, and route '{name}' names none",
                "give the route `tenant`",
                "never",
            )
        if not (vhost and pool):
            return None
        return Route(
            name, order, boxes, vhost, pool, policy, limits, told["tenant"], told["object"], told["group"]
        )

    def _captures(self, name: str, told: dict[str, Any], match: dict[str, Any]) -> None:
        """`object` and `group` are made of captures that the path has."""
        have = patterns.pattern(match["path"], "/").captures if match["path"] else []
        for key in ("object", "group"):
            if not told[key]:
                continue
            for asked in template(told[key]):
                if asked not in (*have, "host", "path"):
                    self.check.report(
                        self.place("routes", name, key),
                        f"'{{{asked}}}' is no capture of route '{name}'",
                        meant(asked, have) or f"there are {names([*have, 'host', 'path'])}",
                        "reference",
                    )

    def _no_loop(self, above: dict[str, str | None], part: str, key: str, what: str) -> bool:
        """Notes each loop once, at its first name."""
        seen: set[str] = set()
        found = False
        for name in above:
            chain, at = [], name
            while at is not None and at not in seen and at not in chain:
                chain.append(at)
                at = above.get(at)
            if at in chain:
                loop = chain[chain.index(at) :]
                self.check.report(
                    self.place(part, loop[0], key),
                    f"{what} go round: {' -> '.join([*loop, loop[0]])}",
                    "take one out",
                    "cycle",
                )
                found = True
            seen.update(chain)
        return found


def template(text: str) -> list[str]:
    """The names in braces of a text such as `{host}/{plant}`."""
    return [found[1] for found in patterns.TOKEN.finditer(text) if found[1] is not None]


def _language(text: str, sep: str) -> request_sets.TextSet:
    return request_sets.TextSet((patterns.pattern(text, sep),))


def _condition(told: str | bool) -> request_sets.TextSet:
    if isinstance(told, bool):
        return request_sets.TextSet(allows_absent=not told, allows_present=told)
    return _language(told, "")


def _amount(told: Any) -> Amount | None:
    if told is None:
        return None
    return Amount(share=told[1]) if isinstance(told, tuple) else Amount(count=told)


def _why_empty(pool: Pool, caches: dict[str, dict[str, Any]]) -> str:
    asked = [
        f"{key} {names(map(str, value))}"
        for key, value in (("stores", pool.stores), ("kinds", pool.kinds), ("cells", pool.cells))
        if value
    ]
    return f"of {len(caches)} servers listed none has {' and '.join(asked)}" if asked else ""


def _one(part: str) -> str:
    return {"policies": "policy"}.get(part, part.removesuffix("s"))
