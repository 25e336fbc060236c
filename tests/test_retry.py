"""The retry rules, as tables of cases."""

import unittest

from larkpost.common.errors import Ran
from larkpost.gateway.blackboard.configuration import RouteKind
from larkpost.gateway.blackboard.known_crashes import CRASH_RETENTION_SECONDS
from larkpost.gateway.proxy.request import (
    QuarantinedError,
    RefusedError,
    RequestFailedError,
    RequestTimeoutError,
)
from larkpost.gateway.proxy.retry import (
    UnservedRequest,
    failure_reason,
    final_error,
    is_fallback,
    max_servers,
)

RETRY_SECONDS = 0.3


class MaxServersTest(unittest.TestCase):
    """The maximum number of servers that may run a request."""

    def test_only_idempotent_requests_outside_trials_run_more_than_once(self):
        for kind, is_trial, expected in (
            (RouteKind.IDEMPOTENT, False, 3),
            (RouteKind.IDEMPOTENT, True, 1),
            (RouteKind.RUN_ONCE, False, 1),
            (RouteKind.RUN_ONCE, True, 1),
            (RouteKind.STREAM, False, 1),
        ):
            with self.subTest(kind=kind, is_trial=is_trial):
                self.assertEqual(expected, max_servers(kind, 3, is_trial=is_trial))


class ResponseTest(unittest.TestCase):
    """Whether a whole response is returned to the client."""

    def test_each_response(self):
        for status, is_signed, failure, is_kept in (
            (200, True, None, False),
            (204, True, None, False),
            (200, False, "a success without a signature", False),
            (299, False, "a success without a signature", False),
            (304, False, None, False),
            (404, False, None, False),
            (404, True, None, False),
            (499, False, None, False),
            (500, True, "status 500", True),
            (503, True, "status 503", True),
            (502, False, "status 502", False),
        ):
            with self.subTest(status=status, is_signed=is_signed):
                self.assertEqual(failure, failure_reason(status, is_signed=is_signed))
                self.assertEqual(is_kept, is_fallback(status, is_signed=is_signed))


class FinalErrorTest(unittest.TestCase):
    """The error of a request that gets no response."""

    def test_each_outcome(self):
        for may_have_run, is_quarantined, is_timed_out, error, ran, retry_after in (
            (False, False, False, RefusedError, Ran.NO, RETRY_SECONDS),
            (False, False, True, RefusedError, Ran.NO, RETRY_SECONDS),
            (False, True, False, QuarantinedError, Ran.NO, CRASH_RETENTION_SECONDS),
            (False, True, True, QuarantinedError, Ran.NO, CRASH_RETENTION_SECONDS),
            (True, False, False, RequestFailedError, Ran.UNKNOWN, None),
            (True, True, False, RequestFailedError, Ran.UNKNOWN, None),
            (True, False, True, RequestTimeoutError, Ran.UNKNOWN, None),
            (True, True, True, RequestTimeoutError, Ran.UNKNOWN, None),
        ):
            unserved = UnservedRequest(may_have_run, is_quarantined, is_timed_out, RETRY_SECONDS)
            with self.subTest(unserved=unserved):
                found = final_error(unserved)
                self.assertIs(error, type(found))
                self.assertEqual((ran, retry_after), (found.ran, found.retry_after))
