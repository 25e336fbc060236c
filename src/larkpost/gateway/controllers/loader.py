"""Gives engines their orders to load weight versions.

Every daemon computes the same loads that are due; the one that rendezvous hashing names for an
engine takes the lease on it and gives the order. An order names the count of orders that the engine
must have taken, so one that is carried out late does nothing.
"""

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.configuration import RouteKind, Service
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.controllers.leases import Duty, LeaseSubject, LeaseTable
from larkpost.gateway.controllers.load_plan import LoadPlan
from larkpost.gateway.controllers.members import Membership
from larkpost.gateway.controllers.weights import WeightTarget
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count, Metrics
from larkpost.gateway.servers.port import OrderOutcome, RunningWork, ServerPort, VersionOrder

INTERVAL_SECONDS = 0.1
IDLE_INTERVAL_SECONDS = 0.5
REPORT_TIMEOUT_SECONDS = 0.7
ORDER_TIMEOUT_SECONDS = 0.4
TAKEN_SECONDS = 2.5
"""After an order was taken, before the engine is looked at again."""
UNANSWERED_SECONDS = 0.6
"""The same after an order that was not answered: it may have been lost, or come late."""
RETRY_SECONDS = 0.4


class WeightLoader:
    """Reconciles the engines' weight versions with the named ones.

    Args:
        plan: tells which loads are due.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        plan: LoadPlan,
        membership: Membership,
        leases: LeaseTable,
        servers: ServerPort,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._configuration = blackboard.configuration
        self._directory = blackboard.directory
        self._plan = plan
        self._membership = membership
        self._leases = leases
        self._servers = servers
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._tasks: TaskSet | None = None
        self._next_try: dict[InstanceId, float] = {}
        self._under_way: set[InstanceId] = set()

    def start(self, tasks: TaskSet) -> None:
        """Starts reconciling."""
        self._tasks = tasks
        tasks.every(self._interval, self.update, "weights")

    def _interval(self) -> float:
        return INTERVAL_SECONDS if self._membership.is_coordinator() else IDLE_INTERVAL_SECONDS

    async def update(self) -> None:
        """Starts the orders that are due and are this daemon's to give."""
        configuration = self._configuration.current
        if configuration is None or self._tasks is None or not self._membership.is_coordinator():
            return
        for service in configuration.services.values():
            if not service.models:
                continue
            for engine, target in self._plan.due(service, self._clock.now()):
                if self._should_order(engine):
                    self._under_way.add(engine)
                    self._tasks.spawn(self._order(service, engine, target), "order")

    def _should_order(self, engine: InstanceId) -> bool:
        if engine in self._under_way:
            return False
        if self._clock.now() < self._next_try.get(engine, 0.0):
            return False
        return self._membership.first_choice(f"engine\x00{engine}") == self._membership.own

    async def _order(self, service: Service, engine: InstanceId, target: WeightTarget) -> None:
        pause = RETRY_SECONDS
        try:
            info = self._directory.get(engine)
            if info is not None:
                pause = await self._order_once(service, info, target)
        finally:
            self._next_try[engine] = self._clock.now() + pause
            self._under_way.discard(engine)

    async def _order_once(
        self, service: Service, engine: InstanceInfo, target: WeightTarget
    ) -> float:
        """Gives one order and returns the seconds to wait before the engine is looked at again."""
        report = await self._servers.report(engine, REPORT_TIMEOUT_SECONDS)
        if report is None:
            self._record_no_order(engine, target, "no_report")
            return RETRY_SECONDS
        if report.busy:
            return RETRY_SECONDS
        for model, version in report.versions.items():
            self._directory.observe_version(engine.id, model, version)
        if report.versions.get(target.model, 0) >= target.version:
            return 0.0
        lease = await self._leases.take(LeaseSubject(Duty.ENGINE_ORDERS, engine.id))
        if lease is None:
            self._record_no_order(engine, target, "no_lease")
            return RETRY_SECONDS
        if self._clock.now() >= lease.usable_until:
            self._log.record(Event.LEASE_LAPSED, subject=lease.subject.key, token=lease.token)
            return RETRY_SECONDS
        if not self._directory.takes_work(engine.id):
            self._record_no_order(engine, target, "leaving")
            return RETRY_SECONDS
        order = VersionOrder(
            target.model,
            target.version,
            self._membership.own,
            lease.token,
            report.orders,
            self._running_work(service),
        )
        outcome = await self._servers.order(engine, order, ORDER_TIMEOUT_SECONDS)
        self._metrics.count(Count.ORDERS, outcome)
        self._log.record(
            Event.ORDER,
            engine=engine.id,
            model=target.model,
            version=target.version,
            token=lease.token,
            had=report.versions.get(target.model, 0),
            orders=report.orders,
            outcome=outcome,
        )
        if outcome is OrderOutcome.TAKEN:
            return TAKEN_SECONDS
        if outcome is OrderOutcome.UNKNOWN:
            return UNANSWERED_SECONDS
        return RETRY_SECONDS  # whatever it holds, its next report tells

    def _record_no_order(self, engine: InstanceInfo, target: WeightTarget, reason: str) -> None:
        """Notes that an order which is due could not be given."""
        self._metrics.count(Count.ORDERS, reason)
        self._log.record(
            Event.ORDER,
            engine=engine.id,
            model=target.model,
            version=target.version,
            outcome=reason,
        )

    def _running_work(self, service: Service) -> RunningWork:
        """Runs go on under the new version unless a route wants one version in each result."""
        configuration = self._configuration.current
        routes = configuration.routes if configuration is not None else ()
        pure = any(
            route.single_version
            for route in routes
            if route.kind is RouteKind.BATCH
            and any(share.service == service.name for share in route.shares)
        )
        return RunningWork.FINISH if pure else RunningWork.CARRY
