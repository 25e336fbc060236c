"""Names of the tables and parts (partitions) that hold batches.

`gateway/rollouts/` writes the rows. All rows of a batch are in one part, selected by a hash of the
batch id:

    batches        <id>                       the batch head, followed by every daemon
    batches        <content>/<instance>       a server crash, in a separate part
    batch_items    <id>/<upload>/<piece>      the items, split into pieces
    batch_tails    <id>                       the number of results, and whether the batch has ended
    batch_results  <id>/<position>/<piece>    one result
    batch_partials <id>/<item>/<piece>        partial output of a running item
"""

from larkpost.common.hashing import hash64
from larkpost.common.ids import BatchId

HEAD_TABLE = "batches"
ITEM_TABLE = "batch_items"
TAIL_TABLE = "batch_tails"
RESULT_TABLE = "batch_results"
PARTIAL_TABLE = "batch_partials"
PARTS = tuple(f"b{number}" for number in range(8))
"""Parts of each table. The number must not change while batches are stored: it determines which
part a batch is in."""
CRASH_PART = "crashes"
"""Part of the head table that holds server crashes; every daemon follows that table."""


def part_of(batch: BatchId) -> str:
    """Returns the part that holds a batch's rows."""
    return PARTS[hash64(batch) % len(PARTS)]
