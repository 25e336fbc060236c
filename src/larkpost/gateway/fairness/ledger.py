"""Use by tenant: this daemon's own, exactly, and that of the others as they reported it lately.

Daemons report only while a service lacks places, and only their flows with the greatest use, so a
fleet with room pays nothing for it. A report counts until it is replaced or too old; a daemon that
hears nothing goes by its own requests alone.
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
"""How long a report counts: some heartbeats, of which a large fleet writes one in five seconds."""
SHORTAGE_LIFETIME_SECONDS = 2.0
"""How long a service counts as short after a request waited for it or was refused meanwhile."""
MAX_REPORTED_FLOWS = 6
"""Flows in one report: a daemon of a large fleet has few requests at a time."""
MAX_REPORTED_NAME_LENGTH = 64
"""Characters of a name that is reported; it bounds the bytes of a heartbeat."""


@dataclass(frozen=True, slots=True)
class _PeerReport:
    """What another daemon reported, at a steady time."""

    at: float
    tenants: Mapping[Flow, FlowUsage]


class FlowLedger:
    """Use by flow in the fleet, as far as this daemon knows."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own = UseTable()
        self._peers = UseTable()
        self._reports: dict[DaemonId, _PeerReport] = {}
        """The oldest first."""
        self._short_at: dict[ServiceName, float] = {}

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
        """Counts a request that waits for a place in a shortage that lasts."""
        self.record_shortage(flow.group.service)
        self._own.add(flow, 0, 1)
        try:
            yield
        finally:
            self._own.add(flow, 0, -1)
            self.record_shortage(flow.group.service)

    def record_shortage(self, service: ServiceName) -> None:
        """Records that a service lacks places."""
        self._short_at[service] = self._clock.now()

    def record_report(self, daemon: DaemonId, tenants: Mapping[Flow, FlowUsage]) -> None:
        """Records what another daemon reports, in place of what it reported before."""
        self._forget(daemon)
        if not tenants:
            return
        self._reports[daemon] = _PeerReport(self._clock.now(), tenants)
        for flow, use in tenants.items():
            self._peers.add(flow, use.running, use.waiting)

    def uses(self, group: FlowGroup) -> Mapping[Flow, FlowUsage]:
        """Returns the use of a group's flows, by this daemon and the others."""
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
        """Returns this daemon's requests at the servers of a service."""
        return sum(use.running for flow, use in self._own.all() if flow.group.service == service)

    def report_age(self) -> float | None:
        """Returns the seconds since the newest report; None if none counts."""
        self._forget_old()
        newest = max((report.at for report in self._reports.values()), default=None)
        return None if newest is None else self._clock.now() - newest

    def has_shortage(self) -> bool:
        """Returns whether a service lacks places, here or at a daemon that reported it."""
        return bool(self._short_services())

    def report(self) -> dict[Flow, FlowUsage]:
        """Returns what this daemon reports: its greatest use at services that lack places."""
        short = self._short_services()
        uses = [
            (flow, use)
            for flow, use in self._own.all()
            if flow.group.service in short and len(flow.name) <= MAX_REPORTED_NAME_LENGTH
        ]
        uses.sort(key=lambda entry: (-sum(entry[1]), entry[0]))
        return dict(uses[:MAX_REPORTED_FLOWS])

    def _short_services(self) -> set[ServiceName]:
        self._forget_old()
        now = self._clock.now()
        own = {name for name, at in self._short_at.items() if now - at < SHORTAGE_LIFETIME_SECONDS}
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
        for flow, use in report.tenants.items():
            self._peers.add(flow, -use.running, -use.waiting)
