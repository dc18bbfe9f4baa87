"""Caches, parents and an origin that keep copies, fill, join fills and take purges, by the protocol.

A copy's body names its object and the true time at which the origin made it, so that a checker can judge any
answer.  They are as careless as the protocol allows: whoever joins a fill gets what it brings, however old.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache

import anyio

from quartzrouter.fakes.loopback import Server, heads, tag
from quartzrouter.purges.messages import Purge
from quartzrouter.purges.purge_index import PurgeIndex, PurgeLookup
from quartzrouter.server.clock import wall_clock

LOST = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)


@dataclass
class Copy:
    body: bytes
    minted: int  # us, by the origin's clock
    made: int  # us, by this box's clock, or before
    tags: str
    vhost: str
    path: str

    def aged(self, now: int) -> int:
        return now - self.made


@dataclass
class Fill:
    """A fill under way.

    :param began: us.
    :param outdated: a purge of it came meanwhile that is younger, so that it is not kept.
    """

    vhost: str
    path: str
    began: int = field(default_factory=wall_clock)
    done: anyio.Event = field(default_factory=anyio.Event)
    copy: Copy | None = None
    outdated: bool = False


@dataclass
class PurgeableCache(Server):
    """One server.

    :param above: addresses by name, for fills.
    :param origin: it makes copies; `skew` us its clock is ahead, `tags_of` the tags of a path.
    :param delay: s that a fill or the making of a copy takes.
    """

    name: str
    above: dict[str, str]
    chance: random.Random
    origin: bool = False
    skew: int = 0
    tags_of: Callable[[str], str] = lambda path: ""
    delay: Callable[[], float] = lambda: 0.0
    source: str = ""  # where it fills from when nobody names another
    copies: dict[tuple[str, str, str], Copy] = field(default_factory=dict)
    fills: dict[tuple[str, str, str], Fill] = field(default_factory=dict)
    reached: int = 0
    applied: set[int] = field(default_factory=set)
    refuse: float = 0.0  # share of purges that it answers 503
    asked: int = 0
    lease: int = 0  # the highest number under which purges came; those without one after it are refused
    purged: int = 0
    most: int = 0  # purges in its busiest second
    recent: list[int] = field(default_factory=list)

    def stop(self) -> None:
        super().stop()
        self.fills.clear()

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        async with stream:
            async for head in heads(stream):
                line, *rest = head.decode("latin-1").split("\r\n")
                method, target, _ = line.split(" ", 2)
                fields = {name.lower(): value for name, _, value in (each.partition(": ") for each in rest)}
                try:
                    await stream.send(await self.answer(method, target, fields))
                except LOST:
                    return

    async def answer(self, method: str, target: str, fields: dict[str, str]) -> bytes:
        if method == "PURGE":
            return self._purge(fields)
        if not target.startswith("/x/"):
            return _head(200, {"X-Purged-To": str(self.reached)}, b"")
        self.asked += 1
        came = wall_clock()
        _, _, vhost, obj, part = target.split("/")
        key, bound = (vhost, obj, part), fields.get("x-fresh-ms")
        copy, told = self.copies.get(key), "cached"
        if copy is None or (bound and copy.aged(wall_clock()) > int(bound) * 1000):
            joins = "ride" in fields.get("x-opts", "")
            fill = self.fills.get(key) if joins else None
            if fill is not None:
                told = "merged"
                with anyio.move_on_after(5):
                    await fill.done.wait()
                copy = fill.copy
            else:
                copy, told = await self._fill(key, target, fields), "fetched"
        if copy is None:
            return _head(504, {"X-No-Effect": "0", "X-Tell": "up_lost"}, b"")
        more = {"X-Tag": tag(target.encode()).decode(), "X-Minted": str(copy.minted // 1000), "X-Tell": told}
        more |= {"Cache-Tag": copy.tags, "X-Purged-To": str(self.reached)}
        more["X-Age-Ms"] = str(-((copy.made - came) // 1000))  # when the req came; negative: made since
        return _head(200, more, copy.body)

    async def _fill(self, key: tuple[str, str, str], target: str, fields: dict[str, str]) -> Copy | None:
        path = fields.get("x-path", "")
        if self.origin:
            made = wall_clock()
            await anyio.sleep(self.delay())
            body = f"{path} {made}".encode()
            return Copy(body, made + self.skew, made, self.tags_of(path), key[0], path)
        fill = self.fills.setdefault(key, Fill(key[0], path))
        try:
            await anyio.sleep(self.delay())
            fill.copy = await self._fetch(key, target, fields)
        finally:
            fill.done.set()
            if self.fills.get(key) is fill:
                del self.fills[key]
        if fill.copy and not fill.outdated and fields.get("x-rank", "0") != "0":
            self.copies[key] = fill.copy
        return fill.copy

    async def _fetch(self, key: tuple[str, str, str], target: str, fields: dict[str, str]) -> Copy | None:
        name = fields.get("x-parent", self.source)
        host, _, port = self.above[name if name in self.above else self.source].rpartition(":")
        asked = wall_clock()
        passed = [f"{n}: {fields[n]}" for n in ("x-fresh-ms", "x-path", "x-opts", "x-rank") if n in fields]
        try:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                lines = [f"GET {target} HTTP/1.1", "Host: box", "Connection: close", *passed, "\r\n"]
                await stream.send("\r\n".join(lines).encode())
                data = b""
                while b"\r\n\r\n" not in data or not _whole(data):
                    data += await stream.receive()
        except LOST:
            return None
        head, _, body = data.partition(b"\r\n\r\n")
        told = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:])
        if " 200 " not in head.decode().split("\r\n")[0]:
            return None
        made = asked - int(told.get("x-age-ms", "0")) * 1000  # it came there later than it went out here
        return Copy(
            body, int(told["x-minted"]) * 1000, made, told["cache-tag"], key[0], fields.get("x-path", "")
        )

    def _purge(self, fields: dict[str, str]) -> bytes:
        now = wall_clock()
        self.recent = [at for at in self.recent if now - at < 1_000_000] + [now]
        self.most = max(self.most, len(self.recent))
        if self.chance.random() < self.refuse:
            return _head(503, {}, b"")
        lease = int(fields.get("x-purge-lease", "0"))
        if lease < self.lease:  # of whoever delivered before: it was stopped, and knows nothing of the next
            return _head(409, {"X-Purge-Lease-Seen": str(self.lease)}, b"")
        self.lease = lease
        number, older = int(fields["x-purge-number"]), int(fields["x-purge-older-ms"]) * 1000
        kind, vhost = fields["x-purge-kind"], fields.get("x-purge-vhost", "")
        marks = _marks(kind, tuple(fields["x-purge-values"].split()), vhost)
        for key, copy in list(self.copies.items()):
            tags = [tag.strip() for tag in copy.tags.split(",")]
            if copy.aged(now) >= older and marks.newest(_asked(key, copy.path), tags, "*"):
                del self.copies[key]
                self.purged += 1
        for key, fill in self.fills.items():
            named = marks.newest(_asked(key, fill.path), None, "*")
            fill.outdated |= bool(named) and now - fill.began >= older
        self.applied.add(number)
        if kind == "all" and not vhost:
            self.reached = max(self.reached, number)
        self.reached = max(self.reached, int(fields.get("x-purge-done", "0")))
        while self.reached + 1 in self.applied:
            self.reached += 1
        self.applied = {each for each in self.applied if each > self.reached}
        return _head(200, {"X-Purged-To": str(self.reached)}, b"")


@lru_cache(1_024)
def _marks(kind: str, values: tuple[str, ...], vhost: str) -> PurgeIndex:
    """One purge, to ask what it names."""
    marks = PurgeIndex(1 << 50, 1_000)
    marks.add(Purge(1, 1, kind, values, vhost), 1)
    return marks


def _asked(key: tuple[str, str, str], path: str) -> PurgeLookup:
    host, slash, rest = path.partition("/")
    return PurgeLookup(key[0], key[1].lower(), host, slash + rest)


def _whole(data: bytes) -> bool:
    head, _, body = data.partition(b"\r\n\r\n")
    length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
    return len(body) >= int(length or 0)


def _head(status: int, fields: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'No'}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "\r\n"]).encode("latin-1") + body
