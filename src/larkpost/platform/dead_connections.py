"""Detects dead connections that were not reset, and distinguishes them from slow servers.

Keeps the state of each open connection, the typical latency of calls to each address, and the
suspect addresses. `larkpost.platform.dead_connection_rule` defines when a connection is dead.

When a connection is dead, its address becomes suspect: none of the connections that are open at
that moment is reused. Connections opened later may be reused, so a slow server that is wrongly
suspected loses its open connections at most once per `SUSPECT_COOLDOWN_SECONDS`.

Dead connections are logged as ``connections_silent`` and counted in the metric
``larkpost_silent_connections_total``.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from larkpost.common.ids import Address
from larkpost.common.steady_time import steady_seconds
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count, Metrics
from larkpost.platform.dead_connection_rule import (
    ABANDONED_CALL_TIMEOUT,
    ABORT_TIMEOUT,
    MAX_BODY_PAUSE_SECONDS,
    AdaptiveTimeout,
    PendingCall,
    has_timed_out,
    is_server_slow,
)

LATENCY_DECAY = 0.1
"""Weight of a new latency in the moving average if it is below the average; a higher latency
replaces the average."""
SUSPECT_COOLDOWN_SECONDS = 2.0
"""Minimum time before an address becomes suspect again, so that a server that is slow at times does
not lose its connections repeatedly."""
ADDRESS_RETENTION_SECONDS = 60.0
"""How long the state of an address without connections is kept; restarted servers use new
addresses."""


class UpstreamKind(StrEnum):
    """The other end of a connection; the value is a metric label."""

    STORE = "store"
    PEER = "peer"
    SERVER = "server"


class CallKind(StrEnum):
    """Kinds of calls whose latencies are tracked separately."""

    REQUEST = "request"
    CONTROL = "control"  # answered at once, however busy the server is


@dataclass(slots=True, eq=False)
class ConnectionRecord:
    """The state of one open connection; all times are in steady seconds.

    Attributes:
        received_at: time at which it last received bytes; None if it never did.
        call_started_at: time at which its latest call began.
        kind: kind of its latest call.
        hold_time: seconds for which the server may hold its latest call (long poll).
        awaits_response: whether a call is in progress and has received no bytes yet.
    """

    address: Address
    opened_at: float
    received_at: float | None = None
    call_started_at: float = 0.0
    kind: CallKind = CallKind.REQUEST
    hold_time: float = 0.0
    awaits_response: bool = False

    def waiting_since(self) -> float:
        """Returns the time of the call's start or of the last bytes, whichever is later."""
        return max(self.call_started_at, self.received_at or 0.0)


class DeadConnectionDetector:
    """Tracks the connections to all addresses of one kind and detects dead ones.

    Args:
        upstream: the other end of the connections.
        metrics: counts each time an address becomes suspect.
        log: records each time an address becomes suspect.
        now: returns steady seconds.
    """

    def __init__(
        self,
        upstream: UpstreamKind,
        metrics: Metrics | None = None,
        log: EventLog | None = None,
        now: Callable[[], float] = steady_seconds,
    ) -> None:
        self._upstream = upstream
        self._metrics = metrics
        self._log = log
        self._now = now
        self._records: dict[Address, set[ConnectionRecord]] = {}
        self._typical_latencies: dict[tuple[Address, CallKind], float] = {}
        self._suspected_at: dict[Address, float] = {}
        self._unused_since: dict[Address, float] = {}
        """Close time of the last connection to each address without connections, oldest first."""

    def add_connection(self, address: Address) -> ConnectionRecord:
        """Starts to track a new connection and returns its record."""
        record = ConnectionRecord(address, self._now())
        self._unused_since.pop(address, None)
        self._evict_unused()
        self._records.setdefault(address, set()).add(record)
        return record

    def remove_connection(self, record: ConnectionRecord) -> None:
        """Stops tracking a closed connection."""
        records = self._records.get(record.address)
        if records is not None:
            records.discard(record)
            if not records:
                del self._records[record.address]
                self._unused_since[record.address] = self._now()

    def begin_call(self, record: ConnectionRecord, kind: CallKind, hold_time: float) -> None:
        """Records the start of a call on a connection."""
        record.call_started_at = self._now()
        record.kind = kind
        record.hold_time = hold_time
        record.awaits_response = True

    def record_bytes(self, record: ConnectionRecord) -> None:
        """Records that a connection has received bytes."""
        record.received_at = self._now()
        if record.awaits_response:
            record.awaits_response = False
            if not record.hold_time:
                self._record_latency(record, record.received_at - record.call_started_at)

    def end_call(self, record: ConnectionRecord) -> None:
        """Records the end of a call; marks the address suspect if the connection is dead.

        The elapsed time of a call without a response raises the typical latency if it exceeds it.
        """
        if self.is_dead(record, ABANDONED_CALL_TIMEOUT):
            self.mark_suspect(record)
        elif record.awaits_response and not record.hold_time:
            elapsed = self._now() - record.call_started_at
            if elapsed > self._typical_latency(record):
                self._record_latency(record, elapsed)
        record.awaits_response = False

    def timeout_of(
        self, record: ConnectionRecord, timeout: AdaptiveTimeout = ABORT_TIMEOUT
    ) -> float:
        """Returns the seconds without bytes after which a call has timed out.

        Before the response begins, the timeout starts at the end of the call's hold time.
        """
        if not record.awaits_response:
            return MAX_BODY_PAUSE_SECONDS
        return timeout.seconds(self._typical_latency(record))

    def is_dead(self, record: ConnectionRecord, timeout: AdaptiveTimeout = ABORT_TIMEOUT) -> bool:
        """Returns whether a connection with a call in progress is dead."""
        call = PendingCall(
            now=self._now(),
            waiting_since=record.waiting_since(),
            timeout=self.timeout_of(record, timeout),
            hold_time=record.hold_time if record.awaits_response else 0.0,
            received_at=record.received_at,
        )
        return has_timed_out(call) and not is_server_slow(call, self._others_received_at(record))

    def is_newer_connection_alive(self, record: ConnectionRecord) -> bool:
        """Returns whether a connection opened after the call began has received bytes."""
        return any(
            other.received_at is not None and other.opened_at > record.call_started_at
            for other in self._records.get(record.address, ())
        )

    def mark_suspect(self, record: ConnectionRecord) -> None:
        """Marks all open connections to the record's address as suspect.

        Does nothing during the cooldown, or if the connection is already suspect.
        """
        now = self._now()
        suspected_at = self._suspected_at.get(record.address, float("-inf"))
        if now - suspected_at < SUSPECT_COOLDOWN_SECONDS or record.opened_at < suspected_at:
            return
        self._suspected_at[record.address] = now
        if self._metrics is not None:
            self._metrics.count(Count.SILENT_CONNECTIONS, self._upstream)
        if self._log is not None:
            self._log.record(
                Event.CONNECTIONS_SILENT,
                to=self._upstream,
                address=record.address,
                silent=round(now - record.waiting_since(), 3),
                patience=round(self.timeout_of(record), 3),
                open=len(self._records.get(record.address, ())),
            )

    def is_suspect(self, record: ConnectionRecord) -> bool:
        """Returns whether a connection was open when its address last became suspect."""
        return record.opened_at <= self._suspected_at.get(record.address, float("-inf"))

    def _others_received_at(self, record: ConnectionRecord) -> float | None:
        """Returns the latest time at which a connection opened before the call received bytes."""
        times = (
            other.received_at
            for other in self._records.get(record.address, ())
            if other.opened_at < record.call_started_at and other.received_at is not None
        )
        return max(times, default=None)

    def _evict_unused(self) -> None:
        """Drops the state of addresses unused for `ADDRESS_RETENTION_SECONDS`."""
        oldest = self._now() - ADDRESS_RETENTION_SECONDS
        while self._unused_since:
            address, unused_since = next(iter(self._unused_since.items()))
            if unused_since > oldest:
                return
            del self._unused_since[address]
            self._suspected_at.pop(address, None)
            for kind in CallKind:
                self._typical_latencies.pop((address, kind), None)

    def _typical_latency(self, record: ConnectionRecord) -> float:
        """Returns the typical latency of calls of the latest call's kind; 0 if unknown."""
        return self._typical_latencies.get((record.address, record.kind), 0.0)

    def _record_latency(self, record: ConnectionRecord, seconds: float) -> None:
        typical = self._typical_latency(record)
        if seconds < typical:
            seconds = typical + LATENCY_DECAY * (seconds - typical)
        self._typical_latencies[(record.address, record.kind)] = seconds
