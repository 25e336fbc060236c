"""Tests of the server adapter with servers that violate the protocol."""

import asyncio
import socket
import struct
import time
import unittest
from dataclasses import replace
from unittest import mock

from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo, InstanceState
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    NotRunError,
    NotRunReason,
    OrderOutcome,
    OutgoingRequest,
    PortState,
    VersionOrder,
)
from larkpost.platform import connections
from larkpost.platform.connections import CheckedConnector
from larkpost.platform.servers import HttpServers
from larkpost.rehearsal.processes import free_address
from tests.connections import ConnectionServer

ECHO = b"Larkpost-Attempt-Id: r1\r\nLarkpost-Server-Stamp: s\r\n"


def whole(body: bytes, headers: bytes = ECHO, status: bytes = b"200 OK") -> bytes:
    """Returns a response with a content length."""
    return b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s" % (status, headers, len(body), body)


def chunked(*parts: bytes, end: bool = True) -> bytes:
    """Returns a chunked response."""
    content = b"HTTP/1.1 200 OK\r\n" + ECHO + b"Transfer-Encoding: chunked\r\n\r\n"
    for part in parts:
        content += b"%x\r\n%s\r\n" % (len(part), part)
    return content + (b"0\r\n\r\n" if end else b"")


class ScriptedServer:
    """Responds to the requests of each connection from a list of byte strings, in order."""

    def __init__(self, *answers: bytes, reset: bool = False, late: bytes = b"") -> None:
        self._answers = list(answers)
        self._reset = reset
        self._late = late
        self.heads: list[bytes] = []
        self.bodies: list[bytes] = []
        self.connections = 0
        self.closed = asyncio.Event()

    async def __aenter__(self) -> "ScriptedServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.instance = InstanceInfo(
            InstanceId("i-1"),
            ServiceName("s"),
            Address(f"127.0.0.1:{port}"),
            ZoneId("z"),
            4,
            InstanceState.READY,
        )
        return self

    async def __aexit__(self, *_) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            while self._answers:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                self.bodies.append(await self._body(reader, head))
                writer.write(self._answers.pop(0))
                await writer.drain()
                if self._late:
                    await asyncio.sleep(0.05)
                    writer.write(self._late)
                    self._late = b""
            if self._reset:
                await asyncio.sleep(0.05)
                linger = struct.pack("ii", 1, 0)
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            else:
                await asyncio.wait_for(reader.read(1), 0.3)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            pass
        finally:
            self.closed.set()
            writer.close()

    async def _body(self, reader, head: bytes) -> bytes:
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return await reader.readexactly(int(line.split(b":")[1]))
        return b""


class ClosingServer(ScriptedServer):
    """Responds to one request, and closes the connection after reading the next one."""

    def __init__(self, *, is_dead: bool) -> None:
        super().__init__(whole(b"", ECHO), whole(b"", ECHO))
        self._is_dead = is_dead

    async def _body(self, reader, head: bytes) -> bytes:
        if len(self.heads) > 1:
            if self._is_dead:
                self._server.close()
            raise ConnectionError("the server ends")
        return b""


def request(number: int = 1, **changes) -> OutgoingRequest:
    """Returns a request with the id r<number>."""
    fields = {
        "request_id": b"r%d" % number,
        "method": "POST",
        "host": b"pages.example",
        "target": b"/a/b",
        "headers": (),
        "body": b"x",
    } | changes
    return OutgoingRequest(**fields)


def stand_still(seconds: float) -> None:
    """Blocks the whole process, like a freeze."""
    time.sleep(seconds)


class ServerAdapterTest(unittest.IsolatedAsyncioTestCase):
    """Serves scripted bytes."""

    def setUp(self):
        self.servers = None

    async def fetch(self, server: ScriptedServer, sent: OutgoingRequest) -> bytes:
        """Sends a request and returns the whole body."""
        if self.servers is None:
            self.servers = HttpServers()
            self.addAsyncCleanup(self.servers.close)
        async with self.servers.send(server.instance, sent) as answer:
            return b"".join([chunk async for chunk in answer.chunks()])

    async def events(self, server: ScriptedServer, sent: OutgoingRequest):
        """Sends a request, and returns its events and the error that ended them."""
        self.servers = HttpServers()
        self.addAsyncCleanup(self.servers.close)
        found = []
        try:
            async with self.servers.send(server.instance, sent) as answer:
                async for event in answer.events():
                    found.append(event)
        except BrokenResponseError as error:
            return found, error
        return found, None

    async def use_twice(self, told: str, rest: float) -> int:
        """Returns the connections that two requests use, with a pause between them."""
        header = ECHO + f"Keep-Alive: timeout={told}\r\n".encode()
        answers = whole(b"first", header), whole(b"second", header.replace(b"r1", b"r2"))
        async with ScriptedServer(*answers) as server:
            await self.fetch(server, request(1))
            await asyncio.sleep(rest)
            await self.fetch(server, request(2))
            return server.connections

    async def test_refusal_leaves_its_connection_for_the_next_request(self):
        full = whole(b"full", ECHO + b"Larkpost-Not-Executed: 1\r\n", b"503 Service Unavailable")
        done = whole(b"done", ECHO.replace(b"r1", b"r2"))
        async with ScriptedServer(full, done) as server:
            with self.assertRaises(NotRunError):
                await self.fetch(server, request(1))
            self.assertTrue(self.servers.is_connected(server.instance))
            self.assertEqual(b"done", await self.fetch(server, request(2)))
            self.assertEqual(1, server.connections)

    async def test_rejection_without_its_body_is_still_proof(self):
        head = b"HTTP/1.1 503 Service Unavailable\r\nLarkpost-Not-Executed: 1\r\n" + ECHO
        began = asyncio.get_running_loop().time()
        async with ScriptedServer(head + b"Content-Length: 9\r\n\r\nfu") as server:
            with self.assertRaises(NotRunError):
                await self.fetch(server, request(1))
            self.assertLess(asyncio.get_running_loop().time() - began, 0.25)
            self.assertFalse(self.servers.is_connected(server.instance))

    async def test_refusal_that_names_no_request_closes_its_connection(self):
        """A repeated one could be taken for the rejection of the next request."""
        full = whole(b"full", b"Larkpost-Not-Executed: 1\r\n", b"503 Service Unavailable")
        done = whole(b"done", ECHO.replace(b"r1", b"r2"))
        async with ScriptedServer(full, done) as server:
            with self.assertRaises(NotRunError):
                await self.fetch(server, request(1))
            self.assertFalse(self.servers.is_connected(server.instance))

    async def test_report_and_order_take_one_connection(self):
        report = whole(b'{"seq":3,"busy":false,"models":[]}', b"")
        taken = whole(b"", b"", b"202 Accepted")
        async with ScriptedServer(report, taken) as server:
            self.servers = HttpServers()
            self.addAsyncCleanup(self.servers.close)
            found = await self.servers.report(server.instance, 1.0)
            self.assertEqual(3, found.orders)
            order = VersionOrder(ModelName("m"), 2, "daemon", 5, 3)
            outcome = await self.servers.order(server.instance, order, 1.0)
            self.assertEqual((OrderOutcome.TAKEN, 1), (outcome, server.connections))

    async def test_response_to_an_earlier_request_is_not_taken_for_an_order(self):
        async with ScriptedServer(whole(b"late", ECHO)) as server:
            self.servers = HttpServers()
            self.addAsyncCleanup(self.servers.close)
            order = VersionOrder(ModelName("m"), 2, "daemon", 5, 3)
            outcome = await self.servers.order(server.instance, order, 1.0)
            self.assertEqual(OrderOutcome.UNKNOWN, outcome)

    async def test_idle_connection_is_kept_for_the_servers_keep_alive(self):
        with mock.patch.object(connections, "DEFAULT_KEEP_ALIVE_SECONDS", 0.05):
            self.assertEqual(1, await self.use_twice("10", 0.15))

    async def test_idle_connection_is_not_used_when_its_server_is_about_to_close_it(self):
        self.assertEqual(2, await self.use_twice("1", 0.05))

    async def test_extra_response_on_an_idle_connection(self):
        """Bytes that arrive on an idle connection are not a response to the next request."""
        second = whole(b"second", ECHO.replace(b"r1", b"r2"))
        async with ScriptedServer(whole(b"first"), second, late=whole(b"first")) as server:
            self.assertEqual(b"first", await self.fetch(server, request(1)))
            await asyncio.sleep(0.15)
            self.assertEqual(b"second", await self.fetch(server, request(2)))
            self.assertEqual(2, server.connections)

    async def test_response_to_another_request(self):
        async with ScriptedServer(whole(b"x", ECHO.replace(b"r1", b"r9"))) as server:
            with self.assertRaises(BrokenResponseError):
                await self.fetch(server, request(1))

    async def test_response_without_a_request_id(self):
        async with ScriptedServer(whole(b"x", b"")) as server:
            with self.assertRaises(BrokenResponseError):
                await self.fetch(server, request(1))

    async def test_no_length_then_reset(self):
        content = b"HTTP/1.1 200 OK\r\n" + ECHO + b"\r\nhalf of it"
        async with ScriptedServer(content, reset=True) as server:
            with self.assertRaises(BrokenResponseError):
                await self.fetch(server, request(1))

    async def test_no_length_then_orderly_end(self):
        content = b"HTTP/1.1 200 OK\r\n" + ECHO + b"\r\nall of it"
        async with ScriptedServer(content) as server:
            self.assertEqual(b"all of it", await self.fetch(server, request(1)))

    async def test_body_that_breaks_off(self):
        content = whole(b"0123456789")[:-4]
        async with ScriptedServer(content) as server:
            with self.assertRaises(BrokenResponseError):
                await self.fetch(server, request(1))

    async def test_content_encoding_is_not_the_body(self):
        content = whole(b"zip", ECHO + b"Content-Encoding: gzip\r\n")
        async with ScriptedServer(content) as server:
            with self.assertRaises(BrokenResponseError):
                await self.fetch(server, request(1))

    async def test_no_http_at_all(self):
        async with ScriptedServer(b"\x00\x01garbage\r\n\r\n") as server:
            with self.assertRaises(BrokenResponseError):
                await self.fetch(server, request(1))

    async def test_refusals_are_proof_that_it_did_not_run(self):
        full = whole(b"", b"Larkpost-Not-Executed: 1\r\n", b"503 Service Unavailable")
        other = whole(b"", b"Larkpost-Instance-Id: i-2\r\n", b"421 Misdirected Request")
        for content, reason in ((full, NotRunReason.FULL), (other, NotRunReason.REPLACED)):
            async with ScriptedServer(content) as server:
                with self.assertRaises(NotRunError) as caught:
                    await self.fetch(server, request(1))
                self.assertEqual(reason, caught.exception.reason)

    async def test_refusal_of_an_earlier_request_is_no_proof(self):
        late = whole(
            b"",
            b"Larkpost-Attempt-Id: r9\r\nLarkpost-Not-Executed: 1\r\n",
            b"503 Service Unavailable",
        )
        async with ScriptedServer(late) as server:
            with self.assertRaises(BrokenResponseError):
                await self.fetch(server, request(1))

    async def test_only_lost_connections_are_reported_as_lost(self):
        lost = {
            "closed without an answer": (b"", False),
            "closed within the head": (b"HTTP/1.1 200 OK\r\nLark", False),
            "closed within the body": (whole(b"0123456789")[:-4], False),
            "reset within a body without a length": (
                b"HTTP/1.1 200 OK\r\n" + ECHO + b"\r\nx",
                True,
            ),
            "closed within a chunk": (chunked(b"0123", end=False)[:-3], False),
        }
        wrong = {
            "no HTTP": (b"\x00\x01garbage\r\n\r\n", False),
            "another request's": (whole(b"", b"Larkpost-Attempt-Id: r9\r\n"), False),
            "encoded": (whole(b"zip", ECHO + b"Content-Encoding: gzip\r\n"), False),
        }
        for expected, answers in ((True, lost), (False, wrong)):
            for name, (content, reset) in answers.items():
                with self.subTest(name):
                    async with ScriptedServer(content, reset=reset) as server:
                        with self.assertRaises(BrokenResponseError) as caught:
                            await self.fetch(server, request(1))
                    self.assertEqual(expected, caught.exception.connection_lost)

    async def test_request_lost_on_a_reused_connection_is_not_resent_by_default(self):
        for is_dead in (False, True):
            with self.subTest(is_dead=is_dead):
                async with ClosingServer(is_dead=is_dead) as server:
                    await self.fetch(server, request(1, method="GET", body=b""))
                    with self.assertRaises(BrokenResponseError) as caught:
                        await self.fetch(server, request(2, method="GET", body=b""))
                self.assertTrue(caught.exception.connection_lost)
                self.assertEqual((1, 2), (server.connections, len(server.heads)))

    async def test_probe_distinguishes_dead_and_listening_ports(self):
        servers = HttpServers()
        self.addAsyncCleanup(servers.close)
        async with ScriptedServer(b"") as server:
            self.assertIs(PortState.LISTENS, await servers.probe(server.instance, 0.5))
        self.assertIs(PortState.DEAD, await servers.probe(server.instance, 0.5))
        full = socket.socket()
        self.addCleanup(full.close)
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        address = Address(f"127.0.0.1:{full.getsockname()[1]}")
        queued = socket.create_connection(full.getsockname())  # nobody accepts the connection
        self.addCleanup(queued.close)
        silent = replace(server.instance, address=address)
        self.assertIs(PortState.UNRESPONSIVE, await servers.probe(silent, 0.2))

    async def test_unreachable_server(self):
        async with ScriptedServer(b"") as server:
            pass
        with self.assertRaises(NotRunError) as caught:
            await self.fetch(server, request(1))
        self.assertEqual(NotRunReason.UNREACHABLE, caught.exception.reason)

    async def test_path_and_query_are_not_requoted(self):
        async with ScriptedServer(whole(b"")) as server:
            await self.fetch(server, request(1, target=b"/a%2fb/%41;x?q=%20+&r=a%2F|"))
            self.assertIn(b"POST /a%2fb/%41;x?q=%20+&r=a%2F| HTTP/1.1", server.heads[0])

    async def test_headers_are_unchanged(self):
        headers = ((b"x-one", b"1"), (b"x-one", b"2"), (b"accept", b"text/plain"))
        async with ScriptedServer(whole(b"")) as server:
            await self.fetch(server, request(1, headers=headers, time_left=1.5))
            lines = server.heads[0].lower().split(b"\r\n")
            self.assertIn(b"x-one: 1", lines)
            self.assertIn(b"x-one: 2", lines)
            self.assertIn(b"accept: text/plain", lines)
            self.assertIn(b"larkpost-deadline-ms: 1500", lines)
            self.assertIn(b"larkpost-expect-instance: i-1", lines)
            for added in (b"user-agent", b"accept-encoding", b"content-type"):
                self.assertFalse([line for line in lines if line.startswith(added)])

    async def test_response_before_the_body_was_read(self):
        """The rest of a body is never sent where the server expects the next request."""
        streams: list[bytes] = []

        async def answer_early(reader, writer):
            number = len(streams)
            streams.append(b"")
            streams[number] = await reader.readuntil(b"\r\n\r\n")
            own = ECHO.replace(b"r1", b"r%d" % (number + 1))
            try:
                writer.write(whole(b"early", own))
                await writer.drain()
                await asyncio.sleep(0.2)
                while chunk := await asyncio.wait_for(reader.read(65536), 0.3):
                    streams[number] += chunk
            except (TimeoutError, ConnectionError):
                pass  # the client has closed the connection

        async with ScriptedServer() as server:
            server._server.close()
            address = free_address()
            early = ConnectionServer(answer_early)  # ends its connections before the loop does
            host, port = address.split(":")
            await early.start(host, int(port))
            self.addAsyncCleanup(early.close)
            server.instance = replace(server.instance, address=Address(address))
            body = b"b" * 8_000_000
            for number in (1, 2):
                try:
                    content = await self.fetch(server, request(number, body=body))
                except BrokenResponseError:
                    continue  # the response may also be abandoned
                self.assertEqual(b"early", content)
            await asyncio.sleep(0.7)
        self.assertEqual(2, len(streams))
        for stream in streams:
            _, _, sent = stream.partition(b"\r\n\r\n")
            self.assertEqual(1, stream.count(b"POST "))
            self.assertEqual(b"", sent.strip(b"b"))

    async def test_leaving_early_closes_the_connection(self):
        async with ScriptedServer(chunked(b"id: 1\ndata: a\n\n", end=False)) as server:
            self.servers = HttpServers()
            self.addAsyncCleanup(self.servers.close)
            async with self.servers.send(server.instance, request(1)) as answer:
                async for _ in answer.events():
                    break
            await asyncio.wait_for(server.closed.wait(), 0.25)

    async def test_request_is_not_sent_after_its_send_timeout_despite_a_freeze(self):
        original = CheckedConnector._create_connection

        async def freeze(self, *arguments):
            protocol = await original(self, *arguments)
            stand_still(0.15)
            return protocol

        async with ScriptedServer(whole(b"a", ECHO), whole(b"a", ECHO)) as server:
            with mock.patch.object(CheckedConnector, "_create_connection", freeze):
                with self.assertRaises(NotRunError) as caught:
                    await self.fetch(server, request(1, send_timeout=0.1))
                self.assertIs(NotRunReason.UNREACHABLE, caught.exception.reason)
                await asyncio.sleep(0.05)
                self.assertEqual([], server.heads)
                self.assertEqual(b"a", await self.fetch(server, request(1)))

    async def test_server_reports_how_long_it_stays_cold(self):
        cold = ECHO + b"Larkpost-Cold-Ms: 1500\r\n"
        async with ScriptedServer(whole(b"a", cold), whole(b"a", ECHO)) as server:
            self.servers = HttpServers()
            self.addAsyncCleanup(self.servers.close)
            for told in (1.5, None):
                async with self.servers.send(server.instance, request(1)) as answer:
                    self.assertEqual(told, answer.cold_left)
                    async for _ in answer.chunks():
                        pass
        full = b"HTTP/1.1 503 X\r\nLarkpost-Not-Executed: 1\r\nContent-Length: 0\r\n"
        async with ScriptedServer(full + cold + b"\r\n") as server:
            with self.assertRaises(NotRunError) as caught:
                await self.fetch(server, request(1))
        self.assertEqual(1.5, caught.exception.cold_left)

    async def test_stream_of_events_with_a_change_of_version(self):
        content = chunked(
            b"id: 1\ndata: a\n\nid: 2\nda",
            b"ta: b\ndata: c\n\n",
            b"larkpost-weight-versions: 7\nid: 3\ndata: d\n\n",
        )
        async with ScriptedServer(content) as server:
            found, error = await self.events(server, request(1))
        self.assertIsNone(error)
        self.assertEqual([1, 2, 3], [event.id for event in found])
        self.assertEqual([b"a", b"b\nc", b"d"], [event.data for event in found])
        self.assertEqual([None, None, 7], [event.version for event in found])

    async def test_stream_that_stops_within_an_event(self):
        for end in (True, False):
            content = chunked(b"id: 1\ndata: a\n\nid: 2\ndata: b", end=end)
            async with ScriptedServer(content) as server:
                found, error = await self.events(server, request(1))
            self.assertEqual([1], [event.id for event in found])
            self.assertIsInstance(error, BrokenResponseError)
