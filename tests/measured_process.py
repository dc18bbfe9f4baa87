"""Processes of the program beside hostile clients: their memory, and how long others wait for them."""

import contextlib
import os
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from pathlib import Path

import anyio

ROOT = Path(__file__).parents[1]
HOSTILE_CLIENTS = Path(__file__).with_name("hostile_clients.py")
MEMORY_INTERVAL = 0.05  # seconds between two looks at the memory
PAUSE = 0.02  # seconds between two requests of a sound client
START_TIMEOUT = 20.0  # seconds


class MeasuredProcess:
    """One process of the program.

    :param arguments: of the Python interpreter.
    :param log_path: receives what it writes to standard error.
    :param environ: environment variables in addition to those of this process.
    """

    def __init__(self, arguments: list[str], log_path: Path, environ: dict[str, str] | None = None):
        self._log = log_path.open("wb")
        self.process = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": str(ROOT)} | (environ or {}),
            stdout=self._log,
            stderr=self._log,
        )
        self.memory: list[int] = []  # resident bytes over time

    @property
    def is_running(self) -> bool:
        """Returns True unless it has ended."""
        return self.process.poll() is None

    def resident_bytes(self) -> int:
        """Returns the resident memory now; 0 once the process has ended."""
        with contextlib.suppress(OSError):
            pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()
            return int(pages[1]) * os.sysconf("SC_PAGE_SIZE") if len(pages) > 1 else 0
        return 0

    async def watch_memory(self) -> None:
        """Records the resident memory until it is cancelled or the process has ended."""
        while self.is_running:
            self.memory.append(self.resident_bytes())
            await anyio.sleep(MEMORY_INTERVAL)

    def end(self) -> None:
        """Kills the process if it still runs."""
        self.process.kill()
        self.process.wait()
        self._log.close()


@contextlib.contextmanager
def measured_process(
    arguments: list[str], log_path: Path, environ: dict[str, str] | None = None
) -> Iterator[MeasuredProcess]:
    """Starts a process, and kills it on exit."""
    started = MeasuredProcess(arguments, log_path, environ)
    try:
        yield started
    finally:
        started.end()


async def wait_until_listening(port: int) -> None:
    """Returns once a process listens at a port of 127.0.0.1."""
    with anyio.fail_after(START_TIMEOUT):
        while True:
            with contextlib.suppress(OSError):
                await (await anyio.connect_tcp("127.0.0.1", port)).aclose()
                return
            await anyio.sleep(0.02)


class SoundClient:
    """A client that sends one request after the other, and measures how long each answer takes.

    :param request: sends one request, and returns True if the answer is as wanted.
    """

    def __init__(self, request: Callable[[], Awaitable[bool]]):
        self._request = request
        self.waits: list[float] = []  # seconds
        self.failures = 0

    async def run(self) -> None:
        """Sends requests until it is cancelled; one without an answer then counts with its time so far."""
        while True:
            started_at = time.monotonic()
            try:
                self.failures += not await self._request()
            finally:
                self.waits.append(time.monotonic() - started_at)
            await anyio.sleep(PAUSE)


@contextlib.asynccontextmanager
async def hostile_clients(kind: str, port: int, seconds: float, seed: int = 1) -> AsyncIterator[None]:
    """Runs hostile clients in a process of their own; on exit it waits until they have ended."""
    command = [sys.executable, str(HOSTILE_CLIENTS), kind, str(port), str(seconds), str(seed)]
    environ = os.environ | {"PYTHONPATH": str(ROOT)}
    process = subprocess.Popen(command, env=environ, stdout=subprocess.PIPE)
    try:
        yield
        await anyio.to_thread.run_sync(process.wait)
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
