"""Plans the size of services, says so, and orders what its mode lets it order.

Each service and zone is a subject of its own: the coordinator that rendezvous hashing names for it
orders under its lease. An order says how many servers there are to be, so one that is repeated or
carried out late does no harm that the next one does not mend. Nothing is ordered while the store
is not sound: what is known of the servers may be old then.
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
"""Seconds between two plans."""
LOST_AFTER_SECONDS = 8.0
"""Seconds after which a missing server is considered lost for good: one that crashed is back
before, listed anew, and its entry lapses three heartbeats (3.6 s) after its end."""
MIN_STORE_HEALTHY_SECONDS = 4.0
"""Seconds for which the store must have responded for counts to be believed."""
ORDER_TIMEOUT_SECONDS = 1.0
"""Seconds for one call that orders."""
RETRY_SECONDS = 2.0
"""Seconds after an order that was not taken, or not for certain, before the next."""
REFUSAL_SECONDS = 20.0
"""Seconds for which a zone that has no preemptible servers is not asked for them."""


@dataclass(frozen=True, slots=True)
class ScalingInputs:
    """What the sizes of services follow from.

    Attributes:
        demand: works out what is asked of a service.
        store_sound_for: returns for how many seconds each call to the store has succeeded.
    """

    blackboard: Blackboard
    demand: DemandEstimator
    store_healthy_for: Callable[[], float]


class ScalingController:
    """Plans for all services that have terms; orders for those that this daemon is chosen for."""

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
        self._store_sound_for = inputs.store_healthy_for
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
        """Plans each service, and orders what is due and this daemon is chosen for."""
        configuration = self._blackboard.configuration.current
        if configuration is None or self._store_sound_for() < MIN_STORE_HEALTHY_SECONDS:
            return
        for service in configuration.services.values():
            if service.scaling is not None:
                await self._update_service(service, configuration)

    async def _update_service(self, service: Service, configuration: Configuration) -> None:
        now = self._clock.now()
        zones = self._counter.count_by_zone(service.name, now)
        refused = frozenset(
            zone for zone, until in self._no_preemptible_until.items() if now < until
        )
        demand = self._demand.of(service, configuration)
        inputs = PlanInputs(
            service.name, service.scaling, zones, demand, LOST_AFTER_SECONDS, refused
        )
        plan = plan_servers(inputs)
        self._log_plan(service.name, plan, inputs.present)
        if self._mode is ScalingMode.ANNOUNCE:
            return
        for order in plan.orders:
            if self._is_responsible_for(order) and now >= self._next_order.get(
                (order.service, order.zone), 0
            ):
                pause = await self._order(order, service.scaling.boot_time)
                self._next_order[order.service, order.zone] = self._clock.now() + pause

    def _log_plan(self, service: ServiceName, plan: Plan, present: int) -> None:
        """Logs what should be ordered, once for each change."""
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
        """Orders, and returns the seconds until the zone is checked again."""
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
    """A service together with a zone is one subject, whatever the kind."""
    return LeaseSubject(Duty.SCALING, f"{order.service}\x00{order.zone}")
