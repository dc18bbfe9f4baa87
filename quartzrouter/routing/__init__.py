"""Every decision on a request: placement, admission, retries, health and freshness.  No I/O."""

LOGGER_NAME = "quartzrouter.routing"  # hosts attach their handlers to this logger; the modules log below it
