"""Loads a plan: reads and evaluates its files, checks the result and builds a Plan, or lists its faults."""

import gc
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from quartzrouter.config.builder import PlanBuilder
from quartzrouter.config.evaluator import Evaluation, Loader, Unreadable
from quartzrouter.config.keys import PLAN
from quartzrouter.config.model import Plan
from quartzrouter.config.parser import MAX_FILE_BYTES
from quartzrouter.config.problems import Faults, Place, PlanError, Source
from quartzrouter.config.schema import INVALID, PlanCheck
from quartzrouter.config.shadowing import check_routes
from quartzrouter.config.values import POISON, Slot


@dataclass
class LoadResult:
    """What loading a plan gave.

    :param plan: None if it has errors.
    :param value: the plan as evaluated, before its check; POISON if the evaluation failed.
    :param sources: the files of the plan; its main file is the first.
    """

    plan: Plan | None
    faults: Faults
    value: object
    sources: list[Source]


def disk_loader(stdin: str | None = None) -> Loader:
    """Returns a function that reads files.

    :param stdin: the text that the path `-` stands for; None if `-` is a file like any other.
    """

    def load(path: str) -> str:
        if path == "-" and stdin is not None:
            return stdin
        try:
            data = Path(path).read_bytes() if _is_small_enough(path) else b""
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


def _is_small_enough(path: str) -> bool:
    """Returns True, or raises ``Unreadable`` for a file that is too large."""
    if Path(path).is_file() and Path(path).stat().st_size > MAX_FILE_BYTES:
        raise Unreadable(f"is larger than {MAX_FILE_BYTES >> 20} MiB")
    return True


@contextmanager
def _garbage_collection_paused():
    """Pauses the garbage collector, which would take a third of the time to traverse the growing plan."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def load(path: str, read: Loader | None = None) -> LoadResult:
    """Reads, evaluates and checks a plan; its faults are part of the result and raise no exception.

    :param read: returns the text of a file; reads from the disk if left out.
    """
    with _garbage_collection_paused():
        return _load(path, read)


def _load(path: str, read: Loader | None) -> LoadResult:
    faults = Faults()
    evaluation = Evaluation(read or disk_loader(), faults)
    try:
        value = evaluation.file(path)
    except PlanError as error:
        faults.add(error.fault)
        value = POISON
    sources = evaluation.sources
    if value is POISON:
        return LoadResult(None, faults, value, sources)
    check = PlanCheck(faults)
    start = Place(sources[0], 1, 1)
    check.places[()] = start
    load_plan_or_exit = PLAN.convert(check, (), Slot(value, start))
    plan = None
    if load_plan_or_exit is not INVALID:
        plan = PlanBuilder(load_plan_or_exit, check).build()
    if plan is not None:
        check_routes(plan, check)
        plan = None if faults.errors else plan
    return LoadResult(plan, faults, value, sources)
