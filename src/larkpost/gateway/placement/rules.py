"""Placement rules, which every sender of work to instances consults.

`evaluate` supports the choice among instances and counts nothing. `admit` runs right before the
send, on the state known then, and counts the send where a rule limits the number of sends. Time may
pass between choice and send, so callers use both.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceInfo, InstanceState
from larkpost.gateway.observability.metrics import Count, Metrics
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.work import Work
from larkpost.gateway.servers.port import NotRunError, NotRunReason

REJECTION_REASONS = {
    PlacementDecision.UNKNOWN: NotRunReason.LEAVING,
    PlacementDecision.LEAVING: NotRunReason.LEAVING,
    PlacementDecision.EVACUATED: NotRunReason.EVACUATED,
    PlacementDecision.COLD: NotRunReason.COLD,
    PlacementDecision.OUTSIDE_REGIONS: NotRunReason.OUTSIDE_REGIONS,
    PlacementDecision.OLD_VERSION: NotRunReason.MISDIRECTED,
    PlacementDecision.ISOLATED: NotRunReason.ISOLATED,
    PlacementDecision.AVOIDED: NotRunReason.FULL,
}
"""Maps each decision against a send to the reason reported for the send that was not made."""


class PlacementRule(Protocol):
    """One reason why work may not be sent to an instance."""

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether work may be sent to an instance now; counts nothing."""

    def admit(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns the decision right before the send, and counts the send if it is allowed."""


class StatelessRule:
    """Base class of rules that count nothing; subclasses implement `evaluate`."""

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether work may be sent to an instance now."""
        raise NotImplementedError

    def admit(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns the decision right before the send."""
        return self.evaluate(instance, work)


class LeavingRule(StatelessRule):
    """Rejects instances that are shutting down."""

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether the instance accepts new work."""
        is_leaving = instance.state is InstanceState.LEAVING
        return PlacementDecision.LEAVING if is_leaving else PlacementDecision.ALLOWED


class VersionRule(StatelessRule):
    """Requires that the instance's weight version is recent enough for the work's model."""

    def __init__(self, directory: InstanceDirectory) -> None:
        self._directory = directory

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether the instance's weight version meets the work's minimum."""
        if work.model is None:
            return PlacementDecision.ALLOWED
        version = self._directory.version_of(instance.id, work.model)
        return (
            PlacementDecision.ALLOWED
            if version >= work.minimum_version
            else PlacementDecision.OLD_VERSION
        )


def _no_timeout(_: InstanceInfo) -> None:
    """Returns None: an admitted send has no timeout."""


class Placement:
    """Applies all rules in order; the first rejection decides.

    Args:
        rules: deployment-specific rules, in addition to those on leaving instances and weight
            versions. A rule that counts sends must come last, so that it never counts a send that
            another rule rejects.
        send_timeout: returns the seconds within which an admitted send to an instance must be made;
            None for no timeout.
    """

    def __init__(
        self,
        directory: InstanceDirectory,
        rules: Iterable[PlacementRule] = (),
        metrics: Metrics | None = None,
        send_timeout: Callable[[InstanceInfo], float | None] = _no_timeout,
    ) -> None:
        self._directory = directory
        self._rules = (LeavingRule(), VersionRule(directory), *rules)
        self._metrics = metrics
        self._send_timeout = send_timeout

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether work may be sent to an instance now, or why not."""
        for rule in self._rules:
            decision = rule.evaluate(instance, work)
            if not decision.is_allowed:
                return decision
        return PlacementDecision.ALLOWED

    def allows(self, instance: InstanceInfo, work: Work) -> bool:
        """Returns whether work may be sent to an instance now."""
        return self.evaluate(instance, work).is_allowed

    def admit(self, instance: InstanceId, work: Work) -> float | None:
        """Checks the rules again right before a send, on the instance's current state.

        Returns:
            The seconds within which the send must be made; None for no timeout.

        Raises:
            NotRunError: the send must not be made; nothing was sent.
        """
        decision = self._admit(instance, work)
        if decision.is_allowed:
            info = self._directory.get(instance)
            return self._send_timeout(info) if info is not None else None
        if self._metrics is not None:
            self._metrics.count(Count.NOT_PLACED, work.kind, decision)
        raise NotRunError(REJECTION_REASONS[decision])

    def _admit(self, instance: InstanceId, work: Work) -> PlacementDecision:
        info = self._directory.get(instance)
        if info is None:
            return PlacementDecision.UNKNOWN
        for rule in self._rules:
            decision = rule.admit(info, work)
            if not decision.is_allowed:
                return decision
        return PlacementDecision.ALLOWED
