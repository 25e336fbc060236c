"""Tests that a graceful shutdown ends within the grace time, even if something is unresponsive."""

import asyncio
import unittest
from dataclasses import replace

from larkpost.common.addresses import split_address
from larkpost.common.clock import LoopClock
from larkpost.common.http_server import CLOSE_SECONDS, HttpServer
from larkpost.common.ids import Address, BatchId
from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.graceful_shutdown import (
    CLOSE_MARGIN_SECONDS,
    DEREGISTRATION_SECONDS,
    GracefulShutdown,
    ShutdownSteps,
)
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.store.batch_tables import PARTIAL_TABLE
from tests.platform_fleet import PlatformFleet, make_batch
from tests.recording_log import RecordingLog
from tests.virtual import run as run_virtual

GRACE_SECONDS = 8.0
DRAINED_SECONDS = 7.0
"""Time by which a stop has drained, so that a second is left until the process is killed."""


class SilentStoreTest(unittest.TestCase):
    """A daemon that owns a batch is stopped while the store is down."""

    def test_stop_ends_before_the_kill(self) -> None:
        async def play() -> float:
            fleet = PlatformFleet(gateways=3)
            await fleet.wait(3.0)
            owner = await fleet.submit(make_batch(items=40))
            fleet.store.faults.down = True
            began = fleet.clock.now()
            await fleet.gateways[owner].drain()
            return fleet.clock.now() - began

        self.assertLessEqual(run_virtual(play()), DRAINED_SECONDS)

    def test_stop_waits_for_a_response_no_longer_than_allowed(self) -> None:
        async def play() -> float:
            fleet = PlatformFleet(gateways=2)
            await fleet.wait(1.0)
            began = fleet.clock.now()
            with fleet.gateways[0].lifecycle.request():
                await fleet.gateways[0].drain()
            return fleet.clock.now() - began

        seconds = run_virtual(play())
        self.assertGreater(seconds, DEREGISTRATION_SECONDS)
        self.assertLess(seconds, DRAINED_SECONDS)

    def test_stop_ends_in_time_for_all_grace_times(self) -> None:
        async def play(grace: float) -> float:
            fleet = PlatformFleet(gateways=2)
            await fleet.wait(1.0)
            stopped = fleet.gateways[0]
            stopped.settings = replace(stopped.settings, grace_time=grace)
            began = fleet.clock.now()
            with stopped.lifecycle.request():
                await stopped.drain()
            return fleet.clock.now() - began

        for grace in (2.0, 4.0, 8.0, 30.0):
            with self.subTest(grace=grace):
                seconds = run_virtual(play(grace))
                self.assertLess(seconds, grace - CLOSE_SECONDS - 0.1)
                self.assertGreater(seconds, min(grace * 5 / 6, grace - 2 * CLOSE_MARGIN_SECONDS))


class HandOverTest(unittest.TestCase):
    """Guards against a stop that ends at once and cuts all responses, as a step fails."""

    def test_batches_are_handed_over_though_they_are_checked_at_that_moment(self) -> None:
        async def play() -> None:
            fleet = PlatformFleet(gateways=3)
            await fleet.wait(3.0)
            owner = await fleet.submit(make_batch(items=40))
            await fleet.wait(0.3)
            await fleet.gateways[owner].membership.leave()
            stopped = fleet.gateways[owner].batch_manager
            handing_over = asyncio.create_task(stopped.hand_over())
            await asyncio.gather(handing_over, asyncio.create_task(stopped.update()))
            self.assertNotEqual(fleet.gateways[owner].id, (await self.head(fleet)).owner)
            self.assertTrue([key for key in fleet.store.rows if key.table == PARTIAL_TABLE])

        run_virtual(play())

    async def head(self, fleet: PlatformFleet) -> BatchHead:
        """Returns the batch's head as stored."""
        return await fleet.repository().head(BatchId("batch"))

    def test_step_that_fails_does_not_end_the_stop(self) -> None:
        async def play() -> tuple[float, list[str]]:
            clock, log, lifecycle = LoopClock(), RecordingLog(), Lifecycle()
            done: list[str] = []

            async def fail() -> None:
                raise KeyError("batch")

            async def save() -> None:
                done.append("saved")

            steps = ShutdownSteps((("hand_over", fail),), save)
            stop = GracefulShutdown(lifecycle, Instruments(clock, log), steps, GRACE_SECONDS)
            began = clock.now()
            with lifecycle.request():
                await stop.run()
            self.assertIn(Event.FAULT, [event for event, _ in log.events])
            return clock.now() - began, done

        seconds, done = run_virtual(play())
        self.assertGreater(seconds, GRACE_SECONDS * 5 / 6)
        self.assertEqual(["saved"], done)


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    """Closing a listener does not wait for an endless response."""

    async def test_close_aborts_an_endless_response(self) -> None:
        called = asyncio.Event()

        async def never_answers(scope, receive, send) -> None:
            called.set()
            await asyncio.sleep(60)

        server = HttpServer(never_answers, Address("127.0.0.1:18931"))
        await server.start()
        host, port = split_address(Address("127.0.0.1:18931"))
        _, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await called.wait()
        async with asyncio.timeout(2.0):
            await server.close()
        writer.close()


if __name__ == "__main__":
    unittest.main()
