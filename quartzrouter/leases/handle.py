"""What a process that does a task sees of its lease, whoever speaks to the keepers for it."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from quartzrouter.leases.proposer import Proposer


class LeaseHandle(Protocol):
    """A task that is held.

    :param number: of this lease, to be shown to whoever is acted on.
    """

    number: int

    def held(self) -> bool:
        """Whether an act may begin; read right before each."""
        ...

    def passed(self, number: int) -> None:
        """Whoever was acted on has seen a higher number."""
        ...


class LeaseClient(Protocol):
    """:param steady: reads the monotonic clock by which leases end, us."""

    steady: Callable[[], int]

    def claim(self, task: str) -> Proposer: ...
    async def run(self) -> None: ...
    async def perform(self, task: str, work: Callable[[LeaseHandle], Awaitable[None]]) -> None:
        """Does the work whenever the task is held, and cancels it when it is lost."""
        ...

    async def release(self) -> None:
        """Gives up all tasks, once what is done has ended."""
        ...
