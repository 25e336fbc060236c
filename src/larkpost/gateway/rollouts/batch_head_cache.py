"""Cache of the heads of all stored batches, updated from the feed of the head table.

Tells who owns which batch, and the demand of each model.
"""

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from statistics import fmean

from larkpost.common.clock import Clock
from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.blackboard.weight_targets import ModelDemand, VersionAnnouncement
from larkpost.gateway.rollouts.batch_rows import head_of_row
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.store.port import Row

DEMAND_BATCHES = 6
"""Number of newest batches over which the expected work of a model is averaged. It varies so much
between single batches that engines would change models with each step."""
MAX_CLOCK_SKEW_SECONDS = 0.2
"""Maximum clock difference: a batch that seems older than a weight version by at most this much
still counts as submitted after the version was announced."""
MAX_NEW_BATCH_AGE_SECONDS = 1.0
"""Age above which a batch does not count as new: this daemon has just started, or lost the feed."""


@dataclass(frozen=True, slots=True)
class CachedBatchHead:
    """A batch head as last read.

    Attributes:
        version: version of the head's row.
        owner_since: steady time at which this daemon first read the current owner.
        submitted_after: the model's newest weight version when the batch was accepted, and how long
            before that it was announced; None if this daemon did not observe both.
    """

    head: BatchHead
    version: int
    owner_since: float
    submitted_after: VersionAnnouncement | None = None


class BatchHeadCache:
    """Heads of all known batches.

    Args:
        last_announcement: returns the last version announcement of a model; None if not observed.
        age: returns the seconds since a batch was accepted; None if unknown.
    """

    def __init__(
        self,
        clock: Clock,
        last_announcement: Callable[[ModelName], VersionAnnouncement | None] = lambda _: None,
        age: Callable[[BatchHead], float | None] = lambda _: None,
    ) -> None:
        self._clock = clock
        self._last_announcement = last_announcement
        self._age = age
        self._heads: dict[BatchId, CachedBatchHead] = {}

    def __iter__(self) -> Iterator[CachedBatchHead]:
        return iter(list(self._heads.values()))

    def get(self, batch: BatchId) -> CachedBatchHead | None:
        """Returns the cached head of a batch; None if there is none."""
        return self._heads.get(batch)

    def record(self, row: Row) -> None:
        """Records the row of a head unless a newer one is known."""
        batch = BatchId(row.key.key)
        cached = self._heads.get(batch)
        if cached is not None and row.version <= cached.version:
            return
        head = head_of_row(row)
        same_owner = cached is not None and cached.head.owner == head.owner
        owner_since = cached.owner_since if same_owner else self._clock.now()
        submitted_after = (
            cached.submitted_after if cached is not None else self._submitted_after(head)
        )
        self._heads[batch] = CachedBatchHead(head, row.version, owner_since, submitted_after)

    def _submitted_after(self, head: BatchHead) -> VersionAnnouncement | None:
        """Returns the last weight version announced before a new batch, and the seconds between."""
        age = self._age(head)
        announcement = self._last_announcement(head.model)
        if announcement is None or age is None or age > MAX_NEW_BATCH_AGE_SECONDS:
            return None
        seconds = announcement.seconds - age  # acceptance time, on which all daemons agree
        if seconds < -MAX_CLOCK_SKEW_SECONDS:
            return None  # the version was announced after the batch
        return VersionAnnouncement(announcement.version, max(0.0, seconds))

    def forget(self, batch: BatchId) -> None:
        """Drops the head of a batch that was removed from the store."""
        self._heads.pop(batch, None)

    def open_owners(self) -> set[DaemonId]:
        """Returns the daemons that own open batches."""
        return {cached.head.owner for cached in self._heads.values() if not cached.head.ended}

    def demands(self) -> dict[ModelName, ModelDemand]:
        """Returns the demand of each model, from its newest and its open batches."""
        batches_by_model: dict[ModelName, list[CachedBatchHead]] = defaultdict(list)
        for cached in self._heads.values():
            if cached.head.is_accepted:
                batches_by_model[cached.head.model].append(cached)
        return {model: _demand(batches) for model, batches in batches_by_model.items()}

    def newest(self) -> list[BatchHead]:
        """Returns the head of each model's newest batch, whether or not it has ended."""
        newest: dict[ModelName, BatchHead] = {}
        for cached in self._heads.values():
            other = newest.get(cached.head.model)
            if not cached.head.is_accepted:
                continue
            if other is None or other.created_at < cached.head.created_at:
                newest[cached.head.model] = cached.head
        return list(newest.values())

    def open(self) -> list[BatchHead]:
        """Returns the heads of the batches that were not ended."""
        return [cached.head for cached in self._heads.values() if not cached.head.ended]


def _demand(batches: list[CachedBatchHead]) -> ModelDemand:
    """Returns the demand of a model from its batches, of which there is at least one."""
    newest_first = heapq.nlargest(
        DEMAND_BATCHES, batches, key=lambda cached: cached.head.created_at
    )
    newest = newest_first[0]
    announcements = [
        cached.submitted_after for cached in newest_first[:2] if cached.submitted_after is not None
    ]
    announcement = newest.submitted_after
    running = [cached for cached in batches if not cached.head.ended]
    return ModelDemand(
        round(fmean(cached.head.work for cached in newest_first)),
        open=bool(running),
        has_earlier_open=any(cached is not newest for cached in running),
        submit_delay=announcement.seconds if announcement is not None else None,
        submit_version=announcement.version if announcement is not None else 0,
        min_submit_delay=min((cached.seconds for cached in announcements), default=None),
    )
