"""Reads and checks the configuration of one router process, and applies defaults.

The platform writes it as a JSON file that ``NODE_CONFIG`` names; ``NODE_NAME`` and ``NODE_LISTEN`` override
values of the file.  The keys are the platform's, and are translated to the router's names here.  Unknown keys
are ignored.
"""

from collections.abc import Mapping
from typing import Any

import orjson

from quartzrouter.configuration_section import ConfigurationError, ConfigurationSection, parse_address
from quartzrouter.deployment_settings import BYTES_PER_KB, DeploymentSettings

DEFAULT_MAX_DESCRIPTORS = 1024
MIN_DESCRIPTORS = 64  # with fewer, the process's own descriptors would leave none for clients
DEFAULT_MEMORY_MB = 192
MB_SHIFT = 20


class Configuration:
    """The configuration of one router process.

    :param values: the parsed JSON.
    :param environ: environment variables.
    :param needs_discovery: True if the address of a discovery service is required.
    :raises ConfigurationError: if the configuration is invalid.

    Attributes: ``discovery_address`` is None if there is no discovery service; ``initial_entries`` are its
    events up to ``initial_sequence``, which the platform supplies at start; ``max_descriptors`` and
    ``memory_limit`` (bytes) limit the process; ``restart_only`` holds the values that a reload can't change.
    """

    RESTART_ONLY_KEYS = ("listen", "limits", "settings")

    def __init__(self, values: Any, environ: Mapping[str, str], needs_discovery: bool = True):
        section = ConfigurationSection(values)
        self.name = environ.get("NODE_NAME") or section.text("name", "?")
        self.listen_address = _listen_address(section, environ)
        self.discovery_address = _discovery_address(section, needs_discovery)
        self.restart_only = {key: section.values.get(key) for key in self.RESTART_ONLY_KEYS}
        self.seed = _seed(section)
        limits = section.subsection("limits")
        self.max_descriptors = limits.optional(
            "sockets", DEFAULT_MAX_DESCRIPTORS, int, minimum=MIN_DESCRIPTORS
        )
        self.memory_limit = limits.optional("memory_mb", DEFAULT_MEMORY_MB, int, minimum=1) << MB_SHIFT
        known = section.subsection("known")
        self.initial_sequence = known.integer("pos")
        self.initial_entries = known.subsections("entries")
        self.settings = _deployment_settings(section, self.seed)


def _listen_address(section: ConfigurationSection, environ: Mapping[str, str]) -> tuple[str, int]:
    from_environment = environ.get("NODE_LISTEN")
    if from_environment:
        return parse_address(from_environment, "NODE_LISTEN")
    return parse_address(section.required("listen", str), "listen")


def _discovery_address(section: ConfigurationSection, is_needed: bool) -> tuple[str, int] | None:
    if not is_needed and not section.values.get("journal"):
        return None
    return parse_address(section.required("journal", str), "journal")


def _seed(section: ConfigurationSection) -> int:
    digits = section.required("seed", str)
    try:
        return int(digits, 16)
    except ValueError:
        raise ConfigurationError(f"seed is {digits!r:.60}") from None


def _deployment_settings(section: ConfigurationSection, seed: int) -> DeploymentSettings:
    settings = DeploymentSettings(section.required("settings", dict), seed)
    settings.check_load_report()
    # The transfer rate between real machines; the rate in the settings is that of the simulator.
    bytes_per_second = section.number("flow_bytes_per_s")
    if bytes_per_second:
        settings.router_arguments["transfer_rate"] = bytes_per_second / BYTES_PER_KB
    if not settings.traffic_classes:
        raise ConfigurationError("settings.categories is empty")
    return settings


def read_configuration(environ: Mapping[str, str]) -> Any:
    """Returns the parsed JSON of the file that ``NODE_CONFIG`` names.

    :raises ConfigurationError: if no file is named, or it can't be read.
    """
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
