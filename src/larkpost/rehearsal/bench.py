"""Benchmark of larkpost against a relay without logic that uses the same libraries.

Measures the latency of one caller, and with many callers the requests and the stream chunks per
second of processor time. Processor time is that of the measured process only.
"""

import asyncio
import statistics
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import orjson
import psutil
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from larkpost.common.ids import Address, PoolId
from larkpost.rehearsal.processes import (
    Process,
    ProcessGroup,
    call,
    free_address,
    is_responding,
    wait_for,
)
from larkpost.standalone.config.intent import Intent, PoolIntent, ServiceIntent

POOL = PoolId("bench")
SERVICE = "bench"
LATENCY_REQUESTS = 400
RATE_REQUESTS = 4000
CALLERS = 32
STREAMS = 64
CHUNKS_PER_STREAM = 400
ROUNDS = 3
MICROSECONDS = 1_000_000


@dataclass(frozen=True, slots=True)
class Target:
    """A server to measure: its URL, and the process whose processor time is measured."""

    name: str
    url: str
    process: Process

    def body(self, chunks: int) -> bytes:
        """Returns the body of a request for a number of chunks."""
        if self.name == "larkpost":
            fields = {"model": SERVICE, "prompt": "hi", "max_tokens": chunks, "stream": True}
        else:
            fields = {"attempt": "a", "prompt": "hi", "max_tokens": chunks}
        return orjson.dumps(fields)


@dataclass(frozen=True, slots=True)
class BenchResult:
    """Results of one target."""

    p50_ms: float
    p99_ms: float
    requests_per_second: float
    requests_per_core_second: float
    chunks_per_core_second: float


def run_bench(output: Path | None) -> dict[str, BenchResult]:
    """Measures the engine, the relay and larkpost; prints the ratio of larkpost to the relay."""
    with (
        tempfile.TemporaryDirectory(prefix="larkpost-bench-") as folder,
        ProcessGroup(Path(folder)) as group,
    ):
        targets = _start(group)
        rounds = [
            {target.name: asyncio.run(_measure(target)) for target in targets}
            for _ in range(ROUNDS)
        ]
    figures = {target.name: _median([r[target.name] for r in rounds]) for target in targets}
    _print(figures)
    if output is not None:
        output.write_bytes(orjson.dumps(figures))
    return figures


def _start(group: ProcessGroup) -> list[Target]:
    platform, engine, relay, daemon = (free_address() for _ in range(4))
    group.start("platform", "rehearsal", "platform", f"--listen={platform}")
    engine_process = group.start("engine", "rehearsal", "instant-engine", f"--listen={engine}")
    relay_process = group.start(
        "relay", "rehearsal", "bare-relay", f"--listen={relay}", f"--engine={engine}"
    )
    daemon_process = group.start(
        "daemon",
        "serve",
        "--daemon-id=bench",
        "--zone=bench",
        f"--listen={daemon}",
        f"--platform={platform}",
    )
    _configure(platform, engine, daemon)
    return [
        Target("engine", f"http://{engine}/v1/generate", engine_process),
        Target("relay", f"http://{relay}/v1/generate", relay_process),
        Target("larkpost", f"http://{daemon}/v1/completions", daemon_process),
    ]


def _configure(platform: Address, engine: Address, daemon: Address) -> None:
    """Waits for the processes, registers the engine and confirms an intent with one service."""
    wait_for(lambda: is_responding(platform, "/machines"), "platform")
    wait_for(lambda: is_responding(engine, "/v1/report"), "engine")
    machine = {"zone": "bench", "address": engine, "pool": POOL}
    call(platform, "PUT", "/machines/instant", orjson.dumps(machine))
    wait_for(lambda: is_responding(daemon, "/readyz"), "daemon")
    intent = Intent(
        pools=(PoolIntent(name=POOL),), services=(ServiceIntent(name=SERVICE, pool=POOL),)
    )
    plan = call(daemon, "POST", "/v1/intent/plan", intent.model_dump_json().encode())
    call(daemon, "POST", "/v1/intent/confirm", plan)
    wait_for(lambda: _knows_engine(daemon), "daemon sees the engine")


def _knows_engine(daemon: Address) -> bool:
    engines = orjson.loads(call(daemon, "GET", "/v1/status"))["engines"]
    return bool(engines) and engines[0]["slots"] is not None


async def _measure(target: Target) -> BenchResult:
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        await _repeat(session, target, 1, 200, CALLERS)
        histogram = HdrHistogram(1, 60 * MICROSECONDS, 3)
        for _ in range(LATENCY_REQUESTS):
            started = time.perf_counter()
            await _ask(session, target, 1)
            elapsed = time.perf_counter() - started
            histogram.record_value(max(1, round(elapsed * MICROSECONDS)))
        rate, per_core = await _repeat(session, target, 1, RATE_REQUESTS, CALLERS)
        _, streams_per_core = await _repeat(session, target, CHUNKS_PER_STREAM, STREAMS, STREAMS)
    return BenchResult(
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        rate,
        per_core,
        streams_per_core * CHUNKS_PER_STREAM,
    )


async def _repeat(
    session: aiohttp.ClientSession, target: Target, chunks: int, requests: int, callers: int
) -> tuple[float, float]:
    """Returns requests per second, and requests per second of the target's processor time."""
    process = psutil.Process(target.process.popen.pid)
    before = process.cpu_times()
    started = time.perf_counter()
    remaining = iter(range(requests))

    async def caller() -> None:
        for _ in remaining:
            await _ask(session, target, chunks)

    await asyncio.gather(*(caller() for _ in range(callers)))
    elapsed = time.perf_counter() - started
    after = process.cpu_times()
    core_seconds = after.user + after.system - before.user - before.system
    return requests / elapsed, requests / max(core_seconds, 0.01)


async def _ask(session: aiohttp.ClientSession, target: Target, chunks: int) -> None:
    async with session.post(target.url, data=target.body(chunks)) as response:
        received = 0
        async for data in response.content.iter_any():
            received += len(data)
        if response.status != 200 or received == 0:
            raise RuntimeError(
                f"{target.name} responded with status {response.status} and {received} bytes"
            )


def _median(figures: list[BenchResult]) -> BenchResult:
    names = BenchResult.__dataclass_fields__
    medians = [statistics.median(getattr(f, name) for f in figures) for name in names]
    return BenchResult(*(round(value, 3) for value in medians))


def _print(figures: dict[str, BenchResult]) -> None:
    table = Table(title=f"medians of {ROUNDS} rounds; ratio is larkpost to the bare relay")
    for column in ("figure", *figures, "ratio"):
        table.add_column(column, justify="right")
    for name in BenchResult.__dataclass_fields__:
        values = [getattr(f, name) for f in figures.values()]
        ratio = getattr(figures["larkpost"], name) / getattr(figures["relay"], name)
        table.add_row(name, *(f"{value:,.2f}" for value in values), f"{ratio:.2f}")
    Console(width=110).print(table)
