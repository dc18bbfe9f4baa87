"""Processes of a stand: started, killed, stopped and continued, started again, their folder lost."""

import shutil
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

from quartzrouter.fault_harness.history import History
from quartzrouter.fault_harness.skewed_clocks import ClockPage


class FleetProcess:
    """A process of the program.

    :param arguments: of quartzrouter.fault_harness.child_process, after the page of its clocks.
    :param folder: what it keeps, if anything.
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
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Starts it, where it doesn't run: two faults at a time may both want to."""
        if self.is_running:
            return
        words = [
            sys.executable,
            "-m",
            "quartzrouter.fault_harness.child_process",
            str(self.clock_page.path),
            *self.arguments,
        ]
        self.process = subprocess.Popen(words, stdout=self.log, stderr=self.log)
        self.history.add("start", self.name)

    def kill(self) -> None:
        """SIGKILL, also where it is stopped."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.history.add("kill", self.name)

    def stop(self) -> None:
        """SIGSTOP: it does nothing, and knows nothing of it."""
        if self.is_running:
            self.process.send_signal(signal.SIGSTOP)
            self.history.add("stop", self.name)

    def resume(self) -> None:
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.history.add("go on", self.name)

    def reload(self) -> None:
        if self.is_running:
            self.process.send_signal(signal.SIGHUP)
            self.history.add("reload", self.name)

    def delete_folder(self) -> None:
        """Its disk is gone; for a process that doesn't run."""
        if self.folder is not None:
            shutil.rmtree(self.folder, ignore_errors=True)
            self.history.add("lost", self.name)
