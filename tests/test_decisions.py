"""How soon and how well a fleet decides: acceptance, taking over, places of moved runs."""

import random
import unittest
from dataclasses import replace
from unittest import mock

from larkpost.common.errors import LarkpostError
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceInfo
from larkpost.gateway.controllers.engine_allocator import EngineAllocator
from larkpost.gateway.controllers.heartbeat_intervals import DEAD_AFTER_SECONDS
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.instance_use import PROBE_SECONDS
from larkpost.gateway.rollouts.engine_selector import (
    BEST_SERVICE_TIME_CACHE_SECONDS,
    EngineSelector,
)
from larkpost.gateway.rollouts.faster_engine import FasterEngineRequest, MigrateRunError
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.rollouts.progress import LONG_ITEM_EVENTS, ItemRun, Progress
from larkpost.gateway.rollouts.slot_queue import SlotQueue
from larkpost.gateway.store.port import RowKey, Transaction
from larkpost.platform.stand_in.memory_store import StoreFaults
from tests.platform_fleet import (
    ENGINES,
    MODEL,
    ROUTE,
    PlatformFleet,
    check_results,
    make_batch,
)
from tests.server_parts import make_instance
from tests.virtual import run

REFUSAL_SECONDS = 1.0
"""A trainer that waits longer loses the time in which another daemon would accept."""


class AcceptanceTest(unittest.TestCase):
    """A daemon that does not reach the store says so soon."""

    def test_daemon_cut_off_from_the_store_answers_soon(self):
        self.assertLess(self.seconds_until_refused(StoreFaults(down=True)), REFUSAL_SECONDS)

    def test_daemon_refused_by_the_store_answers_soon(self):
        self.assertLess(self.seconds_until_refused(StoreFaults(refuses=True)), REFUSAL_SECONDS)

    def seconds_until_refused(self, faults: StoreFaults) -> float:
        """Returns how long a submission takes to fail."""

        async def play() -> float:
            fleet = PlatformFleet()
            await fleet.wait(1.0)
            fleet.store.faults = faults
            began = fleet.clock.now()
            with self.assertRaises(LarkpostError):
                await fleet.gateways[0].batches.submit(make_batch())
            return fleet.clock.now() - began

        return run(play())

    def test_slow_store_is_waited_for(self):
        async def play():
            fleet = PlatformFleet()
            await fleet.wait(1.0)
            fleet.store.faults = StoreFaults(slow_seconds=0.3)
            spec = make_batch("first")
            await fleet.gateways[0].batches.submit(spec)
            check_results(self, spec, await fleet.read_all(fleet.gateways[0], spec.id))
            fleet.store.faults = StoreFaults(slow_seconds=0.8)
            await fleet.wait(6.0)
            spec = make_batch("second")
            with self.assertRaises(LarkpostError):  # nothing is known of so slow a store yet
                await fleet.gateways[1].batches.submit(spec)
            await fleet.gateways[1].batches.submit(spec)
            check_results(self, spec, await fleet.read_all(fleet.gateways[1], spec.id))

        run(play())


class TakeoverTest(unittest.TestCase):
    """How soon a dead owner's batch goes on, and that a slow store blames nobody."""

    def test_batch_of_a_dead_owner_is_claimed_soon(self):
        async def play():
            fleet = PlatformFleet()
            await fleet.wait(3.0)
            for state in fleet.engines.engines.values():
                state.event_seconds = 0.3
            spec = make_batch(items=40)
            owner = await fleet.submit(spec)
            await fleet.wait(0.5)
            fleet.kill(owner)
            await fleet.wait(DEAD_AFTER_SECONDS + 0.7)
            owners = [gateway for gateway in fleet.gateways if gateway.keeper.owned()]
            self.assertEqual(1, len(owners))

        run(play())

    def test_slow_store_makes_no_living_daemon_dead(self):
        async def play():
            fleet = PlatformFleet()
            await fleet.wait(3.0)
            fleet.store.faults = StoreFaults(slow_seconds=0.3)
            for _ in range(40):
                await fleet.wait(0.25)
                for gateway in fleet.gateways:
                    self.assertEqual(3, len(list(gateway.membership.alive())))

        run(play())


class LapsedEntryTest(unittest.TestCase):
    """Entries of servers that lapse while the store is away."""

    def test_instances_serve_until_their_entries_are_back_or_given_up(self):
        async def play():
            fleet = PlatformFleet(engines=3)
            await fleet.wait(4.0)
            directory = fleet.gateways[0].directory
            fleet.store.faults = StoreFaults(down=True)
            await fleet.wait(2.0)
            for name in ("engine-0", "engine-1", "engine-2"):
                key = RowKey("instances", "", name)
                fleet.store.apply(Transaction(removals=(key,)))
            fleet.store.faults = StoreFaults()
            fleet.add_engine(InstanceId("engine-0"))
            await fleet.wait(1.0)
            self.assertEqual(3, len(directory.of_service(ENGINES)))
            fleet.add_engine(InstanceId("engine-1"))
            await fleet.wait(3.5)
            left = {info.id for info in directory.of_service(ENGINES)}
            self.assertEqual({"engine-0", "engine-1"}, left)

        run(play())


class EngineChoiceScene(unittest.TestCase):
    """The choice of one batch among some engines."""

    def begin(self, *paces: float) -> None:
        """Starts a choice among engines of these paces; the version of each is 1."""
        fleet = PlatformFleet(gateways=1, engines=0)
        self.clock = fleet.clock
        services = fleet.gateways[0].keeper._services
        services.directory = self.directory = InstanceDirectory()
        services.balancer = self.balancer = Balancer(self.directory, self.clock, random.Random(0))
        for number, pace in enumerate(paces):
            self.put(number, version=1)
            if pace:
                self.balancer.record_service_time(InstanceId(f"e{number}"), pace)
        spec = make_batch(items=1)
        head = BatchHead(
            spec.id, spec.host, spec.path, MODEL, 0, 0, 1, 1, fleet.gateways[0].id, 0.0, False, "u"
        )
        self.choice = EngineSelector(head, services)
        self.progress = Progress(spec.items[0])

    def put(self, number: int, version: int) -> None:
        """Lists an engine with a version."""
        engine = make_instance(f"e{number}", ENGINES, slots=2)
        self.directory.update(replace(engine, versions={MODEL: version}))

    def fill(self, number: int) -> None:
        """Takes all places of an engine."""
        for _ in range(2):
            self.balancer.occupy(InstanceId(f"e{number}"))

    def engine(self, number: int) -> InstanceInfo:
        """Returns an engine."""
        return self.directory.get(InstanceId(f"e{number}"))


class MovedRunTest(EngineChoiceScene):
    """Where a run that leaves a slow engine goes on."""

    def run_at(self, number: int) -> ItemRun:
        """Returns a run at an engine that has shown itself long."""
        self.progress.events = [b"x"] * LONG_ITEM_EVENTS
        return ItemRun(self.engine(number), ROUTE, self.progress)

    def test_moved_run_takes_no_slower_engine(self):
        async def play():
            self.begin(0.04, 0.02, 0.05, 0.0)
            self.assertEqual("e1", self.choice.choose(ENGINES, 0.04).id)
            self.fill(1)
            self.assertEqual("e0", self.choice.choose(ENGINES, 0.04).id)
            self.fill(0)
            self.assertIsNone(self.choice.choose(ENGINES, 0.04))
            self.assertIsNotNone(self.choice.choose(ENGINES))

        run(play())

    def test_run_stays_while_the_faster_engine_is_about_to_load(self):
        async def play():
            self.begin(0.09, 0.02)
            self.put(0, version=2)
            self.assertEqual(0.0, self.choice.target_service_time(self.run_at(0)))
            self.put(1, version=2)
            await self.clock.sleep(BEST_SERVICE_TIME_CACHE_SECONDS + 0.01)
            self.assertGreater(self.choice.target_service_time(self.run_at(0)), 0.0)

        run(play())

    def test_run_stays_if_the_pace_of_its_new_engine_is_known_no_longer(self):
        async def play():
            self.begin(0.09, 0.02)
            self.assertTrue(self.choice.may_migrate_to(self.engine(1), self.run_at(0)))
            self.put(2, version=1)
            self.assertFalse(self.choice.may_migrate_to(self.engine(2), self.run_at(0)))

        run(play())

    def test_moved_run_takes_no_engine_that_loads(self):
        async def play():
            self.begin(0.04, 0.02)
            with mock.patch.object(EngineAllocator, "loading", lambda *_: frozenset({"e1"})):
                self.assertEqual("e0", self.choice.choose(ENGINES, 0.04).id)

        run(play())


class LoadingEngineTest(EngineChoiceScene):
    """An engine that loads weights refuses all that come until it has loaded."""

    def test_one_item_at_a_time_tries_it(self):
        async def play():
            self.begin(0.04)
            with mock.patch.object(EngineAllocator, "loading", lambda *_: frozenset({"e0"})):
                self.take_place()
                self.assertIsNone(self.choice.choose(ENGINES))
                await self.clock.sleep(PROBE_SECONDS + 0.01)
                self.take_place()
                self.assertIsNone(self.choice.choose(ENGINES))
                self.balancer.record_load(InstanceId("e0"), None)  # it has taken the item
                self.assertEqual("e0", self.choice.choose(ENGINES).id)

        run(play())

    def take_place(self) -> None:
        """Assigns an item a place at the engine; it is refused."""
        engine = self.choice.choose(ENGINES)
        self.balancer.occupy(engine.id)
        self.choice.record_assigned(engine)
        self.balancer.release(engine.id)


class AssignedPlaceTest(unittest.TestCase):
    """The request of a long run for a place at a faster engine, once it has one."""

    async def begin(self) -> None:
        """Has a run at a slow engine request a place at a fast one, which it is given."""
        self.fleet = PlatformFleet(gateways=1, engines=2)
        await self.fleet.wait(1.0)
        gateway = self.fleet.gateways[0]
        self.blackboard, self.balancer = gateway.blackboard, gateway.balancer
        self.slow, self.fast = self.blackboard.directory.of_service(ENGINES)
        self.balancer.record_service_time(self.slow.id, 0.09)
        self.balancer.record_service_time(self.fast.id, 0.03)
        spec = make_batch(items=1)
        head = BatchHead(
            spec.id, spec.host, spec.path, MODEL, 0, 0, 1, 1, gateway.id, 0.0, False, "u"
        )
        engines = EngineSelector(head, gateway.keeper._services)
        places = SlotQueue(engines, self.balancer, self.fleet.clock)
        route = self.blackboard.configuration.current.match(spec.host, spec.path.encode())
        progress = Progress(spec.items[0])
        progress.events = [b"x"] * LONG_ITEM_EVENTS
        self.request = FasterEngineRequest(places, engines, ItemRun(self.slow, route, progress))
        self.request.request_if_slow()
        await self.fleet.wait(0.1)
        self.assertEqual(1, self.balancer.use(self.fast.id).outstanding)

    def test_run_goes_to_the_place(self):
        async def play():
            await self.begin()
            with self.assertRaises(MigrateRunError) as caught:
                self.request.raise_if_assigned()
            self.assertEqual(self.fast.id, caught.exception.engine.id)

        run(play())

    def test_run_stays_if_the_place_is_in_an_evacuated_zone_by_then(self):
        async def play():
            await self.begin()
            self.blackboard.evacuations.begin(self.fast.zone, self.fleet.clock.now())
            self.request.raise_if_assigned()
            self.assertEqual(0, self.balancer.use(self.fast.id).outstanding)
            self.request.request_if_slow()
            await self.fleet.wait(0.1)
            self.request.raise_if_assigned()  # no other engine is as fast

        run(play())


if __name__ == "__main__":
    unittest.main()
