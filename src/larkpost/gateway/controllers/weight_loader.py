"""Orders engines to load weight versions.

Every daemon computes the same due loads; the one that rendezvous hashing selects for an engine
takes its lease and sends the order. An order states how many orders the engine must already have
taken, so an order that arrives late has no effect.
"""

from larkpost.common.ids import InstanceId
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.configuration import Configuration, Service
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.weight_targets import WeightTarget
from larkpost.gateway.controllers.coordination import Coordination
from larkpost.gateway.controllers.engine_allocator import EngineAllocator
from larkpost.gateway.controllers.leases import Duty, Lease, LeaseSubject
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.observability.metrics import Count
from larkpost.gateway.servers.port import (
    EngineReport,
    OrderOutcome,
    RunningWork,
    ServerPort,
    VersionOrder,
)

INTERVAL_SECONDS = 0.1
"""Interval at which a coordinator checks for due loads."""
IDLE_INTERVAL_SECONDS = 0.5
"""Interval at which any other daemon checks whether it has become a coordinator."""
REPORT_TIMEOUT_SECONDS = 0.7
"""Timeout of the request for an engine's report."""
ORDER_TIMEOUT_SECONDS = 0.4
"""Timeout of an order; less than `leases.LEASE_USE_SECONDS`."""
ACCEPTED_RECHECK_SECONDS = 2.5
"""Delay until the next check after an accepted order, during which the engine loads."""
UNANSWERED_RECHECK_SECONDS = 0.6
"""Delay after an order without a response; the order or its response may be lost or late."""
RETRY_SECONDS = 0.4
"""Delay after an order that was refused or could not be sent."""


class WeightLoader:
    """Reconciles the engines' weight versions with the announced ones."""

    def __init__(
        self,
        blackboard: Blackboard,
        allocator: EngineAllocator,
        coordination: Coordination,
        servers: ServerPort,
        instruments: Instruments,
    ) -> None:
        self._configuration = blackboard.configuration
        self._directory = blackboard.directory
        self._allocator = allocator
        self._coordination = coordination
        self._servers = servers
        self._clock = instruments.clock
        self._log = instruments.log
        self._metrics = instruments.metrics
        self._tasks: TaskSet | None = None
        self._next_attempt: dict[InstanceId, float] = {}
        self._in_progress: set[InstanceId] = set()
        blackboard.directory.add_removal_listener(self._forget)

    def start(self, tasks: TaskSet) -> None:
        """Starts reconciling."""
        self._tasks = tasks
        tasks.every(self._interval, self.update, "weights")

    def _forget(self, engine: InstanceId) -> None:
        """Forgets an ended engine, so that its next incarnation is checked at once."""
        self._next_attempt.pop(engine, None)

    def _interval(self) -> float:
        return INTERVAL_SECONDS if self._coordination.is_coordinator() else IDLE_INTERVAL_SECONDS

    async def update(self) -> None:
        """Starts the due orders that this daemon is responsible for."""
        configuration = self._configuration.current
        if configuration is None or self._tasks is None:
            return
        if not self._coordination.is_coordinator():
            return
        for service in configuration.services.values():
            if not service.models:
                continue
            for engine, target in self._allocator.due(service, self._clock.now()):
                if self._should_order(engine):
                    self._in_progress.add(engine)
                    self._tasks.spawn(self._order(service, engine, target), "order")

    def _should_order(self, engine: InstanceId) -> bool:
        if engine in self._in_progress:
            return False
        if self._clock.now() < self._next_attempt.get(engine, 0.0):
            return False
        return self._coordination.is_responsible_for(f"engine\x00{engine}")

    async def _order(self, service: Service, engine: InstanceId, target: WeightTarget) -> None:
        delay = RETRY_SECONDS
        try:
            info = self._directory.get(engine)
            if info is not None:
                delay = await self._order_once(service, info, target)
        finally:
            if self._directory.get(engine) is not None:
                self._next_attempt[engine] = self._clock.now() + delay
            self._in_progress.discard(engine)

    async def _order_once(
        self, service: Service, engine: InstanceInfo, target: WeightTarget
    ) -> float:
        """Sends one order if it is needed, and returns the seconds until the next check."""
        report = await self._servers.report(engine, REPORT_TIMEOUT_SECONDS)
        if report is None:
            self._record_no_order(engine, target, "no_report")
            return RETRY_SECONDS
        if is_of_other_incarnation(report, engine):
            self._record_no_order(engine, target, "restarted")
            return RETRY_SECONDS
        if report.busy:
            return RETRY_SECONDS
        for model, version in report.versions.items():
            self._directory.observe_version(engine.id, model, version)
        if report.versions.get(target.model, 0) >= target.version:
            return 0.0
        lease = await self._take_lease(engine, target)
        if lease is None:
            return RETRY_SECONDS
        order = self._make_order(service, target, report, lease)
        outcome = await self._servers.order(engine, order, ORDER_TIMEOUT_SECONDS)
        self._record_order(engine, order, report, outcome)
        return seconds_until_next_check(outcome)

    async def _take_lease(self, engine: InstanceInfo, target: WeightTarget) -> Lease | None:
        """Takes the lease for an order; returns None and records why if none may be sent."""
        lease = await self._coordination.take_lease(LeaseSubject(Duty.ENGINE_ORDERS, engine.name))
        if lease is None:
            self._record_no_order(engine, target, "no_lease")
            return None
        if lease.has_expired(self._clock.now()):
            self._log.record(Event.LEASE_LAPSED, subject=lease.subject.key, token=lease.token)
            return None
        if not self._directory.accepts_work(engine.id):
            self._record_no_order(engine, target, "leaving")
            return None
        return lease

    def _make_order(
        self, service: Service, target: WeightTarget, report: EngineReport, lease: Lease
    ) -> VersionOrder:
        return VersionOrder(
            target.model,
            target.version,
            self._coordination.own,
            lease.token,
            report.orders,
            running_work(service, self._configuration.current),
        )

    def _record_order(
        self,
        engine: InstanceInfo,
        order: VersionOrder,
        report: EngineReport,
        outcome: OrderOutcome,
    ) -> None:
        self._metrics.count(Count.ORDERS, outcome)
        self._log.record(
            Event.ORDER,
            engine=engine.id,
            model=order.model,
            version=order.version,
            token=order.fencing_token,
            had=report.versions.get(order.model, 0),
            orders=report.orders,
            outcome=outcome,
        )

    def _record_no_order(self, engine: InstanceInfo, target: WeightTarget, reason: str) -> None:
        """Records that a due order could not be sent."""
        self._metrics.count(Count.ORDERS, reason)
        self._log.record(
            Event.ORDER,
            engine=engine.id,
            model=target.model,
            version=target.version,
            outcome=reason,
        )


def is_of_other_incarnation(report: EngineReport, engine: InstanceInfo) -> bool:
    """Returns whether a report comes from another incarnation than the known one.

    If so, its order count must not be stated in an order to the known incarnation.
    """
    has_start_times = report.started_at_ms is not None and engine.started_at_ms is not None
    return has_start_times and report.started_at_ms != engine.started_at_ms


def seconds_until_next_check(outcome: OrderOutcome) -> float:
    """Returns the seconds from an order's outcome until the engine is checked again."""
    if outcome is OrderOutcome.TAKEN:
        return ACCEPTED_RECHECK_SECONDS
    if outcome is OrderOutcome.UNKNOWN:
        return UNANSWERED_RECHECK_SECONDS
    return RETRY_SECONDS  # the next report shows the engine's actual version


def running_work(service: Service, configuration: Configuration | None) -> RunningWork:
    """Returns what an engine does with its runs when it loads a version.

    Runs continue under the new version unless a route requires a single version in each result.
    """
    routes = configuration.batch_routes_to(service.name) if configuration is not None else ()
    wants_one_version = any(route.single_version for route in routes)
    return RunningWork.FINISH if wants_one_version else RunningWork.CARRY
