"""Clients that keep their connections and send streams on them until the daemon closes them."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.addresses import split_address
from larkpost.common.ids import Address
from larkpost.platform import names
from larkpost.platform.stand_in.rows import HOST, READING, tenant_api_key

STREAM_PREFIX = "/streams/"
"""Path prefix of requests that a server answers with a stream; they may run only once."""
PAUSE_SECONDS = (0.05, 0.6)
"""Bounds of the time for which a connection rests between two requests."""
REST_SECONDS = 4.0
"""Longest rest, which some requests take; less than the daemons' idle time."""
LONG_REST_SHARE = 0.2
DEADLINE_MS = 12_000
ANSWER_SECONDS = 20.0
CONNECT_SECONDS = 1.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""


@dataclass(slots=True)
class KeptRequest:
    """A stream on a kept connection; times are monotonic.

    Attributes:
        front: address of the daemon's front that took the connection.
        status: status of the complete response; None if there was none.
    """

    name: str
    front: Address
    sent_at: float
    ended_at: float = float("inf")
    status: int | None = None


class KeptConnections:
    """Some clients, each with one connection at a time.

    Args:
        fronts: returns the addresses at which clients reach the daemons.
        version: returns the newest configuration version, whose key is sent.
    """

    def __init__(
        self,
        fronts: Callable[[], list[Address]],
        rng: random.Random,
        version: Callable[[], int],
        register: Callable[[str], None],
    ) -> None:
        self._fronts = fronts
        self._rng = rng
        self._version = version
        self._register = register
        self.requests: list[KeptRequest] = []

    async def run(self, clients: int, until: float) -> None:
        """Lets some clients send requests until a monotonic time."""
        await asyncio.gather(*(self._run_client(until) for _ in range(clients)))

    async def _run_client(self, until: float) -> None:
        while time.monotonic() < until:
            front = self._rng.choice(self._fronts())
            try:
                async with asyncio.timeout(CONNECT_SECONDS):
                    reader, writer = await asyncio.open_connection(*split_address(front))
            except (OSError, TimeoutError):
                await asyncio.sleep(PAUSE_SECONDS[0])
                continue
            try:
                await self._use(front, reader, writer, until)
            finally:
                writer.transport.abort()

    async def _use(
        self,
        front: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        until: float,
    ) -> None:
        """Sends requests on a connection until it is closed."""
        while time.monotonic() < until and not reader.at_eof():
            request = KeptRequest(f"k{self._rng.getrandbits(60):x}", front, time.monotonic())
            self._register(request.name)
            self.requests.append(request)
            is_open = False
            try:
                async with asyncio.timeout(ANSWER_SECONDS):
                    writer.write(self._head(request.name))
                    is_open = await _read_response(reader, request)
            except (asyncio.IncompleteReadError, ConnectionError, TimeoutError, ValueError):
                pass  # its status stays None
            request.ended_at = time.monotonic()
            if not is_open:
                return
            rests_long = self._rng.random() < LONG_REST_SHARE
            await asyncio.sleep(REST_SECONDS if rests_long else self._rng.uniform(*PAUSE_SECONDS))

    def _head(self, name: str) -> bytes:
        lines = (
            f"POST {STREAM_PREFIX}{name} HTTP/1.1",
            f"Host: {HOST}",
            f"{names.API_KEY.decode()}: {tenant_api_key(READING, self._version())}",
            f"{names.REQUEST_ID.decode()}: {name}",
            f"{names.DEADLINE_MS.decode()}: {DEADLINE_MS}",
            "Content-Length: 0",
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def _read_response(reader: asyncio.StreamReader, request: KeptRequest) -> bool:
    """Reads a response; returns whether the connection stays open."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    if b"transfer-encoding: chunked" in head:
        while (size := int(await reader.readuntil(b"\r\n"), 16)) > 0:
            await reader.readexactly(size + 2)
        await reader.readexactly(2)
    else:
        await reader.readexactly(int(head.partition(b"content-length: ")[2].partition(b"\r")[0]))
    request.status = int(head.split(b" ")[1])
    return b"connection: close" not in head
