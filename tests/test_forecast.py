"""Forecasts, queueing and refusals of client requests while servers have no free slot.

The scripted servers have no queue: they answer "full" to requests beyond their slots.
"""

import asyncio
import random
import unittest
from dataclasses import replace

from larkpost.common.clock import LoopClock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import (
    ModelName,
    Route,
    RouteKind,
    ServiceShare,
)
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceState
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.placement.work import CLIENT_WORK
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.forecast import (
    MAX_RETRY_FRACTION,
    MAX_RETRY_SECONDS,
    Deadlines,
    Expectation,
    make_forecast,
)
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.gateway.proxy.request import (
    ClientRequest,
    RefusedError,
    RequestFailedError,
    RequestTimeoutError,
)
from larkpost.gateway.proxy.request_queue import (
    POLL_INTERVAL_SECONDS,
    RequestQueues,
    poll_interval,
)
from larkpost.gateway.proxy.slot_counting import SlotCounts, count_slots
from larkpost.gateway.proxy.waiter import Waiter
from tests.platform_fleet import PAGES
from tests.scripted_engines import ScriptedEngine, ScriptedEngines
from tests.server_parts import make_instance, make_parts
from tests.virtual import run

SLOTS = 2
OBJECTIVE = 0.2
TIME_LIMIT = 2.0
SERVICE_TIME = 0.1
DEADLINES = Deadlines(objective_at=OBJECTIVE, expires_at=0.8, default_service_time=0.05)
SETTLE_SECONDS = 0.01
"""Longer than an answer "full" takes, shorter than the service time."""


def make_route(kind: RouteKind = RouteKind.RUN_ONCE, priority: int = 0) -> Route:
    """Returns a route to the pages."""
    shares = (ServiceShare(PAGES, 1.0),)
    name = f"{kind}-{priority}"
    return Route(name, "h", b"/", kind, shares, TIME_LIMIT, OBJECTIVE, priority, 3)


class ForecastTest(unittest.TestCase):
    """The forecast function at time 0."""

    def expectation(
        self, slot_counts: SlotCounts, ahead: int = 0, blocked_seconds: float = 0.0
    ) -> Expectation:
        """Returns the expectation of a forecast."""
        return make_forecast(slot_counts, DEADLINES, 0.0, ahead, blocked_seconds).expectation

    def test_more_requests_ahead_turn_it_from_in_time_to_late_to_infeasible(self):
        expectations = [
            self.expectation(SlotCounts(4, 4, 0.1), ahead) for ahead in (0, 3, 4, 29, 30, 60)
        ]
        expected = [Expectation.IN_TIME, Expectation.IN_TIME, Expectation.LATE, Expectation.LATE]
        self.assertEqual([*expected, Expectation.NOT_AT_ALL, Expectation.NOT_AT_ALL], expectations)

    def test_slow_servers_are_infeasible_for_short_deadlines(self):
        self.assertIs(Expectation.NOT_AT_ALL, self.expectation(SlotCounts(4, 3, 1.7)))

    def test_nothing_is_refused_while_most_slots_are_free(self):
        self.assertIs(
            Expectation.LATE, self.expectation(SlotCounts(4, 1, 1.7), blocked_seconds=9.0)
        )

    def test_service_without_slots_is_infeasible(self):
        self.assertIs(Expectation.NOT_AT_ALL, self.expectation(SlotCounts(0, 0, 0.0)))

    def test_request_after_its_deadline_is_infeasible_whatever_is_free(self):
        forecast = make_forecast(SlotCounts(4, 0, 0.1), DEADLINES, DEADLINES.expires_at)
        self.assertIs(Expectation.NOT_AT_ALL, forecast.expectation)

    def test_slots_that_stay_taken_are_expected_to_stay_taken_as_long_again(self):
        slot_counts = SlotCounts(4, 4, 0.1)
        self.assertIs(Expectation.IN_TIME, self.expectation(slot_counts, blocked_seconds=0.05))
        self.assertIs(Expectation.LATE, self.expectation(slot_counts, blocked_seconds=0.3))
        self.assertIs(Expectation.NOT_AT_ALL, self.expectation(slot_counts, blocked_seconds=0.77))

    def test_retry_delay_is_the_wait_but_never_more_than_the_client_can_use(self):
        for ahead in (0, 1, 5, 40, 4000):
            forecast = make_forecast(SlotCounts(4, 4, 0.1), DEADLINES, 0.3, ahead)
            self.assertGreater(forecast.retry_after, 0)
            self.assertLessEqual(forecast.retry_after, 0.5 * MAX_RETRY_FRACTION)
        patient = Deadlines(objective_at=0.2, expires_at=100.0, default_service_time=0.05)
        delay = make_forecast(SlotCounts(4, 4, 0.4), patient, 0.0, ahead=1).retry_after
        self.assertAlmostEqual(0.2, delay)
        delay = make_forecast(SlotCounts(4, 4, 0.4), patient, 0.0, ahead=900).retry_after
        self.assertEqual(MAX_RETRY_SECONDS, delay)


class WaitingTest(unittest.TestCase):
    """Requests through the forwarder, in virtual time."""

    def begin(self, count: int = 1, service_time: float = SERVICE_TIME) -> None:
        """Lists some servers with all slots free."""
        self.clock = LoopClock()
        self.engines = ScriptedEngines(self.clock, ModelName("model"))
        self.directory = InstanceDirectory()
        self.balancer = Balancer(self.directory, self.clock, random.Random(1))
        for number in range(count):
            name = InstanceId(f"e{number}")
            self.engines.engines[name] = ScriptedEngine(slots=SLOTS, event_seconds=service_time)
            self.list(name, InstanceState.READY)
            self.balancer.record_service_time(name, service_time)
        self.metrics = Metrics()
        parts = make_parts(self.directory, self.balancer, self.engines, self.clock)
        self.forwarder = Forwarder(replace(parts, metrics=self.metrics))
        self.sent = 0

    def list(self, name: InstanceId, state: InstanceState) -> None:
        """Writes a server's entry."""
        self.directory.update(replace(make_instance(name, slots=SLOTS), state=state))

    def state(self) -> ScriptedEngine:
        """Returns the first server."""
        return self.engines.engines[InstanceId("e0")]

    def send(self, route: Route, time_left: float = 1.5) -> asyncio.Task:
        """Sends a request."""
        self.sent += 1
        name = f"request-{self.sent}".encode()
        request = ClientRequest(name, "GET", b"h", b"/", (), b"", self.clock.now(), time_left)
        return asyncio.create_task(self.forwarder.forward(request, route))

    def stream(self, route: Route, time_left: float = 1.5) -> asyncio.Task:
        """Sends a request for a stream and reads it to its end."""
        self.sent += 1
        name = f"request-{self.sent}".encode()
        request = ClientRequest(name, "GET", b"h", b"/", (), b"", self.clock.now(), time_left)

        async def read() -> bytes:
            async with self.forwarder.stream(request, route) as response:
                return b"".join([chunk async for chunk in response.chunks()])

        return asyncio.create_task(read())

    async def refusal(self, task: asyncio.Task) -> tuple[float, RefusedError]:
        """Returns the seconds until a request was refused, and the error."""
        began = self.clock.now()
        with self.assertRaises(RefusedError) as caught:
            await task
        return self.clock.now() - began, caught.exception

    def take_slots(self, seconds: float) -> None:
        """Fills all slots of the first server with other daemons' requests for some seconds."""
        state = self.state()
        state.running += SLOTS

        def free() -> None:
            state.running -= SLOTS

        asyncio.get_running_loop().call_later(seconds, free)

    def test_infeasible_request_is_refused_at_once_with_the_forecast_retry_delay(self):
        async def play():
            for send in (self.send, self.stream):
                self.begin(service_time=1.0)
                others = [self.send(make_route(), 1.9) for _ in range(SLOTS)]
                await self.clock.sleep(SETTLE_SECONDS)
                seconds, error = await self.refusal(send(make_route(), 0.6))
                self.assertLess(seconds, POLL_INTERVAL_SECONDS)
                self.assertLessEqual(error.retry_after, 0.6 * MAX_RETRY_FRACTION)
                self.assertEqual(SLOTS, len(self.state().runs))
                await asyncio.gather(*others)

        run(play())

    def test_service_without_instances_is_refused_at_once(self):
        async def play():
            self.begin()
            self.list(InstanceId("e0"), InstanceState.LEAVING)
            seconds, _ = await self.refusal(self.send(make_route()))
            self.assertLess(seconds, POLL_INTERVAL_SECONDS)

        run(play())

    def test_request_is_refused_at_once_if_no_server_can_be_reached(self):
        """Another daemon may reach them; while one of them is only full, it waits."""

        async def play():
            for kind in (RouteKind.IDEMPOTENT, RouteKind.RUN_ONCE):
                self.begin(count=2)
                for state in self.engines.engines.values():
                    state.down = True
                seconds, error = await self.refusal(self.send(make_route(kind)))
                self.assertLess(seconds, POLL_INTERVAL_SECONDS)
                self.assertGreater(error.retry_after, 0)
                self.state().down = False
                self.take_slots(0.1)
                await self.send(make_route(kind))

        run(play())

    def test_late_request_waits_and_is_served(self):
        async def play():
            for send in (self.send, self.stream):
                self.begin(service_time=0.3)
                others = [self.send(make_route()) for _ in range(SLOTS)]
                await self.clock.sleep(SETTLE_SECONDS)
                began = self.clock.now()
                await send(make_route())
                self.assertGreater(self.clock.now() - began, OBJECTIVE)
                await asyncio.gather(*others)

        run(play())

    def test_slot_that_becomes_free_here_is_taken_at_once(self):
        async def play():
            self.begin()
            others = [self.send(make_route()) for _ in range(SLOTS)]
            await self.clock.sleep(SETTLE_SECONDS)
            waiting = self.send(make_route())
            await asyncio.gather(*others)
            free_at = self.clock.now()
            await waiting
            self.assertLess(self.clock.now() - free_at, SERVICE_TIME + POLL_INTERVAL_SECONDS / 4)

        run(play())

    def test_slot_that_another_daemon_releases_is_found(self):
        async def play():
            for kind in (RouteKind.IDEMPOTENT, RouteKind.RUN_ONCE):
                self.begin()
                self.take_slots(0.15)
                began = self.clock.now()
                await self.send(make_route(kind))
                waited = self.clock.now() - began - SERVICE_TIME
                self.assertLess(waited, 0.15 + 2 * POLL_INTERVAL_SECONDS)

        run(play())

    def test_more_urgent_request_overtakes(self):
        async def play():
            self.begin()
            others = [self.send(make_route()) for _ in range(SLOTS)]
            await self.clock.sleep(SETTLE_SECONDS)
            waiting = [self.send(make_route(priority=5)) for _ in range(3)]
            await self.clock.sleep(POLL_INTERVAL_SECONDS)
            urgent = [self.send(make_route(priority=1)) for _ in range(2)]
            await asyncio.gather(*others, *waiting, *urgent)
            first = set(self.state().runs[SLOTS : SLOTS + 2])
            self.assertEqual({"request-6", "request-7"}, first)

        run(play())

    def test_less_urgent_request_waits_behind_queued_ones(self):
        """A new request does not take the slot that became free for a waiting one."""

        async def play():
            self.begin()
            self.take_slots(0.1)
            waiting = self.send(make_route(priority=1))
            await self.clock.sleep(SETTLE_SECONDS)
            self.balancer.occupy(InstanceId("e0"))
            self.balancer.occupy(InstanceId("e0"))
            await self.clock.sleep(0.1 - SETTLE_SECONDS + 0.001)
            new_request = self.send(make_route(priority=3))
            await asyncio.gather(waiting, new_request)
            self.assertEqual(["request-1", "request-2"], self.state().runs)

        run(play())

    def test_request_that_would_be_late_comes_after_one_that_would_not(self):
        async def play():
            self.begin()
            self.take_slots(0.15)
            route = make_route(priority=1)
            early = self.send(route, 1.0)
            await self.clock.sleep(0.12)
            fresh = self.send(route, 1.5)
            await asyncio.gather(early, fresh)
            self.assertEqual(["request-2", "request-1"], self.state().runs)

        run(play())

    def test_request_that_becomes_infeasible_while_it_waits_is_refused_then(self):
        async def play():
            self.begin()
            self.take_slots(10.0)
            seconds, error = await self.refusal(self.send(make_route(), 0.8))
            self.assertGreater(seconds, OBJECTIVE)
            self.assertLess(seconds, 0.5)
            self.assertGreater(error.retry_after, 0)
            self.assertEqual([], self.state().runs)
            seconds, _ = await self.refusal(self.send(make_route(), 0.7))
            self.assertLess(seconds, 0.25)  # known by now: no slot becomes free

        run(play())

    def test_refusals_of_full_servers_do_not_wake_the_queue(self):
        """Each poll costs one attempt; otherwise queued requests would wake each other forever."""

        async def play():
            self.begin()
            self.take_slots(10.0)
            tried = 0
            original = self.engines.send

            def send(instance, request):
                nonlocal tried
                tried += 1
                return original(instance, request)

            self.engines.send = send
            tasks = [self.send(make_route(), 0.8) for _ in range(5)]
            await self.clock.sleep(0.2)
            self.assertLess(tried, 5 + 0.2 / POLL_INTERVAL_SECONDS + 2)
            for task in tasks:
                task.cancel()

        run(play())

    def test_client_that_leaves_the_queue_reaches_no_server(self):
        async def play():
            for send in (self.send, self.stream):
                self.begin()
                self.take_slots(0.1)
                leaving = send(make_route())
                await self.clock.sleep(0.05)
                self.assertEqual(1, self.forwarder.waiting)
                leaving.cancel()
                await self.clock.sleep(0.001)
                self.assertEqual(0, self.forwarder.waiting)
                await self.clock.sleep(0.5)
                self.assertEqual([], self.state().runs)

        run(play())

    def test_client_that_leaves_between_two_tries_reaches_no_other_server(self):
        async def play():
            for kind in (RouteKind.IDEMPOTENT, RouteKind.RUN_ONCE):
                self.begin(count=2)
                self.take_slots(10.0)
                self.balancer.record_service_time(
                    InstanceId("e1"), 2 * SERVICE_TIME, weight=1.0
                )  # tried second
                leaving = self.send(make_route(kind))
                await self.clock.sleep(0.0005)  # before the first has answered "full"
                leaving.cancel()
                await self.clock.sleep(0.5)
                self.assertEqual([], self.engines.engines[InstanceId("e1")].runs)

        run(play())

    def test_request_that_waited_and_then_ran_is_never_reported_as_not_run(self):
        """Its server does not respond before the deadline, or cuts its response off."""

        async def play():
            for kind in (RouteKind.IDEMPOTENT, RouteKind.RUN_ONCE):
                for state, error in (
                    (ScriptedEngine(slots=SLOTS, event_seconds=1000.0), RequestTimeoutError),
                    (ScriptedEngine(slots=SLOTS, break_after=0), RequestFailedError),
                ):
                    self.begin()
                    self.engines.engines[InstanceId("e0")] = state
                    self.take_slots(0.1)
                    with self.assertRaises(error):
                        await self.send(make_route(kind), 0.8)
                    self.assertEqual(["request-1"], self.state().runs)

        run(play())

    def test_request_that_ran_does_not_end_as_refused_by_full_servers(self):
        async def play():
            for kind in (RouteKind.IDEMPOTENT, RouteKind.RUN_ONCE):
                self.begin(count=2)
                self.state().break_after = 0
                self.balancer.record_service_time(
                    InstanceId("e1"), 2 * SERVICE_TIME, weight=1.0
                )  # tried second
                self.engines.engines[InstanceId("e1")].running = SLOTS
                with self.assertRaises(RequestFailedError):
                    await self.send(make_route(kind))

        run(play())

    def test_waiting_request_whose_deadline_passes_is_not_sent(self):
        async def play():
            self.begin()
            seconds, _ = await self.refusal(self.send(make_route(), 0.0))
            self.assertLess(seconds, POLL_INTERVAL_SECONDS)
            self.assertEqual([], self.state().runs)

        run(play())

    def test_request_is_tried_at_free_servers_that_failed_recently(self):
        """No slot is known to be taken and no request waits, so a refusal would be unnecessary."""

        async def play():
            self.begin()
            self.balancer.record_service_time(
                InstanceId("e0"), 0.5, weight=1.0
            )  # other requests took long
            self.balancer.avoid(InstanceId("e0"), 0.3)
            response = await self.send(make_route(), 0.4)
            self.assertEqual(200, response.status)

        run(play())

    def test_request_is_refused_soon_where_free_servers_have_just_refused_others(self):
        async def play():
            self.begin(service_time=0.5)
            self.state().running = SLOTS
            seconds, _ = await self.refusal(self.send(make_route(), 0.4))
            self.assertLess(seconds, 0.2)
            seconds, _ = await self.refusal(self.send(make_route(), 0.4))
            self.assertEqual(0.0, seconds)  # it was not sent

        run(play())

    def test_queue_of_a_large_service_is_polled_less_often(self):
        self.assertEqual(POLL_INTERVAL_SECONDS, poll_interval(24 * 8))
        self.assertGreater(poll_interval(3200 * 8), 10 * POLL_INTERVAL_SECONDS)

    def test_queue_of_a_large_service_is_not_polled_for_each_ended_request(self):
        for slots, polls in ((24 * 8, 20), (3200 * 8, 0)):
            self.assertEqual(
                polls,
                run(self.polls_for_ended_requests(SlotCounts(slots, slots, SERVICE_TIME))),
            )

    async def polls_for_ended_requests(self, slot_counts: SlotCounts) -> int:
        """Returns the number of queue polls caused by twenty requests that end at once."""
        counted = []

        def count(service, work) -> SlotCounts:
            counted.append(service)
            return slot_counts

        clock = LoopClock()
        queues = RequestQueues(clock, count, FlowLedger(clock))
        deadlines = Deadlines(1.0, 60.0, SERVICE_TIME)
        turns = [
            asyncio.create_task(queues.wait_for_turn(Waiter(PAGES, CLIENT_WORK, 0, deadlines, 0.0)))
            for _ in range(40)
        ]
        await asyncio.sleep(poll_interval(slot_counts.total) + SETTLE_SECONDS)
        before = len(counted)
        for _ in range(20):
            queues.record_release(PAGES)
        polls = len(counted) - before
        for turn in turns:
            turn.cancel()
        return polls

    def test_forecasts_are_counted_with_their_outcomes(self):
        async def play():
            self.begin(service_time=0.3)
            others = [self.send(make_route()) for _ in range(SLOTS)]
            await self.clock.sleep(SETTLE_SECONDS)
            await self.send(make_route())
            await self.refusal(self.send(make_route(), 0.0))
            await asyncio.gather(*others)
            text = self.metrics.text().decode()
            for forecast, outcome, count in (("late", "late", 3), ("not_at_all", "not_served", 1)):
                labels = f'forecast="{forecast}",outcome="{outcome}",route="run_once-0"'
                self.assertIn(f"larkpost_forecasts_total{{{labels}}} {count}.0", text)

        run(play())

    def test_server_that_refused_has_no_free_slot(self):
        async def play():
            self.begin(count=2)
            self.assertEqual(2 * SLOTS, count_slots(*self.count_arguments()).free)
            self.balancer.avoid(InstanceId("e0"), 1.0)
            self.assertEqual(SLOTS, count_slots(*self.count_arguments()).free)
            self.list(InstanceId("e1"), InstanceState.LEAVING)
            self.assertEqual(
                SlotCounts(SLOTS, SLOTS, SERVICE_TIME), count_slots(*self.count_arguments())
            )

        run(play())

    def count_arguments(self):
        """Returns the arguments of `count_slots`."""
        return self.balancer, PAGES, CLIENT_WORK


if __name__ == "__main__":
    unittest.main()
