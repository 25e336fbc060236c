"""Intervals at which heartbeats are written and listed, by the size of the fleet.

The store's cost must not grow with the square of the fleet, and a dead batch owner must be detected
within a second in a fleet of any size. So there are two kinds of heartbeat, each in its own part of
the store:

    slow  every daemon: which daemons there are, and where they relay store calls
    fast  coordinators and batch owners: liveness, use of instances, coordinator role

The stored names of the parts are "known" (slow) and "awaited" (fast). Coordinators and owners list
the fast heartbeats often, all other daemons rarely.
"""

from larkpost.gateway.controllers.heartbeat_list import MISSED_HEARTBEATS

FAST_HEARTBEAT_SECONDS = 0.25
"""Minimum interval of fast heartbeats and their listings; a training step has less than a second to
spare."""
MAX_FAST_ROWS_PER_SECOND = 200.0
"""Most rows per second that a coordinator or owner lists; with more rows it lists less often."""
SLOW_HEARTBEAT_SECONDS = 2.0
"""Minimum interval of slow heartbeats and their listings."""
MAX_SLOW_HEARTBEATS_PER_SECOND = 80.0
"""Most slow heartbeats per second of the whole fleet; one part takes 200 writes per second."""
MAX_SLOW_ROWS_PER_SECOND = 38.0
"""Most slow heartbeats per second that a daemon lists; at 180 B each, within the 7 KB/s budget."""
STARTUP_SECONDS = 3.0
"""How long a new daemon lists the slow heartbeats often; after an outage all daemons are new."""
STARTUP_ROWS_PER_SECOND = 400.0
"""Most slow heartbeats per second that a new daemon lists: two listings per second at 200
daemons."""
SHORTAGE_INTERVAL_FACTOR = 0.5
"""Factor on the intervals of slow heartbeats while a service lacks slots; the fleet's writes stay
below the limit of one part."""
DEAD_AFTER_SECONDS = MISSED_HEARTBEATS * FAST_HEARTBEAT_SECONDS
"""Time until a daemon with fast heartbeats is considered dead, with a store that responds
quickly."""


def shortage_factor(*, has_shortage: bool) -> float:
    """Returns the factor on the intervals of slow heartbeats, without unit.

    Args:
        has_shortage: whether a service lacks slots; the daemons then divide its slots according to
            the reports in these heartbeats.
    """
    return SHORTAGE_INTERVAL_FACTOR if has_shortage else 1.0


def fast_heartbeat_interval(daemons: int) -> float:
    """Returns the interval of a daemon's fast heartbeats and of its listings, in seconds.

    Args:
        daemons: number of daemons that write fast heartbeats.
    """
    return max(FAST_HEARTBEAT_SECONDS, daemons / MAX_FAST_ROWS_PER_SECOND)


def slow_heartbeat_interval(alive: int) -> float:
    """Returns the interval of a daemon's slow heartbeats in seconds.

    Args:
        alive: number of daemons considered alive.
    """
    return max(SLOW_HEARTBEAT_SECONDS, alive / MAX_SLOW_HEARTBEATS_PER_SECOND)


def slow_listing_interval(daemons: int, age: float) -> float:
    """Returns the interval between listings of the slow heartbeats in seconds.

    Args:
        daemons: number of daemons that write slow heartbeats.
        age: seconds since this daemon started.
    """
    if age < STARTUP_SECONDS:
        return max(FAST_HEARTBEAT_SECONDS, daemons / STARTUP_ROWS_PER_SECOND)
    return max(SLOW_HEARTBEAT_SECONDS, daemons / MAX_SLOW_ROWS_PER_SECOND)
