"""Choosing among thousands of servers considers only a few, and still finds one that can serve.

Every client request, item and queued request makes a choice or counts slots, so the cost of either
must not grow with the fleet.
"""

import random
import unittest
from collections import Counter
from dataclasses import replace

from larkpost.common.clock import LoopClock
from larkpost.common.ids import DaemonId, InstanceId, RegionId, ZoneId
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceInfo
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.region_rule import RegionRule
from larkpost.gateway.placement.rules import Placement, StatelessRule
from larkpost.gateway.placement.work import CLIENT_WORK, REWARD_WORK, Work, WorkKind
from larkpost.gateway.proxy.balancer import Balancer, BalancerDependencies
from larkpost.gateway.proxy.server_pool import (
    MAX_UNSAMPLED_INSTANCES,
    POOL_EXTENSION_SIZE,
    POOL_SIZE,
    SEARCH_LIFETIME_SECONDS,
)
from larkpost.gateway.proxy.slot_counting import count_slots
from larkpost.gateway.proxy.subset import MIN_SUBSET_SIZE, DaemonSubsets
from tests.platform_fleet import ENGINES, MODEL, PAGES, PlatformFleet, check_results, make_batch
from tests.server_parts import SLOTS, make_instance
from tests.virtual import run

ITEM_WORK = Work(WorkKind.ITEM, model=MODEL, minimum_version=1)
FLEETS = ((30, 4), (300, 30), (1000, 100), (3200, 370))
"""Numbers of servers of one service, and of daemons."""
NAMES = tuple(InstanceId(f"s{number}") for number in range(3200))
"""The servers of a scene, of which it may use fewer."""
OWN = DaemonId("d0")
HOME, FAR = RegionId("home"), RegionId("far")
HOME_ZONE, FAR_ZONE = ZoneId("home-a"), ZoneId("far-a")


class CountingRule(StatelessRule):
    """Allows all instances but the forbidden ones, and counts which were evaluated."""

    def __init__(self) -> None:
        self.judged: Counter[InstanceId] = Counter()
        self.forbidden: set[InstanceId] = set()

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Counts an instance."""
        self.judged[instance.id] += 1
        return (
            PlacementDecision.EVACUATED
            if instance.id in self.forbidden
            else PlacementDecision.ALLOWED
        )

    def take(self) -> int:
        """Returns how many instances were evaluated since the last call."""
        count = len(self.judged)
        self.judged.clear()
        return count


class Scene:
    """The balancer of one daemon in a fleet with one service."""

    def __init__(self, servers: int = 3200, daemons: int = 370) -> None:
        self.directory = InstanceDirectory()
        regions = RegionMap(HOME_ZONE, {HOME_ZONE: HOME, FAR_ZONE: FAR})
        alive = frozenset(DaemonId(f"d{number}") for number in range(daemons))
        self.subsets = DaemonSubsets(OWN, lambda: alive)
        self.rule = CountingRule()
        for number in range(servers):
            self.directory.update(make_instance(f"s{number}", zone=HOME_ZONE))
        rules = (RegionRule(regions), self.rule)
        self.balancer = Balancer(
            self.directory,
            LoopClock(),
            random.Random(1),
            BalancerDependencies(
                placement=Placement(self.directory, rules), regions=regions, subsets=self.subsets
            ),
        )

    @property
    def subset(self) -> set[InstanceId]:
        """The servers of the daemon's subset."""
        return set(self.subsets.ids(PAGES, self.directory.index))

    def client_choice(self, **options) -> list[InstanceInfo]:
        """Returns the candidates for a client request."""
        return self.balancer.candidates(PAGES, CLIENT_WORK, for_client=True, **options)

    def fill(self, names: set[InstanceId]) -> None:
        """Takes all slots of some servers."""
        for name in names:
            for _ in range(SLOTS):
                self.balancer.occupy(name)

    def avoid(self, names: set[InstanceId]) -> None:
        """Marks some servers as recently failed."""
        for name in names:
            self.balancer.avoid(name, 60.0)


class CostTest(unittest.TestCase):
    """The number of servers considered."""

    def count_considered(self, servers: int, daemons: int) -> dict[str, int]:
        """Returns the number of servers that each use of the balancer considers."""

        async def play():
            scene = Scene(servers, daemons)
            uses = {
                "client": scene.client_choice,
                "reward call": lambda: scene.balancer.candidates(PAGES, REWARD_WORK),
                "item": lambda: scene.balancer.candidates(PAGES, ITEM_WORK),
                "slot count": lambda: count_slots(scene.balancer, PAGES, CLIENT_WORK),
                "verdicts": lambda: scene.balancer.verdicts(PAGES),
            }
            counts = {}
            for name, use in uses.items():
                use()
                counts[name] = scene.rule.take()
            scene.fill({InstanceId(f"s{number}") for number in range(servers)})
            scene.client_choice()
            counts["client while all are full"] = scene.rule.take()
            return counts

        return run(play())

    def test_choice_among_thousands_considers_at_most_twice_as_many_as_among_thirty(self):
        few = self.count_considered(*FLEETS[0])
        for servers, daemons in FLEETS[1:]:
            for use, count in self.count_considered(servers, daemons).items():
                with self.subTest(servers=servers, use=use):
                    self.assertLessEqual(count, 2 * few[use])

    def test_all_servers_of_a_small_service_are_ranked(self):
        async def play():
            scene = Scene(MAX_UNSAMPLED_INSTANCES, 370)
            self.assertEqual(MAX_UNSAMPLED_INSTANCES, len(scene.client_choice()))
            self.assertEqual(
                MAX_UNSAMPLED_INSTANCES, len(scene.balancer.candidates(PAGES, ITEM_WORK))
            )
            self.assertEqual(
                SLOTS * MAX_UNSAMPLED_INSTANCES,
                count_slots(scene.balancer, PAGES, CLIENT_WORK).total,
            )

        run(play())

    def test_requests_go_to_a_few_servers_so_that_connections_are_reused(self):
        async def play():
            scene = Scene()
            firsts = {scene.client_choice()[0].id for _ in range(500)}
            self.assertLessEqual(firsts, scene.subset)
            self.assertLessEqual(len(firsts), 2 * MIN_SUBSET_SIZE)

        run(play())

    def test_items_may_go_to_any_server(self):
        """The items of one owner need more slots than a subset has."""

        async def play():
            scene = Scene(300, 30)
            found = {
                info.id
                for _ in range(100)
                for info in scene.balancer.candidates(PAGES, ITEM_WORK)[:1]
            }
            self.assertGreater(len(found - scene.subset), len(found) / 2)

        run(play())


class FallbackTest(unittest.TestCase):
    """Other servers are considered when those in the pool cannot serve."""

    def test_others_are_tried_when_the_whole_subset_has_failed(self):
        async def play():
            scene = Scene()
            scene.avoid(scene.subset)
            self.assertNotIn(scene.client_choice()[0].id, scene.subset)

        run(play())

    def test_others_are_tried_when_the_whole_subset_is_full(self):
        async def play():
            scene = Scene()
            scene.fill(scene.subset)
            first = scene.client_choice()[0]
            self.assertNotIn(first.id, scene.subset)
            self.assertTrue(scene.balancer.has_free_slot(first))

        run(play())

    def test_others_are_chosen_when_the_whole_subset_was_tried(self):
        async def play():
            scene = Scene()
            tried = scene.subset
            chosen = scene.client_choice(exclude=tried)
            self.assertTrue(chosen)
            self.assertFalse({info.id for info in chosen} & tried)

        run(play())

    def test_subset_is_refilled_when_all_its_servers_are_removed(self):
        async def play():
            scene = Scene(300, 30)
            for name in scene.subset:
                scene.directory.remove(name, store_healthy=True)
            self.assertTrue(scene.client_choice())
            for name in scene.subset:
                self.assertIsNotNone(scene.directory.get(name))

        run(play())

    def test_failed_servers_are_the_last_resort(self):
        async def play():
            scene = Scene()
            scene.avoid({info.id for info in scene.directory.all()})
            self.assertTrue(scene.client_choice())

        run(play())

    def test_few_allowed_servers_of_thousands_are_found(self):
        """Three servers are in the only region where the work may be served."""

        async def play():
            scene = Scene()
            far = {f"s{number}" for number in (17, 170, 1700)} - scene.subset
            for name in far:
                scene.directory.update(make_instance(name, zone=FAR_ZONE))
            work = replace(CLIENT_WORK, regions=frozenset({FAR}))
            chosen = scene.balancer.candidates(PAGES, work, for_client=True)
            self.assertEqual(far, {info.id for info in chosen})
            self.assertEqual(SLOTS * len(far), count_slots(scene.balancer, PAGES, work).total)
            self.assertFalse(scene.balancer.is_outside_regions(PAGES, work))

        run(play())

    def test_others_are_found_when_the_only_allowed_server_of_a_subset_cannot_serve(self):
        """Three servers are in the only allowed region, one of them in the subset."""

        async def play():
            scene = Scene()
            near = min(scene.subset)
            others = set(sorted(set(NAMES) - scene.subset)[:2])
            for name in {near} | others:
                scene.directory.update(make_instance(name, zone=FAR_ZONE))
            work = replace(CLIENT_WORK, regions=frozenset({FAR}))
            tried = scene.balancer.candidates(PAGES, work, exclude={near}, for_client=True)
            self.assertEqual(others, {info.id for info in tried})
            scene.fill({near})
            first = scene.balancer.candidates(PAGES, work, for_client=True)[0]
            self.assertIn(first.id, others)
            self.assertEqual(SLOTS * len(others), count_slots(scene.balancer, PAGES, work).free)

        run(play())

    def test_others_are_found_when_all_allowed_servers_of_a_subset_were_tried(self):
        """The allowed region has 40 of 3,200 servers, five of them in the subset."""

        async def play():
            scene = Scene()
            tried = set(sorted(scene.subset)[:5])
            others = set(sorted(set(NAMES) - scene.subset)[:35])
            for name in tried | others:
                scene.directory.update(make_instance(name, zone=FAR_ZONE))
            work = replace(CLIENT_WORK, regions=frozenset({FAR}))
            for _ in range(20):
                chosen = scene.balancer.candidates(PAGES, work, exclude=tried, for_client=True)
                self.assertTrue(chosen)
                self.assertLessEqual({info.id for info in chosen}, others)

        run(play())

    def test_slots_found_by_a_search_are_scaled_up_to_all_allowed_servers(self):
        """The allowed region has 320 of 3,200 servers, of which a search finds only some."""

        async def play():
            scene = Scene()
            far = sorted(set(NAMES) - scene.subset)[::9][:320]
            for name in far:
                scene.directory.update(make_instance(name, zone=FAR_ZONE))
            work = replace(CLIENT_WORK, regions=frozenset({FAR}))
            total = count_slots(scene.balancer, PAGES, work).total
            self.assertGreater(total, SLOTS * len(far) / 2)
            self.assertLess(total, SLOTS * len(far) * 2)

        run(play())

    def test_search_for_items_stays_within_the_given_engines(self):
        async def play():
            scene = Scene()
            for start in range(0, 1500, 150):
                own, allowed = frozenset(NAMES[start : start + 150]), set(NAMES[start : start + 2])
                scene.rule.forbidden = set(NAMES[:1500]) - allowed
                chosen = scene.balancer.candidates(PAGES, ITEM_WORK, within=own)
                self.assertEqual(allowed, {info.id for info in chosen})
            everywhere = scene.balancer.candidates(PAGES, ITEM_WORK)
            self.assertGreater(len({info.id for info in everywhere} - own), 2)

        run(play())

    def test_server_removed_since_a_search_is_not_chosen(self):
        async def play():
            scene = Scene()
            far = InstanceId(min({"s17", "s170"} - scene.subset))
            scene.directory.update(make_instance(far, zone=FAR_ZONE))
            work = replace(CLIENT_WORK, regions=frozenset({FAR}))
            self.assertEqual([far], [info.id for info in scene.balancer.candidates(PAGES, work)])
            scene.directory.remove(far, store_healthy=True)
            self.assertEqual([], scene.balancer.candidates(PAGES, work))

        run(play())

    def test_search_of_all_servers_is_cached_while_none_is_allowed(self):
        async def play():
            scene = Scene()
            scene.rule.forbidden = {info.id for info in scene.directory.all()}
            self.assertEqual([], scene.client_choice())
            self.assertEqual(3200, scene.rule.take())
            for _ in range(20):
                self.assertEqual([], scene.client_choice())
                self.assertEqual(0, count_slots(scene.balancer, PAGES, CLIENT_WORK).total)
                self.assertLessEqual(scene.rule.take(), POOL_SIZE + POOL_EXTENSION_SIZE)
            await LoopClock().sleep(SEARCH_LIFETIME_SECONDS)
            scene.rule.forbidden.clear()
            self.assertTrue(scene.client_choice())

        run(play())


class ItemTest(unittest.TestCase):
    """The engines of a large service considered for items."""

    def test_only_engines_that_hold_the_model_are_considered(self):
        async def play():
            scene = Scene()
            holders = {f"s{number}" for number in range(0, 3200, 40)}
            for info in list(scene.directory.all()):
                versions = {MODEL: 1 if info.id in holders else 0}
                scene.directory.update(replace(info, versions=versions))
            chosen = scene.balancer.candidates(PAGES, ITEM_WORK)
            self.assertEqual(POOL_SIZE, len(chosen))
            self.assertLessEqual({info.id for info in chosen}, holders)
            scene.directory.observe_version(InstanceId("s1"), MODEL, 1)
            self.assertIn("s1", scene.directory.index.holders(PAGES, MODEL))

        run(play())

    def test_only_the_given_engines_are_considered(self):
        async def play():
            scene = Scene()
            own = frozenset(f"s{number}" for number in range(100, 250))
            chosen = scene.balancer.candidates(PAGES, ITEM_WORK, within=own)
            self.assertEqual(POOL_SIZE, len(chosen))
            self.assertLessEqual({info.id for info in chosen}, own)

        run(play())

    def test_free_slots_at_one_engine_in_fifty_are_found_in_a_few_choices(self):
        """Each choice samples the engines anew."""

        async def play():
            scene = Scene()
            free = {f"s{number}" for number in range(0, 3200, 50)}
            scene.fill({info.id for info in scene.directory.all()} - free)
            found = 0
            for _ in range(20):
                candidates = scene.balancer.candidates(PAGES, ITEM_WORK)
                found += any(scene.balancer.has_free_slot(info) for info in candidates)
            self.assertGreaterEqual(found, 8)

        run(play())


class FleetTest(unittest.TestCase):
    """Daemons with a service that is too large to be considered as a whole."""

    def test_batch_completes_although_a_third_of_the_engines_does_not_respond(self):
        async def play():
            fleet = PlatformFleet(gateways=3, engines=2 * MAX_UNSAMPLED_INSTANCES)
            await fleet.wait(1.0)
            spec = make_batch(items=300)
            await fleet.submit(spec)
            await fleet.wait(0.3)
            for number in range(0, 2 * MAX_UNSAMPLED_INSTANCES, 3):
                fleet.engines.engines[InstanceId(f"engine-{number}")].down = True
            await fleet.wait(10.0)
            check_results(self, spec, await fleet.read_all(fleet.gateways[0], spec.id))
            for gateway in fleet.gateways:
                sizes = gateway.balancer.subset_sizes()
                self.assertEqual(
                    {ENGINES: 2 * MAX_UNSAMPLED_INSTANCES}, sizes
                )  # three daemons serve all

        run(play())


class SlotCountTest(unittest.TestCase):
    """The slots of a large service are those of a sample, scaled up."""

    def test_slots_of_a_sample_are_scaled_up(self):
        async def play():
            scene = Scene(1000, 100)
            sampled = count_slots(scene.balancer, PAGES, CLIENT_WORK)
            self.assertEqual((1000 * SLOTS, 0), (sampled.total, sampled.taken))
            scene.fill(scene.subset)
            full = count_slots(scene.balancer, PAGES, CLIENT_WORK)
            self.assertEqual((1000 * SLOTS, 0), (full.total, full.free))

        run(play())


if __name__ == "__main__":
    unittest.main()
