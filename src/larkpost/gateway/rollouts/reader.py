"""Answers the reads of batches: results from a position on, and the bodies of items.

Owns nothing but the reads that wait; what is known of a batch's results is its `BatchView`.
`read_rules.py` says when a read is answered.
"""

from dataclasses import dataclass

from larkpost.common.ids import BatchId
from larkpost.gateway.blackboard.tenants import ANYONE, Caller
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.metrics import Count
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.errors import BatchUnreadableError, NoSuchBatchError
from larkpost.gateway.rollouts.keeper import BatchKeeper
from larkpost.gateway.rollouts.model import BatchHead, Item, ItemId, Result
from larkpost.gateway.rollouts.read_rules import (
    HOLD_SECONDS,
    ReadState,
    ReadStep,
    judge_read,
    may_hold,
)
from larkpost.gateway.rollouts.repository import BatchRepository
from larkpost.gateway.rollouts.view import BatchView, ViewCache
from larkpost.gateway.store.port import StoreUnavailableError

READ_POLL_SECONDS = 0.05
"""How often a held read checks for what another daemon appends: a step waits for the last one."""
FRESH_REPORT_SECONDS = 0.04
"""A list confirmed this recently is given without asking the store again. Less than the interval of
checks."""
RETRY_AFTER_SECONDS = 0.2
"""What a caller is asked to wait, in seconds, after a call that the store did not answer."""
MAX_PAGE_BYTES = 900_000
"""Most bytes of texts in one page, unless a single text is longer."""


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results of a batch from a position on."""

    total: int
    position: int
    results: tuple[Result, ...]


class BatchReader:
    """The reads of one daemon."""

    def __init__(
        self,
        repository: BatchRepository,
        keeper: BatchKeeper,
        views: ViewCache,
        services: RunServices,
    ) -> None:
        self._repository = repository
        self._keeper = keeper
        self._views = views
        self._services = services
        self._clock = services.clock
        self._log = services.log

    async def read(
        self, batch: BatchId, position: int, wait: float, caller: Caller = ANYONE
    ) -> ResultPage:
        """Returns the results from a position on, waiting for one if there is none yet.

        Args:
            wait: seconds for which the caller waits at most.

        Raises:
            NoSuchBatchError: there is no such batch.
            BatchUnreadableError: the store does not answer.
        """
        view = await self._view(batch, caller)
        give_up_at = self._clock.now() + wait
        while True:
            holds = self._may_hold(view)
            failed = not await self._refresh(view, position, holds)
            now = self._clock.now()
            if len(view.results) > position:
                give_up_at = min(give_up_at, now + HOLD_SECONDS)
            step = judge_read(_read_state(view, position, holds, failed, give_up_at - now))
            if step is ReadStep.GIVE:
                return self._give(view, position, from_memory=failed)
            if step is ReadStep.FAIL:
                raise self._failure(batch, position)
            await view.wait_for_change(min(READ_POLL_SECONDS, give_up_at - now))

    def _may_hold(self, view: BatchView) -> bool:
        """Returns whether results may be held back until there are enough for the trainer."""
        head = view.head
        now = self._services.store_time()
        configuration = self._services.configuration.current
        if not head.group_size or not head.desired_groups:
            return False
        if now is None or configuration is None:
            return False
        route = configuration.match(head.host, head.path.encode("latin-1"))
        return route is not None and may_hold(now - head.created_at, route.due)

    def _failure(self, batch: BatchId, position: int) -> BatchUnreadableError:
        """Records a read that failed, and returns its error."""
        self._services.metrics.count(Count.BATCH_CALLS, "read", "failed")
        self._log.record(Event.READ_FAILED, batch=batch, position=position)
        return BatchUnreadableError("the store does not answer", retry_after=RETRY_AFTER_SECONDS)

    def _give(self, view: BatchView, position: int, *, from_memory: bool) -> ResultPage:
        """Returns a page and records it, with the age of what was known."""
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

    async def body(self, batch: BatchId, item: ItemId, caller: Caller = ANYONE) -> bytes:
        """Returns the body of an item.

        Raises:
            NoSuchBatchError: there is no such batch or item.
            BatchUnreadableError: the store does not answer.
        """
        view = await self._view(batch, caller)
        items = view.items
        if items is None:
            items = view.keep_items(await self._load_items(view.head))
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
        _check_seen(view.head, caller)
        view.used_at = self._clock.now()
        return view

    async def find_head(self, batch: BatchId, caller: Caller) -> BatchHead:
        """Returns the head of a batch that a caller may see.

        Raises:
            NoSuchBatchError: there is no such batch.
            BatchUnreadableError: the store does not answer.
        """
        head = self._keeper.head(batch)
        if head is None:
            try:
                head = await self._repository.head(batch)
            except StoreUnavailableError as error:
                raise BatchUnreadableError(error.message, retry_after=RETRY_AFTER_SECONDS) from None
        if head is None:
            raise NoSuchBatchError(f"there is no batch {batch}")
        _check_seen(head, caller)
        return head

    async def _refresh(self, view: BatchView, position: int, may_hold: bool) -> bool:
        """Brings a view up to date; False if the store did not answer.

        Args:
            may_hold: whether more is wanted though there are results from the position on.
        """
        started = self._clock.now()
        known = len(view.results)
        if known >= view.head.total or started - view.confirmed_at < FRESH_REPORT_SECONDS:
            return True
        if known > position and not may_hold:
            return True
        try:
            results = await self._repository.results(view.head.id, known)
        except StoreUnavailableError:
            return False  # the read fails if nothing is known
        view.add(known, results)
        view.confirm(started)
        return True


def _read_state(
    view: BatchView, position: int, holds: bool, failed: bool, seconds_left: float
) -> ReadState:
    return ReadState(
        is_complete=len(view.results) >= view.head.total,
        has_new=len(view.results) > position,
        has_step=view.has_step(),
        may_hold=holds,
        store_failed=failed,
        seconds_left=seconds_left,
    )


def _check_seen(head: BatchHead, caller: Caller) -> None:
    """Raises unless a caller may see a batch; another tenant's does not exist to it.

    Raises:
        NoSuchBatchError: it is another tenant's.
    """
    if not caller.may_see(head.tenant):
        raise NoSuchBatchError(f"there is no batch {head.id}")


def _page(view: BatchView, position: int) -> ResultPage:
    chosen: list[Result] = []
    size = 0
    for result in view.results[position:]:
        size += len(result.text)
        if chosen and size > MAX_PAGE_BYTES:
            break
        chosen.append(result)
    return ResultPage(view.head.total, position, tuple(chosen))
