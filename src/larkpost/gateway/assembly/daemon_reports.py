"""Joins what a daemon reports to the others with its heartbeats; passes on what they report."""

from collections.abc import Callable

from larkpost.common.ids import DaemonId
from larkpost.gateway.blackboard.daemon_report import DaemonReport
from larkpost.gateway.proxy.paces import Paces
from larkpost.gateway.rollouts.keeper import BatchKeeper


class DaemonReports:
    """The reports of this daemon and of the others.

    Args:
        keeper: returns the keeper of this daemon's batches, which is made after the reports.
    """

    def __init__(self, paces: Paces, keeper: Callable[[], BatchKeeper]) -> None:
        self._paces = paces
        self._keeper = keeper

    def own(self) -> DaemonReport:
        """Returns what this daemon reports now."""
        return DaemonReport(paces=self._paces.report(), batches=self._keeper().progress())

    def record(self, daemon: DaemonId, report: DaemonReport) -> None:
        """Records what another daemon reports."""
        self._paces.record_report(daemon, report.paces)
        self._keeper().record_report(daemon, report.batches)
