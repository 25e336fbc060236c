"""Joins what a daemon reports to the others with its heartbeats; passes on what they report."""

from collections.abc import Callable

from larkpost.common.ids import DaemonId, InstanceId
from larkpost.gateway.blackboard.daemon_report import DaemonReport
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.proxy.service_time_tracker import ServiceTimeTracker
from larkpost.gateway.rollouts.batch_manager import BatchManager


class DaemonReports:
    """The reports of this daemon and of the others.

    Args:
        keeper: returns the keeper of this daemon's batches, which is made after the reports.
        capacity: returns what this daemon can bear beside clients; None if that is not known.
    """

    def __init__(
        self,
        paces: ServiceTimeTracker,
        ledger: FlowLedger,
        keeper: Callable[[], BatchManager],
        capacity: Callable[[], float | None] = lambda: None,
    ) -> None:
        self._paces = paces
        self._ledger = ledger
        self._keeper = keeper
        self._capacity = capacity

    def own(self) -> DaemonReport:
        """Returns what each of this daemon's heartbeats reports now."""
        return DaemonReport(
            tenants=self._ledger.report(),
            batches=self._keeper().progress(),
            capacity=self._capacity(),
        )

    def own_service_times(self) -> dict[InstanceId, float]:
        """Returns the paces whose turn it is; each call takes the next ones."""
        return self._paces.report()

    def record(self, daemon: DaemonId, report: DaemonReport) -> None:
        """Records what another daemon reports."""
        self._paces.record_report(daemon, report.paces)
        self._keeper().record_report(daemon, report.batches)
        self._ledger.record_report(daemon, report.tenants)
