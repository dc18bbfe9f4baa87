"""Processes around leases: an acceptor with its disk, and a proposer's connections to all acceptors.

A lease is for a task: fleet-wide work that one process does at a time. Operators' pages, commands and log
lines say keeper for an acceptor, claimant for a proposer, and number for a fencing token.
"""
