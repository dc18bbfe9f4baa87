"""Shutdown of the process: every client that has connected or sent a request gets its responses."""

from collections.abc import Callable

import anyio

from quartzrouter.server.client_connections import ClientConnections
from quartzrouter.server.listener import Listener

POLL_INTERVAL = 0.005  # seconds between checks whether the last responses have been sent
# Microseconds during which requests are still read and answered; the limit is for clients that never stop
# sending.
MAX_DRAIN_TIME = 1_500_000


async def drain_and_close(
    listener: Listener,
    clients: ClientConnections,
    has_requests: Callable[[], bool],
    clock: Callable[[], int],
    max_client_timeout: int,
) -> None:
    """Accepts waiting connections, answers what was read, and closes once every response has arrived.

    Guards against resets: closing a connection with unread bytes resets it, and its client loses responses
    that it hasn't read. So a connection is first shut down for writing, bytes that still arrive are read and
    dropped, and only then is it closed.

    :param has_requests: returns True if requests are in flight.
    :param clock: returns the time in microseconds.
    :param max_client_timeout: microseconds after which no client waits for a response any more. Clients that
        don't read delay the end of the process no longer than that.
    """
    drain_until = clock() + MAX_DRAIN_TIME
    while listener.accept_waiting() or not clients.all_read or has_requests():
        if clock() >= drain_until:
            break
        await anyio.sleep(POLL_INTERVAL)
    listener.stop()
    while listener.is_open:
        await anyio.sleep(POLL_INTERVAL)
    with anyio.move_on_after(max_client_timeout / 1e6):
        while clients.open or clients.admitted:
            clients.close_when_answered()  # leaves an iteration to read the connections accepted last
            await anyio.sleep(POLL_INTERVAL)
