"""Parses requests to a standalone router, and selects the route by host, path, headers and query.

On the platform, a client names the class, object and tag of its request in headers.  Here the route
determines them, and a client may send any HTTP request; headers of the platform's protocol take precedence.
"""

import secrets
from urllib.parse import parse_qsl

from quartzrouter.config.patterns import METHODS
from quartzrouter.config.request_sets import RouteQuery
from quartzrouter.pool_routing.multi_pool_router import MultiPoolRouter
from quartzrouter.pool_routing.route_selection import RouteSelection
from quartzrouter.routing.model import Idempotency
from quartzrouter.server.events import ClientRequest
from quartzrouter.server.request_reader import (
    KEY_PATTERN,
    MAX_DEADLINE_MS,
    NUMBER_PATTERN,
    TOKEN_PATTERN,
    InvalidRequestError,
)

MAX_PATH_LENGTH = 2_048  # characters; the configuration allows no longer paths
MAX_QUERY_PARAMETERS = 64
GENERATED_ID_SIZE = 8  # bytes of the correlation id if the client sends none
MICROSECONDS_PER_MS = 1_000
HEADER_PREFIX = "HTTP_"  # of CGI parameters that contain headers


class RequestParser:
    """Parses requests under the current configuration.

    :param home: the store of requests that name none in ``X-Store``.
    """

    def __init__(self, multi_pool_router: MultiPoolRouter, home: str):
        self.multi_pool_router = multi_pool_router
        self.home = home

    def parse(self, params: dict[str, str]) -> ClientRequest:
        """Parses one request.

        :param params: CGI parameters by name.
        :raises InvalidRequestError: if a field is invalid, or no route matches.
        """
        route_query = self.route_query(params)
        client = params.get("HTTP_X_CLIENT") or params.get("REMOTE_ADDR", "")
        selection = self.multi_pool_router.select_route(route_query, client)
        if selection is None:
            raise InvalidRequestError("no route takes it", 404)
        idempotency_key = _idempotency_key(params, selection)
        deadline_ms = _deadline_ms(params)
        return ClientRequest(
            correlation_id=_token(params, "HTTP_X_CORRELATION_ID") or secrets.token_hex(GENERATED_ID_SIZE),
            traffic_class=selection.traffic_class.name,
            object_key=_token(params, "HTTP_X_SUBJECT") or selection.object_key,
            chunk=selection.chunk,
            tag=selection.tag,
            timeout=self.multi_pool_router.client_timeout(selection, deadline_ms * MICROSECONDS_PER_MS),
            idempotency_key=idempotency_key,
            if_none_match=_token(params, "HTTP_X_KNOWN"),
            route_selection=selection,
        )

    def route_query(self, params: dict[str, str]) -> RouteQuery:
        """Returns the properties of a request by which its route is selected.

        :raises InvalidRequestError: if path, method, store or query are invalid.
        """
        path = params.get("SCRIPT_NAME", "") + params.get("PATH_INFO", "")
        if not path.startswith("/") or len(path) > MAX_PATH_LENGTH:
            raise InvalidRequestError("no path, or one that is too long")
        method = params.get("REQUEST_METHOD", "GET")
        if method not in METHODS:
            raise InvalidRequestError(f"the method is {method!r:.40}")
        store = params.get("HTTP_X_STORE", self.home)
        if store not in self.multi_pool_router.plan.stores:
            raise InvalidRequestError(f"X-Store is {store!r:.40}")
        headers = _headers(params)
        host = headers.get("host", "").lower().partition(":")[0]
        return RouteQuery(store, host, path, method, headers, _query(params))


def _headers(params: dict[str, str]) -> dict[str, str]:
    """Returns the headers' values by name in lower case."""
    return {
        name.removeprefix(HEADER_PREFIX).replace("_", "-").lower(): value
        for name, value in params.items()
        if name.startswith(HEADER_PREFIX)
    }


def _query(params: dict[str, str]) -> dict[str, str]:
    """Returns the query's parameters by name; if a name occurs several times, the last value.

    :raises InvalidRequestError: if there are too many parameters.
    """
    text = params.get("QUERY_STRING", "")
    try:
        return dict(parse_qsl(text, keep_blank_values=True, max_num_fields=MAX_QUERY_PARAMETERS))
    except ValueError:
        raise InvalidRequestError(f"more than {MAX_QUERY_PARAMETERS} parameters") from None


def _idempotency_key(params: dict[str, str], selection: RouteSelection) -> str | None:
    """Returns the key by which caches recognise a repeated request.

    :raises InvalidRequestError: if it is invalid, or missing although the traffic class requires it.
    """
    key = params.get("HTTP_X_OPERATION_KEY")
    if key is None and selection.traffic_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
        raise InvalidRequestError("X-Operation-Key is missing")
    if key is not None and not KEY_PATTERN.fullmatch(key):
        raise InvalidRequestError(f"X-Operation-Key is {key!r:.40}")
    return key


def _deadline_ms(params: dict[str, str]) -> int:
    """Returns the milliseconds for which the client waits, or 0 if it doesn't tell.

    :raises InvalidRequestError: if the value is invalid.
    """
    text = params.get("HTTP_X_DEADLINE_MS")
    if text is None:
        return 0
    if not NUMBER_PATTERN.fullmatch(text) or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise InvalidRequestError(f"X-Deadline-Ms is {text!r:.40}")
    return int(text)


def _token(params: dict[str, str], name: str) -> str | None:
    """Returns the value of a header that has to be a token, or None if the client doesn't send it.

    :raises InvalidRequestError: if the value is invalid.
    """
    value = params.get(name)
    if value is not None and not TOKEN_PATTERN.fullmatch(value):
        header = name.removeprefix(HEADER_PREFIX).replace("_", "-").title()
        raise InvalidRequestError(f"{header} is {value!r:.40}")
    return value
