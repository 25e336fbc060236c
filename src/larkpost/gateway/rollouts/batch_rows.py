"""Keys of the rows of batches, and writes of more rows than one transaction takes.

Owns nothing. `store/batch_tables.py` names the tables, `codec.py` writes the values.
"""

from larkpost.common.ids import BatchId
from larkpost.gateway.rollouts import codec
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.store.batch_tables import part_of
from larkpost.gateway.store.port import Row, RowKey, Store, Transaction, WriteOutcome

MAX_TRANSACTION_BYTES = 600_000
"""Most bytes of values written at once. Below what the store takes."""
MAX_TRANSACTION_ROWS = 90
"""Most rows written at once; a transaction takes a hundred entries."""
WRITE_TIMEOUT_SECONDS = 1.5
"""How long a write may take before its outcome counts as unknown."""
FIRST_AFTER_SLASH = "0"
"""The character after the slash; ends the key range of one batch."""

RowPut = tuple[RowKey, bytes]
"""A row to be written, and its value."""


def batch_key(table: str, batch: BatchId, rest: str = "") -> RowKey:
    """Returns the key of a batch's row.

    Args:
        rest: what follows the batch's id, its slash included.
    """
    return RowKey(table, part_of(batch), f"{batch}{rest}")


def head_of_row(row: Row) -> BatchHead:
    """Reads a row of the head table."""
    return codec.decode_head(BatchId(row.key.key), row.value)


def prefix_end(prefix: str) -> str:
    """Returns the end of the range of the keys that begin with a prefix and a slash."""
    return f"{prefix}{FIRST_AFTER_SLASH}"


def fits_transaction(rows: list[RowPut]) -> bool:
    """Returns whether one transaction takes all rows."""
    size = sum(len(value) for _, value in rows)
    return size <= MAX_TRANSACTION_BYTES and len(rows) <= MAX_TRANSACTION_ROWS


class BatchRows:
    """Writes rows of batches that need no condition."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self.chunk_bytes = store.row_bytes * 3 // 4
        """Most bytes of one row's value; the rest is left to its key and the store's own fields."""

    def split_content(self, content: bytes) -> list[bytes]:
        """Cuts a document into values of rows."""
        return codec.split(content, self.chunk_bytes)

    async def write(self, groups: list[list[RowPut]]) -> WriteOutcome:
        """Writes groups of rows, as many at once as fit, the rows of a group always together."""
        left = list(groups)
        while left:
            rows = left.pop(0)
            while left and fits_transaction(rows + left[0]):
                rows = rows + left.pop(0)
            change = Transaction(puts=tuple(rows))
            outcome = (await self._store.write(change, WRITE_TIMEOUT_SECONDS)).outcome
            if outcome is not WriteOutcome.DONE:
                return outcome if outcome is not WriteOutcome.CONFLICT else WriteOutcome.NOT_DONE
        return WriteOutcome.DONE
