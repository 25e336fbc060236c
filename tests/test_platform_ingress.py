"""Tests of the ingress with clients that send too much, too slowly, or disconnect."""

import asyncio
import math
import socket
import struct
import unittest
from contextlib import asynccontextmanager
from unittest import mock

from larkpost.common.ids import Address
from larkpost.gateway.blackboard.configuration import (
    Configuration,
    ConfigurationState,
    RequestLimits,
    Route,
    RouteKind,
    Service,
    ServiceName,
    ServiceShare,
)
from larkpost.gateway.blackboard.lifecycle import Lifecycle, StopSchedule
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.proxy.admission import Admission
from larkpost.gateway.proxy.request import (
    RefusedError,
    WholeResponse,
)
from larkpost.gateway.servers.port import BrokenResponseError
from larkpost.platform import http_protocol
from larkpost.platform.http_protocol import Listener
from larkpost.platform.ingress import Ingress
from larkpost.rehearsal.processes import free_address

LIMITS = RequestLimits(header_bytes=2000, body_bytes=5000, header_time=0.3, idle_time=0.4)
PAGES = ServiceName("pages")
APPLY_SECONDS = 2.0
STOP_BEGUN = StopSchedule(math.inf, math.inf)
"""A stop that has just begun, so that all requests are still served."""


def route(prefix: bytes, kind: RouteKind) -> Route:
    """Returns a route to the pages."""
    return Route("r", "pages.example", prefix, kind, (ServiceShare(PAGES, 1.0),), 2.0, 0.2)


class ScriptedForwarder:
    """Responds to every request itself, and records the requests."""

    def __init__(self) -> None:
        self.requests = []
        self.cancelled = asyncio.Event()
        self.delay = 0.0
        self.error = None

    async def forward(self, request, _route):
        """Responds to a request."""
        self.requests.append(request)
        if self.error is not None:
            raise self.error
        try:
            await asyncio.sleep(self.delay)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        headers = ((b"X-Own", b"1"), (b"Connection", b"close"), (b"Transfer-Encoding", b"chunked"))
        return WholeResponse(200, headers, b"whole")

    @asynccontextmanager
    async def stream(self, request, _route):
        """Responds with a stream that breaks."""
        self.requests.append(request)
        try:
            yield BrokenStream(self.delay)
        except (asyncio.CancelledError, GeneratorExit):
            self.cancelled.set()
            raise


class BrokenStream:
    """A stream that breaks after its first event."""

    status = 200
    headers = ((b"Content-Type", b"text/event-stream"),)

    def __init__(self, delay: float) -> None:
        self._delay = delay

    async def chunks(self):
        """Yields the body."""
        yield b"id: 1\ndata: a\n\n"
        await asyncio.sleep(self._delay)
        raise BrokenResponseError("broke off")


class IngressTest(unittest.IsolatedAsyncioTestCase):
    """Talks to a listener over a plain connection."""

    async def asyncSetUp(self):
        self.configuration = ConfigurationState()
        self.lifecycle = Lifecycle()
        self.forwarder = ScriptedForwarder()
        self.configuration_age = 0.0
        admission = Admission(
            self.configuration,
            lambda: self.configuration_age,
            lambda: APPLY_SECONDS,
            EventLog("daemon"),
            Metrics(),
        )
        ingress = Ingress(self.configuration, self.lifecycle, admission, self.forwarder, None)
        address = Address(free_address())
        self.listener = Listener(ingress, address, ingress.limits)
        await self.listener.start()
        self.addAsyncCleanup(self.listener.close)
        self.host, self.port = address.split(":")
        self.configuration.update(
            Configuration(
                1,
                (
                    route(b"/p/", RouteKind.IDEMPOTENT),
                    route(b"/s/", RouteKind.STREAM),
                ),
                {PAGES: Service(PAGES, 10)},
                LIMITS,
            )
        )

    async def connect(self):
        """Opens a connection that is closed after the test."""
        reader, writer = await asyncio.open_connection(self.host, int(self.port))
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(self, content: bytes) -> bytes:
        """Sends bytes, and returns everything received until the connection closes."""
        reader, writer = await self.connect()
        writer.write(content)
        return await asyncio.wait_for(reader.read(), 3)

    async def test_path_query_and_headers_are_unchanged(self):
        answer = await self.exchange(
            b"POST /p/a%2fb%41?x=%20+&y=%2F HTTP/1.1\r\nHost: Pages.example:80\r\n"
            b"Larkpost-Attempt-Id: r1\r\nLarkpost-Deadline-Ms: 900\r\nX-Other: v\r\n"
            b"Connection: close\r\nContent-Length: 2\r\n\r\nhi"
        )
        request = self.forwarder.requests[0]
        self.assertEqual(b"/p/a%2fb%41?x=%20+&y=%2F", request.target)
        self.assertEqual(((b"x-other", b"v"),), request.headers)
        self.assertEqual((b"r1", 0.9, b"hi"), (request.request_id, request.time_left, request.body))
        self.assertIn(b"x-own: 1\r\n", answer)
        self.assertIn(b"content-length: 5\r\n", answer)
        self.assertNotIn(b"chunked", answer)
        self.assertTrue(answer.endswith(b"\r\n\r\nwhole"))

    async def test_chunked_body_is_read_whole(self):
        await self.exchange(
            b"POST /p/x HTTP/1.1\r\nHost: pages.example\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(b"abcde", self.forwarder.requests[0].body)

    async def test_unknown_route_and_unknown_configuration(self):
        request = b"GET /none/x HTTP/1.1\r\nHost: pages.example\r\nConnection: close\r\n\r\n"
        self.assertTrue((await self.exchange(request)).startswith(b"HTTP/1.1 404"))
        self.configuration.current = None
        answer = await self.exchange(request)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"retry-after: ", answer)

    async def test_head_that_is_too_large(self):
        head = b"GET /p/x HTTP/1.1\r\nHost: pages.example\r\nX-Long: " + b"a" * 3000
        answer = await self.exchange(head + b"\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 431"), answer[:40])
        reader, writer = await self.connect()
        writer.write(head)
        answer = await asyncio.wait_for(reader.read(), 3)
        self.assertTrue(answer.startswith(b"HTTP/1.1 431"), answer[:40])
        self.assertEqual([], self.forwarder.requests)

    async def test_head_that_is_too_slow(self):
        reader, writer = await self.connect()
        for part in (b"GET /p/x HT", b"TP/1.1\r\nHo", b"st: pages"):
            writer.write(part)
            await asyncio.sleep(0.15)
        answer = await asyncio.wait_for(reader.read(), 3)
        self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer[:40])

    async def test_body_that_is_too_large(self):
        answer = await self.exchange(
            b"POST /p/x HTTP/1.1\r\nHost: pages.example\r\nConnection: close\r\n"
            b"Content-Length: 6000\r\n\r\n" + b"a" * 6000
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer[:40])
        self.assertEqual([], self.forwarder.requests)

    async def test_idle_connection_is_kept_and_then_closed(self):
        reader, writer = await self.connect()
        request = b"GET /p/x HTTP/1.1\r\nHost: pages.example\r\n\r\n"
        for _ in range(2):
            writer.write(request)
            await reader.readuntil(b"whole")
            await asyncio.sleep(0.3)
        self.assertEqual(b"", await asyncio.wait_for(reader.read(), 1))
        self.assertEqual(2, len(self.forwarder.requests))

    async def test_client_that_leaves_cancels_its_request(self):
        self.forwarder.delay = 5.0
        _, writer = await self.connect()
        writer.write(b"GET /p/x HTTP/1.1\r\nHost: pages.example\r\n\r\n")
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.wait_for(self.forwarder.cancelled.wait(), 0.5)

    async def test_client_that_leaves_while_its_body_arrives_is_not_served(self):
        _, writer = await self.connect()
        writer.write(b"POST /p/x HTTP/1.1\r\nHost: pages.example\r\nContent-Length: 4\r\n\r\nab")
        await asyncio.sleep(0.05)
        writer.close()
        await self.rest()
        self.assertEqual([], self.forwarder.requests)

    async def test_client_that_left_before_its_request_was_read_is_not_served(self):
        """The complete request and the close are in the socket buffer when a busy loop reads it."""
        for prefix in (b"/p/", b"/s/"):
            for body in (b"", b"a" * 4000):
                head = b"POST %bx HTTP/1.1\r\nHost: pages.example\r\nContent-Length: %d\r\n\r\n"
                self.send_and_leave(head % (prefix, len(body)) + body)
                await self.rest()
                self.assertEqual([], self.forwarder.requests)

    async def test_client_that_reset_before_its_request_was_read_is_not_served(self):
        linger = struct.pack("ii", 1, 0)  # closing discards unsent bytes and resets the connection
        self.send_and_leave(b"GET /p/x HTTP/1.1\r\nHost: pages.example\r\n\r\n", linger)
        await self.rest()
        self.assertEqual([], self.forwarder.requests)

    async def test_client_that_leaves_a_stream_ends_it(self):
        self.forwarder.delay = 5.0
        reader, writer = await self.connect()
        writer.write(b"GET /s/x HTTP/1.1\r\nHost: pages.example\r\n\r\n")
        await reader.readuntil(b"data: a")
        writer.close()
        await asyncio.wait_for(self.forwarder.cancelled.wait(), 0.5)

    async def test_client_that_leaves_with_a_second_request_sent_ahead_is_noticed(self):
        self.forwarder.delay = 5.0
        _, writer = await self.connect()
        writer.write(b"GET /p/x HTTP/1.1\r\nHost: pages.example\r\n\r\n" * 2)
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.wait_for(self.forwarder.cancelled.wait(), 0.5)
        await self.rest()
        self.assertEqual(1, len(self.forwarder.requests))

    def send_and_leave(self, content: bytes, linger: bytes | None = None) -> None:
        """Sends bytes and closes the connection before the loop turns."""
        with socket.create_connection((self.host, int(self.port))) as client:
            client.sendall(content)
            if linger is not None:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def rest(self) -> None:
        """Lets the listener finish its pending work."""
        await asyncio.sleep(0.1)

    async def test_broken_stream_does_not_look_complete(self):
        answer = await self.exchange(b"GET /s/x HTTP/1.1\r\nHost: pages.example\r\n\r\n")
        self.assertIn(b"data: a", answer)
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))

    async def test_rejection_has_the_request_id_and_retry_after(self):
        self.forwarder.error = RefusedError("full", retry_after=0.2)
        answer = await self.exchange(
            b"GET /p/x HTTP/1.1\r\nHost: pages.example\r\nLarkpost-Attempt-Id: r1\r\n"
            b"Connection: close\r\n\r\n"
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"retry-after: 0.2\r\n", answer)
        self.assertIn(b"larkpost-attempt-id: r1\r\n", answer)

    async def test_stopping_daemon_answers_and_asks_to_close(self):
        self.lifecycle.schedule = STOP_BEGUN
        answer = await self.exchange(b"GET /p/x HTTP/1.1\r\nHost: pages.example\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
        self.assertIn(b"connection: close\r\n", answer)

    def too_large(self, *lines: bytes) -> tuple[bytes, bytes]:
        """Returns the head and the body of a request that is rejected before its body is read."""
        head = (b"POST /p/x HTTP/1.1", b"Host: pages.example", b"Content-Length: 6000")
        return b"\r\n".join((*head, *lines)) + b"\r\n\r\n", b"a" * 6000

    async def test_request_right_behind_a_rejected_body_is_served_for_longer_than_idle_time(self):
        self.forwarder.delay = 2 * LIMITS.idle_time
        reader, writer = await self.connect()
        head, body = self.too_large()
        writer.write(head)
        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
        writer.write(body + b"GET /p/x HTTP/1.1\r\nHost: pages.example\r\n\r\n")
        answer = await asyncio.wait_for(reader.readuntil(b"whole"), 3)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:40])

    async def refused_while_sending(self, head: bytes) -> None:
        """Checks that a client that sends its whole body first gets the response to its head."""
        reader, writer = await self.connect()
        writer.write(head)
        for _ in range(6):
            await asyncio.sleep(0.02)
            writer.write(b"a" * 1000)
            await writer.drain()
        answer = await asyncio.wait_for(reader.read(), 3)
        self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer[:40])
        self.assertIn(b"connection: close\r\n", answer)
        await asyncio.sleep(0.05)
        self.assertEqual(set(), self.listener.connections)

    async def test_rejection_reaches_a_client_that_asks_to_close_and_sends_its_body(self):
        await self.refused_while_sending(self.too_large(b"Connection: close")[0])

    async def test_rejection_reaches_a_client_that_sends_its_body_while_the_daemon_stops(self):
        self.lifecycle.schedule = STOP_BEGUN
        await self.refused_while_sending(self.too_large()[0])

    async def test_closing_listener_reads_the_rest_of_a_rejected_body(self):
        reader, writer = await self.connect()
        head, body = self.too_large()
        writer.write(head + body[:1000])
        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
        closing = asyncio.create_task(self.listener.close())
        self.assertEqual(b"", await asyncio.wait_for(reader.read(), 0.2))
        self.assertEqual(1, len(self.listener.connections))
        writer.write(body[1000:])
        await writer.drain()
        await closing
        self.assertEqual(set(), self.listener.connections)

    async def test_rest_of_a_rejected_body_is_read_for_a_limited_time(self):
        with mock.patch.object(http_protocol, "MAX_DISCARD_SECONDS", 0.2):
            for line in (b"Connection: close", b"Connection: keep-alive"):
                reader, writer = await self.connect()
                writer.write(self.too_large(line)[0])
                answer = await asyncio.wait_for(reader.read(), 3)
                self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer[:40])
                await asyncio.sleep(0.3)
                self.assertEqual(set(), self.listener.connections)

    async def test_request_behind_a_rejected_body_that_closes_does_not_run(self):
        head, body = self.too_large(b"Connection: close")
        reader, writer = await self.connect()
        writer.write(head)
        await asyncio.wait_for(reader.read(), 3)
        writer.write(body + b"GET /p/x HTTP/1.1\r\nHost: pages.example\r\n\r\n")
        await self.rest()
        self.assertEqual([], self.forwarder.requests)

    async def answered_before(self, refused: bytes, status: bytes) -> None:
        """Checks that a rejection does not answer earlier requests."""
        self.forwarder.delay = 2 * LIMITS.header_time
        self.forwarder.requests.clear()
        reader, writer = await self.connect()
        writer.write(b"GET /p/x HTTP/1.1\r\nHost: pages.example\r\n\r\n" * 2)
        await self.rest()
        writer.write(refused[:20])
        await self.rest()
        writer.write(refused[20:])
        answer = await asyncio.wait_for(reader.read(), 5)
        first, second, last = answer.split(b"whole")
        for one in (first, second):
            self.assertTrue(one.startswith(b"HTTP/1.1 200"), answer)
        self.assertTrue(last.startswith(b"HTTP/1.1 " + status), answer)
        self.assertEqual(2, len(self.forwarder.requests))

    async def test_head_that_is_rejected_behind_requests_is_answered_after_them(self):
        head = b"GET /p/last HTTP/1.1\r\nHost: pages.example\r\n"
        await self.answered_before(head, b"408")
        await self.answered_before(head + b"X-Long: " + b"a" * 3000, b"431")
        await self.answered_before(head + b"no header\r\n\r\n", b"400")

    async def test_body_that_is_malformed_behind_requests_is_answered_after_them(self):
        head = b"POST /p/last HTTP/1.1\r\nHost: pages.example\r\nTransfer-Encoding: chunked\r\n"
        await self.answered_before(head + b"\r\nno size\r\n", b"400")
