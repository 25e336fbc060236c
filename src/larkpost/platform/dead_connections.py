"""Detects connections that are dead without having been reset, as opposed to slow servers.

Keeps the state of each open connection, the typical latency of calls to each address, and the
suspect addresses. The criteria are in `larkpost.platform.dead_connection_rule`. When a connection
is dead, its address becomes suspect, and no connection that was open at that moment is reused.
Connections opened since are trusted, so a slow server loses at most one set of connections per
`SUSPECT_COOLDOWN_SECONDS`.

Operators see dead connections as ``connections_silent`` in the log and as
``larkpost_silent_connections_total`` in the metrics.
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
"""Weight of a faster call in the moving average of the latency; a slower call replaces it."""
SUSPECT_COOLDOWN_SECONDS = 2.0
"""Minimum time before an address becomes suspect again, so that a server that is slow at times does
not lose its connections repeatedly."""
ADDRESS_RETENTION_SECONDS = 60.0
"""How long the state of an address without connections is kept; restarted servers use new ones."""


class UpstreamKind(StrEnum):
    """What a connection leads to; the value is a metric label."""

    STORE = "store"
    PEER = "peer"
    SERVER = "server"


class CallKind(StrEnum):
    """Kinds of calls whose latencies are tracked separately."""

    REQUEST = "request"
    CONTROL = "control"  # answered at once, however busy the server is


@dataclass(slots=True, eq=False)
class ConnectionRecord:
    """The state of one open connection. All times are monotonic.

    Attributes:
        received_at: time at which it last received bytes; None if it never did.
        call_started_at: time at which its last call began.
        kind: kind of that call.
        hold_time: seconds for which the server may hold this call (long poll) before it responds.
        awaits_response: whether the call has not received a byte of its response yet.
    """

    address: Address
    opened_at: float
    received_at: float | None = None
    call_started_at: float = 0.0
    kind: CallKind = CallKind.REQUEST
    hold_time: float = 0.0
    awaits_response: bool = False

    def waiting_since(self) -> float:
        """Returns the time since which the call has waited for bytes."""
        return max(self.call_started_at, self.received_at or 0.0)


class DeadConnectionDetector:
    """Tracks the connections to all addresses of one kind and detects dead ones.

    Args:
        upstream: what the connections lead to.
        metrics: counts addresses that become suspect.
        log: records them.
        now: returns monotonic time.
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
        """Close time of the last connection, for addresses without any, oldest first."""

    def open(self, address: Address) -> ConnectionRecord:
        """Returns the record of a new connection."""
        record = ConnectionRecord(address, self._now())
        self._unused_since.pop(address, None)
        self._evict_unused()
        self._records.setdefault(address, set()).add(record)
        return record

    def close(self, record: ConnectionRecord) -> None:
        """Removes the record of a closed connection."""
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
        """Records the end of a call, complete or not; marks the address suspect if it timed out."""
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
        """Returns the seconds without a byte after which a connection may be dead.

        They count from the end of the call's hold time.
        """
        if not record.awaits_response:
            return MAX_BODY_PAUSE_SECONDS
        return timeout.seconds(self._typical_latency(record))

    def is_dead(self, record: ConnectionRecord, timeout: AdaptiveTimeout = ABORT_TIMEOUT) -> bool:
        """Returns whether a connection with a call in progress is dead."""
        wait = PendingCall(
            now=self._now(),
            since=record.waiting_since(),
            limit=self.timeout_of(record, timeout),
            hold_time=record.hold_time if record.awaits_response else 0.0,
            received_at=record.received_at,
        )
        return has_timed_out(wait) and not is_server_slow(wait, self._others_received_at(record))

    def is_newer_connection_alive(self, record: ConnectionRecord) -> bool:
        """Returns whether a connection opened after the call began has received bytes."""
        return any(
            other.received_at is not None and other.opened_at > record.call_started_at
            for other in self._records.get(record.address, ())
        )

    def mark_suspect(self, record: ConnectionRecord) -> None:
        """Marks all open connections to the record's address as suspect.

        Does nothing during the cooldown, or if the connection was suspect already.
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
        """Returns when any connection that was open when the call began last received bytes."""
        times = (
            other.received_at
            for other in self._records.get(record.address, ())
            if other.opened_at < record.call_started_at and other.received_at is not None
        )
        return max(times, default=None)

    def _evict_unused(self) -> None:
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
        """Returns the typical latency of calls like the connection's last; 0 if unknown."""
        return self._typical_latencies.get((record.address, record.kind), 0.0)

    def _record_latency(self, record: ConnectionRecord, seconds: float) -> None:
        typical = self._typical_latency(record)
        if seconds < typical:
            seconds = typical + LATENCY_DECAY * (seconds - typical)
        self._typical_latencies[(record.address, record.kind)] = seconds
