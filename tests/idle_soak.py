"""Bursts of faults, each followed by a calm time in which no item may lie at no server.

Extends the soak on virtual time: in a burst, faults of all kinds overlap, and engines crash in
waves; then all faults end at once, and no trainer submits. From a contact time later on, an item
that no engine has finished may be at no engine for `IDLE_SECONDS` at most, while the engines are
less than half full. Prints one JSON line per seed; exits 1 if a run has failed.
"""

import asyncio
import traceback

import typer

from larkpost.platform.stand_in.memory_store import StoreFaults
from tests.platform_checks import CONTACT_SECONDS
from tests.platform_fleet import MODEL, make_batch
from tests.soak import BROKEN_CHARACTERS, Report, VirtualSoak, play_seeds, run_seeded

BURST_SECONDS = 12.0
CALM_SECONDS = 14.0
CHECK_SECONDS = 0.25
IDLE_SECONDS = 5.0
"""The users' bound: an item may be at no server for this long, in steady state."""
STEP_SECONDS = 2.5
"""Mean time between two batches in a burst."""
LISTED_SECONDS = 1.0
"""Time in which a finished item is listed and a batch's end is known."""
EVENTS = 90
WAVES, WAVE_SECONDS = 5, 0.4
SUSPEND_SECONDS = (0.5, 4.0)


class IdleSoak(VirtualSoak):
    """A fleet, bursts of faults, and calm times."""

    def __init__(self, seed: int, daemons: int, engines: int, gap: float) -> None:
        super().__init__(seed, daemons, engines, gap)
        self.fleet.engines.output_events = EVENTS
        self.fleet.restart_seconds = 0.5
        self.accepted_at: dict[str, float] = {}

    async def play_bursts(self, bursts: int) -> Report:
        """Plays bursts of faults, each followed by a calm time."""
        await self.fleet.wait(1.0)
        try:
            for _ in range(bursts):
                await self._burst()
                self._end_faults()
                await self._check_calm()
        except AssertionError:
            self.report.broken = traceback.format_exc()[-BROKEN_CHARACTERS:]
        return self.report

    async def _burst(self) -> None:
        """Submits batches while faults overlap."""
        tasks = [asyncio.create_task(self._inject_faults()), asyncio.create_task(self._submit())]
        tasks += [asyncio.create_task(self._crash_waves()), asyncio.create_task(self._suspend())]
        await self.fleet.wait(BURST_SECONDS)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _submit(self) -> None:
        """Submits batches, some of which are ended before they are complete."""
        while True:
            await self.fleet.wait(self.rng.expovariate(1 / STEP_SECONDS))
            spec = make_batch(f"s{len(self.accepted_at)}-{self.rng.random()}", 8, self.version - 1)
            for _ in range(4):
                gateway = self._running_gateway()
                if gateway is not None and await self.oracle.submit(gateway, spec):
                    self.accepted_at[spec.id] = self.fleet.now()
                    break
                await self.fleet.wait(0.3)
            if self.rng.random() < 0.3:
                self.version += 1
                self.fleet.put("operator", MODEL, str(self.version).encode())
            gateway = self._running_gateway()
            if gateway is not None and self.accepted_at and self.rng.random() < 0.3:
                await self.oracle.end(gateway, self.rng.choice(list(self.accepted_at)))

    async def _crash_waves(self) -> None:
        """Crashes engines again and again, which are soon back."""
        while True:
            await self.fleet.wait(self.rng.expovariate(1 / 4.0))
            for _ in range(self.rng.randint(1, WAVES)):
                running = [n for n, s in self.fleet.engines.engines.items() if not s.down]
                for name in self.rng.sample(sorted(running), len(running) // 3):
                    self.fleet.engines.crash(name)
                await self.fleet.wait(WAVE_SECONDS)

    async def _suspend(self) -> None:
        """Suspends daemons."""
        while True:
            await self.fleet.wait(self.rng.expovariate(1 / 4.0))
            clock = self.rng.choice(self.fleet.clocks)
            clock.suspend()
            await self._pause(SUSPEND_SECONDS)
            clock.wake()

    def _end_faults(self) -> None:
        """Ends all faults; every machine and every engine that is listed is sound again."""
        fleet = self.fleet
        fleet.store.faults = StoreFaults()
        for client in fleet.clients:
            client.cut_off = False
        for clock in fleet.clocks:
            clock.wake()
        for name, engine in fleet.engines.engines.items():
            if name not in fleet.crashed_at:
                engine.down = False
            engine.break_after = None
            engine.event_seconds = 0.03
        machines = {gateway.settings.machine for gateway in fleet.gateways}
        running = {
            gateway.settings.machine
            for number, gateway in enumerate(fleet.gateways)
            if number not in self.stopped
        }
        for machine in sorted(machines - running):
            fleet.add_gateway(machine)

    async def _check_calm(self) -> None:
        """Checks during a calm time that no item lies at no server."""
        calm_since = self.fleet.now()
        waiting = sum(len(self.oracle.accepted[batch].items) for batch in self.oracle.missing())
        self.report.faults["open_items"] = self.report.faults.get("open_items", 0) + waiting
        self.report.faults["crashes"] = len(self.fleet.crashed_at)
        while self.fleet.now() - calm_since < CALM_SECONDS:
            await self.fleet.wait(CHECK_SECONDS)
            if self._is_half_full():
                calm_since = max(calm_since, self.fleet.now() - CONTACT_SECONDS)
                if self.fleet.now() > BURST_SECONDS * 50:
                    return
            self._check_idle(calm_since + CONTACT_SECONDS)
        self.report.steps += 1

    def _is_half_full(self) -> bool:
        sound = [state for state in self.fleet.model_engines() if not state.down]
        return sum(state.running for state in sound) * 2 >= sum(state.slots for state in sound)

    def _check_idle(self, steady_since: float) -> None:
        """Checks that each unfinished item was at a server recently."""
        fleet = self.fleet
        engines = fleet.engines
        finished = {name for state in engines.engines.values() for name in state.whole_at}
        for batch in self.oracle.missing():
            listed = {result.item for result in fleet.stored_results(batch)}
            for item in self.oracle.accepted[batch].items:
                if item.id in listed or item.id in finished or engines.running[item.id]:
                    continue
                idle_since = max(steady_since, engines.left_at.get(item.id, 0.0))
                idle = fleet.now() - idle_since
                assert idle <= IDLE_SECONDS, (
                    f"{item.id} was at no server for {idle:.1f} s of calm; "
                    f"it ran until {engines.left_at.get(item.id)}, now is {fleet.now():.1f}"
                )


def soak(seed: int, bursts: int, daemons: int, engines: int, gap: float) -> Report:
    """Runs one soak and returns its report; see `tests.soak.soak`."""

    async def play() -> Report:
        return await IdleSoak(seed, daemons, engines, gap).play_bursts(bursts)

    return run_seeded(seed, play())


def main(
    bursts: int = typer.Option(3, help="bursts of faults in each run"),
    seeds: int = typer.Option(3, help="how many runs, each with another seed"),
    first_seed: int = typer.Option(1, help="seed of the first run"),
    daemons: int = typer.Option(6, help="daemons"),
    engines: int = typer.Option(6, help="engines of 8 places"),
    gap: float = typer.Option(0.8, help="mean virtual seconds between two faults"),
) -> None:
    """Plays some runs and prints a line of JSON for each."""
    play_seeds(
        range(first_seed, first_seed + seeds),
        lambda seed: soak(seed, bursts, daemons, engines, gap),
    )


if __name__ == "__main__":
    typer.run(main)
