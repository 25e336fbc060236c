"""A count of what happened within the last while."""

from collections import deque


class SlidingCount:
    """Counts events over a sliding window; times are steady.

    Args:
        seconds: how long an event counts.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Counts one more."""
        self._times.append(now)

    def remove_oldest(self) -> None:
        """Counts one less, the oldest."""
        if self._times:
            self._times.popleft()

    def count(self, now: float) -> int:
        """Returns how many there were; what lies back exactly the whole time is out."""
        while self._times and now - self._times[0] >= self._seconds:
            self._times.popleft()
        return len(self._times)
