"""Which engines are to hold the newest version of which model.

Owns the rule that divides the engines of a service among its models, so that a new version is
loaded only where its model runs. It is a function of the blackboard's state alone: all daemons that
have read the same rows divide alike.
"""

from dataclasses import dataclass
from typing import NamedTuple

from larkpost.common.hashing import hash64
from larkpost.common.ids import InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, Service
from larkpost.gateway.blackboard.directory import Directory, InstanceInfo
from larkpost.gateway.blackboard.weight_targets import Demands, ModelDemand

MIN_ENGINES_PER_MODEL = 2
"""Engines that each model gets at least, so that it is served while one of them is lost or loads.
The least number for which that holds."""

Assignment = dict[ModelName, list[InstanceId]]
"""For each model its engines, in the order in which they load new versions."""


class _ModelOrder(NamedTuple):
    """Which model chooses an engine next: the least of these."""

    negative_work_per_engine: float
    name: ModelName


class _EngineOrder(NamedTuple):
    """Which engine a model chooses: the least of these."""

    models_held: int
    negative_version: int  # the newest version first, so that a division once made stays
    rank: int  # the same for all daemons


def assign_models(
    service: Service, engines: list[InstanceInfo], directory: Directory, demands: Demands
) -> Assignment:
    """Divides the engines of a service among its models by the work their batches bring.

    The model with the most work for each of its engines chooses next. A choice falls on the engine
    with the fewest models, then on the one with the newest version of the model. It ends when every
    engine has a model and every model has enough engines.
    """
    division = _Division(
        directory,
        work=_work_of_models(service, demands),
        chosen={model: [] for model in service.models},
        models_held=dict.fromkeys((engine.id for engine in engines), 0),
    )
    enough = min(MIN_ENGINES_PER_MODEL, len(engines))
    while engines and division.chosen and division.choose_next(enough):
        pass
    for engine_ids in division.chosen.values():
        engine_ids.sort(key=hash64)
    return division.chosen


def split_evacuated(
    engines: list[InstanceInfo], evacuated: frozenset[ZoneId]
) -> tuple[list[InstanceInfo], list[InstanceInfo]]:
    """Returns the engines that get work, and those in evacuated zones, which get none."""
    serving = [info for info in engines if info.zone not in evacuated]
    resting = [info for info in engines if info.zone in evacuated]
    return serving, resting


def _work_of_models(service: Service, demands: Demands) -> dict[ModelName, int]:
    """Returns the work of each model in tokens; one that is not known counts as much as the most.

    If none is known, all count alike.
    """
    known = {model: demands.get(model, ModelDemand()).work for model in service.models}
    most = max(known.values(), default=0) or 1
    return {model: work or most for model, work in known.items()}


@dataclass(slots=True)
class _Division:
    """A division under way.

    Attributes:
        work: tokens that each model's batches ask for.
        chosen: the engines of each model so far.
        models_held: for each engine, how many models have chosen it.
    """

    directory: Directory
    work: dict[ModelName, int]
    chosen: Assignment
    models_held: dict[InstanceId, int]

    def choose_next(self, enough: int) -> bool:
        """Gives one engine to one model; returns whether there was anything left to do.

        Args:
            enough: engines that each model gets at least.
        """
        lacking = [model for model in self.chosen if len(self.chosen[model]) < enough]
        if not lacking and all(self.models_held.values()):
            return False
        model = min(lacking or self.chosen, key=self._model_order)
        free = [engine for engine in self.models_held if engine not in self.chosen[model]]
        if not free:
            return False
        engine = min(free, key=lambda name: self._engine_order(name, model))
        self.chosen[model].append(engine)
        self.models_held[engine] += 1
        return True

    def _model_order(self, model: ModelName) -> _ModelOrder:
        return _ModelOrder(
            negative_work_per_engine=-self.work[model] / (len(self.chosen[model]) + 1),
            name=model,
        )

    def _engine_order(self, engine: InstanceId, model: ModelName) -> _EngineOrder:
        return _EngineOrder(
            models_held=self.models_held[engine],
            negative_version=-self.directory.version_of(engine, model),
            rank=hash64(engine),
        )
