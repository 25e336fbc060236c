"""Forwards client requests to servers, within limits on the number of servers and on time.

An idempotent request is tried at a second server when the first has failed or is slow to respond;
the first whole response wins and the other attempt is cancelled. A request that must run at most
once is sent to another server only after proof that it did not run.

A request that no server accepts waits in the queue of its service while its forecast says that it
can still be served, and is refused afterwards.

Contains only the attempt loops. `request_scheduler` decides whether a request may be tried,
`server_choice` at which server, and `retry` what the outcome means; `server_attempt` makes one
attempt and `outcomes` records it.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

from larkpost.gateway.blackboard.configuration import Route, RouteKind
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.proxy.attempts import Attempts
from larkpost.gateway.proxy.forwarder_dependencies import ForwarderDependencies
from larkpost.gateway.proxy.outcomes import Outcomes
from larkpost.gateway.proxy.request import ClientRequest, StreamedResponse, WholeResponse
from larkpost.gateway.proxy.request_scheduler import RequestScheduler
from larkpost.gateway.proxy.retry import (
    UNSIGNED_SUCCESS,
    implies_not_run,
    is_unsigned_success,
    max_servers,
)
from larkpost.gateway.proxy.server_attempt import ServerAttempt
from larkpost.gateway.proxy.server_choice import ServerChoice
from larkpost.gateway.proxy.streamed_body import StreamedBody
from larkpost.gateway.servers.port import BrokenResponseError, NotRunError, ServerResponse

Response = WholeResponse | StreamedResponse


class Forwarder:
    """Forwards requests to the servers of the service that is selected for their route."""

    def __init__(self, dependencies: ForwarderDependencies) -> None:
        self._clock = dependencies.clock
        self._scheduler = RequestScheduler(dependencies)
        self._choice = ServerChoice(dependencies, self._scheduler)
        self._outcomes = Outcomes(dependencies)
        self._attempt = ServerAttempt(dependencies, self._scheduler, self._outcomes)
        dependencies.balancer.add_release_listener(self._scheduler.record_released)

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a slot."""
        return self._scheduler.waiting

    async def forward(self, request: ClientRequest, route: Route) -> Response:
        """Returns a server's response: whole, or streamed if it is too large to buffer.

        Raises:
            RefusedError: the request did not run.
            QuarantinedError: it did not run, as servers have crashed on requests like it.
            RequestFailedError: it may have run.
            RequestTimeoutError: its deadline passed.
        """
        attempts, must_wait = self._scheduler.begin(request, route)
        response = None
        try:
            async with asyncio.timeout_at(attempts.waiter.deadlines.expires_at):
                if await self._scheduler.wait_for_admission(attempts, must_wait=must_wait):
                    response = await self._forward_by_kind(attempts)
        except TimeoutError:
            raise self._outcomes.failure(attempts, timed_out=True) from None
        finally:
            await attempts.close_unused(response)
        if response is None:
            raise self._outcomes.failure(attempts, timed_out=False)
        if isinstance(response, StreamedResponse):
            rest = StreamedBody(response, attempts, self._outcomes, self._clock)
            return replace(response, rest=rest)
        self._outcomes.record_done(attempts, response.status)
        return response

    @asynccontextmanager
    async def stream(self, request: ClientRequest, route: Route) -> AsyncIterator[ServerResponse]:
        """Opens a stream at a server; the caller forwards its events as they arrive.

        Raises:
            RefusedError: the request did not run.
            QuarantinedError: it did not run, as servers have crashed on requests like it.
            RequestFailedError: it may have run.
            RequestTimeoutError: no response began before its deadline; it may have run.
        """
        attempts, must_wait = self._scheduler.begin(request, route)
        if not await self._scheduler.wait_for_admission(attempts, must_wait=must_wait):
            raise self._outcomes.failure(attempts, timed_out=False)
        while True:
            instance = await self._next_server(attempts)
            if instance is None:
                raise self._outcomes.failure(attempts, timed_out=False)
            try:
                async with (
                    asyncio.timeout_at(attempts.waiter.deadlines.expires_at) as limit,
                    self._attempt.open(instance, attempts) as response,
                ):
                    limit.reschedule(None)  # once begun, the stream has no deadline
                    self._outcomes.record_started(request, self._clock.now())
                    attempts.record_may_have_run(instance.id)
                    if implies_not_run(response.status, route.kind):
                        raise BrokenResponseError(f"status {response.status} of a run")
                    is_signed = response.signature is not None
                    if is_unsigned_success(response.status, is_signed=is_signed):
                        raise BrokenResponseError(UNSIGNED_SUCCESS)
                    self._outcomes.record_forecast_served(attempts, response.status)
                    yield response
                    return
            except TimeoutError:
                attempts.record_may_have_run(instance.id)
                raise self._outcomes.failure(attempts, timed_out=True) from None
            except NotRunError as error:
                self._outcomes.record_not_run(instance, attempts, error)
            except BrokenResponseError:
                attempts.record_may_have_run(instance.id)
                raise self._outcomes.failure(attempts, timed_out=False) from None

    async def _forward_by_kind(self, attempts: Attempts) -> Response | None:
        if attempts.route.kind is RouteKind.IDEMPOTENT:
            return await self._forward_idempotent(attempts)
        return await self._forward_once(attempts)

    async def _next_server(self, attempts: Attempts) -> InstanceInfo | None:
        """Waits for the server to try next; returns None if the request is refused."""
        while True:
            instance = self._choice.choose(attempts)
            if instance is not None:
                return instance
            if not await self._scheduler.wait_for_admission(attempts, must_wait=True):
                return None

    async def _forward_once(self, attempts: Attempts) -> Response | None:
        """Tries servers one after the other until one may have run the request."""
        max_count = _max_servers(attempts)
        while True:
            instance = await self._next_server(attempts)
            if instance is None:
                return None
            response = await self._attempt.make(instance, attempts)
            if response is not None or len(attempts.may_have_run_on) >= max_count:
                return response or attempts.last_failure

    async def _forward_idempotent(self, attempts: Attempts) -> Response | None:
        """Tries servers one after the other, and a second one in parallel if the first is slow."""
        max_count = _max_servers(attempts)
        running: set[asyncio.Task] = set()
        try:
            while True:
                instance = (
                    self._choice.choose(attempts)
                    if len(attempts.may_have_run_on) < max_count
                    else None
                )
                if instance is not None:
                    # The attempt counts as possibly run until it is known not to have run.
                    attempts.record_may_have_run(instance.id)
                    running.add(asyncio.create_task(self._attempt.make(instance, attempts)))
                elif not running:
                    if attempts.may_have_run_on or not await self._scheduler.wait_for_admission(
                        attempts, must_wait=True
                    ):
                        return attempts.last_failure
                    continue
                may_hedge = len(attempts.may_have_run_on) < max_count
                delay = self._choice.hedge_delay(attempts) if may_hedge else None
                done, running = await asyncio.wait(
                    running, timeout=delay, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    response = task.result()
                    if response is not None:
                        return response
        finally:
            for task in running:
                task.cancel()


def _max_servers(attempts: Attempts) -> int:
    """Returns the maximum number of servers that may run a request, given its present state."""
    route = attempts.route
    return max_servers(route.kind, route.max_attempts, is_trial=attempts.is_trial)
