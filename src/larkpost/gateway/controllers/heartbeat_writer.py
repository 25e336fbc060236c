"""Writes this daemon's heartbeats: slow ones always, fast ones while others rely on them.

Owns the times of the last writes, and the time until which fast heartbeats are written.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from larkpost.common.clock import Clock
from larkpost.common.ids import Address, DaemonId, InstanceId
from larkpost.gateway.blackboard.daemon_report import DaemonReport
from larkpost.gateway.blackboard.instance_usage import InstanceUsage
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.controllers.fleet_view import FleetView
from larkpost.gateway.controllers.heartbeat import Heartbeat, encode_heartbeat
from larkpost.gateway.controllers.heartbeat_intervals import (
    FAST_HEARTBEAT_SECONDS,
    fast_heartbeat_interval,
    shortage_factor,
    slow_heartbeat_interval,
)
from larkpost.gateway.controllers.heartbeat_list import HeartbeatList
from larkpost.gateway.store.port import Store, Transaction, WriteOutcome

FAST_HEARTBEAT_LINGER_SECONDS = 5.0
"""How long a daemon keeps writing fast heartbeats after it last needed them; the next step's batch
usually follows soon."""
MAX_REPORTED_CALL_SECONDS = 0.4
"""Most seconds of store latency added to the reported interval. Others wait for
`heartbeat_list.MISSED_HEARTBEATS` intervals before they take over the daemon's batches. A full link
between regions takes 0.3 s."""
TIMER_SLACK_SECONDS = 0.05
"""Seconds before the end of an interval from which a heartbeat or listing is due, so that a timer
tick that comes slightly early does not delay it to the next tick."""
WRITE_TIMEOUT_SECONDS = 1.0
"""Timeout of a write."""


@dataclass(frozen=True, slots=True)
class LocalDaemon:
    """This daemon, as it reports itself to the others.

    Attributes:
        id: this process's id, unique to one incarnation.
        use: returns the use of instances reported with each fast heartbeat.
        is_owner: returns whether it owns batches that have not ended.
        clock_offset: returns the seconds by which this machine's time of day is ahead of the
            store's clock, or None if that is unknown.
        address: where it relays store calls for others, or None.
        report: returns what else it reports with each heartbeat.
        paces: returns the long-term service times reported with the next fast heartbeat. Slow
            heartbeats carry none, because all daemons list them and their size is bounded.
        has_shortage: returns whether a service lacks slots, so that reports are needed sooner.
    """

    id: DaemonId
    use: Callable[[], InstanceUsage] = dict
    is_owner: Callable[[], bool] = lambda: False
    clock_offset: Callable[[], float | None] = lambda: None
    address: Address | None = None
    report: Callable[[], DaemonReport] = DaemonReport
    paces: Callable[[], dict[InstanceId, float]] = dict
    has_shortage: Callable[[], bool] = lambda: False


class HeartbeatWriter:
    """Keeps this daemon's heartbeat rows current."""

    def __init__(
        self, own: LocalDaemon, view: FleetView, regions: RegionMap, store: Store, clock: Clock
    ) -> None:
        self._own = own
        self._view = view
        self._regions = regions
        self._store = store
        self._clock = clock
        self._slow_written_at: float | None = None
        self._fast_written_at: float | None = None
        self._fast_until = float("-inf")

    def needs_fast_heartbeats(self) -> bool:
        """Returns whether others rely on this daemon's fast heartbeats now, or did recently."""
        now = self._clock.now()
        if self._view.is_coordinator() or self._own.is_owner():
            self._fast_until = now + FAST_HEARTBEAT_LINGER_SECONDS
        return now < self._fast_until

    async def write_due(self) -> None:
        """Writes the heartbeats that are due, and removes the fast one once it is not needed."""
        if self._view.is_leaving:
            return
        if self.needs_fast_heartbeats():
            if is_due(self._fast_written_at, self._fast_interval(), self._clock.now()):
                await self._write_fast()
        elif self._fast_written_at is not None:
            await self._remove_fast()
        slow_interval = self._slow_interval() * shortage_factor(
            has_shortage=self._own.has_shortage()
        )
        if is_due(self._slow_written_at, slow_interval, self._clock.now()):
            await self._write_slow()

    async def write_last(self) -> None:
        """Removes the slow heartbeat, and marks this daemon as leaving in the fast one."""
        await self._write(Transaction(removals=(self._view.slow_heartbeats.row_of(self._own.id),)))
        if self._fast_written_at is not None:
            await self._put(
                self._view.fast_heartbeats, Heartbeat(FAST_HEARTBEAT_SECONDS, leaving=True)
            )

    def _fast_interval(self) -> float:
        return fast_heartbeat_interval(len(self._view.fast_heartbeats.seen))

    def _slow_interval(self) -> float:
        return slow_heartbeat_interval(len(self._view.alive()))

    async def _write_slow(self) -> None:
        self._slow_written_at = self._clock.now()
        heartbeat = Heartbeat(
            self._slow_interval(),
            address=self._own.address,
            clock_offset=self._own.clock_offset(),
            zone=self._regions.own_zone,
            report=self._own.report(),
        )
        await self._put(self._view.slow_heartbeats, heartbeat)

    async def _write_fast(self) -> None:
        self._fast_written_at = self._clock.now()
        call = min(self._view.fast_heartbeats.typical_call_seconds, MAX_REPORTED_CALL_SECONDS)
        interval = round(self._fast_interval() + call, 3)
        is_coordinator = self._view.is_coordinator()
        report = replace(self._own.report(), paces=self._own.paces())
        await self._put(
            self._view.fast_heartbeats,
            Heartbeat(interval, self._own.use(), coordinates=is_coordinator, report=report),
        )

    async def _remove_fast(self) -> None:
        """Removes the fast heartbeat, or writes it again if that fails: others rely on it."""
        removal = Transaction(removals=(self._view.fast_heartbeats.row_of(self._own.id),))
        if await self._write(removal) is WriteOutcome.DONE:
            self._fast_written_at = None
        else:
            await self._write_fast()

    async def _put(self, rows: HeartbeatList, heartbeat: Heartbeat) -> None:
        put = (rows.row_of(self._own.id), encode_heartbeat(heartbeat))
        await self._write(Transaction(puts=(put,)))

    async def _write(self, transaction: Transaction) -> WriteOutcome:
        return (await self._store.write(transaction, WRITE_TIMEOUT_SECONDS)).outcome


def is_due(last: float | None, interval: float, now: float) -> bool:
    """Returns whether an interval has passed.

    Args:
        last: steady time of the last occurrence; None if there was none.
        interval: seconds.
    """
    return last is None or now - last >= interval - TIMER_SLACK_SECONDS
