"""The demonstration: both sites as real processes under load, with an engine and a daemon killed.

The counts come from the records of trainers, clients and engines, not from larkpost.
"""

import signal
import tempfile
import time
from pathlib import Path

import orjson
from rich.console import Console
from rich.table import Table

from larkpost.rehearsal.fleet import Fleet, begin_fleet, finish_fleet
from larkpost.rehearsal.processes import ProcessGroup, RehearsalError
from larkpost.rehearsal.sites import SITES
from larkpost.rehearsal.summary import MUST_BE_ZERO, start_load, summarise, wait_for_load


def run_demo(seconds: float, faults: bool, output: Path | None = None) -> int:
    """Runs the demonstration and prints its result.

    Returns:
        0 if every must-hold count is zero and work was done, else 1.
    """
    console = Console(width=100)
    with tempfile.TemporaryDirectory(prefix="larkpost-demo-") as name:
        folder = output or Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        try:
            summary = _run(folder, seconds, faults, console)
        except RehearsalError as error:
            console.print(f"the demonstration failed: {error}", markup=False)
            return 1
    _print_table(console, summary)
    print(orjson.dumps(summary).decode())
    worked = summary["samples_delivered"] > 0 and summary["client_requests"] > 0
    failed = [name for name in MUST_BE_ZERO if summary[name]]
    return 0 if worked and not failed else 1


def _run(folder: Path, seconds: float, faults: bool, console: Console) -> dict:
    with ProcessGroup(folder) as group:
        console.print("Starting two sites of three zones each ...")
        fleets = [begin_fleet(group, site) for site in SITES]
        for fleet in fleets:
            finish_fleet(fleet)
        console.print(f"Running trainers and clients for {seconds:g} s ...")
        loads = [start_load(fleet, seconds, seed) for seed, fleet in enumerate(fleets, 1)]
        if faults:
            time.sleep(seconds / 2)
            _kill(console, fleets)
        wait_for_load(loads, seconds)
        return summarise(loads)


def _kill(console: Console, fleets: list[Fleet]) -> None:
    """Kills a language engine of the first site and a daemon of each."""
    engine = fleets[0].site.machines[0].engine
    fleets[0].engines[engine].process.send(signal.SIGKILL)
    console.print(f"Killed engine {engine}.")
    for fleet in fleets:
        name = next(iter(fleet.daemons))
        fleet.daemons[name].process.send(signal.SIGKILL)
        console.print(f"Killed daemon {name}.")


def _print_table(console: Console, summary: dict) -> None:
    table = Table(title="what trainers, clients and engines recorded")
    table.add_column("count")
    table.add_column("value", justify="right")
    table.add_column("must be")
    for name, value in summary.items():
        table.add_row(name, str(value), "0" if name in MUST_BE_ZERO else "")
    console.print(table)
