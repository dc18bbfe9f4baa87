"""Builds a Plan from a record that fits the schema.

Reports names that the plan doesn't define, settings that contradict each other, and settings without effect.
"""

from typing import Any

from quartzrouter.config import patterns, request_sets
from quartzrouter.config.keys import COLD
from quartzrouter.config.model import Amount, Limit, Plan, Policy, Pool, Route, Split, is_pool_member
from quartzrouter.config.problems import Place, joined_names, suggestion
from quartzrouter.config.purge_settings import check_purge_life
from quartzrouter.config.schema import INVALID, Path, PlanCheck
from quartzrouter.routing.model import Idempotency, TrafficClass

DEFAULT_COLD = {name: entry.default for name, entry in COLD.entries.items()}
POLICY_KEYS = tuple(Policy.__slots__)
SHARES_TOLERANCE = 1e-9  # by which shares of a split may differ from 100%: they are floats


class PlanBuilder:
    """Builds one plan.  Each part is checked by itself, so that one fault hides no other.

    :ivar record: the plan as the schema converted it.
    :ivar parts: by name of the part, its entries that could be converted.
    """

    def __init__(self, record: dict[str, Any], check: PlanCheck):
        self.record, self.check = record, check
        self.parts = {
            name: self._valid_entries(name)
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

    def _valid_entries(self, name: str) -> dict[str, dict[str, Any]]:
        """Returns the entries that could be converted; a fault has been reported for each of the others."""
        part = self.record.get(name)
        return {k: v for k, v in part.items() if v is not INVALID} if isinstance(part, dict) else {}

    def names_in(self, *parts: str) -> set[str]:
        """Returns the names of all entries, also of invalid ones: a reference to those is not dangling."""
        return {name for part in parts for name in (self.record.get(part) or {})}

    def place(self, *path: str) -> Place:
        """Returns where a value was given, or the nearest value around it that was."""
        return self.check.place(path)

    def resolve(self, name: Any, path: Path, *parts: str) -> str | None:
        """Returns the name if one of the parts defines it; otherwise reports a fault and returns None."""
        if name is INVALID or name is None or any(self.record.get(part) is INVALID for part in parts):
            return None
        defined = self.names_in(*parts)
        if name in defined:
            return name
        remedy = suggestion(name, defined) or (
            f"there are {joined_names(defined)}" if defined else "none is defined"
        )
        self.check.report(
            self.place(*path),
            f"there is no {' or '.join(_singular(part) for part in parts)} '{name}'",
            remedy,
            "reference",
        )
        return None

    def resolve_all(self, references: Any, path: Path, *parts: str) -> tuple[str, ...]:
        """Returns those names of a list that one of the parts defines; reports a fault for each other one."""
        if references is INVALID or not references:
            return ()
        resolved = []
        for index, name in enumerate(references):
            item_path = (*path[:-1], f"{path[-1]}[{index}]")
            if self.resolve(name, item_path if item_path in self.check.places else path, *parts):
                resolved.append(name)
        return tuple(resolved)

    def build(self) -> Plan | None:
        """Returns the plan, or None if faults were found."""
        deployment, leases = self._build_deployment(), self._build_leases()
        stores = {
            name: self.resolve(store["hub"], ("stores", name, "hub"), "hubs")
            for name, store in self.parts["stores"].items()
        }
        hubs = {
            name: self.resolve(hub["over"], ("hubs", name, "over"), "hubs")
            for name, hub in self.parts["hubs"].items()
        }
        self._report_cycles(hubs, "hubs", "over", "the hubs")
        for name, cache in self.parts["caches"].items():
            self.resolve(cache["at"], ("caches", name, "at"), "stores", "hubs")
            self._check_cache(name, cache)
        vhosts = {name: self._build_vhost(name, record) for name, record in self.parts["vhosts"].items()}
        readable_vhosts = {name: vhost for name, vhost in vhosts.items() if vhost}
        check_purge_life(self.record.get("purges"), readable_vhosts, self.check)
        policies = self._build_policies()
        limits = {name: self._build_limit(name, record) for name, record in self.parts["limits"].items()}
        pools = {name: self._build_pool(name, record) for name, record in self.parts["pools"].items()}
        pools = {name: pool for name, pool in pools.items() if pool}
        self._report_cycles({n: p.fallback for n, p in pools.items()}, "pools", "fallback", "the fallbacks")
        splits = {name: self._build_split(name, record) for name, record in self.parts["splits"].items()}
        for name in self.names_in("pools") & self.names_in("splits"):
            self.check.report(
                self.place("splits", name),
                f"'{name}' names both a pool and a split",
                "give it another name",
                "duplicate",
                ((self.place("pools", name), "the pool"),),
            )
        routes = [
            self._build_route(n, name, record)
            for n, (name, record) in enumerate(self.parts["routes"].items())
        ]
        if (
            not self.parts["routes"]
            and self.record.get("routes") is not INVALID
            and not self.check.faults.errors
        ):
            self.check.report(
                self.place("routes"),
                "the plan has no routes",
                "without routes, it would reject all requests",
                "value",
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
            self.record.get("purges"),
            leases,
            self.check.places,
        )

    # -- parts of the plan ----------------------------------------------------------------------------------

    def _build_deployment(self) -> dict[str, Any]:
        record = self.record.get("deployment")
        if not isinstance(record, dict):
            return {}
        record = dict(record)
        self.resolve(record["home"], ("deployment", "home"), "stores")
        for key in ("cold", "cold_parent"):
            record[key] = DEFAULT_COLD | record[key] if isinstance(record[key], dict) else DEFAULT_COLD
        here, in_all = record["routers_here"], record["routers"]
        if isinstance(here, int) and isinstance(in_all, int) and here > in_all:
            self.check.report(
                self.place("deployment", "routers_here"),
                f"'routers_here' is {here}, more than 'routers', which is {in_all}",
                code="range",
            )
        record["routers_here"] = here or in_all
        self._check_sharing(record)
        if not record["journal"] and not self.record.get("caches"):
            self.check.report(
                self.place("deployment"),
                "no caches are listed, and there is no journal that lists them",
                "give `caches`, or `journal`",
                "missing",
            )
        return record

    def _build_leases(self) -> dict[str, Any] | None:
        record = self.record.get("leases")
        if not isinstance(record, dict):
            return None
        keepers = record["keepers"] if isinstance(record["keepers"], dict) else {}
        keeper_at: dict[str, str] = {}
        for name, address in keepers.items():
            if address is not INVALID and address in keeper_at:
                self.check.report(
                    self.place("leases", "keepers", name),
                    f"keeper '{name}' has the address of keeper '{keeper_at[address]}'",
                    "each keeper has one vote: give each an address of its own",
                    "duplicate",
                )
            elif address is not INVALID:
                keeper_at[address] = name
        if record["keepers"] == {} or record["tasks"] == {}:
            missing = "keepers" if record["keepers"] == {} else "tasks"
            self.check.report(
                self.place("leases", missing), f"there are no {missing}", f"name {missing}", "missing"
            )
        return record

    def _check_sharing(self, record: dict[str, Any]) -> None:
        """Reports settings that share something between routers if what carries it is missing.

        Routers share what they know, and the capacity of cold servers, over their connections to a ledger.
        """
        shared_keys = [key for key in ("cold", "cold_parent") if record[key]["across"] == "all"]
        for key in shared_keys if not self.record.get("purges") else ():
            self.check.report(
                self.place("deployment", key),
                f"'{key}' is shared by all routers, but no ledger is named to grant parts of it",
                "give the plan `purges` with its `ledgers`",
                "never",
            )
        if record["counts"] is True and record["hearsay"] is False:
            self.check.report(
                self.place("deployment", "counts"),
                "'counts' needs what routers report to each other, but 'hearsay' is off",
                "set `hearsay` to true",
                "never",
            )

    def _check_cache(self, name: str, cache: dict[str, Any]) -> None:
        at, tier = cache["at"], cache["tier"]
        if at in self.names_in("hubs") and at not in self.names_in("stores") and tier == "cache":
            self.check.report(
                self.place("caches", name, "at"),
                f"cache '{name}' is at a hub, where only parents and origins may be",
                'set tier: "parent", or name a store',
                "value",
            )
        same_address = [
            n for n, other in self.parts["caches"].items() if other["address"] == cache["address"]
        ]
        if cache["address"] is not INVALID and same_address[0] != name:
            self.check.report(
                self.place("caches", name, "address"),
                f"cache '{name}' has the address of '{same_address[0]}'",
                code="duplicate",
                also=((self.place("caches", same_address[0], "address"), "the first"),),
            )

    def _build_vhost(self, name: str, record: dict[str, Any]) -> TrafficClass | None:
        if any(value is INVALID for value in record.values()):
            return None
        target = record["first_byte_target"] or record["client_timeout"]
        if target > record["client_timeout"]:
            self.check.report(
                self.place("vhosts", name, "first_byte_target"),
                f"vhost '{name}' has a target that is longer than its client timeout",
                "no response could ever be late",
                "range",
                ((self.place("vhosts", name, "client_timeout"), "the client timeout"),),
            )
        return TrafficClass(
            name,
            Idempotency(record["effect"]),
            record["value"],
            target,
            record["target_stretch"],
            record["client_timeout"],
            record["late_share"],
            record["repeats_within"],
            record["repeats_for"],
            record["fresh_for"],
            record["grace_for"],
            record["old_share"],
            not record["kept"],
        )

    def _build_policies(self) -> dict[str, Policy]:
        records = self.parts["policies"]
        parent_of = {
            name: self.resolve(policy["inherits"], ("policies", name, "inherits"), "policies")
            for name, policy in records.items()
        }
        if self._report_cycles(parent_of, "policies", "inherits", "the policies"):
            return {}
        policies: dict[str, Policy] = {}
        for name in records:
            values, ancestor = {}, name
            while ancestor in records:
                for key in POLICY_KEYS:
                    if records[ancestor][key] is not None and key not in values:
                        values[key] = records[ancestor][key]
                        place = self.check.places.get(("policies", ancestor, key))
                        self.check.places.setdefault(
                            ("policies", name, key), place or self.place("policies", ancestor)
                        )
                ancestor = parent_of.get(ancestor)
            if not any(value is INVALID for value in values.values()):
                policies[name] = Policy(**values)
        return policies

    def _build_limit(self, name: str, record: dict[str, Any]) -> Limit | None:
        if any(value is INVALID for value in record.values()):
            return None
        place = self.place("limits", name)
        if not (record["rate"] or record["concurrent"]):
            self.check.report(
                place, f"limit '{name}' limits nothing", "give it `rate` or `concurrent`", "never"
            )
            return None
        if record["burst"] and not record["rate"]:
            self.check.report(
                self.place("limits", name, "burst"),
                f"limit '{name}' has a burst without a rate",
                "give it `rate`",
                "never",
            )
        if record["keep_free"] and not record["concurrent"]:
            self.check.report(
                self.place("limits", name, "keep_free"),
                f"limit '{name}': 'keep_free' without 'concurrent'",
                "give it `concurrent`",
                "never",
            )
        elif record["keep_free"] and not record["below"]:
            self.check.report(
                self.place("limits", name, "keep_free"),
                f"limit '{name}' keeps a share free for nobody",
                "give it `below`",
                "never",
            )
        elif record["below"] and not record["keep_free"]:
            self.check.report(
                self.place("limits", name, "below"),
                f"limit '{name}': 'below' without 'keep_free'",
                "give it `keep_free`",
                "never",
            )
        if record["across"] != "router" and not self.record.get("purges"):
            self.check.report(
                self.place("limits", name, "across"),
                f"limit '{name}' is shared by a {record['across']}, but no ledger is named to grant shares",
                "give the plan `purges` with its `ledgers`",
                "never",
            )
        if record["counts"] == "repeats" and (record["concurrent"] or not record["rate"]):
            self.check.report(
                self.place("limits", name, "counts"),
                f"limit '{name}' counts repeats, for which it needs a rate and can't have 'concurrent'",
                "give it `rate`, and move `concurrent` to a limit that counts reqs",
                "never",
            )
        burst = record["burst"] or max(1, round(record["rate"] or 0))
        return Limit(
            name,
            record["per"],
            record["rate"] or 0.0,
            burst if record["rate"] else 0,
            record["concurrent"] or 0,
            record["keep_free"] or 0.0,
            record["below"] or 0.0,
            record["across"],
            record["floors"],
            record["share_life"],
            record["counts"],
        )

    def _build_pool(self, name: str, record: dict[str, Any]) -> Pool | None:
        if any(value is INVALID for value in record.values()):
            return None
        path = ("pools", name)
        home = self.record["deployment"]["home"] if isinstance(self.record.get("deployment"), dict) else None
        stores = self.resolve_all(record["stores"], (*path, "stores"), "stores")
        caches = self.resolve_all(record["caches"], (*path, "caches"), "caches")
        has_invalid_names = len(stores) < len(record["stores"] or ()) or len(caches) < len(
            record["caches"] or ()
        )
        if not record["stores"] and not record["caches"]:
            has_invalid_names |= home not in self.names_in("stores")
            stores = (home,) if isinstance(home, str) else ()
        pool = Pool(
            name,
            stores,
            tuple(record["kinds"] or ()),
            tuple(record["cells"] or ()),
            caches,
            self.resolve(record["fallback"], (*path, "fallback"), "pools"),
            _amount(record["at_least"]),
            _amount(record["back_at"]) or _amount(record["at_least"]),
            record["back_after"],
        )
        listed = self.parts["caches"]
        are_members_known = not has_invalid_names and all(
            value is not INVALID for cache in listed.values() for value in cache.values()
        )
        members = (
            [n for n, cache in listed.items() if is_pool_member(pool, n, cache)] if are_members_known else []
        )
        if listed and are_members_known and not members and self.record.get("caches") is not INVALID:
            self.check.report(
                self.place(*path), f"pool '{name}' has no members", _empty_pool_remedy(pool, listed), "empty"
            )
        self._check_fallback(name, record, pool, len(members) if listed and are_members_known else None)
        return pool

    def _check_fallback(self, name: str, record: dict[str, Any], pool: Pool, members: int | None) -> None:
        """Reports a fallback that would never or always be used, or whose use would alternate.

        :param members: the number of caches that are listed for the pool; None if it isn't known.
        """
        path = ("pools", name)
        if pool.fallback and not pool.at_least:
            self.check.report(
                self.place(*path, "fallback"),
                f"the fallback of pool '{name}' is never reached",
                "give `at_least`",
                "never",
            )
        elif pool.at_least and not record["fallback"]:
            self.check.report(
                self.place(*path, "at_least"),
                f"pool '{name}' has 'at_least' and no fallback",
                "give `fallback`",
                "never",
            )
        elif pool.at_least and members and pool.at_least.to_count(members) > members:
            self.check.report(
                self.place(*path, "at_least"),
                f"pool '{name}' has {members} members, fewer than 'at_least': its fallback is always used",
                "give a smaller `at_least`",
                "range",
            )
        elif pool.at_least and members and pool.back_at.to_count(members) < pool.at_least.to_count(members):
            self.check.report(
                self.place(*path, "back_at"),
                f"pool '{name}' has 'back_at' below 'at_least'",
                "it would flap: give `back_at` as many as `at_least`, or more",
                "range",
            )

    def _build_split(self, name: str, record: dict[str, Any]) -> Split | None:
        parts = record["parts"]
        if parts is INVALID or record["by"] is INVALID or any(share is INVALID for share in parts.values()):
            return None
        for pool in parts:
            self.resolve(pool, ("splits", name, "parts", pool), "pools")
        total = sum(parts.values())
        if abs(total - 1) > SHARES_TOLERANCE:
            self.check.report(
                self.place("splits", name, "parts"),
                f"the parts of split '{name}' add up to {total * 100:g}%",
                "make them 100%",
                "sum",
            )
        return Split(name, record["by"], tuple(parts.items()))

    def _build_route(self, order: int, name: str, record: dict[str, Any]) -> Route | None:
        path = ("routes", name)
        vhost = self.resolve(record["vhost"], (*path, "vhost"), "vhosts")
        pool = self.resolve(record["pool"], (*path, "pool"), "pools", "splits")
        policy = self.resolve(record["policy"], (*path, "policy"), "policies")
        limits = self.resolve_all(record["limits"], (*path, "limits"), "limits")
        match = record["match"]
        if match is INVALID or any(value is INVALID for value in (*record.values(), *match.values())):
            return None
        conditions = (*match["header"].values(), *match["param"].values())
        if any(value is INVALID for value in conditions):
            return None
        self._check_captures(name, record, match)
        stores = self.resolve_all(match["store"], (*path, "match", "store"), "stores")
        if match["store"] and not stores:
            return None
        methods = frozenset(match["method"] or patterns.METHODS)
        headers = {key.lower(): _condition(value) for key, value in match["header"].items()}
        params = {key: _condition(value) for key, value in match["param"].items()}
        path_set = _text_set(match["path"], "/") if match["path"] else request_sets.ANY_TEXT
        hosts = [_text_set(host.lower(), ".") for host in match["host"] or ()] or [request_sets.ANY_TEXT]
        boxes = tuple(
            request_sets.Box(
                frozenset(stores or self.names_in("stores")), methods, host, path_set, headers, params
            )
            for host in hosts
        )
        tenant_limits = [n for n in limits if (self.parts["limits"].get(n) or {}).get("per") == "tenant"]
        if tenant_limits and not record["tenant"]:
            self.check.report(
                self.place(*path, "limits"),
                f"limit '{tenant_limits[0]}' is per tenant, but route '{name}' names no tenant",
                "give the route `tenant`",
                "never",
            )
        if not (vhost and pool):
            return None
        return Route(
            name,
            order,
            boxes,
            vhost,
            pool,
            policy,
            limits,
            record["tenant"],
            record["object"],
            record["group"],
        )

    def _check_captures(self, name: str, record: dict[str, Any], match: dict[str, Any]) -> None:
        """Reports names in `object` and `group` that the path doesn't capture."""
        captures = patterns.pattern(match["path"], "/").captures if match["path"] else []
        for key in ("object", "group"):
            if not record[key]:
                continue
            for placeholder in placeholders(record[key]):
                if placeholder not in (*captures, "host", "path"):
                    self.check.report(
                        self.place("routes", name, key),
                        f"route '{name}' has no capture '{{{placeholder}}}'",
                        suggestion(placeholder, captures)
                        or f"there are {joined_names([*captures, 'host', 'path'])}",
                        "reference",
                    )

    def _report_cycles(self, parent_of: dict[str, str | None], part: str, key: str, word: str) -> bool:
        """Reports each cycle of references once, at its first name.

        :param parent_of: by name, the name that it refers to.
        :param key: of the reference.
        :param word: for the entries, in messages.
        :returns: whether there are cycles.
        """
        visited: set[str] = set()
        has_cycles = False
        for start in parent_of:
            chain, name = [], start
            while name is not None and name not in visited and name not in chain:
                chain.append(name)
                name = parent_of.get(name)
            if name in chain:
                cycle = chain[chain.index(name) :]
                self.check.report(
                    self.place(part, cycle[0], key),
                    f"{word} form a cycle: {' -> '.join([*cycle, cycle[0]])}",
                    "remove one of these references",
                    "cycle",
                )
                has_cycles = True
            visited.update(chain)
        return has_cycles


def placeholders(text: str) -> list[str]:
    """Returns the names in braces of a text such as `{host}/{plant}`."""
    return [token[1] for token in patterns.TOKEN.finditer(text) if token[1] is not None]


def _text_set(text: str, sep: str) -> request_sets.TextSet:
    return request_sets.TextSet((patterns.pattern(text, sep),))


def _condition(value: str | bool) -> request_sets.TextSet:
    if isinstance(value, bool):
        return request_sets.TextSet(allows_absent=not value, allows_present=value)
    return _text_set(value, "")


def _amount(value: Any) -> Amount | None:
    if value is None:
        return None
    return Amount(share=value[1]) if isinstance(value, tuple) else Amount(count=value)


def _empty_pool_remedy(pool: Pool, caches: dict[str, dict[str, Any]]) -> str:
    conditions = [
        f"{key} {joined_names(map(str, value))}"
        for key, value in (("stores", pool.stores), ("kinds", pool.kinds), ("cells", pool.cells))
        if value
    ]
    return f"none of the {len(caches)} servers listed has {' and '.join(conditions)}" if conditions else ""


def _singular(part: str) -> str:
    return {"policies": "policy"}.get(part, part.removesuffix("s"))
