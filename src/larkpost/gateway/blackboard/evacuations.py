"""Zones evacuated by the operator: their instances receive no new requests."""

from dataclasses import dataclass

from larkpost.common.ids import ZoneId


@dataclass(frozen=True, slots=True)
class ZoneEvacuation:
    """An operator's instruction for one zone.

    Attributes:
        is_on: whether the evacuation begins (True) or ends (False).
    """

    zone: ZoneId
    is_on: bool


class Evacuations:
    """Evacuated zones, with the steady time at which this daemon learned of each."""

    def __init__(self) -> None:
        self._since: dict[ZoneId, float] = {}

    def begin(self, zone: ZoneId, now: float) -> bool:
        """Marks a zone as evacuated, and returns whether it was not before."""
        if zone in self._since:
            return False
        self._since[zone] = now
        return True

    def end(self, zone: ZoneId) -> bool:
        """Ends a zone's evacuation, and returns whether it was evacuated."""
        return self._since.pop(zone, None) is not None

    def update(self, evacuation: ZoneEvacuation, now: float) -> bool:
        """Applies an instruction, and returns whether it changed anything."""
        if evacuation.is_on:
            return self.begin(evacuation.zone, now)
        return self.end(evacuation.zone)

    def is_evacuated(self, zone: ZoneId) -> bool:
        """Returns whether a zone is evacuated."""
        return zone in self._since

    def zones(self) -> frozenset[ZoneId]:
        """Returns the evacuated zones."""
        return frozenset(self._since)
