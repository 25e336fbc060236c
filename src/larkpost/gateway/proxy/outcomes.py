"""Notes how attempts and requests ended: counters, lines, usage, and what the balancer learns."""

from larkpost.common.clock import Clock
from larkpost.common.errors import LarkpostError, Ran
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.known_crashes import REMEMBERED_SECONDS
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count, Metrics, Timing
from larkpost.gateway.proxy.attempts import Attempts
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.request import (
    ClientRequest,
    QuarantinedError,
    RefusedError,
    RequestFailedError,
    RequestTimeoutError,
)
from larkpost.gateway.quarantine.content import digest_request
from larkpost.gateway.servers.port import NotRunError
from larkpost.gateway.usage.counter import UsageCounter

FULL_AVOID_SECONDS = 0.05
BROKEN_AVOID_SECONDS = 0.3
SILENT_AVOID_SECONDS = 1.0
NOT_SERVED = "not_served"
"""The outcome of a forecast whose request got no answer that counts."""


class Outcomes:
    """Notes the outcomes of client requests."""

    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        usage: UsageCounter | None,
    ) -> None:
        self._balancer = balancer
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._usage = usage

    def begun(self, request: ClientRequest, at: float) -> None:
        """Counts a run at a server for its tenant; one that may have begun counts as well."""
        if self._usage is not None and request.tenant is not None:
            self._usage.record_begun(request.tenant, at)

    def not_run(self, instance: InstanceInfo, attempts: Attempts, error: NotRunError) -> None:
        """Notes that a server certainly did not run a request."""
        attempts.refused_by.add(instance.id)
        attempts.reasons.add(error.reason)
        self._metrics.count(Count.ATTEMPTS, instance.service, error.reason)
        self._balancer.record_cold(instance.id, error.cold_left)
        self._balancer.record_not_run(instance.id, error.reason, FULL_AVOID_SECONDS)

    def broken(self, instance: InstanceInfo, attempts: Attempts, reason: str) -> None:
        """Notes that a server gave no answer that may be passed on."""
        attempts.ran_at.add(instance.id)
        self._metrics.count(Count.ATTEMPTS, instance.service, "broken")
        self._balancer.avoid(instance.id, BROKEN_AVOID_SECONDS)
        self._log.record(
            Event.ATTEMPT_FAILED,
            request=attempts.request.request_id.decode("latin-1"),
            content=digest_request(attempts.request),
            instance=instance.id,
            reason=reason,
        )

    def silence(self, instance: InstanceInfo, attempts: Attempts, started: float) -> None:
        """Notes an attempt that was overtaken: its server is slower than it then had time for."""
        elapsed = self._clock.now() - started
        self._balancer.record_pace(instance.id, elapsed)
        if elapsed > attempts.route.objective:
            self._balancer.avoid(instance.id, SILENT_AVOID_SECONDS)

    def answered(self, instance: InstanceInfo) -> None:
        """Counts an attempt that a server answered."""
        self._metrics.count(Count.ATTEMPTS, instance.service, "answered")

    def done(self, attempts: Attempts, status: int) -> None:
        """Notes a request that was answered by a server."""
        request, route = attempts.request, attempts.route
        held = self._clock.now() - request.received_at
        self._metrics.count(Count.REQUESTS, route.name, "answered")
        self._metrics.observe(Timing.REQUEST, held, route.name)
        self.forecast_served(attempts, status)
        self._log.record(
            Event.REQUEST_DONE,
            request=request.request_id.decode("latin-1"),
            route=route.name,
            tenant=request.tenant,
            status=status,
            held=round(held, 3),
            forecast=attempts.first_forecast.outlook,
            tried=sorted(attempts.ran_at),
            refused_by=sorted(attempts.refused_by),
        )

    def forecast_served(self, attempts: Attempts, status: int) -> None:
        """Counts what became of a forecast whose request a server has answered."""
        in_time = self._clock.now() <= attempts.waiter.limits.objective_at
        outcome = "in_time" if in_time else "late"
        self._count_forecast(attempts, NOT_SERVED if status >= 500 else outcome)

    def failure(self, attempts: Attempts, *, timed_out: bool) -> LarkpostError:
        """Returns the error that a request ends in, and notes it."""
        request, route = attempts.request, attempts.route
        error: LarkpostError
        if attempts.is_quarantined and not attempts.ran_at:
            error = QuarantinedError(
                "servers have crashed under this request", retry_after=REMEMBERED_SECONDS
            )
        elif not attempts.ran_at:
            error = RefusedError(
                "no server could take it", retry_after=attempts.forecast.retry_after
            )
        elif timed_out:
            error = RequestTimeoutError("its time is over", ran=Ran.UNKNOWN)
        else:
            error = RequestFailedError("no whole answer came", ran=Ran.UNKNOWN)
        self._metrics.count(Count.REQUESTS, route.name, error.code)
        self._count_forecast(attempts, NOT_SERVED)
        self._log.record(
            Event.REQUEST_FAILED,
            request=request.request_id.decode("latin-1"),
            content=digest_request(request),
            route=route.name,
            outcome=error.code,
            held=round(self._clock.now() - request.received_at, 3),
            forecast=attempts.first_forecast.outlook,
            expected_wait=round(attempts.forecast.wait, 3),
            tried=sorted(attempts.ran_at),
            refused_by=sorted(attempts.refused_by),
            verdicts=self._balancer.verdicts(attempts.waiter.service, attempts.waiter.work),
        )
        return error

    def _count_forecast(self, attempts: Attempts, outcome: str) -> None:
        outlook = attempts.first_forecast.outlook
        self._metrics.count(Count.FORECASTS, attempts.route.name, outlook, outcome)
