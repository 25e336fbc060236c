"""Answers reads of batches: results from a position on, and the bodies of items.

`read_rules.py` decides when a read is answered; a batch's known results are in its `BatchView`.
"""

from dataclasses import dataclass

from larkpost.common.ids import BatchId
from larkpost.gateway.blackboard.tenants import UNRESTRICTED_CALLER, Caller
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.metrics import Count
from larkpost.gateway.rollouts.batch_manager import BatchManager
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.errors import BatchUnreadableError, NoSuchBatchError
from larkpost.gateway.rollouts.model import BatchHead, Item, ItemId, Result
from larkpost.gateway.rollouts.read_rules import (
    HOLD_SECONDS,
    ReadDecision,
    ReadState,
    decide_read,
    may_hold,
)
from larkpost.gateway.rollouts.repository import BatchRepository
from larkpost.gateway.rollouts.view import BatchView, ViewCache
from larkpost.gateway.store.port import StoreUnavailableError

READ_POLL_SECONDS = 0.05
"""Interval at which a held read polls the store for results appended by other daemons."""
MAX_CONFIRMATION_AGE_SECONDS = 0.04
"""Age up to which a confirmed result list is returned without reading the store again; less than
the polling interval."""
RETRY_AFTER_SECONDS = 0.2
"""Seconds that a caller is told to wait after a store call was not answered."""
MAX_PAGE_BYTES = 900_000
"""Maximum bytes of texts in a page, unless a single text is longer."""


@dataclass(frozen=True, slots=True)
class ResultPage:
    """A page of the results of a batch, starting at a position."""

    total: int
    position: int
    results: tuple[Result, ...]


class BatchReader:
    """Answers the reads of batches at one daemon."""

    def __init__(
        self,
        repository: BatchRepository,
        batch_manager: BatchManager,
        views: ViewCache,
        services: RunServices,
    ) -> None:
        self._repository = repository
        self._batch_manager = batch_manager
        self._views = views
        self._services = services
        self._clock = services.clock
        self._log = services.log

    async def read(
        self, batch: BatchId, position: int, wait: float, caller: Caller = UNRESTRICTED_CALLER
    ) -> ResultPage:
        """Returns the results from a position on; waits if there are none yet.

        Results may be held back for those that complete the trainer's step.

        Args:
            wait: maximum seconds to wait.

        Raises:
            NoSuchBatchError: there is no such batch.
            BatchUnreadableError: the store does not answer.
        """
        view = await self._view(batch, caller)
        deadline = self._clock.now() + wait
        while True:
            can_hold = self._may_hold(view)
            store_failed = not await self._refresh(view, position, can_hold)
            now = self._clock.now()
            if len(view.results) > position:
                deadline = min(deadline, now + HOLD_SECONDS)
            decision = decide_read(
                _read_state(view, position, can_hold, store_failed, deadline - now)
            )
            if decision is ReadDecision.RESPOND:
                return self._respond(view, position, from_memory=store_failed)
            if decision is ReadDecision.FAIL:
                raise self._read_error(batch, position)
            await view.wait_for_change(min(READ_POLL_SECONDS, deadline - now))

    def _may_hold(self, view: BatchView) -> bool:
        """Returns whether results may be held back until the trainer's step is complete."""
        head = view.head
        now = self._services.store_time()
        configuration = self._services.configuration.current
        if not head.group_size or not head.desired_groups:
            return False
        if now is None or configuration is None:
            return False
        route = configuration.match(head.host, head.path.encode("latin-1"))
        return route is not None and may_hold(now - head.created_at, route.due)

    def _read_error(self, batch: BatchId, position: int) -> BatchUnreadableError:
        """Records a failed read and returns its error."""
        self._services.metrics.count(Count.BATCH_CALLS, "read", "failed")
        self._log.record(Event.READ_FAILED, batch=batch, position=position)
        return BatchUnreadableError("the store does not answer", retry_after=RETRY_AFTER_SECONDS)

    def _respond(self, view: BatchView, position: int, *, from_memory: bool) -> ResultPage:
        """Returns a page and logs the read with the age of the known results."""
        page = _page(view, position)
        self._services.metrics.count(Count.BATCH_CALLS, "read", "answered")
        self._log.record(
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

    async def body(
        self, batch: BatchId, item: ItemId, caller: Caller = UNRESTRICTED_CALLER
    ) -> bytes:
        """Returns the body of an item.

        Raises:
            NoSuchBatchError: there is no such batch or item.
            BatchUnreadableError: the store does not answer.
        """
        view = await self._view(batch, caller)
        items = view.items
        if items is None:
            items = view.set_items(await self._load_items(view.head))
        found = items.get(item)
        if found is None:
            raise NoSuchBatchError(f"batch {batch} has no item {item}")
        return found.body

    async def _load_items(self, head: BatchHead) -> tuple[Item, ...]:
        try:
            return await self._repository.items(head)
        except StoreUnavailableError as error:
            raise BatchUnreadableError(error.message, retry_after=RETRY_AFTER_SECONDS) from None

    async def _view(self, batch: BatchId, caller: Caller) -> BatchView:
        view = self._views.get(batch)
        if view is None:
            view = self._views.get_or_add(await self.find_head(batch, caller))
        _check_visible(view.head, caller)
        view.used_at = self._clock.now()
        return view

    async def find_head(self, batch: BatchId, caller: Caller) -> BatchHead:
        """Returns the head of a batch that a caller may see.

        Raises:
            NoSuchBatchError: there is no such batch.
            BatchUnreadableError: the store does not answer.
        """
        head = self._batch_manager.head(batch)
        if head is None:
            try:
                head = await self._repository.head(batch)
            except StoreUnavailableError as error:
                raise BatchUnreadableError(error.message, retry_after=RETRY_AFTER_SECONDS) from None
        if head is None or not head.is_accepted:
            raise NoSuchBatchError(f"there is no batch {batch}")
        _check_visible(head, caller)
        return head

    async def _refresh(self, view: BatchView, position: int, may_hold: bool) -> bool:
        """Updates a view from the store; False if the store did not answer.

        Args:
            may_hold: whether to look for more results even if there are some at the position.
        """
        started = self._clock.now()
        known = len(view.results)
        if known >= view.head.total or started - view.confirmed_at < MAX_CONFIRMATION_AGE_SECONDS:
            return True
        if known > position and not may_hold:
            return True
        try:
            results = await self._repository.results(view.head.id, known)
        except StoreUnavailableError:
            return False  # the known results may still answer the read
        view.add(known, results)
        view.confirm(started)
        return True


def _read_state(
    view: BatchView, position: int, can_hold: bool, store_failed: bool, seconds_left: float
) -> ReadState:
    return ReadState(
        is_complete=len(view.results) >= view.head.total,
        has_new=len(view.results) > position,
        has_enough_groups=view.has_enough_groups(),
        may_hold=can_hold,
        store_failed=store_failed,
        seconds_left=seconds_left,
    )


def _check_visible(head: BatchHead, caller: Caller) -> None:
    """Checks that a caller may see a batch; a batch of another tenant looks nonexistent.

    Raises:
        NoSuchBatchError: the batch belongs to another tenant.
    """
    if not caller.can_read(head.tenant):
        raise NoSuchBatchError(f"there is no batch {head.id}")


def _page(view: BatchView, position: int) -> ResultPage:
    page_results: list[Result] = []
    size = 0
    for result in view.results[position:]:
        size += len(result.text)
        if page_results and size > MAX_PAGE_BYTES:
            break
        page_results.append(result)
    return ResultPage(view.head.total, position, tuple(page_results))
