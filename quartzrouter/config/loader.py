"""A plan from files to a checked Plan, with all that is wrong with it."""

import gc
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from quartzrouter.config.builder import PlanBuilder
from quartzrouter.config.evaluator import Evaluation, Loader, Unreadable
from quartzrouter.config.keys import PLAN
from quartzrouter.config.model import Plan
from quartzrouter.config.parser import TEXT_MOST
from quartzrouter.config.problems import Broken, Faults, Place, Source
from quartzrouter.config.schema import INVALID, PlanCheck
from quartzrouter.config.shadowing import check_routes
from quartzrouter.config.values import POISON, Slot


@dataclass
class Loaded:
    plan: Plan | None  # None where it has errors
    faults: Faults
    value: object  # as evaluated
    sources: list[Source]


def from_disk(stdin: str | None = None) -> Loader:
    """Reads files; `-` is what came on standard input."""

    def load(path: str) -> str:
        if path == "-" and stdin is not None:
            return stdin
        try:
            data = Path(path).read_bytes() if _fits(path) else b""
        except IsADirectoryError:
            raise Unreadable("is a folder, not a file") from None
        except FileNotFoundError:
            raise Unreadable("there is no such file") from None
        except (OSError, ValueError) as error:
            raise Unreadable(f"can't be read: {getattr(error, 'strerror', None) or error}") from None
        try:
            return data.decode()
        except UnicodeDecodeError as error:
            raise Unreadable(f"is not UTF-8 at byte {error.start}") from None

    return load


def _fits(path: str) -> bool:
    if Path(path).is_file() and Path(path).stat().st_size > TEXT_MOST:
        raise Unreadable(f"is larger than {TEXT_MOST >> 20} MiB")
    return True


@contextmanager
def _uncollected():
    """Without the collector, which would walk all that is made again and again: a third of the time."""
    on = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if on:
            gc.enable()


def load(path: str, read: Loader | None = None) -> Loaded:
    """Reads, evaluates and checks a plan; raises nothing for what is wrong with it."""
    with _uncollected():
        return _load(path, read)


def _load(path: str, read: Loader | None) -> Loaded:
    faults = Faults()
    evaluation = Evaluation(read or from_disk(), faults)
    try:
        value = evaluation.file(path)
    except Broken as error:
        faults.add(error.fault)
        value = POISON
    sources = evaluation.sources
    if value is POISON:
        return Loaded(None, faults, value, sources)
    check = PlanCheck(faults)
    start = Place(sources[0], 1, 1)
    check.places[()] = start
    told = PLAN.convert(check, (), Slot(value, start))
    plan = None
    if told is not INVALID:
        plan = PlanBuilder(told, check).build()
    if plan is not None:
        check_routes(plan, check)
        plan = None if faults.errors else plan
    return Loaded(plan, faults, value, sources)
