"""A plan in force: which pool, which limits, which policy.  Decisions and state only, no I/O."""
