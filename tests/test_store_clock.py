"""Tests the estimate of the store's clock from fast and slow responses."""

import unittest
from unittest import mock

from larkpost.platform import store_clock
from larkpost.platform.store_clock import StoreClock

AHEAD = 1000.0
"""Seconds by which the store's clock is ahead of the daemon's."""


class StoreClockTest(unittest.TestCase):
    """Each test sets the times of the responses."""

    def setUp(self):
        self.clock = StoreClock()
        self.now = 50.0
        clock = mock.patch.object(store_clock, "steady_seconds", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)

    def answer(self, there: float, back: float, ahead: float = AHEAD) -> None:
        """Records a response; ``there`` and ``back`` are the call's seconds in each direction."""
        sent = self.now
        told = sent + there + ahead
        self.now = sent + there + back
        self.clock.record({"now_ms": told * 1000}, sent)

    def error(self, ahead: float = AHEAD) -> float:
        """Returns the absolute error of the estimate in seconds."""
        return abs(self.clock.now() - self.now - ahead)

    def test_time_is_unknown_before_the_first_response(self):
        self.assertIsNone(self.clock.now())
        self.clock.record({}, self.now)
        self.assertIsNone(self.clock.now())

    def test_slow_response_does_not_replace_a_fast_one(self):
        self.answer(0.002, 0.002)
        self.answer(0.5, 0.01)
        self.assertLess(self.error(), 0.003)

    def test_faster_response_replaces_the_estimate(self):
        self.answer(0.3, 0.01)
        self.assertGreater(self.error(), 0.1)
        self.answer(0.002, 0.002)
        self.assertLess(self.error(), 0.003)

    def test_contradicting_response_replaces_the_estimate(self):
        self.answer(0.002, 0.002)
        self.answer(0.02, 0.02, ahead=3.0)
        self.assertLess(self.error(3.0), 0.03)

    def test_old_estimate_is_replaced(self):
        self.answer(0.002, 0.002)
        self.now += 60.0
        self.answer(0.01, 0.01, ahead=AHEAD + 0.03)
        self.assertLess(self.error(AHEAD + 0.03), 0.011)


if __name__ == "__main__":
    unittest.main()
