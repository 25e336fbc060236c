"""Rolling weight swaps: each engine's owner moves it to its policy's newest version in waves.

An engine's wave follows from its rank in the pool, so owners stagger swaps without messages and the
whole pool never swaps at once. A wave starts once the engines of earlier waves that this daemon
watches have the version, and wave n (from 0) at the latest n swap intervals of the pool after this
daemon learned the version. A swap is complete when the engine reports the version, not when it
accepts the order.
"""

from larkpost.common.ids import EngineId
from larkpost.standalone.config.intent import PoolIntent
from larkpost.standalone.controllers.monitor import Monitor
from larkpost.standalone.controllers.ownership import Ownership
from larkpost.standalone.controllers.readiness import Readiness
from larkpost.standalone.engines.port import (
    EngineError,
    EnginePort,
    Order,
    OrderKind,
    StaleTokenError,
)
from larkpost.standalone.runtime import Runtime

RETRY_BASE = 0.5
"""Maximum seconds between a first order and its retry; doubles with each further retry."""
RETRY_LIMIT = 8.0
"""Maximum seconds between retries of an order."""


class WeightController:
    """Orders weight swaps at owned engines."""

    def __init__(
        self,
        runtime: Runtime,
        engines: EnginePort,
        ownership: Ownership,
        monitor: Monitor,
        readiness: Readiness,
    ) -> None:
        self._board = runtime.board
        self._engines = engines
        self._ownership = ownership
        self._monitor = monitor
        self._readiness = readiness
        self._clock = runtime.clock
        self._telemetry = runtime.telemetry
        self._settings = runtime.settings.engines
        self._rng = runtime.rng
        self._orders_sent: dict[EngineId, int] = {}
        self._retry_at: dict[EngineId, float] = {}

    async def reconcile(self) -> None:
        """Orders the swaps that are due."""
        due = [
            (engine, pool)
            for engine, pool in self._owned_with_pools()
            if self._is_due(engine, pool)
        ]
        if not due or not self._readiness.admits_work:
            return
        for engine, pool in due:
            await self._swap(engine, pool)

    def _owned_with_pools(self) -> list[tuple[EngineId, PoolIntent]]:
        pools = [(engine, self._board.pool_intent_of(engine)) for engine in self._board.owned]
        return [(engine, pool) for engine, pool in pools if pool is not None]

    def _is_due(self, engine: EngineId, pool: PoolIntent) -> bool:
        load = self._board.engines.loads.get(engine)
        if pool.policy is None or load is None or load.swapping:
            return False
        target = self._board.policy_versions.get(pool.policy, 0)
        if load.version >= target:
            self._orders_sent.pop(engine, None)
            return False
        if self._clock.now() < self._retry_at.get(engine, 0.0):
            return False
        return self._wave_has_begun(engine, pool, target)

    def _wave_has_begun(self, engine: EngineId, pool: PoolIntent, target: int) -> bool:
        ranks = {name: rank for rank, name in enumerate(self._board.pool_engines(pool.name))}
        wave = ranks[engine] % pool.swap_waves
        latest_start = (
            self._board.policy_learned_at[pool.policy] + wave * pool.swap_interval_seconds
        )
        if self._clock.now() >= latest_start:
            return True
        earlier_engines = [
            e for e in self._monitor.watched_engines(pool.name) if ranks[e] % pool.swap_waves < wave
        ]
        return all(self._has_version(name, target) for name in earlier_engines)

    def _has_version(self, engine: EngineId, target: int) -> bool:
        load = self._board.engines.loads.get(engine)
        return load is not None and load.version >= target

    async def _swap(self, engine: EngineId, pool: PoolIntent) -> None:
        token = self._board.owned.get(engine)
        if token is None:
            return
        order = Order(
            OrderKind.LOAD_VERSION,
            self._board.members.own.id,
            token,
            policy=pool.policy,
            version=self._board.policy_versions[pool.policy],
        )
        self._schedule_retry(engine)
        self._telemetry.count("swap_orders")
        address = self._board.engines.directory[engine].address
        try:
            await self._engines.order(address, order, self._settings.order_timeout)
            self._monitor.record_swapping(engine)
        except StaleTokenError:
            self._ownership.release(engine)
        except EngineError:
            self._telemetry.count("swap_failures")

    def _schedule_retry(self, engine: EngineId) -> None:
        """Sets the earliest time of the next order, with exponential backoff.

        The backoff restarts once the engine has the target version.
        """
        orders_sent = self._orders_sent.get(engine, 0)
        self._orders_sent[engine] = orders_sent + 1
        wait = min(RETRY_BASE * 2**orders_sent, RETRY_LIMIT)
        self._retry_at[engine] = self._clock.now() + wait * self._rng.uniform(0.5, 1.0)
