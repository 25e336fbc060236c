"""Keeps a local copy of a table: listed once, then followed by the feed of changes.

A row is only ever replaced by a newer version of itself, so nothing that is read late or out of
order can bring back an older state. A silent feed proves nothing: the table is listed again at an
interval as well.
"""

from collections.abc import Callable

from larkpost.common.clock import Clock
from larkpost.common.tasks import TaskSet
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.store.port import (
    HistoryLostError,
    Row,
    RowKey,
    Store,
    StoreUnavailableError,
    read_all,
)

FEED_WAIT_SECONDS = 1.0
FEED_GAP_SECONDS = 0.05
RETRY_SECONDS = 0.15
RELIST_SECONDS = 0.5
"""After a listing in which some parts could not be read, before the next one."""


class TableFollower:
    """A copy of the rows of some parts of one table.

    Args:
        parts: the parts to list; the feed covers all of them.
        listener: called with each row that is new or gone, in the order learned.
        relist_interval: seconds between two listings.
        idle_factor: by how much the interval is longer at the moment; read at each step.
        feed_gap: seconds to wait between two answers of the feed, so that changes are grouped.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        table: str,
        parts: tuple[str, ...],
        listener: Callable[[Row], None],
        log: EventLog,
        *,
        relist_interval: float,
        idle_factor: Callable[[], int] = lambda: 1,
        feed_gap: float = FEED_GAP_SECONDS,
    ) -> None:
        self._store = store
        self._clock = clock
        self._table = table
        self._parts = parts
        self._listener = listener
        self._log = log
        self._following = True
        self._relist_interval = relist_interval
        self._idle_factor = idle_factor
        self._feed_gap = feed_gap
        self._position = 0
        self._newest_seen = 0
        self._list_began = float("-inf")
        self._list_again_after = 0.0
        self._listed_whole = False
        self.rows: dict[RowKey, Row] = {}
        self.failed_at: float | None = None
        self.confirmed_at: float | None = None

    @property
    def listed(self) -> bool:
        """Whether the table was read whole at least once."""
        return self._listed_whole

    def sound_for(self, now: float) -> float:
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
                self._note(following=True)
            except HistoryLostError:
                self._list_began = float("-inf")
                self._position = 0
                self._log.record(Event.STORE, table=self._table, state="history_lost")
            except StoreUnavailableError as error:
                self.failed_at = self._clock.now()
                self._note(following=False, reason=error.message)
                await self._clock.sleep(RETRY_SECONDS)

    def _note(self, *, following: bool, reason: str = "") -> None:
        """Notes that the table is lost or regained."""
        if following == self._following:
            return
        self._following = following
        age = round(self.age(self._clock.now()), 3)
        state = "regained" if following else "lost"
        self._log.record(Event.STORE, table=self._table, state=state, age=age, reason=reason)

    async def _step(self) -> None:
        started = self._clock.now()
        if started - self._list_began >= self._list_again_after * self._idle_factor():
            whole = await self._list()
            self._listed_whole = self._listed_whole or whole
            self._list_began = started
            self._list_again_after = self._relist_interval if whole else RELIST_SECONDS
        page = await self._store.changes(self._table, self._position, FEED_WAIT_SECONDS)
        for row in page.rows:
            self._take(row)
        self._position = max(self._position, page.version)
        self._newest_seen = max(self._newest_seen, page.version)
        self.confirmed_at = started
        await self._clock.sleep(self._feed_gap)

    async def _list(self) -> bool:
        """Reads all parts, and tells whether all of them could be read.

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
        self._newest_seen = max(self._newest_seen, *versions)
        return failure is None

    async def _list_part(self, part: str) -> int:
        """Reads one part and returns the store's version at that moment.

        Raises:
            StoreUnavailableError: no answer, or one older than what is known already.
        """
        page = await read_all(self._store, self._table, part)
        if page.version < self._newest_seen:
            raise StoreUnavailableError(f"the listing of {self._table} is out of date")
        found = {row.key for row in page.rows}
        for row in page.rows:
            self._take(row)
        gone = [
            row
            for key, row in self.rows.items()
            if key.part == part and key not in found and row.version <= page.version
        ]
        for row in gone:
            self._take(Row(row.key, b"", page.version, removed=True))
        return page.version

    def _take(self, row: Row) -> None:
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
