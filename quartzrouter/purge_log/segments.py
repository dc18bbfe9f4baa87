"""Reads the files in the folder of a purge log, and writes its snapshots.

    epoch-00000003                writer 3 has started: a writer with a lower epoch may confirm no more purges
    00000003-00000001.log         the first segment of that writer
    0000000000000041.snapshot     the retained purges up to number 41

A segment begins with a header that names the previous segment and how many of its bytes belong to the log.
So bytes that a former writer appends after a takeover are never read, and a missing segment is detected.
"""

import re
from collections.abc import Sequence
from typing import NamedTuple, TypeVar

import msgspec

from quartzrouter.purge_log.disk import Disk
from quartzrouter.purge_log.errors import LogDamagedError
from quartzrouter.purge_log.records import BrokenRecord, Record, encode_record, read_records
from quartzrouter.purges.messages import Purge

FORMAT = 1  # the format version of segments and snapshots
EPOCH_FILE = re.compile(r"epoch-(\d{8})")
SEGMENT_FILE = re.compile(r"\d{8}-\d{8}\.log")
SNAPSHOT_FILE = re.compile(r"\d{16}\.snapshot")
TEMPORARY_SUFFIX = ".new"  # marks a snapshot that is still being written
# Remedies in error messages for operators.
RESTORE_REMEDY = "restore it from a copy, or start with an empty folder and purge all"
REPAIR_REMEDY = "restore the file from a copy, or give up what follows with `quartzrouter ledger repair`"
Content = TypeVar("Content")


class SegmentHeader(msgspec.Struct, frozen=True):
    """The first record of a segment.

    :param previous_segment: the name of the previous segment; empty if there is none.
    :param previous_length: the number of bytes of that segment that belong to the log.
    :param last_sequence_number: the sequence number of the last purge before this segment.
    """

    format: int
    epoch: int
    previous_segment: str = msgspec.field(name="after")
    previous_length: int = msgspec.field(name="length")
    last_sequence_number: int = msgspec.field(name="last")


class SnapshotHeader(msgspec.Struct, frozen=True):
    """The first record of a snapshot; the retained purges follow it.

    :param head: the sequence number of the last purge that the snapshot covers.
    :param trimmed_up_to: the sequence number of the last purge that is no longer retained.
    :param low_watermark: microseconds, the time of that purge.
    """

    format: int
    head: int
    trimmed_up_to: int = msgspec.field(name="before")
    low_watermark: int = msgspec.field(name="floor")


class LogContents(NamedTuple):
    """The contents of a folder.

    :param trimmed_up_to: the sequence number of the last purge that is no longer retained.
    :param low_watermark: microseconds, the time of that purge.
    :param last_segment: the name of the segment that was written last; empty if there is none.
    :param last_segment_length: the number of bytes of that segment that belong to the log.
    :param torn_bytes: the number of bytes after them, left by a torn write.
    :param obsolete_files: the names of files that contain nothing that belongs to the log.
    """

    purges: list[Purge]
    trimmed_up_to: int
    low_watermark: int
    last_segment: str
    last_segment_length: int
    torn_bytes: int
    obsolete_files: list[str]

    @property
    def head(self) -> int:
        """Returns the sequence number of the last purge."""
        return self.trimmed_up_to + len(self.purges)


class SnapshotContents(NamedTuple):
    """The contents of a snapshot; see LogContents for the fields."""

    purges: list[Purge]
    trimmed_up_to: int
    low_watermark: int


class FilePosition(NamedTuple):
    """The position of a byte in a segment."""

    segment: str
    byte: int


class _Segments(NamedTuple):
    """The segments of a folder, by name.

    :param without_header: the names of segments whose header was never durable.
    """

    headers: dict[str, SegmentHeader]
    data: dict[str, bytes]
    without_header: list[str]


_encode = msgspec.msgpack.Encoder().encode
_segment_header_decoder = msgspec.msgpack.Decoder(SegmentHeader)
_snapshot_header_decoder = msgspec.msgpack.Decoder(SnapshotHeader)
_purge_decoder = msgspec.msgpack.Decoder(Purge)


def highest_epoch(disk: Disk) -> int:
    """Returns the highest epoch that a writer has started; 0 if there is none."""
    epochs = (EPOCH_FILE.fullmatch(name) for name in disk.names())
    return max((int(found[1]) for found in epochs if found), default=0)


def encode_records(contents: Sequence[msgspec.Struct], previous_checksum: int) -> tuple[bytes, int]:
    """Returns the bytes of records, and the checksum of the last one.

    :param previous_checksum: the checksum of the record before them; 0 at the start of a file.
    """
    data = bytearray()
    checksum = previous_checksum
    for content in contents:
        record, checksum = encode_record(_encode(content), checksum)
        data += record
    return bytes(data), checksum


def write_temporary_snapshot(disk: Disk, purges: list[Purge], trimmed_up_to: int, low_watermark: int) -> str:
    """Writes a snapshot under a temporary name that readers ignore.

    :returns: the final name, without the temporary suffix.
    :raises OSError: if a disk operation fails.
    """
    head = trimmed_up_to + len(purges)
    name = f"{head:016d}.snapshot"
    temporary_name = name + TEMPORARY_SUFFIX
    if temporary_name in disk.names():
        disk.remove(temporary_name)
    header = SnapshotHeader(FORMAT, head, trimmed_up_to, low_watermark)
    file = disk.create(temporary_name)
    try:
        file.write(encode_records([header, *purges], 0)[0])
        file.sync()
    finally:
        file.close()
    return name


def read_log(disk: Disk, cut_at: FilePosition | None = None) -> LogContents:
    """Reads a whole folder.

    :param cut_at: the position from which records are not read, because `repair` gives them up.
    :raises LogDamagedError: if a confirmed purge can't be read.
    :raises OSError: if the disk fails.
    """
    names = disk.names()
    snapshot_names = [name for name in names if SNAPSHOT_FILE.fullmatch(name)]
    snapshot = _read_snapshot(disk, snapshot_names[-1]) if snapshot_names else SnapshotContents([], 0, 0)
    purges, trimmed_up_to, low_watermark = snapshot
    segments = _read_segments(disk, names)
    chain = _segments_in_order(segments.headers, trimmed_up_to + len(purges))
    obsolete_files = [
        *segments.without_header,
        *(name for name in segments.headers if name not in chain),
        *(name for name in names if name.endswith(TEMPORARY_SUFFIX)),
        *snapshot_names[:-1],
    ]
    last_length = torn_bytes = 0
    for index, name in enumerate(chain):
        next_name = chain[index + 1] if index + 1 < len(chain) else None
        data = segments.data[name]
        counted_bytes = segments.headers[next_name].previous_length if next_name else len(data)
        _check_continuity(name, segments.headers[name], data, counted_bytes, trimmed_up_to + len(purges))
        cut_at_byte = cut_at.byte if cut_at and cut_at.segment == name else None
        last_length = _append_purges(
            name, data, counted_bytes, next_name is None, cut_at_byte, purges, trimmed_up_to
        )
        torn_bytes = len(data) - last_length
        if cut_at_byte is not None:
            break
    last_segment = chain[-1] if chain else ""
    return LogContents(
        purges, trimmed_up_to, low_watermark, last_segment, last_length, torn_bytes, obsolete_files
    )


def _read_segments(disk: Disk, names: list[str]) -> _Segments:
    """Reads all segments and decodes their headers.

    :raises LogDamagedError: if a header is damaged or of another format.
    """
    segments = _Segments({}, {}, [])
    for name in names:
        if not SEGMENT_FILE.fullmatch(name):
            continue
        data = disk.read(name)
        first = next(read_records(data, len(data)), None)
        if isinstance(first, Record):
            header = _decode(_segment_header_decoder, first, name)
            if header.format != FORMAT:
                reason = f"its format is {header.format}, and this program reads format {FORMAT}"
                raise LogDamagedError(name, reason, "use the program version that wrote it")
            segments.headers[name] = header
            segments.data[name] = data
        elif first is None or first.is_torn:  # a crash before the header was durable: nothing was confirmed
            segments.without_header.append(name)
        else:
            raise LogDamagedError(f"{name}, byte {first.start}", first.reason, RESTORE_REMEDY)
    return segments


def _segments_in_order(headers: dict[str, SegmentHeader], snapshot_head: int) -> list[str]:
    """Returns the names of the segments that belong to the log, in order.

    The chain is followed backwards from the newest writer's last segment, not in the order of the names. A
    former writer may still append after another took over, and its segments belong to the log only as far as
    the newest writer has read them.
    """
    chain = []
    name = max(headers, default="")
    while name:
        chain.append(name)
        header = headers[name]
        name = header.previous_segment
        if name and name not in headers:
            if header.last_sequence_number > snapshot_head:
                reason = f"it is missing, and with it purges up to {header.last_sequence_number}"
                raise LogDamagedError(name, reason, RESTORE_REMEDY)
            break
    return chain[::-1]


def _check_continuity(name: str, header: SegmentHeader, data: bytes, counted_bytes: int, head: int) -> None:
    """Raises LogDamagedError if a segment is too short, or if purges before it are missing."""
    if counted_bytes > len(data):
        raise LogDamagedError(
            name, f"it ends at byte {len(data)}, and {counted_bytes} bytes are expected", RESTORE_REMEDY
        )
    if header.last_sequence_number > head:
        reason = f"purges {head + 1} to {header.last_sequence_number} are in no file"
        raise LogDamagedError(name, reason, RESTORE_REMEDY)


def _append_purges(
    name: str,
    data: bytes,
    counted_bytes: int,
    is_last_segment: bool,
    cut_at_byte: int | None,
    purges: list[Purge],
    trimmed_up_to: int,
) -> int:
    """Appends a segment's purges to those of the segments before it.

    :param counted_bytes: the number of bytes to read: what the next segment's header says, or the whole
        length of the last segment.
    :param cut_at_byte: the byte from which records are not read; None to read all.
    :returns: the number of bytes read, up to the end of the last whole record.
    """
    length = 0
    for record in read_records(data, counted_bytes):
        if cut_at_byte is not None and record.start >= cut_at_byte:
            break
        if isinstance(record, BrokenRecord):
            if is_last_segment and record.is_torn:
                break
            raise LogDamagedError(f"{name}, byte {record.start}", record.reason, REPAIR_REMEDY)
        length = record.end
        if record.start == 0:  # the header
            continue
        purge = _decode(_purge_decoder, record, name)
        expected = trimmed_up_to + len(purges) + 1
        if purge.sequence_number > expected:
            reason = f"it holds purge {purge.sequence_number}, and {expected} is expected"
            raise LogDamagedError(f"{name}, byte {record.start}", reason, RESTORE_REMEDY)
        if purge.sequence_number == expected:
            purges.append(purge)
    return length


def _read_snapshot(disk: Disk, name: str) -> SnapshotContents:
    data = disk.read(name)
    header: SnapshotHeader | None = None
    purges: list[Purge] = []
    for record in read_records(data, len(data)):
        if isinstance(record, BrokenRecord):
            raise LogDamagedError(f"{name}, byte {record.start}", record.reason, RESTORE_REMEDY)
        if header is None:
            header = _decode(_snapshot_header_decoder, record, name)
        else:
            purges.append(_decode(_purge_decoder, record, name))
    if header is None:
        raise LogDamagedError(f"{name}, byte 0", "it is empty", RESTORE_REMEDY)
    expected_numbers = list(range(header.trimmed_up_to + 1, header.head + 1))
    if [purge.sequence_number for purge in purges] != expected_numbers:
        reason = f"it holds {len(purges)} purges, not those from {header.trimmed_up_to + 1} to {header.head}"
        raise LogDamagedError(name, reason, RESTORE_REMEDY)
    return SnapshotContents(purges, header.trimmed_up_to, header.low_watermark)


def _decode(decoder: "msgspec.msgpack.Decoder[Content]", record: Record, name: str) -> Content:
    try:
        return decoder.decode(record.payload)
    except msgspec.DecodeError as error:
        reason = f"a record of an unexpected type: {error}"
        raise LogDamagedError(f"{name}, byte {record.start}", reason, RESTORE_REMEDY) from None


def repair(disk: Disk) -> str:
    """Gives up the first unreadable record and everything after it; renames the segment files.

    :returns: a message that says what is kept and what is given up.
    :raises LogDamagedError: if the damage can't be cut off, as for a missing segment or a damaged header.
    """
    try:
        contents = read_log(disk)
        torn = f"{contents.torn_bytes} bytes of a torn write"
        return f"nothing to repair: purges up to {contents.head}, and {torn}"
    except LogDamagedError as error:
        place = re.fullmatch(r"(\S+\.log), byte (\d+)", error.place)
        if not place or int(place[2]) == 0:
            raise
    damaged_at = FilePosition(place[1], int(place[2]))
    contents = read_log(disk, damaged_at)
    segment_names = [name for name in disk.names() if SEGMENT_FILE.fullmatch(name)]
    snapshot_name = write_temporary_snapshot(
        disk, contents.purges, contents.trimmed_up_to, contents.low_watermark
    )
    disk.rename(snapshot_name + TEMPORARY_SUFFIX, snapshot_name)
    disk.sync()
    for name in segment_names:
        disk.rename(name, f"{name}.given-up")
    disk.sync()
    given_up = f"{damaged_at.segment} from byte {damaged_at.byte} on, and everything after it, is given up"
    return f"purges up to {contents.head} are kept; {given_up}"
