"""Measures how late the event loop is; a long delay means a freeze or a busy machine."""

from larkpost.common.clock import Clock
from larkpost.common.tasks import TaskSet
from larkpost.gateway.observability.eventlog import Event, EventLog

LOOP_INTERVAL_SECONDS = 0.5
"""Seconds between two measurements."""
LATE_LOOP_SECONDS = 0.5
"""Seconds of delay of the event loop from which it is logged."""


class EventLoopMonitor:
    """The largest delay since it was last asked for.

    Attributes:
        late_at: steady time at which the loop was last found late.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._largest = 0.0
        self.late_at = float("-inf")

    def start(self, tasks: TaskSet) -> None:
        """Starts measuring."""
        tasks.spawn(self._run(), "loop")

    def take_max_lag(self) -> float:
        """Returns the largest delay in seconds since the last call, and begins anew."""
        largest, self._largest = self._largest, 0.0
        return largest

    async def _run(self) -> None:
        while True:
            started = self._clock.now()
            await self._clock.sleep(LOOP_INTERVAL_SECONDS)
            lag = self._clock.now() - started - LOOP_INTERVAL_SECONDS
            self._largest = max(self._largest, lag)
            if lag > LATE_LOOP_SECONDS:
                self.late_at = self._clock.now()
                self._log.record(Event.LOOP_LATE, seconds=round(lag, 3))
