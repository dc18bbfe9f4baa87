"""Schedules of faults: drawn from a seed, stored, played, and shrunk while they still make a check fail."""

import random
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import anyio
import msgspec


class Fault(msgspec.Struct, frozen=True):
    """One fault; stored as a JSON line.

    :param at_ms: when it starts, in ms after the start of the schedule.
    :param kind: one of the kinds that the fleet supports.
    :param target: the name of what it affects.
    :param duration_ms: how long it lasts.
    :param amount: its size, in a unit that depends on the kind.
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
    """Draws a schedule of random faults.

    :param kinds: by kind: possible targets, least and most duration in ms, and possible amounts.
    :param faults: how many to draw.
    :param until: ms after the start by which each fault has ended.
    """
    drawn = []
    while len(drawn) < faults:
        kind = chance.choice(list(kinds))
        targets, (shortest, longest), amounts = kinds[kind]
        duration = chance.randint(shortest, longest)
        at_ms = chance.randint(0, max(0, until - duration))
        drawn.append(Fault(at_ms, kind, chance.choice(list(targets)), duration, chance.choice(list(amounts))))
    return sorted(drawn, key=lambda fault: fault.at_ms)


def write(path: Path, faults: Sequence[Fault]) -> None:
    """Writes a schedule, one JSON object per line."""
    path.write_bytes(b"".join(msgspec.json.encode(each) + b"\n" for each in faults))


def read(path: Path) -> list[Fault]:
    """Reads a schedule.

    :raises OSError: if the file can't be read.
    :raises msgspec.ValidationError: if a line isn't a fault.
    :raises msgspec.DecodeError: if a line isn't JSON.
    """
    return [msgspec.json.decode(line, type=Fault) for line in path.read_bytes().splitlines() if line.strip()]


async def play(faults: Sequence[Fault], inject: Callable[[Fault], Awaitable[None]]) -> None:
    """Injects each fault at its time; returns when all have ended.

    :param inject: starts a fault, waits for its duration and ends it.
    """
    began = anyio.current_time()

    async def play_one(fault: Fault) -> None:
        await anyio.sleep(max(0.0, began + fault.at_ms / 1000 - anyio.current_time()))
        await inject(fault)

    async with anyio.create_task_group() as tasks:
        for fault in faults:
            tasks.start_soon(play_one, fault)


def shrink(
    faults: Sequence[Fault], fails: Callable[[Sequence[Fault]], bool], max_plays: int = 64
) -> list[Fault]:
    """Finds a shorter schedule that still fails, by leaving out parts of it (Zeller's delta debugging).

    :param fails: plays a schedule and returns True if a check failed.
    :param max_plays: how often a schedule is played at most.
    """
    kept, parts = list(faults), 2
    while len(kept) > 1 and max_plays > 0:
        part_size = -(-len(kept) // parts)
        for start in range(0, len(kept), part_size):
            max_plays -= 1
            shorter = kept[:start] + kept[start + part_size :]
            if shorter and fails(shorter):
                kept, parts = shorter, max(2, parts - 1)
                break
            if max_plays <= 0:
                return kept
        else:
            if part_size == 1:
                return kept
            parts = min(len(kept), parts * 2)
    return kept
