"""A stand-in model engine: continuous batching with a step-time model and injectable faults.

It honours priorities, resumes and cancels streams, reports load with a lag, and accepts fenced
orders that take time and can fail. As a real engine may, a leaving engine still executes what it is
sent, fencing applies to orders but not to requests, and chunks can be late, duplicated, replaced by
another attempt's, or cut off.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from larkpost.common.ids import AttemptId, DaemonId, EngineId, PolicyId
from larkpost.rehearsal.engine_cache import PrefixCache
from larkpost.rehearsal.engine_load import LoadHistory, LoadPoint
from larkpost.rehearsal.engine_sequence import Sequence
from larkpost.rehearsal.engine_types import (
    EngineFaults,
    EngineRecord,
    EngineShape,
    QueueFullError,
    StaleOrderError,
    StreamCutError,
    UnknownAttemptError,
)
from larkpost.rehearsal.tokens import answer_length, answer_seed
from larkpost.standalone.engines.port import (
    EngineChunk,
    EngineReport,
    GenerateRequest,
    Order,
    OrderKind,
)

MIN_WAIT_SECONDS = 0.001
"""A shorter wait may not advance a virtual clock."""
MAX_KEPT_ATTEMPTS = 4096
"""Maximum number of attempts kept, so that streams can be resumed after their end."""


class EngineModel:
    """One engine; `start` runs it on the current event loop."""

    def __init__(
        self,
        engine: EngineId,
        shape: EngineShape,
        fetch_weights: Callable[[PolicyId, int], Awaitable[bool]],
        on_record: Callable[[EngineRecord], None] = lambda _record: None,
    ) -> None:
        self.id = engine
        self.shape = shape
        self.faults = EngineFaults()
        self.version = 0
        self.leaving = False
        self.token = 0
        self.owner: DaemonId | None = None
        self.swapping = False
        self.cache = PrefixCache(shape.cache_blocks)
        self._fetch_weights = fetch_weights
        self._on_record = on_record
        self._attempts: dict[AttemptId, Sequence] = {}
        self._running: list[Sequence] = []
        self._waiting: list[Sequence] = []
        self._arrivals = 0
        self._work = asyncio.Event()
        self._load = LoadHistory()
        self._tasks: dict[asyncio.Task, None] = {}

    def start(self) -> None:
        """Starts generating."""
        self._spawn(self._generate())

    def stop(self) -> None:
        """Stops immediately without finishing attempts, as a crash does."""
        for task in list(self._tasks):
            task.cancel()

    @property
    def busy(self) -> bool:
        """Whether any sequence is running or waiting."""
        return bool(self._running or self._waiting)

    def submit(self, request: GenerateRequest) -> None:
        """Accepts an attempt.

        Raises:
            QueueFullError: the queue is full.
        """
        if len(self._waiting) >= self.shape.queue_limit:
            raise QueueFullError(f"the queue is full: {len(self._waiting)} attempts are waiting")
        seed = answer_seed(request.request, request.prompt)
        length = answer_length(seed, request.max_tokens)
        start = len(request.prefix)
        record = EngineRecord(request.request, request.attempt, _now(), start)
        self._arrivals += 1
        sequence = Sequence(request, record, seed, length, self._arrivals, list(request.prefix))
        self._on_record(record)
        self._store_sequence(sequence)
        self._waiting.append(sequence)
        self._record_load()
        self._work.set()

    async def stream(self, attempt: AttemptId, offset: int) -> AsyncIterator[EngineChunk]:
        """Yields an attempt's chunks from ``offset`` on, with the active faults applied.

        Raises:
            UnknownAttemptError: there is no such attempt, or it was cancelled.
            StreamCutError: a fault cuts the stream.
        """
        sequence = self._attempts.get(attempt)
        if sequence is None or sequence.cancelled:
            raise UnknownAttemptError(attempt)
        chunks = 0
        while True:
            chunk = await sequence.next_chunk(offset)
            if self.faults.late_seconds:
                await asyncio.sleep(self.faults.late_seconds)
            await self.wait_while_frozen()
            if self.faults.cut_streams and chunks:
                self.faults.cut_streams -= 1
                raise StreamCutError
            for sent in self._inject_stream_faults(sequence, chunk):
                yield sent
            offset += len(chunk.tokens)
            chunks += 1
            if chunk.total is not None:
                return

    def cancel(self, attempt: AttemptId) -> None:
        """Cancels an attempt; does nothing for an unknown one."""
        sequence = self._attempts.get(attempt)
        if sequence is None or sequence.cancelled:
            return
        sequence.cancelled = True
        sequence.updated.set()
        self._running = [s for s in self._running if s is not sequence]
        self._waiting = [s for s in self._waiting if s is not sequence]
        self._record_load()

    def report(self) -> EngineReport:
        """Returns a report with the load of ``report_lag`` seconds ago and the current state."""
        load = self._load.at(_now() - self.shape.report_lag)
        return EngineReport(
            engine=self.id,
            running=load.running,
            waiting=load.waiting,
            slots=self.shape.slots,
            version=self.version,
            leaving=self.leaving,
            token=self.token,
            owner=self.owner,
            swapping=self.swapping,
        )

    def handle_order(self, order: Order) -> None:
        """Accepts a fenced order and starts it.

        Raises:
            StaleOrderError: the token is lower than the highest accepted one, or for a claim not
                higher.
        """
        is_claim = order.kind == OrderKind.CLAIM
        if order.token < self.token or (is_claim and order.token == self.token):
            raise StaleOrderError(self.token)
        self.token = order.token
        self.owner = order.owner
        if order.kind == OrderKind.LOAD_VERSION and not self.swapping:
            self.swapping = True
            self._spawn(self._swap(order.policy or PolicyId(""), order.version))

    async def _swap(self, policy: PolicyId, version: int) -> None:
        """Loads weights; sequences pause meanwhile and then continue with the new version."""
        fetched = await self._fetch_weights(policy, version)
        await asyncio.sleep(self.shape.swap_seconds)
        await self.wait_while_frozen()
        if self.faults.failing_swaps:
            self.faults.failing_swaps -= 1
            fetched = False
        if fetched:
            self.version = version
        self.swapping = False
        self._work.set()

    async def _generate(self) -> None:
        while True:
            await self.wait_while_frozen()
            if self.swapping or not self.busy:
                self._work.clear()
                await self._work.wait()
                continue
            prefill = self._admit()
            step = self.shape.step_base + self.shape.step_per_sequence * len(self._running)
            seconds = step * self.shape.tokens_per_step + prefill * self.shape.prefill_per_token
            await asyncio.sleep(seconds * self.faults.slow_factor)
            await self.wait_while_frozen()
            if not self.swapping:
                self._produce()

    def _admit(self) -> int:
        """Fills the batch by priority, preempting sequences of lower priority.

        Returns:
            Number of prompt tokens to compute in this step.
        """
        candidates = sorted(
            self._running + self._waiting, key=lambda sequence: sequence.scheduling_key
        )
        self._running = candidates[: self.shape.slots]
        self._waiting = candidates[self.shape.slots :]
        prefill = 0
        for sequence in self._running:
            if not sequence.prefilled:
                sequence.prefilled = True
                prefill += self.cache.admit(sequence.request.prompt) + len(sequence.request.prefix)
        return prefill

    def _produce(self) -> None:
        for sequence in self._running:
            for _ in range(self.shape.tokens_per_step):
                if not sequence.done:
                    sequence.add_token(self.version)
            sequence.updated.set()
        self._running = [s for s in self._running if not s.done]
        self._record_load()

    def _inject_stream_faults(self, sequence: Sequence, chunk: EngineChunk) -> list[EngineChunk]:
        if self.faults.crossed_chunks:
            others = [s for s in self._attempts.values() if s is not sequence and s.tokens]
            if others:
                self.faults.crossed_chunks -= 1
                return [others[-1].misdirected_chunk(chunk)]
        if self.faults.doubled_chunks:
            self.faults.doubled_chunks -= 1
            return [chunk, chunk]
        return [chunk]

    async def wait_while_frozen(self) -> None:
        """Waits while the engine is frozen."""
        while (wait := self.faults.frozen_until - _now()) > 0:
            await asyncio.sleep(max(wait, MIN_WAIT_SECONDS))

    def _store_sequence(self, sequence: Sequence) -> None:
        self._attempts[sequence.request.attempt] = sequence
        while len(self._attempts) > MAX_KEPT_ATTEMPTS:
            self._attempts.pop(next(iter(self._attempts)))

    def _record_load(self) -> None:
        self._load.record(LoadPoint(_now(), len(self._running), len(self._waiting)))

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))


def _now() -> float:
    return asyncio.get_running_loop().time()
