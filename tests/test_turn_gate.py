"""Whether a client request is tried, waits or is refused: the rule as a table of all its cases."""

import unittest

from larkpost.gateway.proxy.request_scheduler import SchedulingInputs, Turn, decide_turn


class DecideTurnTest(unittest.TestCase):
    """Requests that are not quarantined."""

    def test_each_case(self):
        for are_all_unreachable, is_hopeless, must_wait, expected in (
            (False, False, False, Turn.TRY),
            (False, False, True, Turn.WAIT),
            (False, True, False, Turn.REFUSE),
            (False, True, True, Turn.REFUSE),
            (True, False, False, Turn.REFUSE),
            (True, False, True, Turn.REFUSE),
            (True, True, False, Turn.REFUSE),
            (True, True, True, Turn.REFUSE),
        ):
            inputs = SchedulingInputs(are_all_unreachable, is_hopeless, must_wait)
            with self.subTest(inputs=inputs):
                self.assertIs(expected, decide_turn(inputs))
