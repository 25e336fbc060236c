"""Builds the ranking records of candidate instances, and orders them by `ranking`.

Owns the response latency by distance; relies on the balancer for estimates about instances.
"""

import random
from collections.abc import Callable
from typing import Protocol

from larkpost.common.clock import Clock
from larkpost.common.distance import Distance
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.proxy.latency import LatencyFactors
from larkpost.gateway.proxy.ranking import Candidate, connection_factor, rank


class InstanceEstimates(Protocol):
    """The estimates about instances that the order needs; see the balancer."""

    def is_avoided(self, instance: InstanceId) -> bool:
        """Returns whether an instance is only used as a last resort for now."""

    def is_cold(self, info: InstanceInfo) -> bool:
        """Returns whether an instance is cold and should get few requests."""

    def distance(self, info: InstanceInfo) -> Distance:
        """Returns the network distance of an instance."""

    def occupied(self, info: InstanceInfo) -> int:
        """Returns the estimated number of requests at an instance."""

    def service_time(self, instance: InstanceId) -> float:
        """Returns the seconds a short request takes at an instance now; 0 if not known."""


class CandidateOrder:
    """Orders the instances that a request may be sent to.

    Args:
        is_connected: returns whether a connection to an instance is open.
        has_latency: returns whether an instance's service time includes the network latency.
    """

    def __init__(
        self,
        estimates: InstanceEstimates,
        clock: Clock,
        rng: random.Random,
        is_connected: Callable[[InstanceInfo], bool],
        has_latency: Callable[[InstanceId], bool],
    ) -> None:
        self._estimates = estimates
        self._rng = rng
        self._is_connected = is_connected
        self._has_latency = has_latency
        self._latency = LatencyFactors(clock)

    def record_response(self, info: InstanceInfo, seconds: float) -> None:
        """Records the time from a client request to its whole response."""
        self._latency.record(info.service, self._estimates.distance(info), seconds)

    def ranked(
        self, service: ServiceName, instances: list[InstanceInfo], *, for_client: bool
    ) -> list[InstanceInfo]:
        """Returns the instances, best first."""
        estimates = self._estimates
        factors = self._latency_factors(service, instances) if for_client else {}
        service_times = {
            info.id: self._local_service_time(info.id, factors.get(info.id, 1.0))
            for info in instances
        }
        candidates = [
            Candidate(
                info,
                is_avoided=estimates.is_avoided(info.id),
                is_cold=estimates.is_cold(info),
                occupied=estimates.occupied(info),
                service_time=service_times[info.id],
                latency_factor=factors.get(info.id, 1.0),
                connection_factor=self._connection_factor(info) if for_client else 1.0,
                tie_break=self._rng.random(),
            )
            for info in instances
        ]
        best_service_time = min(
            (service_time for service_time in service_times.values() if service_time), default=0.0
        )
        return rank(candidates, best_service_time)

    def _latency_factors(
        self, service: ServiceName, instances: list[InstanceInfo]
    ) -> dict[InstanceId, float]:
        """Returns the latency factors relative to the nearest instance with a free slot.

        Contains only instances that are farther away than that one.
        """
        estimates = self._estimates
        distances = {info.id: estimates.distance(info) for info in instances}
        if len(set(distances.values())) < 2:
            return {}
        nearest = min(
            (
                distances[info.id]
                for info in instances
                if not estimates.is_avoided(info.id)
                and estimates.occupied(info) < max(1, info.slots)
            ),
            default=Distance.OTHER_REGION,
        )
        return {
            name: self._latency.factor(service, distance, nearest)
            for name, distance in distances.items()
            if distance > nearest
        }

    def _local_service_time(self, instance: InstanceId, latency_factor: float) -> float:
        """Returns an instance's service time, with the network latency removed if included."""
        has_latency = self._has_latency(instance)
        return self._estimates.service_time(instance) / (latency_factor if has_latency else 1.0)

    def _connection_factor(self, info: InstanceInfo) -> float:
        return connection_factor(is_connected=self._is_connected(info))
