"""The server side of HTTP: the library's protocol, with the configured limits on clients.

Owns the limits on a request's head, when a connection is idle, and how it ends after a response
that came before the request's body was read. Relies on the HTTP library's
protocol, of which private methods are overridden: its version is pinned.
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
"""How long a connection may wait with its first request; then the limit in force holds."""
KEEPALIVE_IDLE_SECONDS = 3
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
"""The system probes a client that sends nothing: one whose connection has gone silent for good, or
whose machine has, holds its request and its place for six seconds."""
CLIENT_USER_TIMEOUT_MS = 6000
"""So long may a response wait for its client's machine to acknowledge it: as long as the probes
take."""
MAX_DISCARD_SECONDS = 15.0
"""So long the rest of a body is read and dropped whose request was answered before, so that the
answer reaches its client: closing with unread bytes would reset the connection."""
CLIENT_CONNECTION = "outlet"
"""Names, in a request's state, the connection that its response goes to."""
OVERSIZED = "oversized"
"""Marks, in a request's state, that its head is larger than allowed."""
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
HEAD_TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"

HEADER_OVERHEAD_BYTES = 4
"""What a header has on the wire besides its name and value: a colon, a space and a line end."""

BAD_REQUEST = (
    b"HTTP/1.1 400 Bad Request\r\ncontent-type: text/plain; charset=utf-8\r\n"
    b"content-length: %d\r\nconnection: close\r\n\r\n%b"
)

LimitSource = Callable[[], RequestLimits]


class ResponseTransport:
    """What one response is written to: its connection, which may end later than the response."""

    def __init__(self, protocol: "LimitedProtocol", cycle: RequestResponseCycle) -> None:
        self._protocol = protocol
        self._cycle = cycle

    def write(self, content: bytes | memoryview) -> None:
        """Gives bytes to the connection."""
        self._protocol.transport.write(content)

    def is_closing(self) -> bool:
        """Whether the connection is closed or about to be."""
        return self._protocol.transport.is_closing()

    def close(self) -> None:
        """Closes the connection, once the rest of the request's body was dropped."""
        self._protocol.close_after(self._cycle)


class LimitedProtocol(HttpToolsProtocol):
    """One client connection, with limits on the size and time of a request's head.

    Implements `larkpost.gateway.memory.delivery.Outlet`.
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
        self._refusal: bytes | None = None
        self._discard_timer: asyncio.TimerHandle | None = None
        self.idle_since: float | None = self.loop.time()
        self._current_cycle: RequestResponseCycle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begins a connection, and has the system watch it."""
        super().connection_made(transport)
        accepted = transport.get_extra_info("socket")
        enable_keepalive(
            accepted, KEEPALIVE_IDLE_SECONDS, KEEPALIVE_INTERVAL_SECONDS, KEEPALIVE_PROBES
        )
        accepted.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, CLIENT_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Reads bytes from the client; the head's are counted.

        What follows a head that was refused is dropped.
        """
        if self._refusal is not None:
            return
        if self._in_head or self._is_between_requests():
            self._count_head(len(data))
        super().data_received(data)
        if not self._in_head:
            self._stop_head_timer()
        elif self._head_bytes > self.limits().header_bytes:
            self._refuse(HEAD_TOO_LARGE)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection, and wakes the request that is served.

        The library wakes only the newest request, which may be one that was sent ahead.
        """
        self._stop_head_timer()
        self._stop_discard_timer()
        self.pipeline.clear()
        if self.is_serving:
            self._current_cycle.disconnected = True
            self._current_cycle.message_event.set()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Starts a request; the connection is idle no longer."""
        super().on_message_begin()
        self._unset_keepalive_if_required()
        self.scope["state"][CLIENT_CONNECTION] = self
        self._in_head = True
        self.idle_since = None

    def on_response_complete(self) -> None:
        """Records that the connection is idle, unless a request was sent ahead.

        One whose request was answered before its body was read is idle once that has come.
        """
        is_before_body = self._in_body and self._current_cycle is self.cycle
        if not is_before_body and not self.pipeline:
            self.idle_since = self.loop.time()
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if self._refusal is not None and self._current_cycle.response_complete:
            self._send_refusal()
        elif is_before_body:
            self._discard_body()

    def on_message_complete(self) -> None:
        """Ends a request's body."""
        self._in_body = False
        super().on_message_complete()
        if self._discard_timer is not None:
            self._stop_discard_timer()
            self._end_discarding()

    def on_body(self, body: bytes) -> None:
        """Takes a part of a request's body."""
        self._has_body_begun = True
        super().on_body(body)

    def on_headers_complete(self) -> None:
        """Ends a request's head, and marks it if it is too large."""
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
            # The library stops reading at a request sent ahead, and would not see a close.
            self.flow.resume_reading()

    def close_after(self, cycle: RequestResponseCycle) -> None:
        """Closes the connection after a response, and after the body of its request if that comes.

        Closing with unread bytes resets a connection, and its client may lose the response.
        """
        is_before_body = self._in_body and self.cycle is cycle and cycle.response_complete
        if is_before_body and not self._expects_continue:
            self._closes_after_body = True
        else:
            self.transport.close()

    def shutdown(self) -> None:
        """Closes the connection, after the response and the body that are under way."""
        if self._discard_timer is None:
            super().shutdown()
        elif not self._closes_after_body:
            self._closes_after_body = True
            self._end_writing()

    def send_400_response(self, msg: str) -> None:
        """Refuses bytes that are no request."""
        self._refuse(BAD_REQUEST % (len(msg), msg.encode()))

    @property
    def is_full(self) -> bool:
        """Whether the connection should be given no more now."""
        return self.flow.write_paused

    @property
    def unsent(self) -> int:
        """The bytes that it was given and that its client has not made room for."""
        return self.transport.get_write_buffer_size()

    @property
    def is_serving(self) -> bool:
        """Whether a request is served and its response not complete."""
        return self._current_cycle is not None and not self._current_cycle.response_complete

    async def wait_until_writable(self, seconds: float) -> None:
        """Waits until it is not full, at most so long."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.flow.drain()

    def disconnect(self) -> None:
        """Breaks the connection off; what is unsent is dropped."""
        self.transport.abort()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app) -> None:
        if self.transport.is_closing():
            return  # nobody would get the response
        self._current_cycle = cycle  # overrides a private method: the version is pinned
        super()._start_asgi_task(cycle, app)

    def _is_between_requests(self) -> bool:
        return not self._in_body and self._has_answered_all

    @property
    def _expects_continue(self) -> bool:
        """Whether the client holds its body back until it is asked for."""
        return self.expect_100_continue and not self._has_body_begun

    def _discard_body(self) -> None:
        """Drops the rest of a body whose request was answered, for a limited time."""
        self._unset_keepalive_if_required()
        self._discard_timer = self.loop.call_later(MAX_DISCARD_SECONDS, self.transport.close)
        if self._closes_after_body:
            self._end_writing()

    def _end_writing(self) -> None:
        """Tells the client that nothing follows the response; its bytes are still read."""
        with contextlib.suppress(OSError):  # it has left; the transport learns of it by reading
            self.transport.write_eof()

    def _end_discarding(self) -> None:
        """Closes the connection, or begins its idle time."""
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
                self.limits().header_time, self._refuse, HEAD_TOO_SLOW
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

    def _refuse(self, response: bytes) -> None:
        """Ends the connection with a response to what was just read.

        Requests that came whole before it are answered first: the client would take the response
        for that of the oldest one.
        """
        self._stop_head_timer()
        if self._refusal is not None or self.transport.is_closing():
            return
        self._refusal = response
        if self._discard_timer is not None:
            self.transport.close()  # the request was answered; its rest is malformed
        elif self._in_body and self.pipeline:
            self.pipeline.popleft()  # the newest, whose body is malformed
        elif self._has_answered_all or (self._in_body and not self.cycle.response_started):
            self._send_refusal()

    @property
    def _has_answered_all(self) -> bool:
        """Whether all requests that were read have had their responses."""
        return self.cycle is None or self.cycle.response_complete

    def _send_refusal(self) -> None:
        self.transport.write(self._refusal)
        self.transport.close()


class Listener(HttpServer):
    """Serves an application, with the limits on clients that are in force."""

    def __init__(self, app, address: Address, limits: LimitSource = RequestLimits) -> None:
        protocol = type("Protocol", (LimitedProtocol,), {"limits": staticmethod(limits)})
        super().__init__(app, address, protocol, idle_seconds=MAX_INITIAL_IDLE_SECONDS)

    def close_idle(self, most: int) -> int:
        """Closes up to ``most`` idle connections, those idle longest first; returns how many."""
        idle = [one for one in self.connections if one.idle_since is not None]
        idle.sort(key=attrgetter("idle_since"))
        chosen = idle[:most]
        for connection in chosen:
            connection.transport.close()
        return len(chosen)
