"""Joins what a daemon reports to the others with its heartbeats; passes on what they report."""

from collections.abc import Callable

from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.blackboard.daemon_report import BatchProgress, DaemonReport
from larkpost.gateway.proxy.paces import Paces


class DaemonReports:
    """The reports of this daemon and of the others.

    Args:
        batch_progress: returns how far this daemon's batches are.
        record_batch_progress: called with how far those of each other daemon are.
    """

    def __init__(
        self,
        paces: Paces,
        batch_progress: Callable[[], dict[BatchId, BatchProgress]],
        record_batch_progress: Callable[[DaemonId, dict[BatchId, BatchProgress]], None],
    ) -> None:
        self._paces = paces
        self._batch_progress = batch_progress
        self._record_batch_progress = record_batch_progress

    def own(self) -> DaemonReport:
        """Returns what this daemon reports now."""
        return DaemonReport(paces=self._paces.report(), batches=self._batch_progress())

    def record(self, daemon: DaemonId, report: DaemonReport) -> None:
        """Records what another daemon reports."""
        self._paces.record_report(daemon, report.paces)
        self._record_batch_progress(daemon, report.batches)
