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

WAITED_SECONDS = 0.5
"""A batch that comes within so many seconds of its model's version had to wait for it."""
LEISURE_SECONDS = 1.5
"""A trainer whose batches come so long after their versions has time to spare."""
LENT_SHARE = 0.4
"""Share of its engines that a model lends at most: its own batches must stay in time."""


class Standing(StrEnum):
    """What a model does when engines are lent."""

    LENDS = "lends"
    BORROWS = "borrows"
    NEITHER = "neither"


@dataclass(frozen=True, slots=True)
class Lending:
    """Engines lent: for each model that borrows, from which engines it gets the first places."""

    lent: dict[ModelName, list[InstanceId]] = field(default_factory=dict)

    def first_engines(self, division: Assignment) -> Assignment:
        """Returns the engines whose first places are each model's: no engine is two models'."""
        gone = {engine for engines in self.lent.values() for engine in engines}
        return {
            model: [engine for engine in engines if engine not in gone] + self._borrowed(model)
            for model, engines in division.items()
        }

    def holders(self, division: Assignment) -> Assignment:
        """Returns the engines that load each model's versions, in the order of loading."""
        return {
            model: sorted(engines + self._borrowed(model), key=hash64)
            if model in self.lent
            else engines
            for model, engines in division.items()
        }

    def _borrowed(self, model: ModelName) -> list[InstanceId]:
        return self.lent.get(model, [])


def standing_of(demand: ModelDemand) -> Standing:
    """Returns what a model does, by how its trainer asks, and by whether its batches are hopeless.

    Both hold for whole steps. Whether a batch is tight does not: it gets places, and is so no more.
    """
    if demand.deadline_forecast is DeadlineForecast.HOPELESS:
        return Standing.LENDS  # what can't be in time comes after what can
    if demand.submit_delay is not None and demand.submit_delay < WAITED_SECONDS:
        return Standing.BORROWS
    has_leisure = demand.min_submit_delay is not None and demand.min_submit_delay >= LEISURE_SECONDS
    return Standing.LENDS if has_leisure else Standing.NEITHER


def lend(
    division: Assignment,
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
    known = {model: demands.get(model, ModelDemand()) for model in division}
    offers = _offers(division, known)
    wishes: dict[ModelName, Iterator[InstanceId]] = {
        model: iter(_in_order_of_choice(model, offers, demand, version_of))
        for model, demand in known.items()
        if standing_of(demand) is Standing.BORROWS
    }
    lent: dict[ModelName, list[InstanceId]] = {model: [] for model in wishes}
    taken: set[InstanceId] = set()
    while wishes:
        borrower = min(wishes, key=lambda model: _need(model, division, demands, lent))
        engine = next((name for name in wishes[borrower] if name not in taken), None)
        if engine is None:
            del wishes[borrower]
        else:
            taken.add(engine)
            lent[borrower].append(engine)
    return Lending({model: engines for model, engines in lent.items() if engines})


def models_that_yield(models: Iterable[ModelName], demands: Demands) -> frozenset[ModelName]:
    """Returns the models whose batches leave places that fall free to those of others.

    They do while they have time to spare, or can't be in time, and items of a batch of another
    model wait that is short of time, or tight, and of no lower priority. Their own engines are
    theirs still.
    """
    known = {model: demands.get(model, ModelDemand()) for model in models}
    needy = [
        demand.priority for demand in known.values() if demand.waiting and _is_short_of_time(demand)
    ]
    return frozenset(
        model
        for model, demand in known.items()
        if standing_of(demand) is Standing.LENDS
        and not _is_short_of_time(demand)
        and needy
        and min(needy) <= demand.priority
    )


def _is_short_of_time(demand: ModelDemand) -> bool:
    return (
        demand.deadline_forecast is DeadlineForecast.TIGHT
        or standing_of(demand) is Standing.BORROWS
    )


def _offers(
    division: Assignment, demands: Mapping[ModelName, ModelDemand]
) -> dict[InstanceId, int]:
    """Returns the engines that may be lent, with the priorities of the models that lend them.

    An engine of two models is nobody's to lend.
    """
    holdings = Counter(engine for engines in division.values() for engine in engines)
    offers: dict[InstanceId, int] = {}
    for model, engines in division.items():
        if standing_of(demands[model]) is Standing.LENDS:
            count = min(int(len(engines) * LENT_SHARE), len(engines) - MIN_ENGINES_PER_MODEL)
            free = [engine for engine in engines if holdings[engine] == 1]
            offers |= dict.fromkeys(free[: max(0, count)], demands[model].priority)
    return offers


def _in_order_of_choice(
    model: ModelName,
    offers: Mapping[InstanceId, int],
    demand: ModelDemand,
    version_of: Callable[[InstanceId, ModelName], int],
) -> list[InstanceId]:
    """Returns the engines that a borrower may take; nobody lends to a lower priority."""
    allowed = [engine for engine, priority in offers.items() if demand.priority <= priority]
    return sorted(allowed, key=lambda engine: (-version_of(engine, model), hash64(engine)))


def _need(
    model: ModelName,
    division: Assignment,
    demands: Demands,
    lent: Mapping[ModelName, list[InstanceId]],
) -> tuple[float, ModelName]:
    """Returns by what a borrower comes before others; the least of these chooses next."""
    work = demands.get(model, ModelDemand()).work
    return -work / (len(division[model]) + len(lent[model]) + 1), model
