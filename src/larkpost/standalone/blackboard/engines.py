"""The engine directory, reported loads, and the attempts that this daemon has in flight."""

from collections.abc import Iterable
from dataclasses import dataclass

from larkpost.common.ids import Address, EngineId, PoolId, ZoneId
from larkpost.standalone.blackboard.speeds import EngineSpeeds


@dataclass(frozen=True, slots=True)
class EngineInfo:
    """One entry of the machine list.

    Attributes:
        default_pool: pool given by the machine list; an intent may assign another.
        leaving: whether the machine list marks the machine as leaving.
    """

    id: EngineId
    zone: ZoneId
    address: Address
    default_pool: PoolId
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load and state that an engine reported.

    Attributes:
        running: sequences in the current batch.
        waiting: sequences queued inside the engine.
        slots: maximum batch size in sequences.
        version: weight version that the engine reports as loaded.
        leaving: whether the engine reports that it is leaving.
        token: highest fencing token that the engine has accepted.
        swapping: whether a weight swap is in progress.
        at: local monotonic time of the report.
    """

    engine: EngineId
    running: int
    waiting: int
    slots: int
    version: int
    leaving: bool
    token: int
    swapping: bool
    at: float


class EngineTable:
    """Known engines, their reported loads, and this daemon's attempts in flight at them."""

    def __init__(self) -> None:
        self.directory: dict[EngineId, EngineInfo] = {}
        self.loads: dict[EngineId, EngineLoad] = {}
        self.draining: set[EngineId] = set()
        self.in_flight: dict[EngineId, int] = {}
        self.avoid_until: dict[EngineId, float] = {}
        self.speeds = EngineSpeeds()
        self.revision = 0
        """Increases with each change of the directory; caches of derived values compare it."""

    def put(self, info: EngineInfo) -> None:
        """Adds or replaces a directory entry."""
        self.directory[info.id] = info
        self.revision += 1

    def record_load(self, load: EngineLoad) -> None:
        """Stores a reported load unless a later one is known."""
        known = self.loads.get(load.engine)
        if known is None or load.at >= known.at:
            self.loads[load.engine] = load

    def is_leaving(self, engine: EngineId) -> bool:
        """Whether the machine list, the engine's report or a drain mark says that it is leaving."""
        info = self.directory.get(engine)
        load = self.loads.get(engine)
        listed = info is not None and info.leaving
        reported = load is not None and load.leaving
        return listed or reported or engine in self.draining

    def begin_attempt(self, engine: EngineId) -> None:
        """Counts an attempt in flight."""
        self.in_flight[engine] = self.in_flight.get(engine, 0) + 1

    def end_attempt(self, engine: EngineId) -> None:
        """Removes an attempt from the count in flight."""
        self.in_flight[engine] -= 1

    def avoid(self, engine: EngineId, until: float) -> None:
        """Excludes an engine from new attempts until the given local time."""
        self.avoid_until[engine] = max(until, self.avoid_until.get(engine, 0.0))

    def entries(self) -> Iterable[EngineInfo]:
        """Returns all entries of the directory."""
        return self.directory.values()
