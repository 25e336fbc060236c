"""The load of a stand-in engine as its reports show it: late."""

from collections import deque
from dataclasses import dataclass

MAX_KEPT_POINTS = 512
"""Changes of load that are kept. Some seconds of a busy engine."""


@dataclass(frozen=True, slots=True)
class LoadPoint:
    """The load from a time on, in seconds of the engine's loop."""

    at: float
    running: int
    waiting: int


class LoadHistory:
    """The last changes of an engine's load."""

    def __init__(self) -> None:
        self._points: deque[LoadPoint] = deque([LoadPoint(0.0, 0, 0)], maxlen=MAX_KEPT_POINTS)

    def record(self, point: LoadPoint) -> None:
        """Adds the newest point."""
        self._points.append(point)

    def at(self, time: float) -> LoadPoint:
        """Returns the load at a time, or the oldest that is known."""
        for point in reversed(self._points):
            if point.at <= time:
                return point
        return self._points[0]
