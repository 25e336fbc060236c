"""Builds the placement rules and the balancer of one daemon."""

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
    """The balancer, and the placement rules that other components use."""

    sender_tracker: SenderTracker
    cold_rate_limit: ColdRateLimit
    isolation: IsolationRule
    balancer: Balancer


def make_balancing(
    own: DaemonId,
    settings: GatewaySettings,
    blackboard: Blackboard,
    ports: GatewayPorts,
    alive: Callable[[], frozenset[DaemonId]],
) -> Balancing:
    """Returns the balancing components of one daemon.

    Args:
        alive: returns the live daemons; called only after the daemon is fully built.
    """
    sender_tracker = SenderTracker(own, ports.clock)
    cold_rate_limit = ColdRateLimit(
        settings.cold, blackboard, ports.clock, ports.log, sender_tracker
    )
    isolation = IsolationRule(ports.clock)
    # Rules that count sends come last, so that they do not count sends that others reject.
    rules = (
        EvacuationRule(blackboard.evacuations),
        RegionRule(blackboard.regions),
        isolation,
        cold_rate_limit,
    )
    dependencies = BalancerDependencies(
        ports.servers.is_connected,
        Placement(blackboard.directory, rules, ports.metrics, cold_rate_limit.send_timeout),
        cold_rate_limit,
        blackboard.regions,
        DaemonSubsets(own, alive),
    )
    balancer = Balancer(blackboard.directory, ports.clock, ports.rng, dependencies)
    return Balancing(sender_tracker, cold_rate_limit, isolation, balancer)
