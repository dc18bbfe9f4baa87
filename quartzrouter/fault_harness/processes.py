"""Processes of a fleet: started, killed, stopped, resumed and restarted, and their stored files deleted."""

import shutil
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

from quartzrouter.fault_harness.history import History
from quartzrouter.fault_harness.skewed_clocks import ClockPage


class FleetProcess:
    """One process of a fleet, which may be started several times.

    :param arguments: of quartzrouter.fault_harness.child_process, after the clock page.
    :param folder: where it stores its files; None if it stores none.
    """

    def __init__(
        self,
        name: str,
        arguments: list[str],
        clock_page: ClockPage,
        log: IO,
        history: History,
        folder: Path | None = None,
    ):
        self.name, self.arguments, self.clock_page = name, arguments, clock_page
        self.log, self.history, self.folder = log, history, folder
        self.process: subprocess.Popen | None = None

    @property
    def is_running(self) -> bool:
        """True unless it was never started or has ended; also while it is stopped by SIGSTOP."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Starts the process unless it runs already: two concurrent faults may both restart it."""
        if self.is_running:
            return
        command = [
            sys.executable,
            "-m",
            "quartzrouter.fault_harness.child_process",
            str(self.clock_page.path),
            *self.arguments,
        ]
        self.process = subprocess.Popen(command, stdout=self.log, stderr=self.log)
        self.history.add("start", self.name)

    def kill(self) -> None:
        """Sends SIGKILL, which also ends a stopped process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.history.add("kill", self.name)

    def stop(self) -> None:
        """Sends SIGSTOP: the process does nothing until it is resumed, and isn't notified of it."""
        if self.is_running:
            self.process.send_signal(signal.SIGSTOP)
            self.history.add("stop", self.name)

    def resume(self) -> None:
        """Sends SIGCONT."""
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.history.add("go on", self.name)

    def reload(self) -> None:
        """Sends SIGHUP, upon which the process reads its plan again."""
        if self.is_running:
            self.process.send_signal(signal.SIGHUP)
            self.history.add("reload", self.name)

    def delete_folder(self) -> None:
        """Deletes the stored files, as if the disk was lost; only for a process that doesn't run."""
        if self.folder is not None:
            shutil.rmtree(self.folder, ignore_errors=True)
            self.history.add("lost", self.name)
