"""Runs an item at one engine after another until its output is complete or the item is given up.

Uses or releases the slots that migrating runs have reserved at faster engines. `slot_queue.py`
assigns slots, `engine_runner.py` makes single runs, and `retry_rules.py` decides what follows from
their outcomes.
"""

from larkpost.gateway.blackboard.configuration import Route
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.metrics import Count, Timing
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.engine_runner import EngineRunner
from larkpost.gateway.rollouts.faster_engine import MigrateRunError
from larkpost.gateway.rollouts.item_routes import ItemRoutes
from larkpost.gateway.rollouts.model import BatchHead, ItemId
from larkpost.gateway.rollouts.progress import (
    DiscontinuityError,
    ItemRun,
    OversizedOutputError,
    Progress,
    WaitsFor,
)
from larkpost.gateway.rollouts.retry_pause import pause_before_retry
from larkpost.gateway.rollouts.retry_rules import (
    REFUSED_AVOID_SECONDS,
    RunOutcome,
    classify_run_error,
)
from larkpost.gateway.rollouts.slot_queue import SlotQueue
from larkpost.gateway.rollouts.stall_detector import StalledError
from larkpost.gateway.servers.port import BrokenResponseError, NotRunError

EXPECTED_ERRORS = (
    NotRunError,
    MigrateRunError,
    StalledError,
    TimeoutError,
    DiscontinuityError,
    OversizedOutputError,
    UnicodeDecodeError,
    BrokenResponseError,
)
"""Errors after which the item is run again; any other error is a bug."""


class ItemRunner:
    """Runs the items of one batch to completion."""

    def __init__(
        self,
        head: BatchHead,
        routes: ItemRoutes,
        slot_queue: SlotQueue,
        engine_runner: EngineRunner,
        services: RunServices,
    ) -> None:
        self._head = head
        self._routes = routes
        self._slot_queue = slot_queue
        self._engine_runner = engine_runner
        self._services = services
        self._queued_at: dict[ItemId, float] = {}
        """Steady times at which items that have not run yet were queued."""

    async def run_to_completion(self, progress: Progress) -> bool:
        """Runs an item until its output is complete; False if the item is given up."""
        item = progress.item
        reservations = self._slot_queue.reservations
        self._queued_at[item.id] = self._services.clock.now()
        progress.record_activity(self._services.clock.now())
        try:
            while not progress.whole:
                run_outcome = await self._attempt_run(progress)
                if run_outcome is RunOutcome.DEAD:
                    return False
                if run_outcome is RunOutcome.RETRY and item.id not in reservations:
                    await pause_before_retry(progress, self._routes, self._services.clock)
            return True
        finally:
            reservations.release(item.id)

    async def _attempt_run(self, progress: Progress) -> RunOutcome:
        """Runs an item once if it may run and gets a slot; uses or releases its reserved slot."""
        item = progress.item
        route = self._routes.route_of(item)
        if self._routes.is_expired(route):
            return RunOutcome.DEAD
        engine = self._slot_queue.reservations.take(item)
        if route is None:
            progress.wait_for(WaitsFor.ROUTE)
            return RunOutcome.RETRY
        progress.wait_for(WaitsFor.SLOT)
        engine = engine or await self._acquire_slot(progress, route)
        if engine is None:
            return RunOutcome.RETRY
        return await self._run_at(ItemRun(engine, route, progress))

    async def _acquire_slot(self, progress: Progress, route: Route) -> InstanceInfo | None:
        """Returns the engine where the item has a slot; None after a timeout."""
        engine = await self._slot_queue.acquire(progress, route, progress.service_time_limit)
        if engine is None:
            progress.service_time_limit = 0.0  # no engine within the limit has a free slot
            return None
        queued_at = self._queued_at.pop(progress.item.id, None)
        if queued_at is not None:
            queued = self._services.clock.now() - queued_at
            self._services.metrics.observe(Timing.ITEM_QUEUE, queued)
        return engine

    async def _run_at(self, run: ItemRun) -> RunOutcome:
        """Runs an item at the engine where it has a slot, and releases the slot."""
        started = self._services.clock.now()
        resumed_after = run.progress.last_event
        run_outcome = RunOutcome.RETRY
        run.progress.wait_for(WaitsFor.OUTPUT, run.engine.id)
        try:
            run_outcome = await self._engine_runner.run(run)
            outcome = run_outcome.value if run_outcome is not RunOutcome.RETRY else "failed"
        except EXPECTED_ERRORS as error:
            outcome = self._record_error(run, error)
        finally:
            self._services.balancer.release(run.engine.id)
            run.progress.wait_for(WaitsFor.PAUSE)
        self._record_run(run, resumed_after, started, outcome)
        return run_outcome

    def _record_error(self, run: ItemRun, error: Exception) -> str:
        """Records the consequences of a failed run, and returns its outcome for the log."""
        balancer, engine = self._services.balancer, run.engine.id
        if isinstance(error, NotRunError):
            balancer.record_cold(engine, error.cold_left)
            balancer.record_not_run(engine, error.reason, REFUSED_AVOID_SECONDS)
            return error.reason
        if isinstance(error, MigrateRunError):
            self._record_migration(run)
            return "moved"
        if isinstance(error, BrokenResponseError) and error.connection_lost:
            run.progress.record_lost_run(self._services.clock.now())
        failure = classify_run_error(error)
        if failure.discards_output:
            run.progress.restart()
        balancer.avoid(engine, failure.avoid_seconds)
        return failure.outcome

    def _record_migration(self, run: ItemRun) -> None:
        run.progress.migrations += 1
        run.progress.service_time_limit = self._services.balancer.service_times.long_term(
            run.engine.id
        )

    def _record_run(
        self, run: ItemRun, resumed_after: int | None, started: float, outcome: str
    ) -> None:
        """Logs the end of a run with the state of its engine."""
        seconds = self._services.clock.now() - started
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
            lasting_pace=round(balancer.service_times.long_term(run.engine.id), 4),
            version=directory.version_of(run.engine.id, self._head.model),
            minimum_version=self._head.minimum_version,
        )
