"""Forwards client requests to servers: attempts within budgets of servers and time.

A request that may run more than once is tried at a second server when the first has failed or has
been silent for long; the first whole answer wins and the other attempt is cancelled. A request
that must run at most once goes on to another server only after proof that it did not run.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from larkpost.clock import Clock
from larkpost.errors import LarkpostError, Ran
from larkpost.eventlog import Event, EventLog
from larkpost.fleet.configuration import Route, RouteKind, ServiceName
from larkpost.fleet.directory import Directory, InstanceInfo
from larkpost.ids import EngineId
from larkpost.metrics import Count, Metrics, Timing
from larkpost.placement.work import CLIENT_WORK, Work
from larkpost.policy import DEFAULT_POLICY, Policy
from larkpost.proxy.balancer import Balancer
from larkpost.proxy.port import (
    BrokenAnswerError,
    NotRunError,
    OutgoingRequest,
    ServerAnswer,
    ServerPort,
)
from larkpost.proxy.request import (
    ClientRequest,
    RefusedError,
    RequestFailedError,
    RequestTimeoutError,
    WholeAnswer,
)
from larkpost.proxy.shares import ShareChooser
from larkpost.usage.counter import UsageCounter

MIN_HEDGE_SECONDS = 0.1
HEDGE_PACE_FACTOR = 3.0
RETRY_AFTER_SECONDS = 0.2
FULL_AVOID_SECONDS = 0.05
BROKEN_AVOID_SECONDS = 0.3
SILENT_AVOID_SECONDS = 1.0
REFUSAL_PAUSE_SECONDS = 0.02
REFUSE_AFTER_SHARE = 0.2
"""Share of the objective after which a request that found no place is refused."""


@dataclass(slots=True)
class _Attempts:
    """The attempts of one request.

    Attributes:
        ran_at: servers that may have run it.
        refused_by: servers that certainly did not.
        last: the last failure that a server answered in full.
        work: what the rules of placement ask of it.
    """

    ran_at: set[EngineId] = field(default_factory=set)
    refused_by: set[EngineId] = field(default_factory=set)
    last: WholeAnswer | None = None
    work: Work = CLIENT_WORK


class Forwarder:
    """Forwards requests to the servers of their route's service."""

    def __init__(
        self,
        directory: Directory,
        balancer: Balancer,
        servers: ServerPort,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        shares: ShareChooser,
        policy: Policy = DEFAULT_POLICY,
        usage: UsageCounter | None = None,
    ) -> None:
        self._policy = policy
        self._usage = usage
        self._directory = directory
        self._balancer = balancer
        self._servers = servers
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._shares = shares

    async def forward(self, request: ClientRequest, route: Route) -> WholeAnswer:
        """Returns a server's whole answer.

        Raises:
            RefusedError: the request did not run.
            RequestFailedError: it may have run.
            RequestTimeoutError: its time is over.
        """
        service = self._shares.choose(route)
        attempts = _Attempts()
        end_at = self._end_time(request, route)
        try:
            async with asyncio.timeout_at(end_at):
                if route.kind is RouteKind.IDEMPOTENT:
                    answer = await self._forward_repeatable(request, route, service, attempts)
                else:
                    answer = await self._forward_once(request, route, service, attempts)
        except TimeoutError:
            raise self._failure(request, route, service, attempts, timed_out=True) from None
        if answer is None:
            raise self._failure(request, route, service, attempts, timed_out=False)
        self._note_done(request, route, attempts, answer)
        return answer

    @asynccontextmanager
    async def stream(self, request: ClientRequest, route: Route) -> AsyncIterator[ServerAnswer]:
        """Opens a stream at a server; its events are passed on as they arrive.

        Raises:
            RefusedError: the request did not run.
            RequestFailedError: it may have run.
            RequestTimeoutError: no answer began in its time; it may have run.
        """
        service = self._shares.choose(route)
        attempts = _Attempts()
        while True:
            instance = self._choose(service, attempts)
            if instance is None or len(attempts.ran_at) >= route.max_attempts:
                raise self._failure(request, route, service, attempts, timed_out=False)
            try:
                outgoing = self._outgoing(request, route, fresh=True)
                self._balancer.placement.admit(instance.id, attempts.work)
                async with asyncio.timeout_at(self._end_time(request, route)) as limit:
                    with self._balancer.placed(instance.id):
                        async with self._servers.send(instance, outgoing) as answer:
                            limit.reschedule(None)  # from here on the client decides
                            self._note_begun(request, self._clock.now())
                            attempts.ran_at.add(instance.id)
                            yield answer
                            return
            except TimeoutError:
                attempts.ran_at.add(instance.id)
                raise self._failure(request, route, service, attempts, timed_out=True) from None
            except NotRunError as error:
                self._note_not_run(instance, attempts, error)
            except BrokenAnswerError as error:
                attempts.ran_at.add(instance.id)
                raise RequestFailedError(error.message, ran=Ran.UNKNOWN) from None

    async def _forward_once(
        self, request: ClientRequest, route: Route, service: ServiceName, attempts: _Attempts
    ) -> WholeAnswer | None:
        """Sends a request on until a server may have run it."""
        while True:
            instance = self._choose(service, attempts)
            if instance is None:
                if self._should_refuse(request, route):
                    return None
                await self._clock.sleep(REFUSAL_PAUSE_SECONDS)
                attempts.refused_by.clear()
                continue
            answer = await self._attempt(instance, request, route, attempts)
            if answer is not None or attempts.ran_at:
                return answer or attempts.last

    async def _forward_repeatable(
        self, request: ClientRequest, route: Route, service: ServiceName, attempts: _Attempts
    ) -> WholeAnswer | None:
        """Sends a request to one server after another, a second one early if the first is slow."""
        running: set[asyncio.Task] = set()
        try:
            while True:
                instance = None
                if len(attempts.ran_at) < route.max_attempts:
                    instance = self._choose(service, attempts)
                if instance is not None:
                    # Until it is known not to have run, the attempt counts as one that may have.
                    attempts.ran_at.add(instance.id)
                    attempt = self._attempt(instance, request, route, attempts)
                    running.add(asyncio.create_task(attempt))
                elif not running:
                    if attempts.ran_at or self._should_refuse(request, route):
                        return attempts.last
                    await self._clock.sleep(REFUSAL_PAUSE_SECONDS)
                    attempts.refused_by.clear()
                    continue
                may_hedge = self._policy.hedged_tries and len(attempts.ran_at) < route.max_attempts
                delay = self._hedge_delay(route, service) if may_hedge else None
                done, running = await asyncio.wait(
                    running, timeout=delay, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    answer = task.result()
                    if answer is not None:
                        return answer
        finally:
            for task in running:
                task.cancel()

    async def _attempt(
        self,
        instance: InstanceInfo,
        request: ClientRequest,
        route: Route,
        attempts: _Attempts,
    ) -> WholeAnswer | None:
        """Tries one server; None if it gave no answer that the client should get."""
        outgoing = self._outgoing(request, route, fresh=route.kind is not RouteKind.IDEMPOTENT)
        started = self._clock.now()
        try:
            self._balancer.placement.admit(instance.id, attempts.work)
            with self._balancer.placed(instance.id):
                async with self._servers.send(instance, outgoing) as answer:
                    self._balancer.note_load(instance.id, answer.load)
                    body = b"".join([chunk async for chunk in answer.chunks()])
                    whole = WholeAnswer(answer.status, answer.headers, body)
                    of_server = answer.signature is not None
        except NotRunError as error:
            attempts.ran_at.discard(instance.id)
            self._note_not_run(instance, attempts, error)
            return None
        except BrokenAnswerError as error:
            self._note_begun(request, started)
            self._note_broken(instance, request, attempts, error.message)
            return None
        except asyncio.CancelledError:
            # Its time is over or another answer came first; the server may have run it.
            self._note_begun(request, started)
            attempts.ran_at.add(instance.id)
            self._note_silence(instance, started, route)
            raise
        self._note_begun(request, started)
        attempts.ran_at.add(instance.id)
        self._balancer.note_pace(instance.id, self._clock.now() - started)
        if whole.status < 300 and not of_server:
            self._note_broken(instance, request, attempts, "a success without a signature")
            return None
        if whole.status >= 500:
            self._note_broken(instance, request, attempts, f"status {whole.status}")
            attempts.last = whole if of_server else attempts.last
            return None
        self._metrics.count(Count.ATTEMPTS, instance.service, "answered")
        return whole

    def _choose(self, service: ServiceName, attempts: _Attempts) -> InstanceInfo | None:
        tried = attempts.ran_at | attempts.refused_by
        candidates = self._balancer.candidates(
            service, attempts.work, exclude=tried, for_client=True
        )
        return candidates[0] if candidates else None

    def _outgoing(self, request: ClientRequest, route: Route, *, fresh: bool) -> OutgoingRequest:
        left = self._end_time(request, route) - self._clock.now()
        return OutgoingRequest(
            request_id=request.request_id,
            method=request.method,
            host=request.host,
            target=request.target,
            headers=request.headers,
            body=request.body,
            time_left=max(0.001, left),
            fresh_connection=fresh,
            repeat_if_silent=not fresh,
            tenant=request.tenant,
        )

    def _end_time(self, request: ClientRequest, route: Route) -> float:
        time_left = route.time_limit
        if request.time_left is not None:
            time_left = min(time_left, request.time_left)
        return request.received_at + time_left

    def _hedge_delay(self, route: Route, service: ServiceName) -> float:
        """Returns the seconds after which a second server is tried beside the first."""
        paces = [
            pace
            for info in self._directory.of_service(service)
            if (pace := self._balancer.pace(info.id))
        ]
        usual = min(paces, default=route.objective / 2)
        return max(MIN_HEDGE_SECONDS, HEDGE_PACE_FACTOR * usual)

    def _should_refuse(self, request: ClientRequest, route: Route) -> bool:
        held = self._clock.now() - request.received_at
        return held >= route.objective * REFUSE_AFTER_SHARE

    def _note_done(
        self, request: ClientRequest, route: Route, attempts: _Attempts, answer: WholeAnswer
    ) -> None:
        held = self._clock.now() - request.received_at
        self._metrics.count(Count.REQUESTS, route.name, "answered")
        self._metrics.observe(Timing.REQUEST, held, route.name)
        self._log.note(
            Event.REQUEST_DONE,
            request=request.request_id.decode("latin-1"),
            route=route.name,
            tenant=request.tenant,
            status=answer.status,
            held=round(held, 3),
            tried=sorted(attempts.ran_at),
            refused_by=sorted(attempts.refused_by),
        )

    def _note_begun(self, request: ClientRequest, at: float) -> None:
        """Counts a run at a server for its tenant; one that may have begun counts as well."""
        if self._usage is not None and request.tenant is not None:
            self._usage.note_begun(request.tenant, at)

    def _note_not_run(
        self, instance: InstanceInfo, attempts: _Attempts, error: NotRunError
    ) -> None:
        attempts.refused_by.add(instance.id)
        self._metrics.count(Count.ATTEMPTS, instance.service, error.reason)
        self._balancer.note_not_run(instance.id, error.reason, FULL_AVOID_SECONDS)

    def _note_broken(
        self, instance: InstanceInfo, request: ClientRequest, attempts: _Attempts, reason: str
    ) -> None:
        attempts.ran_at.add(instance.id)
        self._metrics.count(Count.ATTEMPTS, instance.service, "broken")
        self._balancer.avoid(instance.id, BROKEN_AVOID_SECONDS)
        self._log.note(
            Event.ATTEMPT_FAILED,
            request=request.request_id.decode("latin-1"),
            instance=instance.id,
            reason=reason,
        )

    def _note_silence(self, instance: InstanceInfo, started: float, route: Route) -> None:
        """Notes an attempt that was overtaken: its server is slower than it then had time for."""
        elapsed = self._clock.now() - started
        self._balancer.note_pace(instance.id, elapsed)
        if elapsed > route.objective:
            self._balancer.avoid(instance.id, SILENT_AVOID_SECONDS)

    def _failure(
        self,
        request: ClientRequest,
        route: Route,
        service: ServiceName,
        attempts: _Attempts,
        *,
        timed_out: bool,
    ) -> LarkpostError:
        """Returns the error that a request ends in, and notes it."""
        ran = bool(attempts.ran_at)
        error: LarkpostError
        if not ran:
            error = RefusedError("no server could take it", retry_after=RETRY_AFTER_SECONDS)
        elif timed_out:
            error = RequestTimeoutError("its time is over", ran=Ran.UNKNOWN)
        else:
            error = RequestFailedError("no whole answer came", ran=Ran.UNKNOWN)
        self._metrics.count(Count.REQUESTS, route.name, error.code)
        self._log.note(
            Event.REQUEST_FAILED,
            request=request.request_id.decode("latin-1"),
            route=route.name,
            outcome=error.code,
            held=round(self._clock.now() - request.received_at, 3),
            tried=sorted(attempts.ran_at),
            refused_by=sorted(attempts.refused_by),
            verdicts=self._balancer.verdicts(service, attempts.work),
        )
        return error
