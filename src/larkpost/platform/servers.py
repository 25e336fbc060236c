"""The adapter to model servers: sends requests and control calls to them over HTTP.

Control calls are status reports and orders to load weight versions. There are two sessions: one
reuses connections, the other opens a connection for each request. The modules ``server_*`` define
the formats of requests and responses.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import aiohttp

from larkpost.common.addresses import split_address
from larkpost.common.steady_time import steady_seconds
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.servers.port import (
    EngineReport,
    NotRunError,
    NotRunReason,
    OrderOutcome,
    OutgoingRequest,
    PortState,
    VersionOrder,
)
from larkpost.platform.connections import make_session
from larkpost.platform.dead_connections import DeadConnectionDetector, UpstreamKind
from larkpost.platform.server_control import ControlClient
from larkpost.platform.server_refusals import check_executed, drain_refusal
from larkpost.platform.server_requests import send_once
from larkpost.platform.server_responses import (
    RESPONSE_FAILURES,
    HttpResponse,
    broken_response,
    record_keep_alive,
)
from larkpost.platform.watched_connection import CallOptions, DeadConnectionError

CONNECT_FAILURES = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""Errors raised if no connection could be made, so nothing was sent."""


class HttpServers:
    """Sends requests and control calls; implements `larkpost.gateway.servers.port.ServerPort`.

    Args:
        metrics: counts dead connections.
        log: records dead connections.
    """

    def __init__(self, metrics: Metrics | None = None, log: EventLog | None = None) -> None:
        detector = DeadConnectionDetector(UpstreamKind.SERVER, metrics, log)
        self._pooled = make_session(detector)
        self._unpooled = make_session(detector, keep_alive=False)
        self._control = ControlClient(self._pooled)

    async def close(self) -> None:
        """Closes all connections."""
        await self._pooled.close()
        await self._unpooled.close()

    @asynccontextmanager
    async def send(
        self, instance: InstanceInfo, request: OutgoingRequest
    ) -> AsyncIterator[HttpResponse]:
        """Sends a request; see `ServerPort.send`."""
        session = self._unpooled if request.fresh_connection else self._pooled
        response = await self._receive_head(session, instance, request)
        try:
            record_keep_alive(session.connector, instance.address, response)
            try:
                check_executed(response, instance, request)
            except NotRunError:
                await drain_refusal(response, instance, request, self._pooled.connector)
                raise
            yield HttpResponse(response)
        finally:
            response.close()

    async def probe(self, instance: InstanceInfo, timeout: float) -> PortState:
        """Checks whether a server listens; see `ServerPort.probe`."""
        host, port = split_address(instance.address)
        try:
            async with asyncio.timeout(timeout):
                _, writer = await asyncio.open_connection(host, port)
        except ConnectionRefusedError:
            return PortState.DEAD  # the machine is up and nothing listens
        except (TimeoutError, OSError):
            return PortState.UNRESPONSIVE  # unknown: the machine or the network may be down
        writer.transport.abort()
        return PortState.LISTENS

    async def report(self, instance: InstanceInfo, timeout: float) -> EngineReport | None:
        """Requests an engine's report; see `ServerPort.report`."""
        return await self._control.report(instance, timeout)

    async def order(
        self, instance: InstanceInfo, order: VersionOrder, timeout: float
    ) -> OrderOutcome:
        """Orders an engine to load a weight version; see `ServerPort.order`."""
        return await self._control.order(instance, order, timeout)

    @property
    def open_connections(self) -> int:
        """The number of open connections to servers, in use or idle."""
        return self._pooled.connector.open_connections + self._unpooled.connector.open_connections

    def is_connected(self, instance: InstanceInfo) -> bool:
        """Returns whether there is a reusable idle connection; see `ServerPort.is_connected`."""
        return self._pooled.connector.has_idle(instance.address)

    async def _receive_head(
        self, session: aiohttp.ClientSession, instance: InstanceInfo, request: OutgoingRequest
    ) -> aiohttp.ClientResponse:
        """Sends a request and returns the response once its head has arrived.

        Raises:
            NotRunError: no connection could be made.
            BrokenResponseError: no response head arrived.
        """
        try:
            return await self._send(session, instance, request)
        except CONNECT_FAILURES:
            raise NotRunError(NotRunReason.UNREACHABLE) from None
        except RESPONSE_FAILURES as error:
            raise broken_response("no response: ", error) from None

    async def _send(
        self, session: aiohttp.ClientSession, instance: InstanceInfo, request: OutgoingRequest
    ) -> aiohttp.ClientResponse:
        """Sends a request; sends a repeatable request once more if its connection is dead."""
        if not request.repeat_if_silent or request.send_timeout is not None:
            # A request with a send timeout was counted once against a rate limit: send it once.
            options = _options(request, connect=request.send_timeout)
            return await send_once(session, instance, request, options)
        began = steady_seconds()
        options = _options(request, aborts_if_dead=True)
        try:
            return await send_once(session, instance, request, options)
        except DeadConnectionError:
            again = _with_remaining_time(steady_seconds() - began, request)
        return await send_once(self._pooled, instance, again, _options(again))


def _options(request: OutgoingRequest, **options: Any) -> CallOptions:
    """Returns the options of a request; the runs of an item, for example, share its id."""
    return CallOptions(response_key=request.request_id, disables_retry=True, **options)


def _with_remaining_time(elapsed: float, request: OutgoingRequest) -> OutgoingRequest:
    """Returns a request with its remaining time reduced by ``elapsed`` seconds."""
    if request.time_left is None:
        return request
    return replace(request, time_left=request.time_left - elapsed)
