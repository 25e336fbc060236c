"""Weight versions: which version each engine should have.

Engines are divided among the models of their service, so that a new version is loaded only where
its model runs. The engines of one model load in waves, so that some always serve. Those of
evacuated zones are divided by themselves and load last: nobody waits for them, but they may be back
at any moment.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from larkpost.common.hashing import hash64
from larkpost.common.ids import InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, Service
from larkpost.gateway.blackboard.directory import Directory, InstanceInfo, InstanceState

MIN_ENGINES_PER_MODEL = 2
LOAD_GROUPS = 3
"""Groups of a model's engines that load a version one after the other; two thirds serve on."""
GROUP_SECONDS = 1.0
"""Time for one group, after which it is the next one's turn."""
FIRST_SECONDS = 0.3
"""Wait before the first group loads while no batch of the model runs: one may come at once."""
BUSY_FIRST_SECONDS = 0.9
"""The same while one runs, so that its items have found their places before."""


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


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """What the batches of a model ask for.

    Attributes:
        work: expected tokens of the newest batch; 0 if none is known.
        open: whether a batch runs now.
    """

    work: int = 0
    open: bool = False


Demands = Mapping[ModelName, ModelDemand]


def assign_models(
    service: Service,
    engines: list[InstanceInfo],
    directory: Directory,
    demands: Demands,
) -> dict[ModelName, list[InstanceId]]:
    """Divides the engines of a service among its models by the work their batches bring.

    The model with the most work for each of its engines chooses next. A choice falls on the engine
    with the fewest models, then on the one with the newest version of the model, so that a division
    once made stays. It ends when every engine has a model and every model has enough engines.

    Returns:
        For each model its engines, in the order in which they load new versions.
    """
    chosen: dict[ModelName, list[InstanceId]] = {model: [] for model in service.models}
    burden = dict.fromkeys((engine.id for engine in engines), 0)
    enough = min(MIN_ENGINES_PER_MODEL, len(engines))
    works = {model: demands.get(model, ModelDemand()).work for model in chosen}
    usual = max(works.values(), default=0) or 1
    while engines and chosen:
        open_models = [model for model in chosen if len(chosen[model]) < enough]
        if not open_models and all(burden.values()):
            break
        model = min(
            open_models or chosen,
            key=lambda name: (-(works[name] or usual) / (len(chosen[name]) + 1), name),
        )
        engine = min(
            (engine_id for engine_id in burden if engine_id not in chosen[model]),
            key=lambda name: (burden[name], -directory.version_of(name, model), hash64(name)),
            default=None,
        )
        if engine is None:
            break
        chosen[model].append(engine)
        burden[engine] += 1
    for engine_ids in chosen.values():
        engine_ids.sort(key=hash64)
    return chosen


def due_loads(
    service: Service,
    directory: Directory,
    targets: WeightTargets,
    demands: Demands,
    now: float,
    evacuated: frozenset[ZoneId] = frozenset(),
) -> list[tuple[InstanceId, WeightTarget]]:
    """Returns the loads that should be under way now.

    An engine two versions behind loads at once: it is of no use to the next step. The others load
    in groups, once the items of a running batch have found their places.

    Args:
        evacuated: zones whose engines get no work; they load after the others.
    """
    engines = [
        info for info in directory.of_service(service.name) if info.state is InstanceState.READY
    ]
    if not _is_any_behind(service, engines, directory, targets):
        return []
    due: list[tuple[InstanceId, WeightTarget]] = []
    serving, resting = split_evacuated(engines, evacuated)
    assigned = assign_models(service, serving, directory, demands)
    assigned_resting = assign_models(service, resting, directory, demands)
    for model, engine_ids in assigned.items():
        target = WeightTarget(model, targets.version(model))
        first = BUSY_FIRST_SECONDS if demands.get(model, ModelDemand()).open else FIRST_SECONDS
        elapsed = targets.named_for(model, now) - first
        versions = {name: directory.version_of(name, model) for name in engine_ids}
        names = _serving_loads(engine_ids, versions, target.version, elapsed)
        if not names or elapsed >= LOAD_GROUPS * GROUP_SECONDS:
            resting_ids = assigned_resting[model]
            versions = {name: directory.version_of(name, model) for name in resting_ids}
            names += _resting_loads(resting_ids, versions, target.version, elapsed)
        due.extend((name, target) for name in names)
    return due


def split_evacuated(
    engines: list[InstanceInfo], evacuated: frozenset[ZoneId]
) -> tuple[list[InstanceInfo], list[InstanceInfo]]:
    """Returns the engines that get work, and those in evacuated zones, which get none."""
    serving = [info for info in engines if info.zone not in evacuated]
    resting = [info for info in engines if info.zone in evacuated]
    return serving, resting


def _serving_loads(
    engine_ids: list[InstanceId],
    versions: dict[InstanceId, int],
    target: int,
    elapsed: float,
) -> list[InstanceId]:
    """Returns the engines that get work and load a version now."""
    late = [name for name in engine_ids if versions[name] < target - 1]
    if elapsed < 0:
        return late
    groups = _cut(engine_ids, LOAD_GROUPS)
    behind = [[name for name in group if versions[name] == target - 1] for group in groups]
    return late + _group_on_turn(behind, elapsed)


def _resting_loads(
    engine_ids: list[InstanceId],
    versions: dict[InstanceId, int],
    target: int,
    elapsed: float,
) -> list[InstanceId]:
    """Returns the engines of evacuated zones that load a version now, in groups all the same.

    Many loads at once slow each other down, also those of engines that serve.
    """
    if elapsed < 0:
        return []
    groups = _cut(engine_ids, LOAD_GROUPS)
    return _group_on_turn(
        [[name for name in group if versions[name] < target] for group in groups], elapsed
    )


def _is_any_behind(
    service: Service, engines: list[InstanceInfo], directory: Directory, targets: WeightTargets
) -> bool:
    """Tells whether any engine lacks any named version: a check that costs little."""
    return any(
        directory.version_of(engine.id, model) < targets.version(model)
        for model in service.models
        for engine in engines
    )


def _cut(engine_ids: list[InstanceId], count: int) -> list[list[InstanceId]]:
    """Cuts engines into at most ``count`` groups of about the same size."""
    size = math.ceil(len(engine_ids) / count) or 1
    return [engine_ids[start : start + size] for start in range(0, len(engine_ids), size)]


def _group_on_turn(behind: list[list[InstanceId]], elapsed: float) -> list[InstanceId]:
    """Returns the engines of the group that loads now.

    The groups take turns by time, so that one which can't load holds the others up for its turn
    only; a group whose engines are all done gives its turn to the next.
    """
    turn = int(elapsed / GROUP_SECONDS)
    for step in range(len(behind)):
        group = behind[(turn + step) % len(behind)]
        if group:
            return group
    return []
