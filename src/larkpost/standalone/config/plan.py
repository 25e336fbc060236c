"""Plans: the changes that confirming an intent would make, computed without applying them."""

from collections.abc import Iterable, Sequence
from enum import StrEnum

from pydantic import BaseModel, ConfigDict

from larkpost.common.hashing import short_digest
from larkpost.common.ids import EngineId, PlanId, PoolId
from larkpost.standalone.blackboard.engines import EngineInfo
from larkpost.standalone.config.intent import Intent, PoolIntent, ServiceIntent, TrainerIntent

CallerIntent = TrainerIntent | ServiceIntent


class ActionKind(StrEnum):
    """Kind of a step of a plan."""

    MOVE = "move"
    LOAD = "load"
    STOP = "stop"
    ADMIT = "admit"
    CHANGE = "change"


class PlannedAction(BaseModel):
    """One step of a plan, described for operators."""

    model_config = ConfigDict(extra="forbid", frozen=True)
    kind: ActionKind
    subject: str
    detail: str


class Plan(BaseModel):
    """An intent, the epoch it was compared with, and the resulting steps.

    A plan is self-contained, so any daemon can confirm it.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)
    plan_id: PlanId
    base_epoch: int
    intent: Intent
    actions: tuple[PlannedAction, ...]


def make_plan(
    current: Intent, base_epoch: int, wanted: Intent, engines: Iterable[EngineInfo], nonce: str
) -> Plan:
    """Compares the intent in force with a wanted one.

    Args:
        current: the intent in force at ``base_epoch``.
        base_epoch: the epoch that must still be in force when the plan is confirmed.
        wanted: the operator's intent.
        engines: every engine of the directory.
        nonce: makes the ids of plans with equal intents unique.

    Returns:
        The plan, with its actions in a stable order.
    """
    actions = [
        *_engine_actions(current, wanted, engines),
        *_caller_actions("trainer", current.trainers, wanted.trainers),
        *_caller_actions("service", current.services, wanted.services),
        *_pool_changes(current, wanted),
    ]
    text = f"{base_epoch}:{nonce}:{wanted.model_dump_json()}"
    return Plan(
        plan_id=PlanId(f"plan-{short_digest(text)}"),
        base_epoch=base_epoch,
        intent=wanted,
        actions=tuple(actions),
    )


def pool_of(engine: EngineInfo, assigned: dict[EngineId, PoolId]) -> PoolId:
    """Returns the engine's pool: the intent's assignment, else the machine list's default."""
    return assigned.get(engine.id, engine.default_pool)


def _engine_actions(
    current: Intent, wanted: Intent, engines: Iterable[EngineInfo]
) -> list[PlannedAction]:
    old_pools = current.assigned_pools()
    new_pools = wanted.assigned_pools()
    actions = []
    for engine in sorted(engines, key=lambda info: info.id):
        old = current.pool(pool_of(engine, old_pools))
        new = wanted.pool(pool_of(engine, new_pools))
        actions += _actions_for_engine(engine.id, old, new)
    return actions


def _actions_for_engine(
    engine: EngineId, old: PoolIntent | None, new: PoolIntent | None
) -> list[PlannedAction]:
    if new is None:
        if old is None:
            return []
        return [PlannedAction(kind=ActionKind.STOP, subject=engine, detail=f"leaves {old.name}")]
    actions = []
    origin = old.name if old is not None else "no pool"
    if origin != new.name:
        detail = f"from {origin} to {new.name}"
        actions.append(PlannedAction(kind=ActionKind.MOVE, subject=engine, detail=detail))
    if new.policy is not None and (old is None or old.policy != new.policy):
        detail = f"newest weights of {new.policy}"
        actions.append(PlannedAction(kind=ActionKind.LOAD, subject=engine, detail=detail))
    return actions


def _caller_actions(
    kind: str, old_callers: Sequence[CallerIntent], new_callers: Sequence[CallerIntent]
) -> list[PlannedAction]:
    old_by_name = {caller.name: caller for caller in old_callers}
    new_by_name = {caller.name: caller for caller in new_callers}
    actions = []
    for name in sorted(old_by_name.keys() | new_by_name.keys()):
        old = old_by_name.get(name)
        new = new_by_name.get(name)
        if old == new:
            continue
        if old is None:
            action, detail = ActionKind.ADMIT, f"{kind} admitted"
        elif new is None:
            action, detail = ActionKind.STOP, f"{kind} no longer admitted"
        else:
            action, detail = ActionKind.CHANGE, f"{kind} terms change"
        actions.append(PlannedAction(kind=action, subject=name, detail=detail))
    return actions


def _pool_changes(current: Intent, wanted: Intent) -> list[PlannedAction]:
    actions = []
    for pool in wanted.pools:
        old = current.pool(pool.name)
        if old is None or old == pool:
            continue
        fields = [
            name for name in type(pool).model_fields if getattr(old, name) != getattr(pool, name)
        ]
        detail = "changes " + ", ".join(fields)
        actions.append(PlannedAction(kind=ActionKind.CHANGE, subject=pool.name, detail=detail))
    return actions
