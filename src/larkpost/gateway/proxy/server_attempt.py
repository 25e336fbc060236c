"""Sends a client request to one server and evaluates the outcome."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from larkpost.gateway.blackboard.configuration import RouteKind
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.known_crashes import CLIENT_CRASH_LIMIT
from larkpost.gateway.memory.budget import MemoryPurpose
from larkpost.gateway.proxy.attempts import Attempts
from larkpost.gateway.proxy.forwarder_dependencies import ForwarderDependencies
from larkpost.gateway.proxy.outcomes import Outcomes
from larkpost.gateway.proxy.request import StreamedResponse, WholeResponse
from larkpost.gateway.proxy.request_scheduler import RequestScheduler
from larkpost.gateway.proxy.response_body import join_chunks, read_until_limit
from larkpost.gateway.proxy.retry import failure_reason, implies_not_run, is_fallback
from larkpost.gateway.servers.port import (
    NO_CRASH_LIMIT,
    BrokenResponseError,
    NotRunError,
    OutgoingRequest,
    ServerResponse,
)

MIN_TIME_LEFT_SECONDS = 0.001
"""Minimum remaining time that is sent to a server with a request."""


class ServerAttempt:
    """Makes attempts at single servers."""

    def __init__(
        self, dependencies: ForwarderDependencies, scheduler: RequestScheduler, outcomes: Outcomes
    ) -> None:
        self._balancer = dependencies.balancer
        self._servers = dependencies.servers
        self._clock = dependencies.clock
        self._scheduler = scheduler
        self._outcomes = outcomes

    async def make(
        self, instance: InstanceInfo, attempts: Attempts
    ) -> WholeResponse | StreamedResponse | None:
        """Tries one server; returns None if it gave no response that the client should get."""
        started_at = self._clock.now()
        try:
            response, is_signed = await self._exchange(instance, attempts)
        except NotRunError as error:
            self._outcomes.record_not_run(instance, attempts, error)
            return None
        except BrokenResponseError as error:
            self._outcomes.record_started(attempts.request, started_at)
            self._outcomes.record_broken(instance, attempts, error.message)
            return None
        except asyncio.CancelledError:
            # Its deadline passed or another response came first; the server may have run it.
            self._outcomes.record_started(attempts.request, started_at)
            self._outcomes.record_cancelled(instance, attempts, started_at)
            raise
        self._outcomes.record_started(attempts.request, started_at)
        attempts.record_may_have_run(instance.id)
        self._balancer.record_response(instance, self._clock.now() - started_at)
        accepted = self._accept(instance, attempts, response, is_signed=is_signed)
        if accepted is None and isinstance(response, StreamedResponse):
            await response.abandon()
        return accepted

    @asynccontextmanager
    async def open(
        self, instance: InstanceInfo, attempts: Attempts
    ) -> AsyncIterator[ServerResponse]:
        """Sends a request and yields the response once its head has arrived.

        Raises:
            NotRunError: it certainly did not run.
            BrokenResponseError: it may have run.
        """
        outgoing = self._outgoing(instance, attempts)
        with self._balancer.count_request(instance.id), self._scheduler.running(attempts.waiter):
            async with self._servers.send(instance, outgoing) as response:
                self._scheduler.record_accepted(attempts.waiter)
                self._balancer.record_cold(instance.id, response.cold_left)
                yield response

    async def _exchange(
        self, instance: InstanceInfo, attempts: Attempts
    ) -> tuple[WholeResponse | StreamedResponse, bool]:
        """Returns a server's response, and whether the server signed it."""
        async with AsyncExitStack() as call:
            response = await call.enter_async_context(self.open(instance, attempts))
            self._balancer.record_load(instance.id, response.load)
            is_signed = response.signature is not None
            reservation = attempts.request.memory.reserve(MemoryPurpose.RESPONSES)
            chunks = response.chunks()
            buffered, is_whole = await read_until_limit(chunks, reservation)
            if is_whole:
                return WholeResponse(
                    response.status, response.headers, join_chunks(buffered)
                ), is_signed
            opened = StreamedResponse(
                response.status,
                response.headers,
                buffered,
                chunks,
                reservation,
                call.pop_all(),
                instance,
            )
            attempts.opened.append(opened)
            return opened, is_signed

    def _accept(
        self,
        instance: InstanceInfo,
        attempts: Attempts,
        response: WholeResponse | StreamedResponse,
        *,
        is_signed: bool,
    ) -> WholeResponse | StreamedResponse | None:
        """Returns a response if the client should get it; otherwise records the failure."""
        if implies_not_run(response.status, attempts.route.kind):
            reason = f"status {response.status} of a run"
            self._outcomes.record_broken(instance, attempts, reason)
            return None
        failure = failure_reason(response.status, is_signed=is_signed)
        if failure is None:
            self._outcomes.record_response(instance)
            return response
        self._outcomes.record_broken(instance, attempts, failure)
        is_whole_response = isinstance(response, WholeResponse)  # a streamed failure is abandoned
        if is_whole_response and is_fallback(response.status, is_signed=is_signed):
            attempts.last_failure = response
        return None

    def _outgoing(self, instance: InstanceInfo, attempts: Attempts) -> OutgoingRequest:
        """Returns the request to send to a server.

        A request that must run at most once gets a new connection, on which no response to an
        earlier request can arrive; an idempotent one may be repeated if a reused connection is
        dead.

        Raises:
            NotRunError: a placement rule forbids the send; nothing was sent.
        """
        request = attempts.request
        is_idempotent = attempts.route.kind is RouteKind.IDEMPOTENT
        time_left = attempts.waiter.deadlines.expires_at - self._clock.now()
        return OutgoingRequest(
            request_id=request.request_id,
            method=request.method,
            host=request.host,
            target=request.target,
            headers=request.headers,
            body=request.body,
            time_left=max(MIN_TIME_LEFT_SECONDS, time_left),
            fresh_connection=not is_idempotent,
            repeat_if_silent=is_idempotent,
            tenant=request.tenant,
            send_timeout=self._balancer.placement.admit(instance.id, attempts.waiter.work),
            crash_limit=NO_CRASH_LIMIT if attempts.is_trial else CLIENT_CRASH_LIMIT,
        )
