"""The ledger's log: nothing promised is lost at any point of a crash, and damage is named."""

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


def write(disk, log, count, each=2, compact_every=0):
    """Appends purges in batches; gives the numbers that were promised."""
    promised = log.head
    for _ in range(count):
        batch = [purge(log.head + n) for n in range(1, each + 1)]
        log.append(batch)
        promised = log.head
        if compact_every and promised % compact_every == 0:
            kept = [purge(n) for n in range(promised // 2 + 1, promised + 1)]
            log.compact(kept, promised // 2, 1_000 * (promised // 2))
    return promised


def numbers(found):
    return [each.sequence_number for each in found.purges]


def test_a_crash_at_every_operation_loses_nothing_that_was_promised():
    """Lives that end by a crash: the next finds all that was promised, in order, without a gap."""
    chance, crashes = random.Random(5), 0
    for first in range(1, 60):
        disk, promised = FaultyDisk(first, chance), 0

        def live(disk):
            log = PurgeLog(disk, max_segment_bytes=400)
            for _ in range(6):
                write(disk, log, 1, 3, 9)
                nonlocal promised
                promised = log.head

        for second in (0, 1, 4, 9, 17):
            try:
                live(disk)
            except Crashed:
                crashes += 1
            disk.dead = True
            after = disk.after_crash()
            found = read_log(after)
            assert found.head >= promised
            assert numbers(found) == list(range(found.trimmed_up_to + 1, found.head + 1))
            assert found.purges == [purge(n) for n in numbers(found)]
            promised = found.head  # from now on: whoever read it may have been told
            after.crash_at = second and second + 2
            disk = after
    assert crashes > 150


def test_a_cut_write_is_cut_at_every_byte():
    disk = FaultyDisk()
    log = PurgeLog(disk)
    write(disk, log, 2, 1)
    whole = len(disk.read(log.segment_name))
    write(disk, log, 1, 1)
    data = disk.read(log.segment_name)
    for end in range(whole, len(data) + 1):
        for rest in (b"", bytes(37)):
            disk.names_seen[log.segment_name].data = bytearray(data[:end] + rest)
            found = read_log(disk)
            assert found.head == (3 if end == len(data) else 2)


def test_a_flipped_bit_is_named_wherever_it_stands():
    disk = FaultyDisk()
    log = PurgeLog(disk)
    write(disk, log, 3, 1)
    data = disk.read(log.segment_name)
    for at in range(len(data)):
        spoilt = bytearray(data)
        spoilt[at] ^= 0x10
        disk.names_seen[log.segment_name].data = spoilt
        with pytest.raises(LogDamagedError) as raised:
            read_log(disk)
        assert log.segment_name in raised.value.place and raised.value.reason and raised.value.remedy


def test_a_missing_middle_file_is_missed():
    disk = FaultyDisk()
    log = PurgeLog(disk, max_segment_bytes=200)
    write(disk, log, 12, 1)
    names = [name for name in disk.names() if name.endswith(".log")]
    assert len(names) >= 4
    del disk.names_seen[names[1]]
    with pytest.raises(LogDamagedError, match=f"{names[1]}: it is missing, and with it purges up to"):
        read_log(disk)


def test_a_file_that_ends_too_soon_is_named():
    disk = FaultyDisk()
    log = PurgeLog(disk, max_segment_bytes=200)
    write(disk, log, 12, 1)
    first = next(name for name in disk.names() if name.endswith(".log"))
    del disk.names_seen[first].data[-5:]
    with pytest.raises(LogDamagedError, match=f"{first}: it ends at byte"):
        read_log(disk)


def test_repair_keeps_what_stands_before_the_damage():
    disk = FaultyDisk()
    log = PurgeLog(disk)
    write(disk, log, 8, 1)
    data = disk.names_seen[log.segment_name].data
    data[data.index(b"obj-6")] ^= 1
    with pytest.raises(LogDamagedError, match="checksum"):
        PurgeLog(disk)
    assert "purges up to 5 are kept" in repair(disk)
    log = PurgeLog(disk)
    assert log.head == 5
    write(disk, log, 1, 1)
    assert read_log(disk).head == 6 and "nothing to mend" in repair(disk)


def test_a_full_disk_refuses_and_takes_again_once_there_is_room():
    disk = FaultyDisk()
    log = PurgeLog(disk)
    write(disk, log, 2, 1)
    disk.room = disk.used + 10
    for _ in range(3):
        with pytest.raises(DiskUnavailableError, match="No space left"):
            log.append([purge(3)])
    assert read_log(disk).head == 2
    disk.room = 1 << 20
    write(disk, log, 2, 1)
    assert read_log(disk).head == 4 and PurgeLog(disk).head == 4


def test_after_a_sync_that_failed_nothing_more_goes_to_that_file():
    disk = FaultyDisk()
    log = PurgeLog(disk)
    write(disk, log, 1, 1)
    before = log.segment_name
    disk.fail_sync = disk.syncs + 1
    with pytest.raises(DiskUnavailableError, match="Input/output"):
        log.append([purge(2)])
    log.append([purge(2)])
    assert log.segment_name != before and numbers(read_log(disk)) == [1, 2]


def test_a_writer_that_was_taken_over_from_promises_nothing_more(tmp_path):
    disk = RealDisk(str(tmp_path))
    old = PurgeLog(disk)
    write(disk, old, 3, 1)
    new = PurgeLog(disk)
    assert (new.epoch, new.head) == (old.epoch + 1, 3)
    with pytest.raises(FencedError):
        old.append([purge(4)])  # stands in the file, and counts for nobody
    with pytest.raises(FencedError):
        old.compact([], 3, 3_000)
    other = Purge(4, 9_000, "tag", ("rose",))
    new.append([other])
    assert numbers(read_log(disk)) == [1, 2, 3, 4] and read_log(disk).purges[-1] == other
    assert PurgeLog(disk).head == 4


def test_a_snapshot_takes_the_place_of_files(tmp_path):
    disk = RealDisk(str(tmp_path))
    log = PurgeLog(disk, max_segment_bytes=200)
    write(disk, log, 20, 1)
    log.compact([purge(n) for n in range(11, 21)], 10, 10_000)
    names = [name for name in disk.names() if not name.startswith("epoch")]
    assert names == [f"{20:016d}.snapshot", log.segment_name] or len(names) == 2
    write(disk, log, 2, 1)
    found = read_log(disk)
    assert (found.trimmed_up_to, found.low_watermark, found.head) == (10, 10_000, 22)
