"""Tests of slow clients: how far responses are read ahead, and when clients are disconnected.

Connections are fakes in virtual time; each client reads at a fixed rate.
"""

import asyncio
import contextlib
import unittest
from collections import deque
from contextlib import aclosing

from larkpost.common.clock import LoopClock
from larkpost.gateway.memory.budget import (
    MIN_RESPONSE_LIMIT_BYTES,
    RESPONSE_LIMIT_DIVISOR,
    MemoryBudgetError,
    MemoryPurpose,
)
from larkpost.gateway.memory.daemon_memory import DaemonMemory, DisconnectReason
from larkpost.gateway.memory.delivery import Delivery, SlowClientError
from larkpost.gateway.memory.read_ahead import MAX_PAUSED_READ_SECONDS, BufferedBody, read_ahead
from larkpost.gateway.memory.slow_clients import MIN_SLOW_SECONDS, STALLED_SECONDS
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.servers.port import BrokenResponseError
from tests import virtual
from tests.recording_log import RecordingLog

MB = 1_000_000
CHUNK = b"x" * 50_000
HIGH_BYTES = 64_000
LOW_BYTES = 16_000
STEP_SECONDS = 0.01


class FakeConnection:
    """A connection whose client reads at a fixed rate; has water marks like an event loop's."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.unsent = 0
        self.is_full = False
        self.is_disconnected = False
        self.is_serving = True

    def write(self, size: int) -> None:
        """Writes bytes to the connection."""
        self.unsent += size
        self._settle()

    async def wait_until_writable(self, seconds: float) -> None:
        """Waits until it is not full, for at most ``seconds``."""
        left = seconds
        while self.is_full and left > 0:
            await asyncio.sleep(STEP_SECONDS)
            left -= STEP_SECONDS

    async def take(self) -> None:
        """Lets the client read until cancelled."""
        while True:
            await asyncio.sleep(STEP_SECONDS)
            self.unsent = max(0, self.unsent - int(self.rate * STEP_SECONDS))
            self._settle()

    def disconnect(self) -> None:
        """Closes the connection."""
        self.is_disconnected = True
        self.unsent = 0
        self._settle()

    def _settle(self) -> None:
        if self.unsent > HIGH_BYTES:
            self.is_full = True
        elif self.unsent <= LOW_BYTES:
            self.is_full = False


class Server:
    """Sends a response chunk by chunk, as the chunks are requested."""

    def __init__(self, chunks: int, error: Exception | None = None) -> None:
        self.chunks = chunks
        self.error = error
        self.sent = 0
        self.sent_at = 0.0

    async def answer(self):
        """Yields the body."""
        for _ in range(self.chunks):
            self.sent += 1
            self.sent_at = asyncio.get_running_loop().time()
            yield CHUNK
        if self.error is not None:
            raise self.error


class Relay:
    """Delivery of one response from a server to a client."""

    def __init__(self, memory: DaemonMemory, server: Server, connection: FakeConnection) -> None:
        self.memory = memory
        self.server = server
        self.connection = connection
        self.taken = 0
        self.largest = 0

    async def run(self) -> None:
        """Streams the response as the ingress does."""
        taking = asyncio.create_task(self.connection.take())
        try:
            with (
                self.memory.request() as request,
                self.memory.delivery(self.connection, request) as delivery,
            ):
                await self.relay_call(
                    BufferedBody(self.server.answer(), request.reserve(MemoryPurpose.STREAMS)),
                    delivery,
                )
        finally:
            taking.cancel()

    async def relay_call(self, answer: BufferedBody, delivery: Delivery) -> None:
        """Writes each chunk once the connection is writable."""
        async with aclosing(read_ahead(answer, delivery, self.memory)) as parts:
            async for part in parts:
                await delivery.wait_until_writable()
                self.largest = max(self.largest, self.memory.budget.total)
                delivery.record_written(len(part))
                self.connection.write(len(part))
                self.taken += len(part)


class SlowClientTest(unittest.TestCase):
    """A budget of 8 MB, so that one response may be read ahead by 1 MB at first."""

    def setUp(self):
        self.log = RecordingLog()
        self.memory = DaemonMemory(8 * MB, Instruments(LoopClock(), self.log))

    def lines(self, event: Event) -> list[dict]:
        """Returns the log fields of all events of one type."""
        return [fields for known, fields in self.log.events if known is event]

    def test_client_that_keeps_up_has_nothing_read_ahead(self):
        relay = Relay(self.memory, Server(100), FakeConnection(rate=10**9))
        virtual.run(self.with_pauses(relay))
        self.assertEqual((100 * len(CHUNK), 0), (relay.taken, relay.largest))

    async def with_pauses(self, relay: Relay) -> None:
        """Streams a response whose server pauses between chunks."""
        plain = relay.server.answer

        async def paced():
            async for chunk in plain():
                yield chunk
                await asyncio.sleep(2 * STEP_SECONDS)

        relay.server.answer = paced
        await relay.run()

    def test_slow_client_gets_all_and_its_server_is_read_ahead(self):
        relay = Relay(self.memory, Server(60), FakeConnection(rate=500_000))
        virtual.run(relay.run())
        self.assertEqual(60 * len(CHUNK), relay.taken)
        self.assertGreater(relay.largest, MB // 2)
        self.assertLessEqual(relay.largest, 8 * MB // RESPONSE_LIMIT_DIVISOR)
        self.assertEqual(0, self.memory.budget.total)

    def test_without_a_limit_nothing_is_read_ahead(self):
        self.memory = DaemonMemory(None, Instruments(LoopClock(), self.log))
        relay = Relay(self.memory, Server(60), FakeConnection(rate=500_000))
        virtual.run(relay.run())
        self.assertEqual((60 * len(CHUNK), 0), (relay.taken, relay.largest))

    def test_broken_response_breaks_after_the_chunks_read(self):
        relay = Relay(self.memory, Server(15, BrokenResponseError("lost")), FakeConnection(200_000))
        with self.assertRaises(BrokenResponseError):
            virtual.run(relay.run())
        self.assertEqual(15 * len(CHUNK), relay.taken)
        self.assertEqual(0, self.memory.budget.total)

    def test_client_that_reads_nothing_is_disconnected(self):
        relay = Relay(self.memory, Server(100), FakeConnection(rate=0))

        async def play():
            began = asyncio.get_running_loop().time()
            with self.assertRaises(SlowClientError):
                await relay.run()
            return asyncio.get_running_loop().time() - began

        seconds = virtual.run(play())
        self.assertTrue(relay.connection.is_disconnected)
        self.assertLess(seconds, STALLED_SECONDS + 1)
        self.assertEqual(0, self.memory.budget.total)
        self.assertEqual(
            [DisconnectReason.STALLED], [line["reason"] for line in self.lines(Event.READER_CUT)]
        )

    def test_server_is_read_beyond_the_limit_while_memory_is_free(self):
        """While a client pauses, its server is read a little every two seconds."""
        server = Server(1000)
        relay = Relay(self.memory, server, FakeConnection(rate=0))

        async def play():
            running = asyncio.create_task(relay.run())
            longest = 0.0
            while not running.done():
                await asyncio.sleep(STEP_SECONDS)
                longest = max(longest, asyncio.get_running_loop().time() - server.sent_at)
            await asyncio.gather(running, return_exceptions=True)
            return longest

        self.assertLess(virtual.run(play()), MAX_PAUSED_READ_SECONDS + 0.5)

    def test_client_that_reads_a_little_is_not_disconnected(self):
        """It reads 1 kB/s for longer than the stall timeout."""
        relay = Relay(self.memory, Server(3), FakeConnection(rate=1000))

        async def play():
            running = asyncio.create_task(relay.run())
            await asyncio.sleep(3 * STALLED_SECONDS)
            self.assertFalse(relay.connection.is_disconnected)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

        virtual.run(play())
        self.assertEqual([], self.lines(Event.READER_CUT))

    def test_slowest_client_is_disconnected_if_a_server_stays_unread(self):
        """The budget is full; one client reads 200 kB/s, the other 2 kB/s."""
        held = self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES)
        held.force_grow(8 * MB)
        slow = Relay(self.memory, Server(1000), FakeConnection(rate=2_000))
        fast = Relay(self.memory, Server(100), FakeConnection(rate=200_000))

        async def play():
            tasks = [asyncio.create_task(relay.run()) for relay in (slow, fast)]
            async with asyncio.timeout(STALLED_SECONDS):
                while not slow.connection.is_disconnected:
                    await asyncio.sleep(STEP_SECONDS)
            seconds = asyncio.get_running_loop().time()
            outcomes = await asyncio.gather(*tasks, return_exceptions=True)
            return seconds, outcomes

        seconds, outcomes = virtual.run(play())
        self.assertLess(seconds, 2 * (MAX_PAUSED_READ_SECONDS + MIN_SLOW_SECONDS))
        self.assertIsInstance(outcomes[0], SlowClientError)
        self.assertEqual((None, 100 * len(CHUNK)), (outcomes[1], fast.taken))
        (line,) = self.lines(Event.READER_CUT)
        self.assertEqual(DisconnectReason.SLOWEST, line["reason"])

    def test_forty_slow_clients_stay_within_the_budget_and_get_their_responses(self):
        """40 responses of 3 MB, 15 times the budget, to clients that read 500 kB/s."""
        relays = [Relay(self.memory, Server(60), FakeConnection(500_000)) for _ in range(40)]

        async def play():
            await asyncio.gather(*(relay.run() for relay in relays))

        virtual.run(play())
        self.assertEqual({60 * len(CHUNK)}, {relay.taken for relay in relays})
        largest = max(relay.largest for relay in relays)
        self.assertLessEqual(largest, 8 * MB + 40 * MIN_RESPONSE_LIMIT_BYTES)

    def test_rejected_body_disconnects_a_slow_client(self):
        relay = Relay(self.memory, Server(1000), FakeConnection(rate=2_000))

        async def play():
            running = asyncio.create_task(relay.run())
            await asyncio.sleep(MIN_SLOW_SECONDS + 1)
            self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES, 6 * MB)
            with self.assertRaises(MemoryBudgetError):
                self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES, 2 * MB)
            self.assertTrue(relay.connection.is_disconnected)
            await asyncio.gather(running, return_exceptions=True)
            self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES, 2 * MB)

        virtual.run(play())

    def test_rejected_body_disconnects_no_client_in_vain(self):
        """One body never fits; another would not fit even after the disconnect."""
        relay = Relay(self.memory, Server(1000), FakeConnection(rate=2_000))

        async def play():
            running = asyncio.create_task(relay.run())
            await asyncio.sleep(MIN_SLOW_SECONDS + 1)
            with self.assertRaises(MemoryBudgetError):
                self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES, 8 * MB + 1)
            self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES, 6 * MB)
            with self.assertRaises(MemoryBudgetError):
                self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES, 3 * MB)
            self.assertFalse(relay.connection.is_disconnected)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

        virtual.run(play())

    def test_client_that_has_read_everything_is_not_slow(self):
        """It was slow, has read everything by now, and its server pauses."""

        async def play():
            connection = FakeConnection(rate=0)
            with (
                self.memory.request() as request,
                self.memory.delivery(connection, request) as delivery,
            ):
                request.reserve(MemoryPurpose.STREAMS, MB)
                delivery.record_written(2 * HIGH_BYTES)
                connection.write(2 * HIGH_BYTES)
                waiting = asyncio.create_task(delivery.wait_until_writable())
                await asyncio.sleep(MIN_SLOW_SECONDS / 2)
                connection.rate = 10**9
                await asyncio.gather(read_for_a_moment(connection), waiting)
                await asyncio.sleep(2 * MIN_SLOW_SECONDS)
                self.memory.disconnect_slowest()
                self.assertFalse(connection.is_disconnected)
                self.assertEqual(0.0, delivery.read_rate().seconds)

        async def read_for_a_moment(connection):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(5 * STEP_SECONDS):
                    await connection.take()

        virtual.run(play())
        self.assertEqual([], self.lines(Event.READER_CUT))

    def test_client_is_not_stalled_while_its_next_request_is_served(self):
        """The client reads nothing; it is not disconnected while its next request is served."""

        async def play():
            connection = FakeConnection(rate=0)
            with (
                self.memory.request() as request,
                self.memory.delivery(connection, request) as delivery,
            ):
                request.reserve(MemoryPurpose.RESPONSES, MB)
                delivery.record_written(2 * HIGH_BYTES)
                connection.write(2 * HIGH_BYTES)
                connection.is_serving = False
                waiting = asyncio.create_task(delivery.wait_until_drained())
                await asyncio.sleep(STALLED_SECONDS - 1)
                connection.is_serving = True
                self.memory.disconnect_slowest()
                await waiting
                await asyncio.sleep(STALLED_SECONDS)
                self.assertFalse(connection.is_disconnected)

        virtual.run(play())
        self.assertEqual([], self.lines(Event.READER_CUT))

    def test_rest_of_the_previous_response_counts_as_read(self):
        async def play():
            connection = FakeConnection(rate=0)
            connection.write(2 * HIGH_BYTES)
            with (
                self.memory.request() as request,
                self.memory.delivery(connection, request) as delivery,
            ):
                waiting = asyncio.create_task(delivery.wait_until_writable())
                await asyncio.sleep(1)
                connection.unsent -= HIGH_BYTES
                self.assertEqual(HIGH_BYTES, delivery.read_rate().bytes_read)
                waiting.cancel()

        virtual.run(play())

    def test_buffered_chunks_go_first(self):
        memory = self.memory

        async def play():
            connection = FakeConnection(rate=10**9)
            with memory.request() as request, memory.delivery(connection, request) as delivery:
                held = request.reserve(MemoryPurpose.RESPONSES, 2)
                answer = BufferedBody(Server(1).answer(), held, deque([b"a", b"b"]))
                async with aclosing(read_ahead(answer, delivery, memory)) as parts:
                    return [part async for part in parts]

        self.assertEqual([b"a", b"b", CHUNK], virtual.run(play()))


if __name__ == "__main__":
    unittest.main()
