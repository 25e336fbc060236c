"""Estimates the store's steady clock from the times that its responses name."""

from typing import Any

from larkpost.common.steady_time import steady_seconds

CLOCK_DRIFT = 0.001
"""Seconds by which two steady clocks may drift apart in a second; far more than clocks do."""


class StoreClock:
    """The store's clock, as it is estimated here.

    The store read its clock some time between the call and its response. Both clocks are steady, so
    what a quick call has shown holds on, but for their drift; only a response that contradicts it
    shows that it no longer does.
    """

    def __init__(self) -> None:
        self._offset: float | None = None
        self._error = 0.0
        """By how much the offset may have been wrong when it was found, in seconds."""
        self._measured_at = 0.0

    def now(self) -> float | None:
        """Returns the store's time in seconds; None if no response has named it."""
        if self._offset is None:
            return None
        return steady_seconds() + self._offset

    def record(self, document: Any, sent: float) -> None:
        """Records the time in a response, unless a quicker one showed it better.

        Args:
            document: the response's; it need not name the time.
            sent: steady time at which the call was made.
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
        """Returns whether an offset is surer than the known one, or contradicts it."""
        known_error = self._error + CLOCK_DRIFT * (received - self._measured_at)
        if self._offset is None or error <= known_error:
            return True
        return abs(offset - self._offset) > error + known_error
