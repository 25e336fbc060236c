"""The demonstration: both sites as real processes under load, with an engine and a daemon killed.

The counts come from the records of trainers, clients and engines, not from larkpost.
"""

import signal
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import orjson
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from larkpost.rehearsal.fleet import Fleet, begin_fleet, finish_fleet
from larkpost.rehearsal.processes import Process, ProcessGroup, RehearsalError
from larkpost.rehearsal.sites import SITES

MUST_BE_ZERO = (
    "samples_doubled",
    "samples_lost",
    "samples_stale",
    "version_mismatches",
    "client_wrong_answers",
    "false_not_run",
    "run_once_repeated",
)
CLIENT_RATE = 12.0
END_TIMEOUT = 40.0
MICROSECONDS = 1_000_000


@dataclass(slots=True)
class _Load:
    """The load processes of one site."""

    fleet: Fleet
    trainer: Process
    clients: list[Process]


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
        loads = [_start_load(fleet, seconds, seed) for seed, fleet in enumerate(fleets, 1)]
        if faults:
            time.sleep(seconds / 2)
            _kill(console, fleets)
        for load in loads:
            for process in [load.trainer, *load.clients]:
                if process.wait(seconds + END_TIMEOUT) != 0:
                    raise RehearsalError(f"{process.name} ended with an error")
        return _summarise(loads)


def _start_load(fleet: Fleet, seconds: float, seed: int) -> _Load:
    site = fleet.site
    daemons = f"--daemons={fleet.daemon_list()}"
    trainer = fleet.group.start(
        f"{site.name}-trainer",
        "rehearsal",
        "trainer",
        f"--name={site.trainer}",
        f"--pool={site.trainer_pool}",
        f"--policy={site.policy}",
        daemons,
        f"--platform={fleet.platform.address}",
        f"--seconds={seconds}",
        f"--seed={seed}",
    )
    clients = [
        fleet.group.start(
            f"{site.name}-clients-{service}",
            "rehearsal",
            "clients",
            f"--service={service}",
            daemons,
            f"--seconds={seconds}",
            f"--rate={CLIENT_RATE}",
            f"--seed={seed}",
        )
        for service in site.services
    ]
    return _Load(fleet, trainer, clients)


def _kill(console: Console, fleets: list[Fleet]) -> None:
    """Kills a language engine of the first site and a daemon of each."""
    engine = fleets[0].site.machines[0].engine
    fleets[0].engines[engine].process.send(signal.SIGKILL)
    console.print(f"Killed engine {engine}.")
    for fleet in fleets:
        name = next(iter(fleet.daemons))
        fleet.daemons[name].process.send(signal.SIGKILL)
        console.print(f"Killed daemon {name}.")


def _summarise(loads: list[_Load]) -> dict:
    trainers = [orjson.loads(load.trainer.lines()[-1]) for load in loads]
    clients = [orjson.loads(c.lines()[-1]) for load in loads for c in load.clients]
    attempts = Counter()
    for load in loads:
        for node in load.fleet.engines.values():
            attempts.update(_started_requests(node.process))
    staleness = [age for record in trainers for age in record["staleness"]]
    idle = sum(record["idle_seconds"] for record in trainers)
    trained = sum(record["train_seconds"] for record in trainers)
    latency = HdrHistogram(1, 60 * MICROSECONDS, 3)
    for record in clients:
        for value in record["seconds"]:
            latency.record_value(max(1, round(value * MICROSECONDS)))
    counted = {
        name: sum(record[name] for record in trainers)
        for name in (
            "samples_expected",
            "samples_delivered",
            "samples_doubled",
            "samples_lost",
            "samples_stale",
            "version_mismatches",
        )
    }
    return counted | {
        "client_requests": sum(record["requests"] for record in clients),
        "client_wrong_answers": sum(record["wrong_answers"] for record in clients),
        "client_errors": sum(record["errors"] for record in clients),
        "false_not_run": sum(attempts[n] > 0 for r in clients for n in r["told_not_run"]),
        "run_once_repeated": sum(attempts[n] > 1 for r in clients for n in r["run_once"]),
        "trainer_steps": sum(record["steps"] for record in trainers),
        "trainer_idle_fraction": round(idle / max(idle + trained, 1e-9), 4),
        "staleness_mean": round(sum(staleness) / max(len(staleness), 1), 4),
        "staleness_max": max(staleness, default=0),
        "client_p50_ms": round(latency.get_value_at_percentile(50) / 1000, 2),
        "client_p99_ms": round(latency.get_value_at_percentile(99) / 1000, 2),
        "client_tries": sum(record["tries"] for record in clients),
    }


def _started_requests(process: Process) -> list[str]:
    """Returns the request of each attempt that an engine recorded, cut-off lines left out."""
    requests = []
    for line in process.lines():
        try:
            requests.append(orjson.loads(line)["request"])
        except orjson.JSONDecodeError:
            continue
    return requests


def _print_table(console: Console, summary: dict) -> None:
    table = Table(title="what trainers, clients and engines recorded")
    table.add_column("count")
    table.add_column("value", justify="right")
    table.add_column("must be")
    for name, value in summary.items():
        table.add_row(name, str(value), "0" if name in MUST_BE_ZERO else "")
    console.print(table)
