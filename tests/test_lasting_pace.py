"""Long-term service times and reported slowness: the pure rules, as tables of cases."""

import random
import unittest

from larkpost.gateway.proxy.service_time_history import (
    BASELINE_LIFETIME_SECONDS,
    RISE_WEIGHT,
    SLICE_LIFETIME_SECONDS,
    SUSTAINED_SECONDS,
    ServiceTimeHistory,
    correct_for_slowness,
    low_quantile,
    smooth_baseline,
)
from larkpost.gateway.proxy.slowness import (
    MAX_SLOWNESS,
    SLOWNESS_LIFETIME_SECONDS,
    ReportedSlowness,
    bounded_slowness,
)

FAST, SLOW = 0.034, 0.082
BURST = 2.5
BURST_SHARE = 0.15
BURST_SECONDS = 0.6
STREAMS = 4

QUANTILES = (
    # case, slice means, sustained service time
    ("nothing measured", [], 0.0),
    ("one slice", [0.04], 0.04),
    ("the quicker of two", [0.1, 0.04], 0.04),
    ("bursts in most slices", [0.1] * 8 + [0.04] * 4, 0.04),
    ("slow in nearly all", [0.1] * 9 + [0.04] * 3, 0.1),
    ("one that was too quick", [0.001] + [0.04] * 11, 0.04),
)
BASELINES = (
    # baseline, sustained service time, baseline after the slice
    (0.0, 0.05, 0.05),
    (0.1, 0.05, 0.085),
    (0.05, 0.15, 0.05 + RISE_WEIGHT * 0.1),
)
CORRECTIONS = (
    # case, seconds, reported slowness, quickest and slowest recent mean, corrected seconds
    ("nothing reported", 0.1, 1.0, 0.04, 0.1, 0.1),
    ("a burst that is reported", 0.1, 2.5, 0.04, 0.1, 0.04),
    ("reported as too slow", 0.1, 3.0, 0.04, 0.1, 0.04),
    ("slow, reported, and never measured quicker", 0.1, 2.5, 0.1, 0.1, 0.1),
    ("reported as quick, and never measured slower", 0.04, 0.5, 0.04, 0.04, 0.04),
    ("reported as quick", 0.04, 0.8, 0.03, 0.08, 0.05),
    ("quicker than ever, and reported as slow", 0.03, 2.0, 0.04, 0.1, 0.03),
)
SLOWNESS_FACTORS = (
    # reported slowness, usual reported slowness, resulting factor
    (1.0, 1.0, 1.0),
    (2.5, 1.0, 2.5),
    (4.25, 1.7, 2.5),
    (0.7, 0.7, 1.0),
    (9999.0, 1.0, MAX_SLOWNESS),
    (9999.0, 9999.0, 1.0),
    (0.01, 1.0, 1 / MAX_SLOWNESS),
)


class ServiceTimeRulesTest(unittest.TestCase):
    """Each case of each table."""

    def test_sustained_service_time(self):
        for case, means, expected in QUANTILES:
            with self.subTest(case):
                self.assertEqual(expected, low_quantile(means))

    def test_baseline(self):
        for usual, sustained, expected in BASELINES:
            with self.subTest(usual=usual, sustained=sustained):
                self.assertAlmostEqual(expected, smooth_baseline(usual, sustained))

    def test_correction_for_slowness(self):
        for case, seconds, slowness, quickest, slowest, expected in CORRECTIONS:
            with self.subTest(case):
                found = correct_for_slowness(seconds, slowness, quickest, slowest)
                self.assertAlmostEqual(expected, found)

    def test_slowness_factor(self):
        for reported, usual, expected in SLOWNESS_FACTORS:
            with self.subTest(reported=reported, usual=usual):
                self.assertAlmostEqual(expected, bounded_slowness(reported, usual))


class ServiceTimeHistoryTest(unittest.TestCase):
    """The service time over a sequence of measurements."""

    def setUp(self):
        self.history = ServiceTimeHistory()
        self.now = 0.0

    def measure(self, service_time: float, seconds: float, streams: int = STREAMS) -> None:
        """Records the events of some streams with a fixed service time for some seconds."""
        until = self.now + seconds
        while self.now < until:
            self.now += service_time
            for _ in range(streams):
                self.history.record(self.now, service_time)

    def test_service_time_is_unknown_at_first(self):
        self.assertEqual(0.0, self.history.service_time(0.0))
        self.history.record(0.0, FAST)
        self.assertEqual(0.0, self.history.service_time(0.1))

    def test_bursts_are_ignored_at_servers_of_two_speeds(self):
        rng = random.Random(3)
        for base in (FAST, SLOW):
            self.setUp()
            self.measure(base, 1.0)
            for _ in range(100):
                is_burst = rng.random() < BURST_SHARE
                self.measure(base * BURST if is_burst else base, BURST_SECONDS)
                self.assertLess(self.history.service_time(self.now), 1.05 * base)

    def test_lasting_slowness_is_detected_within_three_seconds(self):
        self.measure(FAST, 3.0)
        self.measure(3 * FAST, 3.0)
        self.assertAlmostEqual(3 * FAST, self.history.service_time(self.now), 3)
        self.measure(FAST, 1.5)
        self.assertAlmostEqual(FAST, self.history.service_time(self.now), 3)

    def test_degraded_server_has_its_baseline_after_a_time_without_measurements(self):
        self.measure(FAST, 10.0)
        self.measure(3 * FAST, 5.0)
        self.now += SUSTAINED_SECONDS + 0.1
        self.assertLess(self.history.service_time(self.now), 1.2 * FAST)

    def test_baseline_expires_after_a_time_without_measurements(self):
        self.measure(SLOW, 3.0)
        self.assertAlmostEqual(
            SLOW, self.history.service_time(self.now + BASELINE_LIFETIME_SECONDS - 1)
        )
        self.assertEqual(0.0, self.history.service_time(self.now + BASELINE_LIFETIME_SECONDS))

    def test_baseline_follows_a_server_that_stays_slow(self):
        self.measure(FAST, 5.0)
        self.measure(SLOW, 300.0, streams=1)
        self.now += SUSTAINED_SECONDS + 0.1
        self.assertGreater(self.history.service_time(self.now), 0.9 * SLOW)

    def test_events_that_arrive_together_do_not_lower_the_service_time(self):
        """Two events arrive in one packet: a zero interval after a double one."""
        for number in range(200):
            self.now += FAST
            self.history.record(self.now, 0.0 if number % 2 else 2 * FAST)
        self.assertAlmostEqual(FAST, self.history.service_time(self.now), 2)

    def test_few_measurements_are_kept_for_a_minute(self):
        for _ in range(5):
            self.now += SLICE_LIFETIME_SECONDS / 6
            self.history.record(self.now, SLOW)
        self.assertAlmostEqual(SLOW, self.history.service_time(self.now))

    def test_measurement_after_a_long_gap_does_not_revive_an_old_service_time(self):
        self.measure(3 * FAST, 5.0)
        self.now += 2 * BASELINE_LIFETIME_SECONDS
        self.history.record(self.now, FAST)
        self.assertFalse(self.history.is_recently_measured(self.now))
        self.assertFalse(self.history.was_degraded)
        self.assertEqual(0.0, self.history.service_time(self.now))
        self.measure(FAST, 1.0)
        self.assertAlmostEqual(FAST, self.history.service_time(self.now))

    def test_server_that_is_measured_too_seldom_has_no_service_time(self):
        """Slices more than a minute apart expire before there are enough of them."""
        self.measure(SLOW, 5.0)
        for _ in range(5):
            self.now += SLICE_LIFETIME_SECONDS + 1
            self.history.record(self.now, FAST)
            self.assertFalse(self.history.is_recently_measured(self.now))
        self.assertEqual(0.0, self.history.service_time(self.now))


class ReportedSlownessTest(unittest.TestCase):
    """The slowness that a server reports, and how long it is used."""

    def setUp(self):
        self.slowness = ReportedSlowness()

    def report(self, *reported: float) -> None:
        """Records a slowness report of the server once per second."""
        for second, value in enumerate(reported):
            self.slowness.record(float(second), value)

    def test_server_without_reports_is_as_usual(self):
        self.assertFalse(self.slowness.has_reports)
        self.assertEqual(1.0, self.slowness.factor(0.0))

    def test_slowness_expires_quickly(self):
        self.report(1.0, 1.0, 2.5)
        self.assertAlmostEqual(2.5, self.slowness.factor(2.0))
        self.assertEqual(1.0, self.slowness.factor(2.01 + SLOWNESS_LIFETIME_SECONDS))

    def test_server_with_constant_reports_is_as_usual(self):
        for value in (0.01, 1.7, 9999.0):
            self.setUp()
            self.report(value, value, value)
            self.assertAlmostEqual(1.0, self.slowness.factor(2.0))

    def test_frequent_reports_within_a_slice_count_once(self):
        self.report(1.0, 1.0)
        for number in range(100):
            self.slowness.record(1.0 + number / 1000, 2.5)
        self.assertAlmostEqual(2.5, self.slowness.factor(1.1))


if __name__ == "__main__":
    unittest.main()
