"""Client connections: kept, checked before they are used again, and never left hanging."""

import socket
from time import monotonic

import aiohttp
from aiohttp.client_reqrep import ConnectionKey

from larkpost.ids import Address

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_SECONDS = 3.0
"""How long an idle connection is used again if its server does not say how long it keeps it."""
MOST_IDLE_SECONDS = 30.0
IDLE_MARGIN_SECONDS = 1.5
"""A connection is left alone this long before its server would close it."""
PEER_SILENCE_MS = 3000
"""After this long without an acknowledgement of sent bytes, a connection is given up."""

TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)


class CheckedConnector(aiohttp.TCPConnector):
    """Keeps connections, but never hands out one that holds bytes nobody asked for.

    A server may send a second answer after a whole one. On an idle connection those bytes lie in
    the protocol's buffer, and the library would give them to the next request as its answer. Nor
    does it hand out a connection that its server is about to close.
    """

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._idle_times: dict[Address, float] = {}
        self._keys: dict[Address, ConnectionKey] = {}
        """The library's name for each server, under which it keeps the idle connections."""

    @property
    def held(self) -> int:
        """The connections that are open, in use or resting."""
        return len(self._acquired) + sum(len(idle) for idle in self._conns.values())

    def note_idle_time(self, server: Address, seconds: float) -> None:
        """Takes what a server said of how long it keeps connections that rest."""
        usable = max(0.0, seconds - IDLE_MARGIN_SECONDS)
        self._idle_times[server] = min(MOST_IDLE_SECONDS, usable)

    def has_idle(self, server: Address) -> bool:
        """Tells whether a connection to a server rests that is likely to serve again."""
        idle = self._conns.get(self._keys.get(server))
        if not idle:
            return False
        protocol, resting_since = idle[-1]
        return not protocol.should_close and resting_since >= self._oldest_usable(server)

    def close_idle(self, server: Address) -> None:
        """Closes all connections to a server that rest."""
        for protocol, _ in self._conns.pop(self._keys.get(server), ()):
            protocol.close()

    def _oldest_usable(self, server: Address) -> float:
        """Returns the steady time since which a connection may rest and still be used."""
        return monotonic() - self._idle_times.get(server, IDLE_SECONDS)

    async def connect(self, req, traces, timeout: aiohttp.ClientTimeout):
        """Returns a connection, never later than the request's limit says.

        A process that was frozen meanwhile finds its connection open and its timer not yet run.
        """
        began = monotonic()
        connection = await super().connect(req, traces, timeout)
        if timeout.connect is not None and monotonic() - began > timeout.connect:
            connection.close()
            raise aiohttp.ConnectionTimeoutError("the connection came too late")
        return connection

    async def _get(self, key, traces):  # overrides a private method: the version is pinned
        server = Address(f"{key.host}:{key.port}")
        self._keys[server] = key
        idle = self._conns.get(key)
        if idle is not None:
            oldest = self._oldest_usable(server)
            spoiled = [
                (protocol, resting_since)
                for protocol, resting_since in idle
                if protocol.should_close or resting_since < oldest
            ]
            for entry in spoiled:
                idle.remove(entry)
                entry[0].close()
            if not idle:
                del self._conns[key]
        return await super()._get(key, traces)

    def _release(self, key, protocol, *, should_close: bool = False) -> None:
        """Takes a connection back; one that is closed sends nothing more of its request.

        The transport would go on sending what it holds of a body, whoever has left meanwhile.
        """
        transport = protocol.transport
        super()._release(key, protocol, should_close=should_close)
        if transport is not None and transport.is_closing() and transport.get_write_buffer_size():
            transport.abort()


def connect_limit(seconds: float | None) -> aiohttp.ClientTimeout:
    """Returns the time limits of a request, which is not sent after so many seconds."""
    return aiohttp.ClientTimeout(total=None, connect=seconds, sock_connect=CONNECT_TIMEOUT_SECONDS)


def make_session(*, keep: bool = True) -> aiohttp.ClientSession:
    """Returns a client session that sends and returns bytes as they are.

    Args:
        keep: whether connections are kept for later requests.
    """
    lifetime = {"keepalive_timeout": MOST_IDLE_SECONDS} if keep else {"force_close": True}
    connector = CheckedConnector(limit=0, socket_factory=_open_socket, **lifetime)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=connect_limit(None),
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent", "Content-Type"),
        requote_redirect_url=False,
        max_field_size=65536,
        max_line_size=65536,
    )


def _open_socket(address_info) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, PEER_SILENCE_MS)
    return opened
