"""The few things that the log asks of a disk, so that a test can play one that fails at any of them."""

import os
from pathlib import Path
from typing import Protocol


class File(Protocol):
    def write(self, data: bytes) -> None: ...
    def sync(self) -> None: ...
    def truncate(self, size: int) -> None: ...
    def close(self) -> None: ...


class Disk(Protocol):
    """One folder.  All raise OSError."""

    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def create(self, name: str) -> File:
        """A new file; FileExistsError where there is one."""
        ...

    def rename(self, name: str, to: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def sync(self) -> None:
        """Makes names durable."""
        ...


class RealFile:
    def __init__(self, path: Path):
        self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC, 0o640)

    def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self.fd, view) :]

    def sync(self) -> None:
        os.fdatasync(self.fd)

    def truncate(self, size: int) -> None:
        os.ftruncate(self.fd, size)

    def close(self) -> None:
        os.close(self.fd)


def write_whole(path: str | Path, data: bytes) -> None:
    """Writes a file anew; either the old one or the new one is found after a crash.  Raises OSError."""
    with open(f"{path}.new", "wb") as file:
        file.write(data)
        file.flush()
        os.fdatasync(file.fileno())
    os.replace(f"{path}.new", path)
    sync_folder(Path(path).parent)


def sync_folder(folder: Path) -> None:
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


class RealDisk:
    def __init__(self, folder: str):
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        return sorted(entry.name for entry in os.scandir(self.folder) if entry.is_file())

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def create(self, name: str) -> RealFile:
        return RealFile(self.folder / name)

    def rename(self, name: str, to: str) -> None:
        os.rename(self.folder / name, self.folder / to)

    def remove(self, name: str) -> None:
        os.remove(self.folder / name)

    def sync(self) -> None:
        sync_folder(self.folder)
