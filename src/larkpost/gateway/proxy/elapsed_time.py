"""Estimates the time since a client's first attempt, from the time left that it sends.

A refused client retries with the rest of its time. The longest time left that was seen on a route
is taken as the total time of its clients; the elapsed time is the total minus the time left. The
estimate affects the order of requests and which are forecast late, but never refuses one.
"""

from larkpost.common.clock import Clock

WINDOW_SECONDS = 30.0
"""Length of a window; the longest time left is remembered for one to two windows."""


class ElapsedTimes:
    """The total time of the clients of each route, tracked in two windows."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window_started_at = float("-inf")
        self._longest: dict[str, float] = {}
        self._longest_previous: dict[str, float] = {}

    def elapsed(self, route: str, time_left: float | None) -> float:
        """Returns the estimated seconds since a client's first attempt, and records its time left.

        Args:
            route: name of the route.
            time_left: seconds for which the client still waits; None if it did not send them.
        """
        if time_left is None:
            return 0.0
        self._rotate_windows()
        self._longest[route] = max(time_left, self._longest.get(route, 0.0))
        total = max(self._longest[route], self._longest_previous.get(route, 0.0))
        return total - time_left

    def _rotate_windows(self) -> None:
        """Starts a new window if the current one is full."""
        age = self._clock.now() - self._window_started_at
        if age < WINDOW_SECONDS:
            return
        self._longest_previous = self._longest if age < 2 * WINDOW_SECONDS else {}
        self._longest = {}
        self._window_started_at = self._clock.now()
