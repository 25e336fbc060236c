"""Orders the candidate instances for a request.

Pure functions over records that `candidate_order` fills in. Each candidate carries its own random
tie-break, so that daemons with the same view do not all choose the same instance.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from larkpost.gateway.blackboard.directory import InstanceInfo

MAX_SERVICE_TIME_RATIO = 8.0
"""Maximum ratio of an instance's service time to the lowest one, without unit; it limits the effect
of an outlier."""
NEW_CONNECTION_FACTOR = 1.2
"""Factor on the expected response time at an instance without an open connection, without unit.
More than the service times of equal servers differ by chance, and no more than one request adds to
a queue of five (6/5): a new connection costs a server less than a request."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that may take a request, with everything that its rank depends on.

    Attributes:
        is_avoided: whether it failed or refused a request recently.
        is_cold: whether it is cold and should get few requests.
        occupied: estimated requests there, from all daemons.
        service_time: seconds that a unit of work takes there; 0 if unknown.
        latency_factor: factor on the response time due to network distance.
        connection_factor: factor on the response time due to opening a connection.
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
    """Returns the instances, best first.

    Args:
        best_service_time: the lowest known service time in seconds; 0 if none is known.
    """
    ordered = sorted(candidates, key=lambda candidate: _order(candidate, best_service_time))
    return [candidate.instance for candidate in ordered]


def expected_response_time(candidate: Candidate, best_service_time: float) -> float:
    """Returns the expected response time at a candidate, relative to the lowest service time.

    A candidate with an unknown service time is taken to have the lowest one.
    """
    ratio = 1.0
    if candidate.service_time and best_service_time:
        ratio = min(candidate.service_time / best_service_time, MAX_SERVICE_TIME_RATIO)
    return (candidate.occupied + 1) / max(1, candidate.instance.slots) * ratio


def connection_factor(*, is_connected: bool) -> float:
    """Returns the factor on the response time due to opening a connection."""
    return 1.0 if is_connected else NEW_CONNECTION_FACTOR


def _order(candidate: Candidate, best_service_time: float) -> tuple[bool, bool, float, float]:
    response_time = expected_response_time(candidate, best_service_time)
    return (
        candidate.is_avoided,
        candidate.is_cold,
        response_time * candidate.latency_factor * candidate.connection_factor,
        candidate.tie_break,
    )
