"""A client's parameters to a req under a plan: what routes see of it, and what the route makes of it."""

import secrets
from urllib.parse import parse_qsl

from quartzrouter.config.patterns import METHODS
from quartzrouter.config.request_sets import Asked
from quartzrouter.pool_routing.multi_pool_router import MultiPoolRouter
from quartzrouter.routing.model import Idempotency
from quartzrouter.server.events import ClientRequest
from quartzrouter.server.request_reader import (
    KEY_PATTERN,
    MAX_DEADLINE_MS,
    NUMBER_PATTERN,
    TOKEN_PATTERN,
    InvalidRequest,
)

PATH_MOST = 2_048  # characters: longer paths name nothing
PARAMS_MOST = 64  # of a query


class RequestParser:
    """Reads reqs under the plan in force.

    :param home: the store that reqs come to which name none in X-Store.
    """

    def __init__(self, force: MultiPoolRouter, home: str):
        self.force, self.home = force, home

    def call(self, params: dict[str, str]) -> ClientRequest:
        """The req; raises Unusable with its status where it can't be used."""
        asked = self.asked(params)
        client = params.get("HTTP_X_CLIENT") or params.get("REMOTE_ADDR", "")
        ruling = self.force.rule(asked, client)
        if ruling is None:
            raise InvalidRequest("no route takes it", 404)
        vhost = ruling.vhost
        key = params.get("HTTP_X_OPERATION_KEY")
        if key is None and vhost.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            raise InvalidRequest("X-Operation-Key is missing")
        if key is not None and not KEY_PATTERN.fullmatch(key):
            raise InvalidRequest(f"X-Operation-Key is {key!r:.40}")
        told = params.get("HTTP_X_DEADLINE_MS")
        if told is not None and not (NUMBER_PATTERN.fullmatch(told) and 0 < int(told) <= MAX_DEADLINE_MS):
            raise InvalidRequest(f"X-Deadline-Ms is {told!r:.40}")
        return ClientRequest(
            correlation_id=_token(params, "HTTP_X_CORRELATION_ID") or secrets.token_hex(8),
            traffic_class=vhost.name,
            object_key=_token(params, "HTTP_X_SUBJECT") or ruling.obj,
            chunk=ruling.part,
            tag=ruling.group,
            timeout=self.force.timeout(ruling, int(told) * 1000 if told else 0),
            idempotency_key=key,
            if_none_match=_token(params, "HTTP_X_KNOWN"),
            route_selection=ruling,
        )

    def asked(self, params: dict[str, str]) -> Asked:
        path = params.get("SCRIPT_NAME", "") + params.get("PATH_INFO", "")
        method = params.get("REQUEST_METHOD", "GET")
        if not path.startswith("/") or len(path) > PATH_MOST:
            raise InvalidRequest("no path, or one that is too long")
        if method not in METHODS:
            raise InvalidRequest(f"the method is {method!r:.40}")
        store = params.get("HTTP_X_STORE", self.home)
        if store not in self.force.plan.stores:
            raise InvalidRequest(f"X-Store is {store!r:.40}")
        headers = {
            name.removeprefix("HTTP_").replace("_", "-").lower(): value
            for name, value in params.items()
            if name.startswith("HTTP_")
        }
        try:
            query = dict(parse_qsl(params.get("QUERY_STRING", ""), True, max_num_fields=PARAMS_MOST))
        except ValueError:
            raise InvalidRequest(f"more than {PARAMS_MOST} parameters") from None
        host = headers.get("host", "").lower().partition(":")[0]
        return Asked(store, host, path, method, headers, query)


def _token(params: dict[str, str], name: str) -> str | None:
    value = params.get(name)
    if value is not None and not TOKEN_PATTERN.fullmatch(value):
        raise InvalidRequest(f"{name.removeprefix('HTTP_').replace('_', '-').title()} is {value!r:.40}")
    return value
