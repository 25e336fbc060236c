"""Tests of estimates of the store's time that are off by as much as they may be.

Guard against items that are given up, and leases that are taken, before their time by the error of
an estimate, as after a start beside a store whose answers are slow.
"""

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from larkpost.common.clock import LoopClock
from larkpost.common.ids import DaemonId
from larkpost.gateway.controllers.leases import Duty, LeaseSubject, LeaseTable
from larkpost.gateway.rollouts.model import ResultState
from larkpost.platform import store_clock
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreClient
from larkpost.platform.store_clock import StoreClock
from tests.platform_fleet import ROUTE, PlatformFleet, make_batch
from tests.virtual import run

ERROR_SECONDS = 0.4
LEASE_SECONDS = 3.0
POLL_SECONDS = 0.05
GIVE_UP_SLACK_SECONDS = 2.0
"""Time by which an item is listed as dead after its lifetime, beside the errors."""
DRIFT = st.floats(-store_clock.CLOCK_DRIFT, store_clock.CLOCK_DRIFT)
CALLS = st.lists(
    st.tuples(st.floats(0.0, 30.0), st.floats(0.0001, 2.0), st.floats(0.0001, 2.0)),
    min_size=1,
    max_size=20,
)
"""Seconds before each call, and from it to the store and back."""


class EstimateTest(unittest.TestCase):
    """The error that an estimate names."""

    @settings(max_examples=300, deadline=None)
    @given(CALLS, DRIFT)
    def test_true_time_is_within_the_error(self, calls, drift):
        """Whatever directions the store is slow in, and however its clock drifts."""
        clock, now = StoreClock(), 1000.0
        with mock.patch.object(store_clock, "steady_seconds", lambda: now):
            for pause, there, back in calls:
                now += pause
                sent, told = now, self.true_time(now + there, drift)
                now += there + back
                clock.record({"now_ms": told * 1000}, sent)
                for later in (0.0, 0.5, 60.0):
                    now += later
                    error = abs(clock.now() - self.true_time(now, drift))
                    self.assertLessEqual(
                        error, clock.error() + store_clock.CLOCK_DRIFT * (there + back) + 1e-6
                    )
                    now -= later

    @staticmethod
    def true_time(now: float, drift: float) -> float:
        """Returns the store's time at a steady time of the daemon."""
        return 500.0 + now * (1.0 + drift)

    def test_error_of_a_first_estimate_lasts_until_a_faster_call(self):
        clock, now = StoreClock(), 1000.0
        with mock.patch.object(store_clock, "steady_seconds", lambda: now):
            self.assertEqual(0.0, clock.error())
            for there, back, most in (
                (0.001, 0.24, 0.1215),
                (0.3, 0.3, 0.1215),
                (0.002, 0.002, 0.003),
            ):
                sent, told = now, now + there
                now += there + back
                clock.record({"now_ms": told * 1000}, sent)
                self.assertLessEqual(clock.error(), most)


class LifetimeTest(unittest.TestCase):
    """Items that no engine takes, of a batch that is given up once its lifetime is over."""

    async def lifetime(self, before: float, after: float) -> float:
        """Returns the time from the submission of a batch until its items are listed as dead.

        Args:
            before: seconds by which the daemon's estimate is ahead at the submission.
            after: the same later.
        """
        fleet = PlatformFleet(gateways=1, engines=1)
        await fleet.wait(1.0)
        for engine in fleet.model_engines():
            engine.loading_until = float("inf")
        fleet.clients[0].ahead = before
        sent_at = fleet.clock.now()
        spec = make_batch(items=4)
        await fleet.submit(spec)
        fleet.clients[0].ahead = after
        while len(fleet.stored_results(spec.id)) < len(spec.items):
            await fleet.wait(POLL_SECONDS)
        states = {result.state for result in fleet.stored_results(spec.id)}
        self.assertEqual({ResultState.DEAD}, states)
        return fleet.clock.now() - sent_at

    def test_items_are_not_given_up_early(self):
        for before, after in ((-ERROR_SECONDS, 0.0), (0.0, ERROR_SECONDS), (-0.2, 0.2), (0.2, 0.0)):
            with self.subTest(before=before, after=after):
                seconds = run(self.lifetime(before, after))
                self.assertGreater(seconds, ROUTE.queue_lifetime)
                self.assertLess(
                    seconds, ROUTE.queue_lifetime + 2 * ERROR_SECONDS + GIVE_UP_SLACK_SECONDS
                )


class LeaseTest(unittest.TestCase):
    """Two holders whose estimates are off."""

    def test_holders_keep_apart(self):
        async def apart(first_ahead: float, second_ahead: float) -> float:
            clock = LoopClock()
            store = MemoryStore(clock)
            clients = [StoreClient(store), StoreClient(store)]
            first, second = (
                LeaseTable(DaemonId(f"{name}/1"), client, clock, lambda: LEASE_SECONDS)
                for name, client in zip("ab", clients, strict=True)
            )
            clients[0].ahead, clients[1].ahead = first_ahead, second_ahead
            subject = LeaseSubject(Duty.ENGINE_ORDERS, "engine-0")
            lease = await first.take(subject)
            while await second.take(subject) is None:
                await clock.sleep(POLL_SECONDS)
            return clock.now() - lease.usable_until

        for errors in ((-ERROR_SECONDS, ERROR_SECONDS), (-1.0, 0.0), (0.0, 1.0)):
            with self.subTest(errors=errors):
                self.assertGreater(run(apart(*errors)), LEASE_SECONDS)


if __name__ == "__main__":
    unittest.main()
