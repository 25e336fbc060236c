"""Load history of a stand-in engine, whose reports show the load with a lag."""

from collections import deque
from dataclasses import dataclass

MAX_KEPT_POINTS = 512
"""Maximum number of load changes kept; covers some seconds of a busy engine."""


@dataclass(frozen=True, slots=True)
class LoadPoint:
    """The load since a time, in seconds of the engine's event loop."""

    at: float
    running: int
    waiting: int


class LoadHistory:
    """The most recent changes of an engine's load."""

    def __init__(self) -> None:
        self._points: deque[LoadPoint] = deque([LoadPoint(0.0, 0, 0)], maxlen=MAX_KEPT_POINTS)

    def record(self, point: LoadPoint) -> None:
        """Adds the newest point."""
        self._points.append(point)

    def at(self, time: float) -> LoadPoint:
        """Returns the load at a time, or the oldest one kept."""
        for point in reversed(self._points):
            if point.at <= time:
                return point
        return self._points[0]
