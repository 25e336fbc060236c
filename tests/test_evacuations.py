"""Tests that evacuated zones get no new requests, even if the notice is delayed or lost."""

import asyncio
import random
import unittest
from dataclasses import replace

from larkpost.common.clock import LoopClock
from larkpost.common.ids import InstanceId, ZoneId
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.configuration import Route, RouteKind, ServiceShare
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.blackboard.evacuations import Evacuations, ZoneEvacuation
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.blackboard.weight_targets import WeightTarget, WeightTargets
from larkpost.gateway.controllers.due_loads import (
    GROUP_TURN_SECONDS,
    IDLE_LOAD_DELAY_SECONDS,
    LOAD_GROUP_COUNT,
    LoadInputs,
    due_loads,
)
from larkpost.gateway.controllers.engine_allocator import EngineAllocator
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.evacuation_rule import EvacuationRule
from larkpost.gateway.placement.rules import Placement
from larkpost.gateway.placement.work import CLIENT_WORK, ORDER_WORK, REWARD_WORK, Work, WorkKind
from larkpost.gateway.proxy.balancer import Balancer, BalancerDependencies
from larkpost.gateway.proxy.forecast import MAX_RETRY_SECONDS, NO_SLOT_RETRY_SECONDS
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.gateway.proxy.request import ClientRequest, RefusedError
from larkpost.gateway.proxy.service_selection import ServiceSelector
from larkpost.gateway.servers.port import NotRunReason
from larkpost.gateway.store.port import Row, RowKey
from larkpost.platform import names, operator
from larkpost.platform.stand_in.memory_store import StoreFaults
from larkpost.platform.stand_in.rows import evacuation_transaction
from tests import switched_off
from tests.platform_checks import EVACUATE_SECONDS, known_by
from tests.platform_fleet import (
    CONFIGURATION,
    ENGINES,
    MODEL,
    PAGES,
    ZONES,
    PlatformFleet,
    check_results,
    make_batch,
)
from tests.platform_oracle import PlatformOracle
from tests.recording_log import RecordingLog
from tests.scripted_engines import ScriptedEngine, ScriptedEngines
from tests.server_parts import make_instance, make_parts
from tests.virtual import run

NORTH, SOUTH = ZONES
OBJECTIVE_SECONDS = 0.2
CHANGE_SECONDS = 1.5
"""Time after which a change in the store has reached every daemon that can read it."""


class ReaderTest(unittest.TestCase):
    """Parsing of the platform's rows."""

    def read(self, key: str, *, removed: bool = False) -> ZoneEvacuation | None:
        """Reads a row of the operator's table."""
        row = Row(RowKey(names.OPERATOR_TABLE, "", key), b"{}", 1, removed=removed)
        return operator.read_evacuation(row)

    def test_row_begins_and_its_removal_ends_an_evacuation(self):
        ((key, value),) = evacuation_transaction(NORTH, is_on=True).puts
        row = Row(key, value, 1)
        self.assertEqual(ZoneEvacuation(NORTH, is_on=True), operator.read_evacuation(row))
        (removal,) = evacuation_transaction(NORTH, is_on=False).removals
        gone = Row(removal, b"", 2, removed=True)
        self.assertEqual(ZoneEvacuation(NORTH, is_on=False), operator.read_evacuation(gone))

    def test_other_rows_and_their_removals_are_ignored(self):
        for key in (names.CONFIGURATION_KEY, f"{names.VERSION_KEY_PREFIX}m", "evacuates"):
            for removed in (False, True):
                self.assertIsNone(self.read(key, removed=removed))

    def test_row_without_a_zone_is_unreadable(self):
        with self.assertRaises(operator.UnreadableRowError):
            self.read(names.EVACUATION_KEY_PREFIX)


class RuleTest(unittest.TestCase):
    """Which work the evacuation rule rejects."""

    def test_requests_are_rejected_and_orders_allowed(self):
        evacuations = Evacuations()
        evacuations.begin(NORTH, 0.0)
        rule = EvacuationRule(evacuations)
        inside, outside = make_instance("a", zone=NORTH), make_instance("b", zone=SOUTH)
        for work in (CLIENT_WORK, REWARD_WORK, Work(WorkKind.ITEM)):
            self.assertIs(PlacementDecision.EVACUATED, rule.evaluate(inside, work))
            self.assertIs(PlacementDecision.EVACUATED, rule.admit(inside, work))
            self.assertIs(PlacementDecision.ALLOWED, rule.evaluate(outside, work))
        self.assertIs(PlacementDecision.ALLOWED, rule.evaluate(inside, ORDER_WORK))


class ForwarderTest(unittest.TestCase):
    """Client requests to a service with one server in each zone."""

    def begin(self, *evacuated: ZoneId, slow: ZoneId | None = None) -> None:
        """Lists one server in each zone, one of them unresponsive."""
        self.clock = LoopClock()
        self.engines = ScriptedEngines(self.clock, MODEL)
        directory = InstanceDirectory()
        evacuations = Evacuations()
        for zone in evacuated:
            evacuations.begin(zone, 0.0)
        for zone in ZONES:
            pace = 1.0 if zone == slow else 0.03
            self.engines.engines[InstanceId(zone)] = ScriptedEngine(slots=4, event_seconds=pace)
            directory.update(make_instance(zone, zone=zone))
        rng = random.Random(1)
        placement = Placement(directory, (EvacuationRule(evacuations),))
        balancer = Balancer(directory, self.clock, rng, BalancerDependencies(placement=placement))
        parts = make_parts(directory, balancer, self.engines, self.clock)
        self.forwarder = Forwarder(replace(parts, service_selector=ServiceSelector(rng)))

    def forward(self, kind: RouteKind):
        """Forwards a request that is received now."""
        shares = (ServiceShare(PAGES, 1.0),)
        route = Route("r", "h", b"/", kind, shares, 2.0, OBJECTIVE_SECONDS, max_attempts=3)
        now = self.clock.now()
        return self.forwarder.forward(
            ClientRequest(b"request", "GET", b"h", b"/", (), b"", now, 1.8), route
        )

    def runs(self, zone: ZoneId) -> int:
        """Returns how many requests a zone's server has run."""
        return len(self.engines.engines[InstanceId(zone)].runs)

    def test_second_try_avoids_the_zone(self):
        async def play():
            self.begin(NORTH, slow=SOUTH)
            answer = await self.forward(RouteKind.IDEMPOTENT)
            self.assertEqual(200, answer.status)
            self.assertEqual((0, 1), (self.runs(NORTH), self.runs(SOUTH)))

        run(play())

    def test_request_without_a_server_elsewhere_is_rejected_at_once(self):
        async def play():
            self.begin(*ZONES)
            for kind in (RouteKind.IDEMPOTENT, RouteKind.RUN_ONCE):
                began = self.clock.now()
                with self.assertRaises(RefusedError) as refusal:
                    await self.forward(kind)
                self.assertLess(self.clock.now() - began, 0.01)
                self.assertEqual(NO_SLOT_RETRY_SECONDS, refusal.exception.retry_after)
            self.assertEqual((0, 0), (self.runs(NORTH), self.runs(SOUTH)))

        run(play())

    def test_full_server_elsewhere_is_waited_for(self):
        async def play():
            self.begin(NORTH)
            self.engines.engines[InstanceId(SOUTH)].slots = 0
            began = self.clock.now()
            with self.assertRaises(RefusedError) as refusal:
                await self.forward(RouteKind.RUN_ONCE)
            self.assertGreater(self.clock.now() - began, 0.03)
            self.assertLess(refusal.exception.retry_after, MAX_RETRY_SECONDS)

        run(play())


class NotSentTest(unittest.TestCase):
    """A send that a rule rejects at the last moment does not count against the server."""

    def test_server_is_not_avoided_after_a_placement_rule_rejected_a_send(self):
        async def play():
            balancer = Balancer(InstanceDirectory(), LoopClock(), random.Random(1))
            for reason in (NotRunReason.EVACUATED, NotRunReason.OUTSIDE_REGIONS):
                balancer.record_not_run(InstanceId("a"), reason, 1.0)
                self.assertFalse(balancer.is_avoided(InstanceId("a")), reason)
            balancer.record_not_run(InstanceId("a"), NotRunReason.UNREACHABLE, 1.0)
            self.assertTrue(balancer.is_avoided(InstanceId("a")))

        run(play())


class LoadTest(unittest.TestCase):
    """When engines load a version, and which engines belong to a model."""

    def setUp(self) -> None:
        self.service = CONFIGURATION.services[ENGINES]
        self.directory = InstanceDirectory()
        for number in range(6):
            self.directory.update(make_instance(f"e{number}", ENGINES, zone=ZONES[number % 2]))
        self.targets = WeightTargets()
        self.targets.update(WeightTarget(MODEL, 2), now=10.0)
        self.north = {InstanceId(f"e{number}") for number in (0, 2, 4)}
        self.south = {InstanceId(f"e{number}") for number in (1, 3, 5)}

    def due(self, seconds: float, zone: ZoneId = NORTH) -> set[InstanceId]:
        """Returns the engines that are due to load a given time after the announcement."""
        now = 10.0 + IDLE_LOAD_DELAY_SECONDS + seconds
        inputs = LoadInputs(self.directory, self.targets, {}, frozenset({zone}))
        loads = due_loads(self.service, inputs, now)
        return {engine for engine, _ in loads}

    def load(self, engines: set[InstanceId]) -> None:
        """Sets engines to the version."""
        for engine in engines:
            self.directory.observe_version(engine, MODEL, 2)

    def test_engines_that_serve_load_first(self):
        for zone, serving in ((NORTH, self.south), (SOUTH, self.north)):
            self.assertTrue(self.due(0.1, zone))
            self.assertLessEqual(self.due(0.1, zone), serving)
        self.load(self.south)
        self.assertTrue(self.due(0.2))
        self.assertLessEqual(self.due(0.2), self.north)

    def test_all_engines_load_in_the_end(self):
        for _ in range(6):
            self.load(self.due(0.1))
        self.assertEqual(set(), self.due(0.1))
        for engine in self.north | self.south:
            self.assertEqual(2, self.directory.version_of(engine, MODEL))

    def test_engine_that_cannot_load_delays_evacuated_ones_only_for_its_turns(self):
        late = LOAD_GROUP_COUNT * GROUP_TURN_SECONDS + 0.1
        self.assertTrue(self.due(late) & self.north)

    def test_no_evacuated_engine_is_a_models_own(self):
        async def play():
            configuration = PlatformFleet(gateways=1).gateways[0].configuration
            configuration.update(CONFIGURATION)
            blackboard = Blackboard(RegionMap(), configuration, self.directory, self.targets)
            evacuations = blackboard.evacuations
            division = EngineAllocator(blackboard, LoopClock(), dict)
            self.assertEqual(self.north | self.south, division.engines_of(ENGINES, MODEL))
            evacuations.begin(NORTH, 0.0)
            await asyncio.sleep(1.0)
            self.assertEqual(self.south, division.engines_of(ENGINES, MODEL))

        run(play())


class FleetTest(unittest.TestCase):
    """A fleet of daemons with two engines in each zone."""

    def setUp(self) -> None:
        self.enterContext(switched_off.own_engines_first())

    async def begin(self, **options) -> None:
        """Starts a fleet, and waits until it has its initial state.

        Items may go to any engine from the start, so only the evacuation rule keeps them away.
        """
        self.fleet = PlatformFleet(**options)
        self.batches = 0
        await self.fleet.wait(CHANGE_SECONDS)

    async def run_batch(self, number: int = 0, items: int = 12, **options) -> set[ZoneId]:
        """Runs a batch at a daemon, and returns the zones that received requests meanwhile."""
        self.batches += 1
        spec = make_batch(f"batch-{self.batches}", items, **options)
        first = len(self.fleet.sends)
        gateway = self.fleet.gateways[number]
        await gateway.batches.submit(spec)
        check_results(self, spec, await self.fleet.read_all(gateway, spec.id))
        return {send.zone for send in self.fleet.sends[first:]}

    async def change(self, *zones: ZoneId, on: bool = True) -> None:
        """Begins or ends evacuations, and waits until every daemon knows."""
        for zone in zones:
            (self.fleet.evacuate if on else self.fleet.end_evacuation)(zone)
        await self.fleet.wait(CHANGE_SECONDS)

    def check_bound(self) -> None:
        """Checks all sends so far against the operator's word."""
        PlatformOracle(self.fleet).check_evacuated()

    def test_evacuation_begins_and_ends(self):
        async def play():
            await self.begin(scorers=2)
            self.assertEqual(set(ZONES), await self.run_batch(scored=True))
            await self.change(NORTH)
            self.assertEqual({SOUTH}, await self.run_batch(scored=True))
            await self.change(NORTH, on=False)
            self.assertEqual(set(ZONES), await self.run_batch(scored=True))
            self.check_bound()

        run(play())

    def test_begin_and_end_are_logged_once(self):
        async def play():
            await self.begin(gateways=1)
            log = RecordingLog()
            self.fleet.gateways[0]._feeds.row_recorder._log = log
            await self.change(NORTH)
            self.fleet.put("operator", f"evacuate-{NORTH}", b"{}")  # repeated, without effect
            await self.change(NORTH, on=False)
            lines = [fields for event, fields in log.events if event is Event.EVACUATION]
            self.assertEqual(["begun", "ended"], [line["state"] for line in lines])
            self.assertEqual(
                [(NORTH, 2)] * 2, [(line["zone"], line["instances"]) for line in lines]
            )

        run(play())

    def test_end_and_new_begin_in_one_feed_response(self):
        async def play():
            await self.begin()
            await self.change(NORTH)
            self.fleet.end_evacuation(NORTH)
            await self.change(NORTH)
            self.assertEqual({SOUTH}, await self.run_batch())

        run(play())

    def test_begin_and_end_in_one_feed_response(self):
        async def play():
            await self.begin()
            self.fleet.evacuate(NORTH)
            await self.change(NORTH, on=False)
            self.assertEqual(set(ZONES), await self.run_batch())

        run(play())

    def test_batch_waits_while_all_zones_are_evacuated(self):
        async def play():
            await self.begin()
            await self.change(*ZONES)
            first = len(self.fleet.sends)
            spec = make_batch("waiting")
            await self.fleet.gateways[0].batches.submit(spec)
            await self.fleet.wait(3.0)
            self.assertEqual([], self.fleet.sends[first:])
            await self.change(SOUTH, on=False)
            check_results(self, spec, await self.fleet.read_all(self.fleet.gateways[0], spec.id))
            self.assertEqual({SOUTH}, {send.zone for send in self.fleet.sends[first:]})

        run(play())

    def test_evacuation_of_a_zone_without_servers_has_no_effect(self):
        async def play():
            await self.begin()
            await self.change(ZoneId("nowhere"))
            self.assertEqual(set(ZONES), await self.run_batch())

        run(play())

    def test_removal_of_other_rows_ends_no_evacuation(self):
        async def play():
            await self.begin()
            await self.change(NORTH, ZoneId("nowhere"))
            await self.change(ZoneId("nowhere"), on=False)
            self.assertEqual({SOUTH}, await self.run_batch())

        run(play())

    def test_new_daemon_knows_the_evacuation(self):
        async def play():
            await self.begin()
            await self.change(NORTH)
            self.fleet.add_gateway("late")
            while not self.fleet.gateways[-1].lifecycle.informed:
                await self.fleet.wait(0.01)
            self.assertEqual({SOUTH}, await self.run_batch(number=-1))

        run(play())

    def test_end_is_learned_after_the_feed_lost_it(self):
        async def play():
            await self.begin(gateways=1)
            await self.change(NORTH)
            self.fleet.store.faults = StoreFaults(refuses=True)
            await self.fleet.wait(1.0)
            self.fleet.end_evacuation(NORTH)
            self.fleet.store.forget_history()
            self.fleet.store.faults = StoreFaults()
            await self.fleet.wait(CHANGE_SECONDS)
            self.assertEqual(set(ZONES), await self.run_batch())

        run(play())

    def test_begin_is_learned_after_the_feed_lost_it(self):
        async def play():
            await self.begin(gateways=1)
            self.fleet.evacuate(NORTH)
            self.fleet.store.forget_history()
            await self.fleet.wait(CHANGE_SECONDS)
            self.assertEqual({SOUTH}, await self.run_batch())

        run(play())

    def test_evacuation_outlasts_a_lost_store(self):
        async def play():
            await self.begin(gateways=1)
            await self.change(NORTH)
            self.fleet.store.faults = StoreFaults(down=True)
            await self.fleet.wait(60.0)
            self.fleet.store.forget_history()
            self.fleet.store.faults = StoreFaults()
            self.assertEqual({SOUTH}, await self.run_batch())

        run(play())

    def test_daemon_rejected_by_the_store_learns_through_a_peer(self):
        async def play():
            await self.begin(relays=True)
            self.fleet.clients[0].refused = True
            await self.fleet.wait(1.0)
            self.fleet.evacuate(NORTH)
            await self.fleet.wait(EVACUATE_SECONDS)
            self.assertTrue(self.fleet.gateways[0].blackboard.evacuations.is_evacuated(NORTH))
            self.assertEqual({SOUTH}, await self.run_batch())

        run(play())

    def test_broken_run_continues_outside_the_zone(self):
        async def play():
            self.enterContext(switched_off.pauses_after_failures())
            await self.begin(gateways=1)
            spec = make_batch(items=28)
            await self.fleet.gateways[0].batches.submit(spec)
            await self.fleet.wait(0.08)
            north = [name for name, zone in self.fleet.engine_zones.items() if zone == NORTH]
            self.assertTrue(any(self.fleet.engines.engines[name].running for name in north))
            self.fleet.gateways[0].blackboard.evacuations.begin(NORTH, 0.0)
            first = len(self.fleet.sends)
            for name in north:
                self.fleet.engines.engines[name].break_after = 3
            check_results(self, spec, await self.fleet.read_all(self.fleet.gateways[0], spec.id))
            self.assertEqual({SOUTH}, {send.zone for send in self.fleet.sends[first:]})

        run(play())

    def test_running_item_finishes_in_the_zone(self):
        async def play():
            await self.begin(gateways=1)
            spec = make_batch(items=8)
            await self.fleet.gateways[0].batches.submit(spec)
            await self.fleet.wait(0.08)
            self.fleet.gateways[0].blackboard.evacuations.begin(NORTH, 0.0)
            sent = len(self.fleet.sends)
            check_results(self, spec, await self.fleet.read_all(self.fleet.gateways[0], spec.id))
            self.assertEqual(sent, len(self.fleet.sends))

        run(play())

    def test_gauges_show_when_a_zone_is_empty(self):
        async def play():
            await self.begin(gateways=1)
            gateway = self.fleet.gateways[0]
            spec = make_batch(items=8)
            await gateway.batches.submit(spec)
            await self.fleet.wait(0.08)
            gateway.blackboard.evacuations.begin(NORTH, 0.0)
            count = sum(
                state.running
                for name, state in self.fleet.engines.engines.items()
                if self.fleet.engine_zones[name] == NORTH
            )
            self.assertGreater(count, 0)
            self.check_gauges(count)
            await self.fleet.read_all(gateway, spec.id)
            self.check_gauges(0)
            gateway.blackboard.evacuations.end(NORTH)
            self.assertNotIn(b'larkpost_evacuated{zone="north"}', gateway.read_metrics())
            self.assertNotIn(b'larkpost_evacuated_requests{zone="north"}', gateway.read_metrics())

        run(play())

    def check_gauges(self, count: int) -> None:
        """Checks that the gauges show requests in the evacuated zone."""
        text = self.fleet.gateways[0].read_metrics().decode()
        self.assertIn('larkpost_evacuated{zone="north"} 1.0', text)
        self.assertIn(f'larkpost_evacuated_requests{{zone="north"}} {count}.0', text)

    def test_request_at_an_unlisted_instance_is_counted(self):
        async def play():
            await self.begin(gateways=1)
            gateway = self.fleet.gateways[0]
            with gateway.balancer.count_request(InstanceId("engine-0")):
                gateway.directory.forget(InstanceId("engine-0"))
                self.assertEqual(1, gateway.balancer.outstanding_in(NORTH))
            self.assertEqual(0, gateway.balancer.outstanding_in(NORTH))

        run(play())

    def test_daemon_in_the_zone_serves_its_callers(self):
        async def play():
            await self.begin(gateways=1)
            self.fleet.gateways[0].blackboard.regions.own_zone = NORTH
            await self.change(NORTH)
            self.assertEqual({SOUTH}, await self.run_batch())

        run(play())

    def test_weights_are_loaded_in_the_zone(self):
        async def play():
            await self.begin()
            await self.change(NORTH)
            self.fleet.put("operator", MODEL, b"2")
            await self.fleet.wait(8.0)
            for state in self.fleet.model_engines():
                self.assertEqual(2, state.versions[MODEL])
            await self.change(NORTH, on=False)
            self.assertEqual(set(ZONES), await self.run_batch(minimum_version=2))

        run(play())


class CheckTest(unittest.TestCase):
    """The bound check that the fuzz test uses."""

    def test_only_faults_within_the_bound_extend_it(self):
        self.assertEqual(15.0, known_by(10.0, []))
        self.assertEqual(18.0, known_by(10.0, [(12.0, 13.0)]))
        self.assertEqual(23.0, known_by(10.0, [(12.0, 13.0), (17.0, 18.0)]))
        self.assertEqual(15.0, known_by(10.0, [(3.0, 9.0), (16.0, 17.0)]))


if __name__ == "__main__":
    unittest.main()
