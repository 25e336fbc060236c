"""Server counts of services: what is planned, and that one daemon at a time orders it."""

import json
import unittest
from dataclasses import replace

from larkpost.common.ids import ZoneId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.scaling_terms import ScalingTerms
from larkpost.gateway.scaling.planner import PlanInputs, ServiceDemand, ZoneServers, plan_servers
from larkpost.gateway.scaling.port import ScalingMode, ScalingOrder, ScalingOutcome, ServerKind
from larkpost.gateway.store.port import Row, RowKey, Transaction
from larkpost.platform.operator import UnreadableRowError, read_configuration
from tests.platform_checks import check_turns
from tests.platform_fleet import ENGINES, PlatformFleet
from tests.virtual import run

SERVICE = ServiceName("engines")
NORTH, SOUTH = ZoneId("north"), ZoneId("south")
TERMS = ScalingTerms(1, 8, 4.0, 0.2, {NORTH: 1.0, SOUTH: 0.8})
WHOLE = ZoneServers(on_demand=8, preemptible=0, usual_count=8, missing_for=0.0)
LOST = ZoneServers(on_demand=5, preemptible=0, usual_count=8, missing_for=9.0)
LOST_AFTER = 8.0


def plan(zones: dict[ZoneId, ZoneServers], terms: ScalingTerms = TERMS, **options):
    """Returns the planned orders."""
    demand = options.pop("demand", ServiceDemand())
    return plan_servers(PlanInputs(SERVICE, terms, zones, demand, LOST_AFTER, **options)).orders


class PlannerTest(unittest.TestCase):
    """What is ordered, and what is not."""

    def test_a_whole_service_orders_nothing(self) -> None:
        self.assertEqual((), plan({NORTH: WHOLE, SOUTH: WHOLE}))

    def test_a_server_that_may_come_back_is_waited_for(self) -> None:
        self.assertEqual((), plan({NORTH: replace(LOST, missing_for=3.0)}))

    def test_lost_servers_are_replaced_in_their_zone_by_preemptible_ones(self) -> None:
        expected = ScalingOrder(SERVICE, NORTH, ServerKind.PREEMPTIBLE, 3)
        self.assertEqual((expected,), plan({NORTH: LOST, SOUTH: WHOLE}))

    def test_preemptible_share_of_a_zone_is_limited(self) -> None:
        known = ZoneServers(on_demand=2, preemptible=4, usual_count=8, missing_for=9.0)
        expected = ScalingOrder(SERVICE, NORTH, ServerKind.ON_DEMAND, 4)
        self.assertEqual((expected,), plan({NORTH: known}))

    def test_on_demand_servers_are_ordered_without_preemptible_ones(self) -> None:
        expected = ScalingOrder(SERVICE, NORTH, ServerKind.ON_DEMAND, 8)
        self.assertEqual((expected,), plan({NORTH: LOST}, without_preemptible=frozenset({NORTH})))
        expensive = replace(TERMS, preemptible_price=0.9)
        self.assertEqual((expected,), plan({NORTH: LOST}, expensive))

    def test_nothing_is_ordered_that_is_not_needed(self) -> None:
        zones = {NORTH: LOST, SOUTH: WHOLE}
        enough = ServiceDemand(
            rate=1000.0, server_rate=100.0
        )  # needs 12.5 servers with the headroom; there are 13
        self.assertEqual((), plan(zones, demand=enough))
        self.assertEqual(1, len(plan(zones, demand=replace(enough, rate=1100.0))))

    def test_nothing_is_ordered_into_an_evacuated_zone(self) -> None:
        self.assertEqual((), plan({NORTH: replace(LOST, is_evacuated=True)}))

    def test_limits_and_unpriced_zones(self) -> None:
        small = replace(TERMS, maximum=5)
        self.assertEqual((), plan({NORTH: LOST}, small))
        self.assertEqual((), plan({ZoneId("elsewhere"): LOST}))


class OrderTest(unittest.TestCase):
    """A small fleet on virtual time loses an engine permanently."""

    async def begin(self) -> PlatformFleet:
        """Starts a fleet, waits until its usual size is known, and removes an engine."""
        fleet = PlatformFleet(gateways=4, engines=12, scaling_mode=ScalingMode.REPLACE)
        fleet.put("operator", "configuration", b"scaled")
        await fleet.wait(8.0)
        self.take(fleet, 0)
        return fleet

    def take(self, fleet: PlatformFleet, number: int) -> None:
        """Removes an engine's entry permanently."""
        key = RowKey("instances", "", f"engine-{number}")
        fleet.store.apply(Transaction(removals=(key,)))

    def check(self, fleet: PlatformFleet) -> None:
        """Checks that holders never alternate within a lease."""
        received = fleet.scaling.received
        check_turns([(order.holder, order.token, order.at) for order in received], "scaling")

    def test_lost_server_is_replaced_once(self) -> None:
        async def play() -> None:
            fleet = await self.begin()
            await fleet.wait(6.0)
            self.assertEqual([], fleet.scaling.received)
            await fleet.wait(5.0)
            orders = [received.order for received in fleet.scaling.received]
            expected = ScalingOrder(ENGINES, NORTH, ServerKind.PREEMPTIBLE, 1)
            self.assertEqual([expected], orders)
            self.check(fleet)

        run(play())

    def test_another_daemon_takes_over_from_a_dead_holder(self) -> None:
        async def play() -> None:
            fleet = await self.begin()
            await fleet.wait(11.0)
            holder = fleet.scaling.received[0].holder
            number = next(i for i, known in enumerate(fleet.gateways) if known.id == holder)
            fleet.kill(number)
            self.take(fleet, 2)  # of the same zone
            await fleet.wait(40.0)
            self.assertIn(2, [received.order.desired for received in fleet.scaling.received])
            self.check(fleet)

        run(play())

    def test_unresponsive_platform_is_asked_again(self) -> None:
        async def play() -> None:
            fleet = await self.begin()
            fleet.scaling.down = True
            await fleet.wait(15.0)
            fleet.scaling.down = False
            await fleet.wait(6.0)
            self.assertEqual(1, len(fleet.scaling.received))
            self.check(fleet)

        run(play())

    def test_no_preemptible_server_is_available(self) -> None:
        async def play() -> None:
            fleet = await self.begin()
            fleet.scaling.has_preemptible = False
            await fleet.wait(16.0)
            outcomes = [(known.order.kind, known.outcome) for known in fleet.scaling.received]
            self.assertEqual((ServerKind.PREEMPTIBLE, ScalingOutcome.REFUSED), outcomes[0])
            self.assertEqual((ServerKind.ON_DEMAND, ScalingOutcome.TAKEN), outcomes[1])

        run(play())

    def test_entries_that_expire_during_an_outage_order_nothing(self) -> None:
        async def play() -> None:
            fleet = PlatformFleet(gateways=3, scaling_mode=ScalingMode.REPLACE)
            fleet.put("operator", "configuration", b"scaled")
            await fleet.wait(8.0)
            fleet.store.faults.down = True
            for number in range(3):
                self.take(fleet, number)
            await fleet.wait(12.0)
            fleet.store.faults.down = False
            await fleet.wait(1.0)
            for number in range(3):
                fleet.add_engine(f"engine-{number}")
            await fleet.wait(20.0)
            self.assertEqual([], fleet.scaling.received)

        run(play())


class ReadTermsTest(unittest.TestCase):
    """Scaling terms in the operator's configuration."""

    def read(self, terms: dict):
        """Returns the terms of a configuration's one service."""
        service = {"name": "engines", "autoscale": terms}
        document = {"version": 1, "routes": [], "services": [service]}
        row = Row(RowKey("op", "", "config"), json.dumps(document).encode(), 1)
        return read_configuration(row).services[SERVICE].scaling

    def test_terms(self) -> None:
        terms = self.read(
            {"min": 1, "max": 8, "boot-s": 4.0, "spot-price": 0.2, "zone-prices": {"north": 1.0}}
        )
        self.assertEqual(replace(TERMS, zone_prices={NORTH: 1.0}), terms)
        self.assertIsNone(self.read({}))

    def test_invalid_limits(self) -> None:
        with self.assertRaisesRegex(UnreadableRowError, "from 9 to 8"):
            self.read({"min": 9, "max": 8})


if __name__ == "__main__":
    unittest.main()
