"""The division of each service's engines among its models, and the loads that follow from it.

`controllers.loader` asks for the due loads, of which it gives the orders; `rollouts` asks for a
model's own engines and for those that load, which it avoids. All daemons work out the same.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.configuration import ModelName, Service, ServiceName
from larkpost.gateway.blackboard.weight_targets import Demands, Naming, WeightTarget
from larkpost.gateway.controllers.due_loads import LoadInputs, due_loads
from larkpost.gateway.controllers.lending import lend, models_that_yield
from larkpost.gateway.controllers.lending_record import LendingRecord
from larkpost.gateway.controllers.model_assignment import (
    Assignment,
    PaceOf,
    assign_models,
    split_evacuated,
    unknown_pace,
)

LIFETIME_SECONDS = 0.1
"""Seconds for which a division serves: items ask for it again and again. As long as the loader's
interval."""


@dataclass(frozen=True, slots=True)
class Division:
    """The engines of one service.

    Attributes:
        made_at: steady time at which it was worked out.
        own: the engines whose first places are each model's.
        loading: for each model, the engines that load a version of it now, or will be ordered to
            in a moment; they refuse its items only.
        yielding: the models whose batches leave free places to others; see `models_that_yield`.
    """

    made_at: float
    own: dict[ModelName, frozenset[InstanceId]]
    loading: dict[ModelName, frozenset[InstanceId]]
    yielding: frozenset[ModelName] = frozenset()


class EngineDivision:
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
        record: LendingRecord | None = None,
        pace: PaceOf = unknown_pace,
    ) -> None:
        self._blackboard = blackboard
        self._clock = clock
        self._demands = demands
        self._record = record
        self._pace = pace
        self._known: dict[ServiceName, Division] = {}

    def due(self, service: Service, now: float) -> list[tuple[InstanceId, WeightTarget]]:
        """Returns the engines of a service that should be loading now, and what."""
        inputs = LoadInputs(
            self._blackboard.directory,
            self._blackboard.targets,
            self._demands(),
            self._blackboard.evacuations.zones(),
            self._pace,
        )
        return due_loads(service, inputs, now)

    def engines_of(self, service: ServiceName, model: ModelName) -> frozenset[InstanceId]:
        """Returns a model's own engines; none if the service does not hold the model.

        None of them is in an evacuated zone: a batch would wait for engines that get nothing.
        """
        return self._division(service).own.get(model, frozenset())

    def loading(self, service: ServiceName, model: ModelName) -> frozenset[InstanceId]:
        """Returns the engines that refuse a model's items now, or will in a moment.

        They load a version of it; items of other models run there as before.
        """
        return self._division(service).loading.get(model, frozenset())

    def should_yield(self, service: ServiceName, model: ModelName) -> bool:
        """Returns whether a model's batches use their own engines only, for the sake of others."""
        return model in self._division(service).yielding

    def last_naming(self, model: ModelName) -> Naming | None:
        """Returns when a model's newest version was named; None if none was."""
        return self._blackboard.targets.last_naming(model, self._clock.now())

    def _division(self, service: ServiceName) -> Division:
        now = self._clock.now()
        known = self._known.get(service)
        if known is None or now - known.made_at >= LIFETIME_SECONDS:
            known = self._divide(service, now)
            self._known[service] = known
        return known

    def _divide(self, name: ServiceName, now: float) -> Division:
        configuration = self._blackboard.configuration.current
        service = configuration.services.get(name) if configuration is not None else None
        if service is None or not service.models:
            return Division(now, {}, {})
        demands = self._demands()
        assignment = self._assign(service, demands)
        lending = lend(assignment, demands, self._blackboard.directory.version_of)
        if self._record is not None:
            self._record.record(service, lending, demands)
        first = lending.first_engines(assignment)
        return Division(
            now,
            {model: frozenset(engines) for model, engines in first.items()},
            self._loading(service, now),
            models_that_yield(service.models, demands),
        )

    def _assign(self, service: Service, demands: Demands) -> Assignment:
        """Returns each model's share of the engines that get work."""
        directory = self._blackboard.directory
        ready = directory.ready_of(service.name)
        serving, _ = split_evacuated(ready, self._blackboard.evacuations.zones())
        return assign_models(service, serving, directory, demands, self._pace)

    def _loading(self, service: Service, now: float) -> dict[ModelName, frozenset[InstanceId]]:
        """Returns for each model the engines that load a version of it."""
        loading: dict[ModelName, set[InstanceId]] = defaultdict(set)
        for engine, target in self.due(service, now):
            loading[target.model].add(engine)
        return {model: frozenset(engines) for model, engines in loading.items()}
