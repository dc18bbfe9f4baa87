"""Health of the caches of a store, aggregated from the reports of all its routers. No I/O.

``aggregator`` runs in the purge log's server, ``accepted_ejections`` in each router.
"""
