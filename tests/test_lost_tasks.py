"""Tests that an item's task that ends without a result, or an error in the queue, loses no item.

Guard against an item at no server because nothing works on it any more, without a line of the log.
"""

import asyncio
import unittest
from unittest import mock

from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.rollouts.batch_run import FAULT_PAUSE_SECONDS
from larkpost.gateway.rollouts.engine_runner import EngineRunner
from larkpost.gateway.rollouts.engine_selector import EngineSelector
from larkpost.gateway.rollouts.output_saver import (
    MIN_NEW_EVENTS,
    SAVE_INTERVAL_SECONDS,
    OutputSaver,
)
from tests.platform_fleet import PlatformFleet, check_results, make_batch
from tests.virtual import run

RUN_SECONDS = 3.0


class LostTasksTest(unittest.TestCase):
    """Errors that only a fault of larkpost's own, or of a library, could cause."""

    def setUp(self) -> None:
        """Collects the faults that are logged."""
        self.faults: list[dict] = []

        def record(_, event, **fields):
            if event is Event.FAULT:
                self.faults.append(fields)

        patch = mock.patch.object(EventLog, "record", record)
        patch.start()
        self.addCleanup(patch.stop)

    async def check_listed(self, fleet: PlatformFleet) -> None:
        """Submits a batch, and checks that it is listed in time, and that a fault was logged."""
        await fleet.wait(1.0)
        spec = make_batch(items=12)
        await fleet.submit(spec)
        await fleet.wait(RUN_SECONDS + FAULT_PAUSE_SECONDS)
        check_results(self, spec, fleet.stored_results(spec.id))
        self.assertTrue(self.faults)
        occupied = [
            fleet.gateways[0].balancer.use(name).outstanding for name in fleet.engines.engines
        ]
        self.assertEqual({0}, set(occupied), "a slot was not given back")

    def test_item_whose_task_was_cancelled_from_within(self):
        async def play():
            usual, failures = EngineRunner.run, iter([asyncio.CancelledError()])

            async def cancelled_once(self, item_run):
                for failure in failures:
                    raise failure
                return await usual(self, item_run)

            with mock.patch.object(EngineRunner, "run", cancelled_once):
                await self.check_listed(PlatformFleet(gateways=1, engines=2))

        run(play())

    def test_error_of_one_request_for_a_slot(self):
        async def play():
            usual, failures = EngineSelector.record_assigned, iter([KeyError("x")] * 3)

            def failing(self, engine, work):
                for failure in failures:
                    raise failure
                usual(self, engine, work)

            with mock.patch.object(EngineSelector, "record_assigned", failing):
                await self.check_listed(PlatformFleet(gateways=1, engines=2))

        run(play())

    def test_error_while_outputs_are_stored(self):
        async def play():
            usual, failures = OutputSaver.save, iter([KeyError("x")])
            saves = []

            async def failing(self, running, minimum):
                for failure in failures:
                    raise failure
                await usual(self, running, minimum)
                saves.append(minimum)

            with mock.patch.object(OutputSaver, "save", failing):
                fleet = PlatformFleet(gateways=1, engines=2)
                for engine in fleet.model_engines():
                    engine.event_seconds = 2 * SAVE_INTERVAL_SECONDS / MIN_NEW_EVENTS
                await self.check_listed(fleet)
            self.assertTrue(saves, "no output was stored any more")

        run(play())

    def test_error_of_the_stall_check(self):
        async def play():
            failing = mock.patch.object(EngineSelector, "stall_timeout", side_effect=KeyError("x"))
            with failing:
                fleet = PlatformFleet(gateways=1, engines=2)
                fleet.model_engines()[0].stall_after = 2
                await self.check_listed(fleet)

        run(play())
