"""Cached result lists of the batches that were recently read or run at this daemon.

Positions in a result list never change, so a cached list only grows.
"""

import asyncio
from collections import Counter
from collections.abc import Iterable

from larkpost.common.ids import BatchId
from larkpost.gateway.memory.budget import MemoryBudget, MemoryPurpose
from larkpost.gateway.rollouts.model import BatchHead, GroupId, Item, ItemId, Result

MAX_CACHE_BYTES = 24_000_000
"""Maximum bytes of texts and bodies in the views of batches that are not run here."""
IDLE_BUDGET_DIVISOR = 8
"""The views of batches that are not run here use at most the memory limit divided by this, if there
is a memory limit."""


class BatchView:
    """The known results of a batch, starting with the first.

    Attributes:
        items: items of the batch by id; None if not loaded.
        size: bytes of texts and bodies, without object overhead.
        confirmed_at: latest steady time at which the list held all results in the store.
        used_at: steady time of the last use, for eviction.
    """

    def __init__(self, head: BatchHead) -> None:
        self.head = head
        self.results: list[Result] = []
        self._group_counts: Counter[GroupId | None] = Counter()
        self.items: dict[ItemId, Item] | None = None
        self.size = 0
        self.confirmed_at = float("-inf")
        self.used_at = float("-inf")
        self._changed = asyncio.Event()

    def add(self, position: int, results: list[Result]) -> None:
        """Adds results that the store holds from a position on.

        Known results are skipped, and all are ignored if there is a gap before the position.
        """
        known = len(self.results)
        if position > known:
            return
        new = results[known - position :]
        if new:
            self.results.extend(new)
            self.size += sum(len(result.text) for result in new)
            self._group_counts.update(result.group for result in new)
            self._changed.set()
            self._changed = asyncio.Event()

    def set_items(self, items: Iterable[Item]) -> dict[ItemId, Item]:
        """Sets the items of the batch, and returns them by id."""
        if self.items is not None:
            self.size -= sum(len(item.body) for item in self.items.values())
        self.items = {item.id: item for item in items}
        self.size += sum(len(item.body) for item in self.items.values())
        return self.items

    def has_enough_groups(self) -> bool:
        """Returns whether enough groups are complete for the trainer's step."""
        size = self.head.group_size
        complete_groups = sum(count >= size for group, count in self._group_counts.items() if group)
        return bool(size) and complete_groups >= self.head.desired_groups

    def confirm(self, at: float) -> None:
        """Records that the list held all results in the store at a steady time."""
        self.confirmed_at = max(self.confirmed_at, at)

    async def wait_for_change(self, timeout: float) -> None:
        """Waits until the list has grown, at most ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._changed.wait()
        except TimeoutError:
            return  # the reader polls the store


class ViewCache:
    """Views of one daemon, bounded in memory; evicted ones are read again when needed.

    Args:
        budget: memory budget that counts the bytes of the views.
    """

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        self._budget = budget if budget is not None else MemoryBudget()
        self._views: dict[BatchId, BatchView] = {}

    def get(self, batch: BatchId) -> BatchView | None:
        """Returns the view of a batch; None if there is none."""
        return self._views.get(batch)

    def get_or_add(self, head: BatchHead) -> BatchView:
        """Returns the view of a batch, creating it if there is none."""
        return self._views.setdefault(head.id, BatchView(head))

    def forget(self, batch: BatchId) -> None:
        """Drops the view of a batch."""
        self._views.pop(batch, None)

    def evict_idle(self, in_use: set[BatchId], outputs: int = 0) -> None:
        """Evicts the least recently used views that are not in use, down to the limit.

        Also reports the bytes of all batches to the memory budget.

        Args:
            in_use: batches whose views are kept.
            outputs: bytes of unlisted output of the batches in use.
        """
        idle = [batch for batch in self._views if batch not in in_use]
        size = sum(self._views[batch].size for batch in idle)
        max_bytes = self._max_idle_bytes()
        for batch in sorted(idle, key=lambda name: self._views[name].used_at):
            if size <= max_bytes:
                break
            size -= self._views[batch].size
            del self._views[batch]
        held = sum(view.size for view in self._views.values())
        self._budget.set_held(MemoryPurpose.BATCHES, held + outputs)

    def _max_idle_bytes(self) -> int:
        limit = self._budget.limit
        return (
            MAX_CACHE_BYTES if limit is None else min(MAX_CACHE_BYTES, limit // IDLE_BUDGET_DIVISOR)
        )
