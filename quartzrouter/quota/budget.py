"""A budget of a whole fleet or store, what is said of its shares, and how much may be used in any window.

Two ways to spend.  *Tokens*: one for each req (dispatch, fill, repeat), at a rate with a burst; a share is
a number of tokens that are worth nothing after its end.  *Slots*: reqs in hand at a time; a share is a
number of slots in which nothing may begin after its end.  Part of each budget is never granted: the floors,
which every router has whoever hears nothing.
"""

from dataclasses import astuple, dataclass
from typing import NamedTuple
from zlib import crc32

S = 1_000_000  # us
DRIFT = 200  # parts in a million by which a clock may be fast or slow: crystals stay under 100
LIFE = 1 * S  # us of a share, from when it was asked for: a cut-off router is on its floor after that
ASKS = 4  # in a life: two may be lost or late
ASKS_MOST = 32  # in a life, of a budget with a small burst
OF = "/"  # between a budget's name and whom it counts by itself, a tenant say: in no name


@dataclass(frozen=True, slots=True)
class Budget:
    """What all routers together may use.

    :param rate: tokens a second; 0: no tokens.
    :param burst: tokens at once.
    :param slots: reqs in hand at a time; 0: no slots.
    :param hold: us for which a req may be in hand, so a slot taken at a share's end is still in use.
    :param floors: the share of it, from 0 to 1, that routers have without asking, each the same part.
    :param routers: how many there may be.
    :param life: us of a share.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    slots: int = 0
    hold: int = 0
    floors: float = 0.2
    routers: int = 1
    life: int = LIFE

    @property
    def shared_rate(self) -> float:
        return (1 - self.floors) * self.rate

    @property
    def shared_burst(self) -> float:
        return (1 - self.floors) * self.burst

    @property
    def floor_rate(self) -> float:
        """Of one router."""
        return self.floors * self.rate / self.routers

    @property
    def floor_burst(self) -> float:
        """Of one router: at least one token, or a floor would never let a req through."""
        return max(1.0, self.floors * self.burst / self.routers)

    @property
    def floor_slots(self) -> int:
        """Of one router, rounded down: where there are more routers than slots in the floors, none."""
        return int(self.floors * self.slots / self.routers)

    @property
    def shared_slots(self) -> int:
        return self.slots - self.routers * self.floor_slots

    @property
    def every(self) -> int:
        """us between two asks of a router: often enough that the bucket doesn't run over meanwhile."""
        usual = self.life // ASKS
        full = int(self.shared_burst / self.shared_rate * S / 2) if self.shared_rate else usual
        return max(self.life // ASKS_MOST, min(usual, full))

    @property
    def figures(self) -> int:
        """By which two parties see that they speak of the same terms, whatever they call them."""
        return crc32(repr(astuple(self)[1:]).encode())

    def ends(self, asked: int) -> int:
        """us of the holder's clock at which a share ends that it asked for then."""
        return asked + self.life - clock_slack(self.life)

    def gone(self, granted: int) -> int:
        """us of the granter's clock from which nothing of a share of slots is in use any more."""
        return granted + self.life + self.hold + clock_slack(self.life + self.hold)

    def most(self, window: int) -> float:
        """Tokens that all routers together may use within any window, whoever hears nothing.

        A token is used within a life of its granting; so what is used in a window was granted in it or a life
        before, out of one bucket.  Floors are counted as if all routers were there.

        :param window: us, of true time.
        """
        fast = 1 + DRIFT / 1e6
        granted = self.shared_rate * fast * (window + self.life) / S + self.shared_burst
        return granted + self.routers * (self.floor_rate * fast * window / S + self.floor_burst)


def clock_slack(time: int) -> int:
    """us by which two clocks may differ after that time, rounded up."""
    return -(-2 * time * DRIFT // 1_000_000)


class QuotaRequest(NamedTuple):
    """A router's word to the granter.

    :param token: of the process: another one under the same name is another holder.
    :param number: counts the asks of that process from 1.
    :param want: tokens a second that it would use, what it had to turn away included.
    :param left: tokens that it holds and hasn't used.
    :param keep: slots to which it has confined itself, from this word on.
    :param slots: that it would use.
    :param figures: of the budget as the router's plan has it.
    """

    budget: str
    name: str
    token: str
    number: int
    want: float = 0.0
    left: float = 0.0
    keep: int = 0
    slots: int = 0
    figures: int = 0


class QuotaGrant(NamedTuple):
    """The granter's answer to one ask.

    :param tokens: more, on top of what is left of earlier ones.
    :param slots: in all, in place of what was kept.
    """

    budget: str
    token: str
    number: int
    tokens: float
    slots: int


class QuotaRefusal(NamedTuple):
    """An ask that was not obeyed: which field, why, and what to do."""

    place: str
    reason: str
    remedy: str


class QuotaHolding(NamedTuple):
    """What a granter knows of one router's part in a budget.

    :param want: tokens a second.
    :param slots: that it may have in use.
    :param heard: us since its last ask.
    """

    name: str
    want: float
    slots: int
    heard: int


class BudgetState(NamedTuple):
    """A budget as its granter sees it.

    :param tokens: in the bucket.
    :param granted: tokens, since the granter began.
    :param waits: us until slots are granted, which an earlier granter's may still be in use for.
    """

    budget: str
    rate: float
    slots: int
    tokens: float
    granted: float
    waits: int
    holders: tuple[QuotaHolding, ...]
