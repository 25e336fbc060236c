"""Regions of the zones, and their distance from this daemon."""

from collections.abc import Mapping

from larkpost.common.distance import Distance
from larkpost.common.ids import RegionId, ZoneId


class RegionMap:
    """The regions of a deployment's zones, relative to this daemon's zone.

    If the settings list no zones, every zone is in this daemon's region; otherwise the region of an
    unlisted zone is unknown.

    Args:
        own_zone: this daemon's zone; None if unknown.
        regions: region of each zone.
        own_region: this daemon's region; None to use the region of its zone.
    """

    def __init__(
        self,
        own_zone: ZoneId | None = None,
        regions: Mapping[ZoneId, RegionId] | None = None,
        own_region: RegionId | None = None,
    ) -> None:
        self.own_zone = own_zone
        self._regions = dict(regions or {})
        self._own_region = own_region

    @property
    def own_region(self) -> RegionId | None:
        """This daemon's region; None if unknown."""
        if self._own_region is not None or self.own_zone is None:
            return self._own_region
        return self._regions.get(self.own_zone)

    def update_from(self, other: "RegionMap") -> None:
        """Takes over the zones and regions of another map, after the settings changed."""
        self.own_zone = other.own_zone
        self._regions = other._regions
        self._own_region = other._own_region

    def region_of(self, zone: ZoneId) -> RegionId | None:
        """Returns a zone's region; None if unknown."""
        if not self._regions or zone == self.own_zone:
            return self.own_region
        return self._regions.get(zone)

    def distance(self, zone: ZoneId) -> Distance:
        """Returns the distance of a zone; SAME_REGION for all if the settings list no zones."""
        if not self._regions:
            return Distance.SAME_REGION
        if zone == self.own_zone:
            return Distance.SAME_ZONE
        region = self.region_of(zone)
        is_same = region is not None and region == self.own_region
        return Distance.SAME_REGION if is_same else Distance.OTHER_REGION
