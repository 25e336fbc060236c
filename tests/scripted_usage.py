"""An in-memory receiver of usage reports, with the platform's contract and faults."""

from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.gateway.controllers.leases import Lease
from larkpost.gateway.usage.port import ReportOutcome, TenantCounts, UsageReport, WindowNumber


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A received report.

    Attributes:
        at: time of receipt in seconds, by the receiver's clock.
        outcome: outcome of the report.
    """

    window: WindowNumber
    counts: TenantCounts
    holder: str
    token: int
    at: float
    outcome: ReportOutcome


@dataclass(slots=True)
class ScriptedUsage:
    """Receives reports; implements `larkpost.gateway.usage.port.UsagePort`.

    Attributes:
        down: whether it neither responds nor takes reports.
        lost_answers: number of next reports that are taken without a response.
        received: all received reports, in order.
    """

    clock: Clock
    down: bool = False
    lost_answers: int = 0
    received: list[ReceivedReport] = field(default_factory=list)
    _highest_token: int = 0

    async def report_usage(
        self, report: UsageReport, holder: str, lease: Lease, timeout: float
    ) -> ReportOutcome:
        """Records a report; see the port."""
        await self.clock.sleep(0.002)
        if self.down:
            await self.clock.sleep(timeout)
            return ReportOutcome.UNKNOWN
        outcome = ReportOutcome.TAKEN
        if lease.token < self._highest_token:
            outcome = ReportOutcome.FENCED
        self._highest_token = max(self._highest_token, lease.token)
        self.received.append(
            ReceivedReport(
                report.window, report.counts, holder, lease.token, self.clock.now(), outcome
            )
        )
        if self.lost_answers:
            self.lost_answers -= 1
            await self.clock.sleep(timeout)
            return ReportOutcome.UNKNOWN
        return outcome

    def taken(self) -> dict[WindowNumber, list[ReceivedReport]]:
        """Returns the reports that were taken, by window."""
        by_window: dict[WindowNumber, list[ReceivedReport]] = {}
        for report in self.received:
            if report.outcome is ReportOutcome.TAKEN:
                by_window.setdefault(report.window, []).append(report)
        return by_window
