"""Tests that the placement rules apply both at the choice of an instance and before the send."""

import unittest
from dataclasses import replace

from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceInfo, InstanceState
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.rules import REJECTION_REASONS, Placement
from larkpost.gateway.placement.work import CLIENT_WORK, Work, WorkKind
from larkpost.gateway.servers.port import NotRunError, NotRunReason

MODEL = ModelName("model")
ENGINE = InstanceInfo(
    InstanceId("e0"),
    ServiceName("engines"),
    Address("10.0.0.1:1"),
    ZoneId("z"),
    8,
    InstanceState.READY,
    {MODEL: 3},
)


class OnceRule:
    """Allows one send, as a rule that counts sends does."""

    def __init__(self) -> None:
        self.left = 1

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether a send is left."""
        return PlacementDecision.ALLOWED if self.left else PlacementDecision.COLD

    def admit(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Consumes a send."""
        verdict = self.evaluate(instance, work)
        self.left = 0
        return verdict


class PlacementTest(unittest.TestCase):
    """Each rule rejects both the choice and the send."""

    def setUp(self) -> None:
        self.directory = InstanceDirectory()
        self.directory.update(ENGINE)
        self.metrics = Metrics()
        self.rule = OnceRule()
        self.placement = Placement(self.directory, (self.rule,), self.metrics)

    def refusal(self, work: Work = CLIENT_WORK) -> NotRunReason | None:
        """Returns why a send is rejected; None if it is allowed."""
        try:
            self.placement.admit(ENGINE.id, work)
        except NotRunError as error:
            return error.reason
        return None

    def test_instance_that_left_between_choice_and_send_gets_nothing(self) -> None:
        self.assertTrue(self.placement.allows(ENGINE, CLIENT_WORK))
        self.directory.update(replace(ENGINE, state=InstanceState.LEAVING))
        self.assertIs(self.refusal(), NotRunReason.LEAVING)
        self.directory.forget(ENGINE.id)
        self.assertIs(self.refusal(), NotRunReason.LEAVING)
        self.assertIn(
            b'larkpost_not_placed_total{verdict="leaving",work="client"} 1.0', self.metrics.text()
        )

    def test_weights_older_than_the_work_allows(self) -> None:
        fitting = Work(WorkKind.ITEM, model=MODEL, minimum_version=3)
        newer = replace(fitting, minimum_version=4)
        self.assertIs(self.placement.evaluate(ENGINE, fitting), PlacementDecision.ALLOWED)
        self.assertIs(self.placement.evaluate(ENGINE, newer), PlacementDecision.OLD_VERSION)
        self.assertIs(self.refusal(newer), NotRunReason.MISDIRECTED)

    def test_rejected_send_is_not_counted_by_a_rule(self) -> None:
        self.assertIsNotNone(self.refusal(Work(WorkKind.ITEM, model=MODEL, minimum_version=9)))
        self.assertEqual(self.rule.left, 1)
        self.assertIsNone(self.refusal())
        self.assertIs(self.refusal(), NotRunReason.COLD)

    def test_choice_is_not_counted(self) -> None:
        for _ in range(3):
            self.assertTrue(self.placement.allows(ENGINE, CLIENT_WORK))
        self.assertIsNone(self.refusal())

    def test_each_decision_has_a_not_run_reason(self) -> None:
        objections = set(PlacementDecision) - {PlacementDecision.ALLOWED}
        self.assertEqual(objections, set(REJECTION_REASONS))


if __name__ == "__main__":
    unittest.main()
