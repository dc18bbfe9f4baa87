"""Starts the project's programs as processes of their own, and ends each of them by its id."""

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PYTHON = ROOT / "review" / ".venv-2" / "bin" / "python"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
LONGEST_RUN = 110.0  # seconds
LINES_OF_A_LOG = 40  # that are copied to the record


class CannotRunError(Exception):
    """The case can't be played: something that it needs didn't start or didn't come about in time."""


class Record:
    """The record of a case: what was sent, answered and run, a line each, with seconds since the start."""

    def __init__(self, folder: Path):
        self.started = time.time()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115

    def say(self, who: str, what: str) -> None:
        """Writes a line."""
        text = what.encode("unicode_escape").decode() if not what.isprintable() else what
        self.file.write(f"{time.time() - self.started:8.3f} {who}: {text}\n")
        self.file.flush()


class Programs:
    """The processes of one case; its files are in a temporary folder.

    :param disturb: False if the case is played without its disruption (TROUBLE=0).
    """

    def __init__(self, record: Record, disturb: bool):
        self.record = record
        self.disturb = disturb
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.running: list[tuple[str, subprocess.Popen]] = []

    def write(self, name: str, text: str) -> str:
        """Writes a file to the temporary folder; returns its path."""
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        self.record.say("file", f"{name}: {' '.join(text.split())}")
        return str(path)

    def start(self, name: str, *arguments: str, descriptors: int = 0) -> subprocess.Popen:
        """Starts `quartzrouter ARGUMENTS` from the root of the repository.

        :param descriptors: how many files the process may hold open; 0: as many as this process.
        """
        limit = f"ulimit -n {descriptors}; " if descriptors else ""
        command = f'{limit}exec "$0" -m quartzrouter.cli "$@"'
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        process = subprocess.Popen(
            ["/bin/sh", "-c", command, str(PYTHON), *arguments],
            cwd=ROOT,
            env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.running.append((name, process))
        self.record.say("start", f"{name}: {limit}quartzrouter {' '.join(arguments)}")
        return process

    async def ask(self, *arguments: str) -> tuple[int, str]:
        """Runs one command to its end; returns its exit status and what it printed."""
        self.record.say("command", f"quartzrouter {' '.join(arguments)}")
        process = await asyncio.create_subprocess_exec(
            str(PYTHON),
            "-m",
            "quartzrouter.cli",
            *arguments,
            cwd=ROOT,
            env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            printed, _ = await asyncio.wait_for(process.communicate(), 40)
        except TimeoutError:
            process.kill()
            raise CannotRunError(f"{arguments[:2]} took longer than 40 s") from None
        text = printed.decode(errors="replace").strip()
        self.record.say("command", f"status {process.returncode}: {text}")
        return process.returncode or 0, text

    def kill(self, process: subprocess.Popen, name: str) -> None:
        """Sends SIGKILL to a process, and waits for its end."""
        process.kill()
        process.wait()
        self.record.say("kill", name)

    def end_all(self) -> None:
        """Ends all processes, copies the ends of their logs to the record, and removes the folder."""
        for _, process in self.running:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        for name in dict.fromkeys(name for name, _ in self.running):
            lines = (self.folder / f"{name}.log").read_text(errors="replace").splitlines()
            for line in lines[-LINES_OF_A_LOG:]:
                self.record.say(f"log of {name}", line[:400])
        shutil.rmtree(self.folder, ignore_errors=True)


def free_ports(count: int) -> list[int]:
    """Returns ports of 127.0.0.1 at which nothing listens."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


async def wait_until(what: str, is_so: Callable[[], Awaitable[bool]], seconds: float) -> None:
    """Waits until something is so; raises CannotRunError if it takes longer."""
    give_up_at = time.monotonic() + seconds
    while not await is_so():
        if time.monotonic() > give_up_at:
            raise CannotRunError(f"not within {seconds:.0f} s: {what}")
        await asyncio.sleep(0.05)


async def is_listening(port: int) -> bool:
    """Returns True if a connection to a port of 127.0.0.1 is accepted."""
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


def run_case(folder: Path, play: Callable[[Programs, Record], Awaitable[bool]]) -> None:
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    :param folder: the folder of the case, which gets its record.
    :param play: plays the case; returns True if the rule held.
    """
    disturb = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.say("case", f"{folder.name}, {'with' if disturb else 'without'} its disruption")
    programs = Programs(record, disturb)
    status = NOT_RUN
    try:
        if not PYTHON.exists():
            raise CannotRunError("run review/build-2.sh first")
        held = asyncio.run(asyncio.wait_for(play(programs, record), LONGEST_RUN))
        status = HELD if held else BROKEN
    except (CannotRunError, OSError, TimeoutError) as error:
        record.say("case", f"couldn't run: {type(error).__name__}: {error}")
    finally:
        programs.end_all()
        outcome = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[status]
        record.say("case", f"exit {status}: {outcome}")
        print(f"case {folder.name}: {outcome}")
    sys.exit(status)
