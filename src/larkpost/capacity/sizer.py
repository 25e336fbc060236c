"""Orders preemptible servers for the engines' services; see `larkpost.capacity.plan` for how many.

One coordinator does it for each service, with a lease for each service and zone. It raises a number
at once and lowers it only once less was wanted for a while, and it repeats an order that had no
answer, or whose servers have been taken away.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from larkpost.capacity.plan import plan_preemptible
from larkpost.capacity.port import SizeOrder, SizeOutcome, SizePort
from larkpost.clock import Clock
from larkpost.eventlog import Event, EventLog
from larkpost.fleet.configuration import ConfigurationState, Service, ServiceName
from larkpost.fleet.directory import Directory, InstanceState
from larkpost.fleet.leases import Duty, LeaseSubject, LeaseTable
from larkpost.fleet.members import Membership
from larkpost.fleet.weights import Demands, ModelDemand
from larkpost.ids import ZoneId
from larkpost.metrics import Count, Metrics
from larkpost.tasks import TaskSet

UPDATE_SECONDS = 0.5
ORDER_TIMEOUT_SECONDS = 0.8
LOWER_AFTER_SECONDS = 20.0
"""How long less must have been wanted before a number is lowered: five steps of a trainer."""
DRY_SECONDS = 6.0
"""How long no servers are ordered in a zone that had none."""
REPEAT_AFTER_BOOT_SECONDS = 3.0
"""After the time that servers take to start, before an order that shows no effect is repeated."""
RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class _Ordered:
    """The last order for a zone: how many servers, and when to look at its effect (steady time)."""

    servers: int
    next_look: float


class ServiceSizer:
    """Orders servers while the duty is this daemon's.

    Args:
        demands: tells what the batches of each model ask for.
    """

    def __init__(
        self,
        configuration: ConfigurationState,
        directory: Directory,
        membership: Membership,
        leases: LeaseTable,
        port: SizePort,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        demands: Callable[[], Demands],
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._membership = membership
        self._leases = leases
        self._port = port
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._demands = demands
        self._ordered: dict[tuple[ServiceName, ZoneId], _Ordered] = {}
        self._wanted: dict[ServiceName, list[tuple[float, int]]] = {}
        self._dry_until: dict[tuple[ServiceName, ZoneId], float] = {}

    def start(self, tasks: TaskSet) -> None:
        """Starts ordering."""
        tasks.every(UPDATE_SECONDS, self.update, "sizes")

    async def update(self) -> None:
        """Orders what is missing, or too much, of the services that are this daemon's to size."""
        configuration = self._configuration.current
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.sizes is None or not service.models:
                continue
            chosen = self._membership.first_choice(f"{Duty.SERVICE_SIZE}\x00{service.name}")
            if chosen == self._membership.own:
                await self._size(service)

    async def _size(self, service: Service) -> None:
        instances = self._directory.of_service(service.name)
        now = self._clock.now()
        dry = [
            zone
            for zone in service.sizes.zone_prices
            if now < self._dry_until.get((service.name, zone), float("-inf"))
        ]
        items = self._items_wanted(service)
        planned = plan_preemptible(service, instances, items, dry)
        present = self._present(service)
        for zone, servers in planned.items():
            if zone not in dry and self._is_due(service, zone, servers, present.get(zone, 0)):
                await self._order(service, zone, servers)

    def _items_wanted(self, service: Service) -> int:
        """Returns the most items that the newest batches had together within the last while."""
        demands = self._demands()
        items = sum(demands.get(model, ModelDemand()).items for model in service.models)
        now = self._clock.now()
        history = self._wanted.setdefault(service.name, [])
        history.append((now, items))
        history[:] = [entry for entry in history if now - entry[0] < LOWER_AFTER_SECONDS]
        return max(wanted for _, wanted in history)

    def _present(self, service: Service) -> Mapping[ZoneId, int]:
        """Returns the preemptible servers that are there, by zone."""
        present: dict[ZoneId, int] = {}
        for info in self._directory.of_service(service.name):
            if info.preemptible and info.state is not InstanceState.LEAVING:
                present[info.zone] = present.get(info.zone, 0) + 1
        return present

    def _is_due(self, service: Service, zone: ZoneId, servers: int, present: int) -> bool:
        """Tells whether an order is to be given for a zone."""
        last = self._ordered.get((service.name, zone))
        if last is None:
            return servers != present
        if servers != last.servers:
            return True
        return servers != present and self._clock.now() >= last.next_look

    async def _order(self, service: Service, zone: ZoneId, servers: int) -> None:
        lease = await self._leases.take(LeaseSubject(Duty.SERVICE_SIZE, f"{service.name}/{zone}"))
        if lease is None or self._clock.now() >= lease.usable_until:
            return  # another daemon has it, or the store is away: the next update tries again
        order = SizeOrder(service.name, zone, servers, preemptible=True)
        outcome = await self._port.order_size(
            order, self._membership.own, lease, ORDER_TIMEOUT_SECONDS
        )
        self._metrics.count(Count.SIZE_ORDERS, outcome)
        self._log.note(
            Event.SIZE_ORDER,
            service=service.name,
            zone=zone,
            servers=servers,
            token=lease.token,
            outcome=outcome,
        )
        now = self._clock.now()
        pause = RETRY_SECONDS
        if outcome is SizeOutcome.TAKEN:
            pause = service.sizes.boot_time + REPEAT_AFTER_BOOT_SECONDS
        if outcome is SizeOutcome.REFUSED:
            self._dry_until[(service.name, zone)] = now + DRY_SECONDS
        self._ordered[(service.name, zone)] = _Ordered(servers, now + pause)
