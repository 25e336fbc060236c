"""Appends results to the result list of a batch.

An append succeeds only if the version of the list's tail is unchanged, so that the results of
another owner are never overwritten. After a conflict or a write without a response, the list is
reloaded.
"""

import asyncio
from collections.abc import Callable

from larkpost.common.clock import Clock
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count, Timing
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.model import BatchHead, ItemId, Result, Tail
from larkpost.gateway.rollouts.repository import BatchRepository
from larkpost.gateway.rollouts.view import BatchView
from larkpost.gateway.store.port import StoreUnavailableError, WriteOutcome

APPEND_INTERVAL_SECONDS = 0.06
"""Pause between two appends, in which results accumulate."""
RETRY_SECONDS = 0.15
"""Pause after a store call that was refused or not answered."""


class ResultAppender:
    """Appends the results of one batch.

    Args:
        on_listed: called with the items listed by any daemon, after each reload of the list.

    Attributes:
        tail: tail of the result list; None until it is loaded.
        listed: items known to have a result in the list.
        pending: results that wait to be appended, in order of completion.
    """

    def __init__(
        self,
        head: BatchHead,
        view: BatchView,
        repository: BatchRepository,
        services: RunServices,
        on_listed: Callable[[set[ItemId]], None],
    ) -> None:
        self._batch = head.id
        self._total = head.total
        self._view = view
        self._repository = repository
        self._services = services
        self._on_listed = on_listed
        self._clock: Clock = services.clock
        self._log: EventLog = services.log
        self.tail: Tail | None = None
        self.listed: set[ItemId] = set()
        self.pending: list[Result] = []
        self._ended_at: dict[ItemId, float] = {}
        self._wake = asyncio.Event()

    def add(self, result: Result) -> None:
        """Queues a result to be appended, unless another daemon has listed the item."""
        if result.item in self.listed:
            return
        self.pending.append(result)
        self._ended_at[result.item] = self._clock.now()
        self._wake.set()

    @property
    def is_closed(self) -> bool:
        """Whether no more appends are possible: the batch is ended or all items are listed."""
        if self.tail is None:
            return False
        return self.tail.ended or self.tail.count >= self._total

    async def reload(self) -> None:
        """Reads the tail and the results listed by any daemon.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        started = self._clock.now()
        tail = await self._repository.tail(self._batch)
        if tail is None:
            return
        known = len(self._view.results)
        if tail.count > known:
            self._view.add(known, await self._repository.results(self._batch, known))
        if len(self._view.results) < tail.count:
            raise StoreUnavailableError("the result list has fewer results than its tail counts")
        self.tail = tail
        self._view.confirm(started)
        self.listed = {result.item for result in self._view.results}
        self.pending = [result for result in self.pending if result.item not in self.listed]
        self._on_listed(self.listed)

    async def append_all(self) -> None:
        """Appends results as they become available, until no more appends are possible."""
        while not self.is_closed:
            if not self.pending or self.tail is None:
                self._wake.clear()
                if self.tail is not None:
                    await self._wake.wait()
            await self.append_once()
            await self._clock.sleep(APPEND_INTERVAL_SECONDS)

    async def append_once(self) -> None:
        """Appends as many results as fit in one write.

        Reloads the list if the tail is unknown, and after a conflict or a write without a response.
        """
        known_tail = self.tail
        if known_tail is None:
            await self._reload_until_answered()
            return
        pending = list(self.pending)
        if not pending:
            return
        started = self._clock.now()
        result, tail, taken = await self._repository.append(self._batch, known_tail, pending)
        self._services.metrics.count(Count.APPENDS, result.outcome)
        if result.outcome is WriteOutcome.DONE:
            self._record_appended(known_tail.count, pending[:taken], started)
            self.tail = tail
            return
        self._log.record(
            Event.APPEND_FAILED,
            batch=self._batch,
            outcome=result.outcome,
            position=known_tail.count,
            waiting=len(self.pending),
        )
        if result.outcome in (WriteOutcome.CONFLICT, WriteOutcome.UNKNOWN):
            await self._reload_until_answered()
        else:
            await self._clock.sleep(RETRY_SECONDS)

    def _record_appended(self, position: int, results: list[Result], started: float) -> None:
        """Records that the first pending results were appended at a position."""
        self._log_appended(position, results, started)
        self._view.add(position, results)
        self._view.confirm(started)
        self.listed.update(added.item for added in results)
        self.pending = self.pending[len(results) :]

    def _log_appended(self, position: int, results: list[Result], started: float) -> None:
        now = self._clock.now()
        for result in results:
            waited = now - self._ended_at.pop(result.item, now)
            self._services.metrics.observe(Timing.APPEND_WAIT, waited)
            self._services.metrics.count(Count.RESULTS, result.state)
        self._log.record(
            Event.APPENDED,
            batch=self._batch,
            position=position,
            items=[result.item for result in results],
            waiting=len(self.pending) - len(results),
            seconds=round(now - started, 3),
        )

    async def _reload_until_answered(self) -> None:
        while True:
            try:
                await self.reload()
                return
            except StoreUnavailableError:
                await self._clock.sleep(RETRY_SECONDS)
