"""Server port that refuses quarantined requests and detects new crashes.

Relies on the known crashes for what is quarantined, and reports to the crash detector and the
recorder. Client requests, batch items and reward calls all go through this port, so none of them
can bypass the quarantine or the crash count.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, nullcontext

from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.known_crashes import KnownCrashes
from larkpost.gateway.blackboard.request_content import digest_request
from larkpost.gateway.quarantine.crash_detector import CrashDetector
from larkpost.gateway.quarantine.crash_recorder import CrashRecorder
from larkpost.gateway.quarantine.isolation_rule import IsolationRule
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
    ) -> None:
        self._servers = servers
        self._crashes = crashes
        self._crash_detector = detector
        self._recorder = recorder
        self._isolation = isolation

    @asynccontextmanager
    async def send(
        self, instance: InstanceInfo, request: OutgoingRequest
    ) -> AsyncIterator[ServerResponse]:
        """Sends a request; see the port."""
        if self._crashes.is_quarantined(request, request.crash_limit):
            raise NotRunError(NotRunReason.QUARANTINED)
        is_suspect = self._crashes.suspect(request) is not None
        try:
            with self._isolation.track_suspect(instance.id) if is_suspect else nullcontext():
                async with self._servers.send(instance, request) as response:
                    yield response
        except BrokenResponseError as error:
            if error.connection_lost:
                self._crash_detector.record_lost_connection(digest_request(request), instance)
            raise
        if response.status < MIN_FAILURE_STATUS and response.signature is not None:
            self._recorder.record_success(request)

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
