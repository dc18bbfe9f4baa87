"""Decisions about cache purges, without I/O: their order, who has applied them, which copies are stale."""
