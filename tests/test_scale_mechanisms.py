"""Mechanisms whose cost must not grow with the square of the fleet, or with what waits."""

import asyncio
import unittest

from larkpost.clock import LoopClock
from larkpost.eventlog import EventLog
from larkpost.fleet.directory import Directory
from larkpost.fleet.members import (
    COORDINATORS,
    DEAD_AFTER_SECONDS,
    MEMBER_TABLE,
    Membership,
    new_life,
)
from larkpost.proxy.balancer import Balancer
from larkpost.rehearsal.memory_store import MemoryStore, StoreClient
from larkpost.rollouts.engine_choice import EngineChoice
from larkpost.tasks import TaskSet
from larkpost.telemetry import Telemetry
from tests.platform_fleet import PlatformFleet, check_results, make_batch
from tests.virtual import run

DAEMONS = 40


class LargeMembershipTest(unittest.TestCase):
    """Heartbeats of a fleet that is larger than the number of coordinators."""

    def begin(self) -> list[Membership]:
        """Starts the heartbeats of a fleet."""
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)
        self.beats = 0
        self.store.watchers.append(self.count)
        self.owners: set[Membership] = set()
        return [self.start(f"machine-{number}") for number in range(DAEMONS)]

    def count(self, transaction) -> None:
        """Counts the heartbeats written."""
        self.beats += sum(1 for key, _ in transaction.puts if key.table == MEMBER_TABLE)

    def start(self, machine: str) -> Membership:
        """Starts a daemon's heartbeat."""
        membership = Membership(
            new_life(machine),
            StoreClient(self.store),
            self.clock,
            dict,
            lambda *_: None,
            EventLog(machine),
            lambda: membership in self.owners,
        )
        membership.tasks = TaskSet(self.clock, Telemetry(machine, log=False))
        membership.start(membership.tasks)
        return membership

    def test_idle_daemons_beat_seldom_and_are_held_alive(self):
        async def play():
            fleet = self.begin()
            await self.clock.sleep(6.0)
            self.beats = 0
            await self.clock.sleep(10.0)
            often, seldom = COORDINATORS * 20, (DAEMONS - COORDINATORS) * 5
            self.assertLessEqual(self.beats, (often + seldom) * 1.1)
            for membership in fleet:
                self.assertEqual(DAEMONS, len(membership.alive()))

        run(play())

    def test_all_daemons_agree_on_the_coordinators(self):
        async def play():
            fleet = self.begin()
            await self.clock.sleep(6.0)
            choices = {membership.first_choice("key") for membership in fleet}
            self.assertEqual(1, len(choices))
            coordinators = [membership for membership in fleet if membership.is_coordinator()]
            self.assertEqual(COORDINATORS, len(coordinators))

        run(play())

    def test_dead_coordinator_is_replaced(self):
        async def play():
            fleet = self.begin()
            await self.clock.sleep(6.0)
            coordinators = [membership for membership in fleet if membership.is_coordinator()]
            coordinators[0].tasks.cancel_all()
            await self.clock.sleep(DEAD_AFTER_SECONDS + 2.5)
            self.assertFalse(coordinators[1].is_alive(coordinators[0].own))
            now = [member for member in fleet[:] if member.is_coordinator()]
            self.assertEqual(COORDINATORS, len([m for m in now if m is not coordinators[0]]))

        run(play())

    def test_owner_that_falls_silent_is_found_dead_soon_though_it_beat_seldom(self):
        """An idle daemon that dies right after it accepted a batch must not hold it for long."""

        async def play():
            fleet = self.begin()
            await self.clock.sleep(6.0)
            judge = next(member for member in fleet if member.is_coordinator())
            owner = next(member for member in fleet if not member.is_coordinator())
            owner.tasks.cancel_all()
            since = self.clock.now()
            await self.clock.sleep(DEAD_AFTER_SECONDS / 2)
            self.assertTrue(judge.is_owner_alive(owner.own, since))
            await self.clock.sleep(DEAD_AFTER_SECONDS / 2 + 0.6)
            self.assertFalse(judge.is_owner_alive(owner.own, since))

        run(play())

    def test_owner_beats_often(self):
        async def play():
            fleet = self.begin()
            await self.clock.sleep(6.0)
            judge = next(member for member in fleet if member.is_coordinator())
            owner = next(member for member in fleet if not member.is_coordinator())
            self.owners.add(owner)
            since = self.clock.now()
            for _ in range(60):
                await self.clock.sleep(0.1)
                self.assertTrue(judge.is_owner_alive(owner.own, since))

        run(play())


class WaitingItemsTest(unittest.TestCase):
    """What many items that wait for a place cost."""

    def test_items_that_wait_share_one_look_at_the_engines(self):
        async def play():
            looks = 0
            choose = EngineChoice.choose

            def counted(self, service):
                nonlocal looks
                looks += 1
                return choose(self, service)

            EngineChoice.choose = counted
            try:
                fleet = PlatformFleet(1, 1)
                await fleet.wait(1.0)
                spec = make_batch("batch", 200)
                await fleet.gateways[0].batches.submit(spec)
                await fleet.wait(0.1)
                looks = 0
                before = fleet.clock.now()
                results = await fleet.read_all(fleet.gateways[0], "batch")
                passes = (fleet.clock.now() - before) / 0.03
            finally:
                EngineChoice.choose = choose
            check_results(self, spec, results)
            self.assertLess(looks, 1.2 * passes + 2 * len(spec.items))

        run(play())

    def test_longest_items_get_their_places_first(self):
        async def play():
            fleet = PlatformFleet(1, 1)
            await fleet.wait(1.0)
            spec = make_batch("batch", 40)
            await fleet.gateways[0].batches.submit(spec)
            await fleet.wait(0.2)
            engine = next(iter(fleet.engines.engines.values()))
            placed = set(engine.runs[:8])
            longest = sorted(spec.items, key=lambda item: item.expected_work)[-8:]
            self.assertEqual({item.id for item in longest}, placed)

        run(play())


class PeerUseTest(unittest.TestCase):
    """What the others tell of their use of an instance."""

    def test_requests_of_a_peer_end_with_its_next_summary(self):
        async def play():
            clock = LoopClock()
            balancer = Balancer(Directory(), clock, None)
            info = type("Info", (), {"id": "engine"})()
            balancer.take_summary("a", {"engine": (3, 0.05)})
            balancer.take_summary("b", {"engine": (2, 0.0)})
            self.assertEqual(5, balancer.occupied(info))
            balancer.take_summary("a", {})
            self.assertEqual(2, balancer.occupied(info))
            await asyncio.sleep(1.5)
            self.assertEqual(0, balancer.occupied(info))

        run(play())


if __name__ == "__main__":
    unittest.main()
