"""Slow start of an endpoint, shared by all routers: its terms, and the messages on it. No I/O.

An endpoint that has just started falls over when it is sent more than it can do within a window.  Each
router may spend an equal part of a guaranteed share without asking; the rest is granted, as *sending time*
in microseconds.

The named tuples travel as arrays: the order and the types of the fields are the format on the wire, the names
are not.
"""

from enum import StrEnum
from typing import NamedTuple
from zlib import crc32

from quartzrouter.quota.budget import REQUESTS_PER_TTL, SECOND, clock_slack

MAX_REQUESTS_PER_MESSAGE = 512  # endpoints in one message: bounds its length
MAX_SENDING_TIME = 3_600 * SECOND  # microseconds in one message: more can't be meant


class RefusedSlowStartField(StrEnum):
    """The field of a ``SlowStartRequest`` on account of which it is refused; the values travel."""

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
    """Terms of all endpoints of one tier, by the plan.

    :param window: microseconds in which a starting endpoint falls over when it is sent too much.
    :param guaranteed_share: of what it may be sent, from 0 to 1, that routers send without asking.
    :param routers: the most that there may be.
    :param grant_ttl: time to live of a grant, microseconds.
    """

    window: int
    guaranteed_share: float
    routers: int
    grant_ttl: int

    @property
    def terms_checksum(self) -> int:
        """Checksum of the terms, by which router and allocator notice that their plans differ."""
        return crc32(repr(tuple(self)).encode())

    @property
    def accounting_period(self) -> int:
        """Microseconds in which grants count together: a window, and the time in which they may be used."""
        return self.window + self.grant_ttl + clock_slack(self.window + self.grant_ttl)

    @property
    def request_interval(self) -> int:
        """Microseconds between two requests of a router."""
        return max(1, self.grant_ttl // REQUESTS_PER_TTL)

    def grant_expiry(self, requested_at: int) -> int:
        """When a grant expires at its holder, as of ``Budget.grant_expiry``.

        :param requested_at: microseconds of the holder's clock.
        """
        return requested_at + self.grant_ttl - clock_slack(self.grant_ttl)


class SlowStartRequest(NamedTuple):
    """A router asks for sending time at one endpoint.

    :param endpoint: its name.
    :param tier: whose terms hold.
    :param sequence_number: counts the requests of the router's process from 1.
    :param limit: microseconds of sending time that all routers together may spend on it in a window now.
    :param wanted: microseconds that this router would spend in a window, what it sent elsewhere included.
    :param sending_time_left: microseconds that are granted and not used.
    :param request_time: microseconds of one request to the endpoint; less than that is of no use.
    :param terms_checksum: checksum of the terms in the router's plan.
    :param returned: microseconds of grants that have expired unused, told once.
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
    """The allocator's answer to one request.

    :param endpoint: of the request.
    :param sequence_number: of the request.
    :param sending_time: microseconds, on top of what is left of earlier grants.
    """

    endpoint: str
    sequence_number: int
    sending_time: int


class SlowStartState(NamedTuple):
    """A starting endpoint as the allocator sees it.

    :param endpoint: its name.
    :param granted: microseconds of sending time within the last accounting period.
    :param limit: microseconds that all routers may spend on it in a window, the guaranteed share included.
    :param routers: how many have asked lately.
    """

    endpoint: str
    granted: int
    limit: int
    routers: int
