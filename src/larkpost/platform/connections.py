"""The connection pool for servers and the store; validates idle connections before reuse.

It overrides private methods of aiohttp's connector, so the version of aiohttp is pinned.
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
"""How long an idle connection is reused if its server announces no keep-alive timeout."""
MAX_KEEP_ALIVE_SECONDS = 30.0
"""Upper bound of the announced keep-alive timeout."""
KEEP_ALIVE_MARGIN_SECONDS = 1.5
"""Subtracted from the announced keep-alive timeout, so that a connection is not reused while its
server closes it; servers announce the timeout in whole seconds."""
MIN_TRACKED_ADDRESSES = 1000
"""Minimum number of tracked servers above which those without idle connections are dropped."""
MAX_HEADER_LINE_BYTES = 65536
"""Maximum length of a status line or header line of a response."""

# aiohttp measures idle time with time.monotonic, which does not count the time for which the
# machine is suspended, so connections that servers closed in that time would be reused.
aiohttp.connector.monotonic = steady_seconds


class CheckedConnector(aiohttp.TCPConnector):
    """A connector that validates idle connections before reuse.

    It closes an idle connection instead of reusing it if the connection

    - has received bytes since its last response, which aiohttp would take for the response to the
      next request,
    - may be about to be closed by its server,
    - is suspect, or
    - has carried a call whose response could be taken for that of the next one, and no other
      connection is idle.

    Args:
        detector: knows which connections are suspect.
    """

    def __init__(self, detector: DeadConnectionDetector, **options) -> None:
        super().__init__(**options)
        self._detector = detector
        self._factory = functools.partial(WatchedConnection, detector, self._loop)
        self._keep_alive_seconds: dict[Address, float] = {}
        self._connection_keys: dict[Address, ConnectionKey] = {}
        """aiohttp's pool key of each server."""
        self._max_tracked = MIN_TRACKED_ADDRESSES

    @property
    def open_connections(self) -> int:
        """The number of open connections, in use or idle."""
        return len(self._acquired) + sum(len(idle) for idle in self._conns.values())

    def record_keep_alive(self, server: Address, seconds: float) -> None:
        """Records the keep-alive timeout that a server announced, in seconds."""
        usable = max(0.0, seconds - KEEP_ALIVE_MARGIN_SECONDS)
        self._keep_alive_seconds[server] = min(MAX_KEEP_ALIVE_SECONDS, usable)

    def has_idle(self, server: Address) -> bool:
        """Returns whether there is a reusable idle connection to a server."""
        idle = self._conns.get(self._connection_keys.get(server))
        if not idle:
            return False
        earliest = self._earliest_idle_since(server)
        return any(self._is_usable(*entry, earliest) for entry in idle)

    def close_idle(self, server: Address) -> None:
        """Closes all idle connections to a server."""
        for protocol, _ in self._conns.pop(self._connection_keys.get(server), ()):
            protocol.close()

    def close_suspect(self, server: Address) -> None:
        """Closes the suspect idle connections to a server."""
        idle = self._conns.get(self._connection_keys.get(server), ())
        for entry in [entry for entry in idle if self._detector.is_suspect(entry[0].record)]:
            idle.remove(entry)
            entry[0].abort()
        if not idle:
            self._conns.pop(self._connection_keys.get(server), None)

    def _earliest_idle_since(self, server: Address) -> float:
        """Returns the earliest steady time since which a reusable connection may have been idle."""
        return steady_seconds() - self._keep_alive_seconds.get(server, DEFAULT_KEEP_ALIVE_SECONDS)

    def _is_usable(self, protocol: WatchedConnection, idle_since: float, earliest: float) -> bool:
        if protocol.should_close or idle_since < earliest:
            return False
        return protocol.record is None or not self._detector.is_suspect(protocol.record)

    async def connect(self, req, traces, timeout):
        """Returns a pooled or new connection for a call.

        Checks the connect timeout again after connecting: after the process was suspended, the
        connection may be open before aiohttp's timer has run.

        Raises:
            aiohttp.ConnectionTimeoutError: the connect timeout has passed.
            aiohttp.ServerDisconnectedError: the call's connection was lost, and the call must not
                be retried.
        """
        call_options = timeout if isinstance(timeout, CallOptions) else CallOptions()
        if call_options.disables_retry and call_options.connection_count[0]:
            raise aiohttp.ServerDisconnectedError("the connection was lost")
        call_options.connection_count[0] += 1
        began = steady_seconds()
        connection = await self._connect_unambiguously(
            req, traces, timeout, call_options.response_key
        )
        if timeout.connect is not None and steady_seconds() - began > timeout.connect:
            connection.close()
            raise aiohttp.ConnectionTimeoutError("connected after the connect timeout")
        key = req.connection_key
        connection.protocol.begin_call(Address(f"{key.host}:{key.port}"), call_options)
        return connection

    async def _get(self, key, traces):  # overrides a private method of aiohttp
        """Closes the unusable idle connections to a server, then returns one of the others."""
        server = Address(f"{key.host}:{key.port}")
        self._track_server(server, key)
        idle = self._conns.get(key)
        if idle is not None:
            earliest = self._earliest_idle_since(server)
            unusable = [entry for entry in idle if not self._is_usable(*entry, earliest)]
            for entry in unusable:
                idle.remove(entry)
                entry[0].close()
            if not idle:
                del self._conns[key]
        return await super()._get(key, traces)

    async def _connect_unambiguously(self, req, traces, timeout, response_key: bytes | None):
        """Returns a connection that has carried no call with the same response key.

        The pool hands out its first usable connection, so those that have are put behind the
        others, and are closed when it hands them out all the same.
        """
        if response_key is None:
            return await super().connect(req, traces, timeout)
        idle = self._conns.get(req.connection_key, ())
        if any(protocol.has_carried(response_key) for protocol, _ in idle):
            ordered = sorted(idle, key=lambda entry: entry[0].has_carried(response_key))
            idle.clear()
            idle.extend(ordered)
        connection = await super().connect(req, traces, timeout)
        while connection.protocol.has_carried(response_key):
            connection.close()
            connection = await super().connect(req, traces, timeout)
        return connection

    def _track_server(self, server: Address, key: ConnectionKey) -> None:
        """Records a server's pool key; above a limit, drops servers without idle connections."""
        self._connection_keys[server] = key
        if len(self._connection_keys) <= self._max_tracked:
            return
        self._connection_keys = {
            address: pool_key
            for address, pool_key in self._connection_keys.items()
            if pool_key in self._conns or pool_key == key
        }
        self._keep_alive_seconds = {
            address: seconds
            for address, seconds in self._keep_alive_seconds.items()
            if address in self._connection_keys
        }
        self._max_tracked = max(MIN_TRACKED_ADDRESSES, 2 * len(self._connection_keys))

    def _release(self, key, protocol, *, should_close: bool = False) -> None:
        """Returns a connection to the pool; closes it if it is suspect.

        Aborts a closing connection with unsent bytes, as the transport would otherwise go on
        sending the request's body.
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
    """Returns a client session that passes headers and bodies through unchanged.

    Args:
        detector: knows which connections are suspect; shared by sessions to the same addresses.
        keep_alive: whether connections are reused for later requests.
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
