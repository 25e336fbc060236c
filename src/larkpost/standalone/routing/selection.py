"""Selection of an engine for a request, from the current state of the blackboard."""

from collections.abc import Collection
from dataclasses import dataclass
from operator import attrgetter

from larkpost.common.ids import EngineId, PoolId
from larkpost.standalone.blackboard.engines import EngineLoad
from larkpost.standalone.controllers.monitor import Monitor
from larkpost.standalone.routing.work import Work, WorkClass
from larkpost.standalone.runtime import Runtime

MAX_FULL_COMPARISON = 8
"""Up to this number, all candidates are compared; above it, two random ones."""
REMOTE_PENALTY = 0.5
"""Added to the score of an engine in another zone; 1.0 is the load of all its slots."""

SWAP_PENALTY = 2.0
"""Added to the score of an engine that swaps weights, as it generates nothing until it is done."""

SLOW_PENALTY = 1.0
"""Added to the score of a straggler, so that it is used when the others are full."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may take the work.

    Attributes:
        score: share of busy slots (1.0: all) plus penalties; the lowest is preferred.
    """

    engine: EngineId
    score: float
    free_slots: int
    busy_slots: int
    is_slow: bool


class Selector:
    """Selects the engine for the next attempt."""

    def __init__(self, runtime: Runtime, monitor: Monitor) -> None:
        self._board = runtime.board
        self._monitor = monitor
        self._clock = runtime.clock
        self._settings = runtime.settings.engines
        self._rng = runtime.rng

    def choose(self, work: Work, excluded: Collection[EngineId]) -> Candidate | None:
        """Returns the best of the compared candidates, or None if no engine may take the work."""
        candidates = self.candidates(work, excluded)
        if len(candidates) > MAX_FULL_COMPARISON:
            candidates = self._rng.sample(candidates, 2)
        self._rng.shuffle(candidates)
        return min(candidates, key=attrgetter("score"), default=None)

    def candidates(self, work: Work, excluded: Collection[EngineId]) -> list[Candidate]:
        """Returns every engine with a fresh report that may take the work now."""
        now = self._clock.now()
        watched_engines = self._monitor.watched_engines(work.pool)
        slow = self._board.engines.speeds.stragglers(watched_engines, now)
        found = []
        for engine in watched_engines:
            if engine in excluded or not self._is_usable(engine, now):
                continue
            if self._has_fresh_report(engine, now) and self._admits(
                work, self._board.engines.loads[engine]
            ):
                found.append(self._make_candidate(engine, engine in slow))
        return found

    def stale_engines(self, pool: PoolId, excluded: Collection[EngineId]) -> list[EngineId]:
        """Returns the pool's usable engines that need a new report before they may be used."""
        now = self._clock.now()
        return [
            engine
            for engine in self._monitor.watched_engines(pool)
            if engine not in excluded
            and self._is_usable(engine, now)
            and not self._has_fresh_report(engine, now)
        ]

    def is_full(self, work: Work) -> bool:
        """Whether every candidate's slots are busy and its queue is at the pool's limit.

        False if there are no candidates.
        """
        pool = self._board.configuration.intent.pool(work.pool)
        limit = pool.max_waiting if pool is not None else 0
        loads = [self._board.engines.loads[c.engine] for c in self.candidates(work, ())]
        return bool(loads) and all(
            load.running >= load.slots and load.waiting >= limit for load in loads
        )

    def may_dispatch(self, engine: EngineId) -> bool:
        """Whether an attempt may be sent now: the engine is usable and its report is fresh."""
        now = self._clock.now()
        return self._is_usable(engine, now) and self._has_fresh_report(engine, now)

    def _make_candidate(self, engine: EngineId, is_slow: bool) -> Candidate:
        engines = self._board.engines
        load = engines.loads[engine]
        busy = max(load.running + load.waiting, engines.in_flight.get(engine, 0))
        score = busy / max(load.slots, 1)
        if engines.directory[engine].zone != self._board.members.own.zone:
            score += REMOTE_PENALTY
        if load.swapping:
            score += SWAP_PENALTY
        if is_slow:
            score += SLOW_PENALTY
        return Candidate(engine, score, load.slots - busy, busy, is_slow)

    def _admits(self, work: Work, load: EngineLoad) -> bool:
        if load.version < work.min_version:
            return False
        if work.work_class == WorkClass.CLIENT:
            return True
        pool = self._board.configuration.intent.pool(work.pool)
        reserve = pool.client_reserve if pool is not None else 0
        in_flight = self._board.engines.in_flight.get(load.engine, 0)
        return max(load.running + load.waiting, in_flight) < load.slots - reserve

    def _is_usable(self, engine: EngineId, now: float) -> bool:
        engines = self._board.engines
        return not engines.is_leaving(engine) and engines.avoid_until.get(engine, 0.0) <= now

    def _has_fresh_report(self, engine: EngineId, now: float) -> bool:
        load = self._board.engines.loads.get(engine)
        return load is not None and now - load.at <= self._settings.report_lifetime
