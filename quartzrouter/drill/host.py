"""Hosts the instances: events become calls, results become actions; keeps timers and the reqs in hand."""

import logging
import sys
import traceback
from typing import Any, BinaryIO

import orjson

from quartzrouter import control
from quartzrouter.drill import wire
from quartzrouter.interface import Abort, Answer, Deny, Dispatch, Hold, Req

ASK_WAIT = 0  # the tag of the timer for wait(); reqs on hold have tags from 1


class Notes(logging.Handler):
    """The module's log lines, for the report of the instance that is being called."""

    def __init__(self) -> None:
        super().__init__(logging.INFO)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record.getMessage())


class Instance:
    def __init__(self, event: dict[str, Any]):
        self.setup = wire.Setup(event)
        self.router = control.Router(**self.setup.arguments)
        self.reqs: dict[int, Req] = {}
        self.held: dict[int, int] = {}  # timer tag: req id
        self.tags = ASK_WAIT
        self.wait_due: int | None = None
        self.actions: list[dict[str, Any]] = []

    def act(self, **action: Any) -> None:
        self.actions.append(action)

    def timer(self, time: int, tag: int) -> None:
        self.act(t="WAKE_AT", wait_us=time, tag=tag)

    def answer(self, req_id: int, answer: Answer | None) -> None:
        match answer:
            case Dispatch():
                self.actions.append(wire.dispatch(req_id, answer))
            case Hold(ask_again=time):
                self.tags += 1
                self.held[self.tags] = req_id
                self.timer(time, self.tags)
            case Deny(come_back=time):
                self.reqs.pop(req_id, None)
                self.act(t="REJECT", op_id=req_id, stay_away_us=time)
            case Abort():
                self.reqs.pop(req_id, None)
                self.act(t="REPORT_FAILURE", op_id=req_id)

    def take(self, event: dict[str, Any], now: int) -> None:
        handler = getattr(self, "on_" + event["t"].lower(), None)
        if handler is not None:
            handler(event, now)

    def on_directory_update(self, event: dict[str, Any], now: int) -> None:
        how = wire.need(event, "how", str)
        if how == "refused":
            self.router.list_failed(now)
        else:
            lines = [self.setup.listed(entry) for entry in wire.need(event, "nodes_list", list)]
            self.router.heard(lines, how != "changes", now)

    def on_demand(self, event: dict[str, Any], now: int) -> None:
        req = wire.req(event)
        self.reqs[req.id] = req
        self.answer(req.id, self.router.route(req, now))

    def on_answer(self, event: dict[str, Any], now: int) -> None:
        req_id, outcome = wire.need(event, "op_id", int), wire.outcome(event)
        answer = self.router.after(req_id, outcome, now)
        if outcome.over:
            self.reqs.pop(req_id, None)
        self.answer(req_id, answer)

    def on_begun(self, event: dict[str, Any], now: int) -> None:
        self.router.begun(wire.need(event, "op_id", int))

    def on_dropped(self, event: dict[str, Any], now: int) -> None:
        req_id = wire.need(event, "op_id", int)
        self.reqs.pop(req_id, None)
        hop = self.router.left(req_id)
        if hop is not None:
            self.act(t="CALL_OFF", op_id=req_id, hop=hop)

    def on_superseded(self, event: dict[str, Any], now: int) -> None:
        self.router.purged(
            event.get("group"), event.get("object") or None, wire.need(event, "oldness_us", int), now
        )

    def on_probe_done(self, event: dict[str, Any], now: int) -> None:
        name, ending = wire.need(event, "cache", str), wire.ending(event)
        self.router.probed(name, ending, self.setup.report(event.get("load")), now)

    def on_fired(self, event: dict[str, Any], now: int) -> None:
        tag = wire.need(event, "tag", int)
        req = self.reqs.get(self.held.pop(tag, -1))
        if req is not None:
            self.answer(req.id, self.router.route(req, now))

    def finish(self, now: int) -> None:
        """Asks how long to wait, once in a batch, and keeps one timer for it."""
        wait = self.router.wait(now)
        for name in wait.probes:
            self.act(t="HEALTH_CHECK", cache=name)
        if wait.subscribe:
            self.act(t="KEEP_INFORMED", on=True)
        if self.wait_due is None or self.wait_due <= now or now + wait.time < self.wait_due:
            self.wait_due = now + wait.time
            self.timer(wait.time, ASK_WAIT)


class Host:
    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.notes = Notes()
        control.log.addHandler(self.notes)
        control.log.setLevel(logging.INFO)
        control.log.propagate = False

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
                    self._call(router, replies, "take", event, now)
            except wire.Malformed as error:
                raise wire.Malformed(f"{event['t']}: {error}") from None
        for router in touched:
            self._call(router, replies, "finish", now)
        return replies

    def _call(self, router: str, replies: list[dict[str, Any]], what: str, *arguments: Any) -> None:
        instance = self.instances[router]
        try:
            getattr(instance, what)(*arguments)
        except wire.Malformed:
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
                raise wire.Malformed(f"a line is not JSON: {error}") from None
            kind = message.get("t") if isinstance(message, dict) else None
            if not isinstance(kind, str):
                raise wire.Malformed("a line has no t")
            if kind == "CLOCK":
                if serial is not None:
                    raise wire.Malformed("CLOCK inside a batch: its GO is missing")
                serial, now = wire.need(message, "serial", int), wire.need(message, "sim_time_us", int)
            elif serial is None:
                raise wire.Malformed(f"{kind} outside a batch: its CLOCK is missing")
            elif kind == "GO":
                actions = host.play(now, events)
                actions.append({"t": "FINISHED", "serial": serial})
                sink.write(b"".join(orjson.dumps(action) + b"\n" for action in actions))
                sink.flush()
                serial, events = None, []
            else:
                events.append(message)
        if serial is not None:
            raise wire.Malformed("input ended inside a batch: its GO is missing")
    except wire.Malformed as error:
        print(f"quartzrouter: batch {serial if serial is not None else '?'}: {error}", file=sys.stderr)
        return 1
    return 0
