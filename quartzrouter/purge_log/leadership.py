"""Decides which process writes the log: the newest epoch leads, and a standby replaces a silent primary."""

import anyio

from quartzrouter.purge_log.errors import FencedError, UnreachableError
from quartzrouter.purge_log.log import PurgeLog
from quartzrouter.purge_log.query_client import QueryClient
from quartzrouter.purges.freshness_lease import lease_length
from quartzrouter.purges.messages import MembersQuery
from quartzrouter.purges.reconnect_backoff import PrimaryWatch
from quartzrouter.server.rate_limited_log import RateLimitedLog

MICROSECONDS_PER_SECOND = 1e6


class Leadership:
    """Ends this server once another writer has started a higher epoch.

    This prevents two leaders. A process may be stopped, or cut off from everything but the disk, and wake
    after a standby took over. Without the check it would tell members that they have every purge, and grant
    quota that the new leader grants as well.

    :param stopping: the scope that is cancelled once this server is fenced.
    """

    def __init__(self, log: PurgeLog, stopping: anyio.CancelScope, report: RateLimitedLog):
        self.log = log
        self.stopping = stopping
        self.report = report
        self.is_fenced = False

    def check_is_leader(self) -> bool:
        """Returns True if the disk shows no newer writer than this one; ends the server otherwise."""
        try:
            self.log.check_epoch()
        except FencedError as error:
            self.fence(error)
            return False
        return True

    def fence(self, error: FencedError) -> None:
        """Ends the server because another writer has started."""
        self.is_fenced = True
        self.report.say("log", f"{error}; this process exits")
        self.stopping.cancel()


async def wait_for_silent_primary(primary: tuple[str, int], grace: int, report: RateLimitedLog) -> None:
    """Waits until the primary has not answered for so long that the leases of its members have expired.

    :param grace: microseconds within which a purge must hold at every router.
    """
    interval = lease_length(grace) / MICROSECONDS_PER_SECOND
    client = QueryClient([primary], interval)
    watch = PrimaryWatch()
    name = f"{primary[0]}:{primary[1]}"
    report.say("process", f"standing by for {name}")
    while True:
        try:
            await client.ask(MembersQuery())
            takes_over = watch.record(answered=True)
        except UnreachableError:
            takes_over = watch.record(answered=False)
        if takes_over:
            break
        await anyio.sleep(interval)
    await client.close()
    report.say("process", f"{name} has not answered {watch.misses} times: taking over")
