"""Runs a piece of work on engines: attempt, check each chunk, resume or retry, or say why not.

Invariants:
- A chunk counts only if it names this attempt and starts at the next token.
- An answer ends only with a chunk that states its whole length, and only if that length is reached.
- ``Ran.NO`` is said only while no attempt was sent, or each one sent was refused by the engine that
  names the attempt. One attempt whose outcome is unknown makes every later answer ``UNKNOWN``.
- Work that may run only once is never sent again after an attempt whose outcome is unknown.
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
"""Attempts at one piece of work."""
RETRY_AFTER_NO_ENGINE = 1.0
"""Seconds after which a caller may come back that found no engine."""
MAX_REPORT_PROBES = 3
"""Engines asked for a report at once when no report is fresh."""
MAX_STREAMS_PER_ATTEMPT = 2
"""Streams of one attempt: the first, and one that goes on where it broke."""


class Dispatcher:
    """Sends work to engines."""

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
        """Yields the answer's token runs; returning means that the answer is whole.

        Args:
            work: the request.
            prefer: engine to use first if it may take the work, for its prefix cache.
            prefix: tokens of the answer that exist already; the runs go on after them.

        Raises:
            LarkpostError: there is no whole answer; the error says whether the request ran.
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
                "the request failed and its caller's retries are spent",
                ran=progress.ran,
                retry_after=self._settings.backoff_limit,
            )
        self._telemetry.count("retries", kind=work.work_class)
        await self._clock.sleep(backoff(self._settings, progress.failures, self._rng))

    def _check_deadline(self, work: Work, progress: Progress) -> None:
        if self._clock.now() >= work.deadline:
            raise DeadlineError("the request's deadline has passed", ran=progress.ran)

    async def _poll_stale_engines(self, work: Work, progress: Progress) -> None:
        """Asks engines whose report is too old, so that a dead owner does not stop traffic."""
        stale_engines = self._selector.stale_engines(work.pool, progress.excluded)
        for engine in self._rng.sample(stale_engines, min(len(stale_engines), MAX_REPORT_PROBES)):
            info = self._board.engines.directory[engine]
            if await self._monitor.poll_engine(info) is not None:
                return
            self._board.engines.avoid(engine, self._clock.now() + self._settings.avoid_time)

    async def _attempt(
        self, work: Work, engine: EngineId, progress: Progress
    ) -> AsyncIterator[TokenRun]:
        """Runs one attempt; on a failure that allows another it returns with ``finished`` unset."""
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
        """Yields checked runs of one attempt, attaching to it again if its stream breaks."""
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
                raise EngineOutcomeUnknownError("the stream ended before the answer was whole")
            except EngineOutcomeUnknownError:
                self._telemetry.count("broken_streams")
                progress.outcome_unknown = True
                if resumes_left == 0:
                    raise
            stream = self._resume(work, address, request.attempt, progress)

    def _resume(
        self, work: Work, address: Address, attempt: AttemptId, progress: Progress
    ) -> AsyncIterator[EngineChunk]:
        """Attaches to an attempt again, after the tokens that have come."""
        self._check_deadline(work, progress)
        self._telemetry.count("resumes")
        offset = len(progress.tokens)
        return self._engines.resume(address, attempt, offset, self._chunk_timeout(work))

    def _record_speed(self, engine: EngineId, run: TokenRun, last_chunk_at: float | None) -> float:
        """Measures between chunks, so that waiting in the engine's queue does not count."""
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
        """Decides whether another attempt is allowed.

        Raises:
            LarkpostError: it is not.
        """
        progress.failures += 1
        progress.excluded.add(engine)
        certain = isinstance(error, EngineNotSentError | EngineRefusedError)
        if not certain:
            progress.outcome_unknown = True
        if not isinstance(error, EngineRefusedError):
            until = self._clock.now() + self._settings.avoid_time
            self._board.engines.avoid(engine, until)
        if progress.outcome_unknown and work.run_once:
            raise BrokenAnswerError(
                f"the answer of engine {engine!r} broke off: {error}", ran=Ran.UNKNOWN
            )

    async def _cancel(self, engine: EngineId, attempt: AttemptId) -> None:
        info = self._board.engines.directory[engine]
        try:
            await self._engines.cancel(info.address, attempt)
        except EngineError:
            return  # the engine is gone, or drops the attempt when its caller is gone


def _caller_key(work: Work) -> str:
    return f"{work.work_class}/{work.caller}"


def _engine_key(engine: EngineId) -> str:
    return f"engine/{engine}"
