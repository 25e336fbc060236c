"""Time of day agreed on by the fleet, because clocks of single machines differ or jump.

Every daemon reports in its heartbeat by how much its clock is ahead of the store's steady clock.
The median of these offsets is used: a minority of wrong clocks does not affect it, and daemons that
list the same heartbeats agree.
"""

from collections.abc import Callable, Iterable

from larkpost.common.clock import Clock


class ClockOffset:
    """How far this machine's clock is ahead of the store's.

    Args:
        store_time: returns the store's steady clock in seconds, or None if it is unknown.
    """

    def __init__(self, clock: Clock, store_time: Callable[[], float | None]) -> None:
        self._clock = clock
        self._store_time = store_time

    def now(self) -> float | None:
        """Returns the offset in seconds, or None if the store's clock is unknown."""
        store_time = self._store_time()
        return self._clock.wall_ms() / 1000 - store_time if store_time is not None else None


class FleetClock:
    """The time of day, in seconds since the Unix epoch.

    Args:
        store_time: returns the store's steady clock in seconds, or None if it is unknown.
        offsets: returns by how many seconds each daemon's clock is ahead of the store's.
    """

    def __init__(
        self,
        clock: Clock,
        store_time: Callable[[], float | None],
        offsets: Callable[[], Iterable[float]],
    ) -> None:
        self._clock = clock
        self._store_time = store_time
        self._offsets = offsets

    def now(self) -> float | None:
        """Returns the time of day; None until the store's clock and a heartbeat are known."""
        store_time = self._store_time()
        offsets = sorted(self._offsets())
        if store_time is None or not offsets:
            return None
        return store_time + offsets[len(offsets) // 2]

    def at(self, steady: float) -> float | None:
        """Returns the time of day at a steady time of this process, or None if it is unknown."""
        now = self.now()
        return now - (self._clock.now() - steady) if now is not None else None
