"""Tests that work stops at all layers when a client disconnects.

The listener, the forwarder and the server adapter run between real loopback sockets.
"""

import asyncio
import random
import unittest
from dataclasses import replace

from larkpost.common.clock import LoopClock
from larkpost.common.ids import Address
from larkpost.gateway.blackboard.configuration import (
    Configuration,
    ConfigurationState,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.proxy.admission import Admission
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.platform.http_protocol import Listener
from larkpost.platform.ingress import Ingress
from larkpost.platform.servers import HttpServers
from larkpost.rehearsal.processes import free_address
from tests.platform_fleet import PAGES
from tests.server_parts import make_instance, make_parts

KINDS = {b"/p/": RouteKind.IDEMPOTENT, b"/o/": RouteKind.RUN_ONCE, b"/s/": RouteKind.STREAM}
STOP_SECONDS = 0.5
"""Time after which no work for a disconnected client may continue."""
FULL = (
    b"HTTP/1.1 503 Full\r\nLarkpost-Attempt-Id: r1\r\nLarkpost-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
LARGE = 8_000_000
"""More than the buffers at both ends of a connection can hold."""


class StallingServer:
    """Reads requests without responding, reports that it is full, or does not read at all."""

    def __init__(self) -> None:
        self.is_full = False
        self.reads = asyncio.Event()
        self.reads.set()
        self.heads = 0
        self.working = 0
        self.received = 0

    async def serve(self, reader, writer) -> None:
        """Serves one connection."""
        try:
            await self.reads.wait()
            while await reader.readuntil(b"\r\n\r\n"):
                self.heads += 1
                if self.is_full:
                    writer.write(FULL)
                    continue
                self.working += 1
                while content := await reader.read(65536):
                    self.received += len(content)
                return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self.working = 0
            writer.close()


class LeavingClientTest(unittest.IsolatedAsyncioTestCase):
    """Sends a request, disconnects, and checks the server half a second later."""

    async def asyncSetUp(self):
        self.server = StallingServer()
        listening = await asyncio.start_server(self.server.serve, "127.0.0.1", 0)
        self.addCleanup(listening.close)
        own = Address(f"127.0.0.1:{listening.sockets[0].getsockname()[1]}")
        directory = InstanceDirectory()
        directory.update(make_instance("e0", address=own))
        servers = HttpServers()
        self.addAsyncCleanup(servers.close)
        clock, log, metrics = LoopClock(), EventLog("daemon"), Metrics()
        balancer = Balancer(directory, clock, random.Random(1))
        parts = make_parts(directory, balancer, servers, clock)
        self.forwarder = Forwarder(replace(parts, log=log, metrics=metrics))
        configuration = ConfigurationState()
        shares = (ServiceShare(PAGES, 1.0),)
        routes = [Route("r", "h", path, kind, shares, 5.0, 0.5) for path, kind in KINDS.items()]
        configuration.update(Configuration(1, tuple(routes), {PAGES: Service(PAGES, 10)}))
        admission = Admission(configuration, lambda: 0.0, lambda: 2.0, log, metrics)
        ingress = Ingress(configuration, Lifecycle(), admission, self.forwarder, None)
        address = Address(free_address())
        listener = Listener(ingress, address, ingress.limits)
        await listener.start()
        self.addAsyncCleanup(listener.close)
        self.host, self.port = address.split(":")

    async def send(self, path: bytes, body: bytes = b"", length: int | None = None):
        """Sends a request or its beginning, and returns the connection."""
        _, writer = await asyncio.open_connection(self.host, int(self.port))
        self.addCleanup(writer.close)
        size = len(body) if length is None else length
        head = b"POST %bx HTTP/1.1\r\nHost: h\r\nLarkpost-Attempt-Id: r1\r\nContent-Length: %d\r\n"
        writer.write(head % (path, size) + b"\r\n" + body)
        await writer.drain()
        await asyncio.sleep(0.15)
        return writer

    async def leave(self, writer) -> None:
        """Closes a client's connection, and waits until all its work must have stopped."""
        writer.close()
        await asyncio.sleep(STOP_SECONDS)

    async def test_work_at_the_server_is_stopped(self):
        for path in KINDS:
            writer = await self.send(path)
            self.assertEqual(1, self.server.working)
            await self.leave(writer)
            self.assertEqual(0, self.server.working)

    async def test_queued_request_is_not_sent(self):
        for path in KINDS:
            self.server.is_full = True
            writer = await self.send(path)
            self.assertGreater(self.server.heads, 1)  # it waits, and tries again
            await self.leave(writer)
            self.server.heads, self.server.is_full = 0, False
            await asyncio.sleep(0.2)
            self.assertEqual((0, 0), (self.forwarder.waiting, self.server.heads))

    async def test_request_whose_body_arrives_is_not_sent(self):
        for path in KINDS:
            await self.leave(await self.send(path, b"a" * 100_000, length=200_000))
            self.assertEqual(0, self.server.heads)

    async def test_body_that_a_server_has_not_read_is_not_sent_on(self):
        for path in KINDS:
            self.server.reads.clear()
            writer = await self.send(path, b"a" * LARGE)
            await self.leave(writer)
            self.server.received = 0
            self.server.reads.set()
            await asyncio.sleep(0.3)
            self.assertLess(self.server.received, LARGE)


if __name__ == "__main__":
    unittest.main()
