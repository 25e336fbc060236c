"""The HTTP server: uvicorn's protocol with configurable limits on clients.

It limits the size and duration of a request's head and tracks idle connections. After an early
response, which is complete before the request's body has been received, it discards the rest of the
body. It overrides private methods of uvicorn's protocol, so the version of uvicorn is pinned.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from operator import attrgetter

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address
from larkpost.gateway.blackboard.configuration import RequestLimits
from larkpost.platform.sockets import TCP_USER_TIMEOUT, enable_keepalive

MAX_INITIAL_IDLE_SECONDS = 3600
"""Maximum wait for the first request on a connection; after it, the configured limit applies."""
KEEPALIVE_IDLE_SECONDS = 3
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
"""TCP keepalive of client connections: a dead connection or machine is detected after six seconds,
and the resources of its request are released."""
CLIENT_USER_TIMEOUT_MS = 6000
"""Maximum time for which sent bytes may stay unacknowledged; equal to the time after which TCP
keepalive detects a dead connection."""
MAX_DISCARD_SECONDS = 15.0
"""Maximum time for which the rest of a body is discarded after an early response. Closing with
unread bytes would reset the connection, and the client might lose the response."""
CLIENT_CONNECTION = "outlet"
"""Key in a request's ASGI state: the connection to which the response is written."""
OVERSIZED = "oversized"
"""Key in a request's ASGI state: whether its head exceeds the size limit."""
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
HEAD_TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"

HEADER_OVERHEAD_BYTES = 4
"""Bytes of a header line besides its name and value: colon, space and CRLF."""

BAD_REQUEST = (
    b"HTTP/1.1 400 Bad Request\r\ncontent-type: text/plain; charset=utf-8\r\n"
    b"content-length: %d\r\nconnection: close\r\n\r\n%b"
)

LimitSource = Callable[[], RequestLimits]


class ResponseTransport:
    """The transport of one response; closing it may be delayed until the body is discarded."""

    def __init__(self, protocol: "LimitedProtocol", cycle: RequestResponseCycle) -> None:
        self._protocol = protocol
        self._cycle = cycle

    def write(self, content: bytes | memoryview) -> None:
        """Writes bytes to the connection."""
        self._protocol.transport.write(content)

    def is_closing(self) -> bool:
        """Returns whether the connection is closed or closing."""
        return self._protocol.transport.is_closing()

    def close(self) -> None:
        """Closes the connection once the rest of the request's body has been discarded."""
        self._protocol.close_after(self._cycle)


class LimitedProtocol(HttpToolsProtocol):
    """A client connection with limits on the size and duration of a request's head.

    Implements `larkpost.gateway.memory.delivery.ClientConnection`.
    """

    limits: LimitSource

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self._in_head = False
        self._in_body = False
        self._has_body_begun = False
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._closes_after_body = False
        self._error_response: bytes | None = None
        self._discard_timer: asyncio.TimerHandle | None = None
        self.idle_since: float | None = self.loop.time()
        self._current_cycle: RequestResponseCycle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Enables TCP keepalive and sets the TCP user timeout on a new connection."""
        super().connection_made(transport)
        accepted = transport.get_extra_info("socket")
        enable_keepalive(
            accepted, KEEPALIVE_IDLE_SECONDS, KEEPALIVE_INTERVAL_SECONDS, KEEPALIVE_PROBES
        )
        accepted.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, CLIENT_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parses bytes from the client and limits the size and duration of the head.

        Bytes that arrive after rejected input are dropped.
        """
        if self._error_response is not None:
            return
        if self._in_head or self._is_between_requests():
            self._count_head(len(data))
        super().data_received(data)
        if not self._in_head:
            self._stop_head_timer()
        elif self._head_bytes > self.limits().header_bytes:
            self._reject(HEAD_TOO_LARGE)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cleans up, and wakes the request that is being served.

        uvicorn wakes only the newest request, which may be a pipelined one.
        """
        self._stop_head_timer()
        self._stop_discard_timer()
        self.pipeline.clear()
        if self.is_serving:
            self._current_cycle.disconnected = True
            self._current_cycle.message_event.set()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Starts a request; the connection is no longer idle."""
        super().on_message_begin()
        self._unset_keepalive_if_required()
        self.scope["state"][CLIENT_CONNECTION] = self
        self._in_head = True
        self.idle_since = None

    def on_response_complete(self) -> None:
        """Marks the connection idle unless a pipelined request waits.

        After an early response, starts to discard the body; the connection becomes idle afterwards.
        """
        is_early_response = self._in_body and self._current_cycle is self.cycle
        if not is_early_response and not self.pipeline:
            self.idle_since = self.loop.time()
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if self._error_response is not None and self._current_cycle.response_complete:
            self._send_error_response()
        elif is_early_response:
            self._discard_body()

    def on_message_complete(self) -> None:
        """Handles the end of a request's body; ends the discarding of it."""
        self._in_body = False
        super().on_message_complete()
        if self._discard_timer is not None:
            self._stop_discard_timer()
            self._end_discarding()

    def on_body(self, body: bytes) -> None:
        """Handles a part of a request's body."""
        self._has_body_begun = True
        super().on_body(body)

    def on_headers_complete(self) -> None:
        """Handles the end of a request's head; marks the request if its head is too large."""
        self._in_head = False
        self._in_body = True
        self._has_body_begun = False
        self._head_bytes = 0
        limits = self.limits()
        size = len(self.url) + sum(
            len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in self.headers
        )
        if size > limits.header_bytes:
            self.scope["state"][OVERSIZED] = True
        self.timeout_keep_alive = limits.idle_time
        super().on_headers_complete()
        self.cycle.transport = ResponseTransport(self, self.cycle)
        if len(self.pipeline) == 1:
            # uvicorn pauses reading at a pipelined request and would not detect a close.
            self.flow.resume_reading()

    def close_after(self, cycle: RequestResponseCycle) -> None:
        """Closes the connection; after an early response, once the body has been discarded.

        Closing with unread bytes would reset the connection, and the client might lose the
        response. If the client waits for ``100 Continue``, it sends no body.
        """
        is_early_response = self._in_body and self.cycle is cycle and cycle.response_complete
        if is_early_response and not self._expects_continue:
            self._closes_after_body = True
        else:
            self.transport.close()

    def shutdown(self) -> None:
        """Closes the connection once the response is complete and the body has been discarded."""
        if self._discard_timer is None:
            super().shutdown()
        elif not self._closes_after_body:
            self._closes_after_body = True
            self._end_writing()

    def send_400_response(self, msg: str) -> None:
        """Responds to malformed input with 400."""
        self._reject(BAD_REQUEST % (len(msg), msg.encode()))

    @property
    def is_full(self) -> bool:
        """Whether writing is paused by flow control."""
        return self.flow.write_paused

    @property
    def unsent(self) -> int:
        """The number of bytes in the write buffer."""
        return self.transport.get_write_buffer_size()

    @property
    def has_next_request(self) -> bool:
        """Whether another request has been read that waits for the end of the current one."""
        return bool(self.pipeline)

    @property
    def is_serving(self) -> bool:
        """Whether a request is being served."""
        return self._current_cycle is not None and not self._current_cycle.response_complete

    async def wait_until_writable(self, seconds: float) -> None:
        """Waits until the connection is not full, for at most ``seconds``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.flow.drain()

    def disconnect(self) -> None:
        """Aborts the connection; unsent bytes are dropped."""
        self.transport.abort()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app) -> None:
        if self.transport.is_closing():
            return  # nobody would receive the response
        self._current_cycle = cycle
        super()._start_asgi_task(cycle, app)

    def _is_between_requests(self) -> bool:
        return not self._in_body and self._has_answered_all

    @property
    def _expects_continue(self) -> bool:
        """Whether the client waits for ``100 Continue`` before it sends the body."""
        return self.expect_100_continue and not self._has_body_begun

    def _discard_body(self) -> None:
        """Discards the rest of a body after an early response, for a limited time."""
        self._unset_keepalive_if_required()
        self._discard_timer = self.loop.call_later(MAX_DISCARD_SECONDS, self.transport.close)
        if self._closes_after_body:
            self._end_writing()

    def _end_writing(self) -> None:
        """Half-closes the connection: nothing follows the response, but bytes are still read."""
        with contextlib.suppress(OSError):  # disconnected; the transport detects it by reading
            self.transport.write_eof()

    def _end_discarding(self) -> None:
        """Closes the connection or marks it idle, once the body has been discarded."""
        if self._closes_after_body:
            self.transport.close()
            return
        self.idle_since = self.loop.time()
        self._unset_keepalive_if_required()
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def _count_head(self, size: int) -> None:
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self.limits().header_time, self._reject, HEAD_TOO_SLOW
            )
        self._head_bytes += size

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _stop_discard_timer(self) -> None:
        if self._discard_timer is not None:
            self._discard_timer.cancel()
            self._discard_timer = None

    def _reject(self, response: bytes) -> None:
        """Rejects the bytes just read: sends an error response and closes the connection.

        Complete requests before those bytes are answered first, as the client would otherwise take
        the error response for the response to the oldest of them.
        """
        self._stop_head_timer()
        if self._error_response is not None or self.transport.is_closing():
            return
        self._error_response = response
        if self._discard_timer is not None:
            self.transport.close()  # already answered; the rest of the body is malformed
        elif self._in_body and self.pipeline:
            self.pipeline.popleft()  # the newest request, whose body is malformed
        elif self._has_answered_all or (self._in_body and not self.cycle.response_started):
            self._send_error_response()

    @property
    def _has_answered_all(self) -> bool:
        """Whether all requests read so far have been answered."""
        return self.cycle is None or self.cycle.response_complete

    def _send_error_response(self) -> None:
        self.transport.write(self._error_response)
        self.transport.close()


class Listener(HttpServer):
    """Serves an application and applies limits to its clients.

    Args:
        limits: returns the current limits.
    """

    def __init__(self, app, address: Address, limits: LimitSource = RequestLimits) -> None:
        protocol = type("Protocol", (LimitedProtocol,), {"limits": staticmethod(limits)})
        super().__init__(app, address, protocol, idle_seconds=MAX_INITIAL_IDLE_SECONDS)

    def close_idle(self, max_count: int) -> int:
        """Closes up to ``max_count`` idle connections, longest idle first; returns how many."""
        closing = sorted(self._idle(), key=attrgetter("idle_since"))[:max_count]
        for connection in closing:
            connection.transport.close()
        return len(closing)

    def close_idle_since(self, moment: float) -> None:
        """Closes the connections that have been idle since a moment, in event loop time."""
        for connection in self._idle():
            if connection.idle_since <= moment:
                connection.transport.close()

    def _idle(self) -> list[LimitedProtocol]:
        """Returns the idle connections."""
        return [connection for connection in self.connections if connection.idle_since is not None]
