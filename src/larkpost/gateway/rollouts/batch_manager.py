"""Updates batches: runs those this daemon owns, claims those whose owner is dead.

Owns the batches that this daemon runs. `known_heads.py` tells who owns which batch, `claims.py`
who claims one whose owner is dead, `owned.py` runs one.
"""

import asyncio
from collections.abc import Callable

from larkpost.common.clock import Clock
from larkpost.common.ids import BatchId, DaemonId
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.blackboard.daemon_report import BatchProgress
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
from larkpost.gateway.rollouts.view import BatchView, ViewCache
from larkpost.gateway.store.port import Row, StoreUnavailableError

INTERVAL_SECONDS = 0.1
"""Between two checks of all batches at a daemon that owns batches or may claim them."""
IDLE_INTERVAL_SECONDS = 0.5
"""The same at a daemon that may claim nothing."""
REMOVAL_INTERVAL_SECONDS = 5.0
"""Between two checks for batches to remove. Nobody waits for a removal."""
MAX_REPORTED_BATCHES = 16
"""Most batches whose progress a daemon reports, the newest: some 40 bytes a batch and heartbeat."""
RETENTION_SLACK_SECONDS = 60.0
"""For so long after its lifetime a batch is stored still, so that a read which began within it is
answered, whatever the clocks differ by."""


class BatchManager:
    """The batches that this daemon knows, and those it runs.

    Args:
        lifetime: seconds after its acceptance for which a batch is readable; read at each use.
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
        self._heads = BatchHeadCache(services.clock, services.division.last_announcement, self._age)
        self._forecaster = BatchForecaster(
            ForecastInputs(
                services.configuration,
                services.directory,
                services.balancer.service_times.lasting,
                services.clock,
                services.store_time,
            )
        )
        self._claims = BatchClaims(repository, membership, services, self.record_head)
        self._owned: dict[BatchId, OwnedBatch] = {}
        self._completed: set[BatchId] = set()
        self._claim_tasks: set[asyncio.Task] = set()
        self._handing_over = False

    def start(self, tasks: TaskSet) -> None:
        """Starts to update and remove batches, each at its interval."""
        tasks.every(self._interval, self.update, "batches")
        tasks.every(REMOVAL_INTERVAL_SECONDS, self.remove_expired, "batch_removal")

    def _interval(self) -> float:
        """Returns the seconds between two checks: a daemon that may claim nothing checks seldom."""
        active = bool(self._owned) or self._membership.is_coordinator()
        return INTERVAL_SECONDS if active else IDLE_INTERVAL_SECONDS

    def record_head(self, row: Row) -> None:
        """Records news of a batch's head."""
        if row.removed:
            batch = BatchId(row.key.key)
            self._heads.forget(batch)
            self._views.forget(batch)
            self._completed.discard(batch)
        else:
            self._heads.record(row)

    def head(self, batch: BatchId) -> BatchHead | None:
        """Returns the head of a batch, if it is known."""
        known = self._heads.get(batch)
        return known.head if known is not None else None

    def _age(self, head: BatchHead) -> float | None:
        """Returns the seconds since a batch was accepted; None if the store's time is not known."""
        now = self._services.store_time()
        return now - head.created_at if now is not None else None

    def is_owner(self) -> bool:
        """Returns whether this daemon runs batches, or is named as the owner of one not ended."""
        return bool(self._owned) or self._membership.own in self._heads.open_owners()

    def open_owners(self) -> set[DaemonId]:
        """Returns the daemons that run batches now, as far as is known here; maybe this one."""
        return self._heads.open_owners() | ({self._membership.own} if self._owned else set())

    def owned(self) -> list[OwnedBatch]:
        """Returns the batches that this daemon runs."""
        return list(self._owned.values())

    def demands(self) -> dict[ModelName, ModelDemand]:
        """Returns what the batches of each model ask for, with the outlook of those open."""
        demands = self._heads.demands()
        heads = ModelHeads(self._heads.open(), self._heads.newest())
        return self._forecaster.add_forecasts(demands, heads, self.progress())

    def progress(self) -> dict[BatchId, BatchProgress]:
        """Returns how far the batches that this daemon owns are, at most `MAX_REPORTED` of them."""
        newest = list(self._owned.items())[-MAX_REPORTED_BATCHES:]
        known = ((batch, owned.progress()) for batch, owned in newest)
        return {batch: progress for batch, progress in known if progress is not None}

    def record_report(self, daemon: DaemonId, batches: dict[BatchId, BatchProgress]) -> None:
        """Records how far another daemon's batches are, as it reports it."""
        self._forecaster.record_report(daemon, batches)

    async def start_accepted(self, spec: BatchSpec, upload: str) -> None:
        """Starts an accepted batch at once if it is this daemon's, without waiting for the feed."""
        try:
            head, _ = await asyncio.gather(
                self._repository.head(spec.id), self._membership.refresh()
            )
        except StoreUnavailableError:
            return  # the feed will tell of the head
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
        """Starts, claims and releases batches as what is known of them demands."""
        for known in self._heads:
            self._update_batch(known)
        for batch, owned in list(self._owned.items()):
            if owned.complete:
                self.finish(batch)
        self._record_memory_use()

    async def hand_over(self) -> None:
        """Gives all owned batches to other daemons, with what their items have made so far."""
        self._handing_over = True
        await asyncio.gather(*(self._hand_over(batch) for batch in list(self._owned)))

    async def remove_expired(self) -> None:
        """Removes batches whose time of storage is over; one daemon does it for each."""
        now = self._services.store_time()
        if now is None:
            return
        for known in self._heads:
            if now - known.head.created_at < self._lifetime() + RETENTION_SLACK_SECONDS:
                continue
            if self._claims.successor(known.head) == self._membership.own:
                try:
                    await self._repository.remove(known.head)
                except StoreUnavailableError:
                    return  # tried again after the next interval

    def _update_batch(self, known: CachedBatchHead) -> None:
        """Runs, releases or claims a batch, by its owner and whether it is over."""
        head, batch = known.head, known.head.id
        mine = head.owner == self._membership.own and not self._handing_over
        if head.ended or batch in self._completed or (batch in self._owned and not mine):
            self._release(batch)
        elif mine:
            if batch not in self._owned:
                self._start_batch(head, None, fresh=False)
        elif not self._handing_over and self._claims.should_claim(known):
            self._start_claim(known)

    def _start_claim(self, known: CachedBatchHead) -> None:
        self._claims.record_claim(known.head.id)
        task = asyncio.create_task(self._claims.claim(known, self._membership.own))
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
        """Tells the budget what all batches hold, and drops some that are not run here."""
        outputs = sum(owned.output_bytes for owned in self._owned.values())
        self._views.evict_idle(set(self._owned), outputs)

    def _release(self, batch: BatchId) -> None:
        owned = self._owned.pop(batch, None)
        if owned is None:
            return
        owned.stop()
        self._log.record(Event.BATCH_RELEASED, batch=batch, complete=owned.complete)

    async def _hand_over(self, batch: BatchId) -> None:
        owned = self._owned[batch]
        await owned.hand_over()
        self._release(batch)
        known = self._heads.get(batch)
        successor = self._claims.successor(known.head) if known is not None else None
        if known is None or successor is None or known.head.ended:
            return
        await self._claims.claim(known, successor)
        known = self._heads.get(batch)
        if known is not None and known.head.owner == self._membership.own:
            await self._claims.claim(known, successor)
