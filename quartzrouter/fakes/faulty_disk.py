"""A fake disk in memory that crashes, fails, fills up, and loses what was not synced."""

import errno
import random


class Crashed(Exception):
    """The machine has lost power."""


class Entry:
    """A file's contents."""

    def __init__(self) -> None:
        self.data = bytearray()  # as programs see it
        self.synced = b""  # as it is on the disk


class FaultyDisk:
    """A disk with one folder.

    :param crash_at: the operation, counted from 1, at which power is lost; 0: never.
    :param chance: draws what remains of what was not synced.
    :param capacity: bytes that fit on the disk.

    `failing_sync` is the synchronisation of a file, counted from 1, that fails; 0: none.
    """

    def __init__(self, crash_at: int = 0, chance: random.Random | None = None, capacity: int = 1 << 40):
        self.crash_at, self.chance, self.capacity = crash_at, chance or random.Random(1), capacity
        self.operation_count = self.sync_count = self.failing_sync = 0
        self.visible_entries: dict[str, Entry] = {}
        self.durable_entries: dict[str, Entry] = {}
        self.changes: list[
            dict[str, Entry]
        ] = []  # the entries after each change since the last sync of names
        self.has_crashed = False

    def _count_operation(self) -> None:
        """Counts an operation.

        :raises Crashed: if the disk has crashed, or crashes at this operation.
        """
        if self.has_crashed:
            raise Crashed
        self.operation_count += 1
        if self.operation_count == self.crash_at:
            self.has_crashed = True
            raise Crashed

    def _record_change(self) -> None:
        self.changes.append(dict(self.visible_entries))

    @property
    def used(self) -> int:
        """Bytes in all files."""
        return sum(len(entry.data) for entry in self.visible_entries.values())

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        if self.has_crashed:
            raise Crashed
        return sorted(self.visible_entries)

    def read(self, name: str) -> bytes:
        """Returns the contents of a file."""
        if name not in self.visible_entries:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", name)
        return bytes(self.visible_entries[name].data)

    def create(self, name: str) -> "FaultyFile":
        """Creates a file; its name is durable only after ``sync``."""
        if name in self.visible_entries:
            raise FileExistsError(errno.EEXIST, "File exists", name)
        self._count_operation()
        self.visible_entries[name] = Entry()
        self._record_change()
        return FaultyFile(self, self.visible_entries[name])

    def rename(self, name: str, new_name: str) -> None:
        """Renames a file, and replaces one that has the new name."""
        self._count_operation()
        self.visible_entries[new_name] = self.visible_entries.pop(name)
        self._record_change()

    def remove(self, name: str) -> None:
        """Removes a file."""
        self._count_operation()
        del self.visible_entries[name]
        self._record_change()

    def sync(self) -> None:
        """Makes all names durable; not the contents of files."""
        self._count_operation()
        self.durable_entries, self.changes = dict(self.visible_entries), []

    def after_crash(self) -> "FaultyDisk":
        """Returns the disk as it is found after the crash.

        It has the names of some point in time since the last sync of names, and some of the bytes that were
        not synced.
        """
        recovered = FaultyDisk(chance=self.chance)
        entries = self.chance.choice([self.durable_entries, *self.changes])
        for name, entry in entries.items():
            kept = Entry()
            data, synced = bytes(entry.data), entry.synced
            if data[: len(synced)] == synced and len(data) > len(synced):
                unsynced_length = self.chance.randint(0, len(data) - len(synced))
                unsynced = bytearray(data[len(synced) : len(synced) + unsynced_length])
                if (
                    unsynced and self.chance.random() < 0.3
                ):  # the length was written, some of the bytes weren't
                    zeros_from = self.chance.randrange(len(unsynced))
                    unsynced[zeros_from:] = bytes(len(unsynced) - zeros_from)
                synced += bytes(unsynced)
            kept.data, kept.synced = bytearray(synced), synced
            recovered.visible_entries[name] = kept
        recovered.durable_entries = dict(recovered.visible_entries)
        return recovered


class FaultyFile:
    """An open file of the disk."""

    def __init__(self, disk: FaultyDisk, entry: Entry):
        self.disk, self.entry = disk, entry

    def write(self, data: bytes) -> None:
        """Appends bytes; as many as fit if the disk fills up, a random number of them if it crashes."""
        try:
            self.disk._count_operation()
        except Crashed:
            if data:
                self.entry.data += data[: self.disk.chance.randint(0, len(data))]
            raise
        free = self.disk.capacity - self.disk.used
        self.entry.data += data[: max(0, free)]
        if free < len(data):
            raise OSError(errno.ENOSPC, "No space left on device")

    def sync(self) -> None:
        """Makes the contents durable, unless this is the synchronisation that fails."""
        self.disk._count_operation()
        self.disk.sync_count += 1
        if self.disk.sync_count == self.disk.failing_sync:
            raise OSError(errno.EIO, "Input/output error")
        self.entry.synced = bytes(self.entry.data)

    def truncate(self, size: int) -> None:
        """Cuts the contents down to a size."""
        self.disk._count_operation()
        del self.entry.data[size:]
        self.entry.synced = self.entry.synced[:size]

    def close(self) -> None:
        """Does nothing: there is no descriptor to release."""
