"""The rule that nothing new goes to the instances of an evacuated zone."""

from larkpost.fleet.directory import InstanceInfo
from larkpost.fleet.evacuations import Evacuations
from larkpost.placement.rules import PlainRule
from larkpost.placement.verdict import Verdict
from larkpost.placement.work import Work, WorkKind


class EvacuatedRule(PlainRule):
    """No request goes to an evacuated zone.

    Orders do: an engine that kept old weights through an evacuation could not serve after it.
    """

    def __init__(self, evacuations: Evacuations) -> None:
        self._evacuations = evacuations

    def judge(self, instance: InstanceInfo, work: Work) -> Verdict:
        """Tells whether the instance's zone takes requests, or the work is none."""
        if work.kind is WorkKind.ORDER or not self._evacuations.is_evacuated(instance.zone):
            return Verdict.ALLOWED
        return Verdict.EVACUATED
