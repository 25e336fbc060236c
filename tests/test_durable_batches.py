"""Durable batches: exactly-once acceptance and listing, failover, and faults of the store."""

import unittest
from dataclasses import replace

from larkpost.common.ids import BatchId
from larkpost.gateway.rollouts.batch_manager import (
    REMOVAL_INTERVAL_SECONDS,
    RETENTION_SLACK_SECONDS,
)
from larkpost.gateway.rollouts.errors import (
    BatchRefusedError,
    BatchUncertainError,
    NoSuchBatchError,
)
from larkpost.gateway.rollouts.progress import Progress
from larkpost.gateway.store.batch_tables import PARTS, part_of
from larkpost.platform.stand_in.memory_store import StoreFaults
from tests.platform_fleet import PlatformFleet, check_results, make_batch
from tests.virtual import run

ENGINE_SLOTS = 8
LONG_RUN_EVENTS = 95
"""At one event a second, items run for longer than ended batches are kept."""
SHORT_LIFETIME_SECONDS = 5.0


class DurableBatchTest(unittest.TestCase):
    """Each test runs a small fleet in virtual time."""

    def test_batch_is_run_and_read_at_another_daemon(self):
        async def play():
            fleet = PlatformFleet()
            await fleet.wait(1.0)
            spec = make_batch()
            await fleet.gateways[0].batches.submit(spec)
            check_results(self, spec, await fleet.read_all(fleet.gateways[1], spec.id))

        run(play())

    def test_batch_is_claimed_after_its_owner_is_killed(self):
        async def play():
            fleet = PlatformFleet()
            await fleet.wait(1.0)
            spec = make_batch(items=40)
            owner = await fleet.submit(spec)
            await fleet.wait(0.2)
            fleet.kill(owner)
            check_results(self, spec, await fleet.read_all(fleet.other(owner), spec.id))

        run(play())

    def test_two_owners_list_each_item_once(self):
        """A daemon that was cut off from the store returns while another one runs its batch."""

        async def play():
            fleet = PlatformFleet()
            for state in fleet.engines.engines.values():
                state.event_seconds = 0.4
            await fleet.wait(1.0)
            spec = make_batch(items=30)
            owner = await fleet.submit(spec)
            await fleet.wait(0.3)
            fleet.clients[owner].cut_off = True
            await fleet.wait(4.0)
            fleet.clients[owner].cut_off = False
            results = await fleet.read_all(fleet.other(owner), spec.id)
            await fleet.wait(5.0)
            self.assertEqual(results, fleet.stored_results(spec.id))
            check_results(self, spec, results)

        run(play())

    def test_second_owner_appends_between(self):
        """A result that another owner has listed is not listed a second time."""

        async def play():
            fleet = PlatformFleet(gateways=1)
            for state in fleet.engines.engines.values():
                state.event_seconds = 0.2
            await fleet.wait(1.0)
            spec = make_batch(items=6)
            await fleet.gateways[0].batches.submit(spec)
            await fleet.wait(0.3)
            await _list_elsewhere(fleet, spec, count=3)
            await fleet.wait(6.0)
            check_results(self, spec, fleet.stored_results(spec.id))

        run(play())

    def test_lost_and_late_responses_list_each_item_once(self):
        async def play():
            fleet = PlatformFleet(seed=3)
            await fleet.wait(1.0)
            fleet.store.faults.lost_answers = 0.3
            fleet.store.faults.late_writes = 0.2
            spec = make_batch(items=24)
            try:
                await fleet.gateways[0].batches.submit(spec)
            except BatchUncertainError:
                await fleet.wait(3.0)
                await fleet.gateways[1].batches.submit(spec)
            await fleet.wait(6.0)
            fleet.store.faults.lost_answers = 0.0
            fleet.store.faults.late_writes = 0.0
            results = await fleet.read_all(fleet.gateways[2], spec.id)
            await fleet.wait(5.0)
            self.assertEqual(results, fleet.stored_results(spec.id))
            check_results(self, spec, results)

        run(play())

    def test_refused_batch_is_never_accepted(self):
        async def play():
            fleet = PlatformFleet()
            await fleet.wait(1.0)
            fleet.store.faults.refuses = True
            with self.assertRaises(BatchRefusedError):
                await fleet.gateways[0].batches.submit(make_batch())
            fleet.store.faults.refuses = False
            await fleet.wait(5.0)
            self.assertIsNone(await fleet.repository().head(BatchId("batch")))

        run(play())

    def test_silent_store_makes_the_outcome_uncertain(self):
        async def play():
            fleet = PlatformFleet()
            await fleet.wait(1.0)
            fleet.store.faults.down = True
            with self.assertRaises(BatchUncertainError):
                await fleet.gateways[0].batches.submit(make_batch())

        run(play())

    def test_loss_of_all_daemons_keeps_the_batch(self):
        async def play():
            fleet = PlatformFleet()
            await fleet.wait(1.0)
            spec = make_batch(items=30)
            await fleet.gateways[1].batches.submit(spec)
            await fleet.wait(0.1)
            for number in range(3):
                fleet.kill(number)
            await fleet.wait(1.0)
            for number in range(3):
                fleet.add_gateway(f"daemon-{number}")
            await fleet.wait(1.0)
            check_results(self, spec, await fleet.read_all(fleet.gateways[4], spec.id))

        run(play())

    def test_long_outputs_are_stored_completely(self):
        """Outputs larger than a row are stored, and a restarted output replaces a longer one."""

        async def play():
            fleet = PlatformFleet(gateways=1)
            repository = fleet.repository()
            spec = make_batch(items=3)
            long, whole, anew = (Progress(item) for item in spec.items)
            for progress, events in ((long, 400), (whole, 300), (anew, 300)):
                for number in range(1, events + 1):
                    progress.take(number, b"%320d" % number, 1)
            whole.complete()
            self.assertTrue(await repository.keep_partials(spec.id, [long, whole, anew]))
            anew.restart()
            anew.take(1, b"new", 2)
            self.assertTrue(await repository.keep_partials(spec.id, [anew]))
            kept = await repository.partials(spec.id, spec.items)
            for progress in (long, whole, anew):
                self.assertEqual(progress, kept[progress.item.id])

        run(play())

    def test_graceful_shutdown_hands_over_partial_outputs(self):
        async def play():
            fleet = PlatformFleet()
            for state in fleet.engines.engines.values():
                state.event_seconds = 0.3
            await fleet.wait(1.0)
            spec = make_batch(items=8)
            owner = await fleet.submit(spec)
            await fleet.wait(1.0)
            began = fleet.clock.now()
            await fleet.gateways[owner].drain()
            fleet.kill(owner)
            results = await fleet.read_all(fleet.other(owner), spec.id)
            check_results(self, spec, results)
            longest = 15 * 0.3
            self.assertLess(fleet.clock.now() - began, longest + 1.0)

        run(play())

    def test_graceful_shutdown_appends_pending_results(self):
        """Items that have a result when the shutdown begins are not run again."""

        async def play():
            fleet = PlatformFleet()
            await fleet.wait(1.0)
            spec = make_batch(items=8)
            for state in fleet.engines.engines.values():
                state.event_seconds = 0.06
            owner = await fleet.submit(spec)
            await fleet.wait(0.2)  # the owner has read the batch, and no item is complete yet
            fleet.store.faults = StoreFaults(refuses=True)
            await fleet.wait(1.5)
            runs = sum(len(state.runs) for state in fleet.engines.engines.values())
            self.assertEqual(len(spec.items), runs)
            self.assertEqual([], fleet.stored_results(spec.id))
            fleet.store.faults = StoreFaults()
            await fleet.gateways[owner].drain()
            fleet.kill(owner)
            check_results(self, spec, await fleet.read_all(fleet.other(owner), spec.id))
            after = sum(len(state.runs) for state in fleet.engines.engines.values())
            self.assertEqual(runs, after)

        run(play())

    def test_batch_is_claimed_though_a_part_of_the_store_is_down(self):
        """A partition that is down does not hide changes in the others."""

        async def play():
            fleet = PlatformFleet()
            await fleet.wait(1.0)
            spec = make_batch(items=40)
            owner = await fleet.submit(spec)
            down = next(part for part in PARTS if part != part_of(spec.id))
            fleet.store.faults = StoreFaults(parts_down=frozenset({down}))
            await fleet.wait(0.2)
            fleet.store.forget_history()
            fleet.kill(owner)
            check_results(self, spec, await fleet.read_all(fleet.other(owner), spec.id))
            listed = await fleet.repository().head(spec.id)
            self.assertNotEqual(fleet.gateways[owner].id, listed.owner)

        run(play())

    def test_ended_batch_lists_and_runs_nothing_more(self):
        async def play():
            fleet = PlatformFleet()
            for state in fleet.engines.engines.values():
                state.event_seconds = 0.3
            await fleet.wait(1.0)
            spec = make_batch(items=20)
            await fleet.gateways[0].batches.submit(spec)
            await fleet.wait(0.6)
            await fleet.gateways[2].batches.end(spec.id)
            await fleet.wait(1.0)
            listed = fleet.stored_results(spec.id)
            self.assertEqual(0, sum(state.running for state in fleet.engines.engines.values()))
            await fleet.wait(3.0)
            self.assertEqual(listed, fleet.stored_results(spec.id))
            await fleet.gateways[1].batches.end(spec.id)

        run(play())

    def test_outputs_that_engines_have_not_signed_are_not_listed(self):
        """Guards against text that is not the engine's in a result (MIXED)."""

        async def play():
            fleet = PlatformFleet(engines=2)
            await fleet.wait(1.0)
            for state in fleet.model_engines():
                state.unsigned = True
            spec = make_batch()
            await fleet.gateways[0].batches.submit(spec)
            await fleet.wait(5.0)
            self.assertNotEqual([], fleet.arrivals)
            self.assertEqual([], fleet.stored_results(spec.id))
            fleet.model_engines()[0].unsigned = False
            check_results(self, spec, await fleet.read_all(fleet.gateways[1], spec.id))

        run(play())

    def test_open_batch_outlives_the_time_for_which_batches_are_kept(self):
        """Guards against 404 for a batch that is still running (LOST)."""

        async def play():
            fleet = PlatformFleet(engines=1)
            fleet.engines.output_events = LONG_RUN_EVENTS
            for state in fleet.model_engines():
                state.event_seconds = 1.0
            for gateway in fleet.gateways:
                gateway.settings = replace(gateway.settings, batch_lifetime=SHORT_LIFETIME_SECONDS)
            await fleet.wait(1.0)
            spec = make_batch(items=ENGINE_SLOTS)
            owner = await fleet.submit(spec)
            await fleet.wait(20.0)
            fleet.kill(owner)
            await fleet.wait(SHORT_LIFETIME_SECONDS + RETENTION_SLACK_SECONDS - 10.0)
            other = fleet.other(owner)
            page = await other.batches.read(spec.id, 0, 0.0)
            self.assertEqual((ENGINE_SLOTS, ()), (page.total, page.results))
            await fleet.wait(LONG_RUN_EVENTS - 72.0)
            self.assertEqual(ENGINE_SLOTS, len(await fleet.read_all(other, spec.id)))
            await fleet.wait(SHORT_LIFETIME_SECONDS + 2 * REMOVAL_INTERVAL_SECONDS)
            self.assertEqual([], [key for key in fleet.store.rows if key.key == spec.id])
            with self.assertRaises(NoSuchBatchError):
                await other.batches.read(spec.id, 0, 0.0)

        run(play())

    def test_broken_streams_are_continued(self):
        async def play():
            fleet = PlatformFleet()
            for state in fleet.engines.engines.values():
                state.break_after = 3
            await fleet.wait(1.0)
            spec = make_batch()
            await fleet.gateways[0].batches.submit(spec)
            check_results(self, spec, await fleet.read_all(fleet.gateways[1], spec.id))

        run(play())


async def _list_elsewhere(fleet, spec, count):
    """Appends results of the first items as another owner of the batch would."""
    from larkpost.gateway.rollouts.model import Result, ResultState
    from tests.platform_fleet import expected_text

    repository = fleet.repository()
    tail = await repository.tail(spec.id)
    results = [
        Result(item.id, ResultState.DONE, expected_text(item.id), (1,))
        for item in spec.items[:count]
    ]
    outcome, _, taken = await repository.append(spec.id, tail, results)
    assert taken == count, outcome
