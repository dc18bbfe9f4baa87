"""The platform's side of a router: its configuration, the journal service, and a catalogue for holds."""

import hashlib
import json
import os
import random
import re
import socket
import subprocess
import threading
import time
import tomllib
from pathlib import Path

from review.common.harness import ROOT, CaseCannotRun, Programs, Record
from review.common.standins import headers_of, response

REPEAT_EACH = 3  # of so many answers of the catalogue one has a second copy behind it
FRAME_HEAD_SIZE = 9  # bytes that the length of an empty frame counts: its number and its kind


def configuration(listen: int, journal: int, members: dict[str, tuple[str, str, int]]) -> dict:
    """Returns a configuration like that of a small `lakes-stores`, with one store at one hub.

    :param members: model, zone and port by id.
    """
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "seed": f"{random.getrandbits(64):016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "journal": f"127.0.0.1:{journal}",
        "known": {
            "pos": 1,
            "entries": [
                {
                    "pos": 1,
                    "hosts": {
                        "revision": 1,
                        "complete": True,
                        "members": [
                            {
                                "id": name,
                                "host_port": f"127.0.0.1:{port}",
                                "locality": zone,
                                "flavor": model,
                                "cell": 0,
                                "phase": "SERVING",
                                "size": 6,
                                "up_since_ms": 0,
                            }
                            for name, (model, zone, port) in members.items()
                        ],
                    },
                }
            ],
        },
        "settings": {
            "me": 0,
            "peers_total": 1,
            "zone": "store-1",
            "zones": ["north", "store-1"],
            "models": ["small-box", "parent", "origin"],
            "weights": "nominal",
            "discovery": "pushed",
            "categories": [
                {
                    "name": "pages",
                    "effect": "retryable",
                    "group": "all",
                    "window_us": 5_000_000,
                    "aim_us": 400_000,
                    "aim_stretch": 2.0,
                    "deadline_us": 3_000_000,
                    "late_share": 0.2,
                    "worth": 1.0,
                },
                {
                    "name": "plant-holds",
                    "effect": "dedup",
                    "group": "all",
                    "window_us": 3_000_000,
                    "aim_us": 800_000,
                    "deadline_us": 3_000_000,
                    "late_share": 0.0,
                    "worth": 3.0,
                },
            ],
            "family_info": {
                "shield_kind": 1,
                "store_kind": 2,
                "pass_through_ok": True,
                "never_kept": [False, True],
                "good_for_us": [8_000_000, 0],
                "grace_for_us": [20_000_000, 0],
                "class_stale_worth": [0.7, 0.7],
                "gone_everywhere_us": 6_000_000,
                "flow_kb_per_s": 11_700.0,
                "parent_floor": 0.06,
                "parent_cold_us": 18_000_000,
                "parent_fall_multiple": 2.0,
                "zone_balancers": [0, 1],
            },
            "limits": {
                "try_limit": 6,
                "cancel": True,
                "probes": True,
                "retry_after": True,
                "max_retry_after_us": 2_000_000,
                "dial_timeout_us": 400_000,
                "conn_idle_us": 15_000_000,
            },
            "load_report": {"how": "pull", "fields": ["busy", "x0", "x1"]},
            "rules": {
                "cold_from": 0.26,
                "ramp_time_us": 17_000_000,
                "tip_multiple": 2.0,
                "tip_after_us": 1_000_000,
            },
        },
    }


def start_router(programs: Programs, config: Path, listen: int) -> subprocess.Popen:
    """Starts a router by `run` of the deploy file, as the platform does."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
    if not (ROOT / ".venv" / "bin" / "python").exists():
        raise CaseCannotRun("run the build of deploy/balancer.toml first")
    environment = os.environ | {
        "NODE_NAME": "n0",
        "NODE_LISTEN": f"127.0.0.1:{listen}",
        "NODE_CONFIG": str(config),
    }
    return programs.start_shell("router", run, environment)


def write_configuration(path: Path, values: dict) -> None:
    """Writes a configuration whole."""
    path.write_text(json.dumps(values), encoding="utf-8")


class Journal:
    """The journal service without news: an empty frame each second on each connection."""

    def __init__(self, port: int):
        self._listener = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            stream, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(stream,), daemon=True).start()

    @staticmethod
    def _serve(stream: socket.socket) -> None:
        try:
            position = stream.recv(8)
            while True:
                stream.sendall(FRAME_HEAD_SIZE.to_bytes(4, "big") + position + b"\0")
                time.sleep(1)
        except OSError:
            stream.close()


class Catalogue:
    """The main catalogue: runs each hold once, and answers with the operation key that it ran.

    :param work_time: seconds that a hold takes.
    :param repeat_after: seconds after an answer at which its second copy follows; None: no second copies.
    """

    def __init__(self, name: str, port: int, record: Record, work_time: float, repeat_after: float | None):
        self.name = name
        self.record = record
        self.work_time = work_time
        self.repeat_after = repeat_after
        self.held: list[str] = []  # the operation keys of holds that ran
        self.second_copies = 0
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", port), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            stream, _ = self._listener.accept()
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(stream,), daemon=True).start()

    def _serve(self, stream: socket.socket) -> None:
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    piece = stream.recv(1 << 16)
                    if not piece:
                        return
                    data += piece
                head, _, data = data.partition(b"\r\n\r\n")
                line, *rest = head.decode("latin-1").split("\r\n")
                headers = headers_of(rest)
                size = int(headers.get("content-length", "0"))
                while len(data) < size:
                    data += stream.recv(1 << 16)
                data = data[size:]
                target = line.split(" ")[1]
                answer, has_second_copy = self._respond(target, headers)
                stream.sendall(answer)
                if has_second_copy:
                    time.sleep(self.repeat_after)
                    self.record.say(f"{self.name} sends its last answer again")
                    self.second_copies += 1
                    stream.sendall(answer)
        except (OSError, ValueError):
            return
        finally:
            stream.close()

    def _respond(self, target: str, headers: dict[str, str]) -> tuple[bytes, bool]:
        if not re.match("/x/plant-holds/", target):
            return response(200, {}, b""), False
        key = headers.get("x-replay-key", "")
        time.sleep(self.work_time)
        with self._lock:
            if key not in self.held:
                self.held.append(key)
        self.record.say(f"{self.name} ran the hold {key}")
        body = f"held for {key}".encode()
        tag = hashlib.blake2b(body, digest_size=8).hexdigest()
        fields = {"X-Tag": tag, "X-Minted": str(int(time.time() * 1000))}
        has_second_copy = self.repeat_after is not None and len(self.held) % REPEAT_EACH == 0
        return response(200, fields, body), has_second_copy
