"""Priorities that are sent to engines with the items of a batch.

Engines admit requests of higher priority first, and preempt those of lower priority when their
memory runs out. The priority of the tenant or route comes first; within it, longer items come
first, as the training step waits for them. An item whose output is already long counts as long,
whatever its expected length.
"""

import math
from collections.abc import Sequence

from larkpost.gateway.rollouts.model import Item
from larkpost.gateway.rollouts.progress import Progress

HIGHEST_PRIORITY = 0
LOWEST_PRIORITY = 9
"""Range of priorities of an engine; a request without one gets the middle of the range."""
LENGTH_CLASSES = 3
"""Number of length classes within one priority: long, medium and short items."""
LONG_SHARE = 0.15
"""Fraction of a batch's items that count as long."""
SHORT_SHARE = 0.5
"""Fraction of a batch's items that count as short."""


class EnginePriorities:
    """Computes the engine priorities of the items of one batch.

    The limits between long, medium and short items are quantiles of all its items.
    """

    def __init__(self, items: Sequence[Item]) -> None:
        works = sorted((item.expected_work for item in items), reverse=True)
        self._long_threshold = _quantile(works, LONG_SHARE)
        self._short_threshold = _quantile(works, 1 - SHORT_SHARE)

    def engine_priority(self, progress: Progress, priority: int, *, yields: bool = False) -> int:
        """Returns the priority to send to an engine, from 0, the highest, to 9.

        Args:
            priority: priority of the item's tenant or route, 0 highest.
            yields: whether the batch ranks below other models' batches of the same priority,
                because it has time to spare or cannot meet its deadline.
        """
        length_class = self._length_class(progress)
        if yields:
            length_class = min(length_class + 1, LENGTH_CLASSES - 1)
        engine_priority = priority * LENGTH_CLASSES + length_class
        return max(HIGHEST_PRIORITY, min(LOWEST_PRIORITY, engine_priority))

    def _length_class(self, progress: Progress) -> int:
        """Returns 0 for a long item, 1 for a medium one, 2 for a short one."""
        work = progress.item.expected_work
        if progress.is_long or work >= self._long_threshold:
            return 0
        return 1 if work > self._short_threshold else 2


def _quantile(works: list[int], share: float) -> float:
    """Returns the work at a quantile of the items, given in descending order of work."""
    if not works:
        return math.inf
    return works[min(len(works) - 1, int(len(works) * share))]
