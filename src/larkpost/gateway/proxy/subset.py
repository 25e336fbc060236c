"""Subsets of the servers of a large service, one for each daemon, by rendezvous hashing.

Each server is in the subsets of the same number of daemons, so that none is left out and none gets
the requests of all daemons. When a daemon or server is added or removed, only the subsets that
contain it, or should contain it, change. Daemons with the same view of the fleet compute the same
subsets without communication.
"""

from collections.abc import Callable, Collection, Mapping, Sequence

from larkpost.common.hashing import hash64
from larkpost.common.ids import DaemonId, InstanceId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.service_index import IndexedIdSet, ServiceIndex

MIN_SUBSET_SIZE = 24
"""Minimum average size of a subset. A small one keeps its connections in use; a large one nearly
always contains a server with a free slot."""
MIN_DAEMONS_PER_SERVER = 3
"""Minimum number of daemons whose subsets contain a server, if there are that many. It spreads the
load of a daemon with many clients, or of one that was removed."""


def daemons_per_server(daemons: int, servers: int) -> int:
    """Returns the number of daemons whose subsets contain a given server.

    It grows by doubling, so that it changes seldom: each change affects all subsets.
    """
    daemon_count = MIN_DAEMONS_PER_SERVER
    while daemon_count < daemons and daemon_count * servers < MIN_SUBSET_SIZE * daemons:
        daemon_count *= 2
    return min(daemon_count, daemons)


def daemon_seed(daemon: DaemonId) -> int:
    """Returns the hash seed of a daemon, from which its weights for all servers are computed."""
    return hash64(f"subset\x00{daemon}")


def weight(seed: int, server: InstanceId) -> int:
    """Returns the rendezvous weight of a daemon's seed for a server; the highest weights win."""
    return hash64(server, seed)


def higher_ranked_daemons(
    own: int, others: Mapping[DaemonId, int], server: InstanceId, max_count: int
) -> list[DaemonId]:
    """Returns up to ``max_count`` daemons that rank higher than this one for a server.

    Args:
        own: this daemon's seed.
        others: the seeds of the other daemons.
    """
    own_weight = weight(own, server)
    found: list[DaemonId] = []
    for daemon, seed in others.items():
        if weight(seed, server) > own_weight:
            found.append(daemon)
            if len(found) == max_count:
                break
    return found


class DaemonSubset:
    """One daemon's subset of the servers of one service.

    For each server outside it, stores just enough higher-ranked daemons to exclude this one.
    """

    def __init__(self, own: DaemonId) -> None:
        self._own = own
        self._seed = daemon_seed(own)
        self._others: dict[DaemonId, int] = {}
        self._servers: set[InstanceId] = set()
        self._limit = 1
        self._inside = IndexedIdSet()
        self._outside: dict[InstanceId, list[DaemonId]] = {}
        self._excluded_by: dict[DaemonId, set[InstanceId]] = {}

    @property
    def ids(self) -> Sequence[InstanceId]:
        """The servers of the subset, in no particular order."""
        return self._inside.ids

    def update(self, daemons: Collection[DaemonId], servers: Collection[InstanceId]) -> None:
        """Updates the subset to a new view of the fleet.

        Args:
            daemons: the daemons considered alive; this one is always included.
            servers: the ids of the service's instances.
        """
        others = set(daemons) - {self._own}
        limit = daemons_per_server(len(others) + 1, len(servers))
        changed = set(servers) ^ self._servers
        if limit != self._limit:
            changed = set(servers) | self._servers
        self._limit = limit
        self._servers = set(servers)
        for removed in self._others.keys() - others:
            del self._others[removed]
            changed |= self._excluded_by.pop(removed, set())
        for added in others - self._others.keys():
            seed = self._others[added] = daemon_seed(added)
            changed.update(name for name in self.ids if self._outranks(seed, name))
        for server in changed:
            self._forget(server)
            if server in self._servers:
                self._assign(server)

    def _outranks(self, seed: int, server: InstanceId) -> bool:
        return weight(seed, server) > weight(self._seed, server)

    def _assign(self, server: InstanceId) -> None:
        higher_ranked = higher_ranked_daemons(self._seed, self._others, server, self._limit)
        if len(higher_ranked) < self._limit:
            self._inside.add(server)
            return
        self._outside[server] = higher_ranked
        for daemon in higher_ranked:
            self._excluded_by.setdefault(daemon, set()).add(server)

    def _forget(self, server: InstanceId) -> None:
        self._inside.discard(server)
        for daemon in self._outside.pop(server, ()):
            excluded = self._excluded_by.get(daemon)
            if excluded is not None:
                excluded.discard(server)


class DaemonSubsets:
    """One daemon's subsets of the servers of all services, updated on access.

    Args:
        alive: returns the daemons considered alive.
    """

    def __init__(self, own: DaemonId, alive: Callable[[], frozenset[DaemonId]]) -> None:
        self._own = own
        self._alive = alive
        self._subsets: dict[ServiceName, DaemonSubset] = {}
        self._versions: dict[ServiceName, tuple[frozenset[DaemonId], int]] = {}

    def ids(self, service: ServiceName, index: ServiceIndex) -> Sequence[InstanceId]:
        """Returns the servers of a service's subset, in no particular order."""
        subset = self._subsets.setdefault(service, DaemonSubset(self._own))
        version = (self._alive(), index.generation(service))
        if self._versions.get(service) != version:
            subset.update(version[0], index.ids(service))
            self._versions[service] = version
        return subset.ids
