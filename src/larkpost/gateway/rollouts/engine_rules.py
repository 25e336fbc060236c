"""Rules that select an engine for a batch item and decide when a run migrates to another one.

All rules are pure functions of a snapshot of the engines; `engine_selector.py` gathers the inputs
and applies them.

Service times are sustained seconds per event, without short bursts; 0 means unknown.
"""

from dataclasses import dataclass

from larkpost.common.distance import Distance
from larkpost.gateway.blackboard.directory import InstanceInfo

FASTER_RATIO = 1.12
"""Ratio of service times above which one engine counts as faster than another; larger than the
random difference between equal engines."""
MIGRATION_RATIO = 1.25
"""Ratio of service times above which a run may migrate to a faster engine."""
MIGRATION_COST_SECONDS = 1.2
"""Minimum time that a migration must save an item. The item gives up its slot at the old
engine, and the new one has to prefill the prompt and all output so far while its other requests
wait."""
SERVICE_TIME_TOLERANCE = 1.05
"""Factor by which the service time of an engine may exceed the service time limit of an item. The
limit keeps a migrating item from running at an engine slower than the one that it left."""
SIMILAR_LOAD_MARGIN = 1
"""A nearer engine is preferred to the best one if it has at most this many more requests."""

MAX_MIGRATIONS = 2
"""Maximum number of migrations of an item; each new engine has to prefill the output so far."""


@dataclass(frozen=True, slots=True)
class EngineState:
    """State of an engine that has a free slot for an item.

    Attributes:
        service_time: seconds per event; 0 if unknown.
        occupied: estimated number of requests at the engine, batch items included.
        is_loading: whether it loads weights, or is about to, and refuses all work meanwhile.
        is_cold: whether it has just started and is still slow.
    """

    info: InstanceInfo
    service_time: float = 0.0
    occupied: int = 0
    distance: Distance = Distance.SAME_REGION
    is_loading: bool = False
    is_cold: bool = False


def is_fast_enough(service_time: float, is_cold: bool, service_time_limit: float) -> bool:
    """Returns whether an engine is warm and its known service time is within a limit.

    Args:
        service_time_limit: seconds per event, before `SERVICE_TIME_TOLERANCE` is applied.
    """
    return 0 < service_time <= service_time_limit * SERVICE_TIME_TOLERANCE and not is_cold


def choose_engine(candidates: list[EngineState]) -> EngineState | None:
    """Returns the engine for an item; None without candidates.

    Prefers, in this order: engines that are not loading, warm engines, the fastest engine, and the
    nearest of those with about the same speed and load.

    Args:
        candidates: engines that the item may use, the least occupied first.
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
"""Preferences among engines, the most important first. A preference that no engine meets is
ignored. A load takes about a second, in which an engine would refuse the item."""


def _fastest(candidates: list[EngineState]) -> EngineState:
    """Returns the fastest engine; of engines about as fast, the first one.

    If the service time of the first engine is unknown, that engine is returned; any other engine of
    unknown service time never is.
    """
    best = candidates[0]
    for engine in candidates[1:]:
        if engine.service_time and is_slower_by(
            best.service_time, engine.service_time, FASTER_RATIO
        ):
            best = engine
    return best


def _nearest_equivalent(best: EngineState, candidates: list[EngineState]) -> EngineState:
    """Returns the nearest of the engines with about the same speed and load as the best one."""
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
    """Returns whether an item may migrate once more after this many migrations."""
    return migrations < MAX_MIGRATIONS


def is_slower_by(service_time: float, other_service_time: float, ratio: float) -> bool:
    """Returns whether an engine is slower than another one by more than a ratio."""
    return service_time > other_service_time * ratio


def migration_source_service_time(lasting: float, recent: float) -> float:
    """Returns the service time of a run's engine by which migrations are decided.

    It is the lesser of the two, so that runs leave an engine only if it has been slow for long and
    still is.

    Args:
        lasting: sustained service time of the engine; 0 if unknown.
        recent: recent service time of the engine; 0 if unknown.
    """
    return min(lasting, recent) if recent else lasting


def could_migration_pay_off(events: int, service_time: float) -> bool:
    """Returns whether migrating could pay off at all, even to an infinitely fast engine.

    Args:
        events: events that the item has produced.
        service_time: of the engine where it runs.
    """
    return events * service_time >= MIGRATION_COST_SECONDS


def is_migration_worthwhile(events: int, service_time: float, other_service_time: float) -> bool:
    """Returns whether a run should migrate to a faster engine that has a free slot.

    Assumes that an item will produce as many events again as it has produced: item lengths vary so
    much that an item which is already long is likely to hold up the training step.

    Args:
        events: events that the item has produced.
        service_time: of the engine where it runs.
        other_service_time: of the faster engine; 0 if unknown.
    """
    if not other_service_time or not is_slower_by(
        service_time, other_service_time, MIGRATION_RATIO
    ):
        return False
    return events * (service_time - other_service_time) >= MIGRATION_COST_SECONDS


def migration_service_time_limit(
    events: int, service_time: float, best_service_time: float
) -> float:
    """Returns the service time limit of a run's slot request; 0 if the run should not migrate.

    Args:
        events: events that the item has produced.
        service_time: of the engine where it runs.
        best_service_time: of the fastest engine that it may use, with or without a free slot; 0 if
            unknown.
    """
    if not is_migration_worthwhile(events, service_time, best_service_time):
        return 0.0
    # Even with the tolerance, an engine within the limit is fast enough for `may_migrate_to`.
    return min(
        best_service_time * FASTER_RATIO, service_time / (MIGRATION_RATIO * SERVICE_TIME_TOLERANCE)
    )
