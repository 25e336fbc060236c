"""Tests that a batch with time to spare yields engines to a batch that waits for slots."""

import unittest

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import Configuration, ModelName, Service
from larkpost.gateway.blackboard.weight_targets import DeadlineForecast, ModelDemand
from larkpost.gateway.controllers.engine_allocator import (
    ALLOCATION_LIFETIME_SECONDS,
    EngineAllocator,
)
from larkpost.gateway.rollouts.engine_selector import OWN_ENGINES_ONLY_SECONDS
from tests.platform_fleet import ENGINES, MODEL, PlatformFleet, make_batch
from tests.virtual import run

OTHER = ModelName("other")
SHORT_OF_TIME = ModelDemand(100, open=True, submit_delay=0.02, waiting=5)
AT_LEISURE = ModelDemand(100, open=True, submit_delay=3.0, min_submit_delay=3.0)


class YieldingTest(unittest.TestCase):
    """Engines that a batch uses once it is no longer new."""

    def engines_used(self, *, yields: bool) -> int:
        """Returns how many of four engines a batch uses; two belong to its model."""

        async def play() -> int:
            fleet = PlatformFleet(1, 4)
            own = frozenset({InstanceId("engine-0"), InstanceId("engine-1")})
            await fleet.wait(1.0)
            allocator = fleet.gateways[0].batch_manager._services.allocator
            allocator.engines_of = lambda *_: own
            allocator.should_yield = lambda *_: yields
            for state in fleet.model_engines():
                state.event_seconds = 0.2
            await fleet.gateways[0].batches.submit(make_batch("batch", 40))
            await fleet.wait(OWN_ENGINES_ONLY_SECONDS + 0.4)
            return sum(bool(state.runs) for state in fleet.model_engines())

        return run(play())

    def test_batch_that_yields_stays_at_its_own_engines(self):
        self.assertEqual(2, self.engines_used(yields=True))

    def test_other_batches_use_free_engines(self):
        self.assertEqual(4, self.engines_used(yields=False))

    def test_assignment_marks_yielding_models_while_items_wait(self):
        async def play():
            fleet = PlatformFleet(1, 8)
            await fleet.wait(1.0)
            blackboard = fleet.gateways[0].blackboard
            service = Service(ENGINES, 100, slots=8, models=(MODEL, OTHER))
            blackboard.configuration.current = Configuration(9, (), {ENGINES: service})
            demands = {MODEL: AT_LEISURE, OTHER: SHORT_OF_TIME}
            allocator = EngineAllocator(blackboard, fleet.clock, lambda: demands)
            self.assertTrue(allocator.should_yield(ENGINES, MODEL))
            self.assertFalse(allocator.should_yield(ENGINES, OTHER))
            self.assertEqual(3, len(allocator.engines_of(ENGINES, MODEL)))
            self.assertEqual(5, len(allocator.engines_of(ENGINES, OTHER)))
            demands[OTHER] = ModelDemand(
                100, open=True, deadline_forecast=DeadlineForecast.TO_SPARE
            )
            await fleet.wait(2 * ALLOCATION_LIFETIME_SECONDS)
            self.assertFalse(allocator.should_yield(ENGINES, MODEL))
            self.assertEqual(4, len(allocator.engines_of(ENGINES, MODEL)))

        run(play())


if __name__ == "__main__":
    unittest.main()
