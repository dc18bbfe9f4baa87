"""Breadth first over all states of a model, so that the first trace that breaks a property is a shortest one.

States are copied by pickle, and told apart by what the model says of them.
"""

import pickle
import time
from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol


class Model(Protocol):
    """What may happen to a state; the state itself is any value that can be pickled."""

    def start(self) -> Any: ...
    def actions(self, state: Any) -> Iterable[tuple]:
        """All that can happen next, each as a name and its arguments."""
        ...

    def act(self, state: Any, action: tuple) -> None:
        """Lets it happen, in place."""
        ...

    def key(self, state: Any) -> Hashable:
        """What tells states apart: all that may matter later, and nothing else."""
        ...

    def violation(self, state: Any) -> str:
        """The property that doesn't hold; empty where all do."""
        ...


@dataclass
class SearchResult:
    """:param is_complete: all states within the model's own bounds were seen."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    seconds: float = 0.0
    is_complete: bool = True
    violation: str = ""
    trace: list[tuple] = field(default_factory=list)

    def format_trace(self) -> str:
        """The trace, a line an action."""
        return "\n".join(
            [*(f"{n:3}  {_said(a)}" for n, a in enumerate(self.trace, 1)), f"     {self.violation}"]
        )


def _said(action: tuple) -> str:
    return " ".join(map(str, action))


def explore(model: Model, most: int, seconds: float = 600.0) -> SearchResult:
    """Explores until a property is broken or all is seen.

    :param most: states; beyond, `is_complete` is False.
    :param seconds: likewise.
    """
    found, began = SearchResult(), time.monotonic()
    first = model.start()
    came: list[tuple[int, tuple]] = [(-1, ())]  # by number of a state: from which, by what
    seen = {model.key(first)}
    todo = deque([(0, 0, pickle.dumps(first, -1))])
    while todo and not found.violation:
        number, depth, packed = todo.popleft()
        found.depth = max(found.depth, depth)
        state = pickle.loads(packed)
        for action in list(model.actions(state)):
            after = pickle.loads(packed)
            model.act(after, action)
            found.steps += 1
            key = model.key(after)
            if key in seen:
                continue
            seen.add(key)
            came.append((number, action))
            if violation := model.violation(after):
                found.violation, found.trace = violation, _trace(came, len(came) - 1)
                break
            todo.append((len(came) - 1, depth + 1, pickle.dumps(after, -1)))
        if len(seen) >= most or time.monotonic() - began > seconds:
            found.is_complete = not todo
            break
    found.states, found.seconds = len(seen), time.monotonic() - began
    return found


def _trace(came: list[tuple[int, tuple]], at: int) -> list[tuple]:
    trace = []
    while at > 0:
        at, action = came[at]
        trace.append(action)
    return trace[::-1]
