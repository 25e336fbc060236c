"""The operators' intent: pools of engines, and the trainers and services that use them."""

from typing import Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from larkpost.common.ids import EngineId, PolicyId, PoolId, TrainerId


class _StrictModel(BaseModel):
    """Rejects unknown fields, so that a misspelled one is reported."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PoolIntent(_StrictModel):
    """A set of engines that serve one policy."""

    name: PoolId
    policy: PolicyId | None = Field(
        default=None,
        description="Policy whose newest weights the engines load; none: they never swap.",
    )
    engines: tuple[EngineId, ...] = Field(
        default=(),
        description="Engines moved into this pool. Engines not named anywhere keep the pool that "
        "the machine list gives them.",
    )
    client_reserve: int = Field(
        default=2,
        ge=0,
        description="Sequence slots of each engine that rollouts leave free for clients. Raise it "
        "when client latency suffers under rollouts.",
    )
    max_waiting: int = Field(
        default=8,
        ge=0,
        description="Client requests that may wait at one engine before new ones are refused.",
    )
    swap_waves: int = Field(
        default=2,
        ge=1,
        le=16,
        description="Groups in which the engines swap weights one after the other. More waves keep "
        "more engines serving; fewer reach the new version sooner.",
    )
    swap_interval_seconds: float = Field(
        default=2.0, gt=0, le=60, description="Time between the starts of two swap waves."
    )


class ServiceIntent(_StrictModel):
    """A client service, its pool and its priority."""

    name: str
    pool: PoolId
    priority: int = Field(default=9, ge=1, le=9, description="9 goes first; rollouts have 0.")


class TrainerIntent(_StrictModel):
    """A trainer, the pools it may use, and its staleness limits."""

    name: TrainerId
    pools: tuple[PoolId, ...]
    staleness_bound: int = Field(
        default=2,
        ge=0,
        description="Largest accepted number of policy versions between a sample's oldest "
        "token and the trainer's step.",
    )
    staleness_weight: float = Field(
        default=0.5,
        ge=0,
        le=1,
        description="0 minimises trainer idle time, 1 minimises staleness: it moves the version "
        "that new samples must at least start with inside the staleness bound.",
    )


class Intent(_StrictModel):
    """The complete configuration that operators confirm."""

    pools: tuple[PoolIntent, ...] = ()
    services: tuple[ServiceIntent, ...] = ()
    trainers: tuple[TrainerIntent, ...] = ()

    @model_validator(mode="after")
    def _check_references(self) -> Self:
        pool_names = [pool.name for pool in self.pools]
        _require_unique("pool", pool_names)
        _require_unique("service", [service.name for service in self.services])
        _require_unique("trainer", [trainer.name for trainer in self.trainers])
        _require_unique("engine", [engine for pool in self.pools for engine in pool.engines])
        for service in self.services:
            _require_known_pool(service.name, service.pool, pool_names)
        for trainer in self.trainers:
            for pool in trainer.pools:
                _require_known_pool(trainer.name, pool, pool_names)
        return self

    def pool(self, name: PoolId) -> PoolIntent | None:
        """Returns the named pool, or None."""
        return next((pool for pool in self.pools if pool.name == name), None)

    def service(self, name: str) -> ServiceIntent | None:
        """Returns the named service, or None."""
        return next((service for service in self.services if service.name == name), None)

    def trainer(self, name: TrainerId) -> TrainerIntent | None:
        """Returns the named trainer, or None."""
        return next((trainer for trainer in self.trainers if trainer.name == name), None)

    def assigned_pools(self) -> dict[EngineId, PoolId]:
        """Returns the pool of each engine that the intent names."""
        return {engine: pool.name for pool in self.pools for engine in pool.engines}


def _require_unique(kind: str, names: list) -> None:
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f"{kind} {name!r} is listed more than once; list it once")


def _require_known_pool(caller: str, pool: PoolId, known: list[PoolId]) -> None:
    if pool not in known:
        raise ValueError(f"{caller!r} uses pool {pool!r}, which is not declared; add it to pools")
