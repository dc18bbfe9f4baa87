"""What is told at start: read, checked and given defaults here alone, for drill and real router alike.

The names are those that the two get; what cannot be used is Unusable, with the key at fault in its text.
Unknown keys are passed over.
"""

import ipaddress
from collections.abc import Mapping
from typing import Any

import orjson

from quartzrouter.routing.model import Capabilities, Idempotency, SlowStart, Tier, TrafficClass

EFFECTS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.IDEMPOTENT_WITH_KEY,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
NUMBER = (int, float)
KB = 1_000  # bytes
HOWS = ("silent", "pull", "piggyback")  # where load reports come: nowhere, in probes, in answers
BUSY = "busy"  # the field of a load report that the decisions read
LARGEST_NUMBER = 1 << 62  # us, or whatever else a whole number counts


class ConfigurationError(ValueError):
    """Something told at start that cannot be used."""


class Section:
    """A part of what is told, which knows by what name to complain."""

    def __init__(self, told: Any, name: str = ""):
        if not isinstance(told, dict):
            raise ConfigurationError(f"{name or 'the whole'} is no object")
        self.told, self.name = told, name

    def key(self, key: str) -> str:
        return f"{self.name}.{key}" if self.name else key

    def need(
        self, key: str, *kinds: type, least: float = -LARGEST_NUMBER, most: float = LARGEST_NUMBER
    ) -> Any:
        value = self.told.get(key)
        if value is None:
            raise ConfigurationError(f"{self.key(key)} is missing")
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise ConfigurationError(f"{self.key(key)} is {value!r:.60}")
        if isinstance(value, NUMBER) and not least <= value <= most:
            raise ConfigurationError(f"{self.key(key)} is {value}, out of range")
        return value

    def may(
        self,
        key: str,
        default: Any,
        *kinds: type,
        least: float = -LARGEST_NUMBER,
        most: float = LARGEST_NUMBER,
    ) -> Any:
        return default if self.told.get(key) is None else self.need(key, *kinds, least=least, most=most)

    def count(self, key: str, default: int = 0, least: int = 0) -> int:
        return self.may(key, default, int, least=least)

    def figure(self, key: str, default: float = 0.0, most: float = LARGEST_NUMBER) -> float:
        return float(self.may(key, default, *NUMBER, least=0, most=most))

    def part(self, key: str) -> "Section":
        return Section(self.may(key, {}, dict), self.key(key))

    def parts(self, key: str) -> list["Section"]:
        return [Section(part, f"{self.key(key)}[{n}]") for n, part in enumerate(self.may(key, [], list))]

    def at(self, key: str, n: int, default: Any, *kinds: type) -> Any:
        """One place of a list that goes by vhost or zone, and may be too short."""
        row = self.may(key, [], list)
        return Section({f"{n}": row[n] if n < len(row) else None}, self.key(key)).may(
            f"{n}", default, *kinds, least=0
        )


class DeploymentSettings:
    """The deployment's figures, as the arguments that a Router takes and what else its host goes by."""

    def __init__(self, told: Any, seed: int):
        setup = Section(told, "settings")
        fam, limits, rules = setup.part("family_info"), setup.part("limits"), setup.part("rules")
        self.zones: list[str] = setup.may("zones", [], list)
        self.models: list[str] = setup.may("models", [], list)
        self.parent_kind, self.origin_kind = (
            self._model(fam.may(key, -1, int)) for key in ("shield_kind", "store_kind")
        )
        self.connect_within = limits.count("dial_timeout_us", 400_000, least=1)
        self.idle_most = limits.count("conn_idle_us", 15_000_000, least=1)
        self.load_report = setup.part("load_report")
        self.fields: list[str] = self.load_report.may("fields", [], list)
        home = setup.may("zone", "", str)
        served = self.zones.index(home) if home in self.zones else len(self.zones)
        everyone = setup.count("peers_total", 1, least=1)
        window = rules.count("tip_after_us", 1_000_000, least=1)
        multiple = rules.figure("tip_multiple") or 1.0
        self.vhosts = [self._vhost(n, band, fam) for n, band in enumerate(setup.parts("categories"))]
        self.arguments = {
            "router_number": setup.count("me"),
            "seed": seed,
            "home_location": home,
            "traffic_classes": self.vhosts,
            "capabilities": Capabilities(
                max_attempts=limits.count("try_limit", 1, least=1),
                pass_through=fam.may("pass_through_ok", False, bool),
                request_collapsing=fam.may("shares_fills", True, bool),
                siblings=fam.may("sideways", "silent", str) != "silent",
                health_checks=limits.may("probes", False, bool),
                cancellation=limits.may("cancel", False, bool),
                max_retry_after=limits.count("max_retry_after_us") * limits.may("retry_after", False, bool),
                discovery_on_request=setup.may("discovery", "pushed", str) == "on_request",
                load_in_responses=self.load_report.may("how", "silent", str) == "piggyback"
                and BUSY in self.fields
                and not limits.may("probes", False, bool),
            ),
            "cache_slow_start": SlowStart(
                initial_share=rules.figure("cold_from", most=1),
                ramp_time=rules.count("ramp_time_us"),
                overload_factor=multiple,
                window=window,
                routers=max(1, fam.at("zone_balancers", served, 0, int) or everyone),
            ),
            "parent_slow_start": SlowStart(
                initial_share=fam.figure("parent_floor", most=1),
                ramp_time=fam.count("parent_cold_us"),
                overload_factor=fam.figure("parent_fall_multiple") or multiple,
                window=window,
                routers=everyone,
            ),
            "purge_lifetime": fam.count("gone_everywhere_us"),
            "transfer_rate": fam.figure("flow_kb_per_s"),
            "has_capacity_ratings": setup.may("weights", "silent", str) != "silent",
        }

    def check_shape(self) -> None:
        """Load is told either by probes or in answers; what mixes the two would leave the decisions blind."""
        how, key = self.load_report.may("how", "silent", str), self.load_report.key
        if how not in HOWS:
            raise ConfigurationError(f"{key('how')} is {how!r:.60}; it may be {', '.join(HOWS)}")
        probes = self.arguments["capabilities"].health_checks
        if how == "pull" and not probes:
            raise ConfigurationError(f"{key('how')} is 'pull', which needs settings.limits.probes to be true")
        if how == "piggyback" and probes:
            raise ConfigurationError(
                f"settings.limits.probes is true and {key('how')} is 'piggyback': set one of them"
            )
        if how == "piggyback" and BUSY not in self.fields:
            raise ConfigurationError(
                f"{key('fields')} lacks {BUSY!r}, which {key('how')} = 'piggyback' needs"
            )

    def _model(self, place: int) -> str | None:
        return self.models[place] if 0 <= place < len(self.models) else None

    @staticmethod
    def _vhost(n: int, band: Section, fam: Section) -> TrafficClass:
        timeout = band.count("deadline_us", least=1)
        return TrafficClass(
            name=band.need("name", str),
            idempotency=EFFECTS.get(band.may("effect", "", str), Idempotency.NON_IDEMPOTENT),
            priority_weight=band.figure("worth"),
            latency_objective=band.count("aim_us") or timeout,
            objective_stretch=band.figure("aim_stretch"),
            client_timeout=timeout,
            late_value_share=band.figure("late_share"),
            deduplication_scope=band.may("group", "cell", str),
            deduplication_window=band.count("window_us"),
            max_age=fam.at("good_for_us", n, 0, int),
            stale_grace=fam.at("grace_for_us", n, 0, int),
            stale_value_share=float(fam.at("class_stale_worth", n, 0.0, *NUMBER)),
            uncacheable=fam.at("never_kept", n, False, bool),
        )

    def tier(self, kind: str) -> Tier:
        if kind == self.parent_kind:
            return Tier.PARENT
        return Tier.ORIGIN if kind == self.origin_kind else Tier.CACHE


def address(text: Any, key: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ConfigurationError(f"{key} is {text!r:.60}, no address") from None
    if not port.isdecimal() or not 0 < int(port) < 1 << 16:
        raise ConfigurationError(f"{key} is {text!r:.60}, no port")
    return host.strip("[]"), int(port)


class Configuration:
    """Where one router stands: its name and addresses, its limits and the journal up to now."""

    FIXED = ("listen", "limits", "settings")  # what a reload can't change

    def __init__(self, told: Any, environ: Mapping[str, str], journal_needed: bool = True):
        told = Section(told)
        self.name = environ.get("NODE_NAME") or told.may("name", "?", str)
        listen = environ.get("NODE_LISTEN")
        self.listen = (
            address(listen, "NODE_LISTEN") if listen else address(told.need("listen", str), "listen")
        )
        self.journal = None
        if journal_needed or told.told.get("journal"):
            self.journal = address(told.need("journal", str), "journal")
        self.fixed = {key: told.told.get(key) for key in self.FIXED}
        seed = told.need("seed", str)
        try:
            self.seed = int(seed, 16)
        except ValueError:
            raise ConfigurationError(f"seed is {seed!r:.60}") from None
        limits = told.part("limits")
        self.sockets = limits.may("sockets", 1024, int, least=64)
        self.memory = limits.may("memory_mb", 192, int, least=1) << 20
        known = told.part("known")
        self.position = known.count("pos")
        self.known = known.parts("entries")
        self.briefing = DeploymentSettings(told.need("settings", dict), self.seed)
        self.briefing.check_shape()
        if flow := told.figure("flow_bytes_per_s"):  # on the wire; the settings have the simulator's
            self.briefing.arguments["transfer_rate"] = flow / KB
        if not self.briefing.vhosts:
            raise ConfigurationError("settings.categories is empty")


def read(environ: Mapping[str, str]) -> Any:
    """What the file says that NODE_CONFIG names."""
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigurationError("NODE_CONFIG is missing")
    try:
        with open(path, "rb") as file:
            return orjson.loads(file.read())
    except OSError as error:
        raise ConfigurationError(f"NODE_CONFIG: {path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"NODE_CONFIG: {path} is not JSON: {error}") from None
