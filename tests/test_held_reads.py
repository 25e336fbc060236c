"""Reads that are held until a trainer's step is complete, and limits of the hold."""

import unittest
from dataclasses import replace

from larkpost.common.ids import BatchId
from larkpost.gateway.rollouts.model import GroupId, Item, ItemId
from larkpost.gateway.rollouts.read_rules import HOLD_SECONDS, OVERDUE_HOLD_SECONDS
from larkpost.platform.stand_in.memory_store import StoreFaults
from tests import switched_off
from tests.platform_fleet import ROUTE, PlatformFleet, make_batch
from tests.virtual import run

WAIT_SECONDS = 1.0
SLOW_SECONDS = 1.1
"""Seconds per event; below the gap after which a run times out."""


class HeldReadTest(unittest.TestCase):
    """Each test reads a batch while it runs; runs do not migrate."""

    def setUp(self):
        self.enterContext(switched_off.all_moves())

    async def begin(self, spec, slow: float = 0.03) -> PlatformFleet:
        """Submits a batch to one of two daemons, and waits for some results."""
        fleet = PlatformFleet(2, 4)
        for number, state in enumerate(fleet.model_engines()):
            state.event_seconds = slow if number == 0 else 0.03
        await fleet.wait(1.0)
        await fleet.gateways[0].batches.submit(spec)
        await fleet.wait(0.3)
        return fleet

    async def read(self, fleet: PlatformFleet, position: int = 0, wait: float = WAIT_SECONDS):
        """Reads from the daemon that does not run the batch; returns the page and the seconds."""
        began = fleet.clock.now()
        page = await fleet.gateways[1].batches.read(BatchId("batch"), position, wait)
        return page, fleet.clock.now() - began

    def test_responds_once_enough_groups_are_complete(self):
        async def play():
            fleet = await self.begin(make_batch(items=12))
            page, seconds = await self.read(fleet)
            self.assertEqual(12, len(page.results))
            self.assertLess(seconds, WAIT_SECONDS - 0.1)

        run(play())

    def test_holds_for_a_moment_and_never_longer_than_the_caller_allows(self):
        async def play():
            fleet = await self.begin(make_batch(items=12), slow=SLOW_SECONDS)
            page, seconds = await self.read(fleet)
            self.assertAlmostEqual(HOLD_SECONDS, seconds, delta=0.1)
            _, seconds = await self.read(fleet, wait=0.2)
            self.assertAlmostEqual(0.2, seconds, delta=0.1)
            self.assertLess(0, len(page.results))
            self.assertLess(len(page.results), 12)
            _, seconds = await self.read(fleet, wait=0.0)
            self.assertLess(seconds, 0.1)

        run(play())

    def test_holds_for_a_moment_just_after_the_batch_is_due(self):
        async def play():
            fleet = await self.begin(make_batch(items=12), slow=SLOW_SECONDS)
            await fleet.wait(ROUTE.due - 0.3)  # `begin` has waited as long
            page, seconds = await self.read(fleet)
            self.assertAlmostEqual(HOLD_SECONDS, seconds, delta=0.1)
            self.assertLess(0, len(page.results))
            self.assertLess(len(page.results), 12)

        run(play())

    def test_holds_nothing_back_once_the_batch_has_been_due_for_a_moment(self):
        async def play():
            fleet = await self.begin(make_batch(items=12), slow=SLOW_SECONDS)
            await fleet.wait(ROUTE.due + OVERDUE_HOLD_SECONDS - 0.3)
            page, seconds = await self.read(fleet)
            self.assertLess(seconds, 0.1)
            self.assertLess(0, len(page.results))
            self.assertLess(len(page.results), 12)

        run(play())

    def test_a_held_read_is_answered_once_the_batch_has_been_due_for_a_moment(self):
        async def play():
            fleet = await self.begin(make_batch(items=12), slow=SLOW_SECONDS)
            await fleet.wait(ROUTE.due + OVERDUE_HOLD_SECONDS - 0.3 - 0.2)
            page, seconds = await self.read(fleet)
            self.assertAlmostEqual(0.2, seconds, delta=0.1)
            self.assertLess(0, len(page.results))

        run(play())

    def test_does_not_wait_for_a_store_that_fails(self):
        async def play():
            fleet = await self.begin(make_batch(items=12), slow=SLOW_SECONDS)
            await self.read(fleet, wait=0.0)
            fleet.store.faults = StoreFaults(refuses=True)
            page, seconds = await self.read(fleet)
            self.assertLess(seconds, 0.2)
            self.assertLess(0, len(page.results))

        run(play())

    def test_reads_beyond_the_step_wait_for_a_result(self):
        """A read beyond the completed step waits instead of returning an empty page at once."""

        async def play():
            spec = replace(make_batch(items=12), desired_groups=1)
            fleet = await self.begin(spec, slow=SLOW_SECONDS)
            page, _ = await self.read(fleet)
            while page.results:
                known = page.position + len(page.results)
                page, seconds = await self.read(fleet, known)
            self.assertAlmostEqual(WAIT_SECONDS, seconds, delta=0.1)

        run(play())

    def test_results_of_groups_of_different_sizes_are_not_held(self):
        async def play():
            spec = make_batch(items=12)
            extra = Item(ItemId("batch-x"), "/r/x", (), b"", 100, GroupId("g0"))
            spec = replace(spec, items=(*spec.items, extra))
            self.assertEqual(0, spec.group_size)
            fleet = await self.begin(spec, slow=SLOW_SECONDS)
            _, seconds = await self.read(fleet)
            self.assertLess(seconds, 0.5)

        run(play())


if __name__ == "__main__":
    unittest.main()
