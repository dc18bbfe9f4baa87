"""The one writer of a ledger's folder: takes the next epoch, and goes on behind what was durable."""

from quartzrouter.purge_log.disk import Disk, File
from quartzrouter.purge_log.segments import (
    EPOCH,
    FORMAT,
    LOG,
    SNAPSHOT,
    DiskUnavailable,
    SegmentHeader,
    highest_epoch,
    packed,
    read,
    write_snapshot,
)
from quartzrouter.purges.messages import Purge

ROLL_AT = 8 << 20  # bytes of one file: read in 0.3 s
TRIES = 64  # at an epoch of one's own, should others begin at the same moment


class Fenced(Exception):
    """Another writer has begun."""


class PurgeLog:
    """Raises Damaged, and Refusing where the disk takes nothing.

    :param roll_at: bytes after which a file is followed by another.
    """

    def __init__(self, disk: Disk, roll_at: int = ROLL_AT):
        self.disk, self.roll_at = disk, roll_at
        self.file: File | None = None
        self.number = self.sum = 0  # of the file that is written; its last checksum
        try:
            self.epoch = self._begin()
            self.found = self._read()
            self.head = self.found.head
            self.name, self.length = self.found.last_file, self.found.length
            self._roll()
            for name in self.found.useless:
                disk.remove(name)
        except OSError as error:
            raise DiskUnavailable(error.strerror or str(error)) from None
        self.since = len(self.found.purges)  # purges behind the last snapshot, at most

    def _begin(self) -> int:
        for _ in range(TRIES):
            epoch = highest_epoch(self.disk) + 1
            try:
                self.disk.create(f"epoch-{epoch:08d}").close()
            except FileExistsError:
                continue
            self.disk.sync()
            for name in self.disk.names():
                if (found := EPOCH.fullmatch(name)) and int(found[1]) < epoch - 1:
                    self.disk.remove(name)
            return epoch
        raise DiskUnavailable("other writers begin again and again")

    def _read(self):
        """What is durable; read after the epoch has begun: no older writer can promise what it adds."""
        for _ in range(TRIES):
            try:
                return read(self.disk)
            except FileNotFoundError:  # the older writer was putting a snapshot in place
                continue
        raise DiskUnavailable("the files change again and again")

    def check(self) -> None:
        """Raises Fenced once another writer has begun."""
        if (highest := highest_epoch(self.disk)) != self.epoch:
            raise Fenced(f"epoch {highest} has begun, this is {self.epoch}")

    def append(self, purges: list[Purge]) -> None:
        """Makes purges durable, all or none.  Raises Refusing or Fenced; then none of them counts."""
        if self.file is None:
            try:
                self._roll()
            except OSError as error:
                raise DiskUnavailable(error.strerror or str(error)) from None
        data, found = packed(purges, self.sum)
        try:
            self.file.write(data)
        except OSError as error:
            self._take_back()
            raise DiskUnavailable(error.strerror or str(error)) from None
        try:
            self.file.sync()
        except OSError as error:  # what is on the disk is unknown, also after another try: on in a new file
            self.close()
            raise DiskUnavailable(error.strerror or str(error)) from None
        self.check()
        self.length, self.sum, self.head = self.length + len(data), found, purges[-1].number
        self.since += len(purges)
        if self.length >= self.roll_at:
            self.close()

    def _take_back(self) -> None:
        try:
            self.file.truncate(self.length)
        except OSError:
            self.close()

    def close(self) -> None:
        """Nothing more goes to this file; the next says how many of its bytes count."""
        file, self.file = self.file, None
        if file is not None:
            file.close()

    def _roll(self) -> None:
        self.number += 1
        name = f"{self.epoch:08d}-{self.number:08d}.log"
        data, found = packed([SegmentHeader(FORMAT, self.epoch, self.name, self.length, self.head)], 0)
        file = self.disk.create(name)
        try:
            file.write(data)
            file.sync()
            self.disk.sync()
        except OSError:
            file.close()
            raise
        self.file, self.name, self.length, self.sum = file, name, len(data), found

    def compact(self, purges: list[Purge], before: int, floor: int) -> None:
        """Puts a snapshot in place of all files but the one that is written.  Raises Refusing or Fenced.

        :param purges: those that still matter, all durable, in their order.
        :param before: the number before the first of them, and `floor` that one's time in us.
        """
        names = self.disk.names()
        try:
            name = write_snapshot(self.disk, purges, before, floor)
            self.check()
            self.disk.rename(f"{name}.new", name)
            self.disk.sync()
            for old in names:
                if (LOG.fullmatch(old) and old != self.name) or (SNAPSHOT.fullmatch(old) and old < name):
                    self.disk.remove(old)
        except OSError as error:
            raise DiskUnavailable(error.strerror or str(error)) from None
        self.since = 0
