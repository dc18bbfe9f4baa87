"""Every decision on a request: placement, admission, retries, health and freshness.  No I/O.

Measures of load:

- contention: the transfers on an endpoint's link with one more, over those that it carries at full rate.
- crowding: the transfers on the location's link, over those with which fills still come in time.  Above 1
  fills come late.
- utilization: what is in use of a capacity, as reported: of an endpoint a share from 0 to 1, of the
  location's link the transfers on it over those that fit, which may exceed 1.
- saturated: said of an endpoint that should get no further request.  It has too many in flight, has
  refused one for capacity a moment ago, or can't meet the request's latency objective while other caches
  have room.
- in trouble: said of fills.  Recent ones have come late, and more often than answers without a fill.

Other terms:

- lookup: an attempt that asks a cache only for a copy that it holds, as with ``only-if-cached``; it never
  fills.
- replication degree: how many caches, the first in an object's rendezvous order, share its requests.
- slow start: the time after an endpoint's start in which it does less than later.  Meanwhile all routers
  together send it no more than a budget, which grows with its age.
"""

LOGGER_NAME = "quartzrouter.routing"  # hosts attach their handlers to this logger; the modules log below it
