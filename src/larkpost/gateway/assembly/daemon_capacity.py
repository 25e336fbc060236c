"""What this daemon can bear beside its clients, which it reports to the others.

Relies on the settings for the machine's size and on the loop's watch for whether it keeps up.
"""

from larkpost.common.clock import Clock
from larkpost.gateway.assembly.loop_monitor import EventLoopMonitor

BYTES_PER_CORE = 100_000_000
"""A machine whose budget of bytes is smaller than this for each core cannot use all of them."""
LATE_CAPACITY_FRACTION = 0.25
"""What is left of the capacity of a daemon whose loop was late."""
LATE_CAPACITY_SECONDS = 10.0
"""For so long it stays so: shorter, and duties would come and go with each late turn."""


def machine_capacity(cores: float | None, byte_budget: int | None) -> float | None:
    """Returns a machine's capacity in cores, as far as its memory lets them be used.

    Args:
        cores: what it may use of a processor, in ordinary cores; None if that is not known.
        byte_budget: the most bytes that it may hold for others; None if that is not known.
    """
    known = [cores] if cores is not None else []
    if byte_budget is not None:
        known.append(byte_budget / BYTES_PER_CORE)
    return round(min(known), 3) if known else None


class DaemonCapacity:
    """This daemon's capacity as it is now.

    Args:
        most: while it keeps up; None if that is not known.
    """

    def __init__(
        self, most: float | None, event_loop_monitor: EventLoopMonitor, clock: Clock
    ) -> None:
        self._most = most
        self._event_loop_monitor = event_loop_monitor
        self._clock = clock

    def now(self) -> float | None:
        """Returns the capacity; None if it is not known."""
        if self._most is None:
            return None
        is_late = self._clock.now() - self._event_loop_monitor.late_at < LATE_CAPACITY_SECONDS
        return round(self._most * LATE_CAPACITY_FRACTION, 3) if is_late else self._most
