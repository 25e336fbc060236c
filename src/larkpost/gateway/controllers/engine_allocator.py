"""The division of each service's engines among its models, and the loads that follow from it.

`controllers.loader` asks for the due loads, of which it gives the orders; `rollouts` asks for a
model's own engines and for those that load, which it avoids. All daemons work out the same.
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
"""Seconds for which a division serves: items ask for it again and again. As long as the loader's
interval."""
ALLOCATION_LIFETIME_SECONDS_PER_ENGINE = 0.0003
"""The same by the number of engines, where it is more, so that dividing takes no whole core."""


@dataclass(frozen=True, slots=True)
class EngineAllocation:
    """The engines of one service.

    Attributes:
        made_at: steady time at which it was worked out.
        lifetime: seconds for which it serves.
        own: the engines whose first places are each model's.
        loading: for each model, the engines that load a version of it now, or will be ordered to
            in a moment; they refuse its items only.
        yielding: the models whose batches leave free places to others; see `models_that_yield`.
        demands: what it followed from.
        shares: the division itself; None for a service without models.
    """

    made_at: float
    lifetime: float
    preferred: dict[ModelName, frozenset[InstanceId]] = field(default_factory=dict)
    loading: dict[ModelName, frozenset[InstanceId]] = field(default_factory=dict)
    yielding: frozenset[ModelName] = frozenset()
    demands: Demands = field(default_factory=dict)
    shares: EngineShares | None = None


class EngineAllocator:
    """The division of each service's engines among its models, and the loads that are due.

    Args:
        demands: returns what the batches of each model ask for.
        record: logs which engines are lent; None if nobody is to know.
        pace: returns the lasting pace of an engine: one that changes by the moment would divide the
            engines anew again and again.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        demands: Callable[[], Demands],
        record: LendingLog | None = None,
        service_time: ServiceTimeLookup = unknown_service_time,
    ) -> None:
        self._blackboard = blackboard
        self._clock = clock
        self._demands = demands
        self._record = record
        self._service_time = service_time
        self._cache: dict[ServiceName, EngineAllocation] = {}

    def due(self, service: Service, now: float) -> list[tuple[InstanceId, WeightTarget]]:
        """Returns the engines of a service that should be loading now, and what."""
        allocation = self._allocation(service.name)
        return due_loads(service, self._inputs(allocation.demands), now, allocation.shares)

    def engines_of(self, service: ServiceName, model: ModelName) -> frozenset[InstanceId]:
        """Returns a model's own engines; none if the service does not hold the model.

        None of them is in an evacuated zone: a batch would wait for engines that get nothing.
        """
        return self._allocation(service).preferred.get(model, frozenset())

    def loading(self, service: ServiceName, model: ModelName) -> frozenset[InstanceId]:
        """Returns the engines that refuse a model's items now, or will in a moment.

        They load a version of it; items of other models run there as before.
        """
        return self._allocation(service).loading.get(model, frozenset())

    def should_yield(self, service: ServiceName, model: ModelName) -> bool:
        """Returns whether a model's batches use their own engines only, for the sake of others."""
        return model in self._allocation(service).yielding

    def last_announcement(self, model: ModelName) -> VersionAnnouncement | None:
        """Returns when a model's newest version was named; None if that was not seen here."""
        return self._blackboard.targets.last_announcement(model, self._clock.now())

    def _allocation(self, service: ServiceName) -> EngineAllocation:
        now = self._clock.now()
        known = self._cache.get(service)
        if known is None or now - known.made_at >= known.lifetime:
            known = self._allocate(service, now)
            self._cache[service] = known
        return known

    def _allocate(self, name: ServiceName, now: float) -> EngineAllocation:
        configuration = self._blackboard.configuration.current
        service = configuration.services.get(name) if configuration is not None else None
        if service is None or not service.models:
            return EngineAllocation(now, ALLOCATION_LIFETIME_SECONDS)
        demands = self._demands()
        inputs = self._inputs(demands)
        shares = allocate_engines(service, inputs)
        if self._record is not None:
            self._record.record(service, shares.lending, demands)
        first = shares.lending.preferred_engines(shares.assignment)
        return EngineAllocation(
            now,
            allocation_lifetime(shares.assignment),
            {model: frozenset(engines) for model, engines in first.items()},
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
    """Returns the seconds for which a division serves: one of many engines takes long to make."""
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
