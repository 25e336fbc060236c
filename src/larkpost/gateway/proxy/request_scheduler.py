"""Decides whether a client request may be tried at a server now, must wait, or is refused.

In this order: a quarantined request needs a trial; one that reached no server is refused, and one
that cannot be served in its time; one that others come before, or that found no place, waits in its
queue, and is refused once it can no longer be served in its time.

Owns the queues, the estimates of callers' times, and the times that refused callers are told.
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

DEFAULT_SERVICE_TIME_SHARE = 0.25
"""Share of the objective that a request is taken to need where no pace is known: objectives leave
room for a few requests one after the other."""


class SchedulingDecision(StrEnum):
    """What happens to a request next."""

    TRY = "try"  # it is tried at a server now
    WAIT = "wait"  # it waits in the queue of its service
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class SchedulingInputs:
    """What a request's turn depends on.

    Attributes:
        are_all_unreachable: whether each server that it was sent to could not be reached.
        is_hopeless: whether its forecast says that it cannot be served in its time.
        must_wait: whether others come before it, or it found no place.
    """

    are_all_unreachable: bool
    is_infeasible: bool
    must_wait: bool


def decide_scheduling(inputs: SchedulingInputs) -> SchedulingDecision:
    """Returns whether a request that is not quarantined is tried now, waits, or is refused.

    One that reached no server is refused although it has time left: no place comes free by waiting
    here, but another daemon may reach the servers.
    """
    if inputs.are_all_unreachable or inputs.is_infeasible:
        return SchedulingDecision.REFUSE
    return SchedulingDecision.WAIT if inputs.must_wait else SchedulingDecision.TRY


class RequestScheduler:
    """Lets requests through to the servers, one after the other."""

    def __init__(self, dependencies: ForwarderDependencies) -> None:
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._elapsed_times = ElapsedTimes(dependencies.clock)
        self._ledger = dependencies.ledger or FlowLedger(dependencies.clock)
        self._starvation_guard = StarvationGuard(dependencies.clock, dependencies.rng)
        self._queues = RequestQueues(dependencies.clock, self._survey, self._ledger)
        self._retry_spreader = RetrySpreader(dependencies.clock, dependencies.rng, self._ledger)
        self._share_record = ShareRecord(
            dependencies.clock, dependencies.log, dependencies.metrics, self._ledger
        )

    @property
    def waiting(self) -> int:
        """The requests that wait for a place."""
        return len(self._queues)

    def begin(self, request: ClientRequest, route: Route) -> tuple[Attempts, bool]:
        """Returns a request's attempts with their forecast, and whether others come before it."""
        waiter = self._waiter(request, route)
        prospect = self._prospect(request, waiter)
        attempts = Attempts(request, route, waiter, prospect.forecast, prospect.forecast)
        return attempts, prospect.must_wait

    async def wait_for_admission(self, attempts: Attempts, *, must_wait: bool) -> bool:
        """Waits for a request's turn if it must; returns whether it may be served at all."""
        if self.is_quarantined(attempts) and not await self._claim_trial(attempts):
            self._return_credit(attempts.waiter)
            return False
        if attempts.are_all_unreachable:
            attempts.forecast = forecast_for_unreachable(
                attempts.waiter.deadlines, self._clock.now()
            )
        turn = decide_scheduling(
            SchedulingInputs(
                attempts.are_all_unreachable, attempts.forecast.is_infeasible, must_wait
            )
        )
        if turn is SchedulingDecision.TRY:
            return True
        if turn is SchedulingDecision.WAIT:
            await self._wait(attempts)
        if not attempts.forecast.is_infeasible:
            self._share_record.record(attempts.request, attempts.waiter, ShareOutcome.HELD)
            return True
        self._refuse(attempts)
        return False

    def is_quarantined(self, attempts: Attempts) -> bool:
        """Returns whether a request must go to no server now, as others crashed under its like."""
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
        """Counts a request's use of a place at a server."""
        return self._ledger.running(waiter.flow)

    def record_slot_found(self, waiter: Waiter) -> None:
        """Records that a server had a place for a request."""
        self._queues.record_slot_found(waiter.service)
        self._starvation_guard.record_slot_granted(
            waiter.flow, is_share_exempt=waiter.is_share_exempt
        )

    def record_released(self, instance: InstanceId) -> None:
        """Records that a request of this daemon has ended at an instance."""
        info = self._dependencies.directory.get(instance)
        if info is not None:
            self._queues.record_release(info.service)

    async def _wait(self, attempts: Attempts) -> None:
        """Waits for a request's turn; one whose caller leaves meanwhile gives its credit back."""
        try:
            attempts.forecast = await self._queues.wait_for_turn(attempts.waiter)
        except asyncio.CancelledError:
            self._return_credit(attempts.waiter)
            raise
        attempts.reset_refusals()

    async def _claim_trial(self, attempts: Attempts) -> bool:
        """Claims for a quarantined request that it may be sent to one server all the same."""
        if self._dependencies.trials is None or attempts.may_have_run_on:
            return False
        if await self._dependencies.trials.claim(attempts.request):
            attempts.quarantine = QuarantineState.TRIAL
        return attempts.is_trial

    def _prospect(self, request: ClientRequest, waiter: Waiter) -> QueueForecast:
        """Returns what a request may expect, after a look at how few of its flow are served."""
        prospect = self._queues.forecast(waiter)
        waiter.is_share_exempt = self._starvation_guard.admit(
            waiter.flow, is_over_share=prospect.is_over_share
        )
        if not waiter.is_share_exempt:
            return prospect
        self._share_record.record(request, waiter, ShareOutcome.EXEMPTED)
        return self._queues.forecast(waiter, prospect.slot_counts)

    def _refuse(self, attempts: Attempts) -> None:
        """Sets when a refused caller should come back, if it is for places that come free."""
        waiter = attempts.waiter
        self._return_credit(waiter)
        if attempts.forecast.service_time:
            attempts.forecast = self._retry_spreader.spread(waiter, attempts.forecast)
        self._share_record.record(attempts.request, waiter, ShareOutcome.REFUSED)

    def _return_credit(self, waiter: Waiter) -> None:
        """Gives the credit back of a request that was let through and finds no place."""
        if waiter.is_share_exempt:
            self._starvation_guard.refund_credit(waiter.flow)

    def _waiter(self, request: ClientRequest, route: Route) -> Waiter:
        """Returns what a request wants."""
        elapsed = self._elapsed_times.elapsed(route.name, request.time_left)
        return Waiter(
            self._dependencies.service_selector.choose(route),
            Work(WorkKind.CLIENT, request.regions),
            self._dependencies.priority_of(request.tenant, route),
            _limits(request, route, elapsed),
            request.received_at - elapsed,
            request.tenant or route_flow_name(route.name),
            is_retry=elapsed >= MIN_RETRY_SECONDS,
        )

    def _survey(self, service: ServiceName, work: Work) -> SlotCounts:
        return count_slots(self._dependencies.balancer, service, work)


def _limits(request: ClientRequest, route: Route, elapsed: float) -> Deadlines:
    """Returns a request's times; the objective counts from its caller's first attempt.

    Args:
        elapsed: seconds since the first attempt.
    """
    time_left = route.time_limit
    if request.time_left is not None:
        time_left = min(time_left, request.time_left)
    return Deadlines(
        objective_at=request.received_at - elapsed + route.objective,
        expires_at=request.received_at + time_left,
        default_service_time=route.objective * DEFAULT_SERVICE_TIME_SHARE,
    )
