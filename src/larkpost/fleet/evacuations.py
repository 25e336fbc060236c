"""The zones that the operator has evacuated: nothing new is sent to their instances."""

from larkpost.ids import ZoneId


class Evacuations:
    """Zones evacuated now, each since the steady time at which this daemon learnt of it."""

    def __init__(self) -> None:
        self._since: dict[ZoneId, float] = {}

    def begin(self, zone: ZoneId, now: float) -> bool:
        """Takes that a zone is evacuated, and tells whether that was news."""
        if zone in self._since:
            return False
        self._since[zone] = now
        return True

    def end(self, zone: ZoneId) -> bool:
        """Takes that a zone is evacuated no longer, and tells whether that was news."""
        return self._since.pop(zone, None) is not None

    def is_evacuated(self, zone: ZoneId) -> bool:
        """Tells whether nothing new may be sent to a zone's instances."""
        return zone in self._since

    def zones(self) -> frozenset[ZoneId]:
        """Returns the zones that are evacuated."""
        return frozenset(self._since)
