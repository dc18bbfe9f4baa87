"""Budgets and slow starts that the routers of a store or of the fleet share by means of expiring grants.

The package makes decisions only and does no I/O: ``allocator`` and ``slow_start_allocator`` run in the purge
log's server, ``client``, ``local_quota`` and ``slow_start_client`` in each router.
"""
