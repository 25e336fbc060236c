"""Socket options for connections: TCP keepalive and TCP user timeout."""

import socket

USER_TIMEOUT_MS = 3000
"""Maximum time for which sent bytes may stay unacknowledged before the connection is closed."""
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
"""TCP keepalive, in whole seconds as the kernel requires. A stream that waits for its next event on
a dead connection fails after four seconds; a single lost probe does not close a connection."""

TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)
"""Socket option: milliseconds for which sent bytes may stay unacknowledged; 18 on Linux."""


def open_socket(address_info: tuple) -> socket.socket:
    """Returns a socket for a connection to a server or to the store."""
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    enable_keepalive(sock, KEEPALIVE_IDLE_SECONDS, KEEPALIVE_INTERVAL_SECONDS, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


def enable_keepalive(sock: socket.socket, after: int, interval: int, probes: int) -> None:
    """Enables TCP keepalive.

    Args:
        after: idle seconds before the first probe.
        interval: seconds between probes.
        probes: number of unanswered probes after which the connection is closed.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, after)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
