"""Fills in what the order of candidates depends on, and has them put in order by `ranking`.

Owns the latency of responses by distance; relies on the balancer for what is believed of instances.
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
    """What is believed of instances; see the balancer."""

    def is_avoided(self, instance: InstanceId) -> bool:
        """Returns whether an instance is only a last resort at the moment."""

    def is_cold(self, info: InstanceInfo) -> bool:
        """Returns whether an instance is cold and gets few requests."""

    def distance(self, info: InstanceInfo) -> Distance:
        """Returns how far an instance is."""

    def occupied(self, info: InstanceInfo) -> int:
        """Returns the requests believed to be at an instance."""

    def service_time(self, instance: InstanceId) -> float:
        """Returns the seconds a short request takes at an instance now; 0 if not known lately."""


class CandidateOrder:
    """Puts the instances in order that a request may go to.

    Args:
        is_connected: returns whether a connection to an instance is kept.
        has_latency: returns whether the latency of the network is part of an instance's pace.
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
        self._chance = rng
        self._is_connected = is_connected
        self._has_latency = has_latency
        self._latency = LatencyFactors(clock)

    def record_response(self, info: InstanceInfo, seconds: float) -> None:
        """Records the time from a client's request to its whole response."""
        self._latency.record(info.service, self._estimates.distance(info), seconds)

    def ranked(
        self, service: ServiceName, fitting: list[InstanceInfo], *, for_client: bool
    ) -> list[InstanceInfo]:
        """Returns the instances that work may go to, the best first."""
        estimates = self._estimates
        factors = self._latency_factors(service, fitting) if for_client else {}
        service_times = {
            info.id: self._local_service_time(info.id, factors.get(info.id, 1.0))
            for info in fitting
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
                tie_break=self._chance.random(),
            )
            for info in fitting
        ]
        best_service_time = min(
            (service_time for service_time in service_times.values() if service_time), default=0.0
        )
        return rank(candidates, best_service_time)

    def _latency_factors(
        self, service: ServiceName, fitting: list[InstanceInfo]
    ) -> dict[InstanceId, float]:
        """Returns how many times as long a response takes as from the nearest that has a place.

        Only instances that are farther than it are named.
        """
        estimates = self._estimates
        distances = {info.id: estimates.distance(info) for info in fitting}
        if len(set(distances.values())) < 2:
            return {}
        nearest = min(
            (
                distances[info.id]
                for info in fitting
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
        """Returns an instance's pace, without the latency if this daemon measured it in."""
        has_latency = self._has_latency(instance)
        return self._estimates.service_time(instance) / (latency_factor if has_latency else 1.0)

    def _connection_factor(self, info: InstanceInfo) -> float:
        return connection_factor(is_connected=self._is_connected(info))
