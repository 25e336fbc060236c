"""What one daemon at a time does, under leases: weight orders, usage reports, sizes of services."""

from dataclasses import dataclass

from larkpost.common.tasks import TaskSet
from larkpost.gateway.assembly.environment import GatewayPorts, GatewaySettings
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.controllers.coordination import Coordination
from larkpost.gateway.controllers.division import EngineDivision
from larkpost.gateway.controllers.feeds import Feeds
from larkpost.gateway.controllers.leases import LeaseTable
from larkpost.gateway.controllers.loader import WeightLoader
from larkpost.gateway.controllers.members import Membership
from larkpost.gateway.controllers.true_time import TrueTime
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.rollouts.keeper import BatchKeeper
from larkpost.gateway.scaling.controller import ScalingController
from larkpost.gateway.scaling.demand import DemandForecast
from larkpost.gateway.usage.counter import UsageCounter
from larkpost.gateway.usage.reporter import UsageReporter
from larkpost.gateway.usage.repository import UsageRepository


@dataclass(frozen=True, slots=True)
class DutyNeeds:
    """What duties need of the other groups.

    Attributes:
        counter: counts this daemon's requests by tenant; None if no usage is reported.
    """

    blackboard: Blackboard
    division: EngineDivision
    membership: Membership
    balancer: Balancer
    keeper: BatchKeeper
    feeds: Feeds
    true_time: TrueTime
    counter: UsageCounter | None


class Duties:
    """The duties of one daemon; each acts only while the matter is this daemon's."""

    def __init__(self, settings: GatewaySettings, ports: GatewayPorts, needs: DutyNeeds) -> None:
        self._settings = settings
        self._ports = ports
        self._needs = needs
        self._leases = LeaseTable(
            needs.membership.own, ports.store, ports.clock, settings.lease_time
        )
        self.loader = self._make_loader()
        self.usage = self._make_usage()
        self.scaling = self._make_scaling()

    def start(self, tasks: TaskSet) -> None:
        """Starts all duties."""
        self.loader.start(tasks)
        if self.usage is not None:
            self.usage.start(tasks)
        if self.scaling is not None:
            self.scaling.start(tasks)

    async def save_last(self) -> None:
        """Saves at a planned stop what would die with this process."""
        if self.usage is not None:
            await self.usage.save_last()

    def _make_loader(self) -> WeightLoader:
        return WeightLoader(
            self._needs.blackboard,
            self._needs.division,
            Coordination(self._needs.membership, self._leases),
            self._ports.servers,
            Instruments(self._ports.clock, self._ports.log, self._ports.metrics),
        )

    def _make_usage(self) -> UsageReporter | None:
        counter = self._needs.counter
        if counter is None or self._ports.usage is None or self._settings.usage is None:
            return None
        return UsageReporter(
            UsageRepository(self._ports.store),
            counter,
            self._needs.true_time,
            self._leases,
            self._needs.membership,
            self._ports.usage,
            self._ports.clock,
            self._ports.log,
            self._ports.metrics,
            self._settings.usage,
            self._needs.feeds.sound_for,
        )

    def _make_scaling(self) -> ScalingController | None:
        if self._ports.scaling is None:
            return None
        needs = self._needs
        demand = DemandForecast(
            needs.blackboard.directory, needs.keeper.demands, needs.balancer.pace
        )
        return ScalingController(
            needs.blackboard,
            needs.membership,
            self._leases,
            self._ports.scaling,
            self._ports.clock,
            self._ports.log,
            self._ports.metrics,
            demand,
            needs.feeds.sound_for,
            self._settings.scaling_mode,
        )
