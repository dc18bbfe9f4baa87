"""Budgets that the routers of a store or of the fleet share: allocation by lease of quota, and slow start.

The package holds decisions only, without I/O: ``allocator`` and ``slow_start_allocator`` run in the purge
log's server, ``client``, ``local_quota`` and ``slow_start_client`` in each router.
"""
