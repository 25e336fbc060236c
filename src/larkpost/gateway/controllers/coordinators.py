"""Which daemons coordinate: they alone order engines, claim batches and report for the fleet.

A fixed number of daemons are coordinators. Each region has its share of them, as a batch may be
bound to one. Each daemon works out from the known heartbeats whether it is to be one, and says so
in its awaited heartbeat; the others go by that.
"""

import math
from collections.abc import Iterable, Mapping

from larkpost.common.hashing import hash64
from larkpost.common.ids import DaemonId, RegionId

COORDINATORS = 12
"""Coordinators of the whole fleet: enough that not all of them fail at once, few enough that their
heartbeats fit into one part of the store."""
JOIN_SECONDS = 0.5
"""Seconds after its start from which a daemon may coordinate: when all start at once, the first
listings show few."""


def is_to_coordinate(
    own: DaemonId, region_of: Mapping[DaemonId, RegionId | None], age: float
) -> bool:
    """Returns whether a daemon is one of those of its region that are to coordinate.

    Args:
        region_of: the region of each daemon considered alive, `own` among them.
        age: seconds since `own` started.
    """
    if age < JOIN_SECONDS:
        return False
    rank = _rank(own)
    neighbours = [name for name, region in region_of.items() if region == region_of[own]]
    share = math.ceil(COORDINATORS / len(set(region_of.values())))
    return sum(_rank(name) < rank for name in neighbours) < share


def first_choice(key: str, coordinators: Iterable[DaemonId]) -> DaemonId | None:
    """Returns the coordinator that rendezvous hashing names for a key; None if there is none."""
    return max(coordinators, key=lambda name: hash64(f"{name}\x00{key}"), default=None)


def _rank(daemon: DaemonId) -> int:
    return hash64(f"coordinator\x00{daemon}")
