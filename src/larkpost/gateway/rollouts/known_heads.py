"""The heads of batches as this daemon last read them: who owns which batch, what models must do.

Owns the heads of all batches that are stored, as the feed of the head table brings them.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.blackboard.weight_targets import ModelDemand
from larkpost.gateway.rollouts.batch_rows import head_of_row
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.store.port import Row


@dataclass(frozen=True, slots=True)
class KnownHead:
    """A head as last read.

    Attributes:
        version: of its row.
        owner_since: steady time at which this daemon learnt who the owner is.
    """

    head: BatchHead
    version: int
    owner_since: float


class KnownHeads:
    """The heads of all batches that are known."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heads: dict[BatchId, KnownHead] = {}

    def __iter__(self) -> Iterator[KnownHead]:
        return iter(list(self._heads.values()))

    def get(self, batch: BatchId) -> KnownHead | None:
        """Returns what is known of a batch's head."""
        return self._heads.get(batch)

    def record(self, row: Row) -> None:
        """Records a head's row unless a newer one is known."""
        batch = BatchId(row.key.key)
        known = self._heads.get(batch)
        if known is not None and row.version <= known.version:
            return
        head = head_of_row(row)
        same_owner = known is not None and known.head.owner == head.owner
        owner_since = known.owner_since if same_owner else self._clock.now()
        self._heads[batch] = KnownHead(head, row.version, owner_since)

    def forget(self, batch: BatchId) -> None:
        """Drops the head of a batch that is stored no more."""
        self._heads.pop(batch, None)

    def open_owners(self) -> set[DaemonId]:
        """Returns the daemons that own batches which are not ended."""
        return {known.head.owner for known in self._heads.values() if not known.head.ended}

    def demands(self) -> dict[ModelName, ModelDemand]:
        """Returns what the newest batch of each model asks for, and whether one is open."""
        newest: dict[ModelName, BatchHead] = {}
        running: set[ModelName] = set()
        for known in self._heads.values():
            head = known.head
            if not head.ended:
                running.add(head.model)
            before = newest.get(head.model)
            if before is None or head.created_at > before.created_at:
                newest[head.model] = head
        return {model: ModelDemand(head.work, model in running) for model, head in newest.items()}
