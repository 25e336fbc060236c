"""The ASGI application for clients: serves each request while its client is connected.

It applies the request limits, cancels the work if the client disconnects, and passes the request to
the forwarder or to the batch endpoints, as its route requires. `larkpost.gateway.proxy.admission`
determines the route.
"""

import asyncio
import contextlib
import math
from contextlib import AbstractContextManager, aclosing, nullcontext

from larkpost.common.errors import LarkpostError
from larkpost.gateway.blackboard.configuration import (
    ConfigurationState,
    RequestLimits,
    Route,
    RouteKind,
)
from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.memory.budget import MemoryPurpose
from larkpost.gateway.memory.daemon_memory import DaemonMemory, RequestMemory, unlimited_memory
from larkpost.gateway.memory.delivery import Delivery, SlowClientError
from larkpost.gateway.memory.read_ahead import BufferedBody, read_ahead
from larkpost.gateway.proxy.admission import Admission
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.gateway.proxy.request import ClientRequest, StreamedResponse
from larkpost.gateway.rollouts.service import BatchService
from larkpost.platform import names
from larkpost.platform.asgi import ClientDisconnectedError, Receive, Send
from larkpost.platform.batch_endpoints import BatchEndpoints
from larkpost.platform.client_call import BodyStalledError, ClientCall
from larkpost.platform.client_response import ClientResponse

TOO_LARGE = 413
HEAD_TOO_LARGE = 431
BATCH_CALL_SECONDS = 1.0
"""Time in which a call about a batch is expected to end. A daemon that stops answers those that
take longer with an error at its end."""
LOOP_TURNS_TO_DETECT_CLOSE = 4
"""Number of event loop iterations after reading a request's last byte within which a close that is
already in the socket is detected: read EOF, notify the protocol, wake the waiting task, complete
the task."""


class Ingress:
    """The ASGI application for clients."""

    def __init__(
        self,
        configuration: ConfigurationState,
        lifecycle: Lifecycle,
        admission: Admission,
        forwarder: Forwarder,
        batches: BatchService,
        memory: DaemonMemory | None = None,
    ) -> None:
        self._configuration = configuration
        self._lifecycle = lifecycle
        self._admission = admission
        self._forwarder = forwarder
        self._batch_endpoints = BatchEndpoints(admission, batches)
        self._memory = memory if memory is not None else unlimited_memory()

    def limits(self) -> RequestLimits:
        """Returns the current request limits."""
        current = self._configuration.current
        return current.limits if current is not None else RequestLimits()

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Responds to one request."""
        with self._memory.request() as memory:
            call = ClientCall(scope, receive, memory)
            with self._track_delivery(call) as delivery:
                response = ClientResponse(send, call.request_id, self._lifecycle, delivery)
                response.connection = call.client_connection
                with self._lifecycle.request():
                    await self._handle(call, response)
                    if delivery is not None:
                        await _wait_until_delivered(delivery, memory)

    def _track_delivery(self, call: ClientCall) -> AbstractContextManager[Delivery | None]:
        """Returns a context that tracks the response's delivery if the memory is limited."""
        if call.client_connection is None or not self._memory.is_limited:
            return nullcontext()
        return self._memory.delivery(call.client_connection, call.memory)

    async def _handle(self, call: ClientCall, response: ClientResponse) -> None:
        try:
            await self._respond(call, response)
        except ClientDisconnectedError:
            return  # nobody receives a response
        except LarkpostError as error:
            response.closes_connection = call.expects_continue or isinstance(
                error, BodyStalledError
            )
            await response.send_error(error)

    async def _respond(self, call: ClientCall, response: ClientResponse) -> None:
        if call.is_head_too_large:
            await response.send_whole(HEAD_TOO_LARGE)
            return
        if call.memory.is_limited:
            self._check_admitted(call)
        body = await call.read_body(self.limits().body_bytes)
        if body is None:
            response.closes_connection = call.expects_continue
            await response.send_whole(TOO_LARGE)
            return
        disconnect = asyncio.create_task(call.wait_for_disconnect())
        try:
            if not call.path.startswith(names.RESERVED_PATH_PREFIX):
                await _detect_close(disconnect)
            await self._serve_while_connected(disconnect, call, response, body)
        finally:
            disconnect.cancel()

    def _check_admitted(self, call: ClientCall) -> None:
        """Checks a request's head before any memory is reserved for its body.

        Raises:
            LarkpostError: the configuration does not admit the request, or the request is a batch
                that can never fit into memory.
        """
        if call.path.startswith(names.RESERVED_PATH_PREFIX):
            self._admission.caller(call.request_id_text, call.host_name, call.key)
        else:
            admitted = self._admission.admit(
                call.request_id_text, call.host_name, call.path, call.key
            )
            declared = call.int_header(b"content-length") or 0
            if admitted.route.kind is RouteKind.BATCH and declared <= self.limits().body_bytes:
                self._batch_endpoints.check_size(call, declared)

    async def _serve_while_connected(
        self,
        disconnect: asyncio.Task,
        call: ClientCall,
        response: ClientResponse,
        body: bytes | bytearray,
    ) -> None:
        """Serves a request as long as its client is connected.

        Raises:
            ClientDisconnectedError: the client closed its connection; the work was cancelled.
            StoppedError: the daemon's shutdown ended before a response began; likewise.
            StoppingError: it ended before the request was served, or it was only a read.
        """
        if self._lifecycle.has_expired:
            raise self._admission.refusal_while_stopping(call.request_id_text)
        work = asyncio.create_task(self._serve(call, response, body))
        try:
            await asyncio.wait(
                {work, disconnect, self._lifecycle.expiry}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done() and not disconnect.done():
                if not response.has_started:
                    raise self._stop_error(call)
                await asyncio.wait({work, disconnect}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise ClientDisconnectedError
            await work
        finally:
            work.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await work

    def _stop_error(self, call: ClientCall) -> LarkpostError:
        """Returns the error for a request without a response at the end of the shutdown."""
        if call.path.startswith(names.RESERVED_PATH_PREFIX) and call.method == "GET":
            return self._admission.refusal_while_stopping(call.request_id_text)
        return self._admission.failure_at_stop(call.request_id_text)

    def _check_can_finish(self, call: ClientCall, expires_at: float) -> None:
        """Checks that a daemon that is stopping can still finish a request.

        Raises:
            StoppingError: it might not end in time; it did not run.
        """
        now = asyncio.get_running_loop().time()
        if not self._lifecycle.admits(now, expires_at):
            raise self._admission.refusal_while_stopping(call.request_id_text)

    async def _serve(
        self, call: ClientCall, response: ClientResponse, body: bytes | bytearray
    ) -> None:
        now = asyncio.get_running_loop().time()
        if call.path.startswith(names.RESERVED_PATH_PREFIX):
            self._check_can_finish(call, now + BATCH_CALL_SECONDS)
            await self._batch_endpoints.serve(call, response)
            return
        admitted = self._admission.admit(call.request_id_text, call.host_name, call.path, call.key)
        route = admitted.route
        self._check_can_finish(call, _expires_at(call, route, now))
        if route.kind is RouteKind.BATCH:
            await self._batch_endpoints.submit(call, response, body, admitted.tenant)
        elif route.kind is RouteKind.STREAM:
            await self._stream(call.to_client_request(body, admitted), route, response)
        else:
            await self._forward(call.to_client_request(body, admitted), route, response)

    async def _forward(
        self, request: ClientRequest, route: Route, response: ClientResponse
    ) -> None:
        forwarded = await self._forwarder.forward(request, route)
        if not isinstance(forwarded, StreamedResponse):
            await response.send_whole(forwarded.status, forwarded.body, forwarded.headers)
            return
        async with forwarded:
            await response.begin_with_length(forwarded.status, forwarded.headers)
            body = BufferedBody(forwarded.rest, forwarded.reservation, forwarded.buffered)
            await self._send_body(body, response)

    async def _stream(self, request: ClientRequest, route: Route, response: ClientResponse) -> None:
        async with self._forwarder.stream(request, route) as streamed:
            await response.begin(streamed.status, streamed.headers)
            stream_reservation = request.memory.reserve(MemoryPurpose.STREAMS)
            await self._send_body(BufferedBody(streamed.chunks(), stream_reservation), response)

    async def _send_body(self, body: BufferedBody, response: ClientResponse) -> None:
        async with aclosing(read_ahead(body, response.delivery, self._memory)) as parts:
            async for part in parts:
                await response.send_chunk(part)
        await response.finish()


def _expires_at(call: ClientCall, route: Route, now: float) -> float:
    """Returns the event loop time by which a request has surely ended; infinite for a stream."""
    if route.kind is RouteKind.STREAM:
        return math.inf
    if route.kind is RouteKind.BATCH:
        return now + BATCH_CALL_SECONDS
    return call.received_at + min(route.time_limit, call.time_left or math.inf)


async def _wait_until_delivered(delivery: Delivery, memory: RequestMemory) -> None:
    """Keeps memory reserved for the unsent bytes of a response until they have been delivered."""
    if delivery.unsent == 0:
        return
    memory.shrink_to(MemoryPurpose.RESPONSES, delivery.unsent)
    with contextlib.suppress(SlowClientError):  # logged where the connection is closed
        await delivery.wait_until_drained()


async def _detect_close(disconnect: asyncio.Task) -> None:
    """Lets the event loop detect a close that the client sent right after its request.

    A daemon that was busy or suspended reads requests whose clients have disconnected meanwhile.

    Raises:
        ClientDisconnectedError: the client has closed its connection.
    """
    for _ in range(LOOP_TURNS_TO_DETECT_CLOSE):
        await asyncio.sleep(0)
    if disconnect.done():
        raise ClientDisconnectedError
