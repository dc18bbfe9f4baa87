"""The end of the process: nobody who has connected or sent something is left without a response."""

from collections.abc import Callable

import anyio

from quartzrouter.server.client_connections import ClientConnections
from quartzrouter.server.listener import Listener

POLL_INTERVAL = 0.005  # s between looks whether the last responses have gone out
# us in which what clients have sent is read and responded to, should some never stop sending.
MAX_DRAIN_TIME = 1_500_000


async def drain_and_close(
    listener: Listener,
    clients: ClientConnections,
    has_requests: Callable[[], bool],
    clock: Callable[[], int],
    max_client_timeout: int,
) -> None:
    """Accepts what waits, responds to what was read, and closes once every response has arrived.

    Guards against resets: a close over unread bytes resets a connection, and its client loses responses
    that it hasn't read. So connections end one way first, what crosses that end is read and dropped, and
    only then are they closed.

    :param has_requests: whether requests are in flight.
    :param clock: gives microseconds.
    :param max_client_timeout: us after which no client waits for a response any more; clients that don't
        read keep the process no longer than that.
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
            clients.close_when_answered()  # what was accepted last has an iteration to be read in
            await anyio.sleep(POLL_INTERVAL)
