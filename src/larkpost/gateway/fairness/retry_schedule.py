"""Schedules the retries of refused clients one after the other instead of all at once.

Clients of one queue get retry times in the order in which they were refused, spaced by the mean
time between two requests that end at this daemon. Owns the last assigned time of each queue.
"""

import random
from collections.abc import Hashable

from larkpost.common.clock import Clock

MAX_SCHEDULED_QUEUES = 256
"""Maximum number of queues remembered. Those whose last assigned time has passed are dropped first,
then the one that was used least recently."""
MIN_DELAY_FRACTION = 0.5
"""Clients whose scheduled time exceeds their maximum delay retry after a random time between this
fraction of that delay and all of it. Without unit."""


class RetrySchedule:
    """The last assigned retry time of each queue.

    Args:
        rng: random generator that spreads the clients of different daemons, which do not share
            their schedules.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._last_times: dict[Hashable, float] = {}
        """The least recently used queue comes first."""

    def reserve(self, queue: Hashable, min_delay: float, spacing: float, max_delay: float) -> float:
        """Reserves a retry time; returns the seconds until then, at most ``max_delay``.

        Args:
            queue: key of the client's queue; retries of one queue are spaced.
            min_delay: minimum retry delay in seconds: the time until a slot is expected to be free.
            spacing: seconds between the retries of two clients.
            max_delay: maximum retry delay in seconds.
        """
        now = self._clock.now()
        retry_at = max(now + min_delay, self._last_times.get(queue, float("-inf")) + spacing)
        if retry_at - now > max_delay:
            return max_delay * self._rng.uniform(MIN_DELAY_FRACTION, 1.0)
        self._last_times.pop(queue, None)
        self._drop_expired(now)
        self._last_times[queue] = retry_at
        return min(max_delay, retry_at - now + self._rng.random() * spacing)

    def _drop_expired(self, now: float) -> None:
        if len(self._last_times) >= MAX_SCHEDULED_QUEUES:
            self._last_times = {
                queue: retry_at for queue, retry_at in self._last_times.items() if retry_at > now
            }
        while len(self._last_times) >= MAX_SCHEDULED_QUEUES:
            del self._last_times[next(iter(self._last_times))]
