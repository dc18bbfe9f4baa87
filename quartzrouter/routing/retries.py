"""The rules for retries, and for rejections that invite the client to retry.  No I/O."""

from quartzrouter.routing.in_flight import InFlightRequest
from quartzrouter.routing.model import Capabilities, Endpoint, Idempotency
from quartzrouter.routing.units import MILLISECOND, NEVER, SECOND

# Unexplained errors of a request, each from another cache, after which it is not sent again: the request
# itself can't be served.
MAX_UNEXPLAINED_ERRORS = 3
# Retry tokens that each first attempt earns; a retry costs one.  In the long run there are at most 0.3
# retries for each request, so that retries don't add up to a retry storm.
RETRIES_PER_REQUEST = 0.3
# Retry tokens that can accumulate, for the moment at which an endpoint fails and many requests need a retry.
MAX_RETRY_TOKENS = 20.0
# Time, in microseconds, between the latest send time of a retry and the end of its deduplication window.  It
# covers network delays.
DEDUPLICATION_MARGIN = 50 * MILLISECOND
# Retry-After time, in microseconds, of a rejection, unless the deployment allows only a shorter one.
# Overload lasts longer, so an earlier retry would most likely be rejected again.
RETRY_AFTER = SECOND // 2


def retry_after(capabilities: Capabilities) -> int:
    """Returns the Retry-After time of a rejection; 0: the deployment allows none."""
    return min(capabilities.max_retry_after, RETRY_AFTER)


class RetryPolicy:
    """Limits retries by idempotency, deduplication window, number of attempts and a retry budget.

    :ivar max_attempts: the most attempts of one request.
    :ivar tokens: retry tokens that are left in the budget.
    :ivar shared_limits_allow: whether limits that this router shares with others allow a retry now.
    :ivar retries_spent: the number of retries made so far.
    """

    def __init__(self, max_attempts: int) -> None:
        self.max_attempts = max_attempts
        self.tokens = MAX_RETRY_TOKENS
        self.shared_limits_allow = True
        self.retries_spent = 0

    def allows_attempt(self, in_flight: InFlightRequest, now: int) -> bool:
        """Returns True if a request may be sent now or sent again, apart from the retry budget."""
        if in_flight.is_finished or in_flight.is_streaming or in_flight.attempts:
            return False
        if in_flight.attempts_started >= self._max_attempts(in_flight):
            return False
        if len(in_flight.unexplained_errors) >= MAX_UNEXPLAINED_ERRORS:
            return False
        return now < in_flight.deadline and now < self.send_by(in_flight)

    def _max_attempts(self, in_flight: InFlightRequest) -> int:
        return min(in_flight.request.max_attempts or self.max_attempts, self.max_attempts)

    def send_by(self, in_flight: InFlightRequest) -> int:
        """Returns the time by which the next attempt must be sent.

        Prevents a second execution: a connection may be established so late that the endpoints no longer
        remember the request's key.

        :returns: ``NEVER`` if there is no limit; 0 if no further attempt may be sent at all.
        """
        first_execution = in_flight.possible_execution
        idempotency = in_flight.traffic_class.idempotency
        if first_execution is None or idempotency is Idempotency.IDEMPOTENT:
            return NEVER
        if idempotency is Idempotency.NON_IDEMPOTENT:
            return 0
        return (
            first_execution.started_at + in_flight.traffic_class.deduplication_window - DEDUPLICATION_MARGIN
        )

    def allows_endpoint(self, in_flight: InFlightRequest, endpoint: Endpoint) -> bool:
        """Returns True if no second execution is possible at an endpoint.

        A request that may have been executed elsewhere must not go to an endpoint that doesn't share the keys
        of the first endpoint's cell or location, as it wouldn't discard the duplicate.
        """
        first_execution = in_flight.possible_execution
        traffic_class = in_flight.traffic_class
        if first_execution is None or traffic_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        scope = traffic_class.deduplication_scope
        if scope == "all":
            return True
        first_endpoint = first_execution.endpoint
        if endpoint.location != first_endpoint.location:
            return False
        return scope == "zone" or endpoint.cell == first_endpoint.cell

    def allows_rejection(self, in_flight: InFlightRequest) -> bool:
        """Returns True if the client may be told to retry.

        Prevents a second execution by the client's own retry: a request that may have been executed is only
        rejected if it is idempotent or if every endpoint would discard the duplicate.
        """
        traffic_class = in_flight.traffic_class
        if in_flight.possible_execution is None or traffic_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        has_key = traffic_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        return has_key and traffic_class.deduplication_scope == "all"

    def try_spend(self, in_flight: InFlightRequest) -> bool:
        """Charges one attempt to the retry budget.

        A first attempt is free and earns ``RETRIES_PER_REQUEST`` tokens; a retry costs one.

        Prevents retry storms: without the budget, endpoints that fail under load would receive more attempts
        the more of them fail, and would never recover.

        :returns: False if the attempt is a retry that the tokens or the shared limits don't allow; nothing is
            charged then.
        """
        is_retry = in_flight.attempts_started > 0
        if not is_retry:
            self.tokens = min(MAX_RETRY_TOKENS, self.tokens + RETRIES_PER_REQUEST)
            return True
        if self.tokens < 1 or not self.shared_limits_allow:
            return False
        self.tokens -= 1
        self.retries_spent += 1
        return True
