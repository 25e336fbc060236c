"""The batch service: accepts batches, gives their results, ends them, and runs those it owns."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from larkpost.clock import Clock
from larkpost.errors import LarkpostError, Ran
from larkpost.eventlog import Event, EventLog
from larkpost.fleet.configuration import ModelName
from larkpost.fleet.members import Membership
from larkpost.fleet.weights import ModelDemand
from larkpost.ids import BatchId
from larkpost.metrics import Count
from larkpost.rollouts.model import BatchHead, BatchSpec, Item, ItemId, Result
from larkpost.rollouts.owned import OwnedBatch
from larkpost.rollouts.repository import (
    AcceptOutcome,
    BatchRepository,
    EndOutcome,
    head_of_row,
)
from larkpost.rollouts.run import RunServices
from larkpost.rollouts.view import BatchView
from larkpost.store.port import Row, StoreUnavailableError
from larkpost.tasks import TaskSet

INTERVAL_SECONDS = 0.1
ACCEPT_PATIENCE_SECONDS = 2.5
END_PATIENCE_SECONDS = 2.0
READ_POLL_SECONDS = 0.2
LEAST_WAIT_SECONDS = 0.001
"""A remaining wait below this counts as over."""
FRESH_SECONDS = 0.25
"""A list confirmed this recently is given without asking the store again."""
RETRY_AFTER_SECONDS = 0.5
MAX_PAGE_BYTES = 900_000
MAX_CACHE_BYTES = 24_000_000
CLAIM_PAUSE_SECONDS = 0.5
REMOVAL_INTERVAL_SECONDS = 5.0


class BatchRefusedError(LarkpostError):
    """The batch was certainly not accepted."""

    code = "batch_refused"
    status = 503
    remedy = "Submit the batch again after the time in Retry-After."


class BatchUncertainError(LarkpostError):
    """It is not known whether the batch was accepted, or was ended."""

    code = "batch_uncertain"
    status = 504
    remedy = "Submit or end the batch again, under the same id; it is taken once."


class BatchUnreadableError(LarkpostError):
    """The store does not answer, so this daemon cannot be sure of the batch."""

    code = "batch_unreadable"
    status = 503
    remedy = "Ask again after the time in Retry-After."


class NoSuchBatchError(LarkpostError):
    """There is no such batch or item."""

    code = "no_such_batch"
    status = 404
    remedy = "Check the id; batches are forgotten some time after they were submitted."


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results of a batch from a position on."""

    total: int
    position: int
    results: tuple[Result, ...]


@dataclass(frozen=True, slots=True)
class _KnownHead:
    head: BatchHead
    version: int


class BatchService:
    """All batch calls of one daemon, and the batches it owns.

    Args:
        retention: seconds after its acceptance for which a batch is kept; read at each use.
    """

    def __init__(
        self,
        repository: BatchRepository,
        membership: Membership,
        services: RunServices,
        retention: Callable[[], float],
    ) -> None:
        self._repository = repository
        self._membership = membership
        self._services = services
        self._retention = retention
        self._clock: Clock = services.clock
        self._log: EventLog = services.log
        self._heads: dict[BatchId, _KnownHead] = {}
        self._views: dict[BatchId, BatchView] = {}
        self._owned: dict[BatchId, OwnedBatch] = {}
        self._complete: set[BatchId] = set()
        self._claimed_at: dict[BatchId, float] = {}
        self._claims: set[asyncio.Task] = set()
        self._leaving = False

    def start(self, tasks: TaskSet) -> None:
        """Starts looking after batches."""
        tasks.every(INTERVAL_SECONDS, self.update, "batches")
        tasks.every(REMOVAL_INTERVAL_SECONDS, self.remove_old, "batch_removal")

    def take_head(self, row: Row) -> None:
        """Takes news of a batch's head."""
        batch = BatchId(row.key.key)
        if row.removed:
            self._heads.pop(batch, None)
            self._views.pop(batch, None)
            self._complete.discard(batch)
            return
        self._heads[batch] = _KnownHead(head_of_row(row), row.version)

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

    async def submit(self, spec: BatchSpec) -> None:
        """Accepts a batch; it is kept for good once this returns.

        Raises:
            BatchRefusedError: it was certainly not accepted.
            BatchUncertainError: it may have been accepted.
        """
        if spec.id in self._heads:
            return
        own = self._membership.own
        began = self._clock.now()
        upload = secrets.token_hex(8)
        outcome = await self._repository.accept(spec, own, upload, ACCEPT_PATIENCE_SECONDS)
        if outcome is AcceptOutcome.REFUSED:
            self._services.metrics.count(Count.BATCH_CALLS, "submit", "refused")
            self._log.note(Event.BATCH_REFUSED, batch=spec.id, uncertain=False)
            raise BatchRefusedError("the store refused the batch", retry_after=RETRY_AFTER_SECONDS)
        if outcome is AcceptOutcome.UNCERTAIN:
            self._services.metrics.count(Count.BATCH_CALLS, "submit", "uncertain")
            self._log.note(Event.BATCH_REFUSED, batch=spec.id, uncertain=True)
            raise BatchUncertainError("the store did not answer", ran=Ran.UNKNOWN)
        self._services.metrics.count(Count.BATCH_CALLS, "submit", "accepted")
        self._log.note(
            Event.BATCH_ACCEPTED,
            batch=spec.id,
            items=len(spec.items),
            step=spec.step,
            model=spec.model,
            minimum_version=spec.minimum_version,
            seconds=round(self._clock.now() - began, 3),
        )
        await self._own_accepted(spec, upload)

    async def read(self, batch: BatchId, position: int, wait: float) -> ResultPage:
        """Returns the results from a position on, waiting for one if there is none yet.

        Raises:
            NoSuchBatchError: there is no such batch.
            BatchUnreadableError: the store does not answer.
        """
        view = await self._view(batch)
        give_up_at = self._clock.now() + wait
        while True:
            failed = not await self._refresh(view, position)
            remaining = give_up_at - self._clock.now()
            if len(view.results) > position or len(view.results) >= view.head.total:
                return self._give(view, position, from_memory=failed)
            if remaining < LEAST_WAIT_SECONDS:
                if failed:
                    self._services.metrics.count(Count.BATCH_CALLS, "read", "failed")
                    self._log.note(Event.READ_FAILED, batch=batch, position=position)
                    raise BatchUnreadableError(
                        "the store does not answer", retry_after=RETRY_AFTER_SECONDS
                    )
                return self._give(view, position, from_memory=False)
            await view.wait_for_change(min(READ_POLL_SECONDS, remaining))

    def _give(self, view: BatchView, position: int, *, from_memory: bool) -> ResultPage:
        """Returns a page and notes it, with the age of what was known."""
        page = _page(view, position)
        self._services.metrics.count(Count.BATCH_CALLS, "read", "answered")
        self._log.note(
            Event.BATCH_READ,
            batch=view.head.id,
            position=position,
            results=len(page.results),
            known=len(view.results),
            total=page.total,
            age=round(self._clock.now() - view.confirmed_at, 3),
            store_failed=from_memory,
        )
        return page

    async def body(self, batch: BatchId, item: ItemId) -> bytes:
        """Returns the body of an item.

        Raises:
            NoSuchBatchError: there is no such batch or item.
            BatchUnreadableError: the store does not answer.
        """
        view = await self._view(batch)
        items = view.items
        if items is None:
            try:
                loaded = await self._repository.items(view.head)
            except StoreUnavailableError as error:
                raise BatchUnreadableError(error.message, retry_after=RETRY_AFTER_SECONDS) from None
            items = {entry.id: entry for entry in loaded}
            view.items = items
        found = items.get(item)
        if found is None:
            raise NoSuchBatchError(f"batch {batch} has no item {item}")
        return found.body

    async def end(self, batch: BatchId) -> None:
        """Ends a batch: nothing of it is run or listed any more.

        Raises:
            NoSuchBatchError: there is no such batch.
            BatchUnreadableError: the store does not answer.
            BatchUncertainError: it may have been ended.
        """
        try:
            outcome = await self._repository.end(batch, END_PATIENCE_SECONDS)
        except StoreUnavailableError as error:
            raise BatchUnreadableError(error.message, retry_after=RETRY_AFTER_SECONDS) from None
        if outcome is EndOutcome.UNKNOWN_BATCH:
            raise NoSuchBatchError(f"there is no batch {batch}")
        if outcome is EndOutcome.UNCERTAIN:
            raise BatchUncertainError("the store did not answer", ran=Ran.UNKNOWN)
        self._services.metrics.count(Count.BATCH_CALLS, "end", "done")
        self._log.note(Event.BATCH_ENDED, batch=batch)
        self._release(batch)
        self._complete.add(batch)

    async def update(self) -> None:
        """Starts, claims and releases batches as the view of the fleet demands."""
        for batch, known in list(self._heads.items()):
            self._look_after(batch, known)
        for batch, owned in list(self._owned.items()):
            if owned.complete:
                self._release(batch)
                self._complete.add(batch)
        self._bound_memory()

    async def hand_over(self) -> None:
        """Gives all owned batches to other daemons, with what their items have made so far."""
        self._leaving = True
        await asyncio.gather(*(self._hand_over(batch) for batch in list(self._owned)))

    async def remove_old(self) -> None:
        """Removes batches whose time of keeping is over; one daemon does it for each."""
        now = self._services.store_time()
        if now is None:
            return
        for batch, known in list(self._heads.items()):
            if now - known.head.created_at < self._retention():
                continue
            if self._membership.first_choice(batch) == self._membership.own:
                try:
                    await self._repository.remove(known.head)
                except StoreUnavailableError:
                    return

    async def _own_accepted(self, spec: BatchSpec, upload: str) -> None:
        """Starts an accepted batch at once if it is this daemon's, without waiting for the feed."""
        try:
            head = await self._repository.head(spec.id)
        except StoreUnavailableError:
            return
        if head is None or head.upload != upload or self._leaving or spec.id in self._owned:
            return
        if head.ended or spec.id in self._complete:
            return
        self._own(head, spec.items, fresh=True)

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
        if self._should_claim(batch, head):
            self._claimed_at[batch] = self._clock.now()
            task = asyncio.create_task(self._claim(known))
            self._claims.add(task)
            task.add_done_callback(self._claims.discard)

    def _should_claim(self, batch: BatchId, head: BatchHead) -> bool:
        if self._leaving or self._membership.is_alive(head.owner):
            return False
        if self._clock.now() - self._claimed_at.get(batch, float("-inf")) < CLAIM_PAUSE_SECONDS:
            return False
        return self._membership.first_choice(batch) == self._membership.own

    async def _claim(self, known: _KnownHead) -> None:
        done = await self._repository.claim(known.head, known.version, self._membership.own)
        outcome = "done" if done else "failed"
        self._services.metrics.count(Count.CLAIMS, outcome)
        self._log.note(
            Event.BATCH_CLAIMED, batch=known.head.id, owner=known.head.owner, outcome=outcome
        )

    def _own(self, head: BatchHead, items: tuple[Item, ...] | None, *, fresh: bool) -> None:
        view = self._views.setdefault(head.id, BatchView(head))
        owned = OwnedBatch(head, view, self._repository, self._services)
        self._owned[head.id] = owned
        self._log.note(Event.BATCH_OWNED, batch=head.id, fresh=fresh)
        owned.start(items, fresh)

    def _release(self, batch: BatchId) -> None:
        owned = self._owned.pop(batch, None)
        if owned is None:
            return
        owned.stop()
        self._log.note(Event.BATCH_RELEASED, batch=batch, complete=owned.complete)

    async def _hand_over(self, batch: BatchId) -> None:
        owned = self._owned[batch]
        await owned.hand_over()
        self._release(batch)
        known = self._heads.get(batch)
        successor = self._membership.first_choice(batch)
        if known is not None and successor is not None and not known.head.ended:
            await self._repository.claim(known.head, known.version, successor)

    async def _view(self, batch: BatchId) -> BatchView:
        view = self._views.get(batch)
        if view is None:
            view = BatchView(await self._find_head(batch))
            view = self._views.setdefault(batch, view)
        view.used_at = self._clock.now()
        return view

    async def _find_head(self, batch: BatchId) -> BatchHead:
        known = self._heads.get(batch)
        if known is not None:
            return known.head
        try:
            head = await self._repository.head(batch)
        except StoreUnavailableError as error:
            raise BatchUnreadableError(error.message, retry_after=RETRY_AFTER_SECONDS) from None
        if head is None:
            raise NoSuchBatchError(f"there is no batch {batch}")
        return head

    async def _refresh(self, view: BatchView, position: int) -> bool:
        """Brings a view up to date; False if the store did not answer."""
        started = self._clock.now()
        known = len(view.results)
        if known >= view.head.total or started - view.confirmed_at < FRESH_SECONDS:
            return True
        if known > position:
            return True
        try:
            results = await self._repository.results(view.head.id, known)
        except StoreUnavailableError:
            return False
        view.add(known, results)
        view.confirm(started)
        return True

    def _bound_memory(self) -> None:
        """Forgets what was not used for longest; it is read from the store again when needed."""
        idle = [batch for batch in self._views if batch not in self._owned]
        size = sum(self._views[batch].size for batch in idle)
        for batch in sorted(idle, key=lambda name: self._views[name].used_at):
            if size <= MAX_CACHE_BYTES:
                return
            size -= self._views[batch].size
            del self._views[batch]


def _page(view: BatchView, position: int) -> ResultPage:
    chosen: list[Result] = []
    size = 0
    for result in view.results[position:]:
        size += len(result.text)
        if chosen and size > MAX_PAGE_BYTES:
            break
        chosen.append(result)
    return ResultPage(view.head.total, position, tuple(chosen))
