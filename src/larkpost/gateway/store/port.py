"""The store port: what larkpost needs from a durable, linearizable table of rows.

Every call has a time limit and a typed outcome. A write is *done*, *not done* (for certain), or
*unknown*: an unknown write may still be carried out seconds later, if its conditions then hold.
Code that writes must therefore stay correct when a write takes effect late; conditions on row
versions are the means for that.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, Protocol

from larkpost.common.errors import LarkpostError

ABSENT = 0
"""The version of a row that does not exist; as a condition it means "not there"."""


class RowKey(NamedTuple):
    """Names a row. Rows of one part are changed together by one transaction."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class Row:
    """A row as of one version.

    Attributes:
        version: number of the transaction that last changed the row; rises over the whole store.
        removed: True for the news that the row is gone; its value is then empty.
    """

    key: RowKey
    value: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Transaction:
    """A change that is made whole or not at all.

    Attributes:
        conditions: the version each named row must have, `ABSENT` for "not there".
        puts: rows to write.
        removals: rows to remove.
    """

    conditions: tuple[tuple[RowKey, int], ...] = ()
    puts: tuple[tuple[RowKey, bytes], ...] = ()
    removals: tuple[RowKey, ...] = ()


class WriteOutcome(StrEnum):
    """What became of a write."""

    DONE = "done"
    CONFLICT = "conflict"  # a condition did not hold; nothing was changed
    NOT_DONE = "not_done"  # refused; nothing was changed and nothing will be
    THROTTLED = "throttled"  # refused because of the rate; nothing was changed
    UNKNOWN = "unknown"  # no response; it may have been done, or may be done later


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Outcome of a transaction.

    Attributes:
        version: the version written, if done; else 0.
        rows: on a conflict, the rows named by the conditions as they are.
    """

    outcome: WriteOutcome
    version: int = 0
    rows: tuple[Row, ...] = ()


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows of one part as of one moment, keys rising.

    Attributes:
        more: whether rows follow after the last one.
        version: the newest version of the store at that moment.
    """

    rows: tuple[Row, ...]
    more: bool
    version: int


class StoreError(LarkpostError):
    """Base of the errors of reading calls."""

    code = "store"
    status = 503
    remedy = "Ask again; check the store if this goes on."


class StoreUnavailableError(StoreError):
    """The store did not respond, refused, or throttled a reading call."""

    code = "store_unavailable"


class HistoryLostError(StoreError):
    """The feed no longer has the changes after the version asked for."""

    code = "history_lost"
    remedy = "List the table again and follow it from there."


class Store(Protocol):
    """A linearizable store of rows. No method raises anything but `StoreError`."""

    row_bytes: int
    """Most bytes in one row's value."""

    async def write(self, transaction: Transaction, timeout: float) -> WriteResult:
        """Carries out a transaction within ``timeout`` seconds, or reports why not."""

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 0
    ) -> RowPage:
        """Reads rows of a part from key ``first`` on, up to and without ``end`` if given.

        Raises:
            StoreUnavailableError: no response.
        """

    async def changes(self, table: str, after: int, wait: float) -> RowPage:
        """Returns the changes of a table after a version, waiting up to ``wait`` seconds for one.

        Raises:
            HistoryLostError: list the table again.
            StoreUnavailableError: no response.
        """

    def time(self) -> float | None:
        """Returns the store's steady clock in seconds, as estimated here; None if never heard."""


async def read_all(store: Store, table: str, part: str, first: str = "", end: str = "") -> RowPage:
    """Reads a key range to its end, page by page.

    Returns:
        All rows; the version is that of the first page, the oldest one.

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
