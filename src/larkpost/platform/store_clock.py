"""Estimates the store's monotonic clock from the timestamps in its responses."""

from typing import Any

from larkpost.common.steady_time import steady_seconds

CLOCK_DRIFT = 0.001
"""Maximum relative drift of the store's clock against steady time, in seconds per second."""


class StoreClock:
    """The estimated clock of the store.

    The store reads its clock between the call and its response, so the error is at most half the
    round-trip time. As both clocks are monotonic, the estimate from a fast call stays valid, apart
    from drift, until a response contradicts it.
    """

    def __init__(self) -> None:
        self._offset: float | None = None
        self._error = 0.0
        """Maximum error of the offset at the time of its measurement, in seconds."""
        self._measured_at = 0.0

    def now(self) -> float | None:
        """Returns the store's time in seconds; None before the first timestamp."""
        if self._offset is None:
            return None
        return steady_seconds() + self._offset

    def error(self) -> float:
        """Returns the maximum error of the store's time, in seconds; 0 before the first timestamp.

        The first estimate may come from a slow call; a faster one corrects it.
        """
        if self._offset is None:
            return 0.0
        return self._error_at(steady_seconds())

    def _error_at(self, now: float) -> float:
        return self._error + CLOCK_DRIFT * (now - self._measured_at)

    def record(self, document: Any, sent: float) -> None:
        """Records the timestamp of a response, unless the current estimate is more accurate.

        Args:
            document: the response's document, which may lack a timestamp.
            sent: steady time at which the call was sent.
        """
        now_ms = document.get("now_ms") if isinstance(document, dict) else None
        if not isinstance(now_ms, int | float):
            return
        received = steady_seconds()
        error = (received - sent) / 2
        offset = now_ms / 1000 - (sent + received) / 2
        if self._is_better(offset, error, received):
            self._offset, self._error, self._measured_at = offset, error, received

    def _is_better(self, offset: float, error: float, received: float) -> bool:
        """Returns whether an offset is more accurate than the current one, or contradicts it."""
        known_error = self._error_at(received)
        if self._offset is None or error <= known_error:
            return True
        return abs(offset - self._offset) > error + known_error
