"""What a history shows of budgets: how much was in use, at the caches, whatever any process believes."""

from bisect import bisect_right, insort
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf

from quartzrouter.fault_harness.history import History, HistoryEvent
from quartzrouter.quota.budget import SECOND, Budget

HALT = 50_000  # us by which an act may reach its witness after its process was stopped: it was on its way


def peak_in_flight(history: History, prefix: str, since: int = 0) -> tuple[int, int]:
    """The most reqs that were at caches at a time from then on, each req once, and when (us)."""
    steps: list[tuple[int, int, str]] = []
    for event in history.events_of("arrive", "leave"):
        if event.details["path"].startswith(prefix):
            steps.append((event.time, 1 if event.kind == "arrive" else -1, event.details["path"]))
    here: dict[str, int] = {}
    most, when = 0, 0
    for at, step, path in sorted(steps):  # at the same us those that leave go first
        here[path] = here.get(path, 0) + step
        if not here[path]:
            del here[path]
        if len(here) > most and at >= since:
            most, when = len(here), at
    return most, when


def admission_intervals(history: History, prefix: str) -> list[tuple[int, int]]:
    """For each req that reached a cache: us when its client sent it, and when it first arrived there.

    Its router let it through in between.
    """
    arrived: dict[str, int] = {}
    for event in history.events_of("arrive"):
        if event.details["path"].startswith(prefix):
            arrived.setdefault(event.details["path"], event.time)
    sent = {event.details["path"]: event.time for event in history.events_of("send")}
    return [(sent[path], at) for path, at in arrived.items() if path in sent]


def max_budget_excess(reqs: Iterable[tuple[int, int]], budget: Budget) -> tuple[float, int, int]:
    """By how many reqs the worst window had more than the budget allows, and that window in us.

    Counted in a window are those that were surely let through in it: sent and arrived within it.
    """
    least = budget.max_use(0)
    slope = (budget.max_use(SECOND) - least) / SECOND
    worst, window = -least, (0, 0)
    later: list[int] = []  # arrivals of reqs that were sent at a window's start or after
    for sent, arrived in sorted(reqs, reverse=True):
        insort(later, arrived)
        for count, end in enumerate(later, 1):
            if (excess := count - least - slope * (end - sent)) > worst:
                worst, window = excess, (sent, end)
    return worst, *window


def count_by_status(history: History, prefix: str, since: int, until: int) -> dict[str, int]:
    """How reqs ended that were sent in that time, by status; `none` for those without an answer."""
    found: dict[str, int] = {}
    ended = {event.details["path"]: event.details["status"] for event in history.events_of("end")}
    for event in history.events_of("send"):
        path = event.details["path"]
        if path.startswith(prefix) and since <= event.time < until:
            status = ended.get(path, "none")
            found[status] = found.get(status, 0) + 1
    return found


def unanswered(history: History, within: int) -> list[HistoryEvent]:
    """Reqs without an answer in time; not those whose connection ended with their router."""
    ended = {event.details["path"]: event.time for event in history.events_of("end", "cut")}
    last = history.events[-1].time
    return [
        event
        for event in history.events_of("send")
        if ended.get(event.details["path"], last) - event.time > within
    ]


@dataclass
class Action:
    """An act that its witness took: us of its begin and end, None where no end came.

    :param sent_at: us when its word left its process; it may be late on its way.
    """

    actor: str
    fencing_token: int
    began_at: int
    sent_at: int
    ended_at: int | None = None


def actions(history: History) -> list[Action]:
    """All that a witness took, in their order."""
    found: list[Action] = []
    under_way: dict[str, Action] = {}
    called: dict[str, int] = {}
    for event in history.events_of("call", "begin", "finish"):
        if event.kind == "call":
            called[event.actor] = event.time
        elif event.kind == "begin":
            left = called.get(event.actor, event.time)
            under_way[event.actor] = Action(event.actor, event.details["number"], event.time, left)
            found.append(under_way[event.actor])
        elif (act := under_way.pop(event.actor, None)) and act.fencing_token == event.details["number"]:
            act.ended_at = event.time
    return found


def overlapping_actions(history: History, most: int) -> list[tuple[Action, Action]]:
    """Acts that began while another's was under way; not where the other's process was stopped or dead.

    Whoever is stopped in the middle of an act can't end it; what it says afterwards is refused by its number.

    :param most: us that an act may take; one that takes longer had no CPU, which is a stop as well, or was
        late on its way.
    """
    halted: dict[str, list[int]] = {}
    for event in history.events_of("stop", "kill"):
        halted.setdefault(event.actor, []).append(event.time)
    found, open_ = [], []
    for act in actions(history):
        open_ = [each for each in open_ if each.ended_at is None or each.ended_at > act.began_at]
        for each in open_:
            halts = halted.get(each.actor, ())
            broken_off = any(each.began_at - HALT <= at <= act.began_at for at in halts)
            if each.actor != act.actor and not broken_off and act.began_at - each.sent_at <= most:
                found.append((each, act))
        open_ = [act]
    return found


def decreasing_tokens(history: History) -> list[tuple[Action, Action]]:
    """Acts of a lower number than one before them, with that one."""
    found: list[tuple[Action, Action]] = []
    highest: Action | None = None
    for act in actions(history):
        if highest and act.fencing_token < highest.fencing_token:
            found.append((highest, act))
        elif highest is None or act.fencing_token > highest.fencing_token:
            highest = act
    return found


def idle_times(history: History, since: int, until: int) -> list[int]:
    """us between the end of acts and the begin of the next, in that time; without end, from its begin."""
    found, last = [], since
    for act in actions(history):
        if act.began_at >= since:
            if last >= since and act.began_at <= until:
                found.append(max(0, act.began_at - last))
            last = max(last, act.ended_at or act.began_at)
    found.append(max(0, until - last))
    return found


def max_window_excess(times: Iterable[int], window: int, most: Callable[[int], float]) -> tuple[float, int]:
    """By how many reqs the worst window had more than a server may be sent, and when that window ended (us).

    :param most: reqs that may come in a window which ends then.
    """
    worst, when, lately = -inf, 0, deque()
    for at in sorted(times):
        lately.append(at)
        while lately[0] <= at - window:
            lately.popleft()
        if (excess := len(lately) - most(at)) > worst:
            worst, when = excess, at
    return worst, when


def arrival_rate(reqs: list[tuple[int, int]], since: int, until: int) -> float:
    """Reqs a second that arrived in that time."""
    times = sorted(at for _, at in reqs)
    return (bisect_right(times, until) - bisect_right(times, since)) / ((until - since) / SECOND)
