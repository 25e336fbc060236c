"""How much longer responses take from servers farther away, as this daemon's own requests show.

The quickest responses of a service from each distance tell the latency of the network; the others
tell the load. Owns those measurements; relies on the caller for distances.
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
"""How many times as long a response is taken to take until it was measured, without unit. A little,
so that the nearer of two equal servers is taken, and load and pace decide otherwise."""
MAX_FACTOR = 4.0
"""Largest factor, without unit. A single late response must not close a region for long."""
RISE_WEIGHT = 0.05
"""Share of a response slower than the usual one, without unit. Small, as the quickest ones tell the
latency, the others the load."""
LIFETIME_SECONDS = 120.0
"""How long a measurement counts. Servers and links change, and a far one is seldom asked."""


@dataclass(slots=True)
class _Quickest:
    """About the quickest responses lately, in seconds, and when the last one came (steady)."""

    seconds: float
    at: float


class LatencyFactors:
    """The quickest responses of each service from each distance."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._quickest: dict[tuple[ServiceName, Distance], _Quickest] = {}

    def record(self, service: ServiceName, distance: Distance, seconds: float) -> None:
        """Records the seconds that one whole response took."""
        now = self._clock.now()
        known = self._quickest.get((service, distance))
        if known is None or now - known.at > LIFETIME_SECONDS or seconds < known.seconds:
            self._quickest[service, distance] = _Quickest(seconds, now)
            return
        known.seconds += RISE_WEIGHT * (seconds - known.seconds)
        known.at = now

    def factor(self, service: ServiceName, distance: Distance, nearest: Distance) -> float:
        """Returns how many times as long a response takes from a distance as from a nearer one."""
        if distance <= nearest:
            return 1.0
        far, near = (self._measured(service, place) for place in (distance, nearest))
        if far is None or not near:
            return DEFAULT_FACTORS[distance] / DEFAULT_FACTORS[nearest]
        return min(MAX_FACTOR, max(1.0, far / near))

    def _measured(self, service: ServiceName, distance: Distance) -> float | None:
        known = self._quickest.get((service, distance))
        if known is None or self._clock.now() - known.at > LIFETIME_SECONDS:
            return None
        return known.seconds
