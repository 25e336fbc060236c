"""Where zones lie: their regions, and how far they are from this daemon."""

from collections.abc import Mapping
from enum import IntEnum

from larkpost.ids import RegionId, ZoneId


class Distance(IntEnum):
    """How far an instance or a daemon is from this daemon; less is nearer."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class RegionMap:
    """The regions of a deployment's zones, seen from one of them.

    A zone that the settings do not name lies in this daemon's region if the settings name no
    zones at all, else in none that is known.

    Args:
        own_zone: this daemon's zone; None if it is not known.
        regions: the region of each zone.
    """

    def __init__(
        self, own_zone: ZoneId | None = None, regions: Mapping[ZoneId, RegionId] | None = None
    ) -> None:
        self.own_zone = own_zone
        self._regions = dict(regions or {})

    @property
    def own_region(self) -> RegionId | None:
        """This daemon's region; None if it is not known."""
        return self.region_of(self.own_zone) if self.own_zone is not None else None

    def region_of(self, zone: ZoneId) -> RegionId | None:
        """Returns a zone's region; None if it is not known."""
        return self._regions.get(zone)

    def distance(self, zone: ZoneId) -> Distance:
        """Returns how far a zone is."""
        if zone == self.own_zone:
            return Distance.SAME_ZONE
        is_same = not self._regions or self.region_of(zone) == self.own_region
        return Distance.SAME_REGION if is_same else Distance.OTHER_REGION
