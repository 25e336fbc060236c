"""Event count over a sliding time window."""

from collections import deque


class SlidingCount:
    """Counts events over a sliding window; times are from a steady clock.

    Args:
        seconds: length of the window.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Counts an event."""
        self._times.append(now)

    def remove_oldest(self) -> None:
        """Removes the oldest event."""
        if self._times:
            self._times.popleft()

    def count(self, now: float) -> int:
        """Returns the number of events in the window; an event exactly at its start is outside."""
        while self._times and now - self._times[0] >= self._seconds:
            self._times.popleft()
        return len(self._times)
