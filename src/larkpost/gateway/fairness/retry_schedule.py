"""Schedules the retries of refused clients one after the other instead of all at once.

Clients of one queue get retry times in the order in which they were refused, spaced by the time
that one request takes at this daemon's rate of service. Owns the last assigned time of each queue.
"""

import random
from collections.abc import Hashable

from larkpost.common.clock import Clock

MAX_SCHEDULED_QUEUES = 256
"""Maximum number of queues remembered. Those whose last assigned time has passed are dropped first,
then the one that was used least recently."""
MIN_DELAY_FRACTION = 0.5
"""Clients that cannot wait for their scheduled time retry at random times between this fraction of
their maximum delay and all of it. Without unit."""


class RetrySchedule:
    """The last assigned retry time of each queue.

    Args:
        chance: random generator that spreads the clients of different daemons, which do not share
            their schedules.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._chance = rng
        self._told: dict[Hashable, float] = {}
        """The least recently used queue comes first."""

    def reserve(self, queue: Hashable, wanted: float, spacing: float, most: float) -> float:
        """Reserves a retry time; returns the seconds until then, at most ``most``.

        Args:
            queue: key of the client's queue; retries of one queue are spaced.
            wanted: seconds until a slot is expected for it.
            spacing: seconds between the retries of two clients.
            most: maximum retry delay in seconds.
        """
        now = self._clock.now()
        at = max(now + wanted, self._told.get(queue, float("-inf")) + spacing)
        if at - now > most:
            return most * self._chance.uniform(MIN_DELAY_FRACTION, 1.0)
        self._told.pop(queue, None)
        self._drop_past(now)
        self._told[queue] = at
        return min(most, at - now + self._chance.random() * spacing)

    def _drop_past(self, now: float) -> None:
        if len(self._told) >= MAX_SCHEDULED_QUEUES:
            self._told = {queue: at for queue, at in self._told.items() if at > now}
        while len(self._told) >= MAX_SCHEDULED_QUEUES:
            del self._told[next(iter(self._told))]
