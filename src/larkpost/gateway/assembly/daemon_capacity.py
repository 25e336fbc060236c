"""This daemon's capacity for work besides client requests, which it reports to other daemons.

Derived from the machine size in the settings and the lag of the event loop.
"""

from larkpost.common.clock import Clock
from larkpost.gateway.assembly.loop_monitor import EventLoopMonitor

BYTES_PER_CORE = 100_000_000
"""Memory budget needed per core; a machine with less cannot use all of its cores."""
LATE_CAPACITY_FRACTION = 0.25
"""Fraction of the capacity that a daemon reports while its event loop is late."""
LATE_CAPACITY_SECONDS = 10.0
"""Time for which the reduction lasts, so that duties do not move with each lag."""


def machine_capacity(cores: float | None, byte_budget: int | None) -> float | None:
    """Returns a machine's capacity in cores, limited by its memory; None if nothing is known.

    Args:
        cores: CPU limit in cores; None if unknown.
        byte_budget: memory budget in bytes; None if unknown.
    """
    known = [cores] if cores is not None else []
    if byte_budget is not None:
        known.append(byte_budget / BYTES_PER_CORE)
    return round(min(known), 3) if known else None


class DaemonCapacity:
    """This daemon's current capacity.

    Args:
        max_capacity: capacity while the event loop keeps up; None if unknown.
    """

    def __init__(
        self, max_capacity: float | None, event_loop_monitor: EventLoopMonitor, clock: Clock
    ) -> None:
        self._max_capacity = max_capacity
        self._event_loop_monitor = event_loop_monitor
        self._clock = clock

    def now(self) -> float | None:
        """Returns the current capacity; None if unknown."""
        if self._max_capacity is None:
            return None
        is_late = self._clock.now() - self._event_loop_monitor.late_at < LATE_CAPACITY_SECONDS
        return (
            round(self._max_capacity * LATE_CAPACITY_FRACTION, 3) if is_late else self._max_capacity
        )
