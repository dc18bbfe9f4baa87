"""Processes of a stand: a router, a ledger, any command; with clocks that are off and guards taken out.

python -m quartzrouter.stand.child PAGE router PLAN [GUARD...]
python -m quartzrouter.stand.child PAGE ledger FOLDER HOST:PORT GRACE_US PLAN|- STANDBY|- [GUARD...]
python -m quartzrouter.stand.child PAGE keeper PLAN NAME FOLDER|- [GUARD...]
python -m quartzrouter.stand.child PAGE claimant PLAN TASK NAME WITNESS_PORT [GUARD...]
python -m quartzrouter.stand.child PAGE cli ARGUMENT...
"""

import sys

import anyio

from quartzrouter.briefing import address
from quartzrouter.net import serve as net
from quartzrouter.net.loop import LOOP
from quartzrouter.stand.clocks import clocks


def main(page: str, what: str, *told: str) -> int:
    wall, even = clocks(page)
    net.clock, net.steady = wall, even
    if what == "cli":
        from quartzrouter.cli.main import cli

        return cli(list(told))
    from quartzrouter.site.logs import Structured, logger

    if what == "ledger":
        from quartzrouter.cli.ledger import budgets_of
        from quartzrouter.ledger import serve

        folder, listen, grace, plan, standby, *guards = told
        _take_out(guards, wall)
        report, granted = Structured("ledger", wall, logger()), budgets_of(plan) if plan != "-" else None
        beside = address(standby, "standby") if standby != "-" else None
        told = (folder, address(listen, "listen"), int(grace), report, beside, wall, granted, even)
        return anyio.run(serve.serve, *told, backend_options=LOOP)
    if what == "keeper":
        from quartzrouter.cli.keeper import reader
        from quartzrouter.keeper import serve as keeper
        from quartzrouter.keeper.numbers import Numbers

        path, name, folder, *guards = told
        _take_out(guards, wall)
        report = Structured(name, wall, logger())
        numbers = Numbers(folder, name, lambda said: report.say("lease", said)) if folder != "-" else None
        anyio.run(keeper.serve, name, reader(path, name), report, numbers, even, backend_options=LOOP)
        return 0
    if what == "claimant":
        from quartzrouter.stand.witness import claimant

        path, task, name, port, *guards = told
        _take_out(guards, wall)
        report = Structured(name, wall, logger())
        anyio.run(claimant, path, task, name, int(port), report, even, wall, backend_options=LOOP)
        return 0
    from quartzrouter.plan.load import load
    from quartzrouter.site import serve as site

    path, *guards = told
    _take_out(guards, wall)
    return site.run(path, load(path).plan, logger("info", "json"))


def _take_out(names: list[str], wall) -> None:
    from quartzrouter.stand import guards

    guards.clock_of_the_process = wall
    for name in names:
        setattr(*guards.GUARDS[name])


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
