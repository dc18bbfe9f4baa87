"""The logic of cache purges, without I/O: their order, which members applied them, which copies are stale."""
