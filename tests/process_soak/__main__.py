"""Runs the soak: ``python -m tests.process_soak``; exits with status 1 on a violation."""

import asyncio
import random
import secrets
import shutil
import sys
import tempfile
import time
import traceback
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from statistics import quantiles
from typing import Annotated

import orjson
import typer

from larkpost.platform.stand_in.daemon_settings import ready_path
from larkpost.rehearsal.processes import ProcessGroup, is_responding
from tests.process_soak.callers import Callers
from tests.process_soak.checker import CRASH_REPORT_SECONDS, InvariantChecker
from tests.process_soak.kept_connections import KeptConnections
from tests.process_soak.plan import (
    CRASH_REPORT_LOSING_KINDS,
    DISRUPTIVE_KINDS,
    PLANNED_KINDS,
    Fault,
    Focus,
    Kind,
    draw_plan,
)
from tests.process_soak.records import read_records
from tests.process_soak.response_watch import ResponseWatch
from tests.process_soak.site import DAEMONS, MODEL, Site
from tests.process_soak.strikes import FaultInjector

CHECK_SECONDS = 3.0
CRASHING_PAGES = 2
"""Number of pages that crash servers; each such fault requests one of them repeatedly."""
CALM_SECONDS = 12.0
"""Time for which each such page is requested after the faults; enough for four server restarts."""
HEAL_SECONDS = 60.0
READY_SECONDS = 30.0
ITEMS = 24
REQUESTS_PER_SECOND = 8.0
KEPT_CLIENTS = 8
"""Clients with kept connections, each with one stream at a time; fewer than the pages' slots."""
BROKEN_CHARACTERS = 800
LOGS = Path("soak-logs")


@dataclass(slots=True)
class Report:
    """Results of one run; durations in seconds."""

    seed: int
    seconds: float
    mutant: str | None = None
    focus: Focus = Focus.MIX
    steps: int = 0
    abandoned: int = 0
    requests: int = 0
    served: int = 0
    step_p50: float = 0.0
    step_p95: float = 0.0
    faults: dict[str, int] = field(default_factory=dict)
    broken: str = ""


class ProcessSoak:
    """One run.

    Args:
        report: has the seed, the duration and the mutant; the run fills in the rest.
        plan: the faults, in order of time.
        folder: for the files of the run.
        daemons: number of daemons.
        focus: which faults the plan draws, and which callers there are besides.
    """

    def __init__(
        self, report: Report, plan: list[Fault], folder: Path, daemons: int, focus: Focus
    ) -> None:
        self.report = report
        self._focus = focus
        self._plan = plan
        self._folder = folder
        self._daemons = daemons
        self._checker = InvariantChecker()
        self._chance = random.Random(report.seed)

    async def play(self, group: ProcessGroup) -> Report:
        """Runs the soak and returns its report."""
        site = Site(group, self._folder, self.report.mutant, self._daemons)
        await site.start()
        self._checker.evacuations = site.evacuations
        await _until_ready(site)
        self._checker.stops = site.stops
        callers = Callers(
            site.fronts,
            self._checker,
            self._chance,
            site.publish_version,
            lambda: site.configured_at,
        )
        kept = KeptConnections(
            site.fronts,
            random.Random(self.report.seed),
            callers.newest_version,
            callers.register_kept,
        )
        self._checker.kept_requests = kept.requests
        watch = ResponseWatch(site)
        watching = asyncio.create_task(watch.run())
        until = time.monotonic() + self.report.seconds
        parts = [
            callers.train(MODEL, ITEMS, until),
            callers.ask(REQUESTS_PER_SECOND, until),
            self._inject_faults(FaultInjector(site), callers),
        ]
        if self._focus is Focus.STOPS:
            parts.append(kept.run(KEPT_CLIENTS, until))
        if self._focus is Focus.LATE:
            parts.append(callers.submit_and_give_up(MODEL, until))
        work = asyncio.gather(*parts)
        try:
            while not work.done():
                await asyncio.wait({work}, timeout=CHECK_SECONDS)
                self._checker.check(read_records(site.outputs()))
                watch.check()
                print(
                    f"{callers.served} of {callers.requests} served, "
                    f"{len(callers.step_seconds)} steps",
                    file=sys.stderr,
                )
            await work
            await self._heal(callers)
            self._checker.check(read_records(site.outputs()))
            watch.check()
        except AssertionError:
            self.report.broken = traceback.format_exc()[-BROKEN_CHARACTERS:]
        finally:
            watching.cancel()
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)
            await callers.close()
            await site.close()
        self._fill_report(callers)
        return self.report

    async def _inject_faults(self, injector: FaultInjector, callers: Callers) -> None:
        """Injects the faults of the plan, which may overlap."""
        started = time.monotonic()
        running = []
        for fault in self._plan:
            await asyncio.sleep(max(0.0, started + fault.at - time.monotonic()))
            print(f"{fault.at:7.2f} {fault}", file=sys.stderr)
            running.append(asyncio.create_task(self._inject(injector, callers, fault)))
        await asyncio.gather(*running)

    async def _inject(self, injector: FaultInjector, callers: Callers, fault: Fault) -> None:
        began_at = time.monotonic()
        disruptions = self._checker.disruptions
        if fault.kind in DISRUPTIVE_KINDS:
            disruptions.append((began_at, float("inf")))
        if fault.kind is not Kind.EVACUATION:  # an evacuation excuses no violation
            self._checker.fault_times.append(began_at)
        crash_report_gaps = self._checker.crash_report_gaps
        if fault.kind in CRASH_REPORT_LOSING_KINDS:
            crash_report_gaps.append((began_at, float("inf")))
        is_planned = fault.kind in PLANNED_KINDS
        if not is_planned:
            self._checker.unplanned.append((began_at, float("inf")))
        if fault.kind is Kind.CRASHING_ITEM:
            await callers.submit_crashing_item(MODEL, fault.target, fault.seconds)
        elif fault.kind is Kind.CRASHING_REQUEST:
            await callers.ask_again_and_again(fault.target % CRASHING_PAGES, fault.seconds)
        else:
            await injector.inject(fault)
        if not is_planned:
            self._checker.unplanned.remove((began_at, float("inf")))
            self._checker.unplanned.append((began_at, time.monotonic()))
        if fault.kind in CRASH_REPORT_LOSING_KINDS:
            crash_report_gaps.remove((began_at, float("inf")))
            crash_report_gaps.append((began_at, time.monotonic()))
        if fault.kind is not Kind.EVACUATION:
            self._checker.fault_times.append(time.monotonic())
        if fault.kind in DISRUPTIVE_KINDS:
            disruptions.remove((began_at, float("inf")))
            disruptions.append((began_at, time.monotonic()))

    async def _heal(self, callers: Callers) -> None:
        """Waits until every accepted batch that was not ended is complete.

        Then the pages that crashed servers are requested again at every daemon, without faults.
        """
        until = time.monotonic() + HEAL_SECONDS
        for name in self._checker.missing():
            await callers.read_on(self._checker.batches[name], until)
        missing = self._checker.missing()
        assert not missing, f"accepted batches are not whole: {missing}"
        await asyncio.sleep(CRASH_REPORT_SECONDS + 1.0)
        for page in sorted(callers.crashing_pages):
            await callers.ask_again_and_again(page, CALM_SECONDS)

    def _fill_report(self, callers: Callers) -> None:
        report = self.report
        report.steps = len(callers.step_seconds)
        report.abandoned = callers.abandoned
        report.requests = callers.requests
        report.served = callers.served
        report.faults = dict(Counter(fault.kind.value for fault in self._plan))
        if report.steps > 1:
            cuts = quantiles(callers.step_seconds, n=20)
            report.step_p50, report.step_p95 = round(cuts[9], 2), round(cuts[18], 2)


async def _until_ready(site: Site) -> None:
    until = time.monotonic() + READY_SECONDS
    while time.monotonic() < until:
        ready = [
            await asyncio.to_thread(is_responding, daemon.place.ready, ready_path())
            for daemon in site.daemons
        ]
        if all(ready):
            return
    raise AssertionError("the daemons were not ready in time")


def play(
    seed: int,
    seconds: float,
    gap: float,
    mutant: str | None = None,
    daemons: int = DAEMONS,
    focus: Focus = Focus.MIX,
) -> Report:
    """Runs the soak once in a temporary folder; keeps the logs if an invariant was violated."""
    with tempfile.TemporaryDirectory(prefix="larkpost-soak-") as name:
        folder = Path(name)
        with ProcessGroup(folder) as group:
            report = Report(seed, seconds, mutant, focus)
            plan = draw_plan(seed, seconds, gap, focus)
            soak = ProcessSoak(report, plan, folder, daemons, focus)
            asyncio.run(soak.play(group))
        if report.broken and mutant is None:
            shutil.copytree(folder, LOGS / f"{focus}-{seed}", dirs_exist_ok=True)
    return report


def main(
    seed: Annotated[int | None, typer.Option(help="Of the first run; drawn if not given.")] = None,
    seconds: Annotated[float, typer.Option(help="Time of load of a run.")] = 60.0,
    gap: Annotated[float, typer.Option(help="Mean seconds between two faults.")] = 2.0,
    mutant: Annotated[str | None, typer.Option(help="Break this mechanism of all daemons.")] = None,
    daemons: Annotated[int, typer.Option(help="Daemons, a process each.")] = DAEMONS,
    runs: Annotated[int, typer.Option(help="Runs, each with the next seed.")] = 1,
    focus: Annotated[Focus, typer.Option(help="Which faults are drawn.")] = Focus.MIX,
) -> None:
    """Runs the soak several times and prints one line of JSON for each run."""
    first = secrets.randbelow(1_000_000) if seed is None else seed
    broken = False
    for number in range(first, first + runs):
        report = play(number, seconds, gap, mutant, daemons, focus)
        print(orjson.dumps(report).decode(), flush=True)
        broken = broken or bool(report.broken)
    raise typer.Exit(int(broken))


if __name__ == "__main__":
    typer.run(main)
