"""The demonstration: both sites on the platform's stand-ins, as real processes under load.

Midway, an engine and a daemon of each site are killed and another daemon is stopped gracefully. The
counts come from the records of trainers and clients, not from larkpost.
"""

import asyncio
import signal
import tempfile
from dataclasses import asdict
from pathlib import Path

import orjson
from rich.console import Console
from rich.table import Table

from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.store.port import Transaction, WriteOutcome
from larkpost.platform.stand_in.callers import (
    Caller,
    CallerRecord,
    StandInClient,
    StandInTrainer,
)
from larkpost.platform.stand_in.rows import configuration_transaction, version_transaction
from larkpost.platform.store import HttpStore
from larkpost.rehearsal.platform_site import (
    CASABLANCA_SHAPE,
    SANTIAGO_SHAPE,
    PlatformSite,
    start_site,
    wait_until_ready,
)
from larkpost.rehearsal.processes import ProcessGroup, RehearsalError

SHAPES = (CASABLANCA_SHAPE, SANTIAGO_SHAPE)
ROW_BYTES = 65536
WRITE_SECONDS = 1.0
RETRY_SECONDS = 0.1
MUST_BE_ZERO = ("results_doubled", "results_lost", "results_wrong", "answers_wrong")
LOAD_SLACK_SECONDS = 60.0
"""Time after the load in which open batches must complete."""


def run_demo(seconds: float, faults: bool, output: Path | None = None) -> int:
    """Runs the demonstration and prints its results.

    Returns:
        0 if all counts that must be zero are zero and work was done, else 1.
    """
    console = Console(width=100)
    with tempfile.TemporaryDirectory(prefix="larkpost-demo-") as name:
        folder = output or Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        try:
            record = _run(folder, seconds, faults, console)
        except (RehearsalError, TimeoutError) as error:
            console.print(f"the demonstration failed: {error}", markup=False)
            return 1
    summary = _summarise(record)
    _print_table(console, summary)
    print(orjson.dumps(summary).decode())
    worked = record.batches_whole > 0 and record.client_answers > 0
    return 0 if worked and record.violations == 0 else 1


def _run(folder: Path, seconds: float, faults: bool, console: Console) -> CallerRecord:
    with ProcessGroup(folder) as group:
        console.print("Starting two sites of three zones each ...")
        sites = [start_site(group, shape, folder) for shape in SHAPES]
        record = CallerRecord()
        asyncio.run(_load(sites, record, seconds, faults, console))
        return record


async def _load(
    sites: list[PlatformSite],
    record: CallerRecord,
    seconds: float,
    faults: bool,
    console: Console,
) -> None:
    stores = [HttpStore(site.store, ROW_BYTES) for site in sites]
    for site, store in zip(sites, stores, strict=True):
        await _configure(site, store)
        await asyncio.to_thread(wait_until_ready, site)
    console.print(f"Running trainers and clients for {seconds:g} s ...")
    until = asyncio.get_running_loop().time() + seconds
    async with asyncio.timeout(seconds + LOAD_SLACK_SECONDS), asyncio.TaskGroup() as tasks:
        for seed, (site, store) in enumerate(zip(sites, stores, strict=True)):
            caller = Caller(list(site.fronts.values()), record, seed)
            _start_callers(tasks, site, store, caller, until)
        if faults:
            await asyncio.sleep(seconds / 2)
            _inject_faults(sites, console)
    for store in stores:
        await store.close()


def _start_callers(
    tasks: asyncio.TaskGroup,
    site: PlatformSite,
    store: HttpStore,
    caller: Caller,
    until: float,
) -> None:
    async def publish_version(model: ModelName, version: int) -> None:
        await _write(store, version_transaction(model, version))

    for shape in site.shape.trainers:
        trainer = StandInTrainer(caller, shape, publish_version)
        tasks.create_task(trainer.run(until))
    client = StandInClient(caller, site.shape.client_requests_per_second)
    tasks.create_task(client.run(until))


async def _configure(site: PlatformSite, store: HttpStore) -> None:
    shape = site.shape
    change = configuration_transaction(
        1, site.engine_service, site.page_service, shape.engine_slots, shape.models
    )
    await _write(store, change)


async def _write(store: HttpStore, change: Transaction) -> None:
    """Writes to the store, with retries until the write is done."""
    while (await store.write(change, WRITE_SECONDS)).outcome is not WriteOutcome.DONE:
        await asyncio.sleep(RETRY_SECONDS)


def _inject_faults(sites: list[PlatformSite], console: Console) -> None:
    """Kills an engine and a daemon of each site, and stops another daemon gracefully."""
    for site in sites:
        engine = next(iter(site.servers))
        killed, stopped, *_ = site.daemons
        site.servers[engine].send(signal.SIGKILL)
        site.daemons[killed].send(signal.SIGKILL)
        site.daemons[stopped].send(signal.SIGTERM)
        console.print(f"Killed {engine} and {killed}; stopped {stopped} gracefully.")


def _summarise(record: CallerRecord) -> dict:
    fields = asdict(record)
    times = sorted(fields.pop("whole_seconds"))
    fields["batch_seconds_median"] = round(times[len(times) // 2], 2) if times else None
    fields["batch_seconds_longest"] = round(times[-1], 2) if times else None
    return fields


def _print_table(console: Console, summary: dict) -> None:
    table = Table(title="what trainers and clients saw")
    table.add_column("count")
    table.add_column("value", justify="right")
    table.add_column("must be")
    for name, value in summary.items():
        table.add_row(name, str(value), "0" if name in MUST_BE_ZERO else "")
    console.print(table)
