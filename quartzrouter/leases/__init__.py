"""Leases for fleet-wide tasks, decided without I/O: keepers that vote, claimants that hold and let go."""
