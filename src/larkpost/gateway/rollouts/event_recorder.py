"""Records the event stream of one run: output, weight versions and service times.

The output itself is kept in the item's `Progress`.
"""

import asyncio

from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.observability.metrics import Timing
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.rollouts.progress import ItemRun
from larkpost.gateway.rollouts.stall_detector import MonitoredRun
from larkpost.gateway.servers.port import BrokenResponseError, StreamEvent

MAX_EVENT_GAP_SECONDS = 1.2
"""Longest gap between two events before the run times out and continues elsewhere."""
EVENT_SERVICE_TIME_WEIGHT = 0.06
"""Weight of one event in an engine's service time. It is low because the prefill of other requests
delays single events, and runs should not migrate because of outliers. It averages over about 16
events."""


class EventRecorder:
    """Records the events of one run.

    Args:
        version: weight version of the engine according to its response headers.

    Attributes:
        count: number of events of this run.
    """

    def __init__(
        self,
        run: ItemRun,
        monitored_run: MonitoredRun,
        head: BatchHead,
        services: RunServices,
        version: int,
    ) -> None:
        self._run = run
        self._monitored_run = monitored_run
        self._head = head
        self._services = services
        self._version = version
        self._last_event_at: float | None = None
        self.count = 0
        self._observe_version(version)

    def record(self, event: StreamEvent) -> None:
        """Adds an event to the item's output.

        Raises:
            BrokenResponseError: its weight version must not be used.
            DiscontinuityError: it does not follow the last one.
        """
        now = asyncio.get_running_loop().time()
        self._monitored_run.record_event(now, MAX_EVENT_GAP_SECONDS)
        if event.version is not None:
            self._version = event.version
            self._observe_version(event.version)
        self._check_version()
        self._run.progress.take(event.id, event.data, self._version)
        self._run.progress.lost_runs = 0
        self._run.progress.record_activity(now)
        self._record_latency(now)
        self.count += 1

    def _observe_version(self, version: int) -> None:
        engine: InstanceInfo = self._run.engine
        self._services.directory.observe_version(engine.id, self._head.model, version)

    def _check_version(self) -> None:
        """Raises unless the current weight version may produce the next event.

        Raises:
            BrokenResponseError: the version is too old; or it differs from that of the output so
                far although the route requires a single one, and the output is discarded.
        """
        if self._version < self._head.minimum_version:
            raise BrokenResponseError(f"weight version {self._version} is too old")
        progress = self._run.progress
        if self._run.route.single_version and progress.versions - {self._version}:
            progress.restart()
            raise BrokenResponseError("the weight version changed within a result")

    def _record_latency(self, now: float) -> None:
        """Records the time to the first event, and later gaps as the engine's service time."""
        if self._last_event_at is None:
            seconds = now - self._monitored_run.started_at
            self._services.metrics.observe(Timing.ITEM_FIRST_EVENT, seconds)
        else:
            seconds = now - self._last_event_at
            balancer, engine = self._services.balancer, self._run.engine
            balancer.record_service_time(engine.id, seconds, EVENT_SERVICE_TIME_WEIGHT)
            balancer.service_times.record_event(engine.id, seconds)
        self._last_event_at = now
