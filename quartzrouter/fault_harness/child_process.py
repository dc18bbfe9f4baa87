"""Processes of a stand: a router, a ledger, any command; with clocks that are off and guards taken out.

python -m quartzrouter.fault_harness.child_process PAGE router PLAN [GUARD...]
python -m quartzrouter.fault_harness.child_process PAGE ledger FOLDER HOST:PORT GRACE_US
    PLAN|- STANDBY|- [GUARD...]
python -m quartzrouter.fault_harness.child_process PAGE keeper PLAN NAME FOLDER|- [GUARD...]
python -m quartzrouter.fault_harness.child_process PAGE claimant PLAN TASK NAME WITNESS_PORT [GUARD...]
python -m quartzrouter.fault_harness.child_process PAGE cli ARGUMENT...
"""

import sys

import anyio

from quartzrouter.configuration_section import parse_address
from quartzrouter.fault_harness.skewed_clocks import open_clocks
from quartzrouter.server import process as net
from quartzrouter.server.event_loop import BACKEND_OPTIONS


def main(page: str, what: str, *told: str) -> int:
    wall, even = open_clocks(page)
    net.wall_clock, net.steady_clock = wall, even
    if what == "cli":
        from quartzrouter.cli.main import cli

        return cli(list(told))
    from quartzrouter.standalone.structured_log import StructuredLog, logger

    if what == "ledger":
        from quartzrouter.cli.ledger import budget_reader
        from quartzrouter.purge_log import process

        folder, listen, grace, plan, standby, *guards = told
        _take_out(guards, wall)
        report, granted = (
            StructuredLog("ledger", wall, logger()),
            budget_reader(plan) if plan != "-" else None,
        )
        beside = parse_address(standby, "standby") if standby != "-" else None
        told = (folder, parse_address(listen, "listen"), int(grace), report, beside, wall, granted, even)
        return anyio.run(process.serve, *told, backend_options=BACKEND_OPTIONS)
    if what == "keeper":
        from quartzrouter.cli.keeper import terms_reader
        from quartzrouter.lease_service import server as keeper
        from quartzrouter.lease_service.token_storage import TokenStorage

        path, name, folder, *guards = told
        _take_out(guards, wall)
        report = StructuredLog(name, wall, logger())
        numbers = (
            TokenStorage(folder, name, lambda said: report.say("lease", said)) if folder != "-" else None
        )
        anyio.run(
            keeper.serve,
            name,
            terms_reader(path, name),
            report,
            numbers,
            even,
            backend_options=BACKEND_OPTIONS,
        )
        return 0
    if what == "claimant":
        from quartzrouter.fault_harness.witness import claimant

        path, task, name, port, *guards = told
        _take_out(guards, wall)
        report = StructuredLog(name, wall, logger())
        anyio.run(claimant, path, task, name, int(port), report, even, wall, backend_options=BACKEND_OPTIONS)
        return 0
    from quartzrouter.config.loader import load
    from quartzrouter.standalone import process as site

    path, *guards = told
    _take_out(guards, wall)
    return site.run(path, load(path).plan, logger("info", "json"))


def _take_out(names: list[str], wall) -> None:
    from quartzrouter.fault_harness import mutations, quota_mutations

    quota_mutations.process_wall_clock = wall
    for name in names:
        setattr(*mutations.MUTATIONS[name])


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
