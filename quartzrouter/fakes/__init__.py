"""Fakes of the parties around a router, on loopback, for tests and scenarios."""
