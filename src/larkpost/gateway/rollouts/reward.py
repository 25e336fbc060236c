"""Has whole outputs scored by the reward calls of their items.

A reward call goes to a server of the service that the configuration in force names for the call's
host and path. It may run more than once, so whatever ends without a score is tried again, at
another server if there is one. Only a success that the server signed and whose body came whole is
a score; the score is the signature. Calls wait for a place, so that a batch whose outputs become
whole together does not push the clients of the same servers aside.
"""

import asyncio
from dataclasses import dataclass, replace
from enum import StrEnum

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import Route, ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.known_crashes import BATCH_CRASH_LIMIT
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.metrics import Count, Timing
from larkpost.gateway.placement.work import REWARD_WORK, Work, WorkKind
from larkpost.gateway.rollouts.attempt import Progress
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.item_routes import ItemRoutes
from larkpost.gateway.rollouts.model import ITEM_METHOD, BatchHead, RewardCall
from larkpost.gateway.rollouts.retry_rules import is_call_dead
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    NotRunError,
    NotRunReason,
    OutgoingRequest,
)

CLIENT_SLOTS_SHARE = 1 / 3
"""Share of a server's slots that reward calls leave to clients."""
MAX_CALLS_IN_FLIGHT = 24
"""Reward calls of one daemon at servers, or about to be sent; the others wait their turn."""
PLACE_PAUSE_SECONDS = 0.03
"""Pause between two looks for a place at a server."""
AGAIN_PAUSE_SECONDS = 0.05
"""Pause before a call is tried again."""
QUARANTINE_CHECK_SECONDS = 0.5
"""Between two checks whether a call that crashes servers may be sent again. Not measured."""
LEAST_LIMIT_SECONDS = 0.8
"""Least time that a server is given for a call."""
MOST_LIMIT_SECONDS = 10.0
LIMIT_PACE_FACTOR = 8.0
"""A server is given this many times what calls take there, twice as much after each silence."""
FULL_AVOID_SECONDS = 0.05
BROKEN_AVOID_SECONDS = 0.3
SILENT_AVOID_SECONDS = 1.0


class RewardState(StrEnum):
    """How the scoring of an output ended."""

    SCORED = "scored"
    FAILED = "failed"  # the servers failed it as often as the route allows
    GIVEN_UP = "given_up"  # its time is over


@dataclass(frozen=True, slots=True)
class RewardOutcome:
    """The end of an output's scoring; `score` is None unless it was scored."""

    state: RewardState
    score: str | None = None


class CallEnd(StrEnum):
    """How one try of a reward call ended; a try that did not run ends with its reason."""

    SCORED = "scored"
    FAILED = "failed"  # the server answered that it failed
    BROKEN = "broken"  # no whole answer, or a success without a signature
    SILENT = "silent"
    REJECTED = "rejected"  # any other answer


@dataclass(frozen=True, slots=True)
class _Try:
    """The end of one try: a `CallEnd` or the reason why it did not run."""

    end: CallEnd | NotRunReason
    score: str | None = None


@dataclass(slots=True)
class _Tries:
    """The tries of one call so far.

    Attributes:
        servers: those tried since each of the service's servers was tried.
        silences: tries that ended in silence.
    """

    servers: set[InstanceId]
    silences: int = 0


class RewardScorer:
    """Has the outputs of one batch scored."""

    def __init__(self, head: BatchHead, routes: ItemRoutes, services: RunServices) -> None:
        self._head = head
        self._routes = routes
        self._services = services

    async def score(self, progress: Progress, call: RewardCall) -> RewardOutcome:
        """Sends an output's reward call until it has a score, or must be given up.

        Args:
            progress: a whole output; its count of failed calls is kept there.
        """
        item_route = self._routes.route_of(progress.item)
        item_attempts = item_route.max_attempts if item_route is not None else 0
        began = self._services.clock.now()
        tries = _Tries(set())
        while not self._routes.is_given_up(self._routes.route_of(progress.item)):
            if self._is_quarantined(call):
                await self._services.clock.sleep(QUARANTINE_CHECK_SECONDS)
                continue
            route = self._route(call)
            ended = await self._try(progress, call, route, tries) if route is not None else None
            if ended is not None and ended.end is CallEnd.SCORED:
                waited = self._services.clock.now() - began
                self._services.metrics.observe(Timing.REWARD, waited)
                return RewardOutcome(RewardState.SCORED, ended.score)
            if ended is not None and ended.end is CallEnd.FAILED:
                progress.failed_calls += 1
                if is_call_dead(progress.failed_calls, item_attempts, route.max_attempts):
                    return RewardOutcome(RewardState.FAILED)
            await self._services.clock.sleep(AGAIN_PAUSE_SECONDS)
        return RewardOutcome(RewardState.GIVEN_UP)

    def _is_quarantined(self, call: RewardCall) -> bool:
        """Returns whether a call must not be sent, as too many servers crashed under its like."""
        crashes = self._services.crashes
        return crashes.has_suspects and crashes.holds_content(call.content, BATCH_CRASH_LIMIT)

    def _route(self, call: RewardCall) -> Route | None:
        configuration = self._services.configuration.current
        if configuration is None:
            return None
        return configuration.match(call.host, call.path.partition("?")[0].encode("latin-1"))

    async def _try(
        self, progress: Progress, call: RewardCall, route: Route, tries: _Tries
    ) -> _Try | None:
        """Sends a call once; None if no server had a place."""
        async with self._services.reward_places:
            server = self._choose(self._services.shares.choose(route), call, tries)
            if server is None:
                await self._services.clock.sleep(PLACE_PAUSE_SECONDS)
                return None
            tries.servers.add(server.id)
            began = self._services.clock.now()
            limit = self._limit(server, tries)
            ended = await self._send(server, call, limit)
            if ended.end is CallEnd.SILENT:
                tries.silences += 1
            self._note(progress, call, server, ended, self._services.clock.now() - began)
            return ended

    def _work(self, call: RewardCall) -> Work:
        """Returns what the rules of placement ask of a call, as the configuration stands now."""
        configuration = self._services.configuration.current
        if configuration is None:
            return REWARD_WORK
        path = call.path.partition("?")[0].encode("latin-1")
        regions = configuration.homes_at(self._head.tenant, call.host, path)
        crashes = self._services.crashes
        is_suspect = crashes.has_suspects and crashes.is_suspect(call.content)
        return Work(WorkKind.REWARD, regions, is_suspect=is_suspect)

    def _choose(self, service: ServiceName, call: RewardCall, tries: _Tries) -> InstanceInfo | None:
        """Returns the best server with a place, one that was not tried yet if there is one."""
        balancer = self._services.balancer
        candidates = balancer.candidates(service, self._work(call), eligible=self._has_place)
        fresh = [info for info in candidates if info.id not in tries.servers]
        if candidates and not fresh:
            tries.servers.clear()
            fresh = candidates
        return fresh[0] if fresh else None

    def _has_place(self, info: InstanceInfo) -> bool:
        usable = max(1, int(info.slots * (1 - CLIENT_SLOTS_SHARE)))
        return self._services.balancer.occupied(info) < usable

    def _limit(self, server: InstanceInfo, tries: _Tries) -> float:
        """Returns the seconds that a server is given."""
        usual = LIMIT_PACE_FACTOR * self._services.balancer.pace(server.id)
        return min(MOST_LIMIT_SECONDS, max(LEAST_LIMIT_SECONDS, usual) * 2**tries.silences)

    async def _send(self, server: InstanceInfo, call: RewardCall, limit: float) -> _Try:
        balancer = self._services.balancer
        began = self._services.clock.now()
        try:
            within = balancer.placement.admit(server.id, self._work(call))
            request = replace(_request(call, limit), send_within=within)
            with balancer.placed(server.id):
                async with (
                    asyncio.timeout(limit),
                    self._services.servers.send(server, request) as answer,
                ):
                    balancer.record_load(server.id, answer.load)
                    balancer.record_cold(server.id, answer.cold_left)
                    async for _ in answer.chunks():
                        pass  # only the signature matters, but the body must come whole
                    status, signature = answer.status, answer.signature
        except NotRunError as error:
            balancer.record_cold(server.id, error.cold_left)
            balancer.record_not_run(server.id, error.reason, FULL_AVOID_SECONDS)
            return _Try(error.reason)
        except BrokenResponseError:
            balancer.avoid(server.id, BROKEN_AVOID_SECONDS)
            return _Try(CallEnd.BROKEN)
        except TimeoutError:
            balancer.avoid(server.id, SILENT_AVOID_SECONDS)
            return _Try(CallEnd.SILENT)
        balancer.record_pace(server.id, self._services.clock.now() - began)
        return _judge(status, signature)

    def _note(
        self,
        progress: Progress,
        call: RewardCall,
        server: InstanceInfo,
        ended: _Try,
        seconds: float,
    ) -> None:
        self._services.metrics.count(Count.REWARD_CALLS, ended.end)
        self._services.metrics.observe(Timing.REWARD_CALL, seconds)
        self._services.log.record(
            Event.REWARD_CALL,
            batch=self._head.id,
            item=progress.item.id,
            call=call.id,
            content=call.content,
            instance=server.id,
            outcome=ended.end,
            seconds=round(seconds, 3),
            occupied=self._services.balancer.occupied(server),
            failed_calls=progress.failed_calls,
        )


def _judge(status: int, signature: str | None) -> _Try:
    """Returns what a whole answer means."""
    if 200 <= status < 300:
        return _Try(CallEnd.SCORED, signature) if signature else _Try(CallEnd.BROKEN)
    if status == 500:
        return _Try(CallEnd.FAILED)
    return _Try(CallEnd.REJECTED)


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
        crash_limit=BATCH_CRASH_LIMIT,
    )
