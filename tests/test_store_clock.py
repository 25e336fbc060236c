"""The store's clock, as a daemon estimates it from quick and slow answers."""

import unittest
from unittest import mock

from larkpost.common.ids import Address
from larkpost.platform import store
from larkpost.platform.store import HttpStore

AHEAD = 1000.0
"""Seconds by which the store's clock is ahead of the daemon's."""


class StoreClockTest(unittest.IsolatedAsyncioTestCase):
    """Answers arrive at times that the test sets."""

    async def asyncSetUp(self):
        self.store = HttpStore(Address("127.0.0.1:1"), 4096)
        self.addAsyncCleanup(self.store.close)
        self.now = 50.0
        clock = mock.patch.object(store, "steady_seconds", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)

    def answer(self, there: float, back: float, ahead: float = AHEAD) -> None:
        """Lets an answer arrive; the call took so many seconds there and back."""
        sent = self.now
        told = sent + there + ahead
        self.now = sent + there + back
        self.store._record_time({"now_ms": told * 1000}, sent)

    def error(self, ahead: float = AHEAD) -> float:
        """Returns by how much the estimate is off."""
        return abs(self.store.time() - self.now - ahead)

    async def test_unknown_until_an_answer_tells_it(self):
        self.assertIsNone(self.store.time())
        self.store._record_time({}, self.now)
        self.assertIsNone(self.store.time())

    async def test_a_slow_answer_does_not_spoil_what_a_quick_one_told(self):
        self.answer(0.002, 0.002)
        self.answer(0.5, 0.01)
        self.assertLess(self.error(), 0.003)

    async def test_a_quicker_answer_is_taken(self):
        self.answer(0.3, 0.01)
        self.assertGreater(self.error(), 0.1)
        self.answer(0.002, 0.002)
        self.assertLess(self.error(), 0.003)

    async def test_an_answer_that_contradicts_is_taken(self):
        self.answer(0.002, 0.002)
        self.answer(0.02, 0.02, ahead=3.0)
        self.assertLess(self.error(3.0), 0.03)

    async def test_old_knowledge_gives_way(self):
        self.answer(0.002, 0.002)
        self.now += 60.0
        self.answer(0.01, 0.01, ahead=AHEAD + 0.03)
        self.assertLess(self.error(AHEAD + 0.03), 0.011)


if __name__ == "__main__":
    unittest.main()
