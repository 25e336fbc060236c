"""Tests of servers that send bytes without end, in a head or a body, on each path.

Guard against a call that takes memory without bound, holds the loop, or never ends.
"""

import asyncio
import itertools
import time
import tracemalloc
import unittest
from unittest import mock

from larkpost.common.clock import LoopClock
from larkpost.gateway.proxy.streamed_body import (
    MAX_LATE_BYTES,
    MAX_LATE_SECONDS,
    StreamedBody,
)
from larkpost.gateway.rollouts.progress import (
    MAX_OUTPUT_BYTES,
    MAX_OUTPUT_EVENTS,
    OversizedOutputError,
    Progress,
)
from larkpost.gateway.scaling.port import ScalingOutcome
from larkpost.gateway.servers.port import BrokenResponseError, Headers, OrderOutcome
from larkpost.gateway.store.port import RowKey, StoreUnavailableError, Transaction, WriteOutcome
from larkpost.gateway.usage.port import ReportOutcome
from larkpost.platform.duties import HttpDuties
from larkpost.platform.event_stream import MAX_EVENT_BYTES, EventDecoder
from larkpost.platform.store import HttpStore
from tests.hostile_servers import (
    BLOCK_BYTES,
    LATE_SECONDS,
    LEASE,
    ORDER,
    SCALING,
    TIMEOUT_SECONDS,
    USAGE,
    HostileServerCase,
)
from tests.platform_fleet import PlatformFleet, check_results, make_batch
from tests.scripted_engines import ScriptedResponse
from tests.test_platform_servers import ECHO, request
from tests.virtual import run

HEAD = b"HTTP/1.1 200 OK\r\n" + ECHO
BLOCK = b"x" * BLOCK_BYTES
CHUNK = b"%x\r\n%s\r\n" % (BLOCK_BYTES, BLOCK)
ENDLESS = {
    "chunked body": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "body until close": (HEAD + b"\r\n", BLOCK),
    "long body": (HEAD + b"Content-Length: 999999999999\r\n\r\n", BLOCK),
    "blank lines": (b"", b"\r\n" * 1000),
    "noise": (b"", BLOCK),
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "header line": (HEAD + b"X: ", BLOCK),
    "headers": (HEAD, b"X: y\r\n" * 1000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "chunk extension": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;", BLOCK),
}
MAX_TAKEN_BYTES = 16_000_000
"""Bytes that a server gets rid of, at most, in buffers of both systems and of the call."""
MAX_STORE_BYTES = 80_000_000
DAEMON_BYTES = 256_000_000
"""The users' bound of a daemon's memory."""
FOLLOWED_TABLES, READS_AT_ONCE = 3, 10
CALL_SECONDS = 4.0
SOON_SECONDS = 2.0
"""Time by which a call ends whose response is too long; far less than its own timeout."""


class EndlessResponseTest(HostileServerCase):
    """Calls to a server whose response does not end."""

    async def test_client_requests_end_with_the_timeout_of_their_route(self):
        for path, (name, answer) in itertools.product((b"/p/", b"/o/"), ENDLESS.items()):
            with self.subTest(path=path, answer=name):
                self.server.beginning, self.server.endless = answer
                started = time.monotonic()
                head, content, is_ended = await self.ask(path, TIMEOUT_SECONDS + 3.0)
                taken = time.monotonic() - started
                self.assertTrue(is_ended, f"still open after {taken:.1f} s")
                self.assertLess(taken, TIMEOUT_SECONDS + LATE_SECONDS)
                is_whole = content.endswith(b"0\r\n\r\n") and head.startswith(b"HTTP/1.1 200")
                self.assertFalse(is_whole, "it looks like a whole response")

    async def test_streams_without_events_end_by_their_timeout(self):
        for name in ("blank lines", "noise", "status line", "headers", "interim responses"):
            with self.subTest(answer=name):
                self.server.beginning, self.server.endless = ENDLESS[name]
                started = time.monotonic()
                head, _, is_ended = await self.ask(b"/s/", TIMEOUT_SECONDS + 3.0)
                self.assertTrue(is_ended)
                self.assertLess(time.monotonic() - started, TIMEOUT_SECONDS + LATE_SECONDS)
                self.assertFalse(head.startswith(b"HTTP/1.1 200"), head)

    async def test_events_without_end(self):
        for name in ("chunked body", "body until close", "long body"):
            with self.subTest(answer=name):
                self.server.beginning, self.server.endless = ENDLESS[name]
                self.server.sent = 0
                async with asyncio.timeout(CALL_SECONDS):
                    with self.assertRaises(BrokenResponseError):
                        async with self.servers.send(self.instance, request()) as response:
                            [event async for event in response.events()]
                self.assertLess(self.server.sent, MAX_TAKEN_BYTES)

    async def test_reports_and_orders(self):
        for name, answer in ENDLESS.items():
            with self.subTest(answer=name):
                beginning, self.server.endless = answer
                self.server.beginning = beginning.replace(ECHO, b"")  # not of an earlier request
                self.server.sent = 0
                started = time.monotonic()
                is_kept = name != "chunk extension"  # its bytes are dropped until the call's end
                seconds = CALL_SECONDS if is_kept else TIMEOUT_SECONDS
                self.assertIsNone(await self.servers.report(self.instance, seconds))
                self.assertLess(time.monotonic() - started, SOON_SECONDS)
                outcome = await self.servers.order(self.instance, ORDER, seconds)
                self.assertIs(OrderOutcome.UNKNOWN, outcome)
                self.assertLess(time.monotonic() - started, 2 * SOON_SECONDS)
                if is_kept:
                    self.assertLess(self.server.sent, MAX_TAKEN_BYTES)

    async def test_calls_to_the_store_or_a_peer(self):
        store = HttpStore(self.own, 65536)
        self.addAsyncCleanup(store.close)
        change = Transaction(puts=((RowKey("t", "p", "k"), b"v"),))
        for name, answer in ENDLESS.items():
            with self.subTest(answer=name):
                self.server.beginning, self.server.endless = answer
                self.server.sent = 0
                started = time.monotonic()
                with self.assertRaises(StoreUnavailableError):
                    await store.read("t", "p")
                result = await store.write(change, TIMEOUT_SECONDS)
                self.assertIs(WriteOutcome.UNKNOWN, result.outcome)
                self.assertLess(time.monotonic() - started, CALL_SECONDS)
                if "body" in name:
                    self.assertLess(self.server.sent, 2 * MAX_STORE_BYTES)

    async def test_all_calls_to_the_store_at_once_fit_into_memory(self):
        store = HttpStore(self.own, 65536)
        self.addAsyncCleanup(store.close)
        change = Transaction(puts=((RowKey("t", "p", "k"), b"v"),))
        self.server.beginning, self.server.endless = ENDLESS["body until close"]
        calls = [store.changes("t", 1, TIMEOUT_SECONDS) for _ in range(FOLLOWED_TABLES)]
        calls += [store.read("t", "p") for _ in range(READS_AT_ONCE)]
        calls += [store.write(change, CALL_SECONDS) for _ in range(READS_AT_ONCE)]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        await asyncio.gather(*calls, return_exceptions=True)
        self.assertLess(tracemalloc.get_traced_memory()[1], DAEMON_BYTES)

    async def test_usage_reports_and_scaling_orders(self):
        duties = HttpDuties(self.own)
        self.addAsyncCleanup(duties.close)
        for name, answer in ENDLESS.items():
            with self.subTest(answer=name):
                self.server.beginning, self.server.endless = answer
                self.server.sent = 0
                started = time.monotonic()
                is_kept = name != "chunk extension"  # its bytes are dropped until the call's end
                seconds = CALL_SECONDS if is_kept else TIMEOUT_SECONDS
                reported = await duties.report_usage(USAGE, "daemon", LEASE, seconds)
                self.assertIs(ReportOutcome.UNKNOWN, reported)
                self.assertLess(time.monotonic() - started, SOON_SECONDS)
                ordered = await duties.order_servers(SCALING, "daemon", LEASE, seconds)
                self.assertIs(ScalingOutcome.UNKNOWN, ordered)
                self.assertLess(time.monotonic() - started, 2 * SOON_SECONDS)
                if is_kept:
                    self.assertLess(self.server.sent, MAX_TAKEN_BYTES)


class EndlessEventsTest(unittest.TestCase):
    """Events that do not end, or that are too many."""

    def test_event_without_an_end_is_refused(self):
        decoder = EventDecoder()
        fed = 0
        with self.assertRaises(ValueError):
            while fed < 3 * MAX_EVENT_BYTES:
                list(decoder.feed(BLOCK))
                fed += len(BLOCK)
        self.assertLessEqual(fed, MAX_EVENT_BYTES)

    def test_bytes_are_searched_once(self):
        decoder = EventDecoder()
        for size in range(0, MAX_EVENT_BYTES, BLOCK_BYTES):
            list(decoder.feed(BLOCK))
            self.assertEqual(size + BLOCK_BYTES - 1, decoder._searched)

    def test_blank_lines_are_not_kept(self):
        decoder = EventDecoder()
        for _ in range(50):
            self.assertEqual([], list(decoder.feed(b"\r\n" * (BLOCK_BYTES // 2))))
        self.assertFalse(decoder.has_partial_event)

    def test_output_is_bounded_in_bytes_and_events(self):
        item = make_batch(items=1).items[0]
        for data, most in ((BLOCK, MAX_OUTPUT_BYTES // BLOCK_BYTES), (b"", MAX_OUTPUT_EVENTS)):
            progress = Progress(item)
            for number in range(most):
                progress.take(number, data, 1)
            with self.assertRaises(OversizedOutputError):
                progress.take(most, data, 1)


class StreamedBodyTest(unittest.TestCase):
    """Bodies that are passed on to a client that takes a while for each chunk."""

    async def read(
        self, chunks: int | None, seconds: float = 0.01, headers: Headers = ()
    ) -> tuple[int, bool]:
        """Reads a body whose bytes are always there; returns its bytes and whether it is whole.

        Args:
            chunks: number of chunks; None for a body without end.
            seconds: time that the client takes for a chunk.
        """
        clock = LoopClock()

        async def rest():
            for _ in itertools.count() if chunks is None else range(chunks):
                yield BLOCK

        attempts = mock.Mock()
        attempts.waiter.deadlines.expires_at = clock.now() + TIMEOUT_SECONDS
        response = mock.Mock(rest=rest(), headers=headers)
        size = 0
        try:
            async for chunk in StreamedBody(response, attempts, mock.Mock(), clock):
                size += len(chunk)
                await clock.sleep(seconds)  # the client takes it
        except BrokenResponseError:
            return size, False
        return size, True

    def test_body_without_end_is_cut_after_the_deadline(self):
        size, is_whole = run(self.read(None))
        self.assertFalse(is_whole)
        in_time = TIMEOUT_SECONDS / 0.01 * BLOCK_BYTES
        self.assertLessEqual(size, in_time + MAX_LATE_BYTES + BLOCK_BYTES)

    def test_body_without_end_is_cut_soon_after_the_deadline_of_a_slow_client(self):
        """A limit in bytes alone would leave it open for minutes."""

        async def seconds(headers: Headers) -> float:
            began = asyncio.get_running_loop().time()
            _, is_whole = await self.read(None, 0.5, headers)
            self.assertFalse(is_whole)
            return asyncio.get_running_loop().time() - began

        longer = ((b"Content-Length", b"999999999999"),)
        for headers in ((), longer, ((b"content-length", b"x"),)):
            with self.subTest(headers=headers):
                limit = TIMEOUT_SECONDS + MAX_LATE_SECONDS + 0.5
                self.assertLessEqual(run(seconds(headers)), limit)

    def test_client_may_take_a_body_of_a_declared_length_as_slowly(self):
        headers = ((b"Content-Length", b"%d" % (60 * BLOCK_BYTES)),)
        self.assertEqual((60 * BLOCK_BYTES, True), run(self.read(60, 0.5, headers)))

    def test_client_may_take_a_large_body_slowly(self):
        chunks = MAX_LATE_BYTES // BLOCK_BYTES
        self.assertEqual((chunks * BLOCK_BYTES, True), run(self.read(chunks)))


class EndlessBatchTest(unittest.TestCase):
    """Fleets with one server that sends without end; the others serve."""

    def test_item_goes_on_at_another_engine(self):
        async def play():
            fleet = PlatformFleet(gateways=1, engines=2)
            await fleet.wait(1.0)
            sick = fleet.model_engines()[0]
            with mock.patch.object(ScriptedResponse, "events", _endless_events(sick)):
                spec = make_batch(items=4)
                await fleet.submit(spec)
                await fleet.wait(10.0)
            check_results(self, spec, fleet.stored_results(spec.id))

        run(play())

    def test_reward_call_goes_on_at_another_server(self):
        async def play():
            fleet = PlatformFleet(gateways=1, engines=2, scorers=2)
            await fleet.wait(1.0)
            sick = fleet.scorers()[0]
            with mock.patch.object(ScriptedResponse, "chunks", _endless_chunks(sick)):
                spec = make_batch(items=4, scored=True)
                await fleet.submit(spec)
                await fleet.wait(10.0)
            check_results(self, spec, fleet.stored_results(spec.id))

        run(play())


def _endless_events(sick):
    """Returns events that do not end at one engine, each in its turn."""
    usual = ScriptedResponse.events

    async def events(self):
        async for event in usual(self):
            yield event
        while self._state is sick:
            await self._clock.sleep(0.0001)
            yield type(event)(event.id + 1, b"x" * 1000, b"", None)
            event = type(event)(event.id + 1, b"", b"", None)

    return events


def _endless_chunks(sick):
    """Returns a body that does not end at one server."""
    usual = ScriptedResponse.chunks

    async def chunks(self):
        async for chunk in usual(self):
            yield chunk
        while self._state is sick:
            await self._clock.sleep(0.00001)
            yield BLOCK

    return chunks
