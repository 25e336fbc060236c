"""Engine selection with cold engines: migrating runs, and the engines assigned to a model."""

import unittest
from unittest import mock

from larkpost.common.ids import InstanceId
from larkpost.gateway.rollouts.engine_selector import OWN_ENGINES_ONLY_SECONDS, EngineSelector
from larkpost.gateway.rollouts.model import BatchHead
from tests.cold_views import ENGINE, LONG_SECONDS, OTHER_ENGINE
from tests.platform_fleet import COLD_TERMS, ENGINES, MODEL, PlatformFleet, make_batch
from tests.virtual import run

SERVICE_TIME = 0.03


class ChoiceTest(unittest.TestCase):
    """Engine selection for one batch among two engines with the same service time."""

    async def begin(self) -> None:
        """Starts a daemon, and an engine selector for a batch that was just accepted."""
        self.fleet = PlatformFleet(gateways=1, engines=2, cold=COLD_TERMS)
        await self.fleet.wait(4.0)
        gateway = self.fleet.gateways[0]
        self.blackboard, self.balancer = gateway.blackboard, gateway.balancer
        self.services = gateway.batch_manager._services
        for name in (ENGINE, OTHER_ENGINE):
            self.balancer.record_service_time(name, SERVICE_TIME)
        spec = make_batch(items=1)
        head = BatchHead(
            spec.id, spec.host, spec.path, MODEL, 0, 0, 1, 1, gateway.id, 0.0, False, "u"
        )
        self.choice = EngineSelector(head, self.services)

    def cool(self, engine: InstanceId) -> None:
        """Makes an engine cold."""
        self.blackboard.cold.record(engine, LONG_SECONDS, self.fleet.clock.now())

    def fill(self, engine: InstanceId) -> None:
        """Occupies all slots of an engine."""
        for _ in range(self.blackboard.directory.get(engine).slots):
            self.balancer.occupy(engine)

    def own(self, *engines: InstanceId) -> None:
        """Assigns some engines to the model."""
        self.services.allocator = mock.Mock()
        self.services.allocator.engines_of.return_value = frozenset(engines)
        self.services.allocator.loading.return_value = frozenset()
        self.services.allocator.should_yield.return_value = False

    def test_migrating_run_takes_no_cold_engine(self):
        async def play():
            await self.begin()
            self.fill(ENGINE)
            self.assertEqual(OTHER_ENGINE, self.choice.choose(ENGINES, SERVICE_TIME).id)
            self.cool(OTHER_ENGINE)
            self.assertIsNone(self.choice.choose(ENGINES, SERVICE_TIME))
            self.assertEqual(OTHER_ENGINE, self.choice.choose(ENGINES).id)  # a waiting item

        run(play())

    def test_batch_whose_assigned_engines_are_all_cold_takes_a_warm_one(self):
        async def play():
            await self.begin()
            self.own(OTHER_ENGINE)
            self.assertEqual(OTHER_ENGINE, self.choice.choose(ENGINES).id)
            self.cool(OTHER_ENGINE)
            self.assertEqual(ENGINE, self.choice.choose(ENGINES).id)
            self.fill(ENGINE)
            self.assertEqual(OTHER_ENGINE, self.choice.choose(ENGINES).id)

        run(play())

    def test_new_batch_with_a_warm_assigned_engine_uses_no_other_one(self):
        async def play():
            await self.begin()
            self.own(ENGINE)
            self.cool(OTHER_ENGINE)
            self.fill(ENGINE)
            self.assertIsNone(self.choice.choose(ENGINES))
            await self.fleet.wait(OWN_ENGINES_ONLY_SECONDS + 0.1)
            self.assertEqual(OTHER_ENGINE, self.choice.choose(ENGINES).id)

        run(play())


if __name__ == "__main__":
    unittest.main()
