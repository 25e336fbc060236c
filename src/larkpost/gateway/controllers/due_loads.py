"""Decides which engines should load which weight version now.

The engines of one model load in groups, one after the other, so that some engines always serve.
Engines in evacuated zones load last: no request waits for them, but they may return to service at
any moment. The result depends only on the blackboard's state and the time, so daemons that have
read the same rows agree on it.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from larkpost.common.ids import InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, Service
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.blackboard.weight_targets import (
    Demands,
    ModelDemand,
    WeightTarget,
    WeightTargets,
)
from larkpost.gateway.controllers.lending import TRAINER_BLOCKED_SECONDS, Lending, plan_lending
from larkpost.gateway.controllers.model_assignment import (
    Assignment,
    ServiceTimeLookup,
    assign_models,
    split_evacuated,
    unknown_service_time,
)

LOAD_GROUP_COUNT = 3
"""Number of groups into which a model's engines are split. The groups load a version one after the
other, so two thirds of the engines keep serving."""
GROUP_TURN_SECONDS = 1.0
"""Duration of one group's turn; longer than one load takes."""
IDLE_LOAD_DELAY_SECONDS = 0.3
"""Delay before the first group loads while no batch of the model runs, in case a batch arrives."""
BUSY_LOAD_DELAY_SECONDS = 0.9
"""Delay before the first group loads while a batch runs, so that its items get slots first."""
URGENT_LOAD_DELAY_SECONDS = 0.3
"""Delay from a batch's arrival to the loads of an urgent version; most items have slots by then."""


@dataclass(frozen=True, slots=True)
class LoadInputs:
    """Inputs from which the due loads of a service are computed.

    Attributes:
        demands: what the batches of each model ask for.
        evacuated: zones whose engines get no work; they load after the others.
        service_time: returns an engine's long-term service time, without short bursts of slowness.
    """

    directory: InstanceDirectory
    targets: WeightTargets
    demands: Demands
    evacuated: frozenset[ZoneId] = frozenset()
    service_time: ServiceTimeLookup = unknown_service_time


@dataclass(frozen=True, slots=True)
class EngineShares:
    """How the engines of a service are shared among its models.

    Attributes:
        assignment: each model's engines among those that get work.
        lending: which of them are lent.
        evacuated_engines: each model's engines in evacuated zones.
    """

    assignment: Assignment
    lending: Lending
    evacuated_engines: Assignment


@dataclass(frozen=True, slots=True)
class ModelLoadState:
    """Load progress of one model's engines, in the order in which they load.

    Attributes:
        target: the version that they should have.
        elapsed: seconds since the first group's turn began; negative before it.
        is_urgent: whether the version must be loaded soon; see the function `is_urgent`.
        serving_versions: the version of each engine that gets work.
        evacuated_versions: the version of each engine in an evacuated zone.
    """

    target: int
    elapsed: float
    serving_versions: dict[InstanceId, int]
    evacuated_versions: dict[InstanceId, int]
    is_urgent: bool = False


def is_urgent(demand: ModelDemand, version: int) -> bool:
    """Returns whether a version must be loaded soon, because the model's next batch is near.

    That is so if the trainer waits for each version and then submits a batch at once, its batch for
    this version has arrived, and no earlier batch is open; the next version depends on the end of
    an earlier one.
    """
    is_trainer_blocked = (
        demand.submit_delay is not None and demand.submit_delay < TRAINER_BLOCKED_SECONDS
    )
    return is_trainer_blocked and demand.submit_version == version and not demand.has_earlier_open


def allocate_engines(service: Service, inputs: LoadInputs) -> EngineShares:
    """Divides the engines of a service among its models, and decides which are lent."""
    engines = inputs.directory.ready_of(service.name)
    serving, evacuated_engines = split_evacuated(engines, inputs.evacuated)
    assignment = assign_models(
        service, serving, inputs.directory, inputs.demands, inputs.service_time
    )
    return EngineShares(
        assignment,
        plan_lending(assignment, inputs.demands, inputs.directory.version_of),
        assign_models(service, evacuated_engines, inputs.directory, inputs.demands),
    )


def due_loads(
    service: Service, inputs: LoadInputs, now: float, shares: EngineShares | None = None
) -> list[tuple[InstanceId, WeightTarget]]:
    """Returns the loads that should be in progress now.

    Args:
        now: steady time in seconds.
        shares: recently computed shares; None to compute them now.
    """
    if not _is_any_engine_behind(service, inputs):
        return []
    shares = shares or allocate_engines(service, inputs)
    assigned = shares.lending.loading_engines(shares.assignment)
    due: list[tuple[InstanceId, WeightTarget]] = []
    # Borrowers come first, because an engine takes one order at a time.
    for model in sorted(assigned, key=lambda model: model not in shares.lending.lent):
        engine_ids = assigned[model]
        target = WeightTarget(model, inputs.targets.version(model))
        state = ModelLoadState(
            target.version,
            _seconds_into_schedule(model, inputs, now),
            _versions(engine_ids, model, inputs.directory),
            _versions(shares.evacuated_engines[model], model, inputs.directory),
            is_urgent(inputs.demands.get(model, ModelDemand()), target.version),
        )
        due.extend((name, target) for name in engines_to_load(state))
    return due


def engines_to_load(state: ModelLoadState) -> list[InstanceId]:
    """Returns the engines of one model that should be loading its version now.

    Engines in evacuated zones are added once the others are done or have all had their turn.
    """
    names = _serving_engines_to_load(state)
    if not names or state.elapsed >= LOAD_GROUP_COUNT * GROUP_TURN_SECONDS:
        names += _evacuated_engines_to_load(state)
    return names


def _serving_engines_to_load(state: ModelLoadState) -> list[InstanceId]:
    """Returns the engines that get work and should be loading now.

    An engine two or more versions behind loads at once, because the next step cannot use it. The
    others load in groups, after the items of a running batch have been given slots. If the
    next step is near, all groups but the last load together; the last one serves until the others
    are done or their turn is over, so that an engine that cannot load does not block it.
    """
    far_behind = [
        name for name, version in state.serving_versions.items() if version < state.target - 1
    ]
    if state.elapsed < 0:
        return far_behind
    behind = {
        name for name, version in state.serving_versions.items() if version == state.target - 1
    }
    if state.is_urgent:
        first = _all_but_last_group(list(state.serving_versions), behind)
        is_first_turn = state.elapsed < GROUP_TURN_SECONDS
        return far_behind + (first if first and is_first_turn else sorted(behind))
    return far_behind + _current_group(list(state.serving_versions), behind, state.elapsed)


def _all_but_last_group(engine_ids: list[InstanceId], behind: set[InstanceId]) -> list[InstanceId]:
    """Returns the engines that lack the version, except those of the last group."""
    groups = _split(engine_ids, LOAD_GROUP_COUNT)
    return [name for group in groups[:-1] for name in group if name in behind]


def _evacuated_engines_to_load(state: ModelLoadState) -> list[InstanceId]:
    """Returns the engines in evacuated zones that should be loading now.

    They load in groups too, because many simultaneous loads slow each other and the serving engines
    down.
    """
    if state.elapsed < 0:
        return []
    behind = {name for name, version in state.evacuated_versions.items() if version < state.target}
    return _current_group(list(state.evacuated_versions), behind, state.elapsed)


def _current_group(
    engine_ids: list[InstanceId], behind: set[InstanceId], elapsed: float
) -> list[InstanceId]:
    """Returns the engines of the group that loads now.

    Turns have a fixed duration, so a group that cannot load delays the others by one turn only. A
    group whose engines are all done gives its turn to the next.

    Args:
        behind: the engines that lack the version.
        elapsed: seconds since the first group's turn began.
    """
    groups = _split(engine_ids, LOAD_GROUP_COUNT)
    turn = int(elapsed / GROUP_TURN_SECONDS)
    for step in range(len(groups)):
        group = [name for name in groups[(turn + step) % len(groups)] if name in behind]
        if group:
            return group
    return []


def _split(engine_ids: list[InstanceId], count: int) -> list[list[InstanceId]]:
    """Splits engines into at most `count` groups of about the same size."""
    size = math.ceil(len(engine_ids) / count) or 1
    return [engine_ids[start : start + size] for start in range(0, len(engine_ids), size)]


def _seconds_into_schedule(model: ModelName, inputs: LoadInputs, now: float) -> float:
    """Returns the seconds since the first group's turn began; negative before it.

    The turn begins after a delay, which depends on whether a batch runs and the version is urgent.
    """
    demand = inputs.demands.get(model, ModelDemand())
    elapsed = inputs.targets.seconds_since_announced(model, now)
    if not demand.open:
        return elapsed - IDLE_LOAD_DELAY_SECONDS
    if is_urgent(demand, inputs.targets.version(model)) and not demand.waiting:
        return elapsed - (demand.submit_delay or 0.0) - URGENT_LOAD_DELAY_SECONDS
    return elapsed - BUSY_LOAD_DELAY_SECONDS


def _versions(
    engine_ids: Iterable[InstanceId], model: ModelName, directory: InstanceDirectory
) -> dict[InstanceId, int]:
    return {name: directory.version_of(name, model) for name in engine_ids}


def _is_any_engine_behind(service: Service, inputs: LoadInputs) -> bool:
    """Returns whether any engine lacks an announced version; a cheap check before allocating."""
    engines = inputs.directory.ready_of(service.name)
    return any(
        inputs.directory.version_of(engine.id, model) < inputs.targets.version(model)
        for model in service.models
        for engine in engines
    )
