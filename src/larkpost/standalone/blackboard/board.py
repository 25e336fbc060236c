"""The blackboard: a daemon's in-memory state, in typed sections.

Each controller writes its own section and reads the others; the data path reads. All access is on
one event loop, so there are no locks; code must not keep values read from it across an ``await``.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from larkpost.common.ids import EngineId, PlanId, PolicyId, PoolId
from larkpost.standalone.blackboard.engines import EngineTable
from larkpost.standalone.blackboard.facts import FactTable
from larkpost.standalone.blackboard.members import MemberTable
from larkpost.standalone.config.intent import Intent, PoolIntent
from larkpost.standalone.config.plan import pool_of


class Phase(StrEnum):
    """Lifecycle phase of a daemon; it only advances, in this order."""

    JOINING = "joining"
    READY = "ready"
    STOPPING = "stopping"


@dataclass(slots=True)
class ConfigurationState:
    """The configuration in force at this daemon. ``epoch`` never decreases."""

    epoch: int = 0
    intent: Intent = field(default_factory=Intent)
    plan_id: PlanId | None = None


@dataclass(slots=True)
class Blackboard:
    """One daemon's in-memory state."""

    members: MemberTable
    facts: FactTable = field(default_factory=FactTable)
    engines: EngineTable = field(default_factory=EngineTable)
    configuration: ConfigurationState = field(default_factory=ConfigurationState)
    policy_versions: dict[PolicyId, int] = field(default_factory=dict)
    policy_learned_at: dict[PolicyId, float] = field(default_factory=dict)
    owned: dict[EngineId, int] = field(default_factory=dict)
    """Fencing token of each engine that this daemon owns."""
    phase: Phase = Phase.JOINING
    _pool_engines: dict[PoolId, list[EngineId]] = field(default_factory=dict)
    _engine_pools: dict[EngineId, PoolId] = field(default_factory=dict)
    _pools_key: tuple[int, int] = (-1, -1)

    def pool_engines(self, pool: PoolId) -> list[EngineId]:
        """Returns the ids of a pool's engines in a stable order."""
        self._refresh_pools()
        return self._pool_engines.get(pool, [])

    def engine_pool(self, engine: EngineId) -> PoolId | None:
        """Returns the engine's pool, or None if the engine is unknown."""
        self._refresh_pools()
        return self._engine_pools.get(engine)

    def pool_intent_of(self, engine: EngineId) -> PoolIntent | None:
        """Returns the intent of the engine's pool, or None if the intent has no such pool."""
        pool = self.engine_pool(engine)
        return self.configuration.intent.pool(pool) if pool is not None else None

    def _refresh_pools(self) -> None:
        """Reassigns engines to pools if the configuration or the directory has changed."""
        key = (self.configuration.epoch, self.engines.revision)
        if key == self._pools_key:
            return
        self._pools_key = key
        assigned = self.configuration.intent.assigned_pools()
        infos = sorted(self.engines.entries(), key=lambda entry: entry.id)
        self._engine_pools = {info.id: pool_of(info, assigned) for info in infos}
        self._pool_engines = {}
        for engine, pool in self._engine_pools.items():
            self._pool_engines.setdefault(pool, []).append(engine)
