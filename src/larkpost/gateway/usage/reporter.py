"""Reports usage: every daemon saves its counts, and one of them decides and sends.

A window is decided once its counts have come in; the decision stays in the store, so whoever holds
the duty later repeats exactly what was sent before.
"""

import asyncio
import contextlib
from collections.abc import Callable

from larkpost.common.clock import Clock
from larkpost.common.tasks import TaskSet
from larkpost.gateway.controllers.leases import Duty, LeaseSubject, LeaseTable
from larkpost.gateway.controllers.members import Membership
from larkpost.gateway.controllers.true_time import TrueTime
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count, Metrics
from larkpost.gateway.store.port import StoreUnavailableError, WriteOutcome
from larkpost.gateway.usage.counter import UsageCounter
from larkpost.gateway.usage.port import (
    ReportOutcome,
    UsagePort,
    UsageReport,
    UsageTerms,
    WindowNumber,
)
from larkpost.gateway.usage.repository import DecidedReport, UsageRepository

SAVE_SECONDS = 0.5
"""Least time between two savings of a daemon's counts: what it counts meanwhile dies with it."""
SAVE_TIMEOUTS = (0.5, 1.0, 1.5)
"""Time limits of the tries to save, in seconds: an answer may be lost, or the store may be slow."""
LAST_SAVE_SECONDS = 0.8
"""Longest time that a planned stop waits for its counts to be saved: its kill is near."""
SAVES_PER_SECOND = 120.0
"""Most savings that a fleet makes together: one part of the store takes 200 writes a second."""
UPDATE_SECONDS = 0.5
SETTLE_SECONDS = 3.5
"""Time from a window's end until its requests have ended and their daemons have been heard, besides
the interval at which those save their counts."""
SOUND_SECONDS = 2.0
"""How long the store must have answered, so that daemons have saved what they held back."""
LAST_CHANCE_SECONDS = 2.0
"""So long before a report is due it is decided from the counts that there are."""
REPORT_TIMEOUT_SECONDS = 0.8
LOOK_BACK_WINDOWS = 24
"""How far back a new holder of the duty looks for windows that were not reported."""
KEPT_WINDOWS = 2 * LOOK_BACK_WINDOWS
SUBJECT = LeaseSubject(Duty.USAGE, "windows")
"""All windows are one subject."""


class UsageReporter:
    """Saves this daemon's counts, and reports windows while the duty is this daemon's."""

    def __init__(
        self,
        repository: UsageRepository,
        counter: UsageCounter,
        true_time: TrueTime,
        leases: LeaseTable,
        membership: Membership,
        port: UsagePort,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        terms: UsageTerms,
        store_sound_for: Callable[[], float],
    ) -> None:
        """Makes a reporter.

        Args:
            store_sound_for: returns for how many seconds each call to the store was answered.
        """
        self._store_sound_for = store_sound_for
        self._repository = repository
        self._counter = counter
        self._true_time = true_time
        self._leases = leases
        self._membership = membership
        self._port = port
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._terms = terms
        self._next: WindowNumber | None = None
        """The first window that is not known to be reported; None while others have the duty."""

    def start(self, tasks: TaskSet) -> None:
        """Starts counting and reporting."""
        tasks.every(self._save_interval, self.save, "usage_counts")
        tasks.every(UPDATE_SECONDS, self.update, "usage")

    def _save_interval(self) -> float:
        return max(SAVE_SECONDS, len(list(self._membership.alive())) / SAVES_PER_SECOND)

    async def save(self) -> None:
        """Writes what this daemon has counted since it last did."""
        for timeout in SAVE_TIMEOUTS:
            counts = self._counter.unsaved()
            if not counts:
                return
            if await self._repository.save_counts(self._membership.own, counts, timeout):
                self._counter.record_saved(counts)
                return

    async def save_last(self) -> None:
        """Saves at a planned stop, which must not take long."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_SAVE_SECONDS):
                await self.save()

    async def update(self) -> None:
        """Decides and reports the windows that are due, if the duty is this daemon's."""
        if self._membership.first_choice(SUBJECT.key) != self._membership.own:
            self._next = None
            return
        now = self._true_time.now()
        if now is None:
            return
        try:
            if self._next is None:
                self._next = await self._find_first(now)
            await self._report_due(self._next, now)
        except StoreUnavailableError:
            return  # the store's adapter has counted it; the next update tries again

    async def _find_first(self, now: float) -> WindowNumber:
        """Returns the first window that nobody is known to have reported."""
        current = self._window_at(now)
        decided = await self._repository.decided_since(WindowNumber(current - LOOK_BACK_WINDOWS))
        open_windows = [window for window, known in decided.items() if not known.is_taken]
        after_last = max(decided, default=current - 1) + 1
        return WindowNumber(min([after_last, *open_windows]))

    async def _report_due(self, first: WindowNumber, now: float) -> None:
        last = self._window_at(now)
        due = [
            WindowNumber(window)
            for window in range(first, last)
            if self._is_settled(WindowNumber(window), now)
        ]
        if not due:
            return
        for window in due:
            if not await self._report(window):
                return
            self._next = WindowNumber(window + 1)
        await self._repository.remove_before(WindowNumber(last - KEPT_WINDOWS))

    def _window_at(self, time: float) -> WindowNumber:
        return WindowNumber(int(time // self._terms.window_length))

    def _is_settled(self, window: WindowNumber, now: float) -> bool:
        """Tells whether all daemons that can be heard have saved their counts of a window."""
        elapsed = now - (window + 1) * self._terms.window_length
        if elapsed >= self._terms.due_after - LAST_CHANCE_SECONDS:
            return True
        if self._store_sound_for() < SOUND_SECONDS:
            return False
        return elapsed >= SETTLE_SECONDS + self._save_interval()

    async def _report(self, window: WindowNumber) -> bool:
        """Decides a window if nobody has, sends its report, and tells whether it was taken."""
        decided = await self._decide(window)
        if decided is None:
            return False
        if decided.is_taken:
            return True
        lease = await self._leases.take(SUBJECT)
        if lease is None:
            self._note(decided.report, "no_lease", None)
            return False
        if self._clock.now() >= lease.usable_until:
            self._log.record(Event.LEASE_LAPSED, subject=SUBJECT.key, token=lease.token)
            return False
        outcome = await self._port.report_usage(
            decided.report, self._membership.own, lease, REPORT_TIMEOUT_SECONDS
        )
        self._note(decided.report, outcome, lease.token)
        if outcome is not ReportOutcome.TAKEN:
            return False
        await self._repository.note_taken(decided)
        return True

    async def _decide(self, window: WindowNumber) -> DecidedReport | None:
        """Returns the decision on a window, made now unless there is one; None if it is not known.

        Raises:
            StoreUnavailableError: the store did not answer.
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

    def _note(self, report: UsageReport, outcome: str, token: int | None) -> None:
        self._metrics.count(Count.USAGE_REPORTS, outcome)
        self._log.record(
            Event.USAGE_REPORTED,
            window=report.window,
            requests=sum(report.counts.values()),
            token=token,
            outcome=outcome,
        )
