"""The pool of connections to servers and to the store: kept, and checked before they serve again.

Owns which idle connections are handed out, and how long each server keeps idle ones. Relies on the
HTTP library's connector, of which private methods are overridden: its version is pinned.
"""

import functools

import aiohttp
from aiohttp.client_reqrep import ConnectionKey

from larkpost.common.ids import Address
from larkpost.common.steady_time import steady_seconds
from larkpost.platform.dead_connections import DeadConnectionDetector
from larkpost.platform.sockets import open_socket
from larkpost.platform.watched_connection import CallOptions, WatchedConnection

DEFAULT_KEEP_ALIVE_SECONDS = 3.0
"""How long an idle connection is used again if its server does not say how long it keeps it."""
MAX_KEEP_ALIVE_SECONDS = 30.0
"""The same, however long its server says that it keeps it."""
KEEP_ALIVE_MARGIN_SECONDS = 1.5
"""A connection is left alone this long before its server would close it: servers say it in whole
seconds."""
MIN_TRACKED_ADDRESSES = 1000
"""So many servers are remembered before those without an idle connection are forgotten. A few
hundred bytes each."""
MAX_HEADER_LINE_BYTES = 65536
"""Longest status line and longest header that is read of a response. Eight times the library's own
limit."""

# The library records by a clock of its own since when connections are idle. By the plain steady
# clock, one that was idle while the machine was suspended would look fresh, though its server
# closed it.
aiohttp.connector.monotonic = steady_seconds


class CheckedConnector(aiohttp.TCPConnector):
    """Keeps connections, but never hands out one that holds bytes nobody asked for.

    A server may send a second response after a whole one. On an idle connection those bytes lie in
    the protocol's buffer, and the library would give them to the next request as its response. Nor
    does it hand out a connection that its server is about to close, or one that may be silent.

    Args:
        silences: knows which connections may be silent.
    """

    def __init__(self, detector: DeadConnectionDetector, **options) -> None:
        super().__init__(**options)
        self._detector = detector
        self._factory = functools.partial(WatchedConnection, detector, self._loop)
        self._keep_alive_seconds: dict[Address, float] = {}
        self._connection_keys: dict[Address, ConnectionKey] = {}
        """The library's name for each server, under which it keeps the idle connections."""
        self._max_tracked = MIN_TRACKED_ADDRESSES

    @property
    def open_connections(self) -> int:
        """The connections that are open, in use or idle."""
        return len(self._acquired) + sum(len(idle) for idle in self._conns.values())

    def record_keep_alive(self, server: Address, seconds: float) -> None:
        """Records for how many seconds a server said that it keeps idle connections."""
        usable = max(0.0, seconds - KEEP_ALIVE_MARGIN_SECONDS)
        self._keep_alive_seconds[server] = min(MAX_KEEP_ALIVE_SECONDS, usable)

    def has_idle(self, server: Address) -> bool:
        """Returns whether an idle connection to a server is likely to serve again."""
        idle = self._conns.get(self._connection_keys.get(server))
        if not idle:
            return False
        return self._is_usable(*idle[-1], self._oldest_usable(server))

    def close_idle(self, server: Address) -> None:
        """Closes all idle connections to a server."""
        for protocol, _ in self._conns.pop(self._connection_keys.get(server), ()):
            protocol.close()

    def close_suspect(self, server: Address) -> None:
        """Closes the idle connections to a server that may be silent."""
        idle = self._conns.get(self._connection_keys.get(server), ())
        for entry in [entry for entry in idle if self._detector.is_suspect(entry[0].record)]:
            idle.remove(entry)
            entry[0].abort()
        if not idle:
            self._conns.pop(self._connection_keys.get(server), None)

    def _oldest_usable(self, server: Address) -> float:
        """Returns the steady time since which a connection may be idle and still be used."""
        return steady_seconds() - self._keep_alive_seconds.get(server, DEFAULT_KEEP_ALIVE_SECONDS)

    def _is_usable(self, protocol: WatchedConnection, idle_since: float, oldest: float) -> bool:
        if protocol.should_close or idle_since < oldest:
            return False
        return protocol.record is None or not self._detector.is_suspect(protocol.record)

    async def connect(self, req, traces, timeout):
        """Returns a connection for a call, kept or new, never later than the call's limit says.

        A process that was frozen meanwhile finds its connection open and its timer not yet run.
        """
        limits = timeout if isinstance(timeout, CallOptions) else CallOptions()
        if limits.disables_retry and limits.connection_count[0]:
            raise aiohttp.ServerDisconnectedError("the connection was lost")
        limits.connection_count[0] += 1
        began = steady_seconds()
        connection = await super().connect(req, traces, timeout)
        if timeout.connect is not None and steady_seconds() - began > timeout.connect:
            connection.close()
            raise aiohttp.ConnectionTimeoutError("the connection came too late")
        key = req.connection_key
        connection.protocol.begin_call(Address(f"{key.host}:{key.port}"), limits)
        return connection

    async def _get(self, key, traces):  # overrides a private method: the version is pinned
        server = Address(f"{key.host}:{key.port}")
        self._track_server(server, key)
        idle = self._conns.get(key)
        if idle is not None:
            oldest = self._oldest_usable(server)
            unusable = [entry for entry in idle if not self._is_usable(*entry, oldest)]
            for entry in unusable:
                idle.remove(entry)
                entry[0].close()
            if not idle:
                del self._conns[key]
        return await super()._get(key, traces)

    def _track_server(self, server: Address, key: ConnectionKey) -> None:
        """Remembers a server; now and then those without an idle connection are forgotten."""
        self._connection_keys[server] = key
        if len(self._connection_keys) <= self._max_tracked:
            return
        self._connection_keys = {
            name: known
            for name, known in self._connection_keys.items()
            if known in self._conns or known == key
        }
        self._keep_alive_seconds = {
            name: seconds
            for name, seconds in self._keep_alive_seconds.items()
            if name in self._connection_keys
        }
        self._max_tracked = max(MIN_TRACKED_ADDRESSES, 2 * len(self._connection_keys))

    def _release(self, key, protocol, *, should_close: bool = False) -> None:
        """Returns a connection to the pool; one that may be silent is not kept.

        One that is closed sends nothing more of its request: the transport would go on sending
        what it holds of a body, whoever has left meanwhile.
        """
        protocol.end_call()
        record = protocol.record
        if record is not None and self._detector.is_suspect(record):
            should_close = True
            self.close_suspect(record.address)
        transport = protocol.transport
        super()._release(key, protocol, should_close=should_close)
        if transport is not None and transport.is_closing() and transport.get_write_buffer_size():
            transport.abort()


def make_session(
    detector: DeadConnectionDetector, *, keep_alive: bool = True
) -> aiohttp.ClientSession:
    """Returns a client session that sends and returns bytes as they are.

    Args:
        silences: tells which connections may be silent; sessions to the same addresses share it.
        keep: whether connections are kept for later requests.
    """
    lifetime = (
        {"keepalive_timeout": MAX_KEEP_ALIVE_SECONDS} if keep_alive else {"force_close": True}
    )
    connector = CheckedConnector(detector, limit=0, socket_factory=open_socket, **lifetime)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=CallOptions(),
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent", "Content-Type"),
        requote_redirect_url=False,
        max_field_size=MAX_HEADER_LINE_BYTES,
        max_line_size=MAX_HEADER_LINE_BYTES,
    )
