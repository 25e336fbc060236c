"""The rule that nothing new goes to the instances of an evacuated zone."""

from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.evacuations import Evacuations
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.rules import StatelessRule
from larkpost.gateway.placement.work import Work, WorkKind


class EvacuationRule(StatelessRule):
    """No request goes to an evacuated zone.

    Orders do: an engine that kept old weights through an evacuation could not serve after it.
    """

    def __init__(self, evacuations: Evacuations) -> None:
        self._evacuations = evacuations

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether the instance's zone takes requests, or the work is none."""
        if work.kind is WorkKind.ORDER or not self._evacuations.is_evacuated(instance.zone):
            return PlacementDecision.ALLOWED
        return PlacementDecision.EVACUATED
