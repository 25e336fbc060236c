"""Usage rows in the store: the counts of each daemon, and the decided report of each window.

    usage_counts   <window>/<daemon>  counts of one daemon, rewritten as they grow
    usage_reports  <window>           decided counts, and whether the report was taken

A decision is written only if the row is absent, so each window is decided once. Counts are written
only if the row has the expected version, so a late write cannot overwrite a newer one.
"""

from collections import Counter
from dataclasses import dataclass

import orjson

from larkpost.common.ids import DaemonId
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.store.port import (
    ABSENT,
    RowKey,
    Store,
    Transaction,
    WriteOutcome,
    read_all,
)
from larkpost.gateway.usage.port import TenantCounts, UsageReport, WindowNumber

COUNT_TABLE = "usage_counts"
"""Table of the counts of each daemon."""
REPORT_TABLE = "usage_reports"
"""Table of the decided reports."""
PART = "usage"
"""The only part (partition) of both tables."""
WRITE_TIMEOUT_SECONDS = 1.0
"""Timeout of a write."""
MAX_REMOVALS = 90
"""Maximum rows removed per transaction; the store allows 100 entries."""


@dataclass(frozen=True, slots=True)
class DecidedReport:
    """A report in the store.

    Attributes:
        is_taken: whether the report is known to have been taken by the receiver.
        version: version of its row.
    """

    report: UsageReport
    is_taken: bool
    version: int


class UsageRepository:
    """Reads and writes the usage rows."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._count_versions: dict[RowKey, int] = {}
        """Known versions of this daemon's count rows."""

    async def save_counts(
        self, daemon: DaemonId, counts: dict[WindowNumber, TenantCounts], timeout: float
    ) -> bool:
        """Writes this daemon's counts of some windows, replacing its earlier counts.

        Returns:
            Whether they were written; if not, the caller may retry.
        """
        puts = {
            RowKey(COUNT_TABLE, PART, f"{_key(window)}/{daemon}"): orjson.dumps(tenants)
            for window, tenants in counts.items()
        }
        versions = {key: self._count_versions.get(key, ABSENT) for key in puts}
        change = Transaction(conditions=tuple(versions.items()), puts=tuple(puts.items()))
        result = await self._store.write(change, timeout)
        if result.outcome is WriteOutcome.CONFLICT:
            found = {row.key: row.version for row in result.rows}
            self._count_versions = {key: found.get(key, ABSENT) for key in puts}
        if result.outcome is not WriteOutcome.DONE:
            return False
        self._count_versions = dict.fromkeys(puts, result.version)
        return True

    async def sum_counts(self, window: WindowNumber) -> UsageReport:
        """Returns the sum of all daemons' counts of a window.

        Raises:
            StoreUnavailableError: the store did not respond.
        """
        first, end = f"{_key(window)}/", _key(WindowNumber(window + 1))
        page = await read_all(self._store, COUNT_TABLE, PART, first, end)
        total: Counter[TenantName] = Counter()
        for row in page.rows:
            total.update(orjson.loads(row.value))
        return UsageReport(window, dict(sorted(total.items())))

    async def decide(self, report: UsageReport) -> WriteOutcome:
        """Stores the decided report of a window unless there is one."""
        key = RowKey(REPORT_TABLE, PART, _key(report.window))
        change = Transaction(
            conditions=((key, ABSENT),), puts=((key, _encode(report, is_taken=False)),)
        )
        return (await self._store.write(change, WRITE_TIMEOUT_SECONDS)).outcome

    async def note_taken(self, decided: DecidedReport) -> WriteOutcome:
        """Records that a report was taken, so that it is not sent again."""
        key = RowKey(REPORT_TABLE, PART, _key(decided.report.window))
        change = Transaction(
            conditions=((key, decided.version),),
            puts=((key, _encode(decided.report, is_taken=True)),),
        )
        return (await self._store.write(change, WRITE_TIMEOUT_SECONDS)).outcome

    async def decided_since(self, window: WindowNumber) -> dict[WindowNumber, DecidedReport]:
        """Returns the decided reports of a window and all later ones.

        Raises:
            StoreUnavailableError: the store did not respond.
        """
        page = await read_all(self._store, REPORT_TABLE, PART, _key(window))
        reports = {}
        for row in page.rows:
            number = WindowNumber(int(row.key.key))
            fields = orjson.loads(row.value)
            report = UsageReport(number, fields["counts"])
            reports[number] = DecidedReport(report, fields["is_taken"], row.version)
        return reports

    async def remove_before(self, window: WindowNumber) -> None:
        """Removes counts and reports of windows before ``window``, up to `MAX_REMOVALS` rows each.

        Raises:
            StoreUnavailableError: the store did not respond.
        """
        for table in (COUNT_TABLE, REPORT_TABLE):
            page = await self._store.read(table, PART, "", _key(window), MAX_REMOVALS)
            keys = tuple(row.key for row in page.rows)
            if keys:
                await self._store.write(Transaction(removals=keys), WRITE_TIMEOUT_SECONDS)


def _key(window: WindowNumber) -> str:
    """Returns a window's key; keys sort in the order of windows."""
    return f"{window:012d}"


def _encode(report: UsageReport, *, is_taken: bool) -> bytes:
    return orjson.dumps({"counts": report.counts, "is_taken": is_taken})
