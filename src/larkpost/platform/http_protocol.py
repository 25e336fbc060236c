"""The server side of HTTP: the library's protocol, with the configured limits on clients."""

import asyncio
import socket
from collections.abc import Callable

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address
from larkpost.gateway.blackboard.configuration import RequestLimits
from larkpost.platform.sockets import TCP_USER_TIMEOUT, probe_for_silence

LONGEST_IDLE_SECONDS = 3600
"""Until a connection's first request; then the limit in force holds."""
PROBE_AFTER_SECONDS = 3
PROBE_INTERVAL_SECONDS = 1
PROBES = 3
"""The system asks a client that sends nothing for a sign of life: one whose connection has gone
silent for good, or whose machine has, holds its request and its place for six seconds."""
UNTAKEN_ANSWER_MS = 6000
"""So long may an answer wait for its client's machine to acknowledge it."""
OVERSIZED = "oversized"
"""Marks, in a request's state, that its head is larger than allowed."""
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
HEAD_TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"

LimitSource = Callable[[], RequestLimits]


class LimitedProtocol(HttpToolsProtocol):
    """One client connection, with limits on the size and time of a request's head."""

    limits: LimitSource

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self._in_head = False
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self.resting_since: float | None = self.loop.time()
        self._served: RequestResponseCycle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes a connection, and has the system watch it."""
        super().connection_made(transport)
        accepted = transport.get_extra_info("socket")
        probe_for_silence(accepted, PROBE_AFTER_SECONDS, PROBE_INTERVAL_SECONDS, PROBES)
        accepted.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, UNTAKEN_ANSWER_MS)

    def data_received(self, data: bytes) -> None:
        """Takes bytes from the client; the head's are counted."""
        if self._in_head or self._is_between_requests():
            self._count_head(len(data))
        super().data_received(data)
        if not self._in_head:
            self._stop_head_timer()
        elif self._head_bytes > self.limits().header_bytes:
            self._refuse(HEAD_TOO_LARGE)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection, and tells the request that is served of it.

        The library tells only the newest request, which may be one that was sent ahead.
        """
        self._stop_head_timer()
        self.pipeline.clear()
        if self._served is not None and not self._served.response_complete:
            self._served.disconnected = True
            self._served.message_event.set()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Starts a request."""
        super().on_message_begin()
        self._in_head = True
        self.resting_since = None

    def on_response_complete(self) -> None:
        """Notes that the connection rests, unless a request was sent ahead."""
        if not self.pipeline:
            self.resting_since = self.loop.time()
        super().on_response_complete()

    def on_headers_complete(self) -> None:
        """Ends a request's head, and marks it if it is too large."""
        self._in_head = False
        self._head_bytes = 0
        limits = self.limits()
        size = len(self.url) + sum(len(name) + len(value) + 4 for name, value in self.headers)
        if size > limits.header_bytes:
            self.scope["state"][OVERSIZED] = True
        self.timeout_keep_alive = limits.idle_time
        super().on_headers_complete()
        if len(self.pipeline) == 1:
            # The library stops reading at a request sent ahead, and would not see a close.
            self.flow.resume_reading()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app) -> None:
        self._served = cycle  # overrides a private method: the version is pinned
        super()._start_asgi_task(cycle, app)

    def _is_between_requests(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

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

    def _refuse(self, answer: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(answer)
            self.transport.close()


class Listener(HttpServer):
    """Serves an application, with the limits on clients that are in force."""

    def __init__(self, app, address: Address, limits: LimitSource = RequestLimits) -> None:
        protocol = type("Protocol", (LimitedProtocol,), {"limits": staticmethod(limits)})
        super().__init__(app, address, protocol, idle_seconds=LONGEST_IDLE_SECONDS)

    def shed(self, most: int) -> int:
        """Closes up to ``most`` connections that rest, the longest first, and counts them."""
        resting = [one for one in self.connections if one.resting_since is not None]
        resting.sort(key=lambda one: one.resting_since)
        for one in resting[:most]:
            one.transport.close()
        return len(resting[:most])
