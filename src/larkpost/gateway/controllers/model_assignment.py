"""Assigns the engines of a service to its models.

A new weight version is loaded only on the engines assigned to its model. The result depends only on
the blackboard's state, so daemons that have read the same rows agree on it.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from larkpost.common.hashing import hash64
from larkpost.common.ids import InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, Service
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceInfo
from larkpost.gateway.blackboard.weight_targets import Demands, ModelDemand
from larkpost.gateway.controllers.engine_speeds import relative_speed, slowdown_steps

MAX_VERSIONS_BEHIND = 1
"""Versions by which an engine may be behind a model's newest one and still count as holding the
model."""
MIN_ENGINES_PER_MODEL = 2
"""Minimum number of engines per model, so that it is served while one of them is lost or loads."""

ServiceTimeLookup = Callable[[InstanceId], float]
"""Returns the long-term time per event of an engine in seconds; 0 if it is unknown."""
Assignment = dict[ModelName, list[InstanceId]]
"""For each model its engines, in the order in which they load new versions."""


def unknown_service_time(_engine: InstanceId) -> float:
    """Returns 0 for an unknown service time."""
    return 0.0


class _ModelOrder(NamedTuple):
    """Sort key of the models; the one with the smallest key chooses next."""

    negative_work_per_engine: float
    name: ModelName


class _EngineOrder(NamedTuple):
    """Sort key of engines with equally many models, by one model's preference; smallest first."""

    negative_version: int  # newest version first, which keeps the assignment stable
    other_models: int  # then the fewest other models with a recent version
    slowdown_steps: int  # then the fastest
    rank: int  # tie-break that is the same on all daemons


def assign_models(
    service: Service,
    engines: list[InstanceInfo],
    directory: InstanceDirectory,
    demands: Demands,
    service_time: ServiceTimeLookup = unknown_service_time,
) -> Assignment:
    """Assigns the engines of a service to its models in proportion to their work.

    The model with the most work per unit of its engines' speed chooses next. It takes the engine
    with the fewest models, then the one with the newest version of the model, then the fastest. The
    assignment ends when every engine has a model and every model has enough engines.

    Args:
        service_time: returns an engine's long-term service time; an unknown one counts as
            the median.
    """
    steps = slowdown_steps({engine.id: service_time(engine.id) for engine in engines})
    current_models = _current_models(service, engines, directory)
    preferences = {
        model: _Preferences(_by_preference(model, directory, steps, current_models))
        for model in service.models
    }
    capacities = {engine: relative_speed(count) for engine, count in steps.items()}
    builder = _AssignmentBuilder(_work_of_models(service, demands), preferences, capacities)
    min_engines = min(MIN_ENGINES_PER_MODEL, len(engines))
    while engines and builder.chosen and builder.choose_next(min_engines):
        pass
    for engine_ids in builder.chosen.values():
        engine_ids.sort(key=hash64)
    return builder.chosen


def split_evacuated(
    engines: list[InstanceInfo], evacuated: frozenset[ZoneId]
) -> tuple[list[InstanceInfo], list[InstanceInfo]]:
    """Returns the engines that get work, and those in evacuated zones."""
    serving = [info for info in engines if info.zone not in evacuated]
    evacuated_engines = [info for info in engines if info.zone in evacuated]
    return serving, evacuated_engines


def _work_of_models(service: Service, demands: Demands) -> dict[ModelName, int]:
    """Returns the work of each model in tokens.

    An unknown work counts as the largest known one; if none is known, all models count equally.
    """
    known = {model: demands.get(model, ModelDemand()).work for model in service.models}
    largest = max(known.values(), default=0) or 1
    return {model: work or largest for model, work in known.items()}


def _current_models(
    service: Service, engines: list[InstanceInfo], directory: InstanceDirectory
) -> dict[InstanceId, frozenset[ModelName]]:
    """Returns for each engine the models of which it holds a recent version."""
    newest = {
        model: max((directory.version_of(engine.id, model) for engine in engines), default=0)
        for model in service.models
    }
    return {
        engine.id: frozenset(
            model
            for model in service.models
            if directory.version_of(engine.id, model) >= newest[model] - MAX_VERSIONS_BEHIND
        )
        for engine in engines
    }


def _by_preference(
    model: ModelName,
    directory: InstanceDirectory,
    steps: Mapping[InstanceId, int],
    current_models: Mapping[InstanceId, frozenset[ModelName]],
) -> list[InstanceId]:
    """Returns the engines by a model's preference among those with equally many models.

    Args:
        steps: how many speed steps each engine is slower than the median one.
        current_models: for each engine, the models of which it holds a recent version.
    """

    def order(engine: InstanceId) -> _EngineOrder:
        return _EngineOrder(
            negative_version=-directory.version_of(engine, model),
            other_models=len(current_models[engine] - {model}),
            slowdown_steps=steps[engine],
            rank=hash64(engine),
        )

    return sorted(steps, key=order)


class _Preferences:
    """The engines in the order in which one model chooses them.

    Engines with fewer models come first. As engines only gain models, an engine passed over because
    it had more models is not examined again until all others have as many.

    Args:
        engines: in the model's order of preference among those with equally many models.
    """

    def __init__(self, engines: list[InstanceId]) -> None:
        self._engines = engines
        self._model_count = 0
        """Number of models of the engines that are examined now."""
        self._next = 0
        self._chosen: set[InstanceId] = set()

    def take(self, model_counts: dict[InstanceId, int]) -> InstanceId | None:
        """Returns the engine that the model chooses now; None if it has chosen all.

        Args:
            model_counts: for each engine, how many models have chosen it.
        """
        while len(self._chosen) < len(self._engines):
            for position in range(self._next, len(self._engines)):
                engine = self._engines[position]
                if model_counts[engine] == self._model_count and engine not in self._chosen:
                    self._next = position + 1
                    self._chosen.add(engine)
                    return engine
            self._model_count += 1
            self._next = 0
        return None


class _AssignmentBuilder:
    """An assignment under construction.

    Args:
        work: tokens that each model's batches ask for.
        preferences: of each model.
        capacities: each engine's speed relative to the median one.

    Attributes:
        chosen: the engines of each model so far.
    """

    def __init__(
        self,
        work: dict[ModelName, int],
        preferences: dict[ModelName, _Preferences],
        capacities: dict[InstanceId, float],
    ) -> None:
        self.chosen: Assignment = {model: [] for model in work}
        self._work = work
        self._preferences = preferences
        self._capacities = capacities
        self._capacity_of_model = dict.fromkeys(work, 0.0)
        self._model_counts = dict.fromkeys(capacities, 0)
        self._unassigned_count = len(capacities)

    def choose_next(self, min_engines: int) -> bool:
        """Assigns one engine to one model; returns whether there was anything left to assign.

        Args:
            min_engines: minimum number of engines per model.
        """
        below_minimum = [model for model in self.chosen if len(self.chosen[model]) < min_engines]
        if not below_minimum and not self._unassigned_count:
            return False
        model = min(below_minimum or self.chosen, key=self._model_order)
        engine = self._preferences[model].take(self._model_counts)
        if engine is None:
            return False
        self.chosen[model].append(engine)
        self._unassigned_count -= not self._model_counts[engine]
        self._model_counts[engine] += 1
        self._capacity_of_model[model] += self._capacities[engine]
        return True

    def _model_order(self, model: ModelName) -> _ModelOrder:
        capacity = self._capacity_of_model[model] + 1
        return _ModelOrder(negative_work_per_engine=-self._work[model] / capacity, name=model)
