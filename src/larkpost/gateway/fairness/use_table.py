"""Use by flow, stored by group."""

from collections.abc import Iterator, Mapping

from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.daemon_report import Flow, FlowGroup, FlowUsage
from larkpost.gateway.fairness.share_rule import NO_USE


class UseTable:
    """Use by flow; flows without use are not stored."""

    def __init__(self) -> None:
        self._groups: dict[FlowGroup, dict[Flow, FlowUsage]] = {}

    def add(self, flow: Flow, running: int, waiting: int) -> None:
        """Adds to a flow's use; negative numbers subtract."""
        group = self._groups.setdefault(flow.group, {})
        before = group.pop(flow, NO_USE)
        after = FlowUsage(before.running + running, before.waiting + waiting)
        if after != NO_USE:
            group[flow] = after
        if not group:
            del self._groups[flow.group]

    def group_uses(self, group: FlowGroup) -> Mapping[Flow, FlowUsage]:
        """Returns the use of a group's flows."""
        return self._groups.get(group, {})

    def all(self) -> Iterator[tuple[Flow, FlowUsage]]:
        """Yields the use of all flows."""
        for group in self._groups.values():
            yield from group.items()

    def services_waited_for(self) -> set[ServiceName]:
        """Returns the services that requests wait for."""
        return {flow.group.service for flow, use in self.all() if use.waiting}
