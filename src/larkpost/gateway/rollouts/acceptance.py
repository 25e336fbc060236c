"""Accepts batches durably and exactly once.

The items are written first, then the head and the tail. A batch exists once its head does; the head
is written only if there is none with the same id, so also not if the batch was ended before. The
timeout of this write adapts to the response times of the store.
"""

from dataclasses import dataclass
from enum import StrEnum

from larkpost.common.clock import Clock
from larkpost.common.ids import DaemonId
from larkpost.gateway.rollouts import codec
from larkpost.gateway.rollouts.batch_rows import (
    WRITE_TIMEOUT_SECONDS,
    BatchRows,
    RowPut,
    batch_key,
    fits_transaction,
    head_of_row,
)
from larkpost.gateway.rollouts.model import BatchHead, BatchSpec, Tail
from larkpost.gateway.store.batch_tables import HEAD_TABLE, ITEM_TABLE, TAIL_TABLE
from larkpost.gateway.store.port import (
    ABSENT,
    Row,
    Store,
    Transaction,
    WriteOutcome,
    WriteResult,
)

ACCEPT_TIMEOUT_SECONDS = 0.7
"""Initial and minimum timeout of the write that accepts a batch; doubled after each timeout."""
ACCEPT_TIMEOUT_FACTOR = 4.0
"""Timeout of the next accepting write as a multiple of the last response time."""
RETRY_SECONDS = 0.1
"""Pause before a write is retried."""


class AcceptOutcome(StrEnum):
    """Outcome of a submission."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # certainly not accepted
    UNCERTAIN = "uncertain"  # may have been accepted, or may still be
    TAKEN = "taken"  # another tenant has a batch with this id
    ENDED = "ended"  # certainly not accepted, as it was ended before


@dataclass(slots=True)
class _Submission:
    """A batch that is being written to the store.

    Attributes:
        upload: unique name of this submission, which the keys of its item rows contain.
        rows: the item rows.
        is_uploaded: whether the item rows are stored, or fit in the transaction of the head.
        is_uncertain: whether a write of the head had no response.
    """

    spec: BatchSpec
    owner: DaemonId
    upload: str
    rows: list[RowPut]
    is_uploaded: bool
    is_uncertain: bool = False


class BatchAcceptance:
    """Writes submitted batches to the store."""

    def __init__(self, store: Store, clock: Clock, rows: BatchRows) -> None:
        self._store = store
        self._clock = clock
        self._rows = rows
        self._timeout = ACCEPT_TIMEOUT_SECONDS

    async def accept(
        self, spec: BatchSpec, owner: DaemonId, upload: str, seconds: float
    ) -> AcceptOutcome:
        """Stores a batch durably and exactly once.

        Repeats the same transaction after a lost response. Its condition lets it take effect only
        once, and a conflict means that the batch exists.

        Args:
            upload: unique name of this submission, which the keys of its item rows contain.
            seconds: how long to keep trying.
        """
        deadline = self._clock.now() + seconds
        rows = self._item_rows(spec, upload)
        submission = _Submission(spec, owner, upload, rows, is_uploaded=fits_transaction(rows))
        while True:
            outcome = await self._attempt(submission)
            if outcome is not None:
                return outcome
            if self._clock.now() + RETRY_SECONDS >= deadline:
                is_uncertain = submission.is_uncertain
                return AcceptOutcome.UNCERTAIN if is_uncertain else AcceptOutcome.REFUSED
            await self._clock.sleep(RETRY_SECONDS)

    async def _attempt(self, submission: _Submission) -> AcceptOutcome | None:
        """Makes one attempt to write the batch; None if it has to be repeated."""
        if not submission.is_uploaded:
            outcome = await self._rows.write([[row] for row in submission.rows])
            if outcome is not WriteOutcome.DONE:
                return None
            submission.is_uploaded = True
        result = await self._write(self._transaction(submission))
        if result.outcome is WriteOutcome.UNKNOWN:
            submission.is_uncertain = True
        if result.outcome is WriteOutcome.CONFLICT:
            return _outcome_of_conflict(submission.spec, result.rows)
        return AcceptOutcome.ACCEPTED if result.outcome is WriteOutcome.DONE else None

    async def _write(self, change: Transaction) -> WriteResult:
        """Writes the head of a batch and adapts the timeout of the next such write.

        The timeout is short when the store is fast, so that a trainer can soon turn to another
        daemon if only this one cannot reach the store. It is longer when the store is slow.
        """
        started = self._clock.now()
        result = await self._store.write(change, self._timeout)
        if result.outcome is WriteOutcome.UNKNOWN:
            next_timeout = 2 * self._timeout
        else:
            next_timeout = ACCEPT_TIMEOUT_FACTOR * (self._clock.now() - started)
        self._timeout = min(WRITE_TIMEOUT_SECONDS, max(ACCEPT_TIMEOUT_SECONDS, next_timeout))
        return result

    def _item_rows(self, spec: BatchSpec, upload: str) -> list[RowPut]:
        chunks = self._rows.split_content(codec.encode_items(spec.items))
        return [
            (batch_key(ITEM_TABLE, spec.id, f"/{upload}/{number:06d}"), chunk)
            for number, chunk in enumerate(chunks)
        ]

    def _transaction(self, submission: _Submission) -> Transaction:
        """Returns the transaction that writes the head, an empty tail and, if they fit, items."""
        batch = submission.spec.id
        head_key = batch_key(HEAD_TABLE, batch)
        tail_key = batch_key(TAIL_TABLE, batch)
        puts = [
            (head_key, codec.encode_head(self._head(submission))),
            (tail_key, codec.encode_tail(Tail(0, False, 0))),
        ]
        if fits_transaction(submission.rows):
            puts.extend(submission.rows)
        return Transaction(conditions=((head_key, ABSENT),), puts=tuple(puts))

    def _head(self, submission: _Submission) -> BatchHead:
        spec = submission.spec
        return BatchHead(
            id=spec.id,
            host=spec.host,
            path=spec.path,
            model=spec.model,
            step=spec.step,
            minimum_version=spec.minimum_version,
            desired_groups=spec.desired_groups,
            total=len(spec.items),
            owner=submission.owner,
            created_at=(self._store.time() or 0.0) + self._store.time_error(),
            ended=False,
            upload=submission.upload,
            work=sum(item.expected_work for item in spec.items),
            tenant=spec.tenant,
            group_size=spec.group_size,
        )


def _outcome_of_conflict(spec: BatchSpec, rows: tuple[Row, ...]) -> AcceptOutcome:
    """Returns the outcome of a submission under whose id the store holds a head already.

    Args:
        rows: the rows that the store returned with the conflict.
    """
    heads = [head_of_row(row) for row in rows if row.key.table == HEAD_TABLE and row.value]
    head = next((head for head in heads if head.id == spec.id), None)
    if head is None:
        return AcceptOutcome.ACCEPTED
    if head.tenant != spec.tenant:
        return AcceptOutcome.TAKEN
    return AcceptOutcome.ACCEPTED if head.is_accepted else AcceptOutcome.ENDED
