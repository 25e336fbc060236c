"""A stand-in model engine: continuous batching on a step-time model, with faults to switch on.

It follows the brief's engine: it honours priorities, resumes and cancels streams, reports load with
a lag, and takes fenced orders that need time and can fail. It is no kinder than that: a leaving
engine still runs what it is sent, the fence guards orders but not requests, and an answer can come
late, twice, crossed with another's, or be cut.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

from larkpost.common.ids import AttemptId, DaemonId, EngineId, PolicyId, RequestId
from larkpost.rehearsal.engine_cache import PrefixCache
from larkpost.rehearsal.tokens import answer_length, answer_seed, token_at
from larkpost.standalone.engines.port import (
    EngineChunk,
    EngineReport,
    GenerateRequest,
    Order,
    OrderKind,
)

SHORTEST_WAIT = 0.001
"""A shorter wait may not advance a virtual clock."""
KEPT_ATTEMPTS = 4096
"""Ended attempts that can still be resumed."""


class StreamCutError(Exception):
    """The stream is cut by a fault."""


class UnknownAttemptError(Exception):
    """The engine does not run such an attempt."""


class QueueFullError(Exception):
    """The engine refuses the attempt; it does not execute it."""


class StaleOrderError(Exception):
    """The order's token is below the highest accepted one."""


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Size and speed of a stand-in engine. Times in seconds."""

    slots: int = 16
    queue_limit: int = 64
    step_base: float = 0.008
    step_per_sequence: float = 0.0002
    prefill_per_token: float = 0.00002
    tokens_per_step: int = 1
    cache_blocks: int = 4096
    report_lag: float = 0.3
    swap_seconds: float = 0.5


@dataclass(slots=True)
class EngineFaults:
    """Fault switches; all are off at first."""

    frozen_until: float = 0.0
    slow_factor: float = 1.0
    late_seconds: float = 0.0
    doubled_chunks: int = 0
    crossed_chunks: int = 0
    cut_streams: int = 0
    failing_swaps: int = 0


@dataclass(slots=True)
class EngineRecord:
    """What the engine really did for one attempt; the evidence of the checks."""

    request: RequestId
    attempt: AttemptId
    started_at: float
    first_token: int
    spans: list[list[int]] = field(default_factory=list)
    """[version, first token, count] of every token produced here."""


@dataclass(slots=True)
class _Sequence:
    """An attempt inside the engine."""

    request: GenerateRequest
    record: EngineRecord
    seed: int
    length: int
    arrival: int
    tokens: list[int]
    prefilled: bool = False
    cancelled: bool = False
    news: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def done(self) -> bool:
        return len(self.tokens) >= self.length


@dataclass(frozen=True, slots=True)
class _LoadPoint:
    at: float
    running: int
    waiting: int


class EngineModel:
    """One engine. ``start`` runs it on the current event loop."""

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
        self.adapters: set[str] = set()
        self.model = ""
        self.role = "both"
        self.cache = PrefixCache(shape.cache_blocks)
        self._fetch_weights = fetch_weights
        self._on_record = on_record
        self._attempts: dict[AttemptId, _Sequence] = {}
        self._running: list[_Sequence] = []
        self._waiting: list[_Sequence] = []
        self._arrivals = 0
        self._work = asyncio.Event()
        self._history: deque[_LoadPoint] = deque([_LoadPoint(0.0, 0, 0)], maxlen=512)
        self._tasks: dict[asyncio.Task, None] = {}

    def start(self) -> None:
        """Starts generating."""
        self._spawn(self._generate())

    def stop(self) -> None:
        """Ends everything at once, as a crash does."""
        for task in list(self._tasks):
            task.cancel()

    @property
    def busy(self) -> bool:
        """Whether any sequence runs or waits."""
        return bool(self._running or self._waiting)

    def submit(self, request: GenerateRequest) -> None:
        """Accepts an attempt.

        Raises:
            QueueFullError: the queue is full.
        """
        if len(self._waiting) >= self.shape.queue_limit:
            raise QueueFullError(f"{len(self._waiting)} attempts wait")
        seed = answer_seed(request.request, request.prompt)
        length = answer_length(seed, request.max_tokens)
        start = len(request.prefix)
        record = EngineRecord(request.request, request.attempt, _now(), start)
        self._arrivals += 1
        sequence = _Sequence(request, record, seed, length, self._arrivals, list(request.prefix))
        self._on_record(record)
        self._remember(sequence)
        self._waiting.append(sequence)
        self._note_load()
        self._work.set()

    async def stream(self, attempt: AttemptId, offset: int) -> AsyncIterator[EngineChunk]:
        """Yields an attempt's chunks from ``offset`` on, through the faults.

        Raises:
            UnknownAttemptError: there is no such attempt, or it was cancelled.
            StreamCutError: a fault cuts the stream.
        """
        sequence = self._attempts.get(attempt)
        if sequence is None or sequence.cancelled:
            raise UnknownAttemptError(attempt)
        chunks = 0
        while True:
            chunk = await self._next_chunk(sequence, offset)
            if self.faults.late_seconds:
                await asyncio.sleep(self.faults.late_seconds)
            await self.thawed()
            if self.faults.cut_streams and chunks:
                self.faults.cut_streams -= 1
                raise StreamCutError
            for sent in self._disturb(sequence, chunk):
                yield sent
            offset += len(chunk.tokens)
            chunks += 1
            if chunk.total is not None:
                return

    def cancel(self, attempt: AttemptId) -> None:
        """Ends an attempt."""
        sequence = self._attempts.get(attempt)
        if sequence is None or sequence.cancelled:
            return
        sequence.cancelled = True
        sequence.news.set()
        self._running = [s for s in self._running if s is not sequence]
        self._waiting = [s for s in self._waiting if s is not sequence]
        self._note_load()

    def report(self) -> EngineReport:
        """Returns the report: load as it was ``report_lag`` ago, everything else as it is."""
        load = self._lagged_load()
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

    def take_order(self, order: Order) -> None:
        """Accepts a fenced order and starts it.

        Raises:
            StaleOrderError: the token is too low.
        """
        is_claim = order.kind == OrderKind.CLAIM
        if order.token < self.token or (is_claim and order.token == self.token):
            raise StaleOrderError(self.token)
        self.token = order.token
        self.owner = order.owner
        if order.kind == OrderKind.LOAD_VERSION and not self.swapping:
            self.swapping = True
            self._spawn(self._swap(order.policy or PolicyId(""), order.version))
        elif order.kind == OrderKind.LOAD_ADAPTER:
            self.adapters.add(order.name)
        elif order.kind == OrderKind.LOAD_MODEL:
            self.model = order.name
        elif order.kind == OrderKind.CHANGE_ROLE:
            self.role = order.name

    async def _swap(self, policy: PolicyId, version: int) -> None:
        """Loads weights; sequences pause during the load and then go on under the new version."""
        fetched = await self._fetch_weights(policy, version)
        await asyncio.sleep(self.shape.swap_seconds)
        await self.thawed()
        if self.faults.failing_swaps:
            self.faults.failing_swaps -= 1
            fetched = False
        if fetched:
            self.version = version
        self.swapping = False
        self._work.set()

    async def _generate(self) -> None:
        while True:
            await self.thawed()
            if self.swapping or not self.busy:
                self._work.clear()
                await self._work.wait()
                continue
            prefill = self._admit()
            step = self.shape.step_base + self.shape.step_per_sequence * len(self._running)
            seconds = step * self.shape.tokens_per_step + prefill * self.shape.prefill_per_token
            await asyncio.sleep(seconds * self.faults.slow_factor)
            await self.thawed()
            if not self.swapping:
                self._produce()

    def _admit(self) -> int:
        """Fills the batch by priority, taking slots from lower priorities.

        Returns:
            Prompt tokens to compute in this step.
        """
        candidates = sorted(
            self._running + self._waiting, key=lambda s: (-s.request.priority, s.arrival)
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
                    self._add_token(sequence)
            sequence.news.set()
        self._running = [s for s in self._running if not s.done]
        self._note_load()

    def _add_token(self, sequence: _Sequence) -> None:
        index = len(sequence.tokens)
        sequence.tokens.append(token_at(sequence.seed, index, self.version))
        spans = sequence.record.spans
        if spans and spans[-1][0] == self.version:
            spans[-1][2] += 1
        else:
            spans.append([self.version, index, 1])

    async def _next_chunk(self, sequence: _Sequence, offset: int) -> EngineChunk:
        wanted = sequence.request.chunk_tokens
        while True:
            if sequence.cancelled:
                raise UnknownAttemptError(sequence.request.attempt)
            version, end = _span_end(sequence, offset)
            span_closed = end < len(sequence.tokens)
            if sequence.done or span_closed or end - offset >= wanted:
                total = sequence.length if sequence.done and end >= sequence.length else None
                return EngineChunk(
                    sequence.request.attempt,
                    offset,
                    tuple(sequence.tokens[offset:end]),
                    version,
                    total,
                )
            sequence.news.clear()
            await sequence.news.wait()

    def _disturb(self, sequence: _Sequence, chunk: EngineChunk) -> list[EngineChunk]:
        if self.faults.crossed_chunks:
            others = [s for s in self._attempts.values() if s is not sequence and s.tokens]
            if others:
                self.faults.crossed_chunks -= 1
                return [_crossed_chunk(others[-1], chunk)]
        if self.faults.doubled_chunks:
            self.faults.doubled_chunks -= 1
            return [chunk, chunk]
        return [chunk]

    async def thawed(self) -> None:
        """Waits while the engine is frozen."""
        while (wait := self.faults.frozen_until - _now()) > 0:
            await asyncio.sleep(max(wait, SHORTEST_WAIT))

    def _remember(self, sequence: _Sequence) -> None:
        self._attempts[sequence.request.attempt] = sequence
        while len(self._attempts) > KEPT_ATTEMPTS:
            self._attempts.pop(next(iter(self._attempts)))

    def _note_load(self) -> None:
        self._history.append(_LoadPoint(_now(), len(self._running), len(self._waiting)))

    def _lagged_load(self) -> _LoadPoint:
        limit = _now() - self.shape.report_lag
        for point in reversed(self._history):
            if point.at <= limit:
                return point
        return self._history[0]

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))


def _now() -> float:
    return asyncio.get_running_loop().time()


def _span_end(sequence: _Sequence, offset: int) -> tuple[int, int]:
    """Returns the version at ``offset`` and where its run of tokens ends so far."""
    for version, first, count in sequence.record.spans:
        if first <= offset < first + count:
            return version, first + count
    return 0, offset


def _crossed_chunk(other: _Sequence, chunk: EngineChunk) -> EngineChunk:
    """Returns another attempt's tokens in place of the right chunk."""
    tokens = tuple(other.tokens[: max(len(chunk.tokens), 1)])
    return EngineChunk(other.request.attempt, chunk.offset, tokens, chunk.version, chunk.total)
