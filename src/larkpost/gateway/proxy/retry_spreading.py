"""Sets retry times of refused clients: one after the other, at the rate at which slots become free.

Clients of flows over their share are scheduled by flow, all others by group. Relies on the ledger
for the number of this daemon's running requests.
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
"""Number of running requests assumed for a daemon that has none."""


class RetrySpreader:
    """Spreads the retries of refused clients over time."""

    def __init__(self, clock: Clock, rng: random.Random, ledger: FlowLedger) -> None:
        self._clock = clock
        self._ledger = ledger
        self._times = RetrySchedule(clock, rng)

    def spread(self, waiter: Waiter, forecast: Forecast) -> Forecast:
        """Returns the forecast of a refused request with its own retry time."""
        max_delay = max_retry_delay(waiter.deadlines.expires_at - self._clock.now())
        queue = waiter.flow if waiter.was_over_share else waiter.flow.group
        min_delay = max(MIN_RETRY_SECONDS, forecast.wait)
        spacing = forecast.service_time / max(MIN_RUNNING, self._ledger.own_running(waiter.service))
        delay = self._times.reserve(queue, min_delay, spacing, max(0.0, max_delay))
        return replace(forecast, retry_after=floor_to_milliseconds(delay))
