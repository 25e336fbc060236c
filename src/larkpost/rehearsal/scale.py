"""The scale run: fleets of growing size on one machine, and the slopes of what each daemon costs.

Each zone's hollow daemons share two processes; two real daemons with real engines run beside them.
"""

import signal
import statistics
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import orjson
from rich.console import Console
from rich.table import Table

from larkpost.config.intent import Intent, PoolIntent
from larkpost.ids import Address, PolicyId, PoolId, ZoneId
from larkpost.rehearsal.hollow import HOLLOW_PREFIX
from larkpost.rehearsal.processes import (
    Process,
    ProcessGroup,
    answers,
    call,
    free_address,
    wait_for,
)

ZONES = tuple(ZoneId(f"zone-{number}") for number in range(1, 6))
PROCESSES_PER_ZONE = 2
ENGINES_PER_DAEMON = 8.65
REAL_DAEMONS = 2
SWAP_SECONDS = 2.0
STEADY_SECONDS = 12.0
SPREAD_SECONDS = 8.0
SWAP_WAIT = 12.0
ZONE_LOSS_WAIT = 30.0
READY_TIMEOUT = 120.0
POOL = PoolId("language")
POLICY = PolicyId("policy")
MEGABYTE = 1_000_000


@dataclass(frozen=True, slots=True)
class ScaleResult:
    """What one size gave. Shares are per hollow daemon; times in seconds."""

    daemons: int
    engines: int
    ready_seconds: float
    core_percent: float
    megabytes: float
    sent_bytes_per_second: float
    received_bytes_per_second: float
    epoch_median_seconds: float
    epoch_last_seconds: float
    weights_median_seconds: float
    weights_last_seconds: float
    engines_swapped: int
    zone_loss_seconds: float
    loop_lag_seconds: float


def run_scale(sizes: list[int], output: Path | None) -> list[ScaleResult]:
    """Runs every size and prints the table.

    Args:
        sizes: hollow daemons in all; each must be a multiple of ten.
        output: JSON file for the results, or None.
    """
    console = Console(width=120)
    results = []
    for size in sizes:
        with tempfile.TemporaryDirectory(prefix="larkpost-scale-") as folder:
            results.append(_ScaleRun(Path(folder), size).run())
        console.print(f"{size} hollow daemons: done")
        if output is not None:
            output.write_bytes(orjson.dumps([asdict(r) for r in results]))
    _print(console, results)
    return results


class _ScaleRun:
    """One size."""

    def __init__(self, folder: Path, size: int) -> None:
        self._folder = folder
        self._size = size
        self._engines = round(size * ENGINES_PER_DAEMON)
        self._groups: dict[ZoneId, list[Process]] = {}
        self._real: list[Address] = []

    def run(self) -> ScaleResult:
        with ProcessGroup(self._folder) as group:
            platform = self._start_platform(group)
            started = time.monotonic()
            self._start_daemons(group, platform)
            self._wait_ready()
            ready = time.monotonic() - started
            self._confirm(reserve=2)
            time.sleep(SPREAD_SECONDS)
            steady = (time.monotonic(), time.monotonic() + STEADY_SECONDS)
            time.sleep(STEADY_SECONDS)
            confirmed_at = time.monotonic()
            self._confirm(reserve=3)
            time.sleep(SPREAD_SECONDS)
            published_at = time.monotonic()
            self._publish(platform)
            time.sleep(SWAP_WAIT)
            lost_at = time.monotonic()
            lost = self._lose_zone(ZONES[-1])
            time.sleep(ZONE_LOSS_WAIT)
            reports = self._collect()
        return self._summarise(reports, ready, steady, confirmed_at, published_at, lost_at, lost)

    def _start_platform(self, group: ProcessGroup) -> Address:
        address = free_address()
        group.start("platform", "rehearsal", "platform", f"--listen={address}")
        wait_for(lambda: answers(address, "/machines"), "platform ready")
        for number in range(self._engines):
            name = f"{HOLLOW_PREFIX}{number}"
            zone = ZONES[number % len(ZONES)]
            fields = {"zone": zone, "address": f"{name}:1", "pool": POOL}
            call(address, "PUT", f"/machines/{name}", orjson.dumps(fields))
        return address

    def _start_daemons(self, group: ProcessGroup, platform: Address) -> None:
        per_process = self._size // (len(ZONES) * PROCESSES_PER_ZONE)
        layout = [
            (zone, part, [free_address() for _ in range(per_process)])
            for zone in ZONES
            for part in range(PROCESSES_PER_ZONE)
        ]
        self._real = [free_address() for _ in range(REAL_DAEMONS)]
        peers = ",".join([addresses[0] for _, _, addresses in layout] + self._real)
        for zone, part, addresses in layout:
            process = group.start(
                f"{zone}-{part}",
                "rehearsal",
                "hollow",
                f"--zone={zone}",
                f"--addresses={','.join(addresses)}",
                f"--peers={peers}",
                f"--platform={platform}",
                f"--fleet-size={self._size + REAL_DAEMONS}",
                f"--swap-seconds={SWAP_SECONDS}",
            )
            self._groups.setdefault(zone, []).append(process)
        for number, address in enumerate(self._real):
            self._start_real(group, number, address, peers, platform)

    def _start_real(
        self, group: ProcessGroup, number: int, address: Address, peers: str, platform: Address
    ) -> None:
        """Starts a daemon of its own, in a zone where it owns one real engine as well."""
        zone = ZONES[number]
        engine = free_address()
        group.start(
            f"engine-{number}",
            "rehearsal",
            "engine",
            f"--engine-id=real-{number}",
            f"--listen={engine}",
            f"--platform={platform}",
        )
        fields = {"zone": zone, "address": engine, "pool": POOL}
        call(platform, "PUT", f"/machines/real-{number}", orjson.dumps(fields))
        group.start(
            f"real-{number}",
            "serve",
            f"--daemon-id=real-{number}",
            f"--zone={zone}",
            f"--listen={address}",
            f"--peers={peers}",
            f"--platform={platform}",
        )

    def _wait_ready(self) -> None:
        for processes in self._groups.values():
            for process in processes:
                wait_for(lambda p=process: bool(p.lines()), f"{process.name}", READY_TIMEOUT)
        for address in self._real:
            wait_for(lambda a=address: answers(a, "/readyz"), "real daemon", READY_TIMEOUT)

    def _confirm(self, reserve: int) -> None:
        intent = Intent(pools=(PoolIntent(name=POOL, policy=POLICY, client_reserve=reserve),))
        body = intent.model_dump_json().encode()
        plan = call(self._real[0], "POST", "/v1/intent/plan", body)
        call(self._real[0], "POST", "/v1/intent/confirm", plan)

    def _publish(self, platform: Address) -> None:
        call(platform, "PUT", f"/weights/{POLICY}/1")
        call(self._real[0], "PUT", f"/v1/policies/{POLICY}/versions/1")

    def _lose_zone(self, zone: ZoneId) -> int:
        """Kills a zone's daemons and returns how many."""
        processes = self._groups.pop(zone)
        for process in processes:
            process.send(signal.SIGKILL)
        return self._size // len(ZONES)

    def _collect(self) -> list[dict]:
        processes = [process for group in self._groups.values() for process in group]
        for process in processes:
            process.send(signal.SIGTERM)
        for process in processes:
            process.wait(30.0)
        return [orjson.loads(process.lines()[-1]) for process in processes]

    def _summarise(
        self,
        reports: list[dict],
        ready: float,
        steady: tuple[float, float],
        confirmed_at: float,
        published_at: float,
        lost_at: float,
        lost: int,
    ) -> ScaleResult:
        rates = [_steady_rates(report, steady) for report in reports]
        epochs = [at - confirmed_at for report in reports for at in _times(report["epochs"], "2")]
        swapped = [at for report in reports for at in _times(report["swaps"], "1")]
        swaps = [at - published_at for at in swapped if at < lost_at]
        return ScaleResult(
            daemons=self._size + REAL_DAEMONS,
            engines=self._engines,
            ready_seconds=round(ready, 2),
            core_percent=round(statistics.mean(r.core_percent for r in rates), 3),
            megabytes=round(statistics.mean(r.megabytes for r in rates), 2),
            sent_bytes_per_second=round(statistics.mean(r.sent for r in rates)),
            received_bytes_per_second=round(statistics.mean(r.received for r in rates)),
            epoch_median_seconds=round(statistics.median(epochs), 3),
            epoch_last_seconds=round(max(epochs), 3),
            weights_median_seconds=round(statistics.median(swaps), 3),
            weights_last_seconds=round(max(swaps), 3),
            engines_swapped=len(swaps),
            zone_loss_seconds=round(_loss_time(reports, lost_at, lost), 2),
            loop_lag_seconds=round(max(r.lag for r in rates), 3),
        )


@dataclass(frozen=True, slots=True)
class _Rates:
    """A process's steady costs, per daemon."""

    core_percent: float
    megabytes: float
    sent: float
    received: float
    lag: float


def _steady_rates(report: dict, window: tuple[float, float]) -> _Rates:
    samples = [s for s in report["samples"] if window[0] <= s["at"] <= window[1]]
    first, last = samples[0], samples[-1]
    seconds = (last["at"] - first["at"]) * report["daemons"]
    return _Rates(
        100 * (last["cpu_seconds"] - first["cpu_seconds"]) / seconds,
        last["rss_bytes"] / MEGABYTE / report["daemons"],
        (last["bytes_sent"] - first["bytes_sent"]) / seconds,
        (last["bytes_received"] - first["bytes_received"]) / seconds,
        statistics.mean(s["loop_lag"] for s in samples),
    )


def _times(by_subject: dict[str, dict[str, float]], key: str) -> list[float]:
    return [times[key] for times in by_subject.values() if key in times]


def _loss_time(reports: list[dict], lost_at: float, lost: int) -> float:
    """Returns when the last daemon held the whole zone dead; infinity if one never did."""
    slowest = 0.0
    for report in reports:
        for deaths in report["deaths"].values():
            after = sorted(at for at in deaths if at > lost_at)
            if len(after) < lost:
                return float("inf")
            slowest = max(slowest, after[lost - 1] - lost_at)
    return slowest


def _print(console: Console, results: list[ScaleResult]) -> None:
    table = Table(title="cost per hollow daemon and times by fleet size")
    names = list(ScaleResult.__dataclass_fields__)
    table.add_column("figure")
    for result in results:
        table.add_column(str(result.daemons), justify="right")
    for name in names[1:]:
        table.add_row(name, *(str(getattr(result, name)) for result in results))
    console.print(table)
