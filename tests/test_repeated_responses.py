"""Tests of servers whose responses arrive a second time, where the next response is due.

Guard against an earlier response that counts as another run of the same request: of an item, a
reward call or a request that a client sends again under its id.
"""

import asyncio
import itertools
import unittest
from collections.abc import Callable
from enum import Enum, auto
from unittest import mock

from larkpost.common.ids import Address
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    NotRunError,
    OrderOutcome,
    OutgoingRequest,
    VersionOrder,
)
from larkpost.platform import watched_connection
from larkpost.platform.servers import HttpServers
from larkpost.rehearsal.processes import free_address
from tests.connections import ConnectionServer
from tests.platform_fleet import MODEL, PlatformFleet
from tests.scripted_engines import ScriptedEngines
from tests.server_parts import make_instance
from tests.test_platform_servers import request
from tests.virtual import run

BETWEEN_SECONDS = 0.03
REPORT = b'{"stage":"both","models":[],"busy":false,"seq":%d,"waiting":0,"running":0}'
FAILED, IMPOSSIBLE, REFUSED, STREAM, WHOLE = b"500", b"422", b"503", b"stream", b"200"
KINDS = (FAILED, IMPOSSIBLE, REFUSED, STREAM, WHOLE)


class When(Enum):
    """When a server repeats the response to the request before."""

    AT_ONCE = auto()  # with the response itself
    BETWEEN = auto()  # while the connection rests
    AFTER_HEAD = auto()  # once the next request's head has arrived, before its body
    AFTER_REQUEST = auto()  # once the whole next request has arrived
    NEVER = auto()


class RepeatingServer:
    """Repeats each response once on its connection.

    Attributes:
        kinds: kinds of the responses to the runs, in order; the last one goes on.
        answered: number of requests that it has answered, by any response.
        connections: number of connections to it.
    """

    def __init__(self, when: When, kinds: tuple[bytes, ...]) -> None:
        self._when = when
        self._kinds = kinds
        self.answered = 0
        self.connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        self.connections += 1
        last = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = _fields(head)
                if self._when is When.AFTER_HEAD:
                    writer.write(last)
                await reader.readexactly(int(fields.get(b"content-length", b"0")))
                if self._when is When.AFTER_REQUEST:
                    writer.write(last)
                    await asyncio.sleep(BETWEEN_SECONDS)
                self.answered += 1
                last = self._response(head, fields)
                writer.write(last)
                if self._when is When.BETWEEN:
                    await asyncio.sleep(BETWEEN_SECONDS)
                if self._when in (When.AT_ONCE, When.BETWEEN):
                    writer.write(last)
        except (asyncio.IncompleteReadError, ConnectionError):
            return  # the caller has closed the connection

    def _response(self, head: bytes, fields: dict[bytes, bytes]) -> bytes:
        number = self.answered
        if head.startswith(b"GET /-/report"):
            return _whole(b"200 OK", b"", REPORT % number)
        if head.startswith(b"POST /-/order"):
            return _whole(b"202 Accepted" if number % 2 else b"409 Conflict", b"", b"")
        echo = b"Larkpost-Attempt-Id: %b\r\nLarkpost-Server-Stamp: s%d\r\n" % (
            fields[b"larkpost-attempt-id"],
            number,
        )
        kind = self._kinds[min(number, len(self._kinds)) - 1]
        body = b"run %d" % number
        if kind == REFUSED:
            return _whole(b"503 X", echo + b"Larkpost-Not-Executed: 1\r\n", body)
        if kind == STREAM:
            event = b"id: 1\ndata: %b\n\n" % body
            chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(event), event)
            return b"HTTP/1.1 200 OK\r\n" + echo + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
        return _whole(kind + b" X", echo, body)


def _whole(status: bytes, headers: bytes, body: bytes) -> bytes:
    return b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)


def _fields(head: bytes) -> dict[bytes, bytes]:
    lines = (line.partition(b":") for line in head.split(b"\r\n")[1:])
    return {name.lower(): value.strip() for name, _, value in lines}


class RepeatingServerCase(unittest.IsolatedAsyncioTestCase):
    """Such a server, and the adapter."""

    async def start(self, when: When, *kinds: bytes) -> None:
        """Starts a server and the adapter."""
        self.server = RepeatingServer(when, kinds)
        listener = ConnectionServer(self.server.serve)
        address = free_address()
        host, port = address.split(":")
        await listener.start(host, int(port))
        self.addAsyncCleanup(listener.close)
        self.instance = make_instance("e0", address=Address(address))
        self.servers = HttpServers()
        self.addAsyncCleanup(self.servers.close)

    async def send(self, sent: OutgoingRequest) -> bytes:
        """Returns the kind of a response, and for a response of a run its number."""
        try:
            async with self.servers.send(self.instance, sent) as response:
                if response.status == 200:
                    content = b"".join([chunk async for chunk in response.chunks()])
                else:
                    content = b"%d: " % response.status
                return content + response.signature.encode()
        except NotRunError:
            return REFUSED
        except BrokenResponseError:
            return b"broken"


class RepeatedResponseTest(RepeatingServerCase):
    """Requests that go to such a server one after the other."""

    async def check_each_run(self, when: When, kind: bytes, make: Callable[[int], bytes]) -> None:
        """Checks that each of four requests gets its own response, whatever came before."""
        await self.start(when, kind)
        for number in range(1, 5):
            response = await self.send(request(1, request_id=make(number)))
            before = self.server.answered
            with self.subTest(when=when, kind=kind, number=number):
                if kind == REFUSED:
                    self.assertEqual((REFUSED, number), (response, before))
                else:
                    self.assertTrue(response.endswith(b"s%d" % number), response)
            if when is When.BETWEEN:
                await asyncio.sleep(2 * BETWEEN_SECONDS)

    async def test_runs_of_one_item_get_their_own_responses(self):
        for when, kind in itertools.product(When, KINDS):
            await self.check_each_run(when, kind, lambda _: b"item")

    async def test_runs_of_two_items_in_turn_are_never_taken_for_each_other(self):
        for when, kind in itertools.product(When, KINDS):
            await self.start(when, kind)
            for number in range(1, 7):
                sent = request(1, request_id=b"item-%d" % (number % 2))
                response = await self.send(sent)
                with self.subTest(when=when, kind=kind, number=number):
                    is_own = response.endswith(b"s%d" % self.server.answered)
                    self.assertTrue(is_own or response in (REFUSED, b"broken"), response)

    async def test_last_run_after_two_failures_is_whole(self):
        for when in When:
            await self.start(when, FAILED, FAILED, STREAM)
            responses = [await self.send(request(1)) for _ in range(3)]
            with self.subTest(when=when):
                self.assertTrue(responses[2].startswith(b"id: 1\ndata: run 3\n\n"), responses)

    async def test_order_is_not_answered_by_an_earlier_order(self):
        for when in When:
            await self.start(when)
            for number in range(1, 7):
                outcome = await self.order(number)
                with self.subTest(when=when, number=number):
                    own = OrderOutcome.TAKEN if self.server.answered % 2 else OrderOutcome.BUSY
                    self.assertIs(own, outcome)

    async def test_order_is_at_most_said_to_hold_by_an_earlier_report(self):
        """The loader then asks for another report, as `WeightLoaderTest` shows."""
        for when in When:
            await self.start(when)
            for number in range(1, 7):
                await self.servers.report(self.instance, 1.0)
                outcome = await self.order(number)
                with self.subTest(when=when, number=number):
                    own = OrderOutcome.TAKEN if self.server.answered % 2 else OrderOutcome.BUSY
                    self.assertIn(outcome, (own, OrderOutcome.UNKNOWN, OrderOutcome.HOLDS))

    async def order(self, number: int) -> OrderOutcome:
        """Sends an order and returns its outcome."""
        order = VersionOrder(ModelName("m"), number, "daemon", 5, 3)
        return await self.servers.order(self.instance, order, 1.0)


class WeightLoaderTest(unittest.TestCase):
    """An engine whose order is lost, and said to hold already by the response to a report."""

    def test_engine_gets_the_version_all_the_same(self):
        async def play():
            fleet = PlatformFleet(gateways=1, engines=1)
            await fleet.wait(1.0)
            order, lost = ScriptedEngines.order, []

            async def hold(servers, instance, sent, timeout):
                if len(lost) < 2:
                    lost.append(sent)
                    return OrderOutcome.HOLDS
                return await order(servers, instance, sent, timeout)

            with mock.patch.object(ScriptedEngines, "order", hold):
                fleet.put("operator", MODEL, b"2")
                await fleet.wait(4.0)
            self.assertEqual(2, len(lost))
            self.assertEqual(2, fleet.model_engines()[0].versions[MODEL])

        run(play())


class ConnectionUseTest(RepeatingServerCase):
    """What the rule costs: connections beyond those that the requests need anyway."""

    async def use(self, *ids: bytes) -> int:
        """Returns the connections that requests of these ids take, one after the other."""
        await self.start(When.NEVER, WHOLE)
        for name in ids:
            await self.send(request(1, request_id=name))
        return self.server.connections

    async def test_other_requests_share_a_connection(self):
        self.assertEqual(1, await self.use(*(b"r%d" % number for number in range(20))))

    async def test_repeated_id_takes_one_more(self):
        self.assertEqual(2, await self.use(b"a", b"a", b"b", b"c"))

    async def test_idle_connection_that_has_not_carried_the_id_is_used(self):
        await self.start(When.NEVER, WHOLE)
        await asyncio.gather(*(self.send(request(1, request_id=name)) for name in (b"a", b"b")))
        self.assertEqual(2, self.server.connections)
        for name in (b"a", b"b", b"c", b"d"):
            await self.send(request(1, request_id=name))
        self.assertEqual(2, self.server.connections)

    async def test_id_is_not_repeated_when_the_other_idle_connections_cannot_be_used(self):
        """Connections that are about to close, or closed, are found out only as one is taken."""
        for end in (lambda idle: idle.force_close(), lambda idle: idle.transport.abort()):
            await self.start(When.AFTER_REQUEST, WHOLE)
            await asyncio.gather(*(self.send(request(1, request_id=name)) for name in (b"a", b"b")))
            (entries,) = self.servers._pooled.connector._conns.values()
            for protocol, _ in entries:
                if not protocol.has_carried(b"a"):
                    end(protocol)
            response = await self.send(request(1, request_id=b"a"))
            self.assertTrue(response.endswith(b"s3"), response)
            self.assertEqual(3, self.server.connections)

    async def test_connection_with_many_ids_is_given_up(self):
        limit = watched_connection.MAX_RESPONSE_KEYS
        self.assertEqual(2, await self.use(*(b"r%d" % number for number in range(limit + 1))))


if __name__ == "__main__":
    unittest.main()
