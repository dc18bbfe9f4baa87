"""Holds the routers that the simulator has started, calls them for its events, and returns their actions."""

import logging
import sys
import traceback
from collections.abc import Callable
from typing import Any, BinaryIO

from quartzrouter.configuration_section import ConfigurationError
from quartzrouter.deployment_settings import DeploymentSettings
from quartzrouter.drill import wire
from quartzrouter.drill.events import (
    AttemptEnded,
    ClientGone,
    EndpointListReceived,
    EndpointListRefused,
    HealthCheckDone,
    ObjectsPurged,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from quartzrouter.routing import LOGGER_NAME
from quartzrouter.routing.driver import RouterDriver
from quartzrouter.routing.model import Forward
from quartzrouter.routing.router import Router


class LogCapture(logging.Handler):
    """Collects the log lines of the routing package while an instance is called."""

    def __init__(self) -> None:
        super().__init__(logging.INFO)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Collects one line."""
        self.lines.append(record.getMessage())


class RouterInstance(RouterDriver):
    """One router in the simulator; collects its decisions as actions."""

    def __init__(self, settings: DeploymentSettings):
        super().__init__(Router(**settings.router_arguments))
        self.settings = settings
        self.actions: list[dict[str, Any]] = []

    def handle(self, raw_event: dict[str, Any], now: int) -> None:
        """Decodes an event and passes it to the router; an event of an unknown kind is ignored.

        :raises MalformedEventError: if it can't be decoded.
        """
        match wire.decode_event(raw_event, self.settings):
            case EndpointListReceived(endpoints, is_snapshot):
                self.router.update_endpoints(endpoints, is_snapshot, now)
            case EndpointListRefused():
                self.router.endpoint_list_failed(now)
            case RequestReceived(request):
                self.accept_request(request, now)
            case ResponseStarted(request_id):
                self.router.response_started(request_id)
            case AttemptEnded(request_id, result):
                self.record_result(request_id, result, now)
            case ClientGone(request_id):
                self.cancel_request(request_id, now)
            case ObjectsPurged(tag, object_key, age):
                self.router.record_purge(tag, object_key, age, now)
            case HealthCheckDone(endpoint, status):
                self.router.record_health_check(endpoint, status, now)
            case TimerFired(number):
                self.resume_deferred(number, now)

    def forward(self, request_id: int, decision: Forward, now: int) -> None:
        """Adds the action that forwards a request."""
        self.actions.append(wire.forward(request_id, decision))

    def cancel_attempt(self, request_id: int, attempt_number: int, now: int) -> None:
        """Adds the action that cancels an attempt."""
        self.actions.append(wire.cancel_attempt(request_id, attempt_number))

    def reject(self, request_id: int, retry_after: int) -> None:
        """Adds the action that rejects a request for lack of capacity."""
        self.actions.append(wire.reject(request_id, retry_after))

    def fail(self, request_id: int) -> None:
        """Adds the action that reports a request as failed."""
        self.actions.append(wire.fail(request_id))

    def start_health_check(self, endpoint: str, timeout: int) -> None:
        """Adds the action that starts a health check, for which the simulator uses a timeout of its own."""
        self.actions.append(wire.start_health_check(endpoint))

    def subscribe_to_endpoints(self) -> None:
        """Adds the action that asks for the endpoint list and its changes."""
        self.actions.append(wire.subscribe_to_endpoints())

    def set_timer(self, due: int, now: int, number: int) -> None:
        """Adds the action that sets a timer."""
        self.actions.append(wire.set_timer(due - now, number))


class SimulatorHost:
    """The routers of one process, by the names that the simulator gives them."""

    def __init__(self) -> None:
        self.instances: dict[str, RouterInstance] = {}
        self.log_capture = LogCapture()
        decisions_log = logging.getLogger(LOGGER_NAME)
        decisions_log.addHandler(self.log_capture)
        decisions_log.setLevel(logging.INFO)
        decisions_log.propagate = False

    def process_batch(self, now: int, events: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Handles the events of a batch, then runs maintenance on each router that had an event.

        :returns: the actions that answer the batch, in order.
        :raises MalformedEventError: if an event or the settings of a router are invalid.
        """
        actions: list[dict[str, Any]] = []
        called: dict[str, None] = {}  # routers in the order of their first event
        for event in events:
            name = wire.event_router(event)
            kind = wire.event_kind(event)
            try:
                if kind == wire.OPEN_INSTANCE:
                    self.instances[name] = RouterInstance(wire.instance_settings(event))
                elif kind == wire.STOP:
                    self.instances.pop(name, None)
                    called.pop(name, None)
                if instance := self.instances.get(name):
                    called[name] = None
                    actions += self._call(name, instance.handle, event, now)
            except (wire.MalformedEventError, ConfigurationError) as error:
                raise wire.MalformedEventError(f"{kind}: {error}") from None
        for name in called:
            actions += self._call(name, self.instances[name].run_maintenance, now)
        return actions

    def _call(self, name: str, method: Callable[..., None], *arguments: Any) -> list[dict[str, Any]]:
        """Calls a method of an instance; returns the resulting actions, with log lines as actions."""
        instance = self.instances[name]
        try:
            method(*arguments)
        except (wire.MalformedEventError, ConfigurationError):
            raise
        except Exception as error:  # an error in one router stops neither the other routers nor the run
            traceback.print_exc(file=sys.stderr)
            instance.actions.append(wire.internal_error(error))
        instance.actions += [wire.log_line(line) for line in self.log_capture.lines]
        self.log_capture.lines.clear()
        actions = [wire.with_router(action, name) for action in instance.actions]
        instance.actions.clear()
        return actions


def main(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers batches until the input ends.

    :returns: the exit status: 1 if the input is invalid, with one line on standard error; else 0.
    """
    host = SimulatorHost()
    batches = wire.BatchReader(source)
    try:
        for batch in batches:
            actions = host.process_batch(batch.now, batch.events)
            sink.write(wire.encode_batch(actions, batch.serial))
            sink.flush()
    except wire.MalformedEventError as error:
        serial = "?" if batches.serial is None else batches.serial
        print(f"quartzrouter: batch {serial}: {error}", file=sys.stderr)
        return 1
    return 0
