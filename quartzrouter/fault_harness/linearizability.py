"""Checks whether concurrent operations are linearizable: whether a sequential order explains their results.

Wing and Gong's search with Lowe's memoization: an operation may be the next one if it was called before any
other remaining operation returned; a combination of completed operations and state is examined only once.
An operation without a result may have taken effect at any time after its call, or never.
"""

from collections.abc import Callable, Hashable, Sequence
from typing import NamedTuple

from quartzrouter.fault_harness.history import History

MAX_STATES = 200_000  # examined; beyond that the check gives up


class Operation(NamedTuple):
    """One operation of a client.

    :param called_at: us when the request passed.
    :param returned_at: us when the response passed; None if there was none.
    :param arguments: for the specification.
    :param result: None if there was no response.
    """

    called_at: int
    returned_at: int | None
    arguments: tuple
    result: tuple | None


# A sequential specification: takes a state and arguments, returns the next state and the result.
Spec = Callable[[Hashable, tuple], tuple[Hashable, tuple]]


def is_linearizable(ops: Sequence[Operation], spec: Spec, state: Hashable) -> bool | None:
    """Returns True if a sequential order explains all results; None if MAX_STATES didn't suffice to tell.

    :param state: the specification's initial state.
    """
    ops = sorted(ops, key=lambda op: op.called_at)
    never = max((op.returned_at or op.called_at for op in ops), default=0) + 1
    ends = [never if op.returned_at is None else op.returned_at for op in ops]
    optional = sum(1 << n for n, op in enumerate(ops) if op.returned_at is None)  # may not have taken effect
    all_ops = (1 << len(ops)) - 1
    examined: set[tuple[int, Hashable]] = set()
    pending = [(0, 0, state)]
    while pending:
        completed, first, now = pending.pop()
        if completed | optional == all_ops:
            return True
        while completed >> first & 1:
            first += 1
        if (completed, now) in examined:
            continue
        examined.add((completed, now))
        if len(examined) > MAX_STATES:
            return None
        earliest_end = min(ends[n] for n in _candidates(ops, ends, completed, first))
        for n in range(first, len(ops)):
            if ops[n].called_at > earliest_end:
                break
            if completed >> n & 1:
                continue
            next_state, result = spec(now, ops[n].arguments)
            if ops[n].result is None or ops[n].result == result:
                pending.append((completed | 1 << n, first, next_state))
    return False


def _candidates(ops: Sequence[Operation], ends: Sequence[int], completed: int, first: int) -> list[int]:
    """Returns the remaining operations among which the earliest end is.

    The search stops at an operation that was called after another one ended: it ends later, as do all that
    follow it.
    """
    candidates, earliest_end = [], None
    for n in range(first, len(ops)):
        if completed >> n & 1:
            continue
        if earliest_end is not None and ops[n].called_at > earliest_end:
            break
        candidates.append(n)
        earliest_end = ends[n] if earliest_end is None else min(earliest_end, ends[n])
    return candidates


def fencing_spec(highest_token: int, arguments: tuple) -> tuple[int, tuple]:
    """Specifies the witness: it rejects a fencing token lower than the highest that has acted."""
    (token,) = arguments
    return (highest_token, ("no", highest_token)) if token < highest_token else (token, ("yes", token))


def operations_from_history(history: History) -> list[Operation]:
    """Returns the operations of claimants on the witness; each claimant has one at a time."""
    operations: list[Operation] = []
    in_progress: dict[str, tuple[int, tuple]] = {}
    for event in history.events_of("call", "back"):
        if event.kind == "call":
            if unanswered := in_progress.pop(event.actor, None):  # its connection ended without an answer
                operations.append(Operation(unanswered[0], None, unanswered[1], None))
            in_progress[event.actor] = (event.time, (event.details["number"],))
        elif event.actor in in_progress and event.details["answer"][0] != "fails":
            called_at, arguments = in_progress.pop(event.actor)
            operations.append(Operation(called_at, event.time, arguments, tuple(event.details["answer"])))
        else:
            in_progress.pop(event.actor, None)  # a failed action has changed nothing
    return operations + [
        Operation(called_at, None, arguments, None) for called_at, arguments in in_progress.values()
    ]
