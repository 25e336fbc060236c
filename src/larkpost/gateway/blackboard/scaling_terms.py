"""Scaling limits and prices of a service."""

from collections.abc import Mapping
from dataclasses import dataclass

from larkpost.common.ids import ZoneId


@dataclass(frozen=True, slots=True)
class ScalingTerms:
    """Scaling limits and prices of one service.

    Attributes:
        minimum: minimum number of servers in each zone, on-demand and preemptible together.
        maximum: maximum number of servers in each zone, on-demand and preemptible together.
        boot_time: seconds from ordering a server until it serves.
        preemptible_price: price of a preemptible server as a fraction of the on-demand price; None
            if there are no preemptible servers.
        zone_prices: price per server and second in each zone that can have servers.
    """

    minimum: int
    maximum: int
    boot_time: float
    preemptible_price: float | None
    zone_prices: Mapping[ZoneId, float]
