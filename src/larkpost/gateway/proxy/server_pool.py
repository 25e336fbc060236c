"""Which instances of a service a choice looks at: all of a small service, some of a large one.

So the cost of a choice, and of a count of places, does not grow with the fleet. A daemon's requests
look at its subset (`subset`), of which it knows most and to which it keeps connections. Items of
batches look at instances drawn anew each time from all that may hold their model: an owner's items
need more places than a subset has.

Decides only what is looked at; the order stands in `ranking`.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import lru_cache

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceInfo
from larkpost.gateway.placement.work import Work, WorkKind
from larkpost.gateway.proxy.subset import DaemonSubsets

MAX_UNSAMPLED_INSTANCES = 64
"""A service of so many instances or fewer is looked at as a whole."""
POOL_SIZE = 40
"""Instances of a larger one that a choice looks at."""
POOL_EXTENSION_SIZE = 12
"""Others that it looks at if none of those has a place. Of a dozen drawn at random one has, unless
nearly all are full."""
MIN_OPEN_INSTANCES = 4
"""Instances open to the work that a choice looks at, if there are as many: with fewer, all of them
may have been tried or be full while others could serve."""
SEARCH_LIFETIME_SECONDS = 0.25
"""How long it is believed which instances a search of a whole service has found."""
SORTED_IDS_CACHE_SIZE = 64
"""Sets of instances of which the sorted ids are kept."""


@dataclass(frozen=True, slots=True)
class CandidatePool:
    """The instances that a choice looks at.

    Attributes:
        total: how many they stand for, themselves among them.
        possible: all that may be looked at, themselves among them; none if these are all.
    """

    instances: list[InstanceInfo]
    total: int
    population: Sequence[InstanceId] = ()

    @property
    def is_partial(self) -> bool:
        """Whether there are others that may be looked at."""
        return len(self.population) > len(self.instances)

    @property
    def scale(self) -> float:
        """How many instances each of those looked at stands for, without unit."""
        return self.total / len(self.instances) if self.instances else 1.0


@dataclass(frozen=True, slots=True)
class _Search:
    """What a search has found.

    Attributes:
        at: when, in seconds of the clock.
        scale: how many wanted instances each of those found stands for, without unit.
    """

    at: float
    ids: list[InstanceId]
    scale: float


_SearchKey = tuple[ServiceName, Work, frozenset[InstanceId] | None]
"""The service, the work, and the only instances that were searched."""


@lru_cache(maxsize=SORTED_IDS_CACHE_SIZE)
def _sorted_ids(instances: frozenset[InstanceId]) -> tuple[InstanceId, ...]:
    return tuple(sorted(instances))


class ServerPool:
    """Draws the instances that choices look at.

    Args:
        subsets: this daemon's part of each large service; None if it serves all alone.
    """

    def __init__(
        self,
        directory: InstanceDirectory,
        clock: Clock,
        rng: random.Random,
        subsets: DaemonSubsets | None = None,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._chance = rng
        self._subsets = subsets
        self._searches: dict[_SearchKey, _Search] = {}

    def candidate_pool(
        self, service: ServiceName, work: Work, within: frozenset[InstanceId] | None = None
    ) -> CandidatePool:
        """Returns the instances that a choice for a piece of work looks at.

        Args:
            within: the only instances of a large service to look at; None for any.
        """
        index = self._directory.index
        listed = index.ids(service)
        if len(listed) <= MAX_UNSAMPLED_INSTANCES:
            return CandidatePool(list(index.entries(service)), len(listed))
        if work.kind is WorkKind.ITEM:
            drawn_from = self._for_items(service, work, within)
            drawn = self._draw(service, drawn_from, POOL_SIZE)
            return CandidatePool(drawn, len(drawn_from), drawn_from)
        own = self._subsets.ids(service, index) if self._subsets is not None else listed
        return CandidatePool(self._draw(service, own, POOL_SIZE), len(listed), listed)

    def extend_pool(
        self, service: ServiceName, candidate_pool: CandidatePool
    ) -> list[InstanceInfo]:
        """Returns some of the others."""
        seen = {info.id for info in candidate_pool.instances}
        drawn = self._draw(service, candidate_pool.population, POOL_EXTENSION_SIZE)
        return [info for info in drawn if info.id not in seen]

    def find_open(
        self,
        service: ServiceName,
        work: Work,
        within: frozenset[InstanceId] | None,
        candidate_pool: CandidatePool,
        is_wanted: Callable[[InstanceInfo], bool],
    ) -> CandidatePool:
        """Returns instances that are wanted, found by looking at all if need be; seldom anew.

        Args:
            look: what was looked at for the same arguments; the search goes through all possible.
        """
        now = self._clock.now()
        key = (service, work, within)
        known = self._searches.get(key)
        if known is None or now - known.at >= SEARCH_LIFETIME_SECONDS:
            known = self._find(service, candidate_pool.population, is_wanted)
            self._forget_searches(now)
            self._searches[key] = known
        index = self._directory.index
        found = [info for name in known.ids if (info := index.get(service, name)) is not None]
        return CandidatePool(found, round(len(found) * known.scale))

    def _find(
        self,
        service: ServiceName,
        searched: Sequence[InstanceId],
        is_wanted: Callable[[InstanceInfo], bool],
    ) -> _Search:
        """Goes through instances in no order until `LOOKED_AT` are found that are wanted."""
        in_no_order = self._draw(service, searched)
        found: list[InstanceId] = []
        judged = 0
        for info in in_no_order:
            judged += 1
            if is_wanted(info):
                found.append(info.id)
            if len(found) == POOL_SIZE:
                break
        return _Search(self._clock.now(), found, len(in_no_order) / max(1, judged))

    def _forget_searches(self, now: float) -> None:
        self._searches = {
            key: known
            for key, known in self._searches.items()
            if now - known.at < SEARCH_LIFETIME_SECONDS
        }

    def subset_sizes(self) -> dict[ServiceName, int]:
        """Returns how many instances of each large service are in this daemon's subset."""
        if self._subsets is None:
            return {}
        index = self._directory.index
        return {
            service: len(self._subsets.ids(service, index))
            for service in index.services()
            if len(index.ids(service)) > MAX_UNSAMPLED_INSTANCES
        }

    def _for_items(
        self, service: ServiceName, work: Work, within: frozenset[InstanceId] | None
    ) -> Sequence[InstanceId]:
        if within is not None:
            return _sorted_ids(within)
        index = self._directory.index
        if work.model is None or not work.minimum_version:
            return index.ids(service)
        return index.holders(service, work.model)

    def _draw(
        self, service: ServiceName, ids: Sequence[InstanceId], most: int | None = None
    ) -> list[InstanceInfo]:
        """Returns the entries of up to ``most`` of some instances, in no order; None for all."""
        index = self._directory.index
        drawn = self._chance.sample(ids, min(len(ids), most if most is not None else len(ids)))
        return [info for name in drawn if (info := index.get(service, name)) is not None]
