"""Work whose route or tenant has homes goes only to instances in those regions."""

from larkpost.fleet.directory import InstanceInfo
from larkpost.fleet.regions import RegionMap
from larkpost.placement.rules import PlainRule
from larkpost.placement.verdict import Verdict
from larkpost.placement.work import Work


class HomeRule(PlainRule):
    """An instance whose region is not known is in nobody's home."""

    def __init__(self, regions: RegionMap) -> None:
        self._regions = regions

    def judge(self, instance: InstanceInfo, work: Work) -> Verdict:
        """Tells whether the instance's region may serve the work."""
        if work.regions is None or self._regions.region_of(instance.zone) in work.regions:
            return Verdict.ALLOWED
        return Verdict.OUTSIDE_REGIONS
