"""A breadth-first search over all states of a model, so that it finds a shortest trace to a violation.

States are copied by pickle, and compared by the keys that the model gives them.
"""

import pickle
import time
from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol


class Model(Protocol):
    """What may happen to a state; a state is any value that can be pickled."""

    def start(self) -> Any:
        """Returns the initial state."""
        ...

    def actions(self, state: Any) -> Iterable[tuple]:
        """Yields all actions that are possible next, each as a name and its arguments."""
        ...

    def act(self, state: Any, action: tuple) -> None:
        """Carries out an action, in place."""
        ...

    def key(self, state: Any) -> Hashable:
        """Returns what identifies a state: all that may matter later, and nothing else."""
        ...

    def violation(self, state: Any) -> str:
        """Returns the property that doesn't hold; empty if all do."""
        ...


@dataclass
class SearchResult:
    """What a search found.

    :param steps: actions that were carried out.
    :param depth: the longest trace that was explored.
    :param is_complete: all states within the model's own bounds were seen.
    :param violation: the property that doesn't hold in the last state of the trace; empty if none was found.
    """

    states: int = 0
    steps: int = 0
    depth: int = 0
    seconds: float = 0.0
    is_complete: bool = True
    violation: str = ""
    trace: list[tuple] = field(default_factory=list)

    def format_trace(self) -> str:
        """Returns the trace with one action per line, and the violation."""
        return "\n".join(
            [
                *(f"{number:3}  {_format_action(action)}" for number, action in enumerate(self.trace, 1)),
                f"     {self.violation}",
            ]
        )


def _format_action(action: tuple) -> str:
    return " ".join(map(str, action))


def explore(model: Model, max_states: int, seconds: float = 600.0) -> SearchResult:
    """Explores until a property is violated or all states were seen.

    :param max_states: after which the search stops, with `is_complete` False.
    :param seconds: likewise.
    """
    result, began = SearchResult(), time.monotonic()
    first = model.start()
    origins: list[tuple[int, tuple]] = [(-1, ())]  # by a state's number: its predecessor, and the action
    seen = {model.key(first)}
    queue = deque([(0, 0, pickle.dumps(first, -1))])
    while queue and not result.violation:
        number, depth, packed = queue.popleft()
        result.depth = max(result.depth, depth)
        state = pickle.loads(packed)
        for action in list(model.actions(state)):
            successor = pickle.loads(packed)
            model.act(successor, action)
            result.steps += 1
            key = model.key(successor)
            if key in seen:
                continue
            seen.add(key)
            origins.append((number, action))
            if violation := model.violation(successor):
                result.violation, result.trace = violation, _trace(origins, len(origins) - 1)
                break
            queue.append((len(origins) - 1, depth + 1, pickle.dumps(successor, -1)))
        if len(seen) >= max_states or time.monotonic() - began > seconds:
            result.is_complete = not queue
            break
    result.states, result.seconds = len(seen), time.monotonic() - began
    return result


def _trace(origins: list[tuple[int, tuple]], number: int) -> list[tuple]:
    """Returns the actions that lead to a state."""
    trace = []
    while number > 0:
        number, action = origins[number]
        trace.append(action)
    return trace[::-1]
