"""Forwards client requests to servers: attempts within budgets of servers and time.

A request that may run more than once is tried at a second server when the first has failed or has
been silent for long; the first whole answer wins and the other attempt is cancelled. A request
that must run at most once goes on to another server only after proof that it did not run.

A request that no server takes waits in the line of its service while its forecast says that it can
still be answered; once it says otherwise, the request is refused.
"""

import asyncio
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import Route, RouteKind, ServiceName
from larkpost.gateway.blackboard.directory import Directory, InstanceInfo
from larkpost.gateway.blackboard.known_crashes import CLIENT_CRASH_LIMIT, KnownCrashes
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.placement.work import Work, WorkKind
from larkpost.gateway.proxy.attempts import Attempts
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.forecast import Limits, Places, survey, unreachable
from larkpost.gateway.proxy.outcomes import Outcomes
from larkpost.gateway.proxy.patience import FirstTries
from larkpost.gateway.proxy.request import ClientRequest, WholeResponse
from larkpost.gateway.proxy.shares import ShareChooser
from larkpost.gateway.proxy.waiting import Waiter, WaitingLines
from larkpost.gateway.quarantine.trials import Trials
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    NotRunError,
    OutgoingRequest,
    ServerPort,
    ServerResponse,
)
from larkpost.gateway.usage.counter import UsageCounter

MIN_HEDGE_SECONDS = 0.1
HEDGE_PACE_FACTOR = 3.0
UNKNOWN_PACE_SHARE = 0.25
"""Share of the objective that a request is taken to need where no pace is known: objectives leave
room for a few requests one after the other."""

PriorityOf = Callable[[TenantName | None, Route], int]


class Forwarder:
    """Forwards requests to the servers of their route's service.

    Args:
        priority_of: returns how urgent a request is, 0 the most.
        crashes: the servers that have crashed, and under which requests; None for none ever.
        trials: lets a held request run once more; None if nothing does.
    """

    def __init__(
        self,
        directory: Directory,
        balancer: Balancer,
        servers: ServerPort,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        shares: ShareChooser,
        usage: UsageCounter | None = None,
        priority_of: PriorityOf = lambda _, route: route.priority,
        crashes: KnownCrashes | None = None,
        trials: Trials | None = None,
    ) -> None:
        self._directory = directory
        self._balancer = balancer
        self._servers = servers
        self._clock = clock
        self._shares = shares
        self._priority_of = priority_of
        self._first_tries = FirstTries(clock)
        self._lines = WaitingLines(clock, self._survey)
        self._crashes = KnownCrashes() if crashes is None else crashes
        self._trials = trials
        self._outcomes = Outcomes(balancer, clock, log, metrics, usage)
        balancer.add_release_listener(self._record_released)

    @property
    def waiting(self) -> int:
        """The requests that wait for a place."""
        return len(self._lines)

    async def forward(self, request: ClientRequest, route: Route) -> WholeResponse:
        """Returns a server's whole answer.

        Raises:
            RefusedError: the request did not run.
            RequestFailedError: it may have run.
            RequestTimeoutError: its time is over.
        """
        attempts, must_wait = self._begin(request, route)
        answer = None
        try:
            async with asyncio.timeout_at(attempts.waiter.limits.end_at):
                if await self._may_try(attempts, must_wait=must_wait):
                    if route.kind is RouteKind.IDEMPOTENT:
                        answer = await self._forward_repeatable(attempts)
                    else:
                        answer = await self._forward_once(attempts)
        except TimeoutError:
            raise self._outcomes.failure(attempts, timed_out=True) from None
        if answer is None:
            raise self._outcomes.failure(attempts, timed_out=False)
        self._outcomes.done(attempts, answer.status)
        return answer

    @asynccontextmanager
    async def stream(self, request: ClientRequest, route: Route) -> AsyncIterator[ServerResponse]:
        """Opens a stream at a server; its events are passed on as they arrive.

        Raises:
            RefusedError: the request did not run.
            RequestFailedError: it may have run.
            RequestTimeoutError: no answer began in its time; it may have run.
        """
        attempts, must_wait = self._begin(request, route)
        if not await self._may_try(attempts, must_wait=must_wait):
            raise self._outcomes.failure(attempts, timed_out=False)
        while True:
            instance = await self._find(attempts)
            if instance is None:
                raise self._outcomes.failure(attempts, timed_out=False)
            try:
                outgoing = self._outgoing(attempts, fresh=True)
                within = self._balancer.placement.admit(instance.id, attempts.waiter.work)
                outgoing = replace(outgoing, send_within=within)
                async with asyncio.timeout_at(attempts.waiter.limits.end_at) as limit:
                    with self._balancer.placed(instance.id):
                        async with self._servers.send(instance, outgoing) as answer:
                            self._balancer.record_cold(instance.id, answer.cold_left)
                            limit.reschedule(None)  # from here on the client decides
                            self._lines.record_taken(instance.service)
                            self._outcomes.begun(request, self._clock.now())
                            attempts.ran_at.add(instance.id)
                            self._outcomes.forecast_served(attempts, answer.status)
                            yield answer
                            return
            except TimeoutError:
                attempts.ran_at.add(instance.id)
                raise self._outcomes.failure(attempts, timed_out=True) from None
            except NotRunError as error:
                self._outcomes.not_run(instance, attempts, error)
            except BrokenResponseError:
                attempts.ran_at.add(instance.id)
                raise self._outcomes.failure(attempts, timed_out=False) from None

    def _begin(self, request: ClientRequest, route: Route) -> tuple[Attempts, bool]:
        """Returns a request's attempts with their forecast, and whether others come before it."""
        waiter = Waiter(
            self._shares.choose(route),
            Work(WorkKind.CLIENT, request.regions),
            self._priority_of(request.tenant, route),
            self._limits(request, route),
            request.received_at,
        )
        forecast, must_wait = self._lines.foresee(waiter)
        return Attempts(request, route, waiter, forecast, forecast), must_wait

    async def _may_try(self, attempts: Attempts, *, must_wait: bool) -> bool:
        """Waits for a request's turn if it must; tells whether it may be served at all."""
        if self._is_quarantined(attempts) and not await self._claim_trial(attempts):
            return False
        if attempts.are_all_unreachable:
            # No place comes free by waiting here, but another daemon may reach the servers.
            attempts.forecast = unreachable(attempts.waiter.limits, self._clock.now())
        elif must_wait and not attempts.forecast.is_hopeless:
            attempts.forecast = await self._lines.turn(attempts.waiter)
            attempts.begin_round()
        return not attempts.forecast.is_hopeless

    async def _find(self, attempts: Attempts) -> InstanceInfo | None:
        """Returns the server to try next, once there is one; None if the request is hopeless."""
        while True:
            instance = self._choose(attempts)
            if instance is not None:
                return instance
            if not await self._may_try(attempts, must_wait=True):
                return None

    async def _forward_once(self, attempts: Attempts) -> WholeResponse | None:
        """Sends a request on until a server may have run it."""
        while True:
            instance = await self._find(attempts)
            if instance is None:
                return None
            answer = await self._attempt(instance, attempts)
            if answer is not None or attempts.ran_at:
                return answer or attempts.last

    async def _forward_repeatable(self, attempts: Attempts) -> WholeResponse | None:
        """Sends a request to one server after another, a second one early if the first is slow."""
        most = 1 if attempts.is_trial else attempts.route.max_attempts
        running: set[asyncio.Task] = set()
        try:
            while True:
                instance = self._choose(attempts) if len(attempts.ran_at) < most else None
                if instance is not None:
                    # Until it is known not to have run, the attempt counts as one that may have.
                    attempts.ran_at.add(instance.id)
                    running.add(asyncio.create_task(self._attempt(instance, attempts)))
                elif not running:
                    if attempts.ran_at or not await self._may_try(attempts, must_wait=True):
                        return attempts.last
                    continue
                may_hedge = len(attempts.ran_at) < most
                delay = self._hedge_delay(attempts) if may_hedge else None
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

    async def _attempt(self, instance: InstanceInfo, attempts: Attempts) -> WholeResponse | None:
        """Tries one server; None if it gave no answer that the client should get."""
        request = attempts.request
        outgoing = self._outgoing(attempts, fresh=attempts.route.kind is not RouteKind.IDEMPOTENT)
        started = self._clock.now()
        try:
            within = self._balancer.placement.admit(instance.id, attempts.waiter.work)
            outgoing = replace(outgoing, send_within=within)
            with self._balancer.placed(instance.id):
                async with self._servers.send(instance, outgoing) as answer:
                    self._lines.record_taken(instance.service)
                    self._balancer.record_load(instance.id, answer.load)
                    self._balancer.record_cold(instance.id, answer.cold_left)
                    body = b"".join([chunk async for chunk in answer.chunks()])
                    whole = WholeResponse(answer.status, answer.headers, body)
                    of_server = answer.signature is not None
        except NotRunError as error:
            attempts.ran_at.discard(instance.id)
            self._outcomes.not_run(instance, attempts, error)
            return None
        except BrokenResponseError as error:
            self._outcomes.begun(request, started)
            self._outcomes.broken(instance, attempts, error.message)
            return None
        except asyncio.CancelledError:
            # Its time is over or another answer came first; the server may have run it.
            self._outcomes.begun(request, started)
            attempts.ran_at.add(instance.id)
            self._outcomes.silence(instance, attempts, started)
            raise
        self._outcomes.begun(request, started)
        attempts.ran_at.add(instance.id)
        self._balancer.record_response(instance, self._clock.now() - started)
        if whole.status < 300 and not of_server:
            self._outcomes.broken(instance, attempts, "a success without a signature")
            return None
        if whole.status >= 500:
            self._outcomes.broken(instance, attempts, f"status {whole.status}")
            attempts.last = whole if of_server else attempts.last
            return None
        self._outcomes.answered(instance)
        return whole

    def _is_quarantined(self, attempts: Attempts) -> bool:
        """Tells whether a request must not go to any server, as others crashed under its like."""
        held = self._crashes.holds(attempts.request, CLIENT_CRASH_LIMIT)
        attempts.is_quarantined = held and not attempts.is_trial
        return attempts.is_quarantined

    async def _claim_trial(self, attempts: Attempts) -> bool:
        """Claims for a held request that it may be sent to one server all the same."""
        if self._trials is None or attempts.ran_at:
            return False
        attempts.is_trial = await self._trials.claim(attempts.request)
        attempts.is_quarantined = not attempts.is_trial
        return attempts.is_trial

    def _choose(self, attempts: Attempts) -> InstanceInfo | None:
        if self._is_quarantined(attempts):
            return None
        if self._crashes.suspect(attempts.request) is not None:
            attempts.waiter.work = replace(attempts.waiter.work, is_suspect=True)
        candidates = self._balancer.candidates(
            attempts.waiter.service,
            attempts.waiter.work,
            exclude=attempts.ran_at | attempts.refused_by,
            for_client=True,
        )
        return candidates[0] if candidates else None

    def _outgoing(self, attempts: Attempts, *, fresh: bool) -> OutgoingRequest:
        request = attempts.request
        left = attempts.waiter.limits.end_at - self._clock.now()
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
            crash_limit=sys.maxsize if attempts.is_trial else CLIENT_CRASH_LIMIT,
        )

    def _limits(self, request: ClientRequest, route: Route) -> Limits:
        time_left = route.time_limit
        if request.time_left is not None:
            time_left = min(time_left, request.time_left)
        gone_by = self._first_tries.gone_by(route.name, request.time_left)
        return Limits(
            objective_at=request.received_at - gone_by + route.objective,
            end_at=request.received_at + time_left,
            usual_pace=route.objective * UNKNOWN_PACE_SHARE,
        )

    def _hedge_delay(self, attempts: Attempts) -> float:
        """Returns the seconds after which a second server is tried beside the first."""
        paces = [
            pace
            for info in self._directory.of_service(attempts.waiter.service)
            if (pace := self._balancer.pace(info.id))
        ]
        usual = min(paces, default=attempts.route.objective / 2)
        return max(MIN_HEDGE_SECONDS, HEDGE_PACE_FACTOR * usual)

    def _survey(self, service: ServiceName, work: Work) -> Places:
        return survey(self._directory, self._balancer, service, work)

    def _record_released(self, instance: InstanceId) -> None:
        info = self._directory.get(instance)
        if info is not None:
            self._lines.record_end(info.service)
