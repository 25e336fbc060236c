"""One connection to a server or to the store, and the end of its call once it is silent.

Relies on `larkpost.platform.dead_connections` for whether a connection is silent for good.
"""

import asyncio
from collections.abc import Callable

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler

from larkpost.common.ids import Address
from larkpost.platform.dead_connections import CallKind, ConnectionRecord, DeadConnectionDetector

CONNECT_TIMEOUT_SECONDS = 1.0
"""Longest wait for a new connection."""
PROBE_WAIT_SECONDS = 0.2
"""How much longer a call that must not be given up lightly waits for proof from a new connection: a
server that turned slow all at once answers both late, and is not to blame."""
PROBE_POLL_SECONDS = 0.01
"""Between two checks whether a new connection has proven an old one silent."""


class DeadConnectionError(aiohttp.ClientError):
    """The connection of a call has gone silent for good; the call may have been made."""


@attrs.frozen
class CallOptions(aiohttp.ClientTimeout):
    """The limits of one call.

    Attributes:
        sock_connect: seconds within which a new connection must be open.
        kind: which calls it takes about as long as.
        hold_time: seconds that the other end may hold the call before it responds.
        ends_if_silent: whether the call ends with `SilentConnectionError` once its connection is
            taken to be silent for good; if not, its own time limit shows that.
        prove: asks for proof on a new connection, as it harms to end this call without need; it
            ends once there is proof, or `PROOF_SECONDS` later. None if it ends without.
        is_sent_once: whether the call ends when its connection is lost. The library sends some
            again by itself then, and reports only how that ended: a server that has crashed would
            look as if it had never been reached.
        connections: one number, which counts the connections that the call was given.
    """

    sock_connect: float | None = CONNECT_TIMEOUT_SECONDS
    kind: CallKind = CallKind.REQUEST
    hold_time: float = 0.0
    aborts_if_dead: bool = False
    start_probe: Callable[[], None] | None = None
    disables_retry: bool = False
    connection_count: list[int] = attrs.field(factory=lambda: [0], eq=False)


class WatchedConnection(ResponseHandler):
    """One connection, whose bytes and calls are recorded.

    Attributes:
        record: what the connection has shown; None until its first call.
    """

    def __init__(self, detector: DeadConnectionDetector, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._detector = detector
        self._timer: asyncio.TimerHandle | None = None
        self._start_probe: Callable[[], None] | None = None
        self._probe_until: float | None = None
        self.record: ConnectionRecord | None = None

    def begin_call(self, address: Address, limits: CallOptions) -> None:
        """Records that a call begins, and ends it if the connection is silent."""
        if self.record is None:
            self.record = self._detector.open(address)
        self._detector.begin_call(self.record, limits.kind, limits.hold_time)
        self._start_probe, self._probe_until = limits.start_probe, None
        if limits.aborts_if_dead and self.record.received_at is not None:
            self._schedule_check(limits.hold_time + self._detector.timeout_of(self.record))

    def end_call(self) -> None:
        """Records that a call has ended, or was given up."""
        self._cancel_timer()
        if self.record is not None and self.is_connected() and not self._is_reading_paused():
            self._detector.end_call(self.record)

    def data_received(self, data: bytes) -> None:
        """Records that bytes of a response came, and passes them on."""
        if data and self.record is not None:
            self._cancel_timer()
            self._detector.record_bytes(self.record)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forgets the connection."""
        self._cancel_timer()
        if self.record is not None:
            self._detector.close(self.record)
        super().connection_lost(exc)

    def _is_reading_paused(self) -> bool:
        """Returns whether no bytes come as nobody here reads them."""
        return self._reading_paused or self._buffer_paused

    def _schedule_check(self, delay: float) -> None:
        self._timer = self._loop.call_later(delay, self._check)

    def _check(self) -> None:
        """Breaks the call off if its connection is silent for good."""
        if not self._detector.is_dead(self.record):
            self._schedule_check(self._detector.timeout_of(self.record))
            return
        self._detector.mark_suspect(self.record)
        if self._awaits_probe():
            self._schedule_check(PROBE_POLL_SECONDS)
            return
        self.set_exception(DeadConnectionError(f"{self.record.address} is silent"))
        self.transport.abort()

    def _awaits_probe(self) -> bool:
        """Returns whether a new connection may yet prove this one silent; asks for that once."""
        if self._start_probe is None:
            return False
        if self._probe_until is None:
            self._probe_until = self._loop.time() + PROBE_WAIT_SECONDS
            self._start_probe()
        return (
            self._loop.time() < self._probe_until
            and not self._detector.is_newer_connection_alive(self.record)
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
