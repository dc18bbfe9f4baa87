"""The process: one task group, the clock, events into the reducer and its effects out to the sockets."""

import asyncio
import gc
import logging
import signal
import socket
import sys
import traceback
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

import anyio

from quartzrouter.configuration import Configuration, ConfigurationError, read
from quartzrouter.routing import LOGGER_NAME
from quartzrouter.routing.model import Idempotency as RepeatEffect
from quartzrouter.routing.router import Router, retry_after
from quartzrouter.server import endpoint_watch, responses
from quartzrouter.server.cache_connections import CacheConnections
from quartzrouter.server.client_connections import ClientConnections, parse_request
from quartzrouter.server.clock import RouterClock, steady_clock, wall_clock
from quartzrouter.server.effects import (
    CancelAttempt,
    CloseIdleConnections,
    ExitProcess,
    FollowDiscovery,
    OpenConnection,
    SendRequest,
    SendResponse,
    StartHealthCheck,
)
from quartzrouter.server.event_loop import BACKEND_OPTIONS
from quartzrouter.server.events import (
    AttemptEnded,
    ClientGone,
    ClientRequest,
    ConfigurationReloaded,
    Event,
    ShutdownRequested,
    TimerFired,
)
from quartzrouter.server.rate_limited_log import ForwardingHandler, RateLimitedLog
from quartzrouter.server.spin_guard import MIN_PAUSE, SpinGuard, TickGuard
from quartzrouter.server.state_machine import RouterStateMachine
from quartzrouter.server.stream import Stream
from quartzrouter.signals import Signals

RESERVE = 24  # descriptors for the listener, the journal service, the loop, the log and Python itself
REQS_SHARE = 8  # of the memory told, one part in so many may hold clients' reqs, parameters and bodies
HELD_SHARE = 8  # and one in so many answers that are not yet with their clients
RECEIVE = 1 << 15  # bytes in a socket's own buffer, read whole at once: a fast sender may not fill the memory
BACKLOG = 1024  # connections that wait to be accepted
FLUSH_EVERY = 0.005  # s between looks whether the last answers have gone out
READ_WITHIN = 1_500_000  # us at the end in which what clients have sent is read, should some never stop
ACCEPT_AT_ONCE = 8  # connections a wake: those that make room hold their descriptors until the next
ACCEPT_PAUSE = 0.05  # s after an accept that failed


class AttemptTask:
    """A dispatch's task, and the way to hand it what to write."""

    def __init__(self) -> None:
        self.scope, self.asked, self.write = anyio.CancelScope(), anyio.Event(), None

    async def order(self) -> SendRequest:
        if self.write is None:  # most often the reducer has said it already
            await self.asked.wait()
        return self.write


class RouterProcess:
    def __init__(
        self,
        configuration: Configuration,
        reread: Callable[[], Configuration] | None = None,
        signals: Signals | None = None,
    ):
        self.configuration, self.reread, self.signals = configuration, reread, signals or Signals()
        self.report = self._report()
        decisions_log = logging.getLogger(LOGGER_NAME)
        decisions_log.handlers = [ForwardingHandler(self.report)]
        decisions_log.propagate = False
        decisions_log.setLevel(logging.INFO)
        self.reducer = self._reducer()
        clients = configuration.sockets // 3
        come_back = retry_after(configuration.briefing.arguments["permits"])
        room = configuration.memory // REQS_SHARE
        self.front = ClientConnections(self.feed, clients, room, self._reader(), self.report, come_back)
        self.backend = CacheConnections(
            self.feed,
            configuration.sockets - clients - RESERVE,
            configuration.memory // HELD_SHARE,
            configuration.briefing.idle_most / 1e6,
            configuration.briefing.connect_within / 1e6,
            self._copy_of(),
            configuration.briefing.arguments["permits"].load_in_responses,
        )
        self.journal = endpoint_watch.EndpointWatch(
            configuration.journal, configuration.position, configuration.briefing, self.feed, self.report
        )
        self.attempts: dict[tuple[int, int], AttemptTask] = {}
        self.events: deque[Event] = deque()
        self.feeding, self.now, self.time = False, 0, RouterClock(wall_clock, steady_clock)
        self.done = 0  # events played, but for ticks without effects
        self.ticks, self.turns = TickGuard(self.report), SpinGuard(lambda: self.done, self.report)
        self.changed = anyio.Event()  # the reducer's next timer
        self.listening: list[socket.socket] = []
        self.accepting: anyio.CancelScope
        self.tasks: anyio.abc.TaskGroup

    def _report(self) -> RateLimitedLog:
        return RateLimitedLog(self.configuration.name, wall_clock)

    def _reducer(self) -> RouterStateMachine:
        return RouterStateMachine(Router(**self.configuration.briefing.arguments))

    def _reader(self) -> Callable[[dict[str, str]], ClientRequest]:
        """What makes a req of a client's parameters."""
        uniqued = {
            vhost.name: vhost.idempotency is RepeatEffect.IDEMPOTENT_WITH_KEY
            for vhost in self.configuration.briefing.vhosts
        }
        return partial(parse_request, uniqued=uniqued.get)

    def _copy_of(self) -> Callable[[dict[str, str]], Any] | None:
        """What makes more of an answer's fields than the platform's protocol does."""
        return None

    def feed(self, event: Event) -> None:
        """Plays an event, and whatever its effects bring about at once."""
        self.events.append(event)
        if self.feeding:
            return
        self.feeding = True
        try:
            while self.events:
                self._step(self.events.popleft())
        finally:
            self.feeding = False

    def _time(self) -> int:
        self.now = self.time()
        return self.now

    def _step(self, event: Event) -> None:
        due, failed = self.reducer.due, None
        if isinstance(event, AttemptEnded) and event.failure:
            failure = event.failure
            self.report.say("attempt", f"{failure.cause.name} while {failure.stage.name}: {failure.detail}")
        try:
            effects = self.reducer.step(event, self._time())
        except Exception:
            self.report.say("fault", f"{type(event).__name__}: {traceback.format_exc()}")
            effects = self.reducer.effects
            if (
                not isinstance(event, ClientGone)
                and (failed := getattr(event, "request_id", None)) is not None
            ):
                self.events.append(ClientGone(failed))
        if effects or not isinstance(event, TimerFired):
            self.done += 1
        for effect in effects:
            try:
                self._perform(effect)
            except Exception:
                self.report.say("fault", f"{type(effect).__name__}: {traceback.format_exc()}")
        if client := self.front.clients.get(failed):
            client.reply(failed, responses.failed())
        if self.reducer.due < due:
            self.changed.set()

    def _perform(self, effect) -> None:
        match effect:
            case SendResponse(ticket, data):
                if client := self.front.clients.get(ticket):
                    client.reply(ticket, data)
            case OpenConnection(ticket, hop, name, address):
                self.attempts[ticket, hop] = AttemptTask()
                self.tasks.start_soon(self._dispatch, ticket, hop, name, address)
            case SendRequest(ticket, hop):
                if attempt := self.attempts.get((ticket, hop)):  # else it has just ended
                    attempt.write = effect
                    attempt.asked.set()
            case CancelAttempt(ticket, hop):
                self.backend.drop(ticket, hop)
                if attempt := self.attempts.get((ticket, hop)):
                    attempt.scope.cancel()
            case StartHealthCheck():
                self.tasks.start_soon(self.backend.probe, effect)
            case CloseIdleConnections(name):
                self.backend.forget(name)
            case FollowDiscovery(address):
                self.journal.move(address)
            case ExitProcess():
                self.tasks.start_soon(self._exit)
            case _:
                self._perform_more(effect)

    def _perform_more(self, effect) -> None:
        """Effects that only an installation of our own asks for."""
        raise NotImplementedError(type(effect).__name__)

    async def _dispatch(self, ticket: int, hop: int, name: str, address: tuple[str, int]) -> None:
        attempt, client = self.attempts[ticket, hop], self.front.clients.get(ticket)

        def given(then: Callable[[], None]) -> None:
            if client:
                client.once_taken(ticket, then)
            else:
                then()

        async def heard() -> None:
            if client:
                await client.hear(ticket)

        try:
            with attempt.scope:
                await self.backend.dispatch(ticket, hop, name, address, heard, attempt.order, given)
        finally:
            del self.attempts[ticket, hop]

    async def _timers(self) -> None:
        played = 0
        while True:
            self.changed = anyio.Event()
            wait = (self.reducer.due - self._time()) / 1e6
            with anyio.move_on_after(max(wait, self.ticks.pause)):
                await self.changed.wait()
            if self.reducer.due <= self._time():
                self.feed(TimerFired())
                again = self.reducer.due - self.now < MIN_PAUSE * 1e6
                self.ticks.record_tick(self.done > played, self.reducer.due_for if again else None)
                played = self.done

    async def _accept_all(self) -> None:
        with anyio.CancelScope() as self.accepting:
            async with anyio.create_task_group() as tasks:
                for raw in self.listening:
                    tasks.start_soon(self._accept, raw)
        while self._accept_all_waiting():  # nobody waits for these descriptors any more
            pass
        while self.listening:
            self.listening.pop().close()

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            await anyio.wait_readable(listener)
            try:
                self._accept_waiting(listener)
            except OSError as error:
                self.report.say("client", f"accept failed: {error}")
                await anyio.sleep(ACCEPT_PAUSE)

    def _accept_waiting(self, listener: socket.socket) -> bool:
        """Takes all that wait, to a bound: one a turn of the loop would fall behind in a busy process.

        Tells whether there was one; raises OSError.
        """
        for taken in range(ACCEPT_AT_ONCE):
            try:
                accepted, _ = listener.accept()
            except BlockingIOError:
                return taken > 0
            try:
                stream = Stream(accepted)
            except OSError as error:  # it has ended already, say
                self.report.say("client", f"connection ended: {error}")
                accepted.close()
                continue
            if self.front.admit():
                self.tasks.start_soon(self.front.serve, stream)
            else:
                stream.drain()
                stream.close()
        return True

    def _accept_all_waiting(self) -> bool:
        """Takes what waits at the listeners, and tells whether something did; any kernel says so."""
        try:
            return any([self._accept_waiting(each) for each in self.listening])
        except OSError as error:
            self.report.say("client", f"accept failed: {error}")
            return False

    async def _exit(self) -> None:
        """Leaves nobody in between: what waits is taken, what was read is answered, and every answer arrives.

        Connections end one way first: a close over unread bytes would reset them, and answers with them.
        """
        until = self._time() + READ_WITHIN
        while self._accept_all_waiting() or not self.front.all_read or self.reducer.hands:
            if self._time() >= until:
                break
            await anyio.sleep(FLUSH_EVERY)
        self.accepting.cancel()
        while self.listening:
            await anyio.sleep(FLUSH_EVERY)
        longest = max(vhost.client_timeout for vhost in self.configuration.briefing.vhosts)
        with anyio.move_on_after(longest / 1e6):  # later nobody waits for an answer
            while self.front.open or self.front.coming:
                self.front.end()  # what was taken last has a turn to be read in
                await anyio.sleep(FLUSH_EVERY)
        self.tasks.cancel_scope.cancel()

    async def _signals(self) -> None:
        loop, come = asyncio.get_running_loop(), anyio.Event()
        self.signals.wake = lambda: loop.call_soon_threadsafe(come.set)
        while True:
            while self.signals.pending:
                number = self.signals.pending.popleft()
                if number == signal.SIGHUP:
                    self._reload()
                else:
                    self.report.say("process", f"{number.name}: finishing what is in hand")
                    self.feed(ShutdownRequested())
                await anyio.sleep(0)  # what one has started is under way when the next is taken up
            await come.wait()
            come = anyio.Event()

    def _reload(self) -> None:
        """The configuration as it now reads; one that can't be used changes nothing."""
        try:
            configuration = self.reread()
        except ConfigurationError as error:
            self.report.say("process", f"SIGHUP: nothing changes: {error}")
            return
        kept = [key for key, told in self.configuration.fixed.items() if configuration.fixed[key] != told]
        change = f"{', '.join(kept)} kept until the next start" if kept else "read anew"
        self.report.say(
            "process", f"SIGHUP: journal at {configuration.journal[0]}:{configuration.journal[1]}; {change}"
        )
        self.feed(ConfigurationReloaded(configuration.journal))

    def _start_more(self) -> None:
        """Tasks of an installation of our own."""

    async def run(self) -> None:
        with self.signals:
            await self._run()

    async def _run(self) -> None:
        configuration, now = self.configuration, self._time()
        self.reducer.step(TimerFired(), now)
        for event in endpoint_watch.initial_snapshot(configuration.known, configuration.briefing):
            self.reducer.step(event, now)
        host, port = configuration.listen
        if self.signals.stop_pending:
            self.report.say("process", "told to end before it listened: stopped")
            return
        try:
            listeners = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=BACKLOG)
        except OSError as error:
            raise ConfigurationError(
                f"listen: {host}:{port} can't be bound: {error.strerror or error}"
            ) from None
        self.listening = [each.extra(anyio.abc.SocketAttribute.raw_socket) for each in listeners.listeners]
        for raw in self.listening:  # what is accepted takes it on
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE)
        gc.collect()
        gc.freeze()
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self._signals)
            self.tasks.start_soon(self._timers)
            self.turns.start()
            self.tasks.start_soon(self.backend.sweep)
            self.tasks.start_soon(self.front.sweep)
            if configuration.journal:
                self.tasks.start_soon(self.journal.follow)
            self.tasks.start_soon(self._accept_all)
            self._start_more()
        self.report.say("process", "stopped")


def main(environ, signals: Signals | None = None) -> int:
    """Runs one router to its end.

    :param signals: those that listen already: what came before the router runs is played once it does.
    """
    try:
        service = RouterProcess(
            Configuration(read(environ), environ), lambda: Configuration(read(environ), environ), signals
        )
        anyio.run(service.run, backend_options=BACKEND_OPTIONS)
    except ConfigurationError as error:
        print(f"quartzrouter: {error}", file=sys.stderr)
        return 1
    return 0
