"""Fake caches, parents and an origin: they keep copies, fill, collapse requests into fills and take purges.

A copy's body contains its path and the true time at which the origin made it, so that a checker can check any
response. The fakes are as lax as the protocol allows: a request that joins a fill gets the copy that the fill
brings, however old that is.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import anyio

from quartzrouter.fakes.loopback import Server, request_heads, tag_of_target
from quartzrouter.purges.messages import Purge
from quartzrouter.purges.purge_index import ANY_STORE, PurgeIndex, PurgeLookup
from quartzrouter.server.clock import wall_clock

CONNECTION_LOST = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)
MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1_000
JOINED_FILL_TIMEOUT_SECONDS = 5.0
FORWARDED_HEADERS = ("x-fresh-ms", "x-path", "x-opts", "x-rank")  # from a cache to its fill source


class CopyKey(NamedTuple):
    """The key of a copy in a cache, as in the target /x/VHOST/OBJECT/CHUNK."""

    vhost: str
    object_key: str
    chunk: str


@dataclass
class StoredCopy:
    """A copy of an object.

    :param minted_at: when the origin made it, in microseconds of the origin's clock.
    :param made_at: microseconds of this machine's clock; the copy was made then or later.
    """

    body: bytes
    minted_at: int
    made_at: int
    tags: str
    vhost: str
    path: str

    def age(self, now: int) -> int:
        """Returns an upper bound of its age in microseconds."""
        return now - self.made_at


@dataclass
class FillInProgress:
    """A fill in progress.

    :param began_at: microseconds.
    :param copy: the copy that it has brought; None until then, or if it failed.
    :param is_purged: a purge of its object arrived meanwhile, so the copy is not stored.
    """

    vhost: str
    path: str
    began_at: int = field(default_factory=wall_clock)
    done: anyio.Event = field(default_factory=anyio.Event)
    copy: StoredCopy | None = None
    is_purged: bool = False


@dataclass
class PurgeableCache(Server):
    """One server: a cache, a parent or the origin.

    :param addresses: of all servers by name, for fills.
    :param chance: draws which purges are refused.
    :param is_origin: it makes copies itself.
    :param skew: microseconds by which the origin's clock is ahead.
    :param tags_of: returns the value of Cache-Tag for a path.
    :param delay: returns the seconds that a fill or the making of a copy takes.
    :param fill_source: the server that it fills from, unless a request names another one.
    :param purged_up_to: the sequence number up to which it has carried out all purges.
    :param purged_out_of_order: sequence numbers of purges beyond that which it has carried out.
    :param refusal_rate: share of purges that it answers with 503.
    """

    name: str
    addresses: dict[str, str]
    chance: random.Random
    is_origin: bool = False
    skew: int = 0
    tags_of: Callable[[str], str] = lambda _path: ""
    delay: Callable[[], float] = lambda: 0.0
    fill_source: str = ""
    copies: dict[CopyKey, StoredCopy] = field(default_factory=dict)
    fills: dict[CopyKey, FillInProgress] = field(default_factory=dict)
    purged_up_to: int = 0
    purged_out_of_order: set[int] = field(default_factory=set)
    refusal_rate: float = 0.0
    requests: int = 0
    merged_requests: int = 0  # requests that joined a fill
    highest_lease_token: int = 0  # of couriers that sent purges; purges with a lower one are refused
    purged_copies: int = 0
    max_purges_per_second: int = 0
    recent_purge_times: list[int] = field(default_factory=list)  # us, of the last second

    def stop(self) -> None:
        """Stops serving; copies are kept, as on a disk, and fills are lost."""
        super().stop()
        self.fills.clear()

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Serves one connection."""
        async with stream:
            async for head in request_heads(stream):
                request_line, *header_lines = head.decode("latin-1").split("\r\n")
                method, target, _ = request_line.split(" ", 2)
                try:
                    await stream.send(await self.respond(method, target, _headers(header_lines)))
                except CONNECTION_LOST:
                    return

    async def respond(self, method: str, target: str, headers: dict[str, str]) -> bytes:
        """Returns the response to a request.

        :param headers: by names in lower case.
        """
        if method == "PURGE":
            return self._purge(headers)
        if not target.startswith("/x/"):
            return _response(200, {"X-Purged-To": str(self.purged_up_to)}, b"")
        self.requests += 1
        received_at = wall_clock()
        _, _, vhost, object_key, chunk = target.split("/")
        copy, outcome = await self._find_copy(CopyKey(vhost, object_key, chunk), target, headers)
        if copy is None:
            return _response(504, {"X-No-Effect": "0", "X-Tell": "up_lost"}, b"")
        age_on_receipt = received_at - copy.made_at  # negative if it was made since
        response_headers = {
            "X-Tag": tag_of_target(target.encode()).decode(),
            "X-Minted": str(copy.minted_at // MICROSECONDS_PER_MILLISECOND),
            "X-Tell": outcome,
            "Cache-Tag": copy.tags,
            "X-Purged-To": str(self.purged_up_to),
            "X-Age-Ms": str(-(-age_on_receipt // MICROSECONDS_PER_MILLISECOND)),
        }
        return _response(200, response_headers, copy.body)

    async def _find_copy(
        self, key: CopyKey, target: str, headers: dict[str, str]
    ) -> tuple[StoredCopy | None, str]:
        """Returns a copy, and the protocol's word for how it was found; None if the fill failed."""
        copy = self.copies.get(key)
        max_age_ms = headers.get("x-fresh-ms")
        is_too_old = (
            copy and max_age_ms and copy.age(wall_clock()) > int(max_age_ms) * MICROSECONDS_PER_MILLISECOND
        )
        if copy and not is_too_old:
            return copy, "cached"
        may_join = "ride" in headers.get("x-opts", "")
        fill = self.fills.get(key) if may_join else None
        if fill is None:
            return await self._fill(key, target, headers), "fetched"
        self.merged_requests += 1
        with anyio.move_on_after(JOINED_FILL_TIMEOUT_SECONDS):
            await fill.done.wait()
        return fill.copy, "merged"

    async def _fill(self, key: CopyKey, target: str, headers: dict[str, str]) -> StoredCopy | None:
        path = headers.get("x-path", "")
        if self.is_origin:
            made_at = wall_clock()
            await anyio.sleep(self.delay())
            body = f"{path} {made_at}".encode()
            return StoredCopy(body, made_at + self.skew, made_at, self.tags_of(path), key.vhost, path)
        fill = self.fills.setdefault(key, FillInProgress(key.vhost, path))
        try:
            await anyio.sleep(self.delay())
            fill.copy = await self._fetch(key, target, headers)
        finally:
            fill.done.set()
            if self.fills.get(key) is fill:
                del self.fills[key]
        may_store = headers.get("x-rank", "0") != "0"
        if fill.copy and not fill.is_purged and may_store:
            self.copies[key] = fill.copy
        return fill.copy

    async def _fetch(self, key: CopyKey, target: str, headers: dict[str, str]) -> StoredCopy | None:
        """Returns a copy from the fill source; None if that has none or doesn't answer."""
        named_source = headers.get("x-parent", self.fill_source)
        source = named_source if named_source in self.addresses else self.fill_source
        host, _, port = self.addresses[source].rpartition(":")
        forwarded = [f"{name}: {headers[name]}" for name in FORWARDED_HEADERS if name in headers]
        request = [f"GET {target} HTTP/1.1", "Host: box", "Connection: close", *forwarded, "\r\n"]
        sent_at = wall_clock()
        try:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send("\r\n".join(request).encode())
                data = b""
                while not _is_whole(data):
                    data += await stream.receive()
        except CONNECTION_LOST:
            return None
        head, _, body = data.partition(b"\r\n\r\n")
        status_line, *header_lines = head.decode().split("\r\n")
        if " 200 " not in status_line:
            return None
        response_headers = _headers(header_lines)
        # The age was taken when the request arrived there, which was after it was sent here.
        made_at = sent_at - int(response_headers.get("x-age-ms", "0")) * MICROSECONDS_PER_MILLISECOND
        return StoredCopy(
            body,
            int(response_headers["x-minted"]) * MICROSECONDS_PER_MILLISECOND,
            made_at,
            response_headers["cache-tag"].lower(),
            key.vhost,
            headers.get("x-path", ""),
        )

    # -- purges --------------------------------------------------------------------------------------------

    def _purge(self, headers: dict[str, str]) -> bytes:
        now = wall_clock()
        self._count_purge(now)
        if self.chance.random() < self.refusal_rate:
            return _response(503, {}, b"")
        lease_token = int(headers.get("x-purge-lease", "0"))
        if lease_token < self.highest_lease_token:
            # Guards against a courier that was stopped and isn't aware of its successor.
            return _response(409, {"X-Purge-Lease-Seen": str(self.highest_lease_token)}, b"")
        self.highest_lease_token = lease_token
        kind = headers["x-purge-kind"]
        vhost = headers.get("x-purge-vhost", "")
        min_age = int(headers["x-purge-older-ms"]) * MICROSECONDS_PER_MILLISECOND
        purge = _single_purge(kind, tuple(headers["x-purge-values"].split()), vhost)
        self._remove_copies(purge, min_age, now)
        self._mark_fills(purge, min_age, now)
        is_full_purge = kind == "all" and not vhost
        confirmed_up_to = int(headers.get("x-purge-done", "0"))
        self._record_purge(int(headers["x-purge-number"]), is_full_purge, confirmed_up_to)
        return _response(200, {"X-Purged-To": str(self.purged_up_to)}, b"")

    def _count_purge(self, now: int) -> None:
        last_second = [time for time in self.recent_purge_times if now - time < MICROSECONDS_PER_SECOND]
        self.recent_purge_times = [*last_second, now]
        self.max_purges_per_second = max(self.max_purges_per_second, len(self.recent_purge_times))

    def _remove_copies(self, purge: PurgeIndex, min_age: int, now: int) -> None:
        for key, copy in list(self.copies.items()):
            tags = [name.strip() for name in copy.tags.split(",")]
            is_named = purge.newest(_lookup(key, copy.path), tags, ANY_STORE)
            if is_named and copy.age(now) >= min_age:
                del self.copies[key]
                self.purged_copies += 1

    def _mark_fills(self, purge: PurgeIndex, min_age: int, now: int) -> None:
        """Marks fills that may bring a purged copy: their tags are unknown until they end."""
        for key, fill in self.fills.items():
            is_named = purge.newest(_lookup(key, fill.path), None, ANY_STORE)
            if is_named and now - fill.began_at >= min_age:
                fill.is_purged = True

    def _record_purge(self, sequence_number: int, is_full_purge: bool, confirmed_up_to: int) -> None:
        self.purged_out_of_order.add(sequence_number)
        if is_full_purge:
            self.purged_up_to = max(self.purged_up_to, sequence_number)
        self.purged_up_to = max(self.purged_up_to, confirmed_up_to)
        while self.purged_up_to + 1 in self.purged_out_of_order:
            self.purged_up_to += 1
        self.purged_out_of_order = {
            number for number in self.purged_out_of_order if number > self.purged_up_to
        }


def _single_purge(kind: str, values: tuple[str, ...], vhost: str) -> PurgeIndex:
    """Returns a new index with one purge, to look up what the purge matches."""
    index = PurgeIndex(1 << 50, 1_000)
    index.add(Purge(1, 1, kind, values, vhost), 1)
    return index


def _lookup(key: CopyKey, path: str) -> PurgeLookup:
    host, slash, rest = path.partition("/")
    return PurgeLookup(key.vhost, key.object_key.lower(), host, slash + rest)


def _headers(lines: list[str]) -> dict[str, str]:
    """Returns header values by names in lower case."""
    headers = {}
    for line in lines:
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    return headers


def _is_whole(data: bytes) -> bool:
    """Returns True if the data is a complete response, including its body."""
    head, end_of_head, body = data.partition(b"\r\n\r\n")
    if not end_of_head:
        return False
    length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
    return len(body) >= int(length or 0)


def _response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'No'}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "\r\n"]).encode("latin-1") + body
