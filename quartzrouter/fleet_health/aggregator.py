"""What routers of a store have seen of its caches, put together: how busy each is, and which are left out.

A judgement needs several witnesses and more of them than of those who are served well.  A router for which
most caches are lost is itself cut off, and is no witness.  Few caches of a store are ever left out by
hearsay, and each judgement ends by itself.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from quartzrouter.quota.budget import S, clock_slack

SIGHT_LIFE = 1 * S  # us for which what a router has said counts: five of its words
TELL_EVERY = SIGHT_LIFE // 5  # us between two words of a router, and of the ledger
NEWS_EVERY = TELL_EVERY // 5  # us between two words where something has failed
HOLDS = 1 * S  # us of a judgement, after the last look that confirms it
HOLDS_MOST = 8 * S  # us, of a cache that is judged again and again: twice as long each time
QUIET = 30 * S  # us after the end of a judgement, from which the next is the first again
WITNESSES = 2  # at least: one router takes no cache from the others
FADES = 500_000  # us in which half of what a router has told of answers and failures is forgotten
FAILS = 0.5  # share of failures above which a cache fails a router
SHARE = 0.25  # of all routers' answers by a cache, and twice what its peers show, that must be failures ...
ERRORS = 3  # ... and so many: fewer are chance
FADED = 0.05  # answers and failures: less is forgotten
LEAST = 0.3  # failures of one router, as far as they haven't faded: one in the last second
CUT_OFF = 0.5  # share of the caches tried lately that fail, above which a router is no witness
LEFT_OUT = 1 / 3  # share of a store's caches that are ever left out by hearsay
SIGHTS_MOST = 1_024  # caches in one word
ROUTERS_MOST = 4_096  # heard of: those unheard for longest go first
FIGURE_MOST = 1_000_000  # of one figure in a sight


class CacheObservation(NamedTuple):
    """What one router knows of one cache, from its own reqs and probes; a cache without news isn't told of.

    :param out: it has put the cache out.
    :param good: answers that came well since the last word.
    :param bad: failures since then.
    :param in_hand: dispatches that are out.
    :param begun: dispatches begun since the last word.
    """

    cache: str
    out: bool
    good: int = 0
    bad: int = 0
    in_hand: int = 0
    begun: int = 0


class EjectionVerdict(NamedTuple):
    """A cache that is to be left out.

    :param ends: us from the saying; the hearer counts them from when it hears of it.
    :param by: who has put it out.
    :param against: who is served well by it.
    :param failures: that the witnesses have told of.
    """

    cache: str
    ends: int
    by: tuple[str, ...]
    against: tuple[str, ...]
    failures: int


class CacheLoad(NamedTuple):
    """How busy a cache is, by all routers of its store.

    :param in_hand: dispatches that are out; -1: not known, as not all who may use it have told of it lately.
    :param age: us of the oldest figure in it.
    :param error: by how many it may be off: what was begun, at the last pace, since the figures.
    :param routers: that tell of it.
    """

    cache: str
    in_hand: int
    age: int
    error: int
    routers: int


@dataclass(slots=True)
class RecentOutcomes:
    """What a router has told of one cache, as far as it hasn't faded."""

    out: bool = False
    good: float = 0.0
    bad: float = 0.0

    @property
    def hurt(self) -> bool:
        return self.out or self.bad >= LEAST

    @property
    def fails(self) -> bool:
        """For this router alone."""
        return self.out or (self.bad >= LEAST and self.bad > FAILS * (self.good + self.bad))


@dataclass(slots=True)
class RouterObservations:
    """The last word of one router, and what it told before."""

    store: str
    token: str
    heard: int
    sights: dict[str, CacheObservation] = field(default_factory=dict)
    every: int = TELL_EVERY  # us between its last two words
    tallies: dict[str, RecentOutcomes] = field(default_factory=dict)  # of what hasn't faded
    caches: int = 0  # that it knows


@dataclass(slots=True)
class EjectionRecord:
    """A cache that is or was judged."""

    until: int = 0
    span: int = HOLDS
    failures: int = 0


class HealthAggregator:
    """All times are us of the ledger's steady clock."""

    def __init__(self) -> None:
        self.voices: dict[str, RouterObservations] = {}
        self.cases: dict[tuple[str, str], EjectionRecord] = {}  # by store and cache
        self.odd = 0  # words that were not obeyed

    def hear(
        self, name: str, token: str, store: str, sights: tuple[CacheObservation, ...], now: int, caches: int
    ) -> bool:
        """Takes a router's word in; one with odd figures is counted and passed over, as a whole.

        Another token under the name is another process: what the first one told ends at once.

        :param caches: that it knows; what it doesn't tell of has nothing out, and no news.
        """
        odd = len(sights) > SIGHTS_MOST or not 0 <= caches <= FIGURE_MOST
        if odd or any(not _well(each) for each in sights):
            self.odd += 1
            return False
        before = self.voices.pop(name, None)
        same = (
            before if before and before.token == token else RouterObservations(store, token, now - TELL_EVERY)
        )
        passed = max(1, now - same.heard)
        fades, tallies = 0.5 ** (passed / FADES), {}
        for cache, old in same.tallies.items():
            if (old.good + old.bad) * fades > FADED:
                tallies[cache] = RecentOutcomes(False, old.good * fades, old.bad * fades)
        for sight in sights:
            old = tallies.get(sight.cache, RecentOutcomes())
            tallies[sight.cache] = RecentOutcomes(sight.out, old.good + sight.good, old.bad + sight.bad)
        if len(self.voices) >= ROUTERS_MOST:
            del self.voices[next(iter(self.voices))]
        seen = {each.cache: each for each in sights}
        self.voices[name] = RouterObservations(
            store, token, now, seen, min(SIGHT_LIFE, passed), tallies, caches
        )
        return True

    def left(self, name: str) -> None:
        """A router has ended."""
        self.voices.pop(name, None)

    def _fresh(self, store: str, now: int) -> dict[str, RouterObservations]:
        live = now - SIGHT_LIFE - clock_slack(SIGHT_LIFE)
        return {
            name: voice for name, voice in self.voices.items() if voice.store == store and voice.heard >= live
        }

    def judged(self, store: str, now: int) -> tuple[EjectionVerdict, ...]:
        """The caches of a store that are to be left out."""
        voices = self._fresh(store, now)
        witnesses = {name: voice for name, voice in sorted(voices.items()) if not _cut_off(voice)}
        doubted = {
            cache for voice in witnesses.values() for cache, each in voice.tallies.items() if each.hurt
        }
        doubted |= {cache for (at, cache), case in self.cases.items() if at == store and case.until > now}
        found, tallies = [], [each for voice in witnesses.values() for each in voice.tallies.values()]
        all_good, all_bad = sum(each.good for each in tallies), sum(each.bad for each in tallies)
        for cache in doubted:
            by, against, out = self._votes(witnesses, cache)
            of = [voice.tallies[cache] for voice in witnesses.values() if cache in voice.tallies]
            good, bad = sum(each.good for each in of), sum(each.bad for each in of)
            theirs = (all_bad - bad) / max(1.0, all_good + all_bad - good - bad)
            outlier = bad >= ERRORS and bad > max(SHARE, 2 * theirs) * (good + bad)
            case, failures = self.cases.get((store, cache)), round(bad)
            judgement = EjectionVerdict(cache, 0, tuple(by), tuple(against), failures)
            if len(by) >= WITNESSES and len(by) > len(against) and (out >= WITNESSES or outlier):
                found.append((len(by) - len(against), judgement))
            elif case and case.until > now:
                found.append((0, judgement._replace(failures=case.failures)))
        caches = max((voice.caches for voice in voices.values()), default=0)
        found.sort(key=lambda one: (-one[0], one[1].cache))
        self._forget(now)
        return tuple(self._held(store, *one, now) for one in found[: int(LEFT_OUT * caches)])

    @staticmethod
    def _votes(voices: dict[str, RouterObservations], cache: str) -> tuple[list[str], list[str], int]:
        """Who is hurt by a cache, who is served well, and how many have put it out."""
        by, against, out = [], [], 0
        for name, voice in voices.items():
            tally = voice.tallies.get(cache)
            if tally is None:
                continue
            if tally.hurt:
                by.append(name)
                out += tally.out
            elif tally.good >= LEAST:
                against.append(name)
        return by, against, out

    def _held(self, store: str, votes: int, judgement: EjectionVerdict, now: int) -> EjectionVerdict:
        """Begins a judgement, or goes on with it while it is confirmed."""
        case = self.cases.setdefault((store, judgement.cache), EjectionRecord())
        if votes > 0:
            if case.until <= now:  # anew: longer, where it was judged a while ago
                again = case.until and now - case.until < QUIET
                case.span = min(HOLDS_MOST, 2 * case.span) if again else HOLDS
            case.until, case.failures = now + case.span, judgement.failures
        return judgement._replace(ends=case.until - now, failures=case.failures)

    def _forget(self, now: int) -> None:
        for key in [key for key, case in self.cases.items() if case.until + QUIET < now]:
            del self.cases[key]

    def counts(self, store: str, now: int) -> tuple[CacheLoad, ...]:
        """How busy the caches of a store are.  What is too old is unknown, and so is a sum that lacks it."""
        voices = self._fresh(store, now)
        silent = sum(voice.store == store for voice in self.voices.values()) - len(voices)
        found = []
        for cache in sorted({cache for voice in voices.values() for cache in voice.sights}):
            of = [(voice, voice.sights[cache]) for voice in voices.values() if cache in voice.sights]
            age = max(now - voice.heard for voice, _ in of)
            error = sum(-(-sight.begun * (now - voice.heard) // voice.every) for voice, sight in of)
            in_hand = -1 if silent else sum(sight.in_hand for _, sight in of)
            found.append(CacheLoad(cache, in_hand, age, error, len(of)))
        return tuple(found)

    def trim(self, now: int) -> None:
        """A router that is silent for long is taken for ended: what it had in hand must be over."""
        for name in [name for name, voice in self.voices.items() if now - voice.heard > QUIET]:
            del self.voices[name]


def _cut_off(voice: RouterObservations) -> bool:
    fails = sum(tally.fails for tally in voice.tallies.values())
    return fails > CUT_OFF * len(voice.tallies) and fails > 1


def _well(sight: CacheObservation) -> bool:
    figures = (sight.good, sight.bad, sight.in_hand, sight.begun)
    return bool(sight.cache) and len(sight.cache) <= 64 and all(0 <= each <= FIGURE_MOST for each in figures)


def accepted_ejections(judgements: tuple[EjectionVerdict, ...], caches: int, now: int) -> dict[str, int]:
    """What a router makes of what it is told: which caches it leaves out, and until when (us, its own clock).

    :param caches: that it knows; whatever is said, few of them are left out, and none for long.
    """
    told = judgements[: int(LEFT_OUT * caches)]
    return {each.cache: now + min(each.ends, HOLDS_MOST) for each in told if each.ends > 0}
