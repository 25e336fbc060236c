"""Client requests: admission, the run-once claim, and dispatch."""

from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass

from larkpost.common.errors import (
    InvalidRequestError,
    LarkpostError,
    OverloadedError,
    Ran,
)
from larkpost.common.ids import RequestId
from larkpost.standalone.config.intent import ServiceIntent
from larkpost.standalone.controllers.readiness import Readiness
from larkpost.standalone.routing.dispatcher import Dispatcher
from larkpost.standalone.routing.run_once import RunOnceRegistry
from larkpost.standalone.routing.selection import Selector
from larkpost.standalone.routing.work import TokenRun, Work, WorkClass, chunk_size
from larkpost.standalone.runtime import Runtime

RETRY_AFTER_OVERLOAD = 0.5
"""Seconds after which a refused caller may come back."""
MAX_TOKENS_LIMIT = 131_072
"""Most tokens that one request may ask for."""


@dataclass(frozen=True, slots=True)
class InferenceCall:
    """A client's request.

    Attributes:
        service: name of a service of the intent; it gives the pool and the priority.
        deadline_seconds: how long the caller waits, or None for the default.
        run_once: it must not be executed a second time.
        key: names the request when it is asked again; a ticket or the caller's choice.
    """

    request: RequestId
    service: str
    prompt: str
    max_tokens: int
    deadline_seconds: float | None = None
    run_once: bool = False
    key: str | None = None


class InferenceService:
    """Serves client requests."""

    def __init__(
        self,
        runtime: Runtime,
        dispatcher: Dispatcher,
        selector: Selector,
        registry: RunOnceRegistry,
        readiness: Readiness,
    ) -> None:
        self._board = runtime.board
        self._dispatcher = dispatcher
        self._selector = selector
        self._registry = registry
        self._clock = runtime.clock
        self._telemetry = runtime.telemetry
        self._settings = runtime.settings.routing
        self._activity = runtime.activity
        self._readiness = readiness

    async def complete(self, call: InferenceCall) -> AsyncIterator[TokenRun]:
        """Yields the answer's token runs; returning means that the answer is whole.

        Raises:
            LarkpostError: there is no whole answer; the error says whether the request ran.
        """
        with self._activity.request():
            try:
                work = await self._admit_once(call)
                async with aclosing(self._dispatcher.run(work)) as runs:
                    async for run in runs:
                        yield run
            except LarkpostError as error:
                self._telemetry.count("client_refused", kind=error.code)
                raise

    async def _admit_once(self, call: InferenceCall) -> Work:
        """Admits the request and takes the right to run its key.

        A refusal before the claim may say "not run" only if the key was certainly never used: an
        earlier try under the same key may have run.
        """
        claimed = call.key if call.run_once else None
        try:
            work = self._admit(call)
        except LarkpostError as error:
            if claimed is not None and not self._registry.is_unused(claimed):
                error.ran = Ran.UNKNOWN
            raise
        if claimed is not None:
            await self._registry.claim(claimed)
        return work

    def _admit(self, call: InferenceCall) -> Work:
        self._readiness.check()
        service = self._board.configuration.intent.service(call.service)
        if service is None:
            raise InvalidRequestError(
                f"service {call.service!r} is not in the intent",
                remedy="Name a service of the intent in the field `model`, or admit it there.",
            )
        _check_call(call)
        work = self._make_work(call, service)
        crowded = self._activity.requests > self._settings.max_client_requests
        if crowded or self._selector.is_full(work):
            raise OverloadedError(
                f"pool {service.pool!r} is full", retry_after=RETRY_AFTER_OVERLOAD
            )
        self._telemetry.count("client_requests")
        return work

    def _make_work(self, call: InferenceCall, service: ServiceIntent) -> Work:
        seconds = call.deadline_seconds
        if seconds is None:
            seconds = self._settings.default_deadline
        return Work(
            request=call.request,
            caller=call.service,
            work_class=WorkClass.CLIENT,
            pool=service.pool,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            priority=service.priority,
            deadline=self._clock.now() + seconds,
            run_once=call.run_once,
            chunk_tokens=chunk_size(WorkClass.CLIENT),
        )


def _check_call(call: InferenceCall) -> None:
    if not 0 < call.max_tokens <= MAX_TOKENS_LIMIT:
        raise InvalidRequestError(f"max_tokens must be between 1 and {MAX_TOKENS_LIMIT}")
    if call.deadline_seconds is not None and not call.deadline_seconds > 0:
        raise InvalidRequestError("the deadline must be above 0 seconds")
    if not call.prompt:
        raise InvalidRequestError("the prompt is empty")
