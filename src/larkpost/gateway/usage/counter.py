"""Counts the requests that began to run for each tenant, as far as this daemon sent them."""

from collections import Counter
from dataclasses import dataclass

from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.controllers.fleet_clock import FleetClock
from larkpost.gateway.usage.port import TenantCounts, WindowNumber

KEPT_WINDOWS = 24
"""Windows that a daemon counts at once; older counts are of no use to anybody."""


@dataclass(frozen=True, slots=True)
class _StartedRequest:
    """A request that began to run, at a steady time of this process."""

    tenant: TenantName
    at: float


class UsageCounter:
    """The counts of one daemon, by window.

    Args:
        window_length: seconds.
    """

    def __init__(self, true_time: FleetClock, window_length: float) -> None:
        self._true_time = true_time
        self._window_length = window_length
        self._started: list[_StartedRequest] = []
        self._counts: dict[WindowNumber, Counter[TenantName]] = {}
        self._unsaved: set[WindowNumber] = set()

    def record_started(self, tenant: TenantName, at: float) -> None:
        """Records that a request of a tenant began to run at a steady time."""
        self._started.append(_StartedRequest(tenant, at))

    def unsaved(self) -> dict[WindowNumber, TenantCounts]:
        """Returns the counts of all windows that have changed since they were saved.

        Requests wait for their window until the time of day is known.
        """
        self._assign_windows()
        return {window: dict(self._counts[window]) for window in sorted(self._unsaved)}

    def record_saved(self, saved: dict[WindowNumber, TenantCounts]) -> None:
        """Records that counts, as `unsaved` returned them, are kept in the store."""
        for window, counts in saved.items():
            if self._counts.get(window) == counts:
                self._unsaved.discard(window)

    def _assign_windows(self) -> None:
        """Counts each request in its window."""
        if not self._started or self._true_time.now() is None:
            return
        for begun in self._started:
            window = WindowNumber(int(self._true_time.at(begun.at) // self._window_length))
            self._counts.setdefault(window, Counter())[begun.tenant] += 1
            self._unsaved.add(window)
        self._started.clear()
        for window in sorted(self._counts)[:-KEPT_WINDOWS]:
            del self._counts[window]
            self._unsaved.discard(window)
