"""Controllers of duties that only one daemon performs at a time: weight loads, usage, scaling.

Every daemon runs all of them. Each controller acts only on subjects for which this daemon is
chosen, and only under a lease.
"""

from dataclasses import dataclass

from larkpost.common.tasks import TaskSet
from larkpost.gateway.assembly.environment import GatewayPorts, GatewaySettings
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.controllers.coordination import Coordination
from larkpost.gateway.controllers.engine_allocator import EngineAllocator
from larkpost.gateway.controllers.feeds import Feeds
from larkpost.gateway.controllers.fleet_clock import FleetClock
from larkpost.gateway.controllers.leases import LeaseTable
from larkpost.gateway.controllers.membership import Membership
from larkpost.gateway.controllers.weight_loader import WeightLoader
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.rollouts.batch_manager import BatchManager
from larkpost.gateway.scaling.controller import ScalingController, ScalingInputs
from larkpost.gateway.scaling.demand_estimator import DemandEstimator
from larkpost.gateway.usage.count_writer import UsageCountWriter
from larkpost.gateway.usage.counter import UsageCounter
from larkpost.gateway.usage.reporter import ReportTiming, UsageReporter
from larkpost.gateway.usage.repository import UsageRepository


@dataclass(frozen=True, slots=True)
class ControllerInputs:
    """Dependencies of the controllers.

    Attributes:
        counter: counts this daemon's requests by tenant; None if usage is not reported.
    """

    blackboard: Blackboard
    engine_allocator: EngineAllocator
    membership: Membership
    balancer: Balancer
    batch_manager: BatchManager
    feeds: Feeds
    fleet_clock: FleetClock
    counter: UsageCounter | None


class LeasedControllers:
    """The leased controllers of one daemon."""

    def __init__(
        self, settings: GatewaySettings, ports: GatewayPorts, inputs: ControllerInputs
    ) -> None:
        self._settings = settings
        self._ports = ports
        self._inputs = inputs
        self._instruments = Instruments(ports.clock, ports.log, ports.metrics)
        self.leases = LeaseTable(inputs.membership.own, ports.store, ports.clock, self._lease_time)
        self._coordination = Coordination(inputs.membership, self.leases)
        self._loader = WeightLoader(
            inputs.blackboard,
            inputs.engine_allocator,
            self._coordination,
            ports.servers,
            self._instruments,
        )
        self._usage_repository = UsageRepository(ports.store)
        self._usage_writer = self._make_usage_writer()
        self._usage_reporter = self._make_usage_reporter()
        self._scaling = self._make_scaling()

    def start(self, tasks: TaskSet) -> None:
        """Starts all controllers."""
        self._loader.start(tasks)
        if self._usage_writer is not None:
            self._usage_writer.start(tasks)
        if self._usage_reporter is not None:
            self._usage_reporter.start(tasks)
        if self._scaling is not None:
            self._scaling.start(tasks)

    def _lease_time(self) -> float:
        """Returns the lease time in seconds, which may change at run time."""
        return self._settings.lease_time

    async def save_final(self) -> None:
        """Saves unsaved usage counts during a graceful shutdown."""
        if self._usage_writer is not None:
            await self._usage_writer.save_final()

    def _make_usage_writer(self) -> UsageCountWriter | None:
        counter = self._inputs.counter
        if counter is None:
            return None
        return UsageCountWriter(self._usage_repository, counter, self._coordination)

    def _make_usage_reporter(self) -> UsageReporter | None:
        port, terms = self._ports.usage, self._settings.usage
        if self._inputs.counter is None or port is None or terms is None:
            return None
        return UsageReporter(
            self._usage_repository,
            self._coordination,
            port,
            self._instruments,
            ReportTiming(terms, self._inputs.fleet_clock, self._inputs.feeds.healthy_for),
        )

    def _make_scaling(self) -> ScalingController | None:
        if self._ports.scaling is None:
            return None
        inputs = self._inputs
        demand = DemandEstimator(
            inputs.blackboard.directory, inputs.batch_manager.demands, inputs.balancer.service_time
        )
        return ScalingController(
            ScalingInputs(inputs.blackboard, demand, inputs.feeds.healthy_for),
            self._coordination,
            self._ports.scaling,
            self._instruments,
            self._settings.scaling_mode,
        )
