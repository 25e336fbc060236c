"""Tests of servers that close in the middle of their response's head, on each path.

Guard against a success with an empty or short body that looks whole.
"""

import asyncio
import itertools
import unittest

from larkpost.gateway.scaling.port import ScalingOutcome
from larkpost.gateway.servers.port import BrokenResponseError, OrderOutcome
from larkpost.gateway.store.port import StoreUnavailableError
from larkpost.gateway.usage.port import ReportOutcome
from larkpost.platform.duties import HttpDuties
from larkpost.platform.store import HttpStore
from tests.hostile_servers import LEASE, ORDER, SCALING, USAGE, HostileServerCase
from tests.test_platform_servers import ECHO, request

BODY = b'{"a": "the whole body"}'
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
WHOLE = {
    "with a length": b"HTTP/1.1 200 OK\r\n" + ECHO + LENGTH + b"\r\n" + BODY,
    "length first": b"HTTP/1.1 200 OK\r\n" + LENGTH + ECHO + b"\r\n" + BODY,
    "chunked": b"HTTP/1.1 200 OK\r\n"
    + ECHO
    + CHUNKED
    + b"\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY),
    "until close": b"HTTP/1.1 200 OK\r\n" + ECHO + b"\r\n" + BODY,
    "bare line feeds": (b"HTTP/1.1 200 OK\r\n" + ECHO + LENGTH + b"\r\n").replace(b"\r\n", b"\n")
    + BODY,
}
ASK_SECONDS = 3.0
REPORT_SECONDS = 0.5


def heads() -> list[tuple[str, bytes]]:
    """Returns each response cut after each byte of its head, from an empty one on."""
    cuts = []
    for name, answer in WHOLE.items():
        end = b"\n\n" if name == "bare line feeds" else b"\r\n\r\n"
        cuts += [(name, answer[:cut]) for cut in range(answer.index(end) + len(end))]
    return cuts


class CutHeadTest(HostileServerCase):
    """A server that closes, or resets its connection, before the head of its response is whole."""

    async def test_client_gets_no_success(self):
        for path, resets, (name, head) in itertools.product(
            (b"/p/", b"/s/"), (False, True), heads()
        ):
            self.server.resets, self.server.beginning = resets, head
            answer, content, is_ended = await self.ask(path, ASK_SECONDS)
            with self.subTest(path=path, resets=resets, answer=name, head=head):
                self.assertTrue(is_ended)
                self.assertFalse(answer.startswith(b"HTTP/1.1 2"), content)

    async def test_items_and_reward_calls_get_no_response(self):
        for resets, (name, head) in itertools.product((False, True), heads()):
            self.server.resets, self.server.beginning = resets, head
            with (
                self.subTest(resets=resets, answer=name, head=head),
                self.assertRaises(BrokenResponseError),
            ):
                async with asyncio.timeout(ASK_SECONDS):
                    async with self.servers.send(self.instance, request()):
                        self.fail("it looks like a response")

    async def test_reports_and_orders_are_unknown(self):
        for resets, (name, head) in itertools.product((False, True), heads()):
            self.server.resets, self.server.beginning = resets, head
            with self.subTest(resets=resets, answer=name, head=head):
                self.assertIsNone(await self.servers.report(self.instance, REPORT_SECONDS))
                outcome = await self.servers.order(self.instance, ORDER, REPORT_SECONDS)
                self.assertIs(OrderOutcome.UNKNOWN, outcome)

    async def test_store_or_peer_is_unavailable(self):
        store = HttpStore(self.own, 65536)
        self.addAsyncCleanup(store.close)
        for resets, (name, head) in itertools.product((False, True), heads()):
            self.server.resets, self.server.beginning = resets, head
            with self.subTest(resets=resets, answer=name, head=head):
                with self.assertRaises(StoreUnavailableError):
                    await store.read("t", "p")
                status, content = await store.relay_call("GET", "/rows?table=t", None)
                self.assertIn((status, content), ((503, b""), (504, b"")))

    async def test_usage_reports_and_scaling_orders_are_unknown(self):
        duties = HttpDuties(self.own)
        self.addAsyncCleanup(duties.close)
        for resets, (name, head) in itertools.product((False, True), heads()):
            self.server.resets, self.server.beginning = resets, head
            with self.subTest(resets=resets, answer=name, head=head):
                reported = await duties.report_usage(USAGE, "daemon", LEASE, REPORT_SECONDS)
                self.assertIs(ReportOutcome.UNKNOWN, reported)
                ordered = await duties.order_servers(SCALING, "daemon", LEASE, REPORT_SECONDS)
                self.assertIs(ScalingOutcome.UNKNOWN, ordered)


class WholeResponseTest(HostileServerCase):
    """The same responses, whole: the tests above would see them."""

    async def test_client_gets_the_success(self):
        for name, answer in WHOLE.items():
            self.server.beginning = answer
            with self.subTest(answer=name):
                head, content, _ = await self.ask(b"/p/", ASK_SECONDS)
                self.assertTrue(head.startswith(b"HTTP/1.1 200"), head)
                self.assertTrue(BODY in content)


if __name__ == "__main__":
    unittest.main()
