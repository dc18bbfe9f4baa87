"""A model of leases for the model checker: real acceptors and proposers, between faulty parts.

Messages are lost, delayed and doubled, keepers restart, claimants are stopped, and clocks drift: keepers'
clocks run fast and claimants' slow, by an eighth each, which the terms allow. A request reaches all keepers
at once and is answered at once, except for one or two of them, for which a fault may happen.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import combinations

from quartzrouter.leases.acceptor import Acceptor
from quartzrouter.leases.proposer import Effect, LeaseAcquired, Proposer, SendToAcceptors
from quartzrouter.leases.terms import LeaseTerms, VoteRefusal, VoteRelease, VoteReply, VoteRequest

LENGTH, DRIFT = 8_000, 125_000  # us of a lease, parts per million
START = 100 * LENGTH  # by then the keepers that were there from the start vote
MESSAGE_FAULTS = ("late there", "late back", "doubled")  # a message that stays delayed for ever is lost


@dataclass(frozen=True)
class Bounds:
    """How often each thing may happen.

    :param steps: of time.
    :param requests: for votes.
    :param faults: requests of which one message is lost, delayed or doubled.
    :param restarts: of keepers, with their stored tokens.
    :param restarts_without_tokens: of keepers.
    :param stops: of a claimant between its check of the lease and its action.
    :param releases: of the lease.
    :param acts: on the target.
    :param step: microseconds of one step of time.
    :param keepers: how many there are.
    :param ways: the faults that may happen to messages.
    :param same_name: both claimants use the same name.
    """

    steps: int = 5
    requests: int = 3
    faults: int = 1
    restarts: int = 0
    restarts_without_tokens: int = 0
    stops: int = 0
    releases: int = 0
    acts: int = 0
    step: int = LENGTH // 4
    keepers: int = 3
    ways: tuple[str, ...] = MESSAGE_FAULTS
    same_name: bool = False


@dataclass
class Claimant:
    """A claimant, and the delayed messages between it and the keepers.

    :param to_keepers: by keeper, the next to arrive first.
    :param to_claimant: likewise.
    :param stopped_with_token: the fencing token with which it was stopped ahead of its action; 0: it isn't
        stopped.
    :param has_asked: in this step of time.
    """

    proposer: Proposer
    to_keepers: dict[int, list[VoteRequest | VoteRelease]] = field(default_factory=dict)
    to_claimant: dict[int, list[VoteReply]] = field(default_factory=dict)
    stopped_with_token: int = 0
    has_asked: bool = False


@dataclass
class World:
    """One state of the model.

    :param now: microseconds of the true clock.
    :param left: of each of the bounds, by its name.
    :param highest_action_token: the highest fencing token that has acted.
    :param highest_acquired_token: the highest fencing token of an acquired lease.
    :param decrease: describes an action or a lease with a lower token than an earlier one; empty: none.
    :param tokens_lost: a keeper has lost its stored tokens.
    """

    now: int
    keepers: list[Acceptor]
    claimants: list[Claimant]
    left: dict[str, int]
    highest_action_token: int = 0
    highest_acquired_token: int = 0
    decrease: str = ""
    tokens_lost: bool = False


class LeaseModel:
    """What can happen, and what must hold.

    Actions are named as their methods, without the leading underscore.

    :param bounds: of what happens.
    :param rejects_old_tokens: the target rejects fencing tokens lower than the highest that it has seen.
    """

    def __init__(self, bounds: Bounds, rejects_old_tokens: bool = True):
        self.bounds, self.rejects_old_tokens = bounds, rejects_old_tokens
        names = tuple(f"k{n}" for n in range(bounds.keepers))
        self.terms = LeaseTerms(names, 1, LENGTH, DRIFT, (("t", ()),))

    def start(self) -> World:
        """Returns the state that all histories begin with."""
        terms = self.terms
        keepers = [Acceptor(terms, name, 0) for name in terms.acceptors]
        names = ("a", "a") if self.bounds.same_name else ("a", "b")
        claimants = [
            Claimant(Proposer(terms, "t", name, f"t{n}", _slow(START))) for n, name in enumerate(names)
        ]
        return World(START, keepers, claimants, {k: v for k, v in vars(self.bounds).items() if k in COUNTED})

    def actions(self, world: World) -> Iterable[tuple]:
        """Yields all actions that are possible next."""
        left = world.left
        if left["steps"]:
            yield ("time",)
        for k in range(len(world.keepers)):
            if left["restarts"]:
                yield "fall", k
            if left["restarts_without_tokens"]:
                yield "lose", k
        for n, claimant in enumerate(world.claimants):
            yield from (("arrive", n, k) for k, messages in claimant.to_keepers.items() if messages)
            yield from (("hear", n, k) for k, messages in claimant.to_claimant.items() if messages)
            if claimant.stopped_with_token:
                yield "wake", n
                continue
            message_faults = [
                (ks, way)
                for size in range(1, min(2, left["faults"]) + 1)
                for ks in combinations(range(len(world.keepers)), size)
                for way in self.bounds.ways
            ]
            if left["requests"] and not claimant.has_asked:
                yield "ask", n, (), ""
                yield from (("ask", n, *each) for each in message_faults)
            if claimant.proposer.may_act(_slow(world.now)):
                if left["stops"]:
                    yield "stop", n
                if left["acts"]:
                    yield "act", n
                if left["releases"]:
                    yield "release", n, (), ""
                    yield from (("release", n, ks, way) for ks, way in message_faults if way == "late there")

    def act(self, world: World, action: tuple) -> None:
        """Carries out an action, in place."""
        name, *arguments = action
        getattr(self, f"_{name}")(world, *arguments)

    # -- what happens --------------------------------------------------------------------------------------

    def _time(self, world: World) -> None:
        """A step of time passes; a claimant that isn't stopped notices that its lease ends."""
        world.left["steps"] -= 1
        world.now += self.bounds.step
        for n, claimant in enumerate(world.claimants):
            claimant.has_asked = False
            proposer, now = claimant.proposer, _slow(world.now)
            if (
                not claimant.stopped_with_token
                and proposer.is_holder
                and now + proposer.terms.max_action_time >= proposer.lease_ends_at
            ):
                self._apply_effects(world, n, proposer._lose("", now))

    def _ask(self, world: World, n: int, faulty_keepers: tuple[int, ...], way: str) -> None:
        """A claimant requests votes from all keepers."""
        claimant = world.claimants[n]
        world.left["requests"] -= 1
        world.left["faults"] -= len(faulty_keepers)
        claimant.has_asked = True
        self._apply_effects(
            world, n, claimant.proposer._request_votes(_slow(world.now), 0), faulty_keepers, way
        )

    def _apply_effects(
        self,
        world: World,
        n: int,
        effects: list[Effect],
        faulty_keepers: tuple[int, ...] = (),
        way: str = "",
    ) -> None:
        """Delivers a claimant's messages and handles the replies; messages overtake delayed ones.

        :param faulty_keepers: the keepers for which the fault happens.
        :param way: the fault, one of ``MESSAGE_FAULTS``.
        """
        claimant = world.claimants[n]
        for effect in effects:
            if isinstance(effect, LeaseAcquired):
                if effect.fencing_token <= world.highest_acquired_token and not world.tokens_lost:
                    world.decrease = (
                        f"fencing token {effect.fencing_token} is acquired after "
                        f"{world.highest_acquired_token}"
                    )
                world.highest_acquired_token = max(world.highest_acquired_token, effect.fencing_token)
            if not isinstance(effect, SendToAcceptors):
                continue
            for k in range(len(world.keepers)):
                fault = way if k in faulty_keepers else ""
                if fault in ("late there", "doubled"):
                    claimant.to_keepers.setdefault(k, []).append(effect.message)
                if fault != "late there":
                    reply = self._deliver(world, k, effect.message)
                    if reply and fault == "late back":
                        claimant.to_claimant.setdefault(k, []).append(reply)
                    elif reply:
                        self._apply_effects(world, n, claimant.proposer.handle_reply(reply, _slow(world.now)))

    def _deliver(self, world: World, k: int, message: VoteRequest | VoteRelease) -> VoteReply | None:
        """A keeper handles a message.

        :returns: its reply; None if it gives none, or refuses.
        """
        keeper = world.keepers[k]
        if isinstance(message, VoteRelease):
            keeper.release(message, _fast(world.now))
            return None
        reply = keeper.vote(message, _fast(world.now))
        return None if isinstance(reply, VoteRefusal) else reply

    def _arrive(self, world: World, n: int, k: int) -> None:
        """A delayed message reaches a keeper; its reply is delayed as well."""
        claimant = world.claimants[n]
        if reply := self._deliver(world, k, claimant.to_keepers[k].pop(0)):
            claimant.to_claimant.setdefault(k, []).append(reply)

    def _hear(self, world: World, n: int, k: int) -> None:
        """A delayed reply reaches a claimant."""
        claimant = world.claimants[n]
        self._apply_effects(
            world, n, claimant.proposer.handle_reply(claimant.to_claimant[k].pop(0), _slow(world.now))
        )

    def _fall(self, world: World, k: int) -> None:
        """A keeper restarts with its stored tokens."""
        world.left["restarts"] -= 1
        keeper = world.keepers[k]
        world.keepers[k] = Acceptor(self.terms, keeper.name, _fast(world.now), keeper.highest_tokens())

    def _lose(self, world: World, k: int) -> None:
        """A keeper restarts, and has lost its stored tokens."""
        world.left["restarts_without_tokens"] -= 1
        world.tokens_lost = True
        world.keepers[k] = Acceptor(self.terms, world.keepers[k].name, _fast(world.now))

    def _stop(self, world: World, n: int) -> None:
        """A claimant is stopped after its check of the lease, ahead of its action."""
        world.left["stops"] -= 1
        world.claimants[n].stopped_with_token = world.claimants[n].proposer.fencing_token

    def _wake(self, world: World, n: int) -> None:
        """A stopped claimant goes on, and acts."""
        claimant = world.claimants[n]
        token, claimant.stopped_with_token = claimant.stopped_with_token, 0
        self._record_action(world, n, token)

    def _act(self, world: World, n: int) -> None:
        """A claimant acts."""
        world.left["acts"] -= 1
        self._record_action(world, n, world.claimants[n].proposer.fencing_token)

    def _record_action(self, world: World, n: int, token: int) -> None:
        if token >= world.highest_action_token:
            world.highest_action_token = token
        elif self.rejects_old_tokens:
            proposer = world.claimants[n].proposer
            self._apply_effects(
                world, n, proposer.handle_superseding_token(world.highest_action_token, _slow(world.now))
            )
        else:
            world.decrease = (
                f"an action with fencing token {token} follows one with {world.highest_action_token}"
            )

    def _release(self, world: World, n: int, faulty_keepers: tuple[int, ...], way: str) -> None:
        """A claimant releases its lease, and wants it again."""
        world.left["releases"] -= 1
        world.left["faults"] -= len(faulty_keepers)
        proposer = world.claimants[n].proposer
        effects = proposer.release(_slow(world.now))
        proposer.is_wanted = True
        self._apply_effects(world, n, effects, faulty_keepers, way)

    def violation(self, world: World) -> str:
        """Returns the property that doesn't hold; empty if all do."""
        holders = [
            n for n, claimant in enumerate(world.claimants) if claimant.proposer.may_act(_slow(world.now))
        ]
        if len(holders) > 1:
            return "two claimants hold the task, and both may act"
        return world.decrease

    # -- what identifies a state ---------------------------------------------------------------------------

    def key(self, world: World) -> tuple:
        """Returns the same for two states from which the same can follow; times are relative to now."""
        fast, slow = _fast(world.now), _slow(world.now)

        def keeper_key(k: int, keeper: Acceptor) -> tuple:
            task_vote = keeper.votes.get("t")
            voting_starts_in = max(0, keeper.voting_starts_at - fast)
            expires_in = max(0, task_vote.expires_at - fast) if task_vote else 0
            vote = (task_vote.process_token, task_vote.fencing_token, expires_in) if expires_in else ()
            known = (task_vote.highest_token, task_vote.highest_token_owner) if task_vote else ()
            return (
                voting_starts_in,
                vote,
                known,
                tuple(connection_key(k, keeper, claimant) for claimant in world.claimants),
            )

        def connection_key(k: int, keeper: Acceptor, claimant: Claimant) -> tuple:
            """Returns what lies between a keeper and a claimant; rounds count back from the claimant's."""
            proposer = claimant.proposer
            to_keeper = tuple(
                (message.fencing_token, proposer.round - message.round, message.is_holder)
                if isinstance(message, VoteRequest)
                else message.fencing_token
                for message in claimant.to_keepers.get(k, ())
            )
            to_claimant = tuple(
                (proposer.round - reply.round, reply.granted, reply.highest_token)
                for reply in claimant.to_claimant.get(k, ())
            )
            return (
                to_keeper,
                to_claimant,
                keeper.name in proposer.granted_by,
                keeper.name in proposer.answered_by,
            )

        def claimant_key(claimant: Claimant) -> tuple:
            proposer = claimant.proposer
            lease = (max(0, proposer.lease_ends_at - slow),) if proposer.is_holder else ()
            request_age = min(slow - proposer.requested_at, 2 * LENGTH)
            tokens = (proposer.fencing_token, proposer.highest_token_seen, proposer.may_repeat_token)
            return lease, tokens, request_age, claimant.stopped_with_token, claimant.has_asked

        # Keepers are interchangeable, so their order doesn't distinguish states.
        keepers = sorted((keeper_key(k, keeper) for k, keeper in enumerate(world.keepers)), key=repr)
        return (
            tuple(world.left.values()),
            tuple(keepers),
            tuple(map(claimant_key, world.claimants)),
            world.highest_action_token,
            world.highest_acquired_token,
            world.decrease,
            world.tokens_lost,
        )


# the bounds that are counted down
COUNTED = (
    "steps",
    "requests",
    "faults",
    "restarts",
    "restarts_without_tokens",
    "stops",
    "releases",
    "acts",
)


def _fast(now: int) -> int:
    """Returns the reading of a keeper's clock."""
    return now * 9 // 8


def _slow(now: int) -> int:
    """Returns the reading of a claimant's clock."""
    return now * 7 // 8


FINE = LENGTH // 16  # us of a step of time, short enough for differences between clocks
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
