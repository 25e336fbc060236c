"""The scheduling decision for a client request, as a table of all cases."""

import unittest

from larkpost.gateway.proxy.request_scheduler import (
    SchedulingDecision,
    SchedulingInputs,
    decide_scheduling,
)


class SchedulingDecisionTest(unittest.TestCase):
    """Decisions for requests that are not quarantined."""

    def test_each_case(self):
        for are_all_unreachable, is_infeasible, must_wait, expected in (
            (False, False, False, SchedulingDecision.TRY),
            (False, False, True, SchedulingDecision.WAIT),
            (False, True, False, SchedulingDecision.REFUSE),
            (False, True, True, SchedulingDecision.REFUSE),
            (True, False, False, SchedulingDecision.REFUSE),
            (True, False, True, SchedulingDecision.REFUSE),
            (True, True, False, SchedulingDecision.REFUSE),
            (True, True, True, SchedulingDecision.REFUSE),
        ):
            inputs = SchedulingInputs(are_all_unreachable, is_infeasible, must_wait)
            with self.subTest(inputs=inputs):
                self.assertIs(expected, decide_scheduling(inputs))
