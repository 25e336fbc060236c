"""The long-term service times that other daemons report with their heartbeats.

A report stays valid after its daemon stops reporting, and is dropped with its instance.
"""

import statistics
from typing import NamedTuple

from larkpost.common.clock import Clock
from larkpost.common.ids import DaemonId, InstanceId
from larkpost.gateway.blackboard.directory import InstanceDirectory

REPORT_LIFETIME_SECONDS = 180.0
"""How long a reported service time is used."""
FRESH_REPORT_SECONDS = 4.0
"""How long a reported service time takes precedence over this daemon's older measurements."""
MAX_REPORTERS = 5
"""Maximum number of reports kept per instance, the newest ones; enough for a median that a single
outlier cannot shift."""


class _Reported(NamedTuple):
    """A service time that a daemon reported.

    Attributes:
        at: steady time of the report.
        seconds: the service time.
    """

    at: float
    seconds: float


class ReportedServiceTimes:
    """The newest reports about each instance."""

    def __init__(self, directory: InstanceDirectory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._reported: dict[InstanceId, dict[DaemonId, _Reported]] = {}
        directory.add_removal_listener(self._forget_instance)

    def __len__(self) -> int:
        return len(self._reported)

    def record(self, daemon: DaemonId, service_times: dict[InstanceId, float]) -> None:
        """Records a daemon's report; ignores instances that are not in the directory."""
        for instance, seconds in service_times.items():
            if seconds > 0 and self._directory.get(instance) is not None:
                self._store(instance, daemon, seconds)

    def fresh(self, instance: InstanceId) -> float:
        """Returns the median of the fresh reports in seconds; 0 if there are none."""
        return self._median(instance, FRESH_REPORT_SECONDS)

    def service_time(self, instance: InstanceId) -> float:
        """Returns the median of the valid reports in seconds; 0 if there are none."""
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
        """Drops expired reports."""
        for instance, reports in list(self._reported.items()):
            if now - max(reports.values()).at >= REPORT_LIFETIME_SECONDS:
                del self._reported[instance]

    def _store(self, instance: InstanceId, daemon: DaemonId, seconds: float) -> None:
        reports = self._reported.setdefault(instance, {})
        reports[daemon] = _Reported(self._clock.now(), seconds)
        if len(reports) > MAX_REPORTERS:
            del reports[min(reports, key=lambda name: reports[name])]

    def _forget_instance(self, instance: InstanceId) -> None:
        self._reported.pop(instance, None)
