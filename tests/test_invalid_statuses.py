"""Tests of servers whose responses have a status that no final response has, on each path.

Guard against a status such as 000 that reaches a caller, or that ends its connection unanswered.
"""

import asyncio
import contextlib
import itertools
import unittest

from larkpost.common.ids import Address
from larkpost.gateway.scaling.port import ScalingOutcome
from larkpost.gateway.servers.port import BrokenResponseError, OrderOutcome
from larkpost.gateway.store.port import (
    RowKey,
    StoreUnavailableError,
    Transaction,
    WriteOutcome,
)
from larkpost.gateway.usage.port import ReportOutcome
from larkpost.platform.duties import HttpDuties
from larkpost.platform.store import HttpStore
from larkpost.rehearsal.processes import free_address
from tests.hostile_servers import LEASE, ORDER, SCALING, USAGE, HostileServerCase, ServerThread
from tests.server_parts import make_instance
from tests.test_platform_servers import ECHO, request

INVALID = (b"000", b"001", b"099", b"101", b"600", b"999", b"0", b"20", b"2000", b"0200", b"-200")
"""Statuses of no final response. The pages' clients take three digits; 101 leaves HTTP."""
INTERIM = (b"100", b"102", b"103", b"199")
"""Statuses of interim responses, after which the final one is still due."""
EMPTY = (b"204", b"304")
"""Statuses of responses without a body, whatever their head says."""
MARKED = b"Larkpost-Not-Executed: 1\r\n"
BODY = b"the body"
ASK_SECONDS = 3.0
CALL_SECONDS = 0.5
UNSURE = (b"HTTP/1.1 502", b"HTTP/1.1 504")
"""What a client gets whose request may have run, and that got no response."""


def respond(status: bytes, headers: bytes = ECHO, body: bytes = BODY) -> bytes:
    """Returns a response with a length."""
    return b"HTTP/1.1 %b X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)


class InvalidStatusTest(HostileServerCase):
    """A signed response to the request, but for its status."""

    async def test_client_gets_an_error_of_larkposts_own(self):
        for path, status in itertools.product((b"/p/", b"/o/", b"/s/"), INVALID):
            self.server.beginning = respond(status)
            head, content, is_ended = await self.ask(path, ASK_SECONDS)
            with self.subTest(path=path, status=status):
                self.assertTrue(is_ended)
                self.assertTrue(head.startswith(UNSURE), head)
                self.assertNotIn(b"larkpost-server-stamp", head.lower())
                self.assertNotIn(BODY, content)

    async def test_items_and_reward_calls_get_no_response(self):
        for status, headers in itertools.product(INVALID, (ECHO, ECHO + MARKED, MARKED)):
            self.server.beginning = respond(status, headers)
            with self.subTest(status=status, headers=headers):
                with self.assertRaises(BrokenResponseError) as caught:
                    async with asyncio.timeout(ASK_SECONDS):
                        async with self.servers.send(self.instance, request()):
                            self.fail("it looks like a response")
                self.assertFalse(caught.exception.connection_lost, "it would count as a crash")
                self.assertFalse(self.servers.is_connected(self.instance))

    async def test_idempotent_request_is_answered_by_another_server(self):
        other = make_instance("e1", address=Address(free_address()))
        responses = respond(b"200", body=b"of another server")

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(responses)

        thread = ServerThread(serve, other.address)
        await asyncio.to_thread(thread.start)
        self.addAsyncCleanup(asyncio.to_thread, thread.stop)
        self.directory.update(other)
        for status in INVALID:
            self.server.beginning = respond(status)
            with self.subTest(status=status):
                head, content, _ = await self.ask(b"/p/", ASK_SECONDS)
                self.assertTrue(head.startswith(b"HTTP/1.1 200"), head)
                self.assertTrue(content.endswith(b"of another server"))

    async def test_reports_and_orders_are_unknown(self):
        for status in INVALID:
            self.server.beginning = respond(status, b"", b'{"seq":3,"busy":false,"models":[]}')
            with self.subTest(status=status):
                self.assertIsNone(await self.servers.report(self.instance, CALL_SECONDS))
                outcome = await self.servers.order(self.instance, ORDER, CALL_SECONDS)
                self.assertIs(OrderOutcome.UNKNOWN, outcome)

    async def test_store_or_peer_is_unavailable(self):
        store = HttpStore(self.own, 65536)
        self.addAsyncCleanup(store.close)
        change = Transaction(puts=((RowKey("t", "p", "k"), b"x"),))
        for status in INVALID:
            self.server.beginning = respond(status, b"", b'{"ver":1,"rows":[],"more":false}')
            with self.subTest(status=status):
                with self.assertRaises(StoreUnavailableError):
                    await store.read("t", "p")
                written = await store.write(change, CALL_SECONDS)
                self.assertIs(WriteOutcome.UNKNOWN, written.outcome)
                relayed = await store.relay_call("GET", "/rows?table=t", None)
                self.assertEqual((504, b""), relayed)

    async def test_usage_reports_and_scaling_orders_are_unknown(self):
        duties = HttpDuties(self.own)
        self.addAsyncCleanup(duties.close)
        for status in INVALID:
            self.server.beginning = respond(status, b"")
            with self.subTest(status=status):
                reported = await duties.report_usage(USAGE, "daemon", LEASE, CALL_SECONDS)
                self.assertIs(ReportOutcome.UNKNOWN, reported)
                ordered = await duties.order_servers(SCALING, "daemon", LEASE, CALL_SECONDS)
                self.assertIs(ScalingOutcome.UNKNOWN, ordered)


class OtherStatusTest(HostileServerCase):
    """Statuses that are valid, but come without what others come with."""

    async def test_final_response_follows_interim_ones(self):
        for path, status in itertools.product((b"/p/", b"/o/"), INTERIM):
            interim = b"HTTP/1.1 %b X\r\n\r\n" % status
            self.server.beginning = interim * 2 + respond(b"200")
            with self.subTest(path=path, status=status):
                head, content, _ = await self.ask(path, ASK_SECONDS)
                self.assertTrue(head.startswith(b"HTTP/1.1 200"), head)
                self.assertTrue(content.endswith(BODY))

    async def test_interim_response_alone_is_none(self):
        for path, status in itertools.product((b"/p/", b"/o/", b"/s/"), INTERIM):
            self.server.beginning = respond(status)
            with self.subTest(path=path, status=status):
                head, _, is_ended = await self.ask(path, ASK_SECONDS)
                self.assertTrue(is_ended)
                self.assertTrue(head.startswith(UNSURE), head)

    async def test_body_of_an_empty_response_belongs_to_none(self):
        """The body makes it a broken response if it comes with the head."""
        for path, status in itertools.product((b"/p/", b"/o/"), EMPTY):
            self.server.beginning = respond(status)
            with self.subTest(path=path, status=status):
                head, content, is_ended = await self.ask(path, ASK_SECONDS)
                self.assertTrue(is_ended)
                self.assertTrue(head.startswith((b"HTTP/1.1 %b" % status, *UNSURE)), head)
                self.assertNotIn(BODY, content)

    async def test_connection_with_the_body_of_an_empty_response_is_not_reused(self):
        for status in EMPTY:
            self.server.beginning = respond(status, body=b"")
            self.server.endless = BODY
            with self.subTest(status=status):
                with contextlib.suppress(BrokenResponseError):
                    async with self.servers.send(self.instance, request()) as response:
                        self.assertEqual([], [chunk async for chunk in response.chunks()])
                await asyncio.sleep(0.05)
                self.assertFalse(self.servers.is_connected(self.instance))


if __name__ == "__main__":
    unittest.main()
