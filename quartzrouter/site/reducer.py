"""The reducer under a plan: limits before the decisions, their pool behind them, a new plan as one event.

Where the plan names a ledger of purges, what it says are events as well, and every copy that comes is judged.
"""

import logging
from dataclasses import replace
from typing import NamedTuple

from quartzrouter.force.force import Force
from quartzrouter.force.ruling import vhost_name
from quartzrouter.interface import Effect as Repeats
from quartzrouter.interface import Ending, Req, Sight
from quartzrouter.ledger.link import Hang, Linked, Said, Tell
from quartzrouter.net import answer
from quartzrouter.net.journal import Lines
from quartzrouter.net.reducer import (
    DONE, SAME, Call, Effect, Event, Going, InHand, Over, Reducer, Reply,
)  # fmt: skip
from quartzrouter.plan.model import Plan
from quartzrouter.purges.follower import Apply, End, Follower, Say
from quartzrouter.purges import words
from quartzrouter.purges.words import Asks, Caught, Grants, Judged, Sights
from quartzrouter.sharing.budget import Refusal
from quartzrouter.sharing.council import SIGHTS_MOST, heeded


log = logging.getLogger("quartzrouter.control")  # what changes the decisions is told where they are

NAMED = 5  # witnesses in a line
REFUSED_MOST = 64  # kept until they are told of


class NewPlan(NamedTuple):
    """SIGHUP, and a plan that can be used; with the caches that it lists, where no journal tells of them."""

    plan: Plan
    lines: Lines | None


class TellSights(NamedTuple):
    """Time to tell others what has been seen of caches.

    :param failures: only where one has failed since the last word.
    """

    failures: bool = False


class AskShares(NamedTuple):
    """Time to see which shares are to be asked for."""


class PlannedReducer(Reducer):
    """:param follower: reads what a ledger of purges says, where there is one."""

    def __init__(self, force: Force, follower: Follower | None = None):
        super().__init__(force)
        self.force, self.follower = force, follower
        self.denied: dict[str, int] = {}  # reqs turned away before a dispatch, by limit
        self.seen: dict[str, Sight] = {}  # as last told to others
        self.hearsay: dict[str, int] = {}  # caches that are left out by others' word, and until when
        self.refused: dict[str, Refusal] = {}  # asks for shares that were not obeyed, until told

    def step(
        self, event: Event | NewPlan | Linked | Said | AskShares | TellSights, now: int
    ) -> list[Effect | Tell | Hang]:
        match event:
            case AskShares():
                return self._asks(now)
            case TellSights(failures):
                return self._sights(now, failures)
            case Linked():
                return [Tell(self.follower.begin(now))]
            case Said(said):
                return self._said(said, now)
            case NewPlan(plan, lines):
                self.force.replace(plan, now)
                self.denied = {name: n for name, n in self.denied.items() if name in plan.limits}
                return super().step(lines or event, now)
        return super().step(event, now)

    def _said(self, said, now: int) -> list[Tell | Hang]:
        effects, fleet = [], self.force.fleet
        for given in self.follower.take(said, now):
            match given:
                case Apply():
                    fleet.apply(given, self.follower.held, now)
                    self._outdated(given, now)
                case Caught(caches):
                    fleet.caught = caches
                case Grants():
                    self._granted(given)
                case Judged(judgements, loads):
                    self._judged(judgements, now)
                    if loads is not None:
                        own = {name: sight.in_hand for name, sight in self.seen.items()}
                        self.force.loads(loads, own, now)
                case Say(told):
                    effects.append(Tell(told))
                case End(reason, come_back):
                    effects.append(Hang(reason, come_back))
        return effects

    def _asks(self, now: int) -> list[Tell]:
        if not (self.follower and self.follower.grants):
            return []
        asks, parts = self.force.shares.asks(), self.force.parts
        colds = parts.asks(self.force.cold(now)) if parts and parts.terms else ()
        return [Tell(Asks(asks, colds))] if asks or colds else []

    def _sights(self, now: int, failures: bool) -> list[Tell]:
        """What this router has seen itself since it last told."""
        if not (self.follower and self.follower.judges):
            return []
        seen = self.force.sights(now)
        if failures and not any(new.failed > self.seen.get(name, new).failed for name, new in seen.items()):
            return []
        before, self.seen = self.seen, seen
        said = []
        for name, new in self.seen.items():
            old = before.get(name) or replace(new, done=0, failed=0, in_hand=0)
            good, bad = max(0, new.done - old.done), max(0, new.failed - old.failed)
            begun = max(0, good + bad + new.in_hand - old.in_hand)
            if new.out or good or bad or new.in_hand:
                said.append(words.Sight(name, new.out, good, bad, new.in_hand, begun))
        told = (self.force.arguments["home"], tuple(said[:SIGHTS_MOST]), len(self.seen))
        return [Tell(Sights(*told, self.force.plan.deployment["counts"]))]

    def _judged(self, judgements: tuple[words.Judgement, ...], now: int) -> None:
        """Leaves caches out for as long as others say, as few as may be; each ends by itself."""
        until = heeded(judgements, len(self.force.sights(now)), now)
        for cache in until.keys() - self.hearsay.keys():
            by = next(each.by for each in judgements if each.cache == cache)
            log.info("%s is left out by the word of %s", cache, ", ".join(by[:NAMED]))
        self.hearsay = until
        self.force.left_out(until, now)

    def _granted(self, said: Grants) -> None:
        self.force.shares.granted(said.grants)
        if self.force.parts:
            self.force.parts.granted(said.colds)
        for budget, refusal in said.refused.items():
            self.refused[budget] = refusal
            while len(self.refused) > REFUSED_MOST:
                del self.refused[next(iter(self.refused))]

    def _outdated(self, news: Apply, now: int) -> None:
        """Dispatches decided before a purge that are not written yet are decided anew; the rest is judged."""
        for hand in self.hands.values() if news.purges else ():
            if hand.going and not hand.going.ready and not hand.call.ruling.vhost.never_kept:
                hand.going.stale |= self.force.bound_now(hand.call.ruling, hand.going.answer, now)

    def _over(self, ticket: int, going: Going, event: Over, now: int) -> None:
        call, head = self.hands[ticket].call, going.head
        brings = event.failure is None and head.status in (DONE, SAME)
        if brings and not self.force.good(call.ruling, going.answer, head.copy, going.since):
            again = call.ruling.vhost.effect is Repeats.REPLAYABLE
            self._end(ticket, going, Ending.UNSENT if again else Ending.CUT, now, drop=False)
        else:
            super()._over(ticket, going, event, now)

    def _came(self, ticket: int, call: Call, now: int) -> None:
        denied = self.force.admit(ticket, call.ruling, now)
        if self.force.shares and self.force.shares.fresh:
            self.effects += self._asks(now)  # a budget that nothing is held of waits for no timer
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
            waited=call.waited,
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
