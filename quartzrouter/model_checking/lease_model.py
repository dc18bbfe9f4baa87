"""Leases as a model: real keepers and claims; words, keepers' memories, wakes and clocks misbehave.

Keepers' clocks run fast and claimants' slow, by an eighth each, which the terms allow.  An ask reaches all
keepers at once and is answered at once, but for one or two of them, where it may be late, lost or doubled.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import combinations

from quartzrouter.leases.acceptor import Acceptor
from quartzrouter.leases.proposer import Effect, LeaseAcquired, Proposer, SendToAcceptors
from quartzrouter.leases.terms import LeaseTerms, VoteRefusal, VoteRelease, VoteReply, VoteRequest

LENGTH, DRIFT = 8_000, 125_000
START = 100 * LENGTH  # by then keepers that were there from the start vote
WAYS = ("late there", "late back", "doubled")  # one that is late for good is lost


@dataclass(frozen=True)
class Bounds:
    """How often each thing may happen.

    :param step: us of one step of time.
    :param keepers: how many there are.
    :param ways: what may go wrong with words.
    :param same_name: both claimants go by one name.
    """

    steps: int = 5
    requests: int = 3
    faults: int = 1  # asks of which one word is lost, late or doubled
    restarts: int = 0  # keepers that restart with their numbers
    restarts_without_tokens: int = 0  # keepers that restart without
    stops: int = 0  # of a claimant between its look at the clock and its act
    releases: int = 0
    acts: int = 0
    step: int = LENGTH // 4
    keepers: int = 3
    ways: tuple[str, ...] = WAYS
    same_name: bool = False


@dataclass
class Claimant:
    claim: Proposer
    up: dict[int, list[VoteRequest | VoteRelease]] = field(default_factory=dict)  # on their way, by keeper
    down: dict[int, list[VoteReply]] = field(default_factory=dict)
    looked: int = 0  # the number under which it was stopped ahead of its act; 0: it runs
    asked: bool = False  # in this step of time


@dataclass
class World:
    now: int
    keepers: list[Acceptor]
    claimants: list[Claimant]
    left: dict[str, int]
    seen: int = 0  # the highest number that has acted
    gained: int = 0  # the highest that was gained
    fell: str = ""  # an act or a lease under a lower number than one before
    lost: bool = False  # a keeper has forgotten numbers


class LeaseModel:
    """:param rejects_old_tokens: whoever is acted on refuses a lower number than it has seen."""

    def __init__(self, bounds: Bounds, rejects_old_tokens: bool = True):
        self.bounds, self.rejects_old_tokens = bounds, rejects_old_tokens
        names = tuple(f"k{n}" for n in range(bounds.keepers))
        self.terms = LeaseTerms(names, 1, LENGTH, DRIFT, (("t", ()),))

    def start(self) -> World:
        terms = self.terms
        keepers = [Acceptor(terms, name, 0) for name in terms.acceptors]
        names = ("a", "a") if self.bounds.same_name else ("a", "b")
        claimants = [
            Claimant(Proposer(terms, "t", name, f"t{n}", _slow(START))) for n, name in enumerate(names)
        ]
        return World(START, keepers, claimants, {k: v for k, v in vars(self.bounds).items() if k in LEFT})

    def actions(self, world: World) -> Iterable[tuple]:
        left = world.left
        if left["steps"]:
            yield ("time",)
        for k in range(len(world.keepers)):
            if left["restarts"]:
                yield "fall", k
            if left["restarts_without_tokens"]:
                yield "lose", k
        for n, each in enumerate(world.claimants):
            yield from (("arrive", n, k) for k, words in each.up.items() if words)
            yield from (("hear", n, k) for k, words in each.down.items() if words)
            if each.looked:
                yield "wake", n
                continue
            odd = [
                (ks, way)
                for size in range(1, min(2, left["faults"]) + 1)
                for ks in combinations(range(len(world.keepers)), size)
                for way in self.bounds.ways
            ]
            if left["requests"] and not each.asked:
                yield "ask", n, (), ""
                yield from (("ask", n, *each) for each in odd)
            if each.claim.may_act(_slow(world.now)):
                if left["stops"]:
                    yield "stop", n
                if left["acts"]:
                    yield "act", n
                if left["releases"]:
                    yield "release", n, (), ""
                    yield from (("release", n, ks, way) for ks, way in odd if way == "late there")

    def act(self, world: World, action: tuple) -> None:
        name, *rest = action
        getattr(self, f"_{name}")(world, *rest)

    # -- what happens --------------------------------------------------------------------------------------

    def _time(self, world: World) -> None:
        world.left["steps"] -= 1
        world.now += self.bounds.step
        for n, each in enumerate(world.claimants):
            each.asked = False
            claim, now = each.claim, _slow(world.now)
            if (
                not each.looked
                and claim.is_holder
                and now + claim.terms.max_action_time >= claim.lease_ends_at
            ):
                self._do(world, n, claim._lose("", now))

    def _ask(self, world: World, n: int, odd: tuple[int, ...], way: str) -> None:
        each = world.claimants[n]
        world.left["requests"] -= 1
        world.left["faults"] -= len(odd)
        each.asked = True
        self._do(world, n, each.claim._request_votes(_slow(world.now), 0), odd, way)

    def _do(
        self, world: World, n: int, effects: list[Effect], odd: tuple[int, ...] = (), way: str = ""
    ) -> None:
        """Says what is to be said; to some keepers in that way.  Words on new lines overtake late ones."""
        each = world.claimants[n]
        for effect in effects:
            if isinstance(effect, LeaseAcquired):
                if effect.fencing_token <= world.gained and not world.lost:
                    world.fell = f"number {effect.fencing_token} is gained after {world.gained}"
                world.gained = max(world.gained, effect.fencing_token)
            if not isinstance(effect, SendToAcceptors):
                continue
            for k in range(len(world.keepers)):
                how = way if k in odd else ""
                if how in ("late there", "doubled"):
                    each.up.setdefault(k, []).append(effect.message)
                if how != "late there":
                    answer = self._given(world, k, effect.message)
                    if answer and how == "late back":
                        each.down.setdefault(k, []).append(answer)
                    elif answer:
                        self._do(world, n, each.claim.handle_reply(answer, _slow(world.now)))

    def _given(self, world: World, k: int, said: VoteRequest | VoteRelease) -> VoteReply | None:
        keeper = world.keepers[k]
        if isinstance(said, VoteRelease):
            keeper.release(said, _fast(world.now))
            return None
        given = keeper.vote(said, _fast(world.now))
        return None if isinstance(given, VoteRefusal) else given

    def _arrive(self, world: World, n: int, k: int) -> None:
        """A word that was late comes; its answer is, too."""
        each = world.claimants[n]
        if answer := self._given(world, k, each.up[k].pop(0)):
            each.down.setdefault(k, []).append(answer)

    def _hear(self, world: World, n: int, k: int) -> None:
        each = world.claimants[n]
        self._do(world, n, each.claim.handle_reply(each.down[k].pop(0), _slow(world.now)))

    def _fall(self, world: World, k: int) -> None:
        world.left["restarts"] -= 1
        keeper = world.keepers[k]
        world.keepers[k] = Acceptor(self.terms, keeper.name, _fast(world.now), keeper.highest_tokens())

    def _lose(self, world: World, k: int) -> None:
        world.left["restarts_without_tokens"] -= 1
        world.lost = True
        world.keepers[k] = Acceptor(self.terms, world.keepers[k].name, _fast(world.now))

    def _stop(self, world: World, n: int) -> None:
        world.left["stops"] -= 1
        world.claimants[n].looked = world.claimants[n].claim.fencing_token

    def _wake(self, world: World, n: int) -> None:
        each = world.claimants[n]
        number, each.looked = each.looked, 0
        self._acted(world, n, number)

    def _act(self, world: World, n: int) -> None:
        world.left["acts"] -= 1
        self._acted(world, n, world.claimants[n].claim.fencing_token)

    def _acted(self, world: World, n: int, number: int) -> None:
        if number >= world.seen:
            world.seen = number
        elif self.rejects_old_tokens:
            claim = world.claimants[n].claim
            self._do(world, n, claim.handle_superseding_token(world.seen, _slow(world.now)))
        else:
            world.fell = f"an act of number {number} comes after one of {world.seen}"

    def _release(self, world: World, n: int, odd: tuple[int, ...], way: str) -> None:
        world.left["releases"] -= 1
        world.left["faults"] -= len(odd)
        claim = world.claimants[n].claim
        effects = claim.release(_slow(world.now))
        claim.is_wanted = True  # and wants it again
        self._do(world, n, effects, odd, way)

    def violation(self, world: World) -> str:
        holders = [n for n, each in enumerate(world.claimants) if each.claim.may_act(_slow(world.now))]
        if len(holders) > 1:
            return "two claimants hold the task, and both may act"
        return world.fell

    # -- what tells states apart -----------------------------------------------------------------------------

    def key(self, world: World) -> tuple:
        fast, slow = _fast(world.now), _slow(world.now)

        def keeper(k: int, it: Acceptor) -> tuple:
            task_vote = it.votes.get("t")
            silent = max(0, it.voting_starts_at - fast)
            left = max(0, task_vote.expires_at - fast) if task_vote else 0
            vote = (task_vote.process_token, task_vote.fencing_token, left) if left else ()
            known = (task_vote.highest_token, task_vote.highest_token_owner) if task_vote else ()
            return silent, vote, known, tuple(line(k, it, each) for each in world.claimants)

        def line(k: int, it: Acceptor, each: Claimant) -> tuple:
            """What lies between a keeper and a claimant; rounds as that one counts them."""
            claim = each.claim
            up = tuple(
                (said.fencing_token, claim.round - said.round, said.is_holder)
                if isinstance(said, VoteRequest)
                else said.fencing_token
                for said in each.up.get(k, ())
            )
            down = tuple(
                (claim.round - it.round, it.granted, it.highest_token) for it in each.down.get(k, ())
            )
            return up, down, it.name in claim.granted_by, it.name in claim.answered_by

        def claimant(it: Claimant) -> tuple:
            claim = it.claim
            held = (max(0, claim.lease_ends_at - slow),) if claim.is_holder else ()
            age = min(slow - claim.requested_at, 2 * LENGTH)
            tokens = (claim.fencing_token, claim.highest_token_seen, claim.may_repeat_token)
            return held, tokens, age, it.looked, it.asked

        # keepers are alike: which of them it is tells no states apart
        keepers = sorted((keeper(k, it) for k, it in enumerate(world.keepers)), key=repr)
        return (
            tuple(world.left.values()),
            tuple(keepers),
            tuple(map(claimant, world.claimants)),
            world.seen,
            world.gained,
            world.fell,
            world.lost,
        )


LEFT = ("steps", "requests", "faults", "restarts", "restarts_without_tokens", "stops", "releases", "acts")


def _fast(now: int) -> int:
    return now * 9 // 8


def _slow(now: int) -> int:
    return now * 7 // 8


FINE = LENGTH // 16
CASES = {
    "two claimants, words lost, late and doubled": Bounds(requests=3, faults=2),
    "a keeper restarted with its numbers": Bounds(requests=3, faults=1, restarts=1),
    "a keeper restarted without its numbers": Bounds(requests=3, faults=1, restarts_without_tokens=1),
    "a holder stopped ahead of its act": Bounds(requests=2, faults=1, stops=1, acts=1),
    "a holder that lets go and asks again": Bounds(steps=1, requests=4, faults=2, releases=2),
    "clocks that differ": Bounds(steps=17, step=FINE, requests=3, faults=0),
    "one name, two processes": Bounds(requests=2, faults=1, same_name=True),
    "four keepers": Bounds(requests=2, faults=2, keepers=4),
    "five keepers, most restarted": Bounds(requests=2, faults=0, restarts=3, keepers=5),
}
