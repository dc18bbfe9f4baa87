"""The disk operations of the purge log as an interface; tests inject a disk that fails at any of them."""

import os
from pathlib import Path
from typing import Protocol


class File(Protocol):
    """A file that is being written. All methods raise OSError."""

    def write(self, data: bytes) -> None:
        """Appends all the data."""

    def sync(self) -> None:
        """Makes the data written so far durable."""

    def truncate(self, size: int) -> None:
        """Cuts the file to a number of bytes."""

    def close(self) -> None:
        """Closes the file; data that was not synced may be lost."""


class Disk(Protocol):
    """One folder. All methods raise OSError."""

    def names(self) -> list[str]:
        """Returns the names of all files in alphabetical order."""
        ...

    def read(self, name: str) -> bytes:
        """Returns the contents of a file."""
        ...

    def create(self, name: str) -> File:
        """Creates a file.

        :raises FileExistsError: if there is a file of that name.
        """
        ...

    def rename(self, name: str, new_name: str) -> None:
        """Renames a file; replaces a file that has the new name."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def sync(self) -> None:
        """Makes the names of files durable."""


class RealFile:
    """A file of the operating system.

    :raises FileExistsError: if there is a file at the path.
    """

    def __init__(self, path: Path):
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        self.descriptor = os.open(path, flags, 0o640)

    def write(self, data: bytes) -> None:
        """Appends all the data."""
        remaining = memoryview(data)
        while remaining:
            written = os.write(self.descriptor, remaining)
            remaining = remaining[written:]

    def sync(self) -> None:
        """Makes the data written so far durable."""
        os.fdatasync(self.descriptor)

    def truncate(self, size: int) -> None:
        """Cuts the file to a number of bytes."""
        os.ftruncate(self.descriptor, size)

    def close(self) -> None:
        """Closes the file."""
        os.close(self.descriptor)


def write_atomically(path: str | Path, data: bytes) -> None:
    """Replaces a file; after a crash it has either the whole old contents or the whole new contents.

    :raises OSError: if an operation fails; the old contents stay unless only the sync of the folder failed.
    """
    with open(f"{path}.new", "wb") as file:
        file.write(data)
        file.flush()
        os.fdatasync(file.fileno())
    os.replace(f"{path}.new", path)
    sync_folder(Path(path).parent)


def sync_folder(folder: Path) -> None:
    """Makes the names in a folder durable.

    :raises OSError: if the sync fails.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class RealDisk:
    """A folder of the operating system; it is created if it doesn't exist."""

    def __init__(self, folder: str):
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """Returns the names of all files in alphabetical order."""
        return sorted(entry.name for entry in os.scandir(self.folder) if entry.is_file())

    def read(self, name: str) -> bytes:
        """Returns the contents of a file."""
        return (self.folder / name).read_bytes()

    def create(self, name: str) -> RealFile:
        """Creates a file."""
        return RealFile(self.folder / name)

    def rename(self, name: str, new_name: str) -> None:
        """Renames a file; replaces a file that has the new name."""
        os.rename(self.folder / name, self.folder / new_name)

    def remove(self, name: str) -> None:
        """Removes a file."""
        os.remove(self.folder / name)

    def sync(self) -> None:
        """Makes the names of files durable."""
        sync_folder(self.folder)
