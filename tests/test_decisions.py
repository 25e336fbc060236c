"""Latency and quality of decisions: acceptance, failover, and slots of migrating runs."""

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
"""Longest time to refuse a batch; meanwhile the trainer could submit it to another daemon."""


class AcceptanceTest(unittest.TestCase):
    """A daemon that cannot reach the store refuses batches quickly."""

    def test_daemon_cut_off_from_the_store_answers_soon(self):
        self.assertLess(self.seconds_until_refused(StoreFaults(down=True)), REFUSAL_SECONDS)

    def test_daemon_refused_by_the_store_answers_soon(self):
        self.assertLess(self.seconds_until_refused(StoreFaults(refuses=True)), REFUSAL_SECONDS)

    def seconds_until_refused(self, faults: StoreFaults) -> float:
        """Returns the seconds until a submission fails."""

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
            with self.assertRaises(LarkpostError):  # the timeout has not adapted to the store yet
                await fleet.gateways[1].batches.submit(spec)
            await fleet.gateways[1].batches.submit(spec)
            check_results(self, spec, await fleet.read_all(fleet.gateways[1], spec.id))

        run(play())


class FailoverTest(unittest.TestCase):
    """Batches of dead owners are claimed quickly; a slow store makes no daemon count as dead."""

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
            owners = [gateway for gateway in fleet.gateways if gateway.batch_manager.owned()]
            self.assertEqual(1, len(owners))

        run(play())

    def test_slow_store_makes_no_daemon_count_as_dead(self):
        async def play():
            fleet = PlatformFleet()
            await fleet.wait(3.0)
            fleet.store.faults = StoreFaults(slow_seconds=0.3)
            for _ in range(40):
                await fleet.wait(0.25)
                for gateway in fleet.gateways:
                    self.assertEqual(3, len(list(gateway.membership.alive())))

        run(play())


class ExpiredEntryTest(unittest.TestCase):
    """Server entries that expire while the store is down."""

    def test_instances_serve_until_their_entries_return_or_are_dropped(self):
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


class EngineSelectionFixture(unittest.TestCase):
    """Fixture with an engine selector for one batch and some engines."""

    def begin(self, *service_times: float) -> None:
        """Creates engines with these service times, all with version 1, and a selector."""
        fleet = PlatformFleet(gateways=1, engines=0)
        self.clock = fleet.clock
        services = fleet.gateways[0].batch_manager._services
        services.directory = self.directory = InstanceDirectory()
        services.balancer = self.balancer = Balancer(self.directory, self.clock, random.Random(0))
        for number, service_time in enumerate(service_times):
            self.put(number, version=1)
            if service_time:
                self.balancer.record_service_time(InstanceId(f"e{number}"), service_time)
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
        """Occupies all slots of an engine."""
        for _ in range(2):
            self.balancer.occupy(InstanceId(f"e{number}"))

    def engine(self, number: int) -> InstanceInfo:
        """Returns an engine."""
        return self.directory.get(InstanceId(f"e{number}"))


class MigratingRunTest(EngineSelectionFixture):
    """Engines to which a run at a slow engine may migrate."""

    def run_at(self, number: int) -> ItemRun:
        """Returns a run of a long item at an engine."""
        self.progress.events = [b"x"] * LONG_ITEM_EVENTS
        return ItemRun(self.engine(number), ROUTE, self.progress)

    def test_migrating_run_takes_no_slower_engine(self):
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

    def test_run_stays_if_the_service_time_of_the_new_engine_is_unknown(self):
        async def play():
            self.begin(0.09, 0.02)
            self.assertTrue(self.choice.may_migrate_to(self.engine(1), self.run_at(0)))
            self.put(2, version=1)
            self.assertFalse(self.choice.may_migrate_to(self.engine(2), self.run_at(0)))

        run(play())

    def test_migrating_run_takes_no_loading_engine(self):
        async def play():
            self.begin(0.04, 0.02)
            with mock.patch.object(EngineAllocator, "loading", lambda *_: frozenset({"e1"})):
                self.assertEqual("e0", self.choice.choose(ENGINES, 0.04).id)

        run(play())


class LoadingEngineTest(EngineSelectionFixture):
    """An engine that loads weights refuses all work until the load has ended."""

    def test_one_item_at_a_time_tries_it(self):
        async def play():
            self.begin(0.04)
            with mock.patch.object(EngineAllocator, "loading", lambda *_: frozenset({"e0"})):
                self.take_slot()
                self.assertIsNone(self.choice.choose(ENGINES))
                await self.clock.sleep(PROBE_SECONDS + 0.01)
                self.take_slot()
                self.assertIsNone(self.choice.choose(ENGINES))
                self.balancer.record_load(InstanceId("e0"), None)  # it has accepted the item
                self.assertEqual("e0", self.choice.choose(ENGINES).id)

        run(play())

    def take_slot(self) -> None:
        """Assigns an item a slot at the engine, which refuses it."""
        engine = self.choice.choose(ENGINES)
        self.balancer.occupy(engine.id)
        self.choice.record_assigned(engine, self.choice.item_work.work_of())
        self.balancer.release(engine.id)


class AssignedSlotTest(unittest.TestCase):
    """A long run that was assigned a slot at a faster engine."""

    async def begin(self) -> None:
        """Has a run at a slow engine request a slot at a fast one, and get it."""
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
        selector = EngineSelector(head, gateway.batch_manager._services)
        slot_queue = SlotQueue(selector, self.balancer, self.fleet.clock)
        route = self.blackboard.configuration.current.match(spec.host, spec.path.encode())
        progress = Progress(spec.items[0])
        progress.events = [b"x"] * LONG_ITEM_EVENTS
        self.request = FasterEngineRequest(
            slot_queue, selector, ItemRun(self.slow, route, progress)
        )
        self.request.request_if_slow()
        await self.fleet.wait(0.1)
        self.assertEqual(1, self.balancer.use(self.fast.id).outstanding)

    def test_run_migrates_to_the_slot(self):
        async def play():
            await self.begin()
            with self.assertRaises(MigrateRunError) as caught:
                self.request.raise_if_assigned()
            self.assertEqual(self.fast.id, caught.exception.engine.id)

        run(play())

    def test_run_stays_if_the_zone_of_the_slot_was_evacuated_meanwhile(self):
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
