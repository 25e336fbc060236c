"""The port to servers for all requests: what crashes them is recognised here, and sent on no more.

Relies on the known crashes for what is quarantined, and has the watch and the recorder learn more.
Client requests, items of batches and reward calls are all sent through this port, so none of them
can be sent on, or be left out of the count, by a path of its own.
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
"""Below this status a signed response shows that the server ran the request whole."""


class QuarantineServerPort:
    """Servers that are sent no quarantined request; implements `ServerPort`."""

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
        """Asks whether a server listens; see the port."""
        return await self._servers.probe(instance, timeout)

    async def report(self, instance: InstanceInfo, timeout: float) -> EngineReport | None:
        """Asks an engine for its report; see the port."""
        return await self._servers.report(instance, timeout)

    async def order(
        self, instance: InstanceInfo, order: VersionOrder, timeout: float
    ) -> OrderOutcome:
        """Gives an engine an order; see the port."""
        return await self._servers.order(instance, order, timeout)
