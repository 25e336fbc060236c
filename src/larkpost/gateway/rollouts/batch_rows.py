"""Keys of batch rows, and writes of more rows than fit in one transaction.

`store/batch_tables.py` names the tables, and `codec.py` encodes the values.
"""

from larkpost.common.ids import BatchId
from larkpost.gateway.rollouts import codec
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.store.batch_tables import part_of
from larkpost.gateway.store.port import Row, RowKey, Store, Transaction, WriteOutcome

MAX_TRANSACTION_BYTES = 600_000
"""Maximum bytes of values in a transaction; below the limit of the store."""
MAX_TRANSACTION_ROWS = 90
"""Maximum rows in a transaction; the store allows 100 entries."""
WRITE_TIMEOUT_SECONDS = 1.5
"""Timeout after which the outcome of a write counts as unknown."""
FIRST_AFTER_SLASH = "0"
"""The character after the slash in key order; ends the key range of a prefix."""

RowPut = tuple[RowKey, bytes]
"""Key and value of a row to write."""


def batch_key(table: str, batch: BatchId, rest: str = "") -> RowKey:
    """Returns the key of a row of a batch.

    Args:
        rest: part of the key after the batch's id, including its leading slash.
    """
    return RowKey(table, part_of(batch), f"{batch}{rest}")


def head_of_row(row: Row) -> BatchHead:
    """Decodes a row of the head table."""
    return codec.decode_head(BatchId(row.key.key), row.value)


def prefix_end(prefix: str) -> str:
    """Returns the exclusive end of the range of keys that begin with a prefix and a slash."""
    return f"{prefix}{FIRST_AFTER_SLASH}"


def fits_transaction(rows: list[RowPut]) -> bool:
    """Returns whether all rows fit in one transaction."""
    size = sum(len(value) for _, value in rows)
    return size <= MAX_TRANSACTION_BYTES and len(rows) <= MAX_TRANSACTION_ROWS


class BatchRows:
    """Writes batch rows without conditions."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self.chunk_bytes = store.row_bytes * 3 // 4
        """Maximum bytes of a row's value; the rest is for its key and the store's own fields."""

    def split_content(self, content: bytes) -> list[bytes]:
        """Splits a document into row values."""
        return codec.split(content, self.chunk_bytes)

    async def write(self, groups: list[list[RowPut]]) -> WriteOutcome:
        """Writes groups of rows, as many groups per transaction as fit, none of them split."""
        remaining = list(groups)
        while remaining:
            rows = remaining.pop(0)
            while remaining and fits_transaction(rows + remaining[0]):
                rows = rows + remaining.pop(0)
            change = Transaction(puts=tuple(rows))
            outcome = (await self._store.write(change, WRITE_TIMEOUT_SECONDS)).outcome
            if outcome is not WriteOutcome.DONE:
                return outcome if outcome is not WriteOutcome.CONFLICT else WriteOutcome.NOT_DONE
        return WriteOutcome.DONE
