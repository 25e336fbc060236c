"""Detects stalled runs, whose engines have sent no event for too long.

An engine accepts more requests than it runs at once, and preempts requests when its memory runs
out. It sends no events for queued and preempted requests. A daemon does not see the reason, so it
detects stalls by the time since the last event. `batch_run.py` aborts stalled runs while there are
more free slots than waiting items.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.directory import InstanceInfo

CHECK_INTERVAL_SECONDS = 0.1
"""Interval at which the runs of a batch are checked for stalls."""
MIN_STALL_TIMEOUT_SECONDS = 0.3
"""Lower bound of the stall timeout; above the usual time to the first event. The first event takes
about 0.1 s, and a short queue as long again."""
STALL_SERVICE_TIME_FACTOR = 6.0
"""Stall timeout as a multiple of the engine's service time, so that slow engines do not count as
stalled."""
LOADING_STALL_TIMEOUT_SECONDS = 1.1
"""Lower bound of the stall timeout at an engine that loads weights; its runs continue after the
load, and another engine might load next."""


class StalledError(Exception):
    """The run produced no events and should continue at an engine with a free slot."""


@dataclass(slots=True)
class MonitoredRun:
    """A run at an engine that is watched for stalls.

    Attributes:
        event_timeout: timeout of the next event; rescheduled to now to abort the run.
        started_at: steady time at which the run started.
        last_event_at: steady time of the last event; `started_at` before the first one.
        is_stalled: whether the run was aborted as stalled.
    """

    engine: InstanceInfo
    event_timeout: asyncio.Timeout
    started_at: float
    last_event_at: float
    is_stalled: bool = False

    def record_event(self, now: float, max_event_gap: float) -> None:
        """Records an event and extends the timeout.

        Args:
            max_event_gap: seconds after which the run times out unless another event arrives.
        """
        self.last_event_at = now
        if not self.is_stalled:
            self.event_timeout.reschedule(now + max_event_gap)


class StallDetector:
    """Detects stalled runs of one batch."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._runs: list[MonitoredRun] = []

    @contextmanager
    def watch(self, engine: InstanceInfo, event_timeout: asyncio.Timeout) -> Iterator[MonitoredRun]:
        """Watches a run until the context exits."""
        now = self._clock.now()
        run = MonitoredRun(engine, event_timeout, now, now)
        self._runs.append(run)
        try:
            yield run
        finally:
            self._runs.remove(run)

    def find_stalled(self, stall_timeout: Callable[[MonitoredRun], float]) -> list[MonitoredRun]:
        """Returns the stalled runs, the longest silent first.

        Args:
            stall_timeout: returns the seconds without an event after which a run is stalled.
        """
        now = self._clock.now()
        stalled = [
            run
            for run in self._runs
            if not (run.is_stalled or run.event_timeout.expired())
            and now - run.last_event_at >= stall_timeout(run)
        ]
        return sorted(stalled, key=lambda run: run.last_event_at)

    def abort(self, run: MonitoredRun) -> None:
        """Aborts a run, so that its item continues elsewhere."""
        run.is_stalled = True
        run.event_timeout.reschedule(self._clock.now())


def stall_timeout_seconds(service_time: float, *, is_loading: bool = False) -> float:
    """Returns the seconds without an event after which a run is stalled.

    Args:
        service_time: sustained seconds per event of the engine; 0 if unknown.
        is_loading: whether the engine loads weights; its runs continue after the load.
    """
    timeout = max(MIN_STALL_TIMEOUT_SECONDS, STALL_SERVICE_TIME_FACTOR * service_time)
    return max(timeout, LOADING_STALL_TIMEOUT_SECONDS) if is_loading else timeout
