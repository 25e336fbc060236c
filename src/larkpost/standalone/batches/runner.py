"""Runs one batch's slots on engines and duplicates samples stuck on slow or unresponsive ones.

Three policies shorten the time to completion: prompts with the longest expected responses start
first, samples of one prompt share an engine for its prefix cache, and samples on an engine that no
longer reports, or is much slower than the others, are continued on a second engine from the tokens
generated so far. The first attempt to finish provides the slot's value.
"""

import asyncio
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass

from larkpost.common.errors import LarkpostError
from larkpost.common.ids import EngineId, RequestId
from larkpost.standalone.batches.ledger import BatchLedger, Sample
from larkpost.standalone.batches.placement import (
    LoadPlacement,
    Placement,
    RoundRobinPlacement,
    make_capacities,
)
from larkpost.standalone.config.intent import TrainerIntent
from larkpost.standalone.routing.dispatcher import Dispatcher
from larkpost.standalone.routing.selection import Selector
from larkpost.standalone.routing.work import Answer, Work, WorkClass, chunk_size
from larkpost.standalone.runtime import Runtime
from larkpost.standalone.settings import PlacementKind

ROLLOUT_PRIORITY = 0
"""The lowest priority: client requests come before rollouts."""
UNRESPONSIVE_ENGINE_SECONDS = 3.0
"""Age of an engine's last report in seconds at which its samples are continued elsewhere."""


@dataclass(slots=True)
class _Attempt:
    """A running attempt at a slot."""

    slot: int
    engine: EngineId
    answer: Answer
    task: asyncio.Task | None = None


class BatchRunner:
    """Runs attempts at one batch's slots until each has a sample."""

    def __init__(
        self,
        ledger: BatchLedger,
        runtime: Runtime,
        dispatcher: Dispatcher,
        selector: Selector,
        on_sample: Callable[[Sample], None],
    ) -> None:
        self.ledger = ledger
        self._board = runtime.board
        self._dispatcher = dispatcher
        self._selector = selector
        self._clock = runtime.clock
        self._tasks = runtime.tasks
        self._telemetry = runtime.telemetry
        self._settings = runtime.settings.batches
        self._on_sample = on_sample
        self._attempts: list[_Attempt] = []
        self._last_engine: EngineId | None = None
        self._prompt_engines: dict[int, EngineId] = {}

    @property
    def running_attempts(self) -> int:
        """Number of running attempts."""
        return len(self._attempts)

    def schedule_samples(self) -> None:
        """Starts as many pending slots as engines have room for, then duplicates stuck samples."""
        self._cancel_outdated()
        placement = self._make_placement()
        for slot in list(self.ledger.pending_slots()):
            engine = placement.acquire(self._preferred_engine(slot))
            if engine is None:
                return
            self._start(slot, engine, Answer())
            self._last_engine = engine
        self._duplicate_stuck_samples(placement)

    def cancel_all(self) -> None:
        """Cancels every attempt."""
        for attempt in list(self._attempts):
            self._cancel(attempt)

    def minimum_version(self) -> int:
        """Returns the lowest version at which a new sample may start.

        It is the trainer's staleness bound, tightened by the intent's staleness weight, and never
        above the trainer's version, as engines cannot have a later one.
        """
        bound = self.ledger.spec.staleness_bound
        trainer = self._trainer()
        weight = trainer.staleness_weight if trainer is not None else 0.0
        weighted = self.ledger.trainer_version - round((1 - weight) * bound)
        return max(weighted, self.ledger.oldest_accepted)

    def _trainer(self) -> TrainerIntent | None:
        return self._board.configuration.intent.trainer(self.ledger.spec.trainer)

    def _make_placement(self) -> Placement:
        candidates = self._selector.candidates(self._make_work(0), ())
        pool = self._board.configuration.intent.pool(self.ledger.spec.pool)
        capacities = make_capacities(candidates, pool.client_reserve if pool is not None else 0)
        if self._settings.placement == PlacementKind.ROUND_ROBIN:
            return RoundRobinPlacement(capacities, self._last_engine)
        return LoadPlacement(capacities)

    def _preferred_engine(self, slot: int) -> EngineId | None:
        if not self._settings.keep_groups:
            return None
        return self._prompt_engines.get(self.ledger.spec.prompt_index(slot))

    def _duplicate_stuck_samples(self, placement: Placement) -> None:
        """Continues samples of unresponsive engines and stragglers on a second engine as well."""
        engines = {attempt.engine for attempt in self._attempts}
        stuck = {engine for engine in engines if self._is_unresponsive(engine)}
        if self._settings.duplicate_slow:
            pool = self._board.pool_engines(self.ledger.spec.pool)
            stuck |= self._board.engines.speeds.stragglers(pool, self._clock.now())
        for attempt in [a for a in self._attempts if a.engine in stuck]:
            if len(self.ledger.engines_of(attempt.slot)) != 1:
                continue
            engine = placement.acquire_other(attempt.engine)
            if engine is None:
                return
            self._telemetry.count("samples_duplicated")
            partial_answer = Answer(list(attempt.answer.tokens), list(attempt.answer.spans))
            self._start(attempt.slot, engine, partial_answer)

    def _is_unresponsive(self, engine: EngineId) -> bool:
        load = self._board.engines.loads.get(engine)
        return load is None or self._clock.now() - load.at > UNRESPONSIVE_ENGINE_SECONDS

    def _cancel_outdated(self) -> None:
        """Cancels attempts that have tokens of a version the trainer no longer accepts."""
        for attempt in list(self._attempts):
            answer = attempt.answer
            if answer.spans and answer.oldest_version < self.ledger.oldest_accepted:
                self._cancel(attempt)

    def _start(self, slot: int, engine: EngineId, answer: Answer) -> None:
        self.ledger.start_attempt(slot, engine)
        self._prompt_engines.setdefault(self.ledger.spec.prompt_index(slot), engine)
        attempt = _Attempt(slot, engine, answer)
        self._attempts.append(attempt)
        attempt.task = self._tasks.spawn(self._run(attempt), f"sample-{slot}")

    async def _run(self, attempt: _Attempt) -> None:
        work = self._make_work(attempt.slot)
        answer = attempt.answer
        try:
            runs = self._dispatcher.run(work, attempt.engine, tuple(answer.tokens))
            async with aclosing(runs):
                async for run in runs:
                    answer.append(run)
        except LarkpostError as error:
            self._telemetry.log_state(f"batch.{self.ledger.spec.id}.failure", error.code)
        else:
            self._finish(attempt)
        finally:
            self._end(attempt)

    def _finish(self, attempt: _Attempt) -> None:
        answer = attempt.answer
        sample = Sample(attempt.slot, tuple(answer.tokens), tuple(answer.spans))
        if not self.ledger.finish(sample):
            self._telemetry.count("tokens_wasted", len(sample.tokens))
            return
        self._telemetry.count("samples_finished")
        for other in list(self._attempts):
            if other.slot == attempt.slot and other is not attempt:
                self._cancel(other)
        self._on_sample(sample)

    def _cancel(self, attempt: _Attempt) -> None:
        self._telemetry.count("tokens_wasted", len(attempt.answer.tokens))
        self._end(attempt)
        if attempt.task is not None:
            attempt.task.cancel()

    def _end(self, attempt: _Attempt) -> None:
        if attempt in self._attempts:
            self._attempts.remove(attempt)
            self.ledger.end_attempt(attempt.slot, attempt.engine)

    def _make_work(self, slot: int) -> Work:
        spec = self.ledger.spec
        return Work(
            request=RequestId(f"{spec.id}/{slot}"),
            caller=spec.trainer,
            work_class=WorkClass.ROLLOUT,
            pool=spec.pool,
            prompt=spec.prompts[spec.prompt_index(slot)],
            max_tokens=spec.max_tokens,
            priority=ROLLOUT_PRIORITY,
            deadline=self._clock.now() + self._settings.sample_timeout,
            min_version=self.minimum_version(),
            chunk_tokens=chunk_size(WorkClass.ROLLOUT),
        )
