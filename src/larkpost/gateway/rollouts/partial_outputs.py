"""Output so far of the items that run, stored for another owner to go on from.

Owns nothing; a loss is harmless, as an item runs anew from what is stored. Rows are overwritten as
outputs grow, and a shorter output does not remove the last rows of a longer one.
"""

from larkpost.common.ids import BatchId
from larkpost.gateway.rollouts import codec
from larkpost.gateway.rollouts.batch_rows import BatchRows, RowPut, batch_key, prefix_end
from larkpost.gateway.rollouts.model import Item, ItemId
from larkpost.gateway.rollouts.progress import Progress
from larkpost.gateway.store.batch_tables import PARTIAL_TABLE, part_of
from larkpost.gateway.store.port import Store, WriteOutcome, read_all

MAX_STORED_BYTES = 300_000
"""Longest output of an item that is stored, some 700 events: one transaction must take it."""


class PartialOutputs:
    """Stores and reads partial outputs."""

    def __init__(self, store: Store, rows: BatchRows) -> None:
        self._store = store
        self._rows = rows

    async def save(self, batch: BatchId, partials: list[Progress]) -> bool:
        """Stores output so far, and returns whether all of it is stored."""
        groups = [self._rows_of(batch, progress) for progress in partials]
        return await self._rows.write(groups) is WriteOutcome.DONE

    async def load(self, batch: BatchId, items: tuple[Item, ...]) -> dict[ItemId, Progress]:
        """Returns the stored output of a batch's items.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        page = await read_all(
            self._store, PARTIAL_TABLE, part_of(batch), f"{batch}/", prefix_end(batch)
        )
        pieces: dict[str, list[bytes]] = {}
        for row in page.rows:
            item_id = row.key.key.partition("/")[2].rpartition("/")[0]
            pieces.setdefault(item_id, []).append(row.value)
        return {
            item.id: codec.decode_progress(item, codec.join_rewritten(pieces[item.id]))
            for item in items
            if item.id in pieces
        }

    def _rows_of(self, batch: BatchId, progress: Progress) -> list[RowPut]:
        content = codec.encode_progress(progress, MAX_STORED_BYTES)
        pieces = codec.split_rewritten(content, self._rows.chunk_bytes)
        return [
            (batch_key(PARTIAL_TABLE, batch, f"/{progress.item.id}/{number:02d}"), piece)
            for number, piece in enumerate(pieces)
        ]
