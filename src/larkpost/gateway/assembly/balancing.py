"""How the rules of placement and the balancer of one daemon are put together."""

from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.ids import DaemonId
from larkpost.gateway.assembly.environment import GatewayPorts, GatewaySettings
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.placement.cold_rate_limit import ColdRateLimit
from larkpost.gateway.placement.evacuation_rule import EvacuationRule
from larkpost.gateway.placement.region_rule import RegionRule
from larkpost.gateway.placement.rules import Placement
from larkpost.gateway.placement.sender_tracker import SenderTracker
from larkpost.gateway.proxy.balancer import Balancer, BalancerDependencies
from larkpost.gateway.proxy.subset import DaemonSubsets
from larkpost.gateway.quarantine.isolation_rule import IsolationRule


@dataclass(frozen=True, slots=True)
class Balancing:
    """Where work may go, and which instance is best; see the classes."""

    cold_senders: SenderTracker
    cold: ColdRateLimit
    isolation: IsolationRule
    balancer: Balancer


def make_balancing(
    own: DaemonId,
    settings: GatewaySettings,
    blackboard: Blackboard,
    ports: GatewayPorts,
    alive: Callable[[], frozenset[DaemonId]],
) -> Balancing:
    """Returns the parts of one daemon.

    Args:
        alive: returns the daemons considered alive; called only once all parts stand.
    """
    cold_senders = SenderTracker(own, ports.clock)
    cold = ColdRateLimit(settings.cold, blackboard, ports.clock, ports.log, cold_senders)
    isolation = IsolationRule()
    # Rules that count sends come last, so that they count none that another forbids.
    rules = (
        EvacuationRule(blackboard.evacuations),
        RegionRule(blackboard.regions),
        isolation,
        cold,
    )
    sources = BalancerDependencies(
        ports.servers.is_connected,
        Placement(blackboard.directory, rules, ports.metrics, cold.send_timeout),
        cold,
        blackboard.regions,
        DaemonSubsets(own, alive),
    )
    balancer = Balancer(blackboard.directory, ports.clock, ports.rng, sources)
    return Balancing(cold_senders, cold, isolation, balancer)
