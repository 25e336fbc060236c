"""A short soak, and a check that it detects a broken mechanism."""

import unittest

from tests import idle_soak, platform_mutants
from tests.soak import soak

BURSTS = {"bursts": 2, "daemons": 6, "engines": 6, "gap": 0.8}
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

    def test_no_item_lies_at_no_server_in_the_calm_after_bursts_of_faults(self):
        """Guards against items that are held or forgotten after faults of all kinds."""
        report = idle_soak.soak(seed=1, **BURSTS)
        self.assertEqual("", report.broken)
        self.assertGreater(report.faults["open_items"], 8)
        self.assertGreater(report.faults["crashes"], 8)

    def test_held_item_is_found(self):
        with platform_mutants.hold_items_for_crashes():
            report = idle_soak.soak(seed=1, **BURSTS)
        self.assertIn("was at no server", report.broken)


if __name__ == "__main__":
    unittest.main()
