"""Use of slots by flow: exact for this daemon, as last reported for the others.

Daemons report only while a service lacks slots, so that there is no overhead otherwise, and only
the flows with the highest use. A report is valid until it is replaced or expires; without reports,
a daemon relies on its own requests alone.
"""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.common.ids import DaemonId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.daemon_report import Flow, FlowGroup, FlowUsage
from larkpost.gateway.fairness.share_rule import NO_USE
from larkpost.gateway.fairness.use_table import UseTable

REPORT_LIFETIME_SECONDS = 6.0
"""How long a report is valid: longer than the interval of heartbeats in a large fleet."""
SHORTAGE_LIFETIME_SECONDS = 2.0
"""How long a service counts as short of slots after a request last waited for it or missed its
objective."""
MAX_REPORTED_FLOWS = 6
"""Maximum number of flows in a report."""
MAX_REPORTED_NAME_LENGTH = 64
"""Maximum length of a reported flow name in characters; bounds the size of a heartbeat."""


@dataclass(frozen=True, slots=True)
class _PeerReport:
    """A report of another daemon, and the steady time at which it was received."""

    at: float
    flow_uses: Mapping[Flow, FlowUsage]


class FlowLedger:
    """Use of slots by flow in the fleet, as far as this daemon knows."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own = UseTable()
        self._peers = UseTable()
        self._reports: dict[DaemonId, _PeerReport] = {}
        """In order of receipt, oldest first."""
        self._shortage_at: dict[ServiceName, float] = {}

    @contextmanager
    def running(self, flow: Flow) -> Iterator[None]:
        """Counts a request at a server."""
        self._own.add(flow, 1, 0)
        try:
            yield
        finally:
            self._own.add(flow, -1, 0)

    @contextmanager
    def waiting(self, flow: Flow) -> Iterator[None]:
        """Counts a request that waits for a slot during a persistent shortage."""
        self.record_shortage(flow.group.service)
        self._own.add(flow, 0, 1)
        try:
            yield
        finally:
            self._own.add(flow, 0, -1)
            self.record_shortage(flow.group.service)

    def record_shortage(self, service: ServiceName) -> None:
        """Records that a service lacks slots."""
        self._shortage_at[service] = self._clock.now()

    def record_report(self, daemon: DaemonId, flow_uses: Mapping[Flow, FlowUsage]) -> None:
        """Records a report of another daemon, which replaces its previous one."""
        self._forget(daemon)
        if not flow_uses:
            return
        self._reports[daemon] = _PeerReport(self._clock.now(), flow_uses)
        for flow, use in flow_uses.items():
            self._peers.add(flow, use.running, use.waiting)

    def uses(self, group: FlowGroup) -> Mapping[Flow, FlowUsage]:
        """Returns the use of a group's flows by all daemons."""
        self._forget_old()
        uses = dict(self._peers.group_uses(group))
        for flow, own in self._own.group_uses(group).items():
            others = uses.get(flow, NO_USE)
            uses[flow] = FlowUsage(others.running + own.running, others.waiting + own.waiting)
        return uses

    def own_use(self, flow: Flow) -> FlowUsage:
        """Returns this daemon's own use by a flow."""
        return self._own.group_uses(flow.group).get(flow, NO_USE)

    def own_running(self, service: ServiceName) -> int:
        """Returns the number of this daemon's requests at the servers of a service."""
        return sum(use.running for flow, use in self._own.all() if flow.group.service == service)

    def report_age(self) -> float | None:
        """Returns the seconds since the newest report; None if none is valid."""
        self._forget_old()
        newest = max((report.at for report in self._reports.values()), default=None)
        return None if newest is None else self._clock.now() - newest

    def has_shortage(self) -> bool:
        """Returns whether any service lacks slots, here or at a daemon that reported it."""
        return bool(self._short_services())

    def report(self) -> dict[Flow, FlowUsage]:
        """Returns this daemon's report: its largest flows at services that lack slots."""
        short_services = self._short_services()
        uses = [
            (flow, use)
            for flow, use in self._own.all()
            if flow.group.service in short_services and len(flow.name) <= MAX_REPORTED_NAME_LENGTH
        ]
        uses.sort(key=lambda entry: (-sum(entry[1]), entry[0]))
        return dict(uses[:MAX_REPORTED_FLOWS])

    def _short_services(self) -> set[ServiceName]:
        self._forget_old()
        now = self._clock.now()
        own = {
            name for name, at in self._shortage_at.items() if now - at < SHORTAGE_LIFETIME_SECONDS
        }
        return own | self._peers.services_waited_for()

    def _forget_old(self) -> None:
        oldest_kept = self._clock.now() - REPORT_LIFETIME_SECONDS
        while self._reports:
            daemon, report = next(iter(self._reports.items()))
            if report.at > oldest_kept:
                return
            self._forget(daemon)

    def _forget(self, daemon: DaemonId) -> None:
        report = self._reports.pop(daemon, None)
        if report is None:
            return
        for flow, use in report.flow_uses.items():
            self._peers.add(flow, -use.running, -use.waiting)
