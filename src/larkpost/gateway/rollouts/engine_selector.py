"""Selects engines for the items of one batch.

Items are assigned longest first, so that the longest ones get the fastest engines. Loads, sustained
service times and placement rules come from the balancer, the requirements of an item from
`item_work.py`, and the selection rules from `engine_rules.py`.
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
from larkpost.gateway.rollouts.item_routes import ItemRoutes
from larkpost.gateway.rollouts.item_work import ItemWork
from larkpost.gateway.rollouts.model import BatchHead, Item
from larkpost.gateway.rollouts.progress import ItemRun
from larkpost.gateway.rollouts.stall_detector import MonitoredRun, stall_timeout_seconds

OWN_ENGINES_ONLY_SECONDS = 0.6
"""For this long after its start, a batch uses only engines assigned to its model. Batches often
start at the same moment, and a daemon learns the load of the others only after a heartbeat and a
listing interval (0.25 s each)."""
BEST_SERVICE_TIME_CACHE_SECONDS = 0.25
"""Lifetime of a cached best service time; computing one takes a scan of the engines."""


class EngineSelector:
    """Selects engines for the items of one batch."""

    def __init__(self, head: BatchHead, services: RunServices) -> None:
        self._head = head
        self._services = services
        self._started_at = services.clock.now()
        self._routes = ItemRoutes(head, services)
        self.item_work = ItemWork(head, services)
        self._best_service_times: dict[tuple[ServiceName, Work, int], tuple[float, float]] = {}
        """Steady time of computation and best service time, by service, placement requirements
        and minimum version."""

    def choose(
        self, service: ServiceName, service_time_limit: float = 0.0, work: Work | None = None
    ) -> InstanceInfo | None:
        """Returns an engine with a free slot and a weight version that the batch accepts.

        Args:
            service_time_limit: maximum seconds per event of the engine, which must be warm and of
                known service time; 0 for any engine. Exceeded by `SERVICE_TIME_TOLERANCE` at most.
            work: placement requirements of the item; None for those of the batch.
        """
        allowed = self._allowed_engines(service)
        candidates = self._with_free_slot(service, work or self.item_work.work_of(), allowed)
        if allowed is not None:
            candidates = [info for info in candidates if info.id in allowed]
        if service_time_limit:
            candidates = self._fast_enough(service, candidates, service_time_limit)
        chosen = choose_engine(self._engine_states(service, candidates))
        return chosen.info if chosen is not None else None

    def _fast_enough(
        self, service: ServiceName, candidates: list[InstanceInfo], service_time_limit: float
    ) -> list[InstanceInfo]:
        """Returns the warm engines within the limit, except loading ones, which refuse all work."""
        balancer = self._services.balancer
        loading = self._services.allocator.loading(service, self._head.model)
        return [
            info
            for info in candidates
            if info.id not in loading
            and is_fast_enough(
                balancer.service_times.long_term(info.id),
                balancer.is_cold(info),
                service_time_limit,
            )
        ]

    def _allowed_engines(self, service: ServiceName) -> frozenset[InstanceId] | None:
        """Returns the engines to which the batch is limited now; None for no limit.

        At first, a batch is limited to the engines assigned to its model. Later it is limited only
        while it has time to spare and a batch of another model without spare time waits for slots.
        There is no limit while all assigned engines are cold, as after a zone is restored.
        """
        allocator = self._services.allocator
        is_new = self._services.clock.now() - self._started_at < OWN_ENGINES_ONLY_SECONDS
        if not is_new and not allocator.should_yield(service, self._head.model):
            return None
        assigned = allocator.engines_of(service, self._head.model)
        directory, balancer = self._services.directory, self._services.balancer
        known = (info for name in assigned if (info := directory.get(name)) is not None)
        return None if all(balancer.is_cold(info) for info in known) else assigned

    def _engine_states(
        self, service: ServiceName, candidates: list[InstanceInfo]
    ) -> list[EngineState]:
        """Returns the states of the engines, in the same order."""
        if not candidates:
            return []
        balancer = self._services.balancer
        loading = self._services.allocator.loading(service, self._head.model)
        return [
            EngineState(
                info,
                service_time=balancer.service_times.long_term(info.id),
                occupied=balancer.occupied(info),
                distance=balancer.distance(info),
                is_loading=info.id in loading,
                is_cold=balancer.is_cold(info),
            )
            for info in candidates
        ]

    def record_assigned(self, engine: InstanceInfo, work: Work) -> None:
        """Records that an item was assigned a slot at an engine and will be sent to it shortly.

        An engine that loads weights refuses all work. It is marked as refusing at once, so that
        only one item at a time tries it.
        """
        if engine.id in self._services.allocator.loading(engine.service, self._head.model):
            self._services.balancer.use(engine.id).mark_refusing(self._services.clock.now())
        if self._services.cold_rate_limit is not None:
            self._services.cold_rate_limit.reserve(engine)

    def count_free_slots(self, service: ServiceName) -> int:
        """Returns the estimated number of free slots at all matching engines.

        In a large service, it is extrapolated from a sample of the engines.
        """
        work = self.item_work.work_of()
        matching = self._with_free_slot(service, work)
        scale = self._services.balancer.candidate_pool(service, work).scale
        return int(sum(self._free_slots_at(info, work) for info in matching) * scale)

    def _free_slots_at(self, info: InstanceInfo, work: Work) -> int:
        """Returns the free slots of an engine; if it is cold, at most its remaining sends."""
        free = info.slots - self._services.balancer.occupied(info)
        cold_rate_limit = self._services.cold_rate_limit
        send_quota = (
            cold_rate_limit.remaining_sends(info, work) if cold_rate_limit is not None else None
        )
        return free if send_quota is None else min(free, send_quota)

    def stall_timeout(self, monitored_run: MonitoredRun) -> float:
        """Returns the seconds without an event after which a run counts as stalled."""
        engine = monitored_run.engine
        loading = self._services.allocator.loading(engine.service, self._head.model)
        service_time = self._services.balancer.service_times.long_term(engine.id)
        return stall_timeout_seconds(service_time, is_loading=engine.id in loading)

    def is_served_by(self, item: Item, engine: InstanceInfo) -> bool:
        """Returns whether an item's route in the current configuration leads to an engine."""
        route = self._routes.route_of(item)
        return route is not None and self.item_work.service_of(item, route) == engine.service

    def may_migrate_to(self, engine: InstanceInfo, run: ItemRun) -> bool:
        """Returns whether a run may still migrate to an engine where it was assigned a slot.

        The engine must be known, warm and still faster: service times may have changed meanwhile.
        """
        known = self._services.directory.get(engine.id)
        balancer = self._services.balancer
        if known is None or balancer.is_cold(known):
            return False
        service_time = balancer.service_times.long_term(engine.id)
        if not service_time or not is_slower_by(
            self._source_service_time(run.engine), service_time, MIGRATION_RATIO
        ):
            return False
        return balancer.placement.allows(known, self.item_work.work_of(run.item))

    def target_service_time(self, run: ItemRun) -> float:
        """Returns the service time limit of a run's slot request; 0 if it should not migrate.

        Does not check whether an engine within the limit has a free slot. Ignores engines with
        older weights than the run's engine, which are about to load and refuse all work. Considers
        only a sample of the engines of a large service.
        """
        engine, events = run.engine, len(run.progress.events)
        service_time = self._source_service_time(engine)
        if not could_migration_pay_off(events, service_time):
            return 0.0
        version = self._services.directory.version_of(engine.id, self._head.model)
        best = self._best_service_time(engine.service, self.item_work.work_of(run.item), version)
        return migration_service_time_limit(events, service_time, best)

    def _source_service_time(self, engine: InstanceInfo) -> float:
        service_times = self._services.balancer.service_times
        return migration_source_service_time(
            service_times.long_term(engine.id), service_times.recent(engine.id)
        )

    def _best_service_time(self, service: ServiceName, work: Work, version: int) -> float:
        """Returns the service time of the fastest warm engine with at least a weight version.

        Returns 0 if unknown. The value is cached for `BEST_SERVICE_TIME_CACHE_SECONDS`.
        """
        now = self._services.clock.now()
        known = self._best_service_times.get((service, work, version))
        if known is not None and now - known[0] < BEST_SERVICE_TIME_CACHE_SECONDS:
            return known[1]
        balancer = self._services.balancer
        directory = self._services.directory
        service_times = [
            service_time
            for info in balancer.candidate_pool(service, work).instances
            if (service_time := balancer.service_times.long_term(info.id))
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
        """Returns the matching engines with a free slot, the least occupied first.

        Args:
            within: engines to which the search in a large service is limited; None for no limit.
        """
        balancer = self._services.balancer
        matching = balancer.candidates(service, work, eligible=self._is_not_avoided, within=within)
        return [info for info in matching if balancer.has_free_slot(info)]

    def _is_not_avoided(self, info: InstanceInfo) -> bool:
        """Returns whether an engine is not avoided because of a recent failure."""
        return not self._services.balancer.is_avoided(info.id)
