"""What is agreed about the size of a service."""

from collections.abc import Mapping
from dataclasses import dataclass

from larkpost.common.ids import ZoneId


@dataclass(frozen=True, slots=True)
class ScalingTerms:
    """What is agreed about the servers of one service.

    Attributes:
        minimum: fewest servers in each zone, of both kinds together.
        maximum: most servers in each zone, of both kinds together.
        boot_time: seconds from an order until a server serves.
        preemptible_price: price of a preemptible server as a share of one on demand; None if
            there are none.
        zone_prices: price of a server for a second, by zone; the only zones that have servers.
    """

    minimum: int
    maximum: int
    boot_time: float
    preemptible_price: float | None
    zone_prices: Mapping[ZoneId, float]
