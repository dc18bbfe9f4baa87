"""Tests that many routers started at once on shared cores get ready without the discovery service."""

import os
import subprocess
import sys
import time

import anyio
from standins import free_port

from quartzrouter.server import process

ROUTERS = 20
NINE_IN_TEN_WITHIN, ALL_WITHIN = 10.0, 30.0  # seconds within which 90 % and all routers have to be ready


def test_routers_started_together_are_ready_by_their_initial_snapshot(harness, capsys):
    """Twenty routers start at once while discovery is down: the endpoints in their configuration suffice."""

    async def time_until_ready(port, started_at):
        """Polls /health as a front end does; returns the seconds until it responds with 200."""
        while True:
            client = await harness.connect(port)
            await client.send_request(1, path="/health")
            response = await client.receive_response()
            await client.stream.aclose()
            if "200" in response:
                return time.monotonic() - started_at
            await anyio.sleep(0.05)

    async def run():
        routers, durations = [], []
        cache, ports = "127.0.0.1:9", [await free_port() for _ in range(ROUTERS)]
        harness.write_configuration(cache, f"127.0.0.1:{await free_port()}")  # discovery is down
        started_at = time.monotonic()
        try:
            for port in ports:
                environ = os.environ | {
                    "NODE_CONFIG": str(harness.config_path),
                    "NODE_LISTEN": f"127.0.0.1:{port}",
                }
                command = [sys.executable, "-m", "quartzrouter"]
                routers.append(subprocess.Popen(command, env=environ, stderr=subprocess.DEVNULL))

            async def record(port):
                durations.append(await time_until_ready(port, started_at))

            with anyio.move_on_after(ALL_WITHIN):
                async with anyio.create_task_group() as tasks:
                    for port in ports:
                        tasks.start_soon(record, port)
        finally:
            for router in routers:
                router.kill()
                router.wait()
        return sorted(durations)

    durations = anyio.run(run, backend_options=process.BACKEND_OPTIONS)
    print("ready after", *(f"{duration:.2f}" for duration in durations), "s")
    assert len(durations) == ROUTERS
    assert durations[ROUTERS * 9 // 10 - 1] <= NINE_IN_TEN_WITHIN
