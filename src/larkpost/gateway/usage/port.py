"""The port to whoever takes usage reports, and what is reported."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NewType, Protocol

from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.controllers.leases import Lease

WindowNumber = NewType("WindowNumber", int)
"""Window k begins k times the length of a window after the start of 1970."""

TenantCounts = Mapping[TenantName, int]
"""For each tenant, how many of its requests began to run at a server; none are left out."""


@dataclass(frozen=True, slots=True)
class UsageTerms:
    """What is agreed about usage reports; durations in seconds.

    Attributes:
        window_length: length of a window.
        due_after: time from a window's end until its report is due.
    """

    window_length: float
    due_after: float


@dataclass(frozen=True, slots=True)
class UsageReport:
    """The counts of one window; once decided they never change."""

    window: WindowNumber
    counts: TenantCounts


class ReportOutcome(StrEnum):
    """What became of a report."""

    TAKEN = "taken"
    FENCED = "fenced"  # a higher fencing token was seen
    NOT_TAKEN = "not_taken"  # refused for the moment
    UNKNOWN = "unknown"  # no response; it may be taken, even seconds later


class UsagePort(Protocol):
    """Takes usage reports."""

    async def report_usage(
        self, report: UsageReport, holder: str, lease: Lease, timeout: float
    ) -> ReportOutcome:
        """Sends a report under a lease; an exact repeat does no harm."""
