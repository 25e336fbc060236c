"""Priorities of items at engines and in the slot queue, and the detection of stalled runs."""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import replace

import orjson

from larkpost.common.clock import LoopClock
from larkpost.gateway.blackboard.configuration import (
    Configuration,
    Route,
    RouteKind,
    ServiceName,
    ServiceShare,
)
from larkpost.gateway.blackboard.tenants import Tenant, TenantName
from larkpost.gateway.rollouts.engine_priorities import EnginePriorities
from larkpost.gateway.rollouts.progress import LONG_ITEM_EVENTS, Progress
from larkpost.gateway.rollouts.slot_queue import queue_order
from larkpost.gateway.rollouts.stall_detector import (
    LOADING_STALL_TIMEOUT_SECONDS,
    MIN_STALL_TIMEOUT_SECONDS,
    MonitoredRun,
    StallDetector,
    stall_timeout_seconds,
)
from tests.platform_fleet import ENGINES, PlatformFleet, check_results, make_batch
from tests.server_parts import make_instance
from tests.virtual import run

FIRST = TenantName("first")
SECOND = TenantName("second")
ROUTE = Route(
    "r", "h", b"/", RouteKind.BATCH, (ServiceShare(ServiceName("s"), 1.0),), 2.0, 0.2, priority=2
)


class EnginePriorityTest(unittest.TestCase):
    """Engine priorities within a batch."""

    def setUp(self):
        self.items = make_batch(items=40).items
        self.priorities = EnginePriorities(self.items)

    def test_long_items_come_before_short_ones_within_a_priority(self):
        ranks = [self.priorities.engine_priority(Progress(item), 1) for item in self.items]
        self.assertEqual(sorted(ranks, reverse=True), ranks)  # later items are longer
        self.assertEqual({3, 4, 5}, set(ranks))
        self.assertLess(ranks.count(3), 10)

    def test_priority_comes_before_length(self):
        long, short = self.items[-1], self.items[0]
        urgent = self.priorities.engine_priority(Progress(short), 0)
        self.assertLess(urgent, self.priorities.engine_priority(Progress(long), 1))

    def test_priorities_stay_within_the_range_of_engines(self):
        item = self.items[0]
        for priority in (-3, 0, 3, 50):
            self.assertIn(self.priorities.engine_priority(Progress(item), priority), range(10))

    def test_items_of_a_yielding_batch_rank_one_length_class_lower(self):
        for item in self.items:
            progress = Progress(item)
            usual = self.priorities.engine_priority(progress, 1)
            yielding = self.priorities.engine_priority(progress, 1, yields=True)
            self.assertEqual(min(usual + 1, 5), yielding)
            self.assertLess(yielding, self.priorities.engine_priority(progress, 2))

    def test_an_item_that_is_already_long_ranks_as_long(self):
        item = self.items[0]
        progress = Progress(item)
        for number in range(1, LONG_ITEM_EVENTS + 1):
            progress.take(number, b"x", 1)
        self.assertEqual(0, self.priorities.engine_priority(progress, 0))

    def test_a_batch_without_items_ranks_all_as_short(self):
        self.assertEqual(2, EnginePriorities(()).engine_priority(Progress(self.items[0]), 0))


class QueueTest(unittest.TestCase):
    """Order of the slot queue."""

    def test_long_items_come_first_then_those_with_most_expected_work(self):
        cases = (
            # events so far, tokens, length hint of the trainer
            (LONG_ITEM_EVENTS, 40, 0),
            (LONG_ITEM_EVENTS, 900, 30),
            (LONG_ITEM_EVENTS - 1, 900, 0),
            (0, 100, 800),
            (0, 700, 0),
            (0, 900, 20),
        )
        ranks = []
        for events, tokens, hint in cases:
            item = replace(make_batch(items=1).items[0], tokens=tokens, length_hint=hint)
            ranks.append(queue_order(Progress(item, [b"x"] * events)))
        self.assertEqual(sorted(ranks), ranks)
        self.assertEqual(len(cases), len(set(ranks)))


class PriorityTest(unittest.TestCase):
    """A tenant's priority takes precedence over its route's."""

    def test_the_tenant_decides_where_it_has_a_priority(self):
        tenants = (Tenant(FIRST, frozenset(), 0), Tenant(SECOND, frozenset()))
        configuration = Configuration(1, (ROUTE,), {}, tenants=tenants)
        for tenant, priority in ((FIRST, 0), (SECOND, 2), (None, 2), (TenantName("gone"), 2)):
            self.assertEqual(priority, configuration.priority_of(tenant, ROUTE))


def _of_pace(service_time: float) -> Callable[[MonitoredRun], float]:
    """Returns the stall timeout of runs at engines with a service time."""
    return lambda _: stall_timeout_seconds(service_time)


class StallTest(unittest.TestCase):
    """Detection and abortion of stalled runs."""

    def test_a_run_is_stalled_after_a_silence_of_several_events(self):
        async def play():
            clock = LoopClock()
            watcher = StallDetector(clock)
            async with asyncio.timeout(10.0) as limit:
                with watcher.watch(make_instance("fast", ENGINES), limit) as watch:
                    await clock.sleep(MIN_STALL_TIMEOUT_SECONDS - 0.01)
                    self.assertEqual([], watcher.find_stalled(_of_pace(0.0)))
                    await clock.sleep(0.02)
                    self.assertEqual([watch], watcher.find_stalled(_of_pace(0.0)))
                    self.assertEqual([], watcher.find_stalled(_of_pace(0.2)))  # a slow engine
                    watch.record_event(clock.now(), 1.0)
                    self.assertEqual([], watcher.find_stalled(_of_pace(0.0)))
                self.assertEqual([], watcher.find_stalled(_of_pace(0.0)))

        run(play())

    def test_stall_timeout(self):
        for service_time, is_loading, expected in (
            (0.0, False, MIN_STALL_TIMEOUT_SECONDS),
            (0.034, False, MIN_STALL_TIMEOUT_SECONDS),
            (0.1, False, 0.6),  # a slow engine is not stalled
            (0.034, True, LOADING_STALL_TIMEOUT_SECONDS),  # its runs continue after the load
            (0.3, True, 1.8),
        ):
            with self.subTest(service_time=service_time, is_loading=is_loading):
                self.assertAlmostEqual(
                    expected, stall_timeout_seconds(service_time, is_loading=is_loading)
                )

    def test_a_run_that_timed_out_is_not_stalled(self):
        """It may time out in the same event loop iteration in which it is checked."""

        async def play():
            watcher = StallDetector(LoopClock())
            found = []
            loop = asyncio.get_running_loop()
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(1.0) as limit:
                    with watcher.watch(make_instance("e", ENGINES), limit):
                        # Called after the timeout has expired, before the run is cancelled.
                        loop.call_at(loop.time() + 1.0, self._look, watcher, limit, found)
                        await asyncio.sleep(5.0)
            self.assertEqual([(True, [])], found)

        run(play())

    @staticmethod
    def _look(watcher, limit, found) -> None:
        found.append((limit.expired(), watcher.find_stalled(_of_pace(0.0))))

    def test_a_stalled_run_stays_while_there_is_no_free_slot(self):
        """Only as many runs are aborted as there are free slots; the others stay."""

        async def play():
            fleet = PlatformFleet(1, 2)
            first, second = fleet.model_engines()
            first.stall_after = 1
            second.slots = 2
            second.event_seconds = 0.5
            entry = {"service": ENGINES, "slots": 2, "state": "ready", "version": 1}
            fleet.put("instances", "engine-1", orjson.dumps(entry))
            await fleet.wait(1.0)
            spec = make_batch(items=16)
            await fleet.gateways[0].batches.submit(spec)
            await fleet.wait(1.1)
            self.assertEqual(8, len(first.runs))
            first.stall_after = None
            second.event_seconds = 0.03
            check_results(self, spec, await fleet.read_all(fleet.gateways[0], spec.id))

        run(play())


if __name__ == "__main__":
    unittest.main()
