"""The single writer of a purge log's folder: starts an epoch, and appends after the durable purges."""

from quartzrouter.purge_log.disk import Disk, File
from quartzrouter.purge_log.errors import DiskUnavailableError, FencedError
from quartzrouter.purge_log.segments import (
    EPOCH_FILE,
    FORMAT,
    SEGMENT_FILE,
    SNAPSHOT_FILE,
    TEMPORARY_SUFFIX,
    LogContents,
    SegmentHeader,
    encode_records,
    highest_epoch,
    read_log,
    write_temporary_snapshot,
)
from quartzrouter.purges.messages import Purge

MAX_SEGMENT_BYTES = 8 << 20  # a segment of this size is read in 0.3 s
MAX_ATTEMPTS = 64  # to start an epoch, or to read the folder, while other writers start at the same moment


class PurgeLog:
    """The writer of one epoch.

    Fencing: a writer creates the file of its epoch before it reads the folder. It confirms a purge only after
    it has synced it and then checked that no higher epoch has started. So every purge that an older writer
    has confirmed was on the disk before this writer read it, and the older writer confirms no later one.

    :param max_segment_bytes: the length after which a new segment is started.
    :raises LogDamagedError: if the folder can't be read completely.
    :raises DiskUnavailableError: if a disk operation fails.
    """

    def __init__(self, disk: Disk, max_segment_bytes: int = MAX_SEGMENT_BYTES):
        self.disk = disk
        self.max_segment_bytes = max_segment_bytes
        self.file: File | None = None  # the open segment; None if the next append starts one
        self.segment_number = 0
        self.checksum = 0  # the checksum of the open segment's last record
        try:
            self.epoch = self._start_epoch()
            self.recovered = self._read_contents()
            self.head = self.recovered.head
            self.segment_name = self.recovered.last_segment
            self.segment_length = self.recovered.last_segment_length  # bytes that belong to the log
            self._start_segment()
            for name in self.recovered.obsolete_files:
                disk.remove(name)
        except OSError as error:
            raise _disk_unavailable(error) from None
        self.purges_since_snapshot = len(self.recovered.purges)  # an upper bound

    def _start_epoch(self) -> int:
        for _ in range(MAX_ATTEMPTS):
            epoch = highest_epoch(self.disk) + 1
            try:
                self.disk.create(f"epoch-{epoch:08d}").close()
            except FileExistsError:  # another writer starts at the same moment
                continue
            self.disk.sync()
            self._remove_epochs_below(epoch - 1)
            return epoch
        raise DiskUnavailableError("other writers kept starting new epochs")

    def _remove_epochs_below(self, epoch: int) -> None:
        for name in self.disk.names():
            found = EPOCH_FILE.fullmatch(name)
            if found and int(found[1]) < epoch:
                self.disk.remove(name)

    def _read_contents(self) -> LogContents:
        """Reads the durable purges. Once the epoch has started, no older writer can confirm any more."""
        for _ in range(MAX_ATTEMPTS):
            try:
                return read_log(self.disk)
            except FileNotFoundError:  # the older writer was replacing segments by a snapshot
                continue
        raise DiskUnavailableError("the files kept changing while they were read")

    def check_epoch(self) -> None:
        """Checks that this is still the newest writer.

        :raises FencedError: if another writer has started.
        """
        highest = highest_epoch(self.disk)
        if highest != self.epoch:
            raise FencedError(f"epoch {highest} has begun, and this writer has epoch {self.epoch}")

    def append(self, purges: list[Purge]) -> None:
        """Makes purges durable, all or none.

        :raises DiskUnavailableError: if the write or the sync fails; none of them is in the log.
        :raises FencedError: if another writer has started; none of them may be confirmed.
        """
        file = self.file or self._start_segment_or_raise()
        data, checksum = encode_records(purges, self.checksum)
        try:
            file.write(data)
        except OSError as error:
            self._remove_torn_write(file)
            raise _disk_unavailable(error) from None
        try:
            file.sync()
        except OSError as error:
            # After a failed sync the contents of the disk are unknown, and a later sync that succeeds proves
            # nothing. So the log continues in a new segment, whose header says how many bytes of this one
            # belong to the log.
            self.close()
            raise _disk_unavailable(error) from None
        self.check_epoch()
        self.segment_length += len(data)
        self.checksum = checksum
        self.head = purges[-1].sequence_number
        self.purges_since_snapshot += len(purges)
        if self.segment_length >= self.max_segment_bytes:
            self.close()

    def _remove_torn_write(self, file: File) -> None:
        try:
            file.truncate(self.segment_length)
        except OSError:
            self.close()

    def close(self) -> None:
        """Closes the open segment; the next segment's header says how many of its bytes belong to the log."""
        file = self.file
        self.file = None
        if file is not None:
            file.close()

    def _start_segment_or_raise(self) -> File:
        try:
            return self._start_segment()
        except OSError as error:
            raise _disk_unavailable(error) from None

    def _start_segment(self) -> File:
        self.segment_number += 1
        name = f"{self.epoch:08d}-{self.segment_number:08d}.log"
        header = SegmentHeader(FORMAT, self.epoch, self.segment_name, self.segment_length, self.head)
        data, checksum = encode_records([header], 0)
        file = self.disk.create(name)
        try:
            file.write(data)
            file.sync()
            self.disk.sync()
        except OSError:
            file.close()
            raise
        self.file = file
        self.segment_name = name
        self.segment_length = len(data)
        self.checksum = checksum
        return file

    def compact(self, purges: list[Purge], trimmed_up_to: int, low_watermark: int) -> None:
        """Replaces all files except the open segment by a snapshot.

        :param purges: the retained purges, all durable, in order.
        :param trimmed_up_to: the sequence number before the first of them.
        :param low_watermark: microseconds, the time of the purge with that number.
        :raises DiskUnavailableError: if a disk operation fails; files not yet removed stay.
        :raises FencedError: if another writer has started; the files stay.
        """
        names = self.disk.names()
        try:
            snapshot_name = write_temporary_snapshot(self.disk, purges, trimmed_up_to, low_watermark)
            self.check_epoch()
            self.disk.rename(snapshot_name + TEMPORARY_SUFFIX, snapshot_name)
            self.disk.sync()
            for name in names:
                is_older_segment = SEGMENT_FILE.fullmatch(name) and name != self.segment_name
                is_older_snapshot = SNAPSHOT_FILE.fullmatch(name) and name < snapshot_name
                if is_older_segment or is_older_snapshot:
                    self.disk.remove(name)
        except OSError as error:
            raise _disk_unavailable(error) from None
        self.purges_since_snapshot = 0


def _disk_unavailable(error: OSError) -> DiskUnavailableError:
    return DiskUnavailableError(error.strerror or str(error))
