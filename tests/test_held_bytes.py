"""Tests of the memory budget from client to server, over real loopback sockets.

The listener, the forwarder and the server adapter run between a client and a test server.
"""

import asyncio
import base64
import functools
import random
import struct
import unittest
from dataclasses import replace
from socket import SO_LINGER, SO_RCVBUF, SO_SNDBUF, SOL_SOCKET, socket
from unittest import mock

import orjson

from larkpost.common.clock import LoopClock
from larkpost.common.ids import Address, BatchId
from larkpost.gateway.blackboard.configuration import (
    Configuration,
    ConfigurationState,
    RequestLimits,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.memory import delivery
from larkpost.gateway.memory.budget import MemoryBudget, MemoryPurpose
from larkpost.gateway.memory.daemon_memory import DaemonMemory
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.proxy.admission import Admission
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.gateway.rollouts.batch_manager import BatchManager
from larkpost.gateway.rollouts.model import BatchHead, Item, ItemId, Result, ResultState
from larkpost.gateway.rollouts.reader import ResultPage
from larkpost.gateway.rollouts.view import ViewCache
from larkpost.platform import client_call, connections, sockets
from larkpost.platform.http_protocol import Listener
from larkpost.platform.ingress import Ingress
from larkpost.platform.servers import HttpServers
from larkpost.rehearsal.processes import free_address
from tests.connections import ConnectionServer
from tests.platform_fleet import PAGES
from tests.recording_log import RecordingLog
from tests.server_parts import make_instance, make_parts

MB = 1_000_000
BUDGET = 8 * MB
KINDS = {
    b"/p/": RouteKind.IDEMPOTENT,
    b"/o/": RouteKind.RUN_ONCE,
    b"/s/": RouteKind.STREAM,
    b"/b/": RouteKind.BATCH,
}
LIMITS = RequestLimits(header_bytes=2000, body_bytes=33 * MB, header_time=2.0, idle_time=2.0)
WAIT_SECONDS = 8.0
SMALL_BUFFER = 50_000


class ByteServer:
    """Responds with bodies of a given size, optionally aborted early.

    Attributes:
        written: body bytes that its connections have accepted.
    """

    def __init__(self) -> None:
        self.status = 200
        self.size = 5
        self.breaks_after: int | None = None
        self.pause = 0.2
        self.says_length = True
        self.requests: list[tuple[bytes, bytes]] = []
        self.written = 0
        self.cuts = 0

    async def serve(self, reader, writer) -> None:
        """Serves one connection."""
        writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_SNDBUF, SMALL_BUFFER)
        writer.transport.set_write_buffer_limits(SMALL_BUFFER)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                lines = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
                length = int(lines.get(b"Content-Length", 0))
                self.requests.append((head, await reader.readexactly(length)))
                await self._answer(writer, lines[b"larkpost-attempt-id"])
        except (asyncio.IncompleteReadError, ConnectionError):
            self.cuts += 1
        finally:
            writer.close()

    async def _answer(self, writer, request_id: bytes) -> None:
        framing = b"Content-Length: %d" if self.says_length else b"X-Size: %d"
        head = b"HTTP/1.1 %d Is\r\nLarkpost-Attempt-Id: %b\r\nLarkpost-Server-Stamp: s\r\n"
        writer.write(head % (self.status, request_id) + framing % self.size + b"\r\n\r\n")
        body = body_of(self.size)[: self.breaks_after]
        for start in range(0, len(body), SMALL_BUFFER):
            writer.write(body[start : start + SMALL_BUFFER])
            await writer.drain()
            self.written = min(len(body), start + SMALL_BUFFER)
        if self.breaks_after is not None:
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, linger)
            await asyncio.sleep(self.pause)
        if self.breaks_after is not None or not self.says_length:
            raise ConnectionError("the server ends the connection")


@functools.cache
def body_of(size: int) -> bytes:
    """Returns bytes that differ by position."""
    return (b"%07d." * (size // 8 + 1) % tuple(range(size // 8 + 1)))[:size]


def open_small_socket(address_info: tuple) -> socket:
    """Returns a socket to a server with small system buffers, as in the users' network."""
    opened = sockets.open_socket(address_info)
    opened.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER)
    return opened


class Batches:
    """Accepts batches, and returns the same page for each read."""

    def __init__(self) -> None:
        self.submitted = []
        self.text = ""

    async def submit(self, spec) -> None:
        """Takes a batch."""
        self.submitted.append(spec)

    async def read(self, *_) -> ResultPage:
        """Returns a page of one result."""
        return ResultPage(1, 0, (Result(ItemId("i"), ResultState.DONE, self.text),))


class Case(unittest.IsolatedAsyncioTestCase):
    """A daemon, a server and their clients."""

    budget: int | None = BUDGET

    async def asyncSetUp(self):
        self.server = ByteServer()
        listening = ConnectionServer(self.server.serve)
        own = Address(free_address())
        await listening.start(own.split(":")[0], int(own.split(":")[1]))
        self.addAsyncCleanup(listening.close)
        directory = InstanceDirectory()
        directory.update(make_instance("e0", address=own))
        with mock.patch.object(connections, "open_socket", open_small_socket):
            servers = HttpServers()
        self.addAsyncCleanup(servers.close)
        clock, self.log, self.metrics = LoopClock(), RecordingLog(), Metrics()
        balancer = Balancer(directory, clock, random.Random(1))
        parts = make_parts(directory, balancer, servers, clock)
        forwarder = Forwarder(replace(parts, log=self.log, metrics=self.metrics))
        self.configuration = configuration = ConfigurationState()
        shares = (ServiceShare(PAGES, 1.0),)
        routes = [Route("r", "h", path, kind, shares, 9.0, 5.0) for path, kind in KINDS.items()]
        configuration.update(Configuration(1, tuple(routes), {PAGES: Service(PAGES, 10)}, LIMITS))
        admission = Admission(configuration, lambda: 0.0, lambda: 2.0, self.log, self.metrics)
        self.memory = DaemonMemory(self.budget, Instruments(clock, self.log, self.metrics))
        self.batches = Batches()
        ingress = Ingress(
            configuration, Lifecycle(), admission, forwarder, self.batches, self.memory
        )
        address = Address(free_address())
        self.listener = Listener(ingress, address, ingress.limits)
        await self.listener.start()
        self.addAsyncCleanup(self.listener.close)
        self.host, self.port = address.split(":")

    async def connect(self, *, reads_little: bool = False):
        """Opens a connection that is closed after the test.

        Args:
            reads_little: whether both ends use small system buffers, as in the users' network.
        """
        known = set(self.listener.connections)
        raw = socket()
        if reads_little:
            raw.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER)
        raw.setblocking(False)
        await asyncio.get_running_loop().sock_connect(raw, (self.host, int(self.port)))
        reader, writer = await asyncio.open_connection(sock=raw, limit=SMALL_BUFFER)
        if reads_little:
            await self.wait_until(lambda: self.listener.connections - known)
            for accepted in self.listener.connections - known:
                accepted.transport.get_extra_info("socket").setsockopt(
                    SOL_SOCKET, SO_SNDBUF, SMALL_BUFFER
                )
        self.addCleanup(writer.close)
        return reader, writer

    def head(self, path: bytes = b"/p/x", *lines: bytes) -> bytes:
        """Returns the head of a request."""
        fixed = (b"POST %b HTTP/1.1" % path, b"Host: h", b"Larkpost-Attempt-Id: r1")
        return b"\r\n".join((*fixed, *lines)) + b"\r\n\r\n"

    def request(self, body: bytes, path: bytes = b"/p/x") -> bytes:
        """Returns a request."""
        return self.head(path, b"Content-Length: %d" % len(body)) + body

    async def response(self, reader) -> tuple[int, dict[bytes, bytes], bytes]:
        """Reads a response: status, headers in lower case, and body."""
        async with asyncio.timeout(WAIT_SECONDS):
            head = await reader.readuntil(b"\r\n\r\n")
            first, *lines = head.lower().split(b"\r\n")[:-2]
            headers = dict(line.split(b": ", 1) for line in lines)
            if b"content-length" in headers:
                body = await reader.readexactly(int(headers[b"content-length"]))
            else:
                body = await self._chunks(reader)
        return int(first.split()[1]), headers, body

    async def _chunks(self, reader) -> bytes:
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body

    async def wait_until(self, holds) -> None:
        """Waits until a condition holds."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not holds():
                await asyncio.sleep(0.01)

    def lines(self, event: Event) -> list[dict]:
        """Returns the log fields of all events of one type."""
        return [fields for known, fields in self.log.events if known is event]


class BodyTest(Case):
    """Request bodies at a daemon with a budget of 8 MB."""

    async def test_body_that_does_not_fit_is_rejected_before_it_is_sent(self):
        """Only the head is sent, so the response cannot have waited for the body."""
        no_room = b"no_room: "
        codes = {b"/p/x": no_room, b"/o/x": no_room, b"/s/x": no_room}
        codes[b"/b/x"] = b"batch_too_large_here: "
        for path, code in codes.items():
            reader, writer = await self.connect()
            writer.write(self.head(path, b"Content-Length: %d" % (9 * MB)))
            status, headers, text = await self.response(reader)
            self.assertEqual(503, status)
            self.assertGreater(float(headers[b"retry-after"]), 0)
            self.assertTrue(text.startswith(code), text)
        self.assertEqual([], self.server.requests)
        self.assertEqual([], self.batches.submitted)
        self.assertEqual(0, self.memory.budget.total)
        self.assertEqual(3, len(self.lines(Event.NO_ROOM)))

    async def test_rest_of_a_rejected_body_is_not_parsed_as_a_request(self):
        evil = self.request(b"evil", b"/o/evil")
        body = evil * (9 * MB // len(evil))
        reader, writer = await self.connect()
        writer.write(self.request(body) + self.request(b"good", b"/o/good"))
        self.assertEqual(503, (await self.response(reader))[0])
        self.assertEqual((200, b"00000"), (await self.response(reader))[::2])
        self.assertEqual([b"good"], [body for _, body in self.server.requests])

    async def test_connection_of_a_rejected_body_is_idle_only_after_the_rest(self):
        """It is not idle while the rest arrives, does not parse it as a head, and is reused."""
        reader, writer = await self.connect()
        writer.write(self.head(b"/p/x", b"Content-Length: %d" % (9 * MB)))
        self.assertEqual(503, (await self.response(reader))[0])
        for _ in range(9):
            writer.write(bytes(MB))
            await writer.drain()
            await asyncio.sleep(0.1)
        half = self.request(b"")
        writer.write(half[:20])
        await asyncio.sleep(0.1)
        writer.write(half[20:])
        self.assertEqual(200, (await self.response(reader))[0])

    async def test_chunked_body_is_rejected_once_it_exceeds_the_budget(self):
        evil = self.request(b"evil", b"/o/evil")
        chunk = b"%x\r\n%b\r\n" % (len(evil) * 1000, evil * 1000)
        reader, writer = await self.connect()
        writer.write(self.head(b"/o/x", b"Transfer-Encoding: chunked"))
        for _ in range(9 * MB // len(chunk) + 1):
            writer.write(chunk)
        writer.write(b"0\r\n\r\n" + self.request(b"good", b"/o/good"))
        status, headers, text = await self.response(reader)
        self.assertEqual((503, True), (status, text.startswith(b"no_room")))
        self.assertIn(b"retry-after", headers)
        self.assertEqual(200, (await self.response(reader))[0])
        self.assertEqual([b"good"], [body for _, body in self.server.requests])
        self.assertEqual(0, self.memory.budget.total)

    async def test_second_body_is_rejected_until_the_first_is_served(self):
        first, second = await self.connect(), await self.connect()
        body = body_of(5 * MB)
        first[1].write(self.head(b"/p/x", b"Content-Length: %d" % len(body)))
        await self.wait_until(
            lambda: self.memory.budget.held(MemoryPurpose.REQUEST_BODIES) == 5 * MB
        )
        second[1].write(self.request(body))
        self.assertEqual(503, (await self.response(second[0]))[0])
        first[1].write(body)
        self.assertEqual(200, (await self.response(first[0]))[0])
        second[1].write(self.request(body))
        self.assertEqual(200, (await self.response(second[0]))[0])
        self.assertEqual([body, body], [body for _, body in self.server.requests])

    async def test_memory_is_released_when_a_client_leaves_while_its_body_arrives(self):
        _, writer = await self.connect()
        writer.write(self.head(b"/p/x", b"Content-Length: %d" % (5 * MB)) + bytes(MB))
        await self.wait_until(lambda: self.memory.budget.total > 0)
        writer.transport.abort()
        await self.wait_until(lambda: self.memory.budget.total == 0)

    async def test_stalled_body_is_rejected_as_not_run(self):
        for framing in (b"Content-Length: %d" % MB, b"Transfer-Encoding: chunked"):
            reader, writer = await self.connect()
            writer.write(self.head(b"/o/x", framing))
            with mock.patch.object(client_call, "STALLED_SECONDS", 0.2):
                status, headers, text = await self.response(reader)
            self.assertEqual((408, b"close"), (status, headers[b"connection"]))
            self.assertTrue(text.startswith(b"body_stalled"))
            self.assertEqual(b"", await reader.read())
        self.assertEqual([], self.server.requests)

    async def test_trickling_body_is_rejected_as_not_run(self):
        """It never stalls for long; afterwards its memory is free, and the request has not run."""
        for framing in (b"Content-Length: %d" % (7 * MB), b"Transfer-Encoding: chunked"):
            reader, writer = await self.connect()
            writer.write(self.head(b"/o/x", framing))
            with (
                mock.patch.object(client_call, "STALLED_SECONDS", 0.4),
                mock.patch.object(client_call, "MIN_BODY_BYTES_PER_SECOND", 1000.0),
            ):
                answer = asyncio.create_task(self.response(reader))
                while not answer.done():
                    writer.write(b"1\r\nx\r\n")
                    await asyncio.sleep(0.05)
            status, _, text = await answer
            self.assertEqual((408, True), (status, text.startswith(b"body_stalled")))
            await self.wait_until(lambda: self.memory.budget.total == 0)
        self.assertEqual([], self.server.requests)

    async def test_body_at_the_minimum_rate_is_read(self):
        """It takes longer than the stall timeout."""
        reader, writer = await self.connect()
        with (
            mock.patch.object(client_call, "STALLED_SECONDS", 0.4),
            mock.patch.object(client_call, "MIN_BODY_BYTES_PER_SECOND", 50_000.0),
        ):
            writer.write(self.head(b"/o/x", b"Content-Length: 100000"))
            for _ in range(10):
                writer.write(bytes(10_000))
                await asyncio.sleep(0.1)
            self.assertEqual(200, (await self.response(reader))[0])

    async def test_nothing_is_held_for_a_call_that_is_not_admitted(self):
        """Its 404, 401 or 503 is sent before its body, which is dropped without being parsed."""
        evil = self.request(b"evil", b"/o/evil")
        body = evil * (MB // len(evil))
        usual = self.configuration.current
        with_keys = replace(usual, tenants=())
        cases = (
            (with_keys, b"h", (b"/p/x", b"/b/x", b"/-/lots/b1"), 401),
            (usual, b"other", (b"/p/x", b"/b/x"), 404),
            (None, b"h", (b"/p/x", b"/b/x", b"/-/lots/b1"), 503),
        )
        for configuration, host, paths, status in cases:
            for path in paths:
                await self.refused_by_head(configuration, host, path, status, body)
        self.assertEqual({b"good"}, {body for _, body in self.server.requests})

    async def refused_by_head(self, configuration, host, path, status, body) -> None:
        """Checks that a call is rejected before its body arrives, and the next one served."""
        usual, self.configuration.current = self.configuration.current, configuration
        reader, writer = await self.connect()
        head = self.head(path, b"Content-Length: %d" % len(body))
        writer.write(head.replace(b"Host: h", b"Host: " + host))
        try:
            self.assertEqual(status, (await self.response(reader))[0])
        except TimeoutError:
            self.fail("the response waits for the body")
        self.assertEqual(0, self.memory.budget.total)
        self.configuration.current = usual
        writer.write(body + self.request(b"good", b"/o/good"))
        self.assertEqual(200, (await self.response(reader))[0])

    async def test_client_that_expects_100_continue_is_rejected_without_it(self):
        reader, writer = await self.connect()
        length = b"Content-Length: %d" % (9 * MB)
        writer.write(self.head(b"/p/x", length, b"Expect: 100-continue"))
        status, headers, _ = await self.response(reader)
        self.assertEqual((503, b"close"), (status, headers[b"connection"]))

    async def test_body_above_the_configured_size_is_not_a_budget_error(self):
        for path in (b"/p/x", b"/b/x"):
            reader, writer = await self.connect()
            writer.write(self.head(path, b"Content-Length: %d" % (34 * MB)))
            self.assertEqual(413, (await self.response(reader))[0])

    async def test_large_bodies_reach_the_server_unchanged(self):
        body = body_of(7 * MB + 3)
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(body), body) for _ in range(1)) + b"0\r\n\r\n"
        for path in (b"/p/x", b"/o/x"):
            reader, writer = await self.connect()
            writer.write(self.request(body, path))
            self.assertEqual(200, (await self.response(reader))[0])
            writer.write(self.head(path, b"Transfer-Encoding: chunked") + chunks)
            self.assertEqual(200, (await self.response(reader))[0])
        self.assertEqual([body] * 4, [body for _, body in self.server.requests])


class ResponseTest(Case):
    """Responses at a daemon with a budget of 8 MB."""

    async def test_response_larger_than_the_budget_arrives_complete(self):
        self.server.size = 20 * MB
        for says_length in (True, False):
            self.server.says_length = says_length
            reader, writer = await self.connect()
            writer.write(self.request(b""))
            status, headers, body = await self.response(reader)
            self.assertEqual((200, says_length), (status, b"content-length" in headers))
            self.assertEqual(b"s", headers[b"larkpost-server-stamp"])
            self.assertTrue(body == body_of(20 * MB))
        await self.wait_until(lambda: self.memory.budget.total == 0)

    async def test_response_that_fits_is_sent_once_complete(self):
        """So another server can be tried if the first one aborts the response."""
        self.server.size, self.server.breaks_after = MB, MB // 2
        reader, writer = await self.connect()
        writer.write(self.request(b""))
        self.assertEqual(502, (await self.response(reader))[0])

    async def test_broken_streamed_response_does_not_look_complete(self):
        self.server.size, self.server.breaks_after = 20 * MB, 5 * MB
        for says_length in (True, False):
            self.server.says_length = says_length
            reader, writer = await self.connect()
            writer.write(self.request(b""))
            with self.assertRaises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
                await self.response(reader)
        await self.wait_until(lambda: self.memory.budget.total == 0)

    async def test_broken_response_is_recorded_as_failed_and_its_server_avoided(self):
        self.server.size, self.server.breaks_after = 20 * MB, 5 * MB
        reader, writer = await self.connect()
        writer.write(self.request(b""))
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            await self.response(reader)
        self.assertEqual([], self.lines(Event.REQUEST_DONE))
        self.assertEqual(["e0"], [line["instance"] for line in self.lines(Event.ATTEMPT_FAILED)])
        (line,) = self.lines(Event.REQUEST_FAILED)
        self.assertEqual("request_failed", line["outcome"])

    async def test_response_is_recorded_as_served_once_complete(self):
        self.server.size = 20 * MB
        reader, writer = await self.connect(reads_little=True)
        writer.write(self.request(b""))
        await reader.readuntil(b"\r\n\r\n")
        self.assertEqual([], self.lines(Event.REQUEST_DONE))
        async with asyncio.timeout(WAIT_SECONDS):
            await reader.readexactly(20 * MB)
        self.assertEqual([200], [line["status"] for line in self.lines(Event.REQUEST_DONE)])

    async def test_time_limit_ends_a_response_whose_server_stalls(self):
        self.server.size, self.server.breaks_after = 20 * MB, 5 * MB
        self.server.pause = 2 * WAIT_SECONDS
        reader, writer = await self.connect()
        writer.write(self.head(b"/p/x", b"Content-Length: 0", b"Larkpost-Deadline-Ms: 1000"))
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            await self.response(reader)
        self.assertEqual(1, len(self.lines(Event.ATTEMPT_FAILED)))
        self.assertEqual("request_timeout", self.lines(Event.REQUEST_FAILED)[0]["outcome"])

    async def test_slow_client_does_not_use_up_the_time_limit(self):
        self.server.size = 3 * MB
        reader, writer = await self.connect(reads_little=True)
        writer.write(self.head(b"/p/x", b"Content-Length: 0", b"Larkpost-Deadline-Ms: 800"))
        await reader.readuntil(b"\r\n\r\n")
        for _ in range(30):
            await reader.readexactly(3 * MB // 30)
            await asyncio.sleep(0.05)
        self.assertEqual(1, len(self.lines(Event.REQUEST_DONE)))

    async def test_failure_response_too_large_to_hold_is_dropped(self):
        self.server.size, self.server.status = 20 * MB, 500
        for path in (b"/p/x", b"/o/x"):
            reader, writer = await self.connect()
            writer.write(self.request(b"", path))
            self.assertEqual(502, (await self.response(reader))[0])
        await self.wait_until(lambda: self.memory.budget.total == 0)

    async def test_response_to_a_slow_client_is_read_from_its_server(self):
        """The client reads nothing; the server's response is read as far as it fits."""
        size = 9 * MB // 10
        self.server.size = size
        for path in (b"/p/x", b"/s/x"):
            self.server.written = 0
            reader, writer = await self.connect(reads_little=True)
            writer.write(self.request(b"", path))
            await self.wait_until(lambda: self.server.written == size)
            self.assertGreater(self.memory.budget.total, MB // 4)
            self.assertEqual(body_of(size), (await self.response(reader))[2])
            await self.wait_until(lambda: self.memory.budget.total == 0)

    async def test_response_beyond_the_limit_waits_at_its_server(self):
        self.server.size = 20 * MB
        reader, writer = await self.connect(reads_little=True)
        writer.write(self.request(b""))
        await self.wait_until(lambda: self.server.written > MB // 2)
        await asyncio.sleep(1.0)
        self.assertLess(self.server.written, 4 * MB)
        self.assertLess(self.memory.budget.total, 2 * MB)
        self.assertTrue((await self.response(reader))[2] == body_of(20 * MB))

    async def test_stalled_client_is_disconnected_and_its_request_cancelled(self):
        for path, size in ((b"/p/x", 20 * MB), (b"/s/x", 20 * MB), (b"/p/x", MB // 2)):
            self.server.size, cuts = size, self.server.cuts
            reader, writer = await self.connect(reads_little=True)
            with mock.patch.object(delivery, "STALLED_SECONDS", 0.4):
                writer.write(self.request(b"", path))
                await self.wait_until(lambda: self.memory.budget.total > 0)
                await self.wait_until(lambda: self.memory.budget.total == 0)
            if size > MB:
                await self.wait_until(lambda cuts=cuts: self.server.cuts > cuts)
            with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                await self.response(reader)
        self.assertEqual(["stalled"] * 3, [line["reason"] for line in self.lines(Event.READER_CUT)])

    async def test_held_bytes_are_in_the_metrics(self):
        _, writer = await self.connect()
        writer.write(self.head(b"/p/x", b"Content-Length: %d" % (5 * MB)))
        await self.wait_until(lambda: self.memory.budget.total > 0)
        self.memory.set_gauges()
        text = self.metrics.text()
        self.assertIn(b'larkpost_bytes_held{purpose="request_bodies"} 5e+06', text)
        self.assertIn(b"larkpost_bytes_limit 8e+06", text)


class BatchTest(Case):
    """Batch calls at a daemon with a budget of 8 MB."""

    def submission(self, size: int) -> bytes:
        """Returns a batch of one item with a body of a given size."""
        body = base64.b64encode(bytes(size)).decode()
        return orjson.dumps({"requests": [{"id": "i", "path": "/x", "body": body}]})

    async def test_batch_at_the_limit_is_rejected_and_accepted_once_it_fits(self):
        """Its body fits, but not the memory needed to read and store it."""
        held = self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES, 5 * MB)
        reader, writer = await self.connect()
        batch = self.submission(MB)
        writer.write(self.request(batch, b"/b/x"))
        status, headers, text = await self.response(reader)
        self.assertEqual((503, True), (status, text.startswith(b"no_room")))
        self.assertIn(b"retry-after", headers)
        self.assertEqual([], self.batches.submitted)
        held.release()
        writer.write(self.request(batch, b"/b/x"))
        self.assertEqual(202, (await self.response(reader))[0])
        self.assertEqual([BatchId("r1")], [spec.id for spec in self.batches.submitted])
        await self.wait_until(lambda: self.memory.budget.total == 0)

    async def test_small_bodies_are_served_while_batches_fill_the_budget(self):
        self.memory.budget.set_held(MemoryPurpose.BATCHES, 9 * MB)
        reader, writer = await self.connect()
        for path, status in ((b"/p/x", 200), (b"/o/x", 200), (b"/s/x", 200), (b"/b/x", 503)):
            writer.write(self.request(b"x" * 800, path))
            self.assertEqual(status, (await self.response(reader))[0])
        writer.write(self.request(bytes(MB)))
        self.assertEqual(503, (await self.response(reader))[0])

    async def test_batch_is_rejected_while_others_hold_half_of_the_budget(self):
        reader, writer = await self.connect()
        for held, status in ((4 * MB + 1, 503), (4 * MB, 202)):
            self.memory.budget.set_held(MemoryPurpose.BATCHES, held)
            writer.write(self.request(self.submission(1000), b"/b/x"))
            self.assertEqual(status, (await self.response(reader))[0])
        self.assertEqual(1, len(self.batches.submitted))

    async def test_batch_that_never_fits_is_rejected_before_its_body_is_read(self):
        """A body above a quarter of the budget, even if its length is known only at its end."""
        batch = self.submission(2 * MB)
        chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(batch), batch)
        for framing, body in (
            (b"Content-Length: %d" % len(batch), b""),
            (b"Transfer-Encoding: chunked", chunk),
        ):
            reader, writer = await self.connect()
            writer.write(self.head(b"/b/x", framing) + body)
            status, headers, text = await self.response(reader)
            self.assertEqual((503, b"5"), (status, headers[b"retry-after"]))
            self.assertTrue(text.startswith(b"batch_too_large_here: "), text)
        self.assertEqual([], self.batches.submitted)
        self.assertEqual([], self.lines(Event.NO_ROOM))

    async def test_result_page_that_does_not_fit_is_rejected(self):
        self.batches.text = "x" * MB
        held = self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES, 7 * MB + 1)
        reader, writer = await self.connect()
        ask = self.head(b"/-/lots/b1?after-rev=0").replace(b"POST", b"GET")
        writer.write(ask)
        self.assertEqual(503, (await self.response(reader))[0])
        held.release()
        writer.write(ask)
        status, _, body = await self.response(reader)
        self.assertEqual((200, "x" * MB), (status, orjson.loads(body)["results"][0]["message"]))


class UnlimitedTest(Case):
    """Without a memory limit, nothing is rejected, and responses are not streamed."""

    budget = None

    async def test_body_is_held_whatever_its_size(self):
        body = body_of(32 * MB)
        reader, writer = await self.connect()
        writer.write(self.request(body))
        self.assertEqual(200, (await self.response(reader))[0])
        self.assertTrue(self.server.requests[0][1] == body)

    async def test_complete_response_is_held_whatever_its_size(self):
        self.server.size = 20 * MB
        reader, writer = await self.connect()
        writer.write(self.request(b""))
        self.assertTrue((await self.response(reader))[2] == body_of(20 * MB))
        self.server.breaks_after = 15 * MB
        writer.write(self.request(b""))
        self.assertEqual(502, (await self.response(reader))[0])

    async def test_body_is_read_before_the_call_is_admitted(self):
        reader, writer = await self.connect()
        request = self.request(bytes(MB), b"/none")
        writer.write(request[:-1])
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(1), 0.2)
        writer.write(request[-1:])
        self.assertEqual(404, (await self.response(reader))[0])

    async def test_stalled_clients_are_not_disconnected(self):
        reader, writer = await self.connect(reads_little=True)
        with (
            mock.patch.object(client_call, "STALLED_SECONDS", 0.1),
            mock.patch.object(delivery, "STALLED_SECONDS", 0.1),
        ):
            writer.write(self.head(b"/o/x", b"Content-Length: %d" % MB) + bytes(MB // 2))
            await asyncio.sleep(0.5)
            self.server.size = 5 * MB
            writer.write(bytes(MB - MB // 2))
            await self.wait_until(lambda: self.server.written == 5 * MB)
            await asyncio.sleep(0.5)
        self.assertEqual(200, (await self.response(reader))[0])
        self.assertEqual([], self.lines(Event.READER_CUT))


class AcceptedBatchTest(unittest.IsolatedAsyncioTestCase):
    """A batch that its daemon has just accepted."""

    async def test_accepted_batch_is_counted_at_once(self):
        budget = MemoryBudget(100 * MB)
        head = BatchHead(BatchId("b"), "h", "/", "m", 0, 0, 0, 1, "d", 0.0, False, "u")
        repository = mock.AsyncMock()
        repository.head.return_value = head
        services = mock.Mock(clock=LoopClock())
        manager = BatchManager(
            repository, mock.AsyncMock(), services, ViewCache(budget), lambda: 60.0
        )
        item = Item(ItemId("i"), "/", (), bytes(MB), 1, "g")
        await manager.start_accepted(mock.Mock(id=BatchId("b"), items=(item,)), "u")
        self.assertEqual(MB, budget.held(MemoryPurpose.BATCHES))
        manager.finish(BatchId("b"))


class ViewCacheTest(unittest.TestCase):
    """The memory of batches is counted in the budget."""

    def view(self, cache: ViewCache, name: str, size: int):
        """Adds a view with an item and a result of a given size each."""
        head = BatchHead(BatchId(name), "h", "/", "m", 0, 0, 0, 1, "d", 0.0, False, "u")
        view = cache.get_or_add(head)
        view.set_items((Item(ItemId("i"), "/", (), bytes(size), 1, "g"),))
        view.add(0, [Result(ItemId("i"), ResultState.DONE, "x" * size)])
        view.used_at = float(size)
        return view

    def test_items_results_and_outputs_are_counted(self):
        budget = MemoryBudget(100 * MB)
        cache = ViewCache(budget)
        view = self.view(cache, "a", MB)
        view.set_items(view.items.values())
        cache.evict_idle({BatchId("a")}, outputs=10)
        self.assertEqual(2 * MB + 10, budget.held(MemoryPurpose.BATCHES))
        cache.forget(BatchId("a"))
        cache.evict_idle(set())
        self.assertEqual(0, budget.held(MemoryPurpose.BATCHES))

    def test_unused_views_are_limited_to_a_part_of_the_budget(self):
        budget = MemoryBudget(16 * MB)
        cache = ViewCache(budget)
        for name, size in (("old", MB), ("new", MB + 1), ("used", 3 * MB)):
            self.view(cache, name, size)
        cache.evict_idle({BatchId("used")})
        self.assertIsNone(cache.get(BatchId("old")))
        self.assertEqual(6 * MB, budget.held(MemoryPurpose.BATCHES))


if __name__ == "__main__":
    unittest.main()
