"""Leases for fleet-wide tasks, decided without I/O: acceptors vote, proposers hold leases and release them.

A task is fleet-wide work that one process does at a time, such as the delivery of purges to caches.

Operators' pages, commands and log lines say keeper for an acceptor, claimant for a proposer, and number for a
fencing token.
"""
