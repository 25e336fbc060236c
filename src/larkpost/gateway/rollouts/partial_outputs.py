"""Stored partial outputs of running items, from which another owner can continue.

Losing one is harmless, as the item resumes from what is stored. Rows are overwritten as outputs
grow; a shorter output leaves the last rows of a longer one in place.
"""

from larkpost.common.ids import BatchId
from larkpost.gateway.rollouts import codec
from larkpost.gateway.rollouts.batch_rows import BatchRows, RowPut, batch_key, prefix_end
from larkpost.gateway.rollouts.model import Item, ItemId
from larkpost.gateway.rollouts.progress import Progress
from larkpost.gateway.store.batch_tables import PARTIAL_TABLE, part_of
from larkpost.gateway.store.port import Store, WriteOutcome, read_all

MAX_STORED_BYTES = 300_000
"""Maximum bytes that are stored of an item's output, which must fit in one transaction."""


class PartialOutputs:
    """Stores and reads partial outputs."""

    def __init__(self, store: Store, rows: BatchRows) -> None:
        self._store = store
        self._rows = rows

    async def save(self, batch: BatchId, partials: list[Progress]) -> bool:
        """Stores partial outputs and returns whether all of them are stored."""
        groups = [self._rows_of(batch, progress) for progress in partials]
        return await self._rows.write(groups) is WriteOutcome.DONE

    async def load(self, batch: BatchId, items: tuple[Item, ...]) -> dict[ItemId, Progress]:
        """Returns the stored partial outputs of a batch's items.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        page = await read_all(
            self._store, PARTIAL_TABLE, part_of(batch), f"{batch}/", prefix_end(batch)
        )
        chunks: dict[str, list[bytes]] = {}
        for row in page.rows:
            item_id = row.key.key.partition("/")[2].rpartition("/")[0]
            chunks.setdefault(item_id, []).append(row.value)
        return {
            item.id: codec.decode_progress(item, codec.join_rewritten(chunks[item.id]))
            for item in items
            if item.id in chunks
        }

    def _rows_of(self, batch: BatchId, progress: Progress) -> list[RowPut]:
        content = codec.encode_progress(progress, MAX_STORED_BYTES)
        chunks = codec.split_rewritten(content, self._rows.chunk_bytes)
        return [
            (batch_key(PARTIAL_TABLE, batch, f"/{progress.item.id}/{number:02d}"), chunk)
            for number, chunk in enumerate(chunks)
        ]
