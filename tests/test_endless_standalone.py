"""Tests of engines, daemons and a platform that send bytes without end to the standalone program.

Guard against a call that takes memory without bound, or never ends.
"""

import asyncio
import time

import aiohttp

from larkpost.common.errors import PlatformError
from larkpost.common.ids import AttemptId, DaemonId, RequestId
from larkpost.standalone.engines.http_adapter import HttpEnginePort
from larkpost.standalone.engines.port import (
    EngineOutcomeUnknownError,
    GenerateRequest,
    Order,
    OrderKind,
)
from larkpost.standalone.table_service.http_adapter import HttpPlatform
from larkpost.standalone.wire.http_peer import HttpPeerTransport, TelemetrySource
from larkpost.standalone.wire.peer import PeerError, PeerMethod
from tests.hostile_servers import BLOCK_BYTES, HostileServerCase

HEAD = b"HTTP/1.1 200 OK\r\n"
ERROR_HEAD = b"HTTP/1.1 500 Error\r\n"
BLOCK = b"x" * BLOCK_BYTES
ENDLESS_HEADS = {
    "blank lines": (b"", b"\r\n" * 1000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
}
ENDLESS_BODIES = {
    "body without lines": (HEAD + b"\r\n", BLOCK),
    "body of lines": (HEAD + b"\r\n", b"noise\n" * 10_000),
    "body of an error": (ERROR_HEAD + b"\r\n", BLOCK),
}
REQUEST = GenerateRequest(RequestId("r"), AttemptId("a"), "prompt", 8, 0)
CHUNK_SECONDS = 1.0
CALL_SECONDS = 4.0
SOON_SECONDS = 2.0
"""Time by which a call ends whose body is too long; less than its own timeout."""
MAX_TAKEN_BYTES = 16_000_000
"""Bytes that an engine gets rid of, at most, in buffers of both systems and of the call."""
MAX_CONTROL_BYTES = 80_000_000


class EndlessStandaloneTest(HostileServerCase):
    """Calls to a server whose response does not end."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.engines = HttpEnginePort(self.session)

    def begin(self, answer: tuple[bytes, bytes]) -> float:
        """Sets the server's next answers, and returns the time."""
        self.server.beginning, self.server.endless = answer
        self.server.sent = 0
        return time.monotonic()

    async def test_attempts_end_with_an_unknown_outcome(self):
        for name, answer in (ENDLESS_HEADS | ENDLESS_BODIES).items():
            for is_resumed in (False, True):
                with self.subTest(answer=name, is_resumed=is_resumed):
                    started = self.begin(answer)
                    if is_resumed:
                        chunks = self.engines.resume(self.own, AttemptId("a"), 0, CHUNK_SECONDS)
                    else:
                        chunks = self.engines.generate(
                            self.own, REQUEST, CHUNK_SECONDS, lambda: True
                        )
                    with self.assertRaises(EngineOutcomeUnknownError):
                        await self.read_for(CALL_SECONDS, chunks)
                    self.assertLess(time.monotonic() - started, SOON_SECONDS)
                    if "body" in name:
                        self.assertLess(self.server.sent, MAX_TAKEN_BYTES)

    async def read_for(self, seconds: float, chunks) -> None:
        """Reads chunks to their end, for some seconds at most."""
        reading = asyncio.ensure_future(self.read(chunks))
        await asyncio.wait({reading}, timeout=seconds)
        if not reading.done():
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)
            self.fail("the attempt does not end")
        await reading

    async def read(self, chunks) -> None:
        """Reads chunks to their end."""
        async for _ in chunks:
            pass

    async def test_reports_and_orders(self):
        order = Order(OrderKind.CLAIM, DaemonId("d"), 2)
        for name, answer in ENDLESS_BODIES.items():
            with self.subTest(answer=name):
                started = self.begin(answer)
                with self.assertRaises(EngineOutcomeUnknownError):
                    await self.engines.report(self.own, CALL_SECONDS)
                with self.assertRaises(EngineOutcomeUnknownError):
                    await self.engines.order(self.own, order, CALL_SECONDS)
                await self.check_cancel()
                self.assertLess(time.monotonic() - started, SOON_SECONDS)
                self.assertLess(self.server.sent, 3 * MAX_TAKEN_BYTES)

    async def check_cancel(self) -> None:
        """Checks that a cancellation ends with an unknown outcome."""
        with self.assertRaises(EngineOutcomeUnknownError):
            await self.engines.cancel(self.own, AttemptId("a"))

    async def test_calls_to_a_peer(self):
        peers = HttpPeerTransport(self.session, TelemetrySource())
        for name, answer in ENDLESS_BODIES.items():
            with self.subTest(answer=name):
                started = self.begin(answer)
                with self.assertRaises(PeerError):
                    await peers.request(self.own, PeerMethod.SYNC_FACTS, b"", CALL_SECONDS)
                self.assertLess(time.monotonic() - started, SOON_SECONDS)
                self.assertLess(self.server.sent, MAX_CONTROL_BYTES)

    async def test_calls_to_the_platform(self):
        platform = HttpPlatform(self.session, self.own)
        for name, answer in ENDLESS_BODIES.items():
            with self.subTest(answer=name):
                started = self.begin(answer)
                with self.assertRaises(PlatformError):
                    await platform.read("key", CALL_SECONDS)
                self.assertLess(time.monotonic() - started, SOON_SECONDS)
                self.assertLess(self.server.sent, MAX_CONTROL_BYTES)
