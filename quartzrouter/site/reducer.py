"""The reducer under a plan: limits before the decisions, their pool behind them, a new plan as one event."""

from typing import NamedTuple

from quartzrouter.force.force import Force
from quartzrouter.force.ruling import vhost_name
from quartzrouter.interface import Req
from quartzrouter.net import answer
from quartzrouter.net.journal import Lines
from quartzrouter.net.reducer import Call, Effect, Event, InHand, Reducer, Reply
from quartzrouter.plan.model import Plan


class NewPlan(NamedTuple):
    """SIGHUP, and a plan that can be used; with the caches that it lists, where no journal tells of them."""

    plan: Plan
    lines: Lines | None


class PlannedReducer(Reducer):
    def __init__(self, force: Force):
        super().__init__(force)
        self.force = force
        self.denied: dict[str, int] = {}  # reqs turned away before a dispatch, by limit

    def step(self, event: Event | NewPlan, now: int) -> list[Effect]:
        if not isinstance(event, NewPlan):
            return super().step(event, now)
        self.force.replace(event.plan, now)
        self.denied = {name: n for name, n in self.denied.items() if name in event.plan.limits}
        return super().step(event.lines or event, now)

    def _came(self, ticket: int, call: Call, now: int) -> None:
        denied = self.force.admit(ticket, call.ruling, now)
        if denied is not None:
            self.denied[denied.limit] = self.denied.get(denied.limit, 0) + 1
            self.effects.append(Reply(ticket, answer.denied(denied.come_back)))
            return
        super()._came(ticket, call, now)
        if ticket not in self.hands:  # its id is in use, or nothing is taken any more
            self.force.forget(ticket)

    def _req(self, ticket: int, call: Call) -> Req:
        return Req(
            ticket,
            vhost_name(call.ruling.route),
            call.obj.lower(),
            call.group,
            call.part,
            size_kb=0.0,
            timeout=call.timeout,
            tenant=call.ruling.tenant or None,
            dispatches=self.force.dispatches(call.ruling),
        )

    def _kept(self, call: Call) -> bool:
        return not call.ruling.vhost.never_kept  # of the plan it came with

    def _fields(self, call: Call) -> list[tuple[str, str]]:
        return [("X-Path", call.ruling.path)]

    def _left(self, ticket: int, now: int) -> None:
        self.force.release(ticket)
        super()._left(ticket, now)

    def _reply(self, ticket: int, data: bytes) -> None:
        hand: InHand = self.hands[ticket]
        if not hand.gone:
            self.force.release(ticket)
        super()._reply(ticket, data)
