"""True time of day, agreed by the fleet: single machines' clocks differ, and some jump.

Every daemon reports with its heartbeat by how much its own clock is ahead of the store's steady
clock. The median of what all report is taken for true: a minority of clocks that are wrong does not
move it, and daemons that list the same heartbeats agree.
"""

from collections.abc import Callable, Iterable

from larkpost.common.clock import Clock


class ClockOffset:
    """By how much this machine's clock is ahead of the store's.

    Args:
        store_time: returns the store's steady clock in seconds, or None if it is not known.
    """

    def __init__(self, clock: Clock, store_time: Callable[[], float | None]) -> None:
        self._clock = clock
        self._store_time = store_time

    def now(self) -> float | None:
        """Returns it in seconds, or None if the store's clock is not known."""
        store_time = self._store_time()
        return self._clock.wall_ms() / 1000 - store_time if store_time is not None else None


class FleetClock:
    """The time of day, in seconds since the Unix epoch.

    Args:
        store_time: returns the store's steady clock in seconds, or None if it is not known.
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
        """Returns the time of day; None until the store and a heartbeat were heard."""
        store_time = self._store_time()
        offsets = sorted(self._offsets())
        if store_time is None or not offsets:
            return None
        return store_time + offsets[len(offsets) // 2]

    def at(self, steady: float) -> float | None:
        """Returns the time of day at a steady time of this process, or None if it is not known."""
        now = self.now()
        return now - (self._clock.now() - steady) if now is not None else None
