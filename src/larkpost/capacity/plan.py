"""How many preemptible servers a service of engines is to have, zone by zone.

The trainers' batches often come at the same moment. An item that waits for a place may turn out to
be the longest of its step, so there should be a place for each item of the newest batches. What the
servers that are there anyway do not offer, preemptible ones do, spread evenly over the zones: all
of a zone may be taken away at once.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from larkpost.fleet.configuration import Service
from larkpost.fleet.directory import InstanceInfo, InstanceState
from larkpost.ids import ZoneId


def plan_preemptible(
    service: Service,
    instances: Iterable[InstanceInfo],
    items: int,
    dry_zones: Collection[ZoneId],
) -> Mapping[ZoneId, int]:
    """Returns the preemptible servers that each zone is to have.

    Args:
        service: with the bounds of its size.
        instances: all its servers that are known.
        items: how many items the newest batches of its models have together.
        dry_zones: where none were to be had a moment ago.

    Returns:
        A number for each zone that the service's sizes name; 0 for those that are dry.
    """
    sizes = service.sizes
    if sizes is None:
        return {}
    steady = Counter(
        info.zone
        for info in instances
        if not info.preemptible and info.state is not InstanceState.LEAVING
    )
    planned = dict.fromkeys(sizes.zone_prices, 0)
    missing = math.ceil(items / max(1, service.slots)) - sum(steady.values())
    while missing > 0:
        open_zones = [
            zone
            for zone in planned
            if zone not in dry_zones and steady[zone] + planned[zone] < sizes.maximum
        ]
        if not open_zones:
            break
        zone = min(open_zones, key=lambda name: (planned[name], sizes.zone_prices[name], name))
        planned[zone] += 1
        missing -= 1
    return planned
