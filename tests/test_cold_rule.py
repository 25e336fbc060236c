"""Cold servers: the rate limit of one daemon, and when an instance counts as cold."""

import random
import unittest
from dataclasses import replace
from unittest import mock

import orjson

from larkpost.common.clock import LoopClock
from larkpost.common.ids import ZoneId
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.cold_instances import ColdInstances, ColdTerms
from larkpost.gateway.controllers.row_recorder import RemovalTrust, RowRecorder
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.placement.cold_rate_limit import (
    SEND_TIMEOUT_SECONDS,
    WINDOW_SECONDS,
    ColdRateLimit,
)
from larkpost.gateway.placement.cold_rate_quota import (
    owner_quota,
)
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.rules import Placement
from larkpost.gateway.placement.work import CLIENT_WORK, ORDER_WORK, REWARD_WORK, Work
from larkpost.gateway.proxy.balancer import Balancer, BalancerDependencies
from larkpost.gateway.servers.port import NotRunError, NotRunReason
from larkpost.gateway.store.port import Row, RowKey
from larkpost.platform.instance_rows import read_instance
from larkpost.platform.operator import UnreadableRowError, read_configuration
from tests.cold_views import (
    BOUND,
    ENGINE,
    INFO,
    ITEM_WORK,
    LONG_SECONDS,
    NEW_ENGINE,
    OTHER_ENGINE,
    daemon_ids,
    established_view,
)
from tests.platform_checks import SECOND
from tests.platform_fleet import (
    COLD_SECONDS,
    COLD_TERMS,
    CONFIGURATION,
    ENGINES,
    READERS,
)
from tests.virtual import run


class ColdRateLimitTest(unittest.TestCase):
    """The rate limit of a daemon that is the only owner."""

    def play(self, work, terms: ColdTerms | None = COLD_TERMS) -> None:
        """Runs a test on virtual time with a rate limit for one cold engine."""

        async def begin() -> None:
            self.clock = LoopClock()
            self.blackboard = Blackboard()
            self.blackboard.configuration.update(CONFIGURATION)
            self.blackboard.directory.update(INFO)
            self.senders = mock.Mock()
            self.senders.view.return_value = established_view(daemon_ids(1)[0], daemon_ids(1))
            self.rule = ColdRateLimit(
                terms, self.blackboard, self.clock, EventLog("daemon"), self.senders
            )
            self.share = owner_quota(BOUND, self.senders.view(), ENGINE, is_engine=True)
            self.blackboard.cold.record(ENGINE, LONG_SECONDS, self.clock.now())
            await work()

        run(begin())

    def admitted(self, work: Work = ITEM_WORK, tries: int = 100) -> int:
        """Returns how many of some sends are admitted now."""
        return sum(self.rule.admit(INFO, work).is_allowed for _ in range(tries))

    def test_quota_is_admitted_in_each_window(self) -> None:
        async def work() -> None:
            self.assertEqual(self.share, self.admitted())
            await self.clock.sleep(SECOND)
            self.assertEqual(0, self.admitted())
            await self.clock.sleep(WINDOW_SECONDS - SECOND)
            self.assertEqual(self.share, self.admitted())

        self.play(work)

    def test_evaluate_counts_nothing_and_sees_remaining_sends(self) -> None:
        async def work() -> None:
            for _ in range(100):
                self.assertIs(PlacementDecision.ALLOWED, self.rule.evaluate(INFO, ITEM_WORK))
            self.admitted(tries=self.share)
            self.assertIs(PlacementDecision.COLD, self.rule.evaluate(INFO, ITEM_WORK))

        self.play(work)

    def test_items_and_reward_calls_share_one_count(self) -> None:
        async def work() -> None:
            self.admitted(tries=self.share)
            self.assertEqual(0, self.admitted(REWARD_WORK))

        self.play(work)

    def test_load_orders_do_not_count(self) -> None:
        async def work() -> None:
            self.assertEqual(100, self.admitted(ORDER_WORK))
            self.assertEqual(self.share, self.admitted())

        self.play(work)

    def test_sends_made_while_it_was_warm_count_once_it_is_cold(self) -> None:
        async def work() -> None:
            self.blackboard.cold = self.rule._blackboard.cold = ColdInstances()
            self.assertEqual(8, self.admitted(tries=8))
            self.blackboard.cold.record(ENGINE, LONG_SECONDS, self.clock.now())
            self.assertEqual(0, self.admitted())

        self.play(work)

    def test_stale_view_limits_engines_that_may_be_cold(self):
        async def work() -> None:
            self.blackboard.cold = self.rule._blackboard.cold = ColdInstances()
            self.senders.view.return_value = replace(self.senders.view(), is_stale=True)
            self.assertEqual(self.share, self.admitted())
            self.assertEqual(100, self.admitted(CLIENT_WORK))

        self.play(work)

    def test_reservations_count_until_sent(self) -> None:
        async def work() -> None:
            for _ in range(self.share):
                self.assertIs(PlacementDecision.ALLOWED, self.rule.evaluate(INFO, ITEM_WORK))
                self.rule.reserve(INFO)
            self.assertIs(PlacementDecision.COLD, self.rule.evaluate(INFO, ITEM_WORK))
            self.assertEqual(self.share, self.admitted())

        self.play(work)

    def test_quotas_of_different_engines_are_independent(self) -> None:
        async def work() -> None:
            other = replace(INFO, id=NEW_ENGINE)
            self.blackboard.cold.record(NEW_ENGINE, LONG_SECONDS, self.clock.now())
            self.admitted()
            self.assertIs(PlacementDecision.ALLOWED, self.rule.evaluate(other, ITEM_WORK))

        self.play(work)

    def test_engine_is_warm_after_its_cold_time(self) -> None:
        async def work() -> None:
            self.admitted()
            await self.clock.sleep(LONG_SECONDS)
            self.assertFalse(self.rule.is_cold(INFO))
            self.assertEqual(100, self.admitted())

        self.play(work)

    def test_only_sends_to_cold_engines_have_a_timeout(self) -> None:
        async def work() -> None:
            placement = Placement(
                self.blackboard.directory, (self.rule,), send_timeout=self.rule.send_timeout
            )
            self.assertEqual(SEND_TIMEOUT_SECONDS, placement.admit(ENGINE, ITEM_WORK))
            await self.clock.sleep(LONG_SECONDS)
            self.assertIsNone(placement.admit(ENGINE, ITEM_WORK))

        self.play(work)

    def test_no_limit_without_terms_or_without_a_rate(self) -> None:
        async def work() -> None:
            self.assertFalse(self.rule.is_cold(INFO))
            self.assertIsNone(self.rule.send_timeout(INFO))
            self.assertEqual(100, self.admitted())

        async def without_rate() -> None:
            services = {ENGINES: replace(CONFIGURATION.services[ENGINES], cold_rate=0.0)}
            self.blackboard.configuration.update(
                replace(CONFIGURATION, version=2, services=services)
            )
            await work()

        self.play(work, None)
        self.play(without_rate)

    def test_client_goes_to_a_busy_warm_server_before_a_cold_one(self) -> None:
        async def work() -> None:
            warm = replace(INFO, id=OTHER_ENGINE)
            self.blackboard.directory.update(warm)
            balancer = Balancer(
                self.blackboard.directory,
                self.clock,
                random.Random(),
                BalancerDependencies(cold=self.rule),
            )
            for _ in range(20):
                balancer.occupy(OTHER_ENGINE)
            found = balancer.candidates(ENGINES)
            self.assertEqual([OTHER_ENGINE, ENGINE], [info.id for info in found])
            balancer.record_cold(OTHER_ENGINE, 2.0)  # as its own response reports
            self.assertEqual(ENGINE, balancer.candidates(ENGINES)[0].id)

        self.play(work)

    def test_rejection_does_not_make_the_engine_avoided(self) -> None:
        async def work() -> None:
            placement = Placement(self.blackboard.directory, (self.rule,))
            balancer = Balancer(
                self.blackboard.directory,
                self.clock,
                random.Random(),
                BalancerDependencies(placement=placement),
            )
            self.admitted()
            with self.assertRaises(NotRunError) as caught:
                placement.admit(ENGINE, ITEM_WORK)
            self.assertIs(NotRunReason.COLD, caught.exception.reason)
            balancer.record_not_run(ENGINE, caught.exception.reason, 1.0)
            self.assertFalse(balancer.is_avoided(ENGINE))

        self.play(work)


class ParsingTest(unittest.TestCase):
    """Cold settings in the operator's configuration and in server entries."""

    def test_service_with_a_limit_and_one_without(self) -> None:
        services = [
            {"name": "a", "cold-start-s": 3.0, "cold-per-s": 9.3},
            {"name": "b"},
        ]
        document = {"version": 1, "routes": [], "services": services}
        row = Row(RowKey("op", "", "config"), orjson.dumps(document), 1)
        read = read_configuration(row).services
        self.assertEqual((3.0, 9.3), (read["a"].cold_start, read["a"].cold_rate))
        self.assertEqual((0.0, 0.0), (read["b"].cold_start, read["b"].cold_rate))

    def test_entry_with_and_without_cold_time(self) -> None:
        entry = {"service": "a", "address": "10.0.0.1:1", "zone": "z", "version": "v1", "slots": 1}
        entry |= {"state": "ready", "seq": 1}
        for reported, left in (({"cold-left-ms": 1500}, 1.5), ({"cold-left-ms": 0}, 0.0)):
            row = Row(RowKey("servers", "", "i"), orjson.dumps({**entry, **reported}), 1)
            self.assertEqual(left, read_instance(row).cold_left)
        row = Row(RowKey("servers", "", "i"), orjson.dumps(entry), 1)
        self.assertRaises(UnreadableRowError, read_instance, row)


class ColdStateTest(unittest.TestCase):
    """When an instance counts as cold."""

    def play(self, work, *, has_full_listing: bool = True) -> None:
        """Runs a test on virtual time with a recorder of rows."""

        async def begin() -> None:
            self.clock = LoopClock()
            self.blackboard = Blackboard()
            self.blackboard.configuration.update(CONFIGURATION)
            self.sound = 100.0
            readers = replace(READERS, instance=lambda row: self.info)
            self.row_recorder = RowRecorder(
                readers,
                self.blackboard,
                Instruments(self.clock, EventLog("daemon")),
                RemovalTrust(lambda: self.sound, lambda: 3.0, lambda: has_full_listing),
            )
            await work()

        run(begin())

    def take(self, cold_left: float | None) -> float:
        """Records an entry of the engine, and returns for how long it counts as cold."""
        self.info = replace(INFO, cold_left=cold_left)
        self.row_recorder.record_instance_row(Row(RowKey("instances", "", ENGINE), b"", 1))
        return self.blackboard.cold.seconds_left(ENGINE, self.clock.now())

    def test_new_instance_is_cold_whatever_its_entry_says(self) -> None:
        for reported in (None, 0.5, COLD_SECONDS):

            async def work(reported=reported) -> None:
                self.assertEqual(COLD_SECONDS, self.take(reported))

            self.play(work)

    def test_new_instance_reported_warm(self) -> None:
        async def work() -> None:
            self.assertEqual(0.0, self.take(0.0))

        self.play(work)

    def test_instance_listed_at_daemon_start(self) -> None:
        async def work() -> None:
            self.assertEqual(0.0, self.take(None))
            self.assertEqual(1.5, self.take(1.5))

        self.play(work, has_full_listing=False)

    def test_entry_returns_after_a_store_outage(self) -> None:
        async def work() -> None:
            self.take(0.0)
            self.sound = 0.0
            self.row_recorder.record_instance_row(
                Row(RowKey("instances", "", ENGINE), b"", 2, removed=True)
            )
            self.assertEqual(0.0, self.take(None))

        self.play(work)

    def test_entry_reports_cold_again(self) -> None:
        async def work() -> None:
            self.take(0.0)
            await self.clock.sleep(50.0)
            self.assertEqual(2.0, self.take(2.0))
            self.assertEqual(2.0, self.take(0.0))  # an older report may arrive late

        self.play(work)

    def test_zone_after_its_evacuation(self) -> None:
        async def work() -> None:
            self.take(0.0)
            cold, now = self.blackboard.cold, self.clock.now()
            directory, configuration = self.blackboard.directory, self.blackboard.configuration
            cold.record_zone_restored(ZoneId("other"), directory, configuration, now)
            self.assertEqual(0.0, cold.seconds_left(ENGINE, now))
            cold.record_zone_restored(INFO.zone, directory, configuration, now)
            self.assertEqual(COLD_SECONDS, cold.seconds_left(ENGINE, now))

        self.play(work)


if __name__ == "__main__":
    unittest.main()
