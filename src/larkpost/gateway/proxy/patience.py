"""Estimates when a caller first tried, from the time that it still waits.

A caller that was refused comes back with what is left of its time. How long a route's callers wait
in all is learned from those that have the most time left; what one of them lacks has gone by. It
is an estimate: it decides who comes first and what is foreseen to be late, never a refusal.
"""

from larkpost.common.clock import Clock

WINDOW_SECONDS = 30.0
"""How long the longest time left is remembered, at least; twice as long at most."""


class FirstTries:
    """The time that the callers of each route wait in all."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began = float("-inf")
        self._now: dict[str, float] = {}
        self._before: dict[str, float] = {}

    def gone_by(self, route: str, time_left: float | None) -> float:
        """Returns the seconds since a caller's first try, and takes note of its time.

        Args:
            time_left: seconds that the caller said it still waits; None if it said nothing.
        """
        if time_left is None:
            return 0.0
        self._turn_over()
        self._now[route] = max(time_left, self._now.get(route, 0.0))
        usual = max(self._now[route], self._before.get(route, 0.0))
        return usual - time_left

    def _turn_over(self) -> None:
        age = self._clock.now() - self._began
        if age < WINDOW_SECONDS:
            return
        self._before = self._now if age < 2 * WINDOW_SECONDS else {}
        self._now = {}
        self._began = self._clock.now()
