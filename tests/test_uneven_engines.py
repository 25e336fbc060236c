"""Batches over engines that differ for good and are slowed for moments: how runs are moved."""

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
"""Events of an item that is not long."""


def smoothed_paces() -> AbstractContextManager:
    """Bursts are no longer told from what an engine is for good."""
    return mock.patch.object(ServiceTimeTracker, "lasting", lambda self, name: self._smoothed(name))


async def slow_now_and_then(fleet: PlatformFleet, engine: ScriptedEngine, seed: int) -> None:
    """Slows an engine in a share of the time."""
    rng = random.Random(seed)
    usual = engine.event_seconds
    while True:
        is_slowed = rng.random() < BURST_SHARE
        engine.event_seconds = usual * BURST if is_slowed else usual
        await fleet.clock.sleep(BURST_SECONDS)


async def play_steps(paces: list[float], *, events: int, steps: int = 3) -> tuple[int, float]:
    """Runs some batches over engines of these paces with bursts.

    Returns:
        Runs that were ended to go on elsewhere, and the seconds that the batches took.
    """
    fleet = PlatformFleet(1, len(paces))
    fleet.engines.output_events = events
    tasks = []
    for number, (engine, pace) in enumerate(zip(fleet.model_engines(), paces, strict=True)):
        engine.event_seconds = pace
        tasks.append(asyncio.create_task(slow_now_and_then(fleet, engine, number)))
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
    """Engines of one pace or of two, each with bursts."""

    def moves(self, paces: list[float], events: int = EVENTS) -> int:
        """Returns the runs that were moved."""
        return run(play_steps(paces, events=events))[0]

    def test_runs_at_equal_engines_stay_through_bursts(self):
        self.assertEqual(0, self.moves([FAST] * ENGINE_COUNT, events=60))
        with smoothed_paces():
            self.assertGreater(self.moves([FAST] * ENGINE_COUNT, events=60), 0)

    def test_short_items_stay_at_slow_engines(self):
        self.assertEqual(0, self.moves([FAST, FAST, SLOW] * 2))

    def test_long_items_leave_slow_engines_once_and_the_step_is_sooner(self):
        def play(switch: AbstractContextManager) -> tuple[int, float]:
            with switch:
                return run(play_steps([FAST, FAST, SLOW] * 2, events=60))

        moves, seconds = play(nullcontext())
        stays, seconds_without = play(switched_off.moves_to_faster_engines())
        self.assertEqual(0, stays)
        self.assertGreater(moves, 0)
        self.assertLessEqual(moves, 3 * ITEMS // 3)  # at most those that began at a slow engine
        self.assertLess(seconds, seconds_without)


if __name__ == "__main__":
    unittest.main()
