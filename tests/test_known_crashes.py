"""Tests which crash counts make a request suspect or quarantined."""

import unittest

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.known_crashes import (
    CLIENT_CRASH_LIMIT,
    TRIAL_PREFIX,
    UNKNOWN_RUN_SECONDS,
    Crash,
    KnownCrashes,
)
from larkpost.gateway.blackboard.request_content import ContentDigest

CONTENT = ContentDigest("aa")
OTHER = ContentDigest("bb")


class QuarantineRuleTest(unittest.TestCase):
    """Contents with different numbers of crashes."""

    def test_limits_of_suspects_and_quarantine(self):
        for crashes, limit, is_suspect, is_quarantined in (
            (0, CLIENT_CRASH_LIMIT, False, False),
            (1, CLIENT_CRASH_LIMIT, False, False),
            (1, 1, False, False),  # a single crash is never enough, whatever the limit
            (2, CLIENT_CRASH_LIMIT, True, False),
            (3, CLIENT_CRASH_LIMIT, True, True),
            (3, CLIENT_CRASH_LIMIT + 1, True, False),
            (4, CLIENT_CRASH_LIMIT + 1, True, True),
            (9, CLIENT_CRASH_LIMIT, True, True),
        ):
            known = KnownCrashes()
            for number in range(crashes):
                self.assertTrue(known.add(Crash(CONTENT, InstanceId(f"i{number}"), 0.0)))
            known.add(Crash(OTHER, InstanceId("i0"), 0.0))
            with self.subTest(crashes=crashes, limit=limit):
                self.assertEqual(is_suspect, known.is_suspect(CONTENT))
                self.assertEqual(is_quarantined, known.is_content_quarantined(CONTENT, limit))
                self.assertFalse(known.is_content_quarantined(OTHER, limit))

    def test_crash_is_outlived_by_a_clearly_longer_run_only(self):
        # The longest run that a request has that crashes its servers after 0.08 to 0.15 s never
        # outlives the shortest one.
        for lasted, output_seconds, is_outlived in (
            (0.08, 0.15, False),
            (0.08, 0.32, False),
            (0.08, 0.34, True),
            (1.0, 1.9, False),
            (1.0, 2.0, True),
            (None, 2 * UNKNOWN_RUN_SECONDS - 0.1, False),  # the row of an earlier version
            (None, 2 * UNKNOWN_RUN_SECONDS, True),
            (0.0, 0.0, False),
        ):
            with self.subTest(lasted=lasted, output_seconds=output_seconds):
                crash = Crash(CONTENT, InstanceId("i0"), 0.0, lasted)
                self.assertEqual(is_outlived, crash.is_outlived_by(output_seconds))

    def test_trials_are_no_crashes(self):
        known = KnownCrashes()
        trial = Crash(CONTENT, InstanceId(f"{TRIAL_PREFIX}1"), 0.0, 0.0)
        known.add(Crash(CONTENT, InstanceId("i0"), 0.0))
        known.add(trial)
        self.assertEqual((1, False), (known.count(CONTENT), known.is_suspect(CONTENT)))
        self.assertFalse(trial.is_outlived_by(100.0))

    def test_duplicate_and_removed_crashes_do_not_count(self):
        known = KnownCrashes()
        for _ in range(2):
            known.add(Crash(CONTENT, InstanceId("i0"), 0.0))
        self.assertEqual(1, known.count(CONTENT))
        known.add(Crash(CONTENT, InstanceId("i1"), 0.0))
        self.assertTrue(known.is_suspect(CONTENT))
        self.assertTrue(known.remove(CONTENT, InstanceId("i1")))
        self.assertFalse(known.remove(CONTENT, InstanceId("i1")))
        self.assertFalse(known.is_suspect(CONTENT))
