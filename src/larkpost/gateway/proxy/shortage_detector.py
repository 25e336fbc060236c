"""Tells a service whose places do not suffice from one where requests wait for a moment.

Requests come at random, so some wait also where there is room for all. They are served in their
turn; shares would not give anybody more, but make more of them late. A shortage lasts while a large
part of the requests finds no place in its time.
"""

from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.configuration import ServiceName

MIN_MISSED_FRACTION = 0.3
"""Part of the requests that find no place in their time while a shortage lasts."""
MIN_MISSED_REQUESTS = 3.0
"""Such requests lately while a shortage lasts: fewer may be so by chance."""
HALF_LIFE_SECONDS = 3.0
"""Time after which a request counts half."""


@dataclass(slots=True)
class _Counts:
    """Requests of a service; what came earlier counts less and less.

    Attributes:
        at: steady time of the last change.
        placed: requests that found a place, in their time or later.
        missed: requests that found none in their time.
    """

    at: float
    granted: float = 0.0
    missed: float = 0.0

    def age(self, now: float) -> None:
        """Lets what was counted before weigh less."""
        weight = 0.5 ** ((now - self.at) / HALF_LIFE_SECONDS)
        self.granted *= weight
        self.missed *= weight
        self.at = now


class ShortageDetector:
    """What became lately of this daemon's requests for each service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._services: dict[ServiceName, _Counts] = {}

    def record_slot_granted(self, service: ServiceName) -> None:
        """Records a request that found a place."""
        self._counts(service).granted += 1

    def record_missed(self, service: ServiceName) -> None:
        """Records a request that found no place within its objective, or will not find any."""
        self._counts(service).missed += 1

    def is_persistent(self, service: ServiceName) -> bool:
        """Returns whether the places of a service do not suffice."""
        counts = self._counts(service)
        least = MIN_MISSED_FRACTION * (counts.granted + counts.missed)
        return counts.missed >= max(MIN_MISSED_REQUESTS, least)

    def _counts(self, service: ServiceName) -> _Counts:
        now = self._clock.now()
        counts = self._services.setdefault(service, _Counts(now))
        counts.age(now)
        return counts
