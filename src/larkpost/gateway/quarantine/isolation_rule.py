"""Placement rule that keeps requests suspected of crashing servers apart from each other.

All requests on a server fail when it crashes, so the request at fault and harmless ones beside it
become equally suspect after two crashes. If they run apart, a further crash counts against one
suspect only, and harmless ones complete and are cleared instead of being quarantined too. A daemon
knows only its own sends, so a suspect of another daemon may run on the same server.
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
    """Rejects a suspect request at a server that already runs another suspect of this daemon."""

    def __init__(self) -> None:
        self._running: Counter[InstanceId] = Counter()

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether the work is not suspect, or no suspect runs at the instance."""
        if work.is_suspect and self._running[instance.id]:
            return PlacementDecision.ISOLATED
        return PlacementDecision.ALLOWED

    @contextmanager
    def track_suspect(self, instance: InstanceId) -> Iterator[None]:
        """Counts a suspect at an instance until the context exits."""
        self._running[instance] += 1
        try:
            yield
        finally:
            self._running[instance] -= 1
            if not self._running[instance]:
                del self._running[instance]
