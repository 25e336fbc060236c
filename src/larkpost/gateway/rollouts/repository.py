"""Batches in the store.

`store/batch_tables.py` names the tables and the partitions of their rows. A batch exists once its
head does. An append succeeds only if the tail's version is unchanged, so that two daemons which run
the same batch never list two results at one position. `acceptance.py` writes new batches, and
`partial_outputs.py` the outputs of running items.
"""

from dataclasses import dataclass, replace
from enum import StrEnum

from larkpost.common.clock import Clock
from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.blackboard.tenants import Caller
from larkpost.gateway.rollouts import codec
from larkpost.gateway.rollouts.acceptance import AcceptOutcome, BatchAcceptance
from larkpost.gateway.rollouts.batch_rows import (
    MAX_TRANSACTION_BYTES,
    MAX_TRANSACTION_ROWS,
    WRITE_TIMEOUT_SECONDS,
    BatchRows,
    RowPut,
    batch_key,
    head_of_row,
    prefix_end,
)
from larkpost.gateway.rollouts.model import (
    BatchHead,
    BatchSpec,
    Item,
    ItemId,
    Result,
    Tail,
    make_early_end,
)
from larkpost.gateway.rollouts.partial_outputs import PartialOutputs
from larkpost.gateway.rollouts.progress import Progress
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
    Store,
    Transaction,
    WriteOutcome,
    WriteResult,
    read_all,
)


class EndOutcome(StrEnum):
    """Outcome of a call to end a batch."""

    ENDED = "ended"
    ENDED_EARLY = "ended_early"  # before it was accepted, if it was ever submitted
    UNKNOWN_BATCH = "unknown_batch"  # it is not the caller's
    UNCERTAIN = "uncertain"  # it may have been ended, or may still be
    TOO_MANY = "too_many"  # not recorded, as many other ids were ended before


@dataclass(frozen=True, slots=True)
class EndRequest:
    """A call to end a batch.

    Attributes:
        ended_by: the daemon that was called.
        may_end_early: whether a batch that does not exist may be ended.
    """

    batch: BatchId
    caller: Caller
    ended_by: DaemonId
    may_end_early: bool = True


class BatchRepository:
    """Reads and writes batches in the store."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._rows = BatchRows(store)
        self._acceptance = BatchAcceptance(store, clock, self._rows)
        self._partials = PartialOutputs(store, self._rows)

    async def accept(
        self, spec: BatchSpec, owner: DaemonId, upload: str, seconds: float
    ) -> AcceptOutcome:
        """Stores a batch durably and exactly once; see `BatchAcceptance.accept`.

        Args:
            upload: unique name of this submission, which the keys of its item rows contain.
            seconds: how long to keep trying.
        """
        return await self._acceptance.accept(spec, owner, upload, seconds)

    async def head(self, batch: BatchId) -> BatchHead | None:
        """Returns the head of a batch; None if there is no such batch.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        row = await self.head_row(batch)
        return head_of_row(row) if row is not None else None

    async def head_row(self, batch: BatchId) -> Row | None:
        """Returns the row of a batch's head; None if there is no such batch.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        return await self._row(HEAD_TABLE, batch)

    async def tail(self, batch: BatchId) -> Tail | None:
        """Returns the tail of a batch; None if there is no such batch.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        row = await self._row(TAIL_TABLE, batch)
        return codec.decode_tail(row.value, row.version) if row is not None else None

    async def is_complete(self, head: BatchHead) -> bool:
        """Returns whether all items of a batch are listed, so that nothing of it runs any more.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        tail = await self.tail(head.id)
        return tail is None or tail.count >= head.total

    async def items(self, head: BatchHead) -> tuple[Item, ...]:
        """Returns the items of a batch.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        prefix = f"{head.id}/{head.upload}"
        page = await read_all(
            self._store,
            ITEM_TABLE,
            part_of(head.id),
            f"{prefix}/",
            prefix_end(prefix),
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
            prefix_end(batch),
        )
        chunks: dict[str, list[bytes]] = {}
        for row in page.rows:
            chunks.setdefault(row.key.key.rpartition("/")[0], []).append(row.value)
        return [codec.decode_result(b"".join(parts)) for parts in chunks.values()]

    async def append(
        self, batch: BatchId, tail: Tail, results: list[Result]
    ) -> tuple[WriteResult, Tail, int]:
        """Appends as many results as fit in one transaction, if the tail's version is unchanged.

        Returns:
            The outcome; the new tail, valid only if the outcome is "done"; the number of results
            in the transaction.
        """
        puts, taken = self._result_rows(batch, tail.count, results)
        key = batch_key(TAIL_TABLE, batch)
        new_tail = replace(tail, count=tail.count + taken)
        puts.append((key, codec.encode_tail(new_tail)))
        change = Transaction(conditions=((key, tail.version),), puts=tuple(puts))
        result = await self._store.write(change, WRITE_TIMEOUT_SECONDS)
        return result, replace(new_tail, version=result.version), taken

    def _result_rows(
        self, batch: BatchId, position: int, results: list[Result]
    ) -> tuple[list[RowPut], int]:
        """Returns the rows of results from a position on, and how many results fit.

        The first result is always included, so that the store rejects a result that is too large
        for any transaction.
        """
        puts: list[RowPut] = []
        size = 0
        taken = 0
        for result in results:
            chunks = self._rows.split_content(codec.encode_result(result))
            added = sum(len(chunk) for chunk in chunks)
            over = size + added > MAX_TRANSACTION_BYTES
            if taken and (over or len(puts) + len(chunks) > MAX_TRANSACTION_ROWS):
                break
            prefix = f"/{position + taken:08d}"
            puts.extend(
                (batch_key(RESULT_TABLE, batch, f"{prefix}/{number:04d}"), chunk)
                for number, chunk in enumerate(chunks)
            )
            size += added
            taken += 1
        return puts, taken

    async def end(self, request: EndRequest, seconds: float) -> EndOutcome:
        """Marks a batch as ended, so that no more results are appended.

        A batch that does not exist may be accepted later, by a write that is still under way. An
        ended head keeps it from that.

        Args:
            seconds: how long to keep trying.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        deadline = self._clock.now() + seconds
        while True:
            head = await self.head(request.batch)
            if head is not None and not request.caller.can_read(head.tenant):
                return EndOutcome.UNKNOWN_BATCH
            if head is not None and head.ended:
                return EndOutcome.ENDED
            if head is None and not request.may_end_early:
                return EndOutcome.TOO_MANY
            outcome = await (self._end_early(request) if head is None else self._end_accepted(head))
            if outcome is not None:
                return outcome
            if self._clock.now() >= deadline:
                return EndOutcome.UNCERTAIN

    async def _end_early(self, request: EndRequest) -> EndOutcome | None:
        """Ends a batch that does not exist; None if that is not known to have taken effect."""
        ended_at = self._store.time()
        if ended_at is None:
            return None
        head = make_early_end(request.batch, request.caller.tenant, request.ended_by, ended_at)
        key = batch_key(HEAD_TABLE, request.batch)
        change = Transaction(conditions=((key, ABSENT),), puts=((key, codec.encode_head(head)),))
        result = await self._store.write(change, WRITE_TIMEOUT_SECONDS)
        return EndOutcome.ENDED_EARLY if result.outcome is WriteOutcome.DONE else None

    async def _end_accepted(self, head: BatchHead) -> EndOutcome | None:
        """Ends a batch that exists; None if that is not known to have taken effect."""
        tail = await self.tail(head.id)
        if tail is None:
            return None  # it has just been removed
        head_key = batch_key(HEAD_TABLE, head.id)
        tail_key = batch_key(TAIL_TABLE, head.id)
        change = Transaction(
            conditions=((tail_key, tail.version),),
            puts=(
                (head_key, codec.encode_head(replace(head, ended=True))),
                (tail_key, codec.encode_tail(replace(tail, ended=True))),
            ),
        )
        result = await self._store.write(change, WRITE_TIMEOUT_SECONDS)
        return EndOutcome.ENDED if result.outcome is WriteOutcome.DONE else None

    async def claim(self, head: BatchHead, version: int, owner: DaemonId) -> bool:
        """Makes a daemon the owner of a batch, if the head's version is unchanged.

        Returns:
            Whether the write certainly took effect.
        """
        key = batch_key(HEAD_TABLE, head.id)
        value = codec.encode_head(replace(head, owner=owner))
        change = Transaction(conditions=((key, version),), puts=((key, value),))
        result = await self._store.write(change, WRITE_TIMEOUT_SECONDS)
        return result.outcome is WriteOutcome.DONE

    async def keep_partials(self, batch: BatchId, partials: list[Progress]) -> bool:
        """Stores partial outputs, so that another daemon can continue from them.

        Returns:
            Whether all of them are stored; a failure is harmless.
        """
        return await self._partials.save(batch, partials)

    async def partials(self, batch: BatchId, items: tuple[Item, ...]) -> dict[ItemId, Progress]:
        """Returns the stored partial outputs of a batch's items.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        return await self._partials.load(batch, items)

    async def remove(self, head: BatchHead, version: int) -> None:
        """Removes all rows of a batch, the head last, if the head's version is unchanged.

        The condition keeps a removal that is done late from the rows of a new batch of the same id.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        part = part_of(head.id)
        head_key = batch_key(HEAD_TABLE, head.id)
        conditions = ((head_key, version),)
        timeout = WRITE_TIMEOUT_SECONDS
        last = prefix_end(head.id)
        for table in (PARTIAL_TABLE, RESULT_TABLE, ITEM_TABLE):
            page = await read_all(self._store, table, part, f"{head.id}/", last)
            keys = [row.key for row in page.rows]
            for start in range(0, len(keys), MAX_TRANSACTION_ROWS):
                chosen = tuple(keys[start : start + MAX_TRANSACTION_ROWS])
                await self._store.write(Transaction(conditions, removals=chosen), timeout)
        removals = (batch_key(TAIL_TABLE, head.id), head_key)
        await self._store.write(Transaction(conditions, removals=removals), timeout)

    async def _row(self, table: str, batch: BatchId) -> Row | None:
        page = await self._store.read(table, part_of(batch), batch, f"{batch}\x00")
        return page.rows[0] if page.rows else None
