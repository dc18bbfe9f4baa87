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
    :param room: bytes that the disk takes.
    :param fail_sync: the synchronisation, counted from 1, that fails.
    """

    def __init__(self, crash_at: int = 0, chance: random.Random | None = None, room: int = 1 << 40):
        self.crash_at, self.chance, self.room = crash_at, chance or random.Random(1), room
        self.operations = self.syncs = self.fail_sync = 0
        self.names_seen: dict[str, Entry] = {}
        self.names_synced: dict[str, Entry] = {}
        self.changes: list[dict[str, Entry]] = []  # the names after each change since the last sync of names
        self.dead = False

    def _step(self) -> None:
        if self.dead:
            raise Crashed
        self.operations += 1
        if self.operations == self.crash_at:
            self.dead = True
            raise Crashed

    def _named(self) -> None:
        self.changes.append(dict(self.names_seen))

    @property
    def used(self) -> int:
        return sum(len(entry.data) for entry in self.names_seen.values())

    def names(self) -> list[str]:
        if self.dead:
            raise Crashed
        return sorted(self.names_seen)

    def read(self, name: str) -> bytes:
        if name not in self.names_seen:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", name)
        return bytes(self.names_seen[name].data)

    def create(self, name: str) -> "FaultyFile":
        if name in self.names_seen:
            raise FileExistsError(errno.EEXIST, "File exists", name)
        self._step()
        self.names_seen[name] = Entry()
        self._named()
        return FaultyFile(self, self.names_seen[name])

    def rename(self, name: str, to: str) -> None:
        self._step()
        self.names_seen[to] = self.names_seen.pop(name)
        self._named()

    def remove(self, name: str) -> None:
        self._step()
        del self.names_seen[name]
        self._named()

    def sync(self) -> None:
        self._step()
        self.names_synced, self.changes = dict(self.names_seen), []

    def after_crash(self) -> "FaultyDisk":
        """What is found when the power is back: names up to some change, some of what wasn't synced."""
        found = FaultyDisk(chance=self.chance)
        names = self.chance.choice([self.names_synced, *self.changes])
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
            found.names_seen[name] = kept
        found.names_synced = dict(found.names_seen)
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
        free = self.disk.room - self.disk.used
        self.entry.data += data[: max(0, free)]
        if free < len(data):
            raise OSError(errno.ENOSPC, "No space left on device")

    def sync(self) -> None:
        self.disk._step()
        self.disk.syncs += 1
        if self.disk.syncs == self.disk.fail_sync:
            raise OSError(errno.EIO, "Input/output error")
        self.entry.synced = bytes(self.entry.data)

    def truncate(self, size: int) -> None:
        self.disk._step()
        del self.entry.data[size:]
        self.entry.synced = self.entry.synced[:size]

    def close(self) -> None:
        pass
