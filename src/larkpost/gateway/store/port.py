"""Interface to the durable, linearizable store of rows.

Every call has a timeout and a typed outcome. A write is done, not done, or unknown. An unknown
write may still be applied seconds later if its conditions hold at that time, so callers must
tolerate late writes; conditions on row versions make that possible.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, Protocol

from larkpost.common.errors import LarkpostError

ABSENT = 0
"""Version of a row that does not exist; as a condition, requires that the row is absent."""


class RowKey(NamedTuple):
    """Identifies a row. One transaction can change only rows of the same part (partition)."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class Row:
    """A row at one version.

    Attributes:
        version: transaction number of the row's last change; increases across the whole store.
        removed: whether this is a deletion notice; the value is then empty.
    """

    key: RowKey
    value: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Transaction:
    """An atomic change.

    Attributes:
        conditions: required version of each row, `ABSENT` for a row that must not exist.
        puts: rows to write.
        removals: rows to delete.
    """

    conditions: tuple[tuple[RowKey, int], ...] = ()
    puts: tuple[tuple[RowKey, bytes], ...] = ()
    removals: tuple[RowKey, ...] = ()


class WriteOutcome(StrEnum):
    """Outcome of a write."""

    DONE = "done"
    CONFLICT = "conflict"  # a condition did not hold; nothing changed
    NOT_DONE = "not_done"  # rejected; nothing changed and nothing will
    THROTTLED = "throttled"  # rejected by a rate limit; nothing changed
    UNKNOWN = "unknown"  # no response; it may be applied already or later


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Result of a transaction.

    Attributes:
        version: the version written; 0 unless the outcome is DONE.
        rows: on a conflict, the current rows that the conditions name.
    """

    outcome: WriteOutcome
    version: int = 0
    rows: tuple[Row, ...] = ()


@dataclass(frozen=True, slots=True)
class RowPage:
    """A consistent page of rows of one part, in ascending key order.

    Attributes:
        more: whether more rows follow.
        version: the newest version of the store when the page was read.
    """

    rows: tuple[Row, ...]
    more: bool
    version: int


class StoreError(LarkpostError):
    """Base class for errors of read calls."""

    code = "store"
    status = 503
    remedy = "Retry; check the store if the error persists."


class StoreUnavailableError(StoreError):
    """The store did not respond, or rejected or throttled a read call."""

    code = "store_unavailable"


class HistoryLostError(StoreError):
    """The change feed no longer holds the changes after the requested version."""

    code = "history_lost"
    remedy = "List the table again and follow the feed from there."


class Store(Protocol):
    """A linearizable store of rows. Methods raise only `StoreError`."""

    row_bytes: int
    """Maximum size of a row's value in bytes."""

    async def write(self, transaction: Transaction, timeout: float) -> WriteResult:
        """Applies a transaction and returns its outcome after at most ``timeout`` seconds."""

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 0
    ) -> RowPage:
        """Reads rows of a part from key ``first`` (inclusive) to ``end`` (exclusive, if given).

        Raises:
            StoreUnavailableError: no response.
        """

    async def changes(self, table: str, after: int, wait: float) -> RowPage:
        """Returns the changes of a table after a version; waits up to ``wait`` seconds for one.

        Raises:
            HistoryLostError: the table must be listed again.
            StoreUnavailableError: no response.
        """

    def time(self) -> float | None:
        """Returns the estimated steady time of the store; None before the first response."""

    def time_error(self) -> float:
        """Returns the maximum error of `time` in seconds, in either direction."""


async def read_all(store: Store, table: str, part: str, first: str = "", end: str = "") -> RowPage:
    """Reads all pages of a key range.

    Returns:
        All rows, with the version of the first (oldest) page.

    Raises:
        StoreUnavailableError: a page could not be read.
    """
    rows: list[Row] = []
    page = await store.read(table, part, first, end)
    version = page.version
    rows.extend(page.rows)
    while page.more and page.rows:
        page = await store.read(table, part, page.rows[-1].key.key + "\x00", end)
        rows.extend(page.rows)
    return RowPage(tuple(rows), False, version)
