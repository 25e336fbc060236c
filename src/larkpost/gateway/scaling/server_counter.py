"""Counts the servers of services by zone over time.

Counts are taken only while the store is healthy: entries that expire during an outage do not count
as lost servers.
"""

from collections import deque
from dataclasses import dataclass, field

from larkpost.common.ids import ZoneId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceInfo
from larkpost.gateway.blackboard.evacuations import Evacuations
from larkpost.gateway.scaling.planner import ZoneServers

USUAL_COUNT_WINDOW_SECONDS = 60.0
"""Window whose largest count is the usual number of servers; longer than a release takes, short
enough that a manual change of size takes effect soon."""


@dataclass(slots=True)
class _ZoneHistory:
    """The recent counts of one zone.

    Attributes:
        counts: pairs of steady time and number of servers.
        full_at: steady time at which the zone last had its usual count.
    """

    counts: deque[tuple[float, int]] = field(default_factory=deque)
    full_at: float = float("-inf")


class ServerCounter:
    """The server counts of one daemon."""

    def __init__(self, directory: InstanceDirectory, evacuations: Evacuations) -> None:
        self._directory = directory
        self._evacuations = evacuations
        self._histories: dict[tuple[ServiceName, ZoneId], _ZoneHistory] = {}

    def count_by_zone(self, service: ServiceName, now: float) -> dict[ZoneId, ZoneServers]:
        """Counts a service's servers by zone, including zones that have none any more."""
        ready = self._directory.ready_of(service)
        zones = {info.zone for info in ready} | {
            zone for known, zone in self._histories if known == service
        }
        return {
            zone: self._count(service, zone, [info for info in ready if info.zone == zone], now)
            for zone in zones
        }

    def _count(
        self, service: ServiceName, zone: ZoneId, ready: list[InstanceInfo], now: float
    ) -> ZoneServers:
        history = self._histories.setdefault((service, zone), _ZoneHistory())
        history.counts.append((now, len(ready)))
        while history.counts[0][0] < now - USUAL_COUNT_WINDOW_SECONDS:
            history.counts.popleft()
        usual_count = max(count for _, count in history.counts)
        if len(ready) >= usual_count:
            history.full_at = now
        preemptible = sum(info.is_preemptible for info in ready)
        return ZoneServers(
            on_demand=len(ready) - preemptible,
            preemptible=preemptible,
            usual_count=usual_count,
            missing_for=now - history.full_at,
            is_evacuated=self._evacuations.is_evacuated(zone),
        )
