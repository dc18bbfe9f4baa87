"""Where the time of a restart goes: routers started at once, with nobody to tell them of the caches.

    python benchmarks/restarts.py [ROUTERS]

A table of ms by part, median and worst: the interpreter, imports, the configuration, the service, its loop,
the list it knows and the listener, and the first 200 on /health as a front asks for it.
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
from quartzrouter.server import fastcgi

ROUTERS = 20
PARTS = "interpreter", "imports", "configuration", "service", "loop", "list, listener", "health"
ASK_EVERY = 0.01  # s
MOST = 60.0  # s for all of them
# The router as it is, but for notes of when it got where.
NOTED = """
import os, sys, time
came = [time.monotonic()]
from quartzrouter.signals import Signals
signals = Signals().__enter__()
from quartzrouter.configuration import Configuration, read_configuration
from quartzrouter.server import process
import anyio
note = lambda: came.append(time.monotonic())
note()
class Service(process.RouterProcess):
    async def _run(self):
        note()
        await super()._run()
    def _start_background_tasks(self):
        note()
        print(*came, flush=True)
configuration = Configuration(read_configuration(os.environ), os.environ)
note()
service = Service(configuration, None, signals)
note()
anyio.run(service.run, backend_options=process.BACKEND_OPTIONS)
"""


def configuration() -> dict:
    """A deployment of 160 caches, told at start."""
    members = [
        {
            "id": f"s-{n:08x}",
            "host_port": f"127.0.0.1:{9 + n}",
            "locality": "north",
            "cell": 0,
            "size": 6,
            "flavor": {0: "origin", 1: "parent"}.get(n, "box"),
            "phase": "SERVING",
            "up_since_ms": 0,
        }
        for n in range(162)
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


def health(port: int) -> bool:
    """Whether /health answers 200, over FastCGI on a connection of its own."""
    params = (fastcgi.RecordType.PARAMS, b"\x0b\x07SCRIPT_NAME/health")
    ask = Client.encode_records(
        begin_request_record(), params, (fastcgi.RecordType.PARAMS, b""), (fastcgi.RecordType.STDIN, b"")
    )
    try:
        with socket.create_connection(("127.0.0.1", port), 1) as connection:
            connection.sendall(ask)
            return b"Status: 200" in connection.recv(4096)
    except OSError:
        return False


def main(routers: int) -> None:
    ports = random.SystemRandom().sample(range(*PORT_RANGE), routers)
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "config.json"
        path.write_text(json.dumps(configuration()))
        began, processes, ready = time.monotonic(), [], {}
        for port in ports:
            environ = os.environ | {"NODE_CONFIG": str(path), "NODE_LISTEN": f"127.0.0.1:{port}"}
            command = [sys.executable, "-c", NOTED]
            processes.append(
                subprocess.Popen(
                    command, env=environ, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
                )
            )
        while len(ready) < routers and time.monotonic() < began + MOST:
            for port in ports:
                if port not in ready and health(port):
                    ready[port] = time.monotonic()
            time.sleep(ASK_EVERY)
        for process in processes:
            process.terminate()
        came = []
        for port, process in zip(ports, processes, strict=True):
            said, _ = process.communicate()
            if port in ready and said:
                came.append([began, *map(float, said.split()), ready[port]])
    load = os.getloadavg()[0]
    print(f"{routers} routers at once, {os.cpu_count()} cores, load {load:.1f}; ready: {len(ready)}")
    print(f"{'ms':16} median  worst")
    for n, part in enumerate(PARTS):
        took = sorted((each[n + 1] - each[n]) * 1000 for each in came)
        print(f"{part:16} {took[len(took) // 2]:6.0f} {took[-1]:6.0f}")
    took = sorted((each[-1] - began) * 1000 for each in came)
    most = took[len(took) * 9 // 10 - 1]
    print(f"{'in all':16} {took[len(took) // 2]:6.0f} {took[-1]:6.0f}, nine in ten within {most:.0f}")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else ROUTERS)
