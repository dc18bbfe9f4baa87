"""The health of a fleet: what all routers have observed of the caches, put together; no I/O."""
