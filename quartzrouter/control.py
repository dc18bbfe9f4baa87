"""Every decision of the router; the values that go in and out are in quartzrouter/interface.py.

One Router per instance.  Ask it three things: route(req, now) where a req goes, after(req, outcome, now)
what follows a dispatch, wait(now) how long until it wants to be asked again.  Tell it what happens: heard()
the cache list, purged(), probed(), begun() a streamed answer, left() a client.  A Hold is asked by route().
"""

import logging
import math
import zlib
from collections import OrderedDict, defaultdict, deque
from dataclasses import replace
from hashlib import blake2b
from itertools import accumulate
from typing import NamedTuple

from quartzrouter.interface import (
    Abort, Answer, ColdStart, Deny, Dispatch, Effect, Ending, Hold, Listed, Outcome, Permits, Req, State,
    Tier, Told, VHost, Wait,
)  # fmt: skip

log = logging.getLogger(__name__)

MS, S = 1_000, 1_000_000  # us
BUSY_AT = 2.5  # reqs outstanding over this router's share of what the link carries: targets leave such room
BUSY_LEAST = 2  # reqs outstanding; one alone says nothing of load
BUSY_AFTER_FULL = 1 * S  # the design's: a refusal speaks of a queue that takes about that long to drain
SOURCE_AFTER_FULL = 250 * MS  # a parent or the origin has no second to take its place: soon tried again
QUIET = 10 * S  # the design's start: a walk length unchanged for so long drops by one
WALKS = 8_192  # entries; the paper asks for far more than there are caches
ORDERS = 16_384  # objects whose hash order is kept; some MB
CROWDED_AT = 32  # reqs naming one parent; most are hits that never reach it
ANSWER_MARGIN = 6 * MS  # final answers come this long before the client timeout: a few batches
REPEAT_MARGIN = 50 * MS  # a repeat is sent this long before its key is forgotten: several network delays
ERRORS_OUT = 3  # errors before a server is judged: fewer are chance
ERROR_SHARE = 0.25  # of its recent answers, and twice what its peers show: an outlier
MARKS_KEPT = 24  # answers; then both marks are halved, so that some seconds count
OUT_FOR = 1 * S  # first ejection; doubled at each relapse
OUT_MOST = 8 * S  # the longest one: shorter than most troubles, so that a return is soon seen
TRUSTED_AFTER = 4  # good answers on trial
PROBE_EVERY = 500 * MS  # of what is out for not being reached: cheap beside the reqs it saves
COLD_SHARE = 0.6  # of a cold budget that is used: sizes clump, and other routers' shares may too
GOLDEN = 0.618034  # numbers times this lie evenly between 0 and 1
FILLS_START, FILLS_LEAST, FILLS_MOST = 16.0, 2.0, 64.0  # known misses that a source fills at once in trouble
FILLS_LATE = 2.0  # late or failed fills that make trouble: fewer are chance
LOOKS = 2  # caches asked for what they hold before a fill, while in trouble: further copies are fewer
FILL_FADE = 1 * S  # such a fill counts half after this time, so that trouble ends soon after its cause
FILL_CUT, FILL_CUT_EVERY = 0.85, 100 * MS  # the limit falls by so much at most so often: a round trip's time
LOAD_KEPT = 8 * S  # half-life of the usual load: some reqs even where a router sees four a second
LOAD_FADE = 2 * S  # half-life of what one answer shows of a cache's load: some sending times
LOAD_TRUST = 0.5  # of what one answer shows: sizes and shares vary while it is sent
PACE_CLEAR = 1.15  # slowed by less, an answer shows only that the link was not full
PACE_SEEN = 100 * MS  # sending time from which an answer's pace says something: several round trips
LOAD_SPREAD = 4.0  # reqs outstanding at a cache that must be exceeded before they outweigh the usual load
ROOM = 0.9  # reqs outstanding over what the location's links carry: above it, more copies only move the load
PACE_MARGIN = 1.4  # more will come while a req is sent
LINK_GUESS = 3.0  # transfers that a link carries where ratings say nothing: a small machine's
PATIENCE = 1.5  # of the target, for an answer: later ones earn little and hold places that others need
HOLD = 50 * MS  # until a held req is asked again: short beside any target
RETRY_RATE, RETRY_BURST = 0.3, 20.0  # further dispatches for each first one, and at once: no storm of ours
BINS, STEP = 36, 1.3  # bins of a histogram, and their growth: finer than the spread of what is measured
MEASURED, FEW = 400, 12  # samples: then bins are halved, some tens of seconds; below, a default stands
EASY = 2.0  # slowed by no more than this, a cache is not to blame for a late answer
LINK_SEEN = 0.8  # quantile of the transfers that a link was seen to carry: most are seen below its limit


class Histogram:
    """A few coarse bins, each STEP wider than the one before, halved from time to time."""

    def __init__(self, first: float):
        self.first, self.bins, self.count = first, [0] * BINS, 0
        self.known: dict[float | None, float] = {}  # quantiles and, under None, the mean, until the next sample

    def add(self, value: float) -> None:
        self.bins[min(BINS - 1, max(0, int(math.log(max(value, self.first) / self.first, STEP))))] += 1
        self.count += 1
        if self.count >= MEASURED:
            self.bins = [n // 2 for n in self.bins]
            self.count = sum(self.bins)
        self.known.clear()

    def mean(self, default: float) -> float:
        if self.count >= FEW and None not in self.known:
            total = sum(n * self.first * STEP ** (at + 0.5) for at, n in enumerate(self.bins) if n)
            self.known[None] = total / self.count
        return self.known.get(None, default)

    def quantile(self, share: float, default: float) -> float:
        if self.count >= FEW and share not in self.known:
            left = accumulate(self.bins)
            at = next(at for at, n in enumerate(left) if n >= self.count * share)
            self.known[share] = self.first * STEP ** (at + 0.5)
        return self.known.get(share, default)


class Roster:
    """The cache list by small indices, and who may be sent to."""

    def __init__(self, home: str):
        self.home = home
        self.index: dict[str, int] = {}
        self.be: list[Listed] = []
        self.started: list[int] = []  # the last known start, listed or seen
        self.peers: dict[Tier, list[int]] = {tier: [] for tier in Tier}  # parents: all listed, an order stays

    def hear(self, lines: list[Listed], whole: bool) -> list[int]:
        """Takes in the list or changes to it; returns what has started anew."""
        fresh, named = [], set()
        for line in lines:
            at = self.index.setdefault(line.name, len(self.be))
            if at == len(self.be):
                self.be, self.started = [*self.be, line], [*self.started, 0]
            elif line.state != self.be[at].state:
                log.info("%s is %s", line.name, line.state.value)
            self.be[at] = line
            if line.started > self.started[at]:
                self.started[at] = line.started
                fresh.append(at)
            named.add(line.name)
        for at, be in enumerate(self.be):
            if whole and be.name not in named:
                self.be[at] = replace(be, state=State.GONE)
        listed = [at for at, be in enumerate(self.be) if be.state != State.GONE]
        for tier in Tier:
            self.peers[tier] = [
                n for n in listed if self.be[n].tier is tier and (tier is Tier.PARENT or self.up(n))
            ]
        self.peers[Tier.CACHE] = [n for n in self.peers[Tier.CACHE] if self.be[n].location == self.home]
        return fresh

    def up(self, at: int) -> bool:
        return self.be[at].state == State.UP


class Walk:
    """The design's pick: hash order, walk-length table, least loaded of the top ones (paper, 3.4.2)."""

    def __init__(self, quiet: int, size: int):
        self.quiet = quiet
        self.table = [(1, 0)] * size  # walk length, last change
        self.orders: OrderedDict[tuple[str, bool], list[int]] = OrderedDict()

    def order(self, obj: str, among: list[int], roster: Roster, parents: bool) -> list[int]:
        if (obj, parents) not in self.orders:
            names = {at: f"{obj}\0{roster.be[at].name}".encode() for at in among}
            heights = {at: blake2b(name, digest_size=8).digest() for at, name in names.items()}
            self.orders[obj, parents] = sorted(among, key=heights.__getitem__, reverse=True)
            if len(self.orders) > ORDERS:
                self.orders.popitem(last=False)
        return self.orders[obj, parents]

    def pick(self, obj: str, order: list[int], load: list[int], busy, now: int) -> int:
        slot = zlib.crc32(obj.encode()) % len(self.table)
        length, changed = self.table[slot]
        best, steps = min(order[:length], key=load.__getitem__), length  # ties go to the higher hash
        if busy(best):
            free = ((n, at) for n, at in enumerate(order, 1) if not busy(at))
            steps, best = next(free, (len(order), order[0]))
        elif length > 1 and now - changed > self.quiet:
            steps = length - 1
        if steps != length:
            self.table[slot] = (steps, now)
        return best


class WarmUp:
    """What cold servers of one tier may be sent: a budget over every window, shared among their routers.

    A share too small for one req is taken in turns: a router has a window to itself now and then, as often
    as the budget allows, at places in the round that are spread evenly by its number.
    """

    def __init__(self, cold: ColdStart, share: float, me: int):
        self.cold, self.share, self.place = cold, share, me * GOLDEN % 1
        self.sent: dict[int, deque[list[int]]] = {}  # per server: when, sending time

    def room(self, at: int, link: float, started: int, weight: int, most: int, now: int) -> bool:
        cold = self.cold
        age = now - started - cold.window  # what it could do when the window began
        if not started or age >= cold.ramp:
            return True
        can = link * (cold.floor + (1 - cold.floor) * max(0, age) / cold.ramp)
        budget = can * cold.multiple * cold.window * self.share / cold.routers
        if 0 < budget < most:
            turn = int((now - started) / cold.window + self.place)
            if (turn * budget / most + self.place) % 1 < budget / most:
                budget = most
        return sum(w for _, w in self.lately(at, now)) + weight <= budget

    def spend(self, at: int, weight: int, now: int) -> list[int]:
        spent = self.lately(at, now)
        spent.append([now, weight])
        return spent[-1]

    def lately(self, at: int, now: int) -> deque[list[int]]:
        spent = self.sent.setdefault(at, deque())
        while spent and spent[0][0] <= now - self.cold.window:
            spent.popleft()
        return spent


class Purges:
    """The oldest copy that will do; bounded, as old copies are gone everywhere after a told time."""

    def __init__(self, life: int):
        self.life = life
        self.at: dict[tuple[int | None, str | None], int] = {}

    def add(self, group: int | None, obj: str | None, when: int, now: int) -> None:
        key = (None, obj) if obj else (group, None)
        self.at[key] = max(when, self.at.get(key, when))
        for old in [key for key, when in self.at.items() if now - when > self.life + S]:
            del self.at[old]

    def oldest(self, group: int | None, obj: str, usual: int, now: int) -> int:
        when = max(self.at.get((None, obj), -1), self.at.get((group, None), -1))
        if when < 0 or now - when > self.life + S:
            return usual
        age = max(1, now - when)  # never 0: on the wire that is the usual age
        return min(age, usual) if usual else age


class Loads:
    """Reqs outstanding at servers: this router's, and what the location's other routers likely have there.

    A router's own reqs are a sample.  Where they are few, one more says little, and the location's usual load
    says more; where they are many, they stand for the others (a gamma prior's mean).  Covers any number of
    routers; could harm when the others' clients want what ours don't: then the usual load is off.
    """

    def __init__(self, routers: int, spread: float, half: int, fade: int):
        self.others, self.spread, self.half, self.fade = routers - 1, spread, half, fade
        self.own: list[int] = []
        self.here, self.usual, self.seen = 0, 0.0, 0  # of the location's caches: now, usually, when
        self.off: dict[int, tuple[float, int]] = {}  # by how much answers showed more or less, when

    def change(self, at: int, by: int, cache: bool, now: int) -> None:
        keep = 0.5 ** ((now - self.seen) / self.half)
        self.usual, self.seen = self.usual * keep + self.here * (1 - keep), now
        self.own[at] += by
        self.here += by * cache

    def all(self, at: int, share: float, now: int) -> float:
        """Of every router, at a cache that carries such a share of the location's load."""
        usual = self.usual * share
        others = self.others * usual * (self.spread + self.own[at]) / (self.spread + usual)
        return self.own[at] + max(0.0, others + self.lately(at, now))

    def shown(self, at: int, share: float, link: float, slowed: float, now: int) -> None:
        """An answer came slowed by so much: at full pace, no more than the link carries can be out."""
        more = link * slowed - self.all(at, share, now)
        if slowed < PACE_CLEAR:
            more = min(0.0, more)
        self.off[at] = (self.lately(at, now) + more * LOAD_TRUST, now)

    def lately(self, at: int, now: int) -> float:
        off, when = self.off.get(at, (0.0, 0))
        return off * 0.5 ** ((now - when) / self.fade)

    def whole(self) -> float:
        return self.here + self.others * self.usual


class Health:
    """Outliers by their own failures, with a way back; busy after a refusal.

    Covers fast errors, dead servers that the list still shows, and stalls that run into time-outs.  Could
    harm when all fail alike: so it is judged against its peers, and at most half are out for errors.
    """

    def __init__(self, chance):
        self.chance = chance
        self.marks: dict[int, list[int]] = {}  # good, bad
        self.out: dict[int, int] = {}  # until when
        self.strikes: dict[int, int] = {}
        self.unreached: dict[int, int] = {}  # when a connection last failed
        self.full: dict[int, int] = {}  # refused lately: until when that counts
        self.probe_at: dict[int, int] = {}

    def good(self, at: int) -> None:
        marks = self.marks.setdefault(at, [0, 0])
        marks[0] += 1
        if self.strikes.get(at) and marks[0] >= TRUSTED_AFTER and marks[0] > 3 * marks[1]:
            del self.strikes[at]
        if sum(marks) >= MARKS_KEPT:
            marks[:] = marks[0] // 2, marks[1] // 2

    def bad(self, at: int, peers: list[int], now: int, name: str, unreached: bool) -> None:
        marks = self.marks.setdefault(at, [0, 0])
        marks[1] += 1
        if unreached:
            self.unreached[at] = now
            self.eject(at, now, name)
            return
        others = [self.marks.get(n, (0, 0)) for n in peers if n != at]
        theirs = sum(bad for _, bad in others) / max(1, sum(sum(m) for m in others))
        due = 1 if self.strikes.get(at) else ERRORS_OUT
        out = sum(self.out.get(n, 0) > now for n in peers)
        outlier = marks[1] >= due and marks[1] / sum(marks) > max(ERROR_SHARE, 2 * theirs)
        if outlier and 2 * (out + 1) <= len(peers):
            self.eject(at, now, name)

    def eject(self, at: int, now: int, name: str) -> None:
        if self.out.get(at, 0) > now:
            return
        times = self.strikes[at] = self.strikes.get(at, 0) + 1
        span = min(OUT_MOST, OUT_FOR << min(times - 1, 6))
        self.out[at] = now + span + self.chance(span // 4)
        self.probe_at[at] = now + PROBE_EVERY
        self.marks[at] = [0, 0]
        log.info("%s is out, for the %d. time in a row", name, times)

    def usable(self, at: int, outstanding: int, now: int) -> bool:
        """Not out; after an ejection one req at a time until one has come back well."""
        tried = not self.strikes.get(at) or outstanding == 0 or self.marks[at][0] > 0
        return tried and self.out.get(at, 0) <= now

    def probed(self, at: int, well: bool, now: int) -> bool:
        """A server that was not reached answers again: it is tried at once."""
        back = well and self.out.get(at, 0) > now and at in self.unreached
        if back:
            self.out[at] = now
        return back

    def due(self, now: int) -> list[int]:
        found = [n for n, at in self.probe_at.items() if at <= now and self.out.get(n, 0) > now]
        for n in found:
            self.probe_at[n] = now + PROBE_EVERY
        return found


class Sources:
    """Where a miss is filled from: the first parent in the object's order that will do, then the origin."""

    def __init__(self, crowded_at: int):
        self.crowded_at = crowded_at

    def pick(self, parents: list[int], origins: list[int], naming: list[int], usable, room) -> int | None:
        well = [at for at in parents if usable(at)]
        if well:  # the origin serves when none is up, not when all are crowded
            return next((at for at in well if naming[at] < self.crowded_at and room(at)), None)
        return next((at for at in origins if usable(at) and room(at)), None)


class Fills:
    """The way that fills take: the location's link, parents, origin.  While it is in trouble, caches are
    asked for what they hold first, and a source fills only so much of what they lack as comes in time.

    Covers a slow, refusing or lost source and a full link: hits stay served.  Could harm when late fills
    are chance: so trouble takes several and fades in a second or two.
    """

    def __init__(self, start: float, least: float, most: float):
        self.least, self.most, self.bad, self.since = least, most, 0.0, 0
        self.limit: dict[int, float] = defaultdict(lambda: start)  # by source, as are the next two
        self.out: dict[int, int] = defaultdict(int)
        self.cut: dict[int, int] = defaultdict(int)

    def lately(self, now: int) -> float:
        return self.bad * 0.5 ** ((now - self.since) / FILL_FADE)

    def troubled(self, now: int) -> bool:
        return self.lately(now) >= FILLS_LATE

    def room(self, source: int) -> bool:
        return self.out[source] < self.limit[source]

    def failed(self, source: int, now: int) -> None:
        self.bad, self.since = min(4 * FILLS_LATE, self.lately(now) + 1), now
        if now >= self.cut[source]:
            self.limit[source] = max(self.least, self.limit[source] * FILL_CUT)
            self.cut[source] = now + FILL_CUT_EVERY

    def came(self, source: int) -> None:
        self.limit[source] = min(self.most, self.limit[source] + 1 / self.limit[source])


class Sent(NamedTuple):
    """A dispatch that is out."""

    be: int
    source: int
    at: int
    cold: list[int] | None  # the source's cold budget
    shared: float  # how many others it was expected to share the cache's link with
    miss: bool  # the cache is known to lack the object


class Flight:
    """A req in hand."""

    def __init__(self, req: Req, vhost: VHost | None, now: int):
        self.req, self.vhost, self.came = req, vhost, now
        self.deadline = now + req.timeout - ANSWER_MARGIN
        self.hops = self.rank = 0
        self.over = self.streaming = False
        self.out: dict[int, Sent] = {}
        self.lacking: set[int] = set()  # caches that were asked for what they hold, and hold nothing
        self.avoid: set[int] = set()  # what has failed this req
        self.ran: tuple[int, Listed] | None = None  # the first dispatch that may have run: when, where


class Retries:
    """Whether a req may be dispatched, or denied: effect, window, attempts and a budget."""

    def __init__(self, most: int, rate: float, burst: float):
        self.most, self.rate, self.burst, self.tokens = most, rate, burst, burst

    @staticmethod
    def bound(flight: Flight) -> bool:
        """It may have run, and may not simply run again."""
        return flight.ran is not None and flight.vhost.effect is not Effect.REPLAYABLE

    def may_send(self, flight: Flight, now: int) -> bool:
        if (
            flight.over
            or flight.streaming
            or flight.out
            or flight.hops >= self.most
            or now >= flight.deadline
        ):
            return False
        if not self.bound(flight):
            return True
        left = flight.ran[0] + flight.vhost.repeats_for - REPEAT_MARGIN - now
        return flight.vhost.effect is Effect.UNIQUED and left > 0

    def may_reach(self, flight: Flight, be: Listed) -> bool:
        if not self.bound(flight) or flight.vhost.repeats_within == "all":
            return True
        near = be.location == flight.ran[1].location
        return near and (flight.vhost.repeats_within == "zone" or be.cell == flight.ran[1].cell)

    def may_deny(self, flight: Flight) -> bool:
        known = flight.vhost.effect is Effect.UNIQUED and flight.vhost.repeats_within == "all"
        return known or not self.bound(flight)

    def pay(self, flight: Flight) -> bool:
        if not flight.hops:
            self.tokens = min(self.burst, self.tokens + self.rate)
        elif self.tokens < 1:
            return False
        else:
            self.tokens -= 1
        return True


class Router:
    def __init__(
        self, me: int, seed: int, home: str, vhosts: list[VHost], permits: Permits, cold_cache: ColdStart,
        cold_parent: ColdStart, purge_life: int, pace: float, rated: bool,
    ):  # fmt: skip
        self.me, self.seed, self.draws = me, seed, 0
        self.permits, self.pace, self.rated = permits, pace, rated
        self.vhosts = {vhost.name: vhost for vhost in vhosts}
        self.sending = {vhost.name: Histogram(4 * MS) for vhost in vhosts}
        self.links: dict[str, Histogram] = {}  # by kind: transfers that a cache's link was seen to carry
        self.roster = Roster(home)
        self.walk = Walk(QUIET, WALKS)
        self.sources = Sources(CROWDED_AT)
        self.warm = {Tier.CACHE: WarmUp(cold_cache, COLD_SHARE, me), Tier.PARENT: WarmUp(cold_parent, COLD_SHARE, me)}
        self.purges = Purges(purge_life)
        self.health = Health(self._chance)
        self.fills = Fills(FILLS_START, FILLS_LEAST, FILLS_MOST)
        self.retries = Retries(permits.dispatches, RETRY_RATE, RETRY_BURST)
        self.flights: dict[int, Flight] = {}
        self.loads = Loads(cold_cache.routers, LOAD_SPREAD, LOAD_KEPT, LOAD_FADE)
        self.naming: list[int] = []  # of those to others, how many name it as source
        self.seen: tuple[set, set] = (set(), set())  # objects asked for lately, and before that
        self.subscribe_at = 0 if permits.subscribe else None

    def heard(self, lines: list[Listed], whole: bool, now: int) -> None:
        for at in self.roster.hear(lines, whole):
            self.health.strikes.pop(at, None)
            self.health.out.pop(at, None)
        self.loads.own += [0] * (len(self.roster.be) - len(self.loads.own))
        self.naming += [0] * (len(self.roster.be) - len(self.naming))
        self.walk.orders.clear()

    def list_failed(self, now: int) -> None:
        if self.permits.subscribe:
            self.subscribe_at = now + S + self._chance(S)

    def purged(self, group: int | None, obj: str | None, age: int, now: int) -> None:
        self.purges.add(group, obj, now - age, now)

    def probed(self, name: str, well: bool, report: dict[str, float], now: int) -> None:
        at = self.roster.index.get(name)
        if at is not None and self.health.probed(at, well, now):
            self.roster.started[at] = max(self.roster.started[at], self.health.unreached.pop(at))
            log.info("%s answers again and is taken for cold", name)

    def begun(self, req_id: int) -> None:
        if req_id in self.flights:
            self.flights[req_id].streaming = True

    def left(self, req_id: int) -> int | None:
        """The client has gone; returns the hop to call off, if any."""
        flight = self.flights.get(req_id)
        if flight is None or flight.over:
            return None
        self._end(flight)
        return next(iter(flight.out), None) if self.permits.call_off and not flight.streaming else None

    def route(self, req: Req, now: int) -> Answer | None:
        flight = self.flights.get(req.id)
        if flight is None:
            flight = self.flights[req.id] = Flight(req, self.vhosts.get(req.vhost), now)
            flight.rank = self._rank(req) if flight.vhost and not flight.vhost.never_kept else 0
            if flight.vhost and req.size_kb and self.pace:
                self.sending[req.vhost].add(req.size_kb / self.pace * S)
        return None if flight.over or flight.out else self._next(flight, now)

    def after(self, req_id: int, outcome: Outcome, now: int) -> Answer | None:
        flight = self.flights.get(req_id)
        if flight is None or outcome.hop not in flight.out:
            return None
        sent = flight.out.pop(outcome.hop)
        self.loads.change(sent.be, -1, self.roster.be[sent.be].tier is Tier.CACHE, now)
        self.naming[sent.source] -= sent.source != sent.be
        self.fills.out[sent.source] -= sent.miss
        self._measure(flight, sent, outcome, now)
        self._judge(flight, sent, outcome, now)
        if not outcome.ending.never_ran and flight.ran is None:
            flight.ran = (sent.at, self.roster.be[sent.be])
        if flight.over or outcome.over or outcome.ending is Ending.DONE:
            self._end(flight)
            return None
        return self._next(flight, now)

    def wait(self, now: int) -> Wait:
        probes = self.health.due(now) if self.permits.probes else []
        subscribe = self.subscribe_at is not None and self.subscribe_at <= now
        self.subscribe_at = None if subscribe else self.subscribe_at
        return Wait(PROBE_EVERY // 2, tuple(self.roster.be[at].name for at in probes), subscribe)

    def _next(self, flight: Flight, now: int) -> Answer:
        if flight.vhost is None or not self.retries.may_send(flight, now):
            return self._give_up(flight)
        roster, kept, weight = self.roster, not flight.vhost.never_kept, self._weight(flight.vhost)
        parents = self.walk.order(flight.req.obj, roster.peers[Tier.PARENT], roster, True) if kept else []
        parents = [at for at in parents if roster.up(at) and at not in flight.avoid]
        origins = roster.peers[Tier.ORIGIN]
        ok, calm = (lambda at: self._source_ok(at, weight, now)), not self.fills.troubled(now)
        source = self.sources.pick(parents, origins, self.naming, ok, lambda at: calm or self.fills.room(at))
        passing, be = not kept and self.permits.pass_through, None
        order = [] if passing else self._eligible(flight, weight, now)
        if passing:
            be = source if source is not None and self.retries.may_reach(flight, roster.be[source]) else None
        elif order:
            be = self.walk.pick(flight.req.obj, order, self.loads.own, lambda at: self._busy(flight, at, now), now)
        elif self.permits.pass_through and flight.ran is None:
            be = source  # every cache is out or cold to its limit: a parent or the origin answers
        if be is None or (source is None and not kept):
            return self._hold(flight, now)
        if not self._in_time(flight, be, now):
            return self._give_up(flight)
        if kept and be in order and not calm:
            unasked = [at for at in order if at not in flight.lacking]
            if unasked and len(flight.lacking) < LOOKS and flight.hops + 2 <= self.permits.dispatches:
                be = source = be if be in unasked else unasked[0]
        if source is None and be in flight.lacking:
            return self._hold(flight, now)
        if not flight.lacking and not self.retries.pay(flight):
            return self._give_up(flight)
        return self._dispatch(flight, be, be if source is None else source, weight, now)

    def _eligible(self, flight: Flight, weight: int, now: int) -> list[int]:
        """The location's caches in the object's order, without those that a guard rules out."""
        order = self.walk.order(flight.req.obj, self.roster.peers[Tier.CACHE], self.roster, False)
        able = [at for at in order if self.retries.may_reach(flight, self.roster.be[at])]
        fit = [at for at in able if self.health.usable(at, self.loads.own[at], now)] or able
        fit = [at for at in fit if at not in flight.avoid] or fit
        return [at for at in fit if self._warm(at, weight, now)]

    def _dispatch(self, flight: Flight, be: int, source: int, weight: int, now: int) -> Dispatch:
        req, vhost, roster = flight.req, flight.vhost, self.roster
        if roster.be[be].tier is Tier.CACHE:
            self.warm[Tier.CACHE].spend(be, weight, now)
        cold = None
        if roster.be[source].tier is Tier.PARENT:
            cold = self.warm[Tier.PARENT].spend(source, weight, now)
        if source == be and roster.be[be].tier is Tier.PARENT and roster.peers[Tier.ORIGIN]:
            source = roster.peers[Tier.ORIGIN][0]
        hop, flight.hops = flight.hops, flight.hops + 1
        flight.out[hop] = Sent(be, source, now, cold, self._shared(be, now), be in flight.lacking)
        self.fills.out[source] += be in flight.lacking
        self.loads.change(be, 1, roster.be[be].tier is Tier.CACHE, now)
        self.naming[source] += source != be
        late = vhost.fresh_for and (flight.avoid or self.fills.troubled(now))
        usual = vhost.fresh_for + (vhost.grace_for if late else 0)  # an old copy is better than none
        oldest = self.purges.oldest(req.group, req.obj, usual, now)
        names, until = (roster.be[be].name, roster.be[source].name), flight.deadline
        if vhost.effect is Effect.REPLAYABLE:  # what hangs is found out soon, and holds no place for long
            until = min(until, flight.came + int(PATIENCE * self._target(flight)))
        timeout = max(1, until - now)
        return Dispatch(hop, *names, flight.rank, oldest, self.permits.joins, bool(vhost.fresh_for), timeout)

    def _measure(self, flight: Flight, sent: Sent, outcome: Outcome, now: int) -> None:
        ending, told = outcome.ending, outcome.told
        own, link = self._own(flight), self._link(sent.be)
        if (
            ending in (Ending.DONE, Ending.LATE)
            and told in (Told.HIT, Told.NOTHING)
            and own >= PACE_SEEN
            and self.roster.be[sent.be].tier is Tier.CACHE
        ):
            self.loads.shown(sent.be, link / self._links(), link, outcome.elapsed / own, now)
        if ending is Ending.DONE and told in (Told.HIT, Told.NOTHING) and flight.req.size_kb:
            seen = self.links.setdefault(self.roster.be[sent.be].kind, Histogram(1.0))
            pace = min(1.0, self._own(flight) / max(1, outcome.elapsed))
            seen.add(sent.shared * self._link(sent.be) * pace)
        elif ending is Ending.DONE and told is Told.HIT:
            self.sending[flight.req.vhost].add(outcome.elapsed / max(1.0, sent.shared))
        if sent.source == sent.be or told is Told.HIT or self.roster.be[sent.be].tier is not Tier.CACHE:
            return
        filled = sent.miss or told is not Told.NOTHING
        timely = ending is Ending.DONE and outcome.elapsed <= self._target(flight)
        late = ending in (Ending.DONE, Ending.LATE) and not timely and (filled or sent.shared < EASY)
        if timely and filled:
            self.fills.came(sent.source)
        elif late or told in (Told.SOURCE_FULL, Told.SOURCE_LOST, Told.NO_PLACE, Told.ORIGIN_LOST):
            self.fills.failed(sent.source, now)

    def _judge(self, flight: Flight, sent: Sent, outcome: Outcome, now: int) -> None:
        """Which side failed, where the answer tells; else both are marked, and peers tell them apart."""
        ending, told, roster, at, source = outcome.ending, outcome.told, self.roster, sent.be, sent.source
        if ending is Ending.DONE:
            self.health.good(at)
            if told in (Told.FILLED, Told.FROM_ORIGIN) or (told is Told.NOTHING and source != at):
                self.health.good(source)
            if told is Told.HIT and sent.cold:
                sent.cold[1] = 0  # it never reached the parent
            return
        if ending is Ending.LACKING and source == at:
            flight.lacking.add(at)
            return
        if ending in (Ending.CALLED_OFF, Ending.UNSENT):
            return
        blamed = {at}
        if told in (Told.SOURCE_FULL, Told.SOURCE_LOST, Told.SOURCE_LACKS):
            blamed = {source}
        elif told is Told.ORIGIN_LOST:
            blamed = set(roster.peers[Tier.ORIGIN])
        elif told is Told.NOTHING and ending in (Ending.ERROR, Ending.LATE, Ending.FULL):
            blamed = {source} if sent.miss and ending is Ending.LATE else {at, source}
        flight.avoid |= blamed
        for n in sorted(blamed):
            lost, be = ending is Ending.NO_CONNECTION and n == at, roster.be[n]
            if ending is Ending.FULL:
                self.health.full[n] = now + (BUSY_AFTER_FULL if be.tier is Tier.CACHE else SOURCE_AFTER_FULL)
            if ending is not Ending.LACKING and (ending is not Ending.FULL or be.tier is Tier.PARENT):
                self.health.bad(n, roster.peers[be.tier], now, be.name, lost)

    def _give_up(self, flight: Flight) -> Deny | Abort:
        self._end(flight)
        if flight.vhost is None or self.retries.may_deny(flight):
            return Deny(min(self.permits.longest_wait, S // 2))
        return Abort()

    def _hold(self, flight: Flight, now: int) -> Hold | Deny | Abort:
        if now + HOLD >= min(flight.deadline, flight.came + self._target(flight)):
            return self._give_up(flight)
        return Hold(HOLD - self._chance(HOLD // 2))

    def _end(self, flight: Flight) -> None:
        flight.over = True
        if not flight.out:
            self.flights.pop(flight.req.id, None)

    def _chance(self, below: int) -> int:
        self.draws += 1
        return zlib.crc32(f"{self.me}/{self.seed}/{self.draws}".encode()) % max(1, below)

    def _weight(self, vhost: VHost) -> int:
        return int(self.sending[vhost.name].mean(vhost.first_byte_target))

    def _own(self, flight: Flight, unknown: float = 0.0) -> float:
        """The sending time of a req at full pace."""
        own = flight.req.size_kb / self.pace * S if self.pace else 0
        return own or self.sending[flight.vhost.name].mean(unknown)  # what is not known denies nothing

    def _target(self, flight: Flight) -> int:
        aim, stretch = flight.vhost.first_byte_target, flight.vhost.target_stretch
        return int(aim + stretch * self._own(flight, aim))

    def _in_time(self, flight: Flight, be: int, now: int) -> bool:
        """Work that cannot meet its first-byte target is not begun: it would only make others late as well.

        Covers bursts, overload, retry storms and slow caches; could harm where the link is better than told.
        """
        cache = self.roster.be[be].tier is Tier.CACHE and self.loads.own[be]  # an idle one is always tried
        takes = self._own(flight) * (max(1.0, self._shared(be, now)) * PACE_MARGIN if cache else 0.0)
        return now + takes <= flight.came + self._target(flight)

    def _busy(self, flight: Flight, be: int, now: int) -> bool:
        crowded = self.loads.own[be] >= BUSY_LEAST and self._shared(be, now) > BUSY_AT
        if crowded or self.health.full.get(be, 0) > now:
            return True
        return False

    def _shared(self, be: int, now: int) -> float:
        """By how much one more transfer from a cache is slowed."""
        return (self.loads.all(be, self._link(be) / self._links(), now) + 1) / self._link(be)

    def _links(self) -> float:
        """What the location's caches carry."""
        return sum(self._link(at) for at in self.roster.peers[Tier.CACHE]) or LINK_GUESS

    def _link(self, at: int) -> float:
        if self.rated:
            return self.roster.be[at].rating
        return self.links.setdefault(self.roster.be[at].kind, Histogram(1.0)).quantile(LINK_SEEN, LINK_GUESS)

    def _warm(self, at: int, weight: int, now: int) -> bool:
        warm = self.warm.get(self.roster.be[at].tier)
        most = max(self._weight(vhost) for vhost in self.vhosts.values())
        return warm is None or warm.room(at, self._link(at), self.roster.started[at], weight, most, now)

    def _source_ok(self, at: int, weight: int, now: int) -> bool:
        well = self.health.usable(at, self.naming[at], now) and self.health.full.get(at, 0) <= now
        return well and self._warm(at, weight, now)

    def _rank(self, req: Req) -> int:
        """A first look may be the only one: what is asked for again is kept before it."""
        key, (new, old) = (req.obj, req.part), self.seen
        rank = 2 if key in new or key in old else 1
        new.add(key)
        if len(new) > ORDERS:
            self.seen = (set(), new)
        return rank
