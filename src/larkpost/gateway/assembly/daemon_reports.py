"""Builds the report in this daemon's heartbeats, and distributes received reports."""

from collections.abc import Callable

from larkpost.common.ids import DaemonId, InstanceId
from larkpost.gateway.blackboard.daemon_report import DaemonReport
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.proxy.service_time_tracker import ServiceTimeTracker
from larkpost.gateway.rollouts.batch_manager import BatchManager


class DaemonReports:
    """The reports of this daemon and of the others.

    Args:
        batch_manager: returns the batch manager, which is created later.
        capacity: returns this daemon's capacity for work besides clients; None if unknown.
    """

    def __init__(
        self,
        service_times: ServiceTimeTracker,
        ledger: FlowLedger,
        batch_manager: Callable[[], BatchManager],
        capacity: Callable[[], float | None] = lambda: None,
    ) -> None:
        self._service_times = service_times
        self._ledger = ledger
        self._batch_manager = batch_manager
        self._capacity = capacity

    def own(self) -> DaemonReport:
        """Returns the report for this daemon's next heartbeat."""
        return DaemonReport(
            tenants=self._ledger.report(),
            batches=self._batch_manager().progress(),
            capacity=self._capacity(),
        )

    def own_service_times(self) -> dict[InstanceId, float]:
        """Returns the next group of service times to report; each call advances the rotation."""
        return self._service_times.report()

    def record(self, daemon: DaemonId, report: DaemonReport) -> None:
        """Distributes another daemon's report to the components."""
        self._service_times.record_report(daemon, report.paces)
        self._batch_manager().record_report(daemon, report.batches)
        self._ledger.record_report(daemon, report.tenants)
