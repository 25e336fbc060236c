"""Runs the items of one batch at engines until each has a result."""

import asyncio
from collections.abc import Callable

from larkpost.gateway.blackboard.configuration import (
    Configuration,
    Route,
    ServiceName,
)
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.known_crashes import BATCH_CRASH_LIMIT
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.metrics import Count, Timing
from larkpost.gateway.rollouts.attempt import DiscontinuityError, Progress
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.engine_choice import EngineChoice
from larkpost.gateway.rollouts.engine_run import EngineRuns, RunEnd, StalledError
from larkpost.gateway.rollouts.faster_place import MoveAwayError
from larkpost.gateway.rollouts.model import BatchHead, Item, ItemId, Result, ResultState, RewardCall
from larkpost.gateway.rollouts.place_queue import PlaceQueue
from larkpost.gateway.rollouts.reward import RewardScorer, RewardState
from larkpost.gateway.rollouts.stalls import LOOK_SECONDS, StallWatcher
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    NotRunError,
)

AGAIN_PAUSE_SECONDS = 0.03
REFUSED_AVOID_SECONDS = 0.15
BROKEN_AVOID_SECONDS = 0.3
SILENT_AVOID_SECONDS = 1.5
STALLED_AVOID_SECONDS = 0.3
"""How long an engine gets no more items after it left one of them waiting."""
HELD_PAUSE_SECONDS = 0.5
"""Between two looks whether an item that crashes engines may run again, or its time is over."""
FAULT_PAUSE_SECONDS = 1.0
"""Pause before an item is run again after an unexpected error."""


class BatchRun:
    """Runs the unfinished items of a batch that this daemon owns, each until it has a result.

    Args:
        finished: called with each result, in the order they arise.
        kept: output that an earlier owner of the batch has kept.
    """

    def __init__(
        self,
        head: BatchHead,
        items: tuple[Item, ...],
        services: RunServices,
        finished: Callable[[Result], None],
        kept: dict[ItemId, Progress] | None = None,
    ) -> None:
        self.head = head
        self.progress = {item.id: (kept or {}).get(item.id) or Progress(item) for item in items}
        self._services = services
        self._finished = finished
        self._engines = EngineChoice(head, services)
        self._scorer = RewardScorer(head, services)
        self._places = PlaceQueue(self._engines, services.balancer, services.clock)
        self._stalls = StallWatcher(services.clock)
        self._runs = EngineRuns(head, items, self._engines, self._stalls, self._places, services)
        self._granted: dict[ItemId, InstanceInfo] = {}
        """Places that runs have taken for their items before they ended, by item."""
        self._waiting = sorted(items, key=lambda item: item.expected_work, reverse=True)
        self._stall_task: asyncio.Task | None = None
        self._tasks: dict[ItemId, asyncio.Task] = {}

    def start(self) -> None:
        """Starts all items; each waits for its place at an engine, the longest first."""
        self._stall_task = asyncio.create_task(self._move_stalled())
        for item in self._waiting:
            task = asyncio.create_task(self._finish_item(item), name=item.id)
            self._tasks[item.id] = task
            task.add_done_callback(self._task_done)
        self._waiting = []

    def cancel(self) -> None:
        """Stops all runs; their connections close at once."""
        self._places.stop()
        if self._stall_task is not None:
            self._stall_task.cancel()
        for task in list(self._tasks.values()):
            task.cancel()

    def drop(self, items: set[ItemId]) -> None:
        """Stops the runs of items that another daemon has listed meanwhile."""
        for item in items & self._tasks.keys():
            self._tasks[item].cancel()
            self.progress.pop(item, None)

    def _task_done(self, task: asyncio.Task) -> None:
        item = ItemId(task.get_name())
        self._tasks.pop(item, None)
        unused = self._granted.pop(item, None)
        if unused is not None:
            self._services.balancer.release(unused.id)

    async def _move_stalled(self) -> None:
        """Ends runs that make nothing, as many as there are free places elsewhere."""
        while self._waiting or self._tasks:
            await self._services.clock.sleep(LOOK_SECONDS)
            free: dict[ServiceName, int] = {}
            for watch in self._stalls.stalled(self._services.balancer.pace):
                service = watch.engine.service
                if service not in free:
                    free[service] = self._engines.count_places(service)
                if free[service] > len(self._places):
                    free[service] -= 1
                    self._stalls.end(watch)

    async def _finish_item(self, item: Item) -> None:
        """Runs an item and has it scored until it has a result, whatever errors come between."""
        progress = self.progress[item.id]
        while True:
            try:
                is_done = await self._make_whole(item, progress)
                score = None
                if is_done and item.reward_call is not None:
                    score = await self._score(item, item.reward_call, progress)
                    is_done = score is not None
                break
            except Exception as error:
                where = f"item {item.id}"
                self._services.log.record(Event.FAULT, where=where, error=repr(error))
            await self._services.clock.sleep(FAULT_PAUSE_SECONDS)
        self.progress.pop(item.id, None)
        if is_done:
            self._finished(progress.result(score))
        else:
            self._finish_dead(item, progress)

    async def _score(self, item: Item, call: RewardCall, progress: Progress) -> str | None:
        """Returns the score of a whole output; None if it can have none."""
        route = self._route(item)
        outcome = await self._scorer.score(
            progress,
            call,
            route.max_attempts if route is not None else 0,
            lambda: self._is_given_up(self._route(item)),
        )
        return outcome.score if outcome.state is RewardState.SCORED else None

    async def _make_whole(self, item: Item, progress: Progress) -> bool:
        """Runs an item at engines until its output is whole; False if it can never be."""
        queued_at: float | None = self._services.clock.now()
        while not progress.whole:
            end = RunEnd.AGAIN
            route = self._route(item)
            if self._is_given_up(route):
                end = RunEnd.DEAD
            elif self._is_held(item):
                await self._services.clock.sleep(HELD_PAUSE_SECONDS)
            elif route is not None:
                engine = self._granted.pop(item.id, None)
                if engine is None:
                    engine = await self._places.take(progress, route, progress.pace_left)
                if engine is None:
                    progress.pace_left = 0.0  # no engine as fast has a place any more
                else:
                    if queued_at is not None:
                        queued = self._services.clock.now() - queued_at
                        self._services.metrics.observe(Timing.ITEM_QUEUE, queued)
                        queued_at = None
                    end = await self._run_at(engine, item, route, progress)
            if end is RunEnd.DEAD:
                return False
            if end is RunEnd.AGAIN and item.id not in self._granted:
                await self._services.clock.sleep(AGAIN_PAUSE_SECONDS)
        return True

    def _is_held(self, item: Item) -> bool:
        """Tells whether an item must not run, as too many engines have crashed under its like.

        It is not given up: it runs again if it is cleared, until its time is over.
        """
        crashes = self._services.crashes
        if not crashes.has_suspects:
            return False
        return crashes.holds_content(item.content(self.head), BATCH_CRASH_LIMIT)

    def _finish_dead(self, item: Item, progress: Progress) -> None:
        self._services.log.record(
            Event.ITEM_DEAD,
            batch=self.head.id,
            item=item.id,
            failed_runs=progress.failed_runs,
            impossible=progress.impossible_answers,
            failed_calls=progress.failed_calls,
        )
        self._finished(Result(item.id, ResultState.DEAD, group=item.group))

    def _route(self, item: Item) -> Route | None:
        configuration: Configuration | None = self._services.configuration.current
        if configuration is None:
            return None
        return configuration.match(self.head.host, item.path.partition("?")[0].encode())

    def _is_given_up(self, route: Route | None) -> bool:
        """Tells whether the time is over in which the item must be kept trying."""
        store_time = self._services.store_time()
        if store_time is None or route is None or not route.queue_lifetime:
            return False
        return store_time - self.head.created_at > route.queue_lifetime

    async def _run_at(
        self,
        engine: InstanceInfo,
        item: Item,
        route: Route,
        progress: Progress,
    ) -> RunEnd:
        """Runs an item at its place at an engine from where it is, and tells how that ended."""
        balancer = self._services.balancer
        began = self._services.clock.now()
        resumed_after = progress.last_event
        end = RunEnd.AGAIN
        reason = ""
        try:
            end = await self._runs.run(engine, item, route, progress)
            reason = end.value if end is not RunEnd.AGAIN else "failed"
        except NotRunError as error:
            balancer.record_cold(engine.id, error.cold_left)
            balancer.record_not_run(engine.id, error.reason, REFUSED_AVOID_SECONDS)
            reason = error.reason
        except MoveAwayError as move:
            progress.moves += 1
            if move.engine is not None:
                self._granted[item.id] = move.engine
            progress.pace_left = balancer.pace(engine.id)
            reason = "moved"
        except StalledError:
            balancer.avoid(engine.id, STALLED_AVOID_SECONDS)
            reason = "stalled"
        except TimeoutError:
            balancer.avoid(engine.id, SILENT_AVOID_SECONDS)
            reason = "silent"
        except DiscontinuityError as error:
            progress.restart()
            balancer.avoid(engine.id, BROKEN_AVOID_SECONDS)
            reason = f"broken: {error}"
        except UnicodeDecodeError as error:
            progress.restart()  # an output that is no text has no good beginning
            balancer.avoid(engine.id, BROKEN_AVOID_SECONDS)
            reason = f"broken: {error}"
        except BrokenResponseError as error:
            balancer.avoid(engine.id, BROKEN_AVOID_SECONDS)
            reason = f"broken: {error}"
        finally:
            balancer.release(engine.id)
        self._record_run(engine, progress, resumed_after, began, reason)
        return end

    def _record_run(
        self,
        engine: InstanceInfo,
        progress: Progress,
        resumed_after: int | None,
        began: float,
        reason: str,
    ) -> None:
        """Notes the end of one run with what decided where it ran."""
        seconds = self._services.clock.now() - began
        balancer = self._services.balancer
        directory = self._services.directory
        self._services.metrics.count(Count.ITEM_RUNS, reason.partition(":")[0])
        self._services.metrics.observe(Timing.ITEM_RUN, seconds)
        self._services.log.record(
            Event.ITEM_RUN,
            batch=self.head.id,
            item=progress.item.id,
            content=progress.item.content(self.head),
            group=progress.item.group,
            engine=engine.id,
            outcome=reason,
            events=len(progress.events),
            resumed_after=resumed_after,
            seconds=round(seconds, 3),
            occupied=balancer.occupied(engine),
            pace=round(balancer.pace(engine.id), 4),
            version=directory.version_of(engine.id, self.head.model),
            minimum_version=self.head.minimum_version,
        )
