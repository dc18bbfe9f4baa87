"""Units of time.  All times and durations of this package are whole microseconds."""

MILLISECOND = 1_000
SECOND = 1_000_000

NEVER = 1 << 62
"""A time later than any that a clock returns; ``-NEVER`` is earlier than any."""
