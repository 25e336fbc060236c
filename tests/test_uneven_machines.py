"""Tests of choosing daemons for duties by machine capacity.

Machines have 0.387 to 2.15 cores and 160 to 552 MB; those of an earlier build report no capacity.
"""

import asyncio
import unittest
from collections import Counter
from unittest import mock

from larkpost.common.clock import LoopClock
from larkpost.common.hashing import hash64
from larkpost.common.ids import DaemonId
from larkpost.common.tasks import TaskSet
from larkpost.gateway.assembly.daemon_capacity import (
    LATE_CAPACITY_FRACTION,
    LATE_CAPACITY_SECONDS,
    DaemonCapacity,
    machine_capacity,
)
from larkpost.gateway.assembly.loop_monitor import LATE_LOOP_SECONDS, EventLoopMonitor
from larkpost.gateway.blackboard.daemon_report import DaemonReport
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.controllers import coordinators
from larkpost.gateway.controllers.coordinators import (
    COORDINATOR_COUNT,
    HASH_SPACE_SIZE,
    MIN_CAPACITY,
    choose_coordinator,
    should_coordinate,
)
from larkpost.gateway.controllers.heartbeat import new_incarnation
from larkpost.gateway.controllers.heartbeat_writer import LocalDaemon
from larkpost.gateway.controllers.membership import Membership
from larkpost.gateway.memory.sizing import byte_budget_for
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.instruments import Instruments
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreClient
from larkpost.standalone.telemetry import Telemetry
from tests import virtual
from tests.recording_log import RecordingLog

MB = 1_000_000
KEYS = [f"batch-{number}" for number in range(6000)]
SMALL, MIDDLE, LARGE = (DaemonId(f"{name}/1") for name in ("small", "middle", "large"))
CAPACITIES = {SMALL: 0.4, MIDDLE: 0.8, LARGE: 2.0}


def unweighted_choice(key: str, names: list[DaemonId]) -> DaemonId:
    """Returns the choice of builds without capacities."""
    return max(names, key=lambda name: hash64(f"{name}\x00{key}"))


class FirstChoiceTest(unittest.TestCase):
    """Choice of a coordinator for a key."""

    def choices(self, capacities) -> dict[str, DaemonId]:
        """Returns the choice for each key."""
        return {key: choose_coordinator(key, CAPACITIES, capacities) for key in KEYS}

    def test_keys_are_distributed_by_capacity(self):
        counts = Counter(self.choices(CAPACITIES).values())
        whole = sum(CAPACITIES.values())
        for name, capacity in CAPACITIES.items():
            self.assertAlmostEqual(capacity / whole, counts[name] / len(KEYS), delta=0.02)

    def test_every_hash_gives_a_choice(self):
        """Including the lowest and the highest hash."""
        for value in (0, HASH_SPACE_SIZE - 1):
            with (
                self.subTest(value=value),
                mock.patch.object(coordinators, "hash64", lambda _, value=value: value),
            ):
                self.assertIn(choose_coordinator("key", CAPACITIES, CAPACITIES), CAPACITIES)
                regions = dict.fromkeys(CAPACITIES)
                self.assertTrue(should_coordinate(SMALL, regions, 1.0, CAPACITIES))

    def test_capacity_that_shrinks_moves_keys_away_from_that_daemon_only(self):
        before = self.choices(CAPACITIES)
        after = self.choices(CAPACITIES | {LARGE: 0.5})
        moved = {before[key] for key in KEYS if before[key] != after[key]}
        self.assertEqual({LARGE}, moved)

    def test_daemon_without_a_reported_capacity_can_be_chosen(self):
        counts = Counter(self.choices(CAPACITIES | {SMALL: 0.0}).values())
        expected = MIN_CAPACITY / (MIN_CAPACITY + 2.8)
        self.assertAlmostEqual(expected, counts[SMALL] / len(KEYS), delta=0.01)

    def test_one_daemon_of_an_earlier_build_makes_all_choose_as_it_does(self):
        unknown = dict.fromkeys(CAPACITIES, 1.0) | {MIDDLE: None}
        for capacities in (None, {}, unknown, {SMALL: 1.0}):
            for key, choice in self.choices(capacities).items():
                self.assertEqual(unweighted_choice(key, list(CAPACITIES)), choice)

    def test_equal_machines_are_chosen_as_by_earlier_builds(self):
        choices = self.choices(dict.fromkeys(CAPACITIES, 1.3))
        for key in KEYS:
            self.assertEqual(unweighted_choice(key, list(CAPACITIES)), choices[key])


class CoordinatorsTest(unittest.TestCase):
    """Choice of coordinators among 20 daemons with 2 cores and 60 with 0.4."""

    def setUp(self):
        self.fleet = {DaemonId(f"m{number}/1"): "region" for number in range(80)}
        self.capacities = {
            name: 2.0 if number < 20 else 0.4 for number, name in enumerate(self.fleet)
        }

    def chosen(self, capacities=None) -> set[DaemonId]:
        """Returns the expected coordinators."""
        return {name for name in self.fleet if should_coordinate(name, self.fleet, 1.0, capacities)}

    def test_number_of_coordinators_is_independent_of_capacities(self):
        for capacities in (None, self.capacities, dict.fromkeys(self.fleet, 1.0)):
            self.assertEqual(COORDINATOR_COUNT, len(self.chosen(capacities)))

    def test_large_machines_coordinate_rather_than_small_ones(self):
        def count_large(chosen: set[DaemonId]) -> int:
            return sum(self.capacities[name] > 1 for name in chosen)

        self.assertGreater(
            count_large(self.chosen(self.capacities)), count_large(self.chosen()) + 2
        )

    def test_equal_and_unknown_capacities_choose_as_earlier_builds_do(self):
        plain = self.chosen()
        self.assertEqual(plain, self.chosen(dict.fromkeys(self.fleet, 0.7)))
        self.assertEqual(plain, self.chosen(self.capacities | {DaemonId("m3/1"): None}))


class LateClock:
    """A manually set clock whose sleeps end late."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        """Returns the current set time."""
        return self.time

    async def sleep(self, seconds: float) -> None:
        """Sleeps longer than requested."""
        self.time += seconds + LATE_LOOP_SECONDS + 0.1
        await asyncio.sleep(0)


class DaemonCapacityTest(unittest.TestCase):
    """Reported capacity of a daemon."""

    def test_capacity_by_cores_and_memory(self):
        for cores, memory, expected in (
            (None, None, None),
            (0.387, None, 0.387),
            (None, 160 * MB, 0.45),
            (2.15, 160 * MB, 0.45),
            (0.387, 552 * MB, 0.387),
            (2.15, 552 * MB, 2.15),
        ):
            with self.subTest(cores=cores, memory=memory):
                self.assertEqual(expected, machine_capacity(cores, byte_budget_for(memory)))

    def test_daemon_whose_loop_is_late_reports_less_for_a_while(self):
        clock = LateClock()
        monitor = EventLoopMonitor(clock, RecordingLog())
        capacity = DaemonCapacity(2.0, monitor, clock)
        self.assertEqual(2.0, capacity.now())

        async def measure():
            tasks = TaskSet(LoopClock(), Telemetry("t", log=False))
            monitor.start(tasks)
            while monitor.late_at < 0:
                await asyncio.sleep(0)
            tasks.cancel_all()

        virtual.run(measure())
        self.assertEqual(2.0 * LATE_CAPACITY_FRACTION, capacity.now())
        clock.time += LATE_CAPACITY_SECONDS
        self.assertEqual(2.0, capacity.now())

    def test_machine_of_unknown_size_reports_nothing(self):
        clock = LateClock()
        capacity = DaemonCapacity(None, EventLoopMonitor(clock, EventLog("daemon")), clock)
        self.assertIsNone(capacity.now())


class FleetTest(unittest.TestCase):
    """Thirty daemons with an in-memory store, in virtual time."""

    async def start(self, capacities: list[float | None]) -> list[Membership]:
        """Starts daemons with these capacities, and waits until they know each other."""
        clock = LoopClock()
        store = MemoryStore(clock)
        fleet = []
        for number, capacity in enumerate(capacities):
            own = LocalDaemon(
                new_incarnation(f"m{number}"),
                report=lambda capacity=capacity: DaemonReport(capacity=capacity),
            )
            log = EventLog(f"m{number}")
            membership = Membership(own, StoreClient(store), Instruments(clock, log), RegionMap())
            membership.start(TaskSet(clock, Telemetry("t", log=False)))
            fleet.append(membership)
        await clock.sleep(12.0)
        return fleet

    def test_all_agree_and_large_machines_have_most_keys(self):
        capacities = [2.0] * 10 + [0.4] * 20

        async def play():
            fleet = await self.start(capacities)
            self.assertEqual(COORDINATOR_COUNT, sum(member.is_coordinator() for member in fleet))
            large = {member.own for member in fleet[:10]}
            named = []
            for key in KEYS[:200]:
                choices = {member.choose_coordinator(key) for member in fleet}
                self.assertEqual(1, len(choices))
                named += choices
            self.assertGreater(sum(name in large for name in named), 150)

        virtual.run(play())

    def test_all_agree_with_a_daemon_of_an_earlier_build(self):
        """There are only as many daemons as coordinators, so it is one of them."""

        async def play():
            fleet = await self.start([2.0] * 5 + [0.4] * (COORDINATOR_COUNT - 6) + [None])
            names = [member.own for member in fleet]
            self.assertEqual(COORDINATOR_COUNT, sum(member.is_coordinator() for member in fleet))
            for key in KEYS[:200]:
                expected = unweighted_choice(key, names)
                self.assertEqual({expected}, {member.choose_coordinator(key) for member in fleet})

        virtual.run(play())


if __name__ == "__main__":
    unittest.main()
