"""The weight version that each model should have, and what the batches of each model ask for.

Owns the newest version named for each model. `controllers.row_intake` writes it from the rows of
trainers; `controllers.due_loads` reads it.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from larkpost.gateway.blackboard.configuration import ModelName


@dataclass(frozen=True, slots=True)
class WeightTarget:
    """A version that a trainer has named for its model."""

    model: ModelName
    version: int


@dataclass(frozen=True, slots=True)
class VersionAnnouncement:
    """A version as it was named.

    Attributes:
        seconds: since this daemon learnt of it.
    """

    version: int
    seconds: float


class WeightTargets:
    """The newest version named for each model; it never goes back."""

    def __init__(self) -> None:
        self._versions: dict[ModelName, int] = {}
        self._announced_at: dict[ModelName, float] = {}
        self._is_observed: dict[ModelName, bool] = {}
        """Whether this daemon knew the version before: else it has read an old row."""

    def update(self, target: WeightTarget, now: float) -> bool:
        """Stores a named version if it is newer, and returns whether it was.

        Args:
            now: steady time in seconds.
        """
        if target.version <= self._versions.get(target.model, 0):
            return False
        follows = target.version - 1 == self._versions.get(target.model)
        self._versions[target.model] = target.version
        self._announced_at[target.model] = now
        self._is_observed[target.model] = follows
        return True

    def seconds_since_announced(self, model: ModelName, now: float) -> float:
        """Returns the seconds since this daemon learnt of a model's newest version."""
        return now - self._announced_at.get(model, now)

    def last_announcement(self, model: ModelName, now: float) -> VersionAnnouncement | None:
        """Returns when a model's newest version was named; None if that was not seen here."""
        if not self._is_observed.get(model, False):
            return None
        return VersionAnnouncement(self._versions[model], now - self._announced_at[model])

    def version(self, model: ModelName) -> int:
        """Returns the newest version named for a model; 0 if none was."""
        return self._versions.get(model, 0)


class DeadlineForecast(StrEnum):
    """Whether a batch will be in time, by a forecast."""

    UNKNOWN = "unknown"
    TO_SPARE = "to_spare"  # in time, with some seconds left
    TIGHT = "tight"  # just in time, or late though it can still be in time
    HOPELESS = "hopeless"  # late even if it had all engines for itself, with much left to do


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """What the batches of a model ask for.

    Attributes:
        work: expected tokens of a batch, averaged over the newest ones; 0 if none is known.
        open: whether a batch runs now.
        open_before: whether a batch before the newest one runs now.
        asked_after: seconds between the naming of a version and the newest batch, whose trainer
            waited for that version or had time to spare; None if not known.
        asked_at: the newest version that was named then; 0 if none was, or it is not known.
        least_asked_after: the least of this for the newest batch and the one before.
        outlook: of the open batch that is most in need.
        waiting: items of its open batches that wait for places, as far as is known.
        priority: the highest, which is the least, of its open batches.
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
