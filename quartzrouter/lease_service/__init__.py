"""Processes around leases: a keeper with its disk, and a claimant's lines to all keepers."""
