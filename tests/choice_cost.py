"""Prints the CPU time of server choices and slot counts by the number of servers; run by hand.

Run ``python -m tests.choice_cost``. Each figure is the median of many choices, in milliseconds.
"""

import asyncio
import random
import statistics
import time
from collections.abc import Callable

from larkpost.common.clock import LoopClock
from larkpost.common.ids import DaemonId, InstanceId, RegionId, ZoneId
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.placement.evacuation_rule import EvacuationRule
from larkpost.gateway.placement.region_rule import RegionRule
from larkpost.gateway.placement.rules import Placement
from larkpost.gateway.placement.work import CLIENT_WORK, Work, WorkKind
from larkpost.gateway.proxy.balancer import Balancer, BalancerDependencies
from larkpost.gateway.proxy.slot_counting import count_slots
from larkpost.gateway.proxy.subset import DaemonSubset, DaemonSubsets
from larkpost.gateway.quarantine.isolation_rule import IsolationRule
from tests.platform_fleet import MODEL, PAGES
from tests.server_parts import make_instance

FLEETS = ((30, 4), (300, 30), (1000, 100), (3200, 370))
"""Servers of one service, and daemons."""
OWN = DaemonId("d0")
ZONES = {ZoneId(f"z{number}"): RegionId(f"r{number % 2}") for number in range(5)}
ITEM_WORK = Work(WorkKind.ITEM, model=MODEL, minimum_version=1)
REPORTS, REPORTED = 20, 200
"""Daemons that report their use, and the servers that each reports."""
REPEATS = 100


def make_balancer(servers: int, daemons: int) -> Balancer:
    """Returns a balancer that knows the service times of most servers and some daemons' reports."""
    rng = random.Random(1)
    board = Blackboard(RegionMap(ZoneId("z0"), ZONES))
    names = [InstanceId(f"s{number}") for number in range(servers)]
    for number, name in enumerate(names):
        board.directory.update(make_instance(name, zone=ZoneId(f"z{number % 5}")))
    alive = frozenset(DaemonId(f"d{number}") for number in range(daemons))
    rules = (
        EvacuationRule(board.evacuations),
        RegionRule(board.regions),
        IsolationRule(LoopClock()),
    )
    sources = BalancerDependencies(
        lambda info: info.id.endswith("1"),
        Placement(board.directory, rules),
        regions=board.regions,
        subsets=DaemonSubsets(OWN, lambda: alive),
    )
    balancer = Balancer(board.directory, LoopClock(), rng, sources)
    for name in rng.sample(names, servers * 2 // 3):
        balancer.record_service_time(name, rng.uniform(0.03, 0.05))
    for number in range(REPORTS):
        used = rng.sample(names, min(REPORTED, servers) // 2)
        balancer.record_peer_summary(DaemonId(f"d{number + 1}"), dict.fromkeys(used, (1, 0.03)))
    return balancer


def time_ms(use: Callable[[], object]) -> float:
    """Returns the CPU time of one call in milliseconds."""
    began = time.process_time()
    use()
    return (time.process_time() - began) * 1000


def make_uses(servers: int, daemons: int) -> tuple[Callable[[], object], ...]:
    """Returns the calls to time at one size of a fleet."""
    balancer = make_balancer(servers, daemons)
    names = [InstanceId(f"s{number}") for number in range(servers)]
    alive = frozenset(DaemonId(f"d{number}") for number in range(daemons))
    return (
        lambda: balancer.candidates(PAGES, CLIENT_WORK, for_client=True),
        lambda: balancer.candidates(PAGES, ITEM_WORK),
        lambda: count_slots(balancer, PAGES, CLIENT_WORK),
        lambda: DaemonSubset(OWN).update(alive, names),
    )


async def main() -> None:
    """Prints one line for each size of a fleet.

    The sizes alternate, because the speed of a shared machine varies over time.
    """
    fleets = {servers: make_uses(servers, daemons) for servers, daemons in FLEETS}
    times = {servers: [[] for _ in uses] for servers, uses in fleets.items()}
    for _ in range(REPEATS):
        for servers, uses in fleets.items():
            for use, found in zip(uses, times[servers], strict=True):
                found.append(time_ms(use))
    print("servers  client    item  survey  subset")
    for servers, found in times.items():
        print(f"{servers:7}", *(f"{statistics.median(figures):7.3f}" for figures in found))


if __name__ == "__main__":
    asyncio.run(main())
