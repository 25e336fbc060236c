"""Tables of cases for the rules of reward calls."""

import unittest

from larkpost.gateway.rollouts.reward_rules import (
    RewardAttempt,
    RewardCallHistory,
    RewardCallOutcome,
    call_timeout_seconds,
    choose_server,
    classify_call_response,
    usable_slots,
)
from tests.server_parts import make_instance

SLOTS = (
    # slots of a server, those that reward calls may occupy
    (0, 1),
    (1, 1),
    (2, 1),
    (3, 2),
    (6, 4),
    (8, 5),
)
TIMEOUTS = (
    # service time, earlier timeouts, timeout in seconds
    (0.0, 0, 0.8),
    (0.05, 0, 0.8),
    (0.2, 0, 1.6),
    (0.2, 2, 6.4),
    (0.2, 3, 10.0),
    (0.0, 9, 10.0),
)
SERVERS = (
    # candidates, tried servers, the chosen one, tried servers afterwards
    ("", "ab", None, "ab"),
    ("ab", "", "a", ""),
    ("ab", "a", "b", "a"),
    ("ab", "ab", "a", ""),
    ("a", "b", "a", "b"),
)
RESPONSES = (
    # status, signature, result of the attempt
    (200, "s", RewardAttempt(RewardCallOutcome.SCORED, "s")),
    (299, "s", RewardAttempt(RewardCallOutcome.SCORED, "s")),
    (200, None, RewardAttempt(RewardCallOutcome.BROKEN)),
    (200, "", RewardAttempt(RewardCallOutcome.BROKEN)),
    (500, "s", RewardAttempt(RewardCallOutcome.FAILED)),
    (503, None, RewardAttempt(RewardCallOutcome.REJECTED)),
    (404, None, RewardAttempt(RewardCallOutcome.REJECTED)),
    (302, None, RewardAttempt(RewardCallOutcome.REJECTED)),
)


class RewardRulesTest(unittest.TestCase):
    """Each case of each table."""

    def test_slots(self):
        for slots, expected in SLOTS:
            with self.subTest(slots=slots):
                self.assertEqual(expected, usable_slots(slots))

    def test_timeouts(self):
        for service_time, timeouts, expected in TIMEOUTS:
            with self.subTest(service_time=service_time, timeouts=timeouts):
                self.assertAlmostEqual(expected, call_timeout_seconds(service_time, timeouts))

    def test_servers(self):
        for names, tried, expected, left in SERVERS:
            with self.subTest(names=names, tried=tried):
                history = RewardCallHistory(set(tried))
                chosen = choose_server([make_instance(name) for name in names], history)
                self.assertEqual(expected, chosen.id if chosen is not None else None)
                self.assertEqual(set(left), history.servers)

    def test_responses(self):
        for status, signature, expected in RESPONSES:
            with self.subTest(status=status, signature=signature):
                self.assertEqual(expected, classify_call_response(status, signature))


if __name__ == "__main__":
    unittest.main()
