"""Cost of engine allocations with hundreds of engines and frequent queries."""

import unittest

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import Configuration
from larkpost.gateway.blackboard.weight_targets import WeightTarget
from larkpost.gateway.controllers.engine_allocator import (
    ALLOCATION_LIFETIME_SECONDS,
    ALLOCATION_LIFETIME_SECONDS_PER_ENGINE,
    EngineAllocator,
    allocation_lifetime,
)
from tests.platform_fleet import PlatformFleet
from tests.server_parts import FIRST, SECOND, TWO_MODELS, make_instance
from tests.virtual import run

ENGINES = 300
QUERIES = 50


class AllocationCostTest(unittest.TestCase):
    """How often an allocation examines its engines."""

    def test_allocation_is_reused_within_its_lifetime(self):
        async def play() -> tuple[int, int]:
            fleet = PlatformFleet(gateways=1, engines=0)
            await fleet.wait(1.0)
            board = fleet.gateways[0].blackboard
            board.configuration.current = Configuration(9, (), {TWO_MODELS.name: TWO_MODELS})
            for number in range(ENGINES):
                board.directory.update(make_instance(f"x{number}", TWO_MODELS.name))
            board.targets.update(WeightTarget(FIRST, 3), fleet.clock.now())
            lookups: list[InstanceId] = []
            asked: list[int] = []

            def service_time(engine: InstanceId) -> float:
                lookups.append(engine)
                return 0.05

            def demands() -> dict:
                asked.append(1)
                return {}

            allocator = EngineAllocator(board, fleet.clock, demands, service_time=service_time)
            for _ in range(QUERIES):
                allocator.engines_of(TWO_MODELS.name, FIRST)
                allocator.loading(TWO_MODELS.name, SECOND)
                allocator.should_yield(TWO_MODELS.name, FIRST)
                self.assertTrue(allocator.due(TWO_MODELS, fleet.clock.now()))
            return len(lookups), len(asked)

        self.assertEqual((ENGINES, 1), run(play()))

    def test_allocation_of_many_engines_lives_longer(self):
        few = {FIRST: [InstanceId("a")], SECOND: [InstanceId("b")]}
        many = {FIRST: [InstanceId(str(number)) for number in range(3200)]}
        self.assertEqual(ALLOCATION_LIFETIME_SECONDS, allocation_lifetime(few))
        self.assertAlmostEqual(
            3200 * ALLOCATION_LIFETIME_SECONDS_PER_ENGINE, allocation_lifetime(many)
        )


if __name__ == "__main__":
    unittest.main()
