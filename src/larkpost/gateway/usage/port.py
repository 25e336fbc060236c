"""Interface to the receiver of usage reports."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NewType, Protocol

from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.controllers.leases import Lease

WindowNumber = NewType("WindowNumber", int)
"""Window k begins k window lengths after the Unix epoch."""

TenantCounts = Mapping[TenantName, int]
"""Number of requests started at servers for each tenant."""


@dataclass(frozen=True, slots=True)
class UsageTerms:
    """Schedule of the usage reports; durations in seconds.

    Attributes:
        window_length: length of a window.
        due_after: time from the end of a window until its report is due.
    """

    window_length: float
    due_after: float


@dataclass(frozen=True, slots=True)
class UsageReport:
    """The final counts of one window."""

    window: WindowNumber
    counts: TenantCounts


class ReportOutcome(StrEnum):
    """Outcome of sending a report."""

    TAKEN = "taken"
    FENCED = "fenced"  # the receiver has seen a higher fencing token
    NOT_TAKEN = "not_taken"  # rejected for now
    UNKNOWN = "unknown"  # no response; it may still be taken seconds later


class UsagePort(Protocol):
    """Receives usage reports."""

    async def report_usage(
        self, report: UsageReport, holder: str, lease: Lease, timeout: float
    ) -> ReportOutcome:
        """Sends a report under a lease; sending the same report again is harmless."""
