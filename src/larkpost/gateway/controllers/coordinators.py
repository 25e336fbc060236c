"""Decides which daemons coordinate: order engine loads, claim batches and act for the fleet.

The number of coordinators is fixed, and each region has its share of them, because a batch may be
restricted to a region. Each daemon determines from the slow heartbeats whether it should be a
coordinator, and reports that in its fast heartbeat, which the others rely on.

Weighted rendezvous hashing gives each daemon keys in proportion to its capacity, and a change of
one daemon's capacity moves only keys to or from that daemon. Weights are used only if all
candidates report a capacity: earlier versions ignore capacities, and daemons of both versions must
choose the same coordinator.
"""

import math
from collections.abc import Iterable, Mapping

from larkpost.common.hashing import hash64
from larkpost.common.ids import DaemonId, RegionId

COORDINATOR_COUNT = 12
"""Coordinators of the whole fleet: enough that not all of them fail at once, few enough that their
heartbeats fit into one part of the store."""
MIN_CAPACITY = 0.05
"""Lower bound on reported capacities, so that every daemon can be chosen."""
HASH_SPACE_SIZE = 2**64
"""Number of distinct hash values."""
MIN_COORDINATOR_AGE_SECONDS = 0.5
"""Time after its start before a daemon may coordinate; when all daemons start at once, the first
listings are incomplete."""


Capacities = Mapping[DaemonId, float | None]
"""Each daemon's capacity left over by client requests, without unit; None if it reports none."""


def should_coordinate(
    own: DaemonId,
    region_of: Mapping[DaemonId, RegionId | None],
    age: float,
    capacity_of: Capacities | None = None,
) -> bool:
    """Returns whether a daemon is one of its region's coordinators.

    Args:
        region_of: the region of each daemon considered alive, `own` included.
        age: seconds since `own` started.
    """
    if age < MIN_COORDINATOR_AGE_SECONDS:
        return False
    regional_daemons = [name for name, region in region_of.items() if region == region_of[own]]
    region_quota = math.ceil(COORDINATOR_COUNT / len(set(region_of.values())))
    weight_of = _weights(regional_daemons, capacity_of)
    rank = _rank(own, weight_of)
    return sum(_rank(name, weight_of) < rank for name in regional_daemons) < region_quota


def choose_coordinator(
    key: str, coordinators: Iterable[DaemonId], capacity_of: Capacities | None = None
) -> DaemonId | None:
    """Returns the coordinator that rendezvous hashing selects for a key; None if there is none."""
    names = list(coordinators)
    weight_of = _weights(names, capacity_of)
    return min(names, key=lambda name: _distance(name, key, weight_of), default=None)


def _weights(
    names: Iterable[DaemonId], capacity_of: Capacities | None
) -> dict[DaemonId, float] | None:
    """Returns the weights of daemons; None if any of them reports no capacity."""
    weights: dict[DaemonId, float] = {}
    for name in names:
        capacity = capacity_of.get(name) if capacity_of is not None else None
        if capacity is None:
            return None
        weights[name] = max(MIN_CAPACITY, capacity)
    return weights


def _distance(name: DaemonId, key: str, weight_of: Mapping[DaemonId, float] | None) -> float:
    """Returns a daemon's distance from a key; the nearest daemon is selected."""
    value = hash64(f"{name}\x00{key}")
    return (
        -value if weight_of is None else -math.log((value + 1) / HASH_SPACE_SIZE) / weight_of[name]
    )


def _rank(daemon: DaemonId, weight_of: Mapping[DaemonId, float] | None) -> float:
    """Returns a daemon's rank among the candidates; the lowest ranks coordinate."""
    value = hash64(f"coordinator\x00{daemon}")
    return (
        value
        if weight_of is None
        else -math.log((HASH_SPACE_SIZE - value) / HASH_SPACE_SIZE) / weight_of[daemon]
    )
