"""Determines which daemons are alive, from heartbeats in the store.

Owns the tasks that write this daemon's heartbeats and list those of all daemons, and logs changes
of membership. `heartbeat_intervals` defines the kinds of heartbeat and their intervals,
`fleet_view` derives the live daemons, `coordinators` the coordinators.

Each machine runs one daemon. A new one removes the rows of its predecessors, so that their batches
are claimed without delay.
"""

from collections.abc import Callable

from larkpost.common.ids import DaemonId
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.daemon_report import DaemonReport
from larkpost.gateway.blackboard.instance_usage import InstanceUsage
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.controllers.fleet_view import FleetView
from larkpost.gateway.controllers.heartbeat import machine_of
from larkpost.gateway.controllers.heartbeat_intervals import (
    FAST_HEARTBEAT_SECONDS,
    fast_heartbeat_interval,
    shortage_factor,
    slow_listing_interval,
)
from larkpost.gateway.controllers.heartbeat_list import HeartbeatList
from larkpost.gateway.controllers.heartbeat_writer import (
    WRITE_TIMEOUT_SECONDS,
    HeartbeatWriter,
    LocalDaemon,
    is_due,
)
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.store.port import RowKey, Store, Transaction

SLOW_HEARTBEAT_PART = "known"
"""Store part of the slow heartbeats; see `heartbeat_intervals`."""
FAST_HEARTBEAT_PART = "awaited"
"""Store part of the fast heartbeats."""
ROW_RETENTION_SECONDS = 60.0
"""Time without a heartbeat after which a daemon's rows are removed; far longer than any outage that
its machine survives."""
MAX_REMOVALS = 40
"""Most rows of dead daemons removed at once; a transaction takes up to 100 entries."""


def _ignore(_daemon: DaemonId, _use: InstanceUsage) -> None:
    """Ignores another daemon's report."""


class Membership(FleetView):
    """This daemon's heartbeats and its view of the others.

    Args:
        own: what this daemon reports of itself.
        regions: the regions of zones, this daemon's own zone included.
        listener: called with each new use summary of another daemon; an empty one when it is gone.
        report_listener: called with each new report of another daemon, in either heartbeat; an
            empty report when that heartbeat is gone.
    """

    def __init__(
        self,
        own: LocalDaemon,
        store: Store,
        instruments: Instruments,
        regions: RegionMap,
        listener: Callable[[DaemonId, InstanceUsage], None] = _ignore,
        report_listener: Callable[[DaemonId, DaemonReport], None] = _ignore,
    ) -> None:
        clock, log = instruments.clock, instruments.log
        slow_heartbeats = HeartbeatList(
            store, clock, log, SLOW_HEARTBEAT_PART, report_listener=self._record_slow_report
        )
        fast_heartbeats = HeartbeatList(
            store, clock, log, FAST_HEARTBEAT_PART, self._record_use, self._record_fast_report
        )
        super().__init__(own.id, slow_heartbeats, fast_heartbeats, regions, clock)
        self._store = store
        self._log = log
        self._listener = listener
        self._report_listener = report_listener
        self._has_shortage = own.has_shortage
        self._writer = HeartbeatWriter(own, self, regions, store, clock)
        self._logged_alive: frozenset[DaemonId] = frozenset()
        self._logged_coordinator = False

    def start(self, tasks: TaskSet) -> None:
        """Starts writing and listing heartbeats."""
        tasks.every(FAST_HEARTBEAT_SECONDS, self._writer.write_due, "heartbeat")
        tasks.every(FAST_HEARTBEAT_SECONDS, self._refresh_lists, "members")

    async def refresh(self) -> None:
        """Lists the fast heartbeats at once, before this daemon starts to write its own."""
        if await self.fast_heartbeats.update(self._fast_listing_interval()):
            self.update()

    async def leave(self) -> None:
        """Announces that this daemon is leaving, so that others take over without delay."""
        self.is_leaving = True
        self.update()
        await self._writer.write_last()

    def _record_use(self, daemon: DaemonId, use: InstanceUsage) -> None:
        if daemon != self.own:
            self._listener(daemon, use)

    def _record_slow_report(self, daemon: DaemonId, report: DaemonReport) -> None:
        """Passes on the report of a slow heartbeat, unless the daemon also has fast heartbeats."""
        if daemon != self.own and daemon not in self.fast_heartbeats.seen:
            self._report_listener(daemon, report)

    def _record_fast_report(self, daemon: DaemonId, report: DaemonReport) -> None:
        if daemon != self.own:
            self._report_listener(daemon, report)

    def _slow_listing_interval(self) -> float:
        interval = slow_listing_interval(len(self.slow_heartbeats.seen), self.age())
        return interval * shortage_factor(has_shortage=self._has_shortage())

    def _fast_listing_interval(self) -> float:
        if self._writer.needs_fast_heartbeats():
            return fast_heartbeat_interval(len(self.fast_heartbeats.seen))
        return self._slow_listing_interval()

    async def _refresh_lists(self) -> None:
        is_changed = False
        for rows, interval in (
            (self.fast_heartbeats, self._fast_listing_interval()),
            (self.slow_heartbeats, self._slow_listing_interval()),
        ):
            if is_due(rows.listed_at, interval, self._clock.now()) and await rows.update(interval):
                is_changed = True
                await self._remove_old(rows)
        if is_changed:
            self.update()
            self._log_changes()

    async def _remove_old(self, rows: HeartbeatList) -> None:
        """Removes the rows of this machine's earlier incarnations and of long-dead daemons.

        Only one daemon removes those of long-dead daemons, to limit the number of calls.
        """
        old = self._rows_of_earlier_incarnations(rows)
        if self.choose_coordinator("forget") == self.own:
            old |= dict(rows.rows_silent_for(ROW_RETENTION_SECONDS)[:MAX_REMOVALS])
        if old:
            removal = Transaction(conditions=tuple(old.items()), removals=tuple(old))
            await self._store.write(removal, WRITE_TIMEOUT_SECONDS)

    def _rows_of_earlier_incarnations(self, rows: HeartbeatList) -> dict[RowKey, int]:
        """Returns the rows of this machine's earlier incarnations, with their versions."""
        machine = machine_of(self.own)
        return {
            rows.row_of(name): seen.version
            for name, seen in rows.seen.items()
            if name != self.own and machine_of(name) == machine
        }

    def _log_changes(self) -> None:
        """Logs daemons newly considered alive or dead, and whether this daemon is a coordinator."""
        for name in sorted(self.alive() ^ self._logged_alive):
            rows = (
                self.fast_heartbeats if name in self.fast_heartbeats.seen else self.slow_heartbeats
            )
            age = round(rows.silence(name), 3) if name in rows.seen else None
            state = "alive" if name in self.alive() else "dead"
            self._log.record(Event.MEMBER, member=name, state=state, heartbeat_age=age)
        self._logged_alive = self.alive()
        if self.is_coordinator() != self._logged_coordinator:
            self._logged_coordinator = self.is_coordinator()
            self._log.record(
                Event.COORDINATOR,
                acting=self._logged_coordinator,
                alive=len(self.alive()),
                interval=fast_heartbeat_interval(len(self.fast_heartbeats.seen)),
            )
