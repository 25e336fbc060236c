"""Records the outcomes of attempts and requests in metrics, the log, usage and the balancer.

Relies on `retry` for the meaning of an outcome; decides only how long an instance is avoided.
"""

from larkpost.common.errors import LarkpostError
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.request_content import digest_request
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.metrics import Count, Timing
from larkpost.gateway.proxy.attempts import Attempts, QuarantineState
from larkpost.gateway.proxy.forwarder_dependencies import ForwarderDependencies
from larkpost.gateway.proxy.request import ClientRequest
from larkpost.gateway.proxy.retry import MIN_ERROR_STATUS, UnservedRequest, final_error
from larkpost.gateway.servers.port import NotRunError

FULL_AVOID_SECONDS = 0.05
"""How long a full server is avoided."""
BROKEN_AVOID_SECONDS = 0.3
"""How long a server is avoided after an attempt without a valid response."""
UNRESPONSIVE_AVOID_SECONDS = 1.0
"""How long a server is avoided after it did not respond within the objective."""
NOT_SERVED = "not_served"
"""Outcome of a forecast whose request got no successful response."""


class Outcomes:
    """Records the outcomes of client requests."""

    def __init__(self, dependencies: ForwarderDependencies) -> None:
        self._balancer = dependencies.balancer
        self._clock = dependencies.clock
        self._log = dependencies.log
        self._metrics = dependencies.metrics
        self._usage = dependencies.usage

    def record_started(self, request: ClientRequest, at: float) -> None:
        """Counts a run, or a possible run, for the tenant of the request."""
        if self._usage is not None and request.tenant is not None:
            self._usage.record_started(request.tenant, at)

    def record_not_run(
        self, instance: InstanceInfo, attempts: Attempts, error: NotRunError
    ) -> None:
        """Records that a server certainly did not run a request."""
        attempts.record_not_run(instance.id, error.reason)
        self._metrics.count(Count.ATTEMPTS, instance.service, error.reason)
        self._balancer.record_cold(instance.id, error.cold_left)
        self._balancer.record_not_run(instance.id, error.reason, FULL_AVOID_SECONDS)

    def record_broken(self, instance: InstanceInfo, attempts: Attempts, reason: str) -> None:
        """Records that a server gave no valid response."""
        attempts.record_may_have_run(instance.id)
        self._metrics.count(Count.ATTEMPTS, instance.service, "broken")
        self._balancer.avoid(instance.id, BROKEN_AVOID_SECONDS)
        self._log.record(
            Event.ATTEMPT_FAILED,
            request=attempts.request.request_id.decode("latin-1"),
            content=digest_request(attempts.request),
            instance=instance.id,
            reason=reason,
        )

    def record_cancelled(
        self, instance: InstanceInfo, attempts: Attempts, started_at: float
    ) -> None:
        """Records a cancelled attempt; its duration is a lower bound of the service time."""
        attempts.record_may_have_run(instance.id)
        elapsed = self._clock.now() - started_at
        self._balancer.record_service_time(instance.id, elapsed)
        if elapsed > attempts.route.objective:
            self._balancer.avoid(instance.id, UNRESPONSIVE_AVOID_SECONDS)

    def record_response(self, instance: InstanceInfo) -> None:
        """Counts an attempt whose response is returned to the client."""
        self._metrics.count(Count.ATTEMPTS, instance.service, "answered")

    def record_done(self, attempts: Attempts, status: int) -> None:
        """Records a request that got a server's response."""
        request, route = attempts.request, attempts.route
        held = self._clock.now() - request.received_at
        self._metrics.count(Count.REQUESTS, route.name, "answered")
        self._metrics.observe(Timing.REQUEST, held, route.name)
        self.record_forecast_served(attempts, status)
        self._log.record(
            Event.REQUEST_DONE,
            request=request.request_id.decode("latin-1"),
            route=route.name,
            tenant=request.tenant,
            status=status,
            held=round(held, 3),
            forecast=attempts.first_forecast.expectation,
            tried=sorted(attempts.may_have_run_on),
            refused_by=sorted(attempts.refused_by),
        )

    def record_forecast_served(self, attempts: Attempts, status: int) -> None:
        """Counts the outcome of a forecast whose request got a response."""
        in_time = self._clock.now() <= attempts.waiter.deadlines.objective_at
        outcome = "in_time" if in_time else "late"
        self._count_forecast(attempts, NOT_SERVED if status >= MIN_ERROR_STATUS else outcome)

    def failure(self, attempts: Attempts, *, timed_out: bool) -> LarkpostError:
        """Records a failed request, and returns its error."""
        request, route = attempts.request, attempts.route
        error = final_error(
            UnservedRequest(
                may_have_run=bool(attempts.may_have_run_on),
                is_quarantined=attempts.quarantine is QuarantineState.QUARANTINED,
                is_timed_out=timed_out,
                retry_after=attempts.forecast.retry_after,
            )
        )
        self._metrics.count(Count.REQUESTS, route.name, error.code)
        self._count_forecast(attempts, NOT_SERVED)
        self._log.record(
            Event.REQUEST_FAILED,
            request=request.request_id.decode("latin-1"),
            content=digest_request(request),
            route=route.name,
            outcome=error.code,
            held=round(self._clock.now() - request.received_at, 3),
            forecast=attempts.first_forecast.expectation,
            expected_wait=round(attempts.forecast.wait, 3),
            tried=sorted(attempts.may_have_run_on),
            refused_by=sorted(attempts.refused_by),
            verdicts=self._balancer.verdicts(attempts.waiter.service, attempts.waiter.work),
        )
        return error

    def _count_forecast(self, attempts: Attempts, outcome: str) -> None:
        expectation = attempts.first_forecast.expectation
        self._metrics.count(Count.FORECASTS, attempts.route.name, expectation, outcome)
