"""Retry budgets of a plan's policies.  Does no I/O."""

from collections.abc import Container

from quartzrouter.pool_routing.route_selection import RouteSelection

MAX_SAVED_RETRIES = 10.0  # retries that a policy may accumulate, for when a cache fails


class PolicyBudgets:
    """The retries that each policy with a budget has accumulated.

    Guards against retry storms, as ``RetryPolicy`` does for a whole router.
    """

    def __init__(self) -> None:
        self.saved: dict[str, float] = {}  # by policy

    def keep_only(self, policies: Container[str]) -> None:
        """Drops the accumulated retries of policies that are no longer in the plan."""
        self.saved = {name: saved for name, saved in self.saved.items() if name in policies}

    def max_attempts(self, selection: RouteSelection) -> int:
        """Adds a request's part of a retry to its policy's budget, and returns its maximum of attempts.

        :returns: 1 if the policy's budget is used up; 0 for as many attempts as the deployment allows.
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
