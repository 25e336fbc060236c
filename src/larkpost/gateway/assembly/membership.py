"""Builds the membership of a daemon: the contents of its heartbeats and their listeners."""

from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.ids import DaemonId
from larkpost.gateway.assembly.daemon_capacity import DaemonCapacity, machine_capacity
from larkpost.gateway.assembly.daemon_reports import DaemonReports
from larkpost.gateway.assembly.environment import GatewayPorts, GatewaySettings
from larkpost.gateway.assembly.loop_monitor import EventLoopMonitor
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.controllers.fleet_clock import ClockOffset
from larkpost.gateway.controllers.heartbeat_writer import LocalDaemon
from larkpost.gateway.controllers.membership import Membership
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.rollouts.batch_manager import BatchManager


@dataclass(frozen=True, slots=True)
class MembershipInputs:
    """Dependencies of a daemon's membership.

    Attributes:
        daemon: id of this process.
        ledger: usage by tenant across the fleet.
        batch_manager: returns the batch manager, which is created later.
    """

    daemon: DaemonId
    settings: GatewaySettings
    ports: GatewayPorts
    instruments: Instruments
    regions: RegionMap
    balancer: Balancer
    ledger: FlowLedger
    batch_manager: Callable[[], BatchManager]
    event_loop_monitor: EventLoopMonitor


def make_membership(inputs: MembershipInputs) -> Membership:
    """Returns the membership, whose heartbeats carry the daemon's instance usage and report."""
    store, balancer, settings = inputs.ports.store, inputs.balancer, inputs.settings
    max_capacity = machine_capacity(settings.cores, settings.byte_budget)
    capacity = DaemonCapacity(max_capacity, inputs.event_loop_monitor, inputs.ports.clock)
    reports = DaemonReports(
        balancer.service_times, inputs.ledger, inputs.batch_manager, capacity.now
    )
    own = LocalDaemon(
        inputs.daemon,
        balancer.summary,
        lambda: inputs.batch_manager().is_owner(),
        ClockOffset(inputs.ports.clock, store.time).now,
        settings.peer_address,
        reports.own,
        reports.own_service_times,
        inputs.ledger.has_shortage,
    )
    return Membership(
        own,
        store,
        inputs.instruments,
        inputs.regions,
        balancer.record_peer_summary,
        reports.record,
    )
