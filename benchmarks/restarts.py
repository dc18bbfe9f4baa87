"""Measures the parts of a restart: routers start together while their discovery service is down.

    python benchmarks/restarts.py [ROUTERS]

Prints the milliseconds of each part, median and worst: the interpreter, imports, the configuration, the
objects of the process, its event loop, the initial snapshot with the listener, and the first 200 on /health
as a front server requests it.
"""

import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from quartzrouter.fakes.loopback import PORT_RANGE, Client, begin_request_record
from quartzrouter.server.fastcgi import RecordType

ROUTERS = 20
PARTS = "interpreter", "imports", "configuration", "objects", "event loop", "list, listener", "health"
POLL_SECONDS = 0.01
TIMEOUT_SECONDS = 60.0  # for all routers together
CACHES = 160
# The unchanged router, which also records when it reaches each part.
ROUTER_WITH_NOTES = """
import os, sys, time
times = [time.monotonic()]
from quartzrouter.signals import Signals
signals = Signals().__enter__()
from quartzrouter.configuration import Configuration, read_configuration
from quartzrouter.server import process
import anyio
note = lambda: times.append(time.monotonic())
note()
class NotedProcess(process.RouterProcess):
    async def _run(self):
        note()
        await super()._run()
    def _start_background_tasks(self):
        note()
        print(*times, flush=True)
configuration = Configuration(read_configuration(os.environ), os.environ)
note()
router_process = NotedProcess(configuration, None, signals)
note()
anyio.run(router_process.run, backend_options=process.BACKEND_OPTIONS)
"""


def configuration() -> dict:
    """Returns a configuration that lists 160 caches, a parent and an origin."""
    members = [
        {
            "id": f"s-{number:08x}",
            "host_port": f"127.0.0.1:{9 + number}",
            "locality": "north",
            "cell": 0,
            "size": 6,
            "flavor": {0: "origin", 1: "parent"}.get(number, "box"),
            "phase": "SERVING",
            "up_since_ms": 0,
        }
        for number in range(CACHES + 2)
    ]
    return {
        "journal": "127.0.0.1:9",
        "seed": "7",
        "limits": {"sockets": 512},
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"complete": True, "members": members}}]},
        "settings": {
            "zone": "north",
            "zones": ["north"],
            "models": ["box", "parent", "origin"],
            "categories": [{"name": "page", "effect": "retryable", "deadline_us": 3_000_000}],
            "family_info": {"shield_kind": 1, "store_kind": 2},
        },
    }


def is_healthy(port: int) -> bool:
    """Returns True if /health answers 200, over FastCGI on a connection of its own."""
    params = RecordType.PARAMS, b"\x0b\x07SCRIPT_NAME/health"
    end_of_params = RecordType.PARAMS, b""
    end_of_body = RecordType.STDIN, b""
    request = Client.encode_records(begin_request_record(), params, end_of_params, end_of_body)
    try:
        with socket.create_connection(("127.0.0.1", port), 1) as connection:
            connection.sendall(request)
            return b"Status: 200" in connection.recv(4096)
    except OSError:
        return False


def start_router(config_path: Path, port: int) -> subprocess.Popen:
    """Starts one router that prints when it reached each part."""
    environ = os.environ | {"NODE_CONFIG": str(config_path), "NODE_LISTEN": f"127.0.0.1:{port}"}
    command = [sys.executable, "-c", ROUTER_WITH_NOTES]
    return subprocess.Popen(
        command, env=environ, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )


def wait_until_healthy(ports: list[int], started_at: float) -> dict[int, float]:
    """Returns when each router was first healthy, by port; routers that never were are missing."""
    healthy_at: dict[int, float] = {}
    while len(healthy_at) < len(ports) and time.monotonic() < started_at + TIMEOUT_SECONDS:
        for port in ports:
            if port not in healthy_at and is_healthy(port):
                healthy_at[port] = time.monotonic()
        time.sleep(POLL_SECONDS)
    return healthy_at


def measure(router_count: int) -> list[list[float]]:
    """Starts routers together; returns for each that became healthy when it reached the end of each part.

    The first entry is the common start, in seconds of the monotonic clock.
    """
    ports = random.SystemRandom().sample(range(*PORT_RANGE), router_count)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration()))
        started_at = time.monotonic()
        processes = [start_router(path, port) for port in ports]
        healthy_at = wait_until_healthy(ports, started_at)
        for process in processes:
            process.terminate()
        measured = []
        for port, process in zip(ports, processes, strict=True):
            output, _ = process.communicate()
            if port in healthy_at and output:
                measured.append([started_at, *map(float, output.split()), healthy_at[port]])
    return measured


def print_table(measured: list[list[float]], router_count: int) -> None:
    """Prints the milliseconds by part."""
    load = os.getloadavg()[0]
    healthy = len(measured)
    print(f"{router_count} routers at once, {os.cpu_count()} cores, load {load:.1f}; ready: {healthy}")
    print(f"{'ms':16} median  worst")
    for number, part in enumerate(PARTS):
        durations = sorted((times[number + 1] - times[number]) * 1000 for times in measured)
        print(f"{part:16} {durations[len(durations) // 2]:6.0f} {durations[-1]:6.0f}")
    totals = sorted((times[-1] - times[0]) * 1000 for times in measured)
    nine_in_ten = totals[len(totals) * 9 // 10 - 1]
    median = totals[len(totals) // 2]
    print(f"{'in all':16} {median:6.0f} {totals[-1]:6.0f}, nine in ten within {nine_in_ten:.0f}")


def main(router_count: int) -> None:
    """Measures, and prints the table."""
    print_table(measure(router_count), router_count)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else ROUTERS)
