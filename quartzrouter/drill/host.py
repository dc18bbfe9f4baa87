"""Hosts the instances: events become calls, results become actions."""

import logging
import sys
import traceback
from typing import Any, BinaryIO

import orjson

from quartzrouter.configuration import ConfigurationError, DeploymentSettings
from quartzrouter.drill import wire
from quartzrouter.routing import LOGGER_NAME
from quartzrouter.routing.driver import RouterDriver
from quartzrouter.routing.model import Forward
from quartzrouter.routing.router import Router


class LogCapture(logging.Handler):
    """The module's log lines, for the report of the instance that is being called."""

    def __init__(self) -> None:
        super().__init__(logging.INFO)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record.getMessage())


class Instance(RouterDriver):
    def __init__(self, event: dict[str, Any]):
        self.briefing = DeploymentSettings(wire.need(event, "setup", dict), wire.need(event, "prng", int))
        super().__init__(Router(**self.briefing.arguments))
        self.actions: list[dict[str, Any]] = []

    def act(self, **action: Any) -> None:
        self.actions.append(action)

    def dispatch(self, req_id: int, answer: Forward, now: int) -> None:
        self.actions.append(wire.dispatch(req_id, answer))

    def call_off(self, req_id: int, hop: int, now: int) -> None:
        self.act(t="CALL_OFF", op_id=req_id, hop=hop)

    def deny(self, req_id: int, come_back: int) -> None:
        self.act(t="REJECT", op_id=req_id, stay_away_us=come_back)

    def abort(self, req_id: int) -> None:
        self.act(t="REPORT_FAILURE", op_id=req_id)

    def probe(self, name: str, timeout: int) -> None:
        self.act(t="HEALTH_CHECK", cache=name)

    def subscribe(self) -> None:
        self.act(t="KEEP_INFORMED", on=True)

    def timer(self, due: int, now: int, tag: int) -> None:
        self.act(t="WAKE_AT", wait_us=due - now, tag=tag)

    def hear(self, event: dict[str, Any], now: int) -> None:
        handler = getattr(self, "on_" + event["t"].lower(), None)
        if handler is not None:
            handler(event, now)

    def on_directory_update(self, event: dict[str, Any], now: int) -> None:
        how = wire.need(event, "how", str)
        if how == "refused":
            self.router.endpoint_list_failed(now)
        else:
            lines = [wire.listed(entry, self.briefing) for entry in wire.need(event, "nodes_list", list)]
            self.router.update_endpoints(lines, how != "changes", now)

    def on_demand(self, event: dict[str, Any], now: int) -> None:
        self.take(wire.request(event), now)

    def on_answer(self, event: dict[str, Any], now: int) -> None:
        self.ended(wire.need(event, "op_id", int), wire.outcome(event, self.briefing.fields), now)

    def on_begun(self, event: dict[str, Any], now: int) -> None:
        self.router.response_started(wire.need(event, "op_id", int))

    def on_dropped(self, event: dict[str, Any], now: int) -> None:
        self.left(wire.need(event, "op_id", int), now)

    def on_superseded(self, event: dict[str, Any], now: int) -> None:
        self.router.record_purge(
            event.get("group"), event.get("object") or None, wire.need(event, "oldness_us", int), now
        )

    def on_probe_done(self, event: dict[str, Any], now: int) -> None:
        name, ending = wire.need(event, "cache", str), wire.ending(event)
        self.router.record_health_check(name, ending, now)

    def on_fired(self, event: dict[str, Any], now: int) -> None:
        self.fired(wire.need(event, "tag", int), now)


class Host:
    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.notes = LogCapture()
        decisions_log = logging.getLogger(LOGGER_NAME)
        decisions_log.addHandler(self.notes)
        decisions_log.setLevel(logging.INFO)
        decisions_log.propagate = False

    def play(self, now: int, events: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """The actions that answer one batch, in order."""
        replies: list[dict[str, Any]] = []
        touched: dict[str, None] = {}
        for event in events:
            router = wire.need(event, "router", str)
            try:
                if event["t"] == "OPEN_INSTANCE":
                    self.instances[router] = Instance(event)
                elif event["t"] == "STOP":
                    self.instances.pop(router, None)
                    touched.pop(router, None)
                if router in self.instances:
                    touched[router] = None
                    self._call(router, replies, "hear", event, now)
            except (wire.MalformedEvent, ConfigurationError) as error:
                raise wire.MalformedEvent(f"{event['t']}: {error}") from None
        for router in touched:
            self._call(router, replies, "ask_wait", now)
        return replies

    def _call(self, router: str, replies: list[dict[str, Any]], what: str, *arguments: Any) -> None:
        instance = self.instances[router]
        try:
            getattr(instance, what)(*arguments)
        except (wire.MalformedEvent, ConfigurationError):
            raise
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            instance.act(t="INTERNAL_ERROR", msg=f"{type(error).__name__}: {error}")
        for line in self.notes.lines:
            instance.act(t="NOTE_DOWN", msg=line)
        self.notes.lines.clear()
        for action in instance.actions:
            replies.append({"t": action.pop("t"), "router": router, **action})
        instance.actions.clear()


def main(source: BinaryIO, sink: BinaryIO) -> int:
    host, serial, now, events = Host(), None, 0, []
    try:
        for line in source:
            if not line.strip():
                continue
            try:
                message = orjson.loads(line)
            except orjson.JSONDecodeError as error:
                raise wire.MalformedEvent(f"a line is not JSON: {error}") from None
            kind = message.get("t") if isinstance(message, dict) else None
            if not isinstance(kind, str):
                raise wire.MalformedEvent("a line has no t")
            if kind == "CLOCK":
                if serial is not None:
                    raise wire.MalformedEvent("CLOCK inside a batch: its GO is missing")
                serial, now = wire.need(message, "serial", int), wire.need(message, "sim_time_us", int)
            elif serial is None:
                raise wire.MalformedEvent(f"{kind} outside a batch: its CLOCK is missing")
            elif kind == "GO":
                actions = host.play(now, events)
                actions.append({"t": "FINISHED", "serial": serial})
                sink.write(b"".join(orjson.dumps(action) + b"\n" for action in actions))
                sink.flush()
                serial, events = None, []
            else:
                events.append(message)
        if serial is not None:
            raise wire.MalformedEvent("input ended inside a batch: its GO is missing")
    except wire.MalformedEvent as error:
        print(f"quartzrouter: batch {serial if serial is not None else '?'}: {error}", file=sys.stderr)
        return 1
    return 0
