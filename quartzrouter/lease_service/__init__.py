"""The lease service: an acceptor's server and disk, and a proposer's connections to all acceptors.

A lease is for a task: fleet-wide work that only one process may do at a time. The operators' documentation,
commands and log lines call an acceptor a keeper, a proposer a claimant, and a fencing token a number.
"""
