"""Runs the batches that this daemon owns, and claims batches whose owner is dead.

`batch_head_cache.py` tells who owns which batch, `claims.py` decides who claims a batch of a dead
owner, and `owned_batch.py` runs a single batch.
"""

import asyncio
from collections.abc import Callable

from larkpost.common.clock import Clock
from larkpost.common.ids import BatchId, DaemonId
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.blackboard.daemon_report import BatchProgress
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.blackboard.weight_targets import ModelDemand
from larkpost.gateway.controllers.membership import Membership
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.rollouts.batch_forecaster import BatchForecaster, ForecastInputs, ModelHeads
from larkpost.gateway.rollouts.batch_head_cache import BatchHeadCache, CachedBatchHead
from larkpost.gateway.rollouts.claims import BatchClaims
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.model import BatchHead, BatchSpec, Item
from larkpost.gateway.rollouts.owned_batch import OwnedBatch
from larkpost.gateway.rollouts.repository import BatchRepository
from larkpost.gateway.rollouts.unowned_batches import UnownedBatchLog
from larkpost.gateway.rollouts.view import BatchView, ViewCache
from larkpost.gateway.store.port import Row, StoreUnavailableError

INTERVAL_SECONDS = 0.1
"""Interval of the checks of all batches at a daemon that owns batches or may claim them."""
IDLE_INTERVAL_SECONDS = 0.5
"""Interval of the checks of all batches at any other daemon."""
REMOVAL_INTERVAL_SECONDS = 5.0
"""Interval of the checks for batches to remove."""
MAX_REPORTED_BATCHES = 16
"""Maximum number of batches whose progress a heartbeat reports; only the newest are reported."""
RETENTION_SLACK_SECONDS = 60.0
"""How long a batch is kept beyond its lifetime, so that a read which began within the lifetime is
answered in spite of clock differences."""


class BatchManager:
    """Manages all batches known to this daemon, and runs those that it owns.

    Args:
        lifetime: returns the seconds after its acceptance for which a batch is readable.
    """

    def __init__(
        self,
        repository: BatchRepository,
        membership: Membership,
        services: RunServices,
        views: ViewCache,
        lifetime: Callable[[], float],
    ) -> None:
        self._repository = repository
        self._membership = membership
        self._services = services
        self._views = views
        self._lifetime = lifetime
        self._clock: Clock = services.clock
        self._log: EventLog = services.log
        self._head_cache = BatchHeadCache(
            services.clock, services.allocator.last_announcement, self._age
        )
        self._forecaster = BatchForecaster(
            ForecastInputs(
                services.configuration,
                services.directory,
                services.balancer.service_times.long_term,
                services.clock,
                services.store_time,
            )
        )
        self._claims = BatchClaims(repository, membership, services, self.record_head)
        self._unowned_batches = UnownedBatchLog(
            self._claims, membership, services.clock, services.log
        )
        self._owned: dict[BatchId, OwnedBatch] = {}
        self._completed: set[BatchId] = set()
        self._complete_since: dict[BatchId, float] = {}
        """Steady times at which expired batches that nobody ended were first seen complete."""
        self._claim_tasks: set[asyncio.Task] = set()
        self._handing_over = False

    def start(self, tasks: TaskSet) -> None:
        """Starts the periodic updates and removals of batches."""
        tasks.every(self._interval, self.update, "batches")
        tasks.every(REMOVAL_INTERVAL_SECONDS, self.remove_expired, "batch_removal")

    def _interval(self) -> float:
        """Returns the current interval of the checks of all batches, in seconds."""
        active = bool(self._owned) or self._membership.is_coordinator()
        return INTERVAL_SECONDS if active else IDLE_INTERVAL_SECONDS

    def record_head(self, row: Row) -> None:
        """Records a changed or removed row of a head."""
        if row.removed:
            batch = BatchId(row.key.key)
            self._head_cache.forget(batch)
            self._views.forget(batch)
            self._completed.discard(batch)
            self._complete_since.pop(batch, None)
            self._unowned_batches.forget(batch)
        else:
            self._head_cache.record(row)

    def head(self, batch: BatchId) -> BatchHead | None:
        """Returns the head of a batch; None if unknown."""
        cached = self._head_cache.get(batch)
        return cached.head if cached is not None else None

    def count_early_ends(self, tenant: TenantName | None) -> int:
        """Returns how many known batches of a tenant were ended before they were accepted."""
        heads = (cached.head for cached in self._head_cache)
        return sum(not head.is_accepted and head.tenant == tenant for head in heads)

    def _age(self, head: BatchHead) -> float | None:
        """Returns the seconds since a batch was accepted; None if the store's time is unknown."""
        now = self._services.store_time()
        return now - head.created_at if now is not None else None

    def is_owner(self) -> bool:
        """Returns whether this daemon runs batches, or is named as the owner of an open one."""
        return bool(self._owned) or self._membership.own in self._head_cache.open_owners()

    def open_owners(self) -> set[DaemonId]:
        """Returns the daemons known to run batches now, including this one if it does."""
        return self._head_cache.open_owners() | ({self._membership.own} if self._owned else set())

    def owned(self) -> list[OwnedBatch]:
        """Returns the batches that this daemon runs."""
        return list(self._owned.values())

    def demands(self) -> dict[ModelName, ModelDemand]:
        """Returns the demand of each model, with the deadline forecasts of its open batches."""
        demands = self._head_cache.demands()
        heads = ModelHeads(self._head_cache.open(), self._head_cache.newest())
        return self._forecaster.add_forecasts(demands, heads, self.progress())

    def progress(self) -> dict[BatchId, BatchProgress]:
        """Returns the progress of up to `MAX_REPORTED_BATCHES` batches that this daemon owns."""
        newest = list(self._owned.items())[-MAX_REPORTED_BATCHES:]
        reports = ((batch, owned.progress()) for batch, owned in newest)
        return {batch: progress for batch, progress in reports if progress is not None}

    def record_report(self, daemon: DaemonId, batches: dict[BatchId, BatchProgress]) -> None:
        """Records the batch progress reported by another daemon."""
        self._forecaster.record_report(daemon, batches)

    async def start_accepted(self, spec: BatchSpec, upload: str) -> None:
        """Starts a batch accepted by this daemon at once, without waiting for the feed.

        Does nothing if the stored batch is that of another submission, with another upload name.
        """
        try:
            head, _ = await asyncio.gather(
                self._repository.head(spec.id), self._membership.refresh()
            )
        except StoreUnavailableError:
            return  # the feed delivers the head
        if head is None or head.upload != upload or self._handing_over or spec.id in self._owned:
            return
        if head.ended or spec.id in self._completed:
            return
        self._start_batch(head, spec.items, fresh=True)
        self._record_memory_use()

    def finish(self, batch: BatchId) -> None:
        """Stops running a batch that is complete or ended."""
        self._release(batch)
        self._completed.add(batch)

    async def update(self) -> None:
        """Starts, claims and releases batches according to their heads."""
        for cached in self._head_cache:
            self._update_batch(cached)
        for batch, owned in list(self._owned.items()):
            if owned.complete:
                self.finish(batch)
        self._record_memory_use()

    async def hand_over(self) -> None:
        """Hands all owned batches over to other daemons, with their partial outputs."""
        self._handing_over = True
        owned = list(self._owned.items())
        await asyncio.gather(*(self._hand_over(batch, work) for batch, work in owned))

    async def remove_expired(self) -> None:
        """Removes expired batches that are not open; each is removed by a single daemon.

        A batch that nobody ended is open until all its items are listed, and is kept for a while
        after that, so that its last results can be read.
        """
        now = self._services.store_time()
        if now is None:
            return
        for cached in self._head_cache:
            if now - cached.head.created_at < self._lifetime() + RETENTION_SLACK_SECONDS:
                continue
            if self._claims.successor(cached.head) == self._membership.own:
                try:
                    if cached.head.ended or await self._had_time_to_read(cached.head):
                        await self._repository.remove(cached.head, cached.version)
                except StoreUnavailableError:
                    return  # retried after the next interval

    async def _had_time_to_read(self, head: BatchHead) -> bool:
        """Returns whether a batch that nobody ended has been complete for as long as one is kept.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        if not await self._repository.is_complete(head):
            return False
        now = self._clock.now()
        return now - self._complete_since.setdefault(head.id, now) >= self._lifetime()

    def _update_batch(self, cached: CachedBatchHead) -> None:
        """Starts, releases or claims a batch, depending on its owner and whether it has ended."""
        head, batch = cached.head, cached.head.id
        is_own = head.owner == self._membership.own
        self._unowned_batches.check(cached)
        if head.ended or batch in self._completed or (batch in self._owned and not is_own):
            self._release(batch)
        elif self._handing_over:
            return  # what is owned is released once it has been handed over
        elif is_own:
            if batch not in self._owned:
                self._start_batch(head, None, fresh=False)
        elif self._claims.should_claim(cached):
            self._start_claim(cached)

    def _start_claim(self, cached: CachedBatchHead) -> None:
        self._claims.record_claim(cached.head.id)
        task = asyncio.create_task(self._claims.claim(cached, self._membership.own))
        self._claim_tasks.add(task)
        task.add_done_callback(self._claim_tasks.discard)

    def _start_batch(self, head: BatchHead, items: tuple[Item, ...] | None, *, fresh: bool) -> None:
        view: BatchView = self._views.get_or_add(head)
        if items is not None:
            view.set_items(items)
        owned = OwnedBatch(head, view, self._repository, self._services)
        self._owned[head.id] = owned
        self._log.record(Event.BATCH_OWNED, batch=head.id, fresh=fresh)
        owned.start(items, fresh)

    def _record_memory_use(self) -> None:
        """Reports the memory of all batches to the budget, and evicts idle views."""
        outputs = sum(owned.output_bytes for owned in self._owned.values())
        self._views.evict_idle(set(self._owned), outputs)

    def _release(self, batch: BatchId) -> None:
        owned = self._owned.pop(batch, None)
        if owned is None:
            return
        owned.stop()
        self._log.record(Event.BATCH_RELEASED, batch=batch, complete=owned.complete)

    async def _hand_over(self, batch: BatchId, owned: OwnedBatch) -> None:
        await owned.hand_over()
        self._release(batch)
        cached = self._head_cache.get(batch)
        successor = self._claims.successor(cached.head) if cached is not None else None
        if cached is None or successor is None or cached.head.ended:
            return
        await self._claims.claim(cached, successor)
        cached = self._head_cache.get(batch)
        if cached is not None and cached.head.owner == self._membership.own:
            await self._claims.claim(cached, successor)
