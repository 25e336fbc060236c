"""Forecasts whether a request will be served, from its service's places and its caller's time.

A response is worth most within the route's objective, counted from the caller's first attempt, less
until the caller leaves, and nothing after that. So a request that can still be served waits, and
one that cannot is refused at once. Pure rules: nothing is remembered here.
"""

import math
from dataclasses import dataclass
from enum import StrEnum

from larkpost.gateway.proxy.slot_counting import SlotCounts

MIN_SERVICE_TIME_SHARE = 0.5
"""A request may need half of what requests take: the smallest of a service do, and a refusal that
was not necessary costs more than an attempt in vain."""
MIN_RETRY_SECONDS = 0.05
"""A caller that comes back sooner meets the same state: the loads known are as old."""
MAX_RETRY_SECONDS = 1.0
"""Nothing is forecast further ahead: reported loads and paces are used for about a second."""
NO_SLOT_RETRY_SECONDS = 0.5
"""When to come back to a service without any place: entries of instances take about that long."""
MAX_RETRY_SHARE = 1 / 3
"""Callers wait at most this share of the time that they have left before they come back."""
MILLISECONDS = 1000
"""Retry times are whole milliseconds, and at least one."""


class Expectation(StrEnum):
    """Whether a request will be served, and when."""

    IN_TIME = "in_time"  # within its objective
    LATE = "late"  # after it, while the caller still waits
    NOT_AT_ALL = "not_at_all"


@dataclass(frozen=True, slots=True)
class Deadlines:
    """The times of one request, on the steady clock.

    Attributes:
        objective_at: until then a response is worth most.
        end_at: until then it is worth anything; nothing is sent on afterwards.
        usual_pace: seconds it takes at a server if nothing is known of their pace.
    """

    objective_at: float
    expires_at: float
    default_service_time: float


@dataclass(frozen=True, slots=True)
class Forecast:
    """What is expected for one request.

    Attributes:
        wait: seconds until a place is expected free for it.
        retry_after: seconds after which a caller that is refused should come back.
        pace: seconds a request takes at a server; 0 if there is no place to wait for.
    """

    expectation: Expectation
    wait: float
    retry_after: float
    service_time: float

    @property
    def is_infeasible(self) -> bool:
        """Whether it will not be served."""
        return self.expectation is Expectation.NOT_AT_ALL


def make_forecast(
    slot_counts: SlotCounts,
    deadlines: Deadlines,
    now: float,
    ahead: int = 0,
    blocked_seconds: float = 0.0,
    share_wait: float = 0.0,
) -> Forecast:
    """Returns the forecast of one request.

    Args:
        ahead: requests that wait here and come first.
        blocked_for: seconds for which no place was seen to come free; it is expected to go on for
            as long again, whatever the paces say.
        share_wait: seconds until its tenant's share has room for it.
    """
    service_time = slot_counts.service_time or deadlines.default_service_time
    wait = max(share_wait, _wait(slot_counts, service_time, ahead, blocked_seconds))
    is_untried = slot_counts.has_few_running and not ahead and not blocked_seconds
    if _is_infeasible(
        slot_counts, deadlines, now, wait + service_time * MIN_SERVICE_TIME_SHARE, is_untried
    ):
        expectation = Expectation.NOT_AT_ALL
    elif now + wait + service_time <= deadlines.objective_at:
        expectation = Expectation.IN_TIME
    else:
        expectation = Expectation.LATE
    told = retry_after(wait, deadlines.expires_at - now)
    return Forecast(expectation, wait, told, service_time if slot_counts.total else 0.0)


def forecast_for_unreachable(deadlines: Deadlines, now: float) -> Forecast:
    """Returns the forecast of a request that reached no server, though it was sent to all."""
    wait = NO_SLOT_RETRY_SECONDS
    told = retry_after(wait, deadlines.expires_at - now)
    return Forecast(Expectation.NOT_AT_ALL, wait, told, service_time=0.0)


def would_miss_objective(slot_counts: SlotCounts, deadlines: Deadlines, now: float) -> bool:
    """Returns whether a request would be late even if it got a place now."""
    return (
        now + (slot_counts.service_time or deadlines.default_service_time) > deadlines.objective_at
    )


def _wait(
    slot_counts: SlotCounts, service_time: float, ahead: int, blocked_seconds: float
) -> float:
    """Returns the seconds until a place comes free, at the rate at which requests end."""
    if not slot_counts.total:
        return NO_SLOT_RETRY_SECONDS
    missing = slot_counts.taken + ahead + 1 - slot_counts.total
    if missing <= 0 or slot_counts.is_mostly_free:
        return 0.0
    return max(blocked_seconds, missing * service_time / slot_counts.total)


def _is_infeasible(
    slot_counts: SlotCounts, deadlines: Deadlines, now: float, least: float, is_untried: bool
) -> bool:
    """Returns whether a request that takes ``least`` seconds or more will not be served.

    Args:
        is_untried: whether few places have a request and none was found closed lately: one attempt
            in vain costs less than a refusal for nothing.
    """
    if now >= deadlines.expires_at or not slot_counts.total:
        return True
    if slot_counts.is_mostly_free or is_untried:
        return False
    return now + least > deadlines.expires_at


def retry_after(wait: float, time_left: float) -> float:
    """Returns the seconds after which to come back, so that enough of the caller's time is left."""
    return floor_to_milliseconds(min(max(MIN_RETRY_SECONDS, wait), max_retry_delay(time_left)))


def max_retry_delay(time_left: float) -> float:
    """Returns the most seconds after which a caller with so much time left should come back."""
    return min(MAX_RETRY_SECONDS, time_left * MAX_RETRY_SHARE)


def floor_to_milliseconds(seconds: float) -> float:
    """Returns a time as callers are told it: rounded down to milliseconds, and at least one."""
    return max(1, math.floor(seconds * MILLISECONDS)) / MILLISECONDS
