"""The rules by which an item of a batch gets an engine, and by which its run moves to another one.

Each rule stands here once, as a function of what is known of the engines at one moment. The module
owns no state and reads none; `engine_choice.py` gathers the inputs and applies the rules.

A pace is the seconds that an event lastingly takes at an engine, its bursts taken out; 0 if it is
not known.
"""

from dataclasses import dataclass

from larkpost.common.distance import Distance
from larkpost.gateway.blackboard.directory import InstanceInfo

FASTER_RATIO = 1.12
"""Ratio of paces from which one engine counts as faster than another. It is to be more than the
paces of equal engines differ by chance."""
MIGRATION_RATIO = 1.25
"""Ratio of paces from which a run may leave its engine for a faster one."""
MIGRATION_COST_SECONDS = 1.2
"""What a move must save an item. It costs the new engine the prompt and all output so far, which it
reads again while the others there wait, and gives up a place where the item was running."""
SERVICE_TIME_TOLERANCE = 1.05
"""Factor by which the pace of an engine may be above the limit of a moved run. Without any limit,
a moved run may end at an engine slower than the one that it has left."""
SIMILAR_LOAD_MARGIN = 1
"""Items by which a nearer engine may be fuller than the best one and still be taken in its place.
One more item among an engine's slots, most often six, costs less than the way."""

MAX_MIGRATIONS = 2
"""An item is moved this often at most: what it has made is read again at each new engine."""


@dataclass(frozen=True, slots=True)
class EngineState:
    """What is known of an engine that has a free place for an item.

    Attributes:
        pace: seconds for an event; 0 if not known.
        occupied: items and other requests believed to be there.
        is_loading: whether it loads weights, or will in a moment, and refuses all work meanwhile.
        is_cold: whether it has just started and is slow.
    """

    info: InstanceInfo
    service_time: float = 0.0
    occupied: int = 0
    distance: Distance = Distance.SAME_REGION
    is_loading: bool = False
    is_cold: bool = False


def is_fast_enough(service_time: float, is_cold: bool, service_time_limit: float) -> bool:
    """Returns whether an engine is warm and known to be about as fast as a limit.

    Args:
        pace_limit: seconds for an event.
    """
    return 0 < service_time <= service_time_limit * SERVICE_TIME_TOLERANCE and not is_cold


def choose_engine(candidates: list[EngineState]) -> EngineState | None:
    """Returns the engine that an item gets; None without candidates.

    In this order: an engine that does not load, a warm one, the fastest one, the nearest one of
    those about as fast and as full.

    Args:
        candidates: the engines that the item may use, the least occupied first.
    """
    if not candidates:
        return None
    preferred = candidates
    for preference in PREFERENCES:
        preferred = [engine for engine in preferred if preference(engine)] or preferred
    return _nearest_equivalent(_fastest(preferred), preferred)


def _accepts_work(engine: EngineState) -> bool:
    return not engine.is_loading


def _is_warm(engine: EngineState) -> bool:
    return not engine.is_cold


PREFERENCES = (_accepts_work, _is_warm)
"""What an engine should be, the most important first; engines that are not are taken if no engine
is. Loads take about a second, in which an item would be refused."""


def _fastest(candidates: list[EngineState]) -> EngineState:
    """Returns the fastest engine; of those about as fast, the one that comes first.

    Engines of unknown pace are taken only if they come first: nothing speaks for the others.
    """
    best = candidates[0]
    for engine in candidates[1:]:
        if engine.service_time and is_slower_by(
            best.service_time, engine.service_time, FASTER_RATIO
        ):
            best = engine
    return best


def _nearest_equivalent(best: EngineState, candidates: list[EngineState]) -> EngineState:
    """Returns the nearest of the engines that are about as fast and as full as the best one."""
    equivalent = [engine for engine in candidates if _is_nearer_equivalent(engine, best)]
    return min(equivalent, key=lambda engine: engine.distance, default=best)


def _is_nearer_equivalent(engine: EngineState, best: EngineState) -> bool:
    return (
        engine.distance < best.distance
        and engine.occupied <= best.occupied + SIMILAR_LOAD_MARGIN
        and engine.service_time <= best.service_time * FASTER_RATIO
        and bool(engine.service_time) == bool(best.service_time)
    )


def may_migrate(migrations: int) -> bool:
    """Returns whether an item that was moved so often may be moved once more."""
    return migrations < MAX_MIGRATIONS


def is_slower_by(service_time: float, other: float, ratio: float) -> bool:
    """Returns whether an engine is slower than another one by more than a ratio of paces."""
    return service_time > other * ratio


def migration_source_service_time(lasting: float, recent: float) -> float:
    """Returns the pace by which a run leaves its engine: one that is slow for good and still is.

    Args:
        lasting: the engine's lasting pace; 0 if not known.
        recent: what events took there just now; 0 if not known.
    """
    return min(lasting, recent) if recent else lasting


def could_migration_pay_off(events: int, service_time: float) -> bool:
    """Returns whether a move to some engine, however fast, might be worth it.

    Args:
        events: that the item has made.
        pace: of the engine where it runs.
    """
    return events * service_time >= MIGRATION_COST_SECONDS


def is_migration_worthwhile(events: int, service_time: float, other: float) -> bool:
    """Returns whether a run is to go on at a faster engine that has a place for it.

    An item is expected to make as many events more as it has made: the lengths of items differ
    so much that one that is long already is the one which a step will wait for.

    Args:
        events: that the item has made.
        pace: of the engine where it runs.
        other: of the faster engine; 0 if not known.
    """
    if not other or not is_slower_by(service_time, other, MIGRATION_RATIO):
        return False
    return events * (service_time - other) >= MIGRATION_COST_SECONDS


def migration_service_time_limit(events: int, service_time: float, best: float) -> float:
    """Returns the slowest pace for which a run requests a place; 0 if it is to stay.

    Args:
        events: that the item has made.
        pace: of the engine where it runs.
        best: of the fastest engine that it may use, whether or not it has a place; 0 if not known.
    """
    if not is_migration_worthwhile(events, service_time, best):
        return 0.0
    # Any engine that is fast enough for it is one that the run then moves to.
    return min(best * FASTER_RATIO, service_time / (MIGRATION_RATIO * SERVICE_TIME_TOLERANCE))
