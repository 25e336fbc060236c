"""Decides whether a client request is sent to a server now, waits in a queue, or is refused.

The checks, in order: a quarantined request is refused unless it gets a trial run; a request that
could reach no server, or that cannot be served before its deadline, is refused; a request that
others precede, or that found no free slot, waits in its queue until it may be sent or its forecast
becomes infeasible.

Owns the queues, the estimates of elapsed client time, and the retry times of refused requests.
"""

import asyncio
from contextlib import AbstractContextManager
from dataclasses import dataclass
from enum import StrEnum

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import Route, ServiceName
from larkpost.gateway.blackboard.daemon_report import route_flow_name
from larkpost.gateway.blackboard.known_crashes import CLIENT_CRASH_LIMIT
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.fairness.starvation_guard import StarvationGuard
from larkpost.gateway.placement.work import Work, WorkKind
from larkpost.gateway.proxy.attempts import Attempts, QuarantineState
from larkpost.gateway.proxy.elapsed_time import ElapsedTimes
from larkpost.gateway.proxy.forecast import MIN_RETRY_SECONDS, Deadlines, forecast_for_unreachable
from larkpost.gateway.proxy.forwarder_dependencies import ForwarderDependencies
from larkpost.gateway.proxy.request import ClientRequest
from larkpost.gateway.proxy.request_queue import QueueForecast, RequestQueues
from larkpost.gateway.proxy.retry_spreading import RetrySpreader
from larkpost.gateway.proxy.share_record import ShareOutcome, ShareRecord
from larkpost.gateway.proxy.slot_counting import SlotCounts, count_slots
from larkpost.gateway.proxy.waiter import Waiter

DEFAULT_SERVICE_TIME_FRACTION = 0.25
"""Fraction of the objective that is assumed as the service time while none is known."""


class SchedulingDecision(StrEnum):
    """The next step for a request."""

    TRY = "try"  # send it to a server now
    WAIT = "wait"  # put it into the queue of its service
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class SchedulingInputs:
    """The inputs of a scheduling decision.

    Attributes:
        are_all_unreachable: whether every server that it was sent to was unreachable.
        is_infeasible: whether its forecast says that it cannot be served before its deadline.
        must_wait: whether other requests precede it, or it found no free slot.
    """

    are_all_unreachable: bool
    is_infeasible: bool
    must_wait: bool


def decide_scheduling(inputs: SchedulingInputs) -> SchedulingDecision:
    """Returns the next step for a request that is not quarantined.

    A request that could reach no server is refused even if it has time left: waiting at this daemon
    does not help, but another daemon may reach the servers.
    """
    if inputs.are_all_unreachable or inputs.is_infeasible:
        return SchedulingDecision.REFUSE
    return SchedulingDecision.WAIT if inputs.must_wait else SchedulingDecision.TRY


class RequestScheduler:
    """Admits, queues and refuses the client requests of one daemon."""

    def __init__(self, dependencies: ForwarderDependencies) -> None:
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._elapsed_times = ElapsedTimes(dependencies.clock)
        self._ledger = dependencies.ledger or FlowLedger(dependencies.clock)
        self._starvation_guard = StarvationGuard(dependencies.clock, dependencies.rng)
        self._queues = RequestQueues(dependencies.clock, self._count_slots, self._ledger)
        self._retry_spreader = RetrySpreader(dependencies.clock, dependencies.rng, self._ledger)
        self._share_record = ShareRecord(
            dependencies.clock, dependencies.log, dependencies.metrics, self._ledger
        )

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a slot."""
        return len(self._queues)

    def begin(self, request: ClientRequest, route: Route) -> tuple[Attempts, bool]:
        """Returns the attempts of a new request with its forecast, and whether it must wait."""
        waiter = self._make_waiter(request, route)
        queue_forecast = self._forecast(request, waiter)
        attempts = Attempts(
            request, route, waiter, queue_forecast.forecast, queue_forecast.forecast
        )
        return attempts, queue_forecast.must_wait

    async def wait_for_admission(self, attempts: Attempts, *, must_wait: bool) -> bool:
        """Waits for a request's turn if necessary; returns whether it may be sent to a server."""
        if self.is_quarantined(attempts) and not await self._claim_trial(attempts):
            self._refund_credit(attempts.waiter)
            return False
        if attempts.are_all_unreachable:
            attempts.forecast = forecast_for_unreachable(
                attempts.waiter.deadlines, self._clock.now()
            )
        decision = decide_scheduling(
            SchedulingInputs(
                attempts.are_all_unreachable, attempts.forecast.is_infeasible, must_wait
            )
        )
        if decision is SchedulingDecision.TRY:
            return True
        if decision is SchedulingDecision.WAIT:
            await self._wait(attempts)
        if not attempts.forecast.is_infeasible:
            self._share_record.record(attempts.request, attempts.waiter, ShareOutcome.HELD)
            return True
        self._refuse(attempts)
        return False

    def is_quarantined(self, attempts: Attempts) -> bool:
        """Returns whether a request is quarantined without a trial; updates its quarantine state.

        A quarantined request is sent to no server, as servers crashed on requests like it.
        """
        if attempts.is_trial:
            return False
        is_quarantined = self._dependencies.crashes.is_quarantined(
            attempts.request, CLIENT_CRASH_LIMIT
        )
        attempts.quarantine = QuarantineState.NONE
        if is_quarantined:
            attempts.quarantine = QuarantineState.QUARANTINED
        return is_quarantined

    def running(self, waiter: Waiter) -> AbstractContextManager[None]:
        """Counts a request in its flow's usage while it occupies a slot."""
        return self._ledger.running(waiter.flow)

    def record_accepted(self, waiter: Waiter) -> None:
        """Records that a server accepted a request."""
        self._queues.record_accepted(waiter.service)
        self._starvation_guard.record_slot_granted(
            waiter.flow, is_share_exempt=waiter.is_share_exempt
        )

    def record_released(self, instance: InstanceId) -> None:
        """Records that a request of this daemon ended at an instance."""
        info = self._dependencies.directory.get(instance)
        if info is not None:
            self._queues.record_release(info.service)

    async def _wait(self, attempts: Attempts) -> None:
        """Waits for a request's turn; refunds its credit if the client disconnects meanwhile."""
        try:
            attempts.forecast = await self._queues.wait_for_turn(attempts.waiter)
        except asyncio.CancelledError:
            self._refund_credit(attempts.waiter)
            raise
        attempts.reset_refusals()

    async def _claim_trial(self, attempts: Attempts) -> bool:
        """Claims a trial run for a quarantined request; returns whether it has one."""
        if self._dependencies.trials is None or attempts.may_have_run_on:
            return False
        content = self._dependencies.crashes.suspect(attempts.request)
        if content is None:
            return False
        if await self._dependencies.trials.claim(content):
            attempts.quarantine = QuarantineState.TRIAL
        return attempts.is_trial

    def _forecast(self, request: ClientRequest, waiter: Waiter) -> QueueForecast:
        """Returns the forecast of a new request.

        If its flow is over its share and the starvation guard exempts the request, the forecast is
        made again without the share.
        """
        queue_forecast = self._queues.forecast(waiter)
        waiter.is_share_exempt = self._starvation_guard.record_request(
            waiter.flow, is_over_share=queue_forecast.is_over_share
        )
        if not waiter.is_share_exempt:
            return queue_forecast
        self._share_record.record(request, waiter, ShareOutcome.EXEMPTED)
        return self._queues.forecast(waiter, queue_forecast.slot_counts)

    def _refuse(self, attempts: Attempts) -> None:
        """Refunds the credit of a refused request and sets when its client should retry."""
        waiter = attempts.waiter
        self._refund_credit(waiter)
        if attempts.forecast.service_time:
            attempts.forecast = self._retry_spreader.spread(waiter, attempts.forecast)
        self._share_record.record(attempts.request, waiter, ShareOutcome.REFUSED)

    def _refund_credit(self, waiter: Waiter) -> None:
        """Refunds the credit of a request that got no slot, if it was exempted."""
        if waiter.is_share_exempt:
            self._starvation_guard.refund_credit(waiter.flow)

    def _make_waiter(self, request: ClientRequest, route: Route) -> Waiter:
        """Returns the queue entry of a request."""
        elapsed = self._elapsed_times.elapsed(route.name, request.time_left)
        return Waiter(
            self._dependencies.service_selector.choose(route),
            Work(WorkKind.CLIENT, request.regions),
            self._dependencies.priority_of(request.tenant, route),
            _deadlines(request, route, elapsed),
            request.received_at - elapsed,
            request.tenant or route_flow_name(route.name),
            is_retry=elapsed >= MIN_RETRY_SECONDS,
        )

    def _count_slots(self, service: ServiceName, work: Work) -> SlotCounts:
        return count_slots(self._dependencies.balancer, service, work)


def _deadlines(request: ClientRequest, route: Route, elapsed: float) -> Deadlines:
    """Returns the deadlines of a request; the objective starts at the client's first attempt.

    Args:
        elapsed: seconds since the client's first attempt.
    """
    time_left = route.time_limit
    if request.time_left is not None:
        time_left = min(time_left, request.time_left)
    return Deadlines(
        objective_at=request.received_at - elapsed + route.objective,
        expires_at=request.received_at + time_left,
        default_service_time=route.objective * DEFAULT_SERVICE_TIME_FRACTION,
    )
