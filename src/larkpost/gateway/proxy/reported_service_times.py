"""The lasting paces that other daemons report with their heartbeats, and for how long they hold.

A pace outlasts the silence of its reporter, and ends with its instance.
"""

import statistics
from typing import NamedTuple

from larkpost.common.clock import Clock
from larkpost.common.ids import DaemonId, InstanceId
from larkpost.gateway.blackboard.directory import InstanceDirectory

REPORT_LIFETIME_SECONDS = 180.0
"""How long a reported pace is used."""
FRESH_REPORT_SECONDS = 4.0
"""How long a reported pace counts before what one has measured oneself earlier."""
MAX_REPORTERS = 5
"""Daemons whose pace of one instance is kept, those that reported last: enough for a median that
one of them can't move."""


class _Reported(NamedTuple):
    """A pace that a daemon reported.

    Attributes:
        at: steady time of the report.
        seconds: the pace.
    """

    at: float
    seconds: float


class ReportedServiceTimes:
    """The newest reports on each instance."""

    def __init__(self, directory: InstanceDirectory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._reported: dict[InstanceId, dict[DaemonId, _Reported]] = {}
        directory.add_removal_listener(self._end)

    def __len__(self) -> int:
        return len(self._reported)

    def record(self, daemon: DaemonId, service_times: dict[InstanceId, float]) -> None:
        """Records what a daemon reports; of instances that are not listed here, nothing."""
        for instance, seconds in service_times.items():
            if seconds > 0 and self._directory.get(instance) is not None:
                self._keep(instance, daemon, seconds)

    def fresh(self, instance: InstanceId) -> float:
        """Returns the median of what was reported in the last seconds; 0 if nothing was."""
        return self._median(instance, FRESH_REPORT_SECONDS)

    def service_time(self, instance: InstanceId) -> float:
        """Returns the median of what was reported of an instance, in seconds; 0 if nothing was."""
        return self._median(instance, REPORT_LIFETIME_SECONDS)

    def _median(self, instance: InstanceId, lifetime: float) -> float:
        now = self._clock.now()
        seconds = [
            reported.seconds
            for reported in self._reported.get(instance, {}).values()
            if now - reported.at < lifetime
        ]
        return statistics.median_low(seconds) if seconds else 0.0

    def forget_old(self, now: float) -> None:
        """Drops what is used no longer."""
        for instance, reports in list(self._reported.items()):
            if now - max(reports.values()).at >= REPORT_LIFETIME_SECONDS:
                del self._reported[instance]

    def _keep(self, instance: InstanceId, daemon: DaemonId, seconds: float) -> None:
        reports = self._reported.setdefault(instance, {})
        reports[daemon] = _Reported(self._clock.now(), seconds)
        if len(reports) > MAX_REPORTERS:
            del reports[min(reports, key=lambda name: reports[name])]

    def _end(self, instance: InstanceId) -> None:
        self._reported.pop(instance, None)
