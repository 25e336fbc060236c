"""Orders of preemptible servers: how many, where, by whom, and what unanswered ones come to."""

import unittest
from dataclasses import replace

from larkpost.capacity.plan import plan_preemptible
from larkpost.fleet.configuration import Service, ServiceSizes
from larkpost.fleet.directory import InstanceInfo, InstanceState
from larkpost.ids import Address, EngineId, ZoneId
from larkpost.platform.operator import read_configuration, read_instance
from larkpost.store.port import Row, RowKey
from tests.platform_checks import check_turns
from tests.platform_fleet import CONFIGURATION, ENGINES, MODEL, PlatformFleet, make_batch
from tests.virtual import run

NEAR, FAR = ZoneId("near"), ZoneId("far")
SIZES = ServiceSizes(maximum=4, boot_time=2.0, zone_prices={NEAR: 1.0, FAR: 1.25})
SERVICE = Service(ENGINES, 100, slots=8, models=(MODEL,), sizes=SIZES)
SIZED_CONFIGURATION = replace(
    CONFIGURATION, version=50, services=CONFIGURATION.services | {ENGINES: SERVICE}
)


def make_engine(name: str, zone: ZoneId, *, preemptible: bool = False) -> InstanceInfo:
    """Returns an engine's entry."""
    address = Address("10.0.0.1:1")
    state = InstanceState.READY
    return InstanceInfo(EngineId(name), ENGINES, address, zone, 8, state, preemptible=preemptible)


class PlanTest(unittest.TestCase):
    """How many servers each zone is to have."""

    def plan(self, items: int, *engines: InstanceInfo, dry=()) -> dict[ZoneId, int]:
        return dict(plan_preemptible(SERVICE, engines, items, dry))

    def test_a_place_for_each_item_beside_the_servers_that_are_there(self):
        engines = (make_engine("a", NEAR), make_engine("b", FAR))
        self.assertEqual({NEAR: 0, FAR: 0}, self.plan(16, *engines))
        self.assertEqual({NEAR: 1, FAR: 0}, self.plan(17, *engines))
        self.assertEqual({NEAR: 2, FAR: 1}, self.plan(40, *engines))

    def test_preemptible_servers_do_not_take_their_own_place(self):
        engines = (make_engine("a", NEAR), make_engine("b", FAR, preemptible=True))
        self.assertEqual({NEAR: 1, FAR: 0}, self.plan(16, *engines))

    def test_bounds_of_a_zone_hold_for_all_its_servers(self):
        engines = tuple(make_engine(f"e{number}", NEAR) for number in range(3))
        self.assertEqual({NEAR: 1, FAR: 4}, self.plan(1000, *engines))

    def test_a_dry_zone_is_left_to_the_others(self):
        self.assertEqual({NEAR: 0, FAR: 2}, self.plan(16, dry=[NEAR]))
        self.assertEqual({NEAR: 0, FAR: 0}, self.plan(16, dry=[NEAR, FAR]))

    def test_a_service_of_fixed_size_is_left_alone(self):
        fixed = replace(SERVICE, sizes=None)
        self.assertEqual({}, plan_preemptible(fixed, (), 1000, ()))


class SizerTest(unittest.TestCase):
    """Each test plays a small fleet on virtual time."""

    async def begin(self) -> PlatformFleet:
        """Starts a fleet whose engines may be ordered, two of them being there."""
        fleet = PlatformFleet(gateways=3, engines=2)
        await fleet.wait(1.0)
        for gateway in fleet.gateways:
            gateway.configuration.update(SIZED_CONFIGURATION)
        return fleet

    def numbers(self, fleet: PlatformFleet) -> list[tuple[ZoneId, int]]:
        """Returns zone and number of each order that arrived."""
        return [(got.order.zone, got.order.servers) for got in fleet.sizes.received]

    def test_servers_are_ordered_once_a_batch_needs_them(self):
        async def play():
            fleet = await self.begin()
            await fleet.wait(2.0)
            self.assertEqual([], fleet.sizes.received)
            await fleet.submit(make_batch(items=40))
            await fleet.wait(2.0)
            self.assertEqual({(NEAR, 2), (FAR, 1)}, set(self.numbers(fleet)))
            self.assertTrue(all(got.order.preemptible for got in fleet.sizes.received))

        run(play())

    def test_an_order_without_effect_is_repeated_by_one_holder_at_a_time(self):
        async def play():
            fleet = await self.begin()
            await fleet.submit(make_batch(items=40))
            fleet.sizes.lost_answers = 2
            await fleet.wait(15.0)
            self.assertGreater(len(fleet.sizes.received), 4)
            self.assertEqual({(NEAR, 2), (FAR, 1)}, set(self.numbers(fleet)))
            for subject, orders in fleet.sizes.by_subject().items():
                check_turns([(got.holder, got.token, got.at) for got in orders], subject)

        run(play())

    def test_a_zone_that_has_none_is_left_for_a_while(self):
        async def play():
            fleet = await self.begin()
            fleet.sizes.dry = {NEAR}
            await fleet.submit(make_batch(items=40))
            await fleet.wait(4.0)
            self.assertEqual(
                [(NEAR, 2), (FAR, 3)], self.numbers(fleet)[:1] + self.numbers(fleet)[-1:]
            )
            refused = [got for got in fleet.sizes.received if got.order.zone == NEAR]
            self.assertEqual(1, len(refused))

        run(play())

    def test_a_successor_goes_on_after_the_lease(self):
        async def play():
            fleet = await self.begin()
            await fleet.submit(make_batch(items=40))
            await fleet.wait(2.0)
            name = fleet.sizes.received[-1].holder
            number = next(i for i, gateway in enumerate(fleet.gateways) if gateway.id == name)
            fleet.kill(number)
            await fleet.wait(12.0)
            self.assertGreater(len({got.holder for got in fleet.sizes.received}), 1)
            for subject, orders in fleet.sizes.by_subject().items():
                check_turns([(got.holder, got.token, got.at) for got in orders], subject)

        run(play())


class DocumentTest(unittest.TestCase):
    """What the operator and the servers write."""

    def test_bounds_and_kinds_are_read(self):
        autoscale = b'{"min":1,"max":15,"boot-s":4.0,"zone-prices":{"near":1.0}}'
        value = b'{"version":1,"routes":[],"services":[{"name":"s","autoscale":%s}]}' % autoscale
        configuration = read_configuration(Row(RowKey("op", "", "config"), value, 1))
        sizes = configuration.services["s"].sizes
        self.assertEqual(ServiceSizes(15, 4.0, {NEAR: 1.0}), sizes)
        entry = b'{"service":"s","address":"a:1","preemptible":true}'
        self.assertTrue(read_instance(Row(RowKey("servers", "", "i"), entry, 1)).preemptible)


if __name__ == "__main__":
    unittest.main()
