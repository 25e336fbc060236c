"""Measures the lag of the event loop; a large lag means a frozen or overloaded process."""

from larkpost.common.clock import Clock
from larkpost.common.tasks import TaskSet
from larkpost.gateway.observability.eventlog import Event, EventLog

LOOP_INTERVAL_SECONDS = 0.5
"""Interval between two measurements."""
LATE_LOOP_SECONDS = 0.5
"""Lag from which it is logged."""


class EventLoopMonitor:
    """Tracks the lag of the event loop.

    Attributes:
        late_at: steady time of the last lag above `LATE_LOOP_SECONDS`.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._max_lag = 0.0
        self.late_at = float("-inf")

    def start(self, tasks: TaskSet) -> None:
        """Starts measuring."""
        tasks.spawn(self._run(), "loop")

    def take_max_lag(self) -> float:
        """Returns the maximum lag in seconds since the last call, and resets it."""
        max_lag, self._max_lag = self._max_lag, 0.0
        return max_lag

    async def _run(self) -> None:
        while True:
            started = self._clock.now()
            await self._clock.sleep(LOOP_INTERVAL_SECONDS)
            lag = self._clock.now() - started - LOOP_INTERVAL_SECONDS
            self._max_lag = max(self._max_lag, lag)
            if lag > LATE_LOOP_SECONDS:
                self.late_at = self._clock.now()
                self._log.record(Event.LOOP_LATE, seconds=round(lag, 3))
