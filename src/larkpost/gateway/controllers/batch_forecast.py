"""Whether a batch will be in time: the work left at the engines' paces, against its due time.

Owns no state and reads none. A forecast from the guesses of trainers is often off by a second, so
it says no more than whether a batch has time to spare, is tight, or can't be in time at all.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from larkpost.gateway.blackboard.daemon_report import BatchProgress
from larkpost.gateway.blackboard.weight_targets import DeadlineForecast

MIN_SPARE_SECONDS = 2.5
"""A batch that is forecast to end so long before it is due has time to spare: its trainer needs a
second to train within that time, and forecasts are off by as much."""
INFEASIBLE_DELAY_SECONDS = 1.0
"""A batch that is later than this, or whose work takes all engines so much longer, is hopeless,
unless what is left takes no longer than this either: then its trainer soon goes on."""


@dataclass(frozen=True, slots=True)
class BatchCapacity:
    """What engines can do for a batch.

    Attributes:
        share: items at once at the engines that it can count on.
        whole: items at once at all engines.
        token_time: seconds that a token takes at an engine of middling pace.
        best_token_time: the same at the fastest one.
    """

    available_slots: int
    total_slots: int
    token_time: float
    fastest_token_time: float


def forecast_deadline(
    progress: BatchProgress, due_in: float, capacity: BatchCapacity
) -> DeadlineForecast:
    """Returns the outlook of a batch.

    Args:
        due_in: seconds until it is due; negative once it is late.
    """
    if not capacity.available_slots or not capacity.token_time:
        return DeadlineForecast.UNKNOWN
    least = progress.work / capacity.total_slots * capacity.fastest_token_time
    expected = remaining_seconds(progress, capacity.available_slots, capacity.token_time)
    if due_in + INFEASIBLE_DELAY_SECONDS < least and expected > INFEASIBLE_DELAY_SECONDS:
        return DeadlineForecast.HOPELESS
    return (
        DeadlineForecast.TO_SPARE
        if due_in - expected >= MIN_SPARE_SECONDS
        else DeadlineForecast.TIGHT
    )


def remaining_seconds(progress: BatchProgress, places: int, token_time: float) -> float:
    """Returns the seconds that a batch needs yet, with so many places.

    No item is made by two engines, and a long one may be the last to find a place.
    """
    return (progress.work / places + progress.p90_item_work) * token_time


def most_urgent_forecast(outlooks: Iterable[DeadlineForecast]) -> DeadlineForecast:
    """Returns the outlook that counts for a model of whose batches these are the outlooks.

    One that can be saved counts before all others, and one that is not known before one that can't
    be saved: it may be the next step's, which has all its time.
    """
    known = set(outlooks)
    for deadline_forecast in (
        DeadlineForecast.TIGHT,
        DeadlineForecast.UNKNOWN,
        DeadlineForecast.HOPELESS,
        DeadlineForecast.TO_SPARE,
    ):
        if deadline_forecast in known:
            return deadline_forecast
    return DeadlineForecast.UNKNOWN
