"""The rule that requests under which servers crashed repeatedly are isolated from each other.

All that runs at a server ends with its crash. Two crashes can be one request's fault and leave a
dozen others as suspect as that one; if they went on side by side, each further crash would count
for all of them, and harmless items would be quarantined with the one that crashes engines. Isolated
from each other, the next crash counts for one, and those that are served are cleared. A daemon
knows only its own sends: another daemon's suspect may run at the same server.
"""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.rules import StatelessRule
from larkpost.gateway.placement.work import Work


class IsolationRule(StatelessRule):
    """A suspect request goes to no server at which this daemon has another one."""

    def __init__(self) -> None:
        self._running: Counter[InstanceId] = Counter()

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether the work is no suspect, or none runs at the instance."""
        if work.is_suspect and self._running[instance.id]:
            return PlacementDecision.ISOLATED
        return PlacementDecision.ALLOWED

    @contextmanager
    def track_suspect(self, instance: InstanceId) -> Iterator[None]:
        """Counts a suspect at an instance until the context is left."""
        self._running[instance] += 1
        try:
            yield
        finally:
            self._running[instance] -= 1
            if not self._running[instance]:
                del self._running[instance]
