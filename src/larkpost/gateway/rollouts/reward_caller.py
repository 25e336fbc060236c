"""Sends reward calls, each attempt to one server of the call's service.

The current configuration names the service for the call's host and path. Calls wait for a slot, so
that outputs which complete together do not crowd out client requests to the same servers.
`reward_rules.py` selects the server and interprets its response.
"""

import asyncio
from dataclasses import replace

from larkpost.gateway.blackboard.configuration import Route, ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.metrics import Count, Timing
from larkpost.gateway.placement.work import REWARD_WORK, Work, WorkKind
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.model import ITEM_METHOD, BatchHead, RewardCall
from larkpost.gateway.rollouts.progress import Progress, WaitsFor
from larkpost.gateway.rollouts.reward_rules import (
    RewardAttempt,
    RewardCallHistory,
    RewardCallOutcome,
    call_timeout_seconds,
    choose_server,
    classify_call_response,
    usable_slots,
)
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    NotRunError,
    OutgoingRequest,
    ServerResponse,
)

MAX_CALLS_IN_FLIGHT = 24
"""Maximum number of reward calls that a daemon has in flight; the others wait."""
MAX_CALL_BODY_BYTES = 4_194_304
"""Maximum body of the response to a call; a server in trouble may send bytes without end."""
SLOT_POLL_SECONDS = 0.03
"""Interval of the checks for a free slot at a server."""
FULL_AVOID_SECONDS = 0.05
"""How long a server is avoided after it refused a call."""
BROKEN_AVOID_SECONDS = 0.3
"""How long a server is avoided after a broken response."""
TIMEOUT_AVOID_SECONDS = 1.0
"""How long a server is avoided after a call timed out there."""

COMPLETE_OUTCOMES = (
    RewardCallOutcome.SCORED,
    RewardCallOutcome.FAILED,
    RewardCallOutcome.REJECTED,
)
"""Outcomes of attempts whose server gave a complete response."""


class RewardCaller:
    """Sends the reward calls of one batch."""

    def __init__(self, head: BatchHead, services: RunServices) -> None:
        self._head = head
        self._services = services

    async def send_once(
        self,
        progress: Progress,
        call: RewardCall,
        route: Route,
        history: RewardCallHistory,
    ) -> RewardAttempt | None:
        """Sends a call once; None if no server had a free slot.

        Args:
            history: earlier attempts of the call; this one is added.
        """
        async with self._services.reward_call_slots:
            server = self._choose(self._services.service_selector.choose(route), call, history)
            if server is None:
                await self._services.clock.sleep(SLOT_POLL_SECONDS)
                return None
            history.servers.add(server.id)
            progress.wait_for(WaitsFor.SCORE, server.id)
            started = self._services.clock.now()
            limit = call_timeout_seconds(
                self._services.balancer.service_time(server.id), history.timeouts
            )
            attempt = await self._send(server, call, limit)
            _count_lost(progress, attempt, self._services.clock.now())
            if attempt.outcome is RewardCallOutcome.TIMED_OUT:
                history.timeouts += 1
            self._record(progress, call, server, attempt, self._services.clock.now() - started)
            return attempt

    def _work(self, call: RewardCall) -> Work:
        """Returns the placement requirements of a call under the current configuration."""
        configuration = self._services.configuration.current
        if configuration is None:
            return REWARD_WORK
        path = call.path.partition("?")[0].encode("latin-1")
        regions = configuration.allowed_regions_at(self._head.tenant, call.host, path)
        return Work(WorkKind.REWARD, regions)

    def _choose(
        self, service: ServiceName, call: RewardCall, history: RewardCallHistory
    ) -> InstanceInfo | None:
        balancer = self._services.balancer
        candidates = balancer.candidates(service, self._work(call), eligible=self._has_free_slot)
        return choose_server(candidates, history)

    def _has_free_slot(self, info: InstanceInfo) -> bool:
        return self._services.balancer.occupied(info) < usable_slots(info.slots)

    async def _send(self, server: InstanceInfo, call: RewardCall, limit: float) -> RewardAttempt:
        """Sends a call and updates the state of the server by the outcome."""
        balancer = self._services.balancer
        started = self._services.clock.now()
        try:
            status, signature = await self._exchange(server, call, limit)
        except NotRunError as error:
            balancer.record_cold(server.id, error.cold_left)
            balancer.record_not_run(server.id, error.reason, FULL_AVOID_SECONDS)
            return RewardAttempt(error.reason)
        except BrokenResponseError:
            balancer.avoid(server.id, BROKEN_AVOID_SECONDS)
            return RewardAttempt(RewardCallOutcome.BROKEN)
        except TimeoutError:
            balancer.avoid(server.id, TIMEOUT_AVOID_SECONDS)
            return RewardAttempt(RewardCallOutcome.TIMED_OUT)
        seconds = self._services.clock.now() - started
        balancer.record_service_time(server.id, seconds)
        balancer.service_times.record_response(server.id, seconds)
        return classify_call_response(status, signature)

    async def _exchange(
        self, server: InstanceInfo, call: RewardCall, limit: float
    ) -> tuple[int, str | None]:
        """Returns the status and the signature of a complete response.

        Raises:
            NotRunError: the call certainly did not run.
            BrokenResponseError: the response was incomplete.
            TimeoutError: the response was not complete within ``limit`` seconds.
        """
        balancer = self._services.balancer
        send_timeout_seconds = balancer.placement.admit(server.id, self._work(call))
        request = replace(_request(call, limit), send_timeout=send_timeout_seconds)
        with balancer.count_request(server.id):
            async with (
                asyncio.timeout(limit),
                self._services.servers.send(server, request) as response,
            ):
                balancer.record_load(server.id, response.load)
                balancer.record_cold(server.id, response.cold_left)
                await _read_to_end(response)
                return response.status, response.signature

    def _record(
        self,
        progress: Progress,
        call: RewardCall,
        server: InstanceInfo,
        attempt: RewardAttempt,
        seconds: float,
    ) -> None:
        self._services.metrics.count(Count.REWARD_CALLS, attempt.outcome)
        self._services.metrics.observe(Timing.REWARD_CALL, seconds)
        self._services.log.record(
            Event.REWARD_CALL,
            batch=self._head.id,
            item=progress.item.id,
            call=call.id,
            content=call.content,
            instance=server.id,
            outcome=attempt.outcome,
            seconds=round(seconds, 3),
            occupied=self._services.balancer.occupied(server),
            failed_calls=progress.failed_calls,
        )


async def _read_to_end(response: ServerResponse) -> None:
    """Reads a body, of which nothing is used: only the signature matters, but it must be whole.

    Raises:
        BrokenResponseError: the body is incomplete, or too long.
    """
    size = 0
    async for chunk in response.chunks():
        size += len(chunk)
        if size > MAX_CALL_BODY_BYTES:
            raise BrokenResponseError(f"the body has more than {MAX_CALL_BODY_BYTES} bytes")


def _count_lost(progress: Progress, attempt: RewardAttempt, now: float) -> None:
    """Counts an attempt that lost its server, or begins anew after any complete response."""
    if attempt.outcome is RewardCallOutcome.BROKEN:
        progress.record_lost_run(now)
    elif attempt.outcome in COMPLETE_OUTCOMES:
        progress.lost_runs = 0


def _request(call: RewardCall, limit: float) -> OutgoingRequest:
    return OutgoingRequest(
        request_id=call.id.encode("latin-1"),
        method=ITEM_METHOD,
        host=call.host.encode("latin-1"),
        target=call.path.encode("latin-1"),
        headers=(),
        body=call.body,
        time_left=limit,
        repeat_if_silent=True,
        crash_limit=None,
    )
