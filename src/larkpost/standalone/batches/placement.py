"""Placement of new rollouts on engines, within the free slots of each engine."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter
from typing import NamedTuple

from larkpost.common.ids import EngineId
from larkpost.standalone.routing.selection import Candidate


@dataclass(slots=True)
class EngineCapacity:
    """Free slots and load of one engine, updated as rollouts are placed.

    Attributes:
        free: sequence slots that rollouts may still use.
        running: sequences that run or wait at the engine.
        is_slow: the engine is a straggler, used only when the others are full.
    """

    engine: EngineId
    free: int
    running: int
    is_slow: bool = False


class Placement(ABC):
    """Chooses an engine for each rollout in turn."""

    def __init__(self, capacities: Iterable[EngineCapacity]) -> None:
        self._capacities = {capacity.engine: capacity for capacity in capacities}

    def acquire(self, preferred: EngineId | None) -> EngineId | None:
        """Occupies a slot at an engine.

        Args:
            preferred: the engine that already runs samples of the same prompt.

        Returns:
            The engine, or None if no slot is free.
        """
        usable = [c for c in self._capacities.values() if c.free > 0]
        if not usable:
            return None
        capacity = self._choose(usable, preferred)
        return _occupy(capacity)

    def acquire_other(self, current: EngineId) -> EngineId | None:
        """Occupies a slot at another engine that is not slow, for a sample stuck at ``current``."""
        others = [
            c
            for c in self._capacities.values()
            if c.free > 0 and c.engine != current and not c.is_slow
        ]
        if not others:
            return None
        return _occupy(min(others, key=attrgetter("running")))

    @abstractmethod
    def _choose(self, usable: list[EngineCapacity], preferred: EngineId | None) -> EngineCapacity:
        """Chooses one of the engines that have a free slot."""


class LoadPlacement(Placement):
    """Chooses the preferred engine unless it is slow or full, else the least loaded one."""

    def _choose(self, usable: list[EngineCapacity], preferred: EngineId | None) -> EngineCapacity:
        for capacity in usable:
            if capacity.engine == preferred and not capacity.is_slow:
                return capacity
        return min(usable, key=_load_order)


class _LoadOrder(NamedTuple):
    """Sort key of engines: those that are not slow first, then by load."""

    is_slow: bool
    occupied_share: float


def _load_order(capacity: EngineCapacity) -> _LoadOrder:
    return _LoadOrder(
        is_slow=capacity.is_slow,
        occupied_share=capacity.running / (capacity.running + capacity.free),
    )


class RoundRobinPlacement(Placement):
    """Chooses the engines in turn; a baseline for comparisons."""

    def __init__(self, capacities: Iterable[EngineCapacity], last: EngineId | None) -> None:
        super().__init__(capacities)
        self._last = last

    def _choose(self, usable: list[EngineCapacity], preferred: EngineId | None) -> EngineCapacity:
        later = [c for c in usable if self._last is not None and c.engine > self._last]
        capacity = min(later or usable, key=attrgetter("engine"))
        self._last = capacity.engine
        return capacity


def _occupy(capacity: EngineCapacity) -> EngineId:
    capacity.free -= 1
    capacity.running += 1
    return capacity.engine


def make_capacities(candidates: Iterable[Candidate], reserve: int) -> list[EngineCapacity]:
    """Returns the capacity of each candidate, less the ``reserve`` slots kept for clients."""
    return [
        EngineCapacity(c.engine, max(c.free_slots - reserve, 0), c.busy_slots, c.is_slow)
        for c in candidates
    ]
