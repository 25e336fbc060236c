"""Forecasts whether a request will be served, from the slots of its service and its deadlines.

A response is most useful within the route's objective, which starts at the client's first attempt,
less useful until the client's deadline, and useless afterwards. A request that can still be served
before its deadline waits; any other is refused at once. Pure functions without state.
"""

import math
from dataclasses import dataclass
from enum import StrEnum

from larkpost.gateway.proxy.slot_counting import SlotCounts

MIN_SERVICE_TIME_FRACTION = 0.5
"""A request that will have less than this fraction of the service time left is refused. Without
unit. Below 1, as an unnecessary refusal costs more than a failed attempt. The smallest requests of
a service take about half of its service time."""
MIN_RETRY_SECONDS = 0.05
"""Minimum retry delay; loads are not known with a finer resolution."""
MAX_RETRY_SECONDS = 1.0
"""Maximum retry delay: reported loads and service times are used for about a second."""
NO_SLOT_RETRY_SECONDS = 0.5
"""Retry delay for a service without any slot: the time in which new instances become known."""
MAX_RETRY_FRACTION = 1 / 3
"""Maximum retry delay as a fraction of the time that the client has left, without unit."""
MILLISECONDS_PER_SECOND = 1000
"""Retry delays are whole milliseconds."""


class Expectation(StrEnum):
    """Whether a request will be served, and when."""

    IN_TIME = "in_time"  # within its objective
    LATE = "late"  # after the objective, before the deadline
    NOT_AT_ALL = "not_at_all"


@dataclass(frozen=True, slots=True)
class Deadlines:
    """The deadlines of one request, in steady time.

    Attributes:
        objective_at: end of the route's objective.
        expires_at: deadline; nothing is sent to a server afterwards.
        default_service_time: seconds that it is assumed to take while no service time is known.
    """

    objective_at: float
    expires_at: float
    default_service_time: float


@dataclass(frozen=True, slots=True)
class Forecast:
    """The forecast of one request.

    Attributes:
        wait: expected seconds until a slot is free for it.
        retry_after: seconds after which the client should retry if it is refused.
        service_time: seconds a request takes at a server; 0 if there is no slot to wait for.
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
        ahead: number of requests that wait at this daemon and precede it.
        blocked_seconds: seconds for which requests have found no free slot; 0 if none found so
            recently. The wait is expected to last at least as long again.
        share_wait: seconds until its flow's share has room for it.
    """
    service_time = slot_counts.service_time or deadlines.default_service_time
    wait = max(share_wait, _wait(slot_counts, service_time, ahead, blocked_seconds))
    may_find_free_slot = slot_counts.has_few_running and not ahead and not blocked_seconds
    if _is_infeasible(
        slot_counts,
        deadlines,
        now,
        wait + service_time * MIN_SERVICE_TIME_FRACTION,
        may_find_free_slot,
    ):
        expectation = Expectation.NOT_AT_ALL
    elif now + wait + service_time <= deadlines.objective_at:
        expectation = Expectation.IN_TIME
    else:
        expectation = Expectation.LATE
    delay = retry_after(wait, deadlines.expires_at - now)
    return Forecast(expectation, wait, delay, service_time if slot_counts.total else 0.0)


def forecast_for_unreachable(deadlines: Deadlines, now: float) -> Forecast:
    """Returns the forecast of a request for which every server was unreachable."""
    wait = NO_SLOT_RETRY_SECONDS
    delay = retry_after(wait, deadlines.expires_at - now)
    return Forecast(Expectation.NOT_AT_ALL, wait, delay, service_time=0.0)


def would_miss_objective(slot_counts: SlotCounts, deadlines: Deadlines, now: float) -> bool:
    """Returns whether a request would miss its objective even if it got a slot now."""
    return (
        now + (slot_counts.service_time or deadlines.default_service_time) > deadlines.objective_at
    )


def _wait(
    slot_counts: SlotCounts, service_time: float, ahead: int, blocked_seconds: float
) -> float:
    """Returns the expected seconds until a slot is free, at the rate at which requests end."""
    if not slot_counts.total:
        return NO_SLOT_RETRY_SECONDS
    excess_requests = slot_counts.taken + ahead + 1 - slot_counts.total
    if excess_requests <= 0 or slot_counts.is_mostly_free:
        return 0.0
    return max(blocked_seconds, excess_requests * service_time / slot_counts.total)


def _is_infeasible(
    slot_counts: SlotCounts,
    deadlines: Deadlines,
    now: float,
    min_seconds: float,
    may_find_free_slot: bool,
) -> bool:
    """Returns whether a request that needs at least ``min_seconds`` cannot be served in time.

    Args:
        may_find_free_slot: whether few slots run a request, and no request waits or recently found
            no slot. An attempt is then allowed, as a failed one costs less than an unnecessary
            refusal.
    """
    if now >= deadlines.expires_at or not slot_counts.total:
        return True
    if slot_counts.is_mostly_free or may_find_free_slot:
        return False
    return now + min_seconds > deadlines.expires_at


def retry_after(wait: float, time_left: float) -> float:
    """Returns the retry delay in seconds, short enough that the client has time for the retry."""
    return floor_to_milliseconds(min(max(MIN_RETRY_SECONDS, wait), max_retry_delay(time_left)))


def max_retry_delay(time_left: float) -> float:
    """Returns the maximum retry delay of a client with ``time_left`` seconds left."""
    return min(MAX_RETRY_SECONDS, time_left * MAX_RETRY_FRACTION)


def floor_to_milliseconds(seconds: float) -> float:
    """Returns a time rounded down to whole milliseconds, at least one."""
    return max(1, math.floor(seconds * MILLISECONDS_PER_SECOND)) / MILLISECONDS_PER_SECOND
