"""The shares of tenants in the slots of a service: the pure rules under typical loads."""

import contextlib
import itertools
import random
import unittest

from larkpost.common.clock import LoopClock
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.daemon_report import (
    DaemonReport,
    Flow,
    FlowGroup,
    FlowUsage,
    route_flow_name,
)
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.controllers.heartbeat import Heartbeat, decode_heartbeat, encode_heartbeat
from larkpost.gateway.fairness.batch_shares import BatchDemand, share_among_batches
from larkpost.gateway.fairness.ledger import (
    MAX_REPORTED_FLOWS,
    MAX_REPORTED_NAME_LENGTH,
    REPORT_LIFETIME_SECONDS,
    SHORTAGE_LIFETIME_SECONDS,
    FlowLedger,
)
from larkpost.gateway.fairness.retry_schedule import MAX_SCHEDULED_QUEUES, RetrySchedule
from larkpost.gateway.fairness.share_rule import compute_shares, estimate_share_wait
from larkpost.gateway.fairness.starvation_guard import MIN_RELATIVE_SERVICE, StarvationGuard
from larkpost.gateway.fairness.water_filling import fair_level
from larkpost.gateway.proxy.shortage_detector import ShortageDetector
from tests.virtual import run

SERVICE = ServiceName("pages")
GROUP = FlowGroup(SERVICE, 1)
SERVICE_TIME = 0.1
STARVED_FRACTION = 0.25
"""A tenant counts as starved if its served fraction is below this part of the overall one."""


def flow(name: str, group: FlowGroup = GROUP) -> Flow:
    """Returns a tenant's flow."""
    return Flow(group, name)


HEAVY = flow("heavy")
LIGHT = flow("light")


class WaterFillingTest(unittest.TestCase):
    """Equal parts; unused parts are redistributed."""

    def test_levels(self):
        for demands, capacity, expected in (
            ([], 4, float("inf")),
            ([1, 2], 3, float("inf")),
            ([4, 4], 4, 2.0),
            ([1, 9], 6, 5.0),
            ([1, 2, 9, 9], 9, 3.0),
            ([1, 1, 1, 1], 2, 0.5),
            ([3, 3], 0, 0.0),
        ):
            with self.subTest(demands=demands, capacity=capacity):
                self.assertEqual(expected, fair_level(demands, capacity))

    def test_whole_capacity_is_used_and_no_demand_is_exceeded(self):
        rng = random.Random(3)
        for _ in range(300):
            demands = [rng.randrange(12) for _ in range(rng.randrange(1, 9))]
            capacity = rng.randrange(40)
            level = fair_level(demands, capacity)
            granted = [min(demand, level) for demand in demands]
            self.assertAlmostEqual(min(capacity, sum(demands)), sum(granted))


class OneTenantSendsHalfTest(unittest.TestCase):
    """One of eleven tenants sends half of all requests, and there are slots for half of them."""

    def uses(self) -> dict[Flow, FlowUsage]:
        """Returns the use of ten slots, of which the heavy tenant has more than its share."""
        small = {flow(f"t{number}"): FlowUsage(int(number < 5), 1) for number in range(10)}
        return small | {HEAVY: FlowUsage(5, 10)}

    def test_it_yields_to_the_others(self):
        shares = compute_shares(self.uses(), free=0)
        heavy = shares.flow_share(HEAVY)
        self.assertTrue(heavy.is_over_share)
        self.assertLess(heavy.share, 1.0)
        self.assertEqual(
            5, heavy.waiting_ahead
        )  # those without a slot; the others have their share
        self.assertFalse(shares.flow_share(flow("t9")).is_over_share)

    def test_it_gets_the_unused_shares_of_the_others(self):
        uses = {flow(f"t{number}"): FlowUsage(1, 0) for number in range(3)}
        shares = compute_shares(uses | {HEAVY: FlowUsage(7, 5)}, free=0)
        heavy = shares.flow_share(HEAVY)
        self.assertEqual(7.0, heavy.share)
        self.assertFalse(heavy.is_over_share)

    def test_flow_over_its_share_has_others_ahead_for_all_free_slots(self):
        """So it is never refused a free slot that no other request would take."""
        rng = random.Random(7)
        seen = 0
        for _ in range(500):
            names = [flow(f"t{number}") for number in range(rng.randrange(2, 9))]
            uses = {name: FlowUsage(rng.randrange(6), rng.choice((0, 0, 1, 5))) for name in names}
            free = rng.randrange(8)
            shares = compute_shares(uses, free)
            for flow_share in map(shares.flow_share, names):
                seen += flow_share.is_over_share
                self.assertTrue(not flow_share.is_over_share or flow_share.waiting_ahead >= free)
        self.assertGreater(seen, 100)

    def test_its_forecast_grows_with_its_own_requests_alone(self):
        heavy = compute_shares(self.uses(), free=0).flow_share(HEAVY)
        waits = [
            estimate_share_wait(heavy, waiting_ahead, SERVICE_TIME) for waiting_ahead in (0, 5, 10)
        ]
        self.assertEqual(sorted(waits), waits)
        self.assertGreater(waits[1] - waits[0], 4 * SERVICE_TIME)
        light = compute_shares(self.uses(), free=0).flow_share(flow("t9"))
        self.assertEqual(0.0, estimate_share_wait(light, 0, SERVICE_TIME))

    def test_single_tenant_is_never_over_its_share(self):
        self.assertFalse(
            compute_shares({HEAVY: FlowUsage(9, 90)}, free=0).flow_share(HEAVY).is_over_share
        )

    def test_no_flow_is_over_its_share_while_no_request_waits(self):
        uses = {HEAVY: FlowUsage(9, 0), LIGHT: FlowUsage(1, 0)}
        self.assertFalse(compute_shares(uses, free=2).flow_share(HEAVY).is_over_share)


class BurstTest(unittest.TestCase):
    """Ten times as many requests as usual, of one tenant or of all."""

    def test_tenants_with_usual_load_are_not_over_their_shares_in_a_burst_of_another(self):
        usual = {flow(f"t{number}"): FlowUsage(1, 1) for number in range(4)}
        shares = compute_shares(usual | {HEAVY: FlowUsage(12, 80)}, free=0)
        self.assertTrue(shares.flow_share(HEAVY).is_over_share)
        for name in usual:
            self.assertFalse(shares.flow_share(name).is_over_share)

    def test_in_a_burst_of_all_the_shares_are_equal(self):
        uses = {flow(f"t{number}"): FlowUsage(2, 20) for number in range(5)}
        shares = compute_shares(uses, free=0)
        self.assertEqual(2.0, shares.level)
        self.assertFalse(any(shares.flow_share(name).is_over_share for name in uses))

    def test_starvation_guard_serves_the_largest_tenant_a_third_as_often_as_all(self):
        """A tenth of the requests get a slot, and its share alone would give it none."""

        async def play():
            clock = LoopClock()
            guard = StarvationGuard(clock, random.Random(5))
            exempted = 0
            requested = 2000
            for number in range(requested):
                await clock.sleep(0.01)
                exempted += guard.record_request(HEAVY, is_over_share=True)
                if number % 10 == 0:
                    guard.record_slot_granted(LIGHT, is_share_exempt=False)
            fraction = exempted / requested
            self.assertGreater(fraction, STARVED_FRACTION * 0.1)
            self.assertLess(fraction, 1.2 * MIN_RELATIVE_SERVICE * 0.1)

        run(play())

    def test_credit_does_not_accumulate_while_a_flow_is_served(self):
        async def play():
            guard = StarvationGuard(LoopClock(), random.Random(5))
            for _ in range(100):
                guard.record_request(HEAVY, is_over_share=False)
                guard.record_slot_granted(HEAVY, is_share_exempt=False)
            self.assertLessEqual(
                sum(guard.record_request(HEAVY, is_over_share=True) for _ in range(3)), 1
            )

        run(play())

    def test_credit_of_a_refused_request_is_refunded(self):
        async def play():
            guard = StarvationGuard(LoopClock(), random.Random(5))
            while not guard.record_request(HEAVY, is_over_share=True):
                pass
            guard.refund_credit(HEAVY)
            self.assertTrue(guard.record_request(HEAVY, is_over_share=True))
            guard.record_slot_granted(HEAVY, is_share_exempt=True)
            self.assertFalse(guard.record_request(HEAVY, is_over_share=True))

        run(play())

    def test_request_after_hours_without_any_is_admitted(self):
        async def play():
            clock = LoopClock()
            guard = StarvationGuard(clock, random.Random(5))
            guard.record_request(HEAVY, is_over_share=False)
            await clock.sleep(4 * 3600.0)
            self.assertFalse(guard.record_request(LIGHT, is_over_share=False))

        run(play())

    def test_tenant_with_one_request_at_each_of_many_daemons_is_served_at_some(self):
        async def play():
            clock = LoopClock()
            daemons = 300
            exempted = 0
            for seed in range(daemons):
                guard = StarvationGuard(clock, random.Random(seed))
                guard.record_slot_granted(LIGHT, is_share_exempt=False)
                exempted += guard.record_request(HEAVY, is_over_share=True)
            self.assertGreater(exempted / daemons, STARVED_FRACTION)

        run(play())


class UnequalDaemonsTest(unittest.TestCase):
    """Two daemons with unequal parts of a tenant's requests."""

    def test_daemon_counts_the_requests_of_a_heavy_tenant_at_the_other_daemon(self):
        async def play():
            clock = LoopClock()
            near, far = FlowLedger(clock), FlowLedger(clock)
            with contextlib.ExitStack() as stack:
                for _ in range(3):
                    stack.enter_context(far.running(HEAVY))
                stack.enter_context(far.waiting(HEAVY))
                stack.enter_context(near.running(HEAVY))
                stack.enter_context(near.waiting(LIGHT))
                alone = compute_shares(near.uses(GROUP), free=0)
                self.assertEqual(1, alone.flow_share(HEAVY).running)
                self.assertFalse(
                    compute_shares(far.uses(GROUP), free=0).flow_share(HEAVY).is_over_share
                )
                near.record_report("far", far.report())
                far.record_report("near", near.report())
                for ledger in (near, far):
                    flow_share = compute_shares(ledger.uses(GROUP), free=0).flow_share(HEAVY)
                    self.assertEqual(4, flow_share.running)
                    self.assertEqual(1, flow_share.waiting_ahead)
                    self.assertTrue(flow_share.is_over_share)

        run(play())

    def test_flows_of_other_services_and_priorities_do_not_count(self):
        async def play():
            ledger = FlowLedger(LoopClock())
            other_service = flow("heavy", FlowGroup(ServiceName("other"), 1))
            less_urgent = flow("heavy", FlowGroup(SERVICE, 2))
            with ledger.running(other_service), ledger.running(less_urgent):
                self.assertEqual({}, ledger.uses(GROUP))

        run(play())

    def test_report_is_bounded_and_contains_the_highest_use(self):
        async def play():
            ledger = FlowLedger(LoopClock())
            with contextlib.ExitStack() as stack:
                for _ in range(40):
                    stack.enter_context(ledger.running(flow("x" * (MAX_REPORTED_NAME_LENGTH + 1))))
                for number in range(30):
                    for _ in range(number + 1):
                        stack.enter_context(ledger.waiting(flow(f"tenant-{number}")))
                report = ledger.report()
            self.assertEqual(MAX_REPORTED_FLOWS, len(report))
            self.assertEqual(FlowUsage(0, 30), report[flow("tenant-29")])
            row = encode_heartbeat(Heartbeat(1.0, report=DaemonReport(tenants=report)))
            self.assertLess(len(row), 400)

        run(play())

    def test_nothing_is_reported_without_a_shortage(self):
        async def play():
            clock = LoopClock()
            ledger = FlowLedger(clock)
            with ledger.running(HEAVY):
                self.assertEqual({}, ledger.report())
                self.assertFalse(ledger.has_shortage())
                with ledger.waiting(LIGHT):
                    self.assertTrue(ledger.has_shortage())
                self.assertEqual({HEAVY: FlowUsage(1, 0)}, ledger.report())
                await clock.sleep(SHORTAGE_LIFETIME_SECONDS + 0.1)
                self.assertEqual({}, ledger.report())
                ledger.record_report("far", {LIGHT: FlowUsage(0, 1)})
                self.assertEqual({HEAVY: FlowUsage(1, 0)}, ledger.report())

        run(play())

    def test_row_of_a_heartbeat_with_use_by_tenant_is_unchanged(self):
        """The format must stay compatible with daemons of other versions."""
        report = DaemonReport(tenants={HEAVY: FlowUsage(3, 1), LIGHT: FlowUsage(0, 2)})
        row = b'{"interval":1.0,"tenants":[["pages",1,"heavy",3,1],["pages",1,"light",0,2]]}'
        self.assertEqual(row, encode_heartbeat(Heartbeat(1.0, report=report)))

    def test_report_round_trips_through_a_heartbeat(self):
        tenants = {HEAVY: FlowUsage(3, 1), flow(route_flow_name("r")): FlowUsage(0, 2)}
        row = encode_heartbeat(Heartbeat(1.0, report=DaemonReport(tenants=tenants)))
        self.assertEqual(tenants, decode_heartbeat(row).report.tenants)

    def test_unreadable_rows_of_a_report_are_skipped(self):
        for value in (
            b"7",
            b'{"a":[1,2]}',
            b'[["pages",1,"t",1]]',
            b'[["pages",-1,"t",1,0]]',
            b'[["pages",1,"t",true,0]]',
            b'[[7,1,"t",1,0]]',
            b'[["pages",1,null,1,0]]',
        ):
            with self.subTest(value=value):
                row = b'{"interval":1.0,"tenants":' + value + b"}"
                self.assertEqual({}, decode_heartbeat(row).report.tenants)


class LostReportsTest(unittest.TestCase):
    """When the reports of other daemons stop, a daemon relies on its own requests."""

    def test_old_reports_expire(self):
        async def play():
            clock = LoopClock()
            ledger = FlowLedger(clock)
            ledger.record_report("far", {HEAVY: FlowUsage(9, 0), LIGHT: FlowUsage(0, 1)})
            await clock.sleep(REPORT_LIFETIME_SECONDS / 2)
            ledger.record_report("near", {HEAVY: FlowUsage(1, 0)})
            self.assertEqual(10, ledger.uses(GROUP)[HEAVY].running)
            self.assertAlmostEqual(0.0, ledger.report_age())
            await clock.sleep(REPORT_LIFETIME_SECONDS * 0.6)
            self.assertEqual({HEAVY: FlowUsage(1, 0)}, ledger.uses(GROUP))
            await clock.sleep(REPORT_LIFETIME_SECONDS)
            self.assertEqual({}, ledger.uses(GROUP))
            self.assertIsNone(ledger.report_age())
            self.assertFalse(ledger.has_shortage())

        run(play())

    def test_report_of_a_removed_daemon_is_dropped(self):
        async def play():
            ledger = FlowLedger(LoopClock())
            ledger.record_report("far", {HEAVY: FlowUsage(9, 0)})
            ledger.record_report("far", {})
            self.assertEqual({}, ledger.uses(GROUP))

        run(play())


class RetryWaveTest(unittest.TestCase):
    """Clients that are refused at the same moment must not retry at the same moment."""

    def test_they_retry_one_after_the_other_in_their_order(self):
        async def play():
            times = RetrySchedule(LoopClock(), random.Random(1))
            delays = [times.reserve("queue", 0.2, 0.05, 1.0) for _ in range(12)]
            self.assertEqual(sorted(delays), delays)
            self.assertGreaterEqual(delays[0], 0.2)
            for sooner, later in itertools.pairwise(delays):
                self.assertLess(later - sooner, 0.1)
            self.assertGreater(delays[-1] - delays[0], 10 * 0.05)

        run(play())

    def test_clients_that_cannot_wait_for_their_turn_are_spread_over_their_time(self):
        async def play():
            times = RetrySchedule(LoopClock(), random.Random(1))
            delays = [times.reserve("queue", 5.0, 0.05, 0.4) for _ in range(100)]
            self.assertLessEqual(max(delays), 0.4)
            self.assertGreater(max(delays) - min(delays), 0.15)
            # Clients that could not wait do not delay later ones.
            self.assertLess(times.reserve("queue", 0.1, 0.05, 1.0), 0.2)

        run(play())

    def test_daemons_tell_different_times(self):
        async def play():
            delays = {
                RetrySchedule(LoopClock(), random.Random(n)).reserve(1, 0.2, 0.05, 1.0)
                for n in range(50)
            }
            self.assertEqual(50, len(delays))

        run(play())

    def test_number_of_queues_is_bounded(self):
        async def play():
            times = RetrySchedule(LoopClock(), random.Random(1))
            for number in range(3 * MAX_SCHEDULED_QUEUES):
                times.reserve(number, 0.2, 0.05, 1.0)
            self.assertLessEqual(len(times._last_times), MAX_SCHEDULED_QUEUES)

        run(play())

    def test_queue_in_constant_use_is_kept_among_many(self):
        """Otherwise the clients of the tenant that is refused most would retry together."""

        async def play():
            times = RetrySchedule(LoopClock(), random.Random(1))
            delays = [times.reserve("heavy", 0.1, 0.1, 1.0)]
            for number in range(2 * MAX_SCHEDULED_QUEUES):
                times.reserve(number, 0.2, 0.05, 1.0)
                if number % (MAX_SCHEDULED_QUEUES // 2) == 0:
                    delays.append(times.reserve("heavy", 0.1, 0.1, 1.0))
            for sooner, later in itertools.pairwise(delays):
                self.assertGreater(later, sooner)

        run(play())


class ShortageDetectorTest(unittest.TestCase):
    """Randomly a tenth of the requests gets no slot in time; in a shortage half of them do."""

    def setUp(self) -> None:
        self.clock = LoopClock()
        self.shortage = ShortageDetector(self.clock)

    async def play(self, missed_of_ten: int, seconds: int) -> None:
        """Records ten requests per second."""
        for number in range(10 * seconds):
            if number % 10 < missed_of_ten:
                self.shortage.record_missed(SERVICE)
            else:
                self.shortage.record_slot_granted(SERVICE)
            await self.clock.sleep(0.1)

    def test_few_missed_requests_are_no_shortage(self):
        async def play() -> None:
            await self.play(1, 20)
            self.assertFalse(self.shortage.is_persistent(SERVICE))

        run(play())

    def test_it_is_detected_within_seconds_and_ends_within_seconds(self):
        async def play() -> None:
            await self.play(1, 20)
            await self.play(5, 6)
            self.assertTrue(self.shortage.is_persistent(SERVICE))
            self.assertFalse(self.shortage.is_persistent(ServiceName("other")))
            await self.play(1, 8)
            self.assertFalse(self.shortage.is_persistent(SERVICE))

        run(play())

    def test_it_ends_even_without_requests(self):
        async def play() -> None:
            await self.play(9, 6)
            self.assertTrue(self.shortage.is_persistent(SERVICE))
            await self.clock.sleep(30.0)
            self.assertFalse(self.shortage.is_persistent(SERVICE))

        run(play())


class BatchSharesTest(unittest.TestCase):
    """Several batches of several tenants compete for engines."""

    def test_tenant_with_many_batches_divides_its_own_share(self):
        many, few = TenantName("many"), TenantName("few")
        demands = {f"b{number}": BatchDemand(many, 40) for number in range(4)}
        shares = share_among_batches(demands | {"c": BatchDemand(few, 40)}, 80)
        self.assertEqual({"b0": 10, "b1": 10, "b2": 10, "b3": 10, "c": 40}, shares)

    def test_unused_shares_go_to_the_others(self):
        demands = {
            "small": BatchDemand(TenantName("one"), 5),
            "large": BatchDemand(TenantName("two"), 100),
            "other": BatchDemand(None, 20),
        }
        shares = share_among_batches(demands, 60)
        self.assertEqual({"small": 5, "large": 35, "other": 20}, shares)

    def test_all_demands_are_met_if_the_slots_suffice(self):
        demands = {"a": BatchDemand(None, 5), "b": BatchDemand(TenantName("t"), 7)}
        self.assertEqual({"a": 5, "b": 7}, share_among_batches(demands, 12))


if __name__ == "__main__":
    unittest.main()
