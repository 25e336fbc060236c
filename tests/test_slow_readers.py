"""Clients that take their answers slowly: what is read ahead for them, and when they are cut.

Connections are fakes on virtual time; a client takes so many bytes a second.
"""

import asyncio
import contextlib
import unittest
from collections import deque
from contextlib import aclosing

from larkpost.common.clock import LoopClock
from larkpost.gateway.memory.budget import (
    ANSWER_LIMIT_DIVISOR,
    MIN_ANSWER_LIMIT_BYTES,
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


class FakeOutlet:
    """A connection whose client takes so many bytes a second; full as an event loop's is."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.unsent = 0
        self.is_full = False
        self.is_disconnected = False
        self.is_serving = True

    def give(self, size: int) -> None:
        """Gives the connection bytes."""
        self.unsent += size
        self._settle()

    async def wait_until_writable(self, seconds: float) -> None:
        """Waits until it is not full, at most so long."""
        left = seconds
        while self.is_full and left > 0:
            await asyncio.sleep(STEP_SECONDS)
            left -= STEP_SECONDS

    async def take(self) -> None:
        """Lets the client take, until it is cancelled."""
        while True:
            await asyncio.sleep(STEP_SECONDS)
            self.unsent = max(0, self.unsent - int(self.rate * STEP_SECONDS))
            self._settle()

    def disconnect(self) -> None:
        """Breaks the connection off."""
        self.is_disconnected = True
        self.unsent = 0
        self._settle()

    def _settle(self) -> None:
        if self.unsent > HIGH_BYTES:
            self.is_full = True
        elif self.unsent <= LOW_BYTES:
            self.is_full = False


class Server:
    """Sends an answer chunk by chunk, as soon as each is asked for."""

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
    """One answer on its way from a server to a client."""

    def __init__(self, memory: DaemonMemory, server: Server, outlet: FakeOutlet) -> None:
        self.memory = memory
        self.server = server
        self.outlet = outlet
        self.taken = 0
        self.largest = 0

    async def run(self) -> None:
        """Passes the answer on, as the ingress does."""
        taking = asyncio.create_task(self.outlet.take())
        try:
            with (
                self.memory.request() as request,
                self.memory.delivery(self.outlet, request) as delivery,
            ):
                await self.relay_call(
                    BufferedBody(self.server.answer(), request.reserve(MemoryPurpose.STREAMS)),
                    delivery,
                )
        finally:
            taking.cancel()

    async def relay_call(self, answer: BufferedBody, delivery: Delivery) -> None:
        """Gives the client each part once it has room."""
        async with aclosing(read_ahead(answer, delivery, self.memory)) as parts:
            async for part in parts:
                await delivery.wait_until_writable()
                self.largest = max(self.largest, self.memory.budget.total)
                delivery.record_written(len(part))
                self.outlet.give(len(part))
                self.taken += len(part)


class SlowReaderTest(unittest.TestCase):
    """A budget of 8 MB, so that one answer may be read ahead by 1 MB at first."""

    def setUp(self):
        self.log = RecordingLog()
        self.memory = DaemonMemory(8 * MB, Instruments(LoopClock(), self.log))

    def lines(self, event: Event) -> list[dict]:
        """Returns the fields of the lines of an event."""
        return [fields for known, fields in self.log.events if known is event]

    def test_client_that_keeps_up_has_nothing_read_ahead(self):
        relay = Relay(self.memory, Server(100), FakeOutlet(rate=10**9))
        virtual.run(self.with_pauses(relay))
        self.assertEqual((100 * len(CHUNK), 0), (relay.taken, relay.largest))

    async def with_pauses(self, relay: Relay) -> None:
        """Passes an answer on whose server makes a pause between its chunks."""
        plain = relay.server.answer

        async def paced():
            async for chunk in plain():
                yield chunk
                await asyncio.sleep(2 * STEP_SECONDS)

        relay.server.answer = paced
        await relay.run()

    def test_slow_client_gets_all_and_its_server_is_read_ahead_by_a_share(self):
        relay = Relay(self.memory, Server(60), FakeOutlet(rate=500_000))
        virtual.run(relay.run())
        self.assertEqual(60 * len(CHUNK), relay.taken)
        self.assertGreater(relay.largest, MB // 2)
        self.assertLessEqual(relay.largest, 8 * MB // ANSWER_LIMIT_DIVISOR)
        self.assertEqual(0, self.memory.budget.total)

    def test_without_a_limit_nothing_is_read_ahead(self):
        self.memory = DaemonMemory(None, Instruments(LoopClock(), self.log))
        relay = Relay(self.memory, Server(60), FakeOutlet(rate=500_000))
        virtual.run(relay.run())
        self.assertEqual((60 * len(CHUNK), 0), (relay.taken, relay.largest))

    def test_answer_that_breaks_off_breaks_off_after_what_was_read(self):
        relay = Relay(self.memory, Server(15, BrokenResponseError("lost")), FakeOutlet(200_000))
        with self.assertRaises(BrokenResponseError):
            virtual.run(relay.run())
        self.assertEqual(15 * len(CHUNK), relay.taken)
        self.assertEqual(0, self.memory.budget.total)

    def test_client_that_takes_nothing_is_let_go(self):
        relay = Relay(self.memory, Server(100), FakeOutlet(rate=0))

        async def play():
            began = asyncio.get_running_loop().time()
            with self.assertRaises(SlowClientError):
                await relay.run()
            return asyncio.get_running_loop().time() - began

        seconds = virtual.run(play())
        self.assertTrue(relay.outlet.is_disconnected)
        self.assertLess(seconds, STALLED_SECONDS + 1)
        self.assertEqual(0, self.memory.budget.total)
        self.assertEqual(
            [DisconnectReason.STALLED], [line["reason"] for line in self.lines(Event.READER_CUT)]
        )

    def test_server_stays_read_beyond_a_share_while_there_is_room(self):
        """A client that pauses: its server is asked for a little every two seconds."""
        server = Server(1000)
        relay = Relay(self.memory, server, FakeOutlet(rate=0))

        async def play():
            running = asyncio.create_task(relay.run())
            longest = 0.0
            while not running.done():
                await asyncio.sleep(STEP_SECONDS)
                longest = max(longest, asyncio.get_running_loop().time() - server.sent_at)
            await asyncio.gather(running, return_exceptions=True)
            return longest

        self.assertLess(virtual.run(play()), MAX_PAUSED_READ_SECONDS + 0.5)

    def test_client_that_takes_little_is_not_let_go(self):
        """1 kB a second, for longer than a client may take nothing."""
        relay = Relay(self.memory, Server(3), FakeOutlet(rate=1000))

        async def play():
            running = asyncio.create_task(relay.run())
            await asyncio.sleep(3 * STALLED_SECONDS)
            self.assertFalse(relay.outlet.is_disconnected)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

        virtual.run(play())
        self.assertEqual([], self.lines(Event.READER_CUT))

    def test_server_that_stays_unread_has_the_slowest_client_cut(self):
        """The budget is full but for a share; one client takes 200 kB a second, one 2 kB."""
        held = self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES)
        held.force_grow(8 * MB)
        slow = Relay(self.memory, Server(1000), FakeOutlet(rate=2_000))
        fast = Relay(self.memory, Server(100), FakeOutlet(rate=200_000))

        async def play():
            tasks = [asyncio.create_task(relay.run()) for relay in (slow, fast)]
            async with asyncio.timeout(STALLED_SECONDS):
                while not slow.outlet.is_disconnected:
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

    def test_forty_slow_clients_stay_within_the_budget_and_get_their_answers(self):
        """40 answers of 3 MB, 15 times the budget, to clients of 500 kB a second."""
        relays = [Relay(self.memory, Server(60), FakeOutlet(500_000)) for _ in range(40)]

        async def play():
            await asyncio.gather(*(relay.run() for relay in relays))

        virtual.run(play())
        self.assertEqual({60 * len(CHUNK)}, {relay.taken for relay in relays})
        largest = max(relay.largest for relay in relays)
        self.assertLessEqual(largest, 8 * MB + 40 * MIN_ANSWER_LIMIT_BYTES)

    def test_refused_body_has_a_slow_client_cut(self):
        relay = Relay(self.memory, Server(1000), FakeOutlet(rate=2_000))

        async def play():
            running = asyncio.create_task(relay.run())
            await asyncio.sleep(MIN_SLOW_SECONDS + 1)
            self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES, 6 * MB)
            with self.assertRaises(MemoryBudgetError):
                self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES, 2 * MB)
            self.assertTrue(relay.outlet.is_disconnected)
            await asyncio.gather(running, return_exceptions=True)
            self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES, 2 * MB)

        virtual.run(play())

    def test_refused_body_has_no_client_cut_whose_end_would_not_make_room(self):
        """One body that never fits, one that would not fit after the cut either."""
        relay = Relay(self.memory, Server(1000), FakeOutlet(rate=2_000))

        async def play():
            running = asyncio.create_task(relay.run())
            await asyncio.sleep(MIN_SLOW_SECONDS + 1)
            with self.assertRaises(MemoryBudgetError):
                self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES, 8 * MB + 1)
            self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES, 6 * MB)
            with self.assertRaises(MemoryBudgetError):
                self.memory.budget.reserve(MemoryPurpose.REQUEST_BODIES, 3 * MB)
            self.assertFalse(relay.outlet.is_disconnected)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

        virtual.run(play())

    def test_client_that_has_taken_everything_is_not_behind(self):
        """It was slow, has taken all by now, and its server sends nothing more for a while."""

        async def play():
            outlet = FakeOutlet(rate=0)
            with (
                self.memory.request() as request,
                self.memory.delivery(outlet, request) as delivery,
            ):
                request.reserve(MemoryPurpose.STREAMS, MB)
                delivery.record_written(2 * HIGH_BYTES)
                outlet.give(2 * HIGH_BYTES)
                waiting = asyncio.create_task(delivery.wait_until_writable())
                await asyncio.sleep(MIN_SLOW_SECONDS / 2)
                outlet.rate = 10**9
                await asyncio.gather(outlet_taken(outlet), waiting)
                await asyncio.sleep(2 * MIN_SLOW_SECONDS)
                self.memory.disconnect_slowest()
                self.assertFalse(outlet.is_disconnected)
                self.assertEqual(0.0, delivery.read_rate().seconds)

        async def outlet_taken(outlet):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(5 * STEP_SECONDS):
                    await outlet.take()

        virtual.run(play())
        self.assertEqual([], self.lines(Event.READER_CUT))

    def test_complete_answer_judges_no_client_whose_next_request_is_served(self):
        """The client takes nothing; its connection is not cut under the next request."""

        async def play():
            outlet = FakeOutlet(rate=0)
            with (
                self.memory.request() as request,
                self.memory.delivery(outlet, request) as delivery,
            ):
                request.reserve(MemoryPurpose.ANSWERS, MB)
                delivery.record_written(2 * HIGH_BYTES)
                outlet.give(2 * HIGH_BYTES)
                outlet.is_serving = False
                waiting = asyncio.create_task(delivery.wait_until_drained())
                await asyncio.sleep(STALLED_SECONDS - 1)
                outlet.is_serving = True
                self.memory.disconnect_slowest()
                await waiting
                await asyncio.sleep(STALLED_SECONDS)
                self.assertFalse(outlet.is_disconnected)

        virtual.run(play())
        self.assertEqual([], self.lines(Event.READER_CUT))

    def test_rest_of_the_answer_before_counts_as_taken(self):
        async def play():
            outlet = FakeOutlet(rate=0)
            outlet.give(2 * HIGH_BYTES)
            with (
                self.memory.request() as request,
                self.memory.delivery(outlet, request) as delivery,
            ):
                waiting = asyncio.create_task(delivery.wait_until_writable())
                await asyncio.sleep(1)
                outlet.unsent -= HIGH_BYTES
                self.assertEqual(HIGH_BYTES, delivery.read_rate().taken)
                waiting.cancel()

        virtual.run(play())

    def test_what_was_read_before_goes_first(self):
        memory = self.memory

        async def play():
            outlet = FakeOutlet(rate=10**9)
            with memory.request() as request, memory.delivery(outlet, request) as delivery:
                held = request.reserve(MemoryPurpose.ANSWERS, 2)
                answer = BufferedBody(Server(1).answer(), held, deque([b"a", b"b"]))
                async with aclosing(read_ahead(answer, delivery, memory)) as parts:
                    return [part async for part in parts]

        self.assertEqual([b"a", b"b", CHUNK], virtual.run(play()))


if __name__ == "__main__":
    unittest.main()
