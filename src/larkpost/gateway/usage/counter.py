"""Counts the requests of each tenant that this daemon started."""

from collections import Counter
from dataclasses import dataclass

from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.controllers.fleet_clock import FleetClock
from larkpost.gateway.usage.port import TenantCounts, WindowNumber

KEPT_WINDOWS = 24
"""Number of recent windows for which counts are kept."""


@dataclass(frozen=True, slots=True)
class _StartedRequest:
    """A started request, with its start in the steady time of this process."""

    tenant: TenantName
    at: float


class UsageCounter:
    """Counts the requests of one daemon by window.

    Args:
        window_length: window length in seconds.
    """

    def __init__(self, fleet_clock: FleetClock, window_length: float) -> None:
        self._fleet_clock = fleet_clock
        self._window_length = window_length
        self._started: list[_StartedRequest] = []
        self._counts: dict[WindowNumber, Counter[TenantName]] = {}
        self._unsaved: set[WindowNumber] = set()

    def record_started(self, tenant: TenantName, at: float) -> None:
        """Records that a tenant's request started at a steady time."""
        self._started.append(_StartedRequest(tenant, at))

    def unsaved(self) -> dict[WindowNumber, TenantCounts]:
        """Returns the counts of all windows that have changed since they were saved.

        Requests are not assigned to a window until the time of day is known.
        """
        self._assign_windows()
        return {window: dict(self._counts[window]) for window in sorted(self._unsaved)}

    def record_saved(self, saved: dict[WindowNumber, TenantCounts]) -> None:
        """Records that counts returned by `unsaved` are now in the store."""
        for window, counts in saved.items():
            if self._counts.get(window) == counts:
                self._unsaved.discard(window)

    def _assign_windows(self) -> None:
        """Counts each recorded request in its window, and drops old windows."""
        if not self._started or self._fleet_clock.now() is None:
            return
        for request in self._started:
            window = WindowNumber(int(self._fleet_clock.at(request.at) // self._window_length))
            self._counts.setdefault(window, Counter())[request.tenant] += 1
            self._unsaved.add(window)
        self._started.clear()
        for window in sorted(self._counts)[:-KEPT_WINDOWS]:
            del self._counts[window]
            self._unsaved.discard(window)
