"""Placement rule that keeps requests suspected of crashing servers apart from each other.

All requests on a server fail when it crashes, so the request at fault and harmless ones beside it
become equally suspect after two crashes. If they run apart, a further crash counts against few of
them, and harmless ones outlive their crashes or complete instead of being quarantined too. A daemon
knows only its own sends, so a suspect of another daemon may run on the same server.

If servers crash by themselves, many harmless requests become suspect. So that none of them waits
for long, the number of suspects that may run at a server doubles at intervals, as long as no
request is lost there. Items of batches are never suspect: they run beside suspects.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.rules import StatelessRule
from larkpost.gateway.placement.work import Work

DOUBLING_SECONDS = 0.5
"""Interval at which the limit of suspects at a server doubles. A request that crashes its server as
soon as it runs does so in a fraction of this time."""
MAX_DOUBLINGS = 20
"""Number of doublings after which the limit exceeds the slots of any server."""
IDLE_SECONDS = 5.0
"""Time without suspects after which a server's limit starts over."""


@dataclass(slots=True)
class _SuspectRuns:
    """The suspects of this daemon at one server.

    Attributes:
        running: number of suspects that run there now.
        calm_since: steady time of the first suspect, or of the last request that was lost there.
        ended_at: steady time at which the last suspect ended.
    """

    calm_since: float
    ended_at: float
    running: int = 0


class IsolationRule(StatelessRule):
    """Limits how many suspect requests of this daemon a server runs at a time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._runs: dict[InstanceId, _SuspectRuns] = {}

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether the work is not suspect, or the instance may get one more suspect."""
        runs = self._runs.get(instance.id)
        if not work.is_suspect or runs is None:
            return PlacementDecision.ALLOWED
        is_allowed = runs.running < self._limit(runs)
        return PlacementDecision.ALLOWED if is_allowed else PlacementDecision.ISOLATED

    @contextmanager
    def track_suspect(self, instance: InstanceId) -> Iterator[None]:
        """Counts a suspect at an instance until the context exits."""
        runs = self._runs_at(instance)
        runs.running += 1
        try:
            yield
        finally:
            runs.running -= 1
            runs.ended_at = self._clock.now()

    def record_lost_connection(self, instance: InstanceId) -> None:
        """Records that an instance lost a request, which may be due to a crash."""
        runs = self._runs.get(instance)
        if runs is not None:
            runs.calm_since = self._clock.now()

    def _runs_at(self, instance: InstanceId) -> _SuspectRuns:
        now = self._clock.now()
        self._drop_idle(now)
        return self._runs.setdefault(instance, _SuspectRuns(now, now))

    def _limit(self, runs: _SuspectRuns) -> int:
        """Returns how many suspects may run at an instance now."""
        doublings = int((self._clock.now() - runs.calm_since) / DOUBLING_SECONDS)
        return 2 ** min(doublings, MAX_DOUBLINGS)

    def _drop_idle(self, now: float) -> None:
        idle = [
            name
            for name, runs in self._runs.items()
            if not runs.running and now - runs.ended_at >= IDLE_SECONDS
        ]
        for name in idle:
            del self._runs[name]
