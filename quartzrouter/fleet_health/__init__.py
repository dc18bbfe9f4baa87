"""Health of the caches of a store, put together from what all its routers report. No I/O.

``aggregator`` runs in the purge log's server, ``accepted_ejections`` in each router.
"""
