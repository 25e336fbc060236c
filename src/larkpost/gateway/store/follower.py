"""Keeps a local copy of a table: lists it once, then follows the change feed.

A row is replaced only by a newer version of itself, so late or reordered reads never restore an
older state. The feed may miss changes without an error, so the table is also relisted
periodically.
"""

from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.tasks import TaskSet
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.store.port import (
    HistoryLostError,
    Row,
    RowKey,
    Store,
    StoreUnavailableError,
    read_all,
)

FEED_WAIT_SECONDS = 1.0
"""Maximum time that a feed call waits for a change."""
FEED_GAP_SECONDS = 0.05
"""Pause between two feed calls, so that changes arrive in batches."""
RETRY_SECONDS = 0.15
"""Pause after a failed call."""
PARTIAL_RELIST_SECONDS = 0.5
"""Time until the next listing after one that failed to read some of the parts."""


@dataclass(frozen=True, slots=True)
class TableParts:
    """The table to follow, and its parts (partitions).

    Attributes:
        parts: parts to list; the feed always covers all parts of the table.
    """

    table: str
    parts: tuple[str, ...] = ("",)


@dataclass(frozen=True, slots=True)
class RelistPolicy:
    """How often a table is relisted.

    Attributes:
        interval: seconds between two listings.
        factor: returns a factor by which the interval is multiplied; called at each step.
    """

    interval: float
    factor: Callable[[], int] = lambda: 1


class TableFollower:
    """A local copy of the rows of some parts of one table.

    Args:
        listener: called with each new, changed or removed row, in the order received.
    """

    def __init__(
        self,
        store: Store,
        parts: TableParts,
        listener: Callable[[Row], None],
        instruments: Instruments,
        relisting: RelistPolicy,
    ) -> None:
        self._store = store
        self._table = parts.table
        self._parts = parts.parts
        self._listener = listener
        self._clock = instruments.clock
        self._log = instruments.log
        self._relisting = relisting
        self._is_connected = True
        self._position = 0
        self._newest_version = 0
        self._list_started_at = float("-inf")
        self._relist_interval = 0.0
        self._is_listed = False
        self.rows: dict[RowKey, Row] = {}
        self.failed_at: float | None = None
        self.confirmed_at: float | None = None

    @property
    def listed(self) -> bool:
        """Whether the whole table has been read at least once."""
        return self._is_listed

    def healthy_for(self, now: float) -> float:
        """Returns for how many seconds every call has succeeded.

        Returns:
            0 before the first success; ``now`` if no call has ever failed.
        """
        if self.confirmed_at is None:
            return 0.0
        if self.failed_at is None:
            return now
        return max(0.0, now - self.failed_at)

    def age(self, now: float) -> float:
        """Returns the seconds since the copy was last confirmed; ``now`` if it never was."""
        return now - self.confirmed_at if self.confirmed_at is not None else now

    def start(self, tasks: TaskSet) -> None:
        """Starts following the table in the background."""
        tasks.spawn(self._run(), f"follow.{self._table}")

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
                self._log_connection_change(is_connected=True)
            except HistoryLostError:
                self._list_started_at = float("-inf")
                self._position = 0
                self._log.record(Event.STORE, table=self._table, state="history_lost")
                await self._clock.sleep(RETRY_SECONDS)  # it may be gone again after the listing
            except StoreUnavailableError as error:
                self.failed_at = self._clock.now()
                self._log_connection_change(is_connected=False, reason=error.message)
                await self._clock.sleep(RETRY_SECONDS)
            except Exception as error:  # a daemon that stops following would know nothing new
                self.failed_at = self._clock.now()
                self._record_fault(f"follow {self._table}", error)
                await self._clock.sleep(RETRY_SECONDS)

    def _record_fault(self, where: str, error: Exception) -> None:
        """Logs an unexpected error; the table is followed on."""
        self._log.record(Event.FAULT, where=where, error=repr(error))

    def _log_connection_change(self, *, is_connected: bool, reason: str = "") -> None:
        """Logs when the connection to the table is lost or regained."""
        if is_connected == self._is_connected:
            return
        self._is_connected = is_connected
        age = round(self.age(self._clock.now()), 3)
        state = "regained" if is_connected else "lost"
        self._log.record(Event.STORE, table=self._table, state=state, age=age, reason=reason)

    async def _step(self) -> None:
        started = self._clock.now()
        if started - self._list_started_at >= self._relist_interval * self._relisting.factor():
            is_complete = await self._list()
            self._is_listed = self._is_listed or is_complete
            self._list_started_at = started
            self._relist_interval = (
                self._relisting.interval if is_complete else PARTIAL_RELIST_SECONDS
            )
        page = await self._store.changes(self._table, self._position, FEED_WAIT_SECONDS)
        for row in page.rows:
            self._apply(row)
        self._position = max(self._position, page.version)
        self._newest_version = max(self._newest_version, page.version)
        self.confirmed_at = started
        await self._clock.sleep(FEED_GAP_SECONDS)

    async def _list(self) -> bool:
        """Lists all parts, and returns whether every one was read.

        Single parts of the store may be unavailable; the others are still read and followed.

        Raises:
            StoreUnavailableError: no part could be read.
        """
        versions = []
        failure: StoreUnavailableError | None = None
        for part in self._parts:
            try:
                versions.append(await self._list_part(part))
            except StoreUnavailableError as error:
                failure = error
                self.failed_at = self._clock.now()
        if failure is not None and not versions:
            raise failure
        if self._position == 0:
            self._position = min(versions)
        self._newest_version = max(self._newest_version, *versions)
        return failure is None

    async def _list_part(self, part: str) -> int:
        """Lists one part, and returns the store's version at that time.

        Raises:
            StoreUnavailableError: no response, or one that is older than the local copy.
        """
        page = await read_all(self._store, self._table, part)
        if page.version < self._newest_version:
            raise StoreUnavailableError(f"the listing of {self._table} is out of date")
        listed_keys = {row.key for row in page.rows}
        for row in page.rows:
            self._apply(row)
        removed_rows = [
            row
            for key, row in self.rows.items()
            if key.part == part and key not in listed_keys and row.version <= page.version
        ]
        for row in removed_rows:
            self._apply(Row(row.key, b"", page.version, removed=True))
        return page.version

    def _apply(self, row: Row) -> None:
        """Applies a changed or removed row, and calls the listener.

        Ignores a change whose version is not newer than the copy's, a removal that is older, and a
        removal of an unknown row.
        """
        known = self.rows.get(row.key)
        if known is not None and row.version <= known.version and not row.removed:
            return
        if row.removed:
            if known is None or row.version < known.version:
                return
            del self.rows[row.key]
        else:
            self.rows[row.key] = row
        self._notify(row)

    def _notify(self, row: Row) -> None:
        """Calls the listener; a row that it cannot take must not keep the others from it."""
        try:
            self._listener(row)
        except Exception as error:
            key = row.key
            self._record_fault(f"row {key.table}/{key.part}/{key.key}", error)
