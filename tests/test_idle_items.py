"""Tests that the log tells why an item makes no progress, and which batch nobody runs.

Guard against an item at no server whose reason no line names.
"""

import unittest
from unittest import mock

from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.rollouts.claims import BatchClaims
from larkpost.gateway.rollouts.idle_items import CHECK_INTERVAL_SECONDS
from larkpost.gateway.rollouts.model import BatchSpec
from larkpost.gateway.rollouts.progress import FIRST_IDLE_LINE_SECONDS
from tests.platform_fleet import PlatformFleet, make_batch
from tests.virtual import run

DAEMON_DEAD_SECONDS = 3.0
"""Time after which a killed daemon is considered dead and its batches are due to be claimed."""
LINE_SECONDS = FIRST_IDLE_LINE_SECONDS + 2 * CHECK_INTERVAL_SECONDS


class IdleItemsTest(unittest.TestCase):
    """Fleets in which nothing happens to the items of a batch."""

    def setUp(self) -> None:
        """Collects the lines of all daemons."""
        self.lines: list[tuple[Event, dict]] = []
        record = mock.patch.object(
            EventLog, "record", lambda _, event, **fields: self.lines.append((event, fields))
        )
        record.start()
        self.addCleanup(record.stop)

    def lines_of(self, event: Event) -> list[dict]:
        """Returns the fields of all lines of an event."""
        return [fields for kind, fields in self.lines if kind is event]

    async def begin(self, spec: BatchSpec, scorers: int = 0) -> PlatformFleet:
        """Starts a fleet and submits a batch after the engines were prepared."""
        fleet = PlatformFleet(gateways=1, engines=2, scorers=scorers)
        await fleet.wait(1.0)
        self.prepare(fleet)
        await fleet.submit(spec)
        await fleet.wait(LINE_SECONDS)
        return fleet

    def prepare(self, fleet: PlatformFleet) -> None:
        """Changes the engines before the batch is submitted."""

    def check_reason(self, waits_for: str, **fields: object) -> None:
        """Checks that each item has a line with the reason and the fields."""
        lines = self.lines_of(Event.ITEM_IDLE)
        self.assertEqual({"batch-0", "batch-1"}, {line["item"] for line in lines})
        for line in lines:
            expected = {"waits_for": waits_for} | fields
            self.assertEqual(expected, {name: line[name] for name in expected})
            self.assertGreaterEqual(line["seconds"], FIRST_IDLE_LINE_SECONDS)

    def test_engines_with_older_weights(self):
        async def play():
            await self.begin(make_batch(items=2, minimum_version=5))
            self.check_reason("slot", verdicts={"old_version": 2}, free_slots=0, minimum_version=5)

        run(play())

    def test_engines_that_send_no_output(self):
        async def play():
            self.prepare = lambda fleet: [
                setattr(engine, "stall_after", 0) for engine in fleet.model_engines()
            ]
            with mock.patch("larkpost.gateway.rollouts.batch_run.BatchRun._abort_stalled"):
                await self.begin(make_batch(items=2))
            engines = {line["engine"] for line in self.lines_of(Event.ITEM_IDLE)}
            self.check_reason("output", whole=False)
            self.assertLessEqual(engines, {"engine-0", "engine-1"})

        run(play())

    def test_no_server_for_reward_calls(self):
        async def play():
            await self.begin(make_batch(items=2, scored=True))
            self.check_reason("call_slot", whole=True)

        run(play())

    def test_items_that_make_progress_have_no_line(self):
        async def play():
            await self.begin(make_batch(items=12))
            self.assertEqual([], self.lines_of(Event.ITEM_IDLE))

        run(play())

    def test_interval_between_lines_doubles(self):
        async def play():
            fleet = await self.begin(make_batch(items=2, minimum_version=5))
            await fleet.wait(15 * FIRST_IDLE_LINE_SECONDS)
            lines = [line for line in self.lines_of(Event.ITEM_IDLE) if line["item"] == "batch-0"]
            self.assertEqual(5, len(lines))  # after 2, 4, 8, 16 and 32 s

        run(play())

    def test_batch_that_no_daemon_takes_over(self):
        async def play():
            fleet = PlatformFleet(gateways=2, engines=1)
            await fleet.wait(1.0)
            owner = await fleet.submit(make_batch(items=2, minimum_version=5))
            with mock.patch.object(BatchClaims, "successor", return_value=None):
                fleet.kill(owner)
                await fleet.wait(DAEMON_DEAD_SECONDS + FIRST_IDLE_LINE_SECONDS)
            (line,) = self.lines_of(Event.BATCH_UNOWNED)
            expected = {"batch": "batch", "owner": fleet.gateways[owner].id, "successor": None}
            self.assertEqual(expected, {name: line[name] for name in expected})

        run(play())

    def test_failure_of_a_background_step(self):
        async def play():
            fleet = PlatformFleet(gateways=1, engines=1)
            with mock.patch.object(
                fleet.gateways[0].membership, "update", side_effect=KeyError("x")
            ):
                await fleet.wait(1.0)
            faults = self.lines_of(Event.FAULT)
            self.assertIn("KeyError('x')", {line["error"] for line in faults})

        run(play())
