"""Server port that refuses quarantined requests and detects new crashes.

Relies on the known crashes for what is quarantined, and reports to the crash detector and the
recorder. All client requests go through this port, so none of them can bypass the quarantine or the
crash count. Batch items and reward calls go through it as well, so that crashes are detected; they
were handed in for later and are owed, so nothing is counted against them.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, nullcontext

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.known_crashes import KnownCrashes, LostRun
from larkpost.gateway.blackboard.request_content import ContentDigest, digest_request
from larkpost.gateway.quarantine.crash_detector import CrashDetector
from larkpost.gateway.quarantine.crash_recorder import CrashRecorder
from larkpost.gateway.quarantine.isolation_rule import IsolationRule
from larkpost.gateway.quarantine.timed_response import OutputTimer, TimedResponse
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    EngineReport,
    NotRunError,
    NotRunReason,
    OrderOutcome,
    OutgoingRequest,
    PortState,
    ServerPort,
    ServerResponse,
    VersionOrder,
)

MIN_FAILURE_STATUS = 400
"""A signed response with a lower status shows that the server completed the request."""


class QuarantineServerPort:
    """Sends requests to servers unless they are quarantined; implements `ServerPort`."""

    def __init__(
        self,
        servers: ServerPort,
        crashes: KnownCrashes,
        detector: CrashDetector,
        recorder: CrashRecorder,
        isolation: IsolationRule,
        clock: Clock,
    ) -> None:
        self._servers = servers
        self._crashes = crashes
        self._crash_detector = detector
        self._recorder = recorder
        self._isolation = isolation
        self._clock = clock

    @asynccontextmanager
    async def send(
        self, instance: InstanceInfo, request: OutgoingRequest
    ) -> AsyncIterator[ServerResponse]:
        """Sends a request; see the port."""
        suspect = self._suspect(request)
        sent_at = self._clock.now()
        timer = OutputTimer(self._clock)
        if suspect is not None:
            timer.on_output = lambda seconds: self._recorder.record_output(suspect, seconds)
        try:
            with self._isolation.track_suspect(instance.id) if suspect else nullcontext():
                async with self._servers.send(instance, request) as response:
                    yield TimedResponse(response, timer)
        except BrokenResponseError as error:
            if error.connection_lost:
                run_seconds = self._clock.now() - sent_at
                self._record_lost(request, instance, run_seconds, timer.output_seconds())
            raise
        is_success = response.status < MIN_FAILURE_STATUS and response.signature is not None
        if is_success and request.crash_limit is not None:
            self._recorder.record_success(request)

    def _suspect(self, request: OutgoingRequest) -> ContentDigest | None:
        """Returns the content digest of a request that is suspect and may be sent, else None.

        Raises:
            NotRunError: the request is quarantined.
        """
        if request.crash_limit is None:
            return None
        suspect = self._crashes.suspect(request)
        if suspect and self._crashes.is_content_quarantined(suspect, request.crash_limit):
            raise NotRunError(NotRunReason.QUARANTINED)
        return suspect

    def _record_lost(
        self,
        request: OutgoingRequest,
        instance: InstanceInfo,
        run_seconds: float,
        output_seconds: float,
    ) -> None:
        """Records a run that lost its connection, whose server may have crashed."""
        self._isolation.record_lost_connection(instance.id)
        is_counted = request.crash_limit is not None
        run = LostRun(digest_request(request), run_seconds, output_seconds, is_counted)
        self._crash_detector.record_lost_connection(run, instance)

    def is_connected(self, instance: InstanceInfo) -> bool:
        """Returns whether a connection to a server is kept; see the port."""
        return self._servers.is_connected(instance)

    async def probe(self, instance: InstanceInfo, timeout: float) -> PortState:
        """Probes whether a server listens; see the port."""
        return await self._servers.probe(instance, timeout)

    async def report(self, instance: InstanceInfo, timeout: float) -> EngineReport | None:
        """Requests an engine's report; see the port."""
        return await self._servers.report(instance, timeout)

    async def order(
        self, instance: InstanceInfo, order: VersionOrder, timeout: float
    ) -> OrderOutcome:
        """Sends an order to an engine; see the port."""
        return await self._servers.order(instance, order, timeout)
