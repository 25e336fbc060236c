"""Tables of cases for the rules of retrying and giving up items."""

import unittest

from larkpost.gateway.rollouts.progress import DiscontinuityError
from larkpost.gateway.rollouts.retry_rules import (
    BROKEN_AVOID_SECONDS,
    STALLED_AVOID_SECONDS,
    TIMEOUT_AVOID_SECONDS,
    RunFailure,
    RunOutcome,
    are_call_attempts_exhausted,
    classify_failed_response,
    classify_run_error,
    is_past_lifetime,
)
from larkpost.gateway.rollouts.stall_detector import StalledError, stall_timeout_seconds
from larkpost.gateway.servers.port import BrokenResponseError

RESPONSES = (
    # status, failed runs, attempts that the route allows, outcome of the run
    (422, 0, 3, RunOutcome.DEAD),
    (500, 1, 3, RunOutcome.RETRY),
    (500, 2, 3, RunOutcome.RETRY),
    (500, 3, 3, RunOutcome.DEAD),
    (503, 3, 3, RunOutcome.RETRY),
    (429, 9, 1, RunOutcome.RETRY),
    (404, 0, 1, RunOutcome.RETRY),
)
ERRORS = (
    (StalledError(), RunFailure("stalled", STALLED_AVOID_SECONDS)),
    (TimeoutError(), RunFailure("silent", TIMEOUT_AVOID_SECONDS)),
    (BrokenResponseError("cut"), RunFailure("broken: cut", BROKEN_AVOID_SECONDS)),
    (DiscontinuityError("gap"), RunFailure("broken: gap", BROKEN_AVOID_SECONDS, True)),
)
AGES = (
    # seconds since the batch was accepted, queue lifetime of the route, is it over
    (9.0, 0.0, False),
    (9.0, 10.0, False),
    (10.0, 10.0, False),
    (10.1, 10.0, True),
)
CALLS = (
    # failed calls, attempts that the item's route allows, the call's route, is the call given up
    (1, 0, 1, True),
    (1, 2, 1, False),
    (2, 2, 1, True),
    (2, 1, 3, False),
    (3, 1, 3, True),
)
STALL_TIMEOUTS = (
    # service time, seconds without an event after which a run is stalled
    (0.0, 0.3),
    (0.04, 0.3),
    (0.1, 0.6),
)


class RetryRulesTest(unittest.TestCase):
    """Each case of each table."""

    def test_error_responses(self):
        for status, failed_runs, attempts, expected in RESPONSES:
            with self.subTest(status=status, failed_runs=failed_runs):
                self.assertIs(expected, classify_failed_response(status, failed_runs, attempts))

    def test_run_errors(self):
        for error, expected in ERRORS:
            with self.subTest(repr(error)):
                self.assertEqual(expected, classify_run_error(error))

    def test_output_that_is_not_utf8_is_discarded(self):
        with self.assertRaises(UnicodeDecodeError) as caught:
            b"\xff".decode()
        failure = classify_run_error(caught.exception)
        self.assertTrue(failure.discards_output)
        self.assertEqual(BROKEN_AVOID_SECONDS, failure.avoid_seconds)

    def test_queue_lifetime(self):
        for age, lifetime, expected in AGES:
            with self.subTest(age=age, lifetime=lifetime):
                self.assertEqual(expected, is_past_lifetime(age, lifetime))

    def test_failed_reward_calls(self):
        for failed, item_attempts, call_attempts, expected in CALLS:
            with self.subTest(failed=failed, item=item_attempts, call=call_attempts):
                self.assertEqual(
                    expected, are_call_attempts_exhausted(failed, item_attempts, call_attempts)
                )

    def test_stall_timeouts(self):
        for service_time, expected in STALL_TIMEOUTS:
            with self.subTest(service_time=service_time):
                self.assertAlmostEqual(expected, stall_timeout_seconds(service_time))


if __name__ == "__main__":
    unittest.main()
