"""The platform's settings of a deployment: the only module that translates their keys to the router's names.

Both the router process and the simulator's adapter receive them.  They are read and checked here, and
defaults are applied.  Unknown keys are ignored.  Keys that end in ``_us`` are microseconds, and so are all
times below.
"""

from typing import Any

from quartzrouter.configuration_section import NUMBER_TYPES, ConfigurationError, ConfigurationSection
from quartzrouter.routing.model import Capabilities, Idempotency, SlowStart, Tier, TrafficClass

BYTES_PER_KB = 1_000

IDEMPOTENCY_BY_EFFECT = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.IDEMPOTENT_WITH_KEY,
    "fragile": Idempotency.NON_IDEMPOTENT,
}

# How endpoints report their load, ``load_report.how``.
LOAD_NOT_REPORTED = "silent"
LOAD_IN_HEALTH_CHECKS = "pull"
LOAD_IN_RESPONSES = "piggyback"
LOAD_REPORTS = (LOAD_NOT_REPORTED, LOAD_IN_HEALTH_CHECKS, LOAD_IN_RESPONSES)

UTILIZATION_FIELD = "busy"  # the field of a load report that the routing decisions read
NOT_PROVIDED = "silent"  # value of the keys for sibling fills and for capacity ratings
DISCOVERY_PUSHED = "pushed"  # the discovery service sends the endpoint list without a request
DISCOVERY_ON_REQUEST = "on_request"
NO_MACHINE_TYPE = -1

DEFAULT_CONNECT_TIMEOUT_US = 400_000
DEFAULT_CONNECTION_IDLE_TIMEOUT_US = 15_000_000
DEFAULT_OVERLOAD_WINDOW_US = 1_000_000


class DeploymentSettings:
    """The settings of a deployment.

    :param values: the parsed JSON.
    :param seed: the seed of the router's random numbers.
    :raises ConfigurationError: if a value is invalid.

    Attributes: numbers in frames of the discovery service are positions in ``zones`` and ``machine_types``;
    ``load_report_fields`` names the values of a load report in their order.  ``connect_timeout`` and
    ``connection_idle_timeout`` apply to connections to caches.  ``router_arguments`` are the arguments of a
    Router.
    """

    def __init__(self, values: Any, seed: int):
        settings = ConfigurationSection(values, "settings")
        family = settings.subsection("family_info")
        limits = settings.subsection("limits")
        rules = settings.subsection("rules")
        self.zones: list[str] = settings.items("zones")
        self.machine_types: list[str] = settings.items("models")
        self.parent_machine_type = self._machine_type(family, "shield_kind")
        self.origin_machine_type = self._machine_type(family, "store_kind")
        self.connect_timeout = limits.integer("dial_timeout_us", DEFAULT_CONNECT_TIMEOUT_US, minimum=1)
        self.connection_idle_timeout = limits.integer(
            "conn_idle_us", DEFAULT_CONNECTION_IDLE_TIMEOUT_US, minimum=1
        )
        self.load_report = settings.subsection("load_report")
        self.load_report_fields: list[str] = self.load_report.items("fields")
        self.traffic_classes = [
            _traffic_class(category, index, family)
            for index, category in enumerate(settings.subsections("categories"))
        ]
        self.capabilities = self._capabilities(settings, family, limits)
        self.router_arguments: dict[str, Any] = {
            "router_number": settings.integer("me"),
            "seed": seed,
            "home_location": settings.text("zone"),
            "traffic_classes": self.traffic_classes,
            "capabilities": self.capabilities,
            "cache_slow_start": self._cache_slow_start(settings, family, rules),
            "parent_slow_start": _parent_slow_start(settings, family, rules),
            "purge_lifetime": family.integer("gone_everywhere_us"),
            "transfer_rate": family.number("flow_kb_per_s"),
            "has_capacity_ratings": settings.text("weights", NOT_PROVIDED) != NOT_PROVIDED,
        }

    def tier(self, machine_type: str) -> Tier:
        """Returns the tier of an endpoint, which its machine type determines."""
        if machine_type == self.parent_machine_type:
            return Tier.PARENT
        if machine_type == self.origin_machine_type:
            return Tier.ORIGIN
        return Tier.CACHE

    def check_load_report(self) -> None:
        """Checks that load is reported either in health checks or in responses, if at all.

        Guards against settings that mix the two: the routing decisions would wait for reports that never
        come, and treat every endpoint as idle.

        :raises ConfigurationError: if they are mixed, the source is unknown, or reports in responses lack the
            utilization.
        """
        source, path_of = self._load_source(), self.load_report.path_of
        if source not in LOAD_REPORTS:
            known = ", ".join(LOAD_REPORTS)
            raise ConfigurationError(f"{path_of('how')} is {source!r:.60}; it may be {known}")
        has_health_checks = self.capabilities.health_checks
        if source == LOAD_IN_HEALTH_CHECKS and not has_health_checks:
            raise ConfigurationError(
                f"{path_of('how')} is 'pull', which needs settings.limits.probes to be true"
            )
        if source == LOAD_IN_RESPONSES and has_health_checks:
            raise ConfigurationError(
                f"settings.limits.probes is true and {path_of('how')} is 'piggyback': set one of them"
            )
        if source == LOAD_IN_RESPONSES and UTILIZATION_FIELD not in self.load_report_fields:
            raise ConfigurationError(
                f"{path_of('fields')} lacks {UTILIZATION_FIELD!r}, which {path_of('how')} = 'piggyback' needs"
            )

    def _machine_type(self, family: ConfigurationSection, key: str) -> str | None:
        """Returns the machine type that a key names by its position in the list; None if it names none."""
        position = family.optional(key, NO_MACHINE_TYPE, int)
        return self.machine_types[position] if 0 <= position < len(self.machine_types) else None

    def _load_source(self) -> str:
        return self.load_report.text("how", LOAD_NOT_REPORTED)

    def _capabilities(
        self, settings: ConfigurationSection, family: ConfigurationSection, limits: ConfigurationSection
    ) -> Capabilities:
        has_health_checks = limits.boolean("probes")
        has_load_in_responses = (
            self._load_source() == LOAD_IN_RESPONSES and UTILIZATION_FIELD in self.load_report_fields
        )
        names_retry_after = limits.boolean("retry_after")
        max_retry_after = limits.integer("max_retry_after_us")
        return Capabilities(
            max_attempts=limits.integer("try_limit", 1, minimum=1),
            pass_through=family.boolean("pass_through_ok"),
            request_collapsing=family.boolean("shares_fills", True),
            siblings=family.text("sideways", NOT_PROVIDED) != NOT_PROVIDED,
            health_checks=has_health_checks,
            cancellation=limits.boolean("cancel"),
            max_retry_after=max_retry_after if names_retry_after else 0,
            discovery_on_request=settings.text("discovery", DISCOVERY_PUSHED) == DISCOVERY_ON_REQUEST,
            load_in_responses=has_load_in_responses and not has_health_checks,
        )

    def _cache_slow_start(
        self, settings: ConfigurationSection, family: ConfigurationSection, rules: ConfigurationSection
    ) -> SlowStart:
        """Returns the slow start of a cache, whose capacity the routers of its zone share."""
        home = settings.text("zone")
        zone_index = self.zones.index(home) if home in self.zones else len(self.zones)
        routers_of_zone = family.list_item("zone_balancers", zone_index, 0, int)
        return SlowStart(
            initial_share=rules.number("cold_from", maximum=1),
            ramp_time=rules.integer("ramp_time_us"),
            overload_factor=_overload_factor(rules),
            window=_overload_window(rules),
            routers=max(1, routers_of_zone or _all_routers(settings)),
        )


def _parent_slow_start(
    settings: ConfigurationSection, family: ConfigurationSection, rules: ConfigurationSection
) -> SlowStart:
    """Returns the slow start of a parent, whose capacity all routers share."""
    return SlowStart(
        initial_share=family.number("parent_floor", maximum=1),
        ramp_time=family.integer("parent_cold_us"),
        overload_factor=family.number("parent_fall_multiple") or _overload_factor(rules),
        window=_overload_window(rules),
        routers=_all_routers(settings),
    )


def _overload_factor(rules: ConfigurationSection) -> float:
    return rules.number("tip_multiple") or 1.0


def _overload_window(rules: ConfigurationSection) -> int:
    return rules.integer("tip_after_us", DEFAULT_OVERLOAD_WINDOW_US, minimum=1)


def _all_routers(settings: ConfigurationSection) -> int:
    return settings.integer("peers_total", 1, minimum=1)


def _traffic_class(category: ConfigurationSection, index: int, family: ConfigurationSection) -> TrafficClass:
    """Builds a traffic class.

    :param index: its position in the settings, which is also that of its values in lists of the family.
    """
    client_timeout = category.integer("deadline_us", minimum=1)
    effect = category.text("effect")
    return TrafficClass(
        name=category.required("name", str),
        idempotency=IDEMPOTENCY_BY_EFFECT.get(effect, Idempotency.NON_IDEMPOTENT),
        priority_weight=category.number("worth"),
        latency_objective=category.integer("aim_us") or client_timeout,
        objective_stretch=category.number("aim_stretch"),
        client_timeout=client_timeout,
        late_value_share=category.number("late_share"),
        deduplication_scope=category.text("group", "cell"),
        deduplication_window=category.integer("window_us"),
        max_age=family.list_item("good_for_us", index, 0, int),
        stale_grace=family.list_item("grace_for_us", index, 0, int),
        stale_value_share=float(family.list_item("class_stale_worth", index, 0.0, *NUMBER_TYPES)),
        uncacheable=family.list_item("never_kept", index, False, bool),
    )
