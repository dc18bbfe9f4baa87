"""Purges for a whole fleet: what routers, the ledger and couriers decide and hold; nothing here does I/O."""
