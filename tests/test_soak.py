"""A short soak, and a check that it detects a broken mechanism."""

import unittest

from tests import platform_mutants
from tests.soak import soak

SHORT = {"seconds": 10.0, "engines": 5, "trainers": 2}


class SoakTest(unittest.TestCase):
    """Uses fixed seeds, so results are reproducible."""

    def test_promises_hold_under_overlapping_faults_in_a_fleet_with_idle_daemons(self):
        report = soak(seed=11, daemons=14, gap=0.6, **SHORT)
        self.assertEqual("", report.broken)
        self.assertGreater(report.steps, 3)
        self.assertGreater(sum(report.faults.values()), 8)

    def test_broken_mechanism_is_found(self):
        with platform_mutants.accept_any_version():
            reports = [soak(seed=seed, daemons=3, gap=0.6, **SHORT) for seed in (1, 2)]
        self.assertTrue(any("minimum_version" in report.broken for report in reports))


if __name__ == "__main__":
    unittest.main()
