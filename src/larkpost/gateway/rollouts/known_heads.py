"""The heads of batches as this daemon last read them: who owns which batch, what models must do.

Owns the heads of all batches that are stored, as the feed of the head table brings them.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.blackboard.weight_targets import ModelDemand
from larkpost.gateway.rollouts.batch_rows import head_of_row
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.store.port import Row

FRESH_SECONDS = 1.0
"""A batch accepted longer ago is not news: this daemon has just started, or was cut off."""


@dataclass(frozen=True, slots=True)
class KnownHead:
    """A head as last read.

    Attributes:
        version: of its row.
        owner_since: steady time at which this daemon learnt who the owner is.
        asked_after: seconds between the naming of its model's version and the batch, as this daemon
            learnt of them; None if it did not see both happen.
    """

    head: BatchHead
    version: int
    owner_since: float
    asked_after: float | None = None


class KnownHeads:
    """The heads of all batches that are known.

    Args:
        since_named: returns the seconds since a model's newest version was named; None if this
            daemon did not see it happen.
        age: returns the seconds since a batch was accepted; None if not known.
    """

    def __init__(
        self,
        clock: Clock,
        since_named: Callable[[ModelName], float | None] = lambda _: None,
        age: Callable[[BatchHead], float | None] = lambda _: None,
    ) -> None:
        self._clock = clock
        self._since_named = since_named
        self._age = age
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
        asked_after = known.asked_after if known is not None else self._asked_after(head)
        self._heads[batch] = KnownHead(head, row.version, owner_since, asked_after)

    def _asked_after(self, head: BatchHead) -> float | None:
        """Returns how long after its version a batch that is new here came."""
        age = self._age(head)
        if age is None or age > FRESH_SECONDS:
            return None  # when it came is not known here
        return self._since_named(head.model)

    def forget(self, batch: BatchId) -> None:
        """Drops the head of a batch that is stored no more."""
        self._heads.pop(batch, None)

    def open_owners(self) -> set[DaemonId]:
        """Returns the daemons that own batches which are not ended."""
        return {known.head.owner for known in self._heads.values() if not known.head.ended}

    def demands(self) -> dict[ModelName, ModelDemand]:
        """Returns what the newest batch of each model asks for, and which ones are open."""
        newest: dict[ModelName, KnownHead] = {}
        running = Counter[ModelName]()
        for known in self._heads.values():
            head = known.head
            running[head.model] += not head.ended
            before = newest.get(head.model)
            if before is None or head.created_at > before.head.created_at:
                newest[head.model] = known
        return {model: _demand(known, running[model]) for model, known in newest.items()}


def _demand(newest: KnownHead, running: int) -> ModelDemand:
    """Returns what a model's batches ask for.

    Args:
        running: batches of the model that have not ended.
    """
    head = newest.head
    others = running - (not head.ended)
    return ModelDemand(head.work, running > 0, others > 0, newest.asked_after)
