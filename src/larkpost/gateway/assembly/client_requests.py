"""Puts together what forwards client requests."""

from larkpost.gateway.assembly.environment import GatewayPorts
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.gateway.proxy.forwarder_dependencies import ForwarderDependencies
from larkpost.gateway.proxy.service_selection import ServiceSelector
from larkpost.gateway.quarantine.repository import CrashRepository
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
) -> Forwarder:
    """Returns the forwarder of a daemon.

    Args:
        servers: the way to the servers for requests that do not crash them.
        ledger: use by tenant in the fleet.
        counter: counts this daemon's requests by tenant; None if no usage is reported.
    """
    crashes = blackboard.crashes
    trials = TrialClaims(crashes, CrashRepository(ports.store), ports.clock, ports.log)
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
            crashes,
            trials,
            ledger,
            ports.rng,
        )
    )
