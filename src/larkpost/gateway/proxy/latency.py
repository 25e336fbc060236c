"""Estimates how much longer responses from distant servers take, from this daemon's own requests.

The quickest responses from each distance indicate the network latency; slower ones indicate load.
Owns these measurements; the caller provides distances.
"""

from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.common.distance import Distance
from larkpost.gateway.blackboard.configuration import ServiceName

DEFAULT_FACTORS = {
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: 1.05,
    Distance.OTHER_REGION: 1.5,
}
"""Factors on the response time used until it is measured, without unit. Small, so that they
decide only between otherwise similar servers."""
MAX_FACTOR = 4.0
"""Maximum factor, without unit, so that a single late response does not exclude a region."""
RISE_WEIGHT = 0.05
"""Weight of a response slower than the estimate, without unit. Low, as slow responses indicate load
rather than latency."""
LIFETIME_SECONDS = 120.0
"""How long a measurement is used; long enough for distant servers, which are seldom measured."""


@dataclass(slots=True)
class _Quickest:
    """Estimated seconds of the quickest recent responses, and steady time of the last update."""

    seconds: float
    at: float


class LatencyFactors:
    """The quickest responses of each service from each distance."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._quickest: dict[tuple[ServiceName, Distance], _Quickest] = {}

    def record(self, service: ServiceName, distance: Distance, seconds: float) -> None:
        """Records the seconds that a whole response took."""
        now = self._clock.now()
        quickest = self._quickest.get((service, distance))
        if quickest is None or now - quickest.at > LIFETIME_SECONDS or seconds < quickest.seconds:
            self._quickest[service, distance] = _Quickest(seconds, now)
            return
        quickest.seconds += RISE_WEIGHT * (seconds - quickest.seconds)
        quickest.at = now

    def factor(self, service: ServiceName, distance: Distance, nearest: Distance) -> float:
        """Returns the factor on the response time at a distance relative to a nearer one."""
        if distance <= nearest:
            return 1.0
        far, near = (self._quickest_seconds(service, compared) for compared in (distance, nearest))
        if far is None or not near:
            return DEFAULT_FACTORS[distance] / DEFAULT_FACTORS[nearest]
        return min(MAX_FACTOR, max(1.0, far / near))

    def _quickest_seconds(self, service: ServiceName, distance: Distance) -> float | None:
        quickest = self._quickest.get((service, distance))
        if quickest is None or self._clock.now() - quickest.at > LIFETIME_SECONDS:
            return None
        return quickest.seconds
