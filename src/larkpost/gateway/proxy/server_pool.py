"""Selects the instances to consider for a request: all of a small service, a sample of a large one.

This keeps the cost of choosing an instance, and of counting slots, independent of the fleet size.
For client requests, the sample is drawn from the daemon's subset (`subset`), whose servers it knows
best and keeps connections to. For items of batches it is drawn from all instances that may hold
their model, as the items of one owner need more slots than a subset has.

Decides only which instances are considered; `ranking` orders them.
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
"""A service with at most this many instances is considered as a whole."""
POOL_SIZE = 40
"""Instances of a larger service that are considered."""
POOL_EXTENSION_SIZE = 12
"""Further instances considered if none of those has a free slot. Of a dozen drawn at random one
has, unless nearly all are full."""
MIN_OPEN_INSTANCES = 4
"""Minimum number of considered instances that are open to the work, if there are that many. With
fewer, all of them might be full or already tried while others could serve."""
SEARCH_LIFETIME_SECONDS = 0.25
"""How long the result of a search through a whole service is reused."""
SORTED_IDS_CACHE_SIZE = 64
"""Number of instance sets whose sorted ids are cached."""


@dataclass(frozen=True, slots=True)
class CandidatePool:
    """The instances to consider for a request.

    Attributes:
        total: number of instances that the considered ones represent, including themselves.
        population: all instances that may be considered; empty if `instances` are all.
    """

    instances: list[InstanceInfo]
    total: int
    population: Sequence[InstanceId] = ()

    @property
    def is_partial(self) -> bool:
        """Whether there are others that may be considered."""
        return len(self.population) > len(self.instances)

    @property
    def scale(self) -> float:
        """Number of instances that each of these represents, without unit."""
        return self.total / len(self.instances) if self.instances else 1.0


@dataclass(frozen=True, slots=True)
class _Search:
    """The result of a search.

    Attributes:
        at: steady time of the search.
        scale: number of matching instances that each found one represents, without unit.
    """

    at: float
    ids: list[InstanceId]
    scale: float


_SearchKey = tuple[ServiceName, Work, frozenset[InstanceId] | None]
"""The service, the work, and the instances that the search was restricted to."""


@lru_cache(maxsize=SORTED_IDS_CACHE_SIZE)
def _sorted_ids(instances: frozenset[InstanceId]) -> tuple[InstanceId, ...]:
    return tuple(sorted(instances))


class ServerPool:
    """Samples the instances to consider for requests.

    Args:
        subsets: this daemon's subset of each large service; None if it is the only daemon.
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
        self._rng = rng
        self._subsets = subsets
        self._searches: dict[_SearchKey, _Search] = {}

    def candidate_pool(
        self, service: ServiceName, work: Work, within: frozenset[InstanceId] | None = None
    ) -> CandidatePool:
        """Returns the instances to consider for a piece of work.

        Args:
            within: the only instances of a large service to consider; None for all.
        """
        index = self._directory.index
        all_ids = index.ids(service)
        if len(all_ids) <= MAX_UNSAMPLED_INSTANCES:
            return CandidatePool(list(index.entries(service)), len(all_ids))
        if work.kind is WorkKind.ITEM:
            item_population = self._item_population(service, work, within)
            sampled = self._sample(service, item_population, POOL_SIZE)
            return CandidatePool(sampled, len(item_population), item_population)
        own = self._subsets.ids(service, index) if self._subsets is not None else all_ids
        return CandidatePool(self._sample(service, own, POOL_SIZE), len(all_ids), all_ids)

    def extend_pool(
        self, service: ServiceName, candidate_pool: CandidatePool
    ) -> list[InstanceInfo]:
        """Returns further instances that are not in the pool."""
        seen = {info.id for info in candidate_pool.instances}
        sampled = self._sample(service, candidate_pool.population, POOL_EXTENSION_SIZE)
        return [info for info in sampled if info.id not in seen]

    def find_open(
        self,
        service: ServiceName,
        work: Work,
        within: frozenset[InstanceId] | None,
        candidate_pool: CandidatePool,
        is_wanted: Callable[[InstanceInfo], bool],
    ) -> CandidatePool:
        """Returns instances that match, searched among all that may be considered.

        The result is cached for `SEARCH_LIFETIME_SECONDS`.

        Args:
            candidate_pool: the pool for the same arguments; its population is searched.
            is_wanted: returns whether an instance matches.
        """
        now = self._clock.now()
        key = (service, work, within)
        cached = self._searches.get(key)
        if cached is None or now - cached.at >= SEARCH_LIFETIME_SECONDS:
            cached = self._find(service, candidate_pool.population, is_wanted)
            self._forget_searches(now)
            self._searches[key] = cached
        index = self._directory.index
        found = [info for name in cached.ids if (info := index.get(service, name)) is not None]
        return CandidatePool(found, round(len(found) * cached.scale))

    def _find(
        self,
        service: ServiceName,
        searched: Sequence[InstanceId],
        is_wanted: Callable[[InstanceInfo], bool],
    ) -> _Search:
        """Searches instances in random order until `POOL_SIZE` of them match."""
        shuffled = self._sample(service, searched)
        found: list[InstanceId] = []
        examined = 0
        for info in shuffled:
            examined += 1
            if is_wanted(info):
                found.append(info.id)
            if len(found) == POOL_SIZE:
                break
        return _Search(self._clock.now(), found, len(shuffled) / max(1, examined))

    def _forget_searches(self, now: float) -> None:
        self._searches = {
            key: cached
            for key, cached in self._searches.items()
            if now - cached.at < SEARCH_LIFETIME_SECONDS
        }

    def subset_sizes(self) -> dict[ServiceName, int]:
        """Returns the size of this daemon's subset of each large service."""
        if self._subsets is None:
            return {}
        index = self._directory.index
        return {
            service: len(self._subsets.ids(service, index))
            for service in index.services()
            if len(index.ids(service)) > MAX_UNSAMPLED_INSTANCES
        }

    def _item_population(
        self, service: ServiceName, work: Work, within: frozenset[InstanceId] | None
    ) -> Sequence[InstanceId]:
        if within is not None:
            return _sorted_ids(within)
        index = self._directory.index
        if work.model is None or not work.minimum_version:
            return index.ids(service)
        return index.holders(service, work.model)

    def _sample(
        self, service: ServiceName, ids: Sequence[InstanceId], limit: int | None = None
    ) -> list[InstanceInfo]:
        """Returns up to ``limit`` of the instances in random order; all if it is None."""
        index = self._directory.index
        sampled = self._rng.sample(ids, min(len(ids), limit if limit is not None else len(ids)))
        return [info for name in sampled if (info := index.get(service, name)) is not None]
