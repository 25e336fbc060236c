"""Dead connections: they deliver nothing more and are not reset, while new ones work."""

import asyncio
import itertools
import random
import socket
import unittest
from dataclasses import replace

from aiohttp.client_reqrep import ConnectionKey

from larkpost.common.addresses import split_address
from larkpost.common.clock import LoopClock
from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import (
    ModelName,
    Route,
    RouteKind,
    ServiceName,
    ServiceShare,
)
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceInfo, InstanceState
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.metrics import Count, Metrics
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.gateway.proxy.request import ClientRequest
from larkpost.gateway.proxy.server_choice import MIN_HEDGE_SECONDS
from larkpost.gateway.proxy.service_selection import ServiceSelector
from larkpost.gateway.servers.port import OrderOutcome, OutgoingRequest, VersionOrder
from larkpost.gateway.store.port import RowKey, Transaction, WriteOutcome
from larkpost.platform.connections import MIN_TRACKED_ADDRESSES, make_session
from larkpost.platform.dead_connection_rule import (
    ABANDONED_CALL_TIMEOUT,
    ABORT_TIMEOUT,
    MAX_BODY_PAUSE_SECONDS,
    MIN_ABORT_TIMEOUT_SECONDS,
    PendingCall,
    has_timed_out,
    is_server_slow,
)
from larkpost.platform.dead_connections import (
    ADDRESS_RETENTION_SECONDS,
    SUSPECT_COOLDOWN_SECONDS,
    CallKind,
    DeadConnectionDetector,
    UpstreamKind,
)
from larkpost.platform.http_protocol import Listener
from larkpost.platform.peer_store import PeerStoreApp
from larkpost.platform.servers import HttpServers
from larkpost.platform.stand_in.memory_store import MemoryStore
from larkpost.platform.stand_in.store_app import StoreApp
from larkpost.platform.store import READ_TIMEOUT_SECONDS, HttpStore
from larkpost.rehearsal.processes import free_address
from tests.connections import ConnectionServer
from tests.process_soak.proxy import FaultProxy, LinkFault
from tests.server_parts import make_parts

KEY = RowKey("table", "part", "key")
CHANGE = Transaction(puts=((KEY, b"value"),))
ADDRESS = Address("10.0.0.1:1")
ROW_BYTES = 65536
LONGEST_SECONDS = 3.0
"""Timeout of a request."""
SLACK_SECONDS = 0.4
"""Tolerance for a busy machine."""
LATE_SECONDS = MIN_ABORT_TIMEOUT_SECONDS + SLACK_SECONDS
"""Time within which a call on a dead connection is answered."""
SETTLING_CALLS = 40
"""Sequential calls after which concurrent ones no longer affect the typical latency."""
REPORT = b'{"seq":0,"busy":false,"models":[]}'


class LogRecorder:
    """A log that stores its lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[Event, dict]] = []

    def record(self, event: Event, **fields) -> None:
        """Stores a line."""
        self.lines.append((event, fields))


def count_dead_connections(metrics: Metrics, peer: UpstreamKind) -> float:
    """Returns how often connections of a kind were detected as dead."""
    name = Count.SILENT_CONNECTIONS.value
    return metrics.registry.get_sample_value(name, {"to": peer}) or 0.0


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that calls the store, and one that calls it through a peer; all links may die."""

    async def asyncSetUp(self):
        clock = LoopClock()
        self.memory = MemoryStore(clock)
        store_address, peer_address = free_address(), free_address()
        self.link, self.peer_link = FaultProxy(store_address), FaultProxy(peer_address)
        self.metrics = Metrics()
        self.store = HttpStore(self.link.address, ROW_BYTES, self.metrics)
        helper = HttpStore(store_address, ROW_BYTES)
        self.by_peer = HttpStore(
            self.peer_link.address, ROW_BYTES, self.metrics, None, UpstreamKind.PEER
        )
        for part in (
            HttpServer(StoreApp(self.memory, clock).app(), store_address),
            HttpServer(PeerStoreApp(helper), peer_address),
            self.link,
            self.peer_link,
        ):
            await part.start()
            self.addAsyncCleanup(part.close)
        for store in (self.store, helper, self.by_peer):
            self.addAsyncCleanup(store.close)

    async def open_connections(self, store: HttpStore) -> None:
        """Makes three concurrent calls, so that a store has three connections."""
        reads = (store.read("table", "part") for _ in range(3))
        await asyncio.gather(*reads)

    async def test_write_is_unknown_soon_and_is_not_sent_again(self):
        await self.open_connections(self.store)
        self.link.set_fault(LinkFault.OLD_SILENT)
        async with asyncio.timeout(LATE_SECONDS):
            result = await self.store.write(CHANGE, 1.5)
        self.assertIs(WriteOutcome.UNKNOWN, result.outcome)
        self.assertEqual({}, self.memory.rows)
        self.assertEqual(1.0, count_dead_connections(self.metrics, UpstreamKind.STORE))

    async def test_write_to_a_store_that_turns_slow_is_answered(self):
        """All responses are late, also those on new connections."""
        await self.open_connections(self.store)
        self.link.set_fault(LinkFault.DELAY)  # for 0.15 s there and 0.15 s back
        writes = (self.store.write(CHANGE, 1.0) for _ in range(3))
        async with asyncio.timeout(LATE_SECONDS):
            results = await asyncio.gather(*writes)
        self.assertEqual({WriteOutcome.DONE}, {result.outcome for result in results})

    async def test_writes_on_dead_connections_share_one_probe(self):
        await self.open_connections(self.store)
        self.link.set_fault(LinkFault.OLD_SILENT)
        writes = (self.store.write(CHANGE, 1.5) for _ in range(3))
        async with asyncio.timeout(LATE_SECONDS):
            results = await asyncio.gather(*writes)
        self.assertEqual({WriteOutcome.UNKNOWN}, {result.outcome for result in results})
        self.assertEqual(4, self.link.connections)

    async def test_next_write_goes_on_a_new_connection(self):
        await self.open_connections(self.store)
        self.link.set_fault(LinkFault.OLD_SILENT)
        await self.store.write(CHANGE, 0.6)
        async with asyncio.timeout(SLACK_SECONDS):
            result = await self.store.write(CHANGE, 1.5)
        self.assertIs(WriteOutcome.DONE, result.outcome)
        self.assertEqual(4, self.link.connections)

    async def test_read_is_answered_on_a_new_connection(self):
        await self.open_connections(self.store)
        self.link.set_fault(LinkFault.OLD_SILENT)
        async with asyncio.timeout(LATE_SECONDS):
            await self.store.read("table", "part")
        self.assertEqual(4, self.link.connections)

    async def test_held_feed_is_answered_on_a_new_connection(self):
        wait = 0.4
        await self.open_connections(self.store)
        feed = asyncio.create_task(self.store.changes("table", 0, wait))
        await asyncio.sleep(0.1)
        self.link.set_fault(LinkFault.OLD_SILENT)
        async with asyncio.timeout(2 * wait + LATE_SECONDS):
            await feed
        self.assertEqual(1.0, count_dead_connections(self.metrics, UpstreamKind.STORE))

    async def test_held_feed_without_changes_is_not_dead(self):
        await self.open_connections(self.store)
        await self.store.changes("table", 0, 3 * MIN_ABORT_TIMEOUT_SECONDS)
        self.assertEqual(3, self.link.connections)
        self.assertEqual(0.0, count_dead_connections(self.metrics, UpstreamKind.STORE))

    async def test_peer_is_reached_on_a_new_connection(self):
        await self.open_connections(self.by_peer)
        self.peer_link.set_fault(LinkFault.OLD_SILENT)
        async with asyncio.timeout(LATE_SECONDS):
            await self.by_peer.read("table", "part")
        self.assertEqual(4, self.peer_link.connections)
        self.assertEqual(1.0, count_dead_connections(self.metrics, UpstreamKind.PEER))

    async def test_many_calls_at_once_open_no_more_connections_than_they_need(self):
        await self.open_connections(self.store)
        self.link.set_fault(LinkFault.OLD_SILENT)
        await self.open_connections(self.store)
        self.assertEqual(6, self.link.connections)
        self.assertEqual(1.0, count_dead_connections(self.metrics, UpstreamKind.STORE))

    async def test_store_that_is_gone_is_not_tried_for_longer_than_before(self):
        await self.open_connections(self.store)
        self.link.set_fault(LinkFault.SILENT)
        result = await asyncio.wait_for(self.store.write(CHANGE, 1.5), LATE_SECONDS)
        self.assertIs(WriteOutcome.UNKNOWN, result.outcome)
        async with asyncio.timeout(READ_TIMEOUT_SECONDS + SLACK_SECONDS):
            result = await self.store.write(CHANGE, 0.5)
        self.assertIs(WriteOutcome.UNKNOWN, result.outcome)
        self.assertEqual(1.0, count_dead_connections(self.metrics, UpstreamKind.STORE))


class MemoryTest(unittest.IsolatedAsyncioTestCase):
    """State of addresses and servers does not grow without bound."""

    def test_addresses_without_connections_are_forgotten_after_a_while(self):
        now = 0.0
        detector = DeadConnectionDetector(UpstreamKind.SERVER, now=lambda: now)
        for number in range(500):
            now += 1.0
            record = detector.add_connection(Address(f"10.0.0.1:{number}"))
            detector.begin_call(record, CallKind.REQUEST, 0.0)
            detector.record_bytes(record)
            detector.mark_suspect(record)
            detector.remove_connection(record)
        for kept in (detector._typical_latencies, detector._suspected_at, detector._unused_since):
            self.assertLessEqual(len(kept), ADDRESS_RETENTION_SECONDS + 1)

    def test_address_with_a_connection_is_remembered(self):
        now = 0.0
        detector = DeadConnectionDetector(UpstreamKind.SERVER, now=lambda: now)
        record = detector.add_connection(ADDRESS)
        detector.remove_connection(detector.add_connection(ADDRESS))
        detector.begin_call(record, CallKind.REQUEST, 0.0)
        now = 0.3
        detector.record_bytes(record)
        now += 10 * ADDRESS_RETENTION_SECONDS
        detector.add_connection(Address("10.0.0.2:1"))
        detector.begin_call(record, CallKind.REQUEST, 0.0)
        self.assertGreater(detector.timeout_of(record), MIN_ABORT_TIMEOUT_SECONDS)

    async def test_connector_drops_servers_without_connections(self):
        async with make_session(DeadConnectionDetector(UpstreamKind.SERVER)) as session:
            for number in range(3 * MIN_TRACKED_ADDRESSES):
                server = Address(f"10.0.0.1:{number}")
                key = ConnectionKey("10.0.0.1", number, False, True, None, None, None)
                session.connector.record_keep_alive(server, 5.0)
                self.assertIsNone(await session.connector._get(key, ()))
            self.assertLessEqual(len(session.connector._connection_keys), MIN_TRACKED_ADDRESSES + 1)
            self.assertLessEqual(
                len(session.connector._keep_alive_seconds), MIN_TRACKED_ADDRESSES + 1
            )


class PageServer:
    """A server that responds after a delay, or in events."""

    def __init__(self, name: str) -> None:
        address = free_address()
        self.delay = 0.0
        self.runs = 0
        self.events = 0
        self.gap = 0.0
        self.link = FaultProxy(address)
        self.instance = InstanceInfo(
            InstanceId(name),
            ServiceName("s"),
            self.link.address,
            ZoneId("z"),
            4,
            InstanceState.READY,
        )
        self._address = address
        self._server = ConnectionServer(self._serve)

    async def start(self) -> None:
        """Starts the server and its link."""
        await self._server.start(*split_address(self._address))
        await self.link.start()

    async def close(self) -> None:
        """Closes both."""
        await self.link.close()
        await self._server.close()

    async def _serve(self, reader, writer) -> None:
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            await asyncio.sleep(self.delay)
            self.runs += 1
            writer.write(b"HTTP/1.1 200 OK\r\n")
            if b"/page" not in head:
                writer.write(b"Content-Length: %d\r\n\r\n%s" % (len(REPORT), REPORT))
                continue
            sent = next(line for line in head.split(b"\r\n") if b"attempt-id" in line.lower())
            writer.write(
                sent + b"\r\nLarkpost-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            for number in range(self.events):
                event = b"id: %d\ndata: x\n\n" % (number + 1)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await asyncio.sleep(self.gap)
            writer.write(b"0\r\n\r\n")


def page_request(number: int, *, repeat: bool = True) -> OutgoingRequest:
    """Returns a request for a page; it may be repeated by default."""
    return OutgoingRequest(
        b"r%d" % number, "POST", b"h", b"/page", (), b"", time_left=2.0, repeat_if_silent=repeat
    )


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """Servers behind links that may die."""

    async def asyncSetUp(self):
        self.metrics = Metrics()
        self.log = LogRecorder()
        self.servers = HttpServers(self.metrics, self.log)
        self.addAsyncCleanup(self.servers.close)
        self.pages = await self.serve("i-1")
        self.instance = self.pages.instance

    async def serve(self, name: str) -> PageServer:
        """Starts a server."""
        pages = PageServer(name)
        await pages.start()
        self.addAsyncCleanup(pages.close)
        return pages

    async def ask(self, number: int, *, repeat: bool = True) -> None:
        """Sends a request and reads its answer."""
        request = page_request(number, repeat=repeat)
        async with (
            asyncio.timeout(LONGEST_SECONDS),
            self.servers.send(self.instance, request) as answer,
        ):
            async for _ in answer.chunks():
                pass

    async def open_connections(self, count: int = 3) -> None:
        """Makes concurrent requests, so that ``count`` connections are pooled."""
        await asyncio.gather(*(self.ask(number) for number in range(count)))
        self.assertEqual(count, self.pages.link.connections)

    async def test_request_is_answered_by_the_same_server_on_a_new_connection(self):
        await self.open_connections()
        self.pages.link.set_fault(LinkFault.OLD_SILENT)
        async with asyncio.timeout(LATE_SECONDS):
            await self.ask(9)
        self.assertEqual((4, 4), (self.pages.link.connections, self.pages.runs))
        event, fields = self.log.lines[0]
        self.assertIs(Event.CONNECTIONS_SILENT, event)
        self.assertEqual(self.instance.address, fields["address"])

    async def test_connections_that_rest_are_not_handed_out_any_more(self):
        await self.open_connections()
        self.pages.link.set_fault(LinkFault.OLD_SILENT)
        await self.ask(9)
        async with asyncio.timeout(SLACK_SECONDS):
            for number in range(10, 14):
                await self.ask(number)
        self.assertEqual(4, self.pages.link.connections)

    async def test_abandoned_attempt_marks_its_server_suspect(self):
        """The attempt lost to its hedge or timed out."""
        await self.open_connections()
        self.pages.link.set_fault(LinkFault.OLD_SILENT)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(2 * MIN_HEDGE_SECONDS):
                await self.ask(9, repeat=False)
        self.assertFalse(self.servers.is_connected(self.instance))
        async with asyncio.timeout(SLACK_SECONDS):
            await self.ask(10, repeat=False)

    async def test_attempt_abandoned_at_once_is_no_evidence(self):
        await self.open_connections()
        self.pages.delay = 0.1
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.03):
                await self.ask(9)
        self.assertTrue(self.servers.is_connected(self.instance))
        self.assertEqual(0.0, count_dead_connections(self.metrics, UpstreamKind.SERVER))

    async def test_connections_in_use_are_not_kept_once_they_are_free(self):
        await self.open_connections(2)
        self.pages.events, self.pages.gap = 3, MIN_ABORT_TIMEOUT_SECONDS
        long = asyncio.create_task(self.ask(8))
        await asyncio.sleep(0.05)
        self.pages.events = 0
        detector = self.servers._pooled.connector._detector
        records = detector._records[self.instance.address]
        detector.mark_suspect(next(iter(records)))
        await long
        self.assertFalse(self.servers.is_connected(self.instance))

    async def test_slow_server_keeps_its_connections(self):
        """New connections are as slow, and one that never received bytes is not evidence."""
        await self.open_connections()
        self.pages.delay = 3 * MIN_ABORT_TIMEOUT_SECONDS
        for number in range(10, 15):
            await self.ask(number)
        self.assertLessEqual(self.pages.link.connections, 4)
        self.assertLessEqual(count_dead_connections(self.metrics, UpstreamKind.SERVER), 1.0)

    async def test_single_slow_request_beside_others_is_no_evidence(self):
        await self.open_connections()
        self.pages.delay = 3 * MIN_ABORT_TIMEOUT_SECONDS
        slow = asyncio.create_task(self.ask(9))
        await asyncio.sleep(0.05)
        self.pages.delay = 0.0
        for number in itertools.count(10):
            if slow.done():
                break
            await self.ask(number)
            await asyncio.sleep(0.02)
        self.assertEqual(3, self.pages.link.connections)
        self.assertEqual(0.0, count_dead_connections(self.metrics, UpstreamKind.SERVER))

    async def test_request_after_a_dead_stream_uses_a_new_connection(self):
        await self.open_connections()
        self.pages.events, self.pages.gap = 20, 0.1
        seen = []
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(MAX_BODY_PAUSE_SECONDS + 0.5) as limit:
                request = page_request(9, repeat=False)
                async with self.servers.send(self.instance, request) as answer:
                    async for event in answer.events():
                        seen.append(event.id)
                        if event.id == 3:
                            self.pages.link.set_fault(LinkFault.OLD_SILENT)
                            now = asyncio.get_running_loop().time()
                            limit.reschedule(now + MAX_BODY_PAUSE_SECONDS + 0.2)
        self.assertEqual([1, 2, 3], seen)
        self.pages.events = 1
        async with asyncio.timeout(2 * SLACK_SECONDS):
            await self.ask(10, repeat=False)

    async def test_order_after_an_unanswered_one_goes_on_a_new_connection(self):
        order = VersionOrder(ModelName("m"), 2, "daemon", 5, 3)
        reports = (self.servers.report(self.instance, 1.0) for _ in range(3))
        await asyncio.gather(*reports)
        self.pages.link.set_fault(LinkFault.OLD_SILENT)
        outcome = await self.servers.order(self.instance, order, 0.4)
        self.assertIs(OrderOutcome.UNKNOWN, outcome)
        outcome = await self.servers.order(self.instance, order, 0.4)
        self.assertIs(OrderOutcome.HOLDS, outcome)
        self.assertEqual(4, self.pages.link.connections)

    async def test_control_calls_have_their_own_typical_latency(self):
        """Slow requests do not raise the typical latency of control calls."""
        for _ in range(SETTLING_CALLS):
            await self.servers.report(self.instance, 1.0)
        self.pages.delay = 0.5
        await self.ask(9, repeat=False)
        self.pages.delay = 0.0
        self.pages.link.set_fault(LinkFault.OLD_SILENT)
        self.assertIsNone(await self.servers.report(self.instance, 0.4))
        self.assertEqual(1.0, count_dead_connections(self.metrics, UpstreamKind.SERVER))


class ForwardedTest(unittest.IsolatedAsyncioTestCase):
    """Client requests to servers whose connections die."""

    async def begin(self, *names: str) -> None:
        """Starts servers and makes requests until connections to all of them are pooled."""
        self.servers = HttpServers()
        self.addAsyncCleanup(self.servers.close)
        directory = InstanceDirectory()
        self.all_pages = [PageServer(name) for name in names]
        self.slowest = 0.0
        for pages in self.all_pages:
            await pages.start()
            self.addAsyncCleanup(pages.close)
            directory.update(pages.instance)
        clock = LoopClock()
        rng = random.Random(1)
        parts = make_parts(directory, Balancer(directory, clock, rng), self.servers, clock)
        self.forwarder = Forwarder(replace(parts, service_selector=ServiceSelector(rng)))
        await asyncio.gather(*(self.ask() for _ in range(8 * len(names))))
        for pages in self.all_pages:
            self.assertGreater(pages.link.connections, 1)
        for pages in self.all_pages:
            await self.settle(pages)

    async def settle(self, pages: PageServer) -> None:
        """Makes sequential calls to one server until its typical latency is that of a single call.

        Requests through the forwarder would all go to the faster server, so that the timeout of the
        other one would stay that of concurrent calls.
        """
        loop = asyncio.get_running_loop()
        for number in range(SETTLING_CALLS):
            began = loop.time()
            async with self.servers.send(pages.instance, page_request(number)) as answer:
                async for _ in answer.chunks():
                    pass
            self.slowest = max(self.slowest, loop.time() - began)

    def late(self) -> float:
        """Returns the time within which a call on a dead connection is answered.

        `LATE_SECONDS`, or more if single calls are so slow here that the timeout exceeds its
        minimum.
        """
        return max(LATE_SECONDS, ABORT_TIMEOUT.latency_factor * self.slowest + SLACK_SECONDS)

    async def ask(self) -> None:
        """Makes a request that may be repeated."""
        now = asyncio.get_running_loop().time()
        request = ClientRequest(b"r", "GET", b"h", b"/page", (), b"", now, 2.0)
        shares = (ServiceShare(ServiceName("s"), 1.0),)
        route = Route("r", "h", b"/", RouteKind.IDEMPOTENT, shares, 2.0, 0.4, max_attempts=2)
        answer = await self.forwarder.forward(request, route)
        self.assertEqual(200, answer.status)

    async def test_only_server(self):
        await self.begin("i-1")
        self.all_pages[0].link.set_fault(LinkFault.OLD_SILENT)
        async with asyncio.timeout(self.late()):
            await self.ask()
        async with asyncio.timeout(SLACK_SECONDS):
            await self.ask()

    async def test_all_connections_to_both_servers(self):
        await self.begin("i-1", "i-2")
        for pages in self.all_pages:
            pages.link.set_fault(LinkFault.OLD_SILENT)
        async with asyncio.timeout(self.late()):
            await asyncio.gather(*(self.ask() for _ in range(4)))
        for _ in range(4):
            async with asyncio.timeout(self.late()):
                await self.ask()

    async def test_connections_to_one_of_two_servers(self):
        await self.begin("i-1", "i-2")
        self.all_pages[0].link.set_fault(LinkFault.OLD_SILENT)
        late = 0
        for _ in range(20):
            began = asyncio.get_running_loop().time()
            await self.ask()
            late += asyncio.get_running_loop().time() - began > MIN_HEDGE_SECONDS
        self.assertLessEqual(late, 2)


class DetectorTest(unittest.TestCase):
    """The detector without connections, on a manual clock."""

    def setUp(self):
        self.time = 100.0
        self.detector = DeadConnectionDetector(UpstreamKind.SERVER, now=lambda: self.time)

    def open(self):
        """Returns a connection on which a call was answered."""
        record = self.detector.add_connection(ADDRESS)
        self.call(record, 0.01)
        return record

    def call(self, record, seconds: float | None, held: float = 0.0) -> None:
        """Makes a call that is answered after ``seconds``, or never."""
        self.detector.begin_call(record, CallKind.REQUEST, held)
        if seconds is not None:
            self.time += seconds
            self.detector.record_bytes(record)

    def test_timeout_depends_on_the_typical_latency(self):
        record = self.open()
        self.call(record, 0.3)
        self.call(record, None)
        self.time += 1.1
        self.assertFalse(self.detector.is_dead(record))
        self.time += 0.2
        self.assertTrue(self.detector.is_dead(record))

    def test_held_call_is_dead_only_after_its_hold_time(self):
        record = self.open()
        self.call(record, None, held=1.0)
        self.time += 1.2
        self.assertFalse(self.detector.is_dead(record))
        self.time += 0.1
        self.assertTrue(self.detector.is_dead(record))

    def test_held_call_does_not_affect_the_typical_latency(self):
        record = self.open()
        self.call(record, 1.0, held=1.0)
        self.call(record, None)
        self.time += MIN_ABORT_TIMEOUT_SECONDS + 0.01
        self.assertTrue(self.detector.is_dead(record))

    def test_new_connection_without_bytes_is_never_dead(self):
        record = self.detector.add_connection(ADDRESS)
        self.call(record, None)
        self.time += 100.0
        self.assertFalse(self.detector.is_dead(record))

    def test_bytes_on_new_connections_do_not_keep_old_ones_alive(self):
        record = self.open()
        self.call(record, None)
        self.time += 0.2
        self.open()
        self.time += 0.1
        self.assertTrue(self.detector.is_dead(record))

    def test_connections_opened_since_are_trusted_for_a_while(self):
        old = self.open()
        self.detector.mark_suspect(old)
        self.time += 0.1
        young = self.open()
        self.detector.mark_suspect(young)
        self.assertEqual((True, False), tuple(map(self.detector.is_suspect, (old, young))))
        self.time += SUSPECT_COOLDOWN_SECONDS
        self.detector.mark_suspect(young)
        self.assertTrue(self.detector.is_suspect(young))

    def test_rule_by_cases(self):
        """Each case changes one input of a call that has timed out on a dead connection."""
        dead = PendingCall(
            now=10.0, waiting_since=9.0, timeout=0.5, hold_time=0.25, received_at=8.0
        )
        for change, others_received_at, too_long, slow in (
            ({}, None, True, False),
            ({"received_at": None}, None, False, False),
            ({"waiting_since": 9.25}, None, True, False),
            ({"waiting_since": 9.375}, None, False, False),
            ({"timeout": 0.75}, None, True, False),
            ({"timeout": 0.875}, None, False, False),
            ({"hold_time": 0.5}, None, True, False),
            ({"hold_time": 0.625}, None, False, False),
            ({}, 9.5, True, False),
            ({}, 9.625, True, True),
            ({"timeout": 0.25}, 9.625, True, False),
        ):
            call = replace(dead, **change)
            found = (has_timed_out(call), is_server_slow(call, others_received_at))
            self.assertEqual((too_long, slow), found, (change, others_received_at))

    def test_timeouts_by_typical_latency(self):
        for limit, usual, seconds in (
            (ABORT_TIMEOUT, 0.0, 0.25),
            (ABORT_TIMEOUT, 0.0625, 0.25),
            (ABORT_TIMEOUT, 0.125, 0.5),
            (ABORT_TIMEOUT, 1.0, 1.5),
            (ABANDONED_CALL_TIMEOUT, 0.0, 0.08),
            (ABANDONED_CALL_TIMEOUT, 0.125, 0.25),
            (ABANDONED_CALL_TIMEOUT, 1.0, 1.5),
        ):
            self.assertEqual(seconds, limit.seconds(usual), (limit, usual))

    def test_closed_connections_are_forgotten(self):
        self.detector.remove_connection(self.open())
        self.assertEqual({}, self.detector._records)


class AcceptedTest(unittest.IsolatedAsyncioTestCase):
    """Connections of clients have TCP keepalive and a user timeout."""

    async def test_system_watches_accepted_connections(self):
        accepted = []

        async def app(scope, receive, send):
            accepted.extend(
                connection.transport for connection in listener._server.server_state.connections
            )
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b""})

        address = free_address()
        listener = Listener(app, address)
        await listener.start()
        self.addAsyncCleanup(listener.close)
        reader, writer = await asyncio.open_connection(*split_address(address))
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        found = accepted[0].get_extra_info("socket")
        self.assertEqual(1, found.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        options = (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
        values = [found.getsockopt(socket.IPPROTO_TCP, option) for option in options]
        self.assertEqual([3, 1, 3], values)
        self.assertEqual(6000, found.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))
        writer.close()


if __name__ == "__main__":
    unittest.main()
