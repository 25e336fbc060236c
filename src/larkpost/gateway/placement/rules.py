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
from larkpost.gateway.placement.verdict import Verdict
from larkpost.gateway.placement.work import Work
from larkpost.gateway.servers.port import NotRunError, NotRunReason

NOT_RUN_REASONS = {
    Verdict.UNKNOWN: NotRunReason.LEAVING,
    Verdict.LEAVING: NotRunReason.LEAVING,
    Verdict.EVACUATED: NotRunReason.EVACUATED,
    Verdict.COLD: NotRunReason.COLD,
    Verdict.OUTSIDE_REGIONS: NotRunReason.OUTSIDE_REGIONS,
    Verdict.OLD_VERSION: NotRunReason.MISDIRECTED,
    Verdict.ISOLATED: NotRunReason.ISOLATED,
    Verdict.AVOIDED: NotRunReason.FULL,
}
"""The reason that is given for a send that is not made."""


class PlacementRule(Protocol):
    """One reason why work may not go to an instance."""

    def judge(self, instance: InstanceInfo, work: Work) -> Verdict:
        """Returns whether work may go to an instance now; counts nothing."""

    def admit(self, instance: InstanceInfo, work: Work) -> Verdict:
        """Returns the same right before the send, and counts the send if it is allowed."""


class PlainRule:
    """A rule that counts nothing; subclasses define `judge`."""

    def judge(self, instance: InstanceInfo, work: Work) -> Verdict:
        """Returns whether work may go to an instance now."""
        raise NotImplementedError

    def admit(self, instance: InstanceInfo, work: Work) -> Verdict:
        """Returns the same right before the send."""
        return self.judge(instance, work)


class LeavingRule(PlainRule):
    """Nothing new goes to an instance that leaves."""

    def judge(self, instance: InstanceInfo, work: Work) -> Verdict:
        """Returns whether the instance stays."""
        leaves = instance.state is InstanceState.LEAVING
        return Verdict.LEAVING if leaves else Verdict.ALLOWED


class VersionRule(PlainRule):
    """Work that names a model goes only to instances whose version of it is new enough."""

    def __init__(self, directory: InstanceDirectory) -> None:
        self._directory = directory

    def judge(self, instance: InstanceInfo, work: Work) -> Verdict:
        """Returns whether the instance's weights will do."""
        if work.model is None:
            return Verdict.ALLOWED
        version = self._directory.version_of(instance.id, work.model)
        return Verdict.ALLOWED if version >= work.minimum_version else Verdict.OLD_VERSION


def _at_any_time(_: InstanceInfo) -> None:
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
        send_within: Callable[[InstanceInfo], float | None] = _at_any_time,
    ) -> None:
        self._directory = directory
        self._rules = (LeavingRule(), VersionRule(directory), *rules)
        self._metrics = metrics
        self._send_within = send_within

    def judge(self, instance: InstanceInfo, work: Work) -> Verdict:
        """Returns whether work may go to an instance now, or why not."""
        for rule in self._rules:
            verdict = rule.judge(instance, work)
            if not verdict.is_allowed:
                return verdict
        return Verdict.ALLOWED

    def allows(self, instance: InstanceInfo, work: Work) -> bool:
        """Returns whether work may go to an instance now."""
        return self.judge(instance, work).is_allowed

    def admit(self, instance: InstanceId, work: Work) -> float | None:
        """Asks once more right before a send, by what is known of the instance now.

        Returns:
            The seconds within which the send must be made, else it must not be; None for any.

        Raises:
            NotRunError: the send must not be made; nothing was sent.
        """
        verdict = self._admit(instance, work)
        if verdict.is_allowed:
            info = self._directory.get(instance)
            return self._send_within(info) if info is not None else None
        if self._metrics is not None:
            self._metrics.count(Count.NOT_PLACED, work.kind, verdict)
        raise NotRunError(NOT_RUN_REASONS[verdict])

    def _admit(self, instance: InstanceId, work: Work) -> Verdict:
        info = self._directory.get(instance)
        if info is None:
            return Verdict.UNKNOWN
        for rule in self._rules:
            verdict = rule.admit(info, work)
            if not verdict.is_allowed:
                return verdict
        return Verdict.ALLOWED
