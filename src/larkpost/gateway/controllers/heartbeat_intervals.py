"""How often heartbeats are written and listed, by the size of the fleet.

The store's cost must not grow with the square of the fleet, and a dead owner of a batch must be
found within a second in any fleet. So there are two kinds of heartbeat, each in a part of its own:

    known    every daemon, seldom: who there is, and where it makes calls for others
    awaited  coordinators and owners of batches, often: they are alive, what they use, who acts

Coordinators and owners list the awaited ones often, all others seldom.
"""

from larkpost.gateway.controllers.heartbeat_list import MISSED_HEARTBEATS

FAST_HEARTBEAT_SECONDS = 0.25
"""Interval of awaited heartbeats and their listings: a step has less than a second to spare."""
MAX_FAST_ROWS_PER_SECOND = 200.0
"""Most rows that a coordinator or owner lists a second; with more of them it lists slower."""
SLOW_HEARTBEAT_SECONDS = 2.0
"""Interval of known heartbeats, in a fleet small enough for it."""
MAX_SLOW_HEARTBEATS_PER_SECOND = 80.0
"""Most known heartbeats that a fleet writes together: one part takes 200 writes a second."""
MAX_SLOW_ROWS_PER_SECOND = 38.0
"""Most known heartbeats that a daemon lists a second: of 180 B each, under the 7 KB/s budget."""
STARTUP_SECONDS = 3.0
"""Seconds for which a new daemon lists the known ones often: after an outage all are new."""
STARTUP_ROWS_PER_SECOND = 400.0
"""Most known heartbeats that it lists a second then: two listings a second at 200 daemons."""
SHORTAGE_INTERVAL_FACTOR = 0.5
"""Part of their intervals at which known heartbeats are written and listed while a service lacks
places: the fleet's writes together stay below what one part takes."""
DEAD_AFTER_SECONDS = MISSED_HEARTBEATS * FAST_HEARTBEAT_SECONDS
"""Seconds until an awaited daemon is considered dead over a quick store."""


def shortage_factor(*, has_shortage: bool) -> float:
    """Returns by how much the intervals of known heartbeats change, without unit.

    Args:
        has_shortage: whether a service lacks places: the daemons divide them by what they report.
    """
    return SHORTAGE_INTERVAL_FACTOR if has_shortage else 1.0


def fast_heartbeat_interval(daemons: int) -> float:
    """Returns the seconds between two heartbeats of an awaited daemon, and between its listings.

    Args:
        awaited: daemons that have awaited heartbeats.
    """
    return max(FAST_HEARTBEAT_SECONDS, daemons / MAX_FAST_ROWS_PER_SECOND)


def slow_heartbeat_interval(alive: int) -> float:
    """Returns the seconds between two known heartbeats of a daemon.

    Args:
        alive: daemons that are considered alive.
    """
    return max(SLOW_HEARTBEAT_SECONDS, alive / MAX_SLOW_HEARTBEATS_PER_SECOND)


def slow_listing_interval(known: int, age: float) -> float:
    """Returns the seconds between two listings of the known heartbeats.

    Args:
        known: daemons that have known heartbeats.
        age: seconds since this daemon started.
    """
    if age < STARTUP_SECONDS:
        return max(FAST_HEARTBEAT_SECONDS, known / STARTUP_ROWS_PER_SECOND)
    return max(SLOW_HEARTBEAT_SECONDS, known / MAX_SLOW_ROWS_PER_SECOND)
