"""Runs an item at one engine after another until its output is whole or it can have none.

Owns the places that runs have taken at faster engines before they ended. It relies on
`place_queue.py` for places, on `engine_run.py` for single runs, and on `retry_rules.py` for what
follows from their ends.
"""

from larkpost.gateway.blackboard.configuration import Route
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.known_crashes import BATCH_CRASH_LIMIT
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.metrics import Count, Timing
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.engine_run import EngineRuns
from larkpost.gateway.rollouts.faster_place import MoveAwayError
from larkpost.gateway.rollouts.item_routes import ItemRoutes
from larkpost.gateway.rollouts.model import BatchHead, Item, ItemId
from larkpost.gateway.rollouts.place_queue import PlaceQueue
from larkpost.gateway.rollouts.progress import DiscontinuityError, ItemRun, Progress
from larkpost.gateway.rollouts.retry_rules import REFUSED_AVOID_SECONDS, RunEnd, judge_run_error
from larkpost.gateway.rollouts.stalls import StalledError
from larkpost.gateway.servers.port import BrokenResponseError, NotRunError

AGAIN_PAUSE_SECONDS = 0.03
"""Pause before an item waits for a place again. One pass over the queue."""
QUARANTINE_CHECK_SECONDS = 0.5
"""Between two checks whether an item that crashes engines may run again, or its time is over."""

EXPECTED_ERRORS = (
    NotRunError,
    MoveAwayError,
    StalledError,
    TimeoutError,
    DiscontinuityError,
    UnicodeDecodeError,
    BrokenResponseError,
)
"""Ends of a run after which the item goes on; all other errors are faults of this program."""


class ItemRuns:
    """Makes the outputs of one batch's items whole."""

    def __init__(
        self,
        head: BatchHead,
        routes: ItemRoutes,
        places: PlaceQueue,
        runs: EngineRuns,
        services: RunServices,
    ) -> None:
        self._head = head
        self._routes = routes
        self._places = places
        self._runs = runs
        self._services = services
        self._taken: dict[ItemId, InstanceInfo] = {}
        """Places that runs have taken for their items before they ended, by item."""
        self._queued_at: dict[ItemId, float] = {}
        """Steady times since which items that have not run yet wait."""

    async def make_whole(self, progress: Progress) -> bool:
        """Runs an item at engines until its output is whole; False if it can never be."""
        item = progress.item
        self._queued_at[item.id] = self._services.clock.now()
        while not progress.whole:
            end = await self._advance(progress)
            if end is RunEnd.DEAD:
                return False
            if end is RunEnd.AGAIN and item.id not in self._taken:
                await self._services.clock.sleep(AGAIN_PAUSE_SECONDS)
        return True

    def release_unused(self, item: ItemId) -> None:
        """Releases the place that a run has taken for an item that runs no more."""
        unused = self._taken.pop(item, None)
        if unused is not None:
            self._services.balancer.release(unused.id)

    async def _advance(self, progress: Progress) -> RunEnd:
        """Runs an item once if it may run and gets a place."""
        item = progress.item
        route = self._routes.route_of(item)
        if self._routes.is_given_up(route):
            return RunEnd.DEAD
        if self._is_quarantined(item):
            await self._services.clock.sleep(QUARANTINE_CHECK_SECONDS)
            return RunEnd.AGAIN
        if route is None:
            return RunEnd.AGAIN
        engine = await self._take_place(progress, route)
        if engine is None:
            return RunEnd.AGAIN
        return await self._run_at(ItemRun(engine, route, progress))

    async def _take_place(self, progress: Progress, route: Route) -> InstanceInfo | None:
        """Returns where the item has a place; None if there was none for a while."""
        item = progress.item.id
        engine = self._taken.pop(item, None)
        if engine is None:
            engine = await self._places.take(progress, route, progress.pace_left)
        if engine is None:
            progress.pace_left = 0.0  # no engine as fast has a place any more
            return None
        queued_at = self._queued_at.pop(item, None)
        if queued_at is not None:
            queued = self._services.clock.now() - queued_at
            self._services.metrics.observe(Timing.ITEM_QUEUE, queued)
        return engine

    def _is_quarantined(self, item: Item) -> bool:
        """Returns whether an item must not run, as too many engines have crashed under its like.

        It is not given up: it runs again if it is cleared, until its time is over.
        """
        crashes = self._services.crashes
        if not crashes.has_suspects:
            return False
        return crashes.is_content_quarantined(item.content(self._head), BATCH_CRASH_LIMIT)

    async def _run_at(self, run: ItemRun) -> RunEnd:
        """Runs an item at its place at an engine, and releases the place."""
        began = self._services.clock.now()
        resumed_after = run.progress.last_event
        end = RunEnd.AGAIN
        try:
            end = await self._runs.run(run)
            outcome = end.value if end is not RunEnd.AGAIN else "failed"
        except EXPECTED_ERRORS as error:
            outcome = self._record_error(run, error)
        finally:
            self._services.balancer.release(run.engine.id)
        self._record_run(run, resumed_after, began, outcome)
        return end

    def _record_error(self, run: ItemRun, error: Exception) -> str:
        """Records what follows from the end of a run, and returns what the log calls it."""
        balancer, engine = self._services.balancer, run.engine.id
        if isinstance(error, NotRunError):
            balancer.record_cold(engine, error.cold_left)
            balancer.record_not_run(engine, error.reason, REFUSED_AVOID_SECONDS)
            return error.reason
        if isinstance(error, MoveAwayError):
            self._record_move(run, error)
            return "moved"
        failure = judge_run_error(error)
        if failure.loses_output:
            run.progress.restart()
        balancer.avoid(engine, failure.avoid_seconds)
        return failure.outcome

    def _record_move(self, run: ItemRun, move: MoveAwayError) -> None:
        run.progress.moves += 1
        self._taken[run.item.id] = move.engine
        run.progress.pace_left = self._services.balancer.service_times.lasting(run.engine.id)

    def _record_run(
        self, run: ItemRun, resumed_after: int | None, began: float, outcome: str
    ) -> None:
        """Logs the end of one run with what decided where it ran."""
        seconds = self._services.clock.now() - began
        balancer = self._services.balancer
        directory = self._services.directory
        self._services.metrics.count(Count.ITEM_RUNS, outcome.partition(":")[0])
        self._services.metrics.observe(Timing.ITEM_RUN, seconds)
        self._services.log.record(
            Event.ITEM_RUN,
            batch=self._head.id,
            item=run.item.id,
            content=run.item.content(self._head),
            group=run.item.group,
            engine=run.engine.id,
            outcome=outcome,
            events=len(run.progress.events),
            resumed_after=resumed_after,
            seconds=round(seconds, 3),
            occupied=balancer.occupied(run.engine),
            pace=round(balancer.service_time(run.engine.id), 4),
            lasting_pace=round(balancer.service_times.lasting(run.engine.id), 4),
            version=directory.version_of(run.engine.id, self._head.model),
            minimum_version=self._head.minimum_version,
        )
