"""An in-memory store with the platform's semantics and injectable faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.gateway.store.port import (
    ABSENT,
    HistoryLostError,
    Row,
    RowKey,
    RowPage,
    StoreUnavailableError,
    Transaction,
    WriteOutcome,
    WriteResult,
)

POLL_SECONDS = 0.01
PAGE_ROWS = 500


@dataclass(slots=True)
class StoreFaults:
    """The current faults of the store; probabilities are between 0 and 1.

    Attributes:
        down: calls time out and have no effect.
        refuses: every call is refused at once.
        lost_answers: probability that a write is applied but times out.
        late_writes: probability that a write times out and is applied later.
        late_seconds: delay of late writes.
        slow_seconds: delay added to every response.
        parts_down: parts for which every call is refused.
    """

    down: bool = False
    refuses: bool = False
    lost_answers: float = 0.0
    late_writes: float = 0.0
    late_seconds: float = 2.0
    slow_seconds: float = 0.0
    parts_down: frozenset[str] = frozenset()


class MemoryStore:
    """The rows, the change feed and the faults of a store, shared by many `StoreClient`s."""

    def __init__(self, clock: Clock, rng: random.Random | None = None) -> None:
        self.clock = clock
        self.rng = rng or random.Random(0)
        self.faults = StoreFaults()
        self.rows: dict[RowKey, Row] = {}
        self.written_at: dict[RowKey, float] = {}
        self.version = 0
        self.history: list[Row] = []
        self.oldest_change = 0
        self.late: list[tuple[float, Transaction]] = []
        self.writes = 0
        self.watchers: list[Callable[[Transaction], None]] = []

    def apply(self, transaction: Transaction) -> WriteResult:
        """Applies a transaction at once."""
        self.apply_late_writes()
        return self._apply(transaction)

    def apply_late_writes(self) -> None:
        """Applies the late writes that are due."""
        now = self.clock.now()
        due = [entry for entry in self.late if entry[0] <= now]
        self.late = [entry for entry in self.late if entry[0] > now]
        for _, transaction in due:
            self._apply(transaction)

    def forget_history(self) -> None:
        """Drops all changes from the feed."""
        self.history.clear()
        self.oldest_change = self.version

    def _apply(self, transaction: Transaction) -> WriteResult:
        for key, version in transaction.conditions:
            row = self.rows.get(key)
            if (row.version if row is not None else ABSENT) != version:
                found = tuple(
                    self.rows[key] for key, _ in transaction.conditions if key in self.rows
                )
                return WriteResult(WriteOutcome.CONFLICT, rows=found)
        self.version += 1
        self.writes += 1
        for key, value in transaction.puts:
            self.rows[key] = Row(key, value, self.version)
            self.written_at[key] = self.clock.now()
            self.history.append(self.rows[key])
        for key in transaction.removals:
            self.written_at.pop(key, None)
            if self.rows.pop(key, None) is not None:
                self.history.append(Row(key, b"", self.version, removed=True))
        for watcher in self.watchers:
            watcher(transaction)
        return WriteResult(WriteOutcome.DONE, self.version)


class StoreClient:
    """One daemon's client of a `MemoryStore`; implements `larkpost.gateway.store.port.Store`.

    Attributes:
        ahead: seconds by which its estimate of the store's clock is ahead; an error that it knows.
        cut_off: whether this client cannot reach the store.
        refused: whether the store refuses this client's calls.
    """

    row_bytes = 65536

    def __init__(self, store: MemoryStore, answer_seconds: float = 0.004) -> None:
        self._store = store
        self._answer_seconds = answer_seconds
        self.ahead = 0.0
        self.cut_off = False
        self.refused = False

    async def close(self) -> None:
        """Does nothing: there are no connections."""

    def time(self) -> float:
        """Returns the store's clock, as this client estimates it."""
        return self._store.clock.now() + self.ahead

    def time_error(self) -> float:
        """Returns the maximum error of that estimate in seconds."""
        return abs(self.ahead)

    async def write(self, transaction: Transaction, timeout: float) -> WriteResult:
        """Applies a transaction; see `Store.write`."""
        store = self._store
        faults = store.faults
        if await self._has_timed_out(timeout):
            return WriteResult(WriteOutcome.UNKNOWN)
        if self._is_refused({key.part for key, _ in transaction.puts}):
            return WriteResult(WriteOutcome.NOT_DONE)
        draw = store.rng.random()
        if draw < faults.late_writes:
            store.late.append((store.clock.now() + faults.late_seconds, transaction))
            await store.clock.sleep(timeout)
            return WriteResult(WriteOutcome.UNKNOWN)
        result = store.apply(transaction)
        if draw < faults.late_writes + faults.lost_answers:
            await store.clock.sleep(timeout)
            return WriteResult(WriteOutcome.UNKNOWN)
        return result

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 0
    ) -> RowPage:
        """Reads rows of a part; see `Store.read`."""
        if await self._has_timed_out(1.5) or self._is_refused({part}):
            raise StoreUnavailableError("the store is unreachable or refuses the call")
        store = self._store
        store.apply_late_writes()
        found = [
            store.rows[key]
            for key in sorted(store.rows)
            if key.table == table
            and key.part == part
            and key.key >= first
            and (not end or key.key < end)
        ]
        size = limit or PAGE_ROWS
        return RowPage(tuple(found[:size]), len(found) > size, store.version)

    async def changes(self, table: str, after: int, wait: float) -> RowPage:
        """Returns the changes of a table; see `Store.changes`."""
        if await self._has_timed_out(wait + 1.5) or self._is_refused(set()):
            raise StoreUnavailableError("the store is unreachable or refuses the call")
        store = self._store
        deadline = store.clock.now() + wait
        while True:
            store.apply_late_writes()
            if after < store.oldest_change:
                raise HistoryLostError(
                    f"the feed has no changes between {after} and {store.oldest_change}"
                )
            rows = tuple(
                row for row in store.history if row.key.table == table and row.version > after
            )
            if rows or store.clock.now() >= deadline:
                return RowPage(rows, False, store.version)
            await store.clock.sleep(POLL_SECONDS)

    async def _has_timed_out(self, timeout: float) -> bool:
        faults = self._store.faults
        if faults.down or self.cut_off:
            await self._store.clock.sleep(timeout)
            return True
        delay = self._answer_seconds + faults.slow_seconds
        await self._store.clock.sleep(min(delay, timeout))
        return delay >= timeout

    def _is_refused(self, parts: set[str]) -> bool:
        faults = self._store.faults
        return self.refused or faults.refuses or bool(parts & faults.parts_down)
