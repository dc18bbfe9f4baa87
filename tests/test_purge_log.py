"""Tests of the purge log's files: no crash loses a confirmed purge, and damage is reported."""

import random

import pytest

from quartzrouter.fakes.faulty_disk import Crashed, FaultyDisk
from quartzrouter.purge_log.disk import RealDisk
from quartzrouter.purge_log.errors import DiskUnavailableError, FencedError, LogDamagedError
from quartzrouter.purge_log.log import PurgeLog
from quartzrouter.purge_log.segments import read_log, repair
from quartzrouter.purges.messages import Purge


def purge(number):
    return Purge(number, 1_000 * number, "object", (f"obj-{number}",), key=f"k{number}")


def write(log, batches, batch_size=1, compact_every=0):
    """Appends batches of purges; at each multiple of `compact_every`, trims the older half and compacts."""
    for _ in range(batches):
        log.append([purge(log.head + n) for n in range(1, batch_size + 1)])
        if compact_every and log.head % compact_every == 0:
            trimmed_up_to = log.head // 2
            retained = [purge(n) for n in range(trimmed_up_to + 1, log.head + 1)]
            log.compact(retained, trimmed_up_to, purge(trimmed_up_to).purged_at)


def numbers(contents):
    return [purge.sequence_number for purge in contents.purges]


def test_a_crash_at_every_operation_loses_no_confirmed_purge():
    """The machine loses power at each disk operation in turn, and again while it recovers.

    Each start must read all purges confirmed before, in order and without a gap. Purges that a start has read
    count as confirmed from then on, as they may have been sent to members.
    """
    rng, crashes = random.Random(5), 0
    for first_crash in range(1, 60):
        disk, confirmed = FaultyDisk(first_crash, rng), 0

        def run_until_crash(disk):
            nonlocal confirmed
            log = PurgeLog(disk, max_segment_bytes=400)
            for _ in range(6):
                write(log, 1, 3, 9)
                confirmed = log.head

        for next_crash in (0, 1, 4, 9, 17):
            try:
                run_until_crash(disk)
            except Crashed:
                crashes += 1
            disk.has_crashed = True
            after_crash = disk.after_crash()
            contents = read_log(after_crash)
            assert contents.head >= confirmed
            assert numbers(contents) == list(range(contents.trimmed_up_to + 1, contents.head + 1))
            assert contents.purges == [purge(number) for number in numbers(contents)]
            confirmed = contents.head
            after_crash.crash_at = next_crash and next_crash + 2
            disk = after_crash
    assert crashes > 150


def test_a_torn_write_is_ignored_at_every_byte():
    """A write is cut short at each of its bytes, with or without zeros after it: it was not confirmed."""
    disk = FaultyDisk()
    log = PurgeLog(disk)
    write(log, 2)
    length_before = len(disk.read(log.segment_name))
    write(log, 1)
    data = disk.read(log.segment_name)
    for end in range(length_before, len(data) + 1):
        for zeros in (b"", bytes(37)):
            disk.visible_entries[log.segment_name].data = bytearray(data[:end] + zeros)
            found = read_log(disk)
            assert found.head == (3 if end == len(data) else 2)


def test_a_flipped_bit_is_reported_wherever_it_is():
    """One bit flips in each byte of a segment in turn, also in lengths: no purge may be dropped silently."""
    disk = FaultyDisk()
    log = PurgeLog(disk)
    write(log, 3)
    data = disk.read(log.segment_name)
    for position in range(len(data)):
        corrupted = bytearray(data)
        corrupted[position] ^= 0x10
        disk.visible_entries[log.segment_name].data = corrupted
        with pytest.raises(LogDamagedError) as raised:
            read_log(disk)
        assert log.segment_name in raised.value.place and raised.value.reason and raised.value.remedy


def test_a_missing_segment_is_reported():
    """A segment between two others is deleted: it is found missing by the header of the next one."""
    disk = FaultyDisk()
    log = PurgeLog(disk, max_segment_bytes=200)
    write(log, 12)
    names = [name for name in disk.names() if name.endswith(".log")]
    assert len(names) >= 4
    del disk.visible_entries[names[1]]
    with pytest.raises(LogDamagedError, match=f"{names[1]}: it is missing, and with it purges up to"):
        read_log(disk)


def test_a_segment_that_ends_too_soon_is_reported():
    """A segment that isn't the last has lost its end: the end was confirmed, so it is no torn write."""
    disk = FaultyDisk()
    log = PurgeLog(disk, max_segment_bytes=200)
    write(log, 12)
    first = next(name for name in disk.names() if name.endswith(".log"))
    del disk.visible_entries[first].data[-5:]
    with pytest.raises(LogDamagedError, match=f"{first}: it ends at byte"):
        read_log(disk)


def test_repair_keeps_the_purges_before_the_damage():
    """A record is damaged, so the start rejects the folder: repair keeps the purges before it."""
    disk = FaultyDisk()
    log = PurgeLog(disk)
    write(log, 8)
    data = disk.visible_entries[log.segment_name].data
    data[data.index(b"obj-6")] ^= 1
    with pytest.raises(LogDamagedError, match="checksum"):
        PurgeLog(disk)
    assert "purges up to 5 are kept" in repair(disk)
    log = PurgeLog(disk)
    assert log.head == 5
    write(log, 1)
    assert read_log(disk).head == 6 and "nothing to repair" in repair(disk)


def test_a_full_disk_rejects_and_accepts_again_once_there_is_room():
    """The disk becomes full during a write: the torn write is removed, and later purges are accepted."""
    disk = FaultyDisk()
    log = PurgeLog(disk)
    write(log, 2)
    disk.capacity = disk.used + 10
    for _ in range(3):
        with pytest.raises(DiskUnavailableError, match="No space left"):
            log.append([purge(3)])
    assert read_log(disk).head == 2
    disk.capacity = 1 << 20
    write(log, 2)
    assert read_log(disk).head == 4 and PurgeLog(disk).head == 4


def test_after_a_failed_sync_the_log_continues_in_a_new_segment():
    """A sync fails: the contents of the disk are unknown, so the log continues in a new segment."""
    disk = FaultyDisk()
    log = PurgeLog(disk)
    write(log, 1)
    before = log.segment_name
    disk.failing_sync = disk.sync_count + 1
    with pytest.raises(DiskUnavailableError, match="Input/output"):
        log.append([purge(2)])
    log.append([purge(2)])
    assert log.segment_name != before and numbers(read_log(disk)) == [1, 2]


def test_a_fenced_writer_confirms_no_more_purges(tmp_path):
    """An old writer wakes after a takeover and appends: its purge is in its file, but not in the log."""
    disk = RealDisk(str(tmp_path))
    old = PurgeLog(disk)
    write(old, 3)
    new = PurgeLog(disk)
    assert (new.epoch, new.head) == (old.epoch + 1, 3)
    with pytest.raises(FencedError):
        old.append([purge(4)])  # written to the file, but not part of the log
    with pytest.raises(FencedError):
        old.compact([], 3, 3_000)
    other = Purge(4, 9_000, "tag", ("rose",))
    new.append([other])
    assert numbers(read_log(disk)) == [1, 2, 3, 4] and read_log(disk).purges[-1] == other
    assert PurgeLog(disk).head == 4


def test_a_snapshot_replaces_segments(tmp_path):
    """The log is compacted: one snapshot replaces all files except the open segment."""
    disk = RealDisk(str(tmp_path))
    log = PurgeLog(disk, max_segment_bytes=200)
    write(log, 20)
    log.compact([purge(n) for n in range(11, 21)], 10, 10_000)
    names = [name for name in disk.names() if not name.startswith("epoch")]
    assert names == [f"{20:016d}.snapshot", log.segment_name] or len(names) == 2
    write(log, 2)
    found = read_log(disk)
    assert (found.trimmed_up_to, found.low_watermark, found.head) == (10, 10_000, 22)
