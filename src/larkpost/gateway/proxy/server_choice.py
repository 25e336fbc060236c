"""Decides which server a client request is sent to next, and when a second one is tried.

Relies on the balancer for the order of the servers and their paces.
"""

from collections.abc import Collection
from dataclasses import replace

from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.proxy.attempts import Attempts
from larkpost.gateway.proxy.forwarder_dependencies import ForwarderDependencies
from larkpost.gateway.proxy.request_scheduler import RequestScheduler

MIN_HEDGE_SECONDS = 0.1
"""No second server is tried sooner than this."""
HEDGE_SERVICE_TIME_FACTOR = 3.0
"""A second server is tried after so many times the pace of the fastest, without unit."""
DEFAULT_SERVICE_TIME_DIVISOR = 2
"""Where no pace is known, this part of the objective stands in for it."""


def hedge_delay(service_times: Collection[float], objective: float) -> float:
    """Returns the seconds after which a second server is tried beside a silent first one.

    Args:
        paces: seconds a request takes at each server whose pace is known.
        objective: seconds within which a response is worth most.
    """
    usual = min(service_times, default=objective / DEFAULT_SERVICE_TIME_DIVISOR)
    return max(MIN_HEDGE_SECONDS, HEDGE_SERVICE_TIME_FACTOR * usual)


class ServerChoice:
    """Chooses the servers of client requests."""

    def __init__(self, dependencies: ForwarderDependencies, scheduler: RequestScheduler) -> None:
        self._balancer = dependencies.balancer
        self._crashes = dependencies.crashes
        self._scheduler = scheduler

    def choose(self, attempts: Attempts) -> InstanceInfo | None:
        """Returns the best server that was not tried yet; None if there is none, or none may be."""
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
        """Returns the seconds after which a second server is tried beside the first."""
        pool = self._balancer.candidate_pool(attempts.waiter.service, attempts.waiter.work)
        service_times = [
            service_time
            for info in pool.instances
            if (service_time := self._balancer.service_time(info.id))
        ]
        return hedge_delay(service_times, attempts.route.objective)
