"""How long work takes at an instance: lastingly, and at this moment.

Joins what this daemon's own requests showed of an instance (`lasting_pace`), what the server
said of its slowness (`slowness`), and what the other daemons report (`shared_paces`, `peer_use`).
A short request goes by the pace of this moment, the items of batches by the lasting one. Servers
that say nothing of their slowness have one pace for short requests, the smoothed one.
"""

from larkpost.common.clock import Clock
from larkpost.common.ids import DaemonId, InstanceId
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.proxy.instance_use import LocalUse, SpeedStats
from larkpost.gateway.proxy.peer_use import PeerUsage
from larkpost.gateway.proxy.reported_service_times import ReportedServiceTimes
from larkpost.gateway.proxy.service_time_history import ServiceTimeHistory

MAX_REPORTED_SERVICE_TIMES = 8
"""Paces in one heartbeat, those of different instances by turns: it is listed by hundreds."""
RECOVERY_SECONDS = 12.0
"""For so long after its last measurement the usual pace of a server that was ill is reported, so
that the others don't go on taking it for ill. All other paces are reported while they are measured;
the others keep them for longer."""
REPORTED_DIGITS = 4
"""Decimal places of a pace in seconds as it is reported: a tenth of a millisecond."""


class ServiceTimeTracker:
    """The paces of all instances, as far as they are known here."""

    def __init__(
        self, directory: InstanceDirectory, clock: Clock, own: LocalUse, peers: PeerUsage
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._own = own
        self._peers = peers
        self._shared = ReportedServiceTimes(directory, clock)
        self._reported: list[InstanceId] = []
        """The instances that were reported, the one whose turn comes first in front."""

    # What is known.

    def current(self, instance: InstanceId) -> float:
        """Returns the seconds that a short request takes now; 0 if that is not known."""
        speed_stats = self._own.speed_stats(instance)
        if speed_stats is None or not speed_stats.slowness.has_reports:
            return self._smoothed(instance)
        now = self._clock.now()
        lasting = self._known_lasting(instance, speed_stats.responses)
        return lasting * speed_stats.slowness.factor(now) or self._smoothed(instance)

    def has_latency(self, instance: InstanceId) -> bool:
        """Returns whether the pace of this moment is of this daemon's own responses.

        Such a pace has the network's latency in it.
        """
        speed_stats = self._own.speed_stats(instance)
        if speed_stats is None or not speed_stats.slowness.has_reports:
            return self._own.has_recent_response(instance)
        if not self._known_lasting(instance, speed_stats.responses):
            return self._own.has_recent_response(instance)
        return self._is_own_best(instance, speed_stats.responses)

    def lasting(self, instance: InstanceId) -> float:
        """Returns the seconds that an event of an item takes, bursts taken out; 0 if not known."""
        speed_stats = self._own.speed_stats(instance)
        history = speed_stats.events if speed_stats is not None else None
        return self._known_lasting(instance, history) or self._smoothed(instance)

    def recent(self, engine: InstanceId) -> float:
        """Returns what an event took here in the last quarter of a second; 0 if not measured."""
        speed_stats = self._own.speed_stats(engine)
        return speed_stats.events.recent(self._clock.now()) if speed_stats is not None else 0.0

    # What requests show.

    def record_response(self, instance: InstanceId, seconds: float) -> None:
        """Records what the whole response to a short request took."""
        speed_stats = self._own.ensure_speed_stats(instance)
        self._record(speed_stats, speed_stats.responses, seconds)

    def record_event(self, engine: InstanceId, seconds: float) -> None:
        """Records what an event of an item took."""
        speed_stats = self._own.ensure_speed_stats(engine)
        self._record(speed_stats, speed_stats.events, seconds)

    # What daemons report to each other.

    def report(self) -> dict[InstanceId, float]:
        """Returns paces that this daemon has measured, at most `MAX_REPORTED_PACES` by turns."""
        measured = dict.fromkeys(self._own.measured())
        earlier = dict.fromkeys(name for name in self._reported if name in measured)
        turn = [name for name in measured if name not in earlier] + list(earlier)
        report: dict[InstanceId, float] = {}
        for name in turn:
            if len(report) == MAX_REPORTED_SERVICE_TIMES:
                break
            service_time = self._reportable_service_time(name)
            if service_time is not None:
                report[name] = service_time
        self._reported = [name for name in earlier if name not in report] + list(report)
        return report

    def record_report(self, daemon: DaemonId, service_times: dict[InstanceId, float]) -> None:
        """Records the paces that another daemon reports."""
        self._shared.record(daemon, service_times)

    def forget_old(self, now: float) -> None:
        """Drops reports that are used no longer."""
        self._shared.forget_old(now)

    def _known_lasting(self, instance: InstanceId, history: ServiceTimeHistory | None) -> float:
        """Returns a lasting pace: what is measured now, here or elsewhere, and then what was."""
        if history is not None and self._is_own_best(instance, history):
            return history.service_time(self._clock.now())
        return self._shared.fresh(instance) or self._shared.service_time(instance)

    def _is_own_best(self, instance: InstanceId, history: ServiceTimeHistory) -> bool:
        """Returns whether what was measured here counts before what others report."""
        now = self._clock.now()
        if history.is_measured(now):
            return True
        return bool(history.service_time(now)) and not self._shared.fresh(instance)

    def _smoothed(self, instance: InstanceId) -> float:
        """Returns one's own smoothed pace, which counts before what the others report."""
        if self._own.has_recent_service_time(instance):
            return self._own.record_for(instance).service_time
        return self._peers.service_time(instance)

    def _reportable_service_time(self, instance: InstanceId) -> float | None:
        """Returns an instance's pace as it is reported; None if it is not to be.

        Where items and short requests go to the same server, it is that of the items.
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
    """Returns whether a pace is reported: what is measured, and that an illness may be over."""
    is_recovery = history.was_degraded and now - history.measured_at < RECOVERY_SECONDS
    return history.is_measured(now) or is_recovery
