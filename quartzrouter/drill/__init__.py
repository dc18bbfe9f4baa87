"""The bench adapter: plays the platform's bench, lines of JSON in and out, against the routing decisions.

The bench simulates clients, caches and the network, and asks the routers of one process for their decisions
in batches.  ``python -m quartzrouter.drill`` reads batches from standard input and writes actions to standard
output; the package's name is the one that the platform's deploy page gives.

``wire`` is the only module that knows the bench's field names, ``events`` has what they are decoded to,
and ``host`` keeps the routers.
"""
