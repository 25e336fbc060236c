"""Runs a request on engines: sends attempts, validates chunks, and resumes or retries on failure.

Invariants:
- A chunk is accepted only if it names the current attempt and leaves no gap after earlier tokens.
- An answer ends only with a chunk that states the total length, and only at that length.
- ``Ran.NO`` is reported only if no attempt was sent, or every attempt sent was refused by an engine
  that named the attempt. After an attempt with an unknown outcome, errors report ``Ran.UNKNOWN``.
- Run-once work is never sent again after an attempt whose outcome is unknown.
"""

from collections.abc import AsyncIterator
from contextlib import aclosing
from functools import partial

from larkpost.common.errors import (
    BrokenAnswerError,
    DeadlineError,
    NoEngineError,
    OverloadedError,
    Ran,
)
from larkpost.common.ids import Address, AttemptId, EngineId
from larkpost.standalone.controllers.monitor import Monitor
from larkpost.standalone.engines.port import (
    EngineChunk,
    EngineError,
    EngineNotSentError,
    EngineOutcomeUnknownError,
    EnginePort,
    EngineRefusedError,
    GenerateRequest,
)
from larkpost.standalone.routing.progress import Progress, apply_chunk
from larkpost.standalone.routing.retry import RetryBudgets, backoff
from larkpost.standalone.routing.selection import Selector
from larkpost.standalone.routing.work import TokenRun, Work, WorkClass
from larkpost.standalone.runtime import Runtime

MAX_ATTEMPTS = 6
"""Maximum number of attempts at one request."""
RETRY_AFTER_NO_ENGINE = 1.0
"""Seconds after which a caller may retry when no engine was available."""
MAX_REPORT_POLLS = 3
"""Maximum number of engines polled by one request when no report is fresh."""
MAX_STREAMS_PER_ATTEMPT = 2
"""Maximum number of streams of one attempt: the first, and one that resumes it."""


class Dispatcher:
    """Sends work to engines and yields their answers."""

    def __init__(
        self,
        runtime: Runtime,
        engines: EnginePort,
        selector: Selector,
        monitor: Monitor,
        budgets: RetryBudgets,
    ) -> None:
        self._board = runtime.board
        self._engines = engines
        self._selector = selector
        self._monitor = monitor
        self._budgets = budgets
        self._clock = runtime.clock
        self._tasks = runtime.tasks
        self._telemetry = runtime.telemetry
        self._settings = runtime.settings.routing
        self._rng = runtime.rng
        self._attempt_number = 0

    async def run(
        self, work: Work, prefer: EngineId | None = None, prefix: tuple[int, ...] = ()
    ) -> AsyncIterator[TokenRun]:
        """Yields the answer's token runs; the answer is complete when it returns.

        Args:
            work: the request.
            prefer: engine to try first if it may take the work, for its prefix cache.
            prefix: tokens of the answer that already exist; the runs continue after them.

        Raises:
            LarkpostError: the answer is incomplete; the error says whether the request ran.
        """
        progress = Progress(tokens=list(prefix))
        self._budgets.earn(_caller_key(work))
        while not progress.finished:
            engine = await self._next_engine(work, progress, prefer)
            async with aclosing(self._attempt(work, engine, progress)) as runs:
                async for run in runs:
                    yield run

    async def _next_engine(
        self, work: Work, progress: Progress, prefer: EngineId | None
    ) -> EngineId:
        self._check_deadline(work, progress)
        if progress.attempts > 0:
            await self._spend_retry(work, progress)
        if prefer is not None and progress.attempts == 0 and self._is_candidate(work, prefer):
            return prefer
        candidate = self._selector.choose(work, progress.excluded)
        if candidate is None:
            await self._poll_stale_engines(work, progress)
            candidate = self._selector.choose(work, progress.excluded)
        if candidate is None and progress.excluded:
            # No other engine is available, so the excluded ones are tried again.
            progress.excluded.clear()
            candidate = self._selector.choose(work, progress.excluded)
        if candidate is None:
            raise NoEngineError(
                f"no engine of pool {work.pool!r} can take the request now",
                ran=progress.ran,
                retry_after=RETRY_AFTER_NO_ENGINE,
            )
        return candidate.engine

    def _is_candidate(self, work: Work, engine: EngineId) -> bool:
        return any(c.engine == engine for c in self._selector.candidates(work, ()))

    async def _spend_retry(self, work: Work, progress: Progress) -> None:
        if progress.attempts >= MAX_ATTEMPTS or not self._budgets.spend(_caller_key(work)):
            raise OverloadedError(
                "the request failed and no further retry is allowed for its caller",
                ran=progress.ran,
                retry_after=self._settings.backoff_limit,
            )
        self._telemetry.count("retries", kind=work.work_class)
        await self._clock.sleep(backoff(self._settings, progress.failures, self._rng))

    def _check_deadline(self, work: Work, progress: Progress) -> None:
        if self._clock.now() >= work.deadline:
            raise DeadlineError("the request's deadline has passed", ran=progress.ran)

    async def _poll_stale_engines(self, work: Work, progress: Progress) -> None:
        """Polls engines with stale reports directly, so that a dead owner does not stop traffic."""
        stale_engines = self._selector.stale_engines(work.pool, progress.excluded)
        for engine in self._rng.sample(stale_engines, min(len(stale_engines), MAX_REPORT_POLLS)):
            info = self._board.engines.directory[engine]
            if await self._monitor.poll_engine(info) is not None:
                return
            self._board.engines.avoid(engine, self._clock.now() + self._settings.avoid_time)

    async def _attempt(
        self, work: Work, engine: EngineId, progress: Progress
    ) -> AsyncIterator[TokenRun]:
        """Runs one attempt; returns with ``progress.finished`` unset if another may follow."""
        request = self._make_request(work, progress)
        progress.attempts += 1
        if not self._selector.may_dispatch(engine):
            progress.excluded.add(engine)
            return
        if progress.attempts > 1 and not self._budgets.spend(_engine_key(engine)):
            progress.excluded.add(engine)
            return
        self._budgets.earn(_engine_key(engine))
        self._telemetry.count("dispatches", kind=work.work_class)
        self._board.engines.begin_attempt(engine)
        try:
            async with aclosing(self._receive(work, engine, request, progress)) as runs:
                async for run in runs:
                    yield run
        except EngineError as error:
            self._record_failure(engine, work, progress, error)
        finally:
            self._board.engines.end_attempt(engine)
            if not progress.finished:
                self._tasks.spawn(self._cancel(engine, request.attempt), "cancel-attempt")

    def _make_request(self, work: Work, progress: Progress) -> GenerateRequest:
        self._attempt_number += 1
        own = self._board.members.own
        attempt = f"{own.id}.{own.incarnation}.{self._attempt_number}"
        return GenerateRequest(
            request=work.request,
            attempt=AttemptId(attempt),
            prompt=work.prompt,
            max_tokens=work.max_tokens,
            priority=work.priority,
            prefix=tuple(progress.tokens),
            chunk_tokens=work.chunk_tokens,
        )

    async def _receive(
        self, work: Work, engine: EngineId, request: GenerateRequest, progress: Progress
    ) -> AsyncIterator[TokenRun]:
        """Yields the validated runs of one attempt, and resumes it once if its stream breaks."""
        address = self._board.engines.directory[engine].address
        timeout = self._chunk_timeout(work)
        stream = self._engines.generate(
            address, request, timeout, partial(self._may_send, work, engine)
        )
        for resumes_left in reversed(range(MAX_STREAMS_PER_ATTEMPT)):
            last_chunk_at: float | None = None
            try:
                async with aclosing(stream):
                    async for chunk in stream:
                        run = apply_chunk(chunk, request, progress)
                        last_chunk_at = self._record_speed(engine, run, last_chunk_at)
                        if run.tokens:
                            yield run
                        if progress.finished:
                            return
                raise EngineOutcomeUnknownError("the stream ended before the answer was complete")
            except EngineOutcomeUnknownError:
                self._telemetry.count("broken_streams")
                progress.outcome_unknown = True
                if resumes_left == 0:
                    raise
            stream = self._resume(work, address, request.attempt, progress)

    def _resume(
        self, work: Work, address: Address, attempt: AttemptId, progress: Progress
    ) -> AsyncIterator[EngineChunk]:
        """Reattaches to an attempt after the tokens received so far."""
        self._check_deadline(work, progress)
        self._telemetry.count("resumes")
        offset = len(progress.tokens)
        return self._engines.resume(address, attempt, offset, self._chunk_timeout(work))

    def _record_speed(self, engine: EngineId, run: TokenRun, last_chunk_at: float | None) -> float:
        """Records the speed between two chunks, which excludes the time in the engine's queue."""
        now = self._clock.now()
        if last_chunk_at is not None:
            self._board.engines.speeds.record(engine, len(run.tokens), now - last_chunk_at, now)
        return now

    def _may_send(self, work: Work, engine: EngineId) -> bool:
        return self._clock.now() < work.deadline and self._selector.may_dispatch(engine)

    def _chunk_timeout(self, work: Work) -> float:
        if work.work_class == WorkClass.ROLLOUT:
            return self._settings.rollout_chunk_timeout
        return min(self._settings.chunk_timeout, max(work.deadline - self._clock.now(), 0.0))

    def _record_failure(
        self, engine: EngineId, work: Work, progress: Progress, error: EngineError
    ) -> None:
        """Records a failed attempt.

        Raises:
            BrokenAnswerError: the work is run-once and may have run.
        """
        progress.failures += 1
        progress.excluded.add(engine)
        did_not_run = isinstance(error, EngineNotSentError | EngineRefusedError)
        if not did_not_run:
            progress.outcome_unknown = True
        if not isinstance(error, EngineRefusedError):
            until = self._clock.now() + self._settings.avoid_time
            self._board.engines.avoid(engine, until)
        if progress.outcome_unknown and work.run_once:
            raise BrokenAnswerError(
                f"the answer of engine {engine!r} is incomplete: {error}", ran=Ran.UNKNOWN
            )

    async def _cancel(self, engine: EngineId, attempt: AttemptId) -> None:
        info = self._board.engines.directory[engine]
        try:
            await self._engines.cancel(info.address, attempt)
        except EngineError:
            return  # the engine is down, or drops the attempt once its caller disconnects


def _caller_key(work: Work) -> str:
    return f"{work.work_class}/{work.caller}"


def _engine_key(engine: EngineId) -> str:
    return f"engine/{engine}"
