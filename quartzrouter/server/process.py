"""The router's process: passes events to the state machine and carries out the effects that it returns.

One task group holds all tasks. ``handle_event`` is the only way to the state machine: connections, timers,
signals and the endpoint watch call it with an event, and it carries out the effects.
"""

import asyncio
import gc
import logging
import signal
import sys
import traceback
from collections import deque
from collections.abc import Callable
from functools import partial

import anyio

from quartzrouter.configuration import Configuration, read_configuration
from quartzrouter.configuration_section import ConfigurationError
from quartzrouter.routing import LOGGER_NAME
from quartzrouter.routing.model import Idempotency
from quartzrouter.routing.retries import retry_after
from quartzrouter.routing.router import Router
from quartzrouter.server import discovery_protocol, endpoint_watch, responses
from quartzrouter.server.attempt_task import AttemptTask
from quartzrouter.server.cache_connections import CacheConnections
from quartzrouter.server.cache_responses import CopyReader
from quartzrouter.server.client_connections import ClientConnections
from quartzrouter.server.clock import RouterClock, steady_clock, wall_clock
from quartzrouter.server.connection_pool import ConnectionPool
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
    ConfigurationReloaded,
    Event,
    ShutdownRequested,
    TimerFired,
)
from quartzrouter.server.listener import Listener
from quartzrouter.server.memory_budget import divide_memory, resident_memory
from quartzrouter.server.rate_limited_log import ForwardingHandler, RateLimitedLog
from quartzrouter.server.request_reader import ParamsParser, parse_request
from quartzrouter.server.shutdown import drain_and_close
from quartzrouter.server.spin_guard import MIN_PAUSE, SpinGuard, TickGuard
from quartzrouter.server.state_machine import RouterStateMachine
from quartzrouter.signals import Signals

# Descriptors for the listener, the discovery service, the event loop, the log and Python itself.
RESERVED_DESCRIPTORS = 24
CLIENT_DESCRIPTORS_DIVISOR = 3  # a third of the descriptors is for clients' connections


class RouterProcess:
    """One router: its state machine, its connections, and the tasks that pass events between them.

    :param configuration: the configuration read at startup.
    :param reread: reads the configuration again at SIGHUP; raises ConfigurationError.
    :param signals: installed signal handlers; signals from before the router runs are handled once it does.
    """

    def __init__(
        self,
        configuration: Configuration,
        reread: Callable[[], Configuration] | None = None,
        signals: Signals | None = None,
    ):
        self.configuration = configuration
        self._reread = reread
        self._signals = signals or Signals()
        self.log = self._create_log()
        forward_decisions(self.log)
        self.state_machine = self._create_state_machine()
        self.memory_budget = divide_memory(configuration.memory_limit, resident_memory())
        self.client_connections = self._create_client_connections()
        self.cache_connections = self._create_cache_connections()
        self.endpoint_watch = endpoint_watch.EndpointWatch(
            configuration.discovery_address,
            configuration.initial_sequence,
            configuration.settings,
            self.handle_event,
            self.log,
        )
        self.listener = Listener(self.client_connections, self.log)
        self.attempts: dict[tuple[int, int], AttemptTask] = {}  # by request id and attempt number
        self.clock = RouterClock(wall_clock, steady_clock)
        self._now = 0  # time of the last event in microseconds
        self._events: deque[Event] = deque()  # events still to be handled
        self._is_handling_events = False
        self._events_handled = 0  # number of events, except for timer ticks without effects
        self._tick_guard = TickGuard(self.log)
        self._spin_guard = SpinGuard(self._count_progress, self.log)
        self._next_timer_changed = anyio.Event()
        self.tasks: anyio.abc.TaskGroup

    # -- parts that a standalone router replaces -----------------------------------------------------

    def _create_log(self) -> RateLimitedLog:
        return RateLimitedLog(self.configuration.name, wall_clock)

    def _create_state_machine(self) -> RouterStateMachine:
        return RouterStateMachine(Router(**self.configuration.settings.router_arguments))

    def _create_params_parser(self) -> ParamsParser:
        """Returns the function that reads a request from a client's CGI parameters."""
        requires_key = {
            traffic_class.name: traffic_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            for traffic_class in self.configuration.settings.traffic_classes
        }
        return partial(parse_request, requires_key=requires_key.get)

    def _create_copy_reader(self) -> CopyReader | None:
        """Returns the function that reads header fields beyond the platform's protocol, or None."""
        return None

    def _start_background_tasks(self) -> None:
        """Starts tasks that only a standalone router has."""

    def _perform_extension(self, effect: object) -> None:
        """Carries out an effect that only a standalone router has."""
        raise NotImplementedError(type(effect).__name__)

    # -- connections ---------------------------------------------------------------------------------

    def _create_client_connections(self) -> ClientConnections:
        configuration = self.configuration
        return ClientConnections(
            self.handle_event,
            min(
                configuration.max_descriptors // CLIENT_DESCRIPTORS_DIVISOR,
                self.memory_budget.client_connections,
            ),
            self.memory_budget.requests,
            self._create_params_parser(),
            self.log,
            retry_after(configuration.settings.capabilities),
        )

    def _create_cache_connections(self) -> CacheConnections:
        configuration = self.configuration
        client_descriptors = configuration.max_descriptors // CLIENT_DESCRIPTORS_DIVISOR
        pool = ConnectionPool(
            configuration.max_descriptors - client_descriptors - RESERVED_DESCRIPTORS,
            configuration.settings.connection_idle_timeout / 1e6,
            configuration.settings.connect_timeout / 1e6,
        )
        return CacheConnections(
            self.handle_event,
            pool,
            self.memory_budget.responses,
            self._create_copy_reader(),
            configuration.settings.capabilities.load_in_responses,
        )

    # -- events and effects --------------------------------------------------------------------------

    def handle_event(self, event: Event) -> None:
        """Handles an event, and then the events that its effects cause at once, in their order."""
        self._events.append(event)
        if self._is_handling_events:
            return
        self._is_handling_events = True
        try:
            while self._events:
                self._handle_next(self._events.popleft())
        finally:
            self._is_handling_events = False

    def _count_progress(self) -> int:
        """Returns the number of events handled and of reads from clients, none of which a spin brings."""
        return self._events_handled + self.client_connections.reads

    def _read_clock(self) -> int:
        self._now = self.clock()
        return self._now

    def _handle_next(self, event: Event) -> None:
        """Handles one event; an exception fails the request that the event is about, and nothing else."""
        due_before = self.state_machine.due
        failed_request_id = None
        self._log_failure(event)
        try:
            effects = self.state_machine.step(event, self._read_clock())
        except Exception:
            self.log.say("fault", f"{type(event).__name__}: {traceback.format_exc()}")
            effects = self.state_machine.effects
            if not isinstance(event, ClientGone):
                failed_request_id = getattr(event, "request_id", None)
            if failed_request_id is not None:
                self._events.append(ClientGone(failed_request_id))
        if effects or not isinstance(event, TimerFired):
            self._events_handled += 1
        for effect in effects:
            try:
                self._perform(effect)
            except Exception:
                self.log.say("fault", f"{type(effect).__name__}: {traceback.format_exc()}")
        if client := self.client_connections.by_request_id.get(failed_request_id):
            client.respond(failed_request_id, responses.failed())
        if self.state_machine.due < due_before:
            self._next_timer_changed.set()

    def _log_failure(self, event: Event) -> None:
        if isinstance(event, AttemptEnded) and event.failure:
            failure = event.failure
            self.log.say("attempt", f"{failure.cause.name} while {failure.stage.name}: {failure.detail}")

    def _perform(self, effect: object) -> None:
        match effect:
            case SendResponse(request_id, data):
                if client := self.client_connections.by_request_id.get(request_id):
                    client.respond(request_id, data)
            case OpenConnection(request_id, attempt_number):
                client = self.client_connections.by_request_id.get(request_id)
                self.attempts[request_id, attempt_number] = AttemptTask(request_id, client)
                self.tasks.start_soon(self._run_attempt, effect)
            case SendRequest(request_id, attempt_number):
                if attempt := self.attempts.get((request_id, attempt_number)):  # None if it has just ended
                    attempt.set_request(effect)
            case CancelAttempt(request_id, attempt_number):
                self.cache_connections.cancel_attempt(request_id, attempt_number)
                if attempt := self.attempts.get((request_id, attempt_number)):
                    attempt.scope.cancel()
            case StartHealthCheck():
                self.tasks.start_soon(self.cache_connections.check_health, effect)
            case CloseIdleConnections(endpoint):
                self.cache_connections.pool.close_idle(endpoint)
            case FollowDiscovery(address):
                self.endpoint_watch.move(address)
            case ExitProcess():
                self.tasks.start_soon(self._exit)
            case _:
                self._perform_extension(effect)

    async def _run_attempt(self, effect: OpenConnection) -> None:
        key = effect.request_id, effect.attempt_number
        attempt = self.attempts[key]
        try:
            with attempt.scope:
                await self.cache_connections.run_attempt(effect, attempt)
        finally:
            del self.attempts[key]

    # -- tasks ---------------------------------------------------------------------------------------

    async def _run_timers(self) -> None:
        """Handles a ``TimerFired`` event whenever the state machine's next timer is due; runs forever."""
        events_handled_before = 0
        while True:
            self._next_timer_changed = anyio.Event()
            wait = (self.state_machine.due - self._read_clock()) / 1e6
            with anyio.move_on_after(max(wait, self._tick_guard.pause)):
                await self._next_timer_changed.wait()
            if self.state_machine.due <= self._read_clock():
                self.handle_event(TimerFired())
                is_due_again = self.state_machine.due - self._now < MIN_PAUSE * 1e6
                due_again = self.state_machine.next_timer_description if is_due_again else None
                self._tick_guard.record_tick(self._events_handled > events_handled_before, due_again)
                events_handled_before = self._events_handled

    async def _handle_signals(self) -> None:
        """Handles signals in their order; runs forever."""
        loop = asyncio.get_running_loop()
        arrived = anyio.Event()
        self._signals.wake = lambda: loop.call_soon_threadsafe(arrived.set)
        while True:
            while self._signals.pending:
                number = self._signals.pending.popleft()
                if number == signal.SIGHUP:
                    self._reload()
                else:
                    self.log.say("process", f"{number.name}: draining, in-flight requests are finished")
                    self.handle_event(ShutdownRequested())
                await anyio.sleep(0)  # starts the tasks of one signal before the next is handled
            await arrived.wait()
            arrived = anyio.Event()

    def _reload(self) -> None:
        """Reads the configuration again and switches to its discovery address.

        All other settings stay as they were at startup. The log line names those of ``restart_only`` that
        differ. An invalid configuration changes nothing.
        """
        try:
            configuration = self._reread()
        except ConfigurationError as error:
            self.log.say("process", f"SIGHUP: nothing changes: {error}")
            return
        kept = [
            key
            for key, value in self.configuration.restart_only.items()
            if configuration.restart_only[key] != value
        ]
        change = f"{', '.join(kept)} kept until the next start" if kept else "read again"
        host, port = configuration.discovery_address
        self.log.say("process", f"SIGHUP: journal at {host}:{port}; {change}")
        self.handle_event(ConfigurationReloaded(configuration.discovery_address))

    async def _exit(self) -> None:
        """Ends the process once all clients have their responses."""
        await drain_and_close(
            self.listener,
            self.client_connections,
            lambda: bool(self.state_machine.in_flight),
            self._read_clock,
            max(
                traffic_class.client_timeout for traffic_class in self.configuration.settings.traffic_classes
            ),
        )
        self.tasks.cancel_scope.cancel()

    # -- running -------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Runs until SIGTERM.

        :raises ConfigurationError: if the address to listen on can't be bound.
        """
        with self._signals:
            await self._run()

    async def _run(self) -> None:
        self._load_initial_snapshot()
        if self._signals.stop_pending:
            self.log.say("process", "terminated before it listened: stopped")
            return
        await self._listen()
        gc.collect()
        gc.freeze()  # exempts what was loaded at startup from later collections
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self._handle_signals)
            self.tasks.start_soon(self._run_timers)
            self._spin_guard.start()
            self.tasks.start_soon(self.cache_connections.pool.sweep)
            self.tasks.start_soon(self.client_connections.sweep)
            if self.configuration.discovery_address:
                self.tasks.start_soon(self.endpoint_watch.follow)
            self.tasks.start_soon(self.listener.run, self.tasks)
            self._start_background_tasks()
        self.log.say("process", "stopped")

    def _load_initial_snapshot(self) -> None:
        """Handles the endpoints and purges that the configuration contains."""
        now = self._read_clock()
        self.state_machine.step(TimerFired(), now)
        entries = self.configuration.initial_entries
        for event in discovery_protocol.initial_events(entries, self.configuration.settings):
            self.state_machine.step(event, now)

    async def _listen(self) -> None:
        host, port = self.configuration.listen_address
        try:
            await self.listener.open(host, port)
        except OSError as error:
            reason = error.strerror or error
            raise ConfigurationError(f"listen: {host}:{port} can't be bound: {reason}") from None


def forward_decisions(log: RateLimitedLog) -> None:
    """Replaces the handlers of the routing package's logger by one that writes to this log."""
    decisions_log = logging.getLogger(LOGGER_NAME)
    decisions_log.handlers = [ForwardingHandler(log)]
    decisions_log.propagate = False
    decisions_log.setLevel(logging.INFO)


def main(environ, signals: Signals | None = None) -> int:
    """Runs one router until it ends.

    :param environ: contains NODE_CONFIG, NODE_LISTEN and NODE_NAME.
    :param signals: installed signal handlers.
    :returns: the exit status, 1 if the configuration is invalid.
    """
    try:
        router_process = RouterProcess(
            Configuration(read_configuration(environ), environ),
            lambda: Configuration(read_configuration(environ), environ),
            signals,
        )
        anyio.run(router_process.run, backend_options=BACKEND_OPTIONS)
    except ConfigurationError as error:
        print(f"quartzrouter: {error}", file=sys.stderr)
        return 1
    return 0
