"""Single runs of items at engines: the request, its response stream, and the outcome.

`event_recorder.py` records the stream, `engine_rules.py` decides whether a run migrates, and
`retry_rules.py` decides what an error response means.
"""

import asyncio
from dataclasses import replace

from larkpost.gateway.proxy.retry import UNSIGNED_SUCCESS, is_unsigned_success
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.engine_priorities import EnginePriorities
from larkpost.gateway.rollouts.engine_rules import may_migrate
from larkpost.gateway.rollouts.engine_selector import EngineSelector
from larkpost.gateway.rollouts.event_recorder import EventRecorder
from larkpost.gateway.rollouts.faster_engine import FasterEngineRequest
from larkpost.gateway.rollouts.model import ITEM_METHOD, BatchHead, Item
from larkpost.gateway.rollouts.progress import ItemRun
from larkpost.gateway.rollouts.retry_rules import (
    FAILED_STATUS,
    UNPROCESSABLE_STATUS,
    RunOutcome,
    classify_failed_response,
)
from larkpost.gateway.rollouts.slot_queue import SlotQueue
from larkpost.gateway.rollouts.stall_detector import MonitoredRun, StallDetector, StalledError
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    OutgoingRequest,
    ServerResponse,
)

FIRST_EVENT_SECONDS = 2.5
"""Timeout of the first event, including connecting and the response headers."""
EVENTS_BETWEEN_CHECKS = 4
"""Number of events between two checks for a faster engine."""


class EngineRunner:
    """Runs the items of one batch at engines.

    Args:
        items: all items of the batch that still have to run.
        slot_queue: queue in which runs request slots at faster engines.
    """

    def __init__(
        self,
        head: BatchHead,
        items: tuple[Item, ...],
        engine_selector: EngineSelector,
        slot_queue: SlotQueue,
        services: RunServices,
    ) -> None:
        self.stall_detector = StallDetector(services.clock)
        self._head = head
        self._engine_selector = engine_selector
        self._slot_queue = slot_queue
        self._services = services
        self._priorities = EnginePriorities(items)

    async def run(self, run: ItemRun) -> RunOutcome:
        """Runs an item at an engine, resuming after its last event, and returns the outcome.

        Raises:
            NotRunError: the item certainly did not run.
            BrokenResponseError: the stream broke off, or its weight version must not be used.
            DiscontinuityError: an event does not follow the last one.
            UnicodeDecodeError: the complete output is not valid UTF-8.
            MigrateRunError: the item has a slot at a faster engine.
            StalledError: the stall detector has aborted the run.
            TimeoutError: no event arrived in time.
        """
        if run.progress.last_event is not None and run.route.single_version:
            self._keep_single_version(run)
        monitored_run: MonitoredRun | None = None
        try:
            async with asyncio.timeout(FIRST_EVENT_SECONDS) as event_timeout:
                with self.stall_detector.watch(run.engine, event_timeout) as monitored_run:
                    return await self._stream(run, monitored_run)
        except TimeoutError:
            if monitored_run is not None and monitored_run.is_stalled:
                raise StalledError from None
            raise

    async def _stream(self, run: ItemRun, monitored_run: MonitoredRun) -> RunOutcome:
        """Sends the request and records the response stream."""
        balancer = self._services.balancer
        request = self._request(run)
        send_timeout_seconds = balancer.placement.admit(
            run.engine.id, self._engine_selector.item_work.work_of(run.item)
        )
        request = replace(request, send_timeout=send_timeout_seconds)
        async with self._services.servers.send(run.engine, request) as response:
            balancer.record_load(run.engine.id, response.load)
            balancer.record_cold(run.engine.id, response.cold_left)
            if response.status != 200:
                return _record_failure(run, response.status)
            if is_unsigned_success(response.status, is_signed=response.signature is not None):
                raise BrokenResponseError(UNSIGNED_SUCCESS)
            await self._read_events(run, monitored_run, response)
        if not run.progress.events:
            raise BrokenResponseError("the stream ended without any event")
        run.progress.complete()
        return RunOutcome.COMPLETE

    async def _read_events(
        self, run: ItemRun, monitored_run: MonitoredRun, response: ServerResponse
    ) -> None:
        """Records the events of a run until the stream ends or the run migrates.

        Raises:
            BrokenResponseError: the stream broke off, or its weight version must not be used.
            DiscontinuityError: an event does not follow the last one.
            MigrateRunError: the item has a slot at a faster engine.
        """
        faster_engine_request = FasterEngineRequest(self._slot_queue, self._engine_selector, run)
        try:
            events = EventRecorder(
                run, monitored_run, self._head, self._services, response.version or 0
            )
            async for event in response.events():
                events.record(event)
                faster_engine_request.raise_if_assigned()
                is_check_due = events.count % EVENTS_BETWEEN_CHECKS == 0
                if is_check_due and may_migrate(run.progress.migrations):
                    faster_engine_request.request_if_slow()
        finally:
            faster_engine_request.cancel()

    def _request(self, run: ItemRun) -> OutgoingRequest:
        item = run.item
        return OutgoingRequest(
            request_id=item.id.encode("latin-1"),
            method=ITEM_METHOD,
            host=self._head.host.encode("latin-1"),
            target=item.path.encode("latin-1"),
            headers=tuple(
                (name.encode("latin-1"), value.encode("latin-1")) for name, value in item.headers
            ),
            body=item.body,
            resume_after=run.progress.last_event,
            tenant=self._head.tenant,
            priority=self._priority(run),
            crash_limit=None,
        )

    def _priority(self, run: ItemRun) -> int | None:
        """Returns the priority that is sent to the engine; None without a configuration."""
        configuration = self._services.configuration.current
        if configuration is None:
            return None
        priority = configuration.priority_of(self._head.tenant, run.route)
        yields = self._services.allocator.should_yield(run.engine.service, self._head.model)
        return self._priorities.engine_priority(run.progress, priority, yields=yields)

    def _keep_single_version(self, run: ItemRun) -> None:
        """Discards the output unless the engine's version has produced all of it."""
        version = self._services.directory.version_of(run.engine.id, self._head.model)
        if run.progress.versions != {version}:
            run.progress.restart()


def _record_failure(run: ItemRun, status: int) -> RunOutcome:
    """Records an error response, and returns whether the item is retried."""
    progress = run.progress
    if status == UNPROCESSABLE_STATUS:
        progress.unprocessable_responses += 1
    if status == FAILED_STATUS:
        progress.failed_runs += 1
    return classify_failed_response(status, progress.failed_runs, run.route.max_attempts)
