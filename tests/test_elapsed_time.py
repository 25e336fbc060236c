"""The estimate of how long a client has been trying."""

import asyncio
import unittest

from larkpost.common.clock import LoopClock
from larkpost.gateway.proxy.elapsed_time import WINDOW_SECONDS, ElapsedTimes
from tests.virtual import run


class ElapsedTimesTest(unittest.TestCase):
    """The time since a client's first attempt."""

    def test_time_left_of_a_retry_is_less_by_the_elapsed_time(self):
        async def play():
            times = ElapsedTimes(LoopClock())
            self.assertEqual(0.0, times.elapsed("r", 0.8))
            self.assertAlmostEqual(0.3, times.elapsed("r", 0.5))
            self.assertEqual(0.0, times.elapsed("other", 0.5))
            self.assertEqual(0.0, times.elapsed("r", None))
            await asyncio.sleep(3 * WINDOW_SECONDS)
            self.assertEqual(0.0, times.elapsed("r", 0.5))

        run(play())
