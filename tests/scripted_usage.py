"""A receiver of usage reports in memory, with the platform's contract and its faults."""

from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.gateway.controllers.leases import Lease
from larkpost.gateway.usage.port import ReportOutcome, TenantCounts, UsageReport, WindowNumber


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report that arrived.

    Attributes:
        at: seconds on the taker's clock.
        outcome: what became of it.
    """

    window: WindowNumber
    counts: TenantCounts
    holder: str
    token: int
    at: float
    outcome: ReportOutcome


@dataclass(slots=True)
class ScriptedUsage:
    """Takes reports; implements `larkpost.gateway.usage.port.UsagePort`.

    Attributes:
        down: nothing is answered and nothing is taken.
        lost_answers: how many of the next reports are taken without an answer.
        received: all reports that arrived, in order.
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
