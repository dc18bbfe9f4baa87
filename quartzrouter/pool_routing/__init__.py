"""Applies the current plan to requests: pools, limits and policies.  Does no I/O."""
