"""Leases for fleet-wide tasks, without I/O: acceptors vote, proposers acquire, renew and release leases.

A task is fleet-wide work that only one process may do at a time, such as delivering purges to caches.

The operators' documentation, commands and log lines call an acceptor a keeper, a proposer a claimant, and a
fencing token a number.
"""
