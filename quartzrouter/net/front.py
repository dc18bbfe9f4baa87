"""The clients' connections: records in, reqs out; answers in turns, so that a long one holds nobody up."""

import contextlib
import os
import re
import socket
import sys
from collections import deque
from collections.abc import Callable
from enum import IntEnum

import anyio

from quartzrouter.net import answer, fastcgi
from quartzrouter.net.progress import LOST
from quartzrouter.net.reducer import Asked, Call, Came, Event, Left
from quartzrouter.net.report import Report
from quartzrouter.net.ring import Ring

INCOMING = 1 << 14  # bytes: longer records are taken in pieces
OUTGOING = 1 << 15  # bytes on their way to a client's socket
OPEN_MOST = 32  # reqs on one connection
PARAMS_MOST = 1 << 14  # bytes
BODY_MOST = 48_000  # bytes
TIMEOUT_MOST = 3_600_000  # ms; a longer one is no figure
RECORDS_MOST = 256  # that wait on one connection: then nothing more is read from it until some have gone out
STUCK_AFTER = 10.0  # s in which a client takes no byte of what is owed: then it counts as gone
WHOLE_WITHIN = 2.0  # s from a connection's start to its first whole req, and for each req: no front waits
IDLE_MOST = 6.0  # s without a byte or an open req: fronts close after 4 s themselves
LINGER, LINGER_MOST = 0.5, 1 << 18  # s and bytes, read and dropped so that the last answers arrive
FAULTS_MOST = 32  # reqs on one connection that can't be used; then it is closed
SWEEP_EVERY = 0.25  # s between looks for connections whose time is over
LOOKS = 2  # idle connections among which one that its client has closed is looked for: 25 us each
YOUNG = 0.25  # s in which a new connection's first req may still be on its way; then it is given up first
TOKEN = re.compile(r"[0-9a-f]{16}", re.ASCII | re.IGNORECASE)
KEY = re.compile(r"[0-9a-f]{32}", re.ASCII | re.IGNORECASE)
RECEIVED = slice(128, 136)  # of struct tcp_info: tcpi_bytes_received; the first byte is the state
SINCE = slice(52, 56)  # and tcpi_last_data_recv: ms since bytes last came
CLOSE_WAIT = 8  # the state in which the client has closed
NUMBER = re.compile(r"[0-9]{1,9}", re.ASCII)


class Intake:
    """A req of which records are still coming."""

    def __init__(self, keep: bool, since: float):
        self.keep, self.since = keep, since
        self.params, self.body = bytearray(), bytearray()
        self.call: Call | None = None  # once the parameters are there
        self.length: int | None = None  # of the body, where it is told
        self.whole = False

    @property
    def size(self) -> int:
        return len(self.params) + len(self.body)

    def add(self, kind: int, data: bytes, room: int) -> None:
        into, most = (self.params, PARAMS_MOST) if kind == fastcgi.PARAMS else (self.body, BODY_MOST)
        if len(into) + len(data) > most:
            raise Unusable("too long", 413)
        if len(data) > room:
            raise NoRoom
        into += data


class Line(IntEnum):
    """What a connection holds beyond what was read of it, in the order in which it is given up."""

    ENDED = 0  # by the client
    QUIET = 1
    UNREAD = 2


class NoRoom(Exception):
    """Clients' reqs hold as many bytes as they may."""


class Unusable(ValueError):
    """A req that gets its final answer at once."""

    def __init__(self, why: str, status: int = 400):
        super().__init__(why)
        self.status = status


def length(params: dict[str, str]) -> int | None:
    """Of the body, where the req tells it."""
    told = params.get("CONTENT_LENGTH", "")
    if told and not NUMBER.fullmatch(told):
        raise Unusable(f"CONTENT_LENGTH is {told!r:.40}")
    if told and int(told) > BODY_MOST:
        raise Unusable(f"CONTENT_LENGTH is {told}", 413)
    return int(told) if told else None


def call(params: dict[str, str], uniqued: Callable[[str], bool | None]) -> Call:
    """The req that a client sent; uniqued tells of a vhost whether it is, and None where there is none."""

    def field(name: str, form: re.Pattern[str]) -> str:
        value = params.get("HTTP_" + name.upper().replace("-", "_"), "")
        if not form.fullmatch(value):
            raise Unusable(f"{name} is {value!r:.40}")
        return value

    def maybe(name: str, form: re.Pattern[str]) -> str | None:
        return field(name, form) if params.get("HTTP_" + name.upper().replace("-", "_")) else None

    path, _, vhost = params.get("SCRIPT_NAME", "").rpartition("/")
    keyed = uniqued(vhost) if path == "/rpc" else None
    if keyed is None:
        raise Unusable("no such vhost", 404)
    timeout, group = int(field("X-Deadline-Ms", NUMBER)), int(field("X-Tag", NUMBER))
    if not 0 < timeout <= TIMEOUT_MOST:
        raise Unusable(f"X-Deadline-Ms is {timeout}")
    if group > 255:
        raise Unusable(f"X-Tag is {group}")
    return Call(
        id=field("X-Correlation-Id", TOKEN),
        vhost=vhost,
        obj=field("X-Subject", TOKEN),
        part=int(field("X-Chunk", NUMBER)),
        group=group,
        timeout=timeout * 1000,
        key=field("X-Operation-Key", KEY) if keyed else maybe("X-Operation-Key", KEY),
        held=maybe("X-Known", TOKEN),
    )


class ClientConnection:
    """One client's connection: its reqs by record id, and what is to be written to it."""

    def __init__(self, front: "Front", stream: anyio.abc.ByteStream):
        self.front, self.stream = front, stream
        self.incoming, self.outgoing = Ring(INCOMING), Ring(OUTGOING)
        self.records = fastcgi.Records(self.incoming)
        self.intakes: dict[int, Intake] = {}
        self.got = 0  # bytes taken in; the kernel's count tells whether there are more
        self.faults, self.used = 0, False  # reqs that could not be used; whether one could
        self.passed = 0  # bytes of those that came after their answer
        self.tickets: dict[int, int] = {}  # record id: ticket, for reqs that are owed an answer
        self.owed: dict[int, tuple[int, bool, int]] = {}  # ticket: record id, keep the connection, bytes held
        self.turns: deque[int] = deque()  # tickets with records that wait
        self.waiting: dict[int, deque[bytes]] = {}
        self.emptied: dict[int, Callable[[], None]] = {}  # what to do once a ticket's records have gone
        self.more, self.eased = anyio.Event(), anyio.Event()
        self.closing = False
        self.scope = anyio.CancelScope()
        # its start; when bytes last came, or an answer went; since when the same bytes go out
        self.since = self.heard = self.sending = anyio.current_time()

    # -- reading -----------------------------------------------------------------------------------

    async def read(self) -> None:
        while self.passed < 2 * LINGER_MOST:
            while sum(map(len, self.waiting.values())) > RECORDS_MOST:
                self.eased = anyio.Event()
                await self.eased.wait()
            data = await self.stream.receive(INCOMING if self.closing else self.incoming.free)
            self.got += len(data)
            if self.closing:
                self.passed += len(data)
                continue
            self.incoming.put(data)
            self.heard = anyio.current_time()
            while (record := self.records.next()) is not None:
                self._take(record)
            came = [id for id, intake in self.intakes.items() if intake.whole]
            waited = self.waited if came else 0
            for id in came:
                self._come(id, self.intakes.pop(id), waited)  # what was taken back at once has never come
        await anyio.sleep_forever()  # until what is owed is answered

    def _take(self, record: fastcgi.Record) -> None:
        kind, id, content = record
        if id == 0:
            if kind == fastcgi.GET_VALUES:
                known = {
                    "FCGI_MAX_CONNS": self.front.most, "FCGI_MAX_REQS": self.front.most * OPEN_MOST,
                    "FCGI_MPXS_CONNS": 1,
                }  # fmt: skip
                self.write(0, [fastcgi.values(fastcgi.pairs(content), known)])
            else:
                self.write(0, [fastcgi.unknown(kind)])
        elif kind == fastcgi.BEGIN:
            self._begin(id, content)
        elif kind == fastcgi.ABORT:
            self._abort(id)
        elif kind in (fastcgi.PARAMS, fastcgi.STDIN):
            if (intake := self.intakes.get(id)) and not intake.whole:
                self._more(id, intake, kind, content)
            else:
                self.passed += len(content)
                if self.passed > LINGER_MOST and not self.closing:
                    self.closing = True
                    self.more.set()
        elif kind != fastcgi.DATA:
            raise fastcgi.Broken(f"a record of type {kind} for req {id}")

    def _begin(self, id: int, content: bytes) -> None:
        if len(content) != 8:
            raise fastcgi.Broken("BEGIN_REQUEST of a wrong length")
        if id in self.intakes or id in self.tickets:
            raise fastcgi.Broken(f"record id {id} is taken")
        if content[0] << 8 | content[1] != fastcgi.RESPONDER:
            self._fault([fastcgi.end(id, protocol=fastcgi.UNKNOWN_ROLE)])
        elif len(self.intakes) + len(self.tickets) >= OPEN_MOST:
            self._fault([fastcgi.end(id, protocol=fastcgi.OVERLOADED)])
        else:
            self.intakes[id] = Intake(bool(content[2] & fastcgi.KEEP_CONN), self.heard)

    def _abort(self, id: int) -> None:
        if (intake := self.intakes.pop(id, None)) is not None:
            self.front.room += intake.size
            self.write(0, [fastcgi.end(id, whole=False)])
        elif (ticket := self.tickets.get(id)) is not None:
            self.front.feed(Left(ticket))
            self.reply(ticket, b"", whole=False)

    def _more(self, id: int, intake: Intake, kind: int, content: bytes) -> None:
        """Takes in what has come of a req; what can't be used is answered now, whatever still comes of it."""
        before = intake.size
        try:
            if content:
                intake.add(kind, content, self.front.room)
            elif kind == fastcgi.PARAMS:
                params = fastcgi.pairs(bytes(intake.params))
                intake.length, well = length(params), params.get("SCRIPT_NAME") == "/health"
                intake.call = None if well else self.front.call(params)
                intake.whole = well
                intake.params.clear()
            elif intake.call is None:
                raise Unusable("parameters without an end")
            elif intake.length not in (None, len(intake.body)):
                raise Unusable(f"{len(intake.body)} bytes where CONTENT_LENGTH is {intake.length}")
            else:
                intake.whole = True
        except (Unusable, fastcgi.Broken) as error:
            self.refuse(id, error)
        except NoRoom:
            self.front.report.say("client", "no room for the bytes of a req")
            self._end(id, answer.denied(0))
        else:
            self.front.room -= intake.size - before

    def _come(self, id: int, intake: Intake, waited: int) -> None:
        """A whole req, which its client has not taken back."""
        ticket = self.front.ticket(self)
        self.tickets[id], self.owed[ticket], self.used = ticket, (id, intake.keep, intake.size), True
        if intake.call is None:
            self.front.feed(Asked(ticket))
        else:
            call = intake.call._replace(body=bytes(intake.body), waited=waited)
            self.front.feed(Came(ticket, call))

    def refuse(self, id: int, error: Exception) -> None:
        """The answer to a req that can't be used; after many its connection is closed."""
        self.front.report.say("client", f"a req that can't be used: {error}")
        self._end(id, answer.refused(getattr(error, "status", 400), str(error)))

    def _end(self, id: int, data: bytes) -> None:
        intake = self.intakes.pop(id)
        self.front.room += intake.size
        self.closing |= not intake.keep
        self._fault(fastcgi.reply(id, data))

    def _fault(self, records: list[bytes]) -> None:
        self.faults += 1
        self.closing |= self.faults >= FAULTS_MOST
        self.write(0, records)

    # -- writing -----------------------------------------------------------------------------------

    @property
    def unsent(self) -> bool:
        return bool(self.waiting or len(self.outgoing))

    @property
    def idle(self) -> bool:
        """Owed nothing, and bringing nothing."""
        return not (self.owed or self.intakes or self.unsent)

    @property
    def _raw(self) -> socket.socket:
        """Its socket; raises OSError once the connection is closed here."""
        try:
            held = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        except Exception as error:  # of a closed one the library asks what isn't there
            raise OSError("closed") from error
        if (
            held.fileno() < 0
        ):  # the loop has closed it, and its task hasn't run yet: asked, it raises ValueError
            raise OSError("closed")
        return held

    @property
    def line(self) -> Line:
        """What the kernel has of it, to the last byte: what this process has read late counts as well."""
        try:
            told = self._raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, RECEIVED.stop)
        except OSError:
            return Line.ENDED  # closed here already
        unread = int.from_bytes(told[RECEIVED], sys.byteorder) - self.got
        ended = told[0] == CLOSE_WAIT  # its end counts as a byte
        return Line.UNREAD if unread > ended else Line.ENDED if ended else Line.QUIET

    @property
    def waited(self) -> int:
        """us since its last byte came: a router short of CPU reads reqs whose time runs already."""
        try:
            told = self._raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, SINCE.stop)
        except OSError:
            return 0
        return int.from_bytes(told[SINCE], sys.byteorder) * 1000

    def retire(self) -> bool:
        """Ends an idle connection at once, unless there is something on it that wasn't read yet."""
        if not self.idle or self.line is Line.UNREAD:
            return False
        with contextlib.suppress(OSError), socket.socket(fileno=os.dup(self._raw.fileno())) as own:
            own.shutdown(socket.SHUT_RDWR)  # until the loop closes it, it would take a req
        self.scope.cancel()
        self.front.open.discard(self)
        return True

    def reply(self, ticket: int, data: bytes, whole: bool = True) -> None:
        """The one answer to a req, unless it has had it."""
        if ticket not in self.owed:
            return
        id, keep, size = self.owed.pop(ticket)
        self.heard = anyio.current_time()  # a client may ask again for as long after its answer
        del self.tickets[id]
        self.front.clients.pop(ticket, None)
        self.front.room += size
        self.closing |= not keep
        self.write(ticket, fastcgi.reply(id, data) if whole else [fastcgi.end(id, whole=False)])

    def write(self, ticket: int, records: list[bytes]) -> None:
        if ticket not in self.waiting:
            self.waiting[ticket] = deque()
            self.turns.append(ticket)
        self.waiting[ticket] += records
        self.more.set()

    def once_taken(self, ticket: int, then: Callable[[], None]) -> None:
        """Calls then when the answer to a req is on its way."""
        if ticket in self.waiting:
            self.emptied[ticket] = then
        else:
            then()

    async def flush(self) -> None:
        """Moves records to the ring, one for each req in turn, and the ring to the socket."""
        while True:
            while self.turns:
                ticket = self.turns[0]
                records = self.waiting.get(ticket)
                if records and len(records[0]) > self.outgoing.free:
                    break
                self.turns.popleft()
                if records:
                    self.outgoing.put(records.popleft())
                if records:
                    self.turns.append(ticket)
                else:
                    self.waiting.pop(ticket, None)
                    if ticket in self.emptied:
                        self.emptied.pop(ticket)()
            if len(self.outgoing):
                self.sending, data = anyio.current_time(), self.outgoing.peek(OUTGOING)
                await self.stream.send(data)
                self.outgoing.drop(len(data))
                self.eased.set()
            elif self.closing and not self.owed:
                return
            elif not self.turns:
                self.more = anyio.Event()
                await self.more.wait()

    def leave(self) -> None:
        self.front.room += sum(intake.size for intake in self.intakes.values())
        for ticket, (_, _, size) in list(self.owed.items()):
            self.front.room += size
            self.front.clients.pop(ticket, None)
            self.front.feed(Left(ticket))
        self.owed.clear()
        self.waiting.clear()
        for then in self.emptied.values():
            then()
        self.emptied.clear()


class Front:
    def __init__(
        self, feed: Callable[[Event], None], most: int, room: int, call: Callable[[dict[str, str]], Call],
        report: Report,
    ):  # fmt: skip
        self.feed, self.most, self.call, self.report = feed, most, call, report
        self.room = room  # bytes of reqs that may still be held
        self.tickets = 0
        self.clients: dict[int, ClientConnection] = {}  # by ticket
        self.open: set[ClientConnection] = set()
        self.coming = 0  # admitted, not yet served

    @property
    def flushed(self) -> bool:
        return not any(client.unsent for client in self.open)

    @property
    def all_read(self) -> bool:
        """Nothing has come that this process hasn't read."""
        return not any(client.line is Line.UNREAD for client in self.open)

    def ticket(self, client: ClientConnection) -> int:
        self.tickets += 1
        self.clients[self.tickets] = client
        return self.tickets

    def admit(self) -> bool:
        """Whether one more connection may be served; an idle one makes room for it."""
        if len(self.open) + self.coming >= self.most and not self._make_room():
            self.report.say("client", "no room for a further connection")
            return False
        self.coming += 1
        return True

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """One connection that was admitted, to its end."""
        self.coming -= 1
        client = ClientConnection(self, stream)
        self.open.add(client)
        try:
            with client.scope:
                await self._attend(client)
        except Exception as error:
            self.report.say("client", f"connection ended: {type(error).__name__}: {error}")
        finally:
            self.open.discard(client)
            client.leave()
            await self._close(stream)

    @staticmethod
    async def _close(stream: anyio.abc.ByteStream) -> None:
        with contextlib.suppress(Exception):
            await anyio.aclose_forcefully(stream)

    async def _attend(self, client: ClientConnection) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._flush, client, tasks)
            try:
                await client.read()
            except LOST:
                pass
            except fastcgi.Broken as error:
                self.report.say("client", f"connection ended: {error}")
            tasks.cancel_scope.cancel()

    def _make_room(self) -> bool:
        """Of those that are owed nothing, gives up one that its client has closed, else one that was silent
        from the start, else the longest silent; none on which something waits to be read."""
        young = anyio.current_time() - YOUNG
        idle = [client for client in self.open if client.idle]
        idle.sort(key=lambda client: (client.used or client.since > young, client.heard))
        quiet = None
        for looks, client in enumerate(idle):
            if looks >= LOOKS and quiet:
                break
            line = client.line
            if line is Line.ENDED:
                return client.retire()
            quiet = quiet or (client if line is Line.QUIET else None)
        return quiet is not None and quiet.retire()

    async def sweep(self) -> None:
        """Gives up clients that bring nothing whole, ask nothing more, or take nothing of their answers."""
        while True:
            await anyio.sleep(SWEEP_EVERY)
            now = anyio.current_time()
            for client in list(self.open):
                for id in [id for id, intake in client.intakes.items() if now - intake.since > WHOLE_WITHIN]:
                    client.refuse(id, Unusable("still not whole", 408))
                if len(client.outgoing) and now - client.sending > STUCK_AFTER:
                    self.report.say("client", "a client that takes nothing is given up")
                    client.scope.cancel()
                elif client.used and now - client.heard > IDLE_MOST:
                    client.retire()
                elif not client.used and now - client.since > WHOLE_WITHIN and client.retire():
                    self.report.say("client", "a connection that brings no req is closed")

    async def _flush(self, client: ClientConnection, tasks: anyio.abc.TaskGroup) -> None:
        with contextlib.suppress(*LOST):
            await client.flush()
            await client.stream.send_eof()
            await anyio.sleep(LINGER)
        tasks.cancel_scope.cancel()
