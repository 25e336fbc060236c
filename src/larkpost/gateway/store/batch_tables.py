"""The tables and parts that hold batches, as all modules that read or follow them name them.

Owns the names only; `gateway/rollouts/` writes the rows. Rows of one batch lie in one part, which a
hash of its id names:

    batches        <id>                       the head, followed by every daemon
    batches        <content>/<instance>       a crash of a server, in a part of its own
    batch_items    <id>/<upload>/<piece>      the items, cut into pieces
    batch_tails    <id>                       count of results, and whether the batch is ended
    batch_results  <id>/<position>/<piece>    one result
    batch_partials <id>/<item>/<piece>        output so far of an item that runs
"""

from larkpost.common.hashing import hash64
from larkpost.common.ids import BatchId

HEAD_TABLE = "batches"
ITEM_TABLE = "batch_items"
TAIL_TABLE = "batch_tails"
RESULT_TABLE = "batch_results"
PARTIAL_TABLE = "batch_partials"
PARTS = tuple(f"b{number}" for number in range(8))
"""Parts of each table. The count can't change while batches are stored, as the part of a batch
follows from it."""
CRASH_PART = "crashes"
"""Part of the table of heads that holds crashes of servers: every daemon follows that table."""


def part_of(batch: BatchId) -> str:
    """Returns the part that holds a batch's rows."""
    return PARTS[hash64(batch) % len(PARTS)]
