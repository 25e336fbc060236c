"""The zones that the operator has evacuated: nothing new is sent to their instances."""

from dataclasses import dataclass

from larkpost.common.ids import ZoneId


@dataclass(frozen=True, slots=True)
class ZoneEvacuation:
    """What the operator says of one zone.

    Attributes:
        is_on: whether the zone is evacuated from now on, or no longer.
    """

    zone: ZoneId
    is_on: bool


class Evacuations:
    """Zones evacuated now, each since the steady time at which this daemon learnt of it."""

    def __init__(self) -> None:
        self._since: dict[ZoneId, float] = {}

    def begin(self, zone: ZoneId, now: float) -> bool:
        """Records that a zone is evacuated, and returns whether that was news."""
        if zone in self._since:
            return False
        self._since[zone] = now
        return True

    def end(self, zone: ZoneId) -> bool:
        """Records that a zone's evacuation has ended, and returns whether that was news."""
        return self._since.pop(zone, None) is not None

    def update(self, evacuation: ZoneEvacuation, now: float) -> bool:
        """Records what the operator says of a zone, and returns whether it was news."""
        if evacuation.is_on:
            return self.begin(evacuation.zone, now)
        return self.end(evacuation.zone)

    def is_evacuated(self, zone: ZoneId) -> bool:
        """Returns whether nothing new may be sent to a zone's instances."""
        return zone in self._since

    def zones(self) -> frozenset[ZoneId]:
        """Returns the zones that are evacuated."""
        return frozenset(self._since)
