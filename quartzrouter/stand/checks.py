"""What a history shows of budgets: how much was in use, at the caches, whatever any process believes."""

from bisect import bisect_right, insort
from collections.abc import Iterable

from quartzrouter.sharing.budget import Budget, S
from quartzrouter.stand.history import Event, History


def in_hand(history: History, prefix: str, since: int = 0) -> tuple[int, int]:
    """The most reqs that were at caches at a time from then on, each req once, and when (us)."""
    steps: list[tuple[int, int, str]] = []
    for event in history.of("arrive", "leave"):
        if event.told["path"].startswith(prefix):
            steps.append((event.at, 1 if event.what == "arrive" else -1, event.told["path"]))
    here: dict[str, int] = {}
    most, when = 0, 0
    for at, step, path in sorted(steps):  # at the same us those that leave go first
        here[path] = here.get(path, 0) + step
        if not here[path]:
            del here[path]
        if len(here) > most and at >= since:
            most, when = len(here), at
    return most, when


def let_through(history: History, prefix: str) -> list[tuple[int, int]]:
    """For each req that reached a cache: us when its client sent it, and when it first arrived there.

    Its router let it through in between.
    """
    arrived: dict[str, int] = {}
    for event in history.of("arrive"):
        if event.told["path"].startswith(prefix):
            arrived.setdefault(event.told["path"], event.at)
    sent = {event.told["path"]: event.at for event in history.of("send")}
    return [(sent[path], at) for path, at in arrived.items() if path in sent]


def over(reqs: Iterable[tuple[int, int]], budget: Budget) -> tuple[float, int, int]:
    """By how many reqs the worst window had more than the budget allows, and that window in us.

    Counted in a window are those that were surely let through in it: sent and arrived within it.
    """
    least = budget.most(0)
    slope = (budget.most(S) - least) / S
    worst, window = -least, (0, 0)
    later: list[int] = []  # arrivals of reqs that were sent at a window's start or after
    for sent, arrived in sorted(reqs, reverse=True):
        insort(later, arrived)
        for count, end in enumerate(later, 1):
            if (excess := count - least - slope * (end - sent)) > worst:
                worst, window = excess, (sent, end)
    return worst, *window


def answers(history: History, prefix: str, since: int, until: int) -> dict[str, int]:
    """How reqs ended that were sent in that time, by status; `none` for those without an answer."""
    found: dict[str, int] = {}
    ended = {event.told["path"]: event.told["status"] for event in history.of("end")}
    for event in history.of("send"):
        path = event.told["path"]
        if path.startswith(prefix) and since <= event.at < until:
            status = ended.get(path, "none")
            found[status] = found.get(status, 0) + 1
    return found


def unanswered(history: History, within: int) -> list[Event]:
    """Reqs without an answer in time; not those whose connection ended with their router."""
    ended = {event.told["path"]: event.at for event in history.of("end", "cut")}
    last = history.events[-1].at
    return [event for event in history.of("send") if ended.get(event.told["path"], last) - event.at > within]


def rate(reqs: list[tuple[int, int]], since: int, until: int) -> float:
    """Reqs a second that arrived in that time."""
    times = sorted(at for _, at in reqs)
    return (bisect_right(times, until) - bisect_right(times, since)) / ((until - since) / S)
