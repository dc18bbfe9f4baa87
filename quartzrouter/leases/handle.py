"""What a process that does a fleet-wide task sees of its lease, whoever speaks to the acceptors for it."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from quartzrouter.leases.proposer import Proposer


class LeaseHandle(Protocol):
    """A lease that is held.

    :param fencing_token: of this lease, to be shown to whoever is acted on.
    """

    fencing_token: int

    def may_act(self) -> bool:
        """Whether an action may start; read right before each."""
        ...

    def handle_superseding_token(self, fencing_token: int) -> None:
        """Whoever was acted on has seen that higher fencing token."""
        ...


class LeaseClient(Protocol):
    """The leases of one process.

    :param steady: reads the monotonic clock by which leases end, in microseconds.
    """

    steady: Callable[[], int]

    def propose(self, task: str) -> Proposer:
        """Wants a task from now on."""
        ...

    async def run(self) -> None:
        """Requests votes until it is cancelled."""
        ...

    async def perform(self, task: str, work: Callable[[LeaseHandle], Awaitable[None]]) -> None:
        """Does the work whenever the task is held, and cancels it when the lease is lost."""
        ...

    async def release(self) -> None:
        """Gives up all tasks, once their work has ended."""
        ...
