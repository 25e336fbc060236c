"""Tests what each mechanism changes, by running the same scenario with and without it."""

import asyncio
import random
import unittest
from collections import Counter
from contextlib import suppress
from dataclasses import replace

from larkpost.common.clock import LoopClock
from larkpost.common.errors import LarkpostError
from larkpost.common.ids import InstanceId, RegionId, ZoneId
from larkpost.gateway.blackboard.configuration import RouteKind, Service
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.blackboard.weight_targets import ModelDemand, WeightTarget, WeightTargets
from larkpost.gateway.controllers.due_loads import BUSY_LOAD_DELAY_SECONDS, LoadInputs, due_loads
from larkpost.gateway.controllers.model_assignment import assign_models
from larkpost.gateway.proxy.balancer import Balancer, BalancerDependencies
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.gateway.proxy.instance_use import PROBE_SECONDS
from larkpost.gateway.proxy.request import (
    ClientRequest,
)
from larkpost.gateway.rollouts.engine_selector import EngineSelector
from larkpost.gateway.rollouts.faster_engine import FasterEngineRequest, MigrateRunError
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.rollouts.progress import LONG_ITEM_EVENTS, ItemRun, Progress
from larkpost.gateway.rollouts.reward_caller import RewardCaller
from larkpost.gateway.rollouts.slot_queue import SlotQueue
from larkpost.gateway.scaling.port import ScalingMode
from larkpost.gateway.servers.port import NotRunReason
from larkpost.gateway.store.batch_tables import PARTIAL_TABLE
from larkpost.gateway.store.port import RowKey, Transaction
from larkpost.platform.stand_in.memory_store import StoreFaults
from tests import switched_off
from tests.platform_fleet import ENGINES, MODEL, PAGES, ROUTE, SCORERS, PlatformFleet, make_batch
from tests.scripted_engines import ScriptedEngine, ScriptedEngines
from tests.server_parts import (
    FIRST,
    SECOND,
    TWO_MODELS,
    make_directory,
    make_instance,
    make_parts,
    make_route,
)
from tests.virtual import run


def make_head(fleet: PlatformFleet) -> BatchHead:
    """Returns the head of a batch owned by a fleet's first daemon."""
    spec = make_batch(items=1)
    owner = fleet.gateways[0].id
    return BatchHead(spec.id, spec.host, spec.path, MODEL, 0, 0, 1, 1, owner, 0.0, False, "u")


class MechanismsTest(unittest.TestCase):
    """Runs a scenario with a mechanism, and mostly without it as well."""

    def test_hedged_tries(self):
        async def seconds() -> float:
            clock = LoopClock()
            servers = ScriptedEngines(clock, MODEL)
            for name, state in (
                ("e0", ScriptedEngine(event_seconds=1.4)),
                ("e1", ScriptedEngine()),
            ):
                servers.engines[InstanceId(name)] = state
            directory = make_directory(2, PAGES)
            balancer = Balancer(directory, clock, random.Random(1))
            balancer.record_service_time(
                InstanceId("e0"), 0.01
            )  # so that the slow engine is tried first
            balancer.record_service_time(InstanceId("e1"), 0.05)
            forwarder = Forwarder(make_parts(directory, balancer, servers, clock))
            sent = self.client_request(clock)
            await forwarder.forward(sent, make_route(RouteKind.IDEMPOTENT))
            return clock.now() - sent.received_at

        self.assertLess(run(seconds()), 0.5)
        with switched_off.hedged_attempts():
            self.assertGreater(run(seconds()), 1.0)

    def client_request(self, clock: LoopClock) -> ClientRequest:
        """Returns a client's request."""
        return ClientRequest(b"r1", "GET", b"h", b"/", (), b"", clock.now(), 1.9)

    def test_faster_engine_moves(self):
        async def moves() -> bool:
            """Returns whether a long run at a slow engine gets a slot at a fast one."""
            fleet = PlatformFleet(gateways=1, engines=0)
            services = fleet.gateways[0].batch_manager._services
            services.directory = make_directory(2)
            services.balancer = Balancer(services.directory, fleet.clock, random.Random(0))
            services.balancer.record_service_time(InstanceId("e0"), 0.09)
            services.balancer.record_service_time(InstanceId("e1"), 0.04)
            choice = EngineSelector(make_head(fleet), services)
            places = SlotQueue(choice, services.balancer, fleet.clock)
            progress = Progress(make_batch(items=1).items[0])
            progress.events = [b"x"] * LONG_ITEM_EVENTS
            slow = make_instance("e0", ENGINES)
            request = FasterEngineRequest(places, choice, ItemRun(slow, ROUTE, progress))
            request.request_if_slow()
            await fleet.wait(0.1)
            try:
                request.raise_if_assigned()
            except MigrateRunError as move:
                return move.engine.id == "e1"
            return False

        self.assertTrue(run(moves()))
        with switched_off.moves_to_faster_engines():
            self.assertFalse(run(moves()))

    def test_stalled_moves(self):
        async def seconds() -> float:
            """Returns the time to complete a batch while an engine stalls."""
            fleet = PlatformFleet(1, 2)
            first = next(iter(fleet.engines.engines.values()))
            first.stall_after = 1
            await fleet.wait(1.0)
            began = fleet.clock.now()
            spec = make_batch(items=8)
            await fleet.gateways[0].batches.submit(spec)
            await fleet.read_all(fleet.gateways[0], spec.id)
            return fleet.clock.now() - began

        self.assertLess(run(seconds()), 1.2)
        with switched_off.moves_of_stalled_runs():
            self.assertGreater(run(seconds()), 1.5)

    def test_long_items_urgent(self):
        async def ranks() -> set[int | None]:
            fleet = PlatformFleet(1, 1)
            await fleet.wait(1.0)
            await fleet.gateways[0].batches.submit(make_batch("batch", 40))
            await fleet.wait(0.2)
            return set(next(iter(fleet.engines.engines.values())).ranks.values())

        self.assertEqual({0, 1}, run(ranks()))
        with switched_off.ranks_of_items():
            self.assertEqual({None}, run(ranks()))

    def test_own_engines_first(self):
        async def engines() -> int:
            """Returns how many engines a new batch uses; two belong to its model."""
            fleet = PlatformFleet(1, 4)
            own = frozenset({InstanceId("engine-0"), InstanceId("engine-1")})
            await fleet.wait(1.0)
            services = fleet.gateways[0].batch_manager._services
            services.allocator.engines_of = lambda *_: own
            await fleet.gateways[0].batches.submit(make_batch("batch", 40))
            await fleet.wait(0.4)
            return sum(bool(state.runs) for state in fleet.model_engines())

        self.assertEqual(2, run(engines()))
        with switched_off.own_engines_first():
            self.assertEqual(4, run(engines()))

    def test_long_runs_wish(self):
        async def wished() -> bool:
            """Returns whether long runs leave a slow engine while waiting items take all slots."""
            fleet = PlatformFleet(1, 2)
            slow, fast = fleet.model_engines()
            slow.event_seconds, fast.event_seconds = 0.085, 0.03
            fleet.engines.output_events = 60
            await fleet.wait(1.0)
            await fleet.gateways[0].batches.submit(make_batch("batch", 64))
            await fleet.wait(6.0)
            return bool(set(slow.runs[:8]) & set(fast.runs))

        self.assertTrue(run(wished()))
        with switched_off.moves_to_faster_engines():
            self.assertFalse(run(wished()))

    def test_hold_seconds(self):
        async def results() -> int:
            """Returns how many results a waiting read gets if some are already available."""
            fleet = PlatformFleet(1, 4)
            await fleet.wait(1.0)
            spec = make_batch("batch", 12)
            await fleet.gateways[0].batches.submit(spec)
            await fleet.wait(0.25)
            page = await fleet.gateways[0].batches.read(spec.id, 0, 1.0)
            self.assertGreater(len(page.results), 0)
            return len(page.results)

        self.assertEqual(12, run(results()))
        with switched_off.held_reads():
            self.assertLess(run(results()), 12)

    def test_loading_last(self):
        async def chosen(loading: set[str]) -> str:
            fleet = PlatformFleet(gateways=1, engines=0)
            services = fleet.gateways[0].batch_manager._services
            services.directory = make_directory(2)
            services.balancer = Balancer(services.directory, fleet.clock, random.Random(0))
            services.balancer.occupy(InstanceId("e1"))
            services.allocator.loading = lambda *_: frozenset(loading)
            return EngineSelector(make_head(fleet), services).choose(ENGINES).id

        self.assertEqual("e0", run(chosen(set())))
        self.assertEqual("e1", run(chosen({"e0"})))
        self.assertEqual("e0", run(chosen({"e0", "e1"})))

    def test_partial_seconds(self):
        async def kept() -> int:
            fleet = PlatformFleet(1, 1)
            await fleet.wait(1.0)
            await fleet.gateways[0].batches.submit(make_batch("batch", 40))
            await fleet.wait(1.5)
            return sum(key.table == PARTIAL_TABLE for key in fleet.store.rows)

        self.assertGreater(run(kept()), 0)
        with switched_off.kept_partial_outputs():
            self.assertEqual(0, run(kept()))

    def test_longest_first(self):
        async def first_placed() -> set[str]:
            fleet = PlatformFleet(1, 1)
            await fleet.wait(1.0)
            await fleet.gateways[0].batches.submit(make_batch("batch", 40))
            await fleet.wait(0.2)
            engine = next(iter(fleet.engines.engines.values()))
            return set(engine.runs[:8])

        items = make_batch("batch", 40).items
        longest = sorted(items, key=lambda item: item.expected_work)[-8:]
        self.assertNotEqual(set(longest), set(items[:8]))
        self.assertEqual({item.id for item in longest}, run(first_placed()))

    def test_engines_by_work(self):
        directory = make_directory(6)
        demands = {FIRST: ModelDemand(100), SECOND: ModelDemand(210)}
        engines = directory.of_service(ENGINES)
        for known, sizes in ((demands, (2, 4)), ({}, (3, 3))):
            chosen = assign_models(TWO_MODELS, engines, directory, known)
            self.assertEqual(sizes, (len(chosen[FIRST]), len(chosen[SECOND])))

    def paces(self) -> tuple[float, float]:
        """Returns the service times of an instance measured here, and of one reported by a peer."""

        async def play() -> tuple[float, float]:
            balancer = Balancer(make_directory(2), LoopClock(), random.Random(0))
            balancer.record_service_time(InstanceId("e0"), 0.04)
            balancer.record_peer_summary("other", {InstanceId("e1"): (1, 0.05)})
            return balancer.service_time(InstanceId("e0")), balancer.service_time(InstanceId("e1"))

        return run(play())

    def test_own_paces_and_those_that_others_report(self):
        self.assertEqual((0.04, 0.05), self.paces())

    def test_kept_connections_first(self):
        async def first() -> int:
            rng = random.Random(0)
            clock = LoopClock()
            directory = make_directory(4)
            sources = BalancerDependencies(is_connected=lambda info: info.id == "e0")
            balancer = Balancer(directory, clock, rng, sources)
            choices = [balancer.candidates(ENGINES, for_client=True)[0] for _ in range(30)]
            return len({info.id for info in choices})

        self.assertEqual(1, run(first()))
        with switched_off.kept_connections_first():
            self.assertEqual(4, run(first()))

    def test_load_groups(self):
        directory = make_directory(6)
        service = Service(ENGINES, 100, slots=8, models=(FIRST,))
        targets = WeightTargets()
        targets.update(WeightTarget(FIRST, 2), now=10.0)
        demands = {FIRST: ModelDemand(100, True)}
        for elapsed, count in ((0.1, 0), (BUSY_LOAD_DELAY_SECONDS + 0.1, 2)):
            loads = due_loads(service, LoadInputs(directory, targets, demands), 10.0 + elapsed)
            self.assertEqual(count, len(loads))

    def test_replace_servers(self):
        async def orders(mode: ScalingMode) -> int:
            fleet = PlatformFleet(gateways=2, scaling_mode=mode)
            fleet.put("operator", "configuration", b"scaled")
            await fleet.wait(8.0)
            fleet.store.apply(Transaction(removals=(RowKey("instances", "", "engine-0"),)))
            await fleet.wait(12.0)
            return len(fleet.scaling.received)

        self.assertEqual(0, run(orders(ScalingMode.ANNOUNCE)))
        self.assertEqual(1, run(orders(ScalingMode.REPLACE)))

    def test_near_first(self):
        async def first(regions: RegionMap) -> set[str]:
            directory = make_directory(2)
            directory.update(replace(make_instance("e0", ENGINES), zone=ZoneId("far")))
            sources = BalancerDependencies(regions=regions)
            balancer = Balancer(directory, LoopClock(), random.Random(0), sources)
            return {balancer.candidates(ENGINES, for_client=True)[0].id for _ in range(20)}

        named = {ZoneId("z"): RegionId("here"), ZoneId("far"): RegionId("there")}
        self.assertEqual({"e1"}, run(first(RegionMap(ZoneId("z"), named))))
        self.assertEqual({"e0", "e1"}, run(first(RegionMap())))

    def test_probe_refusing(self):
        async def places() -> list[bool]:
            """Returns whether an engine that rejected a request has a slot, at four times."""
            balancer = Balancer(make_directory(1), LoopClock(), random.Random(0))
            engine = make_instance("e0", ENGINES)
            balancer.occupy(engine.id)  # runs there throughout
            balancer.record_not_run(engine.id, NotRunReason.FULL, 0.0)
            found = [balancer.has_free_slot(engine)]
            balancer.occupy(engine.id)
            found.append(balancer.has_free_slot(engine))
            await asyncio.sleep(PROBE_SECONDS + 0.01)
            found.append(balancer.has_free_slot(engine))
            balancer.occupy(engine.id)
            balancer.record_load(engine.id, None)
            return [*found, balancer.has_free_slot(engine)]

        self.assertEqual([True, False, True, True], run(places()))

    def test_avoid_failed(self):
        async def is_avoided() -> bool:
            balancer = Balancer(make_directory(1), LoopClock(), random.Random(0))
            balancer.avoid(InstanceId("e0"), 1.0)
            return balancer.is_avoided(InstanceId("e0"))

        self.assertTrue(run(is_avoided()))

    def active(self) -> Counter[str]:
        """Returns how many of 20 idle daemons coordinate, and how many send frequent heartbeats."""

        async def play() -> Counter[str]:
            fleet = PlatformFleet(20, 1)
            await fleet.wait(8.0)
            members = [gateway.membership for gateway in fleet.gateways]
            return Counter(
                coordinators=sum(member.is_coordinator() for member in members),
                fast_heartbeats=len(members[0].fast_heartbeats.seen),
            )

        return run(play())

    def test_coordinators(self):
        self.assertEqual(Counter(coordinators=12, fast_heartbeats=12), self.active())
        with switched_off.most_coordinators():
            self.assertEqual(Counter(coordinators=2, fast_heartbeats=2), self.active())

    def test_peer_calls(self):
        async def is_relayed(relays: bool) -> bool:
            fleet = PlatformFleet(3, 1, relays=relays)
            await fleet.wait(2.0)
            fleet.clients[0].refused = True
            await fleet.wait(2.0)
            relay = fleet.gateways[0]._ports.relay
            return relay is not None and relay.is_relayed

        self.assertTrue(run(is_relayed(relays=True)))
        self.assertFalse(run(is_relayed(relays=False)))

    def test_lapsed_serve(self):
        async def left() -> int:
            fleet = PlatformFleet(1, 3)
            await fleet.wait(4.0)
            fleet.store.faults = StoreFaults(down=True)
            await fleet.wait(4.0)
            key = RowKey("instances", "", "engine-0")
            fleet.store.apply(Transaction(removals=(key,)))
            fleet.store.faults = StoreFaults()
            await fleet.wait(1.9)
            return len(fleet.gateways[0].directory.of_service(ENGINES))

        self.assertEqual(3, run(left()))

    def test_accept_seconds(self):
        async def seconds() -> float:
            fleet = PlatformFleet(1, 1)
            await fleet.wait(1.0)
            fleet.store.faults = StoreFaults(refuses=True)
            began = fleet.clock.now()
            with suppress(LarkpostError):
                await fleet.gateways[0].batches.submit(make_batch())
            return fleet.clock.now() - began

        self.assertLess(run(seconds()), 1.0)
        with switched_off.early_refusal_of_batches():
            self.assertGreater(run(seconds()), 2.9)

    def test_client_slots_share(self):
        async def has_free_slot() -> bool:
            fleet = PlatformFleet(1, 1, scorers=1)
            services = fleet.gateways[0].batch_manager._services
            attempts = RewardCaller(make_head(fleet), services)
            info = make_instance("scorer-0", SCORERS, slots=6)
            for _ in range(4):
                services.balancer.occupy(info.id)
            await asyncio.sleep(0)
            return attempts._has_free_slot(info)

        self.assertFalse(run(has_free_slot()))
        with switched_off.slots_left_to_clients():
            self.assertTrue(run(has_free_slot()))


if __name__ == "__main__":
    unittest.main()
