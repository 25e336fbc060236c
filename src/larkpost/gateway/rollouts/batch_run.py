"""Runs the items of one batch until each has a result.

Each item has a task of its own. `item_runner.py` produces the outputs, and `reward_scorer.py`
obtains their scores.
"""

import asyncio
from collections.abc import Callable

from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.daemon_report import BatchProgress
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.engine_runner import EngineRunner
from larkpost.gateway.rollouts.engine_selector import EngineSelector
from larkpost.gateway.rollouts.idle_items import IdleItemLog
from larkpost.gateway.rollouts.item_routes import ItemRoutes
from larkpost.gateway.rollouts.item_runner import ItemRunner
from larkpost.gateway.rollouts.model import BatchHead, Item, ItemId, Result, ResultState
from larkpost.gateway.rollouts.progress import Progress
from larkpost.gateway.rollouts.remaining_work import summarize_progress
from larkpost.gateway.rollouts.reward_scorer import RewardScorer
from larkpost.gateway.rollouts.slot_queue import SlotQueue
from larkpost.gateway.rollouts.stall_detector import CHECK_INTERVAL_SECONDS

FAULT_PAUSE_SECONDS = 1.0
"""Pause before an item is run again after an unexpected error, which may recur each time."""


class BatchRun:
    """Runs the unfinished items of a batch that this daemon owns, each until it has a result.

    Args:
        on_result: called with each result as it becomes available.
        stored_outputs: partial outputs that an earlier owner of the batch has stored.
    """

    def __init__(
        self,
        head: BatchHead,
        items: tuple[Item, ...],
        services: RunServices,
        on_result: Callable[[Result], None],
        stored_outputs: dict[ItemId, Progress] | None = None,
    ) -> None:
        self.head = head
        self.progress = {
            item.id: (stored_outputs or {}).get(item.id) or Progress(item) for item in items
        }
        self._services = services
        self._on_result = on_result
        self._engine_selector = EngineSelector(head, services)
        self._slot_queue = SlotQueue(
            self._engine_selector, services.balancer, services.clock, self._record_queue_error
        )
        engine_runner = EngineRunner(head, items, self._engine_selector, self._slot_queue, services)
        self._stall_detector = engine_runner.stall_detector
        routes = ItemRoutes(head, services)
        self._item_runner = ItemRunner(head, routes, self._slot_queue, engine_runner, services)
        self._scorer = RewardScorer(head, routes, services)
        self._idle_items = IdleItemLog(head, routes, self._engine_selector, services)
        self._is_cancelled = False
        self._unstarted = sorted(items, key=lambda item: item.expected_work, reverse=True)
        self._stall_task: asyncio.Task | None = None
        self._tasks: dict[ItemId, asyncio.Task] = {}

    def start(self) -> None:
        """Starts all items; they queue for slots at engines, the longest first."""
        self._stall_task = asyncio.create_task(self._watch_for_stalls())
        for item in self._unstarted:
            self._start_item(item)
        self._unstarted = []

    def _start_item(self, item: Item) -> None:
        task = asyncio.create_task(self._finish_item(item), name=item.id)
        self._tasks[item.id] = task
        task.add_done_callback(self._task_done)

    def summarize_progress(self) -> BatchProgress:
        """Returns the progress of the batch, for the deadline forecasts of all daemons."""
        return summarize_progress(
            self.progress.values(), self._tokens_per_event(), len(self._slot_queue)
        )

    def _tokens_per_event(self) -> int:
        configuration = self._services.configuration.current
        services = configuration.services.values() if configuration is not None else ()
        serving = (service for service in services if self.head.model in service.models)
        service = next(serving, None)
        return service.tokens_per_event if service is not None else 1

    def cancel(self) -> None:
        """Cancels all runs; their connections close at once."""
        self._is_cancelled = True
        self._slot_queue.stop()
        if self._stall_task is not None:
            self._stall_task.cancel()
        for task in list(self._tasks.values()):
            task.cancel()

    def cancel_items(self, items: set[ItemId]) -> None:
        """Cancels the runs of items whose results another daemon has appended to the list."""
        for item in items & self._tasks.keys():
            self._tasks[item].cancel()
            self.progress.pop(item, None)

    def _task_done(self, task: asyncio.Task) -> None:
        """Starts an item again whose task ended without a result, though nobody cancelled it."""
        item = ItemId(task.get_name())
        self._tasks.pop(item, None)
        progress = self.progress.get(item)
        if progress is None or self._is_cancelled:
            return
        error = asyncio.CancelledError() if task.cancelled() else task.exception()
        self._record_fault(f"task of item {item}", error)
        asyncio.get_running_loop().call_later(FAULT_PAUSE_SECONDS, self._restart_item, progress)

    def _restart_item(self, progress: Progress) -> None:
        if not self._is_cancelled and self.progress.get(progress.item.id) is progress:
            self._start_item(progress.item)

    async def _watch_for_stalls(self) -> None:
        """Checks for stalled runs at intervals, and aborts them if there are free slots."""
        while self.progress:
            await self._services.clock.sleep(CHECK_INTERVAL_SECONDS)
            try:
                self._abort_stalled()
                self._idle_items.record_idle(self.progress.values(), len(self._slot_queue))
            except Exception as error:
                self._record_fault("stall check", error)

    def _abort_stalled(self) -> None:
        """Aborts stalled runs while there are more free slots than waiting items."""
        free: dict[ServiceName, int] = {}
        for monitored_run in self._stall_detector.find_stalled(self._engine_selector.stall_timeout):
            service = monitored_run.engine.service
            if service not in free:
                free[service] = self._engine_selector.count_free_slots(service)
            if free[service] > len(self._slot_queue):
                free[service] -= 1
                self._stall_detector.abort(monitored_run)

    async def _finish_item(self, item: Item) -> None:
        """Runs and scores an item until it has a result; retries after unexpected errors."""
        progress = self.progress[item.id]
        while True:
            try:
                is_done, score = await self._complete(progress)
                break
            except Exception as error:
                self._record_fault(f"item {item.id}", error)
            await self._services.clock.sleep(FAULT_PAUSE_SECONDS)
        if is_done:
            self._on_result(progress.result(score))
        else:
            self._finish_dead(item, progress)
        self.progress.pop(item.id, None)

    async def _complete(self, progress: Progress) -> tuple[bool, str | None]:
        """Completes the output of an item and obtains its score.

        Returns:
            Whether the item is done rather than dead; its score, None without a reward call.
        """
        if not await self._item_runner.run_to_completion(progress):
            return False, None
        call = progress.item.reward_call
        if call is None:
            return True, None
        score = await self._scorer.score(progress, call)
        return score is not None, score

    def _record_queue_error(self, error: Exception) -> None:
        self._record_fault("slot queue", error)

    def _record_fault(self, where: str, error: BaseException | None) -> None:
        """Logs an unexpected error; what failed is repeated."""
        where = f"{where} of batch {self.head.id}"
        self._services.log.record(Event.FAULT, where=where, error=repr(error))

    def _finish_dead(self, item: Item, progress: Progress) -> None:
        self._services.log.record(
            Event.ITEM_DEAD,
            batch=self.head.id,
            item=item.id,
            failed_runs=progress.failed_runs,
            impossible=progress.unprocessable_responses,
            failed_calls=progress.failed_calls,
        )
        self._on_result(Result(item.id, ResultState.DEAD, group=item.group))
