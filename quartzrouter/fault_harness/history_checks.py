"""Checks of a history against budgets and leases: what happened at caches and at the witness."""

from bisect import bisect_right, insort
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf

from quartzrouter.fault_harness.history import History, HistoryEvent
from quartzrouter.quota.budget import SECOND, Budget

# us by which an action that was already sent may reach the witness after its process was stopped
MAX_TRANSIT = 50_000


def peak_in_flight(history: History, prefix: str, since: int = 0) -> tuple[int, int]:
    """Returns the most requests that caches were handling at once, and when that was.

    A request that several caches handle counts once.

    :param prefix: of the paths that count.
    :param since: us; earlier peaks don't count.
    :returns: the number, and the time in us.
    """
    changes: list[tuple[int, int, str]] = []
    for event in history.events_of("arrive", "leave"):
        if event.details["path"].startswith(prefix):
            changes.append((event.time, 1 if event.kind == "arrive" else -1, event.details["path"]))
    in_flight: dict[str, int] = {}
    peak, peak_time = 0, 0
    for time, change, path in sorted(changes):  # in the same us, requests end before others arrive
        in_flight[path] = in_flight.get(path, 0) + change
        if not in_flight[path]:
            del in_flight[path]
        if len(in_flight) > peak and time >= since:
            peak, peak_time = len(in_flight), time
    return peak, peak_time


def admission_intervals(history: History, prefix: str) -> list[tuple[int, int]]:
    """Returns the interval within which the router admitted each request that reached a cache.

    :param prefix: of the paths that count.
    :returns: for each, us when its client sent it and when it first arrived at a cache.
    """
    arrived: dict[str, int] = {}
    for event in history.events_of("arrive"):
        if event.details["path"].startswith(prefix):
            arrived.setdefault(event.details["path"], event.time)
    sent = {event.details["path"]: event.time for event in history.events_of("send")}
    return [(sent[path], time) for path, time in arrived.items() if path in sent]


def max_budget_excess(requests: Iterable[tuple[int, int]], budget: Budget) -> tuple[float, int, int]:
    """Returns by how many requests the worst window exceeds the budget.

    A window counts the requests that were certainly admitted in it: sent and arrived within it.

    :param requests: as of ``admission_intervals``.
    :returns: the excess, and begin and end of that window in us.
    """
    burst = budget.max_use(0)
    rate = (budget.max_use(SECOND) - burst) / SECOND
    worst, window = -burst, (0, 0)
    arrivals: list[int] = []  # of requests that were sent at the window's begin or later
    for sent, arrived in sorted(requests, reverse=True):
        insort(arrivals, arrived)
        for count, end in enumerate(arrivals, 1):
            if (excess := count - burst - rate * (end - sent)) > worst:
                worst, window = excess, (sent, end)
    return worst, *window


def count_by_status(history: History, prefix: str, since: int, until: int) -> dict[str, int]:
    """Counts responses by status, for requests that were sent in a time; `none` counts those without one.

    :param prefix: of the paths that count.
    :param since: us.
    :param until: us.
    """
    counts: dict[str, int] = {}
    ended = {event.details["path"]: event.details["status"] for event in history.events_of("end")}
    for event in history.events_of("send"):
        path = event.details["path"]
        if path.startswith(prefix) and since <= event.time < until:
            status = ended.get(path, "none")
            counts[status] = counts.get(status, 0) + 1
    return counts


def unanswered(history: History, within: int) -> list[HistoryEvent]:
    """Returns the requests that had no response in time, as their "send" events.

    A request whose connection ended because its router was killed isn't among them.

    :param within: us.
    """
    ended = {event.details["path"]: event.time for event in history.events_of("end", "cut")}
    last = history.events[-1].time
    return [
        event
        for event in history.events_of("send")
        if ended.get(event.details["path"], last) - event.time > within
    ]


@dataclass
class Action:
    """An action that the witness accepted.

    :param actor: the process that acted.
    :param began_at: us when it reached the witness.
    :param sent_at: us when its message left the process; it may be delayed on its way.
    :param ended_at: us; None if no end reached the witness.
    """

    actor: str
    fencing_token: int
    began_at: int
    sent_at: int
    ended_at: int | None = None


def actions(history: History) -> list[Action]:
    """Returns all actions that the witness accepted, in their order."""
    accepted: list[Action] = []
    current: dict[str, Action] = {}
    last_sent: dict[str, int] = {}
    for event in history.events_of("call", "begin", "finish"):
        if event.kind == "call":
            last_sent[event.actor] = event.time
        elif event.kind == "begin":
            sent_at = last_sent.get(event.actor, event.time)
            current[event.actor] = Action(event.actor, event.details["number"], event.time, sent_at)
            accepted.append(current[event.actor])
        elif (action := current.pop(event.actor, None)) and action.fencing_token == event.details["number"]:
            action.ended_at = event.time
    return accepted


def overlapping_actions(history: History, max_duration: int) -> list[tuple[Action, Action]]:
    """Returns pairs of actions of which the second began while the first was in progress.

    A pair doesn't count if the first one's process was stopped or killed meanwhile: it can't end its action,
    and what it sends afterwards is rejected by its fencing token.

    :param max_duration: us that an action may take; a second action that took longer to reach the witness was
        delayed on its way, or had no CPU, which is a stop as well, and doesn't count.
    """
    interruptions: dict[str, list[int]] = {}
    for event in history.events_of("stop", "kill"):
        interruptions.setdefault(event.actor, []).append(event.time)
    overlapping, unfinished = [], []
    for action in actions(history):
        unfinished = [each for each in unfinished if each.ended_at is None or each.ended_at > action.began_at]
        for each in unfinished:
            interrupted_at = interruptions.get(each.actor, ())
            is_interrupted = any(
                each.began_at - MAX_TRANSIT <= time <= action.began_at for time in interrupted_at
            )
            if (
                each.actor != action.actor
                and not is_interrupted
                and action.began_at - each.sent_at <= max_duration
            ):
                overlapping.append((each, action))
        unfinished = [action]
    return overlapping


def decreasing_tokens(history: History) -> list[tuple[Action, Action]]:
    """Returns each action with a lower fencing token than an earlier one, behind that earlier one."""
    decreasing: list[tuple[Action, Action]] = []
    highest: Action | None = None
    for action in actions(history):
        if highest and action.fencing_token < highest.fencing_token:
            decreasing.append((highest, action))
        elif highest is None or action.fencing_token > highest.fencing_token:
            highest = action
    return decreasing


def idle_times(history: History, since: int, until: int) -> list[int]:
    """Returns the times between the end of one action and the begin of the next, in us.

    An action without an end counts as ended when it began.

    :param since: us.
    :param until: us.
    """
    times, last = [], since
    for action in actions(history):
        if action.began_at >= since:
            if last >= since and action.began_at <= until:
                times.append(max(0, action.began_at - last))
            last = max(last, action.ended_at or action.began_at)
    times.append(max(0, until - last))
    return times


def max_window_excess(
    times: Iterable[int], window: int, max_requests: Callable[[int], float]
) -> tuple[float, int]:
    """Returns by how many requests the worst window exceeds what a server may be sent.

    :param times: of requests, us.
    :param window: its length in us.
    :param max_requests: returns how many may come in a window, by the window's end in us.
    :returns: the excess, and the end of that window in us.
    """
    worst, worst_end, in_window = -inf, 0, deque()
    for time in sorted(times):
        in_window.append(time)
        while in_window[0] <= time - window:
            in_window.popleft()
        if (excess := len(in_window) - max_requests(time)) > worst:
            worst, worst_end = excess, time
    return worst, worst_end


def arrival_rate(requests: list[tuple[int, int]], since: int, until: int) -> float:
    """Returns requests per second that arrived in a time.

    :param requests: as of ``admission_intervals``.
    :param since: us.
    :param until: us.
    """
    times = sorted(arrived for _, arrived in requests)
    return (bisect_right(times, until) - bisect_right(times, since)) / ((until - since) / SECOND)
