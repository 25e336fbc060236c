"""Books the times at which refused callers come back, one after the other instead of in one wave.

Callers of one line are told times in the order in which they were refused, apart by the time that
one request takes up of what this daemon gets served. Owns the last time that was told in each line.
"""

import random
from collections.abc import Hashable

from larkpost.common.clock import Clock

MAX_SCHEDULED_QUEUES = 256
"""Lines remembered at most; dropped are those whose last time has come, then the one that was told
a time longest ago."""
MIN_DELAY_FRACTION = 0.5
"""Callers that cannot wait for their turn come back spread over the rest of the time that they can
wait, from this part of it on."""


class RetrySchedule:
    """The times told to refused callers, by line.

    Args:
        chance: spreads the callers of different daemons, which know nothing of each other's lines.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._chance = rng
        self._told: dict[Hashable, float] = {}
        """The line that was told a time longest ago comes first."""

    def reserve(self, queue: Hashable, wanted: float, spacing: float, most: float) -> float:
        """Returns the seconds after which a caller should come back, at most ``most``.

        Args:
            line: what the caller waits for; callers of one line do not come back together.
            wanted: seconds until there is room for it.
            spacing: seconds between two callers.
            most: seconds that the caller waits at most before it comes back.
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
