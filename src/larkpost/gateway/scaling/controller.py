"""Plans the sizes of services, logs the plans, and places the orders that the mode allows.

Each service and zone is one subject: the coordinator that rendezvous hashing selects for it orders
under a lease. An order states the desired number of servers, so the next order corrects a repeated
or late one. Nothing is ordered while the store is unhealthy, because the server counts may be
outdated.
"""

from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.ids import ZoneId
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.configuration import Configuration, Service, ServiceName
from larkpost.gateway.controllers.coordination import Coordination
from larkpost.gateway.controllers.leases import Duty, LeaseSubject
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.observability.metrics import Count, Level
from larkpost.gateway.scaling.demand_estimator import DemandEstimator
from larkpost.gateway.scaling.planner import Plan, PlanInputs, plan_servers
from larkpost.gateway.scaling.port import (
    ScalingMode,
    ScalingOrder,
    ScalingOutcome,
    ScalingPort,
    ServerKind,
)
from larkpost.gateway.scaling.server_counter import ServerCounter

INTERVAL_SECONDS = 1.0
"""Interval between plans."""
LOST_AFTER_SECONDS = 8.0
"""Time after which a missing server is considered lost. A crashed server is listed again before
that; its entry expires three heartbeats (3.6 s) after the crash."""
MIN_STORE_HEALTHY_SECONDS = 4.0
"""How long the store must have responded before server counts are trusted."""
ORDER_TIMEOUT_SECONDS = 1.0
"""Timeout of an order."""
RETRY_SECONDS = 2.0
"""Delay after an order that was not, or not certainly, accepted."""
REFUSAL_SECONDS = 20.0
"""How long a zone without preemptible servers is not asked for them again."""


@dataclass(frozen=True, slots=True)
class ScalingInputs:
    """Inputs for the sizes of services.

    Attributes:
        demand: estimates the demand for a service.
        store_healthy_for: returns for how many seconds all calls to the store have succeeded.
    """

    blackboard: Blackboard
    demand: DemandEstimator
    store_healthy_for: Callable[[], float]


class ScalingController:
    """Plans all services with scaling terms; orders for those it is responsible for."""

    def __init__(
        self,
        inputs: ScalingInputs,
        coordination: Coordination,
        port: ScalingPort,
        instruments: Instruments,
        mode: ScalingMode,
    ) -> None:
        self._blackboard = inputs.blackboard
        self._demand = inputs.demand
        self._store_healthy_for = inputs.store_healthy_for
        self._coordination = coordination
        self._port = port
        self._clock = instruments.clock
        self._log = instruments.log
        self._metrics = instruments.metrics
        self._mode = mode
        self._counter = ServerCounter(inputs.blackboard.directory, inputs.blackboard.evacuations)
        self._logged_plans: dict[ServiceName, Plan] = {}
        self._next_order: dict[tuple[ServiceName, ZoneId], float] = {}
        self._no_preemptible_until: dict[ZoneId, float] = {}

    def start(self, tasks: TaskSet) -> None:
        """Starts planning."""
        tasks.every(INTERVAL_SECONDS, self.update, "scaling")

    async def update(self) -> None:
        """Plans each service, and places due orders that this daemon is responsible for."""
        configuration = self._blackboard.configuration.current
        if configuration is None or self._store_healthy_for() < MIN_STORE_HEALTHY_SECONDS:
            return
        for service in configuration.services.values():
            if service.scaling is not None:
                await self._update_service(service, configuration)

    async def _update_service(self, service: Service, configuration: Configuration) -> None:
        now = self._clock.now()
        zones = self._counter.count_by_zone(service.name, now)
        without_preemptible = frozenset(
            zone for zone, until in self._no_preemptible_until.items() if now < until
        )
        demand = self._demand.of(service, configuration)
        inputs = PlanInputs(
            service.name, service.scaling, zones, demand, LOST_AFTER_SECONDS, without_preemptible
        )
        plan = plan_servers(inputs)
        self._log_plan(service.name, plan, inputs.present)
        if self._mode is ScalingMode.ANNOUNCE:
            return
        for order in plan.orders:
            if self._is_responsible_for(order) and now >= self._next_order.get(
                (order.service, order.zone), 0
            ):
                delay = await self._order(order, service.scaling.boot_time)
                self._next_order[order.service, order.zone] = self._clock.now() + delay

    def _log_plan(self, service: ServiceName, plan: Plan, present: int) -> None:
        """Logs a plan, once for each change."""
        self._metrics.set(Level.SERVERS_NEEDED, plan.needed, service)
        if self._logged_plans.get(service) == plan or not self._coordination.is_coordinator():
            return
        self._logged_plans[service] = plan
        self._log.record(
            Event.SCALING_PLAN,
            service=service,
            present=present,
            needed=plan.needed,
            mode=self._mode,
            orders=[f"{order.zone} {order.kind} {order.desired}" for order in plan.orders],
        )

    def _is_responsible_for(self, order: ScalingOrder) -> bool:
        return self._coordination.is_responsible_for(_subject(order).key)

    async def _order(self, order: ScalingOrder, boot_time: float) -> float:
        """Places an order, and returns the seconds until the zone is checked again."""
        lease = await self._coordination.take_lease(_subject(order))
        if lease is None or lease.has_expired(self._clock.now()):
            self._record(order, "no_lease", None)
            return RETRY_SECONDS
        outcome = await self._port.order_servers(
            order, self._coordination.own, lease, ORDER_TIMEOUT_SECONDS
        )
        self._record(order, outcome, lease.token)
        if outcome is ScalingOutcome.TAKEN:
            return boot_time + LOST_AFTER_SECONDS
        if outcome is ScalingOutcome.REFUSED and order.kind is ServerKind.PREEMPTIBLE:
            self._no_preemptible_until[order.zone] = self._clock.now() + REFUSAL_SECONDS
        return RETRY_SECONDS

    def _record(self, order: ScalingOrder, outcome: str, token: int | None) -> None:
        self._metrics.count(Count.SERVER_ORDERS, outcome)
        self._log.record(
            Event.SERVERS_ORDERED,
            service=order.service,
            zone=order.zone,
            kind=order.kind,
            desired=order.desired,
            token=token,
            outcome=outcome,
        )


def _subject(order: ScalingOrder) -> LeaseSubject:
    """Returns the lease subject of an order: its service and zone, whatever the kind of server."""
    return LeaseSubject(Duty.SCALING, f"{order.service}\x00{order.zone}")
