"""The interface to leases for code that performs a fleet-wide task."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from quartzrouter.leases.proposer import Proposer


class LeaseHandle(Protocol):
    """A lease that this process holds.

    :param fencing_token: the token of this lease, to be sent with each action to its target.
    """

    fencing_token: int

    def may_act(self) -> bool:
        """Returns True if an action may start; call it right before each action."""
        ...

    def handle_superseding_token(self, fencing_token: int) -> None:
        """Ends the lease if the target of an action has seen a higher fencing token."""
        ...


class LeaseClient(Protocol):
    """The leases of one process.

    :param steady: returns the time of the monotonic clock by which leases end, in microseconds.
    """

    steady: Callable[[], int]

    def propose(self, task: str) -> Proposer:
        """Starts to request the lease of a task."""
        ...

    async def run(self) -> None:
        """Requests votes until it is cancelled."""
        ...

    async def perform(self, task: str, work: Callable[[LeaseHandle], Awaitable[None]]) -> None:
        """Runs the work whenever the lease of the task is held, and cancels it when the lease is lost."""
        ...

    async def release(self) -> None:
        """Releases all leases, once the work under them has ended."""
        ...
