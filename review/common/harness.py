"""Starts the project's programs for a case, records what happens, and ends every process that it started."""

import functools
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD = 0  # exit status: the rule held
BROKEN = 1  # exit status: the rule was broken
COULD_NOT_RUN = 2  # exit status: the case could not run
# The command line is called as its console script does: the build of the deploy file installs no scripts.
CLI = "from quartzrouter.cli.main import main; main()"
TOOLS = "import anyio, click, h11, hdrh, lark, msgspec, structlog, uvloop, xxhash"
PORTS = range(21_000, 31_000)  # below the ephemeral ports that the system assigns to connections


class CaseCannotRun(Exception):  # noqa: N818  the name says what happened
    """The case can't run: a program or a port is missing."""


def has_trouble() -> bool:
    """Returns True unless the case is to be played without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Returns ports of 127.0.0.1 on which nobody listens."""
    found: list[int] = []
    start = os.getpid() * 37 % len(PORTS)
    for offset in range(len(PORTS)):
        port = PORTS[(start + offset) % len(PORTS)]
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise CaseCannotRun("no free ports")


class Record:
    """The file `record.txt` of a case: a line for each thing that was started, sent or answered."""

    def __init__(self, folder: Path):
        self._file = open(folder / "record.txt", "w", encoding="utf-8", buffering=1)  # noqa: SIM115
        self._lock = threading.Lock()
        self._started_at = time.time()

    def say(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.time() - self._started_at:8.3f} {text}\n")

    def verdict(self, text: str) -> None:
        """Writes a line, and prints it too."""
        self.say(text)
        print(text)


class Programs:
    """The processes of a case, each ended by its own process id."""

    def __init__(self, folder: Path, record: Record):
        self.folder = folder
        self.record = record
        self._running: list[tuple[str, subprocess.Popen]] = []

    @functools.cached_property
    def python(self) -> str:
        """A Python with the libraries that the project declares for its command line."""
        return _python_with_tools()

    def start(self, name: str, *arguments: str, max_descriptors: int | None = None) -> subprocess.Popen:
        """Starts a command of the project's command line, from the root of the repository.

        :param max_descriptors: the file descriptors that the process may hold; None: as many as this one.
        """
        command = [self.python, "-c", CLI, *arguments]
        if max_descriptors:
            command = ["/bin/sh", "-c", f'ulimit -n {max_descriptors} && exec "$@"', "sh", *command]
        log = open(self.folder / f"{name}.log", "a", encoding="utf-8")  # noqa: SIM115
        process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self._running.append((name, process))
        self.record.say(f"start {name}, process {process.pid}: quartzrouter {' '.join(arguments)}")
        return process

    def start_shell(self, name: str, command: str, environment: dict[str, str]) -> subprocess.Popen:
        """Starts a command of the deploy file by /bin/sh, from the root of the repository.

        The command has to replace the shell, so that signals reach the program.
        """
        log = open(self.folder / f"{name}.log", "a", encoding="utf-8")  # noqa: SIM115
        process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        self._running.append((name, process))
        self.record.say(f"start {name}, process {process.pid}: {command}")
        return process

    def run(self, *arguments: str, timeout: float = 20.0) -> int:
        """Runs a command to its end, records what it prints, and returns its exit status."""
        done = subprocess.run(
            [self.python, "-c", CLI, *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=timeout,
            check=False,
        )
        for line in (done.stdout + done.stderr).splitlines():
            self.record.say(f"    {line}")
        self.record.say(f"quartzrouter {' '.join(arguments)}: exit status {done.returncode}")
        return done.returncode

    def signal(self, process: subprocess.Popen, number: signal.Signals) -> None:
        """Sends a signal to one of the processes."""
        process.send_signal(number)
        self.record.say(f"{number.name} to process {process.pid}")

    def end_all(self) -> None:
        """Ends every process that was started, and copies the ends of their logs into the record."""
        for _, process in self._running:
            if process.poll() is None:
                process.kill()
            process.wait()
        for name in dict.fromkeys(name for name, _ in self._running):
            lines = (self.folder / f"{name}.log").read_text(encoding="utf-8").splitlines()
            for line in lines[-12:]:
                self.record.say(f"log of {name}: {line[:400]}")


def _python_with_tools() -> str:
    """Returns a Python with the project's declared libraries: `review/build.sh` makes one.

    :raises CaseCannotRun: if there is none.
    """
    for environment in (ROOT / "review" / ".venv", ROOT / ".venv"):
        python = environment / "bin" / "python"
        if python.exists() and subprocess.run([python, "-c", TOOLS], capture_output=True).returncode == 0:
            return str(python)
    raise CaseCannotRun("no environment with requirements-tools.txt: run review/build.sh")


def wait_for_port(port: int, timeout: float = 15.0) -> None:
    """Returns once a process listens at a port of 127.0.0.1.

    :raises CaseCannotRun: if none does in time.
    """
    give_up_at = time.time() + timeout
    while time.time() < give_up_at:
        try:
            socket.create_connection(("127.0.0.1", port), timeout=1).close()
            return
        except OSError:
            time.sleep(0.05)
    raise CaseCannotRun(f"nothing listens at port {port}")


def play(folder: str, case) -> None:
    """Plays a case, and exits with its status.

    :param folder: the case's folder, for `record.txt`.
    :param case: a function of the record, the programs, and a temporary folder; returns True if the rule
        held.
    """
    import tempfile

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # ends the processes on the way
    record = Record(Path(folder))
    record.say(f"TROUBLE={1 if has_trouble() else 0}")
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        programs = None
        try:
            programs = Programs(Path(temporary), record)
            status = HELD if case(record, programs, Path(temporary)) else BROKEN
        except CaseCannotRun as error:
            record.verdict(f"could not run: {error}")
            status = COULD_NOT_RUN
        except Exception as error:
            record.verdict(f"could not run: {type(error).__name__}: {error}")
            status = COULD_NOT_RUN
        finally:
            if programs:
                programs.end_all()
    record.verdict({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}.get(status, "no verdict"))
    sys.stdout.flush()
    os._exit(status)  # the stand-ins' threads need no end of their own
