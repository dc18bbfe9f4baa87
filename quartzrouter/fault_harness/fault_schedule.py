"""What goes wrong, and when: drawn from a seed, written out, played again, cut down while it still fails."""

import random
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import anyio
import msgspec


class Fault(msgspec.Struct, frozen=True):
    """One thing that goes wrong.

    :param at_ms: ms after the schedule's start.
    :param kind: one of the kinds that the fleet that plays it knows.
    :param target: whom it strikes.
    :param duration_ms: ms until it is mended.
    :param amount: how much of it, in the kind's unit.
    """

    at_ms: int = msgspec.field(name="at")
    kind: str = msgspec.field(name="what")
    target: str = msgspec.field(name="who")
    duration_ms: int = msgspec.field(default=0, name="lasts")
    amount: float = msgspec.field(default=0.0, name="much")


def draw(
    chance: random.Random,
    kinds: dict[str, tuple[Sequence[str], tuple[int, int], Sequence[float]]],
    faults: int,
    until: int,
) -> list[Fault]:
    """So many faults before a time.

    :param kinds: by name: whom it may strike, least and most ms it lasts, how much.
    :param until: ms; what lasts ends before it.
    """
    found = []
    while len(found) < faults:
        what = chance.choice(list(kinds))
        who, (least, most), much = kinds[what]
        lasts = chance.randint(least, most)
        at = chance.randint(0, max(0, until - lasts))
        found.append(Fault(at, what, chance.choice(list(who)), lasts, chance.choice(list(much))))
    return sorted(found, key=lambda fault: fault.at_ms)


def write(path: Path, faults: Sequence[Fault]) -> None:
    path.write_bytes(b"".join(msgspec.json.encode(each) + b"\n" for each in faults))


def read(path: Path) -> list[Fault]:
    """Raises OSError, msgspec.ValidationError and msgspec.DecodeError."""
    return [msgspec.json.decode(line, type=Fault) for line in path.read_bytes().splitlines() if line.strip()]


async def play(faults: Sequence[Fault], strike: Callable[[Fault], Awaitable[None]]) -> None:
    """Strikes with each at its time; returns when all are mended.

    :param strike: does it, waits for as long as it lasts, and mends it.
    """
    began = anyio.current_time()

    async def one(fault: Fault) -> None:
        await anyio.sleep(max(0.0, began + fault.at_ms / 1000 - anyio.current_time()))
        await strike(fault)

    async with anyio.create_task_group() as tasks:
        for fault in faults:
            tasks.start_soon(one, fault)


def shrink(faults: Sequence[Fault], fails: Callable[[Sequence[Fault]], bool], tries: int = 64) -> list[Fault]:
    """A shorter schedule that still fails, by leaving out parts of it (Zeller's delta debugging).

    :param fails: plays a schedule and says whether a checker found something.
    :param tries: how often it is played at most.
    """
    kept, parts = list(faults), 2
    while len(kept) > 1 and tries > 0:
        size = -(-len(kept) // parts)
        for at in range(0, len(kept), size):
            tries -= 1
            less = kept[:at] + kept[at + size :]
            if less and fails(less):
                kept, parts = less, max(2, parts - 1)
                break
            if tries <= 0:
                return kept
        else:
            if size == 1:
                return kept
            parts = min(len(kept), parts * 2)
    return kept
