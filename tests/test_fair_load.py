"""Fair sharing of too few slots among tenants, tested through the forwarders of two daemons.

Runs in virtual time. The scripted servers have no queue: they answer "full" to requests beyond
their slots. Refused clients retry once, at the time that they were told.
"""

import asyncio
import random
import unittest
from collections import Counter
from dataclasses import dataclass, field, replace
from unittest import mock

from larkpost.common.clock import LoopClock
from larkpost.common.errors import LarkpostError
from larkpost.common.ids import DaemonId, InstanceId
from larkpost.gateway.blackboard.configuration import ModelName, Route, RouteKind, ServiceShare
from larkpost.gateway.blackboard.daemon_report import FlowGroup, FlowUsage
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.fairness.ledger import REPORT_LIFETIME_SECONDS, FlowLedger
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.placement.work import CLIENT_WORK
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.fair_order import MAX_HOLD_SECONDS, FairOrder
from larkpost.gateway.proxy.forecast import Deadlines
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.gateway.proxy.request import ClientRequest, RefusedError
from larkpost.gateway.proxy.request_queue import POLL_INTERVAL_SECONDS, QueueForecast, RequestQueues
from larkpost.gateway.proxy.slot_counting import SlotCounts
from larkpost.gateway.proxy.waiter import Waiter
from tests.platform_fleet import ENGINES, PAGES, PlatformFleet
from tests.scripted_engines import ScriptedEngine, ScriptedEngines
from tests.server_parts import make_directory, make_parts
from tests.test_fair_shares import STARVED_FRACTION, flow
from tests.virtual import run

SERVERS = 4
SLOTS = 2
SERVICE_TIME = 0.1
CAPACITY = SERVERS * SLOTS / SERVICE_TIME
"""Requests per second."""
TIME_LEFT = 1.0
REPORT_SECONDS = 1.0
"""Interval of the reports of each daemon."""
SHARES = (ServiceShare(PAGES, 1.0),)
ROUTE = Route("r", "h", b"/", RouteKind.RUN_ONCE, SHARES, 2.0, 0.2, 1, 3)
HEAVY = TenantName("heavy")
GROUP = FlowGroup(PAGES, ROUTE.priority)
HEAVY_FLOW = flow("heavy", GROUP)
LIGHT_FLOW = flow("light", GROUP)
RANDOM_TOLERANCE = 0.01
"""Fraction of the clients by which two runs of one load may differ randomly."""
SHARE_COUNTER = "larkpost_share_decisions_total{"


@dataclass
class Daemon:
    """The simulated parts of one daemon."""

    name: DaemonId
    balancer: Balancer
    ledger: FlowLedger
    forwarder: Forwarder
    metrics: Metrics


@dataclass
class ClientCounts:
    """Counts of client outcomes by tenant."""

    requested: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)
    in_time: Counter = field(default_factory=Counter)

    def served_fraction(self, *tenants: TenantName) -> float:
        """Returns the fraction of the tenants' clients that was served."""
        return sum(self.served[name] for name in tenants) / sum(
            self.requested[name] for name in tenants
        )

    def in_time_fraction(self, *tenants: TenantName) -> float:
        """Returns the fraction of the tenants' clients that was served within the objective."""
        requested = sum(self.requested[name] for name in tenants)
        return sum(self.in_time[name] for name in tenants) / requested


class LoadTest(unittest.TestCase):
    """A fleet of two daemons that share eight slots."""

    def begin(self, seed: int = 1) -> None:
        """Makes the servers and the daemons."""
        self.clock = LoopClock()
        self.rng = random.Random(seed)
        self.engines = ScriptedEngines(self.clock, ModelName("model"))
        self.directory: InstanceDirectory = make_directory(SERVERS, PAGES, slots=SLOTS)
        for number in range(SERVERS):
            engine = ScriptedEngine(slots=SLOTS, event_seconds=SERVICE_TIME)
            self.engines.engines[InstanceId(f"e{number}")] = engine
        self.daemons = [self.make_daemon(f"d{number}") for number in range(2)]
        self.client_counts = ClientCounts()

    def make_daemon(self, name: str) -> Daemon:
        """Returns a daemon that knows the servers' service times."""
        balancer = Balancer(self.directory, self.clock, random.Random(name))
        for number in range(SERVERS):
            balancer.record_service_time(InstanceId(f"e{number}"), SERVICE_TIME)
        ledger = FlowLedger(self.clock)
        parts = make_parts(self.directory, balancer, self.engines, self.clock)
        parts = replace(parts, ledger=ledger, rng=random.Random(f"{name} chance"))
        return Daemon(DaemonId(name), balancer, ledger, Forwarder(parts), parts.metrics)

    async def report(self) -> None:
        """Makes the daemons report to each other at intervals."""
        while True:
            first, second = self.daemons
            for sender, receiver in ((first, second), (second, first)):
                receiver.balancer.record_peer_summary(sender.name, sender.balancer.summary())
                receiver.ledger.record_report(sender.name, sender.ledger.report())
            await self.clock.sleep(REPORT_SECONDS)

    async def call(self, tenant: TenantName, daemon: Daemon) -> None:
        """Makes one call, and retries once if it is refused."""
        began = self.clock.now()
        self.client_counts.requested[tenant] += 1
        for is_last in (False, True):
            left = TIME_LEFT - (self.clock.now() - began)
            name = f"{tenant}-{self.client_counts.requested[tenant]}-{is_last}".encode()
            request = ClientRequest(
                name, "GET", b"h", b"/", (), b"", self.clock.now(), left, tenant
            )
            try:
                await daemon.forwarder.forward(request, ROUTE)
            except RefusedError as error:
                await self.clock.sleep(error.retry_after)
            except LarkpostError:
                return
            else:
                self.client_counts.served[tenant] += 1
                self.client_counts.in_time[tenant] += self.clock.now() - began <= ROUTE.objective
                return

    async def play(
        self, rates: dict[TenantName, float], seconds: float, heavy_at_first: float = 0.5
    ) -> ClientCounts:
        """Sends requests of some tenants for some seconds, and returns their outcomes.

        Args:
            rates: requests per second by tenant.
            heavy_at_first: fraction of the heavy tenant's requests sent to the first daemon.
        """
        self.client_counts = ClientCounts()
        calls = []
        end = self.clock.now() + seconds
        tenants, weights = list(rates), list(rates.values())
        while self.clock.now() < end:
            await self.clock.sleep(self.rng.expovariate(sum(weights)))
            tenant = self.rng.choices(tenants, weights)[0]
            at_first = heavy_at_first if tenant == HEAVY else 0.5
            daemon = self.daemons[self.rng.random() >= at_first]
            calls.append(asyncio.create_task(self.call(tenant, daemon)))
        await asyncio.gather(*calls)
        return self.client_counts

    def run_load(
        self,
        rates: dict[TenantName, float],
        seconds: float = 6.0,
        heavy_at_first: float = 0.5,
        seed: int = 1,
    ) -> ClientCounts:
        """Returns the outcomes of a load."""

        async def play() -> ClientCounts:
            self.begin(seed)
            reports = asyncio.create_task(self.report())
            client_counts = await self.play(rates, seconds, heavy_at_first)
            reports.cancel()
            return client_counts

        return run(play())


def light_rates(total: float, count: int = 8) -> dict[TenantName, float]:
    """Returns the rates of tenants for a total load."""
    return {TenantName(f"light-{number}"): total / count for number in range(count)}


def mean_in_time(runs: list[ClientCounts], tenants: tuple[TenantName, ...]) -> float:
    """Returns the mean fraction of the tenants' clients that was served within the objective."""
    return sum(client_counts.in_time_fraction(*tenants) for client_counts in runs) / len(runs)


class OneTenantSendsHalfTest(LoadTest):
    """One of nine tenants sends half of all requests, and the capacity suffices for about half."""

    RATES = light_rates(0.9 * CAPACITY) | {HEAVY: 0.9 * CAPACITY}

    def check(self, heavy_at_first: float) -> None:
        """The small tenants are served, and the heavy one is not starved."""
        client_counts = self.run_load(self.RATES, heavy_at_first=heavy_at_first)
        lights = [name for name in self.RATES if name != HEAVY]
        self.assertGreater(
            client_counts.served_fraction(*lights),
            0.8,
            "the small tenants are held back for the heavy one",
        )
        for name in lights:
            self.assertGreater(client_counts.served_fraction(name), 0.6)
        self.assertGreater(
            client_counts.served_fraction(HEAVY),
            STARVED_FRACTION * client_counts.served_fraction(*self.RATES),
        )

    def test_only_the_heavy_tenant_is_held_back(self):
        self.check(heavy_at_first=0.5)

    def test_only_the_heavy_tenant_is_held_back_if_one_daemon_sees_few_of_its_requests(self):
        self.check(heavy_at_first=0.95)

    def test_no_slot_stays_free(self):
        """As many requests are served as without shares."""
        served = self.run_load(self.RATES).served.total()
        with mock.patch.object(FairOrder, "_flow_share", lambda *_: None):
            self.assertGreater(served, 0.95 * self.run_load(self.RATES).served.total())


class NoShortageTest(LoadTest):
    """With enough slots for all, no request is held back, whichever tenant sends most."""

    def test_no_request_is_held_back(self):
        rates = light_rates(0.1 * CAPACITY) | {HEAVY: 0.3 * CAPACITY}

        async def play() -> ClientCounts:
            self.begin()
            client_counts = await self.play(rates, 8.0)
            for daemon in self.daemons:
                self.assertNotIn(SHARE_COUNTER, daemon.metrics.text().decode())
                self.assertEqual({}, daemon.ledger.report())
            return client_counts

        client_counts = run(play())
        self.assertEqual(client_counts.requested, client_counts.served)


class LittleRoomTest(LoadTest):
    """The slots suffice, but requests often wait briefly; one tenant sends half of them.

    As there is no shortage, the same fraction is served within the objective as without shares,
    overall and for the heavy tenant.
    """

    SEEDS = range(1, 6)
    SECONDS = 8.0

    def check(self, load: float) -> None:
        """Compares a load, as a fraction of the capacity, with and without shares."""
        half = load / 2 * CAPACITY
        rates = light_rates(half) | {HEAVY: half}
        with_shares = self.runs(rates)
        with mock.patch.object(FairOrder, "_flow_share", lambda *_: None):
            without_shares = self.runs(rates)
        for tenants in (tuple(rates), (HEAVY,)):
            served_fraction = mean_in_time(with_shares, tenants)
            expected = mean_in_time(without_shares, tenants)
            message = (
                f"held back without a shortage: {served_fraction:.3f} in time, not {expected:.3f}"
            )
            self.assertGreaterEqual(served_fraction, expected - RANDOM_TOLERANCE, message)

    def runs(self, rates: dict[TenantName, float]) -> list[ClientCounts]:
        """Returns the outcomes of a load for each seed."""
        return [self.run_load(rates, self.SECONDS, seed=seed) for seed in self.SEEDS]

    def test_at_seven_tenths_of_the_capacity(self):
        self.check(0.7)

    def test_at_eight_tenths_of_the_capacity(self):
        self.check(0.8)

    def test_at_nine_tenths_of_the_capacity(self):
        self.check(0.9)


class BurstTest(LoadTest):
    """Ten times as many requests as the capacity."""

    def test_only_a_tenant_that_sends_ten_times_as_much_is_held_back_and_it_is_not_starved(self):
        rates = light_rates(0.5 * CAPACITY) | {HEAVY: 10 * CAPACITY}
        client_counts = self.run_load(rates, seconds=3.0)
        lights = [name for name in rates if name != HEAVY]
        self.assertGreater(client_counts.served_fraction(*lights), 0.7)
        self.assertGreater(
            client_counts.served_fraction(HEAVY),
            STARVED_FRACTION * client_counts.served_fraction(*rates),
        )

    def test_in_a_burst_of_all_no_tenant_is_starved_and_all_slots_are_used(self):
        rates = light_rates(5 * CAPACITY) | {HEAVY: 5 * CAPACITY}
        client_counts = self.run_load(rates, seconds=3.0)
        for name in rates:
            self.assertGreater(
                client_counts.served_fraction(name),
                STARVED_FRACTION * client_counts.served_fraction(*rates),
                name,
            )
        self.assertGreater(client_counts.served.total(), 0.8 * 3.0 * CAPACITY, "slots stay free")


class RetryWaveTest(LoadTest):
    """Many clients are refused at the same moment and retry at the times that they were told."""

    def test_they_are_told_different_times(self):
        async def play() -> list[float]:
            self.begin()
            calls = [
                self.daemons[0].forwarder.forward(
                    ClientRequest(
                        f"r{number}".encode(), "GET", b"h", b"/", (), b"", self.clock.now(), 0.9
                    ),
                    ROUTE,
                )
                for number in range(200)
            ]
            ends = await asyncio.gather(*calls, return_exceptions=True)
            return [end.retry_after for end in ends if isinstance(end, RefusedError)]

        retry_times = run(play())
        self.assertGreater(len(retry_times), 50)
        for time in retry_times:
            together = [
                other for other in retry_times if time <= other < time + POLL_INTERVAL_SECONDS
            ]
            self.assertLess(len(together), len(retry_times) / 4)

    def test_retry_precedes_first_attempts(self):
        """This holds even after its objective, and before requests that have waited less."""

        async def play() -> list[str]:
            clock = LoopClock()
            slot_counts = SlotCounts(1, 1, SERVICE_TIME)
            queues = RequestQueues(clock, lambda *_: slot_counts, FlowLedger(clock))
            called = []

            async def wait(name: str, first_tried: float) -> None:
                deadlines = Deadlines(first_tried + 0.05, first_tried + 20.0, SERVICE_TIME)
                is_retry = first_tried < 0
                waiter = Waiter(
                    PAGES, CLIENT_WORK, 0, deadlines, first_tried, name, is_retry=is_retry
                )
                await queues.wait_for_turn(waiter)
                called.append(name)

            waits = {"first": 0.0, "retry": -0.4, "long retry": -0.8}
            await asyncio.gather(*(wait(name, tried) for name, tried in waits.items()))
            return called

        self.assertEqual(["long retry", "retry", "first"], run(play()))


class HeldRequestTest(LoadTest):
    """A request over its share at a daemon that knows of requests waiting at other daemons."""

    def wait(self, reported: dict) -> float:
        """Returns how long a request of the heavy tenant waits while a slot is free."""

        async def play() -> float:
            clock = LoopClock()
            ledger = FlowLedger(clock)
            ledger.record_report(DaemonId("far"), reported)
            queues = RequestQueues(clock, lambda *_: SlotCounts(8, 7, SERVICE_TIME), ledger)
            deadlines = Deadlines(1.0, 5.0, SERVICE_TIME)
            waiter = Waiter(PAGES, CLIENT_WORK, 1, deadlines, clock.now(), "heavy")
            await queues.wait_for_turn(waiter)
            return clock.now()

        return run(play())

    def test_it_yields_but_not_for_long(self):
        seconds = self.wait({HEAVY_FLOW: FlowUsage(6, 2), LIGHT_FLOW: FlowUsage(0, 3)})
        self.assertGreaterEqual(seconds, MAX_HOLD_SECONDS)
        self.assertLess(seconds, MAX_HOLD_SECONDS + 2 * POLL_INTERVAL_SECONDS)

    def test_later_requests_do_not_delay_it(self):
        """Retries rank before it, and each of them is held for its own time."""

        async def play() -> float:
            clock = LoopClock()
            ledger = FlowLedger(clock)
            reported = {HEAVY_FLOW: FlowUsage(6, 2), LIGHT_FLOW: FlowUsage(0, 3)}
            ledger.record_report(DaemonId("far"), reported)
            queues = RequestQueues(clock, lambda *_: SlotCounts(8, 7, SERVICE_TIME), ledger)

            async def wait(*, is_retry: bool) -> float:
                deadlines = Deadlines(1.0, 5.0, SERVICE_TIME)
                waiter = Waiter(PAGES, CLIENT_WORK, 1, deadlines, 0.0, "heavy", is_retry=is_retry)
                await queues.wait_for_turn(waiter)
                return clock.now()

            first = asyncio.create_task(wait(is_retry=False))
            while not first.done():
                await clock.sleep(MAX_HOLD_SECONDS / 5)
                asyncio.create_task(wait(is_retry=True))
            return first.result()

        self.assertLess(run(play()), 2 * MAX_HOLD_SECONDS)

    def test_less_urgent_requests_do_not_take_the_slots_that_it_yields(self):
        async def play() -> list[int]:
            clock = LoopClock()
            ledger = FlowLedger(clock)
            reported = {HEAVY_FLOW: FlowUsage(6, 2), LIGHT_FLOW: FlowUsage(0, 3)}
            ledger.record_report(DaemonId("far"), reported)
            queues = RequestQueues(clock, lambda *_: SlotCounts(8, 8, SERVICE_TIME), ledger)
            called = []

            async def wait(priority: int, name: str) -> None:
                deadlines = Deadlines(1.0, 5.0, SERVICE_TIME)
                await queues.wait_for_turn(
                    Waiter(PAGES, CLIENT_WORK, priority, deadlines, 0.0, name)
                )
                called.append(priority)

            await asyncio.gather(wait(2, "other"), wait(1, "heavy"))
            return called

        self.assertEqual([1, 2], run(play()))

    def test_it_is_sent_at_once_if_no_request_waits(self):
        seconds = self.wait({HEAVY_FLOW: FlowUsage(6, 2), LIGHT_FLOW: FlowUsage(1, 0)})
        self.assertLess(seconds, 2 * POLL_INTERVAL_SECONDS)

    def test_it_is_refused_at_once_if_its_share_has_no_room_before_its_deadline(self):
        async def play() -> QueueForecast:
            clock = LoopClock()
            ledger = FlowLedger(clock)
            reported = {HEAVY_FLOW: FlowUsage(6, 30), LIGHT_FLOW: FlowUsage(1, 30)}
            ledger.record_report(DaemonId("far"), reported)
            queues = RequestQueues(clock, lambda *_: SlotCounts(8, 8, SERVICE_TIME), ledger)
            deadlines = Deadlines(0.2, 0.8, SERVICE_TIME)
            return queues.forecast(Waiter(PAGES, CLIENT_WORK, 1, deadlines, 0.0, "heavy"))

        queue_forecast = run(play())
        self.assertTrue(queue_forecast.forecast.is_infeasible)
        self.assertGreater(queue_forecast.forecast.wait, 0.8)

    def test_more_urgent_requests_come_first_whatever_their_share(self):
        async def play() -> list[int]:
            clock = LoopClock()
            ledger = FlowLedger(clock)
            urgent = flow("heavy", FlowGroup(PAGES, 0))
            ledger.record_report(DaemonId("far"), {urgent: FlowUsage(9, 0)})
            queues = RequestQueues(clock, lambda *_: SlotCounts(8, 8, SERVICE_TIME), ledger)
            called = []

            async def wait(priority: int, name: str) -> None:
                deadlines = Deadlines(1.0, 5.0, SERVICE_TIME)
                await queues.wait_for_turn(
                    Waiter(PAGES, CLIENT_WORK, priority, deadlines, 0.0, name)
                )
                called.append(priority)

            await asyncio.gather(wait(2, "light"), wait(0, "heavy"))
            return called

        self.assertEqual([0, 2], run(play()))


class ShortageCountTest(unittest.TestCase):
    """Which waiting requests count towards the shares."""

    def setUp(self) -> None:
        self.clock = LoopClock()
        self.ledger = FlowLedger(self.clock)
        self.queues = RequestQueues(
            self.clock, lambda *_: SlotCounts(8, 8, SERVICE_TIME), self.ledger
        )

    def waiter(self, objective: float, time_left: float) -> Waiter:
        """Returns a new request."""
        now = self.clock.now()
        deadlines = Deadlines(now + objective, now + time_left, SERVICE_TIME)
        return Waiter(PAGES, CLIENT_WORK, 1, deadlines, now, "light")

    def test_request_that_waits_briefly_is_not_counted(self):
        async def play() -> None:
            task = asyncio.create_task(self.queues.wait_for_turn(self.waiter(0.2, 1.0)))
            await self.clock.sleep(POLL_INTERVAL_SECONDS / 2)
            self.assertEqual(1, len(self.queues))
            self.assertFalse(self.ledger.has_shortage())
            await task

        run(play())

    def test_requests_are_counted_once_many_are_not_served_in_time_and_only_while_they_wait(self):
        async def play() -> None:
            calls = [self.queues.wait_for_turn(self.waiter(0.02, 9.0)) for _ in range(20)]
            tasks = [asyncio.create_task(call) for call in calls]
            await self.clock.sleep(0)
            self.assertEqual({}, self.ledger.uses(GROUP))
            await self.clock.sleep(3.5 * POLL_INTERVAL_SECONDS)
            waiting = self.ledger.uses(GROUP)[LIGHT_FLOW].waiting
            self.assertEqual(len(self.queues), waiting)
            self.assertGreater(waiting, 10)
            await asyncio.gather(*tasks)
            self.assertEqual({}, self.ledger.uses(GROUP))

        run(play())

    def test_requests_that_arrive_after_their_deadline_indicate_no_shortage(self):
        async def play() -> None:
            for _ in range(20):
                self.assertTrue(self.queues.forecast(self.waiter(-0.8, 0.0)).forecast.is_infeasible)
            self.assertFalse(self.ledger.has_shortage())
            for _ in range(20):
                queue_forecast = self.queues.forecast(self.waiter(0.01, 0.01))
                self.assertTrue(queue_forecast.forecast.is_infeasible)
            self.assertTrue(self.ledger.has_shortage())

        run(play())


class DisconnectedClientTest(LoadTest):
    """Clients of a tenant over its share disconnect while their requests wait."""

    def test_credit_of_a_disconnected_client_is_refunded(self):
        """Otherwise a tenant with impatient clients would get less than its guaranteed minimum."""

        async def play() -> list[int]:
            self.begin()
            daemon = self.daemons[0]
            daemon.ledger.record_report(
                DaemonId("far"), {HEAVY_FLOW: FlowUsage(8, 0), LIGHT_FLOW: FlowUsage(0, 3)}
            )
            for number in range(SERVERS):
                for _ in range(SLOTS):
                    daemon.balancer.occupy(InstanceId(f"e{number}"))
            scheduler = daemon.forwarder._scheduler
            exempted = []
            for number in range(8):
                request = ClientRequest(b"%d" % number, "GET", b"h", b"/", (), b"", 0.0, 9.0, HEAVY)
                attempts, must_wait = scheduler.begin(
                    replace(request, received_at=self.clock.now()), ROUTE
                )
                if attempts.waiter.is_share_exempt:
                    exempted.append(number)
                turn = asyncio.create_task(scheduler.wait_for_admission(attempts, must_wait=True))
                await self.clock.sleep(0)
                turn.cancel()
                await asyncio.wait({turn})
            return exempted

        exempted = run(play())
        self.assertEqual(list(range(exempted[0], 8)), exempted)


class LostReportsTest(LoadTest):
    """Without reports of the others, each daemon relies on its own requests."""

    def test_small_tenants_are_still_served_and_no_slot_stays_free(self):
        rates = light_rates(0.9 * CAPACITY) | {HEAVY: 0.9 * CAPACITY}
        seconds = REPORT_LIFETIME_SECONDS + 4.0

        async def play() -> ClientCounts:
            self.begin()
            reports = asyncio.create_task(self.report())
            await self.play(rates, 2.0)
            reports.cancel()
            return await self.play(rates, seconds)

        client_counts = run(play())
        lights = [name for name in rates if name != HEAVY]
        self.assertGreater(client_counts.served_fraction(*lights), 0.75)
        self.assertGreater(
            client_counts.served_fraction(HEAVY),
            STARVED_FRACTION * client_counts.served_fraction(*rates),
        )
        self.assertGreater(client_counts.served.total(), 0.9 * seconds * CAPACITY)


class FleetTest(unittest.TestCase):
    """Whole daemons with a store exchange their use by tenant with heartbeats."""

    def test_daemons_learn_of_a_shortage_and_of_its_end(self):
        async def play():
            fleet = PlatformFleet(gateways=3, engines=1)
            next(iter(fleet.engines.engines.values())).event_seconds = 0.5
            await fleet.wait(4.0)
            route = replace(ROUTE, shares=(ServiceShare(ENGINES, 1.0),), objective=0.2)
            group = FlowGroup(ENGINES, ROUTE.priority)
            first, *others = fleet.gateways
            calls = []
            for number in range(60):
                request = ClientRequest(
                    f"r{number}".encode(), "GET", b"h", b"/", (), b"", fleet.clock.now(), 9.0, HEAVY
                )
                calls.append(asyncio.create_task(first.forwarder.forward(request, route)))
            informed = set()
            for _ in range(40):
                await fleet.wait(0.1)
                for gateway in others:
                    use = gateway._ledger.uses(group).get(flow("heavy", group))
                    if use is not None and use.running:
                        informed.add(gateway.id)
            await asyncio.gather(*calls, return_exceptions=True)
            self.assertEqual({gateway.id for gateway in others}, informed)
            await fleet.wait(REPORT_LIFETIME_SECONDS)
            for gateway in fleet.gateways:
                self.assertEqual({}, gateway._ledger.uses(group))
                self.assertFalse(gateway._ledger.has_shortage())

        run(play())


if __name__ == "__main__":
    unittest.main()
