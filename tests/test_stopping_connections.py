"""Tests of kept connections during a planned stop.

Guard against requests that are taken when they can no longer be finished, and cut by the end of the
process.
"""

import asyncio
import unittest
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from larkpost.common.clock import LoopClock
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
from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.graceful_shutdown import GracefulShutdown, ShutdownSteps
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.proxy.admission import Admission
from larkpost.gateway.proxy.request import WholeResponse
from larkpost.platform.http_protocol import Listener
from larkpost.platform.idle_connections import close_idle_while_stopping
from larkpost.platform.ingress import Ingress
from larkpost.rehearsal.processes import free_address
from tests.recording_log import RecordingLog

PAGES = ServiceName("pages")
GRACE_SECONDS = 4.0
EXEMPT_SECONDS = 3.0
"""The users let a request be cut that was sent within this time after SIGTERM, if a server still
works on it in the last sixth of the grace time."""
STREAM_SECONDS, EVENT_SECONDS = 1.2, 0.1
CLIENTS, GAP_SECONDS = 14, 0.25


def route(prefix: bytes, kind: RouteKind, seconds: float) -> Route:
    """Returns a route whose requests may take some seconds."""
    return Route(
        prefix.decode(), "pages.example", prefix, kind, (ServiceShare(PAGES, 1.0),), seconds, 0.2
    )


CONFIGURATION = Configuration(
    1,
    (
        route(b"/short/", RouteKind.IDEMPOTENT, 0.5),
        route(b"/long/", RouteKind.RUN_ONCE, 10.0),
        route(b"/stream/", RouteKind.STREAM, 10.0),
        route(b"/batch/", RouteKind.BATCH, 10.0),
    ),
    {PAGES: Service(PAGES, 10)},
    RequestLimits(),
)


class TimedForwarder:
    """Serves requests itself: each takes as long as its path says, in milliseconds."""

    def __init__(self) -> None:
        self.ran: set[bytes] = set()

    async def forward(self, request, _route):
        """Responds to a request."""
        self.ran.add(request.request_id)
        await asyncio.sleep(int(request.target.rpartition(b"/")[2]) / 1000)
        return WholeResponse(200, ((b"larkpost-attempt-id", request.request_id),), b"whole")

    @asynccontextmanager
    async def stream(self, request, _route):
        """Responds with a stream."""
        self.ran.add(request.request_id)
        yield TimedStream(int(request.target.rpartition(b"/")[2]) / 1000)


class TimedStream:
    """A stream that takes some seconds."""

    status = 200
    headers = ((b"Content-Type", b"text/event-stream"),)

    def __init__(self, seconds: float) -> None:
        self._events = round(seconds / EVENT_SECONDS)

    async def chunks(self):
        """Yields the body."""
        for number in range(self._events):
            await asyncio.sleep(EVENT_SECONDS)
            yield b"id: %d\ndata: a\n\n" % number


class SilentBatches:
    """The batch calls of a daemon whose store answers nothing."""

    async def submit(self, _spec):
        """Waits for the store."""
        await asyncio.sleep(60)

    async def read(self, *_):
        """Waits for results."""
        await asyncio.sleep(60)

    async def end(self, *_):
        """Waits for the store."""
        await asyncio.sleep(60)


@dataclass(slots=True)
class Exchange:
    """A request on a connection; times are seconds after the stop request.

    Attributes:
        status: status of the complete response; None if there was none.
        closed: whether the connection was closed after it.
    """

    name: bytes
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int | None = None
    closed: bool = False
    content: bytes = field(default=b"", repr=False)


class Client:
    """A client's kept connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    async def is_closed(self, seconds: float) -> bool:
        """Returns whether the daemon closes the idle connection within some seconds."""
        try:
            async with asyncio.timeout(seconds):
                return await self._reader.read(1) == b""
        except TimeoutError:
            return False
        except ConnectionError:
            return True

    async def ask(
        self, exchange: Exchange, target: bytes, body: bytes = b"", method: bytes = b"POST"
    ) -> None:
        """Sends a request and reads its response."""
        head = b"%b %b HTTP/1.1\r\nHost: pages.example\r\nLarkpost-Attempt-Id: %b\r\n"
        self._writer.write(head % (method, target, exchange.name))
        self._writer.write(b"Larkpost-Deadline-Ms: 12000\r\nContent-Length: %d\r\n\r\n" % len(body))
        self._writer.write(body)
        try:
            await self._read(exchange)
        except (asyncio.IncompleteReadError, ConnectionError):
            exchange.closed = True

    async def _read(self, exchange: Exchange) -> None:
        head = await self._reader.readuntil(b"\r\n\r\n")
        exchange.closed = b"connection: close" in head.lower()
        if b"transfer-encoding: chunked" in head.lower():
            while (size := int(await self._reader.readuntil(b"\r\n"), 16)) > 0:
                await self._reader.readexactly(size + 2)
            await self._reader.readexactly(2)
        else:
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
            exchange.content = await self._reader.readexactly(length)
        exchange.status = int(head.split(b" ")[1])


class StoppingConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that stops while clients go on using their connections."""

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        configuration = ConfigurationState()
        configuration.update(CONFIGURATION)
        self.lifecycle = Lifecycle()
        self.lifecycle.informed = True
        self.log = RecordingLog()
        self.forwarder = TimedForwarder()
        admission = Admission(configuration, lambda: 0.0, lambda: 2.0, self.log, Metrics())
        batches = SilentBatches()
        ingress = Ingress(configuration, self.lifecycle, admission, self.forwarder, batches)
        address = Address(free_address())
        self.host, _, self.port = address.partition(":")
        self.listener = Listener(ingress, address, ingress.limits)
        await self.listener.start()
        self.stopped_at = self.loop.time()

    def now(self) -> float:
        """Returns the seconds since the stop request."""
        return self.loop.time() - self.stopped_at

    async def stop(self) -> None:
        """Stops the daemon as its process does."""
        self.stopped_at = self.loop.time()
        instruments = Instruments(LoopClock(), self.log, Metrics())

        async def nothing() -> None:
            """Saves nothing."""

        steps = ShutdownSteps((), nothing)
        closing = asyncio.create_task(close_idle_while_stopping(self.lifecycle, self.listener))
        await GracefulShutdown(self.lifecycle, instruments, steps, GRACE_SECONDS).run()
        closing.cancel()
        await self.listener.close()

    async def connect(self) -> Client:
        """Opens a connection on which one request has been answered."""
        client = Client(*await asyncio.open_connection(self.host, int(self.port)))
        self.addCleanup(client.close)
        first = Exchange(b"first")
        await client.ask(first, b"/short/1")
        self.assertEqual((200, False), (first.status, first.closed))
        return client

    async def ask(
        self,
        client: Client,
        name: str,
        target: bytes,
        body: bytes = b"",
        method: bytes = b"POST",
    ) -> Exchange:
        """Sends a request on a connection, and returns how it ended."""
        exchange = Exchange(name.encode(), sent_at=self.now())
        await client.ask(exchange, target, body, method)
        exchange.ended_at = self.now()
        return exchange

    def check_not_lost(self, exchanges: list[Exchange]) -> None:
        """Checks that each request that was read got a whole answer, and that a 503 is true."""
        for exchange in exchanges:
            has_run = exchange.name in self.forwarder.ran
            is_exempt = exchange.sent_at <= EXEMPT_SECONDS and (
                exchange.ended_at >= GRACE_SECONDS * 5 / 6
            )
            if exchange.status is None and not is_exempt:
                self.assertFalse(has_run, f"cut: {exchange}")
            if exchange.status == 503:
                self.assertFalse(has_run, f"a false promise: {exchange}")

    async def ask_in_turn(self, target: bytes) -> list[Exchange]:
        """Stops the daemon while clients ask one after the other on kept connections."""
        clients = [await self.connect() for _ in range(CLIENTS)]
        stopping = asyncio.create_task(self.stop())
        await asyncio.sleep(0)
        asking = []
        for number, client in enumerate(clients):
            asking.append(asyncio.create_task(self.ask(client, f"n{number}", target)))
            await asyncio.sleep(GAP_SECONDS)
        exchanges = await asyncio.gather(*asking)
        await stopping
        self.assertLess(self.now(), GRACE_SECONDS)
        return exchanges

    async def test_streams_on_kept_connections_are_not_cut(self) -> None:
        exchanges = await self.ask_in_turn(b"/stream/%d" % (STREAM_SECONDS * 1000))
        self.check_not_lost(exchanges)
        self.assertTrue(all(exchange.closed for exchange in exchanges))
        early = [exchange for exchange in exchanges if exchange.sent_at < 1.0]
        self.assertEqual({200}, {exchange.status for exchange in early})

    async def test_short_requests_are_served_as_long_as_they_surely_end(self) -> None:
        exchanges = await self.ask_in_turn(b"/short/400")
        self.check_not_lost(exchanges)
        self.assertEqual(
            {200}, {exchange.status for exchange in exchanges if exchange.sent_at < 2.0}
        )

    async def test_requests_that_last_longer_than_the_stop_get_an_answer(self) -> None:
        exchanges = await self.ask_in_turn(b"/long/9000")
        self.check_not_lost(exchanges)
        answered = {
            exchange.status for exchange in exchanges if exchange.name in self.forwarder.ran
        }
        self.assertEqual({504}, answered)

    async def test_idle_connections_are_closed_once_no_new_ones_come(self) -> None:
        busy, idle = await self.connect(), await self.connect()
        stopping = asyncio.create_task(self.stop())
        asking = asyncio.create_task(self.ask(busy, "busy", b"/stream/3200"))
        self.assertFalse(await idle.is_closed(2.0))
        self.assertTrue(await idle.is_closed(1.2))
        self.assertFalse(asking.done(), "closed only with the end of the stop")
        self.check_not_lost([await asking])
        await stopping

    async def test_body_that_ends_late_gets_a_true_refusal(self) -> None:
        client, busy = await self.connect(), await self.connect()
        stopping = asyncio.create_task(self.stop())
        asking = asyncio.create_task(self.ask(busy, "busy", b"/stream/3000"))
        client._writer.write(
            b"POST /long/100 HTTP/1.1\r\nHost: pages.example\r\nLarkpost-Attempt-Id: late\r\n"
            b"Content-Length: 2\r\n\r\na"
        )
        await asyncio.sleep(2.9)
        client._writer.write(b"b")
        late = Exchange(b"late", sent_at=self.now())
        await client._read(late)
        self.assertEqual((503, True), (late.status, late.closed))
        self.assertIn(b"stopping", late.content)
        self.check_not_lost([late, await asking])
        await stopping

    async def test_calls_about_batches_get_an_answer_though_the_store_is_silent(self) -> None:
        clients = [await self.connect() for _ in range(4)]
        spec = (
            b'{"step":1,"model":"m","desired":1,"min-version":1,"requests":[{"id":"i","path":'
            b'"/batch/1","headers":{},"body":"","tokens":1,"group":"g"}]}'
        )
        stopping = asyncio.create_task(self.stop())
        submitted, read, ended = await asyncio.gather(
            self.ask(clients[0], "s", b"/batch/s", spec),
            self.ask(clients[1], "r", b"/-/lots/r", method=b"GET"),
            self.ask(clients[2], "e", b"/-/lots/e", method=b"DELETE"),
        )
        self.assertEqual(
            (504, 503, 504), (submitted.status, read.status, ended.status), submitted.content
        )
        self.assertTrue(submitted.closed and read.closed and ended.closed)
        await stopping

    async def test_requests_sent_at_once_are_all_answered(self) -> None:
        reader, writer = await asyncio.open_connection(self.host, int(self.port))
        self.addCleanup(writer.close)
        stopping = asyncio.create_task(self.stop())
        await asyncio.sleep(0)
        for number in range(3):
            writer.write(
                b"POST /short/100 HTTP/1.1\r\nHost: pages.example\r\n"
                b"Larkpost-Attempt-Id: p%d\r\nContent-Length: 0\r\n\r\n" % number
            )
        received = await reader.read()
        self.assertEqual(3, received.count(b"200 OK"))
        self.assertEqual(1, received.lower().count(b"connection: close"))
        await stopping

    async def test_stream_that_ends_in_time_is_whole_and_closes_its_connection(self) -> None:
        client = await self.connect()
        stopping = asyncio.create_task(self.stop())
        exchange = await self.ask(client, "n", b"/stream/500")
        self.assertEqual((200, True), (exchange.status, exchange.closed))
        await stopping
        self.assertLess(self.now(), GRACE_SECONDS)
