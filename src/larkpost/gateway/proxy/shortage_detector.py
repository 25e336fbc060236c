"""Distinguishes a persistent shortage of slots from short waits.

As requests arrive at random, some wait even if the capacity is sufficient. Applying shares then
would only make more requests late. A shortage is persistent while a large
fraction of the requests gets no slot within its objective.
"""

from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.configuration import ServiceName

MIN_MISSED_FRACTION = 0.3
"""Minimum fraction of requests without a slot in time for a persistent shortage, without unit."""
MIN_MISSED_REQUESTS = 3.0
"""Minimum decayed number of requests without a slot in time; fewer may occur by chance."""
HALF_LIFE_SECONDS = 3.0
"""Half-life of the counts."""


@dataclass(slots=True)
class _Counts:
    """Exponentially decayed counts of the requests of a service.

    Attributes:
        at: steady time of the last change.
        granted: requests that got a slot, in time or later.
        missed: requests that got no slot in time.
    """

    at: float
    granted: float = 0.0
    missed: float = 0.0

    def decay(self, now: float) -> None:
        """Decays the counts to the present."""
        weight = 0.5 ** ((now - self.at) / HALF_LIFE_SECONDS)
        self.granted *= weight
        self.missed *= weight
        self.at = now


class ShortageDetector:
    """Detects persistent shortages from the recent requests of this daemon."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._services: dict[ServiceName, _Counts] = {}

    def record_slot_granted(self, service: ServiceName) -> None:
        """Records a request that got a slot."""
        self._counts(service).granted += 1

    def record_missed(self, service: ServiceName) -> None:
        """Records a request that got no slot within its objective, or will get none."""
        self._counts(service).missed += 1

    def is_persistent(self, service: ServiceName) -> bool:
        """Returns whether a service has a persistent shortage of slots."""
        counts = self._counts(service)
        min_missed = MIN_MISSED_FRACTION * (counts.granted + counts.missed)
        return counts.missed >= max(MIN_MISSED_REQUESTS, min_missed)

    def _counts(self, service: ServiceName) -> _Counts:
        now = self._clock.now()
        counts = self._services.setdefault(service, _Counts(now))
        counts.decay(now)
        return counts
