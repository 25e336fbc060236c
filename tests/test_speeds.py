"""Tests of straggler detection and of placement around stragglers."""

import unittest

from larkpost.common.ids import EngineId
from larkpost.standalone.batches.placement import EngineCapacity, LoadPlacement
from larkpost.standalone.blackboard.speeds import SPEED_LIFETIME_SECONDS, EngineSpeeds

ENGINES = tuple(EngineId(f"engine-{i}") for i in range(4))


class EngineSpeedsTest(unittest.TestCase):
    def setUp(self):
        self.speeds = EngineSpeeds()
        for engine in ENGINES[:3]:
            self.speeds.record(engine, 10, 0.1, now=0.0)

    def test_much_slower_engine_is_a_straggler(self):
        self.speeds.record(ENGINES[3], 10, 0.5, now=0.0)
        self.assertEqual(self.speeds.stragglers(ENGINES, 0.0), {ENGINES[3]})

    def test_slightly_slower_engine_is_not_a_straggler(self):
        self.speeds.record(ENGINES[3], 10, 0.2, now=0.0)
        self.assertEqual(self.speeds.stragglers(ENGINES, 0.0), set())

    def test_straggler_is_used_again_when_its_speed_expires(self):
        self.speeds.record(ENGINES[3], 10, 0.5, now=0.0)
        self.assertEqual(self.speeds.stragglers(ENGINES, SPEED_LIFETIME_SECONDS + 1), set())

    def test_two_engines_are_too_few_to_detect_a_straggler(self):
        self.assertEqual(self.speeds.stragglers(ENGINES[:2], 0.0), set())


class PlacementTest(unittest.TestCase):
    def test_straggler_is_chosen_last_even_for_its_own_prompt(self):
        slow = EngineCapacity(ENGINES[0], free=2, running=0, is_slow=True)
        full = EngineCapacity(ENGINES[1], free=1, running=9)
        placement = LoadPlacement([slow, full])
        self.assertEqual(placement.acquire(preferred=ENGINES[0]), ENGINES[1])
        self.assertEqual(placement.acquire(preferred=None), ENGINES[0])

    def test_stuck_sample_is_never_continued_on_its_own_engine(self):
        only = LoadPlacement([EngineCapacity(ENGINES[0], free=5, running=0)])
        self.assertIsNone(only.acquire_other(ENGINES[0]))
