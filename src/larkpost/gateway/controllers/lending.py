"""Decides which models lend engines to which others, by the slack of their trainers.

A pure function of its inputs. A model that lends engines keeps loading its versions on them, so
that it can take them back at once; the borrower loads its versions there too. Lending changes only
which model's batches have the first claim on the engines' slots.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from larkpost.common.hashing import hash64
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.blackboard.weight_targets import DeadlineForecast, Demands, ModelDemand
from larkpost.gateway.controllers.model_assignment import MIN_ENGINES_PER_MODEL, Assignment

TRAINER_BLOCKED_SECONDS = 0.5
"""If a batch arrives within this time after a version's announcement, its trainer waited for it."""
TRAINER_SLACK_SECONDS = 1.5
"""A trainer whose batches arrive at least this long after the announcements has time to spare."""
MAX_LENT_FRACTION = 0.4
"""Largest fraction of its engines that a model lends, so that its own batches stay on time."""


class LendingRole(StrEnum):
    """A model's role in lending."""

    LENDER = "lends"
    BORROWER = "borrows"
    NONE = "neither"


@dataclass(frozen=True, slots=True)
class Lending:
    """The lent engines.

    Attributes:
        lent: for each borrowing model, the engines at which it gets the first claim on slots.
    """

    lent: dict[ModelName, list[InstanceId]] = field(default_factory=dict)

    def preferred_engines(self, assignment: Assignment) -> Assignment:
        """Returns the engines at which each model has the first claim on slots.

        A lent engine belongs to its borrower only.
        """
        lent_away = {engine for engines in self.lent.values() for engine in engines}
        return {
            model: [engine for engine in engines if engine not in lent_away] + self._borrowed(model)
            for model, engines in assignment.items()
        }

    def loading_engines(self, assignment: Assignment) -> Assignment:
        """Returns the engines that load each model's versions, in loading order."""
        return {
            model: sorted(engines + self._borrowed(model), key=hash64)
            if model in self.lent
            else engines
            for model, engines in assignment.items()
        }

    def _borrowed(self, model: ModelName) -> list[InstanceId]:
        return self.lent.get(model, [])


def lending_role(demand: ModelDemand) -> LendingRole:
    """Returns a model's role, by its submit delays and whether its batches can be on time.

    Both stay the same throughout a step. Whether a batch is tight is not considered, because that
    changes as soon as the batch gets slots.
    """
    if demand.deadline_forecast is DeadlineForecast.INFEASIBLE:
        return LendingRole.LENDER  # batches that can be on time come first
    if demand.submit_delay is not None and demand.submit_delay < TRAINER_BLOCKED_SECONDS:
        return LendingRole.BORROWER
    has_slack = (
        demand.min_submit_delay is not None and demand.min_submit_delay >= TRAINER_SLACK_SECONDS
    )
    return LendingRole.LENDER if has_slack else LendingRole.NONE


def plan_lending(
    assignment: Assignment,
    demands: Demands,
    version_of: Callable[[InstanceId, ModelName], int],
) -> Lending:
    """Returns which engines are lent to which models; empty if there is no borrower or no lender.

    The borrower with the most work per engine chooses next, as in the assignment, and takes the
    engine with its newest version, so that the same engines are lent again.

    Args:
        assignment: the engines of each model; only engines with one model are lent.
        version_of: returns the version of a model that an engine holds.
    """
    known = {model: demands.get(model, ModelDemand()) for model in assignment}
    offers = _lendable_engines(assignment, known)
    candidates: dict[ModelName, Iterator[InstanceId]] = {
        model: iter(_by_preference(model, offers, demand, version_of))
        for model, demand in known.items()
        if lending_role(demand) is LendingRole.BORROWER
    }
    lent: dict[ModelName, list[InstanceId]] = {model: [] for model in candidates}
    taken: set[InstanceId] = set()
    while candidates:
        borrower = min(
            candidates, key=lambda model: _borrowing_order(model, assignment, demands, lent)
        )
        engine = next((name for name in candidates[borrower] if name not in taken), None)
        if engine is None:
            del candidates[borrower]
        else:
            taken.add(engine)
            lent[borrower].append(engine)
    return Lending({model: engines for model, engines in lent.items() if engines})


def yielding_models(models: Iterable[ModelName], demands: Demands) -> frozenset[ModelName]:
    """Returns the models whose batches leave free slots to those of other models.

    A model yields while it has time to spare or cannot be on time, and another model that is short
    of time and of no lower priority has items waiting for slots. It keeps its own engines.
    """
    known = {model: demands.get(model, ModelDemand()) for model in models}
    waiting_priorities = [
        demand.priority for demand in known.values() if demand.waiting and _is_short_of_time(demand)
    ]
    return frozenset(
        model
        for model, demand in known.items()
        if lending_role(demand) is LendingRole.LENDER
        and not _is_short_of_time(demand)
        and waiting_priorities
        and min(waiting_priorities) <= demand.priority
    )


def _is_short_of_time(demand: ModelDemand) -> bool:
    return (
        demand.deadline_forecast is DeadlineForecast.TIGHT
        or lending_role(demand) is LendingRole.BORROWER
    )


def _lendable_engines(
    assignment: Assignment, demands: Mapping[ModelName, ModelDemand]
) -> dict[InstanceId, int]:
    """Returns the engines that may be lent, with the priorities of the models that lend them.

    Engines with several models are not lent.
    """
    model_counts = Counter(engine for engines in assignment.values() for engine in engines)
    offers: dict[InstanceId, int] = {}
    for model, engines in assignment.items():
        if lending_role(demands[model]) is LendingRole.LENDER:
            count = min(int(len(engines) * MAX_LENT_FRACTION), len(engines) - MIN_ENGINES_PER_MODEL)
            free = [engine for engine in engines if model_counts[engine] == 1]
            offers |= dict.fromkeys(free[: max(0, count)], demands[model].priority)
    return offers


def _by_preference(
    model: ModelName,
    offers: Mapping[InstanceId, int],
    demand: ModelDemand,
    version_of: Callable[[InstanceId, ModelName], int],
) -> list[InstanceId]:
    """Returns the engines that a borrower may take, in its order of preference.

    No model lends to one of lower priority, which is a larger number.
    """
    allowed = [engine for engine, priority in offers.items() if demand.priority <= priority]
    return sorted(allowed, key=lambda engine: (-version_of(engine, model), hash64(engine)))


def _borrowing_order(
    model: ModelName,
    assignment: Assignment,
    demands: Demands,
    lent: Mapping[ModelName, list[InstanceId]],
) -> tuple[float, ModelName]:
    """Returns the sort key of borrowers; the smallest one chooses next."""
    work = demands.get(model, ModelDemand()).work
    return -work / (len(assignment[model]) + len(lent[model]) + 1), model
