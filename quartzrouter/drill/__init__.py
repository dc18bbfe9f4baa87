"""The simulator's adapter: connects the routing decisions to the platform's simulator by lines of JSON.

The simulator plays clients, caches and the network, and asks the routers of one process for their decisions
in batches.  ``python -m quartzrouter.drill`` reads batches from standard input and writes actions to standard
output; the platform's deployment documentation gives the package its name.

``wire`` is the only module that knows the simulator's field names, ``events`` defines the decoded events, and
``host`` holds the routers.
"""
