"""The server adapter: requests, reports and orders over HTTP."""

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import aiohttp
import orjson
from multidict import CIMultiDict
from yarl import URL

from larkpost.common.addresses import split_address
from larkpost.common.steady_time import steady_seconds
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    EngineReport,
    Headers,
    NotRunError,
    NotRunReason,
    OrderOutcome,
    OutgoingRequest,
    PortState,
    StreamEvent,
    VersionOrder,
)
from larkpost.platform import names
from larkpost.platform.connections import CallLimits, SilentConnectionError, make_session
from larkpost.platform.events import EventDecoder
from larkpost.platform.operator import UNREADABLE
from larkpost.platform.server_messages import (
    order_document,
    read_cold,
    read_load,
    read_report,
    read_whole,
)
from larkpost.platform.silence import CallKind, Peer, Silences

REFUSAL_BYTES = 4096
"""Longest body of a refusal that is read so that its connection serves again."""
REFUSAL_BODY_SECONDS = 0.05
"""Longest wait for it: it comes with its head, and the request wants another server at once."""
IDLE_TIME = re.compile(r"timeout=(\d+)")
CONNECT_FAILURES = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
LOST_CONNECTIONS = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
    ConnectionError,
)
"""How it shows that a connection was closed or reset before the whole answer had come."""
ANSWER_FAILURES = (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError)
ORDER_OUTCOMES = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.TAKEN,
    400: OrderOutcome.REJECTED,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.WRONG_INSTANCE,
}
EMPTY_STATUSES = (204, 304)
CONTROL_LIMITS = CallLimits(kind=CallKind.CONTROL)


class HttpResponse:
    """An answer from a server; implements `larkpost.gateway.servers.port.ServerResponse`."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        connection = response.connection
        self._protocol = connection.protocol if connection is not None else None
        self.status = response.status
        self.headers: Headers = tuple(response.raw_headers)
        self.load = read_load(response.headers)
        self.version = read_whole(response.headers, names.WEIGHT_VERSIONS)
        self.cold_left = read_cold(response.headers)
        self.signature = response.headers.get(names.SERVER_STAMP.decode())

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; see the port."""
        if "Content-Encoding" in self._response.headers:
            raise BrokenResponseError("the body is encoded, though no encoding was asked for")
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except ANSWER_FAILURES as error:
            raise _broken("", error) from None
        if self._was_reset():
            raise BrokenResponseError(
                "a body without a length ended in a reset", connection_lost=True
            )

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yields the body's events; see the port."""
        decoder = EventDecoder()
        async for chunk in self.chunks():
            try:
                for event in decoder.feed(chunk):
                    yield event
            except ValueError as error:
                raise BrokenResponseError(f"no event stream: {error}") from None
        if decoder.partial:
            raise BrokenResponseError("the stream ended within an event", connection_lost=True)

    def _was_reset(self) -> bool:
        """Tells whether a body without a length ended otherwise than by an orderly close."""
        headers = self._response.headers
        framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if framed or self.status in EMPTY_STATUSES:
            return False
        if self._protocol is None:
            return True
        return not isinstance(self._protocol.exception(), aiohttp.ServerDisconnectedError)


class HttpServers:
    """Sends requests and orders to servers; implements `larkpost.gateway.servers.port.ServerPort`.

    Args:
        metrics: counts connections that go silent.
        log: notes them.
    """

    def __init__(self, metrics: Metrics | None = None, log: EventLog | None = None) -> None:
        silences = Silences(Peer.SERVER, metrics, log)
        self._kept = make_session(silences)
        self._fresh = make_session(silences, keep=False)

    async def close(self) -> None:
        """Closes all connections."""
        await self._kept.close()
        await self._fresh.close()

    @asynccontextmanager
    async def send(
        self, instance: InstanceInfo, request: OutgoingRequest
    ) -> AsyncIterator[HttpResponse]:
        """Sends a request; see the port."""
        session = self._fresh if request.fresh_connection else self._kept
        try:
            response = await self._begin(session, instance, request)
        except CONNECT_FAILURES:
            raise NotRunError(NotRunReason.UNREACHABLE) from None
        except ANSWER_FAILURES as error:
            raise _broken("no answer: ", error) from None
        try:
            _record_idle_time(session, instance, response)
            try:
                _check_ran(response, instance, request)
            except NotRunError:
                await self._read_refusal(response, instance, request)
                raise
            yield HttpResponse(response)
        finally:
            response.close()

    async def probe(self, instance: InstanceInfo, timeout: float) -> PortState:
        """Sees whether a server listens; see the port."""
        host, port = split_address(instance.address)
        try:
            async with asyncio.timeout(timeout):
                _, writer = await asyncio.open_connection(host, port)
        except ConnectionRefusedError:
            return PortState.DEAD  # what was asked
        except (TimeoutError, OSError):
            return PortState.SILENT  # nothing is known: the machine or the way to it may be gone
        writer.transport.abort()
        return PortState.LISTENS

    async def report(self, instance: InstanceInfo, timeout: float) -> EngineReport | None:
        """Asks an engine for its report; see the port.

        A late answer to an earlier request on the connection names that request, or is no report.
        """
        headers = {names.EXPECT_INSTANCE.decode(): instance.id}
        try:
            status, content = await self._call(
                "GET", instance, names.REPORT_CALL, None, headers, timeout
            )
            if status != 200:
                return None
            return read_report(content)
        except (BrokenResponseError, *ANSWER_FAILURES, *UNREADABLE):
            return None  # the loader notes it and asks again

    async def order(
        self, instance: InstanceInfo, order: VersionOrder, timeout: float
    ) -> OrderOutcome:
        """Gives an engine an order; see the port."""
        headers = {
            names.EXPECT_INSTANCE.decode(): instance.id,
            "Content-Type": "application/json",
        }
        body = orjson.dumps(order_document(order))
        try:
            status, _ = await self._call("POST", instance, names.ORDER_CALL, body, headers, timeout)
        except (BrokenResponseError, *ANSWER_FAILURES):
            return OrderOutcome.UNKNOWN  # the next report shows whether it was carried out
        return ORDER_OUTCOMES.get(status, OrderOutcome.UNKNOWN)

    @property
    def held(self) -> int:
        """The connections to servers that are open."""
        return self._kept.connector.held + self._fresh.connector.held

    def is_connected(self, instance: InstanceInfo) -> bool:
        """Tells whether an idle connection to a server is kept; see the port."""
        return self._kept.connector.has_idle(instance.address)

    async def _begin(
        self, session: aiohttp.ClientSession, instance: InstanceInfo, request: OutgoingRequest
    ) -> aiohttp.ClientResponse:
        """Sends a request and returns the head of its answer.

        One that may be repeated is sent again, once, if its connection has gone silent.
        """
        limits = CallLimits(connect=request.send_within, is_sent_once=True)
        if not request.repeat_if_silent or request.send_within is not None:
            # A send that is limited was counted once, so it is made once.
            return await _send_once(session, instance, request, limits)
        began = steady_seconds()
        try:
            limits = CallLimits(ends_if_silent=True, is_sent_once=True)
            return await _send_once(session, instance, request, limits)
        except SilentConnectionError:
            left = request.time_left
            if left is not None:
                left -= steady_seconds() - began
            again = replace(request, time_left=left)
        limits = CallLimits(is_sent_once=True)
        return await _send_once(self._kept, instance, again, limits)

    async def _read_refusal(
        self, response: aiohttp.ClientResponse, instance: InstanceInfo, request: OutgoingRequest
    ) -> None:
        """Reads a short refusal to its end, so that its connection serves again.

        A refusal that does not name its request loses the connection: were it to come a second
        time, it would pass for the refusal of the next request.
        """
        if response.headers.get(names.REQUEST_ID.decode()) != request.request_id.decode("latin-1"):
            response.close()
            self._kept.connector.close_idle(instance.address)
            return
        length = response.content_length
        if length is None or length > REFUSAL_BYTES:
            return
        try:
            async with asyncio.timeout(REFUSAL_BODY_SECONDS):
                await response.read()
        except ANSWER_FAILURES:
            return  # only the connection is lost: the head has said that the request did not run

    async def _call(
        self,
        method: str,
        instance: InstanceInfo,
        call: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout: float,
    ) -> tuple[int, bytes]:
        """Makes a call that may be lost or made twice without harm, on a kept connection.

        Raises:
            BrokenResponseError: the answer belongs to a request that was sent earlier.
        """
        url = URL(f"http://{instance.address}{call}", encoded=True)
        async with (
            asyncio.timeout(timeout),
            self._kept.request(
                method, url, data=body, headers=headers, timeout=CONTROL_LIMITS
            ) as response,
        ):
            if names.REQUEST_ID.decode() in response.headers:
                response.close()
                raise BrokenResponseError("the answer belongs to an earlier request")
            _record_idle_time(self._kept, instance, response)
            return response.status, await response.read()


async def _send_once(
    session: aiohttp.ClientSession,
    instance: InstanceInfo,
    request: OutgoingRequest,
    limits: CallLimits,
) -> aiohttp.ClientResponse:
    return await session.request(
        request.method,
        URL(f"http://{instance.address}{request.target.decode('latin-1')}", encoded=True),
        data=request.body or None,
        headers=_headers(instance, request),
        allow_redirects=False,
        timeout=limits,
    )


def _headers(instance: InstanceInfo, request: OutgoingRequest) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in request.headers:
        headers.add(name.decode("latin-1"), value.decode("latin-1"))
    headers["Host"] = request.host.decode("latin-1")
    headers[names.REQUEST_ID.decode()] = request.request_id.decode("latin-1")
    headers[names.EXPECT_INSTANCE.decode()] = instance.id
    if request.time_left is not None:
        headers[names.DEADLINE_MS.decode()] = str(max(1, int(request.time_left * 1000)))
    if request.resume_after is not None:
        headers[names.LAST_EVENT_ID.decode()] = str(request.resume_after)
    if request.expected_version is not None:
        headers[names.EXPECT_VERSION.decode()] = str(request.expected_version)
    if request.tenant is not None:
        headers[names.TENANT.decode()] = request.tenant
    if request.priority is not None:
        headers[names.REQUEST_PRIORITY.decode()] = str(request.priority)
    return headers


def _broken(prefix: str, error: Exception) -> BrokenResponseError:
    """Returns the error for an answer that did not come whole."""
    return BrokenResponseError(
        f"{prefix}{type(error).__name__}: {error}",
        connection_lost=isinstance(error, LOST_CONNECTIONS),
    )


def _record_idle_time(
    session: aiohttp.ClientSession, instance: InstanceInfo, response: aiohttp.ClientResponse
) -> None:
    """Keeps how long the server says that it leaves the connection open while it rests."""
    told = IDLE_TIME.search(response.headers.get("Keep-Alive", ""))
    if told is not None:
        session.connector.record_idle_time(instance.address, float(told[1]))


def _check_ran(
    response: aiohttp.ClientResponse, instance: InstanceInfo, request: OutgoingRequest
) -> None:
    """Raises unless the answer belongs to the request and the request ran.

    Raises:
        NotRunError: the server says that it did not run it.
        BrokenResponseError: the answer belongs to another request.
    """
    echo = response.headers.get(names.REQUEST_ID.decode())
    own = request.request_id.decode("latin-1")
    if echo is not None and echo != own:
        raise BrokenResponseError("the answer belongs to another request")
    if response.status == 421:
        found = response.headers.get(names.INSTANCE_ID.decode(), instance.id)
        replaced = found != instance.id
        raise NotRunError(NotRunReason.REPLACED if replaced else NotRunReason.MISDIRECTED)
    if names.NOT_EXECUTED.decode() in response.headers:
        raise NotRunError(NotRunReason.FULL, read_cold(response.headers))
    if echo is None:
        raise BrokenResponseError("the answer names no request")
