"""Which daemons are considered alive: heartbeats, outages, and new incarnations of a machine."""

import unittest

from larkpost.common.clock import LoopClock
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.controllers.coordinators import choose_coordinator, should_coordinate
from larkpost.gateway.controllers.heartbeat import machine_of, new_incarnation
from larkpost.gateway.controllers.heartbeat_intervals import (
    DEAD_AFTER_SECONDS,
    FAST_HEARTBEAT_SECONDS,
    fast_heartbeat_interval,
    slow_heartbeat_interval,
    slow_listing_interval,
)
from larkpost.gateway.controllers.heartbeat_writer import LocalDaemon, is_due
from larkpost.gateway.controllers.membership import FAST_HEARTBEAT_PART, Membership
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.instruments import Instruments
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreClient, StoreFaults
from larkpost.standalone.telemetry import Telemetry
from tests.virtual import run


class MembersTest(unittest.TestCase):
    """Runs some daemons' heartbeats on virtual time."""

    def begin(self):
        """Creates a store."""
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)

    def start(self, machine: str, answer_seconds: float = 0.004) -> Membership:
        """Starts a daemon's heartbeats, with a latency of the store."""
        client = StoreClient(self.store, answer_seconds)
        membership = Membership(
            LocalDaemon(new_incarnation(machine)),
            client,
            Instruments(self.clock, EventLog(machine)),
            RegionMap(),
        )
        membership.client = client
        membership.tasks = TaskSet(self.clock, Telemetry(machine, log=False))
        membership.start(membership.tasks)
        return membership

    def test_silent_daemon_is_considered_dead(self):
        async def play():
            self.begin()
            first, second = self.start("a"), self.start("b")
            await self.clock.sleep(2.0)
            self.assertTrue(first.is_alive(second.own))
            second.tasks.cancel_all()
            last_heartbeat = self.store.written_at[second.fast_heartbeats.row_of(second.own)]
            latest = DEAD_AFTER_SECONDS + 2 * FAST_HEARTBEAT_SECONDS
            while (silence := self.clock.now() - last_heartbeat) < 2 * DEAD_AFTER_SECONDS:
                if silence < DEAD_AFTER_SECONDS:
                    self.assertTrue(first.is_alive(second.own), silence)
                if silence > latest:
                    self.assertFalse(first.is_alive(second.own), silence)
                await self.clock.sleep(0.05)

        run(play())

    def test_two_lost_heartbeats_on_a_slow_link_are_tolerated(self):
        """One daemon is near the store; the other is behind a saturated link."""

        async def play():
            self.begin()
            near, far = self.start("a"), self.start("b", 0.3)
            await self.clock.sleep(4.0)
            for _ in range(5):
                far.client.refused = True
                await self.clock.sleep(0.65)
                far.client.refused = False
                for _ in range(30):
                    self.assertTrue(near.is_alive(far.own))
                    self.assertTrue(near.is_owner_alive(far.own, 0.0))
                    await self.clock.sleep(0.1)

        run(play())

    def test_store_outage_marks_no_daemon_dead(self):
        async def play():
            self.begin()
            first, second = self.start("a"), self.start("b")
            await self.clock.sleep(2.0)
            self.store.faults = StoreFaults(down=True)
            await self.clock.sleep(8.0)
            self.assertTrue(first.is_alive(second.own))
            self.store.faults = StoreFaults()
            for _ in range(30):
                await self.clock.sleep(0.1)
                self.assertTrue(first.is_alive(second.own))

        run(play())

    def test_earlier_incarnation_is_soon_considered_dead(self):
        """After the loss of all machines, old incarnations are dead within about a heartbeat."""

        async def play():
            self.begin()
            old = [self.start("a"), self.start("b")]
            await self.clock.sleep(2.0)
            for membership in old:
                membership.tasks.cancel_all()
            await self.clock.sleep(0.5)
            new = [self.start("a"), self.start("b")]
            await self.clock.sleep(1.2)
            for membership in old:
                self.assertFalse(new[0].is_alive(membership.own))
            for membership in new:
                self.assertTrue(new[0].is_alive(membership.own))

        run(play())

    def test_late_heartbeat_of_an_earlier_incarnation_is_ignored(self):
        async def play():
            self.begin()
            old = self.start("a")
            observer = self.start("b")
            await self.clock.sleep(2.0)
            old.tasks.cancel_all()
            new = self.start("a")
            await self.clock.sleep(2.0)
            await old._writer.write_due()
            for _ in range(20):
                await self.clock.sleep(0.1)
                self.assertTrue(observer.is_alive(new.own))

        run(play())

    def test_planned_leave_is_known_at_the_next_listing(self):
        async def play():
            self.begin()
            first, second = self.start("a"), self.start("b")
            await self.clock.sleep(2.0)
            await second.leave()
            await self.clock.sleep(0.7)
            self.assertFalse(first.is_alive(second.own))
            self.assertEqual(first.own, second.choose_coordinator("anything"))

        run(play())

    def test_new_incarnation_removes_the_rows_of_the_earlier_one(self):
        """Its batches are then claimed without waiting until it counts as silent."""

        async def play():
            self.begin()
            old, observer = self.start("a"), self.start("b")
            await self.clock.sleep(2.0)
            since = self.clock.now()
            old.tasks.cancel_all()
            self.start("a")
            await self.clock.sleep(2 * FAST_HEARTBEAT_SECONDS)
            self.assertFalse(observer.fast_heartbeats.seen.get(old.own))
            self.assertFalse([key for key in self.store.rows if key.key == old.own])
            await self.clock.sleep(DEAD_AFTER_SECONDS - FAST_HEARTBEAT_SECONDS)
            self.assertFalse(observer.is_owner_alive(old.own, since))

        run(play())

    def test_cut_off_daemon_notices_before_others_consider_it_dead(self):
        async def play():
            self.begin()
            first, second = self.start("a"), self.start("b")
            self.assertFalse(first.has_recent_listing())
            await self.clock.sleep(2.0)
            self.assertTrue(first.has_recent_listing())
            first._store.cut_off = True
            while second.is_owner_alive(first.own, 0.0):
                await self.clock.sleep(0.01)
            self.assertFalse(first.has_recent_listing())
            first._store.cut_off = False
            await self.clock.sleep(3.0)  # a call that was cut off takes a while to time out
            self.assertTrue(first.has_recent_listing())

        run(play())

    def test_partial_store_outage_marks_no_daemon_dead(self):
        async def play():
            self.begin()
            first, second = self.start("a"), self.start("b")
            await self.clock.sleep(2.0)
            self.store.faults = StoreFaults(parts_down=frozenset({FAST_HEARTBEAT_PART}))
            await self.clock.sleep(8.0)
            self.assertTrue(first.is_owner_alive(second.own, 0.0))
            self.store.faults = StoreFaults()
            for _ in range(30):
                await self.clock.sleep(0.1)
                self.assertTrue(first.is_owner_alive(second.own, 0.0))

        run(play())

    def test_machine_of_an_incarnation(self):
        self.assertEqual("front-a-1", machine_of(new_incarnation("front-a-1")))


class RuleTest(unittest.TestCase):
    """The rules of intervals and coordinators, as tables of cases."""

    def test_intervals(self):
        cases = (
            ("few fast", fast_heartbeat_interval(12), 0.25),
            ("many fast", fast_heartbeat_interval(100), 0.5),
            ("few alive", slow_heartbeat_interval(160), 2.0),
            ("many alive", slow_heartbeat_interval(400), 5.0),
            ("listing by a new daemon", slow_listing_interval(100, age=2.9), 0.25),
            ("listing of many by a new daemon", slow_listing_interval(400, age=0.0), 1.0),
            ("listing of few", slow_listing_interval(76, age=3.0), 2.0),
            ("listing of many", slow_listing_interval(380, age=3.0), 10.0),
        )
        for name, interval, seconds in cases:
            with self.subTest(name):
                self.assertEqual(seconds, interval)

    def test_when_a_heartbeat_is_due(self):
        for last, interval, now, expected in (
            (None, 2.0, 0.0, True),
            (1.0, 0.25, 1.1, False),
            (1.0, 0.25, 1.21, True),
            (1.0, 2.0, 2.9, False),
            (1.0, 2.0, 3.0, True),
        ):
            with self.subTest(last=last, interval=interval, now=now):
                self.assertEqual(expected, is_due(last, interval, now))

    def test_daemons_that_should_coordinate(self):
        for count, regions, expected in ((5, 1, 5), (40, 1, 12), (40, 2, 12), (40, 5, 15)):
            with self.subTest(count=count, regions=regions):
                fleet = {f"m{number}/a": f"region-{number % regions}" for number in range(count)}
                chosen = [name for name in fleet if should_coordinate(name, fleet, age=1.0)]
                self.assertEqual(expected, len(chosen))
                self.assertFalse(any(should_coordinate(name, fleet, age=0.4) for name in fleet))

    def test_chosen_coordinator_is_independent_of_order(self):
        names = [f"m{number}/a" for number in range(12)]
        choices = {choose_coordinator("key", order) for order in (names, names[::-1])}
        self.assertEqual(1, len(choices))
        self.assertIsNone(choose_coordinator("key", []))
