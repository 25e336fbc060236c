"""Finds runs that make nothing for a while although another engine could go on with them.

An engine takes more requests than it runs at once, and more texts than its memory has room for.
The others wait there, or are put off, and their streams are silent. The daemon that sent them
cannot see why, but a silence of several events is plain, and so is a free place elsewhere.

Owns the record of the runs of one batch and of their last events.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.directory import InstanceInfo

CHECK_INTERVAL_SECONDS = 0.1
"""Interval at which the runs of a batch are checked. A third of the shortest silence that
counts."""
MIN_STALL_TIMEOUT_SECONDS = 0.3
"""A run is not stalled before: the first event takes about 0.1 s, a queue at least as long."""
STALL_SERVICE_TIME_FACTOR = 6.0
"""Nor before as many events could have come at the engine's pace: slow engines are not silent."""
LOADING_STALL_TIMEOUT_SECONDS = 1.1
"""Nor, at an engine that loads weights, before the load can have ended: its runs go on then, and an
engine that one of them moved to may load next."""


class StalledError(Exception):
    """The run made nothing, and is to go on at an engine with a free place."""


@dataclass(slots=True)
class MonitoredRun:
    """One run at an engine.

    Attributes:
        limit: ends the run when its time is over; moved forward to end it at once.
        began_at: steady time at which the run began.
        progress_at: steady time of the last event; of the beginning before the first one.
        is_stalled: whether the run was ended because it made nothing.
    """

    engine: InstanceInfo
    limit: asyncio.Timeout
    started_at: float
    last_event_at: float
    is_stalled: bool = False

    def record_event(self, now: float, longest_gap: float) -> None:
        """Records that an event has come, and gives the run time for the next one.

        Args:
            longest_gap: seconds until the next event, after which the run is over.
        """
        self.last_event_at = now
        if not self.is_stalled:
            self.limit.reschedule(now + longest_gap)


class StallDetector:
    """Watches the runs of one batch."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._watches: list[MonitoredRun] = []

    @contextmanager
    def watch(self, engine: InstanceInfo, limit: asyncio.Timeout) -> Iterator[MonitoredRun]:
        """Watches a run until the context is left."""
        now = self._clock.now()
        watch = MonitoredRun(engine, limit, now, now)
        self._watches.append(watch)
        try:
            yield watch
        finally:
            self._watches.remove(watch)

    def find_stalled(self, stall_timeout: Callable[[MonitoredRun], float]) -> list[MonitoredRun]:
        """Returns the runs that have been silent for too long, the longest silence first.

        Args:
            silence_allowed: returns the seconds for which a run may make nothing.
        """
        now = self._clock.now()
        silent = [
            watch
            for watch in self._watches
            if not (watch.is_stalled or watch.limit.expired())
            and now - watch.last_event_at >= stall_timeout(watch)
        ]
        return sorted(silent, key=lambda watch: watch.last_event_at)

    def abort(self, watch: MonitoredRun) -> None:
        """Ends a run, so that it goes on elsewhere."""
        watch.is_stalled = True
        watch.limit.reschedule(self._clock.now())


def stall_timeout_seconds(service_time: float, *, is_loading: bool = False) -> float:
    """Returns the silence, in seconds, after which a run at an engine of this pace is stalled.

    Args:
        pace: seconds for an event, lastingly; 0 if not known.
        is_loading: whether the engine loads weights, and its runs go on afterwards.
    """
    silence = max(MIN_STALL_TIMEOUT_SECONDS, STALL_SERVICE_TIME_FACTOR * service_time)
    return max(silence, LOADING_STALL_TIMEOUT_SECONDS) if is_loading else silence
