"""Tests of region restrictions: where requests are served, and which daemons may claim batches."""

import unittest
from dataclasses import replace

import orjson

from larkpost.common.distance import Distance
from larkpost.common.ids import ZoneId
from larkpost.gateway.blackboard.configuration import (
    Configuration,
    ConfigurationState,
    Route,
    RouteKind,
    ServiceShare,
)
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.blackboard.tenants import Tenant, TenantName
from larkpost.gateway.controllers.heartbeat import Heartbeat, decode_heartbeat, encode_heartbeat
from larkpost.gateway.controllers.heartbeat_intervals import DEAD_AFTER_SECONDS
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.proxy.admission import Admission
from larkpost.gateway.rollouts.engine_selector import EngineSelector
from larkpost.gateway.rollouts.errors import BatchRefusedError
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.store.batch_tables import ITEM_TABLE
from larkpost.gateway.store.port import Row, RowKey
from larkpost.platform import names, operator
from larkpost.platform.operator import UnreadableRowError
from tests.platform_fleet import (
    CONFIGURATION,
    ENGINES,
    MODEL,
    PAGES,
    PlatformFleet,
    check_results,
    make_batch,
)
from tests.platform_oracle import PlatformOracle
from tests.platform_places import EAST, EAST_ZONES, REGIONS, TWO_REGIONS, WEST, WEST_ZONE
from tests.virtual import run

ROUTE = Route(
    "r", "h", b"/", RouteKind.IDEMPOTENT, (ServiceShare(PAGES, 1.0),), 2.0, 0.2, max_attempts=2
)
HERE = RegionMap(EAST_ZONES[0], REGIONS)


def read_configuration(route: dict, tenants: list[dict] | None = None) -> Configuration | None:
    """Reads an operator's configuration with one route."""
    entry = {"host": "h", "path-prefix": "/", "kind": "idempotent", "service": "pages"}
    document = {"version": 1, "routes": [entry | route]}
    if tenants is not None:
        document["tenants"] = tenants
    key = RowKey(names.OPERATOR_TABLE, "", names.CONFIGURATION_KEY)
    return operator.read_configuration(Row(key, orjson.dumps(document), 1))


class ConfigurationTest(unittest.TestCase):
    """Region restrictions of routes and tenants in a configuration."""

    def test_absent_and_empty_regions_allow_all(self):
        for entry in ({}, {"allowed-regions": []}, {"allowed-regions": None}):
            configuration = read_configuration(entry)
            self.assertIsNone(configuration.routes[0].regions)
            self.assertFalse(configuration.has_region_limits)

    def test_invalid_regions_make_the_document_unreadable(self):
        for wrong in ("east", [1], {"east": 1}):
            with self.assertRaises(UnreadableRowError):
                read_configuration({"allowed-regions": wrong})

    def test_route_and_tenant_regions_both_apply(self):
        tenant = {"name": "t", "api-keys": ["k"], "allowed-regions": ["east", "south"]}
        configuration = read_configuration({"allowed-regions": ["east", "west"]}, [tenant])
        self.assertTrue(configuration.has_region_limits)
        admission = Admission(
            _state_of(configuration), lambda: 0.0, lambda: 1.0, EventLog("d"), Metrics()
        )
        key = next(iter(configuration.tenants[0].keys))
        self.assertEqual(frozenset({EAST}), admission.admit("id", "h", b"/x", key).regions)

    def test_disjoint_regions_allow_none(self):
        tenant = Tenant(TenantName("t"), frozenset(), regions=frozenset({WEST}))
        configuration = replace(CONFIGURATION, tenants=(tenant,))
        route = replace(ROUTE, regions=frozenset({EAST}))
        self.assertEqual(frozenset(), configuration.allowed_regions(tenant.name, route))
        self.assertEqual(frozenset({WEST}), configuration.allowed_regions(tenant.name, None))


def _state_of(configuration: Configuration) -> ConfigurationState:
    state = ConfigurationState()
    state.update(configuration)
    return state


class RegionMapTest(unittest.TestCase):
    """Distances of zones."""

    def test_distances(self):
        found = [HERE.distance(ZoneId(zone)) for zone in ("east-1", "east-2", "west-1", "new")]
        far = Distance.OTHER_REGION
        self.assertEqual([Distance.SAME_ZONE, Distance.SAME_REGION, far, far], found)

    def test_without_configured_zones_all_distances_are_equal(self):
        regions = RegionMap(ZoneId("z"), {}, EAST)
        self.assertEqual(EAST, regions.region_of(ZoneId("other")))
        self.assertEqual(
            {Distance.SAME_REGION}, {regions.distance(ZoneId(zone)) for zone in ("z", "other")}
        )


class HomeFleetTest(unittest.TestCase):
    """Batches restricted to the east, in a fleet across two regions."""

    def begin(self, configuration: bytes = b"east", **arguments) -> PlatformFleet:
        """Starts four daemons and four engines, alternating between the regions."""
        return PlatformFleet(4, 4, zones=TWO_REGIONS, configuration=configuration, **arguments)

    def oracle(self, fleet: PlatformFleet) -> PlatformOracle:
        """Returns an oracle that checks the region restrictions."""
        oracle = PlatformOracle(fleet)
        oracle.homes = frozenset({EAST})
        return oracle

    def test_items_and_reward_calls_stay_in_their_regions(self):
        async def play():
            fleet = self.begin(scorers=4)
            oracle = self.oracle(fleet)
            await fleet.wait(1.0)
            spec = make_batch(items=40, scored=True)
            self.assertTrue(await oracle.submit(fleet.gateways[1], spec))
            check_results(self, spec, await fleet.read_all(fleet.gateways[0], spec.id))
            oracle.check()

        run(play())

    def test_regions_configured_while_items_run_apply_to_the_next_runs(self):
        async def play():
            fleet = self.begin(b"")
            for state in fleet.engines.engines.values():
                state.event_seconds = 0.1
            await fleet.wait(1.0)
            spec = make_batch(items=80)
            await fleet.submit(spec)
            await fleet.wait(0.3)
            western = [
                state
                for name, state in fleet.engines.engines.items()
                if REGIONS[fleet.engine_zones[name]] == WEST
            ]
            self.assertTrue(all(state.runs for state in western))
            fleet.put("operator", "configuration", b"east")
            await fleet.wait(0.1)
            before = [len(state.runs) for state in western]
            check_results(self, spec, await fleet.read_all(fleet.gateways[0], spec.id))
            self.assertEqual(before, [len(state.runs) for state in western])

        run(play())

    def test_batch_of_an_owner_outside_is_claimed_inside(self):
        async def play():
            for seed in range(6):
                fleet = self.begin(seed=seed)
                oracle = self.oracle(fleet)
                await fleet.wait(3.0)
                for state in fleet.engines.engines.values():
                    state.event_seconds = 0.3
                spec = make_batch(f"batch-{seed}", items=40)
                await oracle.submit(fleet.gateways[1], spec)
                await fleet.wait(0.5)
                fleet.kill(1)
                await fleet.wait(DEAD_AFTER_SECONDS + 0.7)
                owners = [n for n, one in enumerate(fleet.gateways) if one.batch_manager.owned()]
                self.assertEqual([EAST], [fleet.region_of_gateway(owner) for owner in owners])
                check_results(self, spec, await fleet.read_all(fleet.gateways[3], spec.id))
                oracle.check()

        run(play())

    def test_planned_stop_hands_over_inside(self):
        async def play():
            for seed in range(4):
                fleet = self.begin(seed=seed)
                await fleet.wait(3.0)
                for state in fleet.engines.engines.values():
                    state.event_seconds = 0.3
                spec = make_batch(f"batch-{seed}", items=40)
                await fleet.submit(spec, 1)
                await fleet.wait(0.3)
                await fleet.gateways[1].membership.leave()
                await fleet.gateways[1].batch_manager.hand_over()
                head = await fleet.repository().head(spec.id)
                owner = next(n for n, one in enumerate(fleet.gateways) if one.id == head.owner)
                self.assertEqual(EAST, fleet.region_of_gateway(owner))

        run(play())

    def test_batch_that_no_daemon_may_claim_waits_for_one(self):
        async def play():
            fleet = self.begin()
            oracle = self.oracle(fleet)
            await fleet.wait(3.0)
            for state in fleet.engines.engines.values():
                state.event_seconds = 0.3
            spec = make_batch(items=40)
            await oracle.submit(fleet.gateways[1], spec)
            for number in (0, 1, 2):  # all of the east, and the owner
                fleet.kill(number)
            await fleet.wait(6.0)
            self.assertEqual([], fleet.gateways[3].batch_manager.owned())
            fleet.add_gateway("late", EAST_ZONES[0])
            check_results(self, spec, await fleet.read_all(fleet.gateways[3], spec.id))
            oracle.check()

        run(play())

    def test_old_batch_is_removed_by_a_daemon_inside(self):
        async def play():
            fleet = self.begin()
            oracle = self.oracle(fleet)
            await fleet.wait(1.0)
            for number in range(6):
                spec = make_batch(f"batch-{number}", items=4)
                await oracle.submit(fleet.gateways[0], spec)
            for gateway in fleet.gateways:
                gateway.settings.batch_lifetime = -50.0
            await fleet.wait(30.0)
            self.assertFalse([key for key in fleet.store.rows if key.table == ITEM_TABLE])
            oracle.check()

        run(play())

    def test_batch_without_an_engine_in_its_regions_is_rejected_at_once(self):
        async def play():
            fleet = PlatformFleet(2, 2, zones=(WEST_ZONE,), configuration=b"east")
            await fleet.wait(1.0)
            began = fleet.clock.now()
            with self.assertRaises(BatchRefusedError):
                await fleet.gateways[0].batches.submit(make_batch())
            self.assertEqual(began, fleet.clock.now())
            self.assertFalse([key for key in fleet.store.rows if key.table == ITEM_TABLE])

        run(play())

    def test_evacuation_outside_does_not_hide_missing_engines_in_the_regions(self):
        async def play():
            fleet = PlatformFleet(2, 2, zones=(WEST_ZONE,), configuration=b"east")
            fleet.evacuate(WEST_ZONE)
            await fleet.wait(3.0)
            with self.assertRaises(BatchRefusedError):
                await fleet.gateways[0].batches.submit(make_batch())

        run(play())

    def test_batch_whose_engines_are_evacuated_is_accepted_and_waits(self):
        async def play():
            fleet = self.begin()
            for zone in EAST_ZONES:
                fleet.evacuate(zone)
            await fleet.wait(3.0)
            spec = make_batch()
            await fleet.gateways[0].batches.submit(spec)
            await fleet.wait(1.0)
            self.assertFalse(fleet.stored_results(spec.id))
            for zone in EAST_ZONES:
                fleet.end_evacuation(zone)
            check_results(self, spec, await fleet.read_all(fleet.gateways[0], spec.id))

        run(play())

    def test_each_region_has_coordinators(self):
        async def play():
            fleet = PlatformFleet(30, 1, zones=(*[WEST_ZONE] * 14, EAST_ZONES[0]))
            await fleet.wait(6.0)
            acting = [one.membership.is_coordinator() for one in fleet.gateways]
            regions = [fleet.region_of_gateway(n) for n, acts in enumerate(acting) if acts]
            self.assertEqual((2, 6), (regions.count(EAST), regions.count(WEST)))

        run(play())

    def test_engine_near_the_owner_is_preferred_unless_fuller_or_slower(self):
        async def play():
            fleet = self.begin(b"")
            await fleet.wait(1.0)
            services = fleet.gateways[1].batch_manager._services
            head = BatchHead(
                "b", "h", "/r/x", MODEL, 0, 0, 1, 1, fleet.gateways[1].id, 0.0, False, "u"
            )
            choice = EngineSelector(head, services)
            near = {name for name, zone in fleet.engine_zones.items() if zone == WEST_ZONE}
            self.assertLessEqual({choice.choose(ENGINES).id for _ in range(20)}, near)
            for name in near:
                services.balancer.occupy(name)
                services.balancer.occupy(name)
            self.assertFalse({choice.choose(ENGINES).id for _ in range(20)} & near)
            for name in near:
                services.balancer.release(name)
                services.balancer.release(name)
            for name in fleet.engine_zones:
                services.balancer.record_service_time(name, 0.04 if name in near else 0.03)
            self.assertFalse({choice.choose(ENGINES).id for _ in range(20)} & near)

        run(play())


class HeartbeatZoneTest(unittest.TestCase):
    """Zones in heartbeats."""

    def test_heartbeats_contain_the_zone_and_rows_without_it_are_read(self):
        told = decode_heartbeat(encode_heartbeat(Heartbeat(2.0, zone=WEST_ZONE)))
        self.assertEqual(WEST_ZONE, told.zone)
        self.assertIsNone(decode_heartbeat(b'{"interval":2.0}').zone)


if __name__ == "__main__":
    unittest.main()
