"""A daemon that runs out of descriptors closes idle connections, then reports not ready."""

import asyncio
import errno
import unittest

from larkpost.common.ids import Address
from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.platform.descriptors import (
    RESERVED_DESCRIPTORS,
    DescriptorMonitor,
    DescriptorUse,
)
from larkpost.platform.http_protocol import Listener
from larkpost.rehearsal.processes import free_address

SOCKETS = 20
"""Maximum number of sockets of the daemon under test."""
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class SlowApp:
    """Answers requests for ``/`` at once, others when `release` is set."""

    def __init__(self) -> None:
        self.release = asyncio.Event()

    async def __call__(self, scope, receive, send) -> None:
        """Answers one request."""
        if scope["path"] != "/":
            await self.release.wait()
        headers = [(b"content-length", b"2")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"ok"})


class DescriptorTest(unittest.IsolatedAsyncioTestCase):
    """A listener on loopback, its descriptor monitor, and clients."""

    async def asyncSetUp(self):
        self.lifecycle = Lifecycle()
        self.lifecycle.informed = True
        self.app = SlowApp()
        address = Address(free_address())
        self.listener = Listener(self.app, address)
        await self.listener.start()
        self.addAsyncCleanup(self.listener.close)
        self.host, port = address.split(":")
        self.port = int(port)
        self.monitor = DescriptorMonitor(
            RESERVED_DESCRIPTORS + SOCKETS,
            lambda: len(self.listener.connections),
            self.listener.close_idle,
            self.lifecycle,
            EventLog("daemon"),
        )

    async def connect(self, request: bytes):
        """Opens a connection and sends a request."""
        reader, writer = await asyncio.open_connection(self.host, self.port)
        self.addCleanup(writer.close)
        writer.write(request)
        return reader, writer

    async def open_idle(self, count: int) -> list:
        """Opens connections that are idle after a response, and returns their readers."""
        readers = []
        for _ in range(count):
            reader, _ = await self.connect(REQUEST)
            await reader.readuntil(b"ok")
            readers.append(reader)
        return readers

    async def open_busy(self, count: int) -> list:
        """Opens connections with requests in progress, and returns their readers."""
        slow = REQUEST.replace(b"/ ", b"/slow ", 1)
        readers = [(await self.connect(slow))[0] for _ in range(count)]
        await asyncio.sleep(0.05)
        return readers

    async def test_few_idle_connections_are_left_open(self):
        readers = await self.open_idle(SOCKETS // 2)
        self.monitor.check()
        await asyncio.sleep(0.05)
        self.assertFalse(any(reader.at_eof() for reader in readers))

    async def test_longest_idle_connections_are_closed_before_descriptors_run_out(self):
        working = await self.open_busy(4)
        idle = await self.open_idle(14)
        self.monitor.check()
        await asyncio.sleep(0.05)
        self.assertEqual([True] * 3 + [False] * 11, [reader.at_eof() for reader in idle])
        self.assertTrue(self.lifecycle.ready)
        self.app.release.set()
        for reader in working:
            await asyncio.wait_for(reader.readuntil(b"ok"), 1)

    async def test_daemon_whose_connections_are_all_in_use_is_not_ready_until_some_end(self):
        working = await self.open_busy(SOCKETS)
        self.monitor.check()
        self.assertFalse(self.lifecycle.ready)
        self.app.release.set()
        for reader in working:
            await asyncio.wait_for(reader.readuntil(b"ok"), 1)
        self.monitor.check()
        self.assertTrue(self.lifecycle.ready)

    async def test_failure_to_accept_closes_idle_connections_at_once(self):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.monitor.handle_loop_error)
        self.addCleanup(loop.set_exception_handler, None)
        context = {
            "message": "socket.accept() out of system resource",
            "exception": OSError(errno.EMFILE, "Too many open files"),
        }
        loop.call_exception_handler(context)
        self.assertFalse(self.lifecycle.ready)
        (reader,) = await self.open_idle(1)
        loop.call_exception_handler(context)
        await asyncio.sleep(0.05)
        self.assertTrue(reader.at_eof())
        self.assertTrue(self.lifecycle.ready)


class DescriptorUseTest(unittest.TestCase):
    """The thresholds."""

    def test_rule_by_cases(self):
        for used, closed, must_close_idle, above_calm, can_accept in (
            (0, 0, False, -75, True),
            (84, 0, False, 9, True),
            (85, 0, True, 10, True),
            (94, 0, True, 19, True),
            (95, 0, True, 20, False),
            (95, 1, True, 20, True),
            (200, 105, True, 125, False),
            (200, 106, True, 125, True),
        ):
            use = DescriptorUse(used, limit=100)
            found = (use.must_close_idle(), use.count_excess(), use.can_accept(closed))
            self.assertEqual((must_close_idle, above_calm, can_accept), found, (used, closed))


if __name__ == "__main__":
    unittest.main()
