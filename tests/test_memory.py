"""A daemon process stays within a memory limit of 160 MB, though bodies and responses exceed it.

The store is a process of its own; the server and the clients run in the test.
"""

import asyncio
import contextlib
import hashlib
import tempfile
import time
import unittest
from pathlib import Path
from socket import SO_RCVBUF, SOL_SOCKET, socket

import orjson

from larkpost.common.addresses import split_address
from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.store.port import RowKey, Transaction
from larkpost.platform import names
from larkpost.platform.stand_in.daemon_settings import DaemonSettings, ready_path, write_settings
from larkpost.platform.stand_in.rows import (
    HOST,
    LIMITS,
    PAGE_PREFIX,
    StandInServer,
    server_transaction,
)
from larkpost.platform.store import HttpStore
from larkpost.rehearsal.processes import ProcessGroup, free_address, is_responding
from tests.connections import ConnectionServer

MACHINE_MB = 160
MACHINE_BYTES = MACHINE_MB * 1_000_000
ROW_BYTES = 65536
PAGES = ServiceName("pages")
READERS = 40
ANSWER_BYTES = 6_000_000
BODY_BYTES = 30_000_000
HEARTBEAT_SECONDS = 0.4
START_SECONDS = 20.0
WAIT_SECONDS = 60.0
READ_BYTES = 50_000
READ_SECONDS = 0.05
"""A slow client reads 1 MB per second."""
BLOCK = bytes(range(256)) * 256


class Server:
    """Responds with a digest of the body, or with a large body if the target ends in ``large``."""

    async def serve(self, reader, writer) -> None:
        """Serves one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                lines = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
                digest = hashlib.sha256()
                left = int(lines.get(b"Content-Length", 0))
                while left:
                    part = await reader.readexactly(min(left, len(BLOCK)))
                    digest.update(part)
                    left -= len(part)
                target = head.split(b" ")[1]
                is_large = target.endswith(b"large")
                size = ANSWER_BYTES if is_large else digest.digest_size
                writer.write(
                    b"HTTP/1.1 200 OK\r\nLarkpost-Attempt-Id: %b\r\nLarkpost-Server-Stamp: s\r\n"
                    b"Content-Length: %d\r\n\r\n" % (lines[b"larkpost-attempt-id"], size)
                )
                if not is_large:
                    writer.write(digest.digest())
                while is_large and size:
                    writer.write(BLOCK[: min(size, len(BLOCK))])
                    size -= min(size, len(BLOCK))
                    await writer.drain()


class MemoryTest(unittest.IsolatedAsyncioTestCase):
    """One daemon with one server."""

    async def asyncSetUp(self):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        group = self.enterContext(ProcessGroup(folder))
        store = free_address()
        group.start_module("store", "larkpost.platform.stand_in.programs", "store", store)
        self.client = HttpStore(store, ROW_BYTES)
        self.addAsyncCleanup(self.client.close)
        server_address = free_address()
        self.server = Server()
        listening = ConnectionServer(self.server.serve)
        await listening.start(*split_address(server_address))
        self.addAsyncCleanup(listening.close)
        front, ready, peer = free_address(), free_address(), free_address()
        settings = DaemonSettings("daemon", ZoneId("z"), front, ready, peer, store, MACHINE_MB)
        environment = write_settings(settings, folder)
        self.daemon = group.start_module(
            "daemon", "larkpost.platform.process", environment=environment
        )
        self.front = split_address(front)
        listing_task = asyncio.create_task(self.keep_listed(server_address))
        self.addCleanup(listing_task.cancel)
        async with asyncio.timeout(START_SECONDS):
            while not await asyncio.to_thread(is_responding, ready, ready_path()):
                await asyncio.sleep(0.1)
            while (await self.ask(b"small"))[0] != 200:
                await asyncio.sleep(0.1)

    async def keep_listed(self, server_address: Address) -> None:
        """Writes the configuration, and the server's entry with each heartbeat."""
        server = StandInServer(InstanceId("e0"), PAGES, server_address, ZoneId("z"), 64, {})
        while True:
            await self.client.write(self.configuration(), 1.0)
            await self.client.write(server_transaction(server), 1.0)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def configuration(self) -> Transaction:
        """Returns the transaction that writes a configuration with one route."""
        route = {
            "name": "pages",
            "host": HOST,
            "path-prefix": PAGE_PREFIX,
            "kind": "idempotent",
            "timeout-ms": 30000,
            "target-ms": 10000,
            "service": PAGES,
            "max-attempts": 2,
        }
        document = {
            "version": 1,
            "routes": [route],
            "services": [{"name": PAGES, "health-path": "/health", "max-conns": 200}],
            "limits": LIMITS,
        }
        key = RowKey(names.OPERATOR_TABLE, "", names.CONFIGURATION_KEY)
        return Transaction(puts=((key, orjson.dumps(document)),))

    def head(self, target: bytes, length: int) -> bytes:
        """Returns the head of a request."""
        return b"\r\n".join(
            (
                b"POST %b%b HTTP/1.1" % (PAGE_PREFIX.encode(), target),
                b"Host: %b" % HOST.encode(),
                b"Larkpost-Attempt-Id: r1",
                b"Content-Length: %d" % length,
                b"\r\n",
            )
        )

    async def connect(self):
        """Opens a connection with a small receive buffer."""
        raw = socket()
        raw.setsockopt(SOL_SOCKET, SO_RCVBUF, READ_BYTES)
        raw.setblocking(False)
        await asyncio.get_running_loop().sock_connect(raw, self.front)
        reader, writer = await asyncio.open_connection(sock=raw, limit=READ_BYTES)
        self.addCleanup(writer.close)
        return reader, writer

    async def ask(self, target: bytes, body: bytes = b"") -> tuple[int, bytes]:
        """Returns the status and the body of a response."""
        reader, writer = await self.connect()
        try:
            writer.write(self.head(target, len(body)) + body)
            status, length = await self.read_head(reader)
            return status, await reader.readexactly(length)
        finally:
            writer.close()

    async def read_head(self, reader) -> tuple[int, int]:
        """Reads the head of a response; returns its status and content length."""
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        (length,) = [line for line in head.split(b"\r\n") if line.startswith(b"content-length")]
        return int(head.split(b" ")[1]), int(length.split(b":")[1])

    def peak(self) -> int:
        """Returns the daemon's peak resident memory in bytes."""
        text = Path(f"/proc/{self.daemon.popen.pid}/status").read_text(encoding="utf-8")
        (line,) = [line for line in text.splitlines() if line.startswith("VmHWM:")]
        return int(line.split()[1]) * 1024

    def assert_fits(self) -> None:
        """Checks that the daemon runs and its peak memory is below the limit."""
        self.assertIsNone(self.daemon.popen.poll())
        self.assertLess(self.peak(), MACHINE_BYTES)

    async def test_forty_slow_readers_get_their_answers_within_the_memory_of_the_machine(self):
        """40 responses of 6 MB to clients that read 1 MB per second."""

        async def read_slowly() -> int:
            reader, writer = await self.connect()
            writer.write(self.head(b"large", 0))
            status, length = await self.read_head(reader)
            received = 0
            while received < length:
                part = await reader.read(READ_BYTES)
                if not part:
                    break
                received += len(part)
                await asyncio.sleep(READ_SECONDS)
            return received if status == 200 else 0

        async with asyncio.timeout(WAIT_SECONDS):
            received = await asyncio.gather(*(read_slowly() for _ in range(READERS)))
        self.assertEqual([ANSWER_BYTES] * READERS, received)
        self.assert_fits()

    async def test_forty_clients_that_read_nothing_are_let_go_while_others_are_served(self):
        connections = [await self.connect() for _ in range(READERS)]
        for _, writer in connections:
            writer.write(self.head(b"large", 0))
        until = time.monotonic() + 5.0
        while time.monotonic() < until:
            self.assertEqual(200, (await self.ask(b"small"))[0])
            await asyncio.sleep(0.1)
        self.assert_fits()
        async with asyncio.timeout(WAIT_SECONDS):
            ends = await asyncio.gather(
                *(reader.read(-1) for reader, _ in connections), return_exceptions=True
            )
        self.assertEqual(200, (await self.ask(b"small"))[0])
        self.assert_fits()
        whole = [end for end in ends if isinstance(end, bytes) and len(end) >= ANSWER_BYTES]
        self.assertLess(len(whole), READERS)

    async def test_body_of_30_mb_fits_and_several_at_once_do_not_end_the_daemon(self):
        body = BLOCK * (BODY_BYTES // len(BLOCK))
        digest = hashlib.sha256(body).digest()
        async with asyncio.timeout(WAIT_SECONDS):
            self.assertEqual((200, digest), await self.ask(b"body", body))
            self.assert_fits()
            outcomes = await asyncio.gather(*(self.ask(b"body", body) for _ in range(6)))
        self.assertLessEqual({status for status, _ in outcomes}, {200, 503})
        self.assertIn((200, digest), outcomes)
        self.assertIn(503, [status for status, _ in outcomes])
        self.assert_fits()


if __name__ == "__main__":
    unittest.main()
