"""Tells refused callers when to come back: one after the other, as places come free for them.

Callers beyond their tenant's share stand in a line of that share, all others in one of their group.
Relies on the ledger for what this daemon gets served.
"""

import random
from dataclasses import replace

from larkpost.common.clock import Clock
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.fairness.retry_schedule import RetrySchedule
from larkpost.gateway.proxy.forecast import (
    MIN_RETRY_SECONDS,
    Forecast,
    floor_to_milliseconds,
    max_retry_delay,
)
from larkpost.gateway.proxy.waiter import Waiter

MIN_RUNNING = 1
"""Requests that a daemon without any is taken to get served at a time."""


class RetrySpreader:
    """The times at which refused callers come back."""

    def __init__(self, clock: Clock, rng: random.Random, ledger: FlowLedger) -> None:
        self._clock = clock
        self._ledger = ledger
        self._times = RetrySchedule(clock, rng)

    def spread(self, waiter: Waiter, forecast: Forecast) -> Forecast:
        """Returns the forecast of a refused request with a time of its own to come back."""
        most = max_retry_delay(waiter.deadlines.expires_at - self._clock.now())
        queue = waiter.flow if waiter.was_over_share else waiter.flow.group
        wanted = max(MIN_RETRY_SECONDS, forecast.wait)
        spacing = forecast.service_time / max(MIN_RUNNING, self._ledger.own_running(waiter.service))
        told = self._times.reserve(queue, wanted, spacing, max(0.0, most))
        return replace(forecast, retry_after=floor_to_milliseconds(told))
