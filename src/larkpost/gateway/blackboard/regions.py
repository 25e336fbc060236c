"""Where zones lie: their regions, and how far they are from this daemon."""

from collections.abc import Mapping

from larkpost.common.distance import Distance
from larkpost.common.ids import RegionId, ZoneId


class RegionMap:
    """The regions of a deployment's zones, seen from one of them.

    A zone that the settings do not name lies in this daemon's region if the settings name no
    zones at all, else in none that is known.

    Args:
        own_zone: this daemon's zone; None if it is not known.
        regions: the region of each zone.
        own_region: this daemon's region; None to take that of its zone.
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
        """This daemon's region; None if it is not known."""
        if self._own_region is not None or self.own_zone is None:
            return self._own_region
        return self._regions.get(self.own_zone)

    def update_from(self, other: "RegionMap") -> None:
        """Stores what changed settings say of zones."""
        self.own_zone = other.own_zone
        self._regions = other._regions
        self._own_region = other._own_region

    def region_of(self, zone: ZoneId) -> RegionId | None:
        """Returns a zone's region; None if it is not known."""
        if not self._regions or zone == self.own_zone:
            return self.own_region
        return self._regions.get(zone)

    def distance(self, zone: ZoneId) -> Distance:
        """Returns how far a zone is; all are equally far if the settings name no zones."""
        if not self._regions:
            return Distance.SAME_REGION
        if zone == self.own_zone:
            return Distance.SAME_ZONE
        region = self.region_of(zone)
        is_same = region is not None and region == self.own_region
        return Distance.SAME_REGION if is_same else Distance.OTHER_REGION
