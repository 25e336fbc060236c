"""Client connections: kept, checked before they are used again, and never left hanging."""

import asyncio
import functools
import socket
from collections.abc import Callable

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey

from larkpost.common.ids import Address
from larkpost.common.steady_time import steady_seconds
from larkpost.platform.silence import PROOF_SECONDS, CallKind, Line, Silences

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_SECONDS = 3.0
"""How long an idle connection is used again if its server does not say how long it keeps it."""
MOST_IDLE_SECONDS = 30.0
IDLE_MARGIN_SECONDS = 1.5
"""A connection is left alone this long before its server would close it."""
PEER_SILENCE_MS = 3000
"""After this long without an acknowledgement of sent bytes, a connection is given up."""

PROBE_AFTER_SECONDS = 2
PROBE_INTERVAL_SECONDS = 1
PROBES = 2
LEAST_ADDRESSES_KEPT = 1000
"""So many servers are remembered before those without a resting connection are forgotten."""
PROOF_LOOK_SECONDS = 0.01
"""Between two looks at whether a new connection has proven that an old one is silent."""
"""The system asks a connection that rests this long for a sign of life, so often, so many times:
a stream that waits for its next event on a silent connection ends after four seconds."""

TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)

# The library notes by a clock of its own since when connections rest. By the plain steady clock,
# one that rested while the machine was suspended would look fresh, though its server closed it.
aiohttp.connector.monotonic = steady_seconds


class SilentConnectionError(aiohttp.ClientError):
    """The connection of a call has gone silent for good; the call may have been made."""


@attrs.frozen
class CallLimits(aiohttp.ClientTimeout):
    """The limits of one call.

    Attributes:
        kind: which calls it takes about as long as.
        held: seconds that the other end may hold the call before it answers.
        ends_if_silent: whether the call ends with `SilentConnectionError` once its connection is
            taken to be silent for good; if not, its own time limit shows that.
        prove: asks for proof on a new connection, as it harms to end this call without need; it
            ends once there is proof, or `PROOF_SECONDS` later. None if it ends without.
        is_sent_once: whether the call ends when its connection is lost. The library sends some
            again by itself then, and tells only how that ended: a server that has crashed would
            look as if it had never been reached.
        connections: how many connections the call was given.
    """

    sock_connect: float | None = CONNECT_TIMEOUT_SECONDS
    kind: CallKind = CallKind.REQUEST
    held: float = 0.0
    ends_if_silent: bool = False
    prove: Callable[[], None] | None = None
    is_sent_once: bool = False
    connections: list[int] = attrs.field(factory=lambda: [0], eq=False)


class WatchedConnection(ResponseHandler):
    """One connection, which tells when it brings bytes.

    Attributes:
        line: what the connection has shown; None until its first call.
    """

    def __init__(self, silences: Silences, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._silences = silences
        self._watch: asyncio.TimerHandle | None = None
        self._prove: Callable[[], None] | None = None
        self._proof_until: float | None = None
        self.line: Line | None = None

    def begin_call(self, address: Address, limits: CallLimits) -> None:
        """Takes that a call begins, and ends it if the connection is silent."""
        if self.line is None:
            self.line = self._silences.open(address)
        self._silences.ask(self.line, limits.kind, limits.held)
        self._prove, self._proof_until = limits.prove, None
        if limits.ends_if_silent and self.line.heard_at is not None:
            self._look_again(limits.held + self._silences.patience(self.line))

    def end_call(self) -> None:
        """Takes that a call has ended, or was given up."""
        self._stop_watch()
        if self.line is not None and self.is_connected() and not self._is_held_here():
            self._silences.end(self.line)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of an answer."""
        if data and self.line is not None:
            self._stop_watch()
            self._silences.hear(self.line)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forgets the connection."""
        self._stop_watch()
        if self.line is not None:
            self._silences.close(self.line)
        super().connection_lost(exc)

    def _is_held_here(self) -> bool:
        """Tells whether no bytes come as nobody here reads them."""
        return self._reading_paused or self._buffer_paused

    def _look_again(self, delay: float) -> None:
        self._watch = self._loop.call_later(delay, self._look)

    def _look(self) -> None:
        """Breaks the call off if its connection is silent for good."""
        if not self._silences.is_silent(self.line):
            self._look_again(self._silences.patience(self.line))
            return
        self._silences.suspect(self.line)
        if self._waits_for_proof():
            self._look_again(PROOF_LOOK_SECONDS)
            return
        self.set_exception(SilentConnectionError(f"{self.line.address} is silent"))
        self.transport.abort()

    def _waits_for_proof(self) -> bool:
        """Tells whether a new connection may yet show that this one is silent; asks for it once."""
        if self._prove is None:
            return False
        if self._proof_until is None:
            self._proof_until = self._loop.time() + PROOF_SECONDS
            self._prove()
        return self._loop.time() < self._proof_until and not self._silences.is_proven(self.line)

    def _stop_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None


class CheckedConnector(aiohttp.TCPConnector):
    """Keeps connections, but never hands out one that holds bytes nobody asked for.

    A server may send a second answer after a whole one. On an idle connection those bytes lie in
    the protocol's buffer, and the library would give them to the next request as its answer. Nor
    does it hand out a connection that its server is about to close, or one that may be silent.

    Args:
        silences: tells which connections may be silent.
    """

    def __init__(self, silences: Silences, **options) -> None:
        super().__init__(**options)
        self._silences = silences
        self._factory = functools.partial(WatchedConnection, silences, self._loop)
        self._idle_times: dict[Address, float] = {}
        self._keys: dict[Address, ConnectionKey] = {}
        """The library's name for each server, under which it keeps the idle connections."""
        self._most_keys = LEAST_ADDRESSES_KEPT

    @property
    def open_connections(self) -> int:
        """The connections that are open, in use or resting."""
        return len(self._acquired) + sum(len(idle) for idle in self._conns.values())

    def record_idle_time(self, server: Address, seconds: float) -> None:
        """Takes what a server said of how long it keeps connections that rest."""
        usable = max(0.0, seconds - IDLE_MARGIN_SECONDS)
        self._idle_times[server] = min(MOST_IDLE_SECONDS, usable)

    def has_idle(self, server: Address) -> bool:
        """Tells whether a connection to a server rests that is likely to serve again."""
        idle = self._conns.get(self._keys.get(server))
        if not idle:
            return False
        return self._is_usable(*idle[-1], self._oldest_usable(server))

    def close_idle(self, server: Address) -> None:
        """Closes all connections to a server that rest."""
        for protocol, _ in self._conns.pop(self._keys.get(server), ()):
            protocol.close()

    def close_suspect(self, server: Address) -> None:
        """Closes the connections to a server that rest and may be silent."""
        idle = self._conns.get(self._keys.get(server), ())
        for entry in [entry for entry in idle if self._silences.is_suspect(entry[0].line)]:
            idle.remove(entry)
            entry[0].abort()
        if not idle:
            self._conns.pop(self._keys.get(server), None)

    def _oldest_usable(self, server: Address) -> float:
        """Returns the steady time since which a connection may rest and still be used."""
        return steady_seconds() - self._idle_times.get(server, IDLE_SECONDS)

    def _is_usable(self, protocol: WatchedConnection, resting_since: float, oldest: float) -> bool:
        if protocol.should_close or resting_since < oldest:
            return False
        return protocol.line is None or not self._silences.is_suspect(protocol.line)

    async def connect(self, req, traces, timeout):
        """Returns a connection for a call, kept or new, never later than the call's limit says.

        A process that was frozen meanwhile finds its connection open and its timer not yet run.
        """
        limits = timeout if isinstance(timeout, CallLimits) else CallLimits()
        if limits.is_sent_once and limits.connections[0]:
            raise aiohttp.ServerDisconnectedError("the connection was lost")
        limits.connections[0] += 1
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
        self._keep_key(server, key)
        idle = self._conns.get(key)
        if idle is not None:
            oldest = self._oldest_usable(server)
            spoiled = [entry for entry in idle if not self._is_usable(*entry, oldest)]
            for entry in spoiled:
                idle.remove(entry)
                entry[0].close()
            if not idle:
                del self._conns[key]
        return await super()._get(key, traces)

    def _keep_key(self, server: Address, key: ConnectionKey) -> None:
        """Remembers a server; now and then those are forgotten to which no connection rests."""
        self._keys[server] = key
        if len(self._keys) <= self._most_keys:
            return
        self._keys = {
            name: known
            for name, known in self._keys.items()
            if known in self._conns or known == key
        }
        self._idle_times = {
            name: seconds for name, seconds in self._idle_times.items() if name in self._keys
        }
        self._most_keys = max(LEAST_ADDRESSES_KEPT, 2 * len(self._keys))

    def _release(self, key, protocol, *, should_close: bool = False) -> None:
        """Takes a connection back; one that may be silent is not kept.

        One that is closed sends nothing more of its request: the transport would go on sending
        what it holds of a body, whoever has left meanwhile.
        """
        protocol.end_call()
        line = protocol.line
        if line is not None and self._silences.is_suspect(line):
            should_close = True
            self.close_suspect(line.address)
        transport = protocol.transport
        super()._release(key, protocol, should_close=should_close)
        if transport is not None and transport.is_closing() and transport.get_write_buffer_size():
            transport.abort()


def make_session(silences: Silences, *, keep: bool = True) -> aiohttp.ClientSession:
    """Returns a client session that sends and returns bytes as they are.

    Args:
        silences: tells which connections may be silent; sessions to the same addresses share it.
        keep: whether connections are kept for later requests.
    """
    lifetime = {"keepalive_timeout": MOST_IDLE_SECONDS} if keep else {"force_close": True}
    connector = CheckedConnector(silences, limit=0, socket_factory=_open_socket, **lifetime)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=CallLimits(),
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
    probe_for_silence(opened, PROBE_AFTER_SECONDS, PROBE_INTERVAL_SECONDS, PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, PEER_SILENCE_MS)
    return opened


def probe_for_silence(opened: socket.socket, after: int, interval: int, probes: int) -> None:
    """Makes the system probe a connection that rests, and end it if nothing answers.

    Args:
        after: seconds of rest before the first probe.
        interval: seconds between two probes.
        probes: unanswered probes after which the connection is at its end.
    """
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, after)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
