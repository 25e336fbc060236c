"""Chooses the next server for a client request, and the delay before a hedged attempt.

Relies on the balancer for the order of the servers and their service times.
"""

from collections.abc import Collection
from dataclasses import replace

from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.proxy.attempts import Attempts
from larkpost.gateway.proxy.forwarder_dependencies import ForwarderDependencies
from larkpost.gateway.proxy.request_scheduler import RequestScheduler

MIN_HEDGE_SECONDS = 0.1
"""Minimum delay before a hedged attempt."""
HEDGE_SERVICE_TIME_FACTOR = 3.0
"""Hedge delay as a multiple of the fastest server's service time, without unit."""
DEFAULT_SERVICE_TIME_DIVISOR = 2
"""The service time assumed while none is known is the objective divided by this, without unit."""


def hedge_delay(service_times: Collection[float], objective: float) -> float:
    """Returns the seconds after which a second server is tried if the first has not responded.

    Args:
        service_times: seconds that a request takes at each server where this is known.
        objective: target response time in seconds.
    """
    best = min(service_times, default=objective / DEFAULT_SERVICE_TIME_DIVISOR)
    return max(MIN_HEDGE_SECONDS, HEDGE_SERVICE_TIME_FACTOR * best)


class ServerChoice:
    """Chooses the servers of client requests."""

    def __init__(self, dependencies: ForwarderDependencies, scheduler: RequestScheduler) -> None:
        self._balancer = dependencies.balancer
        self._crashes = dependencies.crashes
        self._scheduler = scheduler

    def choose(self, attempts: Attempts) -> InstanceInfo | None:
        """Returns the best untried server; None if there is none or the request is quarantined."""
        if self._scheduler.is_quarantined(attempts):
            return None
        if self._crashes.suspect(attempts.request) is not None:
            attempts.waiter.work = replace(attempts.waiter.work, is_suspect=True)
        candidates = self._balancer.candidates(
            attempts.waiter.service,
            attempts.waiter.work,
            exclude=attempts.tried,
            for_client=True,
        )
        return candidates[0] if candidates else None

    def hedge_delay(self, attempts: Attempts) -> float:
        """Returns the seconds before a hedged attempt of a request."""
        pool = self._balancer.candidate_pool(attempts.waiter.service, attempts.waiter.work)
        service_times = [
            service_time
            for info in pool.instances
            if (service_time := self._balancer.service_time(info.id))
        ]
        return hedge_delay(service_times, attempts.route.objective)
