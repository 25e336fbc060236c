"""Every server is in enough subsets of daemons, whichever daemons are added or removed."""

import random
import unittest
from collections import Counter
from unittest import mock

from larkpost.common.ids import DaemonId, InstanceId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.service_index import ServiceIndex
from larkpost.gateway.proxy.subset import (
    MIN_DAEMONS_PER_SERVER,
    MIN_SUBSET_SIZE,
    DaemonSubset,
    DaemonSubsets,
    daemon_seed,
    daemons_per_server,
    higher_ranked_daemons,
)
from tests.server_parts import make_instance

DAEMONS = frozenset(DaemonId(f"d{number}") for number in range(60))
SERVERS = frozenset(InstanceId(f"s{number}") for number in range(400))
SERVICE = ServiceName("pages")


def new_subset(own: DaemonId, daemons: frozenset, servers: frozenset) -> DaemonSubset:
    """Returns a new subset of a daemon."""
    subset = DaemonSubset(own)
    subset.update(daemons, servers)
    return subset


def new_subsets(daemons: frozenset, servers: frozenset) -> dict[DaemonId, DaemonSubset]:
    """Returns the subsets of daemons with the same view of the fleet."""
    return {own: new_subset(own, daemons, servers) for own in daemons}


class SubsetCase(unittest.TestCase):
    """Checks of subsets."""

    def check_coverage(self, subsets: dict[DaemonId, DaemonSubset], servers: frozenset) -> None:
        """Checks that each server is in the expected number of subsets."""
        counts = Counter(name for subset in subsets.values() for name in subset.ids)
        wanted = daemons_per_server(len(subsets), len(servers))
        self.assertEqual(dict.fromkeys(servers, wanted), dict(counts))


class RuleTest(SubsetCase):
    """The number of daemons per server, and the choice of them."""

    def test_daemons_per_server(self):
        for daemons, servers, wanted in (
            (1, 3200, 1),
            (2, 3200, 2),
            (
                30,
                3200,
                MIN_DAEMONS_PER_SERVER,
            ),  # few daemons: large subsets, but none without a server
            (370, 3200, 3),
            (300, 3000, 3),
            (100, 1000, 3),
            (370, 1600, 6),
            (370, 300, 48),
            (370, 0, 370),
        ):
            with self.subTest(daemons=daemons, servers=servers):
                self.assertEqual(wanted, daemons_per_server(daemons, servers))

    def test_subsets_have_the_intended_average_size(self):
        for daemons in (80, 200, 370):
            for servers in (300, 1000, 3200):
                mean = daemons_per_server(daemons, servers) * servers / daemons
                self.assertGreaterEqual(mean, MIN_SUBSET_SIZE)
                few = max(2 * MIN_SUBSET_SIZE, MIN_DAEMONS_PER_SERVER * servers / daemons)
                self.assertLessEqual(mean, few)

    def test_search_for_higher_ranked_daemons_stops_at_the_limit(self):
        others = {name: daemon_seed(name) for name in DAEMONS - {"d0"}}
        own = daemon_seed(DaemonId("d0"))
        for server in SERVERS:
            before = higher_ranked_daemons(own, others, server, 3)
            self.assertLessEqual(len(before), 3)
            every = higher_ranked_daemons(own, others, server, len(DAEMONS))
            self.assertEqual(len(before) < 3, len(every) < 3)


class CoverageTest(SubsetCase):
    """Each server is in the same number of subsets."""

    def test_every_server_is_in_enough_subsets(self):
        self.check_coverage(new_subsets(DAEMONS, SERVERS), SERVERS)

    def test_single_daemon_has_all_servers(self):
        subset = new_subset(DaemonId("d0"), frozenset(), SERVERS)
        self.assertEqual(SERVERS, frozenset(subset.ids))

    def test_daemon_that_is_not_listed_as_alive_has_a_subset(self):
        """A draining daemon is not listed as alive, but goes on serving."""
        subset = new_subset(DaemonId("d0"), DAEMONS - {"d0"}, SERVERS)
        self.assertEqual(set(new_subset(DaemonId("d0"), DAEMONS, SERVERS).ids), set(subset.ids))

    def test_coverage_is_kept_while_daemons_and_servers_are_added_and_removed(self):
        rng = random.Random(3)
        daemons, servers = set(DAEMONS), set(SERVERS)
        subsets = new_subsets(DAEMONS, SERVERS)
        for step in range(12):
            for removed in rng.sample(sorted(daemons), 3):
                daemons.remove(removed)
                del subsets[removed]
            come = {DaemonId(f"new-{step}-{number}") for number in range(rng.randrange(6))}
            daemons |= come
            subsets |= {name: DaemonSubset(name) for name in come}
            servers -= set(rng.sample(sorted(servers), 20))
            servers |= {InstanceId(f"later-{step}-{number}") for number in range(15)}
            for subset in subsets.values():
                subset.update(frozenset(daemons), frozenset(servers))
            self.check_coverage(subsets, frozenset(servers))
            self.check_like_new(subsets, frozenset(daemons), frozenset(servers))

    def check_like_new(self, subsets: dict, daemons: frozenset, servers: frozenset) -> None:
        """Checks that subsets do not depend on the order of changes to the fleet."""
        for own in sorted(daemons)[:8]:
            new = new_subset(own, daemons, servers)
            self.assertEqual(set(new.ids), set(subsets[own].ids))

    def test_removing_a_daemon_changes_only_the_subsets_for_its_servers(self):
        subsets = new_subsets(DAEMONS, SERVERS)
        before = {own: set(subset.ids) for own, subset in subsets.items()}
        removed = DaemonId("d7")
        lost = set(subsets.pop(removed).ids)
        for own, subset in subsets.items():
            subset.update(DAEMONS - {removed}, SERVERS)
            self.assertLessEqual(before[own] ^ set(subset.ids), lost)
            self.assertLessEqual(before[own], set(subset.ids))

    def test_removing_a_server_changes_nothing_else(self):
        subsets = new_subsets(DAEMONS, SERVERS)
        before = {own: set(subset.ids) for own, subset in subsets.items()}
        for own, subset in subsets.items():
            subset.update(DAEMONS, SERVERS - {"s5"})
            self.assertEqual(before[own] - {"s5"}, set(subset.ids))


class UpdateTest(unittest.TestCase):
    """Subsets follow the service index and the members on access."""

    def test_subset_follows_listed_servers_and_alive_daemons(self):
        index = ServiceIndex()
        alive = [DAEMONS]
        subsets = DaemonSubsets(DaemonId("d0"), lambda: alive[0])
        for name in sorted(SERVERS):
            index.put(make_instance(name, SERVICE), ())
        first = set(subsets.ids(SERVICE, index))
        self.assertEqual(set(new_subset(DaemonId("d0"), DAEMONS, SERVERS).ids), first)
        index.drop(min(first))
        self.assertEqual(first - {min(first)}, set(subsets.ids(SERVICE, index)))
        alive[0] = frozenset({"d0"})
        self.assertEqual(len(SERVERS) - 1, len(subsets.ids(SERVICE, index)))

    def test_nothing_is_recomputed_while_the_fleet_is_unchanged(self):
        index = ServiceIndex()
        subsets = DaemonSubsets(DaemonId("d0"), lambda: DAEMONS)
        index.put(make_instance("s0", SERVICE), ())
        subsets.ids(SERVICE, index)
        generation = index.generation(SERVICE)
        with mock.patch.object(DaemonSubset, "update") as update:
            index.put(make_instance("s0", SERVICE), ("m",))
            subsets.ids(SERVICE, index)
            update.assert_not_called()
            self.assertEqual(generation, index.generation(SERVICE))
            index.put(make_instance("s1", SERVICE), ())
            subsets.ids(SERVICE, index)
            update.assert_called_once()


if __name__ == "__main__":
    unittest.main()
