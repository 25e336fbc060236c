"""The heartbeats in one part of the store, as this daemon lists them repeatedly.

A daemon counts as silent if its row has not changed for long enough while this daemon's own
listings succeeded. An outage of the store, or a pause of this daemon, makes no daemon silent.
"""

from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.common.ids import DaemonId
from larkpost.gateway.blackboard.daemon_report import DaemonReport
from larkpost.gateway.blackboard.instance_usage import InstanceUsage
from larkpost.gateway.controllers.heartbeat import Heartbeat, decode_heartbeat
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.store.port import Row, RowKey, Store, StoreUnavailableError, read_all

MEMBER_TABLE = "members"
"""Table of all heartbeats; its parts are the kinds, its keys the daemons."""
MISSED_HEARTBEATS = 3.2
"""Intervals without a heartbeat after which a daemon is silent: three lost heartbeats, and some
time for the listing."""
STORE_CALLS_ALLOWED = 4.0
"""Number of store calls whose typical duration is added to the time until a daemon is silent."""
STORE_CALL_WEIGHT = 0.3
"""Weight of the newest call in the moving average of call durations."""
MAX_LISTING_GAP_INTERVALS = 2.2
"""Gap between two successful listings, in intervals, above which the time without heartbeats is
counted from the later listing."""
UNREADABLE_INTERVAL_SECONDS = 0.25
"""Interval assumed for an unreadable row; the shortest that a daemon reports."""


@dataclass(slots=True)
class ObservedHeartbeat:
    """A daemon's row as last listed.

    Attributes:
        version: version of the row.
        changed_at: steady time of the first listing that showed this version.
    """

    version: int
    changed_at: float
    heartbeat: Heartbeat


class HeartbeatList:
    """The heartbeats in one part of the store.

    Args:
        listener: called with each new use summary of a daemon; an empty one once it is gone.
        report_listener: called with each new report of a daemon; an empty one once it is gone.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        log: EventLog,
        part: str,
        listener: Callable[[DaemonId, InstanceUsage], None] = lambda *_: None,
        report_listener: Callable[[DaemonId, DaemonReport], None] = lambda *_: None,
    ) -> None:
        self.part = part
        self.listed_at: float | None = None
        self.seen: dict[DaemonId, ObservedHeartbeat] = {}
        self._store = store
        self._clock = clock
        self._log = log
        self._listener = listener
        self._report_listener = report_listener
        self._typical_call = 0.0

    def row_of(self, daemon: DaemonId) -> RowKey:
        """Returns the key of a daemon's row."""
        return RowKey(MEMBER_TABLE, self.part, daemon)

    def silence_limit(self, interval: float) -> float:
        """Returns the seconds without a heartbeat after which a daemon is silent.

        The limit grows with the store's latency, which delays heartbeats and listings.

        Args:
            interval: seconds between the daemon's heartbeats.
        """
        return MISSED_HEARTBEATS * interval + STORE_CALLS_ALLOWED * self._typical_call

    @property
    def typical_call_seconds(self) -> float:
        """Moving average of the duration of a listing, in seconds."""
        return self._typical_call

    def silence(self, daemon: DaemonId) -> float:
        """Returns the seconds without a change of a daemon's row, up to the last listing."""
        if self.listed_at is None:
            return 0.0
        return self.listed_at - self.seen[daemon].changed_at

    def is_responsive(self, daemon: DaemonId) -> bool:
        """Returns whether a daemon has a row here, is not silent and is not leaving."""
        seen = self.seen.get(daemon)
        if seen is None or seen.heartbeat.leaving:
            return False
        return self.silence(daemon) < self.silence_limit(seen.heartbeat.interval)

    def rows_silent_for(self, seconds: float) -> list[tuple[RowKey, int]]:
        """Returns the rows, with their versions, that have not changed for longer than this."""
        return [
            (self.row_of(name), seen.version)
            for name, seen in self.seen.items()
            if self.silence(name) > seconds
        ]

    async def update(self, interval: float) -> bool:
        """Lists the rows, and returns whether the store responded.

        Args:
            interval: planned seconds between two listings.
        """
        started_at = self._clock.now()
        try:
            page = await read_all(self._store, MEMBER_TABLE, self.part)
        except StoreUnavailableError:
            return False  # counted by the store's adapter; no daemon becomes silent meanwhile
        now = self._clock.now()
        self._typical_call += STORE_CALL_WEIGHT * (now - started_at - self._typical_call)
        gap = now - self.listed_at if self.listed_at is not None else float("inf")
        self.listed_at = now
        usual_gap = interval + STORE_CALLS_ALLOWED * self._typical_call
        self._store_rows(page.rows, now, had_gap=gap > MAX_LISTING_GAP_INTERVALS * usual_gap)
        return True

    def _store_rows(self, rows: tuple[Row, ...], now: float, *, had_gap: bool) -> None:
        """Stores the listed rows; with `had_gap`, unchanged rows count as changed now."""
        for row in rows:
            name = DaemonId(row.key.key)
            seen = self.seen.get(name)
            if seen is None or seen.version != row.version:
                heartbeat = self._read(name, row)
                self.seen[name] = ObservedHeartbeat(row.version, now, heartbeat)
                self._listener(name, heartbeat.uses)
                self._report_listener(name, heartbeat.report)
            elif had_gap:
                seen.changed_at = now
        for name in self.seen.keys() - {row.key.key for row in rows}:
            del self.seen[name]
            self._listener(name, {})
            self._report_listener(name, DaemonReport())

    def _read(self, name: DaemonId, row: Row) -> Heartbeat:
        try:
            return decode_heartbeat(row.value)
        except ValueError as error:
            self._log.record(Event.UNREADABLE, row=name, error=str(error))
            return Heartbeat(UNREADABLE_INTERVAL_SECONDS)
