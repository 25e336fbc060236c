"""The rules of placement, asked by everything that sends work to instances.

`judge` is asked for a choice among instances and counts nothing. `admit` is asked right before
the send, by what is known then, and counts the send where a rule limits how many there may be. The
choice and the send may be some time apart, so both are asked.
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
"""The reason that is given for a send that is not made."""


class PlacementRule(Protocol):
    """One reason why work may not go to an instance."""

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether work may go to an instance now; counts nothing."""

    def admit(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns the same right before the send, and counts the send if it is allowed."""


class StatelessRule:
    """A rule that counts nothing; subclasses define `judge`."""

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether work may go to an instance now."""
        raise NotImplementedError

    def admit(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns the same right before the send."""
        return self.evaluate(instance, work)


class LeavingRule(StatelessRule):
    """Nothing new goes to an instance that leaves."""

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether the instance stays."""
        leaves = instance.state is InstanceState.LEAVING
        return PlacementDecision.LEAVING if leaves else PlacementDecision.ALLOWED


class VersionRule(StatelessRule):
    """Work that names a model goes only to instances whose version of it is new enough."""

    def __init__(self, directory: InstanceDirectory) -> None:
        self._directory = directory

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether the instance's weights will do."""
        if work.model is None:
            return PlacementDecision.ALLOWED
        version = self._directory.version_of(instance.id, work.model)
        return (
            PlacementDecision.ALLOWED
            if version >= work.minimum_version
            else PlacementDecision.OLD_VERSION
        )


def _no_timeout(_: InstanceInfo) -> None:
    """Returns None: an admitted send may be made at any time."""


class Placement:
    """Asks all rules in turn; the first one that objects decides.

    Args:
        rules: those of the deployment, besides leaving instances and weight versions. A rule that
            counts sends comes last, so that it counts none that another rule forbids.
        send_within: returns how soon an admitted send must be made at an instance; None for any.
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
        """Returns whether work may go to an instance now, or why not."""
        for rule in self._rules:
            decision = rule.evaluate(instance, work)
            if not decision.is_allowed:
                return decision
        return PlacementDecision.ALLOWED

    def allows(self, instance: InstanceInfo, work: Work) -> bool:
        """Returns whether work may go to an instance now."""
        return self.evaluate(instance, work).is_allowed

    def admit(self, instance: InstanceId, work: Work) -> float | None:
        """Asks once more right before a send, by what is known of the instance now.

        Returns:
            The seconds within which the send must be made, else it must not be; None for any.

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
