"""Batches in the store: accepted once, results appended at fixed places, ended once.

`store/batch_tables.py` names the tables and tells where rows lie. A batch is there once its head
is. Each append is made on condition of the tail's version, so two daemons that run the same batch
cost work, but never a second result at a place.
"""

from dataclasses import replace
from enum import StrEnum

from larkpost.common.clock import Clock
from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.rollouts import codec
from larkpost.gateway.rollouts.attempt import Progress
from larkpost.gateway.rollouts.model import BatchHead, BatchSpec, Item, ItemId, Result, Tail
from larkpost.gateway.store.batch_tables import (
    HEAD_TABLE,
    ITEM_TABLE,
    PARTIAL_TABLE,
    RESULT_TABLE,
    TAIL_TABLE,
    part_of,
)
from larkpost.gateway.store.port import (
    ABSENT,
    Row,
    RowKey,
    Store,
    Transaction,
    WriteOutcome,
    WriteResult,
    read_all,
)

MAX_TRANSACTION_BYTES = 600_000
MAX_TRANSACTION_ROWS = 90
MAX_KEPT_BYTES = 300_000
"""Longest output of an item that is kept, some 700 events: one transaction must take it."""
WRITE_TIMEOUT_SECONDS = 1.5
ACCEPT_TIMEOUT_SECONDS = 0.7
"""First time limit of the write that accepts a batch; doubled after each silence."""
ACCEPT_TIMEOUT_FACTOR = 4.0
"""After an answer, the next write that accepts a batch may take this many times as long."""
RETRY_SECONDS = 0.1
FIRST_AFTER_SLASH = "0"
"""The character after the slash; ends the key range of one batch."""


class AcceptOutcome(StrEnum):
    """What became of a submitted batch."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # certainly not accepted, and it never will be by this call
    UNCERTAIN = "uncertain"  # it may have been accepted, or may be yet
    TAKEN = "taken"  # the id is that of another tenant's batch


class EndOutcome(StrEnum):
    """What became of the wish to end a batch."""

    ENDED = "ended"
    UNKNOWN_BATCH = "unknown_batch"
    UNCERTAIN = "uncertain"


def head_of_row(row: Row) -> BatchHead:
    """Reads a row of the head table."""
    return codec.decode_head(BatchId(row.key.key), row.value)


def _is_of_another(spec: BatchSpec, rows: tuple[Row, ...]) -> bool:
    """Tells whether the rows hold the head of a batch of this id that is another tenant's."""
    heads = [head_of_row(row) for row in rows if row.key.table == HEAD_TABLE and row.value]
    return any(head.id == spec.id and head.tenant != spec.tenant for head in heads)


class BatchRepository:
    """Reads and writes batches."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._piece_bytes = store.row_bytes * 3 // 4
        self._accept_timeout = ACCEPT_TIMEOUT_SECONDS

    async def accept(
        self, spec: BatchSpec, owner: DaemonId, upload: str, patience: float
    ) -> AcceptOutcome:
        """Keeps a batch for good, once.

        The same transaction is repeated after a lost answer: its condition lets it take effect
        only once, and a conflict tells that the batch is there.

        Args:
            upload: a name for the item rows that no other call uses.
            patience: seconds to go on trying.
        """
        give_up_at = self._clock.now() + patience
        pieces = codec.split(codec.encode_items(spec.items), self._piece_bytes)
        rows = [
            (self._key(ITEM_TABLE, spec.id, f"/{upload}/{number:06d}"), piece)
            for number, piece in enumerate(pieces)
        ]
        uploaded = self._fits(rows)
        uncertain = False
        while True:
            outcome = WriteOutcome.DONE if uploaded else await self._upload([[row] for row in rows])
            if outcome is WriteOutcome.DONE:
                uploaded = True
                commit = self._accept_transaction(spec, owner, upload, rows)
                result = await self._write_acceptance(commit)
                outcome = result.outcome
                uncertain = uncertain or outcome is WriteOutcome.UNKNOWN
                if outcome is WriteOutcome.CONFLICT and _is_of_another(spec, result.rows):
                    return AcceptOutcome.TAKEN
            if outcome in (WriteOutcome.DONE, WriteOutcome.CONFLICT):
                return AcceptOutcome.ACCEPTED
            if self._clock.now() + RETRY_SECONDS >= give_up_at:
                return AcceptOutcome.UNCERTAIN if uncertain else AcceptOutcome.REFUSED
            await self._clock.sleep(RETRY_SECONDS)

    async def _write_acceptance(self, change: Transaction) -> WriteResult:
        """Writes a batch's head, and learns how long the store may take for the next one.

        A store that is silent to this daemon alone must not hold a trainer up that another daemon
        could serve; one that is slow to all must be given its time.
        """
        started = self._clock.now()
        result = await self._store.write(change, self._accept_timeout)
        if result.outcome is WriteOutcome.UNKNOWN:
            wanted = 2 * self._accept_timeout
        else:
            wanted = ACCEPT_TIMEOUT_FACTOR * (self._clock.now() - started)
        self._accept_timeout = min(WRITE_TIMEOUT_SECONDS, max(ACCEPT_TIMEOUT_SECONDS, wanted))
        return result

    async def head(self, batch: BatchId) -> BatchHead | None:
        """Returns a batch's head, or None if there is no such batch.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        row = await self.head_row(batch)
        return head_of_row(row) if row is not None else None

    async def head_row(self, batch: BatchId) -> Row | None:
        """Returns the row of a batch's head, or None if there is no such batch.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        return await self._row(HEAD_TABLE, batch)

    async def tail(self, batch: BatchId) -> Tail | None:
        """Returns a batch's tail, or None if there is no such batch.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        row = await self._row(TAIL_TABLE, batch)
        return codec.decode_tail(row.value, row.version) if row is not None else None

    async def items(self, head: BatchHead) -> tuple[Item, ...]:
        """Returns a batch's items.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        prefix = f"{head.id}/{head.upload}"
        page = await read_all(
            self._store,
            ITEM_TABLE,
            part_of(head.id),
            f"{prefix}/",
            f"{prefix}{FIRST_AFTER_SLASH}",
        )
        return codec.decode_items(b"".join(row.value for row in page.rows))

    async def results(self, batch: BatchId, position: int) -> list[Result]:
        """Returns the results from a position on.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        page = await read_all(
            self._store,
            RESULT_TABLE,
            part_of(batch),
            f"{batch}/{position:08d}/",
            f"{batch}{FIRST_AFTER_SLASH}",
        )
        pieces: dict[str, list[bytes]] = {}
        for row in page.rows:
            pieces.setdefault(row.key.key.rpartition("/")[0], []).append(row.value)
        return [codec.decode_result(b"".join(parts)) for parts in pieces.values()]

    async def append(
        self, batch: BatchId, tail: Tail, results: list[Result]
    ) -> tuple[WriteResult, Tail, int]:
        """Appends as many of the results as fit in one transaction, on condition of the tail.

        Returns:
            The outcome; the tail as it is if the outcome is "done"; how many results were taken.
        """
        puts: list[tuple[RowKey, bytes]] = []
        size = 0
        taken = 0
        for result in results:
            pieces = codec.split(codec.encode_result(result), self._piece_bytes)
            added = sum(len(piece) for piece in pieces)
            over = size + added > MAX_TRANSACTION_BYTES
            if taken and (over or len(puts) + len(pieces) > MAX_TRANSACTION_ROWS):
                break
            position = tail.count + taken
            puts.extend(
                (self._key(RESULT_TABLE, batch, f"/{position:08d}/{number:04d}"), piece)
                for number, piece in enumerate(pieces)
            )
            size += added
            taken += 1
        key = self._key(TAIL_TABLE, batch)
        new_tail = replace(tail, count=tail.count + taken)
        puts.append((key, codec.encode_tail(new_tail)))
        change = Transaction(conditions=((key, tail.version),), puts=tuple(puts))
        result = await self._store.write(change, WRITE_TIMEOUT_SECONDS)
        return result, replace(new_tail, version=result.version), taken

    async def end(self, batch: BatchId, patience: float) -> EndOutcome:
        """Marks a batch as ended, so that nothing is appended any more.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        give_up_at = self._clock.now() + patience
        while True:
            head = await self.head(batch)
            tail = await self.tail(batch)
            if head is None or tail is None:
                return EndOutcome.UNKNOWN_BATCH
            if tail.ended:
                return EndOutcome.ENDED
            head_key = self._key(HEAD_TABLE, batch)
            tail_key = self._key(TAIL_TABLE, batch)
            change = Transaction(
                conditions=((tail_key, tail.version),),
                puts=(
                    (head_key, codec.encode_head(replace(head, ended=True))),
                    (tail_key, codec.encode_tail(replace(tail, ended=True))),
                ),
            )
            result = await self._store.write(change, WRITE_TIMEOUT_SECONDS)
            if result.outcome is WriteOutcome.DONE:
                return EndOutcome.ENDED
            if self._clock.now() >= give_up_at:
                return EndOutcome.UNCERTAIN

    async def claim(self, head: BatchHead, version: int, owner: DaemonId) -> bool:
        """Makes a daemon the owner of a batch, on condition of the head's version."""
        key = self._key(HEAD_TABLE, head.id)
        value = codec.encode_head(replace(head, owner=owner))
        change = Transaction(conditions=((key, version),), puts=((key, value),))
        result = await self._store.write(change, WRITE_TIMEOUT_SECONDS)
        return result.outcome is WriteOutcome.DONE

    async def keep_partials(self, batch: BatchId, partials: list[Progress]) -> bool:
        """Keeps output so far, so that another daemon can go on from it.

        Returns:
            Whether all of it is kept; a failure is harmless.
        """
        groups = [self._partial_rows(batch, progress) for progress in partials]
        return await self._upload(groups) is WriteOutcome.DONE

    def _partial_rows(self, batch: BatchId, progress: Progress) -> list[tuple[RowKey, bytes]]:
        content = codec.encode_progress(progress, MAX_KEPT_BYTES)
        return [
            (self._key(PARTIAL_TABLE, batch, f"/{progress.item.id}/{number:02d}"), piece)
            for number, piece in enumerate(codec.split_rewritten(content, self._piece_bytes))
        ]

    async def partials(self, batch: BatchId, items: tuple[Item, ...]) -> dict[ItemId, Progress]:
        """Returns the kept output of a batch's items.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        last = f"{batch}{FIRST_AFTER_SLASH}"
        page = await read_all(self._store, PARTIAL_TABLE, part_of(batch), f"{batch}/", last)
        pieces: dict[str, list[bytes]] = {}
        for row in page.rows:
            item_id = row.key.key.partition("/")[2].rpartition("/")[0]
            pieces.setdefault(item_id, []).append(row.value)
        return {
            item.id: codec.decode_progress(item, codec.join_rewritten(pieces[item.id]))
            for item in items
            if item.id in pieces
        }

    async def remove(self, head: BatchHead) -> None:
        """Removes all rows of a batch, the head last.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        part = part_of(head.id)
        last = f"{head.id}{FIRST_AFTER_SLASH}"
        for table in (PARTIAL_TABLE, RESULT_TABLE, ITEM_TABLE):
            page = await read_all(self._store, table, part, f"{head.id}/", last)
            keys = [row.key for row in page.rows]
            for start in range(0, len(keys), MAX_TRANSACTION_ROWS):
                chosen = tuple(keys[start : start + MAX_TRANSACTION_ROWS])
                await self._store.write(Transaction(removals=chosen), WRITE_TIMEOUT_SECONDS)
        removals = (self._key(TAIL_TABLE, head.id), self._key(HEAD_TABLE, head.id))
        await self._store.write(Transaction(removals=removals), WRITE_TIMEOUT_SECONDS)

    def _accept_transaction(
        self,
        spec: BatchSpec,
        owner: DaemonId,
        upload: str,
        rows: list[tuple[RowKey, bytes]],
    ) -> Transaction:
        head = BatchHead(
            id=spec.id,
            host=spec.host,
            path=spec.path,
            model=spec.model,
            step=spec.step,
            minimum_version=spec.minimum_version,
            desired_groups=spec.desired_groups,
            total=len(spec.items),
            owner=owner,
            created_at=self._store.time() or 0.0,
            ended=False,
            upload=upload,
            work=sum(item.expected_work for item in spec.items),
            tenant=spec.tenant,
            group_size=spec.group_size,
        )
        head_key = self._key(HEAD_TABLE, spec.id)
        tail_key = self._key(TAIL_TABLE, spec.id)
        puts = [
            (head_key, codec.encode_head(head)),
            (tail_key, codec.encode_tail(Tail(0, False, 0))),
        ]
        if self._fits(rows):
            puts.extend(rows)
        return Transaction(conditions=((head_key, ABSENT),), puts=tuple(puts))

    async def _upload(self, groups: list[list[tuple[RowKey, bytes]]]) -> WriteOutcome:
        """Writes groups of rows, as many at once as fit, the rows of a group always together."""
        left = list(groups)
        while left:
            rows = left.pop(0)
            while left and self._fits(rows + left[0]):
                rows = rows + left.pop(0)
            change = Transaction(puts=tuple(rows))
            outcome = (await self._store.write(change, WRITE_TIMEOUT_SECONDS)).outcome
            if outcome is not WriteOutcome.DONE:
                return outcome if outcome is not WriteOutcome.CONFLICT else WriteOutcome.NOT_DONE
        return WriteOutcome.DONE

    @staticmethod
    def _fits(rows: list[tuple[RowKey, bytes]]) -> bool:
        size = sum(len(value) for _, value in rows)
        return size <= MAX_TRANSACTION_BYTES and len(rows) <= MAX_TRANSACTION_ROWS

    async def _row(self, table: str, batch: BatchId) -> Row | None:
        page = await self._store.read(table, part_of(batch), batch, f"{batch}\x00")
        return page.rows[0] if page.rows else None

    @staticmethod
    def _key(table: str, batch: BatchId, rest: str = "") -> RowKey:
        return RowKey(table, part_of(batch), f"{batch}{rest}")
