"""The count over a sliding window."""

import random
import unittest

from larkpost.gateway.placement.cold_rate_limit import (
    WINDOW_SECONDS,
)
from larkpost.gateway.placement.sliding_count import SlidingCount
from tests.platform_checks import check_cold


class SlidingCountTest(unittest.TestCase):
    """The window and its boundary."""

    def test_edge(self) -> None:
        sent = SlidingCount(WINDOW_SECONDS)
        sent.add(10.0)
        self.assertEqual(1, sent.count(10.0 + WINDOW_SECONDS - 0.001))
        self.assertEqual(0, sent.count(10.0 + WINDOW_SECONDS))

    def test_no_second_has_more_than_was_left_however_the_sends_come(self) -> None:
        rng = random.Random(1)
        limit, sent, times, now = 4, SlidingCount(WINDOW_SECONDS), [], 0.0
        for _ in range(2000):
            now += rng.choice((0.0, 0.01, 0.3, 0.999))
            if sent.count(now) < limit:
                sent.add(now)
                times.append(now)
        check_cold("engine", times, limit)
