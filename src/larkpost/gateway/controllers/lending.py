"""Which models lend engines to which others, by who has time to spare and who is short of it.

Owns the rule, a function of what it is given. A model that lends goes on loading its versions at
what it has lent, so that it has the engines back at once; a model that borrows loads its versions
there too. All that changes hands is which batch the first places there are for.
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
"""A batch that comes within so many seconds of its model's version had to wait for it."""
TRAINER_SLACK_SECONDS = 1.5
"""A trainer whose batches come so long after their versions has time to spare."""
MAX_LENT_FRACTION = 0.4
"""Share of its engines that a model lends at most: its own batches must stay in time."""


class LendingRole(StrEnum):
    """What a model does when engines are lent."""

    LENDER = "lends"
    BORROWER = "borrows"
    NONE = "neither"


@dataclass(frozen=True, slots=True)
class Lending:
    """Engines lent: for each model that borrows, from which engines it gets the first places."""

    lent: dict[ModelName, list[InstanceId]] = field(default_factory=dict)

    def preferred_engines(self, assignment: Assignment) -> Assignment:
        """Returns the engines whose first places are each model's: no engine is two models'."""
        lent_away = {engine for engines in self.lent.values() for engine in engines}
        return {
            model: [engine for engine in engines if engine not in lent_away] + self._borrowed(model)
            for model, engines in assignment.items()
        }

    def loading_engines(self, assignment: Assignment) -> Assignment:
        """Returns the engines that load each model's versions, in the order of loading."""
        return {
            model: sorted(engines + self._borrowed(model), key=hash64)
            if model in self.lent
            else engines
            for model, engines in assignment.items()
        }

    def _borrowed(self, model: ModelName) -> list[InstanceId]:
        return self.lent.get(model, [])


def lending_role(demand: ModelDemand) -> LendingRole:
    """Returns what a model does, by how its trainer asks, and by whether its batches are hopeless.

    Both hold for whole steps. Whether a batch is tight does not: it gets places, and is so no more.
    """
    if demand.deadline_forecast is DeadlineForecast.HOPELESS:
        return LendingRole.LENDER  # what can't be in time comes after what can
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
    """Returns which engines are lent to whom; none if nobody is short or nobody can lend.

    The borrower with the most work for each of its engines chooses next, as in the division, and
    takes the engine with its newest version: so engines lent once are lent again.

    Args:
        division: the engines of each model, each of one model only.
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
    """Returns the models whose batches leave places that fall free to those of others.

    They do while they have time to spare, or can't be in time, and items of a batch of another
    model wait that is short of time, or tight, and of no lower priority. Their own engines are
    theirs still.
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

    An engine of two models is nobody's to lend.
    """
    holdings = Counter(engine for engines in assignment.values() for engine in engines)
    offers: dict[InstanceId, int] = {}
    for model, engines in assignment.items():
        if lending_role(demands[model]) is LendingRole.LENDER:
            count = min(int(len(engines) * MAX_LENT_FRACTION), len(engines) - MIN_ENGINES_PER_MODEL)
            free = [engine for engine in engines if holdings[engine] == 1]
            offers |= dict.fromkeys(free[: max(0, count)], demands[model].priority)
    return offers


def _by_preference(
    model: ModelName,
    offers: Mapping[InstanceId, int],
    demand: ModelDemand,
    version_of: Callable[[InstanceId, ModelName], int],
) -> list[InstanceId]:
    """Returns the engines that a borrower may take; nobody lends to a lower priority."""
    allowed = [engine for engine, priority in offers.items() if demand.priority <= priority]
    return sorted(allowed, key=lambda engine: (-version_of(engine, model), hash64(engine)))


def _borrowing_order(
    model: ModelName,
    assignment: Assignment,
    demands: Demands,
    lent: Mapping[ModelName, list[InstanceId]],
) -> tuple[float, ModelName]:
    """Returns by what a borrower comes before others; the least of these chooses next."""
    work = demands.get(model, ModelDemand()).work
    return -work / (len(assignment[model]) + len(lent[model]) + 1), model
