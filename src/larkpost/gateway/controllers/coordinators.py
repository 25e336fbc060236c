"""Which daemons coordinate: they alone order engines, claim batches and report for the fleet.

A fixed number of daemons are coordinators. Each region has its share of them, as a batch may be
bound to one. Each daemon works out from the known heartbeats whether it is to be one, and says so
in its awaited heartbeat; the others go by that.

Machines differ, so duties go by capacity: weighted rendezvous hashing gives each daemon keys in
proportion to it, and a change of one daemon's capacity moves keys to or from that one only. It
counts only where all that could be chosen report theirs: a daemon of an earlier build goes by no
capacities, and if the others did, it and they would name different daemons.
"""

import math
from collections.abc import Iterable, Mapping

from larkpost.common.hashing import hash64
from larkpost.common.ids import DaemonId, RegionId

COORDINATOR_COUNT = 12
"""Coordinators of the whole fleet: enough that not all of them fail at once, few enough that their
heartbeats fit into one part of the store."""
MIN_CAPACITY = 0.05
"""A daemon that reports less counts as this: each can be chosen."""
HASH_SPACE_SIZE = 2**64
"""How many values a hash may have."""
MIN_COORDINATOR_AGE_SECONDS = 0.5
"""Seconds after its start from which a daemon may coordinate: when all start at once, the first
listings show few."""


Capacities = Mapping[DaemonId, float | None]
"""What each daemon can bear beside clients, without unit; None if it does not say it."""


def should_coordinate(
    own: DaemonId,
    region_of: Mapping[DaemonId, RegionId | None],
    age: float,
    capacity_of: Capacities | None = None,
) -> bool:
    """Returns whether a daemon is one of those of its region that are to coordinate.

    Args:
        region_of: the region of each daemon considered alive, `own` among them.
        age: seconds since `own` started.
    """
    if age < MIN_COORDINATOR_AGE_SECONDS:
        return False
    neighbours = [name for name, region in region_of.items() if region == region_of[own]]
    share = math.ceil(COORDINATOR_COUNT / len(set(region_of.values())))
    weight_of = _weights(neighbours, capacity_of)
    rank = _rank(own, weight_of)
    return sum(_rank(name, weight_of) < rank for name in neighbours) < share


def choose_coordinator(
    key: str, coordinators: Iterable[DaemonId], capacity_of: Capacities | None = None
) -> DaemonId | None:
    """Returns the coordinator that rendezvous hashing names for a key; None if there is none."""
    names = list(coordinators)
    weight_of = _weights(names, capacity_of)
    return min(names, key=lambda name: _distance(name, key, weight_of), default=None)


def _weights(
    names: Iterable[DaemonId], capacity_of: Capacities | None
) -> dict[DaemonId, float] | None:
    """Returns the weights of daemons; None if any of them does not report its capacity."""
    weights: dict[DaemonId, float] = {}
    for name in names:
        capacity = capacity_of.get(name) if capacity_of is not None else None
        if capacity is None:
            return None
        weights[name] = max(MIN_CAPACITY, capacity)
    return weights


def _distance(name: DaemonId, key: str, weight_of: Mapping[DaemonId, float] | None) -> float:
    """Returns how far a daemon is from being chosen for a key; the nearest one is."""
    value = hash64(f"{name}\x00{key}")
    return (
        -value if weight_of is None else -math.log((value + 1) / HASH_SPACE_SIZE) / weight_of[name]
    )


def _rank(daemon: DaemonId, weight_of: Mapping[DaemonId, float] | None) -> float:
    """Returns the rank of a daemon among those that could coordinate; the lowest do."""
    value = hash64(f"coordinator\x00{daemon}")
    return (
        value
        if weight_of is None
        else -math.log((HASH_SPACE_SIZE - value) / HASH_SPACE_SIZE) / weight_of[daemon]
    )
