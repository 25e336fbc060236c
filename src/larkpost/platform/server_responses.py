"""A server's response: its head, its body, and the detection of incomplete bodies."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp

from larkpost.common.ids import Address
from larkpost.gateway.servers.port import BrokenResponseError, Headers, StreamEvent
from larkpost.platform import names
from larkpost.platform.connections import CheckedConnector
from larkpost.platform.event_stream import EventDecoder
from larkpost.platform.server_messages import (
    read_cold_seconds,
    read_int_header,
    read_keep_alive,
    read_load,
)

LOST_CONNECTIONS = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
    ConnectionError,
)
"""Errors raised if the connection is lost before the response is complete."""
RESPONSE_FAILURES = (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError)
"""Errors that a call may raise."""
MAX_CHUNK_BYTES = 65536
"""Maximum size of a chunk of the body; smaller chunks are passed on as they arrive."""
EVENTS_PER_TURN = 64
"""Events after which other tasks get a turn, as a server may send thousands of them at once."""
EMPTY_STATUSES = (204, 304)
"""Statuses of responses without a body, whatever their headers say."""


class HttpResponse:
    """A response from a server; implements `larkpost.gateway.servers.port.ServerResponse`."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        connection = response.connection
        self._protocol = connection.protocol if connection is not None else None
        self.status = response.status
        self.headers: Headers = tuple(response.raw_headers)
        self.load = read_load(response.headers)
        # A single version, despite the plural in the header's name.
        self.version = read_int_header(response.headers, names.WEIGHT_VERSIONS)
        self.cold_left = read_cold_seconds(response.headers)
        self.signature = response.headers.get(names.SERVER_SIGNATURE.decode())

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; see `ServerResponse.chunks`."""
        if "Content-Encoding" in self._response.headers:
            raise BrokenResponseError("the body is encoded, but no encoding was requested")
        try:
            async for chunk in self._response.content.iter_chunked(MAX_CHUNK_BYTES):
                yield chunk
        except RESPONSE_FAILURES as error:
            raise broken_response("", error) from None
        if self._was_reset():
            raise BrokenResponseError(
                "the connection was reset within a body without a length", connection_lost=True
            )

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yields the body's events; see `ServerResponse.events`."""
        decoder = EventDecoder()
        count = 0
        async for chunk in self.chunks():
            try:
                for event in decoder.feed(chunk):
                    yield event
                    count += 1
                    if count % EVENTS_PER_TURN == 0:
                        await asyncio.sleep(0)
            except ValueError as error:
                raise BrokenResponseError(f"the event stream is malformed: {error}") from None
        if decoder.has_partial_event:
            raise BrokenResponseError("the stream ended within an event", connection_lost=True)

    def _was_reset(self) -> bool:
        """Returns whether the connection of a body without a length was not closed in order."""
        headers = self._response.headers
        is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if is_framed or self.status in EMPTY_STATUSES:
            return False
        if self._protocol is None:
            return True
        return not isinstance(self._protocol.exception(), aiohttp.ServerDisconnectedError)


def broken_response(prefix: str, error: Exception) -> BrokenResponseError:
    """Returns the error for an incomplete response."""
    return BrokenResponseError(
        f"{prefix}{type(error).__name__}: {error}",
        connection_lost=isinstance(error, LOST_CONNECTIONS),
    )


def record_keep_alive(
    connector: CheckedConnector, server: Address, response: aiohttp.ClientResponse
) -> None:
    """Records the server's keep-alive timeout, if the response announces it."""
    seconds = read_keep_alive(response.headers)
    if seconds is not None:
        connector.record_keep_alive(server, seconds)
