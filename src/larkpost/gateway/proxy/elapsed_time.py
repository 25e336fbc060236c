"""Estimates how long a caller has been trying, from the time that it still waits.

A caller that was refused comes back with what is left of its time. How long a route's callers wait
in all is learned from those that have the most time left; what one of them lacks has elapsed. It is
an estimate: it decides who comes first and what is forecast to be late, never a refusal.
"""

from larkpost.common.clock import Clock

WINDOW_SECONDS = 30.0
"""How long the longest time left is remembered, at least; twice as long at most."""


class ElapsedTimes:
    """The time that the callers of each route wait in all; remembered in two windows."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window_began = float("-inf")
        self._longest: dict[str, float] = {}
        self._longest_before: dict[str, float] = {}

    def elapsed(self, route: str, time_left: float | None) -> float:
        """Returns the seconds since a caller's first attempt, and remembers its time left.

        Args:
            time_left: seconds that the caller said it still waits; None if it said nothing.
        """
        if time_left is None:
            return 0.0
        self._turn_over()
        self._longest[route] = max(time_left, self._longest.get(route, 0.0))
        usual = max(self._longest[route], self._longest_before.get(route, 0.0))
        return usual - time_left

    def _turn_over(self) -> None:
        """Begins a new window if the current one is full."""
        age = self._clock.now() - self._window_began
        if age < WINDOW_SECONDS:
            return
        self._longest_before = self._longest if age < 2 * WINDOW_SECONDS else {}
        self._longest = {}
        self._window_began = self._clock.now()
