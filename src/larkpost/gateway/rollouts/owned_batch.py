"""Background work on a batch that this daemon owns, until all its results are listed.

`batch_run.py` produces the results, `result_appender.py` appends them to the result list, and
`output_saver.py` stores the partial outputs of running items.
"""

import asyncio

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.daemon_report import BatchProgress
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.rollouts.batch_run import BatchRun
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.model import BatchHead, Item, ItemId, Result
from larkpost.gateway.rollouts.output_saver import (
    MIN_NEW_EVENTS,
    SAVE_INTERVAL_SECONDS,
    OutputSaver,
)
from larkpost.gateway.rollouts.progress import Progress
from larkpost.gateway.rollouts.repository import BatchRepository
from larkpost.gateway.rollouts.result_appender import RETRY_SECONDS, ResultAppender
from larkpost.gateway.rollouts.view import BatchView
from larkpost.gateway.store.port import StoreUnavailableError

FLUSH_SECONDS = 1.0
"""Timeout of the last append when the batch is handed over."""
FAULT_PAUSE_SECONDS = 1.0
"""Pause before the batch is loaded again after an unexpected error."""


class OwnedBatch:
    """Loads a batch, runs its unlisted items, and appends results until all are listed."""

    def __init__(
        self,
        head: BatchHead,
        view: BatchView,
        repository: BatchRepository,
        services: RunServices,
    ) -> None:
        self.head = head
        self.complete = False
        self._view = view
        self._repository = repository
        self._services = services
        self._clock: Clock = services.clock
        self._log: EventLog = services.log
        self._run: BatchRun | None = None
        self._saver = OutputSaver(head.id, repository)
        self._appender = ResultAppender(head, view, repository, services, self._cancel_listed)
        self._tasks: list[asyncio.Task] = []

    def start(self, items: tuple[Item, ...] | None, fresh: bool) -> None:
        """Starts the background tasks.

        Args:
            items: items of the batch if this daemon has just accepted it; None to load them.
            fresh: whether the batch was just accepted, so that nothing is listed yet.
        """
        self._tasks.append(asyncio.create_task(self._work(items, fresh)))
        self._tasks.append(asyncio.create_task(self._save_outputs_periodically()))

    @property
    def unfinished_items(self) -> int:
        """Number of items without a result."""
        return len(self._run.progress) if self._run is not None else 0

    def progress(self) -> BatchProgress | None:
        """Returns the progress of the batch; None before it is loaded."""
        return self._run.summarize_progress() if self._run is not None else None

    @property
    def unscored_outputs(self) -> int:
        """Number of complete outputs that wait for their score."""
        if self._run is None:
            return 0
        return sum(progress.whole for progress in self._run.progress.values())

    @property
    def output_bytes(self) -> int:
        """Bytes of output of the items without a result."""
        if self._run is None:
            return 0
        return sum(progress.output_bytes for progress in self._run.progress.values())

    @property
    def pending_results(self) -> int:
        """Number of results that wait to be appended."""
        return len(self._appender.pending)

    def stop(self) -> None:
        """Stops all runs and appends."""
        for task in self._tasks:
            task.cancel()
        if self._run is not None:
            self._run.cancel()

    async def hand_over(self) -> None:
        """Stops all runs and stores their outputs, so that another daemon can continue them."""
        self.stop()
        await self._save_outputs(minimum=1)
        if not self._appender.pending:
            return
        try:
            async with asyncio.timeout(FLUSH_SECONDS):
                await self._appender.reload()
                await self._appender.append_once()
        except (TimeoutError, StoreUnavailableError):
            return  # the next owner runs these items again

    async def _work(self, items: tuple[Item, ...] | None, fresh: bool) -> None:
        """Works on the batch until it is complete or ended; retries after unexpected errors."""
        while True:
            try:
                await self._load(items, fresh)
                await self._appender.append_all()
                self._mark_complete()
                return
            except Exception as error:
                self._record_fault(f"batch {self.head.id}", error)
            if self._run is not None:
                self._run.cancel()
                self._run = None
            fresh = False
            await self._clock.sleep(FAULT_PAUSE_SECONDS)

    async def _load(self, items: tuple[Item, ...] | None, fresh: bool) -> None:
        """Reads the batch from the store and starts the items that have no result."""
        items, stored = await self._read(items, fresh)
        self._view.set_items(items)
        finished_items = self._appender.listed | {result.item for result in self._appender.pending}
        open_items = tuple(item for item in items if item.id not in finished_items)
        self._log.record(
            Event.BATCH_LOADED,
            batch=self.head.id,
            listed=len(self._appender.listed),
            open=len(open_items),
            kept=sum(1 for item in open_items if item.id in stored),
            kept_events=sum(len(progress.events) for progress in stored.values()),
        )
        ended = self._appender.tail is not None and self._appender.tail.ended
        if ended or not open_items:
            return
        self._run = BatchRun(self.head, open_items, self._services, self._on_result, stored)
        self._run.start()

    async def _read(
        self, items: tuple[Item, ...] | None, fresh: bool
    ) -> tuple[tuple[Item, ...], dict[ItemId, Progress]]:
        """Returns the items and their stored outputs, after reading the result list.

        Retries until the store answers, unless the batch was just accepted by this daemon.
        """
        stored: dict[ItemId, Progress] = {}
        while True:
            try:
                if items is None:
                    items = await self._repository.items(self.head)
                if not fresh:
                    stored = await self._repository.partials(self.head.id, items)
                await self._appender.reload()
                return items, stored
            except StoreUnavailableError:
                if fresh and items is not None:
                    return items, stored
                await self._clock.sleep(RETRY_SECONDS)

    def _record_fault(self, where: str, error: Exception) -> None:
        """Logs an unexpected error; what failed is repeated."""
        self._log.record(Event.FAULT, where=where, error=repr(error))

    def _on_result(self, result: Result) -> None:
        self._appender.add(result)

    def _cancel_listed(self, listed: set[ItemId]) -> None:
        if self._run is not None:
            self._run.cancel_items(listed)

    def _mark_complete(self) -> None:
        self.complete = True
        if self._run is not None:
            self._run.cancel()
        self._log.record(Event.BATCH_COMPLETE, batch=self.head.id, listed=len(self._view.results))

    async def _save_outputs_periodically(self) -> None:
        while not self.complete:
            await self._clock.sleep(SAVE_INTERVAL_SECONDS)
            try:
                await self._save_outputs(MIN_NEW_EVENTS)
            except Exception as error:  # the next save stores what this one did not
                self._record_fault(f"outputs of batch {self.head.id}", error)

    async def _save_outputs(self, minimum: int) -> None:
        if self._run is not None:
            await self._saver.save(self._run.progress.values(), minimum)
