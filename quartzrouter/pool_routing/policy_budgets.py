"""Retry budgets of a plan's policies.  No I/O."""

from collections.abc import Container

from quartzrouter.pool_routing.route_selection import RouteSelection

MAX_SAVED_RETRIES = 10.0  # that a policy may save up for a moment at which a cache fails


class PolicyBudgets:
    """How many retries each policy with a budget has saved up.

    Guards against retry storms, as ``RetryPolicy`` does for a router as a whole.
    """

    def __init__(self) -> None:
        self.saved: dict[str, float] = {}  # by policy

    def keep_only(self, policies: Container[str]) -> None:
        """Drops what policies have saved that are no longer in the plan."""
        self.saved = {name: saved for name, saved in self.saved.items() if name in policies}

    def max_attempts(self, selection: RouteSelection) -> int:
        """Earns the part of a retry that a request brings, and says how many attempts it may have.

        :returns: one where the policy's budget is used up; 0: as many as the deployment allows.
        """
        policy, name = selection.policy, selection.route.policy
        allowed = policy.dispatches or 0
        if policy.budget is None or not name:
            return allowed
        saved = self.saved.get(name, MAX_SAVED_RETRIES)
        self.saved[name] = min(MAX_SAVED_RETRIES, saved + policy.budget)
        return allowed if saved >= 1 else 1

    def spend(self, selection: RouteSelection) -> None:
        """Charges one retry to the policy of a request."""
        name = selection.route.policy
        if selection.policy.budget is not None and name:
            saved = self.saved.get(name, MAX_SAVED_RETRIES)
            self.saved[name] = max(0.0, saved - 1)
