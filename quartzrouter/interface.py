"""The plain values that go into and come out of the decisions in quartzrouter.control.

Times are whole microseconds on one clock that the caller hands in, sizes are KB.  Nothing here
knows a protocol: whatever front end speaks to clients or caches turns its own messages into these.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(Enum):
    REPLAYABLE = "replayable"  # may run again
    UNIQUED = "uniqued"  # carries a key by which a repeat is recognised
    NON_REPLAYABLE = "non-replayable"  # must never run twice


class Tier(Enum):
    CACHE = "cache"
    PARENT = "parent"
    ORIGIN = "origin"


class State(Enum):
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Ending(Enum):
    """How a dispatch ended, and whether that proves that it never ran."""

    DONE = ("done", False)
    ERROR = ("error", False)
    FULL = ("full", True)
    LATE = ("late", False)
    NO_CONNECTION = ("no connection", True)
    CUT = ("cut", False)
    CALLED_OFF = ("called off", False)
    UNSENT = ("unsent", True)
    NOT_UP = ("not up", True)  # no connection yet when its time was out, or one that broke off at once
    LACKING = ("lacking", True)

    @property
    def never_ran(self) -> bool:
        return self.value[1]


class Told(IntEnum):
    """What an answer says of where it came from, or of which side failed; NOTHING where it is silent."""

    NOTHING = 0
    HIT = 1
    FILLED = 2
    FROM_ORIGIN = 3
    JOINED = 4
    OLD = 5
    SOURCE_FULL = 6
    SOURCE_LOST = 7
    SOURCE_LACKS = 8
    NO_PLACE = 9
    ORIGIN_LOST = 10


# -- told at start ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class VHost:
    name: str
    effect: Effect
    value: float
    first_byte_target: int
    target_stretch: float  # the target grows by this many times the req's own sending time
    client_timeout: int
    late_share: float
    repeats_within: str  # uniqued: who discards repeats: "all", "zone" or "cell"
    repeats_for: int  # uniqued: for how long
    fresh_for: int  # 0: until purged
    grace_for: int
    old_share: float
    never_kept: bool


@dataclass(frozen=True, slots=True)
class ColdStart:
    """How a server of one tier warms up, and what pushes it over."""

    floor: float  # share of its capacity at the start
    ramp: int  # all of it after this time
    multiple: float  # falls over when sent more than this multiple of what it can do ...
    window: int  # ... for this time
    routers: int  # that can reach it


@dataclass(frozen=True, slots=True)
class Permits:
    """What the deployment lets a router do."""

    dispatches: int
    pass_through: bool
    joins: bool
    siblings: bool
    probes: bool
    call_off: bool
    longest_wait: int  # the longest time to come back that may be named; 0: none may be
    subscribe: bool  # the cache list has to be asked for
    reports: bool = False  # answers say how busy their server is, which stands in for probes


# -- told as it goes -------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Listed:
    """One line of the cache list."""

    name: str
    location: str
    tier: Tier
    kind: str
    cell: int
    state: State
    rating: float
    started: int  # clock time of its last start; 0: long ago


@dataclass(frozen=True, slots=True)
class Req:
    id: int
    vhost: str
    obj: str
    group: int | None
    part: int
    size_kb: float  # 0: not told
    timeout: int
    tenant: str | None = None
    dispatches: int = 0  # at most, where fewer than permitted; 0: as permitted
    waited: int = 0  # of its timeout, gone before the router looked at it


@dataclass(frozen=True, slots=True)
class Report:
    """What an answer says besides, where answers carry it."""

    waited: int | None = None  # for the source's first byte, or its failure
    busy: float | None = None  # the share of its capacity that the server says is in use
    link_in: float | None = None  # a cache's: transfers on its location's link over those that fit


@dataclass(frozen=True, slots=True)
class Outcome:
    hop: int
    ending: Ending
    elapsed: int
    told: Told = Told.NOTHING
    over: bool = False  # the req has its final answer
    report: Report = Report()


@dataclass(frozen=True, slots=True)
class Sight:
    """What a router has seen of one cache by itself."""

    cache: str
    out: bool  # it has put it out
    done: int  # reqs in all
    failed: int
    in_hand: int


@dataclass(frozen=True, slots=True)
class Cold:
    """A server that has started lately, as one router sees it."""

    server: str
    tier: Tier
    most: int  # us of sending time that all routers may spend on it in a window
    wanted: int  # that this router spent, or would have spent, since it was last asked
    unit: int  # the most that one of these reqs takes


# -- the answers -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Dispatch:
    hop: int
    be: str
    source: str  # where a miss is filled from; the cache itself: nowhere
    rank: int  # 0: not kept
    oldest: int  # the oldest copy that will do; 0: the vhost's fresh time
    join: bool
    renew: bool
    timeout: int
    send_by: int  # the time by which it has gone out, or it isn't sent: connections come up late


@dataclass(frozen=True, slots=True)
class Hold:
    ask_again: int  # after this time


@dataclass(frozen=True, slots=True)
class Deny:
    come_back: int  # 0: no time named


@dataclass(frozen=True, slots=True)
class Abort:
    pass


Answer = Dispatch | Hold | Deny | Abort


@dataclass(frozen=True, slots=True)
class Wait:
    time: int  # until wait() wants to be asked again
    probes: tuple[str, ...]
    probe_timeout: int  # what has not answered by then hangs
    subscribe: bool  # ask for the cache list now
