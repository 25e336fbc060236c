"""Servers that send bytes without end or close within a response, and what passes them on.

The listener, the forwarder and the server adapter run between real loopback sockets.
"""

import asyncio
import random
import socket
import struct
import threading
import unittest
from collections.abc import Coroutine
from typing import Any

from larkpost.common.clock import LoopClock
from larkpost.common.ids import Address, ZoneId
from larkpost.gateway.blackboard.configuration import (
    Configuration,
    ConfigurationState,
    ModelName,
    Route,
    RouteKind,
    Service,
    ServiceName,
    ServiceShare,
)
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.controllers.leases import Duty, Lease, LeaseSubject
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.proxy.admission import Admission
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.gateway.scaling.port import ScalingOrder, ServerKind
from larkpost.gateway.servers.port import VersionOrder
from larkpost.gateway.usage.port import UsageReport, WindowNumber
from larkpost.platform.http_protocol import Listener
from larkpost.platform.ingress import Ingress
from larkpost.platform.servers import HttpServers
from larkpost.rehearsal.processes import free_address
from tests.connections import ConnectionServer, Handler
from tests.platform_fleet import PAGES
from tests.server_parts import make_instance, make_parts

KINDS = {b"/p/": RouteKind.IDEMPOTENT, b"/o/": RouteKind.RUN_ONCE, b"/s/": RouteKind.STREAM}
TIMEOUT_SECONDS = 1.0
"""Timeout of all routes."""
MAX_ATTEMPTS = 2
"""Number of servers that may run an idempotent request; most tests have one server."""
LATE_SECONDS = 0.5
"""The users' bound: time after the timeout by which a request has its final answer."""
BLOCK_BYTES = 65536
ORDER = VersionOrder(ModelName("m"), 2, "daemon", 5, 3)
USAGE = UsageReport(WindowNumber(3), {TenantName("t"): 2})
SCALING = ScalingOrder(ServiceName("s"), ZoneId("z"), ServerKind.ON_DEMAND, 2)
LEASE = Lease(LeaseSubject(Duty.USAGE, "3"), 5, float("inf"))
NO_LINGER = struct.pack("ii", 1, 0)
"""Option with which a socket is reset when it is closed."""


class HostileServer:
    """Answers each request with a beginning, and then with the same bytes until it is closed.

    Attributes:
        beginning: sent once.
        endless: repeated for as long as the caller takes it; empty to close the connection.
        resets: whether its connections are reset rather than closed.
        sent: bytes sent so far.
    """

    def __init__(self) -> None:
        self.resets = False
        self.beginning = b""
        self.endless = b""
        self.sent = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        if self.resets:
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(_length_of(head))
            writer.write(self.beginning)
            await writer.drain()
            while self.endless:
                writer.write(self.endless)
                await writer.drain()
                self.sent += len(self.endless)
        except (asyncio.IncompleteReadError, ConnectionError):
            return  # the caller has closed the connection


def _length_of(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


class ServerThread:
    """Runs a server on a loop of its own, so that its bytes are there whenever the daemon reads."""

    def __init__(self, serve: Handler, address: Address) -> None:
        self._server = ConnectionServer(serve)
        self._address = address
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def start(self) -> None:
        """Starts the thread, and listens."""
        self._thread.start()
        host, port = self._address.split(":")
        self._call(self._server.start(host, int(port)))

    def stop(self) -> None:
        """Ends all connections and the thread."""
        self._call(self._server.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, work: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result()


class HostileServerCase(unittest.IsolatedAsyncioTestCase):
    """A hostile server, the adapter, and a daemon's listener and forwarder before it."""

    async def asyncSetUp(self):
        self.server = HostileServer()
        self.own = Address(free_address())
        thread = ServerThread(self.server.serve, self.own)
        await asyncio.to_thread(thread.start)
        self.addAsyncCleanup(asyncio.to_thread, thread.stop)
        self.instance = make_instance("e0", address=self.own)
        self.directory = directory = InstanceDirectory()
        directory.update(self.instance)
        self.servers = HttpServers()
        self.addAsyncCleanup(self.servers.close)
        clock, log, metrics = LoopClock(), EventLog("daemon"), Metrics()
        balancer = Balancer(directory, clock, random.Random(1))
        forwarder = Forwarder(make_parts(directory, balancer, self.servers, clock))
        shares = (ServiceShare(PAGES, 1.0),)
        routes = tuple(
            Route("r", "h", path, kind, shares, TIMEOUT_SECONDS, 0.5, max_attempts=MAX_ATTEMPTS)
            for path, kind in KINDS.items()
        )
        configuration = ConfigurationState()
        configuration.update(Configuration(1, routes, {PAGES: Service(PAGES, 10)}))
        admission = Admission(configuration, lambda: 0.0, lambda: 2.0, log, metrics)
        ingress = Ingress(configuration, Lifecycle(), admission, forwarder, None)
        self.front = Address(free_address())
        listener = Listener(ingress, self.front, ingress.limits)
        await listener.start()
        self.addAsyncCleanup(listener.close)

    async def ask(self, path: bytes, seconds: float) -> tuple[bytes, bytes, bool]:
        """Sends a request; returns the head and the last bytes of the answer, and whether it ended.

        The answer is read for some seconds at most, as fast as it comes.
        """
        host, port = self.front.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST %bx HTTP/1.1\r\nHost: h\r\nLarkpost-Attempt-Id: r1\r\nContent-Length: 0\r\n"
            b"Connection: close\r\n\r\n" % path
        )
        content, head, is_ended = b"", b"", False
        try:
            async with asyncio.timeout(seconds):
                while block := await reader.read(BLOCK_BYTES):
                    content = (content + block)[-2 * BLOCK_BYTES :]
                    head = head or content.partition(b"\r\n\r\n")[0]
                is_ended = True
        except (TimeoutError, ConnectionError) as error:
            is_ended = isinstance(error, ConnectionError)
        finally:
            writer.close()
        return head, content, is_ended
