"""Runs the items of one batch at engines until each has a result."""

import asyncio
from collections.abc import Callable
from enum import StrEnum

from larkpost.eventlog import Event
from larkpost.fleet.configuration import (
    Configuration,
    Route,
)
from larkpost.fleet.directory import InstanceInfo
from larkpost.metrics import Count, Timing
from larkpost.proxy.port import (
    BrokenAnswerError,
    NotRunError,
    NotRunReason,
    OutgoingRequest,
    ServerAnswer,
)
from larkpost.rollouts.attempt import DiscontinuityError, Progress
from larkpost.rollouts.context import RunServices
from larkpost.rollouts.engine_choice import EngineChoice
from larkpost.rollouts.model import BatchHead, Item, ItemId, Result, ResultState, RewardCall
from larkpost.rollouts.place_queue import PlaceQueue
from larkpost.rollouts.reward import RewardScorer, RewardState

FIRST_EVENT_SECONDS = 2.5
"""Longest wait for an answer's head and for its first event."""
EVENT_GAP_SECONDS = 1.2
"""Longest pause between two events before the run is continued elsewhere."""
AGAIN_PAUSE_SECONDS = 0.03
REFUSED_AVOID_SECONDS = 0.15
BROKEN_AVOID_SECONDS = 0.3
SILENT_AVOID_SECONDS = 1.5
MAX_MOVES = 2
"""An item is moved this often at most: what it has made is read again at each new engine."""
EVENT_PACE_WEIGHT = 0.06
"""Weight of one pause between two events in an engine's pace: single pauses vary with prefills."""
EVENTS_BETWEEN_LOOKS = 4
"""How often a run looks for a faster engine."""
FAULT_PAUSE_SECONDS = 1.0
"""Pause before an item is run again after an unexpected error."""


class RunEnd(StrEnum):
    """How one run of an item ended."""

    WHOLE = "whole"
    AGAIN = "again"
    DEAD = "dead"


class MoveAwayError(Exception):
    """The run is to go on at a faster engine."""


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
        longest_first = services.policy.longest_first
        self._places = PlaceQueue(
            self._engines, services.balancer, services.clock, longest_first=longest_first
        )
        self._waiting = list(items)
        if longest_first:
            self._waiting.sort(key=lambda item: item.expected_work, reverse=True)
        self._tasks: dict[ItemId, asyncio.Task] = {}

    def start(self) -> None:
        """Starts all items; each waits for its place at an engine, the longest first."""
        for item in self._waiting:
            task = asyncio.create_task(self._finish_item(item), name=item.id)
            self._tasks[item.id] = task
            task.add_done_callback(self._task_done)
        self._waiting = []

    def cancel(self) -> None:
        """Stops all runs; their connections close at once."""
        self._places.cancel()
        for task in list(self._tasks.values()):
            task.cancel()

    def drop(self, items: set[ItemId]) -> None:
        """Stops the runs of items that another daemon has listed meanwhile."""
        for item in items & self._tasks.keys():
            self._tasks[item].cancel()
            self.progress.pop(item, None)

    def _task_done(self, task: asyncio.Task) -> None:
        self._tasks.pop(ItemId(task.get_name()), None)

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
                self._services.log.note(Event.FAULT, where=where, error=repr(error))
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
            elif route is not None:
                engine = await self._places.take(item, route, progress.pace_left)
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
            if end is RunEnd.AGAIN:
                await self._services.clock.sleep(AGAIN_PAUSE_SECONDS)
        return True

    def _finish_dead(self, item: Item, progress: Progress) -> None:
        self._services.log.note(
            Event.ITEM_DEAD,
            batch=self.head.id,
            item=item.id,
            failed_runs=progress.failed_runs,
            impossible=progress.impossible_answers,
            failed_calls=progress.failed_calls,
        )
        self._finished(Result(item.id, ResultState.DEAD))

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
        if progress.last_event is not None and route.single_version:
            self._keep_pure(engine, progress)
        began = self._services.clock.now()
        resumed_after = progress.last_event
        end = RunEnd.AGAIN
        reason = ""
        try:
            end = await self._stream(engine, item, route, progress)
            reason = end.value if end is not RunEnd.AGAIN else "failed"
        except NotRunError as error:
            balancer.note_not_run(engine.id, error.reason, REFUSED_AVOID_SECONDS)
            reason = error.reason
        except MoveAwayError:
            progress.moves += 1
            progress.pace_left = balancer.pace(engine.id)
            reason = "moved"
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
        except BrokenAnswerError as error:
            balancer.avoid(engine.id, BROKEN_AVOID_SECONDS)
            reason = f"broken: {error}"
        finally:
            balancer.release(engine.id)
        self._note_run(engine, progress, resumed_after, began, reason)
        return end

    def _note_run(
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
        self._services.log.note(
            Event.ITEM_RUN,
            batch=self.head.id,
            item=progress.item.id,
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

    def _keep_pure(self, engine: InstanceInfo, progress: Progress) -> None:
        version = self._services.directory.version_of(engine.id, self.head.model)
        if progress.versions != {version}:
            progress.restart()

    async def _stream(
        self,
        engine: InstanceInfo,
        item: Item,
        route: Route,
        progress: Progress,
    ) -> RunEnd:
        if not self._services.directory.takes_work(engine.id):
            raise NotRunError(NotRunReason.LEAVING)
        request = self._request(item, progress)
        began = self._services.clock.now()
        async with asyncio.timeout(FIRST_EVENT_SECONDS) as limit:
            async with self._services.servers.send(engine, request) as answer:
                self._services.balancer.note_load(engine.id, answer.load)
                if answer.status != 200:
                    return self._judge_failure(route, progress, answer)
                await self._take_events(engine, route, progress, answer, limit, began)
        if not progress.events:
            raise BrokenAnswerError("a stream without events")
        progress.complete()
        return RunEnd.WHOLE

    def _request(self, item: Item, progress: Progress) -> OutgoingRequest:
        return OutgoingRequest(
            request_id=item.id.encode("latin-1"),
            method="POST",
            host=self.head.host.encode("latin-1"),
            target=item.path.encode("latin-1"),
            headers=tuple(
                (name.encode("latin-1"), value.encode("latin-1")) for name, value in item.headers
            ),
            body=item.body,
            resume_after=progress.last_event,
            tenant=self.head.tenant,
        )

    async def _take_events(
        self,
        engine: InstanceInfo,
        route: Route,
        progress: Progress,
        answer: ServerAnswer,
        limit: asyncio.Timeout,
        began: float,
    ) -> None:
        """Takes the events of a run.

        Raises:
            BrokenAnswerError: the stream broke off, or its version is not to be used.
            MoveAwayError: a faster engine is free.
        """
        loop = asyncio.get_running_loop()
        version = answer.version or 0
        self._services.directory.observe_version(engine.id, self.head.model, version)
        last_at: float | None = None
        count = 0
        async for event in answer.events():
            now = loop.time()
            limit.reschedule(now + EVENT_GAP_SECONDS)
            if event.version is not None:
                version = event.version
                self._services.directory.observe_version(engine.id, self.head.model, version)
            if version < self.head.minimum_version:
                raise BrokenAnswerError(f"version {version} is too old")
            if route.single_version and progress.versions - {version}:
                progress.restart()
                raise BrokenAnswerError("the version changed within a result")
            progress.take(event.id, event.data, version)
            if last_at is None:
                self._services.metrics.observe(Timing.ITEM_FIRST_EVENT, now - began)
            else:
                self._services.balancer.note_pace(engine.id, now - last_at, EVENT_PACE_WEIGHT)
            last_at = now
            count += 1
            may_move = progress.moves < MAX_MOVES and count % EVENTS_BETWEEN_LOOKS == 0
            if may_move and self._engines.is_outpaced(engine, progress):
                raise MoveAwayError

    def _judge_failure(self, route: Route, progress: Progress, answer: ServerAnswer) -> RunEnd:
        if answer.status == 422:
            progress.impossible_answers += 1
            return RunEnd.DEAD
        if answer.status == 500:
            progress.failed_runs += 1
            if progress.failed_runs >= route.max_attempts:
                return RunEnd.DEAD
        return RunEnd.AGAIN
