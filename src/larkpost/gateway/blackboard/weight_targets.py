"""The weight version that each model should have, and the demand of each model's batches.

`controllers.row_recorder` updates the targets from the trainers' rows; `controllers.due_loads`
reads them.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from larkpost.gateway.blackboard.configuration import ModelName


@dataclass(frozen=True, slots=True)
class WeightTarget:
    """A weight version announced by a trainer for its model."""

    model: ModelName
    version: int


@dataclass(frozen=True, slots=True)
class VersionAnnouncement:
    """An announced weight version and its age.

    Attributes:
        seconds: time since this daemon learned of it.
    """

    version: int
    seconds: float


class WeightTargets:
    """The newest version announced for each model; it never decreases."""

    def __init__(self) -> None:
        self._versions: dict[ModelName, int] = {}
        self._announced_at: dict[ModelName, float] = {}
        self._knew_predecessor: dict[ModelName, bool] = {}
        """Whether this daemon knew the preceding version; if not, the announcement may be old."""

    def update(self, target: WeightTarget, now: float) -> bool:
        """Stores an announced version if it is newer, and returns whether it was.

        Args:
            now: steady time in seconds.
        """
        if target.version <= self._versions.get(target.model, 0):
            return False
        is_successor = target.version - 1 == self._versions.get(target.model)
        self._versions[target.model] = target.version
        self._announced_at[target.model] = now
        self._knew_predecessor[target.model] = is_successor
        return True

    def seconds_since_announced(self, model: ModelName, now: float) -> float:
        """Returns the seconds since this daemon learned of a model's newest version."""
        return now - self._announced_at.get(model, now)

    def last_announcement(self, model: ModelName, now: float) -> VersionAnnouncement | None:
        """Returns a model's newest announcement.

        Returns:
            None if there is none, or if it may be older than this daemon's knowledge of it.
        """
        if not self._knew_predecessor.get(model, False):
            return None
        return VersionAnnouncement(self._versions[model], now - self._announced_at[model])

    def version(self, model: ModelName) -> int:
        """Returns the newest version announced for a model; 0 if there is none."""
        return self._versions.get(model, 0)


class DeadlineForecast(StrEnum):
    """Whether a batch is expected to meet its deadline."""

    UNKNOWN = "unknown"
    TO_SPARE = "to_spare"  # in time, with some seconds to spare
    TIGHT = "tight"  # just in time, or late but still recoverable
    INFEASIBLE = "hopeless"  # late even with all engines, with much work left


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """The demand of a model's batches.

    Attributes:
        work: expected tokens of a batch, averaged over recent batches; 0 if unknown.
        open: whether a batch is running.
        has_earlier_open: whether a batch before the newest one is running.
        submit_delay: seconds from the latest announcement of a version until the newest batch was
            submitted: short if the trainer waited for that version, long if it had time to spare;
            None if unknown.
        submit_version: newest announced version when that batch was submitted; 0 if none or
            unknown.
        min_submit_delay: minimum of the known submit delays of the newest two batches; None if both
            are unknown.
        deadline_forecast: forecast of the most urgent open batch.
        waiting: known number of items of open batches that wait for a slot.
        priority: highest priority (lowest number) of its open batches.
    """

    work: int = 0
    open: bool = False
    has_earlier_open: bool = False
    submit_delay: float | None = None
    submit_version: int = 0
    min_submit_delay: float | None = None
    deadline_forecast: DeadlineForecast = DeadlineForecast.UNKNOWN
    waiting: int = 0
    priority: int = 0


Demands = Mapping[ModelName, ModelDemand]
