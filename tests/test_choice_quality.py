"""How long requests take if a choice looks at a few servers, against all of them put in order.

A loop over the pure rules: requests come to daemons, some of which have several times as many as
others, and take a place at the server that comes first, or wait for one there. The load is such
that a bad choice costs: nine of ten places are taken. Times are in units of the usual pace.
"""

import functools
import heapq
import random
import unittest
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from larkpost.common.ids import DaemonId, InstanceId
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.proxy.ranking import Candidate, rank
from larkpost.gateway.proxy.server_pool import (
    MAX_UNSAMPLED_INSTANCES,
    POOL_EXTENSION_SIZE,
    POOL_SIZE,
)
from larkpost.gateway.proxy.subset import daemon_seed, daemons_per_server, weight
from tests.server_parts import make_instance

SLOTS = 2
LOAD = 0.9
"""Share of the places that requests would take if they were spread evenly."""
REQUESTS_A_PLACE = 3
"""Requests of a play for each place; the first half lets the load come up."""
PACES = (0.7, 1.7)
"""Usual times of fast and slow servers."""
SKEW = 0.8
"""Spread of the daemons' numbers of requests, as of a log-normal distribution."""
LOAD_LIFETIME = 25.0
"""How long daemons use what a server said of its load: a second, at a usual time of 40 ms."""
WORSE = 1.08
"""By how much longer requests may take than with all servers put in order, without unit."""
SEEDS = (1, 2, 3)
MANY_SEEDS = range(20)


@dataclass(slots=True)
class Fleet:
    """Servers with their queues, as a choice sees them.

    Attributes:
        knows_all: whether daemons know all requests at each server, or only what they see.
        now: the time.
        busy: requests at each server.
        free_at: when each place of a server comes free.
        ends: of the requests under way, with their daemon and server.
        own: of those at each server, the requests of each daemon.
        said: requests of others at a server, and when it said so, with its last answer to a daemon.
    """

    servers: list[InstanceInfo]
    paces: list[float]
    knows_all: bool = True
    now: float = 0.0
    busy: list[int] = field(default_factory=list)
    free_at: list[list[float]] = field(default_factory=list)
    ends: list[tuple[float, int, int]] = field(default_factory=list)
    own: Counter[tuple[int, int]] = field(default_factory=Counter)
    said: dict[tuple[int, int], tuple[int, float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.busy = [0] * len(self.servers)
        self.free_at = [[0.0] * SLOTS for _ in self.servers]

    def advance(self, now: float) -> None:
        """Ends the requests that are over."""
        self.now = now
        while self.ends and self.ends[0][0] <= now:
            end, daemon, server = heapq.heappop(self.ends)
            self.busy[server] -= 1
            self.own[daemon, server] -= 1
            self.said[daemon, server] = (self.busy[server] - self.own[daemon, server], end)

    def occupied(self, daemon: int, server: int) -> int:
        """Returns the requests that a daemon believes to be at a server."""
        if self.knows_all:
            return self.busy[server]
        others, at = self.said.get((daemon, server), (0, float("-inf")))
        is_recent = self.now - at < LOAD_LIFETIME
        return self.own[daemon, server] + (others if is_recent else 0)

    def send(self, daemon: int, server: int, work: float) -> float:
        """Sends a request to a server, and returns the time until it ends."""
        end = max(self.now, self.free_at[server][0]) + work * self.paces[server]
        heapq.heapreplace(self.free_at[server], end)
        heapq.heappush(self.ends, (end, daemon, server))
        self.busy[server] += 1
        self.own[daemon, server] += 1
        return end - self.now


Choice = Callable[[Fleet, int, random.Random], int]
"""Returns the server for a request of a daemon."""


def choose_of_all(fleet: Fleet, daemon: int, rng: random.Random) -> int:
    """Returns the first of all servers in the order of `rank`, which is the least wait."""
    waits = [
        (fleet.occupied(daemon, server) + 1) * service_time
        for server, service_time in enumerate(fleet.paces)
    ]
    least = min(waits)
    return rng.choice([server for server, wait in enumerate(waits) if wait == least])


def choose_of(fleet: Fleet, daemon: int, looked_at: Sequence[int], rng: random.Random) -> int:
    """Returns the first of some servers in the order of `rank`."""
    candidates = [
        Candidate(
            fleet.servers[server],
            is_avoided=False,
            is_cold=False,
            occupied=fleet.occupied(daemon, server),
            service_time=fleet.paces[server],
            latency_factor=1.0,
            connection_factor=1.0,
            tie_break=rng.random(),
        )
        for server in looked_at
    ]
    return int(rank(candidates, min(fleet.paces))[0].id)


def draw_of_all(fleet: Fleet, daemon: int, rng: random.Random) -> int:
    """Returns the first of some servers drawn anew, as for an item of a batch."""
    drawn = rng.sample(range(len(fleet.servers)), POOL_SIZE)
    return choose_of(fleet, daemon, drawn, rng)


class SubsetChoice:
    """Looks at the subset of the daemon, and at some others if it has no place."""

    def __init__(self, names: list[InstanceId], daemons: int) -> None:
        self._parts: list[list[int]] = [[] for _ in range(daemons)]
        wanted = daemons_per_server(daemons, len(names))
        own = [daemon_seed(DaemonId(f"d{number}")) for number in range(daemons)]
        for server, name in enumerate(names):
            ranked = sorted(range(daemons), key=lambda n, s=name: weight(own[n], s), reverse=True)
            for daemon in ranked[:wanted]:
                self._parts[daemon].append(server)

    def __call__(self, fleet: Fleet, daemon: int, rng: random.Random) -> int:
        """Returns the server for a request of a daemon."""
        part = self._parts[daemon]
        if len(fleet.servers) <= MAX_UNSAMPLED_INSTANCES:
            part = range(len(fleet.servers))
        elif len(part) > POOL_SIZE:
            part = rng.sample(part, POOL_SIZE)
        first = choose_of(fleet, daemon, part, rng)
        if fleet.occupied(daemon, first) < SLOTS:
            return first
        further = rng.sample(range(len(fleet.servers)), POOL_EXTENSION_SIZE)
        return choose_of(fleet, daemon, [first, *further], rng)


def mean_time(
    servers: int, daemons: int, choose: Choice, seed: int, *, knows_all: bool = True
) -> float:
    """Returns how long a request takes on average, waiting included."""
    rng = random.Random(seed)
    fleet = Fleet(
        [make_instance(str(number), slots=SLOTS) for number in range(servers)],
        [rng.choice(PACES) for _ in range(servers)],
        knows_all,
    )
    rate = LOAD * sum(SLOTS / service_time for service_time in fleet.paces)
    shares = [rng.lognormvariate(0, SKEW) for _ in range(daemons)]
    count = servers * SLOTS * REQUESTS_A_PLACE
    callers = rng.choices(range(daemons), shares, k=count)
    choice_chance = random.Random(seed)  # apart, so that all choices see the same requests
    now, times = 0.0, []
    for caller in callers:
        now += rng.expovariate(rate)
        fleet.advance(now)
        server = choose(fleet, caller, choice_chance)
        times.append(fleet.send(caller, server, rng.expovariate(1.0)))
    later = times[count // 2 :]
    return sum(later) / len(later)


@functools.cache
def best_time(servers: int, daemons: int, seed: int) -> float:
    """Returns how long a request takes on average with all servers put in order."""
    return mean_time(servers, daemons, choose_of_all, seed)


class QualityTest(unittest.TestCase):
    """Times with a bounded choice against those with all servers put in order."""

    def check(self, servers: int, daemons: int, choose: Choice, seeds: Sequence[int]) -> None:
        """Checks that requests take about as long as with all servers put in order."""
        best = sum(best_time(servers, daemons, seed) for seed in seeds)
        found = sum(mean_time(servers, daemons, choose, seed) for seed in seeds)
        self.assertLessEqual(found / best, WORSE, f"{found / best:.3f}")

    def test_requests_at_their_daemons_subsets(self):
        for servers, daemons, seeds in (
            (30, 4, MANY_SEEDS),
            (300, 30, SEEDS),
            (3200, 370, SEEDS[:1]),
        ):
            with self.subTest(servers=servers):
                names = [InstanceId(f"s{number}") for number in range(servers)]
                self.check(servers, daemons, SubsetChoice(names, daemons), seeds)

    def test_subsets_are_better_where_daemons_know_only_what_they_see(self):
        """Of all servers, those of which nothing is known would always look the least busy."""
        names = [InstanceId(f"s{number}") for number in range(300)]
        chosen = SubsetChoice(names, 30)
        for seed in SEEDS:
            by_all = mean_time(300, 30, choose_of_all, seed, knows_all=False)
            self.assertLess(mean_time(300, 30, chosen, seed, knows_all=False), by_all)

    def test_requests_of_few_daemons_before_many_servers(self):
        names = [InstanceId(f"s{number}") for number in range(1000)]
        self.check(1000, 10, SubsetChoice(names, 10), SEEDS[:1])

    def test_items_at_engines_drawn_anew(self):
        for servers, daemons, seeds in ((300, 30, SEEDS), (1000, 100, SEEDS[:1])):
            with self.subTest(servers=servers):
                self.check(servers, daemons, draw_of_all, seeds)


if __name__ == "__main__":
    unittest.main()
