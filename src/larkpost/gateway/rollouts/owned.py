"""A batch that this daemon owns: its run, and the appending of its results.

Owns the batch's tail as last known, the results that wait for their append, and the background
work. `run.py` makes the results, `output_saver.py` stores what running items have made so far.
"""

import asyncio

from larkpost.common.clock import Clock
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count, Timing
from larkpost.gateway.rollouts.attempt import Progress
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.model import BatchHead, Item, ItemId, Result, Tail
from larkpost.gateway.rollouts.output_saver import (
    MIN_NEW_EVENTS,
    SAVE_INTERVAL_SECONDS,
    OutputSaver,
)
from larkpost.gateway.rollouts.repository import BatchRepository
from larkpost.gateway.rollouts.run import BatchRun
from larkpost.gateway.rollouts.view import BatchView
from larkpost.gateway.store.port import StoreUnavailableError, WriteOutcome

APPEND_GAP_SECONDS = 0.06
"""Pause between two appends, in which results gather. Not measured."""
RETRY_SECONDS = 0.15
"""Pause after a call that the store refused or did not answer. Not measured."""
FLUSH_SECONDS = 1.0
"""Longest time to append what waits when the batch is handed over. Not measured."""
FAULT_PAUSE_SECONDS = 1.0
"""Pause before a batch is worked on again after an unexpected error. Not measured."""


class OwnedBatch:
    """Loads a batch, runs what is not listed yet, and appends results until all are listed."""

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
        self._tail: Tail | None = None
        self._pending: list[Result] = []
        self._listed: set[ItemId] = set()
        self._wake = asyncio.Event()
        self._saver = OutputSaver(head.id, repository)
        self._ended_at: dict[ItemId, float] = {}
        self._tasks: list[asyncio.Task] = []

    def start(self, items: tuple[Item, ...] | None, fresh: bool) -> None:
        """Starts in the background.

        Args:
            items: the batch's items, if this daemon has just accepted them.
            fresh: whether the batch was accepted just now, so that nothing is listed yet.
        """
        self._tasks.append(asyncio.create_task(self._work(items, fresh)))
        self._tasks.append(asyncio.create_task(self._keep_partials()))

    @property
    def running(self) -> int:
        """Items without a result."""
        return len(self._run.progress) if self._run is not None else 0

    @property
    def unscored(self) -> int:
        """Whole outputs that wait for their score."""
        if self._run is None:
            return 0
        return sum(progress.whole for progress in self._run.progress.values())

    @property
    def waiting(self) -> int:
        """Results that wait for their append."""
        return len(self._pending)

    def stop(self) -> None:
        """Stops all runs and appends."""
        for task in self._tasks:
            task.cancel()
        if self._run is not None:
            self._run.cancel()

    async def hand_over(self) -> None:
        """Stops all runs and stores what they made, so that another daemon goes on from there."""
        self.stop()
        await self._save_outputs(minimum=1)
        if not self._pending:
            return
        try:
            async with asyncio.timeout(FLUSH_SECONDS):
                await self._synchronise()
                await self._append_once()
        except (TimeoutError, StoreUnavailableError):
            return  # the next owner runs them again

    async def _work(self, items: tuple[Item, ...] | None, fresh: bool) -> None:
        """Works on the batch until it is over, whatever errors come between."""
        while True:
            try:
                await self._load(items, fresh)
                await self._append_all()
                return
            except Exception as error:
                self._log.record(Event.FAULT, where=f"batch {self.head.id}", error=repr(error))
            if self._run is not None:
                self._run.cancel()
                self._run = None
            fresh = False
            await self._clock.sleep(FAULT_PAUSE_SECONDS)

    async def _load(self, items: tuple[Item, ...] | None, fresh: bool) -> None:
        """Reads what is missing of the batch, and starts the items that have no result."""
        items, stored = await self._read(items, fresh)
        self._view.items = {item.id: item for item in items}
        ended_items = self._listed | {result.item for result in self._pending}
        open_items = tuple(item for item in items if item.id not in ended_items)
        self._log.record(
            Event.BATCH_LOADED,
            batch=self.head.id,
            listed=len(self._listed),
            open=len(open_items),
            kept=sum(1 for item in open_items if item.id in stored),
            kept_events=sum(len(progress.events) for progress in stored.values()),
        )
        ended = self._tail is not None and self._tail.ended
        if ended or not open_items:
            return
        self._run = BatchRun(self.head, open_items, self._services, self._finished, stored)
        self._run.start()

    async def _read(
        self, items: tuple[Item, ...] | None, fresh: bool
    ) -> tuple[tuple[Item, ...], dict[ItemId, Progress]]:
        """Returns a batch's items and their stored output, once the store has told the tail too.

        A batch that was accepted here just now is run though the store does not answer.
        """
        stored: dict[ItemId, Progress] = {}
        while True:
            try:
                if items is None:
                    items = await self._repository.items(self.head)
                if not fresh:
                    stored = await self._repository.partials(self.head.id, items)
                await self._synchronise()
                return items, stored
            except StoreUnavailableError:
                if fresh and items is not None:
                    return items, stored
                await self._clock.sleep(RETRY_SECONDS)

    def _finished(self, result: Result) -> None:
        if result.item in self._listed:
            return  # another daemon that ran the batch has listed it meanwhile
        self._pending.append(result)
        self._ended_at[result.item] = self._clock.now()
        self._wake.set()

    async def _synchronise(self) -> None:
        """Reads the tail and the results listed by anyone.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        started = self._clock.now()
        tail = await self._repository.tail(self.head.id)
        if tail is None:
            return
        known = len(self._view.results)
        if tail.count > known:
            self._view.add(known, await self._repository.results(self.head.id, known))
        if len(self._view.results) < tail.count:
            raise StoreUnavailableError("the list of results is behind its tail")
        self._tail = tail
        self._view.confirm(started)
        self._listed = {result.item for result in self._view.results}
        self._pending = [result for result in self._pending if result.item not in self._listed]
        if self._run is not None:
            self._run.drop(self._listed)

    async def _append_all(self) -> None:
        while not self._is_over():
            if not self._pending or self._tail is None:
                self._wake.clear()
                if self._tail is not None:
                    await self._wake.wait()
            await self._append_once()
            await self._clock.sleep(APPEND_GAP_SECONDS)
        self.complete = True
        if self._run is not None:
            self._run.cancel()
        self._log.record(Event.BATCH_COMPLETE, batch=self.head.id, listed=len(self._view.results))

    def _is_over(self) -> bool:
        if self._tail is None:
            return False
        return self._tail.ended or self._tail.count >= self.head.total

    async def _append_once(self) -> None:
        before = self._tail
        if before is None:
            await self._resynchronise()
            return
        pending = list(self._pending)
        if not pending:
            return
        started = self._clock.now()
        result, tail, taken = await self._repository.append(self.head.id, before, pending)
        self._services.metrics.count(Count.APPENDS, result.outcome)
        if result.outcome is WriteOutcome.DONE:
            self._record_appended(before.count, pending[:taken], started)
            self._tail = tail
            return
        self._log.record(
            Event.APPEND_FAILED,
            batch=self.head.id,
            outcome=result.outcome,
            position=before.count,
            waiting=len(self._pending),
        )
        if result.outcome in (WriteOutcome.CONFLICT, WriteOutcome.UNKNOWN):
            await self._resynchronise()
        else:
            await self._clock.sleep(RETRY_SECONDS)

    def _record_appended(self, position: int, results: list[Result], started: float) -> None:
        """Records that the first results that wait are listed from a position on."""
        self._log_appended(position, results, started)
        self._view.add(position, results)
        self._view.confirm(started)
        self._listed.update(added.item for added in results)
        self._pending = self._pending[len(results) :]

    def _log_appended(self, position: int, results: list[Result], started: float) -> None:
        now = self._clock.now()
        for result in results:
            waited = now - self._ended_at.pop(result.item, now)
            self._services.metrics.observe(Timing.APPEND_WAIT, waited)
            self._services.metrics.count(Count.RESULTS, result.state)
        self._log.record(
            Event.APPENDED,
            batch=self.head.id,
            position=position,
            items=[result.item for result in results],
            waiting=len(self._pending) - len(results),
            seconds=round(now - started, 3),
        )

    async def _resynchronise(self) -> None:
        while True:
            try:
                await self._synchronise()
                return
            except StoreUnavailableError:
                await self._clock.sleep(RETRY_SECONDS)

    async def _keep_partials(self) -> None:
        while not self.complete:
            await self._clock.sleep(SAVE_INTERVAL_SECONDS)
            await self._save_outputs(MIN_NEW_EVENTS)

    async def _save_outputs(self, minimum: int) -> None:
        if self._run is not None:
            await self._saver.save(self._run.progress.values(), minimum)
