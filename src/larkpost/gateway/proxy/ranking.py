"""The order in which the instances that may take a request are tried.

A pure rule: `rank` sorts typed records; who fills them in is the balancer. Each candidate brings
its own random number, drawn once, so that daemons which know the same do not all choose alike.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from larkpost.gateway.blackboard.directory import InstanceInfo

MAX_SERVICE_TIME_RATIO = 8.0
"""By how much slower than the fastest an instance is taken to be at most, without unit. It bounds
what a single outlier does."""
NEW_CONNECTION_FACTOR = 1.2
"""By how much longer the wait counts at an instance to which no connection is kept, without unit.

More than the paces of equal servers differ by chance, less than one request more in a queue of
five (6/5) does: a new connection costs a server time, but not as much as a request.
"""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that may take a request, and all that its place in the order depends on.

    Attributes:
        is_avoided: whether it failed or refused a moment ago.
        is_cold: whether it is cold and gets few requests.
        occupied: requests believed to be there, of all daemons.
        pace: seconds a unit of work takes there; 0 if unknown.
        latency_factor: how many times as long a response takes because of the distance.
        connection_factor: how many times as long it takes because a connection must be opened.
        tie_break: random number from 0 to 1.
    """

    instance: InstanceInfo
    is_avoided: bool
    is_cold: bool
    occupied: int
    service_time: float
    latency_factor: float
    connection_factor: float
    tie_break: float


def rank(candidates: Iterable[Candidate], best_service_time: float) -> list[InstanceInfo]:
    """Returns the instances, the best first.

    Args:
        best_pace: seconds a unit of work takes at the fastest; 0 if no pace is known.
    """
    ordered = sorted(candidates, key=lambda candidate: _order(candidate, best_service_time))
    return [candidate.instance for candidate in ordered]


def expected_wait(candidate: Candidate, best_service_time: float) -> float:
    """Returns how long a request takes at a candidate, in units of the fastest one's pace.

    Where a pace is unknown the instance counts as fast as the fastest.
    """
    ratio = 1.0
    if candidate.service_time and best_service_time:
        ratio = min(candidate.service_time / best_service_time, MAX_SERVICE_TIME_RATIO)
    return (candidate.occupied + 1) / max(1, candidate.instance.slots) * ratio


def connection_factor(*, is_connected: bool) -> float:
    """Returns how many times as long a response takes because of its connection."""
    return 1.0 if is_connected else NEW_CONNECTION_FACTOR


def _order(candidate: Candidate, best_service_time: float) -> tuple[bool, bool, float, float]:
    wait = expected_wait(candidate, best_service_time)
    return (
        candidate.is_avoided,
        candidate.is_cold,
        wait * candidate.latency_factor * candidate.connection_factor,
        candidate.tie_break,
    )
