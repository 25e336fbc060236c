"""A client is told that a run-once request did not run only if that is certain."""

import asyncio
import random
import unittest
from contextlib import asynccontextmanager
from dataclasses import replace

from larkpost.common.clock import LoopClock
from larkpost.common.errors import LarkpostError
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import RouteKind
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.gateway.proxy.request import ClientRequest, RequestFailedError
from larkpost.gateway.proxy.retry import (
    NOT_RUN_STATUSES,
    UnservedRequest,
    final_error,
    implies_not_run,
)
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    NotRunError,
    NotRunReason,
    ServerPort,
)
from tests.platform_fleet import MODEL
from tests.scripted_engines import ScriptedEngine, ScriptedEngines
from tests.server_parts import PAGES, SLOTS, make_directory, make_parts, make_route
from tests.virtual import run

RUN_ONCE_ROUTE = make_route(RouteKind.RUN_ONCE)
STREAM_ROUTE = make_route(RouteKind.STREAM)
IDEMPOTENT_ROUTE = make_route(RouteKind.IDEMPOTENT)
TIME_LEFT = 0.5
LATE_SECONDS = 1000.0


class FailingServers:
    """The errors in which consecutive sends end before a response."""

    def __init__(self, servers: ServerPort, *errors: Exception) -> None:
        self._servers = servers
        self._errors = list(errors)

    def __getattr__(self, name: str) -> object:
        return getattr(self._servers, name)

    @asynccontextmanager
    async def send(self, instance, request):
        """Raises the next error; sends the request once there is none."""
        if self._errors:
            raise self._errors.pop(0)
        async with self._servers.send(instance, request) as response:
            yield response


class RefusalTest(unittest.TestCase):
    """A refusal guarantees that no server has run the request or will run it."""

    def begin(self, *errors: Exception, **state: object) -> None:
        """Lists two servers in the same state; the first sends end in errors."""
        clock = LoopClock()
        self.engines = ScriptedEngines(clock, MODEL)
        directory = make_directory(2, PAGES)
        for number in range(2):
            self.engines.engines[InstanceId(f"e{number}")] = ScriptedEngine(slots=SLOTS, **state)
        balancer = Balancer(directory, clock, random.Random(1))
        servers = FailingServers(self.engines, *errors)
        self.forwarder = Forwarder(make_parts(directory, balancer, servers, clock))
        self.clock = clock

    def runs(self) -> int:
        """Returns how many times servers started to run a request."""
        return sum(len(state.runs) for state in self.engines.engines.values())

    async def outcome(self, route) -> LarkpostError | int:
        """Returns the error that a request ends in, or the status of its response."""
        request = ClientRequest(b"r", "POST", b"h", b"/", (), b"", self.clock.now(), TIME_LEFT)
        try:
            if route.kind is RouteKind.STREAM:
                async with self.forwarder.stream(request, route) as response:
                    return response.status
            return (await self.forwarder.forward(request, route)).status
        except LarkpostError as error:
            return error

    def play(self, work) -> None:
        """Runs a test in virtual time for both kinds of run-once routes."""
        for route in (RUN_ONCE_ROUTE, STREAM_ROUTE):
            with self.subTest(kind=route.kind):
                run(work(route))

    def test_status_of_a_server_that_ran_the_request_is_not_passed_on(self) -> None:
        """A server that responds with such a status has still run the request."""
        for status in sorted(NOT_RUN_STATUSES):

            async def work(route, status=status) -> None:
                self.begin(status=status)
                error = await self.outcome(route)
                self.assertIsInstance(error, RequestFailedError)
                self.assertEqual((502, 1), (error.status, self.runs()))

            self.play(work)

    def test_other_failures_of_a_run_are_passed_on(self) -> None:
        async def work(route) -> None:
            self.begin(status=500)
            self.assertEqual(500, await self.outcome(route))

        self.play(work)

    def test_all_servers_refuse(self) -> None:
        async def work(route) -> None:
            self.begin(loading_until=LATE_SECONDS)
            error = await self.outcome(route)
            self.assertEqual((503, 0), (error.status, self.runs()))

        self.play(work)

    def test_no_server_can_be_reached(self) -> None:
        async def work(route) -> None:
            self.begin(down=True)
            error = await self.outcome(route)
            self.assertEqual((503, 0), (error.status, self.runs()))

        self.play(work)

    def test_refusal_followed_by_a_lost_response(self) -> None:
        async def work(route) -> None:
            self.begin(NotRunError(NotRunReason.FULL), BrokenResponseError("lost"))
            error = await self.outcome(route)
            self.assertEqual(502, error.status)

        self.play(work)

    def test_lost_response_is_not_tried_again(self) -> None:
        async def work(route) -> None:
            self.begin(BrokenResponseError("lost", connection_lost=True))
            error = await self.outcome(route)
            self.assertEqual((502, 0), (error.status, self.runs()))

        self.play(work)

    def test_deadline_passes_while_a_server_may_run_it(self) -> None:
        async def work() -> None:
            self.begin(event_seconds=LATE_SECONDS)
            error = await self.outcome(RUN_ONCE_ROUTE)
            self.assertEqual((504, 1), (error.status, self.runs()))

        run(work())

    def test_deadline_passes_while_it_waits(self) -> None:
        async def work(route) -> None:
            self.begin(running=SLOTS)
            error = await self.outcome(route)
            self.assertEqual((503, 0), (error.status, self.runs()))
            await asyncio.sleep(TIME_LEFT)
            for state in self.engines.engines.values():
                state.running = 0
            await asyncio.sleep(5 * TIME_LEFT)
            self.assertEqual(0, self.runs())  # nor does it run later

        self.play(work)

    def test_final_error_states_only_what_is_certain(self) -> None:
        for is_timed_out in (False, True):
            for is_quarantined in (False, True):
                unserved = UnservedRequest(True, is_quarantined, is_timed_out, 0.1)
                with self.subTest(unserved):
                    self.assertNotIn(final_error(unserved).status, NOT_RUN_STATUSES)
                    certain = replace(unserved, may_have_run=False)
                    self.assertEqual(503, final_error(certain).status)

    def test_idempotent_requests_are_unaffected(self) -> None:
        for status in NOT_RUN_STATUSES:
            self.assertFalse(implies_not_run(status, RouteKind.IDEMPOTENT))
        self.assertFalse(implies_not_run(500, RouteKind.RUN_ONCE))


if __name__ == "__main__":
    unittest.main()
