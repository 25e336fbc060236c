"""Allocates each service's engines to its models, and derives the loads that follow.

`controllers.weight_loader` asks for the due loads and orders them; `rollouts` asks for a model's
preferred engines and for the loading ones, which it avoids. All daemons compute the same result.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.configuration import ModelName, Service, ServiceName
from larkpost.gateway.blackboard.weight_targets import Demands, VersionAnnouncement, WeightTarget
from larkpost.gateway.controllers.due_loads import (
    EngineShares,
    LoadInputs,
    allocate_engines,
    due_loads,
)
from larkpost.gateway.controllers.lending import yielding_models
from larkpost.gateway.controllers.lending_log import LendingLog
from larkpost.gateway.controllers.model_assignment import (
    Assignment,
    ServiceTimeLookup,
    unknown_service_time,
)

ALLOCATION_LIFETIME_SECONDS = 0.1
"""How long an allocation is reused, because items ask for it often; equal to the loader's
interval."""
ALLOCATION_LIFETIME_SECONDS_PER_ENGINE = 0.0003
"""Lifetime per engine; the product is used if it exceeds the fixed lifetime. Bounds the CPU time
spent on allocations."""


@dataclass(frozen=True, slots=True)
class EngineAllocation:
    """The shares of one service's engines and what follows from them, cached for a while.

    Attributes:
        made_at: steady time at which it was computed.
        lifetime: seconds for which it is reused.
        preferred: for each model, the engines at which it has the first claim on slots.
        loading: for each model, the engines that load a version of it now or are about to; they
            refuse only this model's items.
        yielding: models whose batches leave free slots to others; see `yielding_models`.
        demands: the demands from which it was computed.
        shares: how the engines are shared; None for a service without models.
    """

    made_at: float
    lifetime: float
    preferred: dict[ModelName, frozenset[InstanceId]] = field(default_factory=dict)
    loading: dict[ModelName, frozenset[InstanceId]] = field(default_factory=dict)
    yielding: frozenset[ModelName] = frozenset()
    demands: Demands = field(default_factory=dict)
    shares: EngineShares | None = None


class EngineAllocator:
    """Allocates each service's engines to its models, and determines the due loads.

    Args:
        demands: returns what the batches of each model ask for.
        lending_log: logs which engines are lent; None to log nothing.
        service_time: returns an engine's long-term service time; with short-term values the
            allocation would change constantly.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        demands: Callable[[], Demands],
        lending_log: LendingLog | None = None,
        service_time: ServiceTimeLookup = unknown_service_time,
    ) -> None:
        self._blackboard = blackboard
        self._clock = clock
        self._demands = demands
        self._lending_log = lending_log
        self._service_time = service_time
        self._cache: dict[ServiceName, EngineAllocation] = {}

    def due(self, service: Service, now: float) -> list[tuple[InstanceId, WeightTarget]]:
        """Returns the engines of a service that should be loading now, with their versions."""
        allocation = self._allocation(service.name)
        return due_loads(service, self._inputs(allocation.demands), now, allocation.shares)

    def engines_of(self, service: ServiceName, model: ModelName) -> frozenset[InstanceId]:
        """Returns a model's preferred engines; empty if the service does not serve the model.

        None of them is in an evacuated zone, because a batch would wait for engines that get no
        work.
        """
        return self._allocation(service).preferred.get(model, frozenset())

    def loading(self, service: ServiceName, model: ModelName) -> frozenset[InstanceId]:
        """Returns the engines that load a version of a model now or are about to.

        They refuse this model's items; items of other models continue to run on them.
        """
        return self._allocation(service).loading.get(model, frozenset())

    def should_yield(self, service: ServiceName, model: ModelName) -> bool:
        """Returns whether a model's batches should use its preferred engines only."""
        return model in self._allocation(service).yielding

    def last_announcement(self, model: ModelName) -> VersionAnnouncement | None:
        """Returns when a model's newest version was announced; None if not seen here."""
        return self._blackboard.targets.last_announcement(model, self._clock.now())

    def _allocation(self, service: ServiceName) -> EngineAllocation:
        now = self._clock.now()
        cached = self._cache.get(service)
        if cached is None or now - cached.made_at >= cached.lifetime:
            cached = self._allocate(service, now)
            self._cache[service] = cached
        return cached

    def _allocate(self, name: ServiceName, now: float) -> EngineAllocation:
        configuration = self._blackboard.configuration.current
        service = configuration.services.get(name) if configuration is not None else None
        if service is None or not service.models:
            return EngineAllocation(now, ALLOCATION_LIFETIME_SECONDS)
        demands = self._demands()
        inputs = self._inputs(demands)
        shares = allocate_engines(service, inputs)
        if self._lending_log is not None:
            self._lending_log.record(service, shares.lending, demands)
        preferred = shares.lending.preferred_engines(shares.assignment)
        return EngineAllocation(
            now,
            allocation_lifetime(shares.assignment),
            {model: frozenset(engines) for model, engines in preferred.items()},
            _by_model(due_loads(service, inputs, now, shares)),
            yielding_models(service.models, demands),
            demands,
            shares,
        )

    def _inputs(self, demands: Demands) -> LoadInputs:
        return LoadInputs(
            self._blackboard.directory,
            self._blackboard.targets,
            demands,
            self._blackboard.evacuations.zones(),
            self._service_time,
        )


def allocation_lifetime(assignment: Assignment) -> float:
    """Returns the seconds for which an allocation is reused, which grow with its engines."""
    count = sum(len(engines) for engines in assignment.values())
    return max(ALLOCATION_LIFETIME_SECONDS, count * ALLOCATION_LIFETIME_SECONDS_PER_ENGINE)


def _by_model(
    loads: list[tuple[InstanceId, WeightTarget]],
) -> dict[ModelName, frozenset[InstanceId]]:
    """Returns for each model the engines that load a version of it."""
    engines: dict[ModelName, set[InstanceId]] = defaultdict(set)
    for engine, target in loads:
        engines[target.model].add(engine)
    return {model: frozenset(names) for model, names in engines.items()}
