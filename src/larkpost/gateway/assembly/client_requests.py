"""Builds the forwarder of client requests."""

from larkpost.gateway.assembly.environment import GatewayPorts
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.gateway.proxy.forwarder_dependencies import ForwarderDependencies
from larkpost.gateway.proxy.service_selection import ServiceSelector
from larkpost.gateway.quarantine.trial_claims import TrialClaims
from larkpost.gateway.servers.port import ServerPort
from larkpost.gateway.usage.counter import UsageCounter


def make_forwarder(
    ports: GatewayPorts,
    blackboard: Blackboard,
    balancer: Balancer,
    servers: ServerPort,
    ledger: FlowLedger,
    counter: UsageCounter | None,
    trials: TrialClaims,
) -> Forwarder:
    """Returns the forwarder of a daemon.

    Args:
        servers: access to servers that rejects quarantined requests.
        ledger: usage by tenant across the fleet.
        counter: counts this daemon's requests by tenant; None if usage is not reported.
        trials: grants trial runs to quarantined requests.
    """
    return Forwarder(
        ForwarderDependencies(
            blackboard.directory,
            balancer,
            servers,
            ports.clock,
            ports.log,
            ports.metrics,
            ServiceSelector(ports.rng),
            counter,
            blackboard.configuration.priority_of,
            blackboard.crashes,
            trials,
            ledger,
            ports.rng,
        )
    )
