"""Looks after batches: runs those this daemon owns, claims those whose owner is dead.

The head of a batch names its owner. A daemon whose name it bears runs the batch. If the owner is
held dead, the daemon that rendezvous hashing names writes its own name there, on condition of the
head's version. Two daemons may run one batch for a moment: that costs work, and the conditional
appends keep the list of results right.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.common.ids import BatchId, DaemonId, RegionId
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.blackboard.weight_targets import ModelDemand
from larkpost.gateway.controllers.members import Membership
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.model import BatchHead, BatchSpec, Item
from larkpost.gateway.rollouts.owned import OwnedBatch
from larkpost.gateway.rollouts.repository import BatchRepository, head_of_row
from larkpost.gateway.rollouts.view import BatchView, ViewCache
from larkpost.gateway.store.port import Row, StoreUnavailableError

INTERVAL_SECONDS = 0.1
IDLE_INTERVAL_SECONDS = 0.5
CLAIM_PAUSE_SECONDS = 0.5
REMOVAL_INTERVAL_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class _KnownHead:
    """A head as last read.

    Attributes:
        owner_since: steady time at which this daemon learnt who the owner is.
    """

    head: BatchHead
    version: int
    owner_since: float


class BatchKeeper:
    """The batches that this daemon knows, and those it runs.

    Args:
        retention: seconds after its acceptance for which a batch is kept; read at each use.
    """

    def __init__(
        self,
        repository: BatchRepository,
        membership: Membership,
        services: RunServices,
        views: ViewCache,
        retention: Callable[[], float],
    ) -> None:
        self._repository = repository
        self._membership = membership
        self._services = services
        self._views = views
        self._retention = retention
        self._clock: Clock = services.clock
        self._log: EventLog = services.log
        self._heads: dict[BatchId, _KnownHead] = {}
        self._owned: dict[BatchId, OwnedBatch] = {}
        self._complete: set[BatchId] = set()
        self._claimed_at: dict[BatchId, float] = {}
        self._claims: set[asyncio.Task] = set()
        self._leaving = False

    def start(self, tasks: TaskSet) -> None:
        """Starts looking after batches."""
        tasks.every(self._interval, self.update, "batches")
        tasks.every(REMOVAL_INTERVAL_SECONDS, self.remove_old, "batch_removal")

    def _interval(self) -> float:
        """Returns the seconds between two looks: a daemon that may claim nothing looks seldom."""
        active = bool(self._owned) or self._membership.is_coordinator()
        return INTERVAL_SECONDS if active else IDLE_INTERVAL_SECONDS

    def take_head(self, row: Row) -> None:
        """Takes news of a batch's head."""
        batch = BatchId(row.key.key)
        if row.removed:
            self._heads.pop(batch, None)
            self._views.forget(batch)
            self._complete.discard(batch)
            return
        known = self._heads.get(batch)
        if known is not None and row.version <= known.version:
            return
        head = head_of_row(row)
        same_owner = known is not None and known.head.owner == head.owner
        owner_since = known.owner_since if same_owner else self._clock.now()
        self._heads[batch] = _KnownHead(head, row.version, owner_since)

    def head(self, batch: BatchId) -> BatchHead | None:
        """Returns the head of a batch, if it is known."""
        known = self._heads.get(batch)
        return known.head if known is not None else None

    def is_owner(self) -> bool:
        """Tells whether this daemon runs batches, or is named as the owner of one not ended."""
        own = self._membership.own
        named = (known.head for known in self._heads.values())
        return bool(self._owned) or any(head.owner == own and not head.ended for head in named)

    def open_owners(self) -> set[DaemonId]:
        """Returns the daemons that run batches now, as far as is known here; maybe this one."""
        owners = {known.head.owner for known in self._heads.values() if not known.head.ended}
        return owners | ({self._membership.own} if self._owned else set())

    def owned(self) -> list[OwnedBatch]:
        """Returns the batches that this daemon runs."""
        return list(self._owned.values())

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

    async def own_accepted(self, spec: BatchSpec, upload: str) -> None:
        """Starts an accepted batch at once if it is this daemon's, without waiting for the feed."""
        try:
            head, _ = await asyncio.gather(
                self._repository.head(spec.id), self._membership.refresh()
            )
        except StoreUnavailableError:
            return  # the feed will tell of the head
        if head is None or head.upload != upload or self._leaving or spec.id in self._owned:
            return
        if head.ended or spec.id in self._complete:
            return
        self._own(head, spec.items, fresh=True)

    def finish(self, batch: BatchId) -> None:
        """Stops running a batch that is complete or ended."""
        self._release(batch)
        self._complete.add(batch)

    async def update(self) -> None:
        """Starts, claims and releases batches as the view of the fleet demands."""
        for batch, known in list(self._heads.items()):
            self._look_after(batch, known)
        for batch, owned in list(self._owned.items()):
            if owned.complete:
                self.finish(batch)
        self._views.bound(set(self._owned))

    async def hand_over(self) -> None:
        """Gives all owned batches to other daemons, with what their items have made so far."""
        self._leaving = True
        await asyncio.gather(*(self._hand_over(batch) for batch in list(self._owned)))

    async def remove_old(self) -> None:
        """Removes batches whose time of keeping is over; one daemon does it for each."""
        now = self._services.store_time()
        if now is None:
            return
        for known in list(self._heads.values()):
            if now - known.head.created_at < self._retention():
                continue
            if self._successor(known.head) == self._membership.own:
                try:
                    await self._repository.remove(known.head)
                except StoreUnavailableError:
                    return  # tried again after the next interval

    def _look_after(self, batch: BatchId, known: _KnownHead) -> None:
        head = known.head
        mine = head.owner == self._membership.own and not self._leaving
        if head.ended or batch in self._complete or (batch in self._owned and not mine):
            self._release(batch)
            return
        if mine:
            if batch not in self._owned:
                self._own(head, None, fresh=False)
            return
        if self._should_claim(batch, known):
            self._claimed_at[batch] = self._clock.now()
            task = asyncio.create_task(self._claim(known, self._membership.own))
            self._claims.add(task)
            task.add_done_callback(self._claims.discard)

    def _should_claim(self, batch: BatchId, known: _KnownHead) -> bool:
        membership = self._membership
        if self._leaving or not membership.listed or not membership.is_coordinator():
            return False
        if membership.is_owner_alive(known.head.owner, known.owner_since):
            return False
        if self._clock.now() - self._claimed_at.get(batch, float("-inf")) < CLAIM_PAUSE_SECONDS:
            return False
        return self._successor(known.head) == membership.own

    def _successor(self, head: BatchHead) -> DaemonId | None:
        """Returns the daemon that is to claim a batch; None if none may.

        Who runs or removes a batch reads its items, so it must be where they may be served.
        """
        return self._membership.first_choice(head.id, self._homes(head))

    def _homes(self, head: BatchHead) -> frozenset[RegionId] | None:
        """Returns the only regions in which a batch may be served; None for all."""
        configuration = self._services.configuration.current
        if configuration is None:
            return frozenset()
        return configuration.homes_at(head.tenant, head.host, head.path.encode("latin-1"))

    async def _claim(self, known: _KnownHead, owner: DaemonId) -> None:
        """Writes an owner into a head; if another change came first, learns the head as it is."""
        batch = known.head.id
        done = await self._repository.claim(known.head, known.version, owner)
        outcome = "done" if done else "failed"
        self._services.metrics.count(Count.CLAIMS, outcome)
        self._log.record(
            Event.BATCH_CLAIMED,
            batch=batch,
            owner=known.head.owner,
            successor=owner,
            outcome=outcome,
        )
        try:
            row = await self._repository.head_row(batch)
        except StoreUnavailableError:
            return  # the feed will tell what the head is
        if row is not None:
            self.take_head(row)

    def _own(self, head: BatchHead, items: tuple[Item, ...] | None, *, fresh: bool) -> None:
        view: BatchView = self._views.get_or_add(head)
        owned = OwnedBatch(head, view, self._repository, self._services)
        self._owned[head.id] = owned
        self._log.record(Event.BATCH_OWNED, batch=head.id, fresh=fresh)
        owned.start(items, fresh)

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
        successor = self._successor(known.head) if known is not None else None
        if known is None or successor is None or known.head.ended:
            return
        await self._claim(known, successor)
        known = self._heads.get(batch)
        if known is not None and known.head.owner == self._membership.own:
            await self._claim(known, successor)
