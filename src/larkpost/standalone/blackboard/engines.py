"""The engine directory and the load of the engines this daemon watches."""

from collections.abc import Iterable
from dataclasses import dataclass

from larkpost.common.ids import Address, EngineId, PoolId, ZoneId
from larkpost.standalone.blackboard.speeds import EngineSpeeds


@dataclass(frozen=True, slots=True)
class EngineInfo:
    """One entry of the machine list.

    Attributes:
        label_pool: the pool that the machine list gives; an intent may assign another.
        leaving: the machine list marks the machine as leaving.
    """

    id: EngineId
    zone: ZoneId
    address: Address
    default_pool: PoolId
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """What an engine reported about itself.

    Attributes:
        running: sequences in the current batch.
        waiting: sequences queued inside the engine.
        slots: largest batch.
        version: weight version that the engine says it has loaded.
        leaving: the engine says that it is leaving.
        token: highest fencing token the engine has accepted.
        swapping: a weight swap is in progress.
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
    """Known engines, their reported load, and what this daemon itself has in flight at them."""

    def __init__(self) -> None:
        self.directory: dict[EngineId, EngineInfo] = {}
        self.loads: dict[EngineId, EngineLoad] = {}
        self.draining: set[EngineId] = set()
        self.in_flight: dict[EngineId, int] = {}
        self.avoid_until: dict[EngineId, float] = {}
        self.speeds = EngineSpeeds()
        self.revision = 0
        """Grows when the directory changes, so that derived values can be cached."""

    def put(self, info: EngineInfo) -> None:
        """Adds or replaces a directory entry."""
        self.directory[info.id] = info
        self.revision += 1

    def record_load(self, load: EngineLoad) -> None:
        """Stores a report unless a later one is known."""
        known = self.loads.get(load.engine)
        if known is None or load.at >= known.at:
            self.loads[load.engine] = load

    def is_leaving(self, engine: EngineId) -> bool:
        """Whether any source says that the engine is leaving."""
        info = self.directory.get(engine)
        load = self.loads.get(engine)
        listed = info is not None and info.leaving
        reported = load is not None and load.leaving
        return listed or reported or engine in self.draining

    def begin_attempt(self, engine: EngineId) -> None:
        """Counts an attempt in flight."""
        self.in_flight[engine] = self.in_flight.get(engine, 0) + 1

    def end_attempt(self, engine: EngineId) -> None:
        """Ends an attempt in flight."""
        self.in_flight[engine] -= 1

    def avoid(self, engine: EngineId, until: float) -> None:
        """Keeps new attempts away from an engine that just failed."""
        self.avoid_until[engine] = max(until, self.avoid_until.get(engine, 0.0))

    def entries(self) -> Iterable[EngineInfo]:
        """Returns the directory."""
        return self.directory.values()
