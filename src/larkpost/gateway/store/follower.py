"""Keeps a local copy of a table: listed once, then followed by the feed of changes.

A row is only ever replaced by a newer version of itself, so nothing that is read late or out of
order can bring back an older state. A silent feed proves nothing: the table is listed again at an
interval as well.
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
"""Seconds for which a call of the feed may wait for a change."""
FEED_GAP_SECONDS = 0.05
"""Seconds between two calls of the feed, so that changes are grouped."""
RETRY_SECONDS = 0.15
"""Seconds after a call that failed before the next one."""
PARTIAL_RELIST_SECONDS = 0.5
"""Seconds after a listing in which some parts could not be read before the next."""


@dataclass(frozen=True, slots=True)
class TableParts:
    """What is followed.

    Attributes:
        parts: the parts to list; the feed covers all of them.
    """

    table: str
    parts: tuple[str, ...] = ("",)


@dataclass(frozen=True, slots=True)
class RelistPolicy:
    """How often a table is listed again.

    Attributes:
        interval: seconds between two listings.
        factor: returns by how much the interval is longer at the moment; read at each step.
    """

    interval: float
    factor: Callable[[], int] = lambda: 1


class TableFollower:
    """A copy of the rows of some parts of one table.

    Args:
        listener: called with each row that is new or gone, in the order learned.
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
        self._following = True
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
        """Whether the table was read whole at least once."""
        return self._is_listed

    def healthy_for(self, now: float) -> float:
        """Returns for how many seconds every call has succeeded; 0 if none has."""
        if self.confirmed_at is None:
            return 0.0
        if self.failed_at is None:
            return now
        return max(0.0, now - self.failed_at)

    def age(self, now: float) -> float:
        """Returns the seconds since the copy was last known to be current."""
        return now - self.confirmed_at if self.confirmed_at is not None else now

    def start(self, tasks: TaskSet) -> None:
        """Starts following in the background."""
        tasks.spawn(self._run(), f"follow.{self._table}")

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
                self._log_change(following=True)
            except HistoryLostError:
                self._list_started_at = float("-inf")
                self._position = 0
                self._log.record(Event.STORE, table=self._table, state="history_lost")
            except StoreUnavailableError as error:
                self.failed_at = self._clock.now()
                self._log_change(following=False, reason=error.message)
                await self._clock.sleep(RETRY_SECONDS)

    def _log_change(self, *, following: bool, reason: str = "") -> None:
        """Logs that the table is lost or regained."""
        if following == self._following:
            return
        self._following = following
        age = round(self.age(self._clock.now()), 3)
        state = "regained" if following else "lost"
        self._log.record(Event.STORE, table=self._table, state=state, age=age, reason=reason)

    async def _step(self) -> None:
        started = self._clock.now()
        if started - self._list_started_at >= self._relist_interval * self._relisting.factor():
            whole = await self._list()
            self._is_listed = self._is_listed or whole
            self._list_started_at = started
            self._relist_interval = self._relisting.interval if whole else PARTIAL_RELIST_SECONDS
        page = await self._store.changes(self._table, self._position, FEED_WAIT_SECONDS)
        for row in page.rows:
            self._apply(row)
        self._position = max(self._position, page.version)
        self._newest_version = max(self._newest_version, page.version)
        self.confirmed_at = started
        await self._clock.sleep(FEED_GAP_SECONDS)

    async def _list(self) -> bool:
        """Reads all parts, and returns whether all of them could be read.

        Parts of the store may be down alone: the others are read, and the feed is followed.

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
        """Reads one part and returns the store's version at that moment.

        Raises:
            StoreUnavailableError: no response, or one older than what is known already.
        """
        page = await read_all(self._store, self._table, part)
        if page.version < self._newest_version:
            raise StoreUnavailableError(f"the listing of {self._table} is out of date")
        found = {row.key for row in page.rows}
        for row in page.rows:
            self._apply(row)
        gone = [
            row
            for key, row in self.rows.items()
            if key.part == part and key not in found and row.version <= page.version
        ]
        for row in gone:
            self._apply(Row(row.key, b"", page.version, removed=True))
        return page.version

    def _apply(self, row: Row) -> None:
        """Stores a row unless it is older than the copy's, and calls the listener."""
        known = self.rows.get(row.key)
        if known is not None and row.version <= known.version and not row.removed:
            return
        if row.removed:
            if known is None or row.version < known.version:
                return
            del self.rows[row.key]
        else:
            self.rows[row.key] = row
        self._listener(row)
