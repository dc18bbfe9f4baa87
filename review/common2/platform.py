"""Stand-ins of the platform: the configuration that a router gets, the journal service, and `run`."""

import asyncio
import contextlib
import json
import os
import struct
import subprocess
import time
import tomllib
from collections.abc import Mapping
from typing import Any

from review.common2.programs import ROOT, Programs, Record

FRAME = struct.Struct(">IQB")  # length, number, kind
NOTHING_NEW, PURGE_OF_OBJECT = 0, 3  # kinds of frames
KINDS = {"cache": "small-box", "parent": "parent", "origin": "origin"}
CLASS = {"aim_us": 400_000, "aim_stretch": 2.0, "late_share": 0.2, "group": "all", "window_us": 3_000_000}
FRESH = 8_000_000  # microseconds for which a copy of a page is fresh


class Journal:
    """The journal service: it tells purges of objects, and nothing else changes."""

    def __init__(self, record: Record):
        self.record = record
        self.port = 0
        self.last = 1
        self.frames: list[tuple[int, bytes]] = []
        self.changed = asyncio.Event()

    async def start(self) -> "Journal":
        """Listens at a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def purge(self, object_id: str) -> float:
        """Tells a purge of an object; returns its time."""
        stamp = int(time.time() * 1e3)
        self.last += 1
        payload = bytes.fromhex(object_id) + stamp.to_bytes(8, "big")
        self.frames.append((self.last, FRAME.pack(9 + len(payload), self.last, PURGE_OF_OBJECT) + payload))
        self.changed.set()
        self.changed = asyncio.Event()
        self.record.say("journal", f"event {self.last}: purge of {object_id} at {stamp / 1e3:.3f}")
        return stamp / 1e3

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError), contextlib.closing(writer):
            told = int.from_bytes(await reader.readexactly(8), "big")
            while True:
                changed = self.changed
                for number, frame in self.frames:
                    if number > told:
                        writer.write(frame)
                        told = number
                writer.write(FRAME.pack(9, told, NOTHING_NEW))
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), 1)


def configuration(journal_port: int, addresses: Mapping[str, tuple[str, int]]) -> dict[str, Any]:
    """Returns the configuration of a router of a small deployment, with one class, `page`.

    :param addresses: tier and port of each cache, parent and origin, by id.
    """
    members = [
        {
            "id": name,
            "host_port": f"127.0.0.1:{port}",
            "locality": "east" if tier == "cache" else "hub",
            "flavor": KINDS[tier],
            "cell": 0,
            "phase": "SERVING",
            "size": 8,
            "up_since_ms": 0,
        }
        for name, (tier, port) in addresses.items()
    ]
    page = CLASS | {"name": "page", "effect": "retryable", "deadline_us": 3_000_000, "worth": 1.0}
    settings = {
        "me": 0,
        "peers_total": 1,
        "zone": "east",
        "zones": ["east", "hub"],
        "models": ["small-box", "big-box", "parent", "origin"],
        "weights": "nominal",
        "discovery": "pushed",
        "categories": [page],
        "limits": {
            "cancel": True,
            "probes": True,
            "retry_after": True,
            "max_retry_after_us": 2_000_000,
            "try_limit": 6,
            "dial_timeout_us": 400_000,
            "conn_idle_us": 15_000_000,
        },
        "load_report": {"how": "pull", "fields": ["busy", "x0", "x1"]},
        "rules": {
            "cold_from": 0.26,
            "ramp_time_us": 17_000_000,
            "tip_multiple": 2.0,
            "tip_after_us": 1_000_000,
            "stop_sending_within_us": 2_000_000,
        },
        "family_info": {
            "shield_kind": 2,
            "store_kind": 3,
            "never_kept": [False],
            "good_for_us": [FRESH],
            "grace_for_us": [20_000_000],
            "gone_everywhere_us": 6_000_000,
            "obey_after_us": 300_000,
            "shares_fills": True,
            "pass_through_ok": True,
            "flow_kb_per_s": 11_700.0,
            "parent_floor": 0.06,
            "parent_cold_us": 18_000_000,
            "parent_fall_multiple": 2.0,
            "zone_balancers": [1, 0],
        },
    }
    return {
        "seed": "8c1f30d27a5be964",
        "journal": f"127.0.0.1:{journal_port}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {
            "pos": 1,
            "entries": [{"pos": 1, "hosts": {"revision": 1, "complete": True, "members": members}}],
        },
        "settings": settings,
    }


def start_router(programs: Programs, config: dict[str, Any], port: int) -> subprocess.Popen:
    """Starts a router by `run` of deploy/balancer.toml, told where it stands by three variables."""
    path = programs.write("config.json", json.dumps(config))
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    place = {"NODE_NAME": "n0", "NODE_LISTEN": f"127.0.0.1:{port}", "NODE_CONFIG": path}
    log = open(programs.folder / "router.log", "ab")  # noqa: SIM115
    process = subprocess.Popen(
        ["/bin/sh", "-c", command],
        cwd=ROOT,
        env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"} | place,
        stdin=subprocess.DEVNULL,
        stdout=log,
        stderr=log,
    )
    log.close()
    programs.running.append(("router", process))
    programs.record.say("start", f"router: {command}")
    return process
