"""Finds the engines that fit an item of a batch, and applies the rules of the choice to them.

Items come longest first, so that the longest ones get the fastest engines. The module owns what is
known of one batch: when it began, and the best paces as of a moment ago. It relies on the balancer
for loads, lasting paces and the rules of placement, on `item_work.py` for what an item asks, and on
`engine_rules.py` for the choice.
"""

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.placement.work import Work
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.engine_rules import (
    MIGRATION_RATIO,
    EngineState,
    choose_engine,
    could_migration_pay_off,
    is_fast_enough,
    is_slower_by,
    migration_service_time_limit,
    migration_source_service_time,
)
from larkpost.gateway.rollouts.item_work import ItemWork
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.rollouts.progress import ItemRun
from larkpost.gateway.rollouts.stall_detector import MonitoredRun, stall_timeout_seconds

OWN_ENGINES_ONLY_SECONDS = 0.6
"""For so long a batch takes places at its model's own engines only. Batches often come at the same
moment, and what the others take is known a heartbeat and its listing (0.25 s each) later."""
BEST_SERVICE_TIME_CACHE_SECONDS = 0.25
"""How long the best pace of a service is reused: each run of a batch asks for it at every few
events, and all engines are looked at for it."""


class EngineSelector:
    """Chooses engines for the items of one batch."""

    def __init__(self, head: BatchHead, services: RunServices) -> None:
        self._head = head
        self._services = services
        self._began_at = services.clock.now()
        self.items = ItemWork(head, services)
        self._best_service_times: dict[tuple[ServiceName, Work, int], tuple[float, float]] = {}
        """When the best pace at engines of a version was last worked out, and that pace."""

    def choose(
        self, service: ServiceName, service_time_limit: float = 0.0, work: Work | None = None
    ) -> InstanceInfo | None:
        """Returns an engine with a free place and a version that may make the batch's tokens.

        Args:
            pace_limit: the engine must be warm and known to be about as fast as this, in seconds
                for an event; 0 for any engine.
            work: what the rules of placement ask of the item; None for the batch's own.
        """
        allowed = self._allowed_engines(service)
        candidates = self._with_free_slot(service, work or self.items.work_of(), allowed)
        if allowed is not None:
            candidates = [info for info in candidates if info.id in allowed]
        if service_time_limit:
            candidates = self._fast_enough(service, candidates, service_time_limit)
        chosen = choose_engine(self._states(service, candidates))
        return chosen.info if chosen is not None else None

    def _fast_enough(
        self, service: ServiceName, candidates: list[InstanceInfo], service_time_limit: float
    ) -> list[InstanceInfo]:
        """Returns the engines that a moved run may go on at; those that load refuse it."""
        balancer = self._services.balancer
        loading = self._services.division.loading(service, self._head.model)
        return [
            info
            for info in candidates
            if info.id not in loading
            and is_fast_enough(
                balancer.service_times.lasting(info.id), balancer.is_cold(info), service_time_limit
            )
        ]

    def _allowed_engines(self, service: ServiceName) -> frozenset[InstanceId] | None:
        """Returns the only engines that the batch may use now; None for any.

        At first those are its model's own, and later too while it has time to spare and a batch of
        another model that has none waits for places. If all of them are cold, as after the return
        of a zone, the batch need not wait for them.
        """
        division = self._services.division
        is_new = self._services.clock.now() - self._began_at < OWN_ENGINES_ONLY_SECONDS
        if not is_new and not division.should_yield(service, self._head.model):
            return None
        own = division.engines_of(service, self._head.model)
        directory, balancer = self._services.directory, self._services.balancer
        known = (info for name in own if (info := directory.get(name)) is not None)
        return None if all(balancer.is_cold(info) for info in known) else own

    def _states(self, service: ServiceName, candidates: list[InstanceInfo]) -> list[EngineState]:
        """Returns what is known of engines, in the same order."""
        if not candidates:
            return []
        balancer = self._services.balancer
        loading = self._services.division.loading(service, self._head.model)
        return [
            EngineState(
                info,
                service_time=balancer.service_times.lasting(info.id),
                occupied=balancer.occupied(info),
                distance=balancer.distance(info),
                is_loading=info.id in loading,
                is_cold=balancer.is_cold(info),
            )
            for info in candidates
        ]

    def record_assigned(self, engine: InstanceInfo) -> None:
        """Records that an item was assigned a place at an engine, and will send in a moment.

        An engine that loads weights refuses all that come, so one item at a time tries it.
        """
        if engine.id in self._services.division.loading(engine.service, self._head.model):
            self._services.balancer.use(engine.id).mark_refusing(self._services.clock.now())
        if self._services.cold is not None:
            self._services.cold.reserve(engine)

    def count_free_slots(self, service: ServiceName) -> int:
        """Returns how many places the engines that fit are believed to have free."""
        work = self.items.work_of()
        fitting = self._with_free_slot(service, work)
        scale = self._services.balancer.candidate_pool(service, work).scale
        return int(sum(self._free_slots_at(info, work) for info in fitting) * scale)

    def _free_slots_at(self, info: InstanceInfo, work: Work) -> int:
        """Returns an engine's free places; at a cold one, those that may be used now."""
        free = info.slots - self._services.balancer.occupied(info)
        cold = self._services.cold
        left = cold.remaining_sends(info, work) if cold is not None else None
        return free if left is None else min(free, left)

    def stall_timeout(self, watch: MonitoredRun) -> float:
        """Returns the seconds for which a run may make nothing before it is stalled."""
        engine = watch.engine
        loading = self._services.division.loading(engine.service, self._head.model)
        service_time = self._services.balancer.service_times.lasting(engine.id)
        return stall_timeout_seconds(service_time, is_loading=engine.id in loading)

    def may_migrate_to(self, engine: InstanceInfo, run: ItemRun) -> bool:
        """Returns whether a run may still move to the place that it was assigned at an engine.

        The engine must be known and warm, and still faster: paces may have changed meanwhile.
        """
        known = self._services.directory.get(engine.id)
        balancer = self._services.balancer
        if known is None or balancer.is_cold(known):
            return False
        service_time = balancer.service_times.lasting(engine.id)
        if not service_time or not is_slower_by(
            self._source_service_time(run.engine), service_time, MIGRATION_RATIO
        ):
            return False
        return balancer.placement.allows(known, self.items.work_of(run.item))

    def target_service_time(self, run: ItemRun) -> float:
        """Returns the pace that a run should go on at elsewhere; 0 if it is to stay.

        Whether an engine of that pace has a free place is not asked. An engine whose weights are
        older than those of the run's engine is about to load and to refuse all work. Of a large
        service only some engines are looked at.
        """
        engine, events = run.engine, len(run.progress.events)
        service_time = self._source_service_time(engine)
        if not could_migration_pay_off(events, service_time):
            return 0.0
        version = self._services.directory.version_of(engine.id, self._head.model)
        best = self._best_service_time(engine.service, self.items.work_of(run.item), version)
        return migration_service_time_limit(events, service_time, best)

    def _source_service_time(self, engine: InstanceInfo) -> float:
        service_times = self._services.balancer.service_times
        return migration_source_service_time(
            service_times.lasting(engine.id), service_times.recent(engine.id)
        )

    def _best_service_time(self, service: ServiceName, work: Work, version: int) -> float:
        """Returns the best pace at engines of a version or a newer one, as of a moment ago."""
        now = self._services.clock.now()
        known = self._best_service_times.get((service, work, version))
        if known is not None and now - known[0] < BEST_SERVICE_TIME_CACHE_SECONDS:
            return known[1]
        balancer = self._services.balancer
        directory = self._services.directory
        service_times = [
            service_time
            for info in balancer.candidate_pool(service, work).instances
            if (service_time := balancer.service_times.lasting(info.id))
            and not balancer.is_cold(info)
            and directory.version_of(info.id, self._head.model) >= version
            and not balancer.is_avoided(info.id)
            and balancer.placement.allows(info, work)
        ]
        best = min(service_times, default=0.0)
        self._best_service_times[service, work, version] = (now, best)
        return best

    def _with_free_slot(
        self, service: ServiceName, work: Work, within: frozenset[InstanceId] | None = None
    ) -> list[InstanceInfo]:
        """Returns the engines that fit and have a free place, the least occupied first.

        Args:
            within: the only engines of a large service to look at; None for any.
        """
        balancer = self._services.balancer
        fitting = balancer.candidates(service, work, eligible=self._is_not_avoided, within=within)
        return [info for info in fitting if balancer.has_free_slot(info)]

    def _is_not_avoided(self, info: InstanceInfo) -> bool:
        """Returns whether an engine did not fail a moment ago."""
        return not self._services.balancer.is_avoided(info.id)
