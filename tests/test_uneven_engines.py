"""Batches on engines with different speeds and short bursts of slowness: which runs are moved."""

import asyncio
import random
import unittest
from contextlib import AbstractContextManager, nullcontext
from unittest import mock

from larkpost.gateway.proxy.service_time_tracker import ServiceTimeTracker
from tests import switched_off
from tests.platform_fleet import PlatformFleet, make_batch
from tests.scripted_engines import ScriptedEngine
from tests.virtual import run

FAST, SLOW = 0.034, 0.082
BURST = 2.5
BURST_SHARE = 0.15
BURST_SECONDS = 0.6
ENGINE_COUNT = 6
ITEMS = 48
EVENTS = 20
"""Number of events of a short item."""


def smoothed_service_times() -> AbstractContextManager:
    """Makes bursts indistinguishable from lasting differences between engines."""
    return mock.patch.object(
        ServiceTimeTracker, "long_term", lambda self, name: self._smoothed(name)
    )


async def slow_in_bursts(fleet: PlatformFleet, engine: ScriptedEngine, seed: int) -> None:
    """Slows an engine down for a share of the time."""
    rng = random.Random(seed)
    usual = engine.event_seconds
    while True:
        is_slowed = rng.random() < BURST_SHARE
        engine.event_seconds = usual * BURST if is_slowed else usual
        await fleet.clock.sleep(BURST_SECONDS)


async def play_steps(event_times: list[float], *, events: int, steps: int = 3) -> tuple[int, float]:
    """Runs some batches on engines of these speeds with bursts.

    Returns:
        The number of runs that were migrated, and the seconds that the batches took.
    """
    fleet = PlatformFleet(1, len(event_times))
    fleet.engines.output_events = events
    tasks = []
    for number, (engine, event_time) in enumerate(
        zip(fleet.model_engines(), event_times, strict=True)
    ):
        engine.event_seconds = event_time
        tasks.append(asyncio.create_task(slow_in_bursts(fleet, engine, number)))
    await fleet.wait(1.0)
    began = fleet.clock.now()
    for step in range(steps):
        spec = make_batch(f"step{step}", ITEMS)
        await fleet.gateways[0].batches.submit(spec)
        results = await fleet.read_all(fleet.gateways[0], spec.id)
        assert {result.item for result in results} == {item.id for item in spec.items}
    for task in tasks:
        task.cancel()
    runs = sum(len(engine.runs) for engine in fleet.model_engines())
    return runs - steps * ITEMS, fleet.clock.now() - began


class UnevenEnginesTest(unittest.TestCase):
    """Engines of equal or of two different speeds, each with bursts."""

    def moves(self, event_times: list[float], events: int = EVENTS) -> int:
        """Returns the number of runs that were moved."""
        return run(play_steps(event_times, events=events))[0]

    def test_runs_at_equal_engines_are_not_moved_in_bursts(self):
        self.assertEqual(0, self.moves([FAST] * ENGINE_COUNT, events=60))
        with smoothed_service_times():
            self.assertGreater(self.moves([FAST] * ENGINE_COUNT, events=60), 0)

    def test_short_items_stay_at_slow_engines(self):
        self.assertEqual(0, self.moves([FAST, FAST, SLOW] * 2))

    def test_long_items_leave_slow_engines_once_and_the_batches_are_faster(self):
        def play(switch: AbstractContextManager) -> tuple[int, float]:
            with switch:
                return run(play_steps([FAST, FAST, SLOW] * 2, events=60))

        moves, seconds = play(nullcontext())
        stays, seconds_without = play(switched_off.moves_to_faster_engines())
        self.assertEqual(0, stays)
        self.assertGreater(moves, 0)
        self.assertLessEqual(moves, 3 * ITEMS // 3)  # at most those that started on a slow engine
        self.assertLess(seconds, seconds_without)


if __name__ == "__main__":
    unittest.main()
