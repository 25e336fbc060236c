"""Tables of cases for the rules that decide whether a read is answered, held or fails."""

import unittest
from dataclasses import replace

from larkpost.gateway.rollouts.read_rules import (
    MIN_WAIT_SECONDS,
    OVERDUE_HOLD_SECONDS,
    ReadDecision,
    ReadState,
    decide_read,
    may_hold,
)

NOTHING = ReadState(
    is_complete=False,
    has_new=False,
    has_enough_groups=False,
    may_hold=True,
    store_failed=False,
    seconds_left=0.4,
)
SOME = replace(NOTHING, has_new=True)
CASES = (
    ("nothing yet", NOTHING, ReadDecision.WAIT),
    (
        "nothing, and the store does not answer",
        replace(NOTHING, store_failed=True),
        ReadDecision.WAIT,
    ),
    ("nothing, and no time left", replace(NOTHING, seconds_left=0.0), ReadDecision.RESPOND),
    (
        "nothing, no time left, and the store does not answer",
        replace(NOTHING, seconds_left=0.0, store_failed=True),
        ReadDecision.FAIL,
    ),
    ("less time left than counts", replace(NOTHING, seconds_left=0.0009), ReadDecision.RESPOND),
    ("just enough time left", replace(NOTHING, seconds_left=MIN_WAIT_SECONDS), ReadDecision.WAIT),
    ("all results are known", replace(NOTHING, is_complete=True), ReadDecision.RESPOND),
    (
        "all results are known, but the store does not answer",
        replace(NOTHING, is_complete=True, store_failed=True, seconds_left=0.0),
        ReadDecision.RESPOND,
    ),
    ("some, but no complete step", SOME, ReadDecision.WAIT),
    ("a complete step", replace(SOME, has_enough_groups=True), ReadDecision.RESPOND),
    (
        "a complete step before the position",
        replace(NOTHING, has_enough_groups=True),
        ReadDecision.WAIT,
    ),
    ("some of an overdue batch", replace(SOME, may_hold=False), ReadDecision.RESPOND),
    ("some, and the store does not answer", replace(SOME, store_failed=True), ReadDecision.RESPOND),
    ("some, and no time left", replace(SOME, seconds_left=0.0), ReadDecision.RESPOND),
)
AGES = (
    # seconds since the batch was accepted, due time of the step, may results be held back
    (0.0, 7.5, True),
    (7.4, 7.5, True),
    (7.5, 7.5, True),
    (7.5 + OVERDUE_HOLD_SECONDS - 0.01, 7.5, True),
    (7.5 + OVERDUE_HOLD_SECONDS, 7.5, False),
    (0.0, 0.0, False),
)


class ReadRulesTest(unittest.TestCase):
    """Each case of each table."""

    def test_reads(self):
        for case, state, expected in CASES:
            with self.subTest(case):
                self.assertIs(expected, decide_read(state))

    def test_how_long_results_may_be_held_back(self):
        for age, due, expected in AGES:
            with self.subTest(age=age, due=due):
                self.assertEqual(expected, may_hold(age, due))


if __name__ == "__main__":
    unittest.main()
