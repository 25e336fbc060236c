"""Client requests: admission, the claim of run-once keys, and dispatch."""

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
"""Seconds after which a refused caller may retry."""
MAX_TOKENS_LIMIT = 131_072
"""Maximum number of tokens that one request may generate."""


@dataclass(frozen=True, slots=True)
class InferenceCall:
    """A client's request.

    Attributes:
        service: name of a service in the intent, which determines the pool and the priority.
        deadline_seconds: how long the caller waits; None for the default.
        run_once: whether the request must not run more than once.
        key: idempotency key of a run-once request: a ticket, or a name chosen by the caller.
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
        """Yields the answer's token runs; the answer is complete when it returns.

        Raises:
            LarkpostError: the answer is incomplete; the error says whether the request ran.
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
        """Admits the request and claims its key if it is run-once.

        An earlier request with the same key may have run, so a refusal before the claim reports
        ``Ran.NO`` only if the key is known to be unused.
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
        over_limit = self._activity.requests > self._settings.max_client_requests
        if over_limit or self._selector.is_full(work):
            raise OverloadedError(
                f"pool {service.pool!r} or this daemon is at its limit of client requests",
                retry_after=RETRY_AFTER_OVERLOAD,
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
        raise InvalidRequestError(
            f"max_tokens must be between 1 and {MAX_TOKENS_LIMIT}, not {call.max_tokens}"
        )
    if call.deadline_seconds is not None and not call.deadline_seconds > 0:
        raise InvalidRequestError(
            f"the deadline must be above 0 seconds, not {call.deadline_seconds}"
        )
    if not call.prompt:
        raise InvalidRequestError("the prompt is empty")
