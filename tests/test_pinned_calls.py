"""Pins the bytes of the calls that larkpost makes and answers, as they are on the wire.

The expected bytes stand here as they were recorded: request and status lines, headers in their
order, and bodies. Only what changes from run to run is replaced: ports, times and tokens.
"""

import asyncio
import math
import re
import unittest
from contextlib import asynccontextmanager

import httpx
import orjson

from larkpost.common.ids import Address, ZoneId
from larkpost.common.ids import InstanceId as EngineId
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
from larkpost.gateway.blackboard.directory import InstanceInfo, InstanceState
from larkpost.gateway.blackboard.lifecycle import Lifecycle, StopSchedule
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.controllers.leases import Duty, Lease, LeaseSubject
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.proxy.admission import Admission
from larkpost.gateway.proxy.request import QuarantinedError, RefusedError
from larkpost.gateway.proxy.request import WholeResponse as WholeAnswer
from larkpost.gateway.rollouts.errors import NoSuchBatchError
from larkpost.gateway.rollouts.model import ItemId, Result, ResultState
from larkpost.gateway.rollouts.reader import ResultPage
from larkpost.gateway.scaling.port import ScalingOrder, ServerKind
from larkpost.gateway.servers.port import (
    BrokenResponseError as BrokenAnswerError,
)
from larkpost.gateway.servers.port import (
    NotRunError,
    OrderOutcome,
    OutgoingRequest,
    PortState,
    RunningWork,
    VersionOrder,
)
from larkpost.gateway.store.port import RowKey, Transaction, WriteOutcome
from larkpost.gateway.usage.port import UsageReport
from larkpost.platform.duties import HttpDuties
from larkpost.platform.http_protocol import Listener
from larkpost.platform.ingress import Ingress
from larkpost.platform.peer_store import PeerStoreApp
from larkpost.platform.servers import HttpServers
from larkpost.platform.status_apps import MetricsApp, ReadinessApp
from larkpost.platform.store import HttpStore
from larkpost.rehearsal.processes import free_address
from larkpost.standalone.api.app import make_app
from tests.connections import ConnectionServer
from tests.simulated_fleet import INTENT, SimulatedFleet

ECHO = b"larkpost-attempt-id: r1\r\nlarkpost-server-stamp: s\r\n"
REPORT = b'{"seq":3,"busy":false,"running":1,"waiting":2,"versions":{"m":7}}'
ROWS = b'{"rows":[{"table":"t","part":"p","key":"k","value":"dg==","ver":4}],"ver":5,"now_ms":1}'
KEY = RowKey("t", "p", "k")


def whole(body: bytes, headers: bytes = b"", status: bytes = b"200 OK") -> bytes:
    """Returns a framed answer."""
    return b"HTTP/1.1 %s\r\n%scontent-length: %d\r\n\r\n%s" % (status, headers, len(body), body)


class Recorder:
    """A server that notes the bytes of each request, its own port replaced, and answers by a list.

    Once the list is at its end it answers nothing more, but keeps its connections.
    """

    def __init__(self, *answers: bytes) -> None:
        self._answers = list(answers)
        self._server = ConnectionServer(self._serve)
        self.address = Address(free_address())
        self.calls: list[bytes] = []
        self.connections = 0

    async def __aenter__(self) -> "Recorder":
        host, port = self.address.split(":")
        await self._server.start(host, int(port))
        return self

    async def __aexit__(self, *_) -> None:
        await self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        while True:
            try:
                call = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", call)
                call += await reader.readexactly(int(length[1]) if length else 0)
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            port = self.address.split(":")[1].encode()
            self.calls.append(call.replace(b"127.0.0.1:" + port, b"127.0.0.1:PORT"))
            if self._answers:
                writer.write(self._answers.pop(0))
                await writer.drain()


async def ask(address: Address, content: bytes) -> bytes:
    """Sends bytes to an address and returns all that comes back until the connection closes."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(content)
        return await asyncio.wait_for(reader.read(), 5)
    finally:
        writer.close()


class CallsToServersTest(unittest.IsolatedAsyncioTestCase):
    """Pins what is sent to servers."""

    async def asyncSetUp(self):
        self.servers = HttpServers()
        self.addAsyncCleanup(self.servers.close)

    def instance(self, address: Address) -> InstanceInfo:
        """Returns a server at an address."""
        return InstanceInfo(
            EngineId("i-1"), ServiceName("s"), address, ZoneId("z"), 4, InstanceState.READY
        )

    async def sent(self, request: OutgoingRequest) -> bytes:
        """Sends a request and returns its bytes."""
        async with (
            Recorder(whole(b"ok", ECHO)) as server,
            self.servers.send(self.instance(server.address), request) as answer,
        ):
            self.assertEqual([b"ok"], [chunk async for chunk in answer.chunks()])
            self.assertEqual("s", answer.signature)
        self.assertEqual(1, len(server.calls))
        return server.calls[0]

    async def test_client_request_with_all_headers(self):
        """A byte of a header that is not ASCII goes out as UTF-8; pinned as it is, not as right."""
        request = OutgoingRequest(
            request_id=b"r1",
            method="PUT",
            host=b"Pages.example:80",
            target=b"/a%2fb%41?x=%20+&y=%2F",
            headers=((b"x-other", b"v"), (b"accept", b"text/*"), (b"x-other", b"w \xe9")),
            body=b"hi",
            time_left=0.9,
            resume_after=6,
            expected_version=7,
            priority=3,
            tenant=TenantName("ten"),
        )
        self.assertEqual(
            (
                b"PUT /a%2fb%41?x=%20+&y=%2F HTTP/1.1\r\n"
                b"Host: Pages.example:80\r\n"
                b"x-other: v\r\n"
                b"accept: text/*\r\n"
                b"x-other: w \xc3\xa9\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"larkpost-expect-instance: i-1\r\n"
                b"larkpost-deadline-ms: 900\r\n"
                b"last-event-id: 6\r\n"
                b"larkpost-expect-version: 7\r\n"
                b"larkpost-tenant: ten\r\n"
                b"larkpost-request-priority: 3\r\n"
                b"Content-Length: 2\r\n"
                b"\r\n"
                b"hi"
            ),
            await self.sent(request),
        )

    async def test_client_request_without_a_body_on_a_connection_of_its_own(self):
        request = OutgoingRequest(
            request_id=b"r1",
            method="GET",
            host=b"pages.example",
            target=b"/",
            headers=(),
            body=b"",
            time_left=0.0001,
            fresh_connection=True,
        )
        self.assertEqual(
            (
                b"GET / HTTP/1.1\r\n"
                b"Host: pages.example\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"larkpost-expect-instance: i-1\r\n"
                b"larkpost-deadline-ms: 1\r\n"
                b"Connection: close\r\n"
                b"\r\n"
            ),
            await self.sent(request),
        )

    async def test_item_of_a_batch_that_is_resumed(self):
        request = OutgoingRequest(
            request_id=b"r1",
            method="POST",
            host=b"batch.example",
            target=b"/gen",
            headers=((b"Larkpost-Length-Hint", b"40"), (b"Larkpost-Token-Count", b"9")),
            body=b'{"prompt":"p"}',
            resume_after=12,
            priority=1,
            tenant=TenantName("ten"),
        )
        self.assertEqual(
            (
                b"POST /gen HTTP/1.1\r\n"
                b"Host: batch.example\r\n"
                b"Larkpost-Length-Hint: 40\r\n"
                b"Larkpost-Token-Count: 9\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"larkpost-expect-instance: i-1\r\n"
                b"last-event-id: 12\r\n"
                b"larkpost-tenant: ten\r\n"
                b"larkpost-request-priority: 1\r\n"
                b"Content-Length: 14\r\n"
                b"\r\n"
                b'{"prompt":"p"}'
            ),
            await self.sent(request),
        )

    async def test_reward_call(self):
        request = OutgoingRequest(
            request_id=b"r1",
            method="POST",
            host=b"score.example",
            target=b"/score",
            headers=(),
            body=b"body",
            time_left=2.5,
            repeat_if_silent=True,
        )
        self.assertEqual(
            (
                b"POST /score HTTP/1.1\r\n"
                b"Host: score.example\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"larkpost-expect-instance: i-1\r\n"
                b"larkpost-deadline-ms: 2500\r\n"
                b"Content-Length: 4\r\n"
                b"\r\n"
                b"body"
            ),
            await self.sent(request),
        )

    async def test_refusals_that_are_read_as_not_run(self):
        refusals = (
            (b"421 Misdirected Request", b"larkpost-instance-id: i-1\r\n", "misdirected"),
            (b"421 Misdirected Request", b"larkpost-instance-id: i-2\r\n", "replaced"),
            (b"503 Full", b"larkpost-not-executed: 1\r\nlarkpost-cold-ms: 250\r\n", "full"),
        )
        request = OutgoingRequest(b"r1", "GET", b"h", b"/", (), b"")
        for status, headers, reason in refusals:
            async with Recorder(whole(b"no", ECHO + headers, status)) as server:
                with self.assertRaises(NotRunError) as caught:
                    async with self.servers.send(self.instance(server.address), request):
                        pass
            self.assertEqual(reason, caught.exception.reason)
            self.assertEqual(0.25 if reason == "full" else None, caught.exception.cold_left)

    async def test_answer_s_headers_that_are_read(self):
        told = (
            b"larkpost-instance-load: 1,2,3\r\nlarkpost-weight-versions: 7\r\n"
            b"larkpost-cold-ms: 500\r\n"
        )
        request = OutgoingRequest(b"r1", "GET", b"h", b"/", (), b"")
        async with (
            Recorder(whole(b"", ECHO + told)) as server,
            self.servers.send(self.instance(server.address), request) as answer,
        ):
            load = (answer.load.running, answer.load.waiting, answer.load.slots)
            self.assertEqual((1, 2, 3), load)
            self.assertEqual((7, 0.5), (answer.version, answer.cold_left))

    async def test_report(self):
        async with Recorder(whole(REPORT)) as server:
            report = await self.servers.report(self.instance(server.address), 2.0)
        found = (report.orders, report.busy, report.running, report.waiting)
        self.assertEqual((3, False, 1, 2), found)
        self.assertEqual(
            [
                (
                    b"GET /-/report HTTP/1.1\r\n"
                    b"Host: 127.0.0.1:PORT\r\n"
                    b"larkpost-expect-instance: i-1\r\n"
                    b"\r\n"
                )
            ],
            server.calls,
        )

    async def test_order_in_each_way_with_running_work(self):
        answers = [whole(b"", status=status) for status in (b"200 OK", b"202 Taken", b"412 No")]
        outcomes = []
        async with Recorder(*answers) as server:
            for work in (RunningWork.CARRY, RunningWork.FINISH, RunningWork.INTERRUPT):
                order = VersionOrder(ModelName("m"), 8, "d-1", 5, 3, work)
                outcomes.append(await self.servers.order(self.instance(server.address), order, 2.0))
        self.assertEqual([OrderOutcome.HOLDS, OrderOutcome.TAKEN, OrderOutcome.FENCED], outcomes)
        carry, finish, interrupt = server.calls
        self.assertEqual(
            (
                b"POST /-/order HTTP/1.1\r\n"
                b"Host: 127.0.0.1:PORT\r\n"
                b"larkpost-expect-instance: i-1\r\n"
                b"Content-Type: application/json\r\n"
                b"Content-Length: 94\r\n"
                b"\r\n"
                b'{"op":"version","model":"m","version":8,"mode":"retain","holder":"d-1","fence":5,'
                b'"expected":3}'
            ),
            carry,
        )
        self.assertEqual(
            (
                b"POST /-/order HTTP/1.1\r\n"
                b"Host: 127.0.0.1:PORT\r\n"
                b"larkpost-expect-instance: i-1\r\n"
                b"Content-Type: application/json\r\n"
                b"Content-Length: 92\r\n"
                b"\r\n"
                b'{"op":"version","model":"m","version":8,"mode":"wait","holder":"d-1","fence":5,'
                b'"expected":3}'
            ),
            finish,
        )
        self.assertEqual(
            (
                b"POST /-/order HTTP/1.1\r\n"
                b"Host: 127.0.0.1:PORT\r\n"
                b"larkpost-expect-instance: i-1\r\n"
                b"Content-Type: application/json\r\n"
                b"Content-Length: 95\r\n"
                b"\r\n"
                b'{"op":"version","model":"m","version":8,"mode":"preempt","holder":"d-1","fence":5,'
                b'"expected":3}'
            ),
            interrupt,
        )

    async def test_probe_opens_a_connection_and_sends_nothing(self):
        async with Recorder() as server:
            state = await self.servers.probe(self.instance(server.address), 2.0)
            async with asyncio.timeout(2.0):
                while not server.connections:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
        self.assertEqual((PortState.LISTENS, 1, []), (state, server.connections, server.calls))


class CallsToTheStoreTest(unittest.IsolatedAsyncioTestCase):
    """Pins what is sent to the store, and to the platform by the one that has a duty."""

    def store(self, server: Recorder) -> HttpStore:
        """Returns the adapter to a store that is closed after the test."""
        store = HttpStore(server.address, 4096)
        self.addAsyncCleanup(store.close)
        return store

    async def test_transaction(self):
        change = Transaction(
            conditions=((KEY, 4), (RowKey("t", "p", "l"), 0)),
            puts=((KEY, b"\x00value\xff"),),
            removals=(RowKey("t", "", "m"),),
        )
        async with Recorder(whole(b'{"ver":9,"now_ms":1}')) as server:
            result = await self.store(server).write(change, 2.0)
        self.assertEqual((WriteOutcome.DONE, 9), (result.outcome, result.version))
        self.assertEqual(
            [
                (
                    b"POST /-/rows-tx HTTP/1.1\r\n"
                    b"Host: 127.0.0.1:PORT\r\n"
                    b"Content-Type: application/json\r\n"
                    b"Content-Length: 211\r\n"
                    b"\r\n"
                    b'{"expected":[{"table":"t","part":"p","key":"k","ver":4},{"table":"t","part":"p",'
                    b'"key":"l","ver":0}],"put":[{"table":"t","part":"p","key":"k",'
                    b'"value":"AHZhbHVl/w=="}],"remove":[{"table":"t","part":"","key":"m"}]}'
                )
            ],
            server.calls,
        )

    async def test_transaction_without_anything_and_the_answers_to_it(self):
        answers = (
            whole(ROWS, status=b"412 Conflict"),
            whole(b"", status=b"429 Slow"),
            whole(b"", status=b"503 No"),
            whole(b"", status=b"500 Broken"),
        )
        async with Recorder(*answers) as server:
            store = self.store(server)
            results = [await store.write(Transaction(), 2.0) for _ in answers]
        outcomes = [result.outcome for result in results]
        self.assertEqual(["conflict", "throttled", "not_done", "unknown"], outcomes)
        self.assertEqual([(KEY, b"v", 4)], [(r.key, r.value, r.version) for r in results[0].rows])
        expected = (
            b"POST /-/rows-tx HTTP/1.1\r\n"
            b"Host: 127.0.0.1:PORT\r\n"
            b"Content-Type: application/json\r\n"
            b"Content-Length: 36\r\n"
            b"\r\n"
            b'{"expected":[],"put":[],"remove":[]}'
        )
        self.assertEqual([expected] * 4, server.calls)

    async def test_row_reads(self):
        async with Recorder(whole(ROWS), whole(ROWS)) as server:
            store = self.store(server)
            await store.read("t", "p")
            page = await store.read("t", "a/b &=%", "from k", "to+k", 20)
        self.assertEqual([(KEY, b"v", 4)], [(r.key, r.value, r.version) for r in page.rows])
        self.assertEqual((5, False), (page.version, page.more))
        plain, full = server.calls
        self.assertEqual(
            (b"GET /-/rows-get?table=t&part=p HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\n\r\n"), plain
        )
        self.assertEqual(
            (
                b"GET /-/rows-get?table=t&part=a%2Fb+%26%3D%25&from=from+k&target-version=to%2Bk"
                b"&limit=20 HTTP/1.1\r\n"
                b"Host: 127.0.0.1:PORT\r\n"
                b"\r\n"
            ),
            full,
        )

    async def test_feed(self):
        async with Recorder(whole(ROWS)) as server:
            await self.store(server).changes("t", 17, 0.25)
        self.assertEqual(
            [
                (
                    b"GET /-/rows-feed?table=t&after-rev=17&wait-ms=250 HTTP/1.1\r\n"
                    b"Host: 127.0.0.1:PORT\r\n"
                    b"\r\n"
                )
            ],
            server.calls,
        )

    async def test_proof_that_old_connections_are_silent(self):
        async with Recorder(whole(ROWS)) as server:
            store = self.store(server)
            await store.read("t", "p")
            await store.write(Transaction(), 3.0)
        self.assertEqual(2, server.connections)
        self.assertEqual(
            [
                (
                    b"GET /-/rows-get?table=members&part=proof&limit=1 HTTP/1.1\r\n"
                    b"Host: 127.0.0.1:PORT\r\n"
                    b"\r\n"
                )
            ],
            server.calls[2:3],
        )

    async def test_calls_made_for_a_peer(self):
        calls = (
            b"POST /-/rows-tx HTTP/1.1\r\nHost: peer\r\nContent-Type: application/json\r\n"
            b'Connection: close\r\nContent-Length: 11\r\n\r\n{ "put":[]}',
            b"GET /-/rows-get?table=t&part=a%2fb+c HTTP/1.1\r\nHost: peer\r\n"
            b"Connection: close\r\n\r\n",
            b"GET /-/rows-feed?table=t&after-rev=3&wait-ms=100 HTTP/1.1\r\nHost: peer\r\n"
            b"Connection: close\r\n\r\n",
            b"GET /-/other HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n\r\n",
        )
        answers = (whole(b'{"ver":9}'), whole(ROWS), whole(b"", status=b"410 Gone"))
        async with Recorder(*answers) as server:
            address = Address(free_address())
            listener = Listener(PeerStoreApp(self.store(server)), address)
            await listener.start()
            self.addAsyncCleanup(listener.close)
            told = [await ask(address, call) for call in calls]
        transaction, read, feed = server.calls
        self.assertEqual(
            (
                b"POST /-/rows-tx HTTP/1.1\r\n"
                b"Host: 127.0.0.1:PORT\r\n"
                b"Content-Type: application/json\r\n"
                b"Content-Length: 11\r\n"
                b"\r\n"
                b'{ "put":[]}'
            ),
            transaction,
        )
        self.assertEqual(
            (b"GET /-/rows-get?table=t&part=a%2fb+c HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\n\r\n"), read
        )
        self.assertEqual(
            (
                b"GET /-/rows-feed?table=t&after-rev=3&wait-ms=100 HTTP/1.1\r\n"
                b"Host: 127.0.0.1:PORT\r\n"
                b"\r\n"
            ),
            feed,
        )
        self.assertEqual(
            (
                b"HTTP/1.1 200 OK\r\n"
                b"content-type: application/json\r\n"
                b"content-length: 9\r\n"
                b"connection: close\r\n"
                b"\r\n"
                b'{"ver":9}'
            ),
            told[0],
        )
        self.assertEqual(
            (
                b"HTTP/1.1 200 OK\r\n"
                b"content-type: application/json\r\n"
                b"content-length: 87\r\n"
                b"connection: close\r\n"
                b"\r\n"
                b'{"rows":[{"table":"t","part":"p","key":"k","value":"dg==","ver":4}],"ver":5,'
                b'"now_ms":1}'
            ),
            told[1],
        )
        self.assertEqual(
            (
                b"HTTP/1.1 410 Gone\r\n"
                b"content-type: application/json\r\n"
                b"content-length: 0\r\n"
                b"connection: close\r\n"
                b"\r\n"
            ),
            told[2],
        )
        self.assertEqual(
            (
                b"HTTP/1.1 404 Not Found\r\n"
                b"content-type: application/json\r\n"
                b"content-length: 0\r\n"
                b"connection: close\r\n"
                b"\r\n"
            ),
            told[3],
        )

    async def test_usage_report_and_orders_of_servers(self):
        lease = Lease(LeaseSubject(Duty.USAGE, "windows"), 11, 1e9)
        async with Recorder(whole(b""), whole(b""), whole(b"")) as server:
            duties = HttpDuties(server.address)
            self.addAsyncCleanup(duties.close)
            await duties.report_usage(UsageReport(6, {"ten": 2}), "d-1", lease, 2.0)
            for kind in (ServerKind.ON_DEMAND, ServerKind.PREEMPTIBLE):
                order = ScalingOrder(ServiceName("s"), ZoneId("z"), kind, 4)
                await duties.order_servers(order, "d-1", lease, 2.0)
        usage, on_demand, preemptible = server.calls
        self.assertEqual(
            (
                b"POST /usage HTTP/1.1\r\n"
                b"Host: 127.0.0.1:PORT\r\n"
                b"larkpost-lease-holder: d-1\r\n"
                b"larkpost-fencing-token: 11\r\n"
                b"Content-Type: application/json\r\n"
                b"Content-Length: 34\r\n"
                b"\r\n"
                b'{"window-id":6,"counts":{"ten":2}}'
            ),
            usage,
        )
        self.assertEqual(
            (
                b"POST /scale HTTP/1.1\r\n"
                b"Host: 127.0.0.1:PORT\r\n"
                b"larkpost-lease-holder: d-1\r\n"
                b"larkpost-fencing-token: 11\r\n"
                b"Content-Type: application/json\r\n"
                b"Content-Length: 38\r\n"
                b"\r\n"
                b'{"service":"s","zone":"z","desired":4}'
            ),
            on_demand,
        )
        self.assertEqual(
            (
                b"POST /scale HTTP/1.1\r\n"
                b"Host: 127.0.0.1:PORT\r\n"
                b"larkpost-lease-holder: d-1\r\n"
                b"larkpost-fencing-token: 11\r\n"
                b"Content-Type: application/json\r\n"
                b"Content-Length: 57\r\n"
                b"\r\n"
                b'{"service":"s","zone":"z","desired":4,"preemptible":true}'
            ),
            preemptible,
        )


class ScriptedForwarder:
    """Answers every client request by itself, or with an error, and notes what it was given."""

    def __init__(self) -> None:
        self.requests = []
        self.error = None

    async def forward(self, request, _route):
        """Answers a request."""
        self.requests.append(request)
        if self.error is not None:
            raise self.error
        headers = ((b"X-Own", b"1"), (b"Connection", b"close"), (b"Larkpost-Attempt-Id", b"r1"))
        return WholeAnswer(201, headers, b"whole")

    @asynccontextmanager
    async def stream(self, request, _route):
        """Answers with a stream."""
        self.requests.append(request)
        yield ScriptedStream(self.error)


class ScriptedStream:
    """A stream of two parts, which breaks off after the first if it is given an error."""

    status = 200
    headers = ((b"Content-Type", b"text/event-stream"), (b"Larkpost-Attempt-Id", b"r1"))

    def __init__(self, error: Exception | None) -> None:
        self._error = error

    async def chunks(self):
        """Yields the body."""
        yield b"id: 1\ndata: a\n\n"
        if self._error is not None:
            raise self._error
        yield b"id: 2\ndata: b\n\n"


class ScriptedBatches:
    """Takes every batch, and knows only the batch b/1 with two results."""

    def __init__(self) -> None:
        self.specs = []
        self.reads = []

    async def submit(self, spec):
        """Notes a batch."""
        self.specs.append(spec)

    async def read(self, batch, position, wait, _caller):
        """Returns two results."""
        self._check(batch)
        self.reads.append((position, wait))
        done = Result(ItemId("i1"), ResultState.DONE, "a\nb", (6, 7), "sig.c1")
        return ResultPage(5, position, (done, Result(ItemId("i2"), ResultState.DEAD)))

    async def body(self, batch, item, _caller):
        """Returns an item's body."""
        self._check(batch)
        return f"body of {item}".encode()

    async def end(self, batch, _caller):
        """Ends nothing."""
        self._check(batch)

    def _check(self, batch) -> None:
        if batch != "b/1":
            raise NoSuchBatchError(f"there is no batch {batch}")


class AnswersToCallersTest(unittest.IsolatedAsyncioTestCase):
    """Pins what callers are answered."""

    async def asyncSetUp(self):
        self.configuration = ConfigurationState()
        self.lifecycle = Lifecycle()
        self.forwarder = ScriptedForwarder()
        self.batches = ScriptedBatches()
        admission = Admission(
            self.configuration, lambda: 0.0, lambda: 2.0, EventLog("daemon"), Metrics()
        )
        ingress = Ingress(
            self.configuration, self.lifecycle, admission, self.forwarder, self.batches
        )
        self.front = await self.listen(ingress)
        shares = (ServiceShare(ServiceName("s"), 1.0),)
        routes = tuple(
            Route(kind.value, "pages.example", prefix, kind, shares, 2.0, 0.2)
            for prefix, kind in (
                (b"/p/", RouteKind.IDEMPOTENT),
                (b"/s/", RouteKind.STREAM),
                (b"/b/", RouteKind.BATCH),
            )
        )
        services = {ServiceName("s"): Service(ServiceName("s"), 10)}
        self.configuration.update(Configuration(1, routes, services))

    async def listen(self, app) -> Address:
        """Serves an application and returns its address."""
        address = Address(free_address())
        listener = Listener(app, address)
        await listener.start()
        self.addAsyncCleanup(listener.close)
        return address

    async def call(self, line: bytes, body: bytes = b"", headers: bytes = b"") -> bytes:
        """Makes a call with the id r1 and returns the bytes of its answer."""
        head = (
            b"%s HTTP/1.1\r\nHost: pages.example\r\nLarkpost-Attempt-Id: r1\r\n%s"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n"
        )
        return await ask(self.front, head % (line, headers, len(body)) + body)

    async def test_headers_that_are_passed_on_and_the_whole_answer(self):
        headers = (
            b"X-Other: v\r\nApi-Key: secret\r\nLarkpost-Tenant: forged\r\nTE: trailers\r\n"
            b"Larkpost-Deadline-Ms: 900\r\nAccept: */*\r\nKeep-Alive: 5\r\nX-Other: w\r\n"
            b"Larkpost-Expect-Version: 3\r\nLarkpost-Request-Priority: 9\r\nLast-Event-Id: 4\r\n"
        )
        answer = await self.call(b"POST /p/a%2fb?x=%20+", b"hi", headers)
        request = self.forwarder.requests[0]
        passed = b"".join(b"%s: %s\r\n" % header for header in request.headers)
        self.assertEqual(
            (
                b"x-other: v\r\n"
                b"accept: */*\r\n"
                b"x-other: w\r\n"
                b"larkpost-expect-version: 3\r\n"
                b"larkpost-request-priority: 9\r\n"
                b"last-event-id: 4\r\n"
            ),
            passed,
        )
        self.assertEqual(b"r1", request.request_id)
        self.assertEqual(("POST", 0.9), (request.method, request.time_left))
        self.assertEqual((b"pages.example", b"/p/a%2fb?x=%20+"), (request.host, request.target))
        self.assertEqual(
            (
                b"HTTP/1.1 201 Created\r\n"
                b"x-own: 1\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"content-length: 5\r\n"
                b"connection: close\r\n"
                b"\r\n"
                b"whole"
            ),
            answer,
        )

    async def test_stream_that_is_whole_and_one_that_breaks_off(self):
        self.assertEqual(
            (
                b"HTTP/1.1 200 OK\r\n"
                b"content-type: text/event-stream\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"transfer-encoding: chunked\r\n"
                b"\r\n"
                b"f\r\nid: 1\ndata: a\n\n\r\n"
                b"f\r\nid: 2\ndata: b\n\n\r\n"
                b"0\r\n\r\n"
            ),
            await self.call(b"GET /s/x"),
        )
        self.forwarder.error = BrokenAnswerError("broke off")
        self.assertEqual(
            (
                b"HTTP/1.1 200 OK\r\n"
                b"content-type: text/event-stream\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"transfer-encoding: chunked\r\n"
                b"\r\n"
                b"f\r\nid: 1\ndata: a\n\n\r\n"
            ),
            await self.call(b"GET /s/x"),
        )

    async def test_errors_of_requests_that_did_not_run(self):
        self.forwarder.error = RefusedError("no server could take it", retry_after=0.4)
        self.assertEqual(
            (
                b"HTTP/1.1 503 Service Unavailable\r\n"
                b"content-length: 74\r\n"
                b"retry-after: 0.4\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"\r\n"
                b"refused: no server could take it. Ask again after the time in Retry-After."
            ),
            await self.call(b"GET /p/x"),
        )
        self.forwarder.error = QuarantinedError("crashed", retry_after=30.0)
        self.assertEqual(
            (
                b"HTTP/1.1 503 Service Unavailable\r\n"
                b"content-length: 132\r\n"
                b"retry-after: 30\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"\r\n"
                b"quarantined: crashed. Do not send it again as it is before the time in "
                b"Retry-After; change it, or have the servers' software mended."
            ),
            await self.call(b"GET /p/x"),
        )

    async def test_unknown_route_and_unknown_configuration(self):
        self.assertEqual(
            (
                b"HTTP/1.1 404 Not Found\r\n"
                b"content-length: 103\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"\r\n"
                b"no_route: no route for pages.example. Check the host and the path, or "
                b"add a route to the configuration."
            ),
            await self.call(b"GET /none"),
        )
        self.configuration.current = None
        self.assertEqual(
            (
                b"HTTP/1.1 503 Service Unavailable\r\n"
                b"content-length: 115\r\n"
                b"retry-after: 0.3\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"\r\n"
                b"not_configured: no configuration is known yet. Ask again after the time in "
                b"Retry-After; another daemon may know it."
            ),
            await self.call(b"GET /p/x"),
        )

    async def test_error_without_an_id_while_stopping(self):
        self.lifecycle.schedule = StopSchedule(math.inf, math.inf)
        call = b"GET /none HTTP/1.1\r\nHost: pages.example\r\n\r\n"
        self.assertEqual(
            (
                b"HTTP/1.1 404 Not Found\r\n"
                b"content-length: 103\r\n"
                b"connection: close\r\n"
                b"\r\n"
                b"no_route: no route for pages.example. Check the host and the path, or "
                b"add a route to the configuration."
            ),
            await ask(self.front, call),
        )

    async def test_batch_accepted_and_what_is_read_of_it(self):
        document = {
            "model": "m",
            "step": 4,
            "min-version": 6,
            "desired": 1,
            "requests": [
                {
                    "id": "i1",
                    "path": "/gen",
                    "headers": {"Larkpost-Length-Hint": "40", "Api-Key": "secret"},
                    "body": "aGk=",
                    "tokens": 9,
                    "group": "g",
                    "scorer-url": {
                        "id": "c1",
                        "host": "Score.example",
                        "path": "/score",
                        "body": "Ym8=",
                    },
                }
            ],
        }
        answer = await self.call(b"POST /b/x", orjson.dumps(document))
        self.assertEqual(
            (
                b"HTTP/1.1 202 Accepted\r\n"
                b"content-length: 0\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"\r\n"
            ),
            answer,
        )
        spec = self.batches.specs[0]
        self.assertEqual(("r1", "m", 4), (spec.id, spec.model, spec.step))
        self.assertEqual((6, 1), (spec.minimum_version, spec.desired_groups))
        item = spec.items[0]
        self.assertEqual(("i1", "/gen", b"hi"), (item.id, item.path, item.body))
        self.assertEqual((9, "g", 40), (item.tokens, item.group, item.length_hint))
        self.assertEqual((("Larkpost-Length-Hint", "40"),), item.headers)
        call = item.reward_call
        self.assertEqual(("c1", "score.example"), (call.id, call.host))
        self.assertEqual(("/score", b"bo"), (call.path, call.body))

    async def test_batches_that_cannot_be_read(self):
        self.assertEqual(
            (
                b"HTTP/1.1 400 Bad Request\r\n"
                b"content-length: 27\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"\r\n"
                b"the batch is no JSON object"
            ),
            await self.call(b"POST /b/x", b"[]"),
        )
        self.assertEqual(
            (
                b"HTTP/1.1 405 Method Not Allowed\r\n"
                b"content-length: 0\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"\r\n"
            ),
            await self.call(b"GET /b/x"),
        )

    async def test_page_of_results(self):
        wait = b"Larkpost-Wait-Ms: 1500\r\n"
        answer = await self.call(b"GET /-/lots/b%2F1?after-rev=3", headers=wait)
        self.assertEqual(
            (
                b"HTTP/1.1 200 OK\r\n"
                b"content-type: application/json\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"content-length: 156\r\n"
                b"connection: close\r\n"
                b"\r\n"
                b'{"total":5,"next-token":5,"results":[{"id":"i1","state":"done","message":"a\\nb",'
                b'"versions":[6,7],"score":"sig.c1"},{"id":"i2","state":"dead","message":""}]}'
            ),
            answer,
        )
        await self.call(b"GET /-/lots/b%2F1")
        self.assertEqual([(3, 1.5), (0, 0.0)], self.batches.reads)
        self.assertEqual(
            (
                b"HTTP/1.1 400 Bad Request\r\n"
                b"content-length: 44\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"\r\n"
                b"after-rev is 'x', but must be a whole number"
            ),
            await self.call(b"GET /-/lots/b%2F1?after-rev=x"),
        )

    async def test_body_of_an_item(self):
        self.assertEqual(
            (
                b"HTTP/1.1 200 OK\r\n"
                b"content-length: 11\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"\r\n"
                b"body of i 1"
            ),
            await self.call(b"GET /-/items/b%2F1?id=i%201"),
        )

    async def test_end_of_a_batch(self):
        self.assertEqual(
            (
                b"HTTP/1.1 200 OK\r\n"
                b"content-length: 0\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"\r\n"
            ),
            await self.call(b"DELETE /-/lots/b%2F1"),
        )

    async def test_unknown_batch_call_and_method(self):
        self.assertEqual(
            (
                b"HTTP/1.1 404 Not Found\r\n"
                b"content-length: 112\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"\r\n"
                b"no_such_batch: there is no batch other. Check the id; batches are forgotten some "
                b"time after they were submitted."
            ),
            await self.call(b"GET /-/lots/other"),
        )
        self.assertEqual(
            (
                b"HTTP/1.1 404 Not Found\r\n"
                b"content-length: 0\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"\r\n"
            ),
            await self.call(b"GET /-/other"),
        )
        self.assertEqual(
            (
                b"HTTP/1.1 405 Method Not Allowed\r\n"
                b"content-length: 0\r\n"
                b"larkpost-attempt-id: r1\r\n"
                b"connection: close\r\n"
                b"\r\n"
            ),
            await self.call(b"PUT /-/lots/b%2F1"),
        )

    async def test_readiness(self):
        address = await self.listen(ReadinessApp(self.lifecycle))
        call = b"GET %s HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n"
        self.assertEqual(
            (b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"),
            await ask(address, call % b"/-/ready"),
        )
        self.lifecycle.informed = True
        self.assertEqual(
            (b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"),
            await ask(address, call % b"/-/ready"),
        )
        self.assertEqual(
            (b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"),
            await ask(address, call % b"/ready"),
        )

    async def test_metrics(self):
        address = await self.listen(MetricsApp(lambda: b"figures", "/metrics"))
        call = b"GET %s HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n"
        self.assertEqual(
            (
                b"HTTP/1.1 200 OK\r\n"
                b"content-type: text/plain; version=0.0.4; charset=utf-8\r\n"
                b"content-length: 7\r\n"
                b"connection: close\r\n"
                b"\r\n"
                b"figures"
            ),
            await ask(address, call % b"/metrics"),
        )
        self.assertEqual(
            (
                b"HTTP/1.1 404 Not Found\r\n"
                b"content-type: text/plain; version=0.0.4; charset=utf-8\r\n"
                b"content-length: 0\r\n"
                b"connection: close\r\n"
                b"\r\n"
            ),
            await ask(address, call % b"/"),
        )


class OwnInterfaceTest(unittest.TestCase):
    """Pins the paths of the own interface, and some of its answers; no socket takes part."""

    def setUp(self):
        self.fleet = SimulatedFleet(seed=11)
        self.addCleanup(self.fleet.close)
        daemon = next(iter(self.fleet.world.daemons.values())).daemon
        self.app = make_app(daemon)
        transport = httpx.ASGITransport(self.app)
        self.client = httpx.AsyncClient(transport=transport, base_url="http://daemon")

    def call(self, verb: str, path: str, body: dict | None = None) -> bytes:
        """Makes a call and returns status, headers and body; times and tokens are replaced."""
        headers = {"Larkpost-Request-Id": "r1"}
        reply = self.fleet.run(self.client.request(verb, path, json=body, headers=headers))
        lines = b"".join(b"%s: %s\r\n" % header for header in reply.headers.raw)
        content = re.sub(rb'"created":\d+', b'"created":TIME', reply.content)
        content = re.sub(rb'"content":"[^"]+"', b'"content":"TEXT"', content)
        content = re.sub(rb'"tokens":\[[^\]]+\]', b'"tokens":[TOKENS]', content)
        content = re.sub(rb'("count"|"completion_tokens"):\d+', rb"\1:COUNT", content)
        lines = re.sub(rb"content-length: [1-9]\d*", b"content-length: LENGTH", lines)
        return b"%d\r\n%s\r\n%s" % (reply.status_code, lines, content)

    def test_paths(self):
        paths = [f"{' '.join(sorted(route.methods))} {route.path}" for route in self.app.routes]
        self.assertEqual(
            (
                b"POST /v1/completions\r\n"
                b"POST /v1/chat/completions\r\n"
                b"POST /v1/tickets\r\n"
                b"PUT /v1/batches/{batch}\r\n"
                b"DELETE /v1/batches/{batch}\r\n"
                b"POST /v1/batches/{batch}/pull\r\n"
                b"PUT /v1/policies/{policy}/versions/{version:int}\r\n"
                b"GET HEAD /v1/intent\r\n"
                b"POST /v1/intent/plan\r\n"
                b"POST /v1/intent/confirm\r\n"
                b"GET HEAD /v1/status\r\n"
                b"POST /v1/engines/{engine}/drain\r\n"
                b"GET HEAD /metrics\r\n"
                b"GET HEAD /healthz\r\n"
                b"GET HEAD /readyz\r\n"
                b"POST /internal/v1/{method}"
            ),
            "\r\n".join(paths).encode(),
        )

    def test_chat(self):
        body = {"model": "quotes", "messages": [{"role": "user", "content": "hi"}]}
        self.assertEqual(
            (
                b"200\r\n"
                b"content-length: LENGTH\r\n"
                b"content-type: application/json\r\n"
                b"\r\n"
                b'{"id":"r1","object":"chat.completion","created":TIME,"model":"quotes","choices":[{'
                b'"index":0,"message":{"role":"assistant","content":"TEXT"},"finish_reason":"stop"}],'
                b'"larkpost":{"request":"r1","versions":[{"version":0,"first_token":0,'
                b'"count":COUNT}]},"usage":{"completion_tokens":COUNT}}'
            ),
            self.call("POST", "/v1/chat/completions", body),
        )

    def test_error(self):
        body = {"model": "nobody", "prompt": "x"}
        self.assertEqual(
            (
                b"400\r\n"
                b"content-length: LENGTH\r\n"
                b"content-type: application/json\r\n"
                b"\r\n"
                b'{"error":{"code":"invalid_request","message":"service \'nobody\' is not in the '
                b'intent","remedy":"Name a service of the intent in the field `model`, or admit it '
                b'there.","ran":"no","retry_after":null}}'
            ),
            self.call("POST", "/v1/completions", body),
        )

    def test_batch_is_opened_pulled_and_closed(self):
        shape = INTENT.trainers[0]
        spec = {"trainer": shape.name, "pool": shape.pools[0], "prompts": ["a"]}
        spec |= {"policy_version": 0, "max_tokens": 8}
        self.assertEqual((b"204\r\n\r\n"), self.call("PUT", "/v1/batches/b", spec))
        pull = {"page": 1, "trainer_version": 0}
        self.assertEqual(
            (
                b"200\r\n"
                b"content-length: LENGTH\r\n"
                b"content-type: application/json\r\n"
                b"\r\n"
                b'{"batch":"b","page":1,"samples":[{"slot":0,"prompt":0,"tokens":[TOKENS],'
                b'"versions":[{"version":0,"first_token":0,"count":COUNT}]}],"remaining":0}'
            ),
            self.call("POST", "/v1/batches/b/pull", pull),
        )
        self.assertEqual((b"204\r\n\r\n"), self.call("DELETE", "/v1/batches/b"))
        self.assertEqual(
            (
                b"404\r\n"
                b"content-length: LENGTH\r\n"
                b"content-type: application/json\r\n"
                b"\r\n"
                b'{"error":{"code":"unknown_batch","message":"batch \'b\' is not known","remedy":'
                b'"Open the batch again under the same id, with the slots you already hold.",'
                b'"ran":"no","retry_after":null}}'
            ),
            self.call("POST", "/v1/batches/b/pull", pull),
        )
