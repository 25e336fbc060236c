"""Cold servers: what a daemon knows of the other senders."""

import unittest

from larkpost.common.clock import LoopClock
from larkpost.common.ids import DaemonId
from larkpost.gateway.placement.cold_rate_quota import (
    SenderView,
)
from larkpost.gateway.placement.sender_tracker import (
    NEW_OWNER_SECONDS,
    OWNER_RETENTION_SECONDS,
    STARTUP_SECONDS,
    VIEW_LIFETIME_SECONDS,
    SenderTracker,
)
from tests.cold_views import LONG_SECONDS, daemon_ids
from tests.virtual import run


class FakeMembers:
    """Heartbeats that a test controls."""

    def __init__(self) -> None:
        self.listed = True
        self.has_listing = True
        self.everyone = daemon_ids(3)

    def has_recent_listing(self) -> bool:
        """Returns whether this daemon has recently listed the others."""
        return self.has_listing

    def alive(self) -> list[DaemonId]:
        """Returns the daemons considered alive."""
        return self.everyone


class FakeBatchFeed:
    """A batch feed that a test controls."""

    def __init__(self) -> None:
        self.listed = True
        self.age_seconds = 0.0

    def age(self, now: float) -> float:
        """Returns the age of the feed."""
        return self.age_seconds


class SenderTrackerTest(unittest.TestCase):
    """One daemon's view of the senders."""

    def play(self, work) -> None:
        """Runs a test on virtual time with the tracker of the first of three daemons."""

        async def begin() -> None:
            self.clock = LoopClock()
            self.own, *self.others = daemon_ids(3)
            self.owners = {self.own, *self.others}
            self.members = FakeMembers()
            self.batch_feed = FakeBatchFeed()
            self.senders = SenderTracker(self.own, self.clock)
            self.senders.set_sources(lambda: self.owners, self.members, self.batch_feed)
            await work()

        run(begin())

    async def wait(self, seconds: float) -> SenderView:
        """Lets time pass while the view is requested repeatedly, and returns the last view."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            await self.clock.sleep(VIEW_LIFETIME_SECONDS)
            view = self.senders.view()
        return view

    def test_new_owner_becomes_established(self) -> None:
        async def work() -> None:
            self.assertFalse(self.senders.view().is_established)
            self.assertFalse((await self.wait(NEW_OWNER_SECONDS - 0.2)).is_established)
            self.assertTrue((await self.wait(0.4)).is_established)

        self.play(work)

    def test_owner_cut_off_from_the_store_is_not_established(self) -> None:
        async def work() -> None:
            self.assertTrue((await self.wait(2.0)).is_established)
            self.members.has_listing = False
            view = await self.wait(0.2)
            self.assertEqual((False, True), (view.is_established, view.is_stale))
            self.members.has_listing = True
            self.assertTrue((await self.wait(0.2)).is_established)
            self.batch_feed.age_seconds = 5.0
            self.assertFalse((await self.wait(0.2)).is_established)

        self.play(work)

    def test_former_owner_is_new_again(self) -> None:
        async def work() -> None:
            self.assertTrue((await self.wait(2.0)).is_established)
            await self.clock.sleep(LONG_SECONDS)  # the view is not requested meanwhile
            self.assertFalse(self.senders.view().is_established)

        self.play(work)

    def test_owners_are_counted_at_once_and_forgotten_late(self) -> None:
        async def work() -> None:
            self.owners = {self.own}
            self.assertEqual(1, len((await self.wait(2.0)).owners))
            self.owners = {self.own, *self.others}
            self.assertEqual(3, len((await self.wait(0.1)).owners))
            self.owners = {self.own}
            self.assertEqual(3, len((await self.wait(OWNER_RETENTION_SECONDS - 0.3)).owners))
            self.assertEqual(1, len((await self.wait(0.5)).owners))

        self.play(work)

    def test_new_daemon_does_not_know_the_members(self) -> None:
        async def work() -> None:
            self.assertFalse((await self.wait(STARTUP_SECONDS - 0.3)).knows_members)
            self.assertTrue((await self.wait(0.5)).knows_members)
            self.members.listed = False
            self.assertFalse((await self.wait(0.2)).knows_members)

        self.play(work)

    def test_tracker_without_sources_is_stale(self) -> None:
        async def work() -> None:
            view = SenderTracker(self.own, self.clock).view()
            self.assertEqual(
                (False, False, True), (view.is_established, view.knows_members, view.is_stale)
            )

        self.play(work)
