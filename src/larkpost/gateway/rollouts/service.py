"""The batch calls: submit, read results and bodies, end."""

import secrets
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.common.errors import LarkpostError, Ran
from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.blackboard.tenants import ANYONE, Caller
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count
from larkpost.gateway.placement.work import Work, WorkKind
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.keeper import BatchKeeper
from larkpost.gateway.rollouts.model import BatchHead, BatchSpec, ItemId, Result
from larkpost.gateway.rollouts.repository import AcceptOutcome, BatchRepository, EndOutcome
from larkpost.gateway.rollouts.view import BatchView, ViewCache
from larkpost.gateway.store.port import StoreUnavailableError

ACCEPT_SECONDS = 0.6
"""For so long a batch is tried for while the store refuses it, before the trainer is sent to
another daemon, which may reach the store."""
HOLD_SECONDS = 0.5
"""For so long a read that may wait holds results back for those that make a step whole: the last
items of a step often end within half a second of each other, and a trainer that is answered asks
again after as long."""
END_PATIENCE_SECONDS = 2.0
READ_POLL_SECONDS = 0.05
"""How often a held read looks for what another daemon appends: a step waits for the last one."""
LEAST_WAIT_SECONDS = 0.001
"""A remaining wait below this counts as over."""
FRESH_SECONDS = 0.04
"""A list confirmed this recently is given without asking the store again."""
RETRY_AFTER_SECONDS = 0.2
MAX_PAGE_BYTES = 900_000


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


class BatchIdTakenError(LarkpostError):
    """The id is that of another tenant's batch; nothing of this one runs."""

    code = "batch_id_taken"
    status = 409
    remedy = "Submit the batch under an id that nobody else uses."


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


class BatchService:
    """All batch calls of one daemon.

    Args:
        owner: this daemon, which runs what it accepts.
    """

    def __init__(
        self,
        owner: DaemonId,
        repository: BatchRepository,
        keeper: BatchKeeper,
        views: ViewCache,
        services: RunServices,
    ) -> None:
        self._owner = owner
        self._repository = repository
        self._keeper = keeper
        self._views = views
        self._services = services
        self._clock: Clock = services.clock
        self._log: EventLog = services.log

    async def submit(self, spec: BatchSpec) -> None:
        """Accepts a batch; it is kept for good once this returns.

        Raises:
            BatchRefusedError: it was certainly not accepted.
            BatchUncertainError: it may have been accepted.
            BatchIdTakenError: another tenant has a batch of this id.
        """
        known = self._keeper.head(spec.id)
        if known is not None and known.tenant == spec.tenant:
            return
        if self._is_homeless(spec):
            self._services.metrics.count(Count.BATCH_CALLS, "submit", "homeless")
            self._log.record(Event.BATCH_REFUSED, batch=spec.id, uncertain=False, homeless=True)
            raise BatchRefusedError(
                "no engine lies where the batch may be served", retry_after=RETRY_AFTER_SECONDS
            )
        began = self._clock.now()
        upload = secrets.token_hex(8)
        outcome = await self._repository.accept(spec, self._owner, upload, ACCEPT_SECONDS)
        if outcome is AcceptOutcome.REFUSED:
            self._services.metrics.count(Count.BATCH_CALLS, "submit", "refused")
            self._log.record(Event.BATCH_REFUSED, batch=spec.id, uncertain=False)
            raise BatchRefusedError("the store refused the batch", retry_after=RETRY_AFTER_SECONDS)
        if outcome is AcceptOutcome.UNCERTAIN:
            self._services.metrics.count(Count.BATCH_CALLS, "submit", "uncertain")
            self._log.record(Event.BATCH_REFUSED, batch=spec.id, uncertain=True)
            raise BatchUncertainError("the store did not answer", ran=Ran.UNKNOWN)
        if outcome is AcceptOutcome.TAKEN:
            self._services.metrics.count(Count.BATCH_CALLS, "submit", "taken")
            self._log.record(Event.BATCH_REFUSED, batch=spec.id, uncertain=False, taken=True)
            raise BatchIdTakenError(f"there is another batch {spec.id}")
        self._services.metrics.count(Count.BATCH_CALLS, "submit", "accepted")
        self._log.record(
            Event.BATCH_ACCEPTED,
            batch=spec.id,
            tenant=spec.tenant,
            items=len(spec.items),
            desired_groups=spec.desired_groups,
            step=spec.step,
            model=spec.model,
            minimum_version=spec.minimum_version,
            seconds=round(self._clock.now() - began, 3),
        )
        await self._keeper.own_accepted(spec, upload)

    def _is_homeless(self, spec: BatchSpec) -> bool:
        """Tells whether no engine lies where a batch may be served."""
        configuration = self._services.configuration.current
        path = spec.path.encode("latin-1")
        route = configuration.match(spec.host, path) if configuration is not None else None
        if configuration is None or route is None:
            return False
        work = Work(WorkKind.ITEM, configuration.homes_of(spec.tenant, route))
        balancer = self._services.balancer
        return all(balancer.is_outside_regions(share.service, work) for share in route.shares)

    async def read(
        self, batch: BatchId, position: int, wait: float, caller: Caller = ANYONE
    ) -> ResultPage:
        """Returns the results from a position on, waiting for one if there is none yet.

        Until the batch is due, results are held back for a moment, as long as the caller allows,
        for the ones that make the trainer's step whole: who is answered with results asks again
        only after a pause.

        Raises:
            NoSuchBatchError: there is no such batch.
            BatchUnreadableError: the store does not answer.
        """
        view = await self._view(batch, caller)
        give_up_at = self._clock.now() + wait
        while True:
            may_hold = self._may_hold(view)
            failed = not await self._refresh(view, position, may_hold)
            now = self._clock.now()
            has_new = len(view.results) > position
            if has_new:
                give_up_at = min(give_up_at, now + HOLD_SECONDS)
            is_over = failed or not may_hold or give_up_at - now < LEAST_WAIT_SECONDS
            is_complete = len(view.results) >= view.head.total
            if is_complete or (has_new and (is_over or view.has_step())):
                return self._give(view, position, from_memory=failed)
            if give_up_at - now < LEAST_WAIT_SECONDS:
                if failed:
                    self._services.metrics.count(Count.BATCH_CALLS, "read", "failed")
                    self._log.record(Event.READ_FAILED, batch=batch, position=position)
                    raise BatchUnreadableError(
                        "the store does not answer", retry_after=RETRY_AFTER_SECONDS
                    )
                return self._give(view, position, from_memory=False)
            await view.wait_for_change(min(READ_POLL_SECONDS, give_up_at - now))

    def _may_hold(self, view: BatchView) -> bool:
        """Tells whether results may be held back until there are enough for the trainer."""
        head = view.head
        now = self._services.store_time()
        configuration = self._services.configuration.current
        if not head.group_size or not head.desired_groups:
            return False
        if now is None or configuration is None:
            return False
        route = configuration.match(head.host, head.path.encode("latin-1"))
        return route is not None and now - head.created_at < route.due

    def _give(self, view: BatchView, position: int, *, from_memory: bool) -> ResultPage:
        """Returns a page and notes it, with the age of what was known."""
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

    async def end(self, batch: BatchId, caller: Caller = ANYONE) -> None:
        """Ends a batch: nothing of it is run or listed any more.

        Raises:
            NoSuchBatchError: there is no such batch.
            BatchUnreadableError: the store does not answer.
            BatchUncertainError: it may have been ended.
        """
        if caller.is_restricted:
            await self._find_head(batch, caller)
        try:
            outcome = await self._repository.end(batch, END_PATIENCE_SECONDS)
        except StoreUnavailableError as error:
            raise BatchUnreadableError(error.message, retry_after=RETRY_AFTER_SECONDS) from None
        if outcome is EndOutcome.UNKNOWN_BATCH:
            raise NoSuchBatchError(f"there is no batch {batch}")
        if outcome is EndOutcome.UNCERTAIN:
            raise BatchUncertainError("the store did not answer", ran=Ran.UNKNOWN)
        self._services.metrics.count(Count.BATCH_CALLS, "end", "done")
        self._log.record(Event.BATCH_ENDED, batch=batch)
        self._keeper.finish(batch)

    async def _view(self, batch: BatchId, caller: Caller) -> BatchView:
        view = self._views.get(batch)
        if view is None:
            view = self._views.get_or_add(await self._find_head(batch, caller))
        _check_seen(view.head, caller)
        view.used_at = self._clock.now()
        return view

    async def _find_head(self, batch: BatchId, caller: Caller) -> BatchHead:
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
        if known >= view.head.total or started - view.confirmed_at < FRESH_SECONDS:
            return True
        if known > position and not may_hold:
            return True
        try:
            results = await self._repository.results(view.head.id, known)
        except StoreUnavailableError:
            return False  # the reader is told if nothing is known
        view.add(known, results)
        view.confirm(started)
        return True


def _check_seen(head: BatchHead, caller: Caller) -> None:
    """Raises unless a caller may see a batch; another tenant's is as good as none.

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
