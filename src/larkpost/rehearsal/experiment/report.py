"""Runs all policies and seeds of a scenario in parallel; reports medians with their ranges."""

import statistics
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict, dataclass
from multiprocessing import get_context
from operator import attrgetter
from pathlib import Path

import orjson
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from larkpost.common.errors import InvalidRequestError
from larkpost.rehearsal.experiment.policies import POLICIES
from larkpost.rehearsal.experiment.run import (
    RunResult,
    run_once,
    with_policy_name,
    with_staleness_weight,
    without_trainer,
)
from larkpost.rehearsal.experiment.scenario import Scenario

MAX_PROCESSES = 3
CLIENTS_ONLY = "clients only"
MEASURES = tuple(name for name in RunResult.__dataclass_fields__ if name not in ("policy", "seed"))


@dataclass(frozen=True, slots=True)
class _Job:
    """One run; ``label`` is its column in the report."""

    label: str
    scenario: Scenario
    policy: str
    seed: int


def run_experiment(
    scenario: Scenario, weights: list[float], output: Path | None, plot: Path | None
) -> dict[str, list[RunResult]]:
    """Runs a scenario and prints a table of results.

    Args:
        weights: staleness weights to compare under the policy larkpost, instead of the policies.
        output: path of the JSON report, or None.
        plot: path of the PNG plot, or None; requires the extra ``plots``.

    Returns:
        The results by column.
    """
    console = Console(width=140)
    jobs = list(_weight_jobs(scenario, weights) if weights else _policy_jobs(scenario))
    columns = _run_jobs(console, scenario.name, jobs)
    _print(console, scenario, columns)
    if output is not None:
        output.write_bytes(_encode(scenario, columns))
    if plot is not None:
        from larkpost.rehearsal.experiment.plot import write_plot

        write_plot(scenario.name, columns, plot)
    return columns


def _run_jobs(console: Console, title: str, jobs: list[_Job]) -> dict[str, list[RunResult]]:
    """Runs the jobs in worker processes; returns each column's results sorted by seed."""
    columns: dict[str, list[RunResult]] = {job.label: [] for job in jobs}
    with (
        ProcessPoolExecutor(MAX_PROCESSES, get_context("spawn")) as pool,
        Progress(console=console, transient=True) as progress,
    ):
        bar = progress.add_task(title, total=len(jobs))
        futures = {pool.submit(run_once, j.scenario, POLICIES[j.policy], j.seed): j for j in jobs}
        for future in as_completed(futures):
            label = futures[future].label
            columns[label].append(with_policy_name(future.result(), label))
            progress.advance(bar)
    for results in columns.values():
        results.sort(key=attrgetter("seed"))
    return columns


def _policy_jobs(scenario: Scenario) -> Iterator[_Job]:
    unknown = set(scenario.policies) - set(POLICIES)
    if unknown:
        raise InvalidRequestError(
            f"unknown policies: {sorted(unknown)}",
            remedy=f"Use policies of this list: {', '.join(POLICIES)}.",
        )
    for seed in scenario.seeds:
        for policy in scenario.policies:
            yield _Job(policy, scenario, policy, seed)
        yield _Job(CLIENTS_ONLY, without_trainer(scenario), "larkpost", seed)


def _weight_jobs(scenario: Scenario, weights: list[float]) -> Iterator[_Job]:
    for weight in weights:
        changed = with_staleness_weight(scenario, weight)
        for seed in scenario.seeds:
            yield _Job(f"weight {weight:g}", changed, "larkpost", seed)


def _print(console: Console, scenario: Scenario, columns: dict[str, list[RunResult]]) -> None:
    seeds = len(scenario.seeds)
    table = Table(title=f"{scenario.name}: median of {seeds} seeds (least to largest)")
    table.add_column("measure")
    for label in columns:
        table.add_column(label, justify="right")
    for measure in MEASURES:
        cells = [_cell([getattr(r, measure) for r in results]) for results in columns.values()]
        table.add_row(measure, *cells)
    console.print(table)


def _cell(values: list[float]) -> str:
    middle, minimum, maximum = statistics.median(values), min(values), max(values)
    return f"{middle:.4g} ({minimum:.4g} to {maximum:.4g})"


def _encode(scenario: Scenario, columns: dict[str, list[RunResult]]) -> bytes:
    document = {
        "scenario": scenario.model_dump(mode="json"),
        "results": {label: [asdict(r) for r in results] for label, results in columns.items()},
    }
    return orjson.dumps(document, option=orjson.OPT_INDENT_2)
