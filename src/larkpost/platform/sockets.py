"""What the system is told of the sockets of connections: probes of idle ones, limits on silence."""

import socket

USER_TIMEOUT_MS = 3000
"""After this long without an acknowledgement of sent bytes, a connection is given up."""
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
"""The system probes a connection that is idle this long, so often, so many times: a stream that
waits for its next event on a silent connection ends after four seconds. The system counts whole
seconds, and one lost probe must not end a connection."""

TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)
"""Milliseconds for which sent bytes may stay without an acknowledgement; 18 is Linux's number."""


def open_socket(address_info: tuple) -> socket.socket:
    """Returns a socket for a connection to a server or to the store."""
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    enable_keepalive(opened, KEEPALIVE_IDLE_SECONDS, KEEPALIVE_INTERVAL_SECONDS, KEEPALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return opened


def enable_keepalive(opened: socket.socket, after: int, interval: int, probes: int) -> None:
    """Makes the system probe an idle connection, and end it if nothing answers.

    Args:
        after: idle seconds before the first probe.
        interval: seconds between two probes.
        probes: unanswered probes after which the connection ends.
    """
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, after)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
