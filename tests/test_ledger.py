"""Tests of the batch ledger: one value per slot, no held slot on a page, the staleness bound."""

import unittest

from larkpost.common.ids import BatchId, EngineId, PoolId, TrainerId
from larkpost.standalone.batches.ledger import BatchLedger, BatchSpec, Sample, SlotState
from larkpost.standalone.routing.work import VersionSpan

ENGINE = EngineId("engine-1")


def make_spec(**changes) -> BatchSpec:
    values = {
        "id": BatchId("batch"),
        "trainer": TrainerId("trainer"),
        "pool": PoolId("pool"),
        "prompts": ("first", "second"),
        "samples_per_prompt": 2,
        "staleness_bound": 1,
        "policy_version": 5,
        "max_tokens": 16,
    }
    return BatchSpec(**(values | changes))


def make_sample(slot: int, version: int = 5, token: int = 1) -> Sample:
    return Sample(slot, (token,), (VersionSpan(version, 0, 1),))


class BatchLedgerTest(unittest.TestCase):
    def test_first_attempt_to_finish_provides_the_value(self):
        ledger = BatchLedger(make_spec())
        self.assertTrue(ledger.finish(make_sample(0, token=1)))
        self.assertFalse(ledger.finish(make_sample(0, token=2)))
        page = ledger.make_page(1, 5, 10)
        self.assertEqual([sample.tokens for sample in page.samples], [(1,)])

    def test_repeated_page_is_identical_after_more_samples_finish(self):
        ledger = BatchLedger(make_spec())
        ledger.finish(make_sample(0))
        first = ledger.make_page(1, 5, 10)
        ledger.finish(make_sample(1))
        self.assertIs(ledger.make_page(1, 5, 10), first)

    def test_held_slot_is_never_on_a_page(self):
        ledger = BatchLedger(make_spec())
        ledger.finish(make_sample(0))
        ledger.record_trainer_state(5, [0])
        ledger.finish(make_sample(0, token=9))
        ledger.finish(make_sample(1))
        page = ledger.make_page(2, 5, 10)
        self.assertEqual([sample.slot for sample in page.samples], [1])

    def test_sample_that_becomes_stale_before_its_page_is_pending_again(self):
        ledger = BatchLedger(make_spec())
        ledger.finish(make_sample(0, version=4))
        ledger.record_trainer_state(6, [])
        self.assertEqual(ledger.make_page(1, 6, 10).samples, ())
        self.assertEqual(ledger.state(0), SlotState.PENDING)

    def test_stale_sample_is_rejected_on_finish(self):
        ledger = BatchLedger(make_spec())
        ledger.start_attempt(0, ENGINE)
        self.assertFalse(ledger.finish(make_sample(0, version=3)))
        self.assertEqual(ledger.state(0), SlotState.PENDING)

    def test_slot_is_pending_again_only_when_its_last_attempt_ends(self):
        ledger = BatchLedger(make_spec())
        ledger.start_attempt(0, ENGINE)
        ledger.start_attempt(0, EngineId("engine-2"))
        ledger.end_attempt(0, ENGINE)
        self.assertEqual(ledger.state(0), SlotState.RUNNING)
        ledger.end_attempt(0, EngineId("engine-2"))
        self.assertEqual(ledger.state(0), SlotState.PENDING)

    def test_longest_expected_answers_start_first(self):
        ledger = BatchLedger(make_spec(expected_tokens=(3, 8)))
        self.assertEqual(list(ledger.pending_slots()), [2, 3, 0, 1])
