"""Cold servers: the quota of each daemon."""

import unittest
from dataclasses import replace
from unittest import mock

from larkpost.common.ids import DaemonId, InstanceId
from larkpost.gateway.blackboard.cold_instances import ColdTerms
from larkpost.gateway.placement import cold_rate_quota
from larkpost.gateway.placement.cold_rate_quota import (
    MIN_SENDS,
    SendCategory,
    SenderView,
    client_quota,
    owner_quota,
    send_quota,
)
from tests.cold_views import BOUND, ENGINE, daemon_ids, established_view


class QuotaTest(unittest.TestCase):
    """The quotas of all daemons together, including an owner unknown to the others."""

    def test_bound_of_the_example(self) -> None:
        self.assertAlmostEqual(18.95, ColdTerms(1.5, 5).bound(9.3))

    def test_sum_of_quotas_is_within_the_bound(self) -> None:
        for bound in (5.0, 8.0, BOUND, 60.0):
            for count in range(1, 60):
                owners = daemon_ids(count)
                for is_engine in (True, False):
                    sent = sum(
                        owner_quota(
                            bound, established_view(own, owners), ENGINE, is_engine=is_engine
                        )
                        + client_quota(
                            bound, established_view(own, owners), ENGINE, is_engine=is_engine
                        )
                        for own in owners
                    )
                    self.assertLessEqual(sent, bound, (bound, count, is_engine))
                    self.assertGreater(sent, 0, (bound, count, is_engine))

    def test_unseen_new_owner_keeps_the_bound(self) -> None:
        for count in range(1, 30):
            owners = daemon_ids(count)
            new = DaemonId("new/0")
            known = sum(
                owner_quota(BOUND, established_view(own, owners), ENGINE, is_engine=True)
                for own in owners
            )
            alone = replace(established_view(new, [new]), is_established=False)
            for view in (alone, established_view(new, [*owners, new])):
                sent = known + owner_quota(BOUND, view, ENGINE, is_engine=True)
                self.assertLessEqual(sent, BOUND, count)

    def test_three_new_owners_beside_three_others_keep_the_bound(self) -> None:
        owners, everyone = daemon_ids(3), daemon_ids(6)
        views = [established_view(own, owners) for own in owners]
        views += [
            replace(established_view(own, everyone), is_established=False) for own in everyone[3:]
        ]
        sent = [owner_quota(BOUND, view, ENGINE, is_engine=True) for view in views]
        self.assertEqual([3, 3, 3, 1, 1, 1], sent)
        self.assertLessEqual(sum(sent) + MIN_SENDS, BOUND)  # leaves one client request

    def test_owner_with_stale_view_gets_the_minimum(self) -> None:
        view = replace(
            established_view(daemon_ids(1)[0], daemon_ids(2)), is_established=False, is_stale=True
        )
        self.assertEqual(MIN_SENDS, owner_quota(BOUND, view, ENGINE, is_engine=True))

    def test_empty_view_gets_the_minimum(self) -> None:
        view = SenderView(DaemonId("new/0"), frozenset(), frozenset())
        self.assertEqual(MIN_SENDS, owner_quota(BOUND, view, ENGINE, is_engine=True))
        self.assertEqual(0, client_quota(BOUND, view, ENGINE, is_engine=False))

    def test_few_daemons_send_client_requests(self) -> None:
        members = daemon_ids(300)
        sent = [
            client_quota(BOUND, established_view(own, members), ENGINE, is_engine=False)
            for own in members
        ]
        self.assertEqual(7, sum(sent))


class SendQuotaTest(unittest.TestCase):
    """The quota of each send category; the bound is 18.95."""

    def test_each_send_category(self) -> None:
        own = daemon_ids(1)[0]
        alone = established_view(own, [own])
        new_owner = replace(alone, is_established=False)
        stale = replace(new_owner, is_stale=True, knows_members=False)
        for view, is_owner_work, is_cold, is_engine, expected in (
            (alone, True, True, True, 5),  # 0.8 of the bound for two owners and one unseen
            (alone, True, True, False, 1),
            (new_owner, True, True, True, 1),  # 1/12 of the owners' part
            (stale, True, True, True, MIN_SENDS),
            (stale, True, False, True, 5),  # it may have turned cold unnoticed
            (stale, True, False, False, MIN_SENDS),
            (alone, False, True, True, MIN_SENDS),
            (alone, False, True, False, MIN_SENDS),
            (stale, False, True, True, 0),  # it may not be a selected daemon
        ):
            category = SendCategory(ENGINE, is_owner_work, is_cold, BOUND)
            with self.subTest(view=view, category=category, is_engine=is_engine):
                self.assertEqual(expected, send_quota(view, category, is_engine=is_engine))


class ManyDaemonsTest(unittest.TestCase):
    """All instances of a zone turn cold at once in a large fleet."""

    def test_few_daemons_are_ranked_for_each_instance(self) -> None:
        members = daemon_ids(370)
        view, instances = established_view(members[0], members), 200
        with mock.patch.object(cold_rate_quota, "_weight", wraps=cold_rate_quota._weight) as weight:
            named = sum(
                client_quota(BOUND, view, InstanceId(f"engine-{number}"), is_engine=False)
                for number in range(instances)
            )
        self.assertGreater(named, 0)
        self.assertLess(weight.call_count, instances * len(members) / 4)


if __name__ == "__main__":
    unittest.main()
