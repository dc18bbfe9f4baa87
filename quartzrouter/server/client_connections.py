"""The clients' connections: records in, reqs out; answers in turns, so that a long one holds nobody up."""

import contextlib
import re
import socket
import sys
from collections import deque
from collections.abc import Callable

import anyio

from quartzrouter.server import fastcgi, responses
from quartzrouter.server.attempt_failure import CONNECTION_LOST
from quartzrouter.server.events import ClientGone, ClientRequest, Event, RequestReceived, StatusQueried
from quartzrouter.server.rate_limited_log import RateLimitedLog
from quartzrouter.server.ring_buffer import RingBuffer
from quartzrouter.server.stream import Pending, Stream

INCOMING = 1 << 14  # bytes: longer records are taken in pieces
OUTGOING = 1 << 15  # bytes on their way to a client's socket
OPEN_MOST = 32  # reqs on one connection
PARAMS_MOST = 1 << 14  # bytes
BODY_MOST = 48_000  # bytes
TIMEOUT_MOST = 3_600_000  # ms; a longer one is no figure
RECORDS_MOST = 256  # that wait on one connection: then it is read slowly until some have gone out
PACE = 0.02  # s between reads then: what a receive buffer holds is read in 0.1 s, an abort or an end with it
READS_MOST = 8  # in a row before whole reqs go on: more than a receive buffer holds; an abort may be behind
HEAR_TURNS = 2 * READS_MOST  # of the loop in which that much is read, two turns a read
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
SINCE = slice(52, 56)  # of struct tcp_info: tcpi_last_data_recv, ms since bytes last came
NUMBER = re.compile(r"[0-9]{1,9}", re.ASCII)


class IncomingRequest:
    """A req of which records are still coming."""

    def __init__(self, keep: bool, since: float):
        self.keep, self.since = keep, since
        self.params, self.body = bytearray(), bytearray()
        self.call: ClientRequest | None = None  # once the parameters are there
        self.length: int | None = None  # of the body, where it is told
        self.whole = False

    @property
    def size(self) -> int:
        return len(self.params) + len(self.body)

    def add(self, kind: int, data: bytes, room: int) -> None:
        into, most = (
            (self.params, PARAMS_MOST) if kind == fastcgi.RecordType.PARAMS else (self.body, BODY_MOST)
        )
        if len(into) + len(data) > most:
            raise InvalidRequest("too long", 413)
        if len(data) > room:
            raise RequestMemoryExhausted
        into += data


class RequestMemoryExhausted(Exception):
    """Clients' reqs hold as many bytes as they may."""


class InvalidRequest(ValueError):
    """A req that gets its final answer at once."""

    def __init__(self, why: str, status: int = 400):
        super().__init__(why)
        self.status = status


def body_length(params: dict[str, str]) -> int | None:
    """Of the body, where the req tells it."""
    told = params.get("CONTENT_LENGTH", "")
    if told and not NUMBER.fullmatch(told):
        raise InvalidRequest(f"CONTENT_LENGTH is {told!r:.40}")
    if told and int(told) > BODY_MOST:
        raise InvalidRequest(f"CONTENT_LENGTH is {told}", 413)
    return int(told) if told else None


def parse_request(params: dict[str, str], uniqued: Callable[[str], bool | None]) -> ClientRequest:
    """The req that a client sent; uniqued tells of a vhost whether it is, and None where there is none."""

    def field(name: str, form: re.Pattern[str]) -> str:
        value = params.get("HTTP_" + name.upper().replace("-", "_"), "")
        if not form.fullmatch(value):
            raise InvalidRequest(f"{name} is {value!r:.40}")
        return value

    def maybe(name: str, form: re.Pattern[str]) -> str | None:
        return field(name, form) if params.get("HTTP_" + name.upper().replace("-", "_")) else None

    path, _, vhost = params.get("SCRIPT_NAME", "").rpartition("/")
    keyed = uniqued(vhost) if path == "/rpc" else None
    if keyed is None:
        raise InvalidRequest("no such vhost", 404)
    timeout, group = int(field("X-Deadline-Ms", NUMBER)), int(field("X-Tag", NUMBER))
    if not 0 < timeout <= TIMEOUT_MOST:
        raise InvalidRequest(f"X-Deadline-Ms is {timeout}")
    if group > 255:
        raise InvalidRequest(f"X-Tag is {group}")
    return ClientRequest(
        correlation_id=field("X-Correlation-Id", TOKEN),
        traffic_class=vhost,
        object_key=field("X-Subject", TOKEN),
        chunk=int(field("X-Chunk", NUMBER)),
        tag=group,
        timeout=timeout * 1000,
        idempotency_key=field("X-Operation-Key", KEY) if keyed else maybe("X-Operation-Key", KEY),
        if_none_match=maybe("X-Known", TOKEN),
    )


class ClientConnection:
    """One client's connection: its reqs by record id, and what is to be written to it."""

    def __init__(self, front: "ClientConnections", stream: Stream):
        self.front, self.stream = front, stream
        self.incoming, self.outgoing = RingBuffer(INCOMING), RingBuffer(OUTGOING)
        self.records = fastcgi.RecordReader(self.incoming)
        self.intakes: dict[int, IncomingRequest] = {}
        self.faults, self.used = 0, False  # reqs that could not be used; whether one could
        self.passed = 0  # bytes that came after the answer to their req, or after the end of all answers
        self.tickets: dict[int, int] = {}  # record id: ticket, for reqs that are owed an answer
        self.owed: dict[int, tuple[int, bool, int]] = {}  # ticket: record id, keep the connection, bytes held
        self.turns: deque[int] = deque()  # tickets with records that wait
        self.waiting: dict[int, deque[bytes]] = {}
        self.emptied: dict[int, Callable[[], None]] = {}  # what to do once a ticket's records have gone
        self.more, self.eased = anyio.Event(), anyio.Event()
        self.closing = False  # no further req is begun, and it ends once all have their answers
        self.shut = False  # the end of the answers has been written: what comes now is dropped
        self.scope = anyio.CancelScope()
        # its start; when bytes last came, or an answer went; since when the same bytes go out
        self.since = self.heard = self.sending = anyio.current_time()

    # -- reading -----------------------------------------------------------------------------------

    async def read(self) -> None:
        """Reads on whatever else holds: an abort or the client's end is heard at once, or slowly at worst."""
        reads = 0
        while True:
            if self.piled or self.passed > LINGER_MOST:
                self.eased = anyio.Event()
                with anyio.move_on_after(PACE):
                    await self.eased.wait()
            data = await self.stream.receive(self.incoming.free)
            if self.shut:
                self.passed += len(data)
                continue
            self.incoming.put(data)
            self.heard = anyio.current_time()
            while (record := self.records.next()) is not None:
                self._take(record)
            whole = [id for id, intake in self.intakes.items() if intake.whole]
            pending = self.stream.pending() if whole else Pending.QUIET
            if pending is Pending.ENDED:
                return  # its client has gone, however late this is read: none of them is begun
            if pending is Pending.UNREAD and reads < READS_MOST:
                reads += 1
                continue
            reads, waited = 0, self.waited if whole else 0
            for id in whole:
                self._come(id, self.intakes.pop(id), waited)  # what was taken back at once has never come

    async def hear(self, ticket: int) -> None:
        """Returns once what the client has sent by now is read, or after a few turns of the loop.

        An attempt is not to begin for a client that has gone, though a busy process hasn't read that yet.
        """
        for _ in range(HEAR_TURNS):
            pending = self.stream.pending()
            if pending is Pending.ENDED:
                self.leave()
                self.scope.cancel()
            if pending is not Pending.UNREAD or ticket not in self.owed:
                return
            await anyio.sleep(0)

    @property
    def unanswered(self) -> int:
        """Reqs that are open to their client: until the end of an answer has gone out."""
        return len(self.intakes) + len(self.tickets) + sum(ticket > 0 for ticket in self.waiting)

    @property
    def piled(self) -> bool:
        """Its client takes its answers more slowly than it asks."""
        return sum(map(len, self.waiting.values())) > RECORDS_MOST

    def _take(self, record: fastcgi.Record) -> None:
        kind, id, content = record
        if id == 0:
            if self.piled:
                self._fault([])
            elif kind == fastcgi.RecordType.GET_VALUES:
                known = {
                    "FCGI_MAX_CONNS": self.front.most,
                    "FCGI_MAX_REQS": self.front.most * OPEN_MOST,
                    "FCGI_MPXS_CONNS": 1,
                }
                self.write(0, [fastcgi.encode_values_result(fastcgi.decode_pairs(content), known)])
            else:
                self.write(0, [fastcgi.encode_unknown_type(kind)])
        elif kind == fastcgi.RecordType.BEGIN_REQUEST:
            self._begin(id, content)
        elif kind == fastcgi.RecordType.ABORT_REQUEST:
            self._abort(id)
        elif kind in (fastcgi.RecordType.PARAMS, fastcgi.RecordType.STDIN):
            if (intake := self.intakes.get(id)) and not intake.whole:
                self._more(id, intake, kind, content)
            else:
                self.passed += len(content)
                if self.passed > LINGER_MOST and not self.closing:
                    self.closing = True
                    self.more.set()
        elif kind != fastcgi.RecordType.DATA:
            raise fastcgi.ProtocolError(f"a record of type {kind} for req {id}")

    def _begin(self, id: int, content: bytes) -> None:
        if len(content) != 8:
            raise fastcgi.ProtocolError("BEGIN_REQUEST of a wrong length")
        if id in self.intakes or id in self.tickets:
            raise fastcgi.ProtocolError(f"record id {id} is taken")
        if content[0] << 8 | content[1] != fastcgi.ROLE_RESPONDER:
            self._fault([fastcgi.encode_end_request(id, protocol_status=fastcgi.ProtocolStatus.UNKNOWN_ROLE)])
        elif self.closing or self.unanswered >= OPEN_MOST:
            self._fault(
                []
                if self.piled
                else [fastcgi.encode_end_request(id, protocol_status=fastcgi.ProtocolStatus.OVERLOADED)]
            )
        else:
            self.intakes[id] = IncomingRequest(bool(content[2] & fastcgi.FLAG_KEEP_CONNECTION), self.heard)

    def _abort(self, id: int) -> None:
        if (intake := self.intakes.pop(id, None)) is not None:
            self.front.room += intake.size
            self.write(0, [fastcgi.encode_end_request(id, completed=False)])
        elif (ticket := self.tickets.get(id)) is not None:
            self.front.feed(ClientGone(ticket))
            self.reply(ticket, b"", whole=False)

    def _more(self, id: int, intake: IncomingRequest, kind: int, content: bytes) -> None:
        """Takes in what has come of a req; what can't be used is answered now, whatever still comes of it."""
        before = intake.size
        try:
            if content:
                intake.add(kind, content, self.front.room)
            elif kind == fastcgi.RecordType.PARAMS:
                params = fastcgi.decode_pairs(bytes(intake.params))
                intake.length, well = body_length(params), params.get("SCRIPT_NAME") == "/health"
                intake.call = None if well else self.front.call(params)
                intake.whole = well
                intake.params.clear()
            elif intake.call is None:
                raise InvalidRequest("parameters without an end")
            elif intake.length not in (None, len(intake.body)):
                raise InvalidRequest(f"{len(intake.body)} bytes where CONTENT_LENGTH is {intake.length}")
            else:
                intake.whole = True
        except (InvalidRequest, fastcgi.ProtocolError) as error:
            self.refuse(id, error)
        except RequestMemoryExhausted:
            self.front.report.say("client", "no room for the bytes of a req")
            self._end(id, responses.overloaded(self.front.come_back))
        else:
            self.front.room -= intake.size - before

    def _come(self, id: int, intake: IncomingRequest, waited: int) -> None:
        """A whole req, which its client has not taken back."""
        ticket = self.front.ticket(self)
        self.tickets[id], self.owed[ticket], self.used = ticket, (id, intake.keep, intake.size), True
        if intake.call is None:
            self.front.feed(StatusQueried(ticket))
        else:
            call = intake.call._replace(body=bytes(intake.body), queueing_time=waited)
            self.front.feed(RequestReceived(ticket, call))

    def refuse(self, id: int, error: Exception) -> None:
        """The answer to a req that can't be used; after many its connection is closed."""
        self.front.report.say("client", f"a req that can't be used: {error}")
        self._end(id, responses.invalid(getattr(error, "status", 400), str(error)))

    def _end(self, id: int, data: bytes) -> None:
        intake = self.intakes.pop(id)
        self.front.room += intake.size
        self.closing |= not intake.keep
        self._fault(fastcgi.encode_response(id, data))

    def _fault(self, records: list[bytes]) -> None:
        self.faults += 1
        self.closing |= self.faults >= FAULTS_MOST
        if records:
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
    def waited(self) -> int:
        """us since its last byte came: a router short of CPU reads reqs whose time runs already."""
        try:
            told = self.stream.raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, SINCE.stop)
        except OSError:
            return 0
        return int.from_bytes(told[SINCE], sys.byteorder) * 1000

    def retire(self) -> bool:
        """Ends an idle connection at once, unless there is something on it that wasn't read yet.

        A req that comes between the look and the end is dropped, so never begun, and its bytes reset nothing.
        """
        if not self.idle or self.stream.pending() is Pending.UNREAD:
            return False
        self.shut = True
        self.stream.finish_sending()
        self.stream.drain()
        self.scope.cancel()
        self.front.open.discard(self)
        return True

    def end(self) -> None:
        """Begins no further req, and closes it when all have their answers."""
        self.closing = True
        self.more.set()

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
        self.write(
            ticket,
            fastcgi.encode_response(id, data) if whole else [fastcgi.encode_end_request(id, completed=False)],
        )

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
            elif self.closing and not (self.owed or self.intakes):
                return
            elif not self.turns:
                self.more = anyio.Event()
                await self.more.wait()

    def leave(self) -> None:
        self.front.room += sum(intake.size for intake in self.intakes.values())
        for ticket, (_, _, size) in list(self.owed.items()):
            self.front.room += size
            self.front.clients.pop(ticket, None)
            self.front.feed(ClientGone(ticket))
        self.intakes.clear()
        self.owed.clear()
        self.waiting.clear()
        for then in self.emptied.values():
            then()
        self.emptied.clear()


class ClientConnections:
    def __init__(
        self,
        feed: Callable[[Event], None],
        most: int,
        room: int,
        call: Callable[[dict[str, str]], ClientRequest],
        report: RateLimitedLog,
        come_back: int = 0,
    ):
        self.feed, self.most, self.call, self.report = feed, most, call, report
        self.come_back = come_back  # us, named to a client that finds no room; 0: none is
        self.room = room  # bytes of reqs that may still be held
        self.tickets = 0
        self.clients: dict[int, ClientConnection] = {}  # by ticket
        self.open: set[ClientConnection] = set()
        self.coming = 0  # admitted, not yet served

    @property
    def all_read(self) -> bool:
        """Nothing has come that this process hasn't read."""
        return not any(client.stream.pending() is Pending.UNREAD for client in self.open)

    def end(self) -> None:
        """Ends all connections, each when its reqs have their answers."""
        for client in self.open:
            client.end()

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

    async def serve(self, stream: Stream) -> None:
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
            stream.drain()
            stream.close()

    async def _attend(self, client: ClientConnection) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._flush, client, tasks)
            try:
                await client.read()
            except CONNECTION_LOST:
                pass
            except fastcgi.ProtocolError as error:
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
            pending = client.stream.pending()
            if pending is Pending.ENDED:
                return client.retire()
            quiet = quiet or (client if pending is Pending.QUIET else None)
        return quiet is not None and quiet.retire()

    async def sweep(self) -> None:
        """Gives up clients that bring nothing whole, ask nothing more, or take nothing of their answers."""
        while True:
            await anyio.sleep(SWEEP_EVERY)
            now = anyio.current_time()
            for client in list(self.open):
                for id in [id for id, intake in client.intakes.items() if now - intake.since > WHOLE_WITHIN]:
                    client.refuse(id, InvalidRequest("still not whole", 408))
                if len(client.outgoing) and now - client.sending > STUCK_AFTER:
                    self.report.say("client", "a client that takes nothing is given up")
                    client.scope.cancel()
                elif client.used and now - client.heard > IDLE_MOST:
                    client.retire()
                elif not client.used and now - client.since > WHOLE_WITHIN and client.retire():
                    self.report.say("client", "a connection that brings no req is closed")

    async def _flush(self, client: ClientConnection, tasks: anyio.abc.TaskGroup) -> None:
        with contextlib.suppress(*CONNECTION_LOST):
            await client.flush()
            client.shut = True
            client.stream.finish_sending()
            await anyio.sleep(LINGER)
        tasks.cancel_scope.cancel()
