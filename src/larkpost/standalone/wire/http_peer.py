"""The port to other daemons over UDP datagrams and HTTP requests, with asyncio and aiohttp."""

import asyncio

import aiohttp

from larkpost.common.addresses import split_address
from larkpost.common.ids import Address
from larkpost.common.limited_body import read_limited
from larkpost.standalone.telemetry import Telemetry
from larkpost.standalone.wire.peer import DatagramHandler, PeerError, PeerMethod

PEER_PATH = "/internal/v1/"
MAX_BODY_BYTES = 33_554_432
"""Maximum body of an answer; a whole batch has a few MB at most."""
HTTP_OVERHEAD_BYTES = 300
"""Estimated bytes of HTTP headers, counted for each request and for each response."""


class HttpPeerTransport:
    """Sends datagrams from the listening port, and requests through a shared client session."""

    def __init__(self, session: aiohttp.ClientSession, telemetry_source: "TelemetrySource") -> None:
        self._session = session
        self._source = telemetry_source
        self._datagrams: asyncio.DatagramTransport | None = None

    async def listen(self, address: Address, handler: DatagramHandler) -> None:
        """Binds the UDP port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(handler), local_addr=split_address(address)
        )
        self._datagrams = transport

    def close(self) -> None:
        """Closes the UDP port."""
        if self._datagrams is not None:
            self._datagrams.close()

    def send(self, address: Address, data: bytes) -> None:
        if self._datagrams is not None:
            self._datagrams.sendto(data, split_address(address))

    async def request(
        self, address: Address, method: PeerMethod, payload: bytes, timeout: float
    ) -> bytes:
        url = f"http://{address}{PEER_PATH}{method}"
        client_timeout = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self._session.post(url, data=payload, timeout=client_timeout) as response:
                body = await read_limited(response, MAX_BODY_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PeerError(f"{method} to {address}: {error!r}") from error
        self._count(len(payload), len(body))
        if response.status != 200:
            raise PeerError(f"{method} to {address}: status {response.status}")
        return body

    def _count(self, sent: int, received: int) -> None:
        telemetry = self._source.telemetry
        if telemetry is not None:
            telemetry.count("control_bytes_sent", sent + HTTP_OVERHEAD_BYTES, kind="request")
            telemetry.count(
                "control_bytes_received", received + HTTP_OVERHEAD_BYTES, kind="request"
            )


class TelemetrySource:
    """Holds the daemon's telemetry, which is created after the transport that uses it."""

    def __init__(self) -> None:
        self.telemetry: Telemetry | None = None


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, handler: DatagramHandler) -> None:
        self._handler = handler

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._handler(data)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors of earlier datagrams; membership probes detect unreachable daemons."""
