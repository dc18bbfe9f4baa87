"""Processes of a rehearsal: a ledger whose clock is off, and a router with one of its guards taken out.

python -m quartzrouter.rehearse.child ledger FOLDER HOST:PORT GRACE_US SKEW_US
python -m quartzrouter.rehearse.child router PLAN [GUARD]
"""

import sys

import anyio

from quartzrouter.net.serve import LOOP, clock
from quartzrouter.purges.fleet import Fleet
from quartzrouter.purges.lease import Lease
from quartzrouter.purges.marks import Marks
from quartzrouter.site.logs import Structured, logger
from quartzrouter.site.purges import address


def _without_lease() -> None:
    Lease.bound = lambda self, now: 0


def _without_judge() -> None:
    Fleet.good = lambda self, *arguments: True


def _without_marks() -> None:
    Marks.newest = lambda self, asked, tags, store, above=0: above


def _without_trust() -> None:
    Fleet.trusted = lambda self, held_by: True


def _without_dispatch_bound() -> None:
    Fleet.oldest = lambda self, asked, store, held_by, usual, now: usual


GUARDS = {
    "lease": _without_lease, "judge": _without_judge, "marks": _without_marks, "trust": _without_trust,
    "bound": _without_dispatch_bound,
}  # fmt: skip


def main(what: str, *told: str) -> int:
    if what == "ledger":
        from quartzrouter.ledger import serve

        folder, listen, grace, skew = told
        report, off = Structured("ledger", clock, logger()), int(skew)
        told = (folder, address(listen), int(grace), report, None, lambda: clock() + off)
        return anyio.run(serve.serve, *told, backend_options=LOOP)
    from quartzrouter.plan.load import load
    from quartzrouter.site import serve as site

    path, *guards = told
    for guard in guards:
        GUARDS[guard]()
    return site.run(path, load(path).plan, logger("info", "json"))


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
