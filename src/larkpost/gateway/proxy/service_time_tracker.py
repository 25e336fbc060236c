"""Long-term and current service times of instances.

Combines the measurements of this daemon's own requests (`service_time_history`), the slowness that
servers report (`slowness`), and the reports of other daemons (`reported_service_times`,
`peer_use`). Short requests use the current service time, which is the smoothed one if the server
reports no slowness. Items of batches use the long-term service time.
"""

from larkpost.common.clock import Clock
from larkpost.common.ids import DaemonId, InstanceId
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.proxy.instance_use import LocalUse, SpeedStats
from larkpost.gateway.proxy.peer_use import PeerUsage
from larkpost.gateway.proxy.reported_service_times import ReportedServiceTimes
from larkpost.gateway.proxy.service_time_history import ServiceTimeHistory

MAX_REPORTED_SERVICE_TIMES = 8
"""Maximum number of service times in one heartbeat; instances take turns. It bounds the size of
heartbeats, which many daemons read."""
RECOVERY_SECONDS = 12.0
"""How long after its last measurement the baseline of a degraded server is reported, so that other
daemons stop treating it as degraded. All other service times are reported only while measurements
are recent; other daemons keep them for longer."""
REPORTED_DIGITS = 4
"""Decimal places of a reported service time in seconds."""


class ServiceTimeTracker:
    """The service times of all instances, as far as this daemon knows them."""

    def __init__(
        self, directory: InstanceDirectory, clock: Clock, own: LocalUse, peers: PeerUsage
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._own = own
        self._peers = peers
        self._peer_reports = ReportedServiceTimes(directory, clock)
        self._reported: list[InstanceId] = []
        """The instances that were reported, least recently first."""

    # Estimates.

    def current(self, instance: InstanceId) -> float:
        """Returns the seconds that a short request takes now; 0 if not known."""
        speed_stats = self._own.speed_stats(instance)
        if speed_stats is None or not speed_stats.slowness.has_reports:
            return self._smoothed(instance)
        now = self._clock.now()
        long_term = self._long_term(instance, speed_stats.responses)
        return long_term * speed_stats.slowness.factor(now) or self._smoothed(instance)

    def has_latency(self, instance: InstanceId) -> bool:
        """Returns whether the current service time comes from this daemon's own responses.

        Such a service time includes the network latency.
        """
        speed_stats = self._own.speed_stats(instance)
        if speed_stats is None or not speed_stats.slowness.has_reports:
            return self._own.has_recent_response(instance)
        if not self._long_term(instance, speed_stats.responses):
            return self._own.has_recent_response(instance)
        return self._prefers_own(instance, speed_stats.responses)

    def long_term(self, instance: InstanceId) -> float:
        """Returns the seconds per event of an item, without short bursts; 0 if not known."""
        speed_stats = self._own.speed_stats(instance)
        history = speed_stats.events if speed_stats is not None else None
        return self._long_term(instance, history) or self._smoothed(instance)

    def recent(self, engine: InstanceId) -> float:
        """Returns the seconds per event in the last slice measured here; 0 if not measured."""
        speed_stats = self._own.speed_stats(engine)
        return speed_stats.events.recent(self._clock.now()) if speed_stats is not None else 0.0

    # Measurements.

    def record_response(self, instance: InstanceId, seconds: float) -> None:
        """Records the seconds until the whole response to a short request."""
        speed_stats = self._own.ensure_speed_stats(instance)
        self._record(speed_stats, speed_stats.responses, seconds)

    def record_event(self, engine: InstanceId, seconds: float) -> None:
        """Records the seconds that an event of an item took."""
        speed_stats = self._own.ensure_speed_stats(engine)
        self._record(speed_stats, speed_stats.events, seconds)

    # Reports between daemons.

    def report(self) -> dict[InstanceId, float]:
        """Returns up to `MAX_REPORTED_SERVICE_TIMES` times, the least recently reported first."""
        measured = dict.fromkeys(self._own.measured())
        reported_before = dict.fromkeys(name for name in self._reported if name in measured)
        order = [name for name in measured if name not in reported_before] + list(reported_before)
        report: dict[InstanceId, float] = {}
        for name in order:
            if len(report) == MAX_REPORTED_SERVICE_TIMES:
                break
            service_time = self._reportable_service_time(name)
            if service_time is not None:
                report[name] = service_time
        self._reported = [name for name in reported_before if name not in report] + list(report)
        return report

    def record_report(self, daemon: DaemonId, service_times: dict[InstanceId, float]) -> None:
        """Records the service times that another daemon reports."""
        self._peer_reports.record(daemon, service_times)

    def forget_old(self, now: float) -> None:
        """Drops expired reports."""
        self._peer_reports.forget_old(now)

    def _long_term(self, instance: InstanceId, history: ServiceTimeHistory | None) -> float:
        """Returns the long-term service time, from recent measurements here or elsewhere first."""
        if history is not None and self._prefers_own(instance, history):
            return history.service_time(self._clock.now())
        return self._peer_reports.fresh(instance) or self._peer_reports.service_time(instance)

    def _prefers_own(self, instance: InstanceId, history: ServiceTimeHistory) -> bool:
        """Returns whether this daemon's measurements take precedence over reports."""
        now = self._clock.now()
        if history.is_recently_measured(now):
            return True
        return bool(history.service_time(now)) and not self._peer_reports.fresh(instance)

    def _smoothed(self, instance: InstanceId) -> float:
        """Returns the smoothed service time of this daemon, or else of other daemons."""
        if self._own.has_recent_service_time(instance):
            return self._own.record_for(instance).service_time
        return self._peers.service_time(instance)

    def _reportable_service_time(self, instance: InstanceId) -> float | None:
        """Returns an instance's service time to report; None to report none.

        Where items and short requests go to the same server, that of the items is reported.
        """
        speed_stats = self._own.speed_stats(instance)
        if speed_stats is None or not self._directory.accepts_work(instance):
            return None
        now = self._clock.now()
        for history in (speed_stats.events, speed_stats.responses):
            if is_reported(history, now):
                return round(history.service_time(now), REPORTED_DIGITS)
        return None

    def _record(self, speed_stats: SpeedStats, history: ServiceTimeHistory, seconds: float) -> None:
        now = self._clock.now()
        history.record(now, seconds, speed_stats.slowness.factor(now))


def is_reported(history: ServiceTimeHistory, now: float) -> bool:
    """Returns whether a service time is reported: while measured, and shortly after degradation."""
    is_recovery = history.was_degraded and now - history.measured_at < RECOVERY_SECONDS
    return history.is_recently_measured(now) or is_recovery
