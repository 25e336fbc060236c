"""A connection to a server or to the store that aborts its call when it is dead.

`larkpost.platform.dead_connections` decides whether a connection is dead.
"""

import asyncio
from collections.abc import Callable

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from larkpost.common.ids import Address
from larkpost.platform.dead_connections import CallKind, ConnectionRecord, DeadConnectionDetector

CONNECT_TIMEOUT_SECONDS = 1.0
"""Default connect timeout."""
PROBE_WAIT_SECONDS = 0.2
"""Maximum time for which a call waits for its probe before it is aborted. If the server is slow,
the probe is late as well, and the call may still get its response."""
PROBE_POLL_SECONDS = 0.01
"""Interval at which the result of a probe is checked."""
MAX_HEAD_BYTES = 262_144
"""Maximum bytes of a call's response until its head is complete, with blank lines and interim
responses before it. A server in trouble may send those without end."""
MAX_RESPONSE_KEYS = 256
"""Keys that a connection remembers; it is not reused after that, to bound their memory."""
FIRST_INTERIM_STATUS, FIRST_FINAL_STATUS, MAX_FINAL_STATUS = 100, 200, 599
"""Interim responses precede a response; no response has a status below them, or above the last."""
SWITCHING_PROTOCOLS = 101
"""Status by which a server leaves HTTP, which no call asks for."""


class DeadConnectionError(aiohttp.ClientError):
    """The connection of a call is dead; the call may have been executed."""


class OversizedHeadError(aiohttp.ClientError):
    """The head of a response is too long; the call may have been executed."""


class InvalidStatusError(aiohttp.ClientError):
    """The status is that of no response; the call may have been executed."""


@attrs.frozen
class CallOptions(aiohttp.ClientTimeout):
    """The timeouts and options of one call.

    Attributes:
        sock_connect: connect timeout in seconds.
        kind: selects the typical latency from which the timeout is derived.
        hold_time: seconds for which the server may hold the call (long poll) before it responds.
        aborts_if_dead: whether the call fails with `DeadConnectionError` once its connection is
            dead; otherwise only its own timeout ends it.
        start_probe: sends a probe on a new connection before the call is aborted. The call is
            aborted once a newer connection has received bytes, or `PROBE_WAIT_SECONDS` later.
            None to abort without a probe.
        response_key: what tells the call's response from those to other calls: the id that the
            response repeats, or the kind of a call whose response repeats none. No connection
            carries two calls with the same key, as an earlier response may arrive a second time.
            None for a call that takes an earlier response of its kind without harm.
        disables_retry: whether the call fails when its connection is lost. Otherwise aiohttp
            retries some requests by itself and reports only the last attempt, so a server that
            crashed would look as if it had never been reached.
        connection_count: number of connections that the call has been given, as a list with one
            element, as the class is immutable.
    """

    sock_connect: float | None = CONNECT_TIMEOUT_SECONDS
    kind: CallKind = CallKind.REQUEST
    hold_time: float = 0.0
    aborts_if_dead: bool = False
    response_key: bytes | None = None
    start_probe: Callable[[], None] | None = None
    disables_retry: bool = False
    connection_count: list[int] = attrs.field(factory=lambda: [0], eq=False)


class WatchedConnection(ResponseHandler):
    """A connection that reports its calls and received bytes to the detector.

    Attributes:
        record: the connection's state; None until its first call.
    """

    def __init__(self, detector: DeadConnectionDetector, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._detector = detector
        self._check_timer: asyncio.TimerHandle | None = None
        self._start_probe: Callable[[], None] | None = None
        self._probe_until: float | None = None
        self._awaited_head_bytes: int | None = None
        """Bytes received of a head that is not complete; None if none is awaited."""
        self._response_keys: set[bytes] = set()
        """Keys of the calls that the connection has carried."""
        self.record: ConnectionRecord | None = None

    def has_carried(self, response_key: bytes) -> bool:
        """Returns whether a response to an earlier call could be taken for that of another one.

        Args:
            response_key: key of the other call.
        """
        return response_key in self._response_keys

    def begin_call(self, address: Address, options: CallOptions) -> None:
        """Records the start of a call and schedules the check for a dead connection."""
        if self.record is None:
            self.record = self._detector.add_connection(address)
        self._detector.begin_call(self.record, options.kind, options.hold_time)
        self._start_probe, self._probe_until = options.start_probe, None
        self._record_key(options.response_key)
        self._awaited_head_bytes = 0
        if options.aborts_if_dead and self.record.received_at is not None:
            self._schedule_check(options.hold_time + self._detector.timeout_of(self.record))

    def _record_key(self, response_key: bytes | None) -> None:
        """Remembers the key of a call; with too many keys, the connection is not reused."""
        if response_key is None:
            return
        self._response_keys.add(response_key)
        if len(self._response_keys) >= MAX_RESPONSE_KEYS:
            self.force_close()

    def end_call(self) -> None:
        """Records that a call has ended or was abandoned."""
        self._cancel_timer()
        if self.record is not None and self.is_connected() and not self._is_reading_paused():
            self._detector.end_call(self.record)

    def data_received(self, data: bytes) -> None:
        """Records the received bytes and passes them on."""
        if data and self.record is not None:
            self._cancel_timer()
            self._detector.record_bytes(self.record)
        super().data_received(data)
        self._limit_head(len(data))

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Takes the head of a response, which may be an interim one.

        Aborts the call if its status is that of no response, as after other bytes that are none.
        """
        status = data[0].code
        if not is_response_status(status):
            self._abort(InvalidStatusError(f"no response has the status {status:03}"))
            return
        if status >= FIRST_FINAL_STATUS:
            self._awaited_head_bytes = None
        super().feed_data(data, size)

    def _limit_head(self, received: int) -> None:
        """Aborts the call once it has received too many bytes without a complete head."""
        if self._awaited_head_bytes is None:
            return
        self._awaited_head_bytes += received
        if self._awaited_head_bytes > MAX_HEAD_BYTES:
            self._abort(OversizedHeadError(f"the head exceeds {MAX_HEAD_BYTES} bytes"))

    def _abort(self, error: aiohttp.ClientError) -> None:
        """Ends the call with an error, and its connection."""
        self._awaited_head_bytes = None
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Removes the connection's record."""
        self._cancel_timer()
        if self.record is not None:
            self._detector.remove_connection(self.record)
        super().connection_lost(exc)

    def _is_reading_paused(self) -> bool:
        """Returns whether flow control has paused reading, so that no bytes can arrive."""
        return self._reading_paused or self._buffer_paused

    def _schedule_check(self, delay: float) -> None:
        self._check_timer = self._loop.call_later(delay, self._check)

    def _check(self) -> None:
        """Aborts the call if its connection is dead."""
        if not self._detector.is_dead(self.record):
            self._schedule_check(self._detector.timeout_of(self.record))
            return
        self._detector.mark_suspect(self.record)
        if self._awaits_probe():
            self._schedule_check(PROBE_POLL_SECONDS)
            return
        self.set_exception(DeadConnectionError(f"the connection to {self.record.address} is dead"))
        self.transport.abort()

    def _awaits_probe(self) -> bool:
        """Returns whether the call waits for its probe; starts the probe on the first call."""
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
        if self._check_timer is not None:
            self._check_timer.cancel()
            self._check_timer = None


def is_response_status(status: int) -> bool:
    """Returns whether HTTP has responses with a status, interim ones included (RFC 9110)."""
    is_known = FIRST_INTERIM_STATUS <= status <= MAX_FINAL_STATUS
    return is_known and status != SWITCHING_PROTOCOLS
