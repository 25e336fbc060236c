"""The hedge delay, as a table of cases."""

import unittest

from larkpost.gateway.proxy.server_choice import MIN_HEDGE_SECONDS, hedge_delay


class HedgeDelayTest(unittest.TestCase):
    """Three times the fastest service time; half of the objective replaces an unknown one."""

    def test_each_case(self):
        for service_times, objective, expected in (
            ((0.1,), 0.4, 0.3),
            ((0.2, 0.1, 5.0), 0.4, 0.3),
            ((), 0.4, 0.6),
            ((0.01,), 0.4, MIN_HEDGE_SECONDS),
            ((), 0.02, MIN_HEDGE_SECONDS),
        ):
            with self.subTest(service_times=service_times, objective=objective):
                self.assertAlmostEqual(expected, hedge_delay(service_times, objective))
