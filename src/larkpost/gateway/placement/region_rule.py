"""Placement rule for work that is restricted to regions."""

from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.rules import StatelessRule
from larkpost.gateway.placement.work import Work


class RegionRule(StatelessRule):
    """Rejects instances outside the work's regions, and those whose region is unknown."""

    def __init__(self, regions: RegionMap) -> None:
        self._regions = regions

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether the instance's region may serve the work."""
        if work.regions is None or self._regions.region_of(instance.zone) in work.regions:
            return PlacementDecision.ALLOWED
        return PlacementDecision.OUTSIDE_REGIONS
