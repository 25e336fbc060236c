"""Stores the output of a batch's running items now and then, so that another owner can go on.

Owns what was stored of each item last. `partial_outputs.py` writes the rows.
"""

from collections.abc import Iterable

from larkpost.common.ids import BatchId
from larkpost.gateway.rollouts.model import ItemId
from larkpost.gateway.rollouts.progress import Progress
from larkpost.gateway.rollouts.repository import BatchRepository

SAVE_INTERVAL_SECONDS = 0.4
"""Between two times at which the output of running items is stored: less than the second that a
step has to spare. When it was longer, the death of an owner cost up to 1 s of output."""
MIN_NEW_EVENTS = 4
"""An item's output is stored again once it has grown by this many events."""


class OutputSaver:
    """Stores the output of one batch's items."""

    def __init__(self, batch: BatchId, repository: BatchRepository) -> None:
        self._batch = batch
        self._repository = repository
        self._saved_events: dict[ItemId, int] = {}
        self._saved_whole: set[ItemId] = set()

    async def save(self, running: Iterable[Progress], minimum: int) -> None:
        """Stores outputs that are whole or have grown by ``minimum`` events or more.

        What is not certainly stored is tried again with the next call.
        """
        grown = [progress for progress in running if self._has_grown(progress, minimum)]
        if not grown:
            return
        counts = {progress.item.id: len(progress.events) for progress in grown}
        whole = {progress.item.id for progress in grown if progress.whole}
        if await self._repository.keep_partials(self._batch, grown):
            self._saved_events |= counts
            self._saved_whole |= whole

    def _has_grown(self, progress: Progress, minimum: int) -> bool:
        """Returns whether an output is worth storing once more."""
        if progress.whole and progress.item.id not in self._saved_whole:
            return True
        return len(progress.events) - self._saved_events.get(progress.item.id, 0) >= minimum
