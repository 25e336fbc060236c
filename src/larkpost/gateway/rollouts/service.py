"""Batch calls of a daemon: submit, read results and item bodies, end.

The repository accepts and ends batches in the store, the batch manager runs them, and `reader.py`
answers reads.
"""

import secrets

from larkpost.common.clock import Clock
from larkpost.common.errors import LarkpostError, Ran
from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.blackboard.tenants import UNRESTRICTED_CALLER, Caller
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count
from larkpost.gateway.placement.work import Work, WorkKind
from larkpost.gateway.rollouts.acceptance import AcceptOutcome
from larkpost.gateway.rollouts.batch_manager import BatchManager
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.errors import (
    BatchIdTakenError,
    BatchRefusedError,
    BatchUncertainError,
    BatchUnreadableError,
    NoSuchBatchError,
)
from larkpost.gateway.rollouts.model import BatchSpec, ItemId
from larkpost.gateway.rollouts.reader import RETRY_AFTER_SECONDS, BatchReader, ResultPage
from larkpost.gateway.rollouts.repository import BatchRepository, EndOutcome, EndRequest
from larkpost.gateway.rollouts.view import ViewCache
from larkpost.gateway.store.port import StoreUnavailableError

ACCEPT_SECONDS = 0.6
"""How long to try to store a batch before the trainer is told to retry at another daemon, which may
still reach the store."""
END_SECONDS = 2.0
"""How long to try to end a batch."""
MAX_EARLY_ENDS = 500
"""Maximum number of stored ends, by tenant, of batches that do not exist. Each takes a row of some
300 bytes, which every daemon keeps for as long as a batch."""
EARLY_ENDS_RETRY_SECONDS = 5.0
"""``Retry-After`` of an end beyond that number."""


class BatchService:
    """The batch calls of one daemon.

    Args:
        owner: id of this daemon, which becomes the owner of batches that it accepts.
    """

    def __init__(
        self,
        owner: DaemonId,
        repository: BatchRepository,
        batch_manager: BatchManager,
        views: ViewCache,
        services: RunServices,
    ) -> None:
        self._owner = owner
        self._repository = repository
        self._batch_manager = batch_manager
        self._reader = BatchReader(repository, batch_manager, views, services)
        self._services = services
        self._clock: Clock = services.clock
        self._log: EventLog = services.log

    async def submit(self, spec: BatchSpec) -> None:
        """Accepts a batch; it is stored durably once this returns.

        Raises:
            BatchRefusedError: the batch was certainly not accepted.
            BatchUncertainError: the batch may have been accepted.
            BatchIdTakenError: another tenant has a batch with this id.
        """
        known = self._batch_manager.head(spec.id)
        if known is not None and known.tenant == spec.tenant:
            if not known.is_accepted:
                raise self._refusal_error(spec, AcceptOutcome.ENDED)
            return
        if self._has_no_eligible_engine(spec):
            raise self._no_eligible_engine_error(spec)
        started = self._clock.now()
        upload = secrets.token_hex(8)
        outcome = await self._repository.accept(spec, self._owner, upload, ACCEPT_SECONDS)
        if outcome is not AcceptOutcome.ACCEPTED:
            raise self._refusal_error(spec, outcome)
        self._record_accepted(spec, self._clock.now() - started)
        await self._batch_manager.start_accepted(spec, upload)

    def _no_eligible_engine_error(self, spec: BatchSpec) -> BatchRefusedError:
        """Records a batch that no engine may serve, and returns the submission's error."""
        self._services.metrics.count(Count.BATCH_CALLS, "submit", "homeless")
        self._log.record(Event.BATCH_REFUSED, batch=spec.id, uncertain=False, homeless=True)
        return BatchRefusedError(
            "no engine is in a region where the batch may be served",
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _refusal_error(self, spec: BatchSpec, outcome: AcceptOutcome) -> LarkpostError:
        """Records a batch that was not stored, and returns the submission's error."""
        self._services.metrics.count(Count.BATCH_CALLS, "submit", outcome.value)
        if outcome is AcceptOutcome.REFUSED:
            self._log.record(Event.BATCH_REFUSED, batch=spec.id, uncertain=False)
            return BatchRefusedError("the store refused the batch", retry_after=RETRY_AFTER_SECONDS)
        if outcome is AcceptOutcome.ENDED:
            self._log.record(Event.BATCH_REFUSED, batch=spec.id, uncertain=False, ended=True)
            return BatchRefusedError(
                "the batch was ended before it was accepted", remedy="Submit it under a new id."
            )
        if outcome is AcceptOutcome.UNCERTAIN:
            self._log.record(Event.BATCH_REFUSED, batch=spec.id, uncertain=True)
            return BatchUncertainError("the store did not answer", ran=Ran.UNKNOWN)
        self._log.record(Event.BATCH_REFUSED, batch=spec.id, uncertain=False, taken=True)
        return BatchIdTakenError(f"batch id {spec.id} is already in use")

    def _record_accepted(self, spec: BatchSpec, seconds: float) -> None:
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
            seconds=round(seconds, 3),
        )

    def _has_no_eligible_engine(self, spec: BatchSpec) -> bool:
        """Returns whether no engine is in a region where a batch may be served."""
        configuration = self._services.configuration.current
        path = spec.path.encode("latin-1")
        route = configuration.match(spec.host, path) if configuration is not None else None
        if configuration is None or route is None:
            return False
        work = Work(WorkKind.ITEM, configuration.allowed_regions(spec.tenant, route))
        balancer = self._services.balancer
        return all(balancer.is_outside_regions(share.service, work) for share in route.shares)

    async def read(
        self, batch: BatchId, position: int, wait: float, caller: Caller = UNRESTRICTED_CALLER
    ) -> ResultPage:
        """Returns the results from a position on; see `BatchReader.read`.

        Args:
            wait: maximum seconds to wait.

        Raises:
            NoSuchBatchError: there is no such batch.
            BatchUnreadableError: the store does not answer.
        """
        return await self._reader.read(batch, position, wait, caller)

    async def body(
        self, batch: BatchId, item: ItemId, caller: Caller = UNRESTRICTED_CALLER
    ) -> bytes:
        """Returns the body of an item.

        Raises:
            NoSuchBatchError: there is no such batch or item.
            BatchUnreadableError: the store does not answer.
        """
        return await self._reader.body(batch, item, caller)

    async def end(self, batch: BatchId, caller: Caller = UNRESTRICTED_CALLER) -> None:
        """Ends a batch: none of its items is run or listed any more.

        A batch that does not exist is ended too, as its acceptance may still be under way.

        Raises:
            NoSuchBatchError: there is a batch with this id, but it is not the caller's.
            BatchUnreadableError: the store does not answer, or cannot take more such ends.
            BatchUncertainError: the batch may have been ended.
        """
        is_too_many = self._batch_manager.count_early_ends(caller.tenant) >= MAX_EARLY_ENDS
        request = EndRequest(batch, caller, self._owner, may_end_early=not is_too_many)
        try:
            outcome = await self._repository.end(request, END_SECONDS)
        except StoreUnavailableError as error:
            raise BatchUnreadableError(error.message, retry_after=RETRY_AFTER_SECONDS) from None
        if outcome is EndOutcome.UNKNOWN_BATCH:
            raise NoSuchBatchError(f"there is no batch {batch}")
        if outcome is EndOutcome.UNCERTAIN:
            raise BatchUncertainError("the store did not answer", ran=Ran.UNKNOWN)
        if outcome is EndOutcome.TOO_MANY:
            raise BatchUnreadableError(
                f"there is no batch {batch} yet, and {MAX_EARLY_ENDS} others were ended before "
                f"they were accepted",
                retry_after=EARLY_ENDS_RETRY_SECONDS,
            )
        self._services.metrics.count(Count.BATCH_CALLS, "end", "done")
        is_early = outcome is EndOutcome.ENDED_EARLY
        self._log.record(Event.BATCH_ENDED, batch=batch, early=is_early)
        self._batch_manager.finish(batch)
