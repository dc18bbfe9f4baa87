"""What every host of the decisions keeps: the reqs in hand, what is on hold, and when to ask wait() again.

The drill and the real router fill in how a dispatch, a final answer, a probe or a timer is brought about.
"""

from quartzrouter.routing.model import AttemptResult, Decision, Defer, Fail, Forward, Reject, Request
from quartzrouter.routing.router import Router

MAINTENANCE_TIMER = 0  # the tag of the timer for wait(); reqs on hold have tags from 1


class RouterDriver:
    def __init__(self, router: Router):
        self.router = router
        self.reqs: dict[int, Request] = {}
        self.held: dict[int, int] = {}  # timer tag: req id
        self.tags = MAINTENANCE_TIMER
        self.wait_due: int | None = None

    # -- to be filled in ---------------------------------------------------------------------------

    def dispatch(self, req_id: int, answer: Forward, now: int) -> None:
        raise NotImplementedError

    def call_off(self, req_id: int, hop: int, now: int) -> None:
        raise NotImplementedError

    def deny(self, req_id: int, come_back: int) -> None:
        raise NotImplementedError

    def abort(self, req_id: int) -> None:
        raise NotImplementedError

    def probe(self, name: str, timeout: int) -> None:
        raise NotImplementedError

    def subscribe(self) -> None:
        raise NotImplementedError

    def timer(self, due: int, now: int, tag: int) -> None:
        raise NotImplementedError

    # -- shared ------------------------------------------------------------------------------------

    def take(self, req: Request, now: int) -> None:
        self.reqs[req.id] = req
        self.carry_out(req.id, self.router.route(req, now), now)

    def ended(self, req_id: int, outcome: AttemptResult, now: int) -> None:
        answer = self.router.attempt_finished(req_id, outcome, now)
        if outcome.final:
            self.reqs.pop(req_id, None)
        self.carry_out(req_id, answer, now)

    def left(self, req_id: int, now: int) -> None:
        self.reqs.pop(req_id, None)
        hop = self.router.cancel_request(req_id)
        if hop is not None:
            self.call_off(req_id, hop, now)

    def fired(self, tag: int, now: int) -> None:
        req = self.reqs.get(self.held.pop(tag, -1))
        if req is not None:
            self.carry_out(req.id, self.router.route(req, now), now)

    def ask_wait(self, now: int) -> None:
        """Asks how long to wait, and keeps one timer for it."""
        wait = self.router.maintenance(now)
        for name in wait.probes:
            self.probe(name, wait.probe_timeout)
        if wait.subscribe:
            self.subscribe()
        if self.wait_due is None or self.wait_due <= now or now + wait.time < self.wait_due:
            self.wait_due = now + wait.time
            self.timer(self.wait_due, now, MAINTENANCE_TIMER)

    def carry_out(self, req_id: int, answer: Decision | None, now: int) -> None:
        match answer:
            case Forward():
                self.dispatch(req_id, answer, now)
            case Defer(delay=time):
                self.tags += 1
                self.held[self.tags] = req_id
                self.timer(now + time, now, self.tags)
            case Reject(retry_after=time):
                self.reqs.pop(req_id, None)
                self.deny(req_id, time)
            case Fail():
                self.reqs.pop(req_id, None)
                self.abort(req_id)
