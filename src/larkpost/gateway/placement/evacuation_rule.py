"""Placement rule for evacuated zones."""

from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.evacuations import Evacuations
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.rules import StatelessRule
from larkpost.gateway.placement.work import Work, WorkKind


class EvacuationRule(StatelessRule):
    """Rejects requests to instances in evacuated zones.

    Load orders are still allowed, because an engine that kept old weights during an evacuation
    could not serve after it.
    """

    def __init__(self, evacuations: Evacuations) -> None:
        self._evacuations = evacuations

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether the zone accepts requests, or the work is a load order."""
        if work.kind is WorkKind.ORDER or not self._evacuations.is_evacuated(instance.zone):
            return PlacementDecision.ALLOWED
        return PlacementDecision.EVACUATED
