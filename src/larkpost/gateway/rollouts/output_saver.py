"""Periodically stores the outputs of running items, so that another owner can continue them.

`partial_outputs.py` writes the rows.
"""

from collections.abc import Iterable

from larkpost.common.ids import BatchId
from larkpost.gateway.rollouts.model import ItemId
from larkpost.gateway.rollouts.progress import Progress
from larkpost.gateway.rollouts.repository import BatchRepository

SAVE_INTERVAL_SECONDS = 0.4
"""Interval at which the outputs of running items are stored; bounds the output that is lost when an
owner dies. Less than the second that a training step has to spare."""
MIN_NEW_EVENTS = 4
"""Number of new events after which an item's output is stored again."""


class OutputSaver:
    """Stores the outputs of one batch's items."""

    def __init__(self, batch: BatchId, repository: BatchRepository) -> None:
        self._batch = batch
        self._repository = repository
        self._saved_events: dict[ItemId, int] = {}
        self._saved_complete: set[ItemId] = set()

    async def save(self, running: Iterable[Progress], minimum: int) -> None:
        """Stores outputs that became complete or have grown by at least ``minimum`` events.

        Outputs that were not certainly stored are retried by the next call.
        """
        grown = [progress for progress in running if self._has_grown(progress, minimum)]
        if not grown:
            return
        counts = {progress.item.id: len(progress.events) for progress in grown}
        complete = {progress.item.id for progress in grown if progress.whole}
        if await self._repository.keep_partials(self._batch, grown):
            self._saved_events |= counts
            self._saved_complete |= complete

    def _has_grown(self, progress: Progress, minimum: int) -> bool:
        """Returns whether an output should be stored again."""
        if progress.whole and progress.item.id not in self._saved_complete:
            return True
        return len(progress.events) - self._saved_events.get(progress.item.id, 0) >= minimum
