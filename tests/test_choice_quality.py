"""Compares response times of choosing among a few servers with choosing among all of them.

Simulates the pure rules: requests arrive at unevenly loaded daemons and take, or wait for, a slot
at the server ranked first. The load is 90 %, so that bad choices increase the response times.
Times are relative to the usual service time.
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
"""Fraction of the slots in use if requests were spread evenly."""
REQUESTS_PER_SLOT = 3
"""Requests of a simulation for each slot; the first half is warm-up."""
SERVICE_TIMES = (0.7, 1.7)
"""Service times of fast and slow servers."""
SKEW = 0.8
"""Sigma of the log-normal distribution of requests among daemons."""
LOAD_LIFETIME = 25.0
"""How long daemons use a load that a server reported."""
MAX_SLOWDOWN = 1.08
"""Allowed ratio of response times to those of choosing among all servers, without unit."""
SEEDS = (1, 2, 3)
MANY_SEEDS = range(20)


@dataclass(slots=True)
class Fleet:
    """Servers with their queues.

    Attributes:
        knows_all: whether daemons know all requests at each server, or only what they observe.
        now: the current time.
        busy: requests at each server.
        free_at: when each slot of a server becomes free.
        ends: end times of the requests in flight, with their daemon and server.
        own: requests by daemon and server.
        reported: load by other daemons that a server reported to a daemon, and when.
    """

    servers: list[InstanceInfo]
    service_times: list[float]
    knows_all: bool = True
    now: float = 0.0
    busy: list[int] = field(default_factory=list)
    free_at: list[list[float]] = field(default_factory=list)
    ends: list[tuple[float, int, int]] = field(default_factory=list)
    own: Counter[tuple[int, int]] = field(default_factory=Counter)
    reported: dict[tuple[int, int], tuple[int, float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.busy = [0] * len(self.servers)
        self.free_at = [[0.0] * SLOTS for _ in self.servers]

    def advance(self, now: float) -> None:
        """Advances the time and ends the completed requests."""
        self.now = now
        while self.ends and self.ends[0][0] <= now:
            end, daemon, server = heapq.heappop(self.ends)
            self.busy[server] -= 1
            self.own[daemon, server] -= 1
            self.reported[daemon, server] = (self.busy[server] - self.own[daemon, server], end)

    def occupied(self, daemon: int, server: int) -> int:
        """Returns a daemon's estimate of the requests at a server."""
        if self.knows_all:
            return self.busy[server]
        others, at = self.reported.get((daemon, server), (0, float("-inf")))
        is_recent = self.now - at < LOAD_LIFETIME
        return self.own[daemon, server] + (others if is_recent else 0)

    def send(self, daemon: int, server: int, work: float) -> float:
        """Sends a request to a server, and returns the time until it ends."""
        end = max(self.now, self.free_at[server][0]) + work * self.service_times[server]
        heapq.heapreplace(self.free_at[server], end)
        heapq.heappush(self.ends, (end, daemon, server))
        self.busy[server] += 1
        self.own[daemon, server] += 1
        return end - self.now


Choice = Callable[[Fleet, int, random.Random], int]
"""Returns the server for a request of a daemon."""


def choose_of_all(fleet: Fleet, daemon: int, rng: random.Random) -> int:
    """Returns the server with the lowest expected wait, as `rank` would."""
    waits = [
        (fleet.occupied(daemon, server) + 1) * service_time
        for server, service_time in enumerate(fleet.service_times)
    ]
    least = min(waits)
    return rng.choice([server for server, wait in enumerate(waits) if wait == least])


def choose_of(fleet: Fleet, daemon: int, pool: Sequence[int], rng: random.Random) -> int:
    """Returns the server that `rank` puts first among some servers."""
    candidates = [
        Candidate(
            fleet.servers[server],
            is_avoided=False,
            is_cold=False,
            occupied=fleet.occupied(daemon, server),
            service_time=fleet.service_times[server],
            latency_factor=1.0,
            connection_factor=1.0,
            tie_break=rng.random(),
        )
        for server in pool
    ]
    return int(rank(candidates, min(fleet.service_times))[0].id)


def choose_of_sample(fleet: Fleet, daemon: int, rng: random.Random) -> int:
    """Returns the best of a new random sample of servers, as for an item of a batch."""
    drawn = rng.sample(range(len(fleet.servers)), POOL_SIZE)
    return choose_of(fleet, daemon, drawn, rng)


class SubsetChoice:
    """Considers the subset of the daemon, and some other servers if it has no free slot."""

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
    """Returns the mean response time, including waiting."""
    rng = random.Random(seed)
    fleet = Fleet(
        [make_instance(str(number), slots=SLOTS) for number in range(servers)],
        [rng.choice(SERVICE_TIMES) for _ in range(servers)],
        knows_all,
    )
    rate = LOAD * sum(SLOTS / service_time for service_time in fleet.service_times)
    shares = [rng.lognormvariate(0, SKEW) for _ in range(daemons)]
    count = servers * SLOTS * REQUESTS_PER_SLOT
    callers = rng.choices(range(daemons), shares, k=count)
    choice_chance = random.Random(seed)  # separate, so that all policies get the same requests
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
    """Returns the mean response time of choosing among all servers."""
    return mean_time(servers, daemons, choose_of_all, seed)


class QualityTest(unittest.TestCase):
    """Response times of a bounded choice are close to those of choosing among all servers."""

    def check(self, servers: int, daemons: int, choose: Choice, seeds: Sequence[int]) -> None:
        """Checks the ratio of response times to those of choosing among all servers."""
        best = sum(best_time(servers, daemons, seed) for seed in seeds)
        found = sum(mean_time(servers, daemons, choose, seed) for seed in seeds)
        self.assertLessEqual(found / best, MAX_SLOWDOWN, f"{found / best:.3f}")

    def test_requests_to_daemon_subsets(self):
        for servers, daemons, seeds in (
            (30, 4, MANY_SEEDS),
            (300, 30, SEEDS),
            (3200, 370, SEEDS[:1]),
        ):
            with self.subTest(servers=servers):
                names = [InstanceId(f"s{number}") for number in range(servers)]
                self.check(servers, daemons, SubsetChoice(names, daemons), seeds)

    def test_subsets_are_better_where_daemons_know_only_observed_load(self):
        """Among all servers, those without any known load would always look the least busy."""
        names = [InstanceId(f"s{number}") for number in range(300)]
        chosen = SubsetChoice(names, 30)
        for seed in SEEDS:
            by_all = mean_time(300, 30, choose_of_all, seed, knows_all=False)
            self.assertLess(mean_time(300, 30, chosen, seed, knows_all=False), by_all)

    def test_requests_of_few_daemons_to_many_servers(self):
        names = [InstanceId(f"s{number}") for number in range(1000)]
        self.check(1000, 10, SubsetChoice(names, 10), SEEDS[:1])

    def test_items_at_newly_sampled_engines(self):
        for servers, daemons, seeds in ((300, 30, SEEDS), (1000, 100, SEEDS[:1])):
            with self.subTest(servers=servers):
                self.check(servers, daemons, choose_of_sample, seeds)


if __name__ == "__main__":
    unittest.main()
