"""Weight versions: which version each engine should have.

Engines are divided among the models of their service, so that a new version is loaded only where
its model runs. The engines of one model load in waves, so that some always serve.
"""

import math
from dataclasses import dataclass

from larkpost.fleet.configuration import ModelName, Service
from larkpost.fleet.directory import Directory, InstanceInfo, InstanceState
from larkpost.hashing import hash64
from larkpost.ids import EngineId

MIN_ENGINES_PER_MODEL = 2
WAVES = 2
"""A version is loaded by this many groups of a model's engines, one after the other."""
WAVE_SECONDS = 1.6
"""Time after which a group loads though one before it is not done: an engine may be gone."""


@dataclass(frozen=True, slots=True)
class WeightTarget:
    """A version that a trainer has named for its model."""

    model: ModelName
    version: int


class WeightTargets:
    """The newest version named for each model; it never goes back."""

    def __init__(self) -> None:
        self._versions: dict[ModelName, int] = {}
        self._named_at: dict[ModelName, float] = {}

    def update(self, target: WeightTarget, now: float) -> bool:
        """Takes a named version if it is newer, and tells whether it was."""
        if target.version <= self._versions.get(target.model, 0):
            return False
        self._versions[target.model] = target.version
        self._named_at[target.model] = now
        return True

    def named_for(self, model: ModelName, now: float) -> float:
        """Returns the seconds since this daemon learnt of a model's newest version."""
        return now - self._named_at.get(model, now)

    def version(self, model: ModelName) -> int:
        """Returns the newest version named for a model; 0 if none was."""
        return self._versions.get(model, 0)


def assign_models(
    service: Service, engines: list[InstanceInfo], directory: Directory
) -> dict[ModelName, list[EngineId]]:
    """Divides the engines of a service among its models.

    The models choose in turn. A choice falls on the engine with the fewest models, then on the one
    with the newest version of the model, so that a division once made stays. It ends when every
    engine has a model and every model has enough engines.

    Returns:
        For each model its engines, in the order in which they load new versions.
    """
    chosen: dict[ModelName, list[EngineId]] = {model: [] for model in service.models}
    burden = dict.fromkeys((engine.id for engine in engines), 0)
    enough = min(MIN_ENGINES_PER_MODEL, len(engines))
    while engines and chosen:
        open_models = [model for model in chosen if len(chosen[model]) < enough]
        if not open_models and all(burden.values()):
            break
        model = min(open_models or chosen, key=lambda name: (len(chosen[name]), name))
        engine = min(
            (engine_id for engine_id in burden if engine_id not in chosen[model]),
            key=lambda name: (burden[name], -directory.version_of(name, model), hash64(name)),
        )
        chosen[model].append(engine)
        burden[engine] += 1
    for engine_ids in chosen.values():
        engine_ids.sort(key=hash64)
    return chosen


def due_loads(
    service: Service, directory: Directory, targets: WeightTargets, now: float
) -> list[tuple[EngineId, WeightTarget]]:
    """Returns the loads that should be under way now.

    A group of a model's engines is due once those before it are done, or have had their time.
    """
    engines = [
        info for info in directory.of_service(service.name) if info.state is InstanceState.READY
    ]
    due: list[tuple[EngineId, WeightTarget]] = []
    for model, engine_ids in assign_models(service, engines, directory).items():
        target = WeightTarget(model, targets.version(model))
        size = math.ceil(len(engine_ids) / WAVES)
        for wave in range(WAVES):
            group = engine_ids[wave * size : (wave + 1) * size]
            behind = [name for name in group if directory.version_of(name, model) < target.version]
            due.extend((name, target) for name in behind)
            if behind and targets.named_for(model, now) < (wave + 1) * WAVE_SECONDS:
                break
    return due
