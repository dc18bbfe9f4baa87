"""All routing decisions: placement, admission, retries, health and freshness.  No I/O.

Measures of load:

- contention: the transfers on an endpoint's link, plus one more, divided by the number that the link carries
  at full transfer rate.
- link load ratio: the transfers on the location's link divided by the number at which fills still finish in
  time.  Above 1, fills are late.
- utilization: the used share of a capacity, as reported.  For an endpoint it is between 0 and 1.  For the
  location's link it is the transfers on the link divided by the number that fit, which can exceed 1.
- saturated: describes an endpoint that should receive no further request.  It has too many requests in
  flight, has recently rejected one for lack of capacity, or can't meet the request's latency objective while
  other caches have spare capacity.
- late fills: the state in which recent fills were late or failed, and more often so than responses without a
  fill.

Other terms:

- lookup: an attempt that asks a cache only for a copy that it already holds, as with ``only-if-cached``; it
  never triggers a fill.
- replication degree: how many caches, the first in an object's rendezvous order, share its requests.
- slow start: the period after an endpoint's start in which it has less than its full capacity.  During that
  period all routers together send it no more than a budget, which grows with its age.
"""

LOGGER_NAME = "quartzrouter.routing"  # parent of this package's loggers; hosts attach their handlers to it
