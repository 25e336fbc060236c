"""How urgent the items of a batch are to an engine: the longest first, as a step waits for them.

Engines admit more urgent requests first, and put less urgent ones off when their memory runs out.
Priorities of tenants and routes come before lengths. An item that has shown itself long is urgent
whatever its trainer guessed.

Owns the limits between long and short items of one batch, which follow from all its items.
"""

import math
from collections.abc import Sequence

from larkpost.gateway.rollouts.model import Item
from larkpost.gateway.rollouts.progress import Progress

HIGHEST_PRIORITY = 0
LOWEST_PRIORITY = 9
"""The ranks that an engine distinguishes; requests without one have the middle of them."""
LENGTH_CLASSES = 3
"""Ranks within one priority: long, middling and short items."""
LONG_SHARE = 0.15
"""Share of a batch's items that count as long: about one in ten is several times the others."""
LOW_MEMORY_FRACTION = 0.5
"""Share of them that count as short."""


class EnginePriorities:
    """Ranks the items of one batch."""

    def __init__(self, items: Sequence[Item]) -> None:
        works = sorted((item.expected_work for item in items), reverse=True)
        self._long_threshold = _quantile(works, LONG_SHARE)
        self._short_threshold = _quantile(works, 1 - LOW_MEMORY_FRACTION)

    def engine_priority(self, progress: Progress, priority: int, *, yields: bool = False) -> int:
        """Returns the rank that an engine is sent, from 0, the most urgent, to 9.

        Args:
            priority: of the item's tenant or route, 0 highest.
            yields: whether the batch comes after other models' batches of the same priority, as it
                has time to spare or can't be in time.
        """
        length_class = self._length_class(progress)
        if yields:
            length_class = min(length_class + 1, LENGTH_CLASSES - 1)
        engine_priority = priority * LENGTH_CLASSES + length_class
        return max(HIGHEST_PRIORITY, min(LOWEST_PRIORITY, engine_priority))

    def _length_class(self, progress: Progress) -> int:
        """Returns 0 for a long item, 2 for a short one."""
        work = progress.item.expected_work
        if progress.is_long or work >= self._long_threshold:
            return 0
        return 1 if work > self._short_threshold else 2


def _quantile(works: list[int], share: float) -> float:
    """Returns the work that a share of the items, sorted by falling work, reaches."""
    if not works:
        return math.inf
    return works[min(len(works) - 1, int(len(works) * share))]
