"""Forecasts whether batches will be on time, by remaining work and engines' service times.

Pure functions. Forecasts are off by about a second because trainers' estimates are, so the result
is coarse: a batch has time to spare, is tight, or cannot be on time.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from larkpost.gateway.blackboard.daemon_report import BatchProgress
from larkpost.gateway.blackboard.weight_targets import DeadlineForecast

MIN_SPARE_SECONDS = 2.5
"""A batch forecast to end at least this long before it is due has time to spare; covers a second of
training and the forecast's error."""
INFEASIBLE_DELAY_SECONDS = 1.0
"""A batch cannot be on time if all engines together would finish it later than this after it is due
and its expected remaining time is longer than this. With less time remaining, its trainer soon goes
on anyway."""


@dataclass(frozen=True, slots=True)
class BatchCapacity:
    """What engines can do for a batch.

    Attributes:
        available_slots: concurrent items at the engines that the batch can rely on.
        total_slots: concurrent items at all engines.
        token_time: seconds per token at an engine of median service time.
        fastest_token_time: seconds per token at the fastest engine.
    """

    available_slots: int
    total_slots: int
    token_time: float
    fastest_token_time: float


def forecast_deadline(
    progress: BatchProgress, due_in: float, capacity: BatchCapacity
) -> DeadlineForecast:
    """Forecasts whether a batch will be on time.

    Args:
        due_in: seconds until it is due; negative once it is late.
    """
    if not capacity.available_slots or not capacity.token_time:
        return DeadlineForecast.UNKNOWN
    minimum = progress.work / capacity.total_slots * capacity.fastest_token_time
    expected = remaining_seconds(progress, capacity.available_slots, capacity.token_time)
    if due_in + INFEASIBLE_DELAY_SECONDS < minimum and expected > INFEASIBLE_DELAY_SECONDS:
        return DeadlineForecast.INFEASIBLE
    return (
        DeadlineForecast.TO_SPARE
        if due_in - expected >= MIN_SPARE_SECONDS
        else DeadlineForecast.TIGHT
    )


def remaining_seconds(progress: BatchProgress, slots: int, token_time: float) -> float:
    """Returns the seconds that a batch still needs with a number of slots.

    The time of a long item is added, because it runs on one engine and may get the last slot.
    """
    return (progress.work / slots + progress.p90_item_work) * token_time


def most_urgent_forecast(forecasts: Iterable[DeadlineForecast]) -> DeadlineForecast:
    """Returns the forecast that counts for a model, given those of its batches.

    A batch that can still be on time ranks first. An unknown forecast ranks before a hopeless one,
    because it may belong to the next step, which has all its time left.
    """
    known = set(forecasts)
    for forecast in (
        DeadlineForecast.TIGHT,
        DeadlineForecast.UNKNOWN,
        DeadlineForecast.INFEASIBLE,
        DeadlineForecast.TO_SPARE,
    ):
        if forecast in known:
            return forecast
    return DeadlineForecast.UNKNOWN
