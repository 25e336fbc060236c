"""A long run of a fleet under overlapping random faults, in virtual time: `make soak-virtual`.

Daemons are killed, stopped and cut off; the store fails, loses responses or history; engines fail
and slow down. The fuzz oracle checks the invariants periodically, and after all faults have ended,
every accepted batch must complete. Prints one JSON line per seed; exits 1 if a run has failed.
"""

import asyncio
import json
import random
import sys
import traceback
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import asdict, dataclass, field
from statistics import quantiles
from typing import Any
from unittest import mock

import typer

from larkpost.common.ids import InstanceId
from larkpost.platform.stand_in.memory_store import StoreFaults
from tests.platform_fleet import MODEL, PlatformFleet, make_batch
from tests.platform_oracle import PlatformOracle
from tests.virtual import run

CHECK_SECONDS = 5.0
STEP_TIMEOUT_SECONDS = 30.0
RETRY_SECONDS = 0.3
READ_WAIT_SECONDS = 1.0
HEAL_SECONDS = 90
BROKEN_CHARACTERS = 600
RESTART_SECONDS = (0.3, 3.0)
FAULT_SECONDS = (0.5, 5.0)
STORE_FAULTS = (
    StoreFaults(down=True),
    StoreFaults(refuses=True),
    StoreFaults(lost_answers=0.3),
    StoreFaults(late_writes=0.3),
    StoreFaults(slow_seconds=0.25),
    StoreFaults(parts_down=frozenset({"b0", "b1", "b2", "b3"})),
    StoreFaults(parts_down=frozenset({"all"})),
)


@dataclass(slots=True)
class Report:
    """The outcome of one run; durations in virtual seconds.

    Attributes:
        steps: number of batches that were read completely.
        abandoned: batches that a trainer gave up after its timeout: id, time of the first
            submission, whether it was accepted, and the number of results read.
        unavailable: number of calls answered as unavailable.
        step_seconds: durations from the first submission until a batch was read completely.
        faults: number of faults of each kind.
        broken: the violation that the oracle found; empty if there was none.
    """

    seed: int
    daemons: int
    steps: int = 0
    abandoned: list[tuple[str, float, bool, int]] = field(default_factory=list)
    refused: int = 0
    unavailable: int = 0
    step_seconds: list[float] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)
    broken: str = ""

    def summary(self) -> dict[str, object]:
        """Returns the report with quantiles in place of all durations."""
        document = asdict(self)
        seconds = document.pop("step_seconds")
        if len(seconds) > 1:
            cuts = quantiles(seconds, n=20)
            document |= {"step_p50": round(cuts[9], 2), "step_p95": round(cuts[18], 2)}
        return document


class VirtualSoak:
    """A fleet, its trainers and its faults."""

    def __init__(self, seed: int, daemons: int, engines: int, gap: float) -> None:
        self.rng = random.Random(seed)
        self.fleet = PlatformFleet(daemons, engines, seed)
        self.oracle = PlatformOracle(self.fleet)
        self.report = Report(seed, daemons)
        self.stopped: set[int] = set()
        self.version = 1
        self.gap = gap
        self.over = False

    async def play(self, seconds: float, trainers: int) -> Report:
        """Runs the soak."""
        await self.fleet.wait(1.0)
        work = [asyncio.create_task(self._train(number)) for number in range(trainers)]
        fault_task = asyncio.create_task(self._inject_faults())
        try:
            for _ in range(int(seconds / CHECK_SECONDS)):
                await self.fleet.wait(CHECK_SECONDS)
                self.oracle.check()
            self.over = True
            fault_task.cancel()
            await asyncio.gather(*work)
            await self._heal()
            self.oracle.check()
        except AssertionError:
            # A bare assertion has no message; the traceback shows the line that failed.
            self.report.broken = traceback.format_exc()[-BROKEN_CHARACTERS:]
        self.report.refused = len(self.oracle.refused)
        self.report.unavailable = self.oracle.unavailable
        return self.report

    def _running_gateway(self):
        """Returns a random running gateway, or None."""
        alive = [n for n in range(len(self.fleet.gateways)) if n not in self.stopped]
        return self.fleet.gateways[self.rng.choice(alive)] if alive else None

    async def _train(self, trainer: int) -> None:
        step = 0
        while not self.over:
            step += 1
            minimum = max(1, self.version - 1)
            spec = make_batch(f"t{trainer}-s{step}", self.rng.randint(8, 40), minimum)
            await self._step(spec)
            self.version += 1
            self.fleet.put("operator", MODEL, str(self.version).encode())

    async def _step(self, spec) -> None:
        """Submits a batch, trying one daemon after another, and reads all its results."""
        clock = self.fleet.clock
        began = clock.now()
        accepted = False
        while clock.now() - began < STEP_TIMEOUT_SECONDS:
            gateway = self._running_gateway()
            if gateway is not None and not accepted:
                accepted = await self.oracle.submit(gateway, spec)
            elif gateway is not None:
                position = len(self.oracle.read.get(spec.id, ()))
                await self.oracle.look(gateway, spec.id, position, READ_WAIT_SECONDS)
                if len(self.oracle.read.get(spec.id, ())) == len(spec.items):
                    self.report.steps += 1
                    self.report.step_seconds.append(clock.now() - began)
                    return
            await clock.sleep(0.0 if accepted else RETRY_SECONDS)
        read = len(self.oracle.read.get(spec.id, ()))
        self.report.abandoned.append((spec.id, round(began, 1), accepted, read))
        if accepted and (gateway := self._running_gateway()) is not None:
            await self.oracle.end(gateway, spec.id)

    async def _inject_faults(self) -> None:
        """Starts faults at random times; each ends by itself."""
        kinds = (
            self._kill,
            self._stop,
            self._cut,
            self._trouble_store,
            self._forget_history,
            self._trouble_engine,
            self._slow_engine,
        )
        running: set[asyncio.Task] = set()
        try:
            while True:
                await self.fleet.wait(self.rng.expovariate(1 / self.gap))
                kind = self.rng.choice(kinds)
                name = kind.__name__.strip("_")
                self.report.faults[name] = self.report.faults.get(name, 0) + 1
                task = asyncio.create_task(kind())
                running.add(task)
                task.add_done_callback(running.discard)
        finally:
            for task in running:
                task.cancel()

    async def _pause(self, bounds: tuple[float, float] = FAULT_SECONDS) -> None:
        await self.fleet.wait(self.rng.uniform(*bounds))

    def _pick(self) -> int | None:
        alive = [n for n in range(len(self.fleet.gateways)) if n not in self.stopped]
        return self.rng.choice(alive) if len(alive) > 1 else None

    def _restart(self, number: int) -> None:
        """Starts a new incarnation of a machine."""
        self.fleet.add_gateway(self.fleet.gateways[number].settings.machine)

    async def _kill(self) -> None:
        number = self._pick()
        if number is not None:
            self.stopped.add(number)
            self.fleet.kill(number)
            await self._pause(RESTART_SECONDS)
            self._restart(number)

    async def _stop(self) -> None:
        number = self._pick()
        if number is not None:
            self.stopped.add(number)
            await self.fleet.gateways[number].drain()
            self.fleet.kill(number)
            await self._pause(RESTART_SECONDS)
            self._restart(number)

    async def _cut(self) -> None:
        client = self.rng.choice(self.fleet.clients)
        client.cut_off = True
        await self._pause()
        client.cut_off = False

    async def _trouble_store(self) -> None:
        self.fleet.store.faults = self.rng.choice(STORE_FAULTS)
        await self._pause()
        self.fleet.store.faults = StoreFaults()

    async def _forget_history(self) -> None:
        self.fleet.store.forget_history()

    def _engine(self):
        names = sorted(self.fleet.engines.engines)
        return self.fleet.engines.engines[InstanceId(self.rng.choice(names))]

    async def _trouble_engine(self) -> None:
        engine = self._engine()
        engine.down = self.rng.random() < 0.5
        engine.break_after = None if engine.down else self.rng.randint(0, 4)
        await self._pause()
        engine.down = False
        engine.break_after = None

    async def _slow_engine(self) -> None:
        engine = self._engine()
        normal_event_seconds = 0.03
        engine.event_seconds = normal_event_seconds * self.rng.choice((3, 10, 1000))
        await self._pause()
        engine.event_seconds = normal_event_seconds

    async def _heal(self) -> None:
        fleet = self.fleet
        fleet.store.faults = StoreFaults()
        for client in fleet.clients:
            client.cut_off = False
        for engine in fleet.engines.engines.values():
            engine.down = False
            engine.break_after = None
            engine.event_seconds = 0.03
        if self._running_gateway() is None:
            self._restart(0)
        for _ in range(HEAL_SECONDS):
            if not self.oracle.missing():
                return
            await fleet.wait(1.0)
        raise AssertionError(f"accepted batches are not whole: {self.oracle.missing()}")


def soak(
    seed: int, seconds: float, daemons: int, engines: int, trainers: int, gap: float
) -> Report:
    """Runs one soak and returns its report."""

    async def play() -> Report:
        return await VirtualSoak(seed, daemons, engines, gap).play(seconds, trainers)

    return run_seeded(seed, play())


def run_seeded(seed: int, play: Coroutine[Any, Any, Report]) -> Report:
    """Runs a soak and returns its report; a run is determined by its seed.

    The daemons' random names affect coordination and claims, so they are derived from the seed as
    well. The order of sets of names requires a fixed PYTHONHASHSEED.
    """
    names = random.Random(seed)
    with mock.patch("secrets.token_hex", lambda size: names.randbytes(size).hex()):
        return run(play)


def play_seeds(seeds: Sequence[int], soak_one: Callable[[int], Report]) -> None:
    """Plays a soak with each seed, prints a line of JSON for each, and exits; 1 if one failed."""
    broken = 0
    for seed in seeds:
        report = soak_one(seed)
        broken += bool(report.broken)
        print(json.dumps(report.summary()), flush=True)
    print(f"{len(seeds) - broken} passed, {broken} failed")
    sys.exit(1 if broken else 0)


def main(
    seconds: float = typer.Option(120.0, help="virtual seconds of each run"),
    seeds: int = typer.Option(3, help="how many runs, each with another seed"),
    first_seed: int = typer.Option(1, help="seed of the first run"),
    daemons: int = typer.Option(14, help="daemons; more than twelve, so that some are idle"),
    engines: int = typer.Option(6, help="engines of 8 places"),
    trainers: int = typer.Option(3, help="trainers that draw steps at the same time"),
    gap: float = typer.Option(1.5, help="mean virtual seconds between two faults"),
) -> None:
    """Plays some runs and prints a line of JSON for each."""
    play_seeds(
        range(first_seed, first_seed + seeds),
        lambda seed: soak(seed, seconds, daemons, engines, trainers, gap),
    )


if __name__ == "__main__":
    typer.run(main)
