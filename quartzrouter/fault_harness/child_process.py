"""Entry point of a fleet's processes: runs one with skewed clocks and with mutations applied.

python -m quartzrouter.fault_harness.child_process PAGE router PLAN [MUTATION...]
python -m quartzrouter.fault_harness.child_process PAGE ledger FOLDER HOST:PORT GRACE_US
    PLAN|- STANDBY|- [MUTATION...]
python -m quartzrouter.fault_harness.child_process PAGE keeper PLAN NAME FOLDER|- [MUTATION...]
python -m quartzrouter.fault_harness.child_process PAGE claimant PLAN TASK NAME WITNESS_PORT [MUTATION...]
python -m quartzrouter.fault_harness.child_process PAGE cli ARGUMENT...
"""

import sys

import anyio

from quartzrouter.configuration_section import parse_address
from quartzrouter.fault_harness.skewed_clocks import open_clocks
from quartzrouter.server import process as server_process
from quartzrouter.server.event_loop import BACKEND_OPTIONS


def main(clock_page: str, process_kind: str, *arguments: str) -> int:
    """Runs a process until it ends.

    :param clock_page: path of the file that sets the process's clocks, see ``skewed_clocks``.
    :param process_kind: "router", "ledger", "keeper", "claimant" or "cli".
    :param arguments: as the module's docstring lists them for each kind.
    :returns: the exit status.
    """
    wall, steady = open_clocks(clock_page)
    server_process.wall_clock, server_process.steady_clock = wall, steady
    if process_kind == "cli":
        from quartzrouter.cli.main import cli

        return cli(list(arguments))
    from quartzrouter.standalone.structured_log import StructuredLog, logger

    if process_kind == "ledger":
        from quartzrouter.cli.ledger import budget_reader
        from quartzrouter.purge_log import process

        folder, listen, grace, plan, standby, *mutation_names = arguments
        _apply_mutations(mutation_names, wall)
        report, read_budgets = (
            StructuredLog("ledger", wall, logger()),
            budget_reader(plan) if plan != "-" else None,
        )
        standby_of = parse_address(standby, "standby") if standby != "-" else None
        arguments = (
            folder,
            parse_address(listen, "listen"),
            int(grace),
            report,
            standby_of,
            wall,
            read_budgets,
            steady,
        )
        return anyio.run(process.serve, *arguments, backend_options=BACKEND_OPTIONS)
    if process_kind == "keeper":
        from quartzrouter.cli.keeper import terms_reader
        from quartzrouter.lease_service import server as keeper
        from quartzrouter.lease_service.token_storage import TokenStorage

        path, name, folder, *mutation_names = arguments
        _apply_mutations(mutation_names, wall)
        report = StructuredLog(name, wall, logger())
        token_storage = (
            TokenStorage(folder, name, lambda line: report.say("lease", line)) if folder != "-" else None
        )
        anyio.run(
            keeper.serve,
            name,
            terms_reader(path, name),
            report,
            token_storage,
            steady,
            backend_options=BACKEND_OPTIONS,
        )
        return 0
    if process_kind == "claimant":
        from quartzrouter.fault_harness.witness import run_claimant

        path, task, name, port, *mutation_names = arguments
        _apply_mutations(mutation_names, wall)
        report = StructuredLog(name, wall, logger())
        anyio.run(
            run_claimant, path, task, name, int(port), report, steady, wall, backend_options=BACKEND_OPTIONS
        )
        return 0
    from quartzrouter.config.loader import load
    from quartzrouter.standalone import process as standalone_process

    path, *mutation_names = arguments
    _apply_mutations(mutation_names, wall)
    return standalone_process.run(path, load(path).plan, logger("info", "json"))


def _apply_mutations(names: list[str], wall) -> None:
    """Replaces the attributes that the mutations name.

    :param wall: the process's skewed wall clock, for mutations that read one.
    """
    from quartzrouter.fault_harness import mutations, quota_mutations

    quota_mutations.process_wall_clock = wall
    for name in names:
        setattr(*mutations.MUTATIONS[name])


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
