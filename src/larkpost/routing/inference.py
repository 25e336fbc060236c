"""Client requests: admission, the run-once claim, and dispatch."""

from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass

from larkpost.blackboard.board import Blackboard, Phase
from larkpost.clock import Clock
from larkpost.errors import (
    InvalidRequestError,
    LarkpostError,
    NotReadyError,
    OverloadedError,
    StoppingError,
)
from larkpost.ids import RequestId
from larkpost.routing.dispatcher import Dispatcher, chunk_size
from larkpost.routing.run_once import RunOnceRegistry
from larkpost.routing.selection import Selector
from larkpost.routing.work import TokenRun, Work, WorkClass
from larkpost.settings import RoutingSettings
from larkpost.telemetry import Telemetry

RETRY_AFTER_OVERLOAD = 0.5
RETRY_AFTER_JOINING = 1.0
MAX_TOKENS_LIMIT = 131_072


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
        board: Blackboard,
        dispatcher: Dispatcher,
        selector: Selector,
        registry: RunOnceRegistry,
        clock: Clock,
        telemetry: Telemetry,
        settings: RoutingSettings,
    ) -> None:
        self._board = board
        self._dispatcher = dispatcher
        self._selector = selector
        self._registry = registry
        self._clock = clock
        self._telemetry = telemetry
        self._settings = settings
        self.active = 0
        """Client requests being answered."""

    async def complete(self, call: InferenceCall) -> AsyncIterator[TokenRun]:
        """Yields the answer's token runs; returning means that the answer is whole.

        Raises:
            LarkpostError: there is no whole answer; the error says whether the request ran.
        """
        self.active += 1
        try:
            work = self._admit(call)
            if call.run_once and call.key is not None:
                await self._registry.claim(call.key)
            async with aclosing(self._dispatcher.run(work)) as runs:
                async for run in runs:
                    yield run
        except LarkpostError as error:
            self._telemetry.count("client_refused", kind=error.code)
            raise
        finally:
            self.active -= 1

    def _admit(self, call: InferenceCall) -> Work:
        self._check_phase()
        service = self._board.configuration.intent.service(call.service)
        if service is None:
            raise InvalidRequestError(
                f"service {call.service!r} is not in the intent",
                remedy="Name a service of the intent in the field `model`, or admit it there.",
            )
        _check_call(call)
        seconds = call.deadline_seconds
        if seconds is None:
            seconds = self._settings.default_deadline
        work = Work(
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
        if self.active > self._settings.max_client_requests or self._selector.is_full(work):
            raise OverloadedError(
                f"pool {service.pool!r} is full", retry_after=RETRY_AFTER_OVERLOAD
            )
        self._telemetry.count("client_requests")
        return work

    def _check_phase(self) -> None:
        if self._board.phase == Phase.JOINING:
            raise NotReadyError(
                "this daemon does not know the configuration yet",
                retry_after=RETRY_AFTER_JOINING,
            )
        if self._board.phase == Phase.STOPPING:
            raise StoppingError("this daemon is stopping")


def _check_call(call: InferenceCall) -> None:
    if not 0 < call.max_tokens <= MAX_TOKENS_LIMIT:
        raise InvalidRequestError(f"max_tokens must be between 1 and {MAX_TOKENS_LIMIT}")
    if call.deadline_seconds is not None and not call.deadline_seconds > 0:
        raise InvalidRequestError("the deadline must be above 0 seconds")
    if not call.prompt:
        raise InvalidRequestError("the prompt is empty")
