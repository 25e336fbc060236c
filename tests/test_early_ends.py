"""Tests of batches that are ended before they are accepted, and of other writes that are done late.

Guard against a batch that runs although it was ended, because its acceptance was done only later.
"""

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from larkpost.common.ids import BatchId
from larkpost.gateway.blackboard.tenants import Caller, TenantName
from larkpost.gateway.rollouts import service
from larkpost.gateway.rollouts.batch_manager import RETENTION_SLACK_SECONDS
from larkpost.gateway.rollouts.errors import (
    BatchIdTakenError,
    BatchRefusedError,
    BatchUncertainError,
    BatchUnreadableError,
    NoSuchBatchError,
)
from larkpost.gateway.rollouts.model import BatchSpec
from larkpost.gateway.store.batch_tables import CRASH_PART, HEAD_TABLE, ITEM_TABLE
from larkpost.platform.stand_in.memory_store import StoreFaults
from tests.platform_fleet import PlatformFleet, check_results, make_batch
from tests.virtual import run

BATCH = BatchId("batch")
LATE_SECONDS = 5.9
"""Writes without an answer are done up to this much later."""
LATE = StoreFaults(late_writes=1.0, late_seconds=LATE_SECONDS)
CALL_SECONDS = 0.004
"""Time of one store call in the fleet."""
EARLY_ENDS = 40
LIFETIME_SECONDS = 2.0
LARGE_BODY = b"x" * 100_000
HOUSE, OTHER = TenantName("house"), TenantName("other")


async def start() -> PlatformFleet:
    """Starts a fleet and waits until it is ready."""
    fleet = PlatformFleet()
    await fleet.wait(1.0)
    return fleet


async def submit_late(fleet: PlatformFleet, number: int = 0) -> None:
    """Submits a batch whose acceptance gets no answer and is done later."""
    fleet.store.faults = LATE
    try:
        await fleet.gateways[number].batches.submit(make_batch())
    except BatchUncertainError:
        return
    finally:
        fleet.store.faults = StoreFaults()
    raise AssertionError("the submission was answered")


def large_batch() -> BatchSpec:
    """Returns a batch whose items do not fit in the transaction that accepts it."""
    spec = make_batch(items=12)
    return replace(spec, items=tuple(replace(item, body=LARGE_BODY) for item in spec.items))


class EarlyEndTest(unittest.TestCase):
    """A batch is ended while its acceptance is still on its way."""

    def check_never_runs(self, fleet: PlatformFleet) -> None:
        """Checks that no item has reached an engine, and that the batch does not exist."""
        self.assertEqual([], [arrival.target for arrival in fleet.arrivals])
        self.assertEqual([], fleet.stored_results(BATCH))

    async def check_unknown(self, fleet: PlatformFleet) -> None:
        """Checks that no daemon knows the batch."""
        for gateway in fleet.gateways:
            with self.assertRaises(NoSuchBatchError):
                await gateway.batches.read(BATCH, 0, 0.0)

    def test_acceptance_that_is_done_after_the_end_runs_nothing(self):
        async def play():
            fleet = await start()
            await submit_late(fleet)
            await fleet.gateways[1].batches.end(BATCH)
            await fleet.wait(LATE_SECONDS + 3.0)
            self.assertEqual([], fleet.store.late)
            self.check_never_runs(fleet)
            await self.check_unknown(fleet)
            await fleet.gateways[2].batches.end(BATCH)

        run(play())

    def test_acceptances_at_two_daemons_run_nothing(self):
        async def play():
            fleet = await start()
            await submit_late(fleet, 0)
            await submit_late(fleet, 1)
            await fleet.gateways[1].batches.end(BATCH)
            await fleet.wait(LATE_SECONDS + 3.0)
            self.check_never_runs(fleet)

        run(play())

    def test_end_outlives_the_daemon_that_took_it(self):
        async def play():
            fleet = await start()
            await submit_late(fleet)
            await fleet.gateways[1].batches.end(BATCH)
            fleet.kill(1)
            await fleet.wait(LATE_SECONDS + 3.0)
            self.check_never_runs(fleet)

        run(play())

    def test_acceptance_that_is_done_between_the_steps_of_the_end(self):
        async def play():
            fleet = await start()
            await submit_late(fleet)
            _, acceptance = fleet.store.late.pop()
            # The end reads for one call, then writes for another.
            fleet.store.late.append((fleet.now() + 1.5 * CALL_SECONDS, acceptance))
            await fleet.gateways[1].batches.end(BATCH)
            await fleet.wait(3.0)
            arrivals = len(fleet.arrivals)
            self.assertTrue((await fleet.repository().head(BATCH)).ended)
            await fleet.wait(3.0)
            self.assertEqual(arrivals, len(fleet.arrivals))

        run(play())

    def test_end_whose_answer_is_lost_is_acknowledged_all_the_same(self):
        async def play():
            fleet = await start()
            await submit_late(fleet)
            fleet.store.faults = StoreFaults(lost_answers=1.0)
            await fleet.gateways[1].batches.end(BATCH)
            fleet.store.faults = StoreFaults()
            await fleet.wait(LATE_SECONDS + 3.0)
            self.check_never_runs(fleet)

        run(play())

    def test_end_that_is_done_late_is_not_acknowledged(self):
        async def play():
            fleet = await start()
            fleet.store.faults = LATE
            with self.assertRaises(BatchUncertainError):
                await fleet.gateways[1].batches.end(BATCH)
            fleet.store.faults = StoreFaults()
            await fleet.wait(LATE_SECONDS)
            with self.assertRaises(BatchRefusedError):
                await fleet.gateways[0].batches.submit(make_batch())
            self.check_never_runs(fleet)

        run(play())

    def test_silent_store_acknowledges_no_end(self):
        async def play():
            fleet = await start()
            fleet.store.faults = StoreFaults(down=True)
            with self.assertRaises((BatchUnreadableError, BatchUncertainError)):
                await fleet.gateways[1].batches.end(BATCH)

        run(play())

    def test_batch_submitted_after_its_end_is_refused_truly(self):
        async def play():
            fleet = await start()
            await fleet.gateways[1].batches.end(BATCH)
            for number in (1, 0, 2):  # one that knows the end by itself, and others at once
                with self.assertRaises(BatchRefusedError):
                    await fleet.gateways[number].batches.submit(make_batch())
            await fleet.wait(3.0)
            self.check_never_runs(fleet)
            await self.check_unknown(fleet)
            spec = make_batch("another")
            await fleet.gateways[0].batches.submit(spec)
            check_results(self, spec, await fleet.read_all(fleet.gateways[1], spec.id))

        run(play())

    def test_end_while_the_items_are_written(self):
        async def play():
            fleet = await start()
            submission = asyncio.create_task(fleet.gateways[0].batches.submit(large_batch()))
            await fleet.wait(1.5 * CALL_SECONDS)
            self.assertFalse(submission.done())
            await fleet.gateways[1].batches.end(BATCH)
            with self.assertRaises(BatchRefusedError):
                await submission
            await fleet.wait(3.0)
            self.check_never_runs(fleet)
            await self.pass_lifetime(fleet)
            self.assertEqual([], [key for key in fleet.store.rows if key.table == ITEM_TABLE])

        run(play())

    def test_ends_of_ids_that_nobody_submitted_are_bounded(self):
        async def play():
            fleet = await start()
            refused = 0
            with mock.patch.object(service, "MAX_EARLY_ENDS", EARLY_ENDS):
                for number in range(2 * EARLY_ENDS):
                    try:
                        await fleet.gateways[0].batches.end(BatchId(f"nobody-{number}"))
                    except BatchUnreadableError:
                        refused += 1
            self.assertGreater(refused, EARLY_ENDS / 2)  # the feed takes a moment to tell of them
            self.assertEqual(2 * EARLY_ENDS - refused, self.count_heads(fleet))
            spec = make_batch()
            await fleet.gateways[0].batches.submit(spec)
            check_results(self, spec, await fleet.read_all(fleet.gateways[1], spec.id))
            await fleet.gateways[0].batches.end(spec.id)
            await self.pass_lifetime(fleet)
            self.assertEqual(0, self.count_heads(fleet))

        run(play())

    async def pass_lifetime(self, fleet: PlatformFleet) -> None:
        """Lets the time pass for which batches are kept, which is made short."""
        for gateway in fleet.gateways:
            gateway.settings = replace(gateway.settings, batch_lifetime=LIFETIME_SECONDS)
        await fleet.wait(LIFETIME_SECONDS + RETENTION_SLACK_SECONDS + 10.0)

    def count_heads(self, fleet: PlatformFleet) -> int:
        """Returns the number of stored heads."""
        keys = [key for key in fleet.store.rows if key.table == HEAD_TABLE]
        return sum(key.part != CRASH_PART for key in keys)

    def test_end_by_another_tenant(self):
        async def play():
            fleet = await start()
            house, other = (Caller(name, is_restricted=True) for name in (HOUSE, OTHER))
            await fleet.gateways[0].batches.submit(make_batch(tenant=HOUSE))
            with self.assertRaises(NoSuchBatchError):
                await fleet.gateways[1].batches.end(BATCH, other)
            self.assertFalse((await fleet.repository().head(BATCH)).ended)
            await fleet.gateways[1].batches.end(BATCH, house)
            self.assertTrue((await fleet.repository().head(BATCH)).ended)
            # An id belongs to the tenant that names it first, by a submission or by an end.
            await fleet.gateways[1].batches.end(BatchId("b2"), other)
            with self.assertRaises(BatchIdTakenError):
                await fleet.gateways[0].batches.submit(make_batch("b2", tenant=HOUSE))
            with self.assertRaises(NoSuchBatchError):
                await fleet.gateways[0].batches.end(BatchId("b2"), house)

        run(play())


class LateRemovalTest(unittest.TestCase):
    """The removal of an expired batch that is done late."""

    def test_late_removal_spares_a_new_batch_of_the_same_id(self):
        async def play():
            fleet = await start()
            spec = make_batch()
            await fleet.gateways[0].batches.submit(spec)
            await fleet.gateways[0].batches.end(BATCH)
            row = await fleet.repository().head_row(BATCH)
            fleet.store.faults = LATE
            await fleet.repository().remove(await fleet.repository().head(BATCH), row.version)
            fleet.store.faults = StoreFaults()
            late = list(fleet.store.late)
            self.assertNotEqual([], late)
            fleet.store.late.clear()
            row = await fleet.repository().head_row(BATCH)
            await fleet.repository().remove(await fleet.repository().head(BATCH), row.version)
            await fleet.wait(0.5)
            await fleet.gateways[1].batches.submit(spec)
            fleet.store.late.extend((fleet.now(), change) for _, change in late)
            await fleet.wait(0.5)
            check_results(self, spec, await fleet.read_all(fleet.gateways[1], BATCH))

        run(play())
