"""Which models lend engines to which others, by who has time to spare and who is short of it.

Owns the rule, a function of what it is given. A model that lends goes on loading its versions at
what it has lent, so that it has the engines back at once; a model that borrows loads its versions
there too. All that changes hands is which batch the first places there are for.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from larkpost.common.hashing import hash64
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.blackboard.weight_targets import Demands, ModelDemand, Outlook
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
    """Returns what a model does, by its batches' outlook and by how its trainer asks.

    How its trainer asks is known to all daemons with the rows, and holds for whole steps. A tight
    batch whose items all have places gains nothing by more of them.
    """
    if demand.outlook is Outlook.HOPELESS:
        return Standing.LENDS  # what can't be in time comes after what can
    waits = demand.asked_after is not None and demand.asked_after < WAITED_SECONDS
    if waits or (demand.outlook is Outlook.TIGHT and demand.waiting):
        return Standing.BORROWS
    has_leisure = (
        demand.least_asked_after is not None and demand.least_asked_after >= LEISURE_SECONDS
    )
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
    standings = {model: standing_of(demands.get(model, ModelDemand())) for model in division}
    borrowers = [model for model, standing in standings.items() if standing is Standing.BORROWS]
    offers = _offers(division, standings)
    lent: dict[ModelName, list[InstanceId]] = {model: [] for model in borrowers}
    while offers and borrowers:
        borrower = min(borrowers, key=lambda model: _need(model, division, demands, lent))
        engine = min(offers, key=lambda name: (-version_of(name, borrower), hash64(name)))
        offers.remove(engine)
        lent[borrower].append(engine)
    return Lending({model: engines for model, engines in lent.items() if engines})


def models_that_yield(models: Iterable[ModelName], demands: Demands) -> frozenset[ModelName]:
    """Returns the models whose batches leave places that fall free to those of others.

    They do while they have time to spare, or can't be in time, and a batch of another model that is
    short of time waits for places. Their own engines are theirs still.
    """
    standings = {model: standing_of(demands.get(model, ModelDemand())) for model in models}
    if not any(
        standing is Standing.BORROWS and demands[model].waiting
        for model, standing in standings.items()
    ):
        return frozenset()
    return frozenset(model for model, standing in standings.items() if standing is Standing.LENDS)


def _offers(division: Assignment, standings: Mapping[ModelName, Standing]) -> list[InstanceId]:
    """Returns the engines that may be lent; an engine of two models is nobody's to lend."""
    holdings = [engine for engines in division.values() for engine in engines]
    offers: list[InstanceId] = []
    for model, engines in division.items():
        if standings[model] is Standing.LENDS:
            count = min(int(len(engines) * LENT_SHARE), len(engines) - MIN_ENGINES_PER_MODEL)
            free = [engine for engine in engines if holdings.count(engine) == 1]
            offers.extend(free[: max(0, count)])
    return offers


def _need(
    model: ModelName,
    division: Assignment,
    demands: Demands,
    lent: Mapping[ModelName, list[InstanceId]],
) -> tuple[float, ModelName]:
    """Returns by what a borrower comes before others; the least of these chooses next."""
    work = demands.get(model, ModelDemand()).work
    return -work / (len(division[model]) + len(lent[model]) + 1), model
