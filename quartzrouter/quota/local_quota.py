"""A router's side: what it may use now, by its own clock, and what it asks for."""

from collections import deque
from typing import NamedTuple

from quartzrouter.quota.budget import Budget, QuotaGrant, QuotaRequest, S

ASKED_MOST = 64  # asks whose answers may still come: an older one has run out
MANY = 4  # reqs between two asks: fewer tell no rate by themselves


class QuotaAllowance(NamedTuple):
    """Tokens of one grant."""

    until: int  # us, own clock
    tokens: float


class LocalQuota:
    """:param budget: as the plan has it.
    :param name: of the router.
    :param token: of its process.
    :param now: us, of its own monotonic clock; so are all times.
    :param since: us, from when on the floor's tokens count, where that was earlier.
    """

    def __init__(self, budget: Budget, name: str, token: str, now: int, since: int | None = None):
        self.budget, self.name, self.token = budget, name, token
        self.numbers = 0
        self.asked: dict[int, int] = {}  # when, by number, for those not yet answered
        self.purses: deque[QuotaAllowance] = deque()  # by their end
        since = now if since is None else since
        self.floor, self.filled = 0.0, since  # empty at first: a restart may not give a second burst
        self.floor_from = since + budget.hold  # what a process before this one had in hand is over by then
        self.slots, self.slots_until = 0, now
        self.in_use = self.most_in_use = 0
        self.short = 0  # reqs denied for want of a slot since the last ask
        self.want, self.since, self.tried = 0.0, now, 0  # reqs that the floor doesn't do for
        self.lately: deque[tuple[int, int]] = deque()  # since when so many
        self.answered = now  # when a grant came
        self.on_floor = self.denied = self.odd = 0  # reqs let through by the floor, turned away; odd words

    # -- using -----------------------------------------------------------------------------------------

    def may(self, now: int, kept_free: float = 0.0) -> int:
        """Whether a req may go now; counts it as wanted.

        :param now: us, read right before: a process that was stopped may have woken behind a share's end.
        :param kept_free: the share of the slots that a req of less value leaves alone.
        :return: 0 where it may go; else us after which to come back: by then more may be granted.
        """
        if self.budget.slots and self.in_use >= int(self._slots(now) * (1 - kept_free)):
            self.denied += 1
            self.short += 1
            return self.budget.every
        if self.budget.rate and not self._token(now):
            self.denied += 1
            return self.budget.every
        return 0

    def take(self, now: int, kept_free: float = 0.0) -> int:
        """Uses a token, and a slot, for one req, where it may go; as `may`."""
        if come_back := self.may(now, kept_free):
            return come_back
        self.use()
        return 0

    def use(self) -> None:
        """Uses what was just found: a slot, and a token: the floor's first, which nobody else has."""
        if self.budget.rate and self.floor >= 1:
            self.floor -= 1
            self.on_floor += 1
        elif self.budget.rate:
            self.purses[0] = self.purses[0]._replace(tokens=self.purses[0].tokens - 1)
        self.in_use += 1
        self.most_in_use = max(self.most_in_use, self.in_use)

    def ended(self) -> None:
        """A req that was let through has had its final answer."""
        self.in_use -= 1

    def _token(self, now: int) -> bool:
        """Whether there is a token, granted or of the floor; parts of one join, by the sooner end."""
        while self.purses and (self.purses[0].until <= now or self.purses[0].tokens < 1):
            over = self.purses.popleft()
            if over.until > now and self.purses and over.tokens > 0:
                self.purses[0] = QuotaAllowance(over.until, self.purses[0].tokens + over.tokens)
        self._fill(now)
        if self.floor >= 1:
            return True
        self.tried += 1  # the floor didn't do
        return bool(self.purses)

    def _fill(self, now: int) -> None:
        if now > self.filled:
            more = self.budget.floor_rate * (now - self.filled) / S
            self.floor, self.filled = min(self.budget.floor_burst, self.floor + more), now

    def _slots(self, now: int) -> int:
        floor = self.budget.floor_slots if now >= self.floor_from else 0
        return floor + (self.slots if now < self.slots_until else 0)

    def left(self, now: int) -> float:
        """Tokens granted and not used."""
        return sum(purse.tokens for purse in self.purses if purse.until > now)

    def rests(self, now: int) -> bool:
        """Whether it would be the same if it were made anew: nothing in hand or held, and a full floor."""
        self._fill(now)
        full = not self.budget.rate or self.floor >= self.budget.floor_burst
        return full and not self.in_use and not self.granted(now) and now >= self.floor_from

    def replace(self, budget: Budget, now: int) -> None:
        """A new plan's terms: what was granted by the old ones is given up, what is in hand stays so."""
        self._fill(now)
        self.floor = min(self.floor, budget.floor_burst)
        self.budget, self.slots, self.slots_until = budget, 0, now
        self.purses.clear()
        self.asked.clear()

    def granted(self, now: int) -> bool:
        """Whether anything granted is in force."""
        return self.left(now) >= 1 or (self.slots > 0 and now < self.slots_until)

    def cut_off(self, now: int) -> bool:
        """Whether it acts on its floor because no grant has come for a share's life."""
        return now - self.answered > self.budget.life

    # -- asking ----------------------------------------------------------------------------------------

    def ask(self, now: int) -> QuotaRequest:
        """What to say next; from then on no more slots than it says are used."""
        self._wants(now)
        floor = self.budget.floor_slots if now >= self.floor_from else 0
        most = self.most_in_use
        wanted = max(
            0, most + max(most // 4 + 1, min(self.short, most)) - floor
        )  # twice as many, where denied
        self.short = 0
        self.slots = min(self.slots, max(self.in_use - floor, wanted))
        self.most_in_use = self.in_use
        self.numbers += 1
        self.asked[self.numbers] = now
        while len(self.asked) > ASKED_MOST:
            del self.asked[next(iter(self.asked))]
        wanted = wanted if self.budget.slots else 0
        keep = max(self.slots, self.in_use - floor)  # those in use count, also where fewer are held by now
        told = (self.token, self.numbers, self.want, self.left(now), keep, wanted)
        return QuotaRequest(self.budget.name, self.name, *told, self.budget.figures)

    def _wants(self, now: int) -> None:
        """Tokens a second that it would use: over a share's life, and at once where many have come lately."""
        seen = self.tried / max(1, now - self.since) * S
        self.lately.append((self.since, self.tried))
        while self.lately[0][0] < now - self.budget.life and len(self.lately) > 1:
            self.lately.popleft()
        usual = sum(tried for _, tried in self.lately) / max(1, now - self.lately[0][0]) * S
        self.want = max(usual, seen) if self.tried >= MANY else usual
        self.tried, self.since = 0, now

    def take_grant(self, said: QuotaGrant, now: int) -> bool:
        """Takes an answer in, once; a word that can't be one is counted and not obeyed."""
        most = self.budget.shared_rate * self.budget.life / S + self.budget.shared_burst
        well = 0 <= said.tokens <= most and 0 <= said.slots <= self.budget.shared_slots
        if said.budget != self.budget.name or said.token != self.token or not well:
            self.odd += 1
            return False
        asked = self.asked.pop(said.number, None)
        if asked is None:
            self.odd += 1
            return False
        self.answered = now
        for number in [number for number in self.asked if number < said.number]:
            del self.asked[number]  # answers come in their order: what was skipped is lost
        until = self.budget.ends(asked)
        if until <= now:
            return False
        if said.tokens:
            self.purses.append(QuotaAllowance(until, said.tokens))
        if said.number == self.numbers:  # a later ask has confined this router to fewer, maybe
            self.slots, self.slots_until = said.slots, until
        return True
