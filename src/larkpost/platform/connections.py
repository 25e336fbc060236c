"""Client connections: kept, checked before they are used again, and never left hanging."""

import socket

import aiohttp

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_SECONDS = 3.0
PEER_SILENCE_MS = 3000
"""After this long without an acknowledgement of sent bytes, a connection is given up."""

TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)


class CheckedConnector(aiohttp.TCPConnector):
    """Keeps connections, but never hands out one that holds bytes nobody asked for.

    A server may send a second answer after a whole one. On an idle connection those bytes lie in
    the protocol's buffer, and the library would give them to the next request as its answer.
    """

    async def _get(self, key, traces):  # overrides a private method: the version is pinned
        idle = self._conns.get(key)
        if idle is not None:
            spoiled = [entry for entry in idle if entry[0].should_close]
            for entry in spoiled:
                idle.remove(entry)
                entry[0].close()
            if not idle:
                del self._conns[key]
        return await super()._get(key, traces)


def make_session(*, keep: bool = True) -> aiohttp.ClientSession:
    """Returns a client session that sends and returns bytes as they are.

    Args:
        keep: whether connections are kept for later requests.
    """
    lifetime = {"keepalive_timeout": IDLE_SECONDS} if keep else {"force_close": True}
    connector = CheckedConnector(limit=0, socket_factory=_open_socket, **lifetime)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
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
