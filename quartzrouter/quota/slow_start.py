"""What all routers together may send a server that has just started: parts of it, granted as it is wanted.

A cold server falls over when it is sent more than it can do within a window.  Each router may spend an equal
part of the floors without asking; the rest is granted in parts that run out by themselves.  The granter knows
no server: how much one may be sent now is told with each ask, and the least that anybody tells counts.
"""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from quartzrouter.quota.allocator import level
from quartzrouter.quota.budget import ASKS, QuotaRefusal, S, clock_slack
from quartzrouter.routing.model import SlowStartDemand

SERVERS_MOST = 4_096  # with a pot: those unasked for longest go first, where nothing of theirs is out
HOLDERS_MOST = 4_096  # routers a pot: those unheard for longest go first
LOOKED_AT = 16  # pots, for one of which nothing is out
COLDS_MOST = 512  # in one line
TIME_MOST = 3_600 * S  # us of sending time in one word: more is no figure
NAME_MOST = 64  # characters of a server's name
ASKED_MOST = 64  # asks whose answers may still come
HEARD_FOR = 1 * S  # us for which what a router has told of a server counts
WORTH_ASKING = 0.25  # reqs in a window: less is left to the floors
SMOOTH = 0.5  # weight of the last time between two asks in what a router wants


class SlowStartTerms(NamedTuple):
    """Of all servers of one tier, by the plan.

    :param window: us in which a cold server falls over when it is sent too much.
    :param floors: the share of what it may be sent that routers send without asking.
    :param routers: how many there may be.
    :param life: us of what is granted.
    """

    window: int
    floors: float
    routers: int
    life: int

    @property
    def figures(self) -> int:
        """By which two parties see that they speak of the same terms."""
        return crc32(repr(tuple(self)).encode())

    @property
    def span(self) -> int:
        """us in which grants count together: a window, and the life of what is used in it."""
        return self.window + self.life + clock_slack(self.window + self.life)

    @property
    def every(self) -> int:
        """us between two asks."""
        return max(1, self.life // ASKS)

    def ends(self, asked: int) -> int:
        """us of the holder's clock at which a grant ends that was asked for then."""
        return asked + self.life - clock_slack(self.life)


class SlowStartRequest(NamedTuple):
    """A router's word on one server.

    :param tier: whose terms hold.
    :param number: counts the asks of that process from 1.
    :param most: us of sending time that all routers together may spend on it within a window now.
    :param want: us that it would spend in a window, what it had to send elsewhere included.
    :param left: us that it holds and hasn't used.
    :param unit: us of one req: less is of no use.
    :param back: us of grants that have run out here unused, told once.
    """

    server: str
    tier: str
    number: int
    most: int
    want: int
    left: int
    unit: int
    figures: int
    back: int = 0


class SlowStartGrant(NamedTuple):
    """The answer to one ask.

    :param time: us of sending time, on top of what is left of earlier grants.
    """

    server: str
    number: int
    time: int


class SlowStartState(NamedTuple):
    """A cold server as its granter sees it.

    :param granted: us of sending time in the last span.
    :param most: us that all routers may spend on it in a window, floors included.
    :param routers: that have asked lately.
    """

    server: str
    granted: int
    most: int
    routers: int


class GrantRecord(NamedTuple):
    at: int
    name: str
    token: str
    time: int


@dataclass(slots=True)
class LatestDemand:
    """What one router has told last."""

    token: str
    number: int
    heard: int
    want: int
    most: int


@dataclass(slots=True)
class EndpointAccount:
    spent: deque[GrantRecord] = field(default_factory=deque)  # granted within a span, oldest first
    wishes: dict[str, LatestDemand] = field(default_factory=dict)

    def lately(self, since: int) -> int:
        while self.spent and self.spent[0].at <= since:
            self.spent.popleft()
        return sum(each.time for each in self.spent)

    def take_back(self, name: str, token: str, time: int) -> None:
        """What has run out unused was granted first, so the rest counts for longer."""
        for n, each in enumerate(self.spent if time else ()):
            if time and (each.name, each.token) == (name, token):
                back = min(time, each.time)
                self.spent[n], time = each._replace(time=each.time - back), time - back


class SlowStartAllocator:
    """Who grants.

    :param terms: by tier.
    :param now: us of its monotonic clock, at which it begins.  What a granter before it has given may be in
        use for a life, and counts in windows that end later: nothing is granted until then.
    """

    def __init__(self, terms: dict[str, SlowStartTerms], now: int):
        self.terms = dict(terms)
        self.pots: dict[str, EndpointAccount] = {}  # the one asked for last at the end
        self.from_ = {tier: now + each.span for tier, each in terms.items()}
        self.refused = 0  # asks that were not obeyed

    def replace(self, terms: dict[str, SlowStartTerms], now: int) -> None:
        """A new plan: what changes waits until all that was granted before is over."""
        for tier, new in terms.items():
            old = self.terms.get(tier)
            if old != new:
                longest = max(new.span, old.span if old else 0)
                self.from_[tier] = max(self.from_.get(tier, 0), now + longest)
        self.terms = dict(terms)

    def ask(self, said: SlowStartRequest, name: str, token: str, now: int) -> SlowStartGrant | QuotaRefusal:
        """Grants what is free for one ask.

        :param name: of the router, and `token` of its process, as its connection shows them.
        :param now: us; the caller has just made sure that no other granter has begun.
        """
        found = self._refusal(said)
        pot = None if found else self._pot(said.server, now)
        if pot is None:
            self.refused += 1
            return found or QuotaRefusal(
                "server", f"{SERVERS_MOST} servers are cold", "nothing: they get warm"
            )
        known = pot.wishes.pop(name, None)
        if known and known.token == token and said.number <= known.number:
            pot.wishes[name] = known
            self.refused += 1
            return QuotaRefusal("number", f"ask {said.number} after {known.number}", "nothing: a late word")
        if len(pot.wishes) >= HOLDERS_MOST:
            del pot.wishes[next(iter(pot.wishes))]
        pot.take_back(name, token, said.back)
        pot.wishes[name] = LatestDemand(token, said.number, now, said.want, said.most)
        time = self._time(pot, said, name, now)
        if time:
            pot.spent.append(GrantRecord(now, name, token, time))
        return SlowStartGrant(said.server, said.number, time)

    def _refusal(self, said: SlowStartRequest) -> QuotaRefusal | None:
        terms = self.terms.get(said.tier)
        if terms is None:
            return QuotaRefusal("tier", f"no part of cold {said.tier!r:.20}s is shared", "read the plan anew")
        if said.figures != terms.figures:
            return QuotaRefusal("figures", f"cold {said.tier}s have others here", "give both the same plan")
        if not 0 < len(said.server) <= NAME_MOST:
            return QuotaRefusal("server", f"{said.server!r:.60} is no name", "mend the sender")
        for place in ("most", "want", "left", "unit", "back"):
            if not 0 <= (figure := getattr(said, place)) <= TIME_MOST:
                return QuotaRefusal(place, f"{figure} is no time in us", "mend the sender")
        return None

    def _pot(self, server: str, now: int) -> EndpointAccount | None:
        pot = self.pots.pop(server, None)
        if pot is None:
            if len(self.pots) >= SERVERS_MOST and not self._room(now):
                return None
            pot = EndpointAccount()
        self.pots[server] = pot
        return pot

    def _room(self, now: int) -> bool:
        span = max((each.span for each in self.terms.values()), default=0)
        for server in list(self.pots)[:LOOKED_AT]:
            if not self.pots[server].lately(now - span):
                del self.pots[server]
                return True
        return False

    def _time(self, pot: EndpointAccount, said: SlowStartRequest, name: str, now: int) -> int:
        """us for one router: its fair part of a span, or one req where parts are less than that."""
        terms = self.terms[said.tier]
        if now < self.from_[said.tier]:
            return 0
        heard = [each for each in pot.wishes.values() if now - each.heard <= HEARD_FOR]
        whole = (1 - terms.floors) * min(each.most for each in heard)
        free = whole - pot.lately(now - terms.span)
        mine = sum(each.time for each in pot.spent if each.name == name)
        fair = level([float(each.want) for each in heard], whole)
        part = fair - mine if mine else max(float(said.unit), fair)
        given = int(min(part, free, said.want - said.left))
        return given if given >= max(1, said.unit) else 0

    def told(self, now: int) -> list[SlowStartState]:
        """Each server that was asked for lately."""
        span = max((each.span for each in self.terms.values()), default=0)
        found = []
        for server, pot in self.pots.items():
            heard = [each for each in pot.wishes.values() if now - each.heard <= HEARD_FOR]
            if heard:
                most = min(each.most for each in heard)
                found.append(SlowStartState(server, pot.lately(now - span), most, len(heard)))
        return found


class SlowStartAllowance(NamedTuple):
    until: int  # us, own clock
    time: int


@dataclass(slots=True)
class LocalGrant:
    """What one router has of one server."""

    purses: deque[SlowStartAllowance] = field(default_factory=deque)  # by their end
    asked: dict[int, int] = field(default_factory=dict)  # when, by number, for those not yet answered
    want: float = 0.0  # us in a window
    back: int = 0  # us that have run out unused, to be told
    unit: int = 1  # us of one req
    looked: int = 0
    tier: str = ""


class SlowStartClient:
    """A router's side.

    :param terms: by tier.
    :param steady: reads this machine's monotonic clock, us: whoever is stopped may wake behind a grant's end.
    """

    def __init__(self, terms: dict[str, SlowStartTerms], steady: Callable[[], int]):
        self.terms, self.steady = dict(terms), steady
        self.parts: dict[str, LocalGrant] = {}
        self.left: dict[str, int] = {}  # us by server; the decisions take from it, and look() settles that
        self.before: dict[str, int] = {}  # as look() left it
        self.numbers = 0
        self.odd = 0  # grants that were not obeyed

    def look(self) -> None:
        """Before each decision: what has run out is there no more."""
        if self.parts or self.left:
            self._settle()
            self._show(self.steady())

    def _settle(self) -> None:
        """Takes what was used since the last look out of what ends first."""
        for server, before in self.before.items():
            used, part = before - self.left.get(server, 0), self.parts.get(server)
            while used > 0 and part and part.purses:
                first = part.purses.popleft()
                if first.time > used:
                    part.purses.appendleft(SlowStartAllowance(first.until, first.time - used))
                used -= first.time
        self.before = {}

    def _show(self, now: int) -> None:
        self.left.clear()
        for server, part in self.parts.items():
            while part.purses and part.purses[0].until <= now:
                part.back += part.purses.popleft().time
            if part.purses:
                self.left[server] = sum(each.time for each in part.purses)
        self.before = dict(self.left)

    def asks(self, cold: Sequence[SlowStartDemand]) -> tuple[SlowStartRequest, ...]:
        """What to say now of servers that have started lately, as the decisions see them."""
        now, known = self.steady(), {each.endpoint: each for each in cold}
        for server in [server for server in self.parts if server not in known]:
            del self.parts[server]  # it is warm, or gone
        self.look()
        said = []
        for server, each in known.items():
            terms = self.terms.get(each.tier.value)
            if terms is None or (server not in self.parts and not each.demand):
                continue
            part = self.parts.setdefault(server, LocalGrant(looked=now - terms.every, tier=each.tier.value))
            rate = each.demand * terms.window / max(1, now - part.looked)
            part.want = max(float(each.demand), part.want + SMOOTH * (rate - part.want))
            part.looked = now
            part.unit = min(TIME_MOST, each.largest_request or part.unit)
            if part.want < part.unit * WORTH_ASKING and not part.back:
                continue
            want, most = min(TIME_MOST, max(part.unit, int(part.want))), min(TIME_MOST, each.limit)
            self.numbers += 1
            part.asked[self.numbers] = now
            while len(part.asked) > ASKED_MOST:
                del part.asked[next(iter(part.asked))]
            left = self.left.get(server, 0)
            told = (part.tier, self.numbers, most, want, left, part.unit)
            said.append(SlowStartRequest(server, *told, terms.figures, min(TIME_MOST, part.back)))
            part.back = 0
        return tuple(said[:COLDS_MOST])

    def granted(self, grants: Sequence[SlowStartGrant]) -> None:
        """Takes answers in, each once; a word that can't be one is counted and not obeyed."""
        self.look()
        now = self.steady()
        for grant in grants:
            part = self.parts.get(grant.server)
            asked = part.asked.pop(grant.number, None) if part else None
            if asked is None or not 0 <= grant.time <= TIME_MOST:
                self.odd += 1
                continue
            until = self.terms[part.tier].ends(asked)
            if grant.time and until > now:
                part.purses.append(SlowStartAllowance(until, grant.time))
        self._show(now)

    def wait(self) -> int | None:
        """us until it is to be looked whether something is wanted; None: nothing of it is shared."""
        return min((each.every for each in self.terms.values()), default=None)
