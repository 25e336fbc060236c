"""How long work takes at an instance: lastingly, and at this moment.

Joins what this daemon's own requests showed of an instance (`lasting_pace`), what the server
said of its slowness (`slowness`), and what the other daemons report (`shared_paces`, `peer_use`).
A short request goes by the pace of this moment, the items of batches by the lasting one. Servers
that say nothing of their slowness have one pace for short requests, the smoothed one.
"""

from larkpost.common.clock import Clock
from larkpost.common.ids import DaemonId, InstanceId
from larkpost.gateway.blackboard.directory import Directory
from larkpost.gateway.proxy.instance_use import OwnUse, SpeedFigures
from larkpost.gateway.proxy.lasting_pace import PaceHistory
from larkpost.gateway.proxy.peer_use import PeerUses
from larkpost.gateway.proxy.shared_paces import SharedPaces

MAX_REPORTED_PACES = 8
"""Paces in one heartbeat, those of different instances by turns: it is listed by hundreds."""
REPORTED_SECONDS = 60.0
"""How long after its last measurement a pace is reported; the others keep it for longer."""
REPORTED_DIGITS = 4
"""Decimal places of a pace in seconds as it is reported: a tenth of a millisecond."""


class Paces:
    """The paces of all instances, as far as they are known here."""

    def __init__(self, directory: Directory, clock: Clock, own: OwnUse, peers: PeerUses) -> None:
        self._directory = directory
        self._clock = clock
        self._own = own
        self._peers = peers
        self._shared = SharedPaces(directory, clock)
        self._reported: list[InstanceId] = []
        """The instances that were reported, the one whose turn comes first in front."""

    # What is known.

    def at_this_moment(self, instance: InstanceId) -> float:
        """Returns the seconds that a short request takes now; 0 if that is not known."""
        figures = self._own.figures(instance)
        if figures is None or not figures.slowness.is_said:
            return self._smoothed(instance)
        now = self._clock.now()
        lasting = figures.responses.pace(now) or self._shared.pace(instance)
        return lasting * figures.slowness.factor(now) or self._smoothed(instance)

    def has_latency(self, instance: InstanceId) -> bool:
        """Returns whether the pace of this moment is of this daemon's own responses.

        Such a pace has the network's latency in it.
        """
        figures = self._own.figures(instance)
        if figures is None or not figures.slowness.is_said:
            return self._own.has_recent_response(instance)
        return bool(figures.responses.pace(self._clock.now()))

    def lasting(self, instance: InstanceId) -> float:
        """Returns the seconds that an event of an item takes, bursts taken out; 0 if not known."""
        figures = self._own.figures(instance)
        own = figures.events.pace(self._clock.now()) if figures is not None else 0.0
        return own or self._shared.pace(instance) or self._smoothed(instance)

    def recent(self, engine: InstanceId) -> float:
        """Returns what an event took here in the last quarter of a second; 0 if not measured."""
        figures = self._own.figures(engine)
        return figures.events.recent(self._clock.now()) if figures is not None else 0.0

    # What requests show.

    def record_response(self, instance: InstanceId, seconds: float) -> None:
        """Records what the whole response to a short request took."""
        figures = self._own.figures_to_record(instance)
        self._record(figures, figures.responses, seconds)

    def record_event(self, engine: InstanceId, seconds: float) -> None:
        """Records what an event of an item took."""
        figures = self._own.figures_to_record(engine)
        self._record(figures, figures.events, seconds)

    # What daemons report to each other.

    def report(self) -> dict[InstanceId, float]:
        """Returns paces that this daemon has measured, at most `MAX_REPORTED_PACES` by turns."""
        measured = dict.fromkeys(self._own.measured())
        earlier = dict.fromkeys(name for name in self._reported if name in measured)
        turn = [name for name in measured if name not in earlier] + list(earlier)
        report: dict[InstanceId, float] = {}
        for name in turn:
            if len(report) == MAX_REPORTED_PACES:
                break
            pace = self._own_pace(name)
            if pace is not None:
                report[name] = pace
        self._reported = [name for name in earlier if name not in report] + list(report)
        return report

    def record_report(self, daemon: DaemonId, paces: dict[InstanceId, float]) -> None:
        """Records the paces that another daemon reports."""
        self._shared.record(daemon, paces)

    def forget_old(self, now: float) -> None:
        """Drops reports that are used no longer."""
        self._shared.forget_old(now)

    def _smoothed(self, instance: InstanceId) -> float:
        """Returns one's own smoothed pace, which counts before what the others report."""
        if self._own.has_recent_pace(instance):
            return self._own.of(instance).pace
        return self._peers.pace(instance)

    def _own_pace(self, instance: InstanceId) -> float | None:
        """Returns an instance's pace as it is reported; None if it was not measured lately.

        Where items and short requests go to the same server, it is that of the items.
        """
        figures = self._own.figures(instance)
        if figures is None or not self._directory.takes_work(instance):
            return None
        now = self._clock.now()
        for history in (figures.events, figures.responses):
            pace = history.pace(now)
            if pace and now - history.measured_at < REPORTED_SECONDS:
                return round(pace, REPORTED_DIGITS)
        return None

    def _record(self, figures: SpeedFigures, history: PaceHistory, seconds: float) -> None:
        now = self._clock.now()
        history.record(now, seconds, figures.slowness.factor(now))
