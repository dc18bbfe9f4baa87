"""Terms and messages of slow start, which all routers share. No I/O.

An endpoint that has just started is overloaded if it is sent more than it can process within a window.  Each
router may use an equal part of a guaranteed share without a grant; the rest is granted, as *sending time* in
microseconds.

The named tuples are encoded as arrays: the order and the types of their fields are the wire format, while the
names are not sent.
"""

from enum import StrEnum
from typing import NamedTuple
from zlib import crc32

from quartzrouter.quota.budget import REQUESTS_PER_TTL, SECOND, clock_slack

# Endpoints in one message, to limit its length.
MAX_REQUESTS_PER_MESSAGE = 512
# Microseconds in one field of a message; a larger value is invalid.
MAX_SENDING_TIME = 3_600 * SECOND


class RefusedSlowStartField(StrEnum):
    """The field of a ``SlowStartRequest`` that caused a refusal; the values are sent to routers."""

    ENDPOINT = "server"
    TIER = "tier"
    SEQUENCE_NUMBER = "number"
    LIMIT = "most"
    WANTED = "want"
    SENDING_TIME_LEFT = "left"
    REQUEST_TIME = "unit"
    TERMS_CHECKSUM = "figures"
    RETURNED = "back"


class SlowStartTerms(NamedTuple):
    """The plan's terms for all endpoints of one tier.

    :param window: microseconds within which too much sending time overloads a starting endpoint.
    :param guaranteed_share: share of an endpoint's limit, from 0 to 1, that routers may use without a grant.
    :param routers: the maximum number of routers.
    :param grant_ttl: time to live of a grant, in microseconds.
    """

    window: int
    guaranteed_share: float
    routers: int
    grant_ttl: int

    @property
    def terms_checksum(self) -> int:
        """Returns a checksum of the terms, so that router and allocator can detect different plans."""
        return crc32(repr(tuple(self)).encode())

    @property
    def accounting_period(self) -> int:
        """Returns the microseconds for which a grant counts: a window and the time until it expires."""
        return self.window + self.grant_ttl + clock_slack(self.window + self.grant_ttl)

    @property
    def request_interval(self) -> int:
        """Returns the microseconds between two requests of a router."""
        return max(1, self.grant_ttl // REQUESTS_PER_TTL)

    def grant_expiry(self, requested_at: int) -> int:
        """Returns when a grant expires at its holder; see ``Budget.grant_expiry``.

        :param requested_at: time of the request, in microseconds of the holder's clock.
        """
        return requested_at + self.grant_ttl - clock_slack(self.grant_ttl)


class SlowStartRequest(NamedTuple):
    """A router's request for sending time at one endpoint.

    :param endpoint: the endpoint's name.
    :param tier: tier whose terms apply.
    :param sequence_number: counts the requests of the router's process from 1.
    :param limit: sending time that all routers together may use at the endpoint in a window now, in
        microseconds.
    :param wanted: sending time that this router would use in a window, including what it sent elsewhere, in
        microseconds.
    :param sending_time_left: microseconds that are granted and not used.
    :param request_time: sending time of one request to the endpoint, in microseconds; less is of no use.
    :param terms_checksum: checksum of the terms in the router's plan.
    :param returned: microseconds of grants that have expired unused, reported once.
    """

    endpoint: str
    tier: str
    sequence_number: int
    limit: int
    wanted: int
    sending_time_left: int
    request_time: int
    terms_checksum: int
    returned: int = 0


class SlowStartGrant(NamedTuple):
    """The allocator's grant for one request.

    :param endpoint: the endpoint in the request.
    :param sequence_number: the request's sequence number.
    :param sending_time: microseconds, in addition to what is left of earlier grants.
    """

    endpoint: str
    sequence_number: int
    sending_time: int


class SlowStartState(NamedTuple):
    """The allocator's state of a starting endpoint.

    :param endpoint: the endpoint's name.
    :param granted: sending time granted within the last accounting period, in microseconds.
    :param limit: sending time that all routers may use in a window, including the guaranteed share, in
        microseconds.
    :param routers: number of routers with a recent request.
    """

    endpoint: str
    granted: int
    limit: int
    routers: int
