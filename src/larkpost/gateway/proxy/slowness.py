"""The current slowness that a server reports, relative to its own usual reports.

Reports are compared only with earlier ones of the same server, so a constant offset in them affects
no choice. Times are in steady time. Uses no network and no clock.
"""

from collections import deque

from larkpost.gateway.proxy.service_time_history import MAX_SLICES, SLICE_SECONDS, low_quantile

SLOWNESS_LIFETIME_SECONDS = 0.15
"""How long a reported slowness is used; it changes many times a second."""
MAX_SLOWNESS = 3.0
"""Limit on the factor by which a server counts as slower or quicker than usual, without unit."""


class ReportedSlowness:
    """The slowness reports of one incarnation of a server.

    Attributes:
        reported_at: steady time of the last report.
    """

    def __init__(self) -> None:
        self.reported_at = float("-inf")
        self._reported = 0.0
        self._history_at = float("-inf")
        self._history: deque[float] = deque(maxlen=MAX_SLICES)
        self._usual = 0.0

    @property
    def has_reports(self) -> bool:
        """Whether the server ever reported its slowness."""
        return bool(self._history)

    def record(self, now: float, slowness: float) -> None:
        """Records a report of the server.

        Args:
            slowness: factor by which work takes longer there than usual; above 0.
        """
        self._reported = slowness
        self.reported_at = now
        if now - self._history_at >= SLICE_SECONDS:
            self._history_at = now
            self._history.append(slowness)
            self._usual = low_quantile(self._history)

    def factor(self, now: float) -> float:
        """Returns the factor by which work takes longer there than usual; 1 if not known."""
        if now - self.reported_at >= SLOWNESS_LIFETIME_SECONDS:
            return 1.0
        return bounded_slowness(self._reported, self._usual)


def bounded_slowness(reported: float, usual: float) -> float:
    """Returns the factor by which a server counts as slower than usual, within bounds.

    Args:
        reported: the slowness that it reports now.
        usual: the slowness that it usually reports.
    """
    return min(max(reported / usual, 1 / MAX_SLOWNESS), MAX_SLOWNESS)
