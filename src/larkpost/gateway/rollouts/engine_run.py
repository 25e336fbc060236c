"""One run of an item at an engine: the request, its events, and how they end."""

import asyncio
from dataclasses import replace
from enum import StrEnum

from larkpost.gateway.blackboard.configuration import Route
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.known_crashes import BATCH_CRASH_LIMIT
from larkpost.gateway.observability.metrics import Timing
from larkpost.gateway.rollouts.attempt import Progress
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.engine_choice import EngineChoice
from larkpost.gateway.rollouts.faster_place import FasterPlace, MoveAwayError
from larkpost.gateway.rollouts.model import ITEM_METHOD, BatchHead, Item
from larkpost.gateway.rollouts.place_queue import PlaceQueue
from larkpost.gateway.rollouts.stalls import RunWatch, StallWatcher
from larkpost.gateway.rollouts.urgency import Urgency
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    OutgoingRequest,
    ServerResponse,
)

FIRST_EVENT_SECONDS = 2.5
"""Longest wait for an answer's head and for its first event."""
EVENT_GAP_SECONDS = 1.2
"""Longest pause between two events before the run is continued elsewhere."""
MAX_MOVES = 2
"""An item is moved this often at most: what it has made is read again at each new engine."""
EVENT_PACE_WEIGHT = 0.06
"""Weight of one pause between two events in an engine's pace: single pauses vary with prefills."""
EVENTS_BETWEEN_LOOKS = 4
"""How often a run looks for a faster engine."""


class RunEnd(StrEnum):
    """How one run of an item ended."""

    WHOLE = "whole"
    AGAIN = "again"
    DEAD = "dead"


class StalledError(Exception):
    """The run made nothing, and is to go on at an engine with a free place."""


class EngineRuns:
    """Makes the runs of one batch's items at engines.

    Args:
        items: all items of the batch that are to run.
    """

    def __init__(
        self,
        head: BatchHead,
        items: tuple[Item, ...],
        engines: EngineChoice,
        stalls: StallWatcher,
        places: PlaceQueue,
        services: RunServices,
    ) -> None:
        self._head = head
        self._engines = engines
        self._stalls = stalls
        self._places = places
        self._services = services
        self._urgency = Urgency(items)

    async def run(
        self, engine: InstanceInfo, item: Item, route: Route, progress: Progress
    ) -> RunEnd:
        """Runs an item at an engine from where it is, and tells how that ended.

        Raises:
            NotRunError: it certainly did not run.
            BrokenResponseError: the stream broke off, or its version is not to be used.
            DiscontinuityError: an event does not follow the last one.
            UnicodeDecodeError: the whole output is no text.
            MoveAwayError: a faster engine is free.
            StalledError: the run was ended by the watcher of stalls.
            TimeoutError: the engine was silent.
        """
        if progress.last_event is not None and route.single_version:
            self._keep_pure(engine, progress)
        watch: RunWatch | None = None
        try:
            async with asyncio.timeout(FIRST_EVENT_SECONDS) as limit:
                with self._stalls.watch(engine, limit) as watch:
                    return await self._stream(engine, item, route, progress, watch)
        except TimeoutError:
            if watch is not None and watch.is_stalled:
                raise StalledError from None
            raise

    async def _stream(
        self,
        engine: InstanceInfo,
        item: Item,
        route: Route,
        progress: Progress,
        watch: RunWatch,
    ) -> RunEnd:
        request = self._request(item, route, progress)
        within = self._services.balancer.placement.admit(engine.id, self._engines.work_of(item))
        request = replace(request, send_within=within)
        async with self._services.servers.send(engine, request) as answer:
            self._services.balancer.record_load(engine.id, answer.load)
            self._services.balancer.record_cold(engine.id, answer.cold_left)
            if answer.status != 200:
                return _judge_failure(route, progress, answer)
            faster = FasterPlace(self._places, self._engines, engine, route, progress)
            try:
                await self._take_events(engine, route, progress, answer, watch, faster)
            finally:
                faster.cancel()
        if not progress.events:
            raise BrokenResponseError("a stream without events")
        progress.complete()
        return RunEnd.WHOLE

    async def _take_events(
        self,
        engine: InstanceInfo,
        route: Route,
        progress: Progress,
        answer: ServerResponse,
        watch: RunWatch,
        faster: FasterPlace,
    ) -> None:
        """Takes the events of a run.

        Raises:
            BrokenResponseError: the stream broke off, or its version is not to be used.
            MoveAwayError: a faster engine is free.
        """
        loop = asyncio.get_running_loop()
        began = watch.began_at
        version = answer.version or 0
        self._services.directory.observe_version(engine.id, self._head.model, version)
        last_at: float | None = None
        count = 0
        async for event in answer.events():
            now = loop.time()
            watch.heard(now, EVENT_GAP_SECONDS)
            if event.version is not None:
                version = event.version
                self._services.directory.observe_version(engine.id, self._head.model, version)
            if version < self._head.minimum_version:
                raise BrokenResponseError(f"version {version} is too old")
            if route.single_version and progress.versions - {version}:
                progress.restart()
                raise BrokenResponseError("the version changed within a result")
            progress.take(event.id, event.data, version)
            if last_at is None:
                self._services.metrics.observe(Timing.ITEM_FIRST_EVENT, now - began)
            else:
                self._services.balancer.record_pace(engine.id, now - last_at, EVENT_PACE_WEIGHT)
            last_at = now
            count += 1
            faster.raise_if_assigned()
            may_move = progress.moves < MAX_MOVES and count % EVENTS_BETWEEN_LOOKS == 0
            if may_move and self._engines.is_outpaced(engine, progress):
                raise MoveAwayError
            if may_move:
                faster.request_if_slow()

    def _request(self, item: Item, route: Route, progress: Progress) -> OutgoingRequest:
        return OutgoingRequest(
            request_id=item.id.encode("latin-1"),
            method=ITEM_METHOD,
            host=self._head.host.encode("latin-1"),
            target=item.path.encode("latin-1"),
            headers=tuple(
                (name.encode("latin-1"), value.encode("latin-1")) for name, value in item.headers
            ),
            body=item.body,
            resume_after=progress.last_event,
            tenant=self._head.tenant,
            priority=self._priority(item, route, progress),
            crash_limit=BATCH_CRASH_LIMIT,
        )

    def _priority(self, item: Item, route: Route, progress: Progress) -> int | None:
        """Returns the rank that an engine is told; None for none."""
        configuration = self._services.configuration.current
        if configuration is None:
            return None
        priority = configuration.priority_of(self._head.tenant, route)
        return self._urgency.rank(item, progress, priority)

    def _keep_pure(self, engine: InstanceInfo, progress: Progress) -> None:
        version = self._services.directory.version_of(engine.id, self._head.model)
        if progress.versions != {version}:
            progress.restart()


def _judge_failure(route: Route, progress: Progress, answer: ServerResponse) -> RunEnd:
    """Returns what an answer means that is no stream, and counts it."""
    if answer.status == 422:
        progress.impossible_answers += 1
        return RunEnd.DEAD
    if answer.status == 500:
        progress.failed_runs += 1
        if progress.failed_runs >= route.max_attempts:
            return RunEnd.DEAD
    return RunEnd.AGAIN
