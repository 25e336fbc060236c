"""Writes the response to a client's request."""

from larkpost.common.errors import LarkpostError
from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.memory.delivery import ClientConnection, Delivery
from larkpost.gateway.servers.port import Headers
from larkpost.platform import asgi, names
from larkpost.platform.asgi import Send
from larkpost.platform.client_call import CONNECTION_HEADERS

SEND_CHUNK_BYTES = 65536
"""A response whose delivery is tracked is sent in chunks of this size, each once the connection has
room for it."""


class ResponseAbortedError(Exception):
    """A started response cannot be completed; the connection is closed."""


class ClientResponse:
    """The response to one request.

    Args:
        request_id: the caller's id of the attempt, which the response repeats.
        lifecycle: the daemon's state; while it is stopping, each response closes its connection
            unless another request has been read from it.

    Attributes:
        delivery: tracks how the client receives the response; None if that is not tracked.
        connection: the client's connection; None if unknown.
        closes_connection: whether the response closes its connection even if the daemon is not
            stopping.
    """

    def __init__(
        self,
        send: Send,
        request_id: bytes,
        lifecycle: Lifecycle,
        delivery: Delivery | None = None,
    ) -> None:
        self._send = send
        self._request_id = request_id
        self._lifecycle = lifecycle
        self.delivery = delivery
        self.connection: ClientConnection | None = None
        self.closes_connection = False
        self._started = False

    @property
    def has_started(self) -> bool:
        """Whether a part of the response has been sent."""
        return self._started

    async def send_whole(
        self,
        status: int,
        body: bytes | bytearray = b"",
        headers: Headers = (),
        retry_after: float | None = None,
    ) -> None:
        """Sends a complete response.

        Args:
            headers: headers to forward; unless empty, they must include the request id.
            retry_after: value of ``Retry-After`` in seconds; None to leave it out.
        """
        extra_headers: list[tuple[bytes, bytes]] = [(b"content-length", str(len(body)).encode())]
        if retry_after is not None:
            extra_headers.append((b"retry-after", f"{retry_after:g}".encode()))
        if not headers and self._request_id:
            extra_headers.append((names.REQUEST_ID, self._request_id))
        await self._start(status, headers, extra_headers)
        await self._send_body(body)

    async def send_json(self, content: bytes) -> None:
        """Sends an encoded JSON document as a complete response."""
        headers = ((b"content-type", b"application/json"), (names.REQUEST_ID, self._request_id))
        await self.send_whole(200, content, headers)

    async def send_error(self, error: LarkpostError) -> None:
        """Responds with an error, or aborts a response that has started.

        Raises:
            ResponseAbortedError: the response had started.
        """
        if self._started:
            raise ResponseAbortedError(error.message)
        text = f"{error.code}: {error.message}. {error.remedy}".encode()
        await self.send_whole(error.status, text, retry_after=error.retry_after)

    async def begin(self, status: int, headers: Headers) -> None:
        """Starts a response that is sent in chunks without a declared length."""
        await self._start(status, headers, [])

    async def begin_with_length(self, status: int, headers: Headers) -> None:
        """Starts a response that is sent in chunks, with the length that its headers declare."""
        lengths = [value for name, value in headers if name.lower() == b"content-length"]
        await self._start(status, headers, [(b"content-length", value) for value in lengths[:1]])

    async def send_chunk(self, content: bytes | memoryview) -> None:
        """Sends a chunk of a started response once the connection has room for it.

        Raises:
            SlowClientError: the client read nothing for too long.
        """
        if self.delivery is not None:
            await self.delivery.wait_until_writable()
            self.delivery.record_written(len(content))
        await self._send({"type": "http.response.body", "body": content, "more_body": True})

    async def finish(self) -> None:
        """Ends a started response."""
        await self._send({"type": "http.response.body", "body": b""})

    async def _start(
        self, status: int, headers: Headers, extra_headers: list[tuple[bytes, bytes]]
    ) -> None:
        forwarded = [
            (name.lower(), value)
            for name, value in headers
            if name.lower() not in CONNECTION_HEADERS
        ]
        has_next = self.connection is not None and self.connection.has_next_request
        if self.closes_connection or (self._lifecycle.stopping and not has_next):
            extra_headers.append((b"connection", b"close"))
        self._started = True
        await asgi.send_head(self._send, status, forwarded + extra_headers)

    async def _send_body(self, body: bytes | bytearray) -> None:
        """Sends the whole body; in chunks if it is large and its delivery is tracked."""
        offset = 0
        if self.delivery is not None:
            content = memoryview(body)
            while len(body) - offset > SEND_CHUNK_BYTES:
                await self.send_chunk(content[offset : offset + SEND_CHUNK_BYTES])
                offset += SEND_CHUNK_BYTES
        remainder = memoryview(body)[offset:] if offset else body
        await self._send({"type": "http.response.body", "body": remainder})
