"""Client requests to servers that are slow, unresponsive, failing, full or draining."""

import asyncio
import random
import unittest
from contextlib import asynccontextmanager
from dataclasses import replace

from larkpost.common.clock import LoopClock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import (
    RouteKind,
)
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceState
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.gateway.proxy.request import (
    ClientRequest,
    RefusedError,
    RequestFailedError,
    RequestTimeoutError,
)
from larkpost.gateway.servers.port import BrokenResponseError
from tests.platform_fleet import MODEL
from tests.scripted_engines import ScriptedEngine, ScriptedEngines, ScriptedResponse
from tests.server_parts import OBJECTIVE, SLOTS, make_instance, make_parts, make_route
from tests.virtual import run

UNRESPONSIVE_SECONDS = 1000.0
IDEMPOTENT_ROUTE = make_route(RouteKind.IDEMPOTENT)
RUN_ONCE_ROUTE = make_route(RouteKind.RUN_ONCE)
STREAM_ROUTE = make_route(RouteKind.STREAM)


class RecordingEngines(ScriptedEngines):
    """Scripted servers that record the time limit of each request, and can respond late."""

    def __init__(self, clock: LoopClock) -> None:
        super().__init__(clock, MODEL)
        self.times_left: list[float | None] = []
        self.head_delay = 0.0

    @asynccontextmanager
    async def send(self, instance, request):
        """Sends a request; see the port."""
        self.times_left.append(request.time_left)
        async with super().send(instance, request) as response:
            await asyncio.sleep(self.head_delay)
            yield response


class CutOffResponse(ScriptedResponse):
    """A response that is cut off after the request ran."""

    async def chunks(self):
        """Yields nothing."""
        await asyncio.sleep(0.01)
        raise BrokenResponseError("the response was cut off")
        yield b""


class ForwarderTest(unittest.TestCase):
    """Requests to scripted servers."""

    def begin(self, **states: ScriptedEngine) -> None:
        """Lists servers with their states."""
        self.clock = LoopClock()
        self.engines = RecordingEngines(self.clock)
        self.directory = InstanceDirectory()
        for name, state in states.items():
            state.slots = SLOTS
            self.engines.engines[InstanceId(name)] = state
            self.list(name)
        self.balancer = Balancer(self.directory, self.clock, random.Random(1))
        self.forwarder = Forwarder(
            make_parts(self.directory, self.balancer, self.engines, self.clock)
        )
        self.sent = 0

    def list(self, name: str, state: InstanceState = InstanceState.READY) -> None:
        """Writes a server's entry."""
        self.directory.update(replace(make_instance(name), state=state, listed_version=1))

    def request(self, time_left: float | None = 1.5) -> ClientRequest:
        """Returns a new request, received now."""
        self.sent += 1
        name = f"request-{self.sent}".encode()
        now = self.clock.now()
        return ClientRequest(name, "GET", b"h", b"/", (), b"", now, time_left)

    def runs(self) -> int:
        """Returns how many times servers have run a request."""
        return sum(len(state.runs) for state in self.engines.engines.values())

    def running(self) -> int:
        """Returns the number of requests in progress at servers."""
        return sum(state.running for state in self.engines.engines.values())

    def test_second_server_is_tried_while_the_first_is_slow(self):
        async def play():
            self.begin(slow=ScriptedEngine(event_seconds=1.4), quick=ScriptedEngine())
            for _ in range(10):
                began = self.clock.now()
                response = await self.forwarder.forward(self.request(), IDEMPOTENT_ROUTE)
                self.assertEqual(200, response.status)
                self.assertLess(self.clock.now() - began, 0.45)
            await self.clock.sleep(0.01)
            self.assertEqual(0, self.running())

        run(play())

    def test_unresponsive_server_makes_few_requests_miss_their_objective(self):
        async def play():
            self.begin(
                unresponsive=ScriptedEngine(event_seconds=UNRESPONSIVE_SECONDS),
                quick=ScriptedEngine(),
            )
            late = 0
            for _ in range(30):
                began = self.clock.now()
                await self.forwarder.forward(self.request(), IDEMPOTENT_ROUTE)
                late += self.clock.now() - began > OBJECTIVE
            self.assertLessEqual(late, 5)

        run(play())

    def test_another_server_is_tried_after_a_failure_within_the_limit(self):
        async def play():
            self.begin(failing=ScriptedEngine(status=500), healthy=ScriptedEngine())
            for _ in range(10):
                response = await self.forwarder.forward(self.request(), IDEMPOTENT_ROUTE)
                self.assertEqual(200, response.status)

        run(play())

    def test_no_more_servers_than_the_route_allows(self):
        async def play():
            self.begin(**{f"failing-{number}": ScriptedEngine(status=500) for number in range(5)})
            for route in (make_route(RouteKind.IDEMPOTENT, 1), make_route(RouteKind.IDEMPOTENT, 3)):
                before = self.runs()
                response = await self.forwarder.forward(self.request(), route)
                self.assertEqual(500, response.status)
                self.assertEqual(route.max_attempts, self.runs() - before)
                await self.clock.sleep(1.0)

        run(play())

    def test_requests_to_full_servers_are_refused_by_half_the_time_and_nothing_runs(self):
        """A request that long without a slot is not expected to be served; later ones fail sooner.

        Every server gets a request before the first refusal.
        """

        async def play():
            self.begin(full=ScriptedEngine(running=SLOTS), other=ScriptedEngine(running=SLOTS))
            for route, max_seconds in ((IDEMPOTENT_ROUTE, 0.75), (RUN_ONCE_ROUTE, 0.4)):
                began = self.clock.now()
                self.engines.times_left.clear()
                with self.assertRaises(RefusedError) as caught:
                    await self.forwarder.forward(self.request(), route)
                self.assertLessEqual(self.clock.now() - began, max_seconds)
                self.assertGreaterEqual(len(self.engines.times_left), 2)
                self.assertGreater(caught.exception.retry_after, 0)
            self.assertEqual(0, self.runs())

        run(play())

    def test_burst_is_spread_over_all_slots(self):
        async def play():
            self.begin(**{f"s{number}": ScriptedEngine(event_seconds=0.05) for number in range(4)})
            requests = [
                self.forwarder.forward(self.request(), IDEMPOTENT_ROUTE) for _ in range(4 * SLOTS)
            ]
            responses = await asyncio.gather(*requests)
            self.assertEqual({200}, {response.status for response in responses})
            for state in self.engines.engines.values():
                self.assertGreaterEqual(len(state.runs), SLOTS // 2)

        run(play())

    def test_run_once_request_is_never_sent_again_after_a_lost_response(self):
        async def play():
            self.begin(a=ScriptedEngine(), b=ScriptedEngine())
            original = ScriptedResponse.chunks
            ScriptedResponse.chunks = CutOffResponse.chunks
            try:
                with self.assertRaises(RequestFailedError):
                    await self.forwarder.forward(self.request(), RUN_ONCE_ROUTE)
            finally:
                ScriptedResponse.chunks = original
            self.assertEqual(1, self.runs())

        run(play())

    def test_run_once_request_is_sent_again_after_proof_that_it_did_not_run(self):
        async def play():
            self.begin(
                down=ScriptedEngine(down=True),
                full=ScriptedEngine(running=SLOTS),
                ok=ScriptedEngine(),
            )
            for _ in range(6):
                response = await self.forwarder.forward(self.request(), RUN_ONCE_ROUTE)
                self.assertEqual(200, response.status)
            self.assertEqual(6, self.runs())

        run(play())

    def test_servers_get_the_remaining_time(self):
        async def play():
            self.begin(unresponsive=ScriptedEngine(event_seconds=UNRESPONSIVE_SECONDS))
            cases = (
                (0.7, IDEMPOTENT_ROUTE, 0.7),
                (9.0, IDEMPOTENT_ROUTE, 2.0),
                (None, RUN_ONCE_ROUTE, 2.0),
            )
            for time_left, route, expected in cases:
                self.engines.times_left.clear()
                began = self.clock.now()
                with self.assertRaises(RequestTimeoutError):
                    await self.forwarder.forward(self.request(time_left), route)
                self.assertAlmostEqual(expected, self.clock.now() - began, delta=0.05)
                for sent_time in self.engines.times_left:
                    self.assertLessEqual(sent_time, expected)
            self.assertEqual(0, self.running())

        run(play())

    def test_timed_out_run_once_request_is_not_reported_as_not_run(self):
        """It was sent, so a refusal would be wrong."""

        async def play():
            self.begin(unresponsive=ScriptedEngine(event_seconds=UNRESPONSIVE_SECONDS))
            with self.assertRaises(RequestTimeoutError) as caught:
                await self.forwarder.forward(self.request(0.5), RUN_ONCE_ROUTE)
            self.assertEqual(504, caught.exception.status)
            self.assertEqual(1, self.runs())

        run(play())

    def test_stream_that_does_not_begin_ends_at_its_deadline(self):
        async def play():
            self.begin(unresponsive=ScriptedEngine())
            self.engines.head_delay = UNRESPONSIVE_SECONDS
            began = self.clock.now()
            with self.assertRaises(RequestTimeoutError):
                async with self.forwarder.stream(self.request(0.5), STREAM_ROUTE):
                    self.fail("no response should begin")
            self.assertAlmostEqual(0.5, self.clock.now() - began, delta=0.05)
            self.assertEqual(0, self.running())

        run(play())

    def test_stream_that_has_begun_is_not_cut_off_at_its_deadline(self):
        async def play():
            self.begin(slow=ScriptedEngine(event_seconds=1.0))
            async with self.forwarder.stream(self.request(0.5), STREAM_ROUTE) as response:
                self.assertTrue([chunk async for chunk in response.chunks()])

        run(play())

    def test_stream_whose_server_has_not_signed_it_is_a_failure(self):
        """Guards against a success that is not the server's reaching a client (MIXED)."""

        async def play():
            self.begin(unsigned=ScriptedEngine(unsigned=True), other=ScriptedEngine(unsigned=True))
            with self.assertRaises(RequestFailedError) as caught:
                async with self.forwarder.stream(self.request(), STREAM_ROUTE):
                    self.fail("no byte should reach the client")
            self.assertEqual(502, caught.exception.status)
            self.assertEqual(1, self.runs())

        run(play())

    def test_failed_stream_reaches_the_client_as_it_is(self):
        async def play():
            self.begin(failing=ScriptedEngine(unsigned=True, status=500))
            async with self.forwarder.stream(self.request(), STREAM_ROUTE) as response:
                self.assertEqual(500, response.status)

        run(play())

    def test_draining_server_gets_no_new_request(self):
        async def play():
            self.begin(leaving=ScriptedEngine(), stays=ScriptedEngine())
            self.list("leaving", InstanceState.LEAVING)
            for _ in range(10):
                await self.forwarder.forward(self.request(), IDEMPOTENT_ROUTE)
            self.assertEqual([], self.engines.engines[InstanceId("leaving")].runs)

        run(play())

    def test_client_disconnect_ends_the_work_at_the_server(self):
        async def play():
            self.begin(slow=ScriptedEngine(event_seconds=1.0))
            work = asyncio.create_task(self.forwarder.forward(self.request(), IDEMPOTENT_ROUTE))
            await self.clock.sleep(0.1)
            self.assertEqual(1, self.running())
            work.cancel()
            await self.clock.sleep(0.01)
            self.assertEqual(0, self.running())

        run(play())


if __name__ == "__main__":
    unittest.main()
