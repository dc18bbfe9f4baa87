"""The single writer of a purge log's folder: begins an epoch, and goes on behind what is durable."""

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

MAX_SEGMENT_BYTES = 8 << 20  # read in 0.3 s
MAX_ATTEMPTS = 64  # at an epoch of one's own, or at reading, should other writers begin at the same moment


class PurgeLog:
    """The writer.

    Fencing: a writer creates the file of its epoch before it reads the folder, and promises a purge only
    after the sync and a look that no higher epoch has begun. So whatever an older writer has promised was on
    the disk before this one read it, and what it writes later it doesn't promise.

    :param max_segment_bytes: after which a segment is followed by another.
    :raises LogDamagedError: where the folder can't be read whole.
    :raises DiskUnavailableError: where the disk takes nothing.
    """

    def __init__(self, disk: Disk, max_segment_bytes: int = MAX_SEGMENT_BYTES):
        self.disk = disk
        self.max_segment_bytes = max_segment_bytes
        self.file: File | None = None  # the segment that is written; None where the next append begins one
        self.segment_number = 0
        self.checksum = 0  # of the last record of the segment
        try:
            self.epoch = self._begin_epoch()
            self.recovered = self._read()
            self.head = self.recovered.head
            self.segment_name = self.recovered.last_segment
            self.segment_length = self.recovered.last_segment_length  # bytes that count
            self._begin_segment()
            for name in self.recovered.obsolete_files:
                disk.remove(name)
        except OSError as error:
            raise _unavailable(error) from None
        self.purges_since_snapshot = len(self.recovered.purges)  # at most

    def _begin_epoch(self) -> int:
        for _ in range(MAX_ATTEMPTS):
            epoch = highest_epoch(self.disk) + 1
            try:
                self.disk.create(f"epoch-{epoch:08d}").close()
            except FileExistsError:  # another writer begins at the same moment
                continue
            self.disk.sync()
            self._remove_epochs_below(epoch - 1)
            return epoch
        raise DiskUnavailableError("other writers begin again and again")

    def _remove_epochs_below(self, epoch: int) -> None:
        for name in self.disk.names():
            found = EPOCH_FILE.fullmatch(name)
            if found and int(found[1]) < epoch:
                self.disk.remove(name)

    def _read(self) -> LogContents:
        """Reads what is durable, after the epoch has begun: no older writer can promise what it adds then."""
        for _ in range(MAX_ATTEMPTS):
            try:
                return read_log(self.disk)
            except FileNotFoundError:  # the older writer was putting a snapshot in place
                continue
        raise DiskUnavailableError("the files change again and again")

    def check_epoch(self) -> None:
        """Checks that this is still the newest writer.

        :raises FencedError: where another has begun.
        """
        highest = highest_epoch(self.disk)
        if highest != self.epoch:
            raise FencedError(f"epoch {highest} has begun, this is {self.epoch}")

    def append(self, purges: list[Purge]) -> None:
        """Makes purges durable, all or none.

        :raises DiskUnavailableError: where the disk takes nothing; none of them counts.
        :raises FencedError: where another writer has begun; none of them is promised.
        """
        file = self.file or self._begin_segment_or_fail()
        data, checksum = encode_records(purges, self.checksum)
        try:
            file.write(data)
        except OSError as error:
            self._remove_torn_write(file)
            raise _unavailable(error) from None
        try:
            file.sync()
        except OSError as error:
            # Nobody knows what is on the disk after a failed sync, and a later one that succeeds proves
            # nothing. So the log goes on in a new segment, whose header says how much of this one counts.
            self.close()
            raise _unavailable(error) from None
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
        """Ends this segment; the header of the next says how many of its bytes count."""
        file = self.file
        self.file = None
        if file is not None:
            file.close()

    def _begin_segment_or_fail(self) -> File:
        try:
            return self._begin_segment()
        except OSError as error:
            raise _unavailable(error) from None

    def _begin_segment(self) -> File:
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
        """Puts a snapshot in place of all files but the segment that is written.

        :param purges: those that are retained, all durable, in their order.
        :param trimmed_up_to: the sequence number before the first of them.
        :param low_watermark: microseconds, the time of that purge.
        :raises DiskUnavailableError: where the disk takes nothing; the files stay.
        :raises FencedError: where another writer has begun; the files stay.
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
            raise _unavailable(error) from None
        self.purges_since_snapshot = 0


def _unavailable(error: OSError) -> DiskUnavailableError:
    return DiskUnavailableError(error.strerror or str(error))
