"""A disk in memory that fails, fills up, and forgets what was not synced, wherever a script wants it to."""

import errno
import random


class Crashed(Exception):
    """The machine has lost its power."""


class Entry:
    def __init__(self) -> None:
        self.data = bytearray()  # as programs see it
        self.synced = b""  # as it stands on the disk


class FaultyDisk:
    """One folder.

    :param crash_at: the operation, counted from 1, at which the power goes; 0: never.
    :param chance: for what becomes of what was not synced.
    :param capacity: bytes that the disk takes.
    :param failing_sync: the synchronisation, counted from 1, that fails.
    """

    def __init__(self, crash_at: int = 0, chance: random.Random | None = None, capacity: int = 1 << 40):
        self.crash_at, self.chance, self.capacity = crash_at, chance or random.Random(1), capacity
        self.operation_count = self.sync_count = self.failing_sync = 0
        self.visible_entries: dict[str, Entry] = {}
        self.durable_entries: dict[str, Entry] = {}
        self.changes: list[dict[str, Entry]] = []  # the names after each change since the last sync of names
        self.has_crashed = False

    def _step(self) -> None:
        if self.has_crashed:
            raise Crashed
        self.operation_count += 1
        if self.operation_count == self.crash_at:
            self.has_crashed = True
            raise Crashed

    def _named(self) -> None:
        self.changes.append(dict(self.visible_entries))

    @property
    def used(self) -> int:
        return sum(len(entry.data) for entry in self.visible_entries.values())

    def names(self) -> list[str]:
        if self.has_crashed:
            raise Crashed
        return sorted(self.visible_entries)

    def read(self, name: str) -> bytes:
        if name not in self.visible_entries:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", name)
        return bytes(self.visible_entries[name].data)

    def create(self, name: str) -> "FaultyFile":
        if name in self.visible_entries:
            raise FileExistsError(errno.EEXIST, "File exists", name)
        self._step()
        self.visible_entries[name] = Entry()
        self._named()
        return FaultyFile(self, self.visible_entries[name])

    def rename(self, name: str, to: str) -> None:
        self._step()
        self.visible_entries[to] = self.visible_entries.pop(name)
        self._named()

    def remove(self, name: str) -> None:
        self._step()
        del self.visible_entries[name]
        self._named()

    def sync(self) -> None:
        self._step()
        self.durable_entries, self.changes = dict(self.visible_entries), []

    def after_crash(self) -> "FaultyDisk":
        """What is found when the power is back: names up to some change, some of what wasn't synced."""
        found = FaultyDisk(chance=self.chance)
        names = self.chance.choice([self.durable_entries, *self.changes])
        for name, entry in names.items():
            kept = Entry()
            data, synced = bytes(entry.data), entry.synced
            if data[: len(synced)] == synced and len(data) > len(synced):
                much = self.chance.randint(0, len(data) - len(synced))
                rest = bytearray(data[len(synced) : len(synced) + much])
                if rest and self.chance.random() < 0.3:  # the length came to the disk, the bytes didn't
                    at = self.chance.randrange(len(rest))
                    rest[at:] = bytes(len(rest) - at)
                synced += bytes(rest)
            kept.data, kept.synced = bytearray(synced), synced
            found.visible_entries[name] = kept
        found.durable_entries = dict(found.visible_entries)
        return found


class FaultyFile:
    def __init__(self, disk: FaultyDisk, entry: Entry):
        self.disk, self.entry = disk, entry

    def write(self, data: bytes) -> None:
        try:
            self.disk._step()
        except Crashed:
            if data:  # the power goes somewhere in it
                self.entry.data += data[: self.disk.chance.randint(0, len(data))]
            raise
        free = self.disk.capacity - self.disk.used
        self.entry.data += data[: max(0, free)]
        if free < len(data):
            raise OSError(errno.ENOSPC, "No space left on device")

    def sync(self) -> None:
        self.disk._step()
        self.disk.sync_count += 1
        if self.disk.sync_count == self.disk.failing_sync:
            raise OSError(errno.EIO, "Input/output error")
        self.entry.synced = bytes(self.entry.data)

    def truncate(self, size: int) -> None:
        self.disk._step()
        del self.entry.data[size:]
        self.entry.synced = self.entry.synced[:size]

    def close(self) -> None:
        pass
