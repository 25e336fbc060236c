"""Tests that each usage window is reported once with all daemons' counts, despite failures."""

import unittest
from collections import Counter

from larkpost.common.clock import LoopClock
from larkpost.common.ids import DaemonId, InstanceId
from larkpost.gateway.blackboard.configuration import Route, RouteKind, ServiceShare
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.controllers.fleet_clock import FleetClock
from larkpost.gateway.controllers.leases import Duty, LeaseSubject, LeaseTable
from larkpost.gateway.proxy.request import (
    ClientRequest,
)
from larkpost.gateway.usage.counter import UsageCounter
from larkpost.gateway.usage.port import ReportOutcome
from larkpost.gateway.usage.repository import COUNT_TABLE, REPORT_TABLE
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreClient, StoreFaults
from tests.platform_checks import check_turns
from tests.platform_fleet import EPOCH_SECONDS, PAGES, USAGE_TERMS, PlatformFleet
from tests.virtual import run

FIRST = TenantName("first")
SECOND = TenantName("second")
ROUTE = Route(
    "pages",
    "h",
    b"/",
    RouteKind.IDEMPOTENT,
    (ServiceShare(PAGES, 1.0),),
    2.0,
    0.2,
    max_attempts=2,
)
WINDOW = USAGE_TERMS.window_length


class Traffic:
    """Sends requests of tenants through a fleet, and keeps the expected counts."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self.fleet = fleet
        self.sent = 0
        self.truth: dict[int, Counter] = {}
        fleet.add_scorer(InstanceId("page-0"), PAGES)

    async def send(self, number: int, tenant: TenantName) -> None:
        """Sends a request to one gateway and waits for its response."""
        self.sent += 1
        now = self.fleet.clock.now()
        window = int((EPOCH_SECONDS + now) // WINDOW)
        self.truth.setdefault(window, Counter())[tenant] += 1
        request = ClientRequest(
            f"r{self.sent}".encode(), "GET", b"h", b"/", (), b"", now, 1.5, tenant
        )
        await self.fleet.gateways[number].forwarder.forward(request, ROUTE)

    async def run(self, seconds: float, gateways: int) -> None:
        """Sends requests to the first gateways, away from window boundaries."""
        end = self.fleet.clock.now() + seconds
        while self.fleet.clock.now() < end:
            await self.send(self.sent % gateways, SECOND if self.sent % 3 == 0 else FIRST)
            await self.fleet.wait(0.17)


class UsageTest(unittest.TestCase):
    """Runs a small fleet in virtual time."""

    def check(self, fleet: PlatformFleet, truth: dict[int, Counter]) -> None:
        """Checks that each window was reported correctly, in time and by one holder at a time."""
        taken = fleet.usage.taken()
        for window, counts in truth.items():
            self.assertIn(window, taken)
            self.assertEqual(dict(counts), dict(taken[window][0].counts), window)
        for reports in taken.values():
            self.assertEqual(1, len({tuple(sorted(r.counts.items())) for r in reports}))
        turns = [(report.holder, report.token, report.at) for report in fleet.usage.received]
        check_turns(turns, "usage")
        self.assertEqual(set(), {r.outcome for r in fleet.usage.received} - {ReportOutcome.TAKEN})

    def check_in_time(self, fleet: PlatformFleet) -> None:
        """Checks that all reports were sent before they were due."""
        for window, reports in fleet.usage.taken().items():
            late = EPOCH_SECONDS + reports[0].at - (window + 1) * WINDOW
            self.assertLess(late, USAGE_TERMS.due_after, window)

    def test_each_window_is_reported_once_with_the_counts_of_all_daemons(self):
        async def play():
            fleet = PlatformFleet()
            traffic = Traffic(fleet)
            await fleet.wait(3.1)
            await traffic.run(22.0, 3)
            await fleet.wait(12.0)
            self.check(fleet, traffic.truth)
            self.check_in_time(fleet)
            windows = sorted(fleet.usage.taken())
            self.assertEqual(list(range(windows[0], windows[-1] + 1)), windows)
            self.assertTrue(all(len(found) == 1 for found in fleet.usage.taken().values()))

        run(play())

    def test_windows_follow_true_time_when_clocks_are_off_and_jump(self):
        async def play():
            fleet = PlatformFleet(gateways=5)
            traffic = Traffic(fleet)
            fleet.clocks[0].ahead = 0.02
            fleet.clocks[1].ahead = -0.02
            await fleet.wait(3.1)
            await traffic.run(8.0, 5)
            fleet.clocks[0].ahead = 7.0
            fleet.clocks[2].ahead = -4.0
            await traffic.run(12.0, 5)
            fleet.clocks[0].ahead = 0.0
            await traffic.run(5.0, 5)
            await fleet.wait(12.0)
            self.check(fleet, traffic.truth)

        run(play())

    def test_a_successor_repeats_the_decided_report(self):
        """The holder dies after its report was taken, before it receives the response."""

        async def play():
            fleet = PlatformFleet(gateways=4)
            traffic = Traffic(fleet)
            await fleet.wait(3.1)
            await traffic.run(10.0, 4)
            before = len(fleet.usage.received)
            fleet.usage.lost_answers = 1
            while len(fleet.usage.received) == before:
                await fleet.wait(0.01)
            name = fleet.usage.received[-1].holder
            number = next(i for i, gateway in enumerate(fleet.gateways) if gateway.id == name)
            fleet.kill(number)
            await fleet.wait(14.0)
            self.check(fleet, traffic.truth)
            window = fleet.usage.received[before].window
            holders = {report.holder for report in fleet.usage.taken()[window]}
            self.assertEqual(2, len(holders))

        run(play())

    def test_counts_survive_a_store_outage(self):
        async def play():
            fleet = PlatformFleet()
            traffic = Traffic(fleet)
            await fleet.wait(3.1)
            await traffic.run(5.0, 3)
            fleet.store.faults = StoreFaults(down=True)
            await traffic.run(4.5, 3)
            fleet.store.faults = StoreFaults()
            await traffic.run(8.0, 3)
            await fleet.wait(12.0)
            self.check(fleet, traffic.truth)
            self.check_in_time(fleet)

        run(play())

    def test_lost_and_late_store_responses_change_no_report(self):
        async def play():
            fleet = PlatformFleet(seed=5)
            traffic = Traffic(fleet)
            await fleet.wait(3.1)
            fleet.store.faults = StoreFaults(lost_answers=0.2, late_writes=0.1)
            await traffic.run(12.0, 3)
            fleet.store.faults = StoreFaults()
            await fleet.wait(14.0)
            self.check(fleet, traffic.truth)

        run(play())

    def test_a_graceful_shutdown_saves_the_counts(self):
        async def play():
            fleet = PlatformFleet(gateways=4)
            traffic = Traffic(fleet)
            await fleet.wait(3.1)
            await traffic.run(6.0, 4)
            await fleet.gateways[3].drain()
            fleet.kill(3)
            await fleet.wait(12.0)
            self.check(fleet, traffic.truth)

        run(play())

    def test_counts_after_the_decision_are_ignored(self):
        async def play():
            fleet = PlatformFleet(gateways=4)
            traffic = Traffic(fleet)
            await fleet.wait(3.1)
            client = fleet.clients[3]
            await traffic.run(4.0, 3)
            truth = {window: Counter(counts) for window, counts in traffic.truth.items()}
            client.cut_off = True
            await traffic.send(3, FIRST)
            await fleet.wait(16.0)
            client.cut_off = False
            await fleet.wait(10.0)
            self.check(fleet, {w: c for w, c in truth.items() if w < max(truth)})

        run(play())

    def test_old_rows_are_removed(self):
        async def play():
            fleet = PlatformFleet(gateways=1)
            traffic = Traffic(fleet)
            await fleet.wait(3.1)
            await traffic.run(400.0, 1)
            for table in (COUNT_TABLE, REPORT_TABLE):
                rows = [key for key in fleet.store.rows if key.table == table]
                self.assertLess(len(rows), 60, table)

        run(play())


class CounterTest(unittest.TestCase):
    """Counts of one daemon."""

    def test_requests_wait_for_the_time_of_day(self):
        async def play():
            clock = LoopClock()
            offsets: list[float] = []
            counter = UsageCounter(FleetClock(clock, clock.now, lambda: offsets), WINDOW)
            counter.record_started(FIRST, clock.now())
            self.assertEqual({}, counter.unsaved())
            await clock.sleep(7.0)
            offsets.append(1000.0)
            counts = counter.unsaved()
            self.assertEqual({200: {FIRST: 1}}, counts)
            counter.record_started(FIRST, 0.5)
            counter.record_saved(counts)
            self.assertEqual({200: {FIRST: 2}}, counter.unsaved())

        run(play())


class LeaseTest(unittest.TestCase):
    """Leases of different duties."""

    def test_subjects_of_different_duties_are_independent(self):
        async def play():
            clock = LoopClock()
            store = MemoryStore(clock)
            first = LeaseTable(DaemonId("a/1"), StoreClient(store), clock, lambda: 3.0)
            second = LeaseTable(DaemonId("b/1"), StoreClient(store), clock, lambda: 3.0)
            usage = LeaseSubject(Duty.USAGE, "x")
            orders = LeaseSubject(Duty.ENGINE_ORDERS, "x")
            taken = await first.take(usage)
            self.assertIsNone(await second.take(usage))
            self.assertIsNotNone(await second.take(orders))
            again = await first.take(usage)
            self.assertGreater(again.token, taken.token)
            await clock.sleep(4.1)
            self.assertGreater((await second.take(usage)).token, again.token)

        run(play())


if __name__ == "__main__":
    unittest.main()
