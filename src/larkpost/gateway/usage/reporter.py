"""Reports usage: one daemon at a time finalizes each window's counts and sends the report.

A window is finalized ("decided") once its counts are in the store. The decision is stored as well,
so a later reporter sends exactly the same report. `usage.count_writer` saves the counts.
"""

from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.tasks import TaskSet
from larkpost.gateway.controllers.coordination import Coordination
from larkpost.gateway.controllers.fleet_clock import FleetClock
from larkpost.gateway.controllers.leases import Duty, LeaseSubject
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.observability.metrics import Count
from larkpost.gateway.store.port import StoreUnavailableError, WriteOutcome
from larkpost.gateway.usage.count_writer import save_interval
from larkpost.gateway.usage.port import (
    ReportOutcome,
    UsagePort,
    UsageReport,
    UsageTerms,
    WindowNumber,
)
from larkpost.gateway.usage.repository import DecidedReport, UsageRepository

UPDATE_SECONDS = 0.5
"""Interval between two checks for windows that are due."""
SETTLE_SECONDS = 3.5
"""Time from the end of a window until its counts are complete, in addition to the save interval:
requests that are in progress must end, and their daemons must become known."""
STORE_HEALTHY_SECONDS = 2.0
"""Time for which the store must have been healthy before a decision, unless the report is nearly
due: counts delayed by an outage must be saved first."""
DECISION_MARGIN_SECONDS = 2.0
"""A report is decided from the available counts this long before it is due."""
REPORT_TIMEOUT_SECONDS = 0.8
"""Timeout of a call that sends a report."""
LOOK_BACK_WINDOWS = 24
"""How many windows back a new reporter searches for unreported ones. Equals
`usage.counter.KEPT_WINDOWS`, the number of windows for which daemons keep counts."""
STORED_WINDOWS = 2 * LOOK_BACK_WINDOWS
"""Number of windows whose rows stay in the store; covers the search of any new reporter."""
SUBJECT = LeaseSubject(Duty.USAGE, "windows")
"""Lease subject of the reporter; all windows share it."""


@dataclass(frozen=True, slots=True)
class ReportTiming:
    """Decides when a window is complete.

    Attributes:
        store_healthy_for: returns for how many seconds every store call has succeeded.
    """

    terms: UsageTerms
    fleet_clock: FleetClock
    store_healthy_for: Callable[[], float]

    def window_at(self, time: float) -> WindowNumber:
        """Returns the window of a time of day in seconds."""
        return WindowNumber(int(time // self.terms.window_length))

    def can_decide(self, window: WindowNumber, now: float, alive: int) -> bool:
        """Returns whether all live daemons have had time to save their counts of a window.

        Args:
            now: time of day in seconds.
            alive: number of live daemons.
        """
        elapsed = now - (window + 1) * self.terms.window_length
        if elapsed >= self.terms.due_after - DECISION_MARGIN_SECONDS:
            return True
        if self.store_healthy_for() < STORE_HEALTHY_SECONDS:
            return False
        return elapsed >= SETTLE_SECONDS + save_interval(alive)


class UsageReporter:
    """Reports windows while this daemon is the chosen reporter."""

    def __init__(
        self,
        repository: UsageRepository,
        coordination: Coordination,
        port: UsagePort,
        instruments: Instruments,
        timing: ReportTiming,
    ) -> None:
        self._repository = repository
        self._coordination = coordination
        self._port = port
        self._clock = instruments.clock
        self._log = instruments.log
        self._metrics = instruments.metrics
        self._timing = timing
        self._next_window: WindowNumber | None = None
        """First window not known to be reported; None while another daemon reports."""

    def start(self, tasks: TaskSet) -> None:
        """Starts reporting periodically."""
        tasks.every(UPDATE_SECONDS, self.update, "usage")

    async def update(self) -> None:
        """Decides and reports the windows that are due, if this daemon is the chosen reporter."""
        if not self._coordination.is_responsible_for(SUBJECT.key):
            self._next_window = None
            return
        now = self._timing.fleet_clock.now()
        if now is None:
            return
        try:
            if self._next_window is None:
                self._next_window = await self._find_first_unreported(now)
            await self._report_due(self._next_window, now)
        except StoreUnavailableError:
            return  # counted by the store adapter; the next update retries

    async def _find_first_unreported(self, now: float) -> WindowNumber:
        """Returns the first window that is not known to be reported."""
        current = self._timing.window_at(now)
        decided = await self._repository.decided_since(WindowNumber(current - LOOK_BACK_WINDOWS))
        untaken = [window for window, known in decided.items() if not known.is_taken]
        after_last = max(decided, default=current - 1) + 1
        return WindowNumber(min([after_last, *untaken]))

    async def _report_due(self, first: WindowNumber, now: float) -> None:
        last = self._timing.window_at(now)
        alive = self._coordination.count_alive()
        due = [
            WindowNumber(window)
            for window in range(first, last)
            if self._timing.can_decide(WindowNumber(window), now, alive)
        ]
        if not due:
            return
        for window in due:
            if not await self._report(window):
                return
            self._next_window = WindowNumber(window + 1)
        await self._repository.remove_before(WindowNumber(last - STORED_WINDOWS))

    async def _report(self, window: WindowNumber) -> bool:
        """Decides a window if necessary and sends its report.

        Returns:
            Whether the receiver has taken it.
        """
        decided = await self._decide(window)
        if decided is None:
            return False
        if decided.is_taken:
            return True
        lease = await self._coordination.take_lease(SUBJECT)
        if lease is None:
            self._record(decided.report, "no_lease", None)
            return False
        if lease.has_expired(self._clock.now()):
            self._log.record(Event.LEASE_LAPSED, subject=SUBJECT.key, token=lease.token)
            return False
        outcome = await self._port.report_usage(
            decided.report, self._coordination.own, lease, REPORT_TIMEOUT_SECONDS
        )
        self._record(decided.report, outcome, lease.token)
        if outcome is not ReportOutcome.TAKEN:
            return False
        await self._repository.note_taken(decided)
        return True

    async def _decide(self, window: WindowNumber) -> DecidedReport | None:
        """Returns the stored report of a window, after deciding it if necessary.

        Returns:
            None if no decision could be stored or read.

        Raises:
            StoreUnavailableError: the store did not respond.
        """
        known = (await self._repository.decided_since(window)).get(window)
        if known is not None:
            return known
        report = await self._repository.sum_counts(window)
        if await self._repository.decide(report) not in (WriteOutcome.DONE, WriteOutcome.CONFLICT):
            return None
        self._log.record(
            Event.USAGE_DECIDED,
            window=window,
            tenants=len(report.counts),
            requests=sum(report.counts.values()),
        )
        return (await self._repository.decided_since(window)).get(window)

    def _record(self, report: UsageReport, outcome: str, token: int | None) -> None:
        self._metrics.count(Count.USAGE_REPORTS, outcome)
        self._log.record(
            Event.USAGE_REPORTED,
            window=report.window,
            requests=sum(report.counts.values()),
            token=token,
            outcome=outcome,
        )
