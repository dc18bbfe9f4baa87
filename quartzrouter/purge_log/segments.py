"""What stands in the folder of a ledger, and how it is read whole.

    epoch-00000003                writer 3 has begun: whoever writes under a lower number may promise no more
    00000003-00000001.log         its first file of purges
    0000000000000041.snapshot     what still matters of the purges up to 41

A file of purges begins with a header that says behind which bytes of which file it goes on.  So what a writer
that was taken over from still appends is read by nobody, and a file that is missing is missed.
"""

import re
from typing import Any, NamedTuple

import msgspec

from quartzrouter.purge_log.disk import Disk
from quartzrouter.purge_log.records import BrokenRecord, Record, record, records
from quartzrouter.purges.messages import Purge

FORMAT = 1
EPOCH = re.compile(r"epoch-(\d{8})")
LOG = re.compile(r"\d{8}-\d{8}\.log")
SNAPSHOT = re.compile(r"\d{16}\.snapshot")
RESTORE = "restore it from a copy, or start with an empty folder and purge all"
REPAIR = "restore the file from a copy, or give up what follows with `quartzrouter ledger repair`"


class SegmentHeader(msgspec.Struct, frozen=True):
    """:param after: the file before; empty where there is none.
    :param length: bytes of it that count.
    :param last: the number of the last purge before this file.
    """

    format: int
    epoch: int
    after: str
    length: int
    last: int


class SnapshotHeader(msgspec.Struct, frozen=True):
    """The first record of a snapshot; the purges follow.

    :param before: the number of the last purge that is no longer kept, and `floor` its time in us.
    """

    format: int
    head: int
    before: int
    floor: int


class LogDamaged(Exception):
    """A folder that can't be read whole: where, why, and what to do."""

    def __init__(self, place: str, reason: str, remedy: str):
        super().__init__(f"{place}: {reason}; {remedy}")
        self.place, self.reason, self.remedy = place, reason, remedy


class DiskUnavailable(Exception):
    """The disk takes nothing at the moment; nothing was promised of what was to be written."""


class LogContents(NamedTuple):
    """What a folder holds.

    :param before: the number of the last purge that is no longer kept, and `floor` its time in us.
    :param length: bytes of the last file that count; `cut`, those of a write that was cut short.
    :param useless: files that hold nothing that counts.
    """

    purges: list[Purge]
    before: int
    floor: int
    last_file: str
    length: int
    cut: int
    useless: list[str]

    @property
    def head(self) -> int:
        return self.before + len(self.purges)


encode = msgspec.msgpack.Encoder().encode
_HEADER, _SUMMARY, _PURGE = (msgspec.msgpack.Decoder(kind) for kind in (SegmentHeader, SnapshotHeader, Purge))


def _decoded(decoder: msgspec.msgpack.Decoder, found: Record, name: str) -> Any:
    try:
        return decoder.decode(found.payload)
    except msgspec.DecodeError as error:
        raise LogDamaged(f"{name}, byte {found.at}", f"a record of another kind: {error}", RESTORE) from None


def highest_epoch(disk: Disk) -> int:
    return max((int(found[1]) for name in disk.names() if (found := EPOCH.fullmatch(name))), default=0)


def packed(things: list[Any], before: int) -> tuple[bytes, int]:
    """Records of all of them, and the last one's checksum."""
    data = bytearray()
    for thing in things:
        piece, before = record(encode(thing), before)
        data += piece
    return bytes(data), before


def write_snapshot(disk: Disk, purges: list[Purge], before: int, floor: int) -> str:
    """Writes a snapshot under a name that nobody reads yet; gives the name without `.new`."""
    head = before + len(purges)
    name = f"{head:016d}.snapshot"
    if f"{name}.new" in disk.names():
        disk.remove(f"{name}.new")
    file = disk.create(f"{name}.new")
    try:
        file.write(packed([SnapshotHeader(FORMAT, head, before, floor), *purges], 0)[0])
        file.sync()
    finally:
        file.close()
    return name


def read(disk: Disk, cut_at: tuple[str, int] | None = None) -> LogContents:
    """Reads a folder whole; raises Damaged where something promised can't be told.

    :param cut_at: a file and a byte: what stands there and behind is given up.
    """
    names = disk.names()
    snapshots = [name for name in names if SNAPSHOT.fullmatch(name)]
    purges, before, floor = _snapshot(disk, snapshots[-1]) if snapshots else ([], 0, 0)
    head = before + len(purges)
    headers, bodies, useless = _headers(disk, names)
    chain = _chain(headers, head)
    useless += [name for name in headers if name not in chain]
    useless += [name for name in names if name.endswith(".new")] + snapshots[:-1]
    length = cut = 0
    for at, name in enumerate(chain):
        last = name == chain[-1]
        end = len(bodies[name]) if last else headers[chain[at + 1]].length
        if end > len(bodies[name]):
            raise LogDamaged(name, f"it ends at byte {len(bodies[name])}, and {end} were promised", RESTORE)
        if headers[name].last > before + len(purges):
            missing = f"purges {before + len(purges) + 1} to {headers[name].last} stand in no file"
            raise LogDamaged(name, missing, RESTORE)
        stop = cut_at[1] if cut_at and cut_at[0] == name else None
        length = _purges(name, bodies[name], end, last, stop, purges, before)
        cut = len(bodies[name]) - length
        if stop is not None:
            break
    return LogContents(purges, before, floor, chain[-1] if chain else "", length, cut, useless)


def _headers(disk: Disk, names: list[str]) -> tuple[dict[str, SegmentHeader], dict[str, bytes], list[str]]:
    """The headers and the bytes of all files of purges, and those that have no whole header."""
    headers, bodies, empty = {}, {}, []
    for name in names:
        if not LOG.fullmatch(name):
            continue
        data = disk.read(name)
        first = next(records(data, len(data)), None)
        if isinstance(first, Record):
            headers[name], bodies[name] = _decoded(_HEADER, first, name), data
            if headers[name].format != FORMAT:
                raise LogDamaged(
                    name, f"format {headers[name].format}, and {FORMAT} is read here", "use the newer program"
                )
        elif first is None or first.torn:  # a crash before the header was durable: nothing in it was promised
            empty.append(name)
        else:
            raise LogDamaged(f"{name}, byte {first.at}", first.reason, RESTORE)
    return headers, bodies, empty


def _chain(headers: dict[str, SegmentHeader], head: int) -> list[str]:
    """The files that count, in their order: from the newest writer's last, the way leads back."""
    chain, at = [], max(headers, default="")
    while at:
        chain.append(at)
        header = headers[at]
        at = header.after
        if at and at not in headers:
            if header.last > head:
                raise LogDamaged(at, f"it is missing, and with it purges up to {header.last}", RESTORE)
            at = ""
    return chain[::-1]


def _purges(
    name: str, data: bytes, end: int, last: bool, stop: int | None, purges: list[Purge], before: int
) -> int:
    """Adds a file's purges to those that were read; gives the bytes that count."""
    length = 0
    for found in records(data, end):
        if stop is not None and found.at >= stop:
            break
        if isinstance(found, BrokenRecord):
            if last and found.torn:
                break
            raise LogDamaged(f"{name}, byte {found.at}", found.reason, REPAIR)
        length = found.end
        if found.at == 0:
            continue
        purge, expected = _decoded(_PURGE, found, name), before + len(purges) + 1
        if purge.number > expected:
            reason = f"purge {purge.number} where {expected} belongs"
            raise LogDamaged(f"{name}, byte {found.at}", reason, RESTORE)
        if purge.number == expected:
            purges.append(purge)
    return length


def _snapshot(disk: Disk, name: str) -> tuple[list[Purge], int, int]:
    data = disk.read(name)
    found = list(records(data, len(data)))
    if not found or isinstance(found[-1], BrokenRecord):
        at, reason = (found[-1].at, found[-1].reason) if found else (0, "it is empty")
        raise LogDamaged(f"{name}, byte {at}", reason, RESTORE)
    summary = _decoded(_SUMMARY, found[0], name)
    purges = [_decoded(_PURGE, each, name) for each in found[1:]]
    if [purge.number for purge in purges] != list(range(summary.before + 1, summary.head + 1)):
        reason = f"{len(purges)} purges, and {summary.before + 1} to {summary.head} belong there"
        raise LogDamaged(name, reason, RESTORE)
    return purges, summary.before, summary.floor


def repair(disk: Disk) -> str:
    """Gives up the first place that can't be read and all behind it; says what was given up.

    The files are kept under other names.  Raises Damaged where there is no such place.
    """
    try:
        found = read(disk)
        return (
            f"nothing to mend: purges up to {found.head}, and {found.cut} bytes of a write that was cut short"
        )
    except LogDamaged as damage:
        place = re.fullmatch(r"(\S+\.log), byte (\d+)", damage.place)
        if not place or int(place[2]) == 0:
            raise
    found = read(disk, (place[1], int(place[2])))
    logs = [name for name in disk.names() if LOG.fullmatch(name)]
    name = write_snapshot(disk, found.purges, found.before, found.floor)
    disk.rename(f"{name}.new", name)
    disk.sync()
    for log in logs:
        disk.rename(log, f"{log}.given-up")
    disk.sync()
    return (
        f"purges up to {found.head} are kept; {place[1]} from byte {place[2]} on, and all behind, is given up"
    )
