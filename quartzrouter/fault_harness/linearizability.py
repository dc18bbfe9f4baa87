"""Whether what clients were answered could have come from one party that took one op after the other.

Wing and Gong's search with Lowe's memo: an op may come next if it was called before any op that is still to
come had its answer; a set of ops that are over and a state that were seen once aren't looked at again.  Ops
without an answer may have taken effect at any time after their call, or never.
"""

from collections.abc import Callable, Hashable, Sequence
from typing import NamedTuple

from quartzrouter.fault_harness.history import History

STATES_MOST = 200_000  # looked at; beyond, nothing is known


class Operation(NamedTuple):
    """:param called_at: us when the client's word passed.
    :param returned_at: us when the answer did; None: none came.
    :param arguments: of it, for the spec.
    :param result: None where none came.
    """

    called_at: int
    returned_at: int | None
    arguments: tuple
    result: tuple | None


# state, what -> the state after it and the answer
Spec = Callable[[Hashable, tuple], tuple[Hashable, tuple]]


def is_linearizable(ops: Sequence[Operation], spec: Spec, state: Hashable) -> bool | None:
    """Whether there is an order; None where that isn't found out within bounds."""
    ops = sorted(ops, key=lambda op: op.called_at)
    never = max((op.returned_at or op.called_at for op in ops), default=0) + 1
    ends = [never if op.returned_at is None else op.returned_at for op in ops]
    done = sum(1 << n for n, op in enumerate(ops) if op.returned_at is None)  # those may stay out
    whole = (1 << len(ops)) - 1
    seen: set[tuple[int, Hashable]] = set()
    todo = [(0, 0, state)]
    while todo:
        over, first, now = todo.pop()
        if over | done == whole:
            return True
        while over >> first & 1:
            first += 1
        if (over, now) in seen:
            continue
        seen.add((over, now))
        if len(seen) > STATES_MOST:
            return None
        soonest = min(ends[n] for n in _near(ops, ends, over, first))
        for n in range(first, len(ops)):
            if ops[n].called_at > soonest:
                break
            if over >> n & 1:
                continue
            after, answer = spec(now, ops[n].arguments)
            if ops[n].result is None or ops[n].result == answer:
                todo.append((over | 1 << n, first, after))
    return False


def _near(ops: Sequence[Operation], ends: Sequence[int], over: int, first: int) -> list[int]:
    """Ops still to come, up to one that is called after another of them has ended: later ones end later."""
    found, soonest = [], None
    for n in range(first, len(ops)):
        if over >> n & 1:
            continue
        if soonest is not None and ops[n].called_at > soonest:
            break
        found.append(n)
        soonest = ends[n] if soonest is None else min(soonest, ends[n])
    return found


def fencing_spec(seen: int, what: tuple) -> tuple[int, tuple]:
    """The spec of whoever is acted on: a number lower than one that has acted is refused."""
    (number,) = what
    return (seen, ("no", seen)) if number < seen else (number, ("yes", number))


def operations_from_history(history: History) -> list[Operation]:
    """What passed between claimants and their witness, one op of each at a time."""
    found: list[Operation] = []
    open_: dict[str, tuple[int, tuple]] = {}
    for event in history.events_of("call", "back"):
        if event.kind == "call":
            if before := open_.pop(event.actor, None):  # its line has ended without an answer
                found.append(Operation(before[0], None, before[1], None))
            open_[event.actor] = (event.time, (event.details["number"],))
        elif event.actor in open_ and event.details["answer"][0] != "fails":
            called, what = open_.pop(event.actor)
            found.append(Operation(called, event.time, what, tuple(event.details["answer"])))
        else:
            open_.pop(event.actor, None)  # what failed has changed nothing
    return found + [Operation(called, None, what, None) for called, what in open_.values()]
