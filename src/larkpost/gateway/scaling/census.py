"""Counts the servers of services by zone over time: how many there usually are, and since when not.

Counts are taken only while the store is sound: entries that lapse with it blame no server.
"""

from collections import deque
from dataclasses import dataclass, field

from larkpost.common.ids import ZoneId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.directory import Directory, InstanceInfo
from larkpost.gateway.blackboard.evacuations import Evacuations
from larkpost.gateway.scaling.planner import ZoneServers

BASELINE_LIFETIME_SECONDS = 60.0
"""Seconds for which the most servers seen at once count as usual: longer than a release takes,
shorter than an operator needs to change the size by hand and wonder."""


@dataclass(slots=True)
class _Seen:
    """Counts of one zone, as (steady time, servers); `full_at`: last time there were as usual."""

    counts: deque[tuple[float, int]] = field(default_factory=deque)
    full_at: float = float("-inf")


class ServerCensus:
    """The counts of one daemon."""

    def __init__(self, directory: Directory, evacuations: Evacuations) -> None:
        self._directory = directory
        self._evacuations = evacuations
        self._seen: dict[tuple[ServiceName, ZoneId], _Seen] = {}

    def take(self, service: ServiceName, now: float) -> dict[ZoneId, ZoneServers]:
        """Counts a service's servers by zone, those zones included that have none any more."""
        ready = self._directory.ready_of(service)
        zones = {info.zone for info in ready} | {
            zone for known, zone in self._seen if known == service
        }
        return {
            zone: self._count(service, zone, [info for info in ready if info.zone == zone], now)
            for zone in zones
        }

    def _count(
        self, service: ServiceName, zone: ZoneId, ready: list[InstanceInfo], now: float
    ) -> ZoneServers:
        seen = self._seen.setdefault((service, zone), _Seen())
        seen.counts.append((now, len(ready)))
        while seen.counts[0][0] < now - BASELINE_LIFETIME_SECONDS:
            seen.counts.popleft()
        usual = max(count for _, count in seen.counts)
        if len(ready) >= usual:
            seen.full_at = now
        preemptible = sum(info.is_preemptible for info in ready)
        return ZoneServers(
            on_demand=len(ready) - preemptible,
            preemptible=preemptible,
            usual=usual,
            lost_for=now - seen.full_at,
            is_evacuated=self._evacuations.is_evacuated(zone),
        )
