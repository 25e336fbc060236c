"""Mechanisms whose cost must not grow with the square of the fleet or with the waiting items."""

import asyncio
import socket
import unittest
from collections import Counter

from larkpost.common.clock import LoopClock
from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.controllers.coordinators import COORDINATOR_COUNT
from larkpost.gateway.controllers.heartbeat import machine_of, new_incarnation
from larkpost.gateway.controllers.heartbeat_intervals import (
    DEAD_AFTER_SECONDS,
    FAST_HEARTBEAT_SECONDS,
    MAX_SLOW_HEARTBEATS_PER_SECOND,
    SLOW_HEARTBEAT_SECONDS,
    shortage_factor,
    slow_heartbeat_interval,
)
from larkpost.gateway.controllers.heartbeat_list import MEMBER_TABLE
from larkpost.gateway.controllers.heartbeat_writer import LocalDaemon
from larkpost.gateway.controllers.membership import (
    FAST_HEARTBEAT_PART,
    SLOW_HEARTBEAT_PART,
    Membership,
)
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.rollouts.engine_selector import EngineSelector
from larkpost.gateway.store.batch_tables import HEAD_TABLE
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreClient
from larkpost.standalone.telemetry import Telemetry
from tests.platform_fleet import PlatformFleet, check_results, make_batch
from tests.virtual import run

DAEMONS = 40
PART_WRITES_PER_SECOND = 200
"""Writes per second that one part of the store accepts."""


def free_port() -> int:
    """Returns a port on which nothing listens."""
    with socket.socket() as opened:
        opened.bind(("127.0.0.1", 0))
        return opened.getsockname()[1]


class LargeMembershipTest(unittest.TestCase):
    """Heartbeats of a fleet with more daemons than coordinators."""

    def begin(self) -> list[Membership]:
        """Starts the heartbeats of a fleet."""
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)
        self.heartbeats = 0
        self.heartbeats_by_part = Counter()
        self.store.watchers.append(self.count)
        self.owners: set[Membership] = set()
        self.is_short = False
        return [self.start(f"machine-{number}") for number in range(DAEMONS)]

    def count(self, transaction) -> None:
        """Counts the heartbeats written."""
        parts = [key.part for key, _ in transaction.puts if key.table == MEMBER_TABLE]
        self.heartbeats += len(parts)
        self.heartbeats_by_part.update(parts)

    def start(self, machine: str) -> Membership:
        """Starts a daemon's heartbeats."""
        membership = Membership(
            LocalDaemon(
                new_incarnation(machine),
                is_owner=lambda: membership in self.owners,
                has_shortage=lambda: self.is_short,
            ),
            StoreClient(self.store),
            Instruments(self.clock, EventLog(machine)),
            RegionMap(),
        )
        membership.tasks = TaskSet(self.clock, Telemetry(machine, log=False))
        membership.start(membership.tasks)
        return membership

    def test_idle_daemons_send_few_heartbeats_and_stay_alive(self):
        async def play():
            fleet = self.begin()
            await self.clock.sleep(6.0)
            self.heartbeats = 0
            await self.clock.sleep(10.0)
            fast = COORDINATOR_COUNT * 10.0 / FAST_HEARTBEAT_SECONDS
            slow = (DAEMONS - COORDINATOR_COUNT) * 10.0 / SLOW_HEARTBEAT_SECONDS
            self.assertLessEqual(self.heartbeats, (fast + slow) * 1.1)
            self.assertLess(self.heartbeats / 10.0, PART_WRITES_PER_SECOND / 2)
            for membership in fleet:
                self.assertEqual(DAEMONS, len(membership.alive()))

        run(play())

    def test_shortage_doubles_the_rate_of_reports(self):
        """Tenant reports are needed then; no daemon counts as dead when the shortage ends."""

        async def play():
            fleet = self.begin()
            await self.clock.sleep(6.0)
            reporting_daemons = []
            observer = next(member for member in fleet if not member.is_coordinator())
            observer._report_listener = lambda daemon, _: reporting_daemons.append(daemon)
            others = [member for member in fleet if not member.is_coordinator()]
            await self.clock.sleep(10.0)
            count_before = len(reporting_daemons)
            self.is_short = True
            await self.clock.sleep(10.0)
            self.assertGreater(len(reporting_daemons) - count_before, 0)
            counts = Counter(reporting_daemons[count_before:])
            slow_counts = [counts[member.own] for member in others if member is not observer]
            self.assertGreater(min(slow_counts), 1.5 * 10.0 / SLOW_HEARTBEAT_SECONDS)
            self.assertLess(max(slow_counts), 2.5 * 10.0 / SLOW_HEARTBEAT_SECONDS)
            self.is_short = False
            for _ in range(80):
                await self.clock.sleep(0.1)
                self.assertEqual(DAEMONS, len(observer.alive()))

        run(play())

    def test_heartbeats_during_a_shortage_stay_below_the_limit_of_a_part(self):
        for daemons in (20, 80, 160, 370, 3000):
            interval = slow_heartbeat_interval(daemons) * shortage_factor(has_shortage=True)
            self.assertLess(daemons / interval, PART_WRITES_PER_SECOND)

    def test_all_daemons_agree_on_the_coordinators(self):
        async def play():
            fleet = self.begin()
            await self.clock.sleep(6.0)
            choices = {membership.choose_coordinator("key") for membership in fleet}
            self.assertEqual(1, len(choices))
            coordinators = [membership for membership in fleet if membership.is_coordinator()]
            self.assertEqual(COORDINATOR_COUNT, len(coordinators))

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
            self.assertEqual(COORDINATOR_COUNT, len([m for m in now if m is not coordinators[0]]))

        run(play())

    def test_new_owner_that_dies_is_detected_soon(self):
        """An idle daemon that dies right after it accepted a batch must not block it for long."""

        async def play():
            fleet = self.begin()
            await self.clock.sleep(6.0)
            observer = next(member for member in fleet if member.is_coordinator())
            owner = next(member for member in fleet if not member.is_coordinator())
            owner.tasks.cancel_all()
            since = self.clock.now()
            await self.clock.sleep(DEAD_AFTER_SECONDS / 2)
            self.assertTrue(observer.is_owner_alive(owner.own, since))
            await self.clock.sleep(DEAD_AFTER_SECONDS / 2 + 0.6)
            self.assertFalse(observer.is_owner_alive(owner.own, since))

        run(play())

    def test_owner_that_becomes_idle_stays_alive(self):
        """The other daemons rely on the interval that was last reported to them."""

        async def play():
            fleet = self.begin()
            await self.clock.sleep(6.0)
            observer = next(member for member in fleet if member.is_coordinator())
            owner = next(member for member in fleet if not member.is_coordinator())
            for _ in range(3):
                self.owners.add(owner)
                await self.clock.sleep(1.7)
                self.owners.clear()
                for _ in range(50):
                    await self.clock.sleep(0.1)
                    self.assertTrue(observer.is_alive(owner.own))

        run(play())

    def test_idle_daemons_of_a_large_fleet_send_fewer_heartbeats(self):
        async def play():
            fleet = self.begin()
            fleet += [self.start(f"more-{number}") for number in range(300 - DAEMONS)]
            await self.clock.sleep(9.0)
            self.heartbeats = 0
            self.heartbeats_by_part.clear()
            await self.clock.sleep(9.0)
            fast = COORDINATOR_COUNT * 9.0 / FAST_HEARTBEAT_SECONDS
            self.assertLessEqual(self.heartbeats_by_part[FAST_HEARTBEAT_PART], 1.1 * fast)
            slow = 9.0 * MAX_SLOW_HEARTBEATS_PER_SECOND
            self.assertLessEqual(self.heartbeats_by_part[SLOW_HEARTBEAT_PART], 1.1 * slow)
            self.assertEqual(self.heartbeats, self.heartbeats_by_part.total())
            for membership in fleet:
                self.assertEqual(300, len(membership.alive()))

        run(play())

    def test_dead_owner_in_a_large_fleet_is_detected_within_a_second(self):
        """However many daemons there are, few are listed often."""

        async def play():
            fleet = self.begin()
            fleet += [self.start(f"more-{number}") for number in range(200 - DAEMONS)]
            await self.clock.sleep(9.0)
            observer = next(member for member in fleet if member.is_coordinator())
            owner = next(member for member in fleet if not member.is_coordinator())
            self.owners.add(owner)
            since = self.clock.now()
            await self.clock.sleep(2.0)
            self.assertTrue(observer.is_owner_alive(owner.own, since))
            owner.tasks.cancel_all()
            await self.clock.sleep(DEAD_AFTER_SECONDS + 2 * FAST_HEARTBEAT_SECONDS)
            self.assertFalse(observer.is_owner_alive(owner.own, since))

        run(play())

    def test_restart_of_all_daemons_of_a_large_fleet(self):
        """The new incarnations agree on live coordinators within two seconds."""

        async def play():
            fleet = self.begin()
            fleet += [self.start(f"more-{number}") for number in range(200 - DAEMONS)]
            await self.clock.sleep(9.0)
            machines = [machine_of(member.own) for member in fleet]
            for member in fleet:
                member.tasks.cancel_all()
            await self.clock.sleep(0.5)
            fleet = [self.start(machine) for machine in machines]
            await self.clock.sleep(2.5)
            alive = {member.own for member in fleet}
            observers = [member for member in fleet if member.is_coordinator()]
            self.assertGreaterEqual(len(observers), COORDINATOR_COUNT)
            for key in ("one", "two", "three"):
                choices = {observer.choose_coordinator(key) for observer in observers}
                self.assertEqual(1, len(choices))
                self.assertLessEqual(choices, alive)

        run(play())

    def test_owner_sends_frequent_heartbeats(self):
        async def play():
            fleet = self.begin()
            await self.clock.sleep(6.0)
            observer = next(member for member in fleet if member.is_coordinator())
            owner = next(member for member in fleet if not member.is_coordinator())
            self.owners.add(owner)
            since = self.clock.now()
            for _ in range(60):
                await self.clock.sleep(0.1)
                self.assertTrue(observer.is_owner_alive(owner.own, since))

        run(play())


class WaitingItemsTest(unittest.TestCase):
    """The cost of many items that wait for a slot."""

    def test_waiting_items_share_one_choice_of_engines(self):
        async def play():
            choices_made = 0
            choose = EngineSelector.choose

            def counted(self, *arguments):
                nonlocal choices_made
                choices_made += 1
                return choose(self, *arguments)

            EngineSelector.choose = counted
            try:
                fleet = PlatformFleet(1, 1)
                await fleet.wait(1.0)
                spec = make_batch("batch", 200)
                await fleet.gateways[0].batches.submit(spec)
                await fleet.wait(0.1)
                choices_made = 0
                before = fleet.clock.now()
                results = await fleet.read_all(fleet.gateways[0], "batch")
                passes = (fleet.clock.now() - before) / 0.03
            finally:
                EngineSelector.choose = choose
            check_results(self, spec, results)
            self.assertLess(choices_made, 1.2 * passes + 2 * len(spec.items))

        run(play())

    def test_longest_items_get_slots_first(self):
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


class IdleDaemonTest(unittest.TestCase):
    """The cost of idle daemons."""

    def test_idle_daemons_list_batches_rarely_but_learn_of_them(self):
        async def play():
            fleet = PlatformFleet(20, 2)
            await fleet.wait(15.0)
            reads = dict.fromkeys(range(20), 0)
            for number, client in enumerate(fleet.clients):
                client.read = self.counted(client.read, reads, number)
            await fleet.wait(24.0)
            active = [
                number
                for number, gateway in enumerate(fleet.gateways)
                if gateway.membership.is_coordinator()
            ]
            idle = [number for number in reads if number not in active]
            most_of_an_idle_one = 8 * (24 / 12 + 1)
            self.assertLessEqual(max(reads[number] for number in idle), most_of_an_idle_one)
            self.assertGreaterEqual(min(reads[number] for number in active), 8 * (24 / 4 - 1))
            await fleet.gateways[idle[0]].batches.submit(make_batch("batch"))
            await fleet.wait(0.5)
            for gateway in fleet.gateways:
                self.assertIsNotNone(gateway.batch_manager.head("batch"))

        run(play())

    def counted(self, read, reads: dict[int, int], number: int):
        """Returns a read call that counts reads of the batch table."""

        async def call(table, part, *rest):
            reads[number] += table == HEAD_TABLE
            return await read(table, part, *rest)

        return call

    def test_listener_sleeps_while_nobody_calls(self):
        async def play():
            ticks = 0

            async def count(self, counter):
                nonlocal ticks
                ticks += 1
                return False

            server = HttpServer(None, Address(f"127.0.0.1:{free_port()}"))
            server._server.on_tick = count.__get__(server._server)
            await server.start()
            await asyncio.sleep(0.35)
            await server.close()
            self.assertEqual(0, ticks)

        asyncio.run(play())


if __name__ == "__main__":
    unittest.main()
