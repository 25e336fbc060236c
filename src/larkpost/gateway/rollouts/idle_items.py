"""Logs the items of a batch that make no progress, and what each of them waits for.

An item makes progress when it produces output or is sent to a server. `item_runner.py` and
`reward_scorer.py` record in its `Progress` what it waits for.
"""

from collections.abc import Iterable

from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.engine_selector import EngineSelector
from larkpost.gateway.rollouts.item_routes import ItemRoutes
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.rollouts.progress import Progress

CHECK_INTERVAL_SECONDS = 0.5
"""Interval at which the items of a batch are checked."""
MAX_LINES_PER_CHECK = 4
"""Maximum number of items logged at a time; those without progress for longest come first."""


class IdleItemLog:
    """Logs the idle items of one batch; the interval between two lines of an item doubles."""

    def __init__(
        self,
        head: BatchHead,
        routes: ItemRoutes,
        engine_selector: EngineSelector,
        services: RunServices,
    ) -> None:
        self._head = head
        self._routes = routes
        self._engine_selector = engine_selector
        self._services = services
        self._next_check_at = float("-inf")

    def record_idle(self, items: Iterable[Progress], queued: int) -> None:
        """Logs the items without progress for longest, unless a check was made recently.

        Args:
            queued: number of items of the batch that wait for a slot.
        """
        now = self._services.clock.now()
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_SECONDS
        due = [item for item in items if now - item.idle_since >= item.idle_line_after]
        for item in sorted(due, key=lambda item: item.idle_since)[:MAX_LINES_PER_CHECK]:
            item.idle_line_after *= 2
            self._record(item, now, queued)

    def _record(self, progress: Progress, now: float, queued: int) -> None:
        """Logs an item with the placement verdicts on the engines of its service."""
        item = progress.item
        work = self._engine_selector.item_work.work_of(item)
        route = self._routes.route_of(item)
        service = self._engine_selector.item_work.service_of(item, route) if route else None
        is_served = service is not None
        self._services.log.record(
            Event.ITEM_IDLE,
            batch=self._head.id,
            item=item.id,
            content=item.content(self._head),
            waits_for=progress.waits_for,
            engine=progress.engine,
            seconds=round(now - progress.idle_since, 3),
            events=len(progress.events),
            whole=progress.whole,
            lost_runs=progress.lost_runs,
            service=service,
            verdicts=self._services.balancer.verdicts(service, work) if is_served else {},
            free_slots=self._engine_selector.count_free_slots(service) if is_served else 0,
            queued=queued,
            minimum_version=self._head.minimum_version,
        )
