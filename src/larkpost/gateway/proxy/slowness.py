"""How slow a server says that it is at this moment, and how far that is believed.

What a server says is compared with what it says at other times: whatever figure a server calls
usual, and whatever it says always, moves no choice. Times are steady. The module needs no network
and no clock of its own.
"""

from collections import deque

from larkpost.gateway.proxy.service_time_history import MAX_SLICES, SLICE_SECONDS, low_quantile

SLOWNESS_LIFETIME_SECONDS = 0.15
"""How long what a server said of its slowness is used; it changes many times a second."""
MAX_SLOWNESS = 3.0
"""By how much slower, or quicker, than usual a server is taken to be at most, without unit."""


class ReportedSlowness:
    """What one incarnation of a server has said of its slowness.

    Attributes:
        said_at: when it last said it.
    """

    def __init__(self) -> None:
        self.reported_at = float("-inf")
        self._said = 0.0
        self._kept_at = float("-inf")
        self._kept: deque[float] = deque(maxlen=MAX_SLICES)
        self._usual = 0.0

    @property
    def has_reports(self) -> bool:
        """Whether the server ever said how slow it is."""
        return bool(self._kept)

    def record(self, now: float, slowness: float) -> None:
        """Records what the server said.

        Args:
            slowness: how many times as long as usual work takes there; above 0.
        """
        self._said = slowness
        self.reported_at = now
        if now - self._kept_at >= SLICE_SECONDS:
            self._kept_at = now
            self._kept.append(slowness)
            self._usual = low_quantile(self._kept)

    def factor(self, now: float) -> float:
        """Returns how many times as long as usual work takes there now; 1 if that is not known."""
        if now - self.reported_at >= SLOWNESS_LIFETIME_SECONDS:
            return 1.0
        return believed_slowness(self._said, self._usual)


def believed_slowness(said: float, usual: float) -> float:
    """Returns how far a server is taken to be slower than usual, without unit.

    Args:
        said: what it says now.
        usual: what it says at most times.
    """
    return min(max(said / usual, 1 / MAX_SLOWNESS), MAX_SLOWNESS)
